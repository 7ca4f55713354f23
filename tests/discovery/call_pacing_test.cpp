// Tests for when calls to discovery are made, depending on how long answers take.
#include "src/discovery/call_pacing.h"

#include <gtest/gtest.h>

#include <set>

namespace heronway::discovery {
namespace {

constexpr Micros kSecond = 1'000'000;

TEST(CallPacing, ALateCallIsFollowedByMoreWithinTheTimeThatAChangeMayGoUnheard) {
  CallPacing pacing(1);
  EXPECT_EQ(pacing.NextCallAfter(1, CallPacing::kHold), CallPacing::kHold + CallPacing::kPatience);
  EXPECT_GE(pacing.NextCallAfter(CallPacing::kMaxOutstanding, CallPacing::kShortHold),
            CallPacing::kReplaceAfter);
}

// The answer to the next call must come before the list expires.
TEST(CallPacing, AHoldLeavesRoomForTheAnswer) {
  constexpr Micros kValidity = 7'750'000;
  CallPacing pacing(1);
  EXPECT_GE(pacing.Hold(kValidity), CallPacing::kHold - CallPacing::kHoldSpread);
  EXPECT_EQ(pacing.Hold(-kSecond), CallPacing::kShortHold);
  constexpr Micros kAnswerTime = 3 * kSecond;
  pacing.Answered(kAnswerTime, 0, false);
  EXPECT_LT(pacing.Hold(kValidity - kAnswerTime) + kAnswerTime, kValidity - kAnswerTime);
}

// A discovery that is slower than any slow answer is down, but one that has been slow gets more time.
TEST(CallPacing, SilenceLimitExceedsSlowAnswers) {
  CallPacing pacing(1);
  EXPECT_EQ(pacing.SilenceLimit(), CallPacing::kSilenceLimit);
  pacing.Answered(5 * kSecond, 0, false);
  EXPECT_GE(pacing.SilenceLimit(), 2 * 5 * kSecond);
}

// An answer that takes longer than the patience must not cause a second call each time.
TEST(CallPacing, PatienceFollowsTheTimeThatAnswersTake) {
  CallPacing pacing(1);
  pacing.Answered(5 * kSecond, 0, false);
  EXPECT_EQ(pacing.answer_time(), 5 * kSecond);
  EXPECT_EQ(pacing.NextCallAfter(1, 0), CallPacing::kMaxPatience);
  pacing.Answered(3 * kSecond, 2 * kSecond, true);
  EXPECT_EQ(pacing.answer_time(), 5 * kSecond * 3 / 4) << "one quick answer counts for recovery";
  for (int answer = 0; answer < 20; ++answer) pacing.Answered(0, 0, false);
  EXPECT_GE(pacing.NextCallAfter(1, 0), CallPacing::kLateAfter);
  EXPECT_LE(pacing.NextCallAfter(1, 0), CallPacing::kLateAfter + CallPacing::kLateSpread);
  pacing.Answered(5 * kSecond, 0, false);
  pacing.Reset();
  EXPECT_EQ(pacing.answer_time(), 0);
}

TEST(CallPacing, SchedulersThatMovedTogetherDoNotMakeTheirNextCallsTogether) {
  std::set<Micros> times;
  constexpr std::uint64_t kSchedulers = 20;
  for (std::uint64_t seed = 1; seed <= kSchedulers; ++seed)
    times.insert(CallPacing(seed).NextCallAfter(1, 0));
  EXPECT_EQ(times.size(), kSchedulers);
  EXPECT_GE(*times.rbegin() - *times.begin(), CallPacing::kLateSpread / 2);
}

TEST(CallPacing, AChangeThatEndsAHoldTellsNothingOfTheTimeThatAnswersTake) {
  CallPacing pacing(1);
  pacing.Answered(3 * kSecond, 0, false);
  pacing.Answered(kSecond, 2 * kSecond, false);
  EXPECT_EQ(pacing.answer_time(), 3 * kSecond);
}

TEST(CallPacing, RetriesOfQuickFailuresBackOffAndStayBounded) {
  CallPacing pacing(1);
  for (int failure = 0; failure < 20; ++failure) {
    const Micros wait = pacing.RetryAfter(1'000, false, false);
    EXPECT_GE(wait, failure < 4 ? CallPacing::kQuickRetry << failure : CallPacing::kCallGap / 2);
    EXPECT_LE(wait, CallPacing::kCallGap * 5 / 4);
  }
  EXPECT_GE(pacing.RetryAfter(1'000, true, true), CallPacing::kCallGap / 2) << "discovery may be overloaded";
  EXPECT_LE(pacing.RetryAfter(10 * kSecond, false, false), CallPacing::kReopen);
  pacing.Reset();
  EXPECT_LE(pacing.RetryAfter(1'000, true, true), 2 * CallPacing::kQuickRetry) << "the list is needed soon";
  EXPECT_GE(pacing.RetryAfter(1'000, true, true), CallPacing::kCallGap / 2);
}

}  // namespace
}  // namespace heronway::discovery
