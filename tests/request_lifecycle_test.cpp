// Tests of the life cycle of requests: holding, shedding, health of workers, membership, restarts, and
// unusual but legal events.
#include <gtest/gtest.h>

#include <set>
#include <utility>

#include "harness.h"

namespace pebblenotch::testing {
namespace {

TEST(RequestLifecycle, HoldsWhenAllAreFullAndSendsWhenCapacityIsReported) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  node.ProbeReply(1, Load(3, 0));
  node.ProbeReply(2, Load(3, 0));
  auto actions = node.Send(1);
  EXPECT_TRUE(OfType<Push>(actions).empty());
  EXPECT_TRUE(OfType<Shed>(actions).empty());
  const auto pushes = OfType<Push>(node.ProbeReply(2, Load(0, 2)));
  ASSERT_EQ(pushes.size(), 1u);
  EXPECT_EQ(pushes[0].worker, 2u);
}

// Guards against all nodes sending their held jobs to the first worker that reports free capacity. In an
// overload thirty nodes did so.
TEST(RequestLifecycle, NodesWithHeldJobsUseOnlyTheirPartOfFreeCapacity) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.nodes = 40;
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Node node(site, seed);
    node.List(ListKind::kCached, Fleet(2));
    node.ProbeReply(1, Load(3, 0));
    node.ProbeReply(2, Load(3, 0));
    for (RequestId id = 1; id <= 10; ++id) EXPECT_TRUE(OfType<Push>(node.Send(id)).empty());
    sent += static_cast<int>(OfType<Push>(node.ProbeReply(2, Load(0, 5))).size());
  }
  EXPECT_GE(sent, 5);   // the five free slots are used,
  EXPECT_LE(sent, 40);  // but not five times by each of forty nodes
}

// In an overload with all queues full, every job waits too long to be of use unless some are shed.
TEST(RequestLifecycle, ShedsJobsOfLeastWorthWhileJobsStartTooLate) {
  auto site = Site({Class(Idempotency::kAtMostOnce), Class(Idempotency::kAtMostOnce)});
  site.worth_by_work = true;
  site.worker_reports_start = true;
  site.classes[0].worth = 8;
  Node node(site);
  node.List(ListKind::kCached, Fleet(5));
  std::vector<int> shed(2, 0);
  std::vector<std::pair<RequestId, WorkerId>> out;  // ten jobs at a time, all of which start late
  for (RequestId id = 1; id <= 400; ++id) {
    const int job_class = static_cast<int>(id % 2);
    node.ProbeReply(1 + id % 5, Load(0, 5));
    const auto actions = node.Send(id, job_class);
    if (id > 100) shed[static_cast<std::size_t>(job_class)] += static_cast<int>(OfType<Shed>(actions).size());
    if (id > 300) continue;
    for (const Push& p : OfType<Push>(actions)) out.emplace_back(id, p.worker);
    if (id % 10 != 0) continue;
    node.Advance(3 * kS);
    for (const auto& [late, worker] : std::exchange(out, {})) {
      node.Feed(AttemptProgress{late, 0, true, 0});
      node.End(late, 0, worker, Result::kOk, true);
    }
  }
  EXPECT_GT(shed[1], 50);  // the class of low worth
  // Shedding leaves few starts that could end it, so it ends with time.
  node.Advance(30 * kS);
  node.ProbeReply(1, Load(0, 5));
  node.Send(1000, 0);
  node.ProbeReply(2, Load(0, 5));
  EXPECT_TRUE(OfType<Shed>(node.Send(1001, 1)).empty());
  EXPECT_LT(shed[0], shed[1]);  // shed first
}

// Guards against shedding when only some starts are late: with three of eleven workers restarted at low
// load, a third of the starts were late, and many jobs were shed although other workers had free capacity.
TEST(RequestLifecycle, ShedsNothingWhileMostJobsStartInTime) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.worker_reports_start = true;
  Node node(site);
  node.List(ListKind::kCached, Fleet(5));
  std::size_t shed = 0;
  std::vector<std::pair<RequestId, WorkerId>> late;  // of thirty jobs the last ten
  const auto run = [&node](RequestId id, WorkerId worker) {
    node.Feed(AttemptProgress{id, 0, true, 0});
    node.End(id, 0, worker, Result::kOk, true);
  };
  for (RequestId id = 1; id <= 300; ++id) {
    node.ProbeReply(1 + id % 5, Load(0, 5));
    const auto actions = node.Send(id);
    shed += OfType<Shed>(actions).size();
    for (const Push& p : OfType<Push>(actions)) {
      if ((id - 1) % 30 < 20) {
        run(id, p.worker);
      } else {
        late.emplace_back(id, p.worker);
      }
    }
    if (id % 30 != 0) continue;
    node.Advance(1500 * kMs);
    for (const auto& [one, worker] : std::exchange(late, {})) run(one, worker);
  }
  EXPECT_LT(shed, 10u);
}

