// Tests of the membership protocol in virtual time. Each test covers one way in which views could become
// wrong.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "bench/cluster/world.h"

namespace heronway::cluster {
namespace {

constexpr Micros kSecond = 1'000'000;

struct Fleet : World {
  explicit Fleet(int members, std::uint64_t seed = 1) : Fleet(MakeOptions(members, seed)) {}
  explicit Fleet(const Options& options) : World(options) {
    on_member_changed = [this](int, const MemberChanged& c) {
      if (c.record.state == MemberState::kDead) ++dead[c.record.id.name];
    };
    for (int i = 0; i < size(); ++i) Start(i);
    RunFor(10 + size() / 10);
    EXPECT_TRUE(Converged());
  }
  static Options MakeOptions(int members, std::uint64_t seed) {
    Options o;
    o.members = members;
    o.seed = seed;
    return o;
  }
  void RunFor(double seconds) { RunUntil(now() + static_cast<Micros>(seconds * 1e6)); }
  bool Converged() {
    for (int i = 0; i < size(); ++i) {
      if (node(i).up && node(i).core->fleet_size() != size()) return false;
    }
    return ViewsEqual();
  }
  std::map<std::string, int> dead;  // verdicts in all views, by member name
};

Message ForgedUpdate(Fleet& fleet, int about, MemberState state, std::uint32_t incarnation,
                     BootId boot_id_offset = 0) {
  Message m;
  m.from = fleet.node(1).core->self();
  MemberRecord r = fleet.node(about).core->self();
  r.state = state;
  r.incarnation = incarnation;
  r.id.boot_id += boot_id_offset;
  m.updates.push_back(Update{r, "s1", 0});
  return m;
}

TEST(Membership, AllDetectADeadMemberAndItsReturn) {
  Fleet fleet(10);
  fleet.Kill(3);
  fleet.RunFor(5);
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(i == 3 || fleet.StateInView(i, 3) == MemberState::kDead);
  EXPECT_EQ(fleet.dead.size(), 1u);
  fleet.Start(3);
  fleet.RunFor(3);
  EXPECT_TRUE(fleet.Converged());
}

TEST(Membership, ALeaveIsNotAFailure) {
  Fleet fleet(5);
  std::vector<QuorumState> reported;
  fleet.on_quorum_state_changed = [&](int, const QuorumStateChanged& s) {
    reported.push_back(s.quorum_state);
  };
  fleet.Leave(2);
  fleet.RunFor(1.2);
  for (int i : {0, 1, 3, 4}) EXPECT_EQ(fleet.StateInView(i, 2), MemberState::kLeft);
  const std::uint64_t sent = fleet.node(2).datagrams;
  Message ping;
  ping.kind = MessageKind::kPing;
  ping.from = fleet.node(0).core->self();
  fleet.Deliver(2, ping);
  fleet.RunFor(10);
  EXPECT_EQ(fleet.node(2).datagrams, sent) << "nothing is sent after the leave";
  fleet.Kill(2);
  fleet.RunFor(20);
  EXPECT_TRUE(fleet.dead.empty());
  EXPECT_TRUE(reported.empty()) << "a member that left does not count as missing";
}

// A member that was suspended for 10 s must not suspect others because of messages that it missed itself.
TEST(Membership, AStalledMemberSuspectsNobody) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(6, seed);
    fleet.Pause(1, fleet.now() + 10 * kSecond);
    fleet.RunFor(12);
    const std::set<std::string> only{"s1"};
    for (const auto& [name, n] : fleet.dead) EXPECT_TRUE(only.contains(name)) << name << " seed " << seed;
    EXPECT_EQ(fleet.node(1).core->counters().verdicts, 0u);
    EXPECT_EQ(fleet.node(1).core->counters().stalls, 1u);
    EXPECT_EQ(fleet.node(1).core->counters().suspicions, 0u) << "probes in flight are cancelled";
    fleet.RunFor(8);
    EXPECT_TRUE(fleet.Converged()) << seed;
  }
}

