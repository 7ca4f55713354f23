// Tests for how long the list of targets may be acted on, depending on the outcome of calls to discovery.
#include "src/discovery/list_lease.h"

#include <gtest/gtest.h>

namespace heronway::discovery {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kProcessStart = 1'000 * kSecond, kGrace = 2 * kSecond;
constexpr Micros kValidity = ListLease::kPropagationDeadline + kGrace - ListLease::kSafetyMargin;

ListLease UnconfirmedLease() { return ListLease(kProcessStart, kGrace); }
ListLease ConfirmedLease() {
  ListLease lease = UnconfirmedLease();
  lease.Confirmed(kProcessStart);
  return lease;
}

TEST(ListLease, StartingProcessWaitsForDiscovery) {
  ListLease lease = UnconfirmedLease();
  EXPECT_FALSE(lease.Valid(kProcessStart));
  EXPECT_FALSE(lease.Valid(kProcessStart + 3'600 * kSecond));
  lease.Confirmed(kProcessStart + kSecond);
  EXPECT_TRUE(lease.Valid(kProcessStart + kSecond));
}

TEST(ListLease, ExpiresOneGracePeriodAfterThePropagationDeadline) {
  const ListLease lease = ConfirmedLease();
  EXPECT_TRUE(lease.Valid(kProcessStart + kValidity - 1));
  EXPECT_FALSE(lease.Valid(kProcessStart + kValidity));
  ListLease without_grace(kProcessStart, -kSecond);
  without_grace.Confirmed(kProcessStart);
  EXPECT_FALSE(without_grace.Valid(kProcessStart + ListLease::kPropagationDeadline));
}

TEST(ListLease, StaysValidWhileADiscoveryOutageIsObserved) {
  ListLease lease = ConfirmedLease();
  Micros now = kProcessStart;
  for (int call = 0; call < 20; ++call) {
    now += 2 * kSecond;
    lease.CallFailed(now, CallFailure::kUnreachable);
    EXPECT_TRUE(lease.Valid(now + ListLease::kOutageValidity - 1));
  }
  EXPECT_FALSE(lease.Valid(now + ListLease::kOutageValidity));
}

// An unusable answer proves that discovery is reachable, whichever failures come before or after it.
TEST(ListLease, UnusableAnswerEndsTheLeaseDespiteOtherFailures) {
  for (const bool outage_first : {true, false}) {
    ListLease lease = ConfirmedLease();
    if (outage_first) lease.CallFailed(kProcessStart + kSecond, CallFailure::kUnreachable);
    lease.CallFailed(kProcessStart + 2 * kSecond, CallFailure::kUnusable);
    if (!outage_first) lease.CallFailed(kProcessStart + kValidity - 1, CallFailure::kRefused);
    EXPECT_TRUE(lease.Valid(kProcessStart + kValidity - 1));
    EXPECT_FALSE(lease.Valid(kProcessStart + kValidity));
    lease.Confirmed(kProcessStart + 2 * kValidity);
    EXPECT_TRUE(lease.Valid(kProcessStart + 2 * kValidity));
  }
}

TEST(ListLease, BusyDiscoveryIsNoOutage) {
  ListLease lease = ConfirmedLease();
  lease.CallFailed(kProcessStart + kValidity - 1, CallFailure::kBusy);
  EXPECT_FALSE(lease.Valid(kProcessStart + kValidity));
  lease.Confirmed(kProcessStart + kValidity);
  lease.CallFailed(kProcessStart + 2 * kValidity, CallFailure::kSilent);
  EXPECT_TRUE(lease.Valid(kProcessStart + 2 * kValidity)) << "declined calls count beyond a confirmation";
}

TEST(ListLease, SilenceOfOneCallBesideDeclinedOnesIsNoOutageAtOnce) {
  const Micros expired = kProcessStart + kValidity;
  for (const Micros silent : {expired - 1, expired}) {
    ListLease lease = ConfirmedLease();
    lease.CallFailed(kProcessStart + 2 * kSecond, CallFailure::kBusy);
    lease.CallFailed(silent, CallFailure::kSilent);
    EXPECT_FALSE(lease.Valid(expired));
    lease.CallFailed(expired, CallFailure::kSilent);
    lease.CallFailed(expired + ListLease::kOutagePatience, CallFailure::kSilent);
    EXPECT_TRUE(lease.Valid(expired + ListLease::kOutagePatience)) << "an outage ends the service";
  }
  ListLease starting = UnconfirmedLease();
  starting.CallFailed(kProcessStart + 2 * kSecond, CallFailure::kBusy);
  starting.CallFailed(kProcessStart + ListLease::kOutagePatience, CallFailure::kSilent);
  EXPECT_TRUE(starting.Valid(kProcessStart + ListLease::kOutagePatience)) << "a start takes too long";
}

TEST(ListLease, FewDeclinedCallsDoNotReviveAnExpiredList) {
  const Micros expired = kProcessStart + kValidity;
  ListLease lease = ConfirmedLease();
  for (Micros since = 0; since < ListLease::kOutagePatience; since += 2 * kSecond) {
    lease.CallFailed(expired + since, CallFailure::kUnreachable);
    EXPECT_FALSE(lease.Valid(expired + since));
  }
  lease.CallFailed(expired + ListLease::kOutagePatience, CallFailure::kUnreachable);
  EXPECT_TRUE(lease.Valid(expired + ListLease::kOutagePatience)) << "an outage ends the service";
  lease = ConfirmedLease();
  for (int call = 0; call < ListLease::kRefusalsForOutage; ++call) {
    EXPECT_FALSE(lease.Valid(expired));
    lease.CallFailed(expired, CallFailure::kRefused);
  }
  EXPECT_TRUE(lease.Valid(expired));
  lease = ConfirmedLease();
  lease.CallFailed(expired, CallFailure::kSilent);
  EXPECT_TRUE(lease.Valid(expired));
}

TEST(ListLease, ProcessThatWasStalledAsksDiscoveryBeforeItActs) {
  ListLease lease = ConfirmedLease();
  lease.CallFailed(kProcessStart + kSecond, CallFailure::kUnreachable);
  EXPECT_FALSE(lease.Valid(kProcessStart + 60 * kSecond));
}

TEST(ListLease, ProcessThatStartsInAnOutageUsesItsListOnceTheOutageIsCertain) {
  ListLease unreachable = UnconfirmedLease();
  unreachable.CallFailed(kProcessStart + 2 * kSecond, CallFailure::kUnreachable);
  EXPECT_FALSE(unreachable.Valid(kProcessStart + 2 * kSecond)) << "discovery may have been overloaded";
  unreachable.CallFailed(kProcessStart + ListLease::kOutagePatience, CallFailure::kUnreachable);
  EXPECT_TRUE(unreachable.Valid(kProcessStart + ListLease::kOutagePatience));

  ListLease refused = UnconfirmedLease();
  for (int call = 1; call <= ListLease::kRefusalsForOutage; ++call) {
    EXPECT_FALSE(refused.Valid(kProcessStart + call));
    refused.CallFailed(kProcessStart + call, CallFailure::kRefused);
  }
  EXPECT_TRUE(refused.Valid(kProcessStart + ListLease::kRefusalsForOutage));
  refused.CallFailed(kProcessStart + kSecond, CallFailure::kUnusable);
  EXPECT_FALSE(refused.Valid(kProcessStart + kSecond)) << "discovery turned out to be reachable";
}

TEST(ListLease, RefusalsCountOnlyIfConsecutive) {
  ListLease lease = UnconfirmedLease();
  for (int call = 1; call <= 2 * ListLease::kRefusalsForOutage; ++call)
    lease.CallFailed(kProcessStart + call, call % 2 == 0 ? CallFailure::kUnreachable : CallFailure::kRefused);
  EXPECT_FALSE(lease.Valid(kProcessStart + 2 * ListLease::kRefusalsForOutage));
}

}  // namespace
}  // namespace heronway::discovery
