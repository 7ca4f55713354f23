// A fleet, its clients and its schedulers in virtual time: reducers without sockets, so that sizes can be
// tried that loopback does not reach. Deterministic for a seed.
//
// Workers have slots, a bounded queue, a cold start that rises evenly, and fall over when they are sent more
// than a set multiple of what they can do. Clients ask at a Poisson rate and come again when they are
// refused, failed or left without an answer: at once, after the wait they are told, or all together. The
// world audits the four rules as it goes.
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

// What a scheduler that has just started is told by two that run.
enum class Learns : std::uint8_t {
  kNothing,
  kPeers,
  kOneIsWrong,  // one of the two says the opposite of what it knows, and that it is news
  kOneIsStale,  // one of the two says what it knew 5 s ago, and that it is news
};

struct Plan {
  int schedulers = 1, workers = 12, clients = 1'000;
  double load = 1.0;  // of what the whole fleet can do
  Micros length = 45 * kS;
  Micros aim = 1'200 * kMs, deadline = 3'000 * kMs;
  double stretch = 1.75;
  bool one_class = false;  // else three, of which the rarest is worth most
  int tries = 4;           // a client's, at most
  double at_once = 0.5;    // of the clients come again at once; the others follow the wait they are told
  bool unnamed = false;    // clients have no key: a repeat is only marked as one
  double stays = 0.9;      // of the tries go to the scheduler of the one before
  // Deaths: `part` of the workers at each time, for `dead` each.
  std::vector<Micros> deaths = {10 * kS};
  double part = 0.25;
  Micros dead = 6 * kS, warm_up = 6 * kS;
  double cold_from = 0.3;
  Micros notice = 2 * kS;        // until the list tells of a death or a return
  std::vector<Micros> together;  // at these times every client that waits to come again comes
  std::uint64_t seed = 1;
  limits::Settings limits;
  // A fleet with a fresh member: the last scheduler starts at this time, with the list as it is told then;
  // before, nobody comes to it. -1: all run from the start.
  Micros fresh_at = -1;
  Learns learns = Learns::kNothing;
  bool probes = false;       // the site allows them
  Micros half_gone_at = -1;  // from then on nobody comes to the first half of the schedulers; -1: never
};

struct Second {
  int first_tries = 0, tries = 0, hops = 0, first_hops = 0;
  int served = 0, in_time = 0, refused = 0, failed = 0;  // by the try's end
  double value = 0;                                      // of what was in time: worth for each second of work
};

// What became of the tries of the fresh scheduler's first ten seconds.
struct Fresh {
  std::uint64_t asked = 0, in_time = 0, late = 0, lost = 0, hops = 0, hops_broken = 0;
  std::uint64_t learnt = 0, looked = 0;  // reports taken of others, probes that others' word brought about
};

struct Outcome {
  std::vector<Second> seconds;
  Fresh fresh;
  double cold_most = 0;        // work sent to a cold worker, of what fells it, at the most
  std::vector<int> cold_hops;  // a second, to workers that are cold
  std::uint64_t first_tries = 0, tries = 0, hops = 0, served = 0, in_time = 0;
  std::uint64_t unanswered = 0, twice = 0, second_copies = 0, bad_repeats = 0, to_the_gone = 0, fell = 0;
  // By how clients come again: of those first tries that were not served at once, how many were in the end.
  std::uint64_t turned[2] = {}, turned_served[2] = {};  // 0: at once, 1: follows the wait
  std::array<std::uint64_t, 3> asked_by_class{}, served_by_class{};
  limits::Counters limits;                   // summed over the schedulers
  std::vector<limits::StormChange> changes;  // of the first scheduler

  double InTimeBetween(int from, int to) const;  // a second
  double ValueBetween(int from, int to) const;   // likewise
  double HopsPerFirst(int from, int to) const;
  // Hops for each that was the first of a try that was taken: what the program itself adds.
  double Amplification(int from, int to) const;
  double TriesPerFirst(int from, int to) const;
  // Seconds after `from` until the value in time has been at `share` of what it was in the five before
  // `before`, over two seconds on end; -1: not by the end.
  int RecoveredAfter(int before, int from, double share) const;
  bool Clean() const { return unanswered + twice + second_copies + bad_repeats + to_the_gone + fell == 0; }
};

Outcome Play(const Plan& plan);

}  // namespace heronway::storm

#endif  // HERONWAY_BENCH_STORM_WORLD_H_
