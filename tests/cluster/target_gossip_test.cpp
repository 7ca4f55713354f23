// Tests of gossip about targets: facts from other schedulers lead to probes at most.
#include "src/cluster/target_gossip/target_gossip.h"

#include <gtest/gtest.h>

#include "bench/cluster/world.h"

namespace heronway::cluster {
namespace {

constexpr Micros kMs = 1'000, kSecond = 1'000'000;
constexpr std::uint64_t kTarget = 77;

std::vector<TargetAdvice> Receive(TargetGossip& gossip, Micros now, FactKind kind, std::uint64_t observer,
                                  Micros age = 0, Micros since = 0, int schedulers = 3) {
  std::vector<TargetAdvice> advice;
  gossip.HandleFact(now, Fact{kTarget, kind, since, observer, age}, schedulers, advice);
  return advice;
}

TEST(TargetGossip, RepeatedFailureFactsLeadToOneProbePerInterval) {
  TargetGossip gossip("me", 1);
  int probes = 0;
  for (Micros now = 0; now < 10 * kSecond; now += 50 * kMs) {
    for (const std::uint64_t observer : {1, 2, 3, 4}) {
      for (const TargetAdvice& a : Receive(gossip, now, FactKind::kFailing, observer)) {
        EXPECT_EQ(a.kind, FactKind::kFailing);
        ++probes;
      }
    }
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 5) << "one in 2 s";
}

TEST(TargetGossip, OwnObservationsTakePrecedenceAndOldFactsAreIgnored) {
  TargetGossip gossip("me", 1);
  gossip.RecordEvent(0, FactKind::kFailing, kTarget);
  gossip.RecordHealthy(5 * kSecond, kTarget);
  EXPECT_TRUE(Receive(gossip, 5 * kSecond + 100 * kMs, FactKind::kFailing, 1, 300 * kMs).empty())
      << "observed healthy since";
  EXPECT_TRUE(Receive(gossip, 9 * kSecond, FactKind::kFailing, 2, 2'100 * kMs).empty()) << "too old";
  EXPECT_TRUE(Receive(gossip, 9 * kSecond, FactKind::kFailing, TargetGossip::HashOf("me")).empty())
      << "its own fact, returned";
  EXPECT_EQ(Receive(gossip, 9 * kSecond, FactKind::kFailing, 3, 100 * kMs).size(), 1u);
}

TEST(TargetGossip, ARestartNeedsTwoObserversAndIsNeverMovedBack) {
  TargetGossip gossip("me", 1);
  const Micros start = 500 * kSecond;
  EXPECT_TRUE(Receive(gossip, 0, FactKind::kStarted, 1, 0, start).empty()) << "one member may be wrong";
  EXPECT_TRUE(Receive(gossip, 10, FactKind::kStarted, 1, 0, start).empty()) << "the same observer again";
  EXPECT_TRUE(Receive(gossip, 20, FactKind::kStarted, 2, 0, start + 1).empty())
      << "a different time is a different restart";
  EXPECT_EQ(Receive(gossip, 40 * kSecond, FactKind::kStarted, 1, 0, start).size(), 0u);
  EXPECT_EQ(Receive(gossip, 40 * kSecond, FactKind::kStarted, 3, 0, start).size(), 1u);
  EXPECT_TRUE(Receive(gossip, 41 * kSecond, FactKind::kStarted, 3, 0, start - kSecond).empty());
  TargetGossip informed("me", 1);
  informed.RecordEvent(0, FactKind::kStarted, kTarget, start);
  Receive(informed, 1, FactKind::kStarted, 1, 0, start - kSecond);
  EXPECT_TRUE(Receive(informed, 2, FactKind::kStarted, 2, 0, start - kSecond).empty())
      << "a later restart is already known";
}

// In a fleet of 300, one observer's report must not lead to 300 probes of a healthy worker.
TEST(TargetGossip, OnlyAFewOfManySchedulersProbe) {
  int probes = 0;
  for (int i = 0; i < 300; ++i) {
    TargetGossip gossip("s" + std::to_string(i), static_cast<std::uint64_t>(i));
    probes += static_cast<int>(Receive(gossip, 0, FactKind::kFailing, 1, 0, 0, 300).size());
  }
  EXPECT_GE(probes, 2);
  EXPECT_LE(probes, 20);
}

TEST(TargetGossip, MemoryAndSendsAreBounded) {
  TargetGossip gossip("me", 1);
  std::vector<TargetAdvice> advice;
  for (std::uint64_t t = 0; t < 3 * TargetGossip::kMaxTargets; ++t)
    gossip.HandleFact(static_cast<Micros>(t), Fact{t, FactKind::kFailing, 0, 1, 0}, 3, advice);
  EXPECT_EQ(gossip.target_count(), TargetGossip::kMaxTargets);
  std::vector<Fact> out;
  for (int n = 0; n < 1000; ++n) gossip.Fill(kSecond, 40 * TargetGossip::kMaxFactBytes, 5, out);
  EXPECT_EQ(out.size(), 5 * TargetGossip::kMaxQueued);
  EXPECT_FALSE(gossip.has_queued());
  for (const Fact& f : out) EXPECT_GT(f.age, 0) << "the age grows in the queue";
  gossip.RecordEvent(kSecond, FactKind::kFailing, 1);
  out.clear();
  gossip.Fill(4 * kSecond, 4000, 5, out);
  EXPECT_TRUE(out.empty()) << "too old to be sent";
}

Fact LoadOf(std::uint64_t target, std::uint64_t observer, std::uint16_t waiting, std::uint16_t free,
            Micros age = 0) {
  return Fact{target, FactKind::kLoad, 0, observer, age, waiting, free};
}

TEST(TargetGossip, AppendOwnFactsGivesOwnObservationsWithAges) {
  TargetGossip peer("peer", 1);
  peer.RecordEvent(0, FactKind::kStarted, 1, 400 * kSecond);
  peer.RecordEvent(19 * kSecond, FactKind::kFailing, 2);
  peer.RecordEvent(19 * kSecond, FactKind::kFailing, 3);
  peer.RecordHealthy(19 * kSecond + 500 * kMs, 3);
  peer.RecordLoad(19 * kSecond, 2, 0, 10);
  peer.RecordLoad(19 * kSecond, 4, 20, 10);
  peer.RecordLoad(18 * kSecond, 5, 0, 10);
  Receive(peer, 19 * kSecond, FactKind::kFailing, 9);
  std::vector<Fact> known;
  peer.AppendOwnFacts(20 * kSecond, known);
  ASSERT_EQ(known.size(), 3u) << "3 is healthy again, 5 is too old, 2 is failing, so its load is left out; "
                                 "facts from other schedulers are not included";
  EXPECT_EQ(known[0].kind, FactKind::kStarted);
  EXPECT_EQ(known[1].target, 2u);
  EXPECT_EQ(known[2].target, 4u);
  EXPECT_EQ(known[2].age, kSecond);
  EXPECT_EQ(known[2].waiting, 20);
  EXPECT_EQ(known[2].free, 10);
}

TEST(TargetGossip, LoadReportsAreUsedFromTwoPeersAndTheSecondOnlyIfWorse) {
  TargetGossip gossip("me", 1);
  std::vector<TargetAdvice> advice;
  gossip.HandleFact(0, LoadOf(kTarget, 1, 0, 20), 1, advice);
  ASSERT_EQ(advice.size(), 1u) << "free capacity: no additional probe";
  EXPECT_EQ(advice[0].kind, FactKind::kLoad);
  gossip.HandleFact(1, LoadOf(kTarget, 2, 0, 20), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "not worse";
  gossip.HandleFact(2, LoadOf(kTarget, 3, 30, 0), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "a third peer's report is ignored";
  TargetGossip second("me", 1);
  advice.clear();
  second.HandleFact(0, LoadOf(kTarget, 1, 0, 20), 1, advice);
  second.HandleFact(1, LoadOf(kTarget, 2, 30, 0), 1, advice);
  ASSERT_EQ(advice.size(), 2u) << "worse: verified by one probe";
  EXPECT_EQ(advice[1].kind, FactKind::kFailing);
  TargetGossip loaded("me", 1);
  advice.clear();
  loaded.HandleFact(0, LoadOf(kTarget, 1, 30, 0), 1, advice);
  loaded.HandleFact(1, LoadOf(kTarget, 2, 40, 0), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "even worse, but one probe is enough";
  advice.clear();
  loaded.HandleFact(2, LoadOf(kTarget + 1, TargetGossip::HashOf("me"), 0, 20), 1, advice);
  EXPECT_TRUE(advice.empty()) << "its own fact, returned";
  TargetGossip doubting("me", 1);
  advice.clear();
  doubting.HandleFact(0, Fact{kTarget, FactKind::kFailing, 0, 1, 0}, 1, advice);
  doubting.HandleFact(1, LoadOf(kTarget, 2, 0, 20), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "reported as failing, so a report of free capacity is ignored";
}

// A peer that keeps reporting a healthy worker as full causes one probe, and none after an own observation.
TEST(TargetGossip, OwnObservationsOverrideAWrongPeer) {
  TargetGossip gossip("me", 1);
  std::vector<TargetAdvice> advice;
  for (Micros now = 0; now < 10 * kSecond; now += 100 * kMs)
    gossip.HandleFact(now, LoadOf(kTarget, 1, 80, 0), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "a probe instead of avoiding the worker";
  TargetGossip seen("me", 1);
  seen.RecordLoad(0, kTarget, 0, 20);
  advice.clear();
  seen.HandleFact(kSecond, LoadOf(kTarget, 1, 80, 0), 1, advice);
  EXPECT_TRUE(advice.empty());
  seen.HandleFact(kSecond, LoadOf(kTarget + 1, 1, 80, 0, 1'600 * kMs), 1, advice);
  EXPECT_TRUE(advice.empty()) << "older than the module accepts";
}

// A member that joins receives load reports in an exchange; a member that has run for a while does not.
TEST(TargetGossip, OnlyANewMemberReceivesLoadReports) {
  World::Options options;
  options.members = 4;
  World world(options);
  for (int i = 0; i < 3; ++i) world.Start(i);
  world.RunUntil(world.now() + 20 * kSecond);
  std::vector<std::pair<int, TargetAdvice>> received;
  world.on_advice = [&](int node, const TargetAdvice& a) { received.emplace_back(node, a); };
  TargetObservation load{FactKind::kLoad, kTarget};
  load.waiting = 30;
  load.free = 0;
  world.Observe(0, load);
  world.Observe(0, TargetObservation{FactKind::kLoad, kTarget + 1, 0, false, 0, 20});
  world.RunUntil(world.now() + 100 * kMs);
  world.Start(3);
  world.RunUntil(world.now() + 5 * kSecond);
  ASSERT_EQ(received.size(), 2u) << "a probe of the full target, a report of the other";
  for (const auto& [node, advice] : received) EXPECT_EQ(node, 3);
  EXPECT_EQ(received[0].second.kind, FactKind::kFailing);
  EXPECT_GE(received[1].second.age, 100 * kMs);
}

// One of 100 members observes a failure: checks how soon other members probe, and how many do.
TEST(TargetGossip, SpreadsThroughAFleetInAFewTicks) {
  World::Options options;
  options.members = 100;
  options.loss_rate = 0.05;
  World world(options);
  for (int i = 0; i < 100; ++i) world.Start(i);
  world.RunUntil(world.now() + 20 * kSecond);
  int probes = 0;
  Micros first = -1;
  const Micros begun = world.now();
  world.on_advice = [&](int, const TargetAdvice&) {
    ++probes;
    if (first < 0) first = world.now();
  };
  world.Observe(0, TargetObservation{FactKind::kFailing, kTarget, 0, false});
  world.RunUntil(begun + 3 * kSecond);
  EXPECT_GE(probes, 2);
  EXPECT_LE(probes, 25);
  EXPECT_LE(first - begun, 500 * kMs);
  probes = 0;  // a second observer: all members probe, once
  const Micros again = world.now() + kSecond;
  world.RunUntil(again);
  world.Observe(0, TargetObservation{FactKind::kFailing, kTarget, 0, false});
  world.Observe(50, TargetObservation{FactKind::kFailing, kTarget, 0, false});
  world.RunUntil(again + 1'500 * kMs);
  EXPECT_GE(probes, 90);
  EXPECT_LE(probes, 100);
}

}  // namespace
}  // namespace heronway::cluster
