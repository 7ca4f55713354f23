#include "bench/cluster/log_schedules.h"

#include <algorithm>
#include <functional>
#include <unordered_map>
#include <utility>

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

// Position of the leader of the highest term; -1 if there is none.
int LeaderOf(const SimulatedCluster& g) {
  int found = -1;
  for (std::size_t i = 0; i < g.servers().size(); ++i) {
    const auto& s = g.servers()[i];
    if (s.up && s.log.role() == Role::kLeader &&
        (found < 0 || s.log.term() > g.servers()[static_cast<std::size_t>(found)].log.term()))
      found = static_cast<int>(i);
  }
  return found;
}

void SyncAll(SimulatedCluster& g) {
  for (std::size_t i = 0; i < g.servers().size(); ++i) {
    while (g.servers()[i].up && !g.servers()[i].pending_writes.empty()) g.Sync(static_cast<int>(i));
  }
}

// In each round, ticks all servers and then delivers and syncs everything until no message is in flight.
// Messages for which `delivers` is false are dropped.
void Settle(SimulatedCluster& g, int rounds, const std::function<bool(const Message&)>& delivers = {}) {
  for (int n = 0; n < rounds && g.violation().empty(); ++n) {
    g.AdvanceTime(50 * kMs);
    for (std::size_t i = 0; i < g.servers().size(); ++i) g.Tick(static_cast<int>(i));
    for (int turn = 0; turn < 10'000; ++turn) {
      SyncAll(g);
      if (g.messages_in_flight().empty()) break;
      if (delivers && !delivers(g.messages_in_flight().front())) {
        g.Drop(0);
      } else {
        g.Deliver(0, false);
      }
    }
  }
}

class Explorer {
 public:
  explicit Explorer(const ExplorationBudget& budget) : budget_(budget) {}
  ExplorationResult Run() {
    SimulatedCluster g(SmallLimits(), 3, 3, 7);
    for (int n = 0; n < 100 && LeaderOf(g) < 0; ++n) Settle(g, 5);
    Settle(g, 10);
    Visit(g, budget_, budget_.depth);
    return result_;
  }

