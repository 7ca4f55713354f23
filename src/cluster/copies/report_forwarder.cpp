#include "src/cluster/copies/report_forwarder.h"

#include <utility>

#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr std::size_t kMaxIdBytes = 4096;

}  // namespace

std::string EncodeReport(const core::HopCallback& report) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(4);
  out.pack(report.id).pack(report.from).pack(static_cast<int>(report.state)).pack(report.result);
  return {bytes.data(), bytes.size()};
}

std::optional<core::HopCallback> DecodeReport(std::string_view bytes) {
  try {
    const msgpack::object_handle root = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(root.get(), 4);
    core::HopCallback report;
    report.id = in.Next().as<std::string>();
    report.from = in.Number<core::TargetId>(0, ~core::TargetId{0});
    report.state = in.Enum(core::CallbackState::kLost);
    report.result = in.Next().as<std::string>();
    pack::ArrayReader::Require(!report.id.empty() && report.id.size() <= kMaxIdBytes &&
                               report.result.size() <= ReportForwarder::kMaxResultBytes);
    return report;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint64_t ReportForwarder::StartQuery(const std::vector<std::string>& others, Done done) {
  if (others.empty() || queries_.full()) {
    done(others.empty() ? ForwardOutcome::kUnknownJob : ForwardOutcome::kRetry);
    return 0;
  }
  return queries_.Start(others, kReplyTimeout,
                        [done = std::move(done)](MemberQueries<ForwardOutcome>::Outcome result) {
                          // a member that did not answer in time may have the job
                          bool retry = !result.unanswered.empty();
                          for (const auto& [member, outcome] : result.replies) {
                            if (outcome == ForwardOutcome::kStored) return done(outcome);
                            retry |= outcome == ForwardOutcome::kRetry;
                          }
                          done(retry ? ForwardOutcome::kRetry : ForwardOutcome::kUnknownJob);
                        });
}

}  // namespace heronway::cluster::copies