// The member held a suspicion when it was suspended, and missed the refutation.
TEST(Membership, AStallExtendsSuspicions) {
  Fleet fleet(6);
  Message m = ForgedUpdate(fleet, 0, MemberState::kSuspect, 0);
  m.from = fleet.node(3).core->self();
  fleet.Deliver(1, m);
  ASSERT_EQ(fleet.StateInView(1, 0), MemberState::kSuspect);
  fleet.Pause(1, fleet.now() + 20 * kSecond);
  fleet.RunFor(30);
  EXPECT_EQ(fleet.node(1).core->counters().verdicts, 0u);
  EXPECT_TRUE(fleet.Converged());
}

// SWIM, section 4.3: every member is probed within two rounds, which bounds the time to the first suspicion.
TEST(Membership, EveryMemberIsProbedWithinTwoRounds) {
  Fleet fleet(12);
  std::map<std::pair<int, int>, int> probed;
  fleet.intercept = [&](int from, int to, Message& m) {
    if (m.kind == MessageKind::kPing) ++probed[{from, to}];
    return true;
  };
  fleet.RunFor(0.5 * 2 * 11 + 2);
  EXPECT_EQ(probed.size(), 12u * 11u);
}

TEST(Membership, OneWayLinkCausesNoVerdict) {
  Fleet fleet(5);
  fleet.link = [](int from, int to) { return !(from == 0 && to == 1); };
  fleet.RunFor(120);
  EXPECT_TRUE(fleet.dead.empty()) << "indirect probes reach both";
  EXPECT_TRUE(fleet.Converged());
}

void ExpectHeals(int members, int parts, double cut_s, Micros forget, double heal_s) {
  World::Options options = Fleet::MakeOptions(members, 7);
  options.forget_after = forget;
  Fleet fleet(options);
  // Four parts are the result of two overlapping partitions.
  fleet.link = [=](int a, int b) { return a * parts / members == b * parts / members; };
  fleet.RunFor(cut_s);
  if (cut_s >= 10) {
    EXPECT_FALSE(fleet.IsPresentInView(0, members - 1));
    EXPECT_NE(fleet.node(members - 1).core->quorum_state(), QuorumState::kAllPresent);
  }
  fleet.link = [](int, int) { return true; };
  fleet.RunFor(heal_s);
  EXPECT_TRUE(fleet.Converged()) << parts << " parts for " << cut_s << " s";
  for (int i = 0; i < members; ++i) EXPECT_EQ(fleet.node(i).core->quorum_state(), QuorumState::kAllPresent);
}

TEST(Membership, PartitionsHealWithoutAnOperator) {
  for (const double cut_s : {1.0, 10.0}) {
    for (const int parts : {2, 3, 4, 9}) ExpectHeals(9, parts, cut_s, 3600 * kSecond, 7);
  }
  ExpectHeals(40, 2, 60, 3600 * kSecond, 15);
}

// Both sides have forgotten each other; the addresses in `join` merge them again.
TEST(Membership, APartitionLongerThanForgetAfterHeals) {
  World::Options options = Fleet::MakeOptions(9, 7);
  options.forget_after = 20 * kSecond;
  Fleet fleet(options);
  fleet.link = [](int a, int b) { return (a < 4) == (b < 4); };
  fleet.RunFor(60);
  EXPECT_EQ(fleet.node(8).core->Members().size(), 5u) << "the far side is forgotten";
  fleet.link = [](int, int) { return true; };
  fleet.RunFor(30);
  EXPECT_TRUE(fleet.Converged());
}

TEST(Membership, QuorumStateInAPartition) {
  Fleet fleet(5);
  fleet.link = [](int a, int b) { return (a < 2) == (b < 2); };
  fleet.RunFor(15);
  EXPECT_EQ(fleet.node(0).core->quorum_state(), QuorumState::kMinority);
  EXPECT_EQ(fleet.node(4).core->quorum_state(), QuorumState::kMajority);
  fleet.link = [](int a, int b) { return a == b; };
  fleet.RunFor(15);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(fleet.node(i).core->quorum_state(), QuorumState::kIsolated);
}

