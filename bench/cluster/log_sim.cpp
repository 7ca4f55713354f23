// log_sim: the replicated log explored and played at random, in virtual time. Not run by CI.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "bench/cluster/log_play.h"

using namespace heronway::cluster::log;

int main(int argc, char** argv) {
  CLI::App app{"log_sim: the replicated log, every short schedule and long ones by chance"};
  app.require_subcommand(1);
  Budget budget;
  auto* explore = app.add_subcommand("explore", "Every schedule within a budget");
  explore->add_option("--proposals", budget.proposals);
  explore->add_option("--timeouts", budget.timeouts);
  explore->add_option("--heartbeats", budget.heartbeats);
  explore->add_option("--crashes", budget.crashes);
  explore->add_option("--twice", budget.twice, "Messages that come twice");
  explore->add_option("--compactions", budget.compactions);
  explore->add_option("--depth", budget.depth);
  explore->add_option("--states", budget.most_states);
  explore->add_flag("--slow-disks", budget.slow_disks, "A sync is a step of its own");
  Chance chance;
  std::uint64_t seeds = 20;
  auto* play = app.add_subcommand("play", "Schedules by chance, seed by seed");
  play->add_option("--servers", chance.servers)->check(CLI::Range(1, 9));
  play->add_option("--voters", chance.voters)->check(CLI::Range(1, 9));
  play->add_option("--steps", chance.steps);
  play->add_option("--seeds", seeds);
  play->add_option("--seed", chance.seed, "The first");
  CLI11_PARSE(app, argc, argv);
  const auto u = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  if (explore->parsed()) {
    const Explored e = Explore(budget);
    std::printf("states %llu steps %llu most chosen %llu %s: %s\n", u(e.states), u(e.steps), u(e.chosen),
                e.whole ? "whole" : "cut off", e.breach.empty() ? "no breach" : e.breach.c_str());
    return e.breach.empty() ? 0 : 1;
  }
  Played sum;
  int broken = 0;
  for (std::uint64_t n = 0; n < seeds; ++n) {
    const Played p = Play(chance);
    sum.steps += p.steps;
    sum.chosen += p.chosen;
    sum.crashes += p.crashes;
    sum.cuts += p.cuts;
    sum.changes += p.changes;
    sum.snapshots += p.snapshots;
    sum.elections += p.elections;
    sum.disks_lost += p.disks_lost;
    sum.reads += p.reads;
    if (!p.breach.empty()) {
      ++broken;
      std::printf("seed %llu: %s after %llu steps\n", u(chance.seed), p.breach.c_str(), u(p.steps));
    }
    ++chance.seed;
  }
  std::printf(
      "steps %llu chosen %llu crashes %llu cuts %llu changes asked %llu snapshots taken %llu elections "
      "won %llu disks lost %llu reads %llu: %d seeds with a breach\n",
      u(sum.steps), u(sum.chosen), u(sum.crashes), u(sum.cuts), u(sum.changes), u(sum.snapshots),
      u(sum.elections), u(sum.disks_lost), u(sum.reads), broken);
  return broken == 0 ? 0 : 1;
}
