// Tests for the components of the limits, each under the conditions that it guards against.
#include "src/limits/limits.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

#include "src/config/json.h"
#include "src/config/options.h"
#include "src/limits/accept_pacer.h"
#include "src/log/log.h"

namespace heronway::limits {
namespace {

constexpr Micros kMs = 1'000, kS = 1'000'000, kStart = 1'000 * kS;

TEST(ClientTable, RecognizesRecentClientsAndForgetsOldOnes) {
  ClientTable table({256, 10 * kS}, 1);
  const auto a = table.HashOf("a", 0);
  EXPECT_NE(a, table.HashOf("a", 1));  // the same name in another class is another client
  EXPECT_EQ(table.HashOf("", 0), 0u);
  EXPECT_FALSE(table.Touch(kStart, a).seen);
  EXPECT_TRUE(table.Touch(kStart + 9 * kS, a).seen);
  EXPECT_FALSE(table.Touch(kStart + 20 * kS, a).seen);
  table.SetRetryTime(kStart + 20 * kS, a, kStart + 25 * kS);
  EXPECT_EQ(table.Touch(kStart + 21 * kS, a).retry_at, kStart + 25 * kS);
}

TEST(ClientTable, NamesCraftedToCollideDoNotCollideUnderAnotherSeed) {
  // Clients can choose names but not the seed: names that collide under one seed do not under another.
  ClientTable table({256, 60 * kS}, 7), attacker_table({256, 60 * kS}, 8);
  std::vector<std::string> crafted;  // names that all map to one set of the attacker's table
  for (int i = 0; crafted.size() < 200; ++i) {
    const std::string name = "x" + std::to_string(i);
    if (attacker_table.HashOf(name, 0) % 64 == 5) crafted.push_back(name);
  }
  const std::size_t before = table.bytes();
  std::set<std::uint64_t> sets;
  for (const auto& name : crafted) {
    table.Touch(kStart, table.HashOf(name, 0));
    sets.insert(table.HashOf(name, 0) % 64);
  }
  EXPECT_EQ(table.bytes(), before);
  EXPECT_GT(sets.size(), 48u);
}

TEST(ClientTable, FullSetEvictsTheLeastRecentlySeenClient) {
  ClientTable table({256, 60 * kS}, 7);
  std::vector<ClientHash> colliding;  // five that map to one set
  for (int i = 0; colliding.size() < 5; ++i) {
    if (const auto hash = table.HashOf("x" + std::to_string(i), 0); hash % 64 == 5) colliding.push_back(hash);
  }
  for (int i = 0; i < 4; ++i) table.Touch(kStart + i * kS, colliding[static_cast<std::size_t>(i)]);
  table.Touch(kStart + 4 * kS, colliding[0]);
  table.Touch(kStart + 5 * kS, colliding[4]);  // replaces the second
  EXPECT_TRUE(table.Touch(kStart + 6 * kS, colliding[0]).seen);
  EXPECT_FALSE(table.Touch(kStart + 6 * kS, colliding[1]).seen);
}

TEST(ClientTable, ClockStepBackwardForgetsNoClientForGood) {
  ClientTable table({256, 10 * kS}, 1);
  const auto a = table.HashOf("a", 0);
  table.Touch(kStart, a);
  table.Touch(kStart - 5 * kS, a);
  EXPECT_TRUE(table.Touch(kStart, a).seen);
}

struct StormFixture {
  explicit StormFixture(StormSettings s = {}) : detector(s) {}
  // Plays a second with 100 arrivals, of which `retries` are retries and `sheds` are shed.
  void PlaySecond(int retries, int sheds) {
    for (int i = 0; i < 100; ++i) {
      now += 10 * kMs;
      detector.Arrived(now, i < retries);
      if (i < sheds) detector.RequestShed(now);
      StormDetector::Change change;
      if (detector.Update(now, change)) changes.push_back(change);
    }
  }
  Micros now = kStart;
  StormDetector detector;
  std::vector<StormDetector::Change> changes;
  std::vector<Micros> change_times;
};

TEST(StormDetector, PassesThroughEachStateOnceAndNamesTheSignal) {
  StormFixture f;
  for (int i = 0; i < 5; ++i) f.PlaySecond(1, 0);
  EXPECT_TRUE(f.changes.empty());
  for (int i = 0; i < 5; ++i) f.PlaySecond(80, 30);
  EXPECT_EQ(f.detector.state(), StormState::kStorm);
  for (int i = 0; i < 12; ++i) f.PlaySecond(0, 0);
  ASSERT_EQ(f.changes.size(), 4u);
  EXPECT_EQ(f.changes[0].to, StormState::kRising);
  EXPECT_EQ(f.changes[0].reason, Signal::kRetries);
  EXPECT_EQ(f.changes[2].to, StormState::kEasing);
  EXPECT_EQ(f.detector.state(), StormState::kCalm);
  EXPECT_EQ(f.detector.storms(), 1u);
}

TEST(StormDetector, DoesNotFlapWhenALevelIsCrossedEverySecond) {
  StormFixture f;
  for (int i = 0; i < 40; ++i) f.PlaySecond(i % 2 == 0 ? 45 : 28, 0);  // around the storm level
  EXPECT_LE(f.changes.size(), 3u);
}

// A level must persist both ways: a short peak does not start a storm and a short lull does not end it.
TEST(StormDetector, LevelIsEnteredAfterConfirmAndLeftAfterSettle) {
  StormFixture f({500 * kMs});
  // Arrivals at 100 per second, `retry_percent` of them retries, evenly spread.
  const auto feed = [&f](Micros duration, int retry_percent) {
    for (const Micros end = f.now + duration; f.now < end;) {
      f.now += 10 * kMs;
      const auto n = f.now / (10 * kMs);
      f.detector.Arrived(f.now, n * retry_percent / 100 != (n - 1) * retry_percent / 100);
      StormDetector::Change change;
      if (!f.detector.Update(f.now, change)) continue;
      f.changes.push_back(change);
      f.change_times.push_back(f.now);
    }
  };
  feed(kS, 0);
  const Micros storm_began = f.now;
  feed(2 * kS, 100);  // exceeds 0.15 of the window after 75 ms
  ASSERT_EQ(f.detector.state(), StormState::kStorm);
  EXPECT_GE(f.change_times[0] - storm_began, 350 * kMs);
  EXPECT_LE(f.change_times[0] - storm_began, 500 * kMs);
  feed(10 * kS, 28);  // below the level but above two thirds of it
  EXPECT_EQ(f.detector.state(), StormState::kStorm);
  const Micros lull_began = f.now;
  feed(3 * kS, 0);
  ASSERT_EQ(f.changes.size(), 3u);
  EXPECT_EQ(f.detector.state(), StormState::kEasing);
  EXPECT_GE(f.change_times[2] - lull_began, 2 * kS);
  feed(2 * kS, 100);
  EXPECT_EQ(f.detector.state(), StormState::kStorm);
  EXPECT_EQ(f.detector.storms(), 1u);  // the same storm
}

TEST(StormDetector, RollingRestartUnderLightLoadIsNoStorm) {
  StormFixture f;
  f.detector.SetMissingShare(0.5);
  for (int i = 0; i < 10; ++i) f.PlaySecond(1, 0);
  EXPECT_EQ(f.detector.state(), StormState::kCalm);
}

TEST(StormDetector, ClockStepBetweenArrivalsOnlyEmptiesTheWindow) {
  StormFixture f;
  for (int i = 0; i < 3; ++i) f.PlaySecond(90, 50);
  EXPECT_EQ(f.detector.state(), StormState::kStorm);
  f.now += 3'600 * kS;
  for (int i = 0; i < 8; ++i) f.PlaySecond(0, 0);
  EXPECT_EQ(f.detector.state(), StormState::kCalm);
}

TEST(RetryBudget, FurtherHopsAreAShareOfFirstHopsAndASmallerOneInAStorm) {
  for (const bool storm : {false, true}) {
    RetryBudget budget({0.2, 0.1, 0, 0, 10 * kS}, 1, -1);
    int further = 0;
    Micros now = kStart;
    for (int i = 0; i < 10'000; ++i) {
      now += kMs;
      budget.FirstHop(now, 0, storm);
      if (!budget.Allows(now, 0)) continue;
      budget.FurtherHop(now, 0);
      ++further;
    }
    EXPECT_NEAR(further, storm ? 1000 : 2000, 20);
  }
}

TEST(RetryBudget, ReservedClassCanRetryWhenOthersHaveSpentTheSharedBudget) {
  RetryBudget budget({0.2, 0.1, 0, 0.25, 10 * kS}, 2, 1);
  Micros now = kStart;
  int reserved_retries = 0;
  for (int i = 0; i < 1000; ++i) {
    now += kMs;
    budget.FirstHop(now, 0, false);
    while (budget.Allows(now, 0)) budget.FurtherHop(now, 0);
    if (i % 100 != 99) continue;
    while (budget.Allows(now, 1)) {
      budget.FurtherHop(now, 1);
      ++reserved_retries;
    }
  }
  EXPECT_NEAR(reserved_retries, 50, 6);  // a quarter of the deposits of 1000 first hops at 0.2 each
}

TEST(RetryBudget, StormInOneClassDoesNotSpendTheBudgetOfOthers) {
  RetryBudget budget({0.2, 0.1, 0, 0, 10 * kS}, 2, -1);
  Micros now = kStart;
  int other_retries = 0;
  for (int i = 0; i < 4000; ++i) {
    now += kMs;
    budget.FirstHop(now, i % 4 == 0 ? 0 : 1, false);
    for (int n = 0; n < 20 && budget.Allows(now, 0); ++n) budget.FurtherHop(now, 0);
    if (i % 8 == 0 && budget.Allows(now, 1)) {
      budget.FurtherHop(now, 1);
      ++other_retries;
    }
  }
  EXPECT_GE(other_retries, 350);  // of 500 attempted
}

TEST(ConcurrencyLimit, ShrinksWhenHopsTakeLongerAndRecovers) {
  ConcurrencyLimit limit({0.6, 1.5, 4, kS}, 1);
  Micros now = kStart;
  const auto play = [&](int hops, Micros duration) {
    for (int i = 0; i < hops; ++i)
      limit.HopCompleted(now += 5 * kMs, 0, duration, limit.MaxInFlight(), 10, true);
  };
  play(400, 100 * kMs);
  const double before = limit.MaxInFlight();
  play(60, 800 * kMs);
  EXPECT_LT(limit.MaxInFlight(), before / 2);
  EXPECT_GE(limit.MaxInFlight(), 4);
  play(3000, 100 * kMs);
  EXPECT_GT(limit.MaxInFlight(), before / 2);
}

TEST(ConcurrencyLimit, LossOfAQuarterOfTheFleetLowersTheStartRateAtOnce) {
  ConcurrencyLimit limit({0.6, 1.5, 4, kS}, 1);
  Micros now = kStart;
  for (int i = 0; i < 1000; ++i) limit.HopCompleted(now += 10 * kMs, 0, 200 * kMs, 10, 12, true);
  EXPECT_NEAR(limit.StartsPerSecond(now, 12), 100, 5);
  EXPECT_NEAR(limit.StartsPerSecond(now, 9), 75, 5);
  EXPECT_NEAR(limit.JobsPerWorkerSecond(), 100.0 / 12, 1);
}

TEST(FleetCapacity, CapacityFollowsTheSlowStartOfWorkers) {
  FleetCapacity fleet(0.3, 10 * kS);
  std::vector<pebblenotch::WorkerEntry> workers(4);
  for (std::size_t i = 0; i < 4; ++i) workers[i].id = i + 1;
  fleet.Apply(kStart, workers, true);
  EXPECT_EQ(fleet.CapacityAt(kStart), 4);
  pebblenotch::WorkerEntry worker = workers[0];
  worker.state = pebblenotch::WorkerState::kGone;
  fleet.Apply(kStart, {&worker, 1}, false);
  EXPECT_NEAR(fleet.MissingShare(kStart), 0.25, 1e-9);
  worker.state = pebblenotch::WorkerState::kReady;
  worker.started_at = kStart + 2 * kS;
  fleet.Apply(kStart + 3 * kS, {&worker, 1}, false);
  EXPECT_NEAR(fleet.CapacityAt(kStart + 2 * kS), 3.3, 1e-9);
  EXPECT_NEAR(fleet.CapacityAt(kStart + 7 * kS), 3.65, 1e-9);
  EXPECT_NEAR(fleet.CapacityAt(kStart + 12 * kS), 4, 1e-9);
}

struct ScheduleFixture {
  explicit ScheduleFixture(double per_s) : rate(per_s), schedule({}, 5, [this](Micros) { return rate; }) {}
  double rate;
  RetrySchedule schedule;
};

TEST(RetrySchedule, ClientsShedTogetherAreSpreadAtTheForecastRate) {
  ScheduleFixture f(50);
  std::vector<int> by_second(11);
  for (int i = 0; i < 300; ++i) {
    const auto r = f.schedule.Reserve(kStart, 100 * kMs, 1, false);
    ASSERT_TRUE(r.reserved);
    ++by_second[static_cast<std::size_t>((r.retry_at - kStart) / kS)];
  }
  for (int s = 1; s < 5; ++s) EXPECT_NEAR(by_second[static_cast<std::size_t>(s)], 50, 6) << s;
}

TEST(RetrySchedule, ReportsAFullScheduleAndNeverExceedsTheMaximumWait) {
  ScheduleFixture f(5);
  int reserved = 0;
  for (int i = 0; i < 500; ++i) {
    const auto r = f.schedule.Reserve(kStart, 0, 1, false);
    reserved += r.reserved ? 1 : 0;
    EXPECT_LE(r.retry_at - kStart, 10 * kS);
  }
  EXPECT_NEAR(reserved, 50, 15);
}

TEST(RetrySchedule, AfterAnotherLossOfWorkersOnlyTheRemainingCapacityHasPriority) {
  ScheduleFixture f(100);
  std::vector<Micros> retry_times;
  for (int i = 0; i < 400; ++i) retry_times.push_back(f.schedule.Reserve(kStart, 0, 1, false).retry_at);
  f.rate = 25;
  f.schedule.UpdateForecast(kStart + kS);
  int admitted = 0;
  std::sort(retry_times.begin(), retry_times.end());
  for (const Micros at : retry_times) admitted += at > kStart + kS && f.schedule.Claim(at, at, 1) ? 1 : 0;
  EXPECT_LE(admitted, 130);  // of about 300 that return after the loss
  EXPECT_GE(admitted, 60);
}

TEST(RetrySchedule, DistinguishesEarlyOnTimeAndLateClients) {
  ScheduleFixture f(100);
  const auto r = f.schedule.Reserve(kStart, kS, 1, false);
  EXPECT_GT(f.schedule.EarlyBy(kStart, r.retry_at), 900 * kMs);
  EXPECT_EQ(f.schedule.EarlyBy(r.retry_at - 40 * kMs, r.retry_at), 0);
  EXPECT_TRUE(f.schedule.Claim(r.retry_at + kS, r.retry_at, 1));
  EXPECT_FALSE(
      f.schedule.Claim(r.retry_at + 1600 * kMs, r.retry_at, 1));  // past its grace while its bin still exists
  EXPECT_FALSE(f.schedule.Claim(r.retry_at + 2 * kS, r.retry_at, 1));
}

TEST(RetrySchedule, AnonymousClientClaimsAReservationAtMostOnce) {
  ScheduleFixture f(100);
  const auto r = f.schedule.Reserve(kStart, kS, 1, true);
  EXPECT_FALSE(f.schedule.ClaimAnonymous(kStart, 1));
  EXPECT_TRUE(f.schedule.ClaimAnonymous(r.retry_at, 1));
  EXPECT_FALSE(f.schedule.ClaimAnonymous(r.retry_at, 1));
}

// The latest due retry time is claimed first, so that a client that arrives at random does not take the
// reservation of one that arrives on time.
TEST(RetrySchedule, AnonymousClientOnTimeClaimsItsOwnReservation) {
  ScheduleFixture f(100);
  const auto unclaimed = f.schedule.Reserve(kStart, kS, 1, true);
  const auto own = f.schedule.Reserve(kStart, 2 * kS, 1, true);
  EXPECT_TRUE(f.schedule.ClaimAnonymous(own.retry_at, 1));
  EXPECT_TRUE(f.schedule.AnyAnonymous());
  EXPECT_TRUE(f.schedule.ClaimAnonymous(std::max(own.retry_at, unclaimed.retry_at + kS), 1));
  EXPECT_FALSE(f.schedule.AnyAnonymous());
  // The latest one is claimed; the unclaimed older one is past its grace and no other remains.
  ScheduleFixture g(100);
  const auto old = g.schedule.Reserve(kStart, kS, 1, true);
  const auto fresh = g.schedule.Reserve(kStart, 2 * kS, 1, true);
  EXPECT_TRUE(g.schedule.ClaimAnonymous(fresh.retry_at, 1));
  EXPECT_FALSE(g.schedule.ClaimAnonymous(old.retry_at + 1550 * kMs, 1));
  f.schedule.Reserve(own.retry_at, kS, 1, true);
  EXPECT_FALSE(f.schedule.ClaimAnonymous(own.retry_at + 30 * kS, 1));  // its grace is over and it has expired
  EXPECT_FALSE(f.schedule.AnyAnonymous());
  const Micros wait = f.schedule.AnonymousWait(own.retry_at + 30 * kS);
  EXPECT_TRUE(wait > 0 && wait <= 10 * kS) << wait;
}

TEST(AcceptPacer, AdmitsABurstAndThenTheConfiguredRate) {
  AcceptPacer pacer({100, 10});
  int accepted = 0;
  for (Micros now = kStart; now < kStart + kS; now += kMs) {
    while (pacer.MayAccept(now)) {
      pacer.Accepted();
      ++accepted;
    }
  }
  EXPECT_NEAR(accepted, 110, 2);
  EXPECT_GT(pacer.delayed(), 0u);
}

// Limits for a fleet of ten workers that has completed 300 hops.
struct LimitsFixture {
  LimitsFixture() : limits(EnabledSettings(), Site(), 3) {
    std::vector<pebblenotch::WorkerEntry> fleet(10);
    for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].id = i + 1;
    limits.RoutesChanged(now, fleet, true);
    for (int i = 0; i < 300; ++i) {
      now += 10 * kMs;
      limits.HopSent(now, 0, false);
      limits.HopEnded(now, 0, Result::kOk, 100 * kMs, true);
    }
  }
  static Settings EnabledSettings() {
    Settings s;
    s.enabled = true;
    return s;
  }
  static pebblenotch::Settings Site() {
    pebblenotch::Settings s;
    s.classes.resize(2);
    s.classes[1].worth = 10;
    return s;
  }
  // Plays three seconds in which every arrival is a retry and is shed.
  void PlayStorm() {
    for (int i = 0; i < 300; ++i) {
      now += 10 * kMs;
      const auto arrival = limits.Arrived(now, 0, 0, true, true);
      limits.Update(now);
      limits.RequestShed(now, 0, 0, 500 * kMs, arrival);
    }
  }
  Micros now = kStart;
  Limits limits;
};

TEST(Limits, EarlyRetriesKeepTheirRetryTimeAndAClientOnTimeGoesFirst) {
  LimitsFixture f;
  f.PlayStorm();
  ASSERT_EQ(f.limits.state(), StormState::kStorm);
  const auto client = f.limits.HashOf("k", 0);
  auto arrival = f.limits.Arrived(f.now, 0, client, false, true);
  EXPECT_EQ(arrival.return_timing, ReturnTiming::kNew);
  const Micros wait = f.limits.RequestShed(f.now, 0, client, 500 * kMs, arrival);
  const Micros at = f.now + wait;
  for (int i = 0; i < 5; ++i) {
    f.now += 10 * kMs;
    arrival = f.limits.Arrived(f.now, 0, client, false, true);
    EXPECT_EQ(arrival.return_timing, ReturnTiming::kEarly);
    EXPECT_NEAR(static_cast<double>(f.now + f.limits.RequestShed(f.now, 0, client, 0, arrival)),
                static_cast<double>(at), 1500);
  }
  f.now = at;
  arrival = f.limits.Arrived(f.now, 0, client, false, true);
  EXPECT_EQ(arrival.return_timing, ReturnTiming::kDue);
  EXPECT_TRUE(arrival.is_retry);
}

TEST(Limits, PopularObjectIsNoRetry) {
  LimitsFixture f;
  const auto object = f.limits.HashOf("album", 0);
  f.limits.Arrived(f.now, 0, object, false, false);
  EXPECT_FALSE(f.limits.Arrived(f.now, 0, object, false, false).is_retry);
}

TEST(Limits, StormInOneClassIsReportedForThatClass) {
  LimitsFixture f;
  for (int i = 0; i < 3000; ++i) {  // nine in ten of class 1 are shed, none of the ten times larger class 0
    f.now += kMs;
    const int job_class = i % 10 == 0 ? 1 : 0;
    const auto arrival = f.limits.Arrived(f.now, job_class, 0, false, true);
    f.limits.Update(f.now);
    if (job_class == 1 && i % 100 != 0) f.limits.RequestShed(f.now, 1, 0, 0, arrival);
  }
  bool class_storm = false, total_storm = false;
  while (const auto change = f.limits.NextChange(f.now)) {
    class_storm = class_storm || (change->job_class == 1 && change->change.to == StormState::kStorm);
    total_storm = total_storm || (change->job_class == -1 && change->change.to == StormState::kStorm);
  }
  EXPECT_TRUE(class_storm);
  EXPECT_FALSE(total_storm);
}

TEST(Limits, SameEventsAndSeedGiveTheSameWaits) {
  const auto play = [] {
    LimitsFixture f;
    f.PlayStorm();
    std::vector<Micros> waits;
    for (int i = 0; i < 50; ++i) {
      const auto c = f.limits.HashOf(std::to_string(i), 0);
      waits.push_back(f.limits.RequestShed(f.now, 0, c, 0, f.limits.Arrived(f.now, 0, c, false, true)));
    }
    return waits;
  };
  EXPECT_EQ(play(), play());
}

std::string ConfigErrorOf(const std::string& json) {
  try {
    config::ParseOptions(json);
  } catch (const config::ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(Options, ErrorsNameTheKey) {
  EXPECT_EQ(ConfigErrorOf("{}"), "");
  EXPECT_EQ(ConfigErrorOf(R"({"limit":{}})"), "config: key limit is not known");
  EXPECT_EQ(ConfigErrorOf(R"({"limits":{"watch":{"rising":2}}})"),
            "config: key limits.watch.rising is not between 0.01 and 1");
  EXPECT_EQ(ConfigErrorOf(R"({"limits":{"watch":{"storm":0.1}}})"),
            "config: key limits.watch.storm is not greater than limits.watch.rising");
  EXPECT_EQ(ConfigErrorOf(R"({"limits":{"clients":{"most":1000}}})"),
            "config: key limits.clients.most is not a power of two");
  EXPECT_EQ(ConfigErrorOf(R"({"limits":{"repeats":{"shares":1}}})"),
            "config: key limits.repeats.shares is not known");
  EXPECT_EQ(ConfigErrorOf(R"({"log":{"form":"xml"}})"), "config: key log.form is not one of text, json");
  EXPECT_NE(ConfigErrorOf(R"({"log":{},"log":{}})"), "");
}

TEST(Options, ClusterErrorsNameTheKey) {
  const auto error_key = [](const std::string& cluster) {
    const std::string what = ConfigErrorOf("{\"cluster\":{\"enabled\":true," + cluster + "}}");
    return what.substr(0, what.find(' ', 12));
  };
  const std::string usual = R"("fleet":"f","listen":"10.0.0.4:7946")";
  EXPECT_EQ(error_key(usual), "");
  EXPECT_EQ(error_key(R"("listen":"10.0.0.4:7946")"), "config: key cluster.fleet");
  EXPECT_EQ(error_key(R"("fleet":"f")"), "config: key cluster.listen");
  EXPECT_EQ(error_key(R"("fleet":"f","listen":"0.0.0.0:7946")"), "config: key cluster.listen");
  EXPECT_EQ(error_key(R"("fleet":"f","listen":"0.0.0.0:7946","advertise":"10.0.0.4:1")"), "");
  EXPECT_EQ(error_key(R"("fleet":"a b","listen":"10.0.0.4:7946")"), "config: key cluster.fleet");
  EXPECT_EQ(error_key(usual + R"(,"name":"a\nb")"), "config: key cluster.name");
  EXPECT_EQ(error_key(usual + R"(,"join":["10.0.0.4"])"), "config: key cluster.join");
  EXPECT_EQ(error_key(usual + R"(,"join":["10.0.0.4:0"])"), "config: key cluster.join");
  EXPECT_EQ(error_key(usual + R"(,"reach":{"b":"x"})"), "config: key cluster.reach.b");
  EXPECT_EQ(error_key(usual + R"(,"period_ms":1)"), "config: key cluster.period_ms");
  EXPECT_EQ(error_key(usual + R"(,"forget_s":1)"), "config: key cluster.forget_s");
  EXPECT_EQ(error_key(usual + R"(,"peers":[])"), "config: key cluster.peers");
}

TEST(Log, EscapesLineBreaksAndQuotesInBothFormats) {
  const std::string odd = "a\"b\nc";
  const auto fields = {log::Field("id", odd), log::Field("n", 3), log::Field("share", 0.25)};
  EXPECT_EQ(log::Format(log::LineFormat::kText, "x", fields), R"(x id="a\"b\x0ac" n=3 share=0.250)");
  EXPECT_EQ(log::Format(log::LineFormat::kJson, "x", fields),
            R"({"event":"x","id":"a\"b\nc","n":3,"share":0.25})");
}

}  // namespace
}  // namespace heronway::limits
