// A fleet of decision modules and servers in virtual time, for one question: does a server in slow start ever
// get more calls from all processes together than the settings allow it?
//
// A server has slots and a bounded queue; while it is in slow start its slots run at a share of their speed
// that rises evenly from `cold_from` to 1 over `warm_up`. Its budget N at a moment is what the settings allow
// it in one window: overload factor x share x slots x window / mean run time. More calls in one window than
// N + 2 sqrt(N) + 2 (N under 30: N + 3 sqrt(N) + 3) are an overload. Deterministic for a seed.
#ifndef HERONWAY_BENCH_SLOW_START_WORLD_H_
#define HERONWAY_BENCH_SLOW_START_WORLD_H_

#include <cstdint>
#include <string>

#include "pebblenotch/brain.h"

namespace heronway::slow_start {

using pebblenotch::Micros;

struct Plan {
  int processes = 3, servers = 36;
  int told_processes = 0;  // what the settings say of `processes`; 0: the truth
  int slots = 2, queue = 8;
  Micros run = 700'000;  // mean, on a warm slot
  double load = 0.6;     // first tries, of what all servers can do when they are warm
  int tries = 1;         // a client's, at most: a refused or failed one comes again at once
  Micros length = 30'000'000;
  Micros restart_every = 0;  // each process is replaced so often, in turn; 0: never
  Micros returns_at = 10'000'000;
  double returns = 0.2;          // of the servers come back cold then, after a second away
  Micros burst_at = -1;          // from then on for a second five times the usual requests; -1: never
  Micros lull_before = 0;        // no requests for so long before the burst
  bool starts_together = false;  // all processes start as the servers return, and know nothing
  bool probes = true;            // the site allows them
  // What clocks claim is so much earlier than each start was; the modules know when they heard of it.
  Micros clock_error = 0;
  double cold_from = 0.3;
  Micros warm_up = 8'000'000, window = 3'000'000;
  double overload_factor = 3;
  std::uint64_t seed = 1;
};

struct Outcome {
  std::uint64_t asked = 0, served = 0, calls = 0, cold_calls = 0;
  std::uint64_t overloads = 0;  // servers that got more than the settings allow, counted once a return
  double worst = 0;             // calls in a window, of what is allowed with its slack, at the most
  double used = 0;              // calls to cold servers, of N over all windows, on average
};

// A deployment and a situation drawn at random: sizes, settings, load, restarts, retry storms, bursts.
Plan Drawn(std::uint64_t seed);

Outcome Play(const Plan& plan);

}  // namespace heronway::slow_start

#endif  // HERONWAY_BENCH_SLOW_START_WORLD_H_