TEST(Membership, TenRestartsInTenSeconds) {
  Fleet fleet(7);
  for (int n = 0; n < 10; ++n) {
    fleet.Kill(4);
    fleet.RunFor(0.5);
    fleet.Start(4);
    fleet.RunFor(0.5);
  }
  fleet.RunFor(10);
  EXPECT_TRUE(fleet.Converged());
  for (const MemberView& v : fleet.node(0).core->Members()) {
    if (v.record.id.name == "s4") {
      EXPECT_EQ(v.record.id, fleet.node(4).core->self().id) << "only the latest boot is listed";
    }
  }
}

// The machine's clock was an hour ahead before the restart, so the new process would get a lower boot id.
TEST(Membership, AClockSetBackDoesNotLowerTheBootId) {
  Fleet fleet(5);
  fleet.node(2).clock_offset = 3600 * kSecond;
  fleet.Kill(2);
  fleet.RunFor(5);
  fleet.Start(2);
  fleet.RunFor(5);
  const BootId ahead = fleet.node(2).core->self().id.boot_id;
  fleet.Kill(2);
  fleet.RunFor(5);
  fleet.node(2).clock_offset = 0;
  fleet.Start(2);
  fleet.RunFor(10);
  EXPECT_GT(fleet.node(2).core->self().id.boot_id, ahead);
  EXPECT_TRUE(fleet.Converged());
}

// Two processes may share a name during an upgrade, until the older one leaves. If both stay, each member
// reports it.
TEST(Membership, DuplicateNamesAreReported) {
  Fleet fleet(4);
  int reported = 0;
  fleet.on_duplicate_name = [&](int, const DuplicateName& t) { reported += t.name == "s1"; };
  fleet.Kill(3);
  fleet.node(3).self.id.name = "s1";  // another process, another address
  fleet.Start(3);
  fleet.RunFor(30);
  EXPECT_EQ(reported, 0) << "within the time allowed for an upgrade";
  fleet.RunFor(60);
  EXPECT_GE(reported, 3) << "each member reports it";
  EXPECT_EQ(fleet.node(0).core->fleet_size(), 3) << "a name counts once";
  EXPECT_EQ(fleet.node(1).core->fleet_size(), 3) << "also the member's own name";
  EXPECT_EQ(fleet.node(0).core->Members().size(), 5u) << "both processes are listed";
  fleet.Leave(1);
  fleet.RunFor(5);
  reported = 0;
  fleet.RunFor(120);
  EXPECT_EQ(reported, 0);
  EXPECT_EQ(fleet.StateInView(0, 1), MemberState::kAlive) << "the newer boot represents the name";
}

TEST(Membership, ARollingRestartCausesNoVerdict) {
  Fleet fleet(30);
  for (int i = 0; i < 30; ++i) {
    fleet.Leave(i);
    fleet.RunFor(1.2);
    fleet.Kill(i);
    fleet.RunFor(0.3);
    fleet.Start(i, {(i + 1) % 30, (i + 2) % 30});
    fleet.RunFor(0.5);
  }
  fleet.RunFor(10);
  EXPECT_TRUE(fleet.Converged());
  EXPECT_TRUE(fleet.dead.empty());
}

TEST(Membership, JoinAddressesThatAreDownOrOwn) {
  World fleet(Fleet::MakeOptions(4, 3));
  fleet.Start(0, {0, 2});  // its own, and one that is down
  fleet.Start(1, {3});
  fleet.RunUntil(fleet.now() + 20 * kSecond);
  EXPECT_EQ(fleet.node(0).core->quorum_state(), QuorumState::kIsolated);
  EXPECT_EQ(fleet.node(1).core->quorum_state(), QuorumState::kIsolated);
  fleet.Start(3, {0});
  fleet.Start(2, {0});
  fleet.RunUntil(fleet.now() + 15 * kSecond);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(fleet.node(i).core->fleet_size(), 4);
  World::Options relayed = Fleet::MakeOptions(1, 3);
  relayed.join_port = 9;  // a forwarded port of its own address
  EXPECT_EQ(Fleet(relayed).node(0).core->quorum_state(), QuorumState::kAllPresent);
  Fleet only(Fleet::MakeOptions(1, 3));
  EXPECT_EQ(only.node(0).core->quorum_state(), QuorumState::kAllPresent)
      << "its own address is not another member";
}

