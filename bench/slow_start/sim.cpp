// slow_start_sim: plays fleets of several sizes and situations, and prints what cold servers got of what the
// settings allow them.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

#include "bench/slow_start/world.h"

int main(int argc, char** argv) {
  using heronway::slow_start::Outcome;
  using heronway::slow_start::Plan;
  CLI::App app{"slow_start_sim: calls that cold servers get, of what the settings allow"};
  int seeds = 5;
  app.add_option("--seeds", seeds, "plays of each row")->check(CLI::Range(1, 10'000));
  int drawn = 0;
  double clock_error_s = 0;
  app.add_option("--drawn", drawn, "instead of the table: so many drawn fleets")
      ->check(CLI::Range(1, 100'000));
  app.add_option("--clock-error", clock_error_s, "seconds by which clocks claim starts to be earlier")
      ->check(CLI::Range(-7'200.0, 7'200.0));
  CLI11_PARSE(app, argc, argv);
  if (drawn > 0) {
    int overloaded = 0;
    double worst = 0;
    for (int n = 1; n <= drawn; ++n) {
      Plan plan = heronway::slow_start::Drawn(static_cast<std::uint64_t>(n));
      plan.clock_error = static_cast<heronway::slow_start::Micros>(clock_error_s * 1e6);
      const Outcome one = Play(plan);
      overloaded += one.overloads > 0 ? 1 : 0;
      worst = std::max(worst, one.worst);
    }
    std::printf("%d drawn fleets, %d with an overload, worst %.2f of what is allowed\n", drawn, overloaded,
                worst);
    return overloaded == 0 ? 0 : 1;
  }
  const auto row = [seeds](const char* name, Plan plan) {
    Outcome sum;
    for (int seed = 1; seed <= seeds; ++seed) {
      plan.seed = static_cast<std::uint64_t>(seed);
      const Outcome one = Play(plan);
      sum.asked += one.asked;
      sum.served += one.served;
      sum.overloads += one.overloads;
      sum.worst = std::max(sum.worst, one.worst);
      sum.used += one.used / seeds;
    }
    std::printf("%-28s %4d %5d | overloads %4llu  worst %5.2f  used %5.2f  served %.3f\n", name,
                plan.processes, plan.servers, static_cast<unsigned long long>(sum.overloads), sum.worst,
                sum.used, static_cast<double>(sum.served) / static_cast<double>(sum.asked));
    std::fflush(stdout);
  };
  for (const auto& [processes, servers] :
       {std::pair{1, 14}, {3, 36}, {30, 60}, {30, 200}, {300, 14}, {300, 200}}) {
    Plan plan;
    plan.processes = processes;
    plan.servers = servers;
    row("usual", plan);
    plan.restart_every = 8'000'000;
    row("restarts", plan);
    plan.restart_every = 0;
    plan.load = 1.5;
    plan.tries = 8;
    row("retry storm", plan);
    plan.load = 0.6;
    plan.tries = 1;
    plan.returns = 0.9;
    row("most are cold", plan);
    plan.starts_together = true;
    row("most cold, all start", plan);
    plan.returns = 0.2;
    row("all start", plan);
    plan.starts_together = false;
    plan.burst_at = 15'000'000;
    plan.lull_before = 4'500'000;
    row("burst behind a lull", plan);
    plan.burst_at = -1;
    plan.run = 40'000;
    row("short jobs", plan);
    plan.run = 6'000'000;
    row("budget of a few calls", plan);
  }
  return 0;
}
