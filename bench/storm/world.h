// Simulates a fleet of workers, its clients and its schedulers in virtual time. The schedulers are reducers
// without sockets, so the fleet can be larger than one that communicates over loopback. Deterministic for a
// seed.
//
// Workers have slots, a bounded queue and a slow start with linearly rising speed. A worker in slow start
// fails if it is sent more than a set multiple of its capacity. Requests arrive at a Poisson rate. Clients
// retry if they are shed, get a failure or get no answer: immediately, after the retry delay they were sent,
// or all at the same time. The simulation counts violations of the rules that Outcome::KeepsAllRules checks.
#ifndef HERONWAY_BENCH_STORM_WORLD_H_
#define HERONWAY_BENCH_STORM_WORLD_H_

#include <array>
#include <cstdint>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "src/core/reducer.h"

namespace heronway::storm {

using core::Micros;
inline constexpr Micros kMs = 1'000, kS = 1'000'000;

// What two running schedulers report about targets to one that has just started.
enum class PeerReports : std::uint8_t {
  kNothing,
  kCorrect,
  kOneWrong,  // one peer reports the opposite of what it knows, as current
  kOneStale,  // one peer reports what it knew 5 s ago, as current
};

// Parameters of a simulation. All times are in microseconds; points in time count from its start.
struct Plan {
  int schedulers = 1, workers = 12, clients = 1'000;
  double load = 1.0;  // first tries, as a share of the capacity of the whole fleet
  Micros duration = 45 * kS;
  Micros aim = 1'200 * kMs, deadline = 3'000 * kMs;
  double aim_stretch = 1.75;
  bool one_class = false;              // otherwise three, of which the least frequent has the highest worth
  int max_tries = 4;                   // of each client
  double immediate_retry_share = 0.5;  // of the clients; the others wait for the retry delay that they get
  bool without_client_key = false;     // a retry is recognized only by its mark
  double same_scheduler_share = 0.9;   // share of the retries that go to the scheduler of the previous try
  // At each of these times, `outage_share` of the workers stop for `outage_duration`.
  std::vector<Micros> outages_at = {10 * kS};
  double outage_share = 0.25;
  Micros outage_duration = 6 * kS, slow_start_time = 6 * kS;
  double slow_start_floor = 0.3;
  Micros list_delay = 2 * kS;  // until the route list shows that a worker stopped; half of it for a start
  std::vector<Micros> simultaneous_retries_at;  // every client that waits to retry does so at these times
  std::uint64_t seed = 1;
  limits::Settings limits;
  // The last scheduler starts at this time, with the route list of that time; earlier, no client uses it.
  // -1: all schedulers run from the start.
  Micros new_scheduler_at = -1;
  PeerReports peer_reports = PeerReports::kNothing;
  bool probes = false;          // the settings allow probes
  Micros half_stopped_at = -1;  // from then on no client uses the first half of the schedulers; -1: never
};

// Counts for one second of the simulation.
struct Second {
  int first_tries = 0, tries = 0, hops = 0, first_hops = 0;
  int served = 0, in_time = 0, shed = 0, failed = 0;  // in the second in which the try ended
  double value = 0;                                   // of tries served in time: worth times seconds of work
};

// Outcomes of the tries that the new scheduler received in its first ten seconds. `lost` tries were not
// served, `hops_broken` ended without a result.
struct NewScheduler {
  std::uint64_t tries = 0, in_time = 0, late = 0, lost = 0, hops = 0, hops_broken = 0;
  std::uint64_t loads_adopted = 0, suspicions = 0;  // from peers: loads that it used, targets that it probed
};

struct Outcome {
  std::vector<Second> seconds;
  NewScheduler new_scheduler;
  double max_cold_load = 0;       // highest work sent to a cold worker, as a share of what overloads it
  std::vector<int> hops_to_cold;  // hops to workers in slow start, by second
  std::uint64_t first_tries = 0, tries = 0, hops = 0, served = 0, in_time = 0;
  // Violations of rules: tries without an answer, tries answered twice, hops sent while another was in
  // flight, unsafe retries, hops to workers listed as gone, and cold workers that were overloaded.
  std::uint64_t unanswered = 0, answered_twice = 0, concurrent_hops = 0, unsafe_retries = 0, hops_to_gone = 0,
                overloads = 0;
  // Requests that were not served at the first try, and how many of them were served in the end. Index 0: by
  // clients that retry immediately, 1: by clients that wait for the retry delay.
  std::uint64_t retried[2] = {}, retried_served[2] = {};
  std::array<std::uint64_t, 3> requests_by_class{}, served_by_class{};
  limits::Counters limits;                   // summed over the schedulers
  std::vector<limits::StormChange> changes;  // of the first scheduler

  // Averages per second over the seconds from `from` to before `to`.
  double InTimeBetween(int from, int to) const;
  double ValueBetween(int from, int to) const;
  // Ratios over the same seconds.
  double HopsPerFirstTry(int from, int to) const;
  // All hops for each first hop of a try: the load that the schedulers add by themselves.
  double Amplification(int from, int to) const;
  double TriesPerFirstTry(int from, int to) const;
  // Seconds after `from` until ValueBetween over two seconds is at least `share` of its average over the five
  // seconds before `before`; -1: not by the end.
  int SecondsToRecover(int before, int from, double share) const;
  bool KeepsAllRules() const {
    return unanswered + answered_twice + concurrent_hops + unsafe_retries + hops_to_gone + overloads == 0;
  }
};

Outcome Simulate(const Plan& plan);

}  // namespace heronway::storm

#endif  // HERONWAY_BENCH_STORM_WORLD_H_
