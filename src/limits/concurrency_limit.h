// Measures how many hops may be in flight and at what rate held jobs start: the two figures by which the
// decision module decides what it may hold and send.
//
// Hops in flight: the gradient limit of Netflix's concurrency-limits (Gradient2). The duration of a hop, as a
// multiple of the usual duration of its class, goes into a short-term and a long-term average. If the
// short-term average exceeds `tolerance` times the long-term one, the limit shrinks in proportion, by half at
// most; otherwise it grows by its square root. Durations are relative to their class, so that a change in the
// mix of classes does not look like a slowdown.
//
// Start rate: the fleet's recent completion rate, corrected for changes in its capacity (workers that died or
// are in slow start). Several schedulers may share a fleet without knowing of each other; each sees only its
// own completions, which are its share.
#ifndef HERONWAY_LIMITS_CONCURRENCY_LIMIT_H_
#define HERONWAY_LIMITS_CONCURRENCY_LIMIT_H_

#include <vector>

#include "src/limits/window.h"

namespace heronway::limits {

class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const ConcurrencySettings& settings, int classes);

  // A hop was answered after `duration`. `in_flight`: hops in flight, including this one; `capacity`: of the
  // fleet, now; `saturated`: jobs are waiting or being shed, so that the completion rate is what the fleet
  // can sustain.
  void HopCompleted(Micros now, int job_class, Micros duration, double in_flight, double capacity,
                    bool saturated);
  // A hop was abandoned after `duration`, which counts as its duration although it would have taken longer.
  void HopTimedOut(Micros now, int job_class, Micros duration);

  // Hops that may be in flight.
  double MaxInFlight() const { return limit_; }
  // Held jobs that start per second; 0: not known yet.
  double StartsPerSecond(Micros now, double capacity);
  // Jobs per second that a worker at full capacity completes for this scheduler under saturation; 0: not
  // known yet.
  double JobsPerWorkerSecond() const { return jobs_per_worker_second_; }
  // Usual hop duration of a class relative to the mean of all hops; 1 if not known.
  double RelativeCost(int job_class) const;

 private:
  struct ClassAverage {
    double duration = 0;  // moving average in microseconds; 0: none yet
  };
  void Observe(double ratio, double in_flight);

  ConcurrencySettings settings_;
  std::vector<ClassAverage> class_averages_;
  double mean_duration_ = 0;                     // moving average over all classes, microseconds
  double short_average_ = 1, long_average_ = 1;  // of durations relative to their class averages
  double limit_;
  Window completions_;
  double usual_capacity_ = 0;
  double jobs_per_worker_second_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_CONCURRENCY_LIMIT_H_