TEST(RequestLifecycle, ShedsAJobOnceItCanNoLongerBeServedInTime) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  Request r;
  r.id = 1;
  r.deadline = node.now() + 10 * kS;
  r.hint = 1 * kS;
  node.Feed(r);
  EXPECT_TRUE(OfType<Shed>(node.Run(3'900 * kMs)).empty());
  // Objective 1 s + 2 x 1 s, minus the run of 1 s, + 2 x 1 s.
  EXPECT_EQ(OfType<Shed>(node.Run(200 * kMs)).size(), 1u);
}

// With four of ten workers down, jobs were shed that still had twice their usual running time to spare.
TEST(RequestLifecycle, JobsPastTheirObjectiveGoAfterOthers) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.classes[0].late_worth = 0.5;
  Node node(site);
  node.List(ListKind::kCached, Fleet(1));
  node.ProbeReply(1, Load(3, 0));
  const auto send = [&node](RequestId id) {
    Request r;
    r.id = id;
    r.deadline = node.now() + 10 * kS;
    r.hint = 1 * kS;
    return node.Feed(r);
  };
  send(1);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(OfType<Shed>(node.Run(500 * kMs)).empty());
    node.ProbeReply(1, Load(3, 0));
  }
  send(2);
  const auto first = OfType<Push>(node.ProbeReply(1, Load(0, 1)));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].id, 2u);
  const auto second = OfType<Push>(node.End(2, 0, 1, Result::kOk, true, Load(0, 1)));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].id, 1u);
}

// In a storm a job that can no longer start in time is shed; otherwise a late answer may still have some
// worth.
TEST(RequestLifecycle, InAStormAHeldJobIsShedOnceItsStartIsTooLate) {
  Micros shed_after[2] = {};
  for (const bool storm : {false, true}) {
    Node node(Site({Class(Idempotency::kIdempotent)}));
    node.List(ListKind::kCached, Fleet(1));
    node.ProbeReply(1, Load(4, 0));
    node.Send(1);
    HostLimits limits;
    limits.shed_late = storm;
    node.Feed(limits);
    const Micros began = node.now();
    while (OfType<Shed>(node.Run(20 * kMs)).empty() && node.now() < began + 10 * kS)
      node.ProbeReply(1, Load(4, 0));
    shed_after[storm ? 1 : 0] = node.now() - began;
  }
  EXPECT_LT(shed_after[1], shed_after[0] - kS);
}

// With a limited rate of starts a class of low worth still gets one start in twenty.
TEST(RequestLifecycle, AClassOfLowWorthIsNotStarvedByLimits) {
  auto rich = Class(Idempotency::kIdempotent), poor = rich;
  rich.worth = 100;
  rich.aim = poor.aim = 60 * kS;
  for (const double starts_per_s : {0.0, 10.0}) {
    Node node(Site({poor, rich}));
    node.List(ListKind::kCached, Fleet(1));
    node.ProbeReply(1, Load(4, 0));
    HostLimits limits;
    limits.starts_per_s = starts_per_s;
    node.Feed(limits);
    node.Send(1, 0, 100 * kS);
    for (RequestId id = 2; id < 62; ++id) node.Send(id, 1, 100 * kS);
    int before = -1, started = 0;
    for (int i = 0; i < 40 && before < 0; ++i) {  // ten starts a second
      node.Run(100 * kMs);
      for (const Push& p : OfType<Push>(node.ProbeReply(1, Load(0, 1)))) {
        if (p.id == 1) before = started;
        ++started;
        node.End(p.id, 0, 1, Result::kOk, true, Load(4, 0));
      }
    }
    EXPECT_GT(started, 15);
    EXPECT_EQ(before >= 0, starts_per_s > 0) << before;
  }
}

TEST(RequestLifecycle, NoMoreAttemptsAreOutstandingThanTheHostAllows) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(4));
  HostLimits limits;
  limits.max_outstanding = 2;
  node.Feed(limits);
  std::size_t pushes = 0;
  for (RequestId id = 1; id <= 4; ++id) pushes += OfType<Push>(node.Send(id)).size();
  EXPECT_EQ(pushes, 2u);
}

