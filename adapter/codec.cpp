// The simulator's protocol: record codes, field layouts, decoding and encoding.
#include "adapter/codec.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <limits>

namespace pebblenotch::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "values are copied without byte swapping");

// Record codes under the protocol's own names.
enum EventCode : std::uint8_t {
  kBoot = 0,
  kMembership = 1,
  kDemand = 2,
  kEstablished = 3,
  kReportBack = 4,
  kExpired = 5,
  kTickDue = 6,
  kProbeDone = 7,
  kPeerData = 8,
  kStop = 9,
  kRoster = 10,
  kStatusNote = 11,
  kTargetInstance = 12,
};
enum ActionCode : std::uint8_t {
  kForward = 0,
  kPushBack = 1,
  kGiveUp = 2,
  kAbandon = 3,
  kArm = 4,
  kProbe = 5,
  kGiveIn = 9,
  kTail = 10,
  kAt = 12,
};
constexpr std::size_t kRosterEntryBytes = 23;
constexpr std::size_t kReplyHeaderBytes = 8;
constexpr std::uint32_t kRosterSlots = 16;

std::uint32_t ClampU32(Micros value) {
  constexpr Micros kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<Micros>(value, 0, kMax));
}

}  // namespace

FrameHeader ReadHeader(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kFrameHeaderBytes) throw WireError("frame header cut short", bytes.size());
  FrameHeader header;
  std::memcpy(&header.length, bytes.data(), 4);
  std::memcpy(&header.records, bytes.data() + 4, 4);
  std::memcpy(&header.now, bytes.data() + 8, 8);
  if (header.length < kFrameHeaderBytes) throw WireError("frame length below that of its header", 0);
  if (header.records > header.length - kFrameHeaderBytes) {
    throw WireError("more records than the frame has bytes for", 4);
  }
  if (header.now < 0) throw WireError("clock value out of range", 8);
  return header;
}

FrameReader::FrameReader(std::span<const std::uint8_t> frame) : frame_(frame), header_(ReadHeader(frame)) {
  if (header_.length != frame.size()) throw WireError("frame length differs from what was read", 0);
}

std::span<const std::uint8_t> FrameReader::TakeBytes(std::size_t count, const char* field) {
  if (count > frame_.size() - at_) throw WireError(std::string("frame ends inside ") + field, at_);
  const auto bytes = frame_.subspan(at_, count);
  at_ += count;
  return bytes;
}

template <typename T>
T FrameReader::Take(const char* field) {
  T value;
  std::memcpy(&value, TakeBytes(sizeof(T), field).data(), sizeof(T));
  return value;
}

WorkerId FrameReader::TakeWorker() {
  WorkerId worker = 0;
  std::memcpy(&worker, TakeBytes(6, "a worker id").data(), 6);
  return worker;
}

Metrics FrameReader::TakeMetrics() {
  Metrics metrics;
  const std::size_t count = Take<std::uint8_t>("a load report");
  const auto bytes = TakeBytes(count * sizeof(float), "a load report");
  metrics.count = std::min(count, kMaxMetrics);
  if (metrics.count > 0) std::memcpy(metrics.values, bytes.data(), metrics.count * sizeof(float));
  return metrics;
}

Result FrameReader::TakeResult() {
  const auto code = Take<std::uint8_t>("an outcome code");
  if (code > static_cast<std::uint8_t>(Result::kMoot)) throw WireError("unknown outcome code", at_ - 1);
  return static_cast<Result>(code);
}

