// Forwarding of workers' reports. An ACK, a FAIL or a call-back may reach a scheduler that does not serve the
// job, because another member has taken the job over or given it back. The report is sent to the other
// members, and the one that serves the job stores it; none forwards it again. The caller chooses the members
// and sends the frames.
#ifndef HERONWAY_CLUSTER_COPIES_REPORT_FORWARDER_H_
#define HERONWAY_CLUSTER_COPIES_REPORT_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/cluster/copies/member_queries.h"
#include "src/core/reducer.h"

namespace heronway::cluster::copies {

// The outcome of a forwarded report. kUnknownJob: all members answered and none has the job. kRetry: a member
// did not answer, or no member serves a group that may have the job at this moment; the worker should report
// again.
enum class ForwardOutcome : std::uint8_t { kUnknownJob, kStored, kRetry };

// Encodes a worker's report as sent between members: id, target, state and result. Its front is sent in the
// frame.
std::string EncodeReport(const core::HopCallback& report);
// Returns nothing if the bytes are not a valid report.
std::optional<core::HopCallback> DecodeReport(std::string_view bytes);

// Tracks the reports that are being forwarded and decides the outcome of each.
class ReportForwarder {
 public:
  // Reports above this number end with kRetry.
  static constexpr std::size_t kMaxOpen = MemberQueries<ForwardOutcome>::kMaxOpen;
  static constexpr std::size_t kMaxResultBytes = 256 * 1024;
  static constexpr net::Micros kReplyTimeout = 1'500'000;  // a commit may take a second
  using Done = std::function<void(ForwardOutcome)>;

  explicit ReportForwarder(net::Loop& loop)
      : queries_(loop, [](const ForwardOutcome& outcome) { return outcome == ForwardOutcome::kStored; }) {}
  // Returns the query number under which the report is to be sent to `others`, or 0 if it is not to be sent.
  // `done` is called once, possibly before this returns.
  std::uint64_t StartQuery(const std::vector<std::string>& others, Done done);
  void OnReply(std::uint64_t number, const std::string& by, ForwardOutcome outcome) {
    queries_.OnReply(number, by, outcome);
  }
  std::size_t open() const { return queries_.open(); }

 private:
  MemberQueries<ForwardOutcome> queries_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_REPORT_FORWARDER_H_
