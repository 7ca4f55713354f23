// Job lookup without processes: how replies are combined, and which members are queried.
#include "src/cluster/copies/job_lookup.h"

#include <gtest/gtest.h>

#include "src/cluster/copies/resend_schedule.h"

namespace heronway::cluster::copies {
namespace {

using Outcome = MemberQueries<JobReply>::Outcome;

constexpr Micros kSecond = 1'000'000;
const std::string kFormer = "s4/faktory/1";

TEST(Lookup, GroupThatNoMemberServesMayHaveTheJob) {
  Outcome outcome;
  outcome.replies = {{"s2", {LookupStatus::kUnknown, "", {kFormer}, {}}},
                     {"s3", {LookupStatus::kUnknown, "", {kFormer}, {}}}};
  EXPECT_EQ(CombineReplies(outcome, true).status, LookupStatus::kRetry);
  outcome.replies[0].second.served = {kFormer};
  EXPECT_EQ(CombineReplies(outcome, true).status, LookupStatus::kUnknown)
      << "the member that serves it does not know the job";
  outcome.replies[1].second.status = LookupStatus::kRetry;
  EXPECT_EQ(CombineReplies(outcome, true).status, LookupStatus::kRetry);
  outcome.replies[0].second.status = LookupStatus::kDone;
  outcome.replies[0].second.result = "made";
  EXPECT_EQ(CombineReplies(outcome, true).status, LookupStatus::kDone)
      << "the member that has the job decides";
  EXPECT_EQ(CombineReplies(outcome, true).result, "made");
}

TEST(Lookup, SilentMemberMayHaveTheJobAfterDiskLoss) {
  Outcome outcome;
  outcome.replies = {{"s2", {}}};
  outcome.unanswered = {"s3"};
  EXPECT_EQ(CombineReplies(outcome, true).status, LookupStatus::kRetry);
  EXPECT_EQ(CombineReplies(outcome, false).status, LookupStatus::kUnknown);
}

TEST(Lookup, MemberWithoutReplicaIsNotQueriedAgain) {
  FormerReplicas former("s4", true, 0);
  const std::vector<Candidate> members{{"s2", "", -1}, {"s3", "", -1}, {"s4", "", -1}};
  EXPECT_EQ(former.MembersToQuery(1, members, false).query, (std::vector<std::string>{"s2", "s3"}));
  former.NoteReply("s2", false);
  former.NoteReply("s3", true);
  EXPECT_EQ(former.MembersToQuery(1, members, false).query, std::vector<std::string>{"s3"});
}

TEST(Lookup, AfterDiskLossWaitsAMinuteForGoneMembers) {
  FormerReplicas lost("s4", true, 0), kept("s4", false, 0);
  const std::vector<Candidate> gone{{"s2", "", 10 * kSecond}};
  EXPECT_TRUE(lost.MembersToQuery(11 * kSecond, gone, false).wait);
  EXPECT_FALSE(kept.MembersToQuery(11 * kSecond, gone, false).wait);
  EXPECT_FALSE(lost.MembersToQuery(71 * kSecond, gone, false).wait);
  EXPECT_TRUE(lost.MembersToQuery(kSecond, {}, true).wait) << "no member is known yet";
  EXPECT_FALSE(lost.MembersToQuery(61 * kSecond, {}, true).wait);
  EXPECT_FALSE(lost.MembersToQuery(kSecond, {}, false).wait) << "its settings name no other member";
  kept.NoteReply("s2", true);
  EXPECT_TRUE(kept.MembersToQuery(11 * kSecond, gone, false).wait) << "s2 is known to have replicas";
}

TEST(Lookup, QueriesAndRepliesRoundTripAndTruncatedOnesAreRejected) {
  const std::string encoded_query = Encode(JobQuery{kFormer, {"save/k1", true}});
  const auto query = DecodeJobQuery(encoded_query);
  ASSERT_TRUE(query.has_value());
  EXPECT_EQ(query->own_group, kFormer);
  EXPECT_EQ(query->name.text, "save/k1");
  EXPECT_TRUE(query->name.is_alias);
  const std::string encoded_reply =
      Encode(JobReply{LookupStatus::kDone, std::string("a\0b", 3), {kFormer}, {kFormer}});
  const auto reply = DecodeJobReply(encoded_reply);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status, LookupStatus::kDone);
  EXPECT_EQ(reply->result, std::string("a\0b", 3));
  EXPECT_EQ(reply->groups, std::vector<std::string>{kFormer});
  EXPECT_EQ(reply->served, std::vector<std::string>{kFormer});
  for (std::size_t n = 0; n < encoded_query.size(); ++n)
    EXPECT_FALSE(DecodeJobQuery(encoded_query.substr(0, n))) << n;
  for (std::size_t n = 0; n < encoded_reply.size(); ++n)
    EXPECT_FALSE(DecodeJobReply(encoded_reply.substr(0, n))) << n;
}

TEST(Lookup, QueryIsSentAgainSoonAndThenEverLater) {
  constexpr Micros kTick = 50'000;
  ResendSchedule schedule(kSecond);
  std::vector<Micros> sent;
  for (Micros now = kSecond; now <= 3 * kSecond; now += kTick) {
    if (schedule.TakeDue(now)) sent.push_back((now - kSecond) / kTick);
  }
  EXPECT_EQ(sent, (std::vector<Micros>{1, 3, 7, 15, 31}));
}

}  // namespace
}  // namespace heronway::cluster::copies
