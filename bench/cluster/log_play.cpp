#include "bench/cluster/log_play.h"

#include <algorithm>
#include <functional>
#include <unordered_map>
#include <utility>

namespace heronway::cluster::log {
namespace {

constexpr Micros kMs = 1'000;

Settings Small() {
  Settings s;
  s.most_message = 64;
  s.most_under_way = 256;
  s.trailing = 2;
  return s;
}

int LeaderOf(const Group& g) {
  int found = -1;
  for (std::size_t i = 0; i < g.servers().size(); ++i) {
    const auto& s = g.servers()[i];
    if (s.up && s.log.role() == Role::kLeader &&
        (found < 0 || s.log.term() > g.servers()[static_cast<std::size_t>(found)].log.term()))
      found = static_cast<int>(i);
  }
  return found;
}

void SyncAll(Group& g) {
  for (std::size_t i = 0; i < g.servers().size(); ++i) {
    while (g.servers()[i].up && !g.servers()[i].writing.empty()) g.Sync(static_cast<int>(i));
  }
}

// Everything arrives and is synced, ticks come, until nothing is on its way.
void Settle(Group& g, int rounds, const std::function<bool(const Message&)>& passes = {}) {
  for (int n = 0; n < rounds && g.breach().empty(); ++n) {
    g.Elapse(50 * kMs);
    for (std::size_t i = 0; i < g.servers().size(); ++i) g.Tick(static_cast<int>(i));
    for (int turn = 0; turn < 10'000; ++turn) {
      SyncAll(g);
      if (g.pool().empty()) break;
      if (passes && !passes(g.pool().front())) {
        g.Lose(0);
      } else {
        g.Deliver(0, false);
      }
    }
  }
}

class Explorer {
 public:
  explicit Explorer(const Budget& budget) : budget_(budget) {}
  Explored Run() {
    Group g(Small(), 3, 3, 7);
    for (int n = 0; n < 100 && LeaderOf(g) < 0; ++n) Settle(g, 5);
    Settle(g, 10);
    Visit(g, budget_, budget_.depth);
    return out_;
  }

 private:
  // What is left of the budget belongs to the state: one that came more cheaply may go further.
  static std::uint64_t Spent(const Budget& b, int depth) {
    std::uint64_t sum = static_cast<std::uint64_t>(depth);
    for (const int n : {b.proposals, b.timeouts, b.heartbeats, b.crashes, b.twice, b.compactions})
      sum = sum * 16 + static_cast<std::uint64_t>(n);
    return sum;
  }
  void Next(const Group& from, const Budget& left, int depth, const std::function<void(Group&)>& step) {
    if (!out_.breach.empty()) return;
    Group g = from;
    step(g);
    if (!budget_.slow_disks) SyncAll(g);
    ++out_.steps;
    if (!g.breach().empty()) out_.breach = g.breach();
    Visit(g, left, depth - 1);
  }
  void Visit(const Group& g, const Budget& left, int depth) {
    if (!out_.breach.empty()) return;
    if (out_.states >= budget_.most_states) {
      out_.whole = false;
      return;
    }
    // Depth is no part of it where it was reached with as much left: only deeper visits are spared.
    const std::uint64_t key = g.Digest() ^ Spent(left, 0) * 0x9e3779b97f4a7c15ULL;
    const auto [it, fresh] = seen_.try_emplace(key, depth);
    if (!fresh && it->second >= depth) return;
    it->second = depth;
    ++out_.states;
    out_.chosen = std::max<std::uint64_t>(out_.chosen, g.chosen());
    if (depth == 0) {
      out_.whole = false;
      return;
    }
    for (std::size_t m = 0; m < g.pool().size(); ++m) {
      Next(g, left, depth, [m](Group& n) { n.Deliver(m, false); });
      if (left.twice == 0) continue;
      Budget less = left;
      --less.twice;
      Next(g, less, depth, [m](Group& n) { n.Deliver(m, true); });
    }
    for (int s = 0; s < 3; ++s) {
      const auto& server = g.servers()[static_cast<std::size_t>(s)];
      if (!server.up) {
        Next(g, left, depth, [s](Group& n) { n.Start(s); });
        continue;
      }
      const auto spend = [&](int Budget::*what, const std::function<void(Group&)>& step) {
        if (left.*what == 0) return;
        Budget less = left;
        --(less.*what);
        Next(g, less, depth, step);
      };
      if (!server.writing.empty()) Next(g, left, depth, [s](Group& n) { n.Sync(s); });
      spend(&Budget::crashes, [s](Group& n) { n.Crash(s); });
      if (server.log.role() == Role::kLeader) {
        spend(&Budget::proposals, [s](Group& n) { n.Propose(s, "p" + std::to_string(n.chosen())); });
        spend(&Budget::heartbeats, [s](Group& n) {
          n.Elapse(200 * kMs);
          n.Tick(s);
        });
      } else {
        spend(&Budget::timeouts, [s](Group& n) {
          n.Elapse(2'500 * kMs);
          n.Tick(s);
        });
      }
      spend(&Budget::compactions, [s](Group& n) { n.CompactTo(s); });
    }
  }

  Budget budget_;
  Explored out_;
  std::unordered_map<std::uint64_t, int> seen_;
};

class Player {
 public:
  explicit Player(const Chance& chance)
      : chance_(chance), random_(chance.seed), g_(Small(), chance.servers, chance.voters, chance.seed) {
    g_.most_pool = 200;
    part_.assign(static_cast<std::size_t>(chance.servers), 0);
  }
  Played Run() {
    while (out_.steps < chance_.steps && g_.breach().empty()) Step();
    if (g_.breach().empty()) EndWell();
    out_.breach = g_.breach().empty() ? trouble_ : g_.breach();
    out_.chosen = g_.chosen();
    out_.elections = g_.led();
    out_.snapshots = g_.restored;
    out_.reads = g_.read_at.size();
    return out_;
  }

