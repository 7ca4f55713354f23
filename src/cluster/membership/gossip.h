// What is still to be passed on, each update a bounded number of times, the least sent first.
// Source: SWIM (Das, Gupta, Motivala 2002), section 4.1: infection-style dissemination on other messages.
#ifndef HERONWAY_CLUSTER_MEMBERSHIP_GOSSIP_H_
#define HERONWAY_CLUSTER_MEMBERSHIP_GOSSIP_H_

#include <map>
#include <utility>

#include "src/cluster/membership/member.h"

namespace heronway::cluster {

class Gossip {
 public:
  // The most bytes that an update takes on the wire.
  static std::size_t SizeOf(const Update& update);

  void Put(Update update);  // in the place of what was said of this member before
  void Drop(const MemberId& id);
  // Appends to `out` what fits into `bytes` and counts it as sent. `most_sends`: after so many it is done
  // with. `except`: the member that it goes to, which needs no news of itself.
  void Fill(std::size_t bytes, int most_sends, const MemberId& except, std::vector<Update>& out);
  bool empty() const { return queue_.empty(); }
  std::size_t size() const { return queue_.size(); }

 private:
  using Turn = std::pair<int, std::uint64_t>;  // sends so far; then the newest first
  std::map<Turn, Update> queue_;
  std::map<MemberId, Turn> turn_of_;
  std::uint64_t serial_ = ~std::uint64_t{0};
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_GOSSIP_H_
