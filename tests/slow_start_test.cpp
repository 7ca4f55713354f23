// Slow start over the whole fleet in virtual time: drawn deployments and situations, right and wrong clocks.
#include <gtest/gtest.h>

#include "bench/slow_start/world.h"

namespace heronway::slow_start {
namespace {

constexpr std::uint64_t kFleets = 12;  // more by hand: slow_start_sim --drawn 150

// The sum of all processes' calls stays within what the settings allow a cold server, however wrong the
// clocks are by which its age is claimed.
TEST(SlowStart, NoDrawnFleetOverloadsAColdServer) {
  for (const Micros error : {0, 4'000'000, 30'000'000}) {
    double used = 0;
    for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
      Plan plan = Drawn(seed);
      plan.clock_error = error;
      const Outcome out = Play(plan);
      EXPECT_EQ(out.overloads, 0u) << "seed " << seed << ", clocks " << error << ": " << out.worst;
      used += out.used / static_cast<double>(kFleets);
    }
    EXPECT_GT(used, 0.02) << "cold servers must not be cut off";
  }
}

// Many processes that know no traffic yet, few servers, most of them cold.
TEST(SlowStart, ProcessesThatHaveJustStartedOverloadNobody) {
  Plan plan;
  plan.processes = 300;
  plan.servers = 14;
  plan.returns = 0.9;
  plan.starts_together = true;
  const Outcome out = Play(plan);
  EXPECT_EQ(out.overloads, 0u);
  EXPECT_LT(out.worst, 0.5);
}

}  // namespace
}  // namespace heronway::slow_start
