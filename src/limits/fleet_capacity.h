// The capacity of the fleet relative to its usual one, now and in the future. Missing workers count as 0;
// workers in slow start rise linearly from `slow_start_floor` to 1 over `slow_start_time`, as the site's
// settings define it. The unit is one worker at full capacity.
#ifndef HERONWAY_LIMITS_FLEET_CAPACITY_H_
#define HERONWAY_LIMITS_FLEET_CAPACITY_H_

#include <span>
#include <unordered_map>
#include <vector>

#include "src/limits/settings.h"

namespace heronway::limits {

class FleetCapacity {
 public:
  FleetCapacity(double slow_start_floor, Micros slow_start_time)
      : slow_start_floor_(slow_start_floor), slow_start_time_(slow_start_time) {}

  // Applies a list of workers, or changes to it. `is_full`: workers that are not listed are gone.
  void Apply(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool is_full);
  // Capacity at a time; for future times, as predicted from what is known now. O(workers in slow start).
  double CapacityAt(Micros at) const;
  // The share of the usual capacity that is missing now, 0 to 1. The usual capacity counts every worker that
  // was ready within the last kAbsenceWindow as a full one.
  double MissingShare(Micros now) const;
  bool known() const { return !members_.empty(); }

 private:
  static constexpr Micros kAbsenceWindow = 60'000'000;  // an absent worker counts as missing for this long
  struct Member {
    Micros started_at = 0;
    bool ready = false;
    Micros left_at = -1;             // when it stopped being ready
    std::uint64_t last_listing = 0;  // number of the latest list that named it
  };
  void Classify(Micros now);

  double slow_start_floor_;
  Micros slow_start_time_;
  std::unordered_map<pebblenotch::WorkerId, Member> members_;
  std::uint64_t lists_ = 0;          // applied so far
  double full_workers_ = 0;          // ready and past slow start
  std::vector<Micros> slow_starts_;  // start times of workers in slow start
  std::vector<Micros> departures_;   // when absent workers stopped being ready
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_FLEET_CAPACITY_H_