// Guards against long ejections for single failures: with connections broken at random, each one ejected a
// healthy worker for 3 s.
TEST(RequestLifecycle, ConsecutiveFailuresDoubleTheEjectionTime) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  const auto trusted = [&node](WorkerId id) { return node.dispatcher().DrawChances(0)[id - 1] > 0; };
  ProbeResult broken;
  broken.worker = 1;
  broken.result = Result::kReset;
  for (const Micros ejection : {750 * kMs, 1'500 * kMs, 3'000 * kMs}) {
    node.Feed(broken);
    node.Run(ejection - 50 * kMs);
    EXPECT_FALSE(trusted(1));
    node.Run(100 * kMs);
    EXPECT_TRUE(trusted(1));
  }
}

// Guards against flooding workers that do not report: in an overload 475 of 1,600 pushes went to workers with
// nine or more unreported ones.
TEST(RequestLifecycle, AWorkerWithoutReportsGetsNoFurtherPush) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(1));
  EXPECT_EQ(OfType<Push>(node.Send(1)).size(), 1u);
  EXPECT_TRUE(OfType<Push>(node.Send(2)).empty());
  EXPECT_TRUE(OfType<Push>(node.Run(1 * kS)).empty());
  EXPECT_EQ(OfType<Push>(node.ProbeReply(1, Load(0, 2))).size(), 1u);
}

TEST(RequestLifecycle, AProbeTimeoutMeansAQueueAndAFailedConnectionAFault) {
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

// Second attempts for queued jobs made overload worse, because both attempts ran.
TEST(RequestLifecycle, AQueuedJobMarksItsWorkerFullAndGetsNoSecondAttempt) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.worker_reports_start = true;
  Node node(site);
  node.List(ListKind::kCached, Fleet(2));
  node.ProbeReply(1, Load(0, 2));
  node.ProbeReply(2, Load(0, 2));
  const auto first = OfType<Push>(node.Send(1));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(OfType<Push>(node.Run(100 * kMs)).empty());
  EXPECT_EQ(node.dispatcher().DrawChances(0)[first[0].worker - 1], 0);
}

TEST(RequestLifecycle, RequestsBeyondATenantsShareWaitBehindOthers) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.tenants = {{1}};  // a burst of two is within the share
  site.over_share_worth = 0.05;
  Node node(site);
  node.List(ListKind::kCached, Fleet(1));
  node.ProbeReply(1, Load(3, 0));
  for (RequestId id = 1; id <= 3; ++id) EXPECT_TRUE(OfType<Push>(node.Send(id)).empty());
  Request other;  // of a tenant without a limit, so within its share, though it came last
  other.id = 4;
  other.tenant = 9;
  other.deadline = node.now() + 10 * kS;
  EXPECT_TRUE(OfType<Push>(node.Feed(other)).empty());
  const auto pushes = OfType<Push>(node.ProbeReply(1, Load(0, 3)));
  ASSERT_EQ(pushes.size(), 3u);
  for (const Push& p : pushes) EXPECT_NE(p.id, 3u);
}

TEST(RequestLifecycle, TheLastAttemptGoesOnlyToKnownFreeCapacity) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.max_attempts = 2;
  Node node(site);
  node.List(ListKind::kCached, Fleet(3));
  const auto first = OfType<Push>(node.Send(1));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(OfType<Push>(node.End(1, 0, first[0].worker, Result::kFull)).empty());
  const WorkerId other = first[0].worker % 3 + 1;
  const auto last = OfType<Push>(node.ProbeReply(other, Load(0, 2)));
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].worker, other);
}

TEST(RequestLifecycle, AFastFailingWorkerDoesNotKeepATopRank) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(5));
  for (WorkerId w = 1; w <= 5; ++w) node.ProbeReply(w, Load(0, 5));
  const auto first = OfType<Push>(node.Send(1));
  ASSERT_EQ(first.size(), 1u);
  node.End(1, 0, first[0].worker, Result::kError, false, Load(0, 8));
  EXPECT_EQ(node.dispatcher().DrawChances(0)[first[0].worker - 1], 0);
  node.Run(60 * kS);  // past the ejection
  node.ProbeReply(first[0].worker, Load(0, 5));
  EXPECT_GT(node.dispatcher().DrawChances(0)[first[0].worker - 1], 0);
}

TEST(RequestLifecycle, AnEjectedWorkerIsUsedIfItIsTheOnlyOne) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(1));
  for (RequestId id = 1; id <= 6; ++id) {
    node.ProbeReply(1, Load(0, 5));
    ASSERT_EQ(OfType<Push>(node.Send(id)).size(), 1u) << "the only worker must stay in use, request " << id;
    node.End(id, 0, 1, Result::kError);
    node.Feed(ClientGone{id});
  }
}

