// slow_discovery_rig: processes of the program are moved by SIGHUP to a discovery that takes long for each
// answer, and half of the servers begin to drain. Judged by the rules; prints a row, exits with 1 where a
// rule is broken or work is refused though the list may be acted on.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

#include "e2e_harness.h"
#include "tests/rig/rig.h"

using namespace heronway;
using rig::Micros;

namespace {

constexpr Micros kMs = 1'000, kSecond = 1'000'000;

struct Plan {
  int processes = 3, servers = 24, seed = 1;
  double answer = 0;  // seconds that a call takes
  double moves = 2, drains = 4, ends = 20;
  int signals = 1;          // SIGHUPs in series, each to the other address
  double least_served = 0;  // of all tries
  bool shared = false, composed_first = false;
  std::string logs;
};

std::string AddressOf(int scheduler) {
  constexpr int kFirstPort = 20'000;
  return rig::OwnHost(1) + ":" + std::to_string(kFirstPort + scheduler);
}

class Play {
 public:
  explicit Play(const Plan& plan)
      : plan_(plan),
        discovery_(shared_, static_cast<std::uint64_t>(plan.seed), plan.processes, 2),
        lateness_(loop_) {
    audit_.Allow(&lateness_);
    rig::Slowness slowness;
    slowness.per_call = static_cast<Micros>(plan.answer * 1e6);
    slowness.one_at_a_time = plan.shared;
    slowness.composed_first = plan.composed_first;
    discovery_.SetSlowness(1, slowness);
    if (plan.signals > 1) discovery_.SetSlowness(0, slowness);
    StartServers();
    for (int s = 0; s < plan.processes; ++s) StartScheduler(s);
    for (int n = 0; n < plan.signals; ++n) {
      constexpr double kBetweenSignals = 0.3;
      At(plan.moves + n * kBetweenSignals, [this, site = plan.signals % 2 == n % 2 ? 0 : 1] { Move(site); });
    }
    At(plan.drains, [this] { DrainHalf(); });
    At(plan.ends, [this] {
      for (auto& crowd : crowds_) crowd->Stop();
    });
    constexpr double kLastAnswers = 3.5;
    At(plan.ends + kLastAnswers, [this] { loop_.Stop(); });
  }

  int Run() {
    loop_.Run();
    KeepLogs();
    int tries = 0, served = 0, refused = 0;
    for (const auto& crowd : crowds_) {
      for (const auto& second : crowd->seconds) {
        tries += second.tries;
        served += second.served;
        refused += second.refused;
      }
    }
    const auto late = audit_.broken().find("fresh work for a drained target");
    std::printf(
        "answers after %.1f s%s%s: %d late sends, %d calls, %d given up, %d tries, %d served, %d refused\n",
        plan_.answer, plan_.shared ? ", one at a time for all" : "",
        plan_.composed_first ? ", composed first" : "", late == audit_.broken().end() ? 0 : late->second,
        discovery_.calls(), discovery_.abandoned(), tries, served, refused);
    for (const auto& [rule, times] : audit_.broken())
      std::printf("  BROKEN: %s, %d times, first %s\n%s", rule.c_str(), times, audit_.first(rule).c_str(),
                  audit_.StoryOf(audit_.first(rule)).c_str());
    const bool enough = served >= plan_.least_served * tries;
    if (!enough) std::printf("  BROKEN: under %.2f of the tries are served\n", plan_.least_served);
    return audit_.broken().empty() && enough ? 0 : 1;
  }

 private:
  static char Letter(int scheduler) { return static_cast<char>('A' + scheduler); }

  void StartServers() {
    rig::WorkerPlan worker;
    worker.run = 50 * kMs;
    std::string letters;
    for (int s = 0; s < plan_.processes; ++s) letters += Letter(s);
    for (int i = 0; i < plan_.servers; ++i) {
      worker.zone = i % 2;
      servers_.push_back(std::make_unique<rig::Worker>(shared_, audit_, "w" + std::to_string(i), worker,
                                                       static_cast<std::uint64_t>(plan_.seed * 997 + i)));
      for (int s = 0; s < plan_.processes; ++s) servers_.back()->CallBackTo(Letter(s), AddressOf(s));
      servers_.back()->JudgeBy(&discovery_, letters);
      discovery_.Tell(servers_.back()->entry());
    }
  }