bool FrameReader::Next(Record& record) {
  if (read_ == header_.records) {
    if (at_ != frame_.size()) throw WireError("bytes left over after the last record", at_);
    return false;
  }
  ++read_;
  const std::size_t start = at_;
  switch (Take<std::uint8_t>("a record code")) {
    case kTargetInstance:
      record = TargetInstance{Take<std::uint16_t>("target_instance")};
      break;
    case kBoot: {
      const auto seed = Take<std::uint64_t>("boot");
      const auto text = TakeBytes(Take<std::uint32_t>("boot"), "boot");
      record = Boot{seed, std::string_view(reinterpret_cast<const char*>(text.data()), text.size())};
      break;
    }
    case kRoster: {
      Roster roster{Take<std::uint32_t>("roster"), {}};
      if (roster.slot >= kRosterSlots) throw WireError("roster number out of range", start + 1);
      const std::size_t count = Take<std::uint32_t>("roster");
      if (count > (frame_.size() - at_) / kRosterEntryBytes) throw WireError("frame ends inside roster", at_);
      roster.workers.reserve(count);
      for (std::size_t i = 0; i < count; ++i) {
        WorkerEntry entry;
        entry.started_at = static_cast<Micros>(Take<std::uint64_t>("roster"));
        entry.id = TakeWorker();
        entry.zone = Take<std::uint8_t>("roster");
        entry.weight = Take<float>("roster");
        const auto state = Take<std::uint8_t>("roster");
        if (state > 2) throw WireError("undefined worker state", at_ - 1);
        entry.state = static_cast<WorkerState>(state);
        entry.kind = Take<std::uint8_t>("roster");
        entry.cell = Take<std::uint16_t>("roster");
        roster.workers.push_back(entry);
      }
      record = std::move(roster);
      break;
    }
    case kMembership: {
      const auto kind = Take<std::uint8_t>("membership");
      if (kind > 3) throw WireError("unknown membership kind", start + 1);
      Take<std::uint64_t>("membership");  // generation; not needed, lists arrive complete and in order
      record = MembershipRef{static_cast<ListKind>(kind), Take<std::uint32_t>("membership")};
      break;
    }
    case kDemand: {
      Request request;
      request.id = Take<std::uint64_t>("demand");
      request.slots = Take<float>("demand");
      request.memory = Take<float>("demand");
      request.job_class = Take<std::uint8_t>("demand");
      const auto attrs = Take<std::uint8_t>("demand");
      request.key = Take<std::uint64_t>("demand");
      request.deadline = static_cast<Micros>(Take<std::uint64_t>("demand"));
      const auto hint = Take<std::uint32_t>("demand");
      if ((attrs & 1) != 0 && hint > 0) request.hint = hint;
      request.client_retry = (attrs & 2) != 0;
      request.tenant = Take<std::uint16_t>("demand");
      record = request;
      break;
    }
    case kEstablished: {
      StreamStarted started;
      started.id = Take<std::uint64_t>("established");
      Take<std::uint32_t>("established");
      TakeWorker();
      started.attempt = Take<std::uint8_t>("established");
      record = started;
      break;
    }
    case kReportBack: {
      RawOutcome raw;
      raw.outcome.id = Take<std::uint64_t>("report_back");
      raw.outcome.attempt = Take<std::uint8_t>("report_back");
      raw.outcome.worker = TakeWorker();
      raw.outcome.result = TakeResult();
      raw.outcome.latency = Take<std::uint32_t>("report_back");
      raw.outcome.finished = Take<std::uint8_t>("report_back") != 0;
      Take<std::uint8_t>("report_back");
      raw.metrics = TakeMetrics();
      record = raw;
      break;
    }
    case kExpired:
      record = ClientGone{Take<std::uint64_t>("expired")};
      break;
    case kTickDue:
      record = TimerDue{Take<std::uint32_t>("tick_due")};
      break;
    case kProbeDone: {
      RawProbeResult raw;
      raw.result.latency = Take<std::uint32_t>("probe_done");
      raw.result.worker = TakeWorker();
      raw.result.result = TakeResult();
      raw.metrics = TakeMetrics();
      record = raw;
      break;
    }
    case kPeerData:
      Take<std::uint32_t>("peer_data");
      TakeBytes(Take<std::uint16_t>("peer_data"), "peer_data");
      record = PeerData{};
      break;
    case kStop:
      record = Stop{};
      break;
    case kStatusNote: {
      AttemptProgress progress;
      progress.id = Take<std::uint64_t>("status_note");
      progress.attempt = Take<std::uint8_t>("status_note");
      TakeWorker();
      progress.started = Take<std::uint8_t>("status_note") == 1;
      progress.share_done = Take<float>("status_note");
      record = progress;
      break;
    }
    default:
      throw WireError("unknown record code", start);
  }
  return true;
}

void ReplyWriter::Clear() {
  bytes_.assign(kReplyHeaderBytes, 0);
  records_ = 0;
}

template <typename T>
void ReplyWriter::Put(T value) {
  const std::size_t at = bytes_.size();
  bytes_.resize(at + sizeof(T));
  std::memcpy(bytes_.data() + at, &value, sizeof(T));
}

void ReplyWriter::PutWorker(WorkerId worker) {
  const std::size_t at = bytes_.size();
  bytes_.resize(at + 6);
  std::memcpy(bytes_.data() + at, &worker, 6);
}

void ReplyWriter::BeginRecord(std::uint8_t code) {
  Put(code);
  ++records_;
}

void ReplyWriter::WriteInstance(std::uint16_t node) {
  BeginRecord(kAt);
  Put(node);
}

void ReplyWriter::Write(const Action& action) {
  struct Visitor {
    ReplyWriter& out;
    void operator()(const Push& a) const {
      out.BeginRecord(kForward);
      out.Put<std::uint64_t>(a.id);
      out.Put(ClampU32(a.time_limit));
      out.PutWorker(a.worker);
    }
    void operator()(const Shed& a) const {
      out.BeginRecord(kPushBack);
      out.Put<std::uint64_t>(a.id);
      out.Put(ClampU32(a.retry_after));
    }
    void operator()(const Fail& a) const {
      out.BeginRecord(kGiveUp);
      out.Put<std::uint64_t>(a.id);
    }
    void operator()(const Cancel& a) const {
      out.BeginRecord(kAbandon);
      out.Put<std::uint64_t>(a.id);
      out.Put(static_cast<std::uint8_t>(a.attempt));
    }
    void operator()(const Probe& a) const {
      out.BeginRecord(kProbe);
      out.PutWorker(a.worker);
    }
    void operator()(const Subscribe&) const {
      out.BeginRecord(kTail);
      out.Put<std::uint8_t>(1);
    }
    void operator()(const ArmTimer& a) const {
      out.BeginRecord(kArm);
      out.Put<std::uint64_t>(static_cast<std::uint64_t>(a.at));
      out.Put(a.label);
    }
  };
  std::visit(Visitor{*this}, action);
}

void ReplyWriter::WriteFailure(std::string_view message) {
  message = message.substr(0, std::numeric_limits<std::uint16_t>::max());
  BeginRecord(kGiveIn);
  Put(static_cast<std::uint16_t>(message.size()));
  bytes_.insert(bytes_.end(), message.begin(), message.end());
}

std::span<const std::uint8_t> ReplyWriter::Finish() {
  const auto length = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &records_, 4);
  std::memcpy(bytes_.data() + 4, &length, 4);
  return bytes_;
}

}  // namespace pebblenotch::wire
