// Membership in virtual time: one test for each way in which a fleet's views could go wrong.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "bench/cluster/world.h"

namespace heronway::cluster {
namespace {

constexpr Micros kSecond = 1'000'000;

struct Fleet : World {
  explicit Fleet(int members, std::uint64_t seed = 1) : Fleet(Of(members, seed)) {}
  explicit Fleet(const Options& options) : World(options) {
    on_member_changed = [this](int, const MemberChanged& c) {
      if (c.record.state == MemberState::kDead) ++dead[c.record.id.name];
    };
    for (int i = 0; i < size(); ++i) Start(i);
    For(10 + size() / 10);
    EXPECT_TRUE(Whole());
  }
  static Options Of(int members, std::uint64_t seed) {
    Options o;
    o.members = members;
    o.seed = seed;
    return o;
  }
  void For(double seconds) { RunUntil(now() + static_cast<Micros>(seconds * 1e6)); }
  bool Whole() {
    for (int i = 0; i < size(); ++i) {
      if (node(i).up && node(i).core->fleet_size() != size()) return false;
    }
    return ViewsEqual();
  }
  std::map<std::string, int> dead;  // verdicts, in all views
};

Message Forged(Fleet& fleet, int about, MemberState state, std::uint32_t incarnation, BootId life_more = 0) {
  Message m;
  m.from = fleet.node(1).core->self();
  MemberRecord r = fleet.node(about).core->self();
  r.state = state;
  r.incarnation = incarnation;
  r.id.boot_id += life_more;
  m.updates.push_back(Update{r, "s1", 0});
  return m;
}

TEST(Membership, ADeadMemberIsGivenUpByAllAndAReturnIsSeen) {
  Fleet fleet(10);
  fleet.Kill(3);
  fleet.For(5);
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(i == 3 || fleet.StateInView(i, 3) == MemberState::kDead);
  EXPECT_EQ(fleet.dead.size(), 1u);
  fleet.Start(3);
  fleet.For(3);
  EXPECT_TRUE(fleet.Whole());
}

TEST(Membership, OneThatLeavesIsNotOneThatFails) {
  Fleet fleet(5);
  std::vector<QuorumState> told;
  fleet.on_quorum_state_changed = [&](int, const QuorumStateChanged& s) { told.push_back(s.quorum_state); };
  fleet.Leave(2);
  fleet.For(1.2);
  for (int i : {0, 1, 3, 4}) EXPECT_EQ(fleet.StateInView(i, 2), MemberState::kLeft);
  const std::uint64_t sent = fleet.node(2).datagrams;
  Message ping;
  ping.kind = MessageKind::kPing;
  ping.from = fleet.node(0).core->self();
  fleet.Deliver(2, ping);
  fleet.For(10);
  EXPECT_EQ(fleet.node(2).datagrams, sent) << "nothing after its goodbye";
  fleet.Kill(2);
  fleet.For(20);
  EXPECT_TRUE(fleet.dead.empty());
  EXPECT_TRUE(told.empty()) << "who has left is not missing";
}

// Stopped for 10 s, or asleep: what it missed must not become the others' fault.
TEST(Membership, AMemberThatStoodStillAccusesNobody) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(6, seed);
    fleet.Pause(1, fleet.now() + 10 * kSecond);
    fleet.For(12);
    const std::set<std::string> only{"s1"};
    for (const auto& [name, n] : fleet.dead) EXPECT_TRUE(only.contains(name)) << name << " seed " << seed;
    EXPECT_EQ(fleet.node(1).core->counters().verdicts, 0u);
    EXPECT_EQ(fleet.node(1).core->counters().stalls, 1u);
    EXPECT_EQ(fleet.node(1).core->counters().suspicions, 0u) << "its probes under way are void";
    fleet.For(8);
    EXPECT_TRUE(fleet.Whole()) << seed;
  }
}

// It held a suspicion when it was stopped; the refutation went by.
TEST(Membership, ASuspicionIsGivenItsTimeAgainAfterAStandstill) {
  Fleet fleet(6);
  Message m = Forged(fleet, 0, MemberState::kSuspect, 0);
  m.from = fleet.node(3).core->self();
  fleet.Deliver(1, m);
  ASSERT_EQ(fleet.StateInView(1, 0), MemberState::kSuspect);
  fleet.Pause(1, fleet.now() + 20 * kSecond);
  fleet.For(30);
  EXPECT_EQ(fleet.node(1).core->counters().verdicts, 0u);
  EXPECT_TRUE(fleet.Whole());
}

