// Simulates a fleet of decision modules and servers in virtual time, to check that a server in slow start
// never receives more calls from all processes together than the settings allow.
//
// A server has slots and a bounded queue. During slow start its slots run at a share of their full speed that
// rises linearly from `slow_start_floor` to 1 over `slow_start_time`. Its budget N at a given time is the
// number of calls that the settings allow in one window: overload factor x share x slots x window / mean run
// time. The server counts as overloaded if one window has more than N + 2 sqrt(N) + 2 calls (for N below 30:
// N + 3 sqrt(N) + 3). Deterministic for a seed.
#ifndef HERONWAY_BENCH_SLOW_START_WORLD_H_
#define HERONWAY_BENCH_SLOW_START_WORLD_H_

#include <cstdint>
#include <string>

#include "pebblenotch/brain.h"

namespace heronway::slow_start {

using pebblenotch::Micros;

// Parameters of a simulation. All times are in microseconds; points in time count from its start.
struct Plan {
  int processes = 3, servers = 36;
  int configured_processes = 0;  // the number that the settings give; 0: `processes`
  int slots = 2, queue = 8;
  Micros mean_run_time = 700'000;  // mean, on a slot at full speed
  double load = 0.6;               // first tries, as a share of the capacity of all servers at full speed
  int max_tries = 1;               // of each client, which retries a shed or failed request immediately
  Micros duration = 30'000'000;
  Micros process_restart_interval =
      0;  // each process is replaced at this interval, from a random offset; 0: never
  Micros restart_at = 10'000'000;
  double restarted_share = 0.2;           // share of the servers that restart, after a second of downtime
  Micros burst_at = -1;                   // five times the usual request rate for one second; -1: never
  Micros lull = 0;                        // no requests arrive for this time before the burst
  bool processes_start_together = false;  // all processes start when the servers return
  bool probes = true;                     // the settings allow probes
  // The wall clocks date each start earlier than it was by this time. The modules also know when a start was
  // first reported.
  Micros clock_error = 0;
  double slow_start_floor = 0.3;
  Micros slow_start_time = 8'000'000, overload_window = 3'000'000;
  double overload_factor = 3;
  std::uint64_t seed = 1;
};

struct Outcome {
  // `requests` counts first tries, `served` those that succeeded, `calls` the attempts sent to servers.
  std::uint64_t requests = 0, served = 0, calls = 0, calls_to_cold = 0;
  std::uint64_t overloads = 0;  // servers that exceeded their budget, each counted at most once
  double max_budget_ratio = 0;  // highest ratio of the calls in a window to the limit for an overload
  double used_share = 0;        // calls to cold servers, as a share of their whole budgets
};

// Draws a plan at random: sizes, settings, load, restarts, retry storms and bursts.
Plan RandomPlan(std::uint64_t seed);

Outcome Simulate(const Plan& plan);

}  // namespace heronway::slow_start

#endif  // HERONWAY_BENCH_SLOW_START_WORLD_H_
