// The ordinary path: ranks, weights, own pushes, reports.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "harness.h"

namespace pebblenotch::testing {
namespace {

// Chances by a plain sorted ranking: key (queue, free slots); ties share the best rank; weight its square.
std::vector<double> Sorted(const std::vector<std::pair<int, int>>& table) {
  std::vector<double> weights(table.size());
  double total = 0;
  for (std::size_t i = 0; i < table.size(); ++i) {
    std::size_t ahead = 0;
    for (const auto& other : table) {
      ahead +=
          other.first < table[i].first || (other.first == table[i].first && other.second > table[i].second);
    }
    const double rank = static_cast<double>(table.size() - ahead);
    weights[i] = rank * rank;
    total += weights[i];
  }
  for (double& w : weights) w /= total;
  return weights;
}

TEST(Draw, ChancesMatchASortedRankingOnRandomTables) {
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    const int n = 1 + static_cast<int>(random() % 40);
    Node node(Site({Class(Idempotency::kIdempotent)}));
    node.List(ListKind::kCached, Fleet(n));
    std::vector<std::pair<int, int>> table;
    for (int i = 0; i < n; ++i) {
      table.emplace_back(0, 1 + static_cast<int>(random() % 9));
      node.Probed(static_cast<WorkerId>(i + 1), Load(0, table.back().second));
    }
    const auto wanted = Sorted(table);
    const auto chances = node.dispatcher().DrawChances(0);
    ASSERT_EQ(chances.size(), wanted.size());
    for (int i = 0; i < n; ++i) EXPECT_NEAR(chances[i], wanted[i], 1e-12);
  }
}

std::vector<Action> Told(Node& node, WorkerId worker, Report report, Micros age) {
  ProbeResult p;
  p.worker = worker;
  p.report = report;
  p.age = age;
  return node.Feed(p);
}

// What another scheduler was told counts as one's own report of that time would: never over what was seen
// here since, and no longer.
TEST(Draw, AnothersReportCountsByItsAge) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  Told(node, 1, Load(4, 0), 500 * kMs);
  EXPECT_EQ(node.dispatcher().DrawChances(0)[0], 0) << "it is full, as far as anybody knows";
  node.Probed(2, Load(0, 2));
  Told(node, 2, Load(4, 0), 100 * kMs);
  EXPECT_GT(node.dispatcher().DrawChances(0)[1], 0) << "its own sight is later";
  node.Probed(2, Load(4, 0));
  EXPECT_TRUE(Of<Push>(node.Ask(1)).empty()) << "both are full";
  node.Pass(510 * kMs);  // the other's word of worker 1 is over a second old now, the own report is not
  const auto pushes = Of<Push>(node.Ask(2));
  ASSERT_FALSE(pushes.empty());
  EXPECT_EQ(pushes[0].worker, 1u);
}

// What was sent after another's report was made is not in it, though it would be in one that came now.
TEST(Draw, OwnPushesAreHeldAgainstAnOldReport) {
  for (const bool sent_before : {false, true}) {
    Node node(Site({Class(Idempotency::kIdempotent)}));
    node.List(ListKind::kCached, Fleet(2));
    const WorkerId to = Of<Push>(node.Ask(1)).at(0).worker;
    const std::size_t at = static_cast<std::size_t>(to - 1);
    node.Pass(kReportLag + (sent_before ? 600 : 200) * kMs);
    for (const WorkerId w : {1, 2}) Told(node, w, Load(0, 1), 500 * kMs);
    const auto chances = node.dispatcher().DrawChances(0);
    EXPECT_EQ(chances[at] < chances[1 - at], !sent_before);
  }
}

// A cold worker takes pushes on its tokens alone, whatever room others say that it has.
TEST(Draw, NoWordOfRoomWarmsAColdWorker) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  std::vector<WorkerEntry> fleet = Fleet(2);
  fleet[0].started_at = node.now() - 100 * kMs;
  node.List(ListKind::kCached, fleet);
  Told(node, 1, Load(0, 9), 50 * kMs);
  EXPECT_EQ(node.dispatcher().DrawChances(0)[0], 0);
}

TEST(Draw, SquaredRankDecidesHowOftenAWorkerIsDrawn) {
  std::vector<int> drawn(3, 0);
  for (std::uint64_t seed = 0; seed < 3000; ++seed) {
    Node node(Site({Class(Idempotency::kIdempotent)}), seed);
    node.List(ListKind::kCached, Fleet(3));
    for (WorkerId w = 1; w <= 3; ++w) node.Probed(w, Load(0, static_cast<double>(w)));
    const auto pushes = Of<Push>(node.Ask(1));
    ASSERT_EQ(pushes.size(), 1u);
    ++drawn[pushes[0].worker - 1];
  }
  EXPECT_NEAR(drawn[2] / 3000.0, 9.0 / 14, 0.03);  // most free slots: rank 3
  EXPECT_NEAR(drawn[1] / 3000.0, 4.0 / 14, 0.03);
  EXPECT_NEAR(drawn[0] / 3000.0, 1.0 / 14, 0.03);
}

