// Measures the cost of the limits per event: arrivals of known clients, a storm of new keys, a client that
// retries continuously, a shed request with its retry reservation, and hops.
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

// Limits with a known fleet of 1000 workers and known hop durations.
struct LimitsFixture {
  LimitsFixture() : limits(Enabled(), Site(), 7) {
    std::vector<pebblenotch::WorkerEntry> fleet(1000);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet[i].id = i + 1;
      if (i % 4 == 0) fleet[i].started_at = now;  // a quarter is in slow start
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
  LimitsFixture f;
  std::uint64_t n = 0;
  std::string name = "client-0000000000000000";
  for (auto _ : state) {
    f.now += state.range(0);
    n = (n + 1) % 5000;
    for (int i = 0; i < 8; ++i)
      name[static_cast<std::size_t>(7 + i)] = static_cast<char>('0' + (n >> (4 * i) & 15));
    const auto hash = f.limits.HashOf(name, 0);
    benchmark::DoNotOptimize(f.limits.Arrived(f.now, 0, hash, false, true));
    benchmark::DoNotOptimize(f.limits.Update(f.now));
  }
  state.counters["table_bytes"] = static_cast<double>(f.limits.bytes());
}
BENCHMARK(Arrival)->Arg(1000)->Arg(10);

void ArrivalOfNewKeys(benchmark::State& state) {  // each arrival has a key never seen before
  LimitsFixture f;
  std::uint64_t n = 0;
  for (auto _ : state) {
    f.now += 10;
    const std::uint64_t key = ++n * 0x9e3779b97f4a7c15ULL;
    const auto hash = f.limits.HashOf({reinterpret_cast<const char*>(&key), sizeof key}, 0);
    benchmark::DoNotOptimize(f.limits.Arrived(f.now, 0, hash, false, true));
    benchmark::DoNotOptimize(f.limits.Update(f.now));
  }
  state.counters["table_bytes"] = static_cast<double>(f.limits.bytes());
}
BENCHMARK(ArrivalOfNewKeys);

void ShedAndReserve(benchmark::State& state) {
  LimitsFixture f;
  std::uint64_t n = 0;
  for (auto _ : state) {
    f.now += 100;
    const std::uint64_t key = ++n;
    const auto hash = f.limits.HashOf({reinterpret_cast<const char*>(&key), sizeof key}, 0);
    const auto arrival = f.limits.Arrived(f.now, 0, hash, false, true);
    benchmark::DoNotOptimize(f.limits.Update(f.now));
    benchmark::DoNotOptimize(f.limits.RequestShed(f.now, 0, hash, 500'000, arrival));
  }
}
BENCHMARK(ShedAndReserve)->Name("RefusedAndBooked");

void ContinuousRetries(benchmark::State& state) {  // one shed client that retries continuously
  LimitsFixture f;
  const auto hash = f.limits.HashOf("hammer", 0);
  for (auto _ : state) {
    f.now += 10;
    const auto arrival = f.limits.Arrived(f.now, 0, hash, true, true);
    benchmark::DoNotOptimize(f.limits.Update(f.now));
    benchmark::DoNotOptimize(f.limits.RequestShed(f.now, 0, hash, 500'000, arrival));
  }
}
BENCHMARK(ContinuousRetries)->Name("Hammering");

void HopAndFinish(benchmark::State& state) {
  LimitsFixture f;
  for (auto _ : state) {
    f.now += 100;
    f.limits.HopSent(f.now, 1, false);
    f.limits.HopEnded(f.now, 1, Result::kOk, 200'000, true);
    benchmark::DoNotOptimize(f.limits.Update(f.now));
  }
}
BENCHMARK(HopAndFinish);

}  // namespace
