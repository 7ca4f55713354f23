// Codec of the simulator's protocol: frames of little-endian records. Decodes events and encodes actions.
#ifndef PEBBLENOTCH_ADAPTER_CODEC_H_
#define PEBBLENOTCH_ADAPTER_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pebblenotch/brain.h"

namespace pebblenotch::wire {

// Malformed input. `what()` names the fault and the byte offset in the frame.
class WireError : public std::runtime_error {
 public:
  WireError(const std::string& fault, std::size_t offset)
      : std::runtime_error(fault + " at byte " + std::to_string(offset)) {}
};

inline constexpr std::size_t kFrameHeaderBytes = 16;
inline constexpr std::size_t kMaxMetrics = 8;  // more values than any report has; others are skipped

// The values of a load report, without their meaning (see InstanceSettings::fields).
struct Metrics {
  std::size_t count = 0;
  float values[kMaxMetrics] = {};
};
// The node that the following events are for.
struct TargetInstance {
  std::uint16_t node;
};
// Starts an instance.
struct Boot {
  std::uint64_t seed;
  std::string_view params;  // points into the frame
};
// A worker list, stored under a slot number until a membership event refers to it.
struct Roster {
  std::uint32_t slot;
  std::vector<WorkerEntry> workers;
};
// A membership event whose worker list is in the roster of this slot.
struct MembershipRef {
  ListKind kind;
  std::uint32_t slot;
};
// Stops an instance.
struct Stop {};
struct PeerData {};  // ignored: the module sends nothing to its peers
// An outcome whose load report is not interpreted yet.
struct RawOutcome {
  Outcome outcome;
  Metrics metrics;
};
// A probe result whose load report is not interpreted yet.
struct RawProbeResult {
  ProbeResult result;
  Metrics metrics;
};
using Record = std::variant<TargetInstance, Boot, Roster, MembershipRef, Stop, PeerData, RawOutcome,
                            RawProbeResult, Request, StreamStarted, AttemptProgress, TimerDue, ClientGone>;

struct FrameHeader {
  std::uint32_t length = 0;  // bytes, header included
  std::uint32_t records = 0;
  Micros now = 0;
};
// Reads and validates the 16 bytes of a frame's header. Throws WireError.
FrameHeader ReadHeader(std::span<const std::uint8_t> bytes);

// Reads the records of one complete frame, header included. The frame must outlive the reader.
class FrameReader {
 public:
  explicit FrameReader(std::span<const std::uint8_t> frame);
  const FrameHeader& header() const { return header_; }
  // Reads the next record; returns false at the end. Throws WireError.
  bool Next(Record& record);

 private:
  template <typename T>
  T Take(const char* field);
  std::span<const std::uint8_t> TakeBytes(std::size_t count, const char* field);
  WorkerId TakeWorker();
  Metrics TakeMetrics();
  Result TakeResult();

  std::span<const std::uint8_t> frame_;
  FrameHeader header_;
  std::size_t at_ = kFrameHeaderBytes;
  std::uint32_t read_ = 0;
};

// Builds one reply frame.
class ReplyWriter {
 public:
  ReplyWriter() { Clear(); }
  void Clear();
  // Names the instance that the following records are from.
  void WriteInstance(std::uint16_t node);
  void Write(const Action& action);
  // Reports that an instance failed. The message is cut to 65,535 bytes.
  void WriteFailure(std::string_view message);
  // Completes the header and returns the frame, which stays valid until the next call that writes.
  std::span<const std::uint8_t> Finish();

 private:
  template <typename T>
  void Put(T value);
  void PutWorker(WorkerId worker);
  void BeginRecord(std::uint8_t code);

  std::vector<std::uint8_t> bytes_;
  std::uint32_t records_ = 0;
};

}  // namespace pebblenotch::wire

#endif  // PEBBLENOTCH_ADAPTER_CODEC_H_
