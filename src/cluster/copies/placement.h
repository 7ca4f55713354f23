// Which members keep copies of a scheduler's log. Pure: the same members give the same places everywhere,
// with no word between them; and a member that comes or goes moves few copies. Source: rendezvous hashing
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
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
  Micros gone_since = -1;  // held for dead, or has left, since; -1: it is there
};

// The `copies` members, the owner first where it is among `members`, in falling order of preference. No two
// in one zone while a zone without one is left. Members that are gone are not chosen.
std::vector<std::string> ChooseReplicas(const std::string& owner, const std::vector<Candidate>& members,
                                        int copies);

// A change of one copy. `add` empty: too many are kept; `remove` empty: too few.
struct ReplicaChange {
  std::string add, remove;
};
// What should be changed next, where `holders` keep the copies now; nothing: all is well, or has to wait.
// A member that is gone is replaced after `patience`, so that a restart moves nothing; a better place than
// one that is there is taken only with `balance`, and never for the owner's own copy.
std::optional<ReplicaChange> NextChange(const std::string& owner, const std::vector<std::string>& current,
                                        const std::vector<Candidate>& members, int copies, Micros now,
                                        Micros replacement_delay, bool rebalance);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_PLACEMENT_H_
