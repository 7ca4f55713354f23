// Schedules the retries of shed clients: time is divided into bins, filled at the rate that the fleet is
// predicted to sustain then.
//
// A reservation takes the first bin with free capacity and a random time in it (PCG, seeded), so that clients
// shed together do not retry together. It reserves a position before new clients, not a worker: a client that
// never retries costs nothing. The capacity of a bin comes from a forecast that is queried again whenever the
// schedule advances, so that another loss of workers shrinks future bins; clients scheduled beyond what a bin
// can then carry are treated as new clients when they retry.
//
// Clients without a name are matched by time alone: their retry times are counted in slots of 10 ms, and an
// arriving client claims the latest count that is due. One that arrives on time finds its own; one that
// arrives at random finds those of clients that never returned. One that arrives early is given a time but is
// not counted again, so repeated early retries create no reservations.
//
// Memory is fixed by `max_wait`, `grace` and `bin`. A reservation is O(1) on average: the latest run of full
// bins is skipped in one step.
#ifndef HERONWAY_LIMITS_RETRY_SCHEDULE_H_
#define HERONWAY_LIMITS_RETRY_SCHEDULE_H_

#include <functional>
#include <pcg_random.hpp>
#include <vector>

#include "src/limits/settings.h"

namespace heronway::limits {

class RetrySchedule {
 public:
  // Jobs per second, in units of a mean job, that retrying clients may submit at a future time.
  using Forecast = std::function<double(Micros at)>;
  RetrySchedule(const RetryScheduleSettings& settings, std::uint64_t seed, Forecast forecast);

  struct Reservation {
    Micros retry_at;
    bool reserved;  // false: the schedule is full to its end; the client will be treated as a new one
  };
  // Assigns a retry time at least `min_wait` from now. `cost`: of the job, in mean jobs. `anonymous`: the
  // client cannot be recognized by a name.
  Reservation Reserve(Micros now, Micros min_wait, double cost, bool anonymous);
  // How long a client that was assigned `at` must still wait; 0 if it arrives on time or late.
  Micros EarlyBy(Micros now, Micros at) const;
  // Whether a client that arrives on time goes before new clients; its bin may have shrunk since.
  bool Claim(Micros now, Micros at, double cost);
  // The same for an anonymous client: whether an anonymous retry time is due and not claimed yet.
  bool ClaimAnonymous(Micros now, double cost);
  // Whether any anonymous retry time is neither claimed nor past its grace.
  bool AnyAnonymous() const { return anonymous_count_ > 0; }
  // A wait for an anonymous client that arrived early, within the range of times already assigned.
  Micros AnonymousWait(Micros now);
  // Updates the capacity of all bins; to be called when the forecast has changed.
  void UpdateForecast(Micros now);
  // Jobs reserved from now on, in mean jobs.
  double ReservedJobs(Micros now);

 private:
  struct Bin {
    Micros begin = -1;
    double capacity = 0, reserved = 0, claimed = 0;  // in mean jobs
  };
  struct Slot {
    Micros number = -1;  // time divided by the slot length of 10 ms
    int count = 0;       // anonymous retry times in it that are not claimed yet
  };
  void Advance(Micros now);
  Bin& BinAt(Micros time) { return bins_[static_cast<std::size_t>(time / settings_.bin) % bins_.size()]; }
  Micros Uniform(Micros bound);  // 0 to `bound` - 1
  Slot& SlotAt(Micros number) { return slots_[static_cast<std::size_t>(number) % slots_.size()]; }
  void CountAnonymous(Micros retry_at);
  void ExpireSlotsBefore(Micros number);

  RetryScheduleSettings settings_;
  pcg32 random_;
  Forecast forecast_;
  std::vector<Bin> bins_;
  std::vector<Slot> slots_;
  int anonymous_count_ = 0;             // sum of the counts of all slots
  Micros first_live_slot_ = -1;         // number of the first slot that has not expired
  Micros latest_anonymous_ = 0;         // latest retry time given to an anonymous client
  Micros head_ = -1;                    // start of the current bin
  Micros full_from_ = 0, full_to_ = 0;  // all bins in [full_from_, full_to_) are full
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_RETRY_SCHEDULE_H_