TEST(Draw, OwnPushesLengthenAQueueUntilAFreshReport) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  node.Probed(1, Load(0, 4));
  node.Probed(2, Load(0, 4));
  const auto first = Of<Push>(node.Ask(1));
  ASSERT_EQ(first.size(), 1u);
  const std::size_t pushed = first[0].worker - 1;
  EXPECT_NEAR(node.dispatcher().DrawChances(0)[pushed], 0.2, 1e-12);  // rank 1 of 2
  // A report so soon cannot know of the push; a later one replaces it.
  node.Probed(first[0].worker, Load(0, 4));
  EXPECT_NEAR(node.dispatcher().DrawChances(0)[pushed], 0.2, 1e-12);
  node.Pass(6 * kS);
  node.Probed(1, Load(0, 4));
  node.Probed(2, Load(0, 4));
  EXPECT_NEAR(node.dispatcher().DrawChances(0)[pushed], 0.5, 1e-12);
}

TEST(Draw, APushThatWasNotAcceptedComesOffAgain) {
  for (const Result result : {Result::kFull, Result::kConnectFailed, Result::kError, Result::kTimeout}) {
    Node node(Site({Class(Idempotency::kAtMostOnce)}));
    node.List(ListKind::kCached, Fleet(1));
    node.Probed(1, Load(0, 4));
    const auto before = node.dispatcher().DrawChances(0);
    ASSERT_EQ(Of<Push>(node.Ask(1)).size(), 1u);
    node.End(1, 0, 1, result);
    node.Pass(60 * kS);  // whatever health made of it is over
    node.Run(0);
    node.Probed(1, Load(0, 1));
    EXPECT_EQ(node.dispatcher().DrawChances(0), before);
  }
}

TEST(Draw, WorkersWithoutRoomSitOutWhileOthersHaveSome) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(3));
  node.Probed(1, Load(0, 0));
  node.Probed(2, Load(3, 0));
  node.Probed(3, Load(0, 1));
  EXPECT_EQ(node.dispatcher().DrawChances(0), (std::vector<double>{0, 0, 1}));
}

TEST(Draw, OldReportsTellNothing) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  node.Probed(1, Load(5, 0));
  EXPECT_EQ(node.dispatcher().DrawChances(0), (std::vector<double>{0, 1}));
  node.Pass(60 * kS);
  node.Ask(1);  // a draw looks for old reports first
  const auto chances = node.dispatcher().DrawChances(0);
  EXPECT_GT(chances[0], 0);
}

TEST(Draw, OnlyTheKindThatTheClassNeeds) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.kinds = 2;
  site.classes[0].kind = 1;
  Node node(site);
  node.List(ListKind::kCached, {Entry(1, 0, 0), Entry(2, 0, 1)});
  EXPECT_EQ(node.dispatcher().DrawChances(0), (std::vector<double>{0, 1}));
}

// Found on a day where cheap jobs filled the only kind that the dearest class can run on.
TEST(Draw, AScarceKindSitsOutTheFirstTryOfOtherClasses) {
  auto site = Site({Class(Idempotency::kIdempotent), Class(Idempotency::kAtMostOnce)});
  site.kinds = 2;
  site.classes[1].kind = 1;
  site.classes[1].worth = 8;
  Node node(site);
  node.List(ListKind::kCached, {Entry(1, 0, 0), Entry(2, 0, 1)});
  EXPECT_EQ(node.dispatcher().DrawChances(0), (std::vector<double>{1, 0}));
  EXPECT_EQ(node.dispatcher().DrawChances(1), (std::vector<double>{0, 1}));
  ASSERT_EQ(Of<Push>(node.Ask(1)).size(), 1u);
  const auto second = Of<Push>(node.End(1, 0, 1, Result::kFull));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].worker, 2u);
}

TEST(Draw, WorkersUnheardOfAreTakenAtHomeFirst) {
  auto site = Site({Class(Idempotency::kIdempotent)});
  site.zones = 2;
  site.zone = 1;
  Node node(site);
  node.List(ListKind::kCached, {Entry(1, 0), Entry(2, 1), Entry(3, 0)});
  EXPECT_EQ(node.dispatcher().DrawChances(0), (std::vector<double>{0, 1, 0}));
  node.Probed(1, Load(0, 3));  // known room elsewhere is better than a blind push at home
  EXPECT_EQ(node.dispatcher().DrawChances(0), (std::vector<double>{1, 0, 0}));
}

TEST(Draw, SlotsThatAJobNeedsCount) {
  Node node(Site({Class(Idempotency::kIdempotent)}));
  node.List(ListKind::kCached, Fleet(2));
  node.Probed(1, Load(0, 1));
  node.Probed(2, Load(0, 2));
  for (RequestId id = 1; id <= 1; ++id) {
    Request r;
    r.id = id;
    r.deadline = node.now() + 10 * kS;
    r.slots = 2;
    const auto pushes = Of<Push>(node.Feed(r));
    ASSERT_EQ(pushes.size(), 1u);
    EXPECT_EQ(pushes[0].worker, 2u);
  }
}

}  // namespace
}  // namespace pebblenotch::testing
