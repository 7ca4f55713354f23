// Detects retry storms. The state is calm, rising, storm or easing:
//
//            pressure >= rising            pressure >= storm
//     calm ----------------------> rising ------------------> storm
//      ^  ^                         |                         |   ^
//      |  +---- under, settle ------+          under, settle  |   | pressure >= storm
//      |                                                      v   |
//      +------------- under rising, settle ----------------- easing
//
// Pressure must stay at a level for `confirm` to enter it, and below two thirds of the level for `settle` to
// leave it, so that a single burst or a single quiet second changes nothing.
//
// Pressure is the largest of five signals, each from 0 to 1, listed by their names in the log:
//   repeats     share of arrivals that are retries
//   refusals    share of arrivals that were shed
//   failures    share of hops that failed (not those rejected by a full target)
//   reconnects  excess of the connection rate over twice its usual value, as a share of the rate
//   cold        share of the fleet's capacity that is missing or in slow start, counted only together with
//               one of the others: a rolling restart under light load is not a storm
#ifndef HERONWAY_LIMITS_STORM_DETECTOR_H_
#define HERONWAY_LIMITS_STORM_DETECTOR_H_

#include <array>
#include <cstdint>

#include "src/limits/window.h"

namespace heronway::limits {

enum class StormState : std::uint8_t { kCalm, kRising, kStorm, kEasing };
enum class Signal : std::uint8_t { kRetries, kSheds, kFailures, kReconnects, kMissingCapacity };
inline constexpr std::size_t kSignals = 5;
// Names in the log.
const char* NameOf(StormState state);
const char* NameOf(Signal signal);

class StormDetector {
 public:
  explicit StormDetector(const StormSettings& settings);

  void Arrived(Micros now, bool is_retry);
  void RequestShed(Micros now) { sheds_.Add(now, 1); }
  void HopSent(Micros now) { hops_.Add(now, 1); }
  void HopFailed(Micros now) { failures_.Add(now, 1); }
  void Connected(Micros now) { connections_.Add(now, 1); }
  // `missing_share`: of the fleet's usual capacity, see FleetCapacity::MissingShare.
  void SetMissingShare(double missing_share) { missing_share_ = missing_share; }

  struct Change {
    StormState from, to;
    Signal reason;                         // the largest signal
    std::array<double, kSignals> signals;  // by Signal
    double arrivals_per_s;
  };
  // Updates the state. Returns true and fills in `change` if it changed. At most one transition per call.
  bool Update(Micros now, Change& change);

  StormState state() const { return state_; }
  // Storms so far; a return from easing to storm is the same storm.
  std::uint64_t storms() const { return storms_; }

 private:
  std::array<double, kSignals> Measure(Micros now);

  StormSettings settings_;
  Window arrivals_, retries_, sheds_, hops_, failures_, connections_;
  double missing_share_ = 0;
  double usual_connection_rate_ = -1;  // per second, long-term average; -1: not known yet
  Micros last_measured_at_ = 0, first_measured_at_ = -1;
  StormState state_ = StormState::kCalm;
  Micros above_since_ = -1;  // since when pressure has been at the next level; -1: it is not
  Micros below_since_ = -1;  // since when pressure has been low enough to leave this level; -1: it is not
  std::uint64_t storms_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_STORM_DETECTOR_H_
