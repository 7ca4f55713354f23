// slow_start_sim: simulates fleets of several sizes under several conditions, and prints the calls to cold
// servers as a share of what the settings allow.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

#include "bench/slow_start/world.h"

int main(int argc, char** argv) {
  using heronway::slow_start::Outcome;
  using heronway::slow_start::Plan;
  CLI::App app{"slow_start_sim: calls to cold servers, as a share of what the settings allow"};
  int seeds = 5;
  app.add_option("--seeds", seeds, "simulations of each row")->check(CLI::Range(1, 10'000));
  int plans = 0;
  double clock_error_s = 0;
  app.add_option("--drawn", plans, "simulate this many random fleets instead of the table")
      ->check(CLI::Range(1, 100'000));
  app.add_option("--clock-error", clock_error_s, "seconds by which wall clocks date starts too early")
      ->check(CLI::Range(-7'200.0, 7'200.0));
  CLI11_PARSE(app, argc, argv);
  if (plans > 0) {
    int overloaded = 0;
    double max_budget_ratio = 0;
    for (int n = 1; n <= plans; ++n) {
      Plan plan = heronway::slow_start::RandomPlan(static_cast<std::uint64_t>(n));
      plan.clock_error = static_cast<heronway::slow_start::Micros>(clock_error_s * 1e6);
      const Outcome one = Simulate(plan);
      overloaded += one.overloads > 0 ? 1 : 0;
      max_budget_ratio = std::max(max_budget_ratio, one.max_budget_ratio);
    }
    std::printf("%d drawn fleets, %d with an overload, worst %.2f of what is allowed\n", plans, overloaded,
                max_budget_ratio);
    return overloaded == 0 ? 0 : 1;
  }
  const auto row = [seeds](const char* name, Plan plan) {
    Outcome sum;
    for (int seed = 1; seed <= seeds; ++seed) {
      plan.seed = static_cast<std::uint64_t>(seed);
      const Outcome one = Simulate(plan);
      sum.requests += one.requests;
      sum.served += one.served;
      sum.overloads += one.overloads;
      sum.max_budget_ratio = std::max(sum.max_budget_ratio, one.max_budget_ratio);
      sum.used_share += one.used_share / seeds;
    }
    std::printf("%-28s %4d %5d | overloads %4llu  worst %5.2f  used %5.2f  served %.3f\n", name,
                plan.processes, plan.servers, static_cast<unsigned long long>(sum.overloads),
                sum.max_budget_ratio, sum.used_share,
                static_cast<double>(sum.served) / static_cast<double>(sum.requests));
    std::fflush(stdout);
  };
  for (const auto& [processes, servers] :
       {std::pair{1, 14}, {3, 36}, {30, 60}, {30, 200}, {300, 14}, {300, 200}}) {
    Plan plan;
    plan.processes = processes;
    plan.servers = servers;
    row("usual", plan);
    plan.process_restart_interval = 8'000'000;
    row("restarts", plan);
    plan.process_restart_interval = 0;
    plan.load = 1.5;
    plan.max_tries = 8;
    row("retry storm", plan);
    plan.load = 0.6;
    plan.max_tries = 1;
    plan.restarted_share = 0.9;
    row("most are cold", plan);
    plan.processes_start_together = true;
    row("most cold, all start", plan);
    plan.restarted_share = 0.2;
    row("all start", plan);
    plan.processes_start_together = false;
    plan.burst_at = 15'000'000;
    plan.lull = 4'500'000;
    row("burst behind a lull", plan);
    plan.burst_at = -1;
    plan.mean_run_time = 40'000;
    row("short jobs", plan);
    plan.mean_run_time = 6'000'000;
    row("budget of a few calls", plan);
  }
  return 0;
}
