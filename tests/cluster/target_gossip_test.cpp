// News of workers: what one scheduler says may make the others look, and nothing more.
#include "src/cluster/target_gossip/target_gossip.h"

#include <gtest/gtest.h>

#include "bench/cluster/world.h"

namespace heronway::cluster {
namespace {

constexpr Micros kMs = 1'000, kSecond = 1'000'000;
constexpr std::uint64_t kW = 77;

std::vector<TargetAdvice> Receive(TargetGossip& gossip, Micros now, FactKind kind, std::uint64_t observer,
                                  Micros age = 0, Micros since = 0, int schedulers = 3) {
  std::vector<TargetAdvice> advice;
  gossip.HandleFact(now, Fact{kW, kind, since, observer, age}, schedulers, advice);
  return advice;
}

TEST(TargetGossip, AFailureIsOneProbeHoweverOftenItIsSaid) {
  TargetGossip gossip("me", 1);
  int probes = 0;
  for (Micros now = 0; now < 10 * kSecond; now += 50 * kMs) {
    for (const std::uint64_t observer : {1, 2, 3, 4}) {
      for (const TargetAdvice& h : Receive(gossip, now, FactKind::kFailing, observer)) {
        EXPECT_EQ(h.kind, FactKind::kFailing);
        ++probes;
      }
    }
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 5) << "one in 2 s";
}

TEST(TargetGossip, OwnSightGoesFirstAndOldNewsTellNothing) {
  TargetGossip gossip("me", 1);
  gossip.RecordEvent(0, FactKind::kFailing, kW);
  gossip.RecordHealthy(5 * kSecond, kW);
  EXPECT_TRUE(Receive(gossip, 5 * kSecond + 100 * kMs, FactKind::kFailing, 1, 300 * kMs).empty())
      << "seen well since";
  EXPECT_TRUE(Receive(gossip, 9 * kSecond, FactKind::kFailing, 2, 2'100 * kMs).empty()) << "old";
  EXPECT_TRUE(Receive(gossip, 9 * kSecond, FactKind::kFailing, TargetGossip::HashOf("me")).empty())
      << "its own, come round";
  EXPECT_EQ(Receive(gossip, 9 * kSecond, FactKind::kFailing, 3, 100 * kMs).size(), 1u);
}

TEST(TargetGossip, AStartIsBelievedOfTwoThatAgreeAndOnlyForward) {
  TargetGossip gossip("me", 1);
  const Micros start = 500 * kSecond;
  EXPECT_TRUE(Receive(gossip, 0, FactKind::kStarted, 1, 0, start).empty()) << "one member may be wrong";
  EXPECT_TRUE(Receive(gossip, 10, FactKind::kStarted, 1, 0, start).empty()) << "and says it again";
  EXPECT_TRUE(Receive(gossip, 20, FactKind::kStarted, 2, 0, start + 1).empty())
      << "another time is another start";
  EXPECT_EQ(Receive(gossip, 40 * kSecond, FactKind::kStarted, 1, 0, start).size(), 0u);
  EXPECT_EQ(Receive(gossip, 40 * kSecond, FactKind::kStarted, 3, 0, start).size(), 1u);
  EXPECT_TRUE(Receive(gossip, 41 * kSecond, FactKind::kStarted, 3, 0, start - kSecond).empty());
  TargetGossip sure("me", 1);
  sure.RecordEvent(0, FactKind::kStarted, kW, start);
  Receive(sure, 1, FactKind::kStarted, 1, 0, start - kSecond);
  EXPECT_TRUE(Receive(sure, 2, FactKind::kStarted, 2, 0, start - kSecond).empty())
      << "this one knows a later one";
}

// In a fleet of 300 one witness's word must not bring 300 probes on a worker that is well.
TEST(TargetGossip, OfManySchedulersAFewLook) {
  int looks = 0;
  for (int i = 0; i < 300; ++i) {
    TargetGossip gossip("s" + std::to_string(i), static_cast<std::uint64_t>(i));
    looks += static_cast<int>(Receive(gossip, 0, FactKind::kFailing, 1, 0, 0, 300).size());
  }
  EXPECT_GE(looks, 2);
  EXPECT_LE(looks, 20);
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
  for (const Fact& f : out) EXPECT_GT(f.age, 0) << "it grows older while it waits";
  gossip.RecordEvent(kSecond, FactKind::kFailing, 1);
  out.clear();
  gossip.Fill(4 * kSecond, 4000, 5, out);
  EXPECT_TRUE(out.empty()) << "too old to be told";
}

Fact LoadOf(std::uint64_t target, std::uint64_t observer, std::uint16_t waiting, std::uint16_t free,
            Micros age = 0) {
  return Fact{target, FactKind::kLoad, 0, observer, age, waiting, free};
}

TEST(TargetGossip, WhatAPeerKnowsIsItsOwnSightWithItsAge) {
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
  ASSERT_EQ(known.size(), 3u) << "3 is well again, 5 is too old, no word of room for 2, which fails; and "
                                 "hearsay is not passed off as sight";
  EXPECT_EQ(known[0].kind, FactKind::kStarted);
  EXPECT_EQ(known[1].target, 2u);
  EXPECT_EQ(known[2].target, 4u);
  EXPECT_EQ(known[2].age, kSecond);
  EXPECT_EQ(known[2].waiting, 20);
  EXPECT_EQ(known[2].free, 10);
}

TEST(TargetGossip, AReportIsTakenOfTwoPeersAtMostTheWorseFirst) {
  TargetGossip gossip("me", 1);
  std::vector<TargetAdvice> advice;
  gossip.HandleFact(0, LoadOf(kW, 1, 0, 20), 1, advice);
  ASSERT_EQ(advice.size(), 1u) << "room: no probe beside it";
  EXPECT_EQ(advice[0].kind, FactKind::kLoad);
  gossip.HandleFact(1, LoadOf(kW, 2, 0, 20), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "no worse";
  gossip.HandleFact(2, LoadOf(kW, 3, 30, 0), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "a third peer is not asked";
  TargetGossip other("me", 1);
  advice.clear();
  other.HandleFact(0, LoadOf(kW, 1, 0, 20), 1, advice);
  other.HandleFact(1, LoadOf(kW, 2, 30, 0), 1, advice);
  ASSERT_EQ(advice.size(), 2u) << "worse: looked into by one probe";
  EXPECT_EQ(advice[1].kind, FactKind::kFailing);
  TargetGossip full("me", 1);
  advice.clear();
  full.HandleFact(0, LoadOf(kW, 1, 30, 0), 1, advice);
  full.HandleFact(1, LoadOf(kW, 2, 40, 0), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "worse still, and one probe is enough";
  advice.clear();
  full.HandleFact(2, LoadOf(kW + 1, TargetGossip::HashOf("me"), 0, 20), 1, advice);
  EXPECT_TRUE(advice.empty()) << "its own word that comes back tells nothing";
  TargetGossip doubts("me", 1);
  advice.clear();
  doubts.HandleFact(0, Fact{kW, FactKind::kFailing, 0, 1, 0}, 1, advice);
  doubts.HandleFact(1, LoadOf(kW, 2, 0, 20), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "one says that it fails: no word of room is taken for it";
}

// A peer that calls a good worker full, again and again, costs it one probe, and nothing once it was seen.
TEST(TargetGossip, AWrongPeerIsOverruledByTheFirstOwnSight) {
  TargetGossip gossip("me", 1);
  std::vector<TargetAdvice> advice;
  for (Micros now = 0; now < 10 * kSecond; now += 100 * kMs)
    gossip.HandleFact(now, LoadOf(kW, 1, 80, 0), 1, advice);
  EXPECT_EQ(advice.size(), 1u) << "and is not avoided for it";
  TargetGossip seen("me", 1);
  seen.RecordLoad(0, kW, 0, 20);
  advice.clear();
  seen.HandleFact(kSecond, LoadOf(kW, 1, 80, 0), 1, advice);
  EXPECT_TRUE(advice.empty());
  seen.HandleFact(kSecond, LoadOf(kW + 1, 1, 80, 0, 1'600 * kMs), 1, advice);
  EXPECT_TRUE(advice.empty()) << "older than the module believes a report";
}

// One that joins is told by an exchange; one that has run for long is told nothing more of loads.
TEST(TargetGossip, OneThatHasJustStartedIsToldAndNobodyElse) {
  World::Options options;
  options.members = 4;
  World world(options);
  for (int i = 0; i < 3; ++i) world.Start(i);
  world.RunUntil(world.now() + 20 * kSecond);
  std::vector<std::pair<int, TargetAdvice>> heard;
  world.on_advice = [&](int node, const TargetAdvice& h) { heard.emplace_back(node, h); };
  TargetObservation load{FactKind::kLoad, kW};
  load.waiting = 30;
  load.free = 0;
  world.Observe(0, load);
  world.Observe(0, TargetObservation{FactKind::kLoad, kW + 1, 0, false, 0, 20});
  world.RunUntil(world.now() + 100 * kMs);
  world.Start(3);
  world.RunUntil(world.now() + 5 * kSecond);
  ASSERT_EQ(heard.size(), 2u) << "a probe of the one without room, a report of the other";
  for (const auto& [node, advice] : heard) EXPECT_EQ(node, 3);
  EXPECT_EQ(heard[0].second.kind, FactKind::kFailing);
  EXPECT_GE(heard[1].second.age, 100 * kMs);
}

// Through the fleet: one of 100 sees a worker fail; how soon do others look, and how many.
TEST(TargetGossip, GoesRoundAFleetInAFewTicks) {
  World::Options options;
  options.members = 100;
  options.loss_rate = 0.05;
  World world(options);
  for (int i = 0; i < 100; ++i) world.Start(i);
  world.RunUntil(world.now() + 20 * kSecond);
  int looks = 0;
  Micros first = -1;
  const Micros begun = world.now();
  world.on_advice = [&](int, const TargetAdvice&) {
    ++looks;
    if (first < 0) first = world.now();
  };
  world.Observe(0, TargetObservation{FactKind::kFailing, kW, 0, false});
  world.RunUntil(begun + 3 * kSecond);
  EXPECT_GE(looks, 2);
  EXPECT_LE(looks, 25);
  EXPECT_LE(first - begun, 500 * kMs);
  looks = 0;  // a second witness: all look, once
  const Micros again = world.now() + kSecond;
  world.RunUntil(again);
  world.Observe(0, TargetObservation{FactKind::kFailing, kW, 0, false});
  world.Observe(50, TargetObservation{FactKind::kFailing, kW, 0, false});
  world.RunUntil(again + 1'500 * kMs);
  EXPECT_GE(looks, 90);
  EXPECT_LE(looks, 100);
}

}  // namespace
}  // namespace heronway::cluster
