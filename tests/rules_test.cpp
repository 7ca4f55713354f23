// Tests of the four rules through the public interface: every request gets one final answer in time; retries
// are limited by idempotency; draining and gone workers get nothing new; cold workers get limited traffic.
#include <gtest/gtest.h>

#include <cmath>

#include "harness.h"

namespace pebblenotch::testing {
namespace {

struct Case {
  Idempotency idempotency;
  Result result;
  bool retried;  // another attempt follows
  bool shed;     // if no worker is left, the final answer is Shed (else Fail)
};

class OutcomeByClass : public ::testing::TestWithParam<Case> {};

TEST_P(OutcomeByClass, RetriesOnlyIfTheClassAllowsIt) {
  const Case c = GetParam();
  Node node(Site({Class(c.idempotency)}));
  node.List(ListKind::kCached, Fleet(2));
  const auto first = OfType<Push>(node.Send(1));
  ASSERT_EQ(first.size(), 1u);
  node.Advance(20 * kMs);
  auto actions = node.End(1, 0, first[0].worker, c.result);
  for (const Action& a : node.Run(200 * kMs)) actions.push_back(a);
  EXPECT_EQ(OfType<Push>(actions).size(), c.retried ? 1u : 0u);
  EXPECT_EQ(OfType<Fail>(actions).size(), c.retried ? 0u : 1u);
}

TEST_P(OutcomeByClass, ShedsOnlyIfARetryIsHarmless) {
  const Case c = GetParam();
  auto site = Site({Class(c.idempotency)});
  site.max_attempts = 1;
  Node node(site);
  node.List(ListKind::kCached, Fleet(1));
  ASSERT_EQ(OfType<Push>(node.Send(1)).size(), 1u);
  node.Advance(20 * kMs);
  const auto actions = node.End(1, 0, 1, c.result);
  EXPECT_EQ(OfType<Shed>(actions).size(), c.shed ? 1u : 0u);
  EXPECT_EQ(OfType<Fail>(actions).size(), c.shed ? 0u : 1u);
}

INSTANTIATE_TEST_SUITE_P(All, OutcomeByClass,
                         ::testing::Values(Case{Idempotency::kIdempotent, Result::kError, true, true},
                                           Case{Idempotency::kIdempotent, Result::kFull, true, true},
                                           Case{Idempotency::kIdempotent, Result::kTimeout, true, true},
                                           Case{Idempotency::kIdempotent, Result::kConnectFailed, true, true},
                                           Case{Idempotency::kIdempotent, Result::kReset, true, true},
                                           Case{Idempotency::kIdempotent, Result::kCancelled, true, true},
                                           Case{Idempotency::kIdempotent, Result::kMoot, true, true},
                                           Case{Idempotency::kDeduplicated, Result::kError, true, true},
                                           Case{Idempotency::kDeduplicated, Result::kFull, true, true},
                                           Case{Idempotency::kDeduplicated, Result::kReset, true, true},
                                           Case{Idempotency::kDeduplicated, Result::kTimeout, true, true},
                                           Case{Idempotency::kDeduplicated, Result::kCancelled, true, true},
                                           Case{Idempotency::kDeduplicated, Result::kConnectFailed, true,
                                                true},
                                           Case{Idempotency::kAtMostOnce, Result::kError, false, false},
                                           Case{Idempotency::kAtMostOnce, Result::kFull, true, true},
                                           Case{Idempotency::kAtMostOnce, Result::kTimeout, false, false},
                                           Case{Idempotency::kAtMostOnce, Result::kConnectFailed, true, true},
                                           Case{Idempotency::kAtMostOnce, Result::kReset, false, false},
                                           Case{Idempotency::kAtMostOnce, Result::kCancelled, false, false},
                                           Case{Idempotency::kAtMostOnce, Result::kMoot, true, true}));

TEST(Rules, DeduplicatedRetriesStayInTheirScopeAndKeyTtl) {
  for (const DedupScope dedup_scope : {DedupScope::kZone, DedupScope::kCell}) {
    auto site = Site({Class(Idempotency::kDeduplicated, dedup_scope)});
    site.zones = 2;
    std::vector<WorkerEntry> workers = {Entry(1, 0), Entry(2, 1), Entry(3, 0)};
    workers[1].cell = 1;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      Node node(site, seed);
      node.List(ListKind::kCached, workers);
      const auto first = OfType<Push>(node.Send(1));
      ASSERT_EQ(first.size(), 1u);
      auto actions = node.End(1, 0, first[0].worker, Result::kReset);
      for (const Action& a : node.Run(10 * kS)) actions.push_back(a);
      for (const Push& p : OfType<Push>(actions)) EXPECT_EQ(p.worker == 2, first[0].worker == 2);
      EXPECT_EQ(OfType<Shed>(actions).size(), 0u);  // Shed would let the client retry outside the scope
    }
  }
  Node late(Site({Class(Idempotency::kDeduplicated)}));
  late.List(ListKind::kCached, Fleet(3));
  const auto first = OfType<Push>(late.Send(1, 0, 10 * kS));
  ASSERT_EQ(first.size(), 1u);
  late.Advance(5 * kS);  // past key_ttl, when duplicates are no longer dropped
  EXPECT_EQ(OfType<Push>(late.End(1, 0, first[0].worker, Result::kReset)).size(), 0u);
}

TEST(Rules, OneAttemptAtATimeUnlessConcurrentAttemptsAreAllowed) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.concurrent_attempts = false;
  site.worker_reports_start = true;
  Node node(site);
  node.List(ListKind::kCached, Fleet(3));
  for (WorkerId w = 1; w <= 3; ++w) node.ProbeReply(w, Load(0, 5));
  ASSERT_EQ(OfType<Push>(node.Send(1)).size(), 1u);
  EXPECT_TRUE(OfType<Push>(node.Run(9 * kS)).empty());
}

