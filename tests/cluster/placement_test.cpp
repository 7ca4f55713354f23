// Placement of replicas: spread over zones, few for each member, rarely moved.
#include "src/cluster/copies/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace heronway::cluster::copies {
namespace {

constexpr Micros kMinute = 60'000'000;

std::vector<Candidate> Fleet(int n, int zones) {
  std::vector<Candidate> all;
  for (int i = 0; i < n; ++i) all.push_back({"s" + std::to_string(i), "z" + std::to_string(i % zones), -1});
  return all;
}

TEST(Placement, OwnerIsFirstAndZonesAreDistinctWhilePossible) {
  const auto fleet = Fleet(30, 3);
  for (const Candidate& owner : fleet) {
    const auto at = ChooseReplicas(owner.name, fleet, 3);
    ASSERT_EQ(at.size(), 3u);
    EXPECT_EQ(at[0], owner.name);
    std::set<std::string> zones;
    for (const std::string& name : at)
      zones.insert(
          std::find_if(fleet.begin(), fleet.end(), [&](const auto& c) { return c.name == name; })->zone);
    EXPECT_EQ(zones.size(), 3u);
  }
  EXPECT_EQ(ChooseReplicas("s0", Fleet(30, 2), 5).size(), 5u) << "five replicas in two zones";
  EXPECT_EQ(ChooseReplicas("s0", Fleet(2, 1), 3).size(), 2u) << "at most one for each member";
}

TEST(Placement, EachOfThreeHundredMembersKeepsAFew) {
  const auto fleet = Fleet(300, 3);
  std::map<std::string, int> kept;
  for (const Candidate& owner : fleet) {
    for (const std::string& name : ChooseReplicas(owner.name, fleet, 3)) ++kept[name];
  }
  for (const auto& [name, n] : kept) {
    EXPECT_GE(n, 1) << name;
    EXPECT_LE(n, 12) << name;
  }
}

TEST(Placement, GoneMemberMovesOnlyItsOwnReplicas) {
  const auto fleet = Fleet(100, 4);
  auto with_gone_member = fleet;
  with_gone_member[17].gone_since = 0;
  for (const Candidate& owner : fleet) {
    if (owner.name == "s17") continue;
    const auto before = ChooseReplicas(owner.name, fleet, 3),
               after = ChooseReplicas(owner.name, with_gone_member, 3);
    int moved = 0;
    for (const std::string& name : after)
      moved += std::find(before.begin(), before.end(), name) == before.end();
    const bool kept = std::find(before.begin(), before.end(), "s17") != before.end();
    EXPECT_LE(moved, kept ? 1 : 0) << owner.name;
  }
}

TEST(Placement, RestartMovesNothingAndLostMemberIsReplaced) {
  auto fleet = Fleet(9, 3);
  const auto replicas = ChooseReplicas("s0", fleet, 3);
  const auto next = [&](const std::vector<std::string>& current, Micros now, bool balance = false) {
    return NextChange("s0", current, fleet, 3, now, 10 * kMinute, balance);
  };
  EXPECT_FALSE(next(replicas, 0).has_value());
  auto lost = std::find_if(fleet.begin(), fleet.end(), [&](const auto& c) { return c.name == replicas[1]; });
  lost->gone_since = 0;
  EXPECT_FALSE(next(replicas, 9 * kMinute).has_value()) << "it may come back";
  const auto move = next(replicas, 10 * kMinute);
  ASSERT_TRUE(move.has_value());
  EXPECT_EQ(move->remove, replicas[1]);
  EXPECT_FALSE(move->add.empty());
  auto with_replacement = replicas;
  with_replacement.push_back(move->add);
  const auto then = next(with_replacement, 11 * kMinute);
  ASSERT_TRUE(then.has_value());
  EXPECT_EQ(then->remove, replicas[1]);
  EXPECT_TRUE(then->add.empty()) << "its replacement was added already";
  std::erase(with_replacement, replicas[1]);
  EXPECT_FALSE(next(with_replacement, 12 * kMinute).has_value());
  lost->gone_since = -1;  // it is back and preferred, but replaces another only when rebalancing
  EXPECT_FALSE(next(with_replacement, 13 * kMinute).has_value());
  const auto better = next(with_replacement, 13 * kMinute, true);
  ASSERT_TRUE(better.has_value());
  EXPECT_EQ(better->add, replicas[1]);
  EXPECT_FALSE(next({replicas[0], replicas[1], replicas[2], "s0"}, 13 * kMinute).has_value() &&
               next({replicas[0], replicas[1], replicas[2], "s0"}, 13 * kMinute)->remove == "s0")
      << "the owner's own replica is never removed";
}

TEST(Placement, MissingReplicasAreAdded) {
  const auto fleet = Fleet(9, 3);
  const auto move = NextChange("s0", {"s0"}, fleet, 3, 0, 10 * kMinute, false);
  ASSERT_TRUE(move.has_value());
  EXPECT_TRUE(move->remove.empty());
  EXPECT_EQ(move->add, ChooseReplicas("s0", fleet, 3)[1]);
}

}  // namespace
}  // namespace heronway::cluster::copies