TEST(Membership, JoinDuringAPartition) {
  Fleet fleet(6);
  fleet.Kill(5);
  fleet.RunFor(8);
  fleet.link = [](int a, int b) { return (a < 3) == (b < 3); };
  fleet.RunFor(8);
  fleet.Start(5, {0, 4});  // addresses on both sides of the partition
  fleet.RunFor(8);
  EXPECT_TRUE(fleet.IsPresentInView(5, 4));
  EXPECT_FALSE(fleet.IsPresentInView(0, 5));
  fleet.link = [](int, int) { return true; };
  fleet.RunFor(15);
  EXPECT_TRUE(fleet.Converged());
}

// After a member dies, each of the first 120 datagrams in turn is lost, or is delivered a minute late.
TEST(Membership, ADatagramLostOrLateInEachPosition) {
  for (const bool late : {false, true}) {
    for (int position = 0; position < 120; ++position) {
      Fleet fleet(3);
      int n = 0;
      std::vector<std::pair<int, Message>> held;
      fleet.intercept = [&](int, int to, Message& m) {
        if (n++ != position) return true;
        held.emplace_back(to, m);
        return false;
      };
      fleet.Kill(2);
      fleet.RunFor(9);
      EXPECT_EQ(fleet.StateInView(0, 2), MemberState::kDead) << position;
      EXPECT_EQ(fleet.StateInView(1, 2), MemberState::kDead) << position;
      EXPECT_TRUE(fleet.IsPresentInView(0, 1) && fleet.IsPresentInView(1, 0)) << position;
      fleet.Start(2);
      fleet.RunFor(60);
      for (auto& [to, message] : held) {
        if (late) fleet.Deliver(to, message);
      }
      fleet.RunFor(5);
      EXPECT_TRUE(fleet.Converged()) << position;
    }
  }
}

