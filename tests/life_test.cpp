// Holding, hedging, health, membership, restarts, and what is odd but legal.
#include <gtest/gtest.h>

#include <set>
#include <utility>

#include "harness.h"

namespace pebblenotch::testing {
namespace {

TEST(Life, HoldsWhenAllAreFullAndSendsWhenRoomIsReported) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  node.Probed(1, Load(3, 0));
  node.Probed(2, Load(3, 0));
  auto actions = node.Ask(1);
  EXPECT_TRUE(Of<Push>(actions).empty());
  EXPECT_TRUE(Of<Shed>(actions).empty());
  const auto pushes = Of<Push>(node.Probed(2, Load(0, 2)));
  ASSERT_EQ(pushes.size(), 1u);
  EXPECT_EQ(pushes[0].worker, 2u);
}

// Found in an overload where thirty nodes poured what they held on whichever worker reported room.
TEST(Life, NodesThatHoldJobsTakeOnlyTheirPartOfTheRoom) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.nodes = 40;
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Node node(site, seed);
    node.List(ListKind::kCached, Fleet(2));
    node.Probed(1, Load(3, 0));
    node.Probed(2, Load(3, 0));
    for (RequestId id = 1; id <= 10; ++id) EXPECT_TRUE(Of<Push>(node.Ask(id)).empty());
    sent += static_cast<int>(Of<Push>(node.Probed(2, Load(0, 5))).size());
  }
  EXPECT_GE(sent, 5);   // the five free slots are used,
  EXPECT_LE(sent, 40);  // and not claimed five times by each of forty nodes
}

// Found on an overload where every queue was full and every job so waited too long to be of use.
TEST(Life, ShedsWhatIsWorthLeastWhileJobsStartTooLate) {
  auto site = Site({Class(Idempotency::kAtMostOnce), Class(Idempotency::kAtMostOnce)});
  site.worth_by_work = true;
  site.worker_reports_start = true;
  site.classes[0].worth = 8;
  Node node(site);
  node.List(ListKind::kCached, Fleet(5));
  std::vector<int> refused(2, 0);
  std::vector<std::pair<RequestId, WorkerId>> out;  // ten jobs at a time, all of which start late
  for (RequestId id = 1; id <= 400; ++id) {
    const int job_class = static_cast<int>(id % 2);
    node.Probed(1 + id % 5, Load(0, 5));
    const auto actions = node.Ask(id, job_class);
    if (id > 100) refused[static_cast<std::size_t>(job_class)] += static_cast<int>(Of<Shed>(actions).size());
    if (id > 300) continue;
    for (const Push& p : Of<Push>(actions)) out.emplace_back(id, p.worker);
    if (id % 10 != 0) continue;
    node.Pass(3 * kS);
    for (const auto& [late, worker] : std::exchange(out, {})) {
      node.Feed(AttemptProgress{late, 0, true, 0});
      node.End(late, 0, worker, Result::kOk, true);
    }
  }
  EXPECT_GT(refused[1], 50);  // the class of little worth
  // Few starts are left to end it, so it ends by itself.
  node.Pass(30 * kS);
  node.Probed(1, Load(0, 5));
  node.Ask(1000, 0);
  node.Probed(2, Load(0, 5));
  EXPECT_TRUE(Of<Shed>(node.Ask(1001, 1)).empty());
  EXPECT_LT(refused[0], refused[1]);  // goes first
}

// Found on a quiet day on which three workers of eleven restarted: a third of the starts was late, and the
// rest of the jobs, which had room to go to, were refused by the dozen.
TEST(Life, ShedsNothingWhileMostJobsStartInTime) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.worker_reports_start = true;
  Node node(site);
  node.List(ListKind::kCached, Fleet(5));
  std::size_t refused = 0;
  std::vector<std::pair<RequestId, WorkerId>> late;  // of thirty jobs the last ten
  const auto run = [&node](RequestId id, WorkerId worker) {
    node.Feed(AttemptProgress{id, 0, true, 0});
    node.End(id, 0, worker, Result::kOk, true);
  };
  for (RequestId id = 1; id <= 300; ++id) {
    node.Probed(1 + id % 5, Load(0, 5));
    const auto actions = node.Ask(id);
    refused += Of<Shed>(actions).size();
    for (const Push& p : Of<Push>(actions)) {
      if ((id - 1) % 30 < 20) {
        run(id, p.worker);
      } else {
        late.emplace_back(id, p.worker);
      }
    }
    if (id % 30 != 0) continue;
    node.Pass(1500 * kMs);
    for (const auto& [one, worker] : std::exchange(late, {})) run(one, worker);
  }
  EXPECT_LT(refused, 10u);
}