 private:
  // The remaining budget is part of the state: with more budget left, more states can be reached from it.
  static std::uint64_t BudgetKey(const ExplorationBudget& b, int depth) {
    std::uint64_t sum = static_cast<std::uint64_t>(depth);
    for (const int n : {b.proposals, b.timeouts, b.heartbeats, b.crashes, b.duplicates, b.compactions})
      sum = sum * 16 + static_cast<std::uint64_t>(n);
    return sum;
  }
  void TakeStep(const SimulatedCluster& from, const ExplorationBudget& left, int depth,
                const std::function<void(SimulatedCluster&)>& step) {
    if (!result_.violation.empty()) return;
    SimulatedCluster g = from;
    step(g);
    if (!budget_.slow_disks) SyncAll(g);
    ++result_.steps;
    if (!g.violation().empty()) result_.violation = g.violation();
    Visit(g, left, depth - 1);
  }
  void Visit(const SimulatedCluster& g, const ExplorationBudget& left, int depth) {
    if (!result_.violation.empty()) return;
    if (result_.states >= budget_.max_states) {
      result_.complete = false;
      return;
    }
    // Depth is not part of the key: a state is visited again only with more depth left than before.
    const std::uint64_t key = g.Digest() ^ BudgetKey(left, 0) * 0x9e3779b97f4a7c15ULL;
    const auto [it, fresh] = seen_.try_emplace(key, depth);
    if (!fresh && it->second >= depth) return;
    it->second = depth;
    ++result_.states;
    result_.max_committed = std::max<std::uint64_t>(result_.max_committed, g.committed_count());
    if (depth == 0) {
      result_.complete = false;
      return;
    }
    for (std::size_t m = 0; m < g.messages_in_flight().size(); ++m) {
      TakeStep(g, left, depth, [m](SimulatedCluster& n) { n.Deliver(m, false); });
      if (left.duplicates == 0) continue;
      ExplorationBudget less = left;
      --less.duplicates;
      TakeStep(g, less, depth, [m](SimulatedCluster& n) { n.Deliver(m, true); });
    }
    for (int s = 0; s < 3; ++s) {
      const auto& server = g.servers()[static_cast<std::size_t>(s)];
      if (!server.up) {
        TakeStep(g, left, depth, [s](SimulatedCluster& n) { n.Start(s); });
        continue;
      }
      const auto spend = [&](int ExplorationBudget::*what,
                             const std::function<void(SimulatedCluster&)>& step) {
        if (left.*what == 0) return;
        ExplorationBudget less = left;
        --(less.*what);
        TakeStep(g, less, depth, step);
      };
      if (!server.pending_writes.empty()) TakeStep(g, left, depth, [s](SimulatedCluster& n) { n.Sync(s); });
      spend(&ExplorationBudget::crashes, [s](SimulatedCluster& n) { n.Crash(s); });
      if (server.log.role() == Role::kLeader) {
        spend(&ExplorationBudget::proposals,
              [s](SimulatedCluster& n) { n.Propose(s, "p" + std::to_string(n.committed_count())); });
        spend(&ExplorationBudget::heartbeats, [s](SimulatedCluster& n) {
          n.AdvanceTime(200 * kMs);
          n.Tick(s);
        });
      } else {
        spend(&ExplorationBudget::timeouts, [s](SimulatedCluster& n) {
          n.AdvanceTime(2'500 * kMs);
          n.Tick(s);
        });
      }
      spend(&ExplorationBudget::compactions, [s](SimulatedCluster& n) { n.CompactApplied(s); });
    }
  }

  ExplorationBudget budget_;
  ExplorationResult result_;
  std::unordered_map<std::uint64_t, int> seen_;
};

class RandomScheduler {
 public:
  explicit RandomScheduler(const RandomScheduleOptions& options)
      : options_(options),
        random_(options.seed),
        cluster_(SmallLimits(), options.servers, options.voters, options.seed) {
    cluster_.max_in_flight = 200;
    partition_.assign(static_cast<std::size_t>(options.servers), 0);
  }
  RandomScheduleResult Run() {
    while (result_.steps < options_.steps && cluster_.violation().empty()) Step();
    if (cluster_.violation().empty()) CheckRecovery();
    result_.violation = cluster_.violation().empty() ? recovery_failure_ : cluster_.violation();
    result_.committed = cluster_.committed_count();
    result_.elections = cluster_.terms_with_leader();
    result_.snapshots = cluster_.snapshots_restored;
    result_.reads = cluster_.reads_ready.size();
    return result_;
  }

