// Plays of a replicated log: every schedule of a small size, and long ones by chance. Deterministic for a
// seed.
#ifndef HERONWAY_BENCH_CLUSTER_LOG_PLAY_H_
#define HERONWAY_BENCH_CLUSTER_LOG_PLAY_H_

#include <string>

#include "bench/cluster/log_world.h"

namespace heronway::cluster::log {

// How often each may happen in a schedule. What is never delivered is lost, and the order is any: neither
// needs a budget.
struct Budget {
  int proposals = 2, timeouts = 1, heartbeats = 1, crashes = 1, twice = 0, compactions = 0, depth = 24;
  std::size_t most_states = 200'000;  // then it ends, and says so
  bool slow_disks = false;            // a sync is a step of its own
};
struct Explored {
  std::uint64_t states = 0, steps = 0, chosen = 0;
  bool whole = true;
  std::string breach;
};
// Three servers, of which one leads and all is still.
Explored Explore(const Budget& budget);

struct Chance {
  int servers = 5, voters = 3;
  std::uint64_t seed = 1;
  std::uint64_t steps = 100'000;
  bool members_change = true, snapshots = true, disks_lost = true;
};
struct Played {
  std::uint64_t steps = 0, chosen = 0, crashes = 0, cuts = 0, changes = 0, snapshots = 0, elections = 0;
  std::uint64_t disks_lost = 0, reads = 0;
  std::string breach;  // or that it does not get well when all faults end
};
Played Play(const Chance& chance);

}  // namespace heronway::cluster::log

#endif  // HERONWAY_BENCH_CLUSTER_LOG_PLAY_H_