TEST(RequestLifecycle, UnreachableWorkersAreSoonAvoided) {
  auto site = Site({Class(Idempotency::kAtMostOnce)});
  site.zones = 2;
  Node node(site);
  std::vector<WorkerEntry> workers;
  for (WorkerId w = 1; w <= 10; ++w) workers.push_back(Entry(w, w <= 5 ? 0 : 1));
  node.List(ListKind::kCached, workers);
  int failures = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    const auto pushes = OfType<Push>(node.Send(id));
    ASSERT_EQ(pushes.size(), 1u);
    const bool unreachable = pushes[0].worker > 5;
    failures += unreachable;
    node.End(id, 0, pushes[0].worker, unreachable ? Result::kConnectFailed : Result::kOk, !unreachable,
             Load(0, 3));
    node.Feed(ClientGone{id});
  }
  EXPECT_LE(failures, 5);
}

TEST(RequestLifecycle, JobsWithTheSameKeyGoToTheSameFewWorkersAtEveryNode) {
  std::set<WorkerId> used;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Node node(Site({Class(Idempotency::kIdempotent)}), seed);
    node.List(ListKind::kCached, Fleet(100));
    for (RequestId id = 1; id <= 60; ++id) {
      Request r;
      r.id = id;
      r.deadline = node.now() + 10 * kS;
      r.key = id % 20 == 0 ? 7 : 1000 + id;
      for (const Push& p : OfType<Push>(node.Feed(r))) {
        if (r.key == 7) used.insert(p.worker);
        node.End(id, 0, p.worker, Result::kOk, true);
      }
    }
  }
  EXPECT_GE(used.size(), 2u);   // not all on one worker
  EXPECT_LE(used.size(), 12u);  // but on few of the hundred
}

TEST(RequestLifecycle, SubscribesWithJitterAndAgainAfterAFailure) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.must_subscribe = true;
  site.subscribe_every = 10 * kS;
  Node node(site, 1);
  node.List(ListKind::kCached, Fleet(2));
  EXPECT_EQ(OfType<Subscribe>(node.Run(2 * kS)).size(), 1u);
  for (int failed = 0; failed < 6; ++failed) {
    EXPECT_TRUE(OfType<Subscribe>(node.List(ListKind::kFailed, {})).empty());
    EXPECT_EQ(OfType<Subscribe>(node.Run(15 * kS)).size(), 1u);
  }
}

TEST(RequestLifecycle, UnusualButLegalEvents) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  Node node(site);
  EXPECT_EQ(OfType<Shed>(node.Send(1, 9)).size(), 1u);      // an unknown class
  EXPECT_EQ(OfType<Shed>(node.Send(2, 0, -5)).size(), 1u);  // past its deadline
  EXPECT_TRUE(node.End(77, 0, 1, Result::kOk).empty());     // an unknown request
  EXPECT_TRUE(node.Feed(ClientGone{78}).empty());
  EXPECT_TRUE(node.Feed(AttemptProgress{79, 0, true, 0}).empty());
  EXPECT_TRUE(node.ProbeReply(80, Load(0, 1)).empty());  // an unlisted worker
  EXPECT_TRUE(node.Feed(TimerDue{12345}).empty());
  node.List(ListKind::kCached, {Entry(1, 7, 9)});  // a zone and a kind out of range
  const auto pushes = OfType<Push>(node.Send(3));
  ASSERT_EQ(pushes.size(), 1u);
  EXPECT_TRUE(OfType<Push>(node.End(3, 5, 1, Result::kFull)).empty());  // an attempt that was never made
  node.End(3, 0, 1, Result::kOk, true, Report{});                       // a report without values
  EXPECT_TRUE(node.End(3, 0, 1, Result::kOk, true).empty());            // the same outcome again
}

TEST(RequestLifecycle, InterleavedInstancesDoNotAffectEachOther) {
  const auto site = Site({Class(Idempotency::kIdempotent)});
  const auto run = [&](bool interleaved) {
    Node a(site, 5), b(site, 6);
    std::vector<WorkerId> sent;
    a.List(ListKind::kCached, Fleet(50));
    b.List(ListKind::kCached, Fleet(50));
    for (RequestId id = 1; id <= 100; ++id) {
      if (interleaved) b.Send(id);
      for (const Push& p : OfType<Push>(a.Send(id))) sent.push_back(p.worker);
    }
    return sent;
  };
  EXPECT_EQ(run(false), run(true));
}

}  // namespace
}  // namespace pebblenotch::testing
