// Tests of the message codec: all kinds round-trip, and other input is rejected.
#include "src/cluster/net/codec.h"

#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "src/cluster/membership/gossip.h"
#include "src/cluster/target_gossip/target_gossip.h"

namespace heronway::cluster {
namespace {

Message Sample(int kind) {
  Message m;
  m.kind = static_cast<MessageKind>(kind);
  m.number = 77;
  m.from.id = {"a", 12};
  m.from.endpoint = {0x7f000001, 7946};
  m.from.zone = "bangna";
  m.from.fronts = "http=127.0.0.1:8080";
  m.digest = ~std::uint64_t{0};
  m.target = {"b", 13};
  m.target_endpoint = {0x7f000002, 7946};
  Update u{m.from, "b", 5};
  u.record.state = MemberState::kSuspect;
  u.record.incarnation = kMaxIncarnation;
  m.updates.assign(3, u);
  m.facts.assign(2, Fact{~std::uint64_t{0}, FactKind::kStarted, 1'796'167'234'691'250, ~std::uint64_t{0}, 5});
  return m;
}

DropReason ReasonOf(std::string_view bytes, std::size_t most = 1400) {
  const auto result = Decode("f", bytes, most);
  return std::holds_alternative<DropReason>(result) ? std::get<DropReason>(result)
                                                    : static_cast<DropReason>(99);
}

TEST(ClusterCodec, EveryKindRoundTrips) {
  for (int kind = 0; kind < kMessageKinds; ++kind) {
    const std::string bytes = Encode("f", Sample(kind));
    const auto result = Decode("f", bytes, 1400);
    ASSERT_TRUE(std::holds_alternative<Message>(result));
    EXPECT_EQ(Encode("f", std::get<Message>(result)), bytes);
  }
}

TEST(ClusterCodec, RejectedInputIsClassified) {
  const std::string bytes = Encode("g", Sample(0));
  EXPECT_EQ(ReasonOf(bytes), DropReason::kForeign) << "another fleet";
  EXPECT_EQ(ReasonOf("GET / HTTP/1.1\r\n\r\n"), DropReason::kForeign);
  EXPECT_EQ(ReasonOf(""), DropReason::kMalformed);
  EXPECT_EQ(ReasonOf(std::string(1401, 'x')), DropReason::kOversized);
  std::string newer = Encode("f", Sample(0));
  ASSERT_EQ(newer[5], kProtocolVersion);  // after the array header and the magic
  newer[5] = kProtocolVersion + 1;
  EXPECT_EQ(ReasonOf(newer), DropReason::kNewer);
}

TEST(ClusterCodec, TruncatedAndCorruptedInputIsHandled) {
  const std::string whole = Encode("f", Sample(0));
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_NE(ReasonOf(whole.substr(0, n)), static_cast<DropReason>(99)) << n;
  pcg32 random(5);
  for (int n = 0; n < 20'000; ++n) {
    std::string bytes = whole;
    for (int k = 0; k < 3; ++k)
      bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(random());
    const auto result = Decode("f", bytes, 1400);  // memory errors are found by the sanitizer builds
    if (const Message* m = std::get_if<Message>(&result)) {
      EXPECT_LE(m->from.id.boot_id, kMaxBootId);
      for (const Update& u : m->updates) EXPECT_LE(u.record.incarnation, kMaxIncarnation);
    }
  }
}

TEST(ClusterCodec, NamesUnsafeForLogsAreRejected) {
  Message m = Sample(0);
  m.from.id.name = "a\nb";
  EXPECT_EQ(ReasonOf(Encode("f", m)), DropReason::kMalformed);
  m.from.id.name = "";
  EXPECT_EQ(ReasonOf(Encode("f", m)), DropReason::kMalformed);
  m.from.id.name = std::string(kMaxNameBytes + 1, 'a');
  EXPECT_EQ(ReasonOf(Encode("f", m)), DropReason::kMalformed);
}

// The size that is reserved for an update in a datagram is never less than its encoded size.
TEST(Gossip, SizesAreUpperBounds) {
  Message m = Sample(0);
  m.from.id.boot_id = kMaxBootId;
  m.updates.clear();
  const std::size_t empty = Encode("f", m).size();
  Update u{m.from, "accuser", 1LL << 55};
  u.record.incarnation = kMaxIncarnation;
  m.updates.push_back(u);
  EXPECT_LE(Encode("f", m).size() - empty, Gossip::SizeOf(u));
}

TEST(TargetGossip, FactSizeIsAnUpperBound) {
  Message m = Sample(0);
  const std::size_t two = Encode("f", m).size();
  m.facts.resize(12, Fact{~std::uint64_t{0}, FactKind::kStarted, 1LL << 59, ~std::uint64_t{0}, 1LL << 39});
  EXPECT_LE(Encode("f", m).size() - two, 10 * TargetGossip::kMaxFactBytes);
}

TEST(Gossip, UpdatesAreSentABoundedNumberOfTimesLeastSentFirst) {
  Gossip gossip;
  Update a{Sample(0).from, "", 0}, b = a;
  b.record.id.name = "b";
  gossip.Put(a);
  std::vector<Update> out;
  gossip.Fill(Gossip::SizeOf(a), 3, {}, out);
  gossip.Put(b);
  out.clear();
  gossip.Fill(Gossip::SizeOf(a), 3, {}, out);
  ASSERT_EQ(out.size(), 1u);
  EXPECT_EQ(out[0].record.id.name, "b");
  out.clear();
  for (int n = 0; n < 10; ++n) gossip.Fill(1000, 3, {}, out);
  EXPECT_EQ(out.size(), 4u) << "two more sends of each";
  EXPECT_TRUE(gossip.empty());
  gossip.Put(a);
  out.clear();
  gossip.Fill(1000, 3, a.record.id, out);
  EXPECT_TRUE(out.empty()) << "no update about the receiver";
}

}  // namespace
}  // namespace heronway::cluster
