// News of workers: what one scheduler says may make the others look, and nothing more.
#include "src/cluster/news/news.h"

#include <gtest/gtest.h>

#include "bench/cluster/world.h"

namespace heronway::cluster {
namespace {

constexpr Micros kMs = 1'000, kSecond = 1'000'000;
constexpr std::uint64_t kW = 77;

std::vector<Hint> Say(News& news, Micros now, FactKind kind, std::uint64_t witness, Micros age = 0,
                      Micros since = 0, int schedulers = 3) {
  std::vector<Hint> hints;
  news.Heard(now, Fact{kW, kind, since, witness, age}, schedulers, hints);
  return hints;
}

TEST(News, AFailureIsOneProbeHoweverOftenItIsSaid) {
  News news("me", 1);
  int probes = 0;
  for (Micros now = 0; now < 10 * kSecond; now += 50 * kMs) {
    for (const std::uint64_t witness : {1, 2, 3, 4}) {
      for (const Hint& h : Say(news, now, FactKind::kFailing, witness)) {
        EXPECT_EQ(h.kind, FactKind::kFailing);
        ++probes;
      }
    }
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 5) << "one in 2 s";
}

TEST(News, OwnSightGoesFirstAndOldNewsTellNothing) {
  News news("me", 1);
  news.Saw(0, FactKind::kFailing, kW);
  news.SawWell(5 * kSecond, kW);
  EXPECT_TRUE(Say(news, 5 * kSecond + 100 * kMs, FactKind::kFailing, 1, 300 * kMs).empty())
      << "seen well since";
  EXPECT_TRUE(Say(news, 9 * kSecond, FactKind::kFailing, 2, 2'100 * kMs).empty()) << "old";
  EXPECT_TRUE(Say(news, 9 * kSecond, FactKind::kFailing, News::HashOf("me")).empty())
      << "its own, come round";
  EXPECT_EQ(Say(news, 9 * kSecond, FactKind::kFailing, 3, 100 * kMs).size(), 1u);
}

TEST(News, AStartIsBelievedOfTwoThatAgreeAndOnlyForward) {
  News news("me", 1);
  const Micros start = 500 * kSecond;
  EXPECT_TRUE(Say(news, 0, FactKind::kStarted, 1, 0, start).empty()) << "one member may be wrong";
  EXPECT_TRUE(Say(news, 10, FactKind::kStarted, 1, 0, start).empty()) << "and says it again";
  EXPECT_TRUE(Say(news, 20, FactKind::kStarted, 2, 0, start + 1).empty()) << "another time is another start";
  EXPECT_EQ(Say(news, 40 * kSecond, FactKind::kStarted, 1, 0, start).size(), 0u);
  EXPECT_EQ(Say(news, 40 * kSecond, FactKind::kStarted, 3, 0, start).size(), 1u);
  EXPECT_TRUE(Say(news, 41 * kSecond, FactKind::kStarted, 3, 0, start - kSecond).empty());
  News sure("me", 1);
  sure.Saw(0, FactKind::kStarted, kW, start);
  Say(sure, 1, FactKind::kStarted, 1, 0, start - kSecond);
  EXPECT_TRUE(Say(sure, 2, FactKind::kStarted, 2, 0, start - kSecond).empty())
      << "this one knows a later one";
}

// In a fleet of 300 one witness's word must not bring 300 probes on a worker that is well.
TEST(News, OfManySchedulersAFewLook) {
  int looks = 0;
  for (int i = 0; i < 300; ++i) {
    News news("s" + std::to_string(i), static_cast<std::uint64_t>(i));
    looks += static_cast<int>(Say(news, 0, FactKind::kFailing, 1, 0, 0, 300).size());
  }
  EXPECT_GE(looks, 2);
  EXPECT_LE(looks, 20);
}

TEST(News, MemoryAndSendsAreBounded) {
  News news("me", 1);
  std::vector<Hint> hints;
  for (std::uint64_t t = 0; t < 3 * News::kMostTargets; ++t)
    news.Heard(static_cast<Micros>(t), Fact{t, FactKind::kFailing, 0, 1, 0}, 3, hints);
  EXPECT_EQ(news.targets(), News::kMostTargets);
  std::vector<Fact> out;
  for (int n = 0; n < 1000; ++n) news.Fill(kSecond, 40 * News::kFactBytes, 5, out);
  EXPECT_EQ(out.size(), 5 * News::kMostWaiting);
  EXPECT_FALSE(news.waiting());
  for (const Fact& f : out) EXPECT_GT(f.age, 0) << "it grows older while it waits";
  news.Saw(kSecond, FactKind::kFailing, 1);
  out.clear();
  news.Fill(4 * kSecond, 4000, 5, out);
  EXPECT_TRUE(out.empty()) << "too old to be told";
}

Fact LoadOf(std::uint64_t target, std::uint64_t witness, std::uint16_t waiting, std::uint16_t free,
            Micros age = 0) {
  return Fact{target, FactKind::kLoad, 0, witness, age, waiting, free};
}

TEST(News, WhatAPeerKnowsIsItsOwnSightWithItsAge) {
  News peer("peer", 1);
  peer.Saw(0, FactKind::kStarted, 1, 400 * kSecond);
  peer.Saw(19 * kSecond, FactKind::kFailing, 2);
  peer.Saw(19 * kSecond, FactKind::kFailing, 3);
  peer.SawWell(19 * kSecond + 500 * kMs, 3);
  peer.SawLoad(19 * kSecond, 2, 0, 10);
  peer.SawLoad(19 * kSecond, 4, 20, 10);
  peer.SawLoad(18 * kSecond, 5, 0, 10);
  Say(peer, 19 * kSecond, FactKind::kFailing, 9);
  std::vector<Fact> known;
  peer.Known(20 * kSecond, known);
  ASSERT_EQ(known.size(), 3u) << "3 is well again, 5 is too old, no word of room for 2, which fails; and "
                                 "hearsay is not passed off as sight";
  EXPECT_EQ(known[0].kind, FactKind::kStarted);
  EXPECT_EQ(known[1].target, 2u);
  EXPECT_EQ(known[2].target, 4u);
  EXPECT_EQ(known[2].age, kSecond);
  EXPECT_EQ(known[2].waiting, 20);
  EXPECT_EQ(known[2].free, 10);
}

TEST(News, AReportIsTakenOfTwoPeersAtMostTheWorseFirst) {
  News news("me", 1);
  std::vector<Hint> hints;
  news.Heard(0, LoadOf(kW, 1, 0, 20), 1, hints);
  ASSERT_EQ(hints.size(), 1u) << "room: no probe beside it";
  EXPECT_EQ(hints[0].kind, FactKind::kLoad);
  news.Heard(1, LoadOf(kW, 2, 0, 20), 1, hints);
  EXPECT_EQ(hints.size(), 1u) << "no worse";
  news.Heard(2, LoadOf(kW, 3, 30, 0), 1, hints);
  EXPECT_EQ(hints.size(), 1u) << "a third peer is not asked";
  News other("me", 1);
  hints.clear();
  other.Heard(0, LoadOf(kW, 1, 0, 20), 1, hints);
  other.Heard(1, LoadOf(kW, 2, 30, 0), 1, hints);
  ASSERT_EQ(hints.size(), 2u) << "worse: looked into by one probe";
  EXPECT_EQ(hints[1].kind, FactKind::kFailing);
  News full("me", 1);
  hints.clear();
  full.Heard(0, LoadOf(kW, 1, 30, 0), 1, hints);
  full.Heard(1, LoadOf(kW, 2, 40, 0), 1, hints);
  EXPECT_EQ(hints.size(), 1u) << "worse still, and one probe is enough";
  hints.clear();
  full.Heard(2, LoadOf(kW + 1, News::HashOf("me"), 0, 20), 1, hints);
  EXPECT_TRUE(hints.empty()) << "its own word that comes back tells nothing";
  News doubts("me", 1);
  hints.clear();
  doubts.Heard(0, Fact{kW, FactKind::kFailing, 0, 1, 0}, 1, hints);
  doubts.Heard(1, LoadOf(kW, 2, 0, 20), 1, hints);
  EXPECT_EQ(hints.size(), 1u) << "one says that it fails: no word of room is taken for it";
}

// A peer that calls a good worker full, again and again, costs it one probe, and nothing once it was seen.
TEST(News, AWrongPeerIsOverruledByTheFirstOwnSight) {
  News news("me", 1);
  std::vector<Hint> hints;
  for (Micros now = 0; now < 10 * kSecond; now += 100 * kMs) news.Heard(now, LoadOf(kW, 1, 80, 0), 1, hints);
  EXPECT_EQ(hints.size(), 1u) << "and is not avoided for it";
  News seen("me", 1);
  seen.SawLoad(0, kW, 0, 20);
  hints.clear();
  seen.Heard(kSecond, LoadOf(kW, 1, 80, 0), 1, hints);
  EXPECT_TRUE(hints.empty());
  seen.Heard(kSecond, LoadOf(kW + 1, 1, 80, 0, 1'600 * kMs), 1, hints);
  EXPECT_TRUE(hints.empty()) << "older than the module believes a report";
}

// One that joins is told by an exchange; one that has run for long is told nothing more of loads.
TEST(News, OneThatHasJustStartedIsToldAndNobodyElse) {
  World::Options options;
  options.members = 4;
  World world(options);
  for (int i = 0; i < 3; ++i) world.Start(i);
  world.RunUntil(world.now() + 20 * kSecond);
  std::vector<std::pair<int, Hint>> heard;
  world.hinted = [&](int node, const Hint& h) { heard.emplace_back(node, h); };
  SawWorker load{FactKind::kLoad, kW};
  load.waiting = 30;
  load.free = 0;
  world.Saw(0, load);
  world.Saw(0, SawWorker{FactKind::kLoad, kW + 1, 0, false, 0, 20});
  world.RunUntil(world.now() + 100 * kMs);
  world.Start(3);
  world.RunUntil(world.now() + 5 * kSecond);
  ASSERT_EQ(heard.size(), 2u) << "a probe of the one without room, a report of the other";
  for (const auto& [node, hint] : heard) EXPECT_EQ(node, 3);
  EXPECT_EQ(heard[0].second.kind, FactKind::kFailing);
  EXPECT_GE(heard[1].second.age, 100 * kMs);
}

// Through the fleet: one of 100 sees a worker fail; how soon do others look, and how many.
TEST(News, GoesRoundAFleetInAFewTicks) {
  World::Options options;
  options.members = 100;
  options.loss = 0.05;
  World world(options);
  for (int i = 0; i < 100; ++i) world.Start(i);
  world.RunUntil(world.now() + 20 * kSecond);
  int looks = 0;
  Micros first = -1;
  const Micros begun = world.now();
  world.hinted = [&](int, const Hint&) {
    ++looks;
    if (first < 0) first = world.now();
  };
  world.Saw(0, SawWorker{FactKind::kFailing, kW, 0, false});
  world.RunUntil(begun + 3 * kSecond);
  EXPECT_GE(looks, 2);
  EXPECT_LE(looks, 25);
  EXPECT_LE(first - begun, 500 * kMs);
  looks = 0;  // a second witness: all look, once
  const Micros again = world.now() + kSecond;
  world.RunUntil(again);
  world.Saw(0, SawWorker{FactKind::kFailing, kW, 0, false});
  world.Saw(50, SawWorker{FactKind::kFailing, kW, 0, false});
  world.RunUntil(again + 1'500 * kMs);
  EXPECT_GE(looks, 90);
  EXPECT_LE(looks, 100);
}

}  // namespace
}  // namespace heronway::cluster
