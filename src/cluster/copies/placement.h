// Chooses the members that keep replicas of a scheduler's log. The result depends on the members alone, so
// all members agree without messages, and a member that joins or leaves moves few replicas. It is rendezvous
// hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
#ifndef HERONWAY_CLUSTER_COPIES_PLACEMENT_H_
#define HERONWAY_CLUSTER_COPIES_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heronway::cluster::copies {

using Micros = std::int64_t;

struct Candidate {
  std::string name, zone;
  Micros gone_since = -1;  // when it was found dead or left; -1: it is present
};

// Returns up to `count` members in descending order of preference, the owner first if it is among `members`.
// No two are in one zone while a zone without a replica is left. Members that are gone are not chosen.
std::vector<std::string> ChooseReplicas(const std::string& owner, const std::vector<Candidate>& members,
                                        int count);

// A change of one replica. An empty `add` means that there are too many, an empty `remove` too few.
struct ReplicaChange {
  std::string add, remove;
};
// Returns the next change where the members in `current` keep the replicas now, or nothing if none is due. A
// gone member is replaced after `replacement_delay` microseconds, so that a restart moves nothing. A present
// member is replaced by a preferred one only with `rebalance`, and the owner's own replica never.
std::optional<ReplicaChange> NextChange(const std::string& owner, const std::vector<std::string>& current,
                                        const std::vector<Candidate>& members, int count, Micros now,
                                        Micros replacement_delay, bool rebalance);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_PLACEMENT_H_
