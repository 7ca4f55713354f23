// The limits as used by the reducer, which reports events and queries the limits for the decision module and
// the retry times for shed clients. No I/O, no clock, deterministic for a given seed.
//
// This class decides whether there is a storm, how large the budgets are and which clients retry on time. The
// decision module, using these figures, decides where each job goes and whether it is retried or shed.
#ifndef HERONWAY_LIMITS_LIMITS_H_
#define HERONWAY_LIMITS_LIMITS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "src/limits/client_table.h"
#include "src/limits/concurrency_limit.h"
#include "src/limits/fleet_capacity.h"
#include "src/limits/retry_budget.h"
#include "src/limits/retry_schedule.h"
#include "src/limits/storm_detector.h"

namespace heronway::limits {

using pebblenotch::HostLimits;
using pebblenotch::Result;
using pebblenotch::ReturnTiming;

struct Counters {
  std::uint64_t retries = 0;          // arrivals that were client retries
  std::uint64_t on_time_retries = 0;  // arrived on time and went before new clients
  std::uint64_t early_retries = 0;    // arrived too early and were told the remaining wait
  // Not early but without priority: late, or the schedule had shrunk since.
  std::uint64_t oversubscribed_retries = 0;
  std::uint64_t scheduled_sheds = 0;    // sheds with a reserved retry time
  std::uint64_t unscheduled_sheds = 0;  // sheds beyond the end of the schedule
  std::uint64_t first_hops = 0, further_hops = 0;
  std::uint64_t budget_exhausted = 0;  // updates that withdrew further hops from a class
  std::uint64_t storms = 0;
};

// A change of the storm state. `job_class` is -1 for the state of all traffic.
struct StormChange {
  int job_class;
  StormDetector::Change change;
  double missing_share;      // of the fleet's usual capacity
  double starts_per_s;       // held jobs that start per second
  double scheduled_retries;  // retries reserved from now on, in mean jobs
};

class Limits {
 public:
  Limits(const Settings& settings, const pebblenotch::Settings& site, std::uint64_t seed);
  Limits(const Limits&) = delete;
  Limits& operator=(const Limits&) = delete;

  ClientHash HashOf(std::string_view client, int job_class) const {
    return clients_.HashOf(client, static_cast<std::uint64_t>(job_class));
  }

  // A request arrived. `marked_retry`: its client marked it as a retry. `names_job`: the client's name
  // identifies the job, so that a recently seen name also means a retry; otherwise the name is only used to
  // look up the client's retry time.
  struct Arrival {
    ReturnTiming return_timing = ReturnTiming::kNew;
    bool is_retry = false;
    Micros early_by = 0;  // with kEarly, if the client has a retry time of its own
  };
  Arrival Arrived(Micros now, int job_class, ClientHash client, bool marked_retry, bool names_job);
  // The module shed the request, advising a wait. Returns the wait to tell the client.
  Micros RequestShed(Micros now, int job_class, ClientHash client, Micros advised_wait,
                     const Arrival& arrival);
  // `further`: it is not the first hop of its job.
  void HopSent(Micros now, int job_class, bool further);
  // `duration`: since the hop was sent. `waiting`: jobs are waiting to be sent.
  void HopEnded(Micros now, int job_class, Result result, Micros duration, bool waiting);
  void RoutesChanged(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool is_full);
  void Connected(Micros now) { storm_.Connected(now); }

  // The limits for the module if they differ from those it has; to be called before each event for the
  // module.
  std::optional<HostLimits> Update(Micros now);
  // The oldest storm state change not returned yet; to be called until there is none.
  std::optional<StormChange> NextChange(Micros now);

  StormState state() const { return storm_.state(); }
  const Counters& counters() const { return counters_; }
  std::size_t bytes() const { return clients_.bytes(); }

 private:
  // Whether the state of all traffic or of the class is other than calm.
  bool IsNotCalm(int job_class) const;
  double RetryCapacityAt(Micros at) const;

  Settings settings_;
  ClientTable clients_;
  FleetCapacity fleet_;
  ConcurrencyLimit concurrency_;
  RetryBudget retry_budget_;
  StormDetector storm_;
  std::vector<StormDetector> class_storms_;
  Window new_jobs_;  // of new clients, in mean jobs
  double new_jobs_per_s_ = 0;
  RetrySchedule schedule_;
  Counters counters_;
  std::optional<HostLimits> last_update_;                                    // as last returned to the module
  Micros evaluated_at_ = -1, forecast_updated_at_ = -1, last_shed_at_ = -1;  // -1: never
  double hops_in_flight_ = 0;
  std::vector<StormChange> changes_;  // not returned yet

  static constexpr Micros kEvaluationPeriod = 20'000;   // of the storm state and the limits
  static constexpr Micros kForecastPeriod = 1'000'000;  // of the retry schedule's forecast
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_LIMITS_H_
