// What the limits cost for each arrival: usual clients, a storm of new keys, clients that hammer, and the
// whole way of a request that is refused and booked.
#include <benchmark/benchmark.h>

#include <string>

#include "src/limits/limits.h"

namespace {

using namespace heronway::limits;

pebblenotch::Settings Site() {
  pebblenotch::Settings s;
  s.classes.resize(3);
  s.classes[2].worth = 10;
  s.slow_start_time = 6'000'000;
  return s;
}

// Limits that know a fleet of a thousand and what it finishes.
struct Warm {
  Warm() : limits(Enabled(), Site(), 7) {
    std::vector<pebblenotch::WorkerEntry> fleet(1000);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet[i].id = i + 1;
      if (i % 4 == 0) fleet[i].started_at = now;  // a quarter is cold
    }
    limits.RoutesChanged(now, fleet, true);
    for (int i = 0; i < 2000; ++i) {
      now += 1'000;
      limits.Arrived(now, i % 3, limits.HashOf(std::to_string(i), 0), false, true);
      limits.HopSent(now, i % 3, false);
      limits.HopEnded(now, i % 3, Result::kOk, 200'000, true);
      limits.Update(now);
    }
  }
  static Settings Enabled() {
    Settings s;
    s.enabled = true;
    return s;
  }
  Micros now = 1'000'000'000;
  Limits limits;
};

// range(0): microseconds between arrivals.
void Arrival(benchmark::State& state) {
  Warm w;
  std::uint64_t n = 0;
  std::string name = "client-0000000000000000";
  for (auto _ : state) {
    w.now += state.range(0);
    n = (n + 1) % 5000;
    for (int i = 0; i < 8; ++i)
      name[static_cast<std::size_t>(7 + i)] = static_cast<char>('0' + (n >> (4 * i) & 15));
    const auto hash = w.limits.HashOf(name, 0);
    benchmark::DoNotOptimize(w.limits.Arrived(w.now, 0, hash, false, true));
    benchmark::DoNotOptimize(w.limits.Update(w.now));
  }
  state.counters["table_bytes"] = static_cast<double>(w.limits.bytes());
}
BENCHMARK(Arrival)->Arg(1000)->Arg(10);

void ArrivalOfNewKeys(benchmark::State& state) {  // a key that was never seen, each time
  Warm w;
  std::uint64_t n = 0;
  for (auto _ : state) {
    w.now += 10;
    const std::uint64_t key = ++n * 0x9e3779b97f4a7c15ULL;
    const auto hash = w.limits.HashOf({reinterpret_cast<const char*>(&key), sizeof key}, 0);
    benchmark::DoNotOptimize(w.limits.Arrived(w.now, 0, hash, false, true));
    benchmark::DoNotOptimize(w.limits.Update(w.now));
  }
  state.counters["table_bytes"] = static_cast<double>(w.limits.bytes());
}
BENCHMARK(ArrivalOfNewKeys);

void RefusedAndBooked(benchmark::State& state) {
  Warm w;
  std::uint64_t n = 0;
  for (auto _ : state) {
    w.now += 100;
    const std::uint64_t key = ++n;
    const auto hash = w.limits.HashOf({reinterpret_cast<const char*>(&key), sizeof key}, 0);
    const auto came = w.limits.Arrived(w.now, 0, hash, false, true);
    benchmark::DoNotOptimize(w.limits.Update(w.now));
    benchmark::DoNotOptimize(w.limits.RequestShed(w.now, 0, hash, 500'000, came));
  }
}
BENCHMARK(RefusedAndBooked);

void Hammering(benchmark::State& state) {  // one client, refused, that comes again all the time
  Warm w;
  const auto hash = w.limits.HashOf("hammer", 0);
  for (auto _ : state) {
    w.now += 10;
    const auto came = w.limits.Arrived(w.now, 0, hash, true, true);
    benchmark::DoNotOptimize(w.limits.Update(w.now));
    benchmark::DoNotOptimize(w.limits.RequestShed(w.now, 0, hash, 500'000, came));
  }
}
BENCHMARK(Hammering);

void HopAndFinish(benchmark::State& state) {
  Warm w;
  for (auto _ : state) {
    w.now += 100;
    w.limits.HopSent(w.now, 1, false);
    w.limits.HopEnded(w.now, 1, Result::kOk, 200'000, true);
    benchmark::DoNotOptimize(w.limits.Update(w.now));
  }
}
BENCHMARK(HopAndFinish);

}  // namespace