TEST(Life, RefusesEarlyWhatCanNoLongerBeServedInTime) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  Request r;
  r.id = 1;
  r.deadline = node.now() + 10 * kS;
  r.hint = 1 * kS;
  node.Feed(r);
  EXPECT_TRUE(Of<Shed>(node.Run(3'900 * kMs)).empty());
  EXPECT_EQ(Of<Shed>(node.Run(200 * kMs)).size(), 1u);  // aim 1 s + 2 x 1 s, less the run itself, + 2 x 1 s
}

// Found where four workers of ten were down: jobs were given up that had twice their usual run to spare.
TEST(Life, SendsWhatIsPastItsAimBehindWhatIsNot) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.classes[0].late_worth = 0.5;
  Node node(site);
  node.List(ListKind::kCached, Fleet(1));
  node.Probed(1, Load(3, 0));
  const auto ask = [&node](RequestId id) {
    Request r;
    r.id = id;
    r.deadline = node.now() + 10 * kS;
    r.hint = 1 * kS;
    return node.Feed(r);
  };
  ask(1);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(Of<Shed>(node.Run(500 * kMs)).empty());
    node.Probed(1, Load(3, 0));
  }
  ask(2);
  const auto first = Of<Push>(node.Probed(1, Load(0, 1)));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].id, 2u);
  const auto second = Of<Push>(node.End(2, 0, 1, Result::kOk, true, Load(0, 1)));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].id, 1u);
}

// Found where connections broke at random: each break cost a worker that was well for 3 s.
// In a storm what can no longer start in time makes way; on other days it may still be worth something late.
TEST(Life, InAStormAHeldJobIsGivenUpOnceItsStartIsTooLate) {
  Micros given_up[2] = {};
  for (const bool storm : {false, true}) {
    Node node(Site({Class(Idempotency::kIdempotent)}));
    node.List(ListKind::kCached, Fleet(1));
    node.Probed(1, Load(4, 0));
    node.Ask(1);
    HostLimits figures;
    figures.shed_late = storm;
    node.Feed(figures);
    const Micros began = node.now();
    while (Of<Shed>(node.Run(20 * kMs)).empty() && node.now() < began + 10 * kS) node.Probed(1, Load(4, 0));
    given_up[storm ? 1 : 0] = node.now() - began;
  }
  EXPECT_LT(given_up[1], given_up[0] - kS);
}

// Within limits a class that is worth little still gets one in twenty of the starts.
TEST(Life, AClassOfLittleWorthIsNotStarvedWithinLimits) {
  auto rich = Class(Idempotency::kIdempotent), poor = rich;
  rich.worth = 100;
  rich.aim = poor.aim = 60 * kS;
  for (const double starts_per_s : {0.0, 10.0}) {
    Node node(Site({poor, rich}));
    node.List(ListKind::kCached, Fleet(1));
    node.Probed(1, Load(4, 0));
    HostLimits figures;
    figures.starts_per_s = starts_per_s;
    node.Feed(figures);
    node.Ask(1, 0, 100 * kS);
    for (RequestId id = 2; id < 62; ++id) node.Ask(id, 1, 100 * kS);
    int before = -1, started = 0;
    for (int i = 0; i < 40 && before < 0; ++i) {  // ten starts a second
      node.Run(100 * kMs);
      for (const Push& p : Of<Push>(node.Probed(1, Load(0, 1)))) {
        if (p.id == 1) before = started;
        ++started;
        node.End(p.id, 0, 1, Result::kOk, true, Load(4, 0));
      }
    }
    EXPECT_GT(started, 15);
    EXPECT_EQ(before >= 0, starts_per_s > 0) << before;
  }
}

TEST(Life, NoMoreAttemptsAreOutThanTheHostAllows) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(4));
  HostLimits figures;
  figures.max_outstanding = 2;
  node.Feed(figures);
  std::size_t pushes = 0;
  for (RequestId id = 1; id <= 4; ++id) pushes += Of<Push>(node.Ask(id)).size();
  EXPECT_EQ(pushes, 2u);
}

TEST(Life, AFailureInARowSitsOutTwiceAsLongAsTheOneBefore) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  const auto trusted = [&node](WorkerId id) { return node.dispatcher().DrawChances(0)[id - 1] > 0; };
  ProbeResult broken;
  broken.worker = 1;
  broken.result = Result::kReset;
  for (const Micros sits_out : {750 * kMs, 1'500 * kMs, 3'000 * kMs}) {
    node.Feed(broken);
    node.Run(sits_out - 50 * kMs);
    EXPECT_FALSE(trusted(1));
    node.Run(100 * kMs);
    EXPECT_TRUE(trusted(1));
  }
}

