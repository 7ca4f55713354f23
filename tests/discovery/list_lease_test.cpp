// How long the list of targets may be acted on, by what became of the calls to discovery.
#include "src/discovery/list_lease.h"

#include <gtest/gtest.h>

namespace heronway::discovery {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kBegan = 1'000 * kSecond, kGrace = 2 * kSecond;
constexpr Micros kGoodFor = ListLease::kPropagationDeadline + kGrace - ListLease::kSafetyMargin;

ListLease Started() { return ListLease(kBegan, kGrace); }
ListLease Confirmed() {
  ListLease lease = Started();
  lease.Confirmed(kBegan);
  return lease;
}

TEST(ListLease, AProcessThatStartsWaitsForDiscovery) {
  ListLease lease = Started();
  EXPECT_FALSE(lease.Valid(kBegan));
  EXPECT_FALSE(lease.Valid(kBegan + 3'600 * kSecond));
  lease.Confirmed(kBegan + kSecond);
  EXPECT_TRUE(lease.Valid(kBegan + kSecond));
}

TEST(ListLease, EndsAGraceAfterWhatMayHaveChangedCountsAsTold) {
  const ListLease lease = Confirmed();
  EXPECT_TRUE(lease.Valid(kBegan + kGoodFor - 1));
  EXPECT_FALSE(lease.Valid(kBegan + kGoodFor));
  ListLease strict(kBegan, -kSecond);  // no grace at all
  strict.Confirmed(kBegan);
  EXPECT_FALSE(strict.Valid(kBegan + ListLease::kPropagationDeadline));
}

TEST(ListLease, AnOutageOfDiscoveryKeepsTheListInForceForAsLongAsItIsSeen) {
  ListLease lease = Confirmed();
  Micros now = kBegan;
  for (int call = 0; call < 20; ++call) {
    now += 2 * kSecond;
    lease.CallFailed(now, CallFailure::kUnreachable);
    EXPECT_TRUE(lease.Valid(now + ListLease::kOutageValidity - 1));
  }
  EXPECT_FALSE(lease.Valid(now + ListLease::kOutageValidity));
}

// Whatever failed before or after: answers that cannot be used show that discovery can be reached.
TEST(ListLease, AnUnusableAnswerEndsItHoweverMuchElseFails) {
  for (const bool outage_first : {true, false}) {
    ListLease lease = Confirmed();
    if (outage_first) lease.CallFailed(kBegan + kSecond, CallFailure::kUnreachable);
    lease.CallFailed(kBegan + 2 * kSecond, CallFailure::kUnusable);
    if (!outage_first) lease.CallFailed(kBegan + kGoodFor - 1, CallFailure::kRefused);
    EXPECT_TRUE(lease.Valid(kBegan + kGoodFor - 1));
    EXPECT_FALSE(lease.Valid(kBegan + kGoodFor));
    lease.Confirmed(kBegan + 2 * kGoodFor);
    EXPECT_TRUE(lease.Valid(kBegan + 2 * kGoodFor));
  }
}

TEST(ListLease, AProcessThatWasHeldUpForLongAsksBeforeItActs) {
  ListLease lease = Confirmed();
  lease.CallFailed(kBegan + kSecond, CallFailure::kUnreachable);
  EXPECT_FALSE(lease.Valid(kBegan + 60 * kSecond));
}

TEST(ListLease, AProcessThatStartsInAnOutageActsOnItsListOnceThatIsSure) {
  ListLease crowded = Started();
  crowded.CallFailed(kBegan + 2 * kSecond, CallFailure::kUnreachable);
  EXPECT_FALSE(crowded.Valid(kBegan + 2 * kSecond)) << "one call may have met a crowd";
  crowded.CallFailed(kBegan + ListLease::kStartupPatience, CallFailure::kUnreachable);
  EXPECT_TRUE(crowded.Valid(kBegan + ListLease::kStartupPatience));

  ListLease refused = Started();
  for (int call = 1; call <= ListLease::kRefusalsAtStartup; ++call) {
    EXPECT_FALSE(refused.Valid(kBegan + call));
    refused.CallFailed(kBegan + call, CallFailure::kRefused);
  }
  EXPECT_TRUE(refused.Valid(kBegan + ListLease::kRefusalsAtStartup));
  refused.CallFailed(kBegan + kSecond, CallFailure::kUnusable);
  EXPECT_FALSE(refused.Valid(kBegan + kSecond)) << "discovery can be reached after all";
}

TEST(ListLease, RefusalsThatOtherFailuresPartAreNoneInARow) {
  ListLease lease = Started();
  for (int call = 1; call <= 2 * ListLease::kRefusalsAtStartup; ++call)
    lease.CallFailed(kBegan + call, call % 2 == 0 ? CallFailure::kUnreachable : CallFailure::kRefused);
  EXPECT_FALSE(lease.Valid(kBegan + 2 * ListLease::kRefusalsAtStartup));
}

}  // namespace
}  // namespace heronway::discovery
