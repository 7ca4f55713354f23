// The parts of the limits, each caused to meet what it guards against.
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

// ---- clients
TEST(ClientTable, KnowsWhoCameLatelyAndForgetsInTime) {
  ClientTable table({256, 10 * kS}, 1);
  const auto a = table.HashOf("a", 0);
  EXPECT_NE(a, table.HashOf("a", 1));  // another class is another client
  EXPECT_EQ(table.HashOf("", 0), 0u);
  EXPECT_FALSE(table.Touch(kStart, a).seen);
  EXPECT_TRUE(table.Touch(kStart + 9 * kS, a).seen);
  EXPECT_FALSE(table.Touch(kStart + 20 * kS, a).seen);
  table.SetSlot(kStart + 20 * kS, a, kStart + 25 * kS);
  EXPECT_EQ(table.Touch(kStart + 21 * kS, a).slot, kStart + 25 * kS);
}

TEST(ClientTable, CraftedKeysFillNoMoreThanTheTableAndMissTheOthers) {
  // A crowd can choose names, but not the seed: what it finds to collide under one seed does not under
  // another.
  ClientTable mine({256, 60 * kS}, 7), theirs({256, 60 * kS}, 8);
  std::vector<std::string> crafted;  // names that all fall into one set of their own table
  for (int i = 0; crafted.size() < 200; ++i) {
    const std::string name = "x" + std::to_string(i);
    if (theirs.HashOf(name, 0) % 64 == 5) crafted.push_back(name);
  }
  const std::size_t before = mine.bytes();
  std::set<std::uint64_t> sets;
  for (const auto& name : crafted) {
    mine.Touch(kStart, mine.HashOf(name, 0));
    sets.insert(mine.HashOf(name, 0) % 64);
  }
  EXPECT_EQ(mine.bytes(), before);
  EXPECT_GT(sets.size(), 48u);
}

TEST(ClientTable, InAFullSetTheOneHeardOfLongestAgoMakesRoom) {
  ClientTable table({256, 60 * kS}, 7);
  std::vector<ClientHash> met;  // five that fall into one set
  for (int i = 0; met.size() < 5; ++i) {
    if (const auto hash = table.HashOf("x" + std::to_string(i), 0); hash % 64 == 5) met.push_back(hash);
  }
  for (int i = 0; i < 4; ++i) table.Touch(kStart + i * kS, met[static_cast<std::size_t>(i)]);
  table.Touch(kStart + 4 * kS, met[0]);
  table.Touch(kStart + 5 * kS, met[4]);  // in the place of the second
  EXPECT_TRUE(table.Touch(kStart + 6 * kS, met[0]).seen);
  EXPECT_FALSE(table.Touch(kStart + 6 * kS, met[1]).seen);
}

TEST(ClientTable, AClockThatStepsBackForgetsNobodyForGood) {
  ClientTable table({256, 10 * kS}, 1);
  const auto a = table.HashOf("a", 0);
  table.Touch(kStart, a);
  table.Touch(kStart - 5 * kS, a);
  EXPECT_TRUE(table.Touch(kStart, a).seen);
}

// ---- storm watch
struct Watched {
  explicit Watched(StormSettings s = {}) : watch(s) {}
  // A second of arrivals, `repeats` and `refused` of a hundred.
  void Second(int repeats, int refused) {
    for (int i = 0; i < 100; ++i) {
      now += 10 * kMs;
      watch.Arrived(now, i < repeats);
      if (i < refused) watch.Refused(now);
      StormDetector::Change change;
      if (watch.Step(now, change)) changes.push_back(change);
    }
  }
  Micros now = kStart;
  StormDetector watch;
  std::vector<StormDetector::Change> changes;
  std::vector<Micros> at;
};