// SWIM, section 4.3: in two rounds everybody is asked, so that the first suspicion comes in bounded time.
TEST(Membership, EachIsProbedInTwoRounds) {
  Fleet fleet(12);
  std::map<std::pair<int, int>, int> probed;
  fleet.intercept = [&](int from, int to, Message& m) {
    if (m.kind == MessageKind::kPing) ++probed[{from, to}];
    return true;
  };
  fleet.For(0.5 * 2 * 11 + 2);
  EXPECT_EQ(probed.size(), 12u * 11u);
}

TEST(Membership, AHearsBButBNotA) {
  Fleet fleet(5);
  fleet.link = [](int from, int to) { return !(from == 0 && to == 1); };
  fleet.For(120);
  EXPECT_TRUE(fleet.dead.empty()) << "others reach both";
  EXPECT_TRUE(fleet.Whole());
}

void Heals(int members, int parts, double cut_s, Micros forget, double within) {
  World::Options options = Fleet::Of(members, 7);
  options.forget_after = forget;
  Fleet fleet(options);
  // Two that overlap where there are four parts: 0|123 and 01|23 together.
  fleet.link = [=](int a, int b) { return a * parts / members == b * parts / members; };
  fleet.For(cut_s);
  if (cut_s >= 10) {
    EXPECT_FALSE(fleet.IsPresentInView(0, members - 1));
    EXPECT_NE(fleet.node(members - 1).core->quorum_state(), QuorumState::kAllPresent);
  }
  fleet.link = [](int, int) { return true; };
  fleet.For(within);
  EXPECT_TRUE(fleet.Whole()) << parts << " parts for " << cut_s << " s";
  for (int i = 0; i < members; ++i) EXPECT_EQ(fleet.node(i).core->quorum_state(), QuorumState::kAllPresent);
}

TEST(Membership, CutsHealWithoutAnOperator) {
  for (const double cut_s : {1.0, 10.0}) {
    for (const int parts : {2, 3, 4, 9}) Heals(9, parts, cut_s, 3600 * kSecond, 7);
  }
  Heals(40, 2, 60, 3600 * kSecond, 15);
}

// Both sides have forgotten each other: `join` brings them together again.
TEST(Membership, ACutLongerThanForgetHeals) {
  World::Options options = Fleet::Of(9, 7);
  options.forget_after = 20 * kSecond;
  Fleet fleet(options);
  fleet.link = [](int a, int b) { return (a < 4) == (b < 4); };
  fleet.For(60);
  EXPECT_EQ(fleet.node(8).core->Members().size(), 5u) << "the far side is forgotten";
  fleet.link = [](int, int) { return true; };
  fleet.For(30);
  EXPECT_TRUE(fleet.Whole());
}

TEST(Membership, StandingByHalvesAndAlone) {
  Fleet fleet(5);
  fleet.link = [](int a, int b) { return (a < 2) == (b < 2); };
  fleet.For(15);
  EXPECT_EQ(fleet.node(0).core->quorum_state(), QuorumState::kMinority);
  EXPECT_EQ(fleet.node(4).core->quorum_state(), QuorumState::kMajority);
  fleet.link = [](int a, int b) { return a == b; };
  fleet.For(15);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(fleet.node(i).core->quorum_state(), QuorumState::kIsolated);
}

TEST(Membership, TenRestartsInTenSeconds) {
  Fleet fleet(7);
  for (int n = 0; n < 10; ++n) {
    fleet.Kill(4);
    fleet.For(0.5);
    fleet.Start(4);
    fleet.For(0.5);
  }
  fleet.For(10);
  EXPECT_TRUE(fleet.Whole());
  for (const MemberView& v : fleet.node(0).core->Members()) {
    if (v.record.id.name == "s4") {
      EXPECT_EQ(v.record.id, fleet.node(4).core->self().id) << "one life only";
    }
  }
}

// The machine's clock was an hour ahead before the restart: its life would be an older one.
TEST(Membership, AClockThatSteppedBackMakesNoOlderLife) {
  Fleet fleet(5);
  fleet.node(2).clock_offset = 3600 * kSecond;
  fleet.Kill(2);
  fleet.For(5);
  fleet.Start(2);
  fleet.For(5);
  const BootId ahead = fleet.node(2).core->self().id.boot_id;
  fleet.Kill(2);
  fleet.For(5);
  fleet.node(2).clock_offset = 0;
  fleet.Start(2);
  fleet.For(10);
  EXPECT_GT(fleet.node(2).core->self().id.boot_id, ahead);
  EXPECT_TRUE(fleet.Whole());
}

