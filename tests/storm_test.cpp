// Retry storms in virtual time, small enough for CI. Each story is played with the limits on; where the
// limits are what saves it, it is played without them as well and must show the failure.
#include <gtest/gtest.h>

#include "bench/storm/world.h"

namespace heronway::storm {
namespace {

Plan On(double load, std::uint64_t seed = 1) {
  Plan plan;
  plan.load = load;
  plan.seed = seed;
  plan.limits.enabled = true;
  return plan;
}

TEST(Storm, MetastableWithoutLimitsAndBackWithinAWarmUpWithThem) {
  Plan plan = On(1.0);
  plan.one_class = true;
  const Outcome on = Play(plan);
  EXPECT_TRUE(on.Clean());
  const int back = on.RecoveredAfter(10, 16, 0.95);
  EXPECT_TRUE(back >= 0 && back <= 6) << back;
  plan.limits.enabled = false;
  const Outcome off = Play(plan);
  EXPECT_EQ(off.RecoveredAfter(10, 16, 0.95), -1);  // the failure that the limits are for
  EXPECT_LT(off.InTimeBetween(16, 24), 0.6 * on.InTimeBetween(16, 24));
}

TEST(Storm, AQuietDayIsTheSameWithAndWithoutLimits) {
  Plan plan = On(0.6);
  plan.deaths.clear();
  const Outcome on = Play(plan);
  plan.limits.enabled = false;
  const Outcome off = Play(plan);
  EXPECT_EQ(on.served, off.served);
  EXPECT_EQ(on.in_time, off.in_time);
  EXPECT_TRUE(on.changes.empty());
}

TEST(Storm, HopsPerFirstTryStayBounded) {
  for (const std::uint64_t seed : {1, 2}) {
    const Outcome on = Play(On(1.3, seed));
    EXPECT_TRUE(on.Clean());
    EXPECT_LE(on.Amplification(10, 24), 1.1);
  }
}

TEST(Storm, ClientsThatFollowTheWaitFareBetterThanThoseThatHammer) {
  const Outcome on = Play(On(1.0));
  ASSERT_GT(on.turned[0], 50u);
  const auto share = [&](int kind) {
    return static_cast<double>(on.turned_served[kind]) / static_cast<double>(on.turned[kind]);
  };
  EXPECT_GT(share(1), share(0));
  EXPECT_GT(on.limits.early, 100u);
}

TEST(Storm, NorDoesHammeringPayForClientsWithoutAName) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Plan plan = On(1.0, seed);
    plan.one_class = plan.unnamed = true;
    const Outcome on = Play(plan);
    EXPECT_TRUE(on.Clean());
    EXPECT_GT(on.turned_served[1] * on.turned[0], on.turned_served[0] * on.turned[1]) << seed;
  }
}

TEST(Storm, NoClassIsStarvedByOneOfMoreWorth) {
  const Outcome on = Play(On(1.3));
  for (const int c : {0, 1, 2}) {
    const auto i = static_cast<std::size_t>(c);
    EXPECT_GT(static_cast<double>(on.served_by_class[i]) / static_cast<double>(on.asked_by_class[i]), 0.03)
        << c;
  }
}

TEST(Storm, EveryClientComingAtTheSameMomentBreaksNoRule) {
  Plan plan = On(1.0);
  plan.at_once = 0;
  plan.together = {17 * kS, 18 * kS, 19 * kS};
  const Outcome on = Play(plan);
  EXPECT_TRUE(on.Clean());
  const int back = on.RecoveredAfter(10, 19, 0.95);
  EXPECT_TRUE(back >= 0 && back <= 8) << back;
}

TEST(Storm, AQuarterThatDiesAgainDuringTheRampFellsNoColdWorker) {
  Plan plan = On(1.0);
  plan.deaths = {10 * kS, 18 * kS};
  const Outcome on = Play(plan);
  EXPECT_TRUE(on.Clean());
  const int back = on.RecoveredAfter(10, 24, 0.95);
  EXPECT_TRUE(back >= 0 && back <= 10) << back;
}

TEST(Storm, SchedulersThatShareNothingEachTakeTheirPart) {
  Plan plan = On(1.0);
  plan.schedulers = 4;
  plan.workers = 48;
  plan.clients = 4'000;
  const Outcome on = Play(plan);
  EXPECT_TRUE(on.Clean());
  EXPECT_LE(on.Amplification(10, 24), 1.1);
}

}  // namespace
}  // namespace heronway::storm
