// The replicated log's rules one by one, on one server whose messages and disk are played by hand: what
// longer schedules reach too seldom to show.
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

// Server 1 of 1, 2 and 3.
class SingleServer {
 public:
  explicit SingleServer(std::vector<ServerId> voters = {1, 2, 3}, std::vector<EntryPtr> entries = {},
                        HardState hard_state = {}) {
    auto beginning = std::make_shared<Snapshot>();
    beginning->configuration.voters = std::move(voters);
    log = std::make_unique<Log>(Settings{}, 1, PersistentState{hard_state, beginning, std::move(entries)}, 5,
                                now);
  }
  void Handle(Event event) {
    effects.clear();
    log->Handle(now, std::move(event), effects);
    for (const Effect& e : effects) {
      if (const auto* p = std::get_if<Persist>(&e)) last_write = p->number;
    }
  }
  void Sync() { Handle(Persisted{last_write}); }
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
  std::uint64_t last_write = 0;
};

TEST(LogRules, ALeaderThatIsHeardIsKept) {
  SingleServer server;
  server.Append(2, 1, 0, 0, {});
  server.Sync();
  server.Receive(MessageKind::kPreVote, 3, 2, 9, 9);
  EXPECT_TRUE(server.Sent(MessageKind::kPreVoteReply).empty());
  server.Receive(MessageKind::kRequestVote, 3, 2, 9, 9);
  EXPECT_EQ(server.log->term(), 1u);
  server.now += kSecond;  // it is silent now
  server.Receive(MessageKind::kPreVote, 3, 2, 9, 9);
  ASSERT_EQ(server.Sent(MessageKind::kPreVoteReply).size(), 1u);
  EXPECT_TRUE(server.Sent(MessageKind::kPreVoteReply)[0].accepted);
  EXPECT_EQ(server.log->term(), 1u) << "a pre-hard_state raises no term";
}

TEST(LogRules, NoVoteForOneThatLacksEntries) {
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

TEST(LogRules, NothingOfATermIsToldBeforeItIsOnDisk) {
  SingleServer server;
  server.Receive(MessageKind::kRequestVote, 2, 5);
  EXPECT_TRUE(server.Sent(MessageKind::kRequestVoteReply).empty());
  server.Sync();
  EXPECT_EQ(server.Sent(MessageKind::kRequestVoteReply).size(), 1u);
  SingleServer alone({1});
  alone.now += 3 * kSecond;
  alone.Handle(Tick{});
  EXPECT_NE(alone.log->role(), Role::kLeader) << "its own hard_state is not on disk";
  alone.Sync();
  EXPECT_EQ(alone.log->role(), Role::kLeader);
}

// What replaces entries that were on disk is not on disk: an answer must not count the old ones.
TEST(LogRules, AnAnswerTellsWhatIsOnDiskOfThisLeader) {
  SingleServer server({1, 2, 3}, {MakeEntry(1), MakeEntry(1), MakeEntry(1)}, HardState{1, 0});
  server.Append(2, 2, 0, 0, {});
  server.Sync();  // the term is on disk: answers leave at once
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

TEST(LogRules, MembersThatAreTakenBackAreNotInForce) {
  SingleServer server({1, 2, 3}, {MakeEntry(1), MakeEntry(1, EntryKind::kConfiguration, {{1, 2, 3, 4}, {}})},
                      HardState{1, 0});
  EXPECT_EQ(server.log->configuration().voters.size(), 4u) << "in force as soon as it is in the log";
  server.Append(2, 2, 1, 1, {MakeEntry(2)});
  EXPECT_EQ(server.log->configuration().voters.size(), 3u);
}

// A new leader may not know of the last leader_commit of the one before it.
TEST(LogRules, NoReadBeforeAnEntryOfItsOwnTermIsCommitted) {
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

// Figure 3.7 of the dissertation: an entry of an older term is on a majority, and may yet be replaced.
TEST(LogRules, AnOlderTermsEntryIsCommittedOnlyWithOneOfItsOwn) {
  SingleServer server({1, 2, 3}, {MakeEntry(1)}, HardState{1, 0});
  server.Lead();
  server.Sync();
  server.Receive(MessageKind::kAppendEntriesReply, 2, server.log->term(), 1, 0, true);
  EXPECT_EQ(server.log->commit_index(), 0u);
  server.Receive(MessageKind::kAppendEntriesReply, 2, server.log->term(), 2, 0, true);
  EXPECT_EQ(server.log->commit_index(), 2u);
}

// Else both go on for ever: it does not hear of the higher term, and the other is not led by it.
TEST(LogRules, ALeaderOfAnOlderTermIsToldOfTheNewer) {
  SingleServer server({1, 2, 3}, {}, HardState{7, 0});
  server.Append(2, 5, 0, 0, {});
  ASSERT_EQ(server.Sent(MessageKind::kAppendEntriesReply).size(), 1u);
  EXPECT_EQ(server.Sent(MessageKind::kAppendEntriesReply)[0].term, 7u);
  EXPECT_FALSE(server.Sent(MessageKind::kAppendEntriesReply)[0].accepted);
}

TEST(LogRules, LeadershipIsHandedToOneThatHasEverything) {
  SingleServer server;
  server.Lead();
  server.Sync();
  server.Handle(TransferLeadership{3});
  EXPECT_TRUE(server.Sent(MessageKind::kTimeoutNow).empty());
  server.Receive(MessageKind::kAppendEntriesReply, 3, server.log->term(), 1, 0, true);
  EXPECT_EQ(server.Sent(MessageKind::kTimeoutNow).size(), 1u);
}

}  // namespace
}  // namespace heronway::cluster::log
