// The simulator's wire: frames of little-endian records. Decodes events, encodes actions; decides nothing.
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

// Thrown for what does not follow the wire's format. `what()` names the fault and the byte of the frame.
class WireError : public std::runtime_error {
 public:
  WireError(const std::string& fault, std::size_t offset)
      : std::runtime_error(fault + " at byte " + std::to_string(offset)) {}
};

inline constexpr std::size_t kFrameHeaderBytes = 16;
inline constexpr std::size_t kMostMetrics = 8;  // more values than any report has; further ones are skipped

struct Metrics {
  std::size_t count = 0;
  float values[kMostMetrics] = {};
};
struct TargetInstance {
  std::uint16_t node;
};
struct Boot {
  std::uint64_t seed;
  std::string_view params;  // points into the frame
};
struct Roster {
  std::uint32_t slot;
  std::vector<WorkerEntry> workers;
};
struct MembershipRef {
  ListKind kind;
  std::uint32_t slot;
};
struct Stop {};
struct PeerData {};  // read and passed over: the module tells its peers nothing
struct RawOutcome {
  Outcome outcome;
  Metrics metrics;
};
struct RawProbeResult {
  ProbeResult result;
  Metrics metrics;
};
using Record = std::variant<TargetInstance, Boot, Roster, MembershipRef, Stop, PeerData, RawOutcome,
                            RawProbeResult, Request, StreamStarted, AttemptProgress, TimerDue, ClientGone>;

struct FrameHeader {
  std::uint32_t length = 0;
  std::uint32_t records = 0;
  Micros now = 0;
};
// Reads the 16 bytes of a batch's header and checks its figures against each other.
FrameHeader ReadHeader(std::span<const std::uint8_t> bytes);

// Reads the records of one whole frame, header included.
class FrameReader {
 public:
  explicit FrameReader(std::span<const std::uint8_t> frame);
  const FrameHeader& header() const { return header_; }
  // The next record, or false at the end. Throws WireError.
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

// Builds one reply.
class ReplyWriter {
 public:
  ReplyWriter() { Clear(); }
  void Clear();
  void At(std::uint16_t node);
  void Write(const Action& action);
  void GiveIn(std::string_view words);
  // Completes the header and returns the frame, which stays valid until the next call that writes.
  std::span<const std::uint8_t> Finish();

 private:
  template <typename T>
  void Put(T value);
  void PutWorker(WorkerId worker);
  void Code(std::uint8_t code);

  std::vector<std::uint8_t> bytes_;
  std::uint32_t records_ = 0;
};

}  // namespace pebblenotch::wire

#endif  // PEBBLENOTCH_ADAPTER_CODEC_H_