// Two processes of one name: an upgrade ends when the older one leaves; two that stay are told of.
TEST(Membership, TwoThatServeUnderOneNameAreTold) {
  Fleet fleet(4);
  int told = 0;
  fleet.on_duplicate_name = [&](int, const DuplicateName& t) { told += t.name == "s1"; };
  fleet.Kill(3);
  fleet.node(3).self.id.name = "s1";  // another process, another address
  fleet.Start(3);
  fleet.For(30);
  EXPECT_EQ(told, 0) << "an upgrade may take so long";
  fleet.For(60);
  EXPECT_GE(told, 3) << "each member tells its operators";
  EXPECT_EQ(fleet.node(0).core->fleet_size(), 3) << "one name counts once";
  EXPECT_EQ(fleet.node(1).core->fleet_size(), 3) << "one's own too";
  EXPECT_EQ(fleet.node(0).core->Members().size(), 5u) << "and they are not merged";
  fleet.Leave(1);
  fleet.For(5);
  told = 0;
  fleet.For(120);
  EXPECT_EQ(told, 0);
  EXPECT_EQ(fleet.StateInView(0, 1), MemberState::kAlive) << "the younger life stands for the name";
}

TEST(Membership, ARollingRestartOfAllIsSeenAsSuch) {
  Fleet fleet(30);
  for (int i = 0; i < 30; ++i) {
    fleet.Leave(i);
    fleet.For(1.2);
    fleet.Kill(i);
    fleet.For(0.3);
    fleet.Start(i, {(i + 1) % 30, (i + 2) % 30});
    fleet.For(0.5);
  }
  fleet.For(10);
  EXPECT_TRUE(fleet.Whole());
  EXPECT_TRUE(fleet.dead.empty());
}

TEST(Membership, JoinAddressesThatAreDownOrOnesOwn) {
  World fleet(Fleet::Of(4, 3));
  fleet.Start(0, {0, 2});  // its own, and one that is down
  fleet.Start(1, {3});
  fleet.RunUntil(fleet.now() + 20 * kSecond);
  EXPECT_EQ(fleet.node(0).core->quorum_state(), QuorumState::kIsolated);
  EXPECT_EQ(fleet.node(1).core->quorum_state(), QuorumState::kIsolated);
  fleet.Start(3, {0});
  fleet.Start(2, {0});
  fleet.RunUntil(fleet.now() + 15 * kSecond);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(fleet.node(i).core->fleet_size(), 4);
  World::Options relayed = Fleet::Of(1, 3);
  relayed.join_port = 9;  // another way to its own address
  EXPECT_EQ(Fleet(relayed).node(0).core->quorum_state(), QuorumState::kAllPresent);
  Fleet only(Fleet::Of(1, 3));
  EXPECT_EQ(only.node(0).core->quorum_state(), QuorumState::kAllPresent)
      << "its own address is no other member";
}

TEST(Membership, JoinDuringACut) {
  Fleet fleet(6);
  fleet.Kill(5);
  fleet.For(8);
  fleet.link = [](int a, int b) { return (a < 3) == (b < 3); };
  fleet.For(8);
  fleet.Start(5, {0, 4});  // on the far side of one of them
  fleet.For(8);
  EXPECT_TRUE(fleet.IsPresentInView(5, 4));
  EXPECT_FALSE(fleet.IsPresentInView(0, 5));
  fleet.link = [](int, int) { return true; };
  fleet.For(15);
  EXPECT_TRUE(fleet.Whole());
}

// Each of the first datagrams of a death in turn is lost, or is held for a minute and then comes.
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
      fleet.For(9);
      EXPECT_EQ(fleet.StateInView(0, 2), MemberState::kDead) << position;
      EXPECT_EQ(fleet.StateInView(1, 2), MemberState::kDead) << position;
      EXPECT_TRUE(fleet.IsPresentInView(0, 1) && fleet.IsPresentInView(1, 0)) << position;
      fleet.Start(2);
      fleet.For(60);
      for (auto& [to, message] : held) {
        if (late) fleet.Deliver(to, message);
      }
      fleet.For(5);
      EXPECT_TRUE(fleet.Whole()) << position;
    }
  }
}