// Found on an overloaded day: of 1,600 pushes 475 went to workers that had kept quiet about nine or more.
TEST(Life, AWorkerThatSaysNothingIsNotSentMoreUntilItDoes) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(1));
  EXPECT_EQ(Of<Push>(node.Ask(1)).size(), 1u);
  EXPECT_TRUE(Of<Push>(node.Ask(2)).empty());
  EXPECT_TRUE(Of<Push>(node.Run(1 * kS)).empty());
  EXPECT_EQ(Of<Push>(node.Probed(1, Load(0, 2))).size(), 1u);
}

TEST(Life, AProbeThatIsNotAnsweredTellsOfAQueueAndOneThatCannotConnectOfAFault) {
  for (const Result result : {Result::kTimeout, Result::kConnectFailed}) {
    Node node(Site({Class(Idempotency::kIdempotent)}));
    node.List(ListKind::kCached, Fleet(2));
    ProbeResult probe;
    probe.worker = 1;
    probe.result = result;
    node.Feed(probe);
    const auto chances = node.dispatcher().DrawChances(0);
    EXPECT_EQ(chances[0], 0);
    EXPECT_EQ(chances[1], 1);
  }
}

// Second copies of waiting jobs made crowded days worse: the copies ran all the same.
TEST(Life, AJobThatWaitsMarksItsWorkerFullAndIsNotCopied) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.worker_reports_start = true;
  Node node(site);
  node.List(ListKind::kCached, Fleet(2));
  node.Probed(1, Load(0, 2));
  node.Probed(2, Load(0, 2));
  const auto first = Of<Push>(node.Ask(1));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(Of<Push>(node.Run(100 * kMs)).empty());
  EXPECT_EQ(node.dispatcher().DrawChances(0)[first[0].worker - 1], 0);
}

TEST(Life, WhatIsOverATenantsShareWaitsBehindTheRest) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.tenants = {{1}};  // a burst of two lies inside the share
  site.over_share_worth = 0.05;
  Node node(site);
  node.List(ListKind::kCached, Fleet(1));
  node.Probed(1, Load(3, 0));
  for (RequestId id = 1; id <= 3; ++id) EXPECT_TRUE(Of<Push>(node.Ask(id)).empty());
  Request other;  // of a tenant without a limit: inside its share, though it came last
  other.id = 4;
  other.tenant = 9;
  other.deadline = node.now() + 10 * kS;
  EXPECT_TRUE(Of<Push>(node.Feed(other)).empty());
  const auto pushes = Of<Push>(node.Probed(1, Load(0, 3)));
  ASSERT_EQ(pushes.size(), 3u);
  for (const Push& p : pushes) EXPECT_NE(p.id, 3u);
}

TEST(Life, TheLastTryGoesOnlyWhereRoomIsKnown) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.max_attempts = 2;
  Node node(site);
  node.List(ListKind::kCached, Fleet(3));
  const auto first = Of<Push>(node.Ask(1));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(Of<Push>(node.End(1, 0, first[0].worker, Result::kFull)).empty());
  const WorkerId other = first[0].worker % 3 + 1;
  const auto last = Of<Push>(node.Probed(other, Load(0, 2)));
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].worker, other);
}

TEST(Life, AFastFailerDoesNotKeepATopRank) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(5));
  for (WorkerId w = 1; w <= 5; ++w) node.Probed(w, Load(0, 5));
  const auto first = Of<Push>(node.Ask(1));
  ASSERT_EQ(first.size(), 1u);
  node.End(1, 0, first[0].worker, Result::kError, false, Load(0, 8));
  EXPECT_EQ(node.dispatcher().DrawChances(0)[first[0].worker - 1], 0);
  node.Run(60 * kS);  // the way back
  node.Probed(first[0].worker, Load(0, 5));
  EXPECT_GT(node.dispatcher().DrawChances(0)[first[0].worker - 1], 0);
}

TEST(Life, ASlowWorkerIsEjectedAndPanicKeepsTheTableFromEmptying) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(1));
  for (RequestId id = 1; id <= 6; ++id) {
    node.Probed(1, Load(0, 5));
    ASSERT_EQ(Of<Push>(node.Ask(id)).size(), 1u) << "the only worker must stay in use, request " << id;
    node.End(id, 0, 1, Result::kError);
    node.Feed(ClientGone{id});
  }
}

