// The replicated log on a simulated cluster: Raft's safety properties on all short schedules and on long
// random ones, and separate tests for cases that these reach rarely.
#include "src/cluster/log/log.h"

#include <gtest/gtest.h>

#include "bench/cluster/log_schedules.h"

namespace heronway::cluster::log {
namespace {

constexpr Micros kMs = 1'000;

Settings SmallLimits() {
  Settings s;
  s.max_message_bytes = 64;
  s.max_inflight_bytes = 256;
  s.trailing_entries = 2;
  return s;
}

// A cluster that delivers messages and syncs disks at once, except over `blocked_links` and while
// `disks_sync` is false.
struct TestCluster {
  SimulatedCluster sim;
  std::set<std::pair<ServerId, ServerId>> blocked_links;  // from, to
  bool disks_sync = true;
  explicit TestCluster(int servers, int voters, const Settings& settings = SmallLimits())
      : sim(settings, servers, voters, 3) {}
  void Run(int steps) {  // 50 ms each
    for (int n = 0; n < steps; ++n) {
      sim.AdvanceTime(50 * kMs);
      for (int i = 0; i < Size(); ++i) sim.Tick(i);
      DeliverAll();
    }
  }
  void DeliverAll() {
    for (int turn = 0; turn < 100'000; ++turn) {
      bool synced = false;
      for (int i = 0; i < Size() && disks_sync; ++i) {
        for (; At(i).up && !At(i).pending_writes.empty(); synced = true) sim.Sync(i);
      }
      if (sim.messages_in_flight().empty() && !synced) return;
      if (sim.messages_in_flight().empty()) continue;
      const Message& m = sim.messages_in_flight().front();
      blocked_links.contains({m.from, m.to}) ? sim.Drop(0) : sim.Deliver(0, false);
    }
  }
  int Size() const { return static_cast<int>(sim.servers().size()); }
  const SimulatedCluster::Server& At(int i) const { return sim.servers()[static_cast<std::size_t>(i)]; }
  int Leader() const {
    int found = -1;
    for (int i = 0; i < Size(); ++i) {
      if (At(i).up && At(i).log.role() == Role::kLeader &&
          (found < 0 || At(i).log.term() > At(found).log.term()))
        found = i;
    }
    return found;
  }
  int Elect() {
    for (int n = 0; n < 200 && Leader() < 0; ++n) Run(1);
    Run(4);
    return Leader();
  }
  void Isolate(int server) {
    for (int i = 0; i < Size(); ++i) {
      blocked_links.insert({At(i).id, At(server).id});
      blocked_links.insert({At(server).id, At(i).id});
    }
  }
  void ProposeEntries(int server, int entries) {
    for (int n = 0; n < entries; ++n) sim.Propose(server, "entry " + std::to_string(n));
    DeliverAll();
  }
};

TEST(Log, AllShortSchedulesAreSafe) {
  ExplorationBudget b;
  b.max_states = 15'000;
  b.heartbeats = 0;
  b.crashes = 0;
  const ExplorationResult two = Explore(b);
  EXPECT_EQ(two.violation, "");
  b.proposals = 1;
  b.timeouts = 1;
  b.crashes = 1;
  const ExplorationResult crash = Explore(b);
  EXPECT_EQ(crash.violation, "");
  b.duplicates = 1;
  b.crashes = 0;
  b.slow_disks = true;
  const ExplorationResult slow = Explore(b);
  EXPECT_EQ(slow.violation, "");
  EXPECT_GT(two.states + crash.states + slow.states, 30'000u);
}

TEST(Log, LongRandomSchedulesAreSafe) {
  std::uint64_t committed = 0, snapshots_restored = 0, led = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    RandomScheduleOptions c;
    c.seed = seed;
    c.steps = 20'000;
    c.voters = seed % 2 == 0 ? 3 : 5;
    const RandomScheduleResult p = RunRandomSchedule(c);
    EXPECT_EQ(p.violation, "") << "seed " << seed;
    committed += p.committed;
    snapshots_restored += p.snapshots;
    led += p.elections;
  }
  EXPECT_GT(committed, 1'000u) << "the schedules must let the cluster make progress";
  EXPECT_GT(snapshots_restored, 10u);
  EXPECT_GT(led, 30u);
}

TEST(Log, EqualSeedsGiveEqualResults) {
  RandomScheduleOptions c;
  c.steps = 5'000;
  const RandomScheduleResult a = RunRandomSchedule(c), b = RunRandomSchedule(c);
  EXPECT_EQ(a.committed, b.committed);
  EXPECT_EQ(a.elections, b.elections);
}

TEST(Log, APartitionedLeaderCommitsNothingAndStepsDown) {
  TestCluster cluster(3, 3);
  const int old = cluster.Elect();
  ASSERT_GE(old, 0);
  cluster.Isolate(old);
  const std::size_t before = cluster.sim.committed_count();
  cluster.ProposeEntries(old, 3);
  EXPECT_EQ(cluster.sim.committed_count(), before);
  cluster.Run(60);
  EXPECT_NE(cluster.At(old).log.role(), Role::kLeader) << "it has no contact to a majority";
  const int next = cluster.Leader();
  ASSERT_GE(next, 0);
  ASSERT_NE(next, old);
  cluster.ProposeEntries(next, 1);
  cluster.blocked_links.clear();
  cluster.Run(20);
  EXPECT_EQ(cluster.At(old).log.leader(), cluster.At(next).id);
  EXPECT_EQ(cluster.At(old).machine.history_hash, cluster.At(next).machine.history_hash)
      << "its uncommitted entries are discarded";
  EXPECT_EQ(cluster.sim.violation(), "");
}

// A server that returns after a long partition must not depose an active leader with a higher term.
TEST(Log, AReturningServerDoesNotDeposeTheLeader) {
  TestCluster cluster(3, 3);
  const int leader = cluster.Elect();
  const Term term = cluster.At(leader).log.term();
  const int away = (leader + 1) % 3;
  cluster.Isolate(away);
  cluster.Run(200);
  cluster.blocked_links.clear();
  cluster.Run(20);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.At(leader).log.term(), term);
}

// A leader that can send but not receive, or receive but not send, is replaced.
TEST(Log, ALeaderWithAOneWayLinkIsReplaced) {
  for (const bool sends : {true, false}) {
    TestCluster cluster(3, 3);
    const int leader = cluster.Elect();
    const ServerId id = cluster.At(leader).id;
    for (int i = 0; i < 3; ++i)
      cluster.blocked_links.insert(sends ? std::pair{cluster.At(i).id, id} : std::pair{id, cluster.At(i).id});
    cluster.Run(100);
    const std::size_t before = cluster.sim.committed_count();
    const int next = cluster.Leader();
    ASSERT_GE(next, 0);
    ASSERT_NE(next, leader);
    cluster.ProposeEntries(next, 1);
    EXPECT_GT(cluster.sim.committed_count(), before);
    EXPECT_EQ(cluster.sim.violation(), "");
  }
}

TEST(Log, CommitNeedsAMajorityOfDisks) {
  TestCluster cluster(3, 3);
  const int leader = cluster.Elect();
  const std::size_t before = cluster.sim.committed_count();
  cluster.disks_sync = false;
  cluster.ProposeEntries(leader, 1);
  EXPECT_EQ(cluster.sim.committed_count(), before) << "received by all servers, durable on none";
  cluster.sim.Sync((leader + 1) % 3);
  cluster.DeliverAll();
  EXPECT_EQ(cluster.sim.committed_count(), before) << "durable on one of three";
  cluster.sim.Sync((leader + 2) % 3);
  cluster.DeliverAll();
  EXPECT_GT(cluster.sim.committed_count(), before)
      << "durable on two of three, even if the leader's disk is the slow one";
}

TEST(Log, AVoteIsNotSentBeforeItIsDurable) {
  TestCluster cluster(3, 3);
  const int leader = cluster.Elect();
  cluster.Isolate(leader);
  cluster.disks_sync = false;
  cluster.Run(100);
  EXPECT_LE(cluster.sim.terms_with_leader(), 1u) << "no vote is durable";
  cluster.disks_sync = true;
  cluster.Run(60);
  EXPECT_GT(cluster.sim.terms_with_leader(), 1u);
}

TEST(Log, AllServersCrashAndRestart) {
  TestCluster cluster(3, 3);
  cluster.ProposeEntries(cluster.Elect(), 20);
  const std::size_t before = cluster.sim.committed_count();
  for (int i = 0; i < 3; ++i) cluster.sim.Crash(i);
  for (int i = 0; i < 3; ++i) cluster.sim.Start(i);
  const int leader = cluster.Elect();
  ASSERT_GE(leader, 0);
  cluster.ProposeEntries(leader, 1);
  EXPECT_GT(cluster.sim.committed_count(), before);
  cluster.Run(4);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.At(i).machine.applied_index, cluster.sim.committed_count());
}

// A follower whose missing entries were compacted receives a snapshot in chunks; each chunk is lost once.
TEST(Log, SnapshotTransferSurvivesLossOfAnyChunk) {
  for (int lost = 0; lost < 6; ++lost) {
    TestCluster cluster(3, 3);
    const int leader = cluster.Elect(), away = (leader + 1) % 3;
    cluster.sim.Crash(away);
    cluster.ProposeEntries(leader, 30);
    cluster.sim.CompactApplied(leader);
    cluster.ProposeEntries(leader, 10);
    cluster.sim.Start(away);
    int chunks = 0;
    for (int n = 0; n < 60; ++n) {
      cluster.sim.AdvanceTime(50 * kMs);
      for (int i = 0; i < 3; ++i) cluster.sim.Tick(i);
      for (int turn = 0; turn < 1'000 && !cluster.sim.messages_in_flight().empty(); ++turn) {
        for (int i = 0; i < 3; ++i) {
          while (!cluster.At(i).pending_writes.empty()) cluster.sim.Sync(i);
        }
        const bool is_chunk = cluster.sim.messages_in_flight().front().kind == MessageKind::kInstallSnapshot;
        is_chunk&& chunks++ == lost ? cluster.sim.Drop(0) : cluster.sim.Deliver(0, false);
      }
    }
    EXPECT_GE(chunks, 3) << "the snapshot needs more than two chunks";
    EXPECT_EQ(cluster.At(away).machine.history_hash, cluster.At(leader).machine.history_hash)
        << "chunk " << lost;
    EXPECT_EQ(cluster.sim.violation(), "");
  }
}

TEST(Log, LeadershipTransferNeedsNoElectionTimeout) {
  TestCluster cluster(3, 3);
  const int leader = cluster.Elect(), to = (leader + 2) % 3;
  cluster.ProposeEntries(leader, 5);
  cluster.sim.HandleEvent(leader, TransferLeadership{cluster.At(to).id});
  cluster.DeliverAll();
  EXPECT_EQ(cluster.Leader(), to) << "no election timeout has passed";
  const std::size_t before = cluster.sim.committed_count();
  cluster.ProposeEntries(to, 1);
  EXPECT_GT(cluster.sim.committed_count(), before);
}

// The target is down: proposals are rejected until the transfer times out, and accepted again afterwards.
TEST(Log, AFailedTransferTimesOut) {
  TestCluster cluster(3, 3);
  const int leader = cluster.Elect(), to = (leader + 1) % 3;
  cluster.sim.Crash(to);
  cluster.ProposeEntries(leader, 1);
  cluster.sim.HandleEvent(leader, TransferLeadership{cluster.At(to).id});
  const std::uint64_t held = cluster.sim.Propose(leader, "x");
  EXPECT_TRUE(cluster.sim.rejected.contains(held));
  cluster.Run(30);
  const std::size_t before = cluster.sim.committed_count();
  cluster.ProposeEntries(leader, 1);
  EXPECT_GT(cluster.sim.committed_count(), before);
}

TEST(Log, AServerIsAddedAsALearnerAndPromoted) {
  TestCluster cluster(4, 3);
  const int leader = cluster.Elect();
  cluster.ProposeEntries(leader, 10);
  cluster.sim.HandleEvent(leader, ChangeConfiguration{90, ConfigurationChange::kPromote, 4});
  EXPECT_TRUE(cluster.sim.rejected.contains(90)) << "it is not a learner yet";
  cluster.sim.HandleEvent(leader, ChangeConfiguration{91, ConfigurationChange::kAddLearner, 4});
  cluster.DeliverAll();
  cluster.Run(4);
  EXPECT_EQ(cluster.At(3).machine.applied_index, cluster.sim.committed_count());
  cluster.sim.HandleEvent(leader, ChangeConfiguration{92, ConfigurationChange::kPromote, 4});
  cluster.DeliverAll();
  cluster.sim.HandleEvent(leader,
                          ChangeConfiguration{93, ConfigurationChange::kRemove, cluster.At(leader).id});
  cluster.DeliverAll();
  cluster.Run(100);
  const int next = cluster.Leader();
  ASSERT_GE(next, 0);
  EXPECT_NE(next, leader) << "it removed itself";
  EXPECT_EQ(cluster.At(next).log.configuration().voters.size(), 3u);
  cluster.ProposeEntries(next, 1);
  EXPECT_EQ(cluster.sim.violation(), "");
  EXPECT_EQ(cluster.At(3).machine.applied_index, cluster.sim.committed_count());
}

// The error in the membership changes of the 2014 dissertation: a leader that has not committed an entry of
// its own term must not change the configuration.
TEST(Log, NoMembershipChangeBeforeAnEntryOfTheOwnTerm) {
  TestCluster cluster(4, 3);
  cluster.disks_sync = false;
  int leader = -1;
  for (int n = 0; n < 200 && leader < 0; ++n) {
    cluster.Run(1);
    for (int i = 0; i < 4; ++i) {
      // Only votes are synced, not the leader's first entry.
      if (!cluster.At(i).pending_writes.empty() && cluster.At(i).pending_writes.front().hard_state)
        cluster.sim.Sync(i);
    }
    cluster.DeliverAll();
    leader = cluster.Leader();
  }
  ASSERT_GE(leader, 0);
  cluster.sim.HandleEvent(leader, ChangeConfiguration{7, ConfigurationChange::kAddLearner, 4});
  EXPECT_TRUE(cluster.sim.rejected.contains(7));
  cluster.disks_sync = true;
  cluster.Run(4);
  cluster.sim.HandleEvent(leader, ChangeConfiguration{8, ConfigurationChange::kAddLearner, 4});
  EXPECT_TRUE(cluster.sim.proposed.contains(8));
  cluster.sim.HandleEvent(
      leader, ChangeConfiguration{9, ConfigurationChange::kRemove, cluster.At((leader + 1) % 3).id});
  EXPECT_TRUE(cluster.sim.rejected.contains(9)) << "only one change at a time";
}

TEST(Log, ReadsNeedConfirmationByAMajority) {
  TestCluster cluster(3, 3);
  const int leader = cluster.Elect();
  cluster.sim.HandleEvent(leader, ReadIndex{1});
  EXPECT_FALSE(cluster.sim.reads_ready.contains(1));
  cluster.DeliverAll();
  EXPECT_TRUE(cluster.sim.reads_ready.contains(1));
  cluster.Isolate(leader);
  cluster.sim.HandleEvent(leader, ReadIndex{2});
  cluster.Run(60);
  EXPECT_FALSE(cluster.sim.reads_ready.contains(2));
  EXPECT_TRUE(cluster.sim.rejected.contains(2)) << "the client has to ask another server";
}

// A follower whose replies are lost delays nobody, and the bytes in flight to it stay within the limit.
TEST(Log, InflightAndUncommittedBytesAreBounded) {
  TestCluster cluster(3, 3);
  const int leader = cluster.Elect(), deaf = (leader + 1) % 3;
  cluster.blocked_links.insert({cluster.At(deaf).id, cluster.At(leader).id});
  const std::uint64_t before = cluster.sim.bytes;
  cluster.ProposeEntries(leader, 200);
  EXPECT_LT(cluster.sim.bytes - before, 2u * 200 * 12) << "not the whole log twice";
  EXPECT_GE(cluster.sim.committed_count(), 200u);
  Settings small = SmallLimits();
  small.max_uncommitted_bytes = 100;
  TestCluster full(3, 3, small);
  const int alone = full.Elect();
  full.Isolate(alone);
  for (int n = 0; n < 100; ++n) full.sim.Propose(alone, "0123456789");
  EXPECT_GT(full.sim.rejected.size(), 85u) << "proposals that cannot be committed do not accumulate";
}

TEST(Log, ASingleServerCommitsWhenItsDiskIsSynced) {
  TestCluster cluster(1, 1);
  const int leader = cluster.Elect();
  ASSERT_EQ(leader, 0);
  cluster.disks_sync = false;
  const std::size_t before = cluster.sim.committed_count();
  cluster.ProposeEntries(0, 1);
  EXPECT_EQ(cluster.sim.committed_count(), before);
  cluster.sim.Sync(0);
  EXPECT_EQ(cluster.sim.committed_count(), before + 1);
}

}  // namespace
}  // namespace heronway::cluster::log
