// The limits as the reducer sees them: told what happens, asked what the decision module is to be given and
// what a refused client is to be told. No I/O, no clock, deterministic for a seed.
//
// What it decides: whether a storm is on, how large the budgets are, who came in time. Which job goes where,
// is repeated or is refused stays the decision module's, by these figures.
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
  std::uint64_t retries = 0;                 // arrivals that were repeats
  std::uint64_t on_time_retries = 0;         // that came in their time, and went before newcomers
  std::uint64_t early_retries = 0;           // that came too early, and were refused with the time left
  std::uint64_t oversubscribed_retries = 0;  // in their time, but the fleet had shrunk meanwhile
  std::uint64_t scheduled_sheds = 0;         // refusals with a time of their own
  std::uint64_t unscheduled_sheds = 0;       // refusals beyond the calendar's end
  std::uint64_t first_hops = 0, further_hops = 0;
  std::uint64_t budget_exhausted = 0;  // figures given that left a class without a further hop
  std::uint64_t storms = 0;
};

// A change of the storm's state; `job_class` -1: of the whole.
struct StormChange {
  int job_class;
  StormDetector::Change change;
  double missing_share;      // of the fleet's strength
  double starts_per_s;       // of held jobs
  double scheduled_retries;  // returns that are due, in mean jobs
};

class Limits {
 public:
  Limits(const Settings& settings, const pebblenotch::Settings& site, std::uint64_t seed);
  Limits(const Limits&) = delete;
  Limits& operator=(const Limits&) = delete;

  ClientHash HashOf(std::string_view client, int job_class) const {
    return clients_.HashOf(client, static_cast<std::uint64_t>(job_class));
  }

  // A request came. `marked`: its client says that it is a repeat. `names_job`: so does a name that was seen
  // of late; else the name tells only whose turn it is.
  struct Arrival {
    ReturnTiming return_timing = ReturnTiming::kNew;
    bool is_retry = false;
    Micros early_by = 0;  // with kEarly, for one that was told a time by name
  };
  Arrival Arrived(Micros now, int job_class, ClientHash client, bool marked, bool names_job);
  // The module refused it, advising a wait. Gives the wait to tell.
  Micros RequestShed(Micros now, int job_class, ClientHash client, Micros advice, const Arrival& came);
  void HopSent(Micros now, int job_class, bool further);
  // `time`: since it was sent. `waiting`: jobs are held or were refused of late.
  void HopEnded(Micros now, int job_class, Result result, Micros time, bool waiting);
  void RoutesChanged(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool whole);
  void Connected(Micros now) { watch_.Connected(now); }

  // The figures for the module, where they differ from what it has; ask before it is told of anything.
  std::optional<HostLimits> Update(Micros now);
  // Changes of state since the last call; ask until there is none.
  std::optional<StormChange> NextChange(Micros now);

  StormState state() const { return watch_.state(); }
  const Counters& counters() const { return counters_; }
  std::size_t bytes() const { return clients_.bytes(); }

 private:
  bool Uncalm(int job_class) const;
  double ReturnsAt(Micros at) const;

  Settings settings_;
  ClientTable clients_;
  FleetCapacity fleet_;
  ConcurrencyLimit intake_;
  RetryBudget budget_;
  StormDetector watch_;
  std::vector<StormDetector> class_watches_;
  Window newcomers_;  // in mean jobs
  double newcomers_per_s_ = 0;
  RetrySchedule calendar_;
  Counters counters_;
  std::optional<HostLimits> given_;
  Micros looked_ = -1, renewed_ = -1, refused_ = -1;
  double out_ = 0;
  std::vector<StormChange> changes_;

  static constexpr Micros kLook = 20'000;      // the watch is stepped and figures are made this often
  static constexpr Micros kRenew = 1'000'000;  // and the calendar's forecast
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_LIMITS_H_
