// Word that is led to others, without any others: what becomes of it when they answer, or do not.
#include "src/cluster/copies/doors.h"

#include <gtest/gtest.h>

namespace heronway::cluster::copies {
namespace {

struct Asking {
  net::Loop loop;
  Doors doors{loop};
  std::vector<Heard> heard;
  std::uint64_t Ask(const std::vector<std::string>& others) {
    return doors.Ask(others, [this](Heard h) { heard.push_back(h); });
  }
  void Run(net::Micros time) {
    net::Timer end(loop, [this] { loop.Stop(); });
    end.Start(time);
    loop.Run();
  }
};

TEST(Doors, TheOneThatHoldsTheJobDecidesAndTheOthersMustAllSayNo) {
  Asking a;
  const auto one = a.Ask({"s1", "s2"}), two = a.Ask({"s1", "s2"}), three = a.Ask({"s1", "s2"});
  a.doors.Answered(one, "s1", Heard::kNobody);
  EXPECT_TRUE(a.heard.empty()) << "the other may have it";
  a.doors.Answered(one, "s1", Heard::kNobody);
  EXPECT_TRUE(a.heard.empty()) << "said twice is said once";
  a.doors.Answered(one, "s3", Heard::kTaken);
  EXPECT_TRUE(a.heard.empty()) << "it was not asked";
  a.doors.Answered(one, "s2", Heard::kNobody);
  a.doors.Answered(two, "s2", Heard::kTaken);
  a.doors.Answered(two, "s1", Heard::kNobody);
  a.doors.Answered(three, "s1", Heard::kNotNow);
  a.doors.Answered(three, "s2", Heard::kNobody);
  EXPECT_EQ(a.heard, (std::vector<Heard>{Heard::kNobody, Heard::kTaken, Heard::kNotNow}));
  EXPECT_EQ(a.doors.open(), 0u);
}

TEST(Doors, WhoeverDoesNotAnswerMayHaveIt) {
  Asking a;
  const auto one = a.Ask({"s1", "s2"});
  a.doors.Answered(one, "s1", Heard::kNobody);
  a.Run(Doors::kPatience - 300'000);
  EXPECT_TRUE(a.heard.empty());
  a.Ask({"s1"});
  a.Run(500'000);
  ASSERT_EQ(a.heard, std::vector<Heard>{Heard::kNotNow});
  a.doors.Answered(one, "s2", Heard::kTaken);
  EXPECT_EQ(a.heard.size(), 1u) << "too late, and told once";
  a.Run(Doors::kPatience);
  EXPECT_EQ(a.heard.size(), 2u) << "each in its own time";
}

TEST(Doors, AsksAreBoundedAndNobodyElseIsAnAnswer) {
  Asking a;
  EXPECT_EQ(a.Ask({}), 0u);
  EXPECT_EQ(a.heard, std::vector<Heard>{Heard::kNobody});
  for (std::size_t n = 0; n < Doors::kMostAsked; ++n) EXPECT_NE(a.Ask({"s1"}), 0u);
  EXPECT_EQ(a.Ask({"s1"}), 0u);
  EXPECT_EQ(a.heard.back(), Heard::kNotNow);
}

TEST(Doors, AWordComesBackWholeAndASpoiltOneIsNothing) {
  core::HopCallback news;
  news.id = "job 1";
  news.from = ~core::TargetId{0};
  news.state = core::CallbackState::kFailed;
  news.result = std::string("a\0b", 3);
  const std::string bytes = EncodeWord(news);
  const auto back = DecodeWord(bytes);
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->id, news.id);
  EXPECT_EQ(back->from, news.from);
  EXPECT_EQ(back->state, news.state);
  EXPECT_EQ(back->result, news.result);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(DecodeWord(bytes.substr(0, n)).has_value()) << n;
  news.id.clear();
  EXPECT_FALSE(DecodeWord(EncodeWord(news)).has_value());
}

}  // namespace
}  // namespace heronway::cluster::copies