TEST(Membership, LossDelayAndDuplicatesCauseNoVerdict) {
  World::Options options = Fleet::MakeOptions(30, 5);
  options.loss_rate = 0.05;
  options.duplicate_rate = 0.2;
  options.max_delay = 60'000;
  Fleet fleet(options);
  for (int n = 0; n < 240; ++n) {
    if (n % 6 == 0) {
      for (int i = 0; i < 30; i += 10) fleet.Pause(i, fleet.now() + 240'000);
    }
    fleet.RunFor(0.5);
  }
  EXPECT_TRUE(fleet.dead.empty());
}

// Forged boot ids and incarnations, up to the maximum, must not leave a living member dead permanently.
TEST(Membership, ForgedIncarnationsAndBootIdsAreRefuted) {
  Fleet fleet(5);
  fleet.Deliver(0, ForgedUpdate(fleet, 2, MemberState::kDead, kMaxIncarnation));
  fleet.RunFor(10);
  EXPECT_TRUE(fleet.Converged()) << "the highest incarnation";
  fleet.Deliver(0, ForgedUpdate(fleet, 2, MemberState::kLeft, 100));
  fleet.RunFor(10);
  EXPECT_TRUE(fleet.Converged()) << "a leave that it did not announce";
  fleet.Deliver(0, ForgedUpdate(fleet, 2, MemberState::kAlive, 7, 1'000'000));
  fleet.RunFor(10);
  EXPECT_TRUE(fleet.Converged()) << "a higher boot id";
  const std::size_t known = fleet.node(0).core->Members().size();
  fleet.Deliver(0, ForgedUpdate(fleet, 2, MemberState::kAlive, 0, kMaxBootId));
  EXPECT_EQ(fleet.node(0).core->Members().size(), known);
  EXPECT_EQ(fleet.node(0).core->Find("s2")->record.id, fleet.node(2).core->self().id) << "above the maximum";
}

TEST(Membership, HalfOfTheFleetKilledAtOnce) {
  Fleet fleet(60);
  for (int i = 30; i < 60; ++i) fleet.Kill(i);
  fleet.RunFor(25);
  for (int i = 0; i < 30; ++i) EXPECT_EQ(fleet.node(i).core->fleet_size(), 30);
  for (int i = 0; i < 30; ++i) EXPECT_EQ(fleet.node(i).core->quorum_state(), QuorumState::kMinority);
  for (const auto& [name, n] : fleet.dead) EXPECT_GE(std::stoi(name.substr(1)), 30) << "a living member";
}

TEST(Membership, DeadMembersAreForgotten) {
  World::Options options = Fleet::MakeOptions(5, 2);
  options.forget_after = 30 * kSecond;
  Fleet fleet(options);
  fleet.Kill(4);
  fleet.RunFor(20);
  EXPECT_EQ(fleet.node(0).core->Members().size(), 5u);
  fleet.RunFor(60);  // exchanges must not keep the record circulating
  for (int i = 0; i < 4; ++i) EXPECT_EQ(fleet.node(i).core->Members().size(), 4u);
  Message late = ForgedUpdate(fleet, 3, MemberState::kDead, 0);
  late.updates[0].record.id = {"s4", 7};
  late.updates[0].record.endpoint.port = 9;
  fleet.Deliver(0, late);
  EXPECT_EQ(fleet.node(0).core->Members().size(), 4u) << "late gossip about a forgotten member is ignored";
}

TEST(Membership, TheSameSeedGivesTheSameRun) {
  const auto run_fleet = [](std::uint64_t seed) {
    Fleet fleet(12, seed);
    fleet.Kill(3);
    fleet.RunFor(20);
    std::vector<std::uint64_t> sums;
    for (int i = 0; i < 12; ++i) sums.push_back(fleet.node(i).datagrams);
    return sums;
  };
  EXPECT_EQ(run_fleet(4), run_fleet(4));
  EXPECT_NE(run_fleet(4), run_fleet(5));
}

// Applies every sequence of four updates about one member to another member. A verdict may be reverted only
// by a higher incarnation or boot id.
TEST(Membership, VerdictsAreNotReverted) {
  struct Step {
    MemberState state;
    std::uint32_t incarnation;
    BootId boot_id;
  };
  std::vector<Step> steps;
  for (const MemberState s :
       {MemberState::kAlive, MemberState::kSuspect, MemberState::kDead, MemberState::kLeft}) {
    for (std::uint32_t i : {0U, 1U}) {
      for (BootId l : {10U, 11U}) steps.push_back({s, i, l});
    }
  }
  long sequences = 0;
  const auto of = [](std::string name, std::uint32_t ip, BootId boot_id) {
    MemberRecord r;
    r.id = {std::move(name), boot_id};
    r.endpoint = {ip, 1};
    return r;
  };
  for (std::size_t h = 0; h < steps.size() * steps.size() * steps.size() * steps.size(); ++h, ++sequences) {
    Membership core({}, of("me", 1, 5), 1, 0);
    std::tuple<BootId, std::uint32_t, MemberState> latest{0, 0, MemberState::kAlive};
    std::size_t rest = h;
    for (int n = 0; n < 4; ++n, rest /= steps.size()) {
      const Step& s = steps[rest % steps.size()];
      Message m;
      m.from = of("other", 2, 5);
      MemberRecord r = of("third", 3, s.boot_id);
      r.state = s.state;
      r.incarnation = s.incarnation;
      m.updates.push_back(Update{r, "other", 0});
      std::vector<Effect> effects;
      core.Handle(n, Received{m}, effects);
      const MemberView* v = core.Find("third");
      if (v == nullptr) continue;
      const std::tuple now{v->record.id.boot_id, v->record.incarnation, v->record.state};
      ASSERT_GE(now, latest);
      latest = now;
    }
  }
  EXPECT_EQ(sequences, 65536);
}

// Runs every sequence of five faults of five kinds on three members. Once all are up and can reach each
// other, their views converge, and no view reverts a verdict with the same incarnation.
TEST(Membership, EveryShortFaultSequenceConverges) {
  constexpr int kFaultKinds = 5, kSteps = 5;
  int sequences = 0;
  for (int h = 0; h < 3125; ++h, ++sequences) {
    Fleet fleet(3, static_cast<std::uint64_t>(h) + 1);
    bool cut_both_ways = false, cut_one_way = false;
    fleet.link = [&](int a, int b) {
      return !(cut_both_ways && a + b == 1) && !(cut_one_way && a == 0 && b == 2);
    };
    std::map<std::pair<int, MemberId>, std::pair<std::uint64_t, std::uint32_t>> verdicts;
    fleet.on_member_changed = [&](int i, const MemberChanged& c) {
      const std::uint64_t run = fleet.node(i).run;
      const auto key = std::pair(i, c.record.id);
      if (c.record.state == MemberState::kDead) verdicts[key] = {run, c.record.incarnation};
      const auto it = verdicts.find(key);
      if (c.record.state > MemberState::kSuspect || it == verdicts.end() || it->second.first != run) return;
      EXPECT_GT(c.record.incarnation, it->second.second) << "sequence " << h;
    };
    int rest = h;
    for (int n = 0; n < kSteps; ++n, rest /= kFaultKinds) {
      switch (rest % kFaultKinds) {
        case 0:
          cut_both_ways = !cut_both_ways;
          break;
        case 1:
          cut_one_way = !cut_one_way;
          break;
        case 2:
          fleet.node(1).up ? fleet.Kill(1) : fleet.Start(1);
          break;
        case 3:
          fleet.Pause(2, fleet.now() + 2 * kSecond);
          break;
        default:
          fleet.RunFor(4);
      }
      fleet.RunFor(0.6);
    }
    cut_both_ways = cut_one_way = false;
    if (!fleet.node(1).up) fleet.Start(1);
    fleet.RunFor(14);
    ASSERT_TRUE(fleet.Converged()) << "sequence " << h;
  }
  EXPECT_EQ(sequences, 3125);
}

TEST(QuorumState, ShortChangesAreNotReported) {
  QuorumStateFilter watch(1'000'000, 2'000'000);
  EXPECT_FALSE(watch.Observe(0, QuorumState::kAllPresent));
  EXPECT_TRUE(watch.Observe(2'000'000, QuorumState::kAllPresent));
  EXPECT_FALSE(watch.Observe(3'000'000, QuorumState::kMajority));
  EXPECT_FALSE(watch.Observe(3'500'000, QuorumState::kAllPresent));
  EXPECT_FALSE(watch.Observe(4'000'000, QuorumState::kMinority));
  EXPECT_TRUE(watch.Observe(5'000'000, QuorumState::kMinority));
}

TEST(QuorumState, EvaluatedAgainstKnownMembers) {
  EXPECT_EQ(EvaluateQuorum(1, 1, false), QuorumState::kAllPresent);
  EXPECT_EQ(EvaluateQuorum(1, 1, true), QuorumState::kIsolated);
  EXPECT_EQ(EvaluateQuorum(3, 1, false), QuorumState::kIsolated);
  EXPECT_EQ(EvaluateQuorum(4, 2, false), QuorumState::kMinority);
  EXPECT_EQ(EvaluateQuorum(5, 3, false), QuorumState::kMajority);
}

// After a mass failure the survivors must not triple the load that each sends to cold workers in one step.
// Growth applies at once.
TEST(SmoothedFleetSize, ShrinksSlowlyAndGrowsAtOnce) {
  SmoothedFleetSize size(3, 30'000'000);
  EXPECT_EQ(size.Observe(0, 90), 90);
  for (int s = 1; s <= 8; ++s) EXPECT_GE(size.Observe(s * 1'000'000, 20), 74) << "within a slow start";
  EXPECT_EQ(size.Observe(9'000'000, 90), 90);
  Micros now = 9'000'000;
  for (int s = 0; s < 300; ++s) size.Observe(now += 1'000'000, 1);
  EXPECT_EQ(size.size(), 3) << "the minimum";
}

}  // namespace
}  // namespace heronway::cluster
