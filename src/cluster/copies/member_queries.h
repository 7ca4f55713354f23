// Tracks queries that are sent to several members at once: which replies are outstanding, and until when. The
// number of open queries and their duration are limited. It uses only the loop's timer; the caller sends the
// queries and interprets the replies.
#ifndef HERONWAY_CLUSTER_COPIES_MEMBER_QUERIES_H_
#define HERONWAY_CLUSTER_COPIES_MEMBER_QUERIES_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/net/loop.h"

namespace heronway::cluster::copies {

template <typename Reply>
class MemberQueries {
 public:
  static constexpr std::size_t kMaxOpen = 256;
  // What is known when the query ends.
  struct Outcome {
    std::vector<std::pair<std::string, Reply>> replies;  // by member, in the order of arrival
    std::set<std::string> unanswered;                    // queried members that have not replied
  };
  using Done = std::function<void(Outcome)>;

  // `is_final` returns whether a reply ends its query regardless of the others.
  MemberQueries(net::Loop& loop, std::function<bool(const Reply&)> is_final)
      : loop_(loop), timer_(loop, [this] { EndExpired(); }), is_final_(std::move(is_final)) {}

  bool full() const { return open_.size() >= kMaxOpen; }
  std::size_t open() const { return open_.size(); }

  // The members that have not replied yet; null if the query has ended.
  const std::set<std::string>* Unanswered(std::uint64_t id) const {
    const auto it = open_.find(id);
    return it == open_.end() ? nullptr : &it->second.outcome.unanswered;
  }

  // Returns the id under which to query `members`, which must not be empty. `done` is called once: when all
  // have replied, a reply is final, or `timeout` microseconds have passed.
  std::uint64_t Start(const std::vector<std::string>& members, net::Micros timeout, Done done) {
    Query& query = open_[++last_id_];
    query.done = std::move(done);
    query.outcome.unanswered.insert(members.begin(), members.end());
    query.deadline = loop_.Now() + timeout;
    ArmTimer();
    return last_id_;
  }
  void OnReply(std::uint64_t id, const std::string& member, Reply reply) {
    const auto it = open_.find(id);
    if (it == open_.end() || it->second.outcome.unanswered.erase(member) == 0) return;
    const bool is_final = is_final_(reply);
    it->second.outcome.replies.emplace_back(member, std::move(reply));
    if (is_final || it->second.outcome.unanswered.empty()) End(it);
  }

 private:
  struct Query {
    Done done;
    Outcome outcome;
    net::Micros deadline = 0;
  };
  using Open = std::map<std::uint64_t, Query>;

  void End(typename Open::iterator it) {
    Query ended = std::move(it->second);
    open_.erase(it);
    ended.done(std::move(ended.outcome));
  }
  void EndExpired() {
    for (;;) {
      const auto due = std::find_if(open_.begin(), open_.end(),
                                    [now = loop_.Now()](const auto& q) { return q.second.deadline <= now; });
      if (due == open_.end()) break;
      End(due);
    }
    ArmTimer();
  }
  void ArmTimer() {
    const auto first = std::min_element(open_.begin(), open_.end(), [](const auto& a, const auto& b) {
      return a.second.deadline < b.second.deadline;
    });
    if (first == open_.end()) return;
    if (timer_.running() && timer_at_ <= first->second.deadline) return;
    timer_at_ = first->second.deadline;
    timer_.Start(std::max<net::Micros>(1, timer_at_ - loop_.Now()));
  }

  net::Loop& loop_;
  net::Timer timer_;
  net::Micros timer_at_ = 0;
  std::function<bool(const Reply&)> is_final_;
  std::uint64_t last_id_ = 0;
  Open open_;  // by query id
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_MEMBER_QUERIES_H_