 private:
  std::uint32_t RandomBelow(std::size_t n) {
    return random_(static_cast<std::uint32_t>(std::max<std::size_t>(n, 1)));
  }
  int RandomServer() { return static_cast<int>(RandomBelow(cluster_.servers().size())); }
  bool Connected(const Message& m) const {
    const int a = cluster_.At(m.from), b = cluster_.At(m.to);
    return a >= 0 && b >= 0 &&
           partition_[static_cast<std::size_t>(a)] == partition_[static_cast<std::size_t>(b)];
  }
  void Step() {
    ++result_.steps;
    const std::uint32_t step = RandomBelow(1000);
    if (step < 620) {
      if (cluster_.messages_in_flight().empty()) return;
      // Mostly in order, as on a link; occasionally reordered, duplicated or lost.
      const std::size_t m = RandomBelow(10) == 0 ? RandomBelow(cluster_.messages_in_flight().size()) : 0;
      if (!Connected(cluster_.messages_in_flight()[m]) || RandomBelow(30) == 0) return cluster_.Drop(m);
      return cluster_.Deliver(m, RandomBelow(40) == 0);
    }
    if (step < 780) return cluster_.Sync(RandomServer());
    if (step < 890) {
      cluster_.AdvanceTime(static_cast<Micros>(RandomBelow(60'000)));
      return cluster_.Tick(RandomServer());
    }
    if (step < 940) {
      const int leader = LeaderOf(cluster_);
      cluster_.Propose(leader >= 0 && RandomBelow(8) != 0 ? leader : RandomServer(),
                       "v" + std::to_string(result_.steps));
      return;
    }
    if (step < 946) return cluster_.HandleEvent(RandomServer(), ReadIndex{1'000'000 + result_.steps});
    if (step < 952 && options_.snapshots) return cluster_.CompactApplied(RandomServer());
    if (step < 955) {  // partition the network in two, or heal it
      ++result_.partitions;
      const bool heal = RandomBelow(3) != 0;
      for (auto& p : partition_) p = heal ? 0 : static_cast<int>(RandomBelow(2));
      return;
    }
    if (step < 958) {
      const int s = RandomServer();
      if (!cluster_.servers()[static_cast<std::size_t>(s)].up) return cluster_.Start(s);
      ++result_.crashes;
      return cluster_.Crash(s);
    }
    if (step < 976) return cluster_.Start(RandomServer());
    if (step < 980 && options_.configuration_changes) return ChangeRandomServer();
    if (step == 980 && options_.disks_lost) return LoseDiskOfNonMember();
    if (step < 984) {
      const int leader = LeaderOf(cluster_);
      if (leader >= 0)
        cluster_.HandleEvent(
            leader, TransferLeadership{cluster_.servers()[static_cast<std::size_t>(RandomServer())].id});
    }
  }
  void ChangeRandomServer() {
    const int leader = LeaderOf(cluster_);
    if (leader < 0) return;
    const Configuration& current = cluster_.servers()[static_cast<std::size_t>(leader)].log.configuration();
    ChangeConfiguration request;
    request.server = cluster_.servers()[static_cast<std::size_t>(RandomServer())].id;
    request.change = static_cast<ConfigurationChange>(RandomBelow(3));
    if (request.change == ConfigurationChange::kRemove && current.voters.size() <= 2) return;
    ++result_.changes;
    cluster_.HandleEvent(leader, request);
  }
  // Only a server that is a voter in no configuration loses its disk: no log can survive the loss of disks
  // that a majority depends on.
  void LoseDiskOfNonMember() {
    const int s = RandomServer();
    const int leader = LeaderOf(cluster_);
    if (leader < 0 || leader == s) return;
    const Log& log = cluster_.servers()[static_cast<std::size_t>(leader)].log;
    const ServerId id = cluster_.servers()[static_cast<std::size_t>(s)].id;
    // The server was removed or never added, in the leader's configuration and in that of every other server.
    const auto& voters = log.configuration().voters;
    if (std::find(voters.begin(), voters.end(), id) != voters.end()) return;
    for (const auto& other : cluster_.servers()) {
      const auto& v = other.log.configuration().voters;
      if (std::find(v.begin(), v.end(), id) != v.end()) return;
    }
    ++result_.disks_lost;
    cluster_.LoseDisk(s);
    cluster_.Start(s);
  }
  // After all faults have ended there is a leader, it accepts a proposal, and all servers apply it.
  void CheckRecovery() {
    for (int i = 0; i < options_.servers; ++i) cluster_.Start(i);
    for (auto& p : partition_) p = 0;
    const std::size_t before = cluster_.committed_count();
    for (int n = 0; n < 40 && cluster_.violation().empty(); ++n) {
      Settle(cluster_, 10);
      const int leader = LeaderOf(cluster_);
      if (leader >= 0) cluster_.Propose(leader, "end" + std::to_string(n));
    }
    Settle(cluster_, 40);
    const int leader = LeaderOf(cluster_);
    if (leader < 0) {
      recovery_failure_ = "no leader after all faults ended";
      return;
    }
    if (cluster_.committed_count() <= before) {
      recovery_failure_ = "no proposal was committed after all faults ended";
      return;
    }
    const Configuration& current = cluster_.servers()[static_cast<std::size_t>(leader)].log.configuration();
    for (const auto* ids : {&current.voters, &current.learners}) {
      for (const ServerId id : *ids) {
        const int at = cluster_.At(id);
        // A learner that lost its disk is a new server, which has not been added yet.
        if (at < 0) continue;
        if (cluster_.servers()[static_cast<std::size_t>(at)].machine.applied_index !=
            cluster_.committed_count())
          recovery_failure_ =
              "server " + std::to_string(id) + " applied " +
              std::to_string(cluster_.servers()[static_cast<std::size_t>(at)].machine.applied_index) +
              " of " + std::to_string(cluster_.committed_count());
      }
    }
  }

  RandomScheduleOptions options_;
  pcg32 random_;
  SimulatedCluster cluster_;
  std::vector<int> partition_;
  RandomScheduleResult result_;
  std::string recovery_failure_;
};

}  // namespace

ExplorationResult Explore(const ExplorationBudget& budget) { return Explorer(budget).Run(); }
RandomScheduleResult RunRandomSchedule(const RandomScheduleOptions& options) {
  return RandomScheduler(options).Run();
}

}  // namespace heronway::cluster::log
