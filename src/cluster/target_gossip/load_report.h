// Converts between a worker's load report and its gossiped form: waiting jobs and free slots, in tenths.
#ifndef HERONWAY_CLUSTER_TARGET_GOSSIP_LOAD_REPORT_H_
#define HERONWAY_CLUSTER_TARGET_GOSSIP_LOAD_REPORT_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "pebblenotch/brain.h"
#include "src/cluster/membership/membership.h"

namespace heronway::cluster {

// Values are clamped to 0..6000; a missing or non-finite value gives kNotReported.
inline std::uint16_t ToTenths(const std::optional<double>& value) {
  if (!value || !std::isfinite(*value)) return kNotReported;
  return static_cast<std::uint16_t>(std::lround(std::clamp(*value, 0.0, 6'000.0) * 10));
}

// Free capacity is the smaller of free slots and free memory, as in the decision module.
inline TargetObservation LoadObservation(std::uint64_t target, const pebblenotch::Report& report) {
  TargetObservation observation{FactKind::kLoad, target};
  observation.waiting = ToTenths(report.waiting);
  observation.free = std::min(ToTenths(report.free_slots), ToTenths(report.free_memory));
  return observation;
}

inline pebblenotch::Report ToReport(const TargetAdvice& advice) {
  pebblenotch::Report report;
  if (advice.waiting != kNotReported) report.waiting = advice.waiting / 10.0;
  if (advice.free != kNotReported) report.free_slots = advice.free / 10.0;
  return report;
}

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_TARGET_GOSSIP_LOAD_REPORT_H_