TEST(Rules, EveryRequestIsAnsweredBeforeTheClientGivesUp) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  const Micros start = node.now();
  auto actions = node.Send(1, 0, 3 * kS);  // no workers at all
  EXPECT_TRUE(OfType<Push>(actions).empty());
  for (const Action& a : node.Run(3 * kS)) actions.push_back(a);
  EXPECT_EQ(OfType<Shed>(actions).size() + OfType<Fail>(actions).size(), 1u);
  EXPECT_LE(start, node.now());
}

TEST(Rules, ATimeoutAtTheDeadlineIsAnsweredAtOnce) {
  for (const Idempotency idempotency :
       {Idempotency::kIdempotent, Idempotency::kDeduplicated, Idempotency::kAtMostOnce}) {
    Node node(Site({Class(idempotency)}));
    node.List(ListKind::kCached, Fleet(2));
    const auto first = OfType<Push>(node.Send(1, 0, 3 * kS));
    ASSERT_EQ(first.size(), 1u);
    node.Advance(3 * kS);
    const auto actions = node.End(1, 0, first[0].worker, Result::kTimeout);
    EXPECT_EQ(OfType<Shed>(actions).size() + OfType<Fail>(actions).size(), 1u);
    EXPECT_TRUE(OfType<Push>(actions).empty());
  }
}

TEST(Rules, NoNewPushToADrainingOrGoneWorker) {
  for (const WorkerState state : {WorkerState::kDraining, WorkerState::kGone}) {
    Node node(Site({Class(Idempotency::kIdempotent)}));
    node.List(ListKind::kCached, Fleet(2));
    node.ProbeReply(1, Load(0, 9));
    node.List(ListKind::kChanges, {Entry(1, 0, 0, state)});
    for (RequestId id = 1; id <= 20; ++id) {
      for (const Push& p : OfType<Push>(node.Send(id))) EXPECT_EQ(p.worker, 2u);
    }
  }
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  node.List(ListKind::kWhole, {Entry(2)});  // missing from a whole list: gone
  for (RequestId id = 1; id <= 20; ++id) {
    for (const Push& p : OfType<Push>(node.Send(id))) EXPECT_EQ(p.worker, 2u);
  }
}

