// Whether another has a job, without any others: what their answers come to, and who is asked.
#include "src/cluster/copies/lookup.h"

#include <gtest/gtest.h>

namespace heronway::cluster::copies {
namespace {

using Outcome = Questions<JobAnswer>::Outcome;

constexpr Micros kSecond = 1'000'000;
const std::string kFormer = "s4/faktory/1";

TEST(Lookup, ACopyThatNobodyHoldsMayHaveTheJob) {
  Outcome outcome;
  outcome.answers = {{"s2", {Found::kUnknown, "", {kFormer}, {}}},
                     {"s3", {Found::kUnknown, "", {kFormer}, {}}}};
  EXPECT_EQ(Judge(outcome, true).found, Found::kNotNow);
  outcome.answers[0].second.held = {kFormer};
  EXPECT_EQ(Judge(outcome, true).found, Found::kUnknown) << "its holder does not know it";
  outcome.answers[1].second.found = Found::kNotNow;
  EXPECT_EQ(Judge(outcome, true).found, Found::kNotNow);
  outcome.answers[0].second.found = Found::kDone;
  outcome.answers[0].second.result = "made";
  EXPECT_EQ(Judge(outcome, true).found, Found::kDone) << "whoever has it decides";
  EXPECT_EQ(Judge(outcome, true).result, "made");
}

TEST(Lookup, WhoeverIsSilentMayHaveTheJobWhereTheDiskIsLost) {
  Outcome outcome;
  outcome.answers = {{"s2", {}}};
  outcome.silent = {"s3"};
  EXPECT_EQ(Judge(outcome, true).found, Found::kNotNow);
  EXPECT_EQ(Judge(outcome, false).found, Found::kUnknown);
}

TEST(Lookup, NobodyIsAskedTwiceWhoHasNoCopy) {
  EarlierLives earlier("s4", true, 0);
  const std::vector<Candidate> members{{"s2", "", -1}, {"s3", "", -1}, {"s4", "", -1}};
  EXPECT_EQ(earlier.WhomToAsk(1, members, false).ask, (std::vector<std::string>{"s2", "s3"}));
  earlier.Note("s2", false);
  earlier.Note("s3", true);
  EXPECT_EQ(earlier.WhomToAsk(1, members, false).ask, std::vector<std::string>{"s3"});
}

TEST(Lookup, ALostDiskWaitsAMinuteForMembersOutOfSight) {
  EarlierLives lost("s4", true, 0), kept("s4", false, 0);
  const std::vector<Candidate> gone{{"s2", "", 10 * kSecond}};
  EXPECT_TRUE(lost.WhomToAsk(11 * kSecond, gone, false).wait);
  EXPECT_FALSE(kept.WhomToAsk(11 * kSecond, gone, false).wait);
  EXPECT_FALSE(lost.WhomToAsk(71 * kSecond, gone, false).wait);
  EXPECT_TRUE(lost.WhomToAsk(kSecond, {}, true).wait) << "nobody has been heard yet";
  EXPECT_FALSE(lost.WhomToAsk(61 * kSecond, {}, true).wait);
  EXPECT_FALSE(lost.WhomToAsk(kSecond, {}, false).wait) << "it is alone by its settings";
  kept.Note("s2", true);
  EXPECT_TRUE(kept.WhomToAsk(11 * kSecond, gone, false).wait) << "it is known to have copies";
}

TEST(Lookup, QuestionsAndAnswersComeBackWholeAndSpoiltOnesAreNothing) {
  const std::string asked = Encode(JobQuestion{kFormer, {"save/k1", true}});
  const auto question = DecodeJobQuestion(asked);
  ASSERT_TRUE(question.has_value());
  EXPECT_EQ(question->own_group, kFormer);
  EXPECT_EQ(question->name.text, "save/k1");
  EXPECT_TRUE(question->name.is_alias);
  const std::string said = Encode(JobAnswer{Found::kDone, std::string("a\0b", 3), {kFormer}, {kFormer}});
  const auto answer = DecodeJobAnswer(said);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->found, Found::kDone);
  EXPECT_EQ(answer->result, std::string("a\0b", 3));
  EXPECT_EQ(answer->copies, std::vector<std::string>{kFormer});
  EXPECT_EQ(answer->held, std::vector<std::string>{kFormer});
  for (std::size_t n = 0; n < asked.size(); ++n) EXPECT_FALSE(DecodeJobQuestion(asked.substr(0, n))) << n;
  for (std::size_t n = 0; n < said.size(); ++n) EXPECT_FALSE(DecodeJobAnswer(said.substr(0, n))) << n;
}

}  // namespace
}  // namespace heronway::cluster::copies
