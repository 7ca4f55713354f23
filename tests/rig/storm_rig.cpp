// storm_rig: one storm on loopback. A quarter of the stand-in workers dies under load and comes back cold;
// the auditor judges the rules from the wire. Prints a row; exits with 1 where a rule is broken or a bound
// missed.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "e2e_harness.h"
#include "tests/rig/rig.h"

using namespace heronway;
using rig::Micros;

int main(int argc, char** argv) {
  int workers = 12, seed = 1, bound = -1, dead = 6, warm_up = 6;
  double load = 1.0, at_once = 0.5;
  bool on = false, keyed = false, series = false, together = false, twice = false, reload = false,
       json = false;
  CLI::App app{"storm_rig: a retry storm on loopback"};
  app.add_option("--workers", workers);
  app.add_option("--load", load, "Of what the fleet can do");
  app.add_option("--seed", seed);
  app.add_option("--dead", dead, "Seconds");
  app.add_option("--warm-up", warm_up, "Seconds");
  app.add_option("--at-once", at_once, "Share of the clients that come again at once");
  app.add_option("--bound", bound, "Seconds after the return within which goodput must be back");
  app.add_flag("--on", on, "With the limits");
  app.add_flag("--keyed", keyed);
  app.add_flag("--together", together, "All that wait come at one moment, after the return");
  app.add_flag("--twice", twice, "A quarter dies again during the ramp");
  app.add_flag("--reload", reload, "SIGHUP amid the storm, and SIGTERM at its height");
  app.add_flag("--json", json, "Log as JSON");
  app.add_flag("--series", series);
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);

  net::BufferPool pool(8192);
  net::Loop loop;
  net::StreamContext shared{loop, pool, false};
  rig::Auditor audit;
  rig::Discovery discovery(shared);
  rig::WorkerPlan plan;
  plan.warm_up = warm_up * 1'000'000;
  std::vector<std::unique_ptr<rig::Worker>> fleet;
  for (int i = 0; i <= workers; ++i) {  // one more, which will drain
    plan.zone = i % 2;
    fleet.push_back(std::make_unique<rig::Worker>(shared, audit, "w" + std::to_string(i), plan,
                                                  static_cast<std::uint64_t>(seed * 100 + i)));
    discovery.Tell(fleet.back()->entry());
  }
  e2e::Config site;
  site.discovery = discovery.address();
  for (const auto& w : fleet)
    site.targets += (site.targets.empty() ? "" : ",") +
                    e2e::Target(w->entry().name, w->entry().at, w->entry().zone == 0 ? "a" : "b");
  site.sockets = 1024;
  site.warm_up = static_cast<int>(plan.warm_up);
  site.aim = 1'200'000;
  site.deadline = 3'000'000;
  e2e::Program program(site.Json(), "{\"enabled\":false}",
                       std::string("{\"log\":{\"connections\":false,\"form\":\"") + (json ? "json" : "text") +
                           "\"},\"limits\":{\"enabled\":" + (on ? "true" : "false") + "}}");
  for (const auto& w : fleet) w->CallBackTo(program.address);

  rig::CrowdPlan crowd_plan;
  crowd_plan.per_s = load * workers * plan.slots * 1e6 / static_cast<double>(plan.run);
  crowd_plan.at_once = at_once;
  crowd_plan.keyed = keyed;
  rig::Crowd crowd(shared, audit, crowd_plan, program.address, static_cast<std::uint64_t>(seed));
  std::list<net::Timer> timers;
  const auto after = [&](double seconds, std::function<void()> what) {
    timers.emplace_back(loop, std::move(what));
    timers.back().Start(static_cast<Micros>(seconds * 1e6));
  };
  constexpr int kDies = 7;
  const int back = kDies + dead;
  constexpr double kNotice = 0.7;
  const int last = twice ? back + 4 : back, end = last + warm_up + 9;
  const int part = workers / 4;
  const auto tell = [&](double at, int from) {
    after(at, [&, from] {
      for (int i = from; i < from + part; ++i) discovery.Tell(fleet[static_cast<std::size_t>(i)]->entry());
    });
  };
  const auto fault = [&](double dies, double returns, int from) {
    after(dies, [&, from] {
      for (int i = from; i < from + part; ++i) fleet[static_cast<std::size_t>(i)]->Die();
    });
    tell(dies + kNotice, from);
    after(returns, [&, from] {
      for (int i = from; i < from + part; ++i) fleet[static_cast<std::size_t>(i)]->Return();
    });
    tell(returns + kNotice / 2, from);
  };
  fault(kDies, back, 0);
  if (twice) fault(back + 1, back + 4, part);
  after(3, [&] {  // one worker drains, so that the rule on fresh work is put to the test as well
    fleet.back()->Drains();
    discovery.Tell(fleet.back()->entry());
  });
  if (together) {
    for (int n = 0; n < 3; ++n) after(last + 1 + n, [&] { crowd.Together(); });
  }
  if (reload) {
    after(kDies + 2, [&] { program.Signal(SIGHUP); });
    after(kDies + 3, [&] {
      crowd.Stop();
      program.Signal(SIGTERM);
    });
  }
  after(reload ? kDies + 3 : end, [&] { crowd.Stop(); });
  bool over = false;
  after((reload ? kDies + 3 : end) + 3.5, [&] {
    over = true;
    loop.Stop();
  });
  loop.Run();
  if (!crowd.idle() && !reload) audit.Break("a try is left without an answer");
  if (!reload) program.Signal(SIGTERM);
  if (program.WaitForExit() != 0) audit.Break("the program did not end with 0");

  auto& s = crowd.seconds;
  s.resize(static_cast<std::size_t>(end) + 6);
  const auto mean = [&](int from, int to) {
    double sum = 0;
    for (int i = from; i < to; ++i) sum += s[static_cast<std::size_t>(i)].in_time;
    return sum / (to - from);
  };
  const double usual = mean(2, kDies);
  int recovered = -1;
  for (int at = last; at + 2 <= end && recovered < 0; ++at) {
    if (mean(at, at + 2) >= 0.95 * usual) recovered = at - last;
  }
  int first = 0, tries = 0, hops = 0;
  for (const auto& x : s) {
    first += x.first;
    tries += x.tries;
  }
  for (const auto& w : fleet) hops += w->hops();
  std::printf(
      "%-4s load %.2f seed %d  before %6.1f/s  storm %6.1f/s  after %6.1f/s  end %6.1f/s  back after %2d s  "
      "hops/first %.3f  tries/first %.3f  waited %d/%d at once %d/%d  rules %s\n",
      on ? "on" : "off", load, seed, usual, mean(kDies, back), mean(last, last + 6), mean(end - 5, end - 1),
      recovered, first > 0 ? static_cast<double>(hops) / first : 0,
      first > 0 ? static_cast<double>(tries) / first : 0, crowd.turned_served[1], crowd.turned[1],
      crowd.turned_served[0], crowd.turned[0], audit.broken().empty() ? "kept" : "BROKEN");
  for (const auto& [rule, count] : audit.broken()) std::printf("  %s: %d\n", rule.c_str(), count);
  if (series) {
    for (std::size_t i = 0; i < s.size(); ++i)
      std::printf("  %2zu first %4d tries %4d served %4d in time %4d refused %4d failed %4d\n", i, s[i].first,
                  s[i].tries, s[i].served, s[i].in_time, s[i].refused, s[i].failed);
    std::fputs(program.log.c_str(), stdout);
  }
  const bool late = bound >= 0 && (recovered < 0 || recovered > bound);
  if (late) std::printf("  goodput was not back within %d s\n", bound);
  return over && audit.broken().empty() && !late ? 0 : 1;
}