TEST(Rules, ARequestGoesOnlyToItsRequiredGroups) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  auto fleet = Fleet(6);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].groups = i;  // only worker 4 is in both groups
  node.List(ListKind::kCached, fleet);
  Request r;
  r.deadline = node.now() + 10 * kS;
  r.required_groups = 3;
  for (const std::uint64_t key : {0, 77}) {
    r.id = 1 + key;
    r.key = key;
    const auto pushes = OfType<Push>(node.Feed(r));
    ASSERT_EQ(pushes.size(), 1u);
    EXPECT_EQ(pushes[0].worker, 4u);
    // Held rather than sent to another worker.
    EXPECT_TRUE(OfType<Push>(node.End(r.id, 0, 4, Result::kFull)).empty());
    const auto later = OfType<Push>(node.ProbeReply(4, Load(0, 2)));
    for (const Push& p : later) EXPECT_EQ(p.worker, 4u);
    node.End(r.id, 1, 4, Result::kOk, true, Load(0, 2));
  }
  EXPECT_EQ(OfType<Push>(node.Send(5)).size(), 1u);
}

TEST(Rules, HeldJobOfHigherPriorityGoesFirst) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(1));
  node.ProbeReply(1, Load(4, 0));
  for (const int priority : {0, 2, 15, 1}) {
    Request r;
    r.id = 10 + static_cast<RequestId>(priority);
    r.deadline = node.now() + 10 * kS;
    r.priority = priority;
    EXPECT_TRUE(OfType<Push>(node.Feed(r)).empty());
  }
  node.Advance(kReportLag);
  const auto pushes = OfType<Push>(node.ProbeReply(1, Load(0, 1)));
  ASSERT_FALSE(pushes.empty());
  EXPECT_EQ(pushes[0].id, 25u);
}

// Simulates one node per seed: `workers` workers of which the first has just started, and a request every
// `apart` that is served at once. With `probed`, the cold worker reports free capacity before each request.
// Returns the number of pushes to the cold worker and of all pushes.
std::pair<int, int> ColdPushes(const Settings& site, int workers, int requests, Micros apart, bool probed,
                               std::uint64_t seeds = 20) {
  int to_cold = 0, sent = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Node node(site, seed);
    auto fleet = Fleet(workers);
    fleet[0].started_at = node.now();
    node.List(ListKind::kCached, fleet);
    for (RequestId id = 1; id <= static_cast<RequestId>(requests); ++id) {
      node.Run(apart);
      if (probed) node.ProbeReply(1, Load(0, 9));
      for (const Push& p : OfType<Push>(node.Send(id))) {
        ++sent;
        to_cold += p.worker == 1;
        node.End(id, 0, p.worker, Result::kOk, true, Load(0, 4));
      }
    }
  }
  return {to_cold, sent};
}

TEST(Rules, AColdWorkerGetsAtMostAnEqualShare) {
  // Twenty nodes and ten workers, of which one has just started and reports free capacity to all nodes.
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.nodes = 20;
  site.slow_start_time = 10 * kS;
  const auto [to_cold, sent] = ColdPushes(site, 10, 40, 50 * kMs, true);
  EXPECT_EQ(sent, 800);
  EXPECT_LE(to_cold, sent / 10);  // at most a warm worker's share
  EXPECT_GT(to_cold, 0);          // but some
}

TEST(Rules, AColdWorkerGetsPushesAtLowTraffic) {
  // One node of a hundred, a request every 2 s, twenty workers of which one has just started. If a token only
  // admitted the worker to the draw, it would expire before the next request, and the worker would be idle
  // for its whole slow start. A token that claims the next push gives the worker its share.
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.nodes = 100;
  site.slow_start_time = 300 * kS;
  const auto [to_cold, sent] = ColdPushes(site, 20, 100, 2 * kS, false);
  EXPECT_EQ(sent, 2000);
  EXPECT_GE(to_cold, 10);         // not idle in slow start
  EXPECT_LE(to_cold, sent / 20);  // and at most a warm worker's share
}

