// learn_rig: two schedulers that run, and a third that starts beside them under load just after a quarter of
// the stand-in workers died, of which discovery tells late. Prints what became of the third one's jobs in its
// first ten seconds, by the clients' count; exits with 1 where a rule is broken.
//
//   --told nothing   the third one has no cluster
//   --told peers     it joins the other two
//   --told wrong     it joins them, and to one of them the good workers look dead and the dead ones lead to a
//                    good one
//   --told stale     it joins them, and one of them is stopped from just before the death until it is asked
#include <CLI/CLI.hpp>
#include <cstdio>

#include "e2e_harness.h"
#include "tests/rig/rig.h"

using namespace heronway;
using rig::Micros;

int main(int argc, char** argv) {
  int workers = 12, seed = 1;
  double load = 0.6;
  bool probes = false;
  std::string told = "peers";
  CLI::App app{"learn_rig: a fresh scheduler on loopback"};
  app.add_option("--told", told)->check(CLI::IsMember({"nothing", "peers", "wrong", "stale"}));
  app.add_option("--workers", workers)->check(CLI::Range(4, 40));
  app.add_option("--load", load, "Of what the whole fleet can do");
  app.add_option("--seed", seed);
  app.add_flag("--probes", probes, "The site allows probes");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);

  net::BufferPool pool(8192);
  net::Loop loop;
  net::StreamContext shared{loop, pool, false};
  rig::Auditor audit;
  rig::Discovery discovery(shared), wrong(shared);
  rig::WorkerPlan work;
  work.run = 100'000;
  std::vector<std::unique_ptr<rig::Worker>> fleet;
  for (int i = 0; i < workers; ++i) {
    fleet.push_back(std::make_unique<rig::Worker>(shared, audit, "w" + std::to_string(i), work,
                                                  static_cast<std::uint64_t>(seed * 100 + i)));
    discovery.Tell(fleet.back()->entry());
  }
  const int dead = workers / 4;
  for (int i = 0; i < workers; ++i) {
    rig::Entry entry = fleet[static_cast<std::size_t>(i)]->entry();
    entry.at = i < dead ? fleet.back()->entry().at : "127.0.0.1:1";
    wrong.Tell(entry);
  }
  const std::string at =
      "127." + std::to_string(2 + getpid() % 90) + "." + std::to_string(1 + getpid() / 90 % 250);
  const auto start = [&](int i) {
    const bool misled = told == "wrong" && i == 1;
    const rig::Discovery& list = misled ? wrong : discovery;
    e2e::Config site;
    site.discovery = list.address();
    for (int w = 0; w < workers; ++w) {
      const rig::Entry e = fleet[static_cast<std::size_t>(w)]->entry();
      site.targets +=
          (site.targets.empty() ? "" : ",") + e2e::Target(e.name, !misled    ? e.at
                                                                  : w < dead ? fleet.back()->entry().at
                                                                             : "127.0.0.1:1");
    }
    site.console = "127.0.0.1:0";
    site.sockets = 1024;
    site.aim = 600'000;
    site.deadline = 3'000'000;
    if (probes) site.extra_limits = ",\"probes\":true";
    const std::string name(1, static_cast<char>('a' + i));
    const std::string listen = at + "." + std::to_string(1 + i) + ":7946";
    const std::string cluster = "{\"enabled\":true,\"fleet\":\"learn\",\"name\":\"" + name +
                                "\",\"listen\":\"" + listen + "\",\"join\":[\"" + at + ".1:7946\",\"" + at +
                                ".2:7946\"]}";
    return std::make_unique<e2e::Program>(
        site.Json(), "{\"enabled\":false}",
        "{\"log\":{\"connections\":false},\"cluster\":" +
            (i == 2 && told == "nothing" ? "{\"enabled\":false}" : cluster) + "}");
  };
  std::vector<std::unique_ptr<e2e::Program>> programs;
  std::vector<std::unique_ptr<rig::Crowd>> crowds;
  const auto serve = [&](double share) {
    const auto i = static_cast<int>(programs.size());
    programs.push_back(start(i));
    for (const auto& w : fleet) w->CallBackTo(static_cast<char>('a' + i), programs.back()->address);
    rig::CrowdPlan plan;
    plan.run = work.run;
    plan.aim = 600'000;
    plan.prefix = std::string(1, static_cast<char>('a' + i));
    plan.per_s = share * load * workers * work.slots * 1e6 / static_cast<double>(work.run);
    crowds.push_back(std::make_unique<rig::Crowd>(shared, audit, plan, programs.back()->address,
                                                  static_cast<std::uint64_t>(seed * 10 + i)));
  };
  std::list<net::Timer> timers;
  const auto after = [&](double seconds, std::function<void()> what) {
    timers.emplace_back(loop, std::move(what));
    timers.back().Start(static_cast<Micros>(seconds * 1e6));
  };
  serve(0.375);
  serve(0.375);
  constexpr double kDies = 5, kFresh = 5.3, kNotice = 2;
  after(kDies, [&] {
    for (int i = 0; i < dead; ++i) fleet[static_cast<std::size_t>(i)]->Die();
  });
  if (told == "stale") {
    // What it tells is what it knew before the death: it wakes with the question already there.
    after(kDies - 0.1, [&] { programs[1]->Signal(SIGSTOP); });
    after(kFresh + 0.3, [&] { programs[1]->Signal(SIGCONT); });
  }
  after(kFresh, [&] { serve(0.25); });
  after(kDies + kNotice, [&] {
    for (int i = 0; i < dead; ++i) discovery.Tell(fleet[static_cast<std::size_t>(i)]->entry());
  });
  after(kDies + 6, [&] {  // back, and cold
    for (int i = 0; i < dead; ++i) fleet[static_cast<std::size_t>(i)]->Return();
  });
  after(kDies + 6.4, [&] {
    for (int i = 0; i < dead; ++i) discovery.Tell(fleet[static_cast<std::size_t>(i)]->entry());
  });
  after(kFresh + 10.2, [&] {
    for (const auto& c : crowds) c->Stop();
  });
  after(kFresh + 13.7, [&] { loop.Stop(); });
  loop.Run();
  rig::Second sum;
  for (const rig::Second& s : crowds.back()->seconds) {
    sum.first += s.first;
    sum.tries += s.tries;
    sum.served += s.served;
    sum.in_time += s.in_time;
    sum.refused += s.refused;
    sum.failed += s.failed;
  }
  for (const auto& c : crowds) {
    if (!c->idle()) audit.Break("a try is left without an answer");
  }
  std::string figures = e2e::Conn::Connect(programs.back()->console_address)
                            .RequestHttp("GET /v1/metrics HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n");
  const auto figure = [&](const std::string& name) {
    const auto n = figures.find(name + "=");
    return n == figures.npos ? 0 : std::stoi(figures.substr(n + name.size() + 1));
  };
  const int sends = figure("app.transactions.preview.sends"), looked = figure("app.fleet.news_looked_into");
  for (const auto& p : programs) {
    p->Signal(SIGTERM);
    if (p->WaitForExit() != 0) audit.Break("a program did not end with 0");
  }
  std::printf(
      "told %-7s probes %d seed %d  first %d tries %d served %d in time %d late %d lost %d  sends %d "
      "learnt %d  rules %s\n",
      told.c_str(), probes, seed, sum.first, sum.tries, sum.served, sum.in_time, sum.served - sum.in_time,
      sum.refused + sum.failed, sends, looked, audit.broken().empty() ? "kept" : "BROKEN");
  for (const auto& [rule, count] : audit.broken()) std::printf("  %s: %d\n", rule.c_str(), count);
  return audit.broken().empty() ? 0 : 1;
}