TEST(Life, WorkersThatCannotBeReachedAreLeftSoon) {
  auto site = Site({Class(Idempotency::kAtMostOnce)});
  site.zones = 2;
  Node node(site);
  std::vector<WorkerEntry> workers;
  for (WorkerId w = 1; w <= 10; ++w) workers.push_back(Entry(w, w <= 5 ? 0 : 1));
  node.List(ListKind::kCached, workers);
  int failures = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    const auto pushes = Of<Push>(node.Ask(id));
    ASSERT_EQ(pushes.size(), 1u);
    const bool cut = pushes[0].worker > 5;
    failures += cut;
    node.End(id, 0, pushes[0].worker, cut ? Result::kConnectFailed : Result::kOk, !cut, Load(0, 3));
    node.Feed(ClientGone{id});
  }
  EXPECT_LE(failures, 5);
}

TEST(Life, JobsWithTheSameKeyGoToTheSameFewWorkersAtEveryNode) {
  std::set<WorkerId> used;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Node node(Site({Class(Idempotency::kIdempotent)}), seed);
    node.List(ListKind::kCached, Fleet(100));
    for (RequestId id = 1; id <= 60; ++id) {
      Request r;
      r.id = id;
      r.deadline = node.now() + 10 * kS;
      r.key = id % 20 == 0 ? 7 : 1000 + id;
      for (const Push& p : Of<Push>(node.Feed(r))) {
        if (r.key == 7) used.insert(p.worker);
        node.End(id, 0, p.worker, Result::kOk, true);
      }
    }
  }
  EXPECT_GE(used.size(), 2u);   // not all on one,
  EXPECT_LE(used.size(), 12u);  // but on few of the hundred
}

TEST(Life, AsksForTheListApartFromOthersAndAgainAfterAFailure) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.must_subscribe = true;
  site.subscribe_every = 10 * kS;
  Node node(site, 1);
  node.List(ListKind::kCached, Fleet(2));
  EXPECT_EQ(Of<Subscribe>(node.Run(2 * kS)).size(), 1u);
  for (int failed = 0; failed < 6; ++failed) {
    EXPECT_TRUE(Of<Subscribe>(node.List(ListKind::kFailed, {})).empty());
    EXPECT_EQ(Of<Subscribe>(node.Run(15 * kS)).size(), 1u);
  }
}

TEST(Life, OddButLegal) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  Node node(site);
  EXPECT_EQ(Of<Shed>(node.Ask(1, 9)).size(), 1u);        // an unknown class
  EXPECT_EQ(Of<Shed>(node.Ask(2, 0, -5)).size(), 1u);    // past its deadline
  EXPECT_TRUE(node.End(77, 0, 1, Result::kOk).empty());  // an unknown request
  EXPECT_TRUE(node.Feed(ClientGone{78}).empty());
  EXPECT_TRUE(node.Feed(AttemptProgress{79, 0, true, 0}).empty());
  EXPECT_TRUE(node.Probed(80, Load(0, 1)).empty());  // a worker never listed
  EXPECT_TRUE(node.Feed(TimerDue{12345}).empty());
  node.List(ListKind::kCached, {Entry(1, 7, 9)});  // a zone and a kind beyond those named
  const auto pushes = Of<Push>(node.Ask(3));
  ASSERT_EQ(pushes.size(), 1u);
  EXPECT_TRUE(Of<Push>(node.End(3, 5, 1, Result::kFull)).empty());  // an attempt never made
  node.End(3, 0, 1, Result::kOk, true, Report{});                   // a report without values
  EXPECT_TRUE(node.End(3, 0, 1, Result::kOk, true).empty());        // the same outcome once more
}

TEST(Life, SameEventsSameActionsHoweverInstancesInterleave) {
  const auto site = Site({Class(Idempotency::kIdempotent)});
  const auto run = [&](bool interleaved) {
    Node a(site, 5), b(site, 6);
    std::vector<WorkerId> sent;
    a.List(ListKind::kCached, Fleet(50));
    b.List(ListKind::kCached, Fleet(50));
    for (RequestId id = 1; id <= 100; ++id) {
      if (interleaved) b.Ask(id);
      for (const Push& p : Of<Push>(a.Ask(id))) sent.push_back(p.worker);
    }
    return sent;
  };
  EXPECT_EQ(run(false), run(true));
}

}  // namespace
}  // namespace pebblenotch::testing
