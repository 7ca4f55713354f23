// Outcomes of forwarded reports when members reply or stay silent, without processes.
#include "src/cluster/copies/report_forwarder.h"

#include <gtest/gtest.h>

namespace heronway::cluster::copies {
namespace {

struct Forwarding {
  net::Loop loop;
  ReportForwarder forwarder{loop};
  std::vector<ForwardOutcome> outcomes;
  std::uint64_t Forward(const std::vector<std::string>& others) {
    return forwarder.StartQuery(others, [this](ForwardOutcome outcome) { outcomes.push_back(outcome); });
  }
  void Run(net::Micros time) {
    net::Timer end(loop, [this] { loop.Stop(); });
    end.Start(time);
    loop.Run();
  }
};

TEST(ReportForwarder, StoredIsFinalAndUnknownNeedsAllMembers) {
  Forwarding a;
  const auto one = a.Forward({"s1", "s2"}), two = a.Forward({"s1", "s2"}), three = a.Forward({"s1", "s2"});
  a.forwarder.OnReply(one, "s1", ForwardOutcome::kUnknownJob);
  EXPECT_TRUE(a.outcomes.empty()) << "the other may have the job";
  a.forwarder.OnReply(one, "s1", ForwardOutcome::kUnknownJob);
  EXPECT_TRUE(a.outcomes.empty()) << "a repeated reply counts once";
  a.forwarder.OnReply(one, "s3", ForwardOutcome::kStored);
  EXPECT_TRUE(a.outcomes.empty()) << "this member was not queried";
  a.forwarder.OnReply(one, "s2", ForwardOutcome::kUnknownJob);
  a.forwarder.OnReply(two, "s2", ForwardOutcome::kStored);
  a.forwarder.OnReply(two, "s1", ForwardOutcome::kUnknownJob);
  a.forwarder.OnReply(three, "s1", ForwardOutcome::kRetry);
  a.forwarder.OnReply(three, "s2", ForwardOutcome::kUnknownJob);
  EXPECT_EQ(a.outcomes, (std::vector<ForwardOutcome>{ForwardOutcome::kUnknownJob, ForwardOutcome::kStored,
                                                     ForwardOutcome::kRetry}));
  EXPECT_EQ(a.forwarder.open(), 0u);
}

TEST(ReportForwarder, SilentMemberMayHaveTheJob) {
  Forwarding a;
  const auto one = a.Forward({"s1", "s2"});
  a.forwarder.OnReply(one, "s1", ForwardOutcome::kUnknownJob);
  a.Run(ReportForwarder::kReplyTimeout - 300'000);
  EXPECT_TRUE(a.outcomes.empty());
  a.Forward({"s1"});
  a.Run(500'000);
  ASSERT_EQ(a.outcomes, std::vector<ForwardOutcome>{ForwardOutcome::kRetry});
  a.forwarder.OnReply(one, "s2", ForwardOutcome::kStored);
  EXPECT_EQ(a.outcomes.size(), 1u) << "a late reply is ignored";
  a.Run(ReportForwarder::kReplyTimeout);
  EXPECT_EQ(a.outcomes.size(), 2u) << "each query has its own timeout";
}

TEST(ReportForwarder, OpenReportsAreLimitedAndNoOtherMemberMeansUnknown) {
  Forwarding a;
  EXPECT_EQ(a.Forward({}), 0u);
  EXPECT_EQ(a.outcomes, std::vector<ForwardOutcome>{ForwardOutcome::kUnknownJob});
  for (std::size_t n = 0; n < ReportForwarder::kMaxOpen; ++n) EXPECT_NE(a.Forward({"s1"}), 0u);
  EXPECT_EQ(a.Forward({"s1"}), 0u);
  EXPECT_EQ(a.outcomes.back(), ForwardOutcome::kRetry);
}

TEST(ReportForwarder, ReportRoundTripsAndTruncatedOnesAreRejected) {
  core::HopCallback report;
  report.id = "job 1";
  report.from = ~core::TargetId{0};
  report.state = core::CallbackState::kFailed;
  report.result = std::string("a\0b", 3);
  const std::string bytes = EncodeReport(report);
  const auto back = DecodeReport(bytes);
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->id, report.id);
  EXPECT_EQ(back->from, report.from);
  EXPECT_EQ(back->state, report.state);
  EXPECT_EQ(back->result, report.result);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(DecodeReport(bytes.substr(0, n)).has_value()) << n;
  report.id.clear();
  EXPECT_FALSE(DecodeReport(EncodeReport(report)).has_value());
}

}  // namespace
}  // namespace heronway::cluster::copies