TEST(StormDetector, RisesStormsEasesAndCalmsOnceEachWithReasons) {
  Watched w;
  for (int i = 0; i < 5; ++i) w.Second(1, 0);
  EXPECT_TRUE(w.changes.empty());
  for (int i = 0; i < 5; ++i) w.Second(80, 30);
  EXPECT_EQ(w.watch.state(), StormState::kStorm);
  for (int i = 0; i < 12; ++i) w.Second(0, 0);
  ASSERT_EQ(w.changes.size(), 4u);
  EXPECT_EQ(w.changes[0].to, StormState::kRising);
  EXPECT_EQ(w.changes[0].reason, Signal::kRetries);
  EXPECT_EQ(w.changes[2].to, StormState::kEasing);
  EXPECT_EQ(w.watch.state(), StormState::kCalm);
  EXPECT_EQ(w.watch.storms(), 1u);
}

TEST(StormDetector, DoesNotFlapAtALevelThatIsCrossedEverySecond) {
  Watched w;
  for (int i = 0; i < 40; ++i) w.Second(i % 2 == 0 ? 45 : 28, 0);  // about the storm level
  EXPECT_LE(w.changes.size(), 3u);
}

// Both ways a level must hold: a moment's peak is no storm, and a moment's quiet is not its end.
TEST(StormDetector, ALevelIsBelievedOnceItHeldAndLeftOnceItWasQuiet) {
  Watched w({500 * kMs});
  const auto feed = [&w](Micros time, int repeats) {  // of a hundred, evenly
    for (const Micros end = w.now + time; w.now < end;) {
      w.now += 10 * kMs;
      const auto n = w.now / (10 * kMs);
      w.watch.Arrived(w.now, n * repeats / 100 != (n - 1) * repeats / 100);
      StormDetector::Change change;
      if (!w.watch.Step(w.now, change)) continue;
      w.changes.push_back(change);
      w.at.push_back(w.now);
    }
  };
  feed(kS, 0);
  const Micros began = w.now;
  feed(2 * kS, 100);  // 0.15 of the window is passed after 75 ms
  ASSERT_EQ(w.watch.state(), StormState::kStorm);
  EXPECT_GE(w.at[0] - began, 350 * kMs);
  EXPECT_LE(w.at[0] - began, 500 * kMs);
  feed(10 * kS, 28);  // under the level, and over two thirds of it
  EXPECT_EQ(w.watch.state(), StormState::kStorm);
  const Micros quiet = w.now;
  feed(3 * kS, 0);
  ASSERT_EQ(w.changes.size(), 3u);
  EXPECT_EQ(w.watch.state(), StormState::kEasing);
  EXPECT_GE(w.at[2] - quiet, 2 * kS);
  feed(2 * kS, 100);
  EXPECT_EQ(w.watch.state(), StormState::kStorm);
  EXPECT_EQ(w.watch.storms(), 1u);  // the same one
}

TEST(StormDetector, ARollingRestartOnAQuietDayIsNoStorm) {
  Watched w;
  w.watch.FleetIs(0.5);
  for (int i = 0; i < 10; ++i) w.Second(1, 0);
  EXPECT_EQ(w.watch.state(), StormState::kCalm);
}

TEST(StormDetector, AClockStepBetweenArrivalsEmptiesTheWindowOnly) {
  Watched w;
  for (int i = 0; i < 3; ++i) w.Second(90, 50);
  EXPECT_EQ(w.watch.state(), StormState::kStorm);
  w.now += 3'600 * kS;
  for (int i = 0; i < 8; ++i) w.Second(0, 0);
  EXPECT_EQ(w.watch.state(), StormState::kCalm);
}

