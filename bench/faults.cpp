// Plays faults between processes of the program and checks the history.
//   fault_rig --plan FILE                     a plan of one's own
//   fault_rig --members 5 --faults 10 --seed 3   one drawn from a seed; --show prints it and plays nothing
//   fault_rig --check HISTORY                 reads a history again
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tests/faults/fleet.h"

int main(int argc, char** argv) {
  using namespace heronway::faults;
  CLI::App app{"fault_rig: processes of the program with faults between them"};
  std::string plan_path, history = "/dev/null", check, program = HERONWAY_PROGRAM, kind;
  int members = 3, faults = 4, copies = 1, takeover_ms = 0;
  std::uint64_t seed = 1;
  bool show = false, disks = false;
  app.add_option("--plan", plan_path)->check(CLI::ExistingFile);
  app.add_option("--members", members)->check(CLI::Range(1, 60));
  app.add_option("--faults", faults)->check(CLI::Range(0, 1000));
  app.add_option("--copies", copies, "Over 1: jobs are durable, and so many copies of them are kept")
      ->check(CLI::Range(1, 7));
  app.add_option("--takeover", takeover_ms,
                 "Over 0: Faktory jobs too, and another runs those of one that is gone")
      ->check(CLI::Range(0, 60'000));
  app.add_flag("--disks", disks, "One that is killed may lose its disk");
  app.add_option("--seed", seed);
  app.add_option("--kind", kind, "Of one kind alone: kill, stop, cut, one_way, weather, breaks, restarts");
  app.add_option("--history", history, "Where it goes; default: a file that is removed");
  app.add_option("--check", check, "Play nothing: check this history")->check(CLI::ExistingFile);
  app.add_option("--program", program, "Another build of the program")->check(CLI::ExistingFile);
  app.add_flag("--show", show, "Print the plan");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  std::string summary;
  try {
    bool own = false;
    if (check.empty()) {
      Plan plan;
      if (!plan_path.empty()) {
        std::ostringstream text;
        text << std::ifstream(plan_path).rdbuf();
        plan = ReadPlan(text.str());
      } else {
        plan = DrawPlan(members, faults, seed, kind, disks);
        plan.copies = copies;
        plan.takeover_ms = takeover_ms;
      }
      if (show) {
        std::fputs(WritePlan(plan).c_str(), stdout);
        return 0;
      }
      if (history == "/dev/null") {
        char name[] = "/tmp/heronway-history-XXXXXX";
        const int fd = mkstemp(name);
        if (fd < 0) throw std::runtime_error("no file can be made");
        close(fd);
        history = name;
        own = true;
      }
      Fleet fleet(plan, seed, program, history);
      fleet.Play();
      check = history;
    }
    const std::string breach = Check(check, summary);
    if (own && breach.empty()) std::remove(history.c_str());
    std::printf("seed %llu %s: %s\n", static_cast<unsigned long long>(seed), summary.c_str(),
                breach.empty() ? "no breach" : breach.c_str());
    if (!breach.empty()) std::printf("the history is in %s\n", history.c_str());
    return breach.empty() ? 0 : 1;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "fault_rig: %s\n", e.what());
    return 2;
  }
}
