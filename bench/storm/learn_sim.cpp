// learn_sim: simulates a scheduler that starts in a fleet under load. With the same seeds, it compares peers
// that report nothing, peers that report what they know, one wrong peer and one stale peer. Not run by CI.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "bench/storm/world.h"

int main(int argc, char** argv) {
  using namespace heronway::storm;
  Plan plan;
  plan.schedulers = 4;
  plan.workers = 24;
  plan.load = 0.8;
  plan.duration = 25 * kS;
  plan.outages_at = {10 * kS};
  plan.new_scheduler_at = 10 * kS + 300 * kMs;
  int seeds = 20;
  CLI::App app{"learn_sim: a new scheduler in a simulated fleet under load"};
  app.add_option("--schedulers", plan.schedulers, "Including the new one")->check(CLI::Range(3, 300));
  app.add_option("--workers", plan.workers)->check(CLI::Range(4, 1000));
  app.add_option("--load", plan.load, "Share of the capacity of the whole fleet");
  app.add_option("--part", plan.outage_share, "Share of the workers that stop just before it starts");
  app.add_option("--seeds", seeds)->check(CLI::Range(1, 1000));
  app.add_flag("--probes", plan.probes, "The settings allow probes");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-12s %7s %8s %6s %6s %10s %8s %7s %10s %6s\n", "told", "asked", "in time", "late", "lost",
              "hops/asked", "broken", "learnt", "cold most", "rules");
  constexpr const char* kNames[] = {"nothing", "peers", "one wrong", "one stale"};
  for (const PeerReports reports :
       {PeerReports::kNothing, PeerReports::kCorrect, PeerReports::kOneWrong, PeerReports::kOneStale}) {
    NewScheduler sum;
    double max_cold_load = 0;
    bool rules_kept = true;
    for (int seed = 1; seed <= seeds; ++seed) {
      plan.seed = static_cast<std::uint64_t>(seed);
      plan.peer_reports = reports;
      const Outcome o = Simulate(plan);
      sum.tries += o.new_scheduler.tries;
      sum.in_time += o.new_scheduler.in_time;
      sum.late += o.new_scheduler.late;
      sum.lost += o.new_scheduler.lost;
      sum.hops += o.new_scheduler.hops;
      sum.hops_broken += o.new_scheduler.hops_broken;
      sum.loads_adopted += o.new_scheduler.loads_adopted;
      max_cold_load = std::max(max_cold_load, o.max_cold_load);
      rules_kept = rules_kept && o.KeepsAllRules();
    }
    const auto u = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
    std::printf("%-12s %7llu %8llu %6llu %6llu %10.3f %8llu %7llu %10.2f %6s\n",
                kNames[static_cast<int>(reports)], u(sum.tries), u(sum.in_time), u(sum.late), u(sum.lost),
                static_cast<double>(sum.hops) / static_cast<double>(std::max<std::uint64_t>(1, sum.tries)),
                u(sum.hops_broken), u(sum.loads_adopted), max_cold_load, rules_kept ? "kept" : "BROKEN");
  }
}