// ---- repeats
TEST(RetryBudget, FurtherHopsStayAShareOfFirstOnesAndLessInAStorm) {
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

TEST(RetryBudget, TheReservedClassStillRepeatsWhenTheOthersHaveSpentAll) {
  RetryBudget budget({0.2, 0.1, 0, 0.25, 10 * kS}, 2, 1);
  Micros now = kStart;
  int mine = 0;
  for (int i = 0; i < 1000; ++i) {
    now += kMs;
    budget.FirstHop(now, 0, false);
    while (budget.Allows(now, 0)) budget.FurtherHop(now, 0);
    if (i % 100 != 99) continue;
    while (budget.Allows(now, 1)) {
      budget.FurtherHop(now, 1);
      ++mine;
    }
  }
  EXPECT_NEAR(mine, 50, 6);  // a quarter of the deposits of a thousand first hops at a fifth each
}

TEST(RetryBudget, AStormInOneClassLeavesTheOthersTheirs) {
  RetryBudget budget({0.2, 0.1, 0, 0, 10 * kS}, 2, -1);
  Micros now = kStart;
  int other = 0;
  for (int i = 0; i < 4000; ++i) {
    now += kMs;
    budget.FirstHop(now, i % 4 == 0 ? 0 : 1, false);
    for (int n = 0; n < 20 && budget.Allows(now, 0); ++n) budget.FurtherHop(now, 0);
    if (i % 8 == 0 && budget.Allows(now, 1)) {
      budget.FurtherHop(now, 1);
      ++other;
    }
  }
  EXPECT_GE(other, 350);  // of 500 that it asked for
}

// ---- intake
TEST(ConcurrencyLimit, ShrinksWhenHopsTakeLongerAndGrowsBack) {
  ConcurrencyLimit intake({0.6, 1.5, 4, kS}, 1);
  Micros now = kStart;
  const auto play = [&](int n, Micros time) {
    for (int i = 0; i < n; ++i) intake.Finished(now += 5 * kMs, 0, time, intake.MostOut(), 10, true);
  };
  play(400, 100 * kMs);
  const double open = intake.MostOut();
  play(60, 800 * kMs);
  EXPECT_LT(intake.MostOut(), open / 2);
  EXPECT_GE(intake.MostOut(), 4);
  play(3000, 100 * kMs);
  EXPECT_GT(intake.MostOut(), open / 2);
}

TEST(ConcurrencyLimit, ADeadQuarterLowersTheRateOfStartsAtOnce) {
  ConcurrencyLimit intake({0.6, 1.5, 4, kS}, 1);
  Micros now = kStart;
  for (int i = 0; i < 1000; ++i) intake.Finished(now += 10 * kMs, 0, 200 * kMs, 10, 12, true);
  EXPECT_NEAR(intake.StartsPerSecond(now, 12), 100, 5);
  EXPECT_NEAR(intake.StartsPerSecond(now, 9), 75, 5);
  EXPECT_NEAR(intake.PerWorker(), 100.0 / 12, 1);
}

// ---- the fleet
TEST(FleetCapacity, ColdWorkersAreTheRampThatTheyAre) {
  FleetCapacity fleet(0.3, 10 * kS);
  std::vector<pebblenotch::WorkerEntry> four(4);
  for (std::size_t i = 0; i < 4; ++i) four[i].id = i + 1;
  fleet.Take(kStart, four, true);
  EXPECT_EQ(fleet.StrengthAt(kStart), 4);
  pebblenotch::WorkerEntry one = four[0];
  one.state = pebblenotch::WorkerState::kGone;
  fleet.Take(kStart, {&one, 1}, false);
  EXPECT_NEAR(fleet.MissingShare(kStart), 0.25, 1e-9);
  one.state = pebblenotch::WorkerState::kReady;
  one.started_at = kStart + 2 * kS;
  fleet.Take(kStart + 3 * kS, {&one, 1}, false);
  EXPECT_NEAR(fleet.StrengthAt(kStart + 2 * kS), 3.3, 1e-9);
  EXPECT_NEAR(fleet.StrengthAt(kStart + 7 * kS), 3.65, 1e-9);
  EXPECT_NEAR(fleet.StrengthAt(kStart + 12 * kS), 4, 1e-9);
}

// ---- returns
struct Calendar {
  explicit Calendar(double per_s) : rate(per_s), book({}, 5, [this](Micros) { return rate; }) {}
  double rate;
  RetrySchedule book;
};

TEST(RetrySchedule, ACrowdIsSpreadAtTheRateThatTheFleetCarries) {
  Calendar c(50);
  std::vector<int> by_second(11);
  for (int i = 0; i < 300; ++i) {
    const auto b = c.book.Book(kStart, 100 * kMs, 1, false);
    ASSERT_TRUE(b.booked);
    ++by_second[static_cast<std::size_t>((b.at - kStart) / kS)];
  }
  for (int s = 1; s < 5; ++s) EXPECT_NEAR(by_second[static_cast<std::size_t>(s)], 50, 6) << s;
}

TEST(RetrySchedule, AFullCalendarSaysSoAndNoWaitIsOverTheLongest) {
  Calendar c(5);
  int booked = 0;
  for (int i = 0; i < 500; ++i) {
    const auto b = c.book.Book(kStart, 0, 1, false);
    booked += b.booked ? 1 : 0;
    EXPECT_LE(b.at - kStart, 10 * kS);
  }
  EXPECT_NEAR(booked, 50, 15);
}

TEST(RetrySchedule, WhenTheFleetDiesAgainOnlyWhatItCarriesGoesFirst) {
  Calendar c(100);
  std::vector<Micros> slots;
  for (int i = 0; i < 400; ++i) slots.push_back(c.book.Book(kStart, 0, 1, false).at);
  c.rate = 25;
  c.book.Renew(kStart + kS);
  int first = 0;
  std::sort(slots.begin(), slots.end());
  for (const Micros at : slots) first += at > kStart + kS && c.book.Claim(at, at, 1) ? 1 : 0;
  EXPECT_LE(first, 130);  // of about 300 that come after it
  EXPECT_GE(first, 60);
}

TEST(RetrySchedule, EarlyAndLateAreToldApart) {
  Calendar c(100);
  const auto b = c.book.Book(kStart, kS, 1, false);
  EXPECT_GT(c.book.EarlyBy(kStart, b.at), 900 * kMs);
  EXPECT_EQ(c.book.EarlyBy(b.at - 40 * kMs, b.at), 0);
  EXPECT_TRUE(c.book.Claim(b.at + kS, b.at, 1));
  EXPECT_FALSE(c.book.Claim(b.at + 1600 * kMs, b.at, 1));  // past its grace, and its bin still there
  EXPECT_FALSE(c.book.Claim(b.at + 2 * kS, b.at, 1));
}

TEST(RetrySchedule, OneThatCannotBeNamedTakesUpABookingAndNoMoreThanWereMade) {
  Calendar c(100);
  const auto b = c.book.Book(kStart, kS, 1, true);
  EXPECT_FALSE(c.book.ClaimAnonymous(kStart, 1));
  EXPECT_TRUE(c.book.ClaimAnonymous(b.at, 1));
  EXPECT_FALSE(c.book.ClaimAnonymous(b.at, 1));
}

// Who comes by chance must not take the turn of one that comes at its time: the newest time that is due goes.
TEST(RetrySchedule, OneWithoutANameAtItsTimeFindsItsOwnWhateverOthersLeft) {
  Calendar c(100);
  const auto left = c.book.Book(kStart, kS, 1, true);
  const auto own = c.book.Book(kStart, 2 * kS, 1, true);
  EXPECT_TRUE(c.book.ClaimAnonymous(own.at, 1));
  EXPECT_TRUE(c.book.AnyAnonymous());
  EXPECT_TRUE(c.book.ClaimAnonymous(std::max(own.at, left.at + kS), 1));
  EXPECT_FALSE(c.book.AnyAnonymous());
  // It is the newest that goes: what was left is past its grace, and nothing else stands.
  Calendar d(100);
  const auto old = d.book.Book(kStart, kS, 1, true);
  const auto fresh = d.book.Book(kStart, 2 * kS, 1, true);
  EXPECT_TRUE(d.book.ClaimAnonymous(fresh.at, 1));
  EXPECT_FALSE(d.book.ClaimAnonymous(old.at + 1550 * kMs, 1));
  c.book.Book(own.at, kS, 1, true);
  EXPECT_FALSE(c.book.ClaimAnonymous(own.at + 30 * kS, 1));  // its grace is over, and it is forgotten
  EXPECT_FALSE(c.book.AnyAnonymous());
  const Micros wait = c.book.AnonymousWait(own.at + 30 * kS);
  EXPECT_TRUE(wait > 0 && wait <= 10 * kS) << wait;
}

TEST(AcceptPacer, LetsABurstThroughAndThenItsRate) {
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

// ---- all together
struct Whole {
  Whole() : limits(On(), Site(), 3) {
    std::vector<pebblenotch::WorkerEntry> fleet(10);
    for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].id = i + 1;
    limits.RoutesChanged(now, fleet, true);
    for (int i = 0; i < 300; ++i) {
      now += 10 * kMs;
      limits.HopSent(now, 0, false);
      limits.HopEnded(now, 0, Result::kOk, 100 * kMs, true);
    }
  }
  static Settings On() {
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
  void Storm() {
    for (int i = 0; i < 300; ++i) {
      now += 10 * kMs;
      const auto came = limits.Arrived(now, 0, 0, true, true);
      limits.Update(now);
      limits.RequestShed(now, 0, 0, 500 * kMs, came);
    }
  }
  Micros now = kStart;
  Limits limits;
};

TEST(Limits, AClientThatHammersIsToldTheSameTimeAndOneThatWaitsGoesFirst) {
  Whole w;
  w.Storm();
  ASSERT_EQ(w.limits.state(), StormState::kStorm);
  const auto client = w.limits.HashOf("k", 0);
  auto came = w.limits.Arrived(w.now, 0, client, false, true);
  EXPECT_EQ(came.return_timing, ReturnTiming::kNew);
  const Micros wait = w.limits.RequestShed(w.now, 0, client, 500 * kMs, came);
  const Micros at = w.now + wait;
  for (int i = 0; i < 5; ++i) {
    w.now += 10 * kMs;
    came = w.limits.Arrived(w.now, 0, client, false, true);
    EXPECT_EQ(came.return_timing, ReturnTiming::kEarly);
    EXPECT_NEAR(static_cast<double>(w.now + w.limits.RequestShed(w.now, 0, client, 0, came)),
                static_cast<double>(at), 1500);
  }
  w.now = at;
  came = w.limits.Arrived(w.now, 0, client, false, true);
  EXPECT_EQ(came.return_timing, ReturnTiming::kDue);
  EXPECT_TRUE(came.is_retry);
}

TEST(Limits, AnObjectThatManyAskForIsNoRepeat) {
  Whole w;
  const auto object = w.limits.HashOf("album", 0);
  w.limits.Arrived(w.now, 0, object, false, false);
  EXPECT_FALSE(w.limits.Arrived(w.now, 0, object, false, false).is_retry);
}

TEST(Limits, AStormInOneClassIsToldOfThatClass) {
  Whole w;
  for (int i = 0; i < 3000; ++i) {  // of class 1 nine in ten refused; of class 0, ten times as much, nothing
    w.now += kMs;
    const int job_class = i % 10 == 0 ? 1 : 0;
    const auto came = w.limits.Arrived(w.now, job_class, 0, false, true);
    w.limits.Update(w.now);
    if (job_class == 1 && i % 100 != 0) w.limits.RequestShed(w.now, 1, 0, 0, came);
  }
  bool one = false, all = false;
  while (const auto change = w.limits.NextChange(w.now)) {
    one = one || (change->job_class == 1 && change->change.to == StormState::kStorm);
    all = all || (change->job_class == -1 && change->change.to == StormState::kStorm);
  }
  EXPECT_TRUE(one);
  EXPECT_FALSE(all);
}

TEST(Limits, TheSameEventsAndSeedGiveTheSameWaits) {
  const auto play = [] {
    Whole w;
    w.Storm();
    std::vector<Micros> waits;
    for (int i = 0; i < 50; ++i) {
      const auto c = w.limits.HashOf(std::to_string(i), 0);
      waits.push_back(w.limits.RequestShed(w.now, 0, c, 0, w.limits.Arrived(w.now, 0, c, false, true)));
    }
    return waits;
  };
  EXPECT_EQ(play(), play());
}

// ---- options and log
std::string FaultOf(const std::string& json) {
  try {
    config::ParseOptions(json);
  } catch (const config::ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(Options, FaultsNameTheKey) {
  EXPECT_EQ(FaultOf("{}"), "");
  EXPECT_EQ(FaultOf(R"({"limit":{}})"), "config: key limit is not known");
  EXPECT_EQ(FaultOf(R"({"limits":{"watch":{"rising":2}}})"),
            "config: key limits.watch.rising is not between 0.01 and 1");
  EXPECT_EQ(FaultOf(R"({"limits":{"watch":{"storm":0.1}}})"),
            "config: key limits.watch.storm is not over limits.watch.rising");
  EXPECT_EQ(FaultOf(R"({"limits":{"clients":{"most":1000}}})"),
            "config: key limits.clients.most is not a power of two");
  EXPECT_EQ(FaultOf(R"({"limits":{"repeats":{"shares":1}}})"),
            "config: key limits.repeats.shares is not known");
  EXPECT_EQ(FaultOf(R"({"log":{"form":"xml"}})"), "config: key log.form is none of text, json");
  EXPECT_NE(FaultOf(R"({"log":{},"log":{}})"), "");
}

TEST(Options, FaultsInTheClusterNameTheKey) {
  const auto fault = [](const std::string& cluster) {
    const std::string what = FaultOf("{\"cluster\":{\"enabled\":true," + cluster + "}}");
    return what.substr(0, what.find(' ', 12));
  };
  const std::string usual = R"("fleet":"f","listen":"10.0.0.4:7946")";
  EXPECT_EQ(fault(usual), "");
  EXPECT_EQ(fault(R"("listen":"10.0.0.4:7946")"), "config: key cluster.fleet");
  EXPECT_EQ(fault(R"("fleet":"f")"), "config: key cluster.listen");
  EXPECT_EQ(fault(R"("fleet":"f","listen":"0.0.0.0:7946")"), "config: key cluster.listen");
  EXPECT_EQ(fault(R"("fleet":"f","listen":"0.0.0.0:7946","advertise":"10.0.0.4:1")"), "");
  EXPECT_EQ(fault(R"("fleet":"a b","listen":"10.0.0.4:7946")"), "config: key cluster.fleet");
  EXPECT_EQ(fault(usual + R"(,"name":"a\nb")"), "config: key cluster.name");
  EXPECT_EQ(fault(usual + R"(,"join":["10.0.0.4"])"), "config: key cluster.join");
  EXPECT_EQ(fault(usual + R"(,"join":["10.0.0.4:0"])"), "config: key cluster.join");
  EXPECT_EQ(fault(usual + R"(,"reach":{"b":"x"})"), "config: key cluster.reach.b");
  EXPECT_EQ(fault(usual + R"(,"period_ms":1)"), "config: key cluster.period_ms");
  EXPECT_EQ(fault(usual + R"(,"forget_s":1)"), "config: key cluster.forget_s");
  EXPECT_EQ(fault(usual + R"(,"peers":[])"), "config: key cluster.peers");
}

TEST(Log, OneLineInEitherFormWhateverAPeerSends) {
  const std::string odd = "a\"b\nc";
  const auto fields = {log::Field("id", odd), log::Field("n", 3), log::Field("share", 0.25)};
  EXPECT_EQ(log::Format(log::LineFormat::kText, "x", fields), R"(x id="a\"b\x0ac" n=3 share=0.250)");
  EXPECT_EQ(log::Format(log::LineFormat::kJson, "x", fields),
            R"({"event":"x","id":"a\"b\nc","n":3,"share":0.25})");
}

}  // namespace
}  // namespace heronway::limits
