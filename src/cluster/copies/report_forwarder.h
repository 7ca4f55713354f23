// Any door, for what workers say: an ACK, a FAIL or a call-back may reach a scheduler that does not hold the
// job, because another has taken it over or given it back. The others are asked, one hop and never on from
// there, and the one that holds the job takes the word. Who is asked and what is sent is its caller's.
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

// What becomes of a word. kNobody: all were asked, and none has such a job. kNotNow: somebody could not be
// asked, or a group that may have it has no holder at this moment: it should be said again.
enum class ForwardOutcome : std::uint8_t { kUnknownJob, kStored, kRetry };

// A worker's word as it goes from member to member: id, target, news and result. `front` goes beside it.
std::string EncodeReport(const core::HopCallback& news);
std::optional<core::HopCallback> DecodeReport(std::string_view bytes);

class ReportForwarder {
 public:
  static constexpr std::size_t kMaxOpen =
      MemberQueries<ForwardOutcome>::kMaxOpen;                // more are answered kNotNow
  static constexpr std::size_t kMaxResultBytes = 256 * 1024;  // bytes
  static constexpr net::Micros kPatience = 1'500'000;         // a commit may take a second
  using Done = std::function<void(ForwardOutcome)>;

  explicit ReportForwarder(net::Loop& loop)
      : queries_(loop, [](const ForwardOutcome& outcome) { return outcome == ForwardOutcome::kStored; }) {}
  // The number under which the others are to be asked; `told` is called once, perhaps within. 0: nobody is.
  std::uint64_t Start(const std::vector<std::string>& others, Done told);
  void OnReply(std::uint64_t number, const std::string& by, ForwardOutcome outcome) {
    queries_.OnReply(number, by, outcome);
  }
  std::size_t open() const { return queries_.open(); }

 private:
  MemberQueries<ForwardOutcome> queries_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_REPORT_FORWARDER_H_
