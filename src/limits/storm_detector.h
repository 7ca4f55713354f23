// Tells whether a retry storm is on: calm, rising, storm, easing, with the figures that say so.
//
//            pressure >= rising            pressure >= storm
//     calm ----------------------> rising ------------------> storm
//      ^  ^                         |                         |   ^
//      |  +---- under, settle ------+          under, settle  |   | pressure >= storm
//      |                                                      v   |
//      +------------- under rising, settle ----------------- easing
//
// A level must hold for `confirm` before it is entered and be under two thirds of itself for `settle` before
// it is left, so that a single burst or a single quiet second changes nothing.
//
// Pressure is the greatest of five signals, each from 0 to 1:
//   repeats     share of arrivals that are repeats
//   refusals    share of arrivals that were refused
//   failures    share of hops that failed (not those declined as full)
//   reconnects  share by which connections come faster than their usual rate
//   cold        share of the fleet that is missing or cold, counted only along with one of the others: a
//               rolling restart on a quiet day is no storm
#ifndef HERONWAY_LIMITS_STORM_DETECTOR_H_
#define HERONWAY_LIMITS_STORM_DETECTOR_H_

#include <array>
#include <cstdint>

#include "src/limits/window.h"

namespace heronway::limits {

enum class StormState : std::uint8_t { kCalm, kRising, kStorm, kEasing };
enum class Signal : std::uint8_t { kRetries, kSheds, kFailures, kReconnects, kSlowStart };
inline constexpr std::size_t kSignals = 5;
const char* NameOf(StormState state);
const char* NameOf(Signal signal);

class StormDetector {
 public:
  explicit StormDetector(const StormSettings& settings);

  void Arrived(Micros now, bool repeat);
  void Refused(Micros now) { refused_.Add(now, 1); }
  void HopSent(Micros now) { hops_.Add(now, 1); }
  void HopFailed(Micros now) { failed_.Add(now, 1); }
  void Connected(Micros now) { connected_.Add(now, 1); }
  void FleetIs(double cold_share) { cold_share_ = cold_share; }

  struct Change {
    StormState from, to;
    Signal reason;
    std::array<double, kSignals> signals;
    double arrivals_per_s;
  };
  // Moves the state on by the clock. True, and `change` filled in, when it changed. At most one step a call.
  bool Step(Micros now, Change& change);

  StormState state() const { return state_; }
  std::uint64_t storms() const { return storms_; }

 private:
  std::array<double, kSignals> Measure(Micros now);

  StormSettings settings_;
  Window arrived_, repeats_, refused_, hops_, failed_, connected_;
  double cold_share_ = 0;
  double usual_connects_ = -1;  // a second, over a long time
  Micros learned_ = 0, began_ = -1;
  StormState state_ = StormState::kCalm;
  Micros over_since_ = -1;   // pressure has been at the next level since
  Micros under_since_ = -1;  // pressure has been under this level since
  std::uint64_t storms_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_STORM_DETECTOR_H_
