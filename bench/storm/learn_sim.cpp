// learn_sim: a scheduler that starts in a fleet under load, told nothing by its peers beside told what they
// know, beside one peer that is wrong and one that is stale; the same seeds. Not run by CI.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "bench/storm/world.h"

int main(int argc, char** argv) {
  using namespace heronway::storm;
  Plan plan;
  plan.schedulers = 4;
  plan.workers = 24;
  plan.load = 0.8;
  plan.length = 25 * kS;
  plan.deaths = {10 * kS};
  plan.fresh_at = 10 * kS + 300 * kMs;
  int seeds = 20;
  CLI::App app{"learn_sim: a fresh scheduler in a fleet under load, in virtual time"};
  app.add_option("--schedulers", plan.schedulers, "The fresh one included")->check(CLI::Range(3, 300));
  app.add_option("--workers", plan.workers)->check(CLI::Range(4, 1000));
  app.add_option("--load", plan.load, "Of what the whole fleet can do");
  app.add_option("--part", plan.part, "Of the workers that die just before it starts");
  app.add_option("--seeds", seeds)->check(CLI::Range(1, 1000));
  app.add_flag("--probes", plan.probes, "The site allows probes");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-12s %7s %8s %6s %6s %10s %8s %7s %10s %6s\n", "told", "asked", "in time", "late", "lost",
              "hops/asked", "broken", "learnt", "cold most", "rules");
  constexpr const char* kNames[] = {"nothing", "peers", "one wrong", "one stale"};
  for (const Learns learns : {Learns::kNothing, Learns::kPeers, Learns::kOneIsWrong, Learns::kOneIsStale}) {
    Fresh sum;
    double cold = 0;
    bool clean = true;
    for (int seed = 1; seed <= seeds; ++seed) {
      plan.seed = static_cast<std::uint64_t>(seed);
      plan.learns = learns;
      const Outcome o = Play(plan);
      sum.asked += o.fresh.asked;
      sum.in_time += o.fresh.in_time;
      sum.late += o.fresh.late;
      sum.lost += o.fresh.lost;
      sum.hops += o.fresh.hops;
      sum.hops_broken += o.fresh.hops_broken;
      sum.learnt += o.fresh.learnt;
      cold = std::max(cold, o.cold_most);
      clean = clean && o.Clean();
    }
    const auto u = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
    std::printf("%-12s %7llu %8llu %6llu %6llu %10.3f %8llu %7llu %10.2f %6s\n",
                kNames[static_cast<int>(learns)], u(sum.asked), u(sum.in_time), u(sum.late), u(sum.lost),
                static_cast<double>(sum.hops) / static_cast<double>(std::max<std::uint64_t>(1, sum.asked)),
                u(sum.hops_broken), u(sum.learnt), cold, clean ? "kept" : "BROKEN");
  }
}
