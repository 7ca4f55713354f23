// Tests of retry storms in a simulated fleet, small enough for CI. Each scenario runs with the limits on. If
// the limits are what prevents a failure, the scenario also runs without them and must show that failure.
#include <gtest/gtest.h>

#include <map>

#include "bench/storm/world.h"

namespace heronway::storm {
namespace {

Plan PlanWithLimits(double load, std::uint64_t seed = 1) {
  Plan plan;
  plan.load = load;
  plan.seed = seed;
  plan.limits.enabled = true;
  return plan;
}

TEST(Storm, MetastableWithoutLimitsAndRecoversWithinASlowStartWithThem) {
  Plan plan = PlanWithLimits(1.0);
  plan.one_class = true;
  const Outcome on = Simulate(plan);
  EXPECT_TRUE(on.KeepsAllRules());
  const int recovered_after = on.SecondsToRecover(10, 16, 0.95);
  EXPECT_TRUE(recovered_after >= 0 && recovered_after <= 6) << recovered_after;
  plan.limits.enabled = false;
  const Outcome off = Simulate(plan);
  EXPECT_EQ(off.SecondsToRecover(10, 16, 0.95), -1);  // the failure that the limits prevent
  EXPECT_LT(off.InTimeBetween(16, 24), 0.6 * on.InTimeBetween(16, 24));
}

TEST(Storm, LimitsChangeNothingWithoutAStorm) {
  Plan plan = PlanWithLimits(0.6);
  plan.outages_at.clear();
  const Outcome on = Simulate(plan);
  plan.limits.enabled = false;
  const Outcome off = Simulate(plan);
  EXPECT_EQ(on.served, off.served);
  EXPECT_EQ(on.in_time, off.in_time);
  EXPECT_TRUE(on.changes.empty());
}

TEST(Storm, HopsPerTryStayBounded) {
  for (const std::uint64_t seed : {1, 2}) {
    const Outcome on = Simulate(PlanWithLimits(1.3, seed));
    EXPECT_TRUE(on.KeepsAllRules());
    EXPECT_LE(on.Amplification(10, 24), 1.1);
  }
}

TEST(Storm, ClientsThatWaitAreServedMoreOftenThanThoseThatRetryImmediately) {
  const Outcome on = Simulate(PlanWithLimits(1.0));
  ASSERT_GT(on.retried[0], 50u);
  const auto served_share = [&](int kind) {
    return static_cast<double>(on.retried_served[kind]) / static_cast<double>(on.retried[kind]);
  };
  EXPECT_GT(served_share(1), served_share(0));
  EXPECT_GT(on.limits.early_retries, 100u);
}

TEST(Storm, ImmediateRetriesAreNoAdvantageForClientsWithoutAKey) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Plan plan = PlanWithLimits(1.0, seed);
    plan.one_class = plan.without_client_key = true;
    const Outcome on = Simulate(plan);
    EXPECT_TRUE(on.KeepsAllRules());
    EXPECT_GT(on.retried_served[1] * on.retried[0], on.retried_served[0] * on.retried[1]) << seed;
  }
}

TEST(Storm, NoClassIsStarvedByOneOfHigherWorth) {
  const Outcome on = Simulate(PlanWithLimits(1.3));
  for (const int c : {0, 1, 2}) {
    const auto i = static_cast<std::size_t>(c);
    EXPECT_GT(static_cast<double>(on.served_by_class[i]) / static_cast<double>(on.requests_by_class[i]), 0.03)
        << c;
  }
}

TEST(Storm, SimultaneousRetriesOfAllClientsBreakNoRule) {
  Plan plan = PlanWithLimits(1.0);
  plan.immediate_retry_share = 0;
  plan.simultaneous_retries_at = {17 * kS, 18 * kS, 19 * kS};
  const Outcome on = Simulate(plan);
  EXPECT_TRUE(on.KeepsAllRules());
  const int recovered_after = on.SecondsToRecover(10, 19, 0.95);
  EXPECT_TRUE(recovered_after >= 0 && recovered_after <= 8) << recovered_after;
}

