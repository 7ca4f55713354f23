// The rules of the replicated log one at a time, on a single server. The tests send the messages and complete
// the writes themselves, to reach cases that random schedules reach too rarely.
#include <gtest/gtest.h>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {
namespace {

constexpr Micros kSecond = 1'000'000;

EntryPtr MakeEntry(Term term, EntryKind kind = EntryKind::kData, Configuration configuration = {}) {
  auto e = std::make_shared<Entry>();
  e->term = term;
  e->kind = kind;
  e->configuration = std::move(configuration);
  e->data = "d";
  return e;
}

// Server 1, by default in a group with servers 2 and 3.
class SingleServer {
 public:
  explicit SingleServer(std::vector<ServerId> voters = {1, 2, 3}, std::vector<EntryPtr> entries = {},
                        HardState hard_state = {}) {
    auto initial = std::make_shared<Snapshot>();
    initial->configuration.voters = std::move(voters);
    log = std::make_unique<Log>(Settings{}, 1, PersistentState{hard_state, initial, std::move(entries)}, 5,
                                now);
  }
  void Handle(Event event) {
    effects.clear();
    log->Handle(now, std::move(event), effects);
    for (const Effect& e : effects) {
      if (const auto* p = std::get_if<Persist>(&e)) last_persist = p->number;
    }
  }
  void Sync() { Handle(Persisted{last_persist}); }
  void Receive(MessageKind kind, ServerId from, Term term, Index index = 0, Term log_term = 0,
               bool accepted = false) {
    Message m;
    m.kind = kind;
    m.from = from;
    m.to = 1;
    m.term = term;
    m.index = index;
    m.log_term = log_term;
    m.accepted = accepted;
    Handle(Received{m});
  }
  void Append(ServerId from, Term term, Index after, Term after_term, std::vector<EntryPtr> entries,
              Index leader_commit = 0) {
    Message m;
    m.kind = MessageKind::kAppendEntries;
    m.from = from;
    m.to = 1;
    m.term = term;
    m.index = after;
    m.log_term = after_term;
    m.leader_commit = leader_commit;
    m.entries = std::move(entries);
    Handle(Received{m});
  }
  void Lead() {
    now += 3 * kSecond;
    Handle(Tick{});
    Receive(MessageKind::kPreVoteReply, 2, log->term() + 1, 0, 0, true);
    Sync();
    Receive(MessageKind::kRequestVoteReply, 2, log->term(), 0, 0, true);
    ASSERT_EQ(log->role(), Role::kLeader);
  }
  std::vector<Message> Sent(MessageKind kind) const {
    std::vector<Message> all;
    for (const Effect& e : effects) {
      const auto* s = std::get_if<Send>(&e);
      if (s != nullptr && s->message.kind == kind) all.push_back(s->message);
    }
    return all;
  }
  Micros now = 100 * kSecond;
  std::unique_ptr<Log> log;
  std::vector<Effect> effects;
  std::uint64_t last_persist = 0;
};

TEST(LogRules, NoVotesWhileTheLeaderIsActive) {
  SingleServer server;
  server.Append(2, 1, 0, 0, {});
  server.Sync();
  server.Receive(MessageKind::kPreVote, 3, 2, 9, 9);
  EXPECT_TRUE(server.Sent(MessageKind::kPreVoteReply).empty());
  server.Receive(MessageKind::kRequestVote, 3, 2, 9, 9);
  EXPECT_EQ(server.log->term(), 1u);
  server.now += kSecond;  // the leader has been silent for an election timeout
  server.Receive(MessageKind::kPreVote, 3, 2, 9, 9);
  ASSERT_EQ(server.Sent(MessageKind::kPreVoteReply).size(), 1u);
  EXPECT_TRUE(server.Sent(MessageKind::kPreVoteReply)[0].accepted);
  EXPECT_EQ(server.log->term(), 1u) << "a pre-vote does not raise the term";
}

TEST(LogRules, NoVoteForACandidateThatLacksEntries) {
  SingleServer server({1, 2, 3}, {MakeEntry(1), MakeEntry(1)}, HardState{1, 0});
  server.Receive(MessageKind::kRequestVote, 2, 2, 1, 1);
  server.Sync();
  ASSERT_EQ(server.Sent(MessageKind::kRequestVoteReply).size(), 1u);
  EXPECT_FALSE(server.Sent(MessageKind::kRequestVoteReply)[0].accepted);
  server.Receive(MessageKind::kRequestVote, 3, 2, 2, 1);
  server.Sync();
  ASSERT_EQ(server.Sent(MessageKind::kRequestVoteReply).size(), 1u);
  EXPECT_TRUE(server.Sent(MessageKind::kRequestVoteReply)[0].accepted);
}

TEST(LogRules, RepliesWaitUntilTheTermIsDurable) {
  SingleServer server;
  server.Receive(MessageKind::kRequestVote, 2, 5);
  EXPECT_TRUE(server.Sent(MessageKind::kRequestVoteReply).empty());
  server.Sync();
  EXPECT_EQ(server.Sent(MessageKind::kRequestVoteReply).size(), 1u);
  SingleServer only_voter({1});
  only_voter.now += 3 * kSecond;
  only_voter.Handle(Tick{});
  EXPECT_NE(only_voter.log->role(), Role::kLeader) << "its own vote is not durable yet";
  only_voter.Sync();
  EXPECT_EQ(only_voter.log->role(), Role::kLeader);
}

// Entries that replace durable ones are not durable themselves: a reply must not count the old entries.
TEST(LogRules, RepliesCountOnlyDurableEntriesOfTheCurrentLeader) {
  SingleServer server({1, 2, 3}, {MakeEntry(1), MakeEntry(1), MakeEntry(1)}, HardState{1, 0});
  server.Append(2, 2, 0, 0, {});
  server.Sync();  // the term is durable, so replies are sent at once
  server.Append(2, 2, 1, 1, {MakeEntry(2), MakeEntry(2)});
  ASSERT_EQ(server.Sent(MessageKind::kAppendEntriesReply).size(), 1u);
  EXPECT_EQ(server.Sent(MessageKind::kAppendEntriesReply)[0].index, 1u);
  server.Append(2, 2, 3, 2, {});
  for (const Message& m : server.Sent(MessageKind::kAppendEntriesReply)) EXPECT_LE(m.index, 1u);
  server.Sync();
  const auto replies = server.Sent(MessageKind::kAppendEntriesReply);
  ASSERT_FALSE(replies.empty());
  EXPECT_EQ(replies.back().index, 3u);
}

TEST(LogRules, ATruncatedConfigurationIsReverted) {
  SingleServer server({1, 2, 3}, {MakeEntry(1), MakeEntry(1, EntryKind::kConfiguration, {{1, 2, 3, 4}, {}})},
                      HardState{1, 0});
  EXPECT_EQ(server.log->configuration().voters.size(), 4u) << "takes effect as soon as it is in the log";
  server.Append(2, 2, 1, 1, {MakeEntry(2)});
  EXPECT_EQ(server.log->configuration().voters.size(), 3u);
}

// A new leader may not know the last entries that the previous leader committed.
TEST(LogRules, NoReadBeforeAnEntryOfTheOwnTermIsCommitted) {
  SingleServer server({1, 2, 3}, {MakeEntry(1)}, HardState{1, 0});
  server.Lead();
  server.Handle(ReadIndex{9});
  const auto rejected = [&] {
    return std::any_of(server.effects.begin(), server.effects.end(),
                       [](const Effect& e) { return std::holds_alternative<Rejected>(e); });
  };
  EXPECT_TRUE(rejected());
  server.Sync();
  server.Receive(MessageKind::kAppendEntriesReply, 2, server.log->term(), 2, 0, true);
  ASSERT_EQ(server.log->commit_index(), 2u);
  server.Handle(ReadIndex{10});
  EXPECT_FALSE(rejected());
}

// Figure 3.7 of the dissertation: an entry of an older term is on a majority and can still be replaced.
TEST(LogRules, EntriesOfOlderTermsAreCommittedWithOneOfTheOwnTerm) {
  SingleServer server({1, 2, 3}, {MakeEntry(1)}, HardState{1, 0});
  server.Lead();
  server.Sync();
  server.Receive(MessageKind::kAppendEntriesReply, 2, server.log->term(), 1, 0, true);
  EXPECT_EQ(server.log->commit_index(), 0u);
  server.Receive(MessageKind::kAppendEntriesReply, 2, server.log->term(), 2, 0, true);
  EXPECT_EQ(server.log->commit_index(), 2u);
}

// Otherwise the stale leader never learns of the higher term and keeps sending to this server forever.
TEST(LogRules, AStaleLeaderLearnsTheHigherTerm) {
  SingleServer server({1, 2, 3}, {}, HardState{7, 0});
  server.Append(2, 5, 0, 0, {});
  ASSERT_EQ(server.Sent(MessageKind::kAppendEntriesReply).size(), 1u);
  EXPECT_EQ(server.Sent(MessageKind::kAppendEntriesReply)[0].term, 7u);
  EXPECT_FALSE(server.Sent(MessageKind::kAppendEntriesReply)[0].accepted);
}

TEST(LogRules, LeadershipIsTransferredOnceTheTargetIsUpToDate) {
  SingleServer server;
  server.Lead();
  server.Sync();
  server.Handle(TransferLeadership{3});
  EXPECT_TRUE(server.Sent(MessageKind::kTimeoutNow).empty());
  server.Receive(MessageKind::kAppendEntriesReply, 3, server.log->term(), 1, 0, true);
  EXPECT_EQ(server.Sent(MessageKind::kTimeoutNow).size(), 1u);
}

// Votes may wait for slow disks: an election that is given up for the next one before they come never ends.
TEST(LogRules, ElectionsWithoutAResultGetMoreTime) {
  SingleServer server;
  std::vector<Micros> elections;
  for (Micros elapsed = 0; elapsed < 60 * kSecond; elapsed += kSecond / 10) {
    server.now += kSecond / 10;
    server.Handle(Tick{});
    if (server.log->role() == Role::kPreCandidate)
      server.Receive(MessageKind::kPreVoteReply, 2, server.log->term() + 1, 0, 0, true);
    server.Sync();
    if (!server.Sent(MessageKind::kRequestVote).empty()) elections.push_back(server.now);
  }
  ASSERT_GE(elections.size(), 5u);
  EXPECT_GE(elections.back() - elections[elections.size() - 2], 4 * kSecond);
  server.Append(2, server.log->term(), 0, 0, {});  // another server leads, then falls silent
  elections.clear();
  for (int step = 0; step < 35 && elections.empty(); ++step) {
    server.now += kSecond / 10;
    server.Handle(Tick{});
    server.Sync();
    if (server.log->role() == Role::kPreCandidate) elections.push_back(server.now);
  }
  EXPECT_EQ(elections.size(), 1u) << "a new election waits as long as after a failed one";
}

// Server 1 leads and has to send its snapshot, of several chunks, to server 3.
class SnapshotSender : public SingleServer {
 public:
  SnapshotSender() {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = 5;
    snapshot->term = 1;
    snapshot->configuration.voters = {1, 2, 3};
    snapshot->data = std::string(4 * Settings{}.max_message_bytes, 's');
    log = std::make_unique<Log>(Settings{}, 1, PersistentState{HardState{1, 0}, snapshot, {}}, 5, now);
    Lead();
    Message rejection;
    rejection.kind = MessageKind::kAppendEntriesReply;
    rejection.from = 3;
    rejection.to = 1;
    rejection.term = log->term();
    rejection.index = 5;
    Handle(Received{rejection});
  }
  void Confirm(std::uint64_t offset) {
    Message reply;
    reply.kind = MessageKind::kInstallSnapshotReply;
    reply.from = 3;
    reply.to = 1;
    reply.term = log->term();
    reply.index = 5;
    reply.offset = offset;
    Handle(Received{reply});
  }
  std::size_t ChunkBytes() const {
    std::size_t bytes = 0;
    for (const Message& m : Sent(MessageKind::kInstallSnapshot)) bytes += m.chunk.size();
    return bytes;
  }
};

// A follower that is slow to confirm a chunk must not be sent it with each heartbeat.
TEST(LogRules, HeartbeatsDoNotRepeatASnapshotChunk) {
  SnapshotSender leader;
  ASSERT_EQ(leader.ChunkBytes(), Settings{}.max_message_bytes);
  std::size_t bytes = 0;
  int heartbeats = 0;
  constexpr int kIntervals = 32;
  for (int interval = 0; interval < kIntervals; ++interval) {
    leader.now += Settings{}.heartbeat_interval;
    leader.Receive(MessageKind::kAppendEntriesReply, 2, leader.log->term(), 6, 0, true);
    leader.Handle(Tick{});
    bytes += leader.ChunkBytes();
    for (const Message& m : leader.Sent(MessageKind::kInstallSnapshot)) heartbeats += m.to == 3 ? 1 : 0;
    leader.Confirm(0);
    bytes += leader.ChunkBytes();
  }
  EXPECT_GE(heartbeats, kIntervals - 2) << "the follower must hear from the leader";
  EXPECT_GE(bytes, Settings{}.max_message_bytes) << "a chunk that was lost must be sent again";
  EXPECT_LE(bytes, 5 * Settings{}.max_message_bytes);
}

// Each confirmation of a repeated chunk would send the next chunk once more, for the rest of the transfer.
TEST(LogRules, RepeatedConfirmationsSendTheNextChunkOnce) {
  SnapshotSender leader;
  std::size_t bytes = 0;
  for (int confirmation = 0; confirmation < 5; ++confirmation) {
    leader.Confirm(Settings{}.max_message_bytes);
    bytes += leader.ChunkBytes();
  }
  EXPECT_EQ(bytes, Settings{}.max_message_bytes);
}

}  // namespace
}  // namespace heronway::cluster::log
