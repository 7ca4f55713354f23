// Retry storms in virtual time, small enough for CI. Each story is played with the limits on; where the
// limits are what saves it, it is played without them as well and must show the failure.
#include <gtest/gtest.h>

#include <map>

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
  EXPECT_GT(on.limits.early_retries, 100u);
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

// A scheduler that starts in a fleet under load, just after a quarter of the workers died. Told by its peers
// it sends fewer of its jobs to the dead; a peer that is wrong or stale breaks no rule and fells no cold
// worker.
TEST(Fresh, LearnsOfItsPeersAndAWrongOneDoesNoHarm) {
  Plan plan;
  plan.schedulers = 4;
  plan.workers = 24;
  plan.load = 0.5;
  plan.length = 20 * kS;
  plan.fresh_at = 10'300 * kMs;
  plan.probes = true;
  std::map<Learns, Fresh> sum;
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    plan.seed = seed;
    for (const Learns l : {Learns::kNothing, Learns::kPeers, Learns::kOneIsWrong, Learns::kOneIsStale}) {
      plan.learns = l;
      const Outcome out = Play(plan);
      EXPECT_TRUE(out.Clean());
      EXPECT_LT(out.cold_most, 0.8);
      EXPECT_GT(out.fresh.asked, 200u);
      EXPECT_EQ(out.fresh.in_time, out.fresh.asked);
      sum[l].hops_broken += out.fresh.hops_broken;
      sum[l].learnt += out.fresh.learnt;
    }
  }
  EXPECT_EQ(sum[Learns::kNothing].learnt, 0u);
  EXPECT_GT(sum[Learns::kPeers].learnt, 20u);
  EXPECT_LT(2 * sum[Learns::kPeers].hops_broken, sum[Learns::kNothing].hops_broken);
}

// Half of the schedulers go at one moment while a quarter of the workers are cold: the others, who have their
// clients from then on, do not push twice and a half as much at cold workers at once, and fell none.
TEST(Fresh, AMassDeathOfSchedulersFloodsNoColdWorker) {
  Plan plan;
  plan.schedulers = 8;
  plan.workers = 24;
  plan.load = 0.6;
  plan.length = 24 * kS;
  plan.deaths = {6 * kS};
  plan.dead = 2 * kS;
  plan.warm_up = 8 * kS;
  double before = 0, after = 0;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    plan.seed = seed;
    plan.half_gone_at = 12 * kS;
    const Outcome gone = Play(plan);
    EXPECT_TRUE(gone.Clean()) << seed;
    EXPECT_LT(gone.cold_most, 0.8) << seed;
    plan.half_gone_at = -1;
    const Outcome all = Play(plan);
    for (const std::size_t s : {12, 13}) {
      before += all.cold_hops[s];
      after += gone.cold_hops[s];
    }
  }
  EXPECT_GT(before, 20);
  EXPECT_LT(after, 2.5 * before);
}

}  // namespace
}  // namespace heronway::storm