TEST(Storm, ASecondOutageDuringSlowStartOverloadsNoColdWorker) {
  Plan plan = PlanWithLimits(1.0);
  plan.outages_at = {10 * kS, 18 * kS};
  const Outcome on = Simulate(plan);
  EXPECT_TRUE(on.KeepsAllRules());
  const int recovered_after = on.SecondsToRecover(10, 24, 0.95);
  EXPECT_TRUE(recovered_after >= 0 && recovered_after <= 10) << recovered_after;
}

TEST(Storm, SchedulersWithoutSharedStateStayWithinBounds) {
  Plan plan = PlanWithLimits(1.0);
  plan.schedulers = 4;
  plan.workers = 48;
  plan.clients = 4'000;
  const Outcome on = Simulate(plan);
  EXPECT_TRUE(on.KeepsAllRules());
  EXPECT_LE(on.Amplification(10, 24), 1.1);
}

// A scheduler starts in a fleet under load, just after a quarter of the workers stopped. With the reports of
// its peers it sends fewer hops to stopped workers. A wrong or stale peer causes no violation of a rule and
// overloads no cold worker.
TEST(SchedulerStart, UsesReportsOfPeersAndAWrongPeerDoesNoHarm) {
  Plan plan;
  plan.schedulers = 4;
  plan.workers = 24;
  plan.load = 0.5;
  plan.duration = 20 * kS;
  plan.new_scheduler_at = 10'300 * kMs;
  plan.probes = true;
  std::map<PeerReports, NewScheduler> sum;
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    plan.seed = seed;
    for (const PeerReports reports :
         {PeerReports::kNothing, PeerReports::kCorrect, PeerReports::kOneWrong, PeerReports::kOneStale}) {
      plan.peer_reports = reports;
      const Outcome out = Simulate(plan);
      EXPECT_TRUE(out.KeepsAllRules());
      EXPECT_LT(out.max_cold_load, 0.8);
      EXPECT_GT(out.new_scheduler.tries, 200u);
      EXPECT_EQ(out.new_scheduler.in_time, out.new_scheduler.tries);
      sum[reports].hops_broken += out.new_scheduler.hops_broken;
      sum[reports].loads_adopted += out.new_scheduler.loads_adopted;
    }
  }
  EXPECT_EQ(sum[PeerReports::kNothing].loads_adopted, 0u);
  EXPECT_GT(sum[PeerReports::kCorrect].loads_adopted, 20u);
  EXPECT_LT(2 * sum[PeerReports::kCorrect].hops_broken, sum[PeerReports::kNothing].hops_broken);
}

// Half of the schedulers stop at the same time, while a quarter of the workers are in slow start. The others
// take over their clients; they send less than 2.5 times as many hops to cold workers and overload none.
TEST(SchedulerOutage, LossOfHalfTheSchedulersOverloadsNoColdWorker) {
  Plan plan;
  plan.schedulers = 8;
  plan.workers = 24;
  plan.load = 0.6;
  plan.duration = 24 * kS;
  plan.outages_at = {6 * kS};
  plan.outage_duration = 2 * kS;
  plan.slow_start_time = 8 * kS;
  double before = 0, after = 0;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    plan.seed = seed;
    plan.half_stopped_at = 12 * kS;
    const Outcome half_stopped = Simulate(plan);
    EXPECT_TRUE(half_stopped.KeepsAllRules()) << seed;
    EXPECT_LT(half_stopped.max_cold_load, 0.8) << seed;
    plan.half_stopped_at = -1;
    const Outcome all = Simulate(plan);
    for (const std::size_t s : {12, 13}) {
      before += all.hops_to_cold[s];
      after += half_stopped.hops_to_cold[s];
    }
  }
  EXPECT_GT(before, 20);
  EXPECT_LT(after, 2.5 * before);
}

}  // namespace
}  // namespace heronway::storm
