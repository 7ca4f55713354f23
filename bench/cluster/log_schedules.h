// Schedules for a simulated cluster of replicated logs: exhaustive exploration of small schedules, and long
// random ones. Deterministic for a given seed.
#ifndef HERONWAY_BENCH_CLUSTER_LOG_SCHEDULES_H_
#define HERONWAY_BENCH_CLUSTER_LOG_SCHEDULES_H_

#include <string>

#include "bench/cluster/log_cluster.h"

namespace heronway::cluster::log {

// Limits on the steps of one schedule. Loss and reordering of messages need no limit: messages are delivered
// in any order, and one that is never delivered is lost.
struct ExplorationBudget {
  int proposals = 2, timeouts = 1, heartbeats = 1, crashes = 1, duplicates = 0, compactions = 0, depth = 24;
  std::size_t max_states = 200'000;  // exploration stops here and is reported as incomplete
  bool slow_disks = false;           // a sync is a separate step instead of immediate
};
struct ExplorationResult {
  std::uint64_t states = 0, steps = 0;
  std::uint64_t max_committed = 0;  // most entries committed in one schedule
  bool complete = true;             // no limit on depth or states was reached
  std::string violation;            // the first one; empty if there was none
};
// Explores all schedules within the budget. Starts from three servers that have a leader and no messages in
// flight.
ExplorationResult Explore(const ExplorationBudget& budget);

struct RandomScheduleOptions {
  int servers = 5, voters = 3;
  std::uint64_t seed = 1;
  std::uint64_t steps = 100'000;
  bool configuration_changes = true, snapshots = true, disks_lost = true;
};
struct RandomScheduleResult {
  std::uint64_t steps = 0, committed = 0, crashes = 0, partitions = 0, changes = 0, snapshots = 0;
  std::uint64_t elections = 0, disks_lost = 0, reads = 0;
  std::string violation;  // also set if the cluster does not recover after all faults have ended
};
RandomScheduleResult RunRandomSchedule(const RandomScheduleOptions& options);

}  // namespace heronway::cluster::log

#endif  // HERONWAY_BENCH_CLUSTER_LOG_SCHEDULES_H_