TEST(Membership, LossDelayAndCopiesMakeNoVerdict) {
  World::Options options = Fleet::Of(30, 5);
  options.loss_rate = 0.05;
  options.duplicate_rate = 0.2;
  options.max_delay = 60'000;
  Fleet fleet(options);
  for (int n = 0; n < 240; ++n) {
    if (n % 6 == 0) {
      for (int i = 0; i < 30; i += 10) fleet.Pause(i, fleet.now() + 240'000);
    }
    fleet.For(0.5);
  }
  EXPECT_TRUE(fleet.dead.empty());
}

// Incarnations that wrap, and lives and incarnations that are forged: a living member is not dead for good.
TEST(Membership, ForgedIncarnationsAndLivesAreRefuted) {
  Fleet fleet(5);
  fleet.Deliver(0, Forged(fleet, 2, MemberState::kDead, kMaxIncarnation));
  fleet.For(10);
  EXPECT_TRUE(fleet.Whole()) << "the highest incarnation";
  fleet.Deliver(0, Forged(fleet, 2, MemberState::kLeft, 100));
  fleet.For(10);
  EXPECT_TRUE(fleet.Whole()) << "a goodbye that it never said";
  fleet.Deliver(0, Forged(fleet, 2, MemberState::kAlive, 7, 1'000'000));
  fleet.For(10);
  EXPECT_TRUE(fleet.Whole()) << "a later life";
  const std::size_t known = fleet.node(0).core->Members().size();
  fleet.Deliver(0, Forged(fleet, 2, MemberState::kAlive, 0, kMaxBootId));
  EXPECT_EQ(fleet.node(0).core->Members().size(), known);
  EXPECT_EQ(fleet.node(0).core->Find("s2")->record.id, fleet.node(2).core->self().id) << "out of bounds";
}

TEST(Membership, HalfOfTheFleetKilledAtOnce) {
  Fleet fleet(60);
  for (int i = 30; i < 60; ++i) fleet.Kill(i);
  fleet.For(25);
  for (int i = 0; i < 30; ++i) EXPECT_EQ(fleet.node(i).core->fleet_size(), 30);
  for (int i = 0; i < 30; ++i) EXPECT_EQ(fleet.node(i).core->quorum_state(), QuorumState::kMinority);
  for (const auto& [name, n] : fleet.dead) EXPECT_GE(std::stoi(name.substr(1)), 30) << "a living one";
}

TEST(Membership, WordOfTheDeadIsForgotten) {
  World::Options options = Fleet::Of(5, 2);
  options.forget_after = 30 * kSecond;
  Fleet fleet(options);
  fleet.Kill(4);
  fleet.For(20);
  EXPECT_EQ(fleet.node(0).core->Members().size(), 5u);
  fleet.For(60);  // exchanges meanwhile must not hand it round for ever
  for (int i = 0; i < 4; ++i) EXPECT_EQ(fleet.node(i).core->Members().size(), 4u);
  Message late = Forged(fleet, 3, MemberState::kDead, 0);
  late.updates[0].record.id = {"s4", 7};
  late.updates[0].record.endpoint.port = 9;
  fleet.Deliver(0, late);
  EXPECT_EQ(fleet.node(0).core->Members().size(), 4u) << "a datagram that comes hours late";
}

TEST(Membership, TheSameSeedGivesTheSameFleet) {
  const auto play = [](std::uint64_t seed) {
    Fleet fleet(12, seed);
    fleet.Kill(3);
    fleet.For(20);
    std::vector<std::uint64_t> sums;
    for (int i = 0; i < 12; ++i) sums.push_back(fleet.node(i).datagrams);
    return sums;
  };
  EXPECT_EQ(play(4), play(4));
  EXPECT_NE(play(4), play(5));
}

// Every history of four steps of one member's record, at another: a verdict goes back only with a higher
// incarnation or life.
TEST(Membership, VerdictsNeverGoBack) {
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
  long histories = 0;
  const auto of = [](std::string name, std::uint32_t ip, BootId boot_id) {
    MemberRecord r;
    r.id = {std::move(name), boot_id};
    r.endpoint = {ip, 1};
    return r;
  };
  for (std::size_t h = 0; h < steps.size() * steps.size() * steps.size() * steps.size(); ++h, ++histories) {
    Membership core({}, of("me", 1, 5), 1, 0);
    std::tuple<BootId, std::uint32_t, MemberState> best{0, 0, MemberState::kAlive};
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
      ASSERT_GE(now, best);
      best = now;
    }
  }
  EXPECT_EQ(histories, 65536);
}

