// How many hops may be out, and at what rate held jobs leave: the two figures by which the decision module
// judges what it may hold and send.
//
// Hops out: the gradient limit of Netflix's concurrency-limits (Gradient2). The time of a hop, as a multiple
// of its class's usual one, is averaged over a short and a long time; where the short average is over
// `tolerance` times the long one, the limit shrinks in proportion, by half at the most; else it grows by its
// square root. Classes are made equal by their own usual times, so that a change in the mix is no delay.
//
// Rate of starts: what the fleet has finished of late, corrected by how its strength changes (dead workers,
// the ramp of cold ones). N schedulers share a fleet without knowing of each other: each sees only its own
// finishes, which are its part.
#ifndef HERONWAY_LIMITS_CONCURRENCY_LIMIT_H_
#define HERONWAY_LIMITS_CONCURRENCY_LIMIT_H_

#include <vector>

#include "src/limits/window.h"

namespace heronway::limits {

class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const ConcurrencySettings& settings, int classes);

  // A hop ended with an answer. `out`: hops that were out with it; `strength`: of the fleet, now;
  // `saturated`: jobs wait or are refused, so that what finishes is what the fleet can do.
  void Finished(Micros now, int job_class, Micros time, double out, double strength, bool saturated);
  // A hop was given up after so long: its time counts, as it would have taken longer still.
  void TimedOut(Micros now, int job_class, Micros time);

  double MostOut() const { return limit_; }
  // Held jobs that leave a second; 0: not known yet.
  double StartsPerSecond(Micros now, double strength);
  // Jobs a second that a warm worker takes from this scheduler when there are enough; 0: not known yet.
  double PerWorker() const { return per_worker_; }
  // A class's usual time of a hop in terms of the mean of all that ended; 1 where not known.
  double CostOf(int job_class) const;

 private:
  struct Usual {
    double time = 0;  // microseconds, over a long time
  };
  void Observe(double ratio, double out);

  ConcurrencySettings settings_;
  std::vector<Usual> usual_;
  double mean_time_ = 0;
  double short_ = 1, long_ = 1;  // of the times, as multiples of the usual
  double limit_;
  Window finished_;
  double usual_strength_ = 0;
  double per_worker_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_CONCURRENCY_LIMIT_H_
