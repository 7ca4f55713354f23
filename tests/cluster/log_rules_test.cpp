// The replicated log's rules one by one, on one server whose messages and disk are played by hand: what
// longer schedules reach too seldom to show.
#include <gtest/gtest.h>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {
namespace {

constexpr Micros kSecond = 1'000'000;

EntryPtr Of(Term term, EntryKind kind = EntryKind::kData, Members members = {}) {
  auto e = std::make_shared<Entry>();
  e->term = term;
  e->kind = kind;
  e->members = std::move(members);
  e->data = "d";
  return e;
}

// Server 1 of 1, 2 and 3.
class One {
 public:
  explicit One(std::vector<ServerId> voters = {1, 2, 3}, std::vector<EntryPtr> entries = {}, Vote vote = {}) {
    auto beginning = std::make_shared<Snapshot>();
    beginning->members.voters = std::move(voters);
    log = std::make_unique<Log>(Settings{}, 1, OnDisk{vote, beginning, std::move(entries)}, 5, now);
  }
  void Do(Event event) {
    effects.clear();
    log->Handle(now, std::move(event), effects);
    for (const Effect& e : effects) {
      if (const auto* p = std::get_if<Persist>(&e)) last_write = p->number;
    }
  }
  void Sync() { Do(Persisted{last_write}); }
  void Get(MessageKind kind, ServerId from, Term term, Index index = 0, Term log_term = 0, bool yes = false) {
    Message m;
    m.kind = kind;
    m.from = from;
    m.to = 1;
    m.term = term;
    m.index = index;
    m.log_term = log_term;
    m.yes = yes;
    Do(Received{m});
  }
  void Append(ServerId from, Term term, Index after, Term after_term, std::vector<EntryPtr> entries,
              Index commit = 0) {
    Message m;
    m.kind = MessageKind::kAppend;
    m.from = from;
    m.to = 1;
    m.term = term;
    m.index = after;
    m.log_term = after_term;
    m.commit = commit;
    m.entries = std::move(entries);
    Do(Received{m});
  }
  void Lead() {
    now += 3 * kSecond;
    Do(Tick{});
    Get(MessageKind::kPreVoteReply, 2, log->term() + 1, 0, 0, true);
    Sync();
    Get(MessageKind::kVoteReply, 2, log->term(), 0, 0, true);
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
  One one;
  one.Append(2, 1, 0, 0, {});
  one.Sync();
  one.Get(MessageKind::kPreVote, 3, 2, 9, 9);
  EXPECT_TRUE(one.Sent(MessageKind::kPreVoteReply).empty());
  one.Get(MessageKind::kVote, 3, 2, 9, 9);
  EXPECT_EQ(one.log->term(), 1u);
  one.now += kSecond;  // it is silent now
  one.Get(MessageKind::kPreVote, 3, 2, 9, 9);
  ASSERT_EQ(one.Sent(MessageKind::kPreVoteReply).size(), 1u);
  EXPECT_TRUE(one.Sent(MessageKind::kPreVoteReply)[0].yes);
  EXPECT_EQ(one.log->term(), 1u) << "a pre-vote raises no term";
}

TEST(LogRules, NoVoteForOneThatLacksEntries) {
  One one({1, 2, 3}, {Of(1), Of(1)}, Vote{1, 0});
  one.Get(MessageKind::kVote, 2, 2, 1, 1);
  one.Sync();
  ASSERT_EQ(one.Sent(MessageKind::kVoteReply).size(), 1u);
  EXPECT_FALSE(one.Sent(MessageKind::kVoteReply)[0].yes);
  one.Get(MessageKind::kVote, 3, 2, 2, 1);
  one.Sync();
  ASSERT_EQ(one.Sent(MessageKind::kVoteReply).size(), 1u);
  EXPECT_TRUE(one.Sent(MessageKind::kVoteReply)[0].yes);
}

TEST(LogRules, NothingOfATermIsToldBeforeItIsOnDisk) {
  One one;
  one.Get(MessageKind::kVote, 2, 5);
  EXPECT_TRUE(one.Sent(MessageKind::kVoteReply).empty());
  one.Sync();
  EXPECT_EQ(one.Sent(MessageKind::kVoteReply).size(), 1u);
  One alone({1});
  alone.now += 3 * kSecond;
  alone.Do(Tick{});
  EXPECT_NE(alone.log->role(), Role::kLeader) << "its own vote is not on disk";
  alone.Sync();
  EXPECT_EQ(alone.log->role(), Role::kLeader);
}

// What replaces entries that were on disk is not on disk: an answer must not count the old ones.
TEST(LogRules, AnAnswerTellsWhatIsOnDiskOfThisLeader) {
  One one({1, 2, 3}, {Of(1), Of(1), Of(1)}, Vote{1, 0});
  one.Append(2, 2, 0, 0, {});
  one.Sync();  // the term is on disk: answers leave at once
  one.Append(2, 2, 1, 1, {Of(2), Of(2)});
  ASSERT_EQ(one.Sent(MessageKind::kAppendReply).size(), 1u);
  EXPECT_EQ(one.Sent(MessageKind::kAppendReply)[0].index, 1u);
  one.Append(2, 2, 3, 2, {});
  for (const Message& m : one.Sent(MessageKind::kAppendReply)) EXPECT_LE(m.index, 1u);
  one.Sync();
  const auto replies = one.Sent(MessageKind::kAppendReply);
  ASSERT_FALSE(replies.empty());
  EXPECT_EQ(replies.back().index, 3u);
}

TEST(LogRules, MembersThatAreTakenBackAreNotInForce) {
  One one({1, 2, 3}, {Of(1), Of(1, EntryKind::kMembers, {{1, 2, 3, 4}, {}})}, Vote{1, 0});
  EXPECT_EQ(one.log->members().voters.size(), 4u) << "in force as soon as it is in the log";
  one.Append(2, 2, 1, 1, {Of(2)});
  EXPECT_EQ(one.log->members().voters.size(), 3u);
}

// A new leader may not know of the last commit of the one before it.
TEST(LogRules, NoReadBeforeAnEntryOfItsOwnTermIsCommitted) {
  One one({1, 2, 3}, {Of(1)}, Vote{1, 0});
  one.Lead();
  one.Do(Read{9});
  const auto refused = [&] {
    return std::any_of(one.effects.begin(), one.effects.end(),
                       [](const Effect& e) { return std::holds_alternative<Refused>(e); });
  };
  EXPECT_TRUE(refused());
  one.Sync();
  one.Get(MessageKind::kAppendReply, 2, one.log->term(), 2, 0, true);
  ASSERT_EQ(one.log->committed(), 2u);
  one.Do(Read{10});
  EXPECT_FALSE(refused());
}

// Figure 3.7 of the dissertation: an entry of an older term is on a majority, and may yet be replaced.
TEST(LogRules, AnOlderTermsEntryIsCommittedOnlyWithOneOfItsOwn) {
  One one({1, 2, 3}, {Of(1)}, Vote{1, 0});
  one.Lead();
  one.Sync();
  one.Get(MessageKind::kAppendReply, 2, one.log->term(), 1, 0, true);
  EXPECT_EQ(one.log->committed(), 0u);
  one.Get(MessageKind::kAppendReply, 2, one.log->term(), 2, 0, true);
  EXPECT_EQ(one.log->committed(), 2u);
}

// Else both go on for ever: it does not hear of the higher term, and the other is not led by it.
TEST(LogRules, ALeaderOfAnOlderTermIsToldOfTheNewer) {
  One one({1, 2, 3}, {}, Vote{7, 0});
  one.Append(2, 5, 0, 0, {});
  ASSERT_EQ(one.Sent(MessageKind::kAppendReply).size(), 1u);
  EXPECT_EQ(one.Sent(MessageKind::kAppendReply)[0].term, 7u);
  EXPECT_FALSE(one.Sent(MessageKind::kAppendReply)[0].yes);
}

TEST(LogRules, LeadershipIsHandedToOneThatHasEverything) {
  One one;
  one.Lead();
  one.Sync();
  one.Do(Transfer{3});
  EXPECT_TRUE(one.Sent(MessageKind::kTimeoutNow).empty());
  one.Get(MessageKind::kAppendReply, 3, one.log->term(), 1, 0, true);
  EXPECT_EQ(one.Sent(MessageKind::kTimeoutNow).size(), 1u);
}

}  // namespace
}  // namespace heronway::cluster::log