// Three members, every history of five faults of five kinds. Whatever came before, once all are up and reach
// each other their views are whole; and no view goes back on a verdict by the same incarnation.
TEST(Membership, EveryShortHistoryOfThreeEndsWhole) {
  constexpr int kKinds = 5, kSteps = 5;
  int histories = 0;
  for (int h = 0; h < 3125; ++h, ++histories) {
    Fleet fleet(3, static_cast<std::uint64_t>(h) + 1);
    bool both = false, one_way = false;
    fleet.link = [&](int a, int b) { return !(both && a + b == 1) && !(one_way && a == 0 && b == 2); };
    std::map<std::pair<int, MemberId>, std::pair<std::uint64_t, std::uint32_t>> given_up;
    fleet.on_member_changed = [&](int i, const MemberChanged& c) {
      const std::uint64_t run = fleet.node(i).run;
      const auto key = std::pair(i, c.record.id);
      if (c.record.state == MemberState::kDead) given_up[key] = {run, c.record.incarnation};
      const auto it = given_up.find(key);
      if (c.record.state > MemberState::kSuspect || it == given_up.end() || it->second.first != run) return;
      EXPECT_GT(c.record.incarnation, it->second.second) << "history " << h;
    };
    int rest = h;
    for (int n = 0; n < kSteps; ++n, rest /= kKinds) {
      switch (rest % kKinds) {
        case 0:
          both = !both;
          break;
        case 1:
          one_way = !one_way;
          break;
        case 2:
          fleet.node(1).up ? fleet.Kill(1) : fleet.Start(1);
          break;
        case 3:
          fleet.Pause(2, fleet.now() + 2 * kSecond);
          break;
        default:
          fleet.For(4);
      }
      fleet.For(0.6);
    }
    both = one_way = false;
    if (!fleet.node(1).up) fleet.Start(1);
    fleet.For(14);
    ASSERT_TRUE(fleet.Whole()) << "history " << h;
  }
  EXPECT_EQ(histories, 3125);
}

TEST(QuorumState, OneLostDatagramChangesNothing) {
  QuorumStateFilter watch(1'000'000, 2'000'000);
  EXPECT_FALSE(watch.Observe(0, QuorumState::kAllPresent));
  EXPECT_TRUE(watch.Observe(2'000'000, QuorumState::kAllPresent));
  EXPECT_FALSE(watch.Observe(3'000'000, QuorumState::kMajority));
  EXPECT_FALSE(watch.Observe(3'500'000, QuorumState::kAllPresent));
  EXPECT_FALSE(watch.Observe(4'000'000, QuorumState::kMinority));
  EXPECT_TRUE(watch.Observe(5'000'000, QuorumState::kMinority));
}

TEST(QuorumState, JudgedAgainstWhoIsKnown) {
  EXPECT_EQ(EvaluateQuorum(1, 1, false), QuorumState::kAllPresent);
  EXPECT_EQ(EvaluateQuorum(1, 1, true), QuorumState::kIsolated);
  EXPECT_EQ(EvaluateQuorum(3, 1, false), QuorumState::kIsolated);
  EXPECT_EQ(EvaluateQuorum(4, 2, false), QuorumState::kMinority);
  EXPECT_EQ(EvaluateQuorum(5, 3, false), QuorumState::kMajority);
}

// A mass death must not let the survivors triple what each sends to cold workers; growth counts at once.
TEST(SmoothedFleetSize, FallsSlowlyAndGrowsAtOnce) {
  SmoothedFleetSize size(3, 30'000'000);
  EXPECT_EQ(size.Observe(0, 90), 90);
  for (int s = 1; s <= 8; ++s) EXPECT_GE(size.Observe(s * 1'000'000, 20), 74) << "within a warm-up";
  EXPECT_EQ(size.Observe(9'000'000, 90), 90);
  Micros now = 9'000'000;
  for (int s = 0; s < 300; ++s) size.Observe(now += 1'000'000, 1);
  EXPECT_EQ(size.size(), 3) << "the floor";
}

}  // namespace
}  // namespace heronway::cluster
