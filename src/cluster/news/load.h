// A worker's report as members pass it on: tenths of jobs that wait and of free slots, and back.
#ifndef HERONWAY_CLUSTER_NEWS_LOAD_H_
#define HERONWAY_CLUSTER_NEWS_LOAD_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "pebblenotch/brain.h"
#include "src/cluster/membership/membership.h"

namespace heronway::cluster {

inline std::uint16_t ToTenths(const std::optional<double>& value) {
  if (!value || !std::isfinite(*value)) return kUnsaid;
  return static_cast<std::uint16_t>(std::lround(std::clamp(*value, 0.0, 6'000.0) * 10));
}

// Free memory counts as the module counts it: a worker has no more room than either leaves.
inline SawWorker SawLoad(std::uint64_t target, const pebblenotch::Report& report) {
  SawWorker saw{FactKind::kLoad, target};
  saw.waiting = ToTenths(report.waiting);
  saw.free = std::min(ToTenths(report.free_slots), ToTenths(report.free_memory));
  return saw;
}

inline pebblenotch::Report ToReport(const Hint& hint) {
  pebblenotch::Report report;
  if (hint.waiting != kUnsaid) report.waiting = hint.waiting / 10.0;
  if (hint.free != kUnsaid) report.free_slots = hint.free / 10.0;
  return report;
}

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NEWS_LOAD_H_
