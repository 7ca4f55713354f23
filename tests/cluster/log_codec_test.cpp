// Encoding of the replicated log's messages, entries and snapshots.
#include <gtest/gtest.h>

#include "src/cluster/log/codec.h"

namespace heronway::cluster::log {
namespace {

Message FullMessage(MessageKind kind) {
  Message m;
  m.kind = kind;
  m.from = 0xfedcba9876543210ULL;
  m.to = 7;
  m.term = 5;
  m.index = 41;
  m.log_term = 4;
  m.leader_commit = 40;
  m.match_hint = 39;
  m.read_round = 1ULL << 40;
  m.accepted = m.leadership_transfer = true;
  auto data = std::make_shared<Entry>();
  data->term = 4;
  data->data = std::string("a\0b", 3);
  auto configuration = std::make_shared<Entry>();
  configuration->term = 5;
  configuration->kind = EntryKind::kConfiguration;
  configuration->configuration = {{1, 2, 3}, {9}};
  m.entries = {data, configuration};
  m.configuration = {{1, 2}, {}};
  m.offset = 64;
  m.total_size = 100;
  m.chunk = std::string(36, 'x');
  return m;
}

TEST(LogCodec, EveryMessageKindRoundTrips) {
  for (int kind = 0; kind < kMessageKindCount; ++kind) {
    const Message m = FullMessage(static_cast<MessageKind>(kind));
    const auto decoded = DecodeMessage(Encode(m));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(DigestOf(*decoded), DigestOf(m));
  }
  const Snapshot s{9, 3, {{1, 2, 3}, {4}}, std::string(1000, '\0')};
  const auto decoded = DecodeSnapshot(Encode(s));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->index, 9u);
  EXPECT_EQ(decoded->configuration, s.configuration);
  EXPECT_EQ(decoded->data, s.data);
}

TEST(LogCodec, TruncatedAndUnknownInputIsRejected) {
  const std::string bytes = Encode(FullMessage(MessageKind::kAppendEntries));
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(DecodeMessage(bytes.substr(0, n)).has_value()) << n;
  std::string newer = bytes;
  newer[3] = 2;  // the format version, after the array header
  EXPECT_FALSE(DecodeMessage(newer).has_value()) << "a later format version";
  EXPECT_FALSE(DecodeEntry(bytes).has_value());
}

TEST(LogCodec, ValuesOutOfRangeAreRejected) {
  const auto rejected = [](auto change) {
    Message m = FullMessage(MessageKind::kInstallSnapshot);
    change(m);
    return !DecodeMessage(Encode(m)).has_value();
  };
  EXPECT_FALSE(rejected([](Message&) {}));
  EXPECT_TRUE(rejected([](Message& m) { m.from = 0; }));
  EXPECT_TRUE(rejected([](Message& m) { m.term = kMaxTerm + 1; }));
  EXPECT_TRUE(rejected([](Message& m) { m.match_hint = kMaxIndex + 1; }));
  EXPECT_TRUE(rejected([](Message& m) { m.offset = 101; }));
  EXPECT_TRUE(rejected([](Message& m) { m.offset = 65; })) << "a chunk beyond the end";
  EXPECT_TRUE(rejected([](Message& m) { m.configuration.voters = {2, 1}; })) << "not in ascending order";
  EXPECT_TRUE(rejected([](Message& m) {
    m.configuration.voters = {1, 1};
  })) << "a duplicate would count twice";
  EXPECT_TRUE(rejected([](Message& m) { std::swap(m.entries[0], m.entries[1]); }))
      << "terms must not decrease";
}

}  // namespace
}  // namespace heronway::cluster::log