TEST(Rules, RestartingAllNodesDoesNotFloodTheFirstColdWorkerOfTheList) {
  // All nodes start at once with two hundred workers, of which the first in the list has just started. While
  // the list is read, that entry must not count as the only worker of the fleet. The sum over all nodes is
  // compared with a warm worker's share plus a margin for chance.
  for (const std::uint64_t nodes : {30u, 300u}) {
    auto site = Site({Class(Idempotency::kIdempotent)});
    site.nodes = static_cast<int>(nodes);
    site.slow_start_time = 10 * kS;
    const auto [to_cold, sent] = ColdPushes(site, 200, 4, 500 * kMs, false, nodes);
    EXPECT_EQ(sent, static_cast<int>(4 * nodes));
    const double part = sent / 200.0;
    EXPECT_LE(to_cold, part + 2 * std::sqrt(part) + 2) << nodes << " nodes";
  }
}

TEST(Rules, TokensDoNotAccumulateOverIdleTime) {
  // Thirty nodes with low traffic, twenty workers of which one starts. No request comes for most of its long
  // slow start, then one at each node at the same moment. If tokens lasted until used, every node would hold
  // one by then. The sum is compared with the worker's allowed load plus a margin for chance.
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.nodes = 30;
  site.slow_start_time = 60 * kS;
  site.overload_factor = 2;
  site.overload_window = 2 * kS;
  const Micros apart = 600 * kMs, idle = 55 * kS;
  int to_cold = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Node node(site, seed);
    auto fleet = Fleet(20);
    node.List(ListKind::kCached, fleet);
    const auto send = [&node](RequestId id) {  // returns the pushes to the first worker
      int first = 0;
      for (const Push& p : OfType<Push>(node.Send(id))) {
        first += p.worker == 1;
        node.End(id, 0, p.worker, Result::kOk, true, Load(0, 4));
      }
      return first;
    };
    for (RequestId id = 1; id <= 40; ++id) {
      node.Run(apart);
      send(id);
    }
    fleet[0].started_at = node.now();
    node.List(ListKind::kChanges, {fleet[0]});
    node.Run(idle);
    to_cold += send(100);
  }
  const double share =
      site.slow_start_floor + (1 - site.slow_start_floor) * static_cast<double>(idle) / site.slow_start_time;
  const double part = 30.0 * 1e6 / static_cast<double>(apart) / 20;  // requests per second for each worker
  const double allowed =
      site.overload_factor * share * part * static_cast<double>(site.overload_window) / 1e6;
  EXPECT_LE(to_cold, allowed + 2 * std::sqrt(allowed) + 2);
  EXPECT_GT(to_cold, 0);
}

// A claimed start long ago does not raise a worker above the share that the settings allow at any age.
TEST(Rules, AClaimedAgeGivesNoMoreThanTheSettingsAllowAtAnyAge) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.slow_start_time = 600 * kS;
  site.slow_start_floor = 0.1;
  int to_cold = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Node node(site, seed);
    auto fleet = Fleet(10);
    fleet[0].started_at = node.now();
    fleet[0].claimed_started_at = 1;
    node.List(ListKind::kCached, fleet);
    for (RequestId id = 1; id <= 50; ++id) {
      node.Run(2 * kS);
      for (const Push& p : OfType<Push>(node.Send(id))) {
        to_cold += p.worker == 1;
        node.End(id, 0, p.worker, Result::kOk, true, Load(0, 4));
      }
    }
  }
  const double fair = 20 * 50 / 10.0;
  const double allowed = fair * site.overload_factor * (site.slow_start_floor + 0.9 * 100 / 600.0);
  EXPECT_LE(to_cold, allowed);
  EXPECT_GE(to_cold, fair * site.slow_start_floor / 2);
}

TEST(Rules, ARestartedWorkerIsColdAgain) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  Node node(site);
  node.List(ListKind::kCached, Fleet(2));
  node.List(ListKind::kChanges, {Entry(1, 0, 0, WorkerState::kReady, node.now())});
  EXPECT_EQ(node.dispatcher().DrawChances(0), (std::vector<double>{0, 1}));
  node.Run(site.slow_start_time + kMs);
  EXPECT_GT(node.dispatcher().DrawChances(0)[0], 0);
}

}  // namespace
}  // namespace pebblenotch::testing
