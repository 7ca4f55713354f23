// log_sim: explores schedules of the replicated log exhaustively or at random, in virtual time. CI does not
// run it.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "bench/cluster/log_schedules.h"

using namespace heronway::cluster::log;

int main(int argc, char** argv) {
  CLI::App app{"log_sim: checks the replicated log on all short schedules, or on long random ones"};
  app.require_subcommand(1);
  ExplorationBudget budget;
  auto* explore = app.add_subcommand("explore", "Explore all schedules within a budget");
  explore->add_option("--proposals", budget.proposals);
  explore->add_option("--timeouts", budget.timeouts);
  explore->add_option("--heartbeats", budget.heartbeats);
  explore->add_option("--crashes", budget.crashes);
  explore->add_option("--twice", budget.duplicates, "Messages that are delivered twice");
  explore->add_option("--compactions", budget.compactions);
  explore->add_option("--depth", budget.depth);
  explore->add_option("--states", budget.max_states);
  explore->add_flag("--slow-disks", budget.slow_disks, "Make each disk sync a separate step");
  RandomScheduleOptions options;
  std::uint64_t seeds = 20;
  auto* random = app.add_subcommand("play", "Run random schedules, one for each seed");
  random->add_option("--servers", options.servers)->check(CLI::Range(1, 9));
  random->add_option("--voters", options.voters)->check(CLI::Range(1, 9));
  random->add_option("--steps", options.steps);
  random->add_option("--seeds", seeds);
  random->add_option("--seed", options.seed, "The first seed");
  CLI11_PARSE(app, argc, argv);
  const auto u = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  if (explore->parsed()) {
    const ExplorationResult e = Explore(budget);
    std::printf("states %llu steps %llu most chosen %llu %s: %s\n", u(e.states), u(e.steps),
                u(e.max_committed), e.complete ? "whole" : "cut off",
                e.violation.empty() ? "no breach" : e.violation.c_str());
    return e.violation.empty() ? 0 : 1;
  }
  RandomScheduleResult sum;
  int failed_seeds = 0;
  for (std::uint64_t n = 0; n < seeds; ++n) {
    const RandomScheduleResult p = RunRandomSchedule(options);
    sum.steps += p.steps;
    sum.committed += p.committed;
    sum.crashes += p.crashes;
    sum.partitions += p.partitions;
    sum.changes += p.changes;
    sum.snapshots += p.snapshots;
    sum.elections += p.elections;
    sum.disks_lost += p.disks_lost;
    sum.reads += p.reads;
    if (!p.violation.empty()) {
      ++failed_seeds;
      std::printf("seed %llu: %s after %llu steps\n", u(options.seed), p.violation.c_str(), u(p.steps));
    }
    ++options.seed;
  }
  std::printf(
      "steps %llu chosen %llu crashes %llu cuts %llu changes asked %llu snapshots taken %llu elections "
      "won %llu disks lost %llu reads %llu: %d seeds with a breach\n",
      u(sum.steps), u(sum.committed), u(sum.crashes), u(sum.partitions), u(sum.changes), u(sum.snapshots),
      u(sum.elections), u(sum.disks_lost), u(sum.reads), failed_seeds);
  return failed_seeds == 0 ? 0 : 1;
}
