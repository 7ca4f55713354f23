// storm_sim: simulates a retry storm with the limits off and on, and prints a table. Not run by CI.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "bench/storm/world.h"

int main(int argc, char** argv) {
  using namespace heronway::storm;
  Plan plan;
  std::vector<std::uint64_t> seeds = {1, 2, 3};
  std::vector<double> loads = {1.0};
  bool series = false;
  int seconds = 45;
  std::string only;
  CLI::App app{"storm_sim: a simulated retry storm, with the limits off and on"};
  app.add_option("--schedulers", plan.schedulers);
  app.add_option("--workers", plan.workers);
  app.add_option("--clients", plan.clients);
  app.add_option("--load", loads);
  app.add_option("--seed", seeds);
  app.add_option("--seconds", seconds);
  app.add_option("--at-once", plan.immediate_retry_share, "Share of clients that retry immediately");
  app.add_option("--stays", plan.same_scheduler_share,
                 "Share of retries that go to the scheduler of the previous try");
  app.add_option("--slack", plan.limits.concurrency.slack_share);
  app.add_option("--only", only, "off or on");
  app.add_option("--share", plan.limits.retries.share);
  app.add_option("--storm-share", plan.limits.retries.storm_share);
  app.add_flag("--one-class", plan.one_class);
  app.add_flag("--unnamed", plan.without_client_key, "Clients without a key");
  app.add_flag("--series", series, "Also print each second");
  CLI11_PARSE(app, argc, argv);
  plan.duration = seconds * kS;
  std::printf("%-5s %-4s %-4s %9s %9s %9s %9s %10s %11s %9s %9s %6s\n", "load", "seed", "", "before/s",
              "in storm", "after/s", "end/s", "recovered", "amp hops/1", "try/first", "waited%", "rules");
  for (const double load : loads) {
    for (const std::uint64_t seed : seeds) {
      for (const bool on : {false, true}) {
        if (only == (on ? "off" : "on")) continue;
        plan.load = load;
        plan.seed = seed;
        plan.limits.enabled = on;
        const Outcome o = Simulate(plan);
        const int end = seconds;
        const auto served_percent = [&](int kind) {
          return o.retried[kind] > 0 ? 100.0 * static_cast<double>(o.retried_served[kind]) /
                                           static_cast<double>(o.retried[kind])
                                     : 0;
        };
        std::printf("%-5.2f %-4llu %-4s %9.1f %9.1f %9.1f %9.1f %9ds %5.3f/%5.3f %9.3f %4.0f/%-4.0f %6s\n",
                    load, static_cast<unsigned long long>(seed), on ? "on" : "off", o.ValueBetween(5, 10),
                    o.ValueBetween(10, 16), o.ValueBetween(16, 24), o.ValueBetween(end - 8, end - 1),
                    o.SecondsToRecover(10, 16, 0.95), o.Amplification(10, 24), o.HopsPerFirstTry(10, end),
                    o.TriesPerFirstTry(10, end), served_percent(1), served_percent(0),
                    o.KeepsAllRules() ? "kept" : "BROKEN");
        if (!o.KeepsAllRules())
          std::printf("  unanswered %llu twice %llu copies %llu gone %llu fell %llu\n",
                      (unsigned long long)o.unanswered, (unsigned long long)o.answered_twice,
                      (unsigned long long)o.concurrent_hops, (unsigned long long)o.hops_to_gone,
                      (unsigned long long)o.overloads);
        if (on)
          std::printf(
              "  due %llu early %llu booked %llu unbooked %llu overbooked %llu further %llu spent %llu "
              "changes %zu by class %.2f %.2f %.2f\n",
              (unsigned long long)o.limits.on_time_retries, (unsigned long long)o.limits.early_retries,
              (unsigned long long)o.limits.scheduled_sheds, (unsigned long long)o.limits.unscheduled_sheds,
              (unsigned long long)o.limits.oversubscribed_retries, (unsigned long long)o.limits.further_hops,
              (unsigned long long)o.limits.budget_exhausted, o.changes.size(),
              (double)o.served_by_class[0] / o.requests_by_class[0],
              (double)o.served_by_class[1] / o.requests_by_class[1],
              (double)o.served_by_class[2] / o.requests_by_class[2]);
        if (!series) continue;
        for (int s = 0; s < end; ++s) {
          const Second& x = o.seconds[static_cast<std::size_t>(s)];
          std::printf("  %3d first %5d tries %5d hops %5d served %5d in time %5d refused %5d failed %4d\n", s,
                      x.first_tries, x.tries, x.hops, x.served, x.in_time, x.shed, x.failed);
        }
        for (const auto& c : o.changes)
          std::printf("  %s -> %s (%s) class %d\n", heronway::limits::NameOf(c.change.from),
                      heronway::limits::NameOf(c.change.to), heronway::limits::NameOf(c.change.reason),
                      c.job_class);
      }
    }
  }
}
