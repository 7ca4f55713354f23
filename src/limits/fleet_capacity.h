// What share of its usual strength the fleet has, now and at times to come: workers that are missing count
// for nothing, cold ones rise evenly from `cold_from` to the full over `warm_up`, as the rules of the site
// state it. The unit is one warm worker.
#ifndef HERONWAY_LIMITS_FLEET_CAPACITY_H_
#define HERONWAY_LIMITS_FLEET_CAPACITY_H_

#include <span>
#include <unordered_map>
#include <vector>

#include "src/limits/settings.h"

namespace heronway::limits {

class FleetCapacity {
 public:
  FleetCapacity(double cold_from, Micros warm_up) : cold_from_(cold_from), warm_up_(warm_up) {}

  // `whole`: workers that are not named are gone.
  void Take(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool whole);
  // Warm workers' worth of strength at a time; for times to come, as far as is known now. O(cold workers).
  double StrengthAt(Micros at) const;
  // Of the strength that the fleet has when all that were ready within the last minute are warm, the share
  // that is missing now; 0 to 1.
  double MissingShare(Micros now) const;
  bool known() const { return !members_.empty(); }

 private:
  static constexpr Micros kMourned = 60'000'000;  // a worker that is gone counts as missing for so long
  struct Member {
    Micros since = 0;
    bool ready = false;
    Micros left = -1;  // when it stopped being ready
    std::uint64_t list = 0;
  };
  void Sort(Micros now);

  double cold_from_;
  Micros warm_up_;
  std::unordered_map<pebblenotch::WorkerId, Member> members_;
  std::uint64_t list_ = 0;
  double warm_ = 0;
  std::vector<Micros> cold_;  // start times
  std::vector<Micros> left_;  // times of leaving
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_FLEET_CAPACITY_H_