 private:
  std::uint32_t Below(std::size_t n) {
    return random_(static_cast<std::uint32_t>(std::max<std::size_t>(n, 1)));
  }
  int Any() { return static_cast<int>(Below(g_.servers().size())); }
  bool Passes(const Message& m) const {
    const int a = g_.At(m.from), b = g_.At(m.to);
    return a >= 0 && b >= 0 && part_[static_cast<std::size_t>(a)] == part_[static_cast<std::size_t>(b)];
  }
  void Step() {
    ++out_.steps;
    const std::uint32_t die = Below(1000);
    if (die < 620) {
      if (g_.pool().empty()) return;
      // Mostly in order, as a link keeps it; now and then any, twice, or lost.
      const std::size_t m = Below(10) == 0 ? Below(g_.pool().size()) : 0;
      if (!Passes(g_.pool()[m]) || Below(30) == 0) return g_.Lose(m);
      return g_.Deliver(m, Below(40) == 0);
    }
    if (die < 780) return g_.Sync(Any());
    if (die < 890) {
      g_.Elapse(static_cast<Micros>(Below(60'000)));
      return g_.Tick(Any());
    }
    if (die < 940) {
      const int leader = LeaderOf(g_);
      g_.Propose(leader >= 0 && Below(8) != 0 ? leader : Any(), "v" + std::to_string(out_.steps));
      return;
    }
    if (die < 946) return g_.Post(Any(), Read{1'000'000 + out_.steps});
    if (die < 952 && chance_.snapshots) return g_.CompactTo(Any());
    if (die < 955) {  // cut in two, or healed
      ++out_.cuts;
      const bool heal = Below(3) != 0;
      for (auto& p : part_) p = heal ? 0 : static_cast<int>(Below(2));
      return;
    }
    if (die < 958) {
      const int s = Any();
      if (!g_.servers()[static_cast<std::size_t>(s)].up) return g_.Start(s);
      ++out_.crashes;
      return g_.Crash(s);
    }
    if (die < 976) return g_.Start(Any());
    if (die < 980 && chance_.members_change) return ChangeSome();
    if (die == 980 && chance_.disks_lost) return LoseADisk();
    if (die < 984) {
      const int leader = LeaderOf(g_);
      if (leader >= 0) g_.Post(leader, Transfer{g_.servers()[static_cast<std::size_t>(Any())].id});
    }
  }
  void ChangeSome() {
    const int leader = LeaderOf(g_);
    if (leader < 0) return;
    const Members& m = g_.servers()[static_cast<std::size_t>(leader)].log.members();
    ChangeMembers c;
    c.server = g_.servers()[static_cast<std::size_t>(Any())].id;
    c.change = static_cast<Change>(Below(3));
    if (c.change == Change::kRemove && m.voters.size() <= 2) return;
    ++out_.changes;
    g_.Post(leader, c);
  }
  // One disk at a time, and never one of a majority's need: what is lost with more is beyond any log.
  void LoseADisk() {
    const int s = Any();
    const int leader = LeaderOf(g_);
    if (leader < 0 || leader == s) return;
    const Log& log = g_.servers()[static_cast<std::size_t>(leader)].log;
    const ServerId id = g_.servers()[static_cast<std::size_t>(s)].id;
    const auto& voters = log.members().voters;
    if (std::find(voters.begin(), voters.end(), id) != voters.end()) return;  // removed, or never in it
    for (const auto& other : g_.servers()) {  // and no other's view counts on it
      const auto& v = other.log.members().voters;
      if (std::find(v.begin(), v.end(), id) != v.end()) return;
    }
    ++out_.disks_lost;
    g_.LoseDisk(s);
    g_.Start(s);
  }
  // All faults end: there is a leader, it takes a proposal, and everybody has it.
  void EndWell() {
    for (int i = 0; i < chance_.servers; ++i) g_.Start(i);
    for (auto& p : part_) p = 0;
    const std::size_t before = g_.chosen();
    for (int n = 0; n < 40 && g_.breach().empty(); ++n) {
      Settle(g_, 10);
      const int leader = LeaderOf(g_);
      if (leader >= 0) g_.Propose(leader, "end" + std::to_string(n));
    }
    Settle(g_, 40);
    const int leader = LeaderOf(g_);
    if (leader < 0) {
      trouble_ = "nobody leads in the end";
      return;
    }
    if (g_.chosen() <= before) {
      trouble_ = "nothing is taken in the end";
      return;
    }
    const Members& m = g_.servers()[static_cast<std::size_t>(leader)].log.members();
    for (const auto* ids : {&m.voters, &m.learners}) {
      for (const ServerId id : *ids) {
        const int at = g_.At(id);
        // A learner whose disk is lost is another server now; it waits to be added again.
        if (at < 0) continue;
        if (g_.servers()[static_cast<std::size_t>(at)].machine.at != g_.chosen())
          trouble_ = "server " + std::to_string(id) + " has " +
                     std::to_string(g_.servers()[static_cast<std::size_t>(at)].machine.at) + " of " +
                     std::to_string(g_.chosen());
      }
    }
  }

  Chance chance_;
  pcg32 random_;
  Group g_;
  std::vector<int> part_;
  Played out_;
  std::string trouble_;
};

}  // namespace

Explored Explore(const Budget& budget) { return Explorer(budget).Run(); }
Played Play(const Chance& chance) { return Player(chance).Run(); }

}  // namespace heronway::cluster::log