  std::string Config(int scheduler, int site) const {
    e2e::Config config;
    config.discovery = discovery_.address(scheduler, site);
    config.listen = AddressOf(scheduler);
    config.deadline = 2'500'000;
    config.aim = config.deadline / 2;
    std::string json = config.Json();
    const auto replace = [&json](const std::string& from, const std::string& to) {
      json.replace(json.find(from), from.size(), to);
    };
    replace("\"known\":{\"generation\":4,\"reset\":true,\"instances\":[]}",
            "\"known\":" + discovery_.Known());
    replace("\"fall\":", "\"stopSendingWithin\":2000000,\"fall\":");
    replace("\"az\":0", "\"az\":0,\"peersTotal\":" + std::to_string(plan_.processes));
    return json;
  }

  void StartScheduler(int s) {
    programs_.push_back(std::make_unique<e2e::Program>(Config(s, 0), "{\"enabled\":false}",
                                                       "{\"log\":{\"connections\":false}}"));
    rig::CrowdPlan crowd;
    crowd.per_s = 40;
    crowd.deadline = 2'500 * kMs;
    crowd.slack = 500 * kMs;
    crowd.resends = true;
    crowd.prefix = std::string(1, Letter(s));
    crowds_.push_back(std::make_unique<rig::Crowd>(shared_, audit_, crowd, AddressOf(s),
                                                   static_cast<std::uint64_t>(plan_.seed * 7919 + s)));
  }

  void KeepLogs() {
    for (std::size_t s = 0; s < programs_.size() && !plan_.logs.empty(); ++s) {
      programs_[s]->Kill();
      std::ofstream(plan_.logs + "/" + Letter(static_cast<int>(s))) << programs_[s]->log;
    }
  }

  void At(double second, std::function<void()> what) {
    timers_.emplace_back(loop_, std::move(what));
    timers_.back().Start(static_cast<Micros>(second * static_cast<double>(kSecond)));
  }

  void Move(int site) {
    discovery_.Fail(rig::Discovery::Failure::kSlow);
    for (int s = 0; s < plan_.processes; ++s) {
      programs_[static_cast<std::size_t>(s)]->WriteConfig(Config(s, site));
      programs_[static_cast<std::size_t>(s)]->Signal(SIGHUP);
    }
  }

  void DrainHalf() {
    for (std::size_t i = 0; i < servers_.size(); i += 2) {
      servers_[i]->Drains();
      discovery_.Tell(servers_[i]->entry());
    }
  }

  Plan plan_;
  net::BufferPool pool_{1 << 16};
  net::Loop loop_;
  net::StreamContext shared_{loop_, pool_, false};
  rig::Auditor audit_;
  rig::Discovery discovery_;
  rig::Lateness lateness_;
  std::vector<std::unique_ptr<rig::Worker>> servers_;
  std::vector<std::unique_ptr<e2e::Program>> programs_;
  std::vector<std::unique_ptr<rig::Crowd>> crowds_;
  std::list<net::Timer> timers_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"slow_discovery_rig: SIGHUP to a slow discovery, then half of the servers drain"};
  Plan plan;
  app.add_option("--processes", plan.processes)->check(CLI::Range(1, 16));
  app.add_option("--servers", plan.servers)->check(CLI::Range(2, 100));
  app.add_option("--seed", plan.seed);
  app.add_option("--answer", plan.answer, "seconds that each call takes")->check(CLI::Range(0.0, 60.0));
  app.add_option("--signals", plan.signals, "SIGHUPs, 0.3 s apart, each to the other address")
      ->check(CLI::Range(1, 20));
  app.add_option("--drains", plan.drains, "when half of the servers begin to drain, in seconds");
  app.add_option("--ends", plan.ends, "when the clients end, in seconds");
  app.add_option("--least-served", plan.least_served, "of all tries")->check(CLI::Range(0.0, 1.0));
  app.add_flag("--shared", plan.shared, "one call at a time for all processes, also those given up");
  app.add_flag("--composed-first", plan.composed_first,
               "answers hold the list as it was when they were asked");
  app.add_option("--logs", plan.logs, "where the processes' logs are kept, a file each")
      ->check(CLI::ExistingDirectory);
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  return Play(plan).Run();
}
