// Tests of slow start with a simulated fleet: random deployments and conditions, with correct and wrong
// clocks.
#include <gtest/gtest.h>

#include "bench/slow_start/world.h"

namespace heronway::slow_start {
namespace {

constexpr std::uint64_t kFleets = 12;  // kept short for CI; slow_start_sim --drawn 150 covers more

// The calls of all processes together stay within what the settings allow a cold server, even if the wall
// clocks that date its start are wrong.
TEST(SlowStart, NoRandomFleetOverloadsAColdServer) {
  for (const Micros clock_error : {0, 4'000'000, 30'000'000}) {
    double used = 0;
    for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
      Plan plan = RandomPlan(seed);
      plan.clock_error = clock_error;
      const Outcome outcome = Simulate(plan);
      EXPECT_EQ(outcome.overloads, 0u)
          << "seed " << seed << ", clock error " << clock_error << ": " << outcome.max_budget_ratio;
      used += outcome.used_share / static_cast<double>(kFleets);
    }
    EXPECT_GT(used, 0.02) << "cold servers must still receive calls";
  }
}

// Many processes without any observed traffic share few servers, most of them cold.
TEST(SlowStart, ProcessesThatHaveJustStartedOverloadNoServer) {
  Plan plan;
  plan.processes = 300;
  plan.servers = 14;
  plan.restarted_share = 0.9;
  plan.processes_start_together = true;
  const Outcome outcome = Simulate(plan);
  EXPECT_EQ(outcome.overloads, 0u);
  EXPECT_LT(outcome.max_budget_ratio, 0.5);
}

}  // namespace
}  // namespace heronway::slow_start
