// The queue of member updates to disseminate. Each update is sent a bounded number of times, the least-sent
// first.
// Source: SWIM (Das, Gupta, Motivala 2002), section 4.1: infection-style dissemination, piggybacked on other
// messages.
#ifndef HERONWAY_CLUSTER_MEMBERSHIP_GOSSIP_H_
#define HERONWAY_CLUSTER_MEMBERSHIP_GOSSIP_H_

#include <map>
#include <utility>

#include "src/cluster/membership/member.h"

namespace heronway::cluster {

class Gossip {
 public:
  // An upper bound on the encoded size of an update, in bytes.
  static std::size_t SizeOf(const Update& update);

  // Queues an update, replacing any queued update about the same member.
  void Put(Update update);
  void Drop(const MemberId& id);
  // Appends updates to `out` until `max_bytes` are used, and counts them as sent. An update is removed once
  // it has been sent `max_sends` times. Updates about `except`, the receiving member, are left out.
  void Fill(std::size_t max_bytes, int max_sends, const MemberId& except, std::vector<Update>& out);
  bool empty() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }

 private:
  // The number of sends so far, then a serial number that decreases, so that the newest update goes first.
  using Priority = std::pair<int, std::uint64_t>;
  std::map<Priority, Update> queue_;
  std::map<MemberId, Priority> priority_of_;
  std::uint64_t next_serial_ = ~std::uint64_t{0};
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_GOSSIP_H_
