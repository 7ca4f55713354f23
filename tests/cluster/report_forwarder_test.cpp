// Word that is led to others, without any others: what becomes of it when they answer, or do not.
#include "src/cluster/copies/report_forwarder.h"

#include <gtest/gtest.h>

namespace heronway::cluster::copies {
namespace {

struct Forwarding {
  net::Loop loop;
  ReportForwarder forwarder{loop};
  std::vector<ForwardOutcome> outcomes;
  std::uint64_t Ask(const std::vector<std::string>& others) {
    return forwarder.Start(others, [this](ForwardOutcome h) { outcomes.push_back(h); });
  }
  void Run(net::Micros time) {
    net::Timer end(loop, [this] { loop.Stop(); });
    end.Start(time);
    loop.Run();
  }
};

TEST(ReportForwarder, TheOneThatHoldsTheJobDecidesAndTheOthersMustAllSayNo) {
  Forwarding a;
  const auto one = a.Ask({"s1", "s2"}), two = a.Ask({"s1", "s2"}), three = a.Ask({"s1", "s2"});
  a.forwarder.OnReply(one, "s1", ForwardOutcome::kUnknownJob);
  EXPECT_TRUE(a.outcomes.empty()) << "the other may have it";
  a.forwarder.OnReply(one, "s1", ForwardOutcome::kUnknownJob);
  EXPECT_TRUE(a.outcomes.empty()) << "said twice is said once";
  a.forwarder.OnReply(one, "s3", ForwardOutcome::kStored);
  EXPECT_TRUE(a.outcomes.empty()) << "it was not asked";
  a.forwarder.OnReply(one, "s2", ForwardOutcome::kUnknownJob);
  a.forwarder.OnReply(two, "s2", ForwardOutcome::kStored);
  a.forwarder.OnReply(two, "s1", ForwardOutcome::kUnknownJob);
  a.forwarder.OnReply(three, "s1", ForwardOutcome::kRetry);
  a.forwarder.OnReply(three, "s2", ForwardOutcome::kUnknownJob);
  EXPECT_EQ(a.outcomes, (std::vector<ForwardOutcome>{ForwardOutcome::kUnknownJob, ForwardOutcome::kStored,
                                                     ForwardOutcome::kRetry}));
  EXPECT_EQ(a.forwarder.open(), 0u);
}

TEST(ReportForwarder, WhoeverDoesNotAnswerMayHaveIt) {
  Forwarding a;
  const auto one = a.Ask({"s1", "s2"});
  a.forwarder.OnReply(one, "s1", ForwardOutcome::kUnknownJob);
  a.Run(ReportForwarder::kPatience - 300'000);
  EXPECT_TRUE(a.outcomes.empty());
  a.Ask({"s1"});
  a.Run(500'000);
  ASSERT_EQ(a.outcomes, std::vector<ForwardOutcome>{ForwardOutcome::kRetry});
  a.forwarder.OnReply(one, "s2", ForwardOutcome::kStored);
  EXPECT_EQ(a.outcomes.size(), 1u) << "too late, and told once";
  a.Run(ReportForwarder::kPatience);
  EXPECT_EQ(a.outcomes.size(), 2u) << "each in its own time";
}

TEST(ReportForwarder, AsksAreBoundedAndNobodyElseIsAnAnswer) {
  Forwarding a;
  EXPECT_EQ(a.Ask({}), 0u);
  EXPECT_EQ(a.outcomes, std::vector<ForwardOutcome>{ForwardOutcome::kUnknownJob});
  for (std::size_t n = 0; n < ReportForwarder::kMaxOpen; ++n) EXPECT_NE(a.Ask({"s1"}), 0u);
  EXPECT_EQ(a.Ask({"s1"}), 0u);
  EXPECT_EQ(a.outcomes.back(), ForwardOutcome::kRetry);
}

TEST(ReportForwarder, AWordComesBackWholeAndASpoiltOneIsNothing) {
  core::HopCallback news;
  news.id = "job 1";
  news.from = ~core::TargetId{0};
  news.state = core::CallbackState::kFailed;
  news.result = std::string("a\0b", 3);
  const std::string bytes = EncodeReport(news);
  const auto back = DecodeReport(bytes);
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->id, news.id);
  EXPECT_EQ(back->from, news.from);
  EXPECT_EQ(back->state, news.state);
  EXPECT_EQ(back->result, news.result);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(DecodeReport(bytes.substr(0, n)).has_value()) << n;
  news.id.clear();
  EXPECT_FALSE(DecodeReport(EncodeReport(news)).has_value());
}

}  // namespace
}  // namespace heronway::cluster::copies
