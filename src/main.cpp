// heronway: the command line, and the wiring of the parts.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>

#include "src/config/config.h"
#include "src/fronts/faktory/front.h"
#include "src/fronts/http/front.h"
#include "src/log/log.h"
#include "src/trace/trace.h"

namespace {

using namespace heronway;

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

// Reads the configuration again. Guards what is held and what is served: a file that cannot be used whole is
// not used at all, and nothing but the address of discovery changes while the program runs.
void Reload(const std::string& path, config::Config& in_force, http::Front& front) {
  try {
    const config::Config next = config::Load(path, config::Reading::kAgain);
    for (const std::string& key : config::NeedsRestart(in_force, next))
      log::Event(log::Level::kWarn, "reload", {{"waits_for_next_start", key}});
    const bool moved = !net::Same(next.discovery, in_force.discovery);
    log::Event(log::Level::kInfo, "reload",
               {{"discovery", net::ToText(next.discovery)}, {"moved", moved ? "yes" : "no"}});
    if (!moved) return;
    in_force.discovery = next.discovery;
    front.MoveDiscovery(next.discovery);
  } catch (const std::exception& e) {
    log::Event(log::Level::kError, "reload",
               {{"failed", e.what()}, {"in_force", "the configuration before"}});
  }
}

int Serve(const std::string& path, config::Config& config, const config::Options& options,
          const config::FaktoryConfig& faktory) {
  signal(SIGPIPE, SIG_IGN);
  net::Loop loop;
  net::BufferPool pool(static_cast<std::size_t>(config.memory_mb) * 1024 * 1024 * 3 / 10 /
                       sizeof(net::Buffer));
  net::Shared shared{loop, pool, options.log.connections};
  int undrained = faktory.enabled ? 2 : 1;
  const auto drained = [&] {
    if (--undrained == 0) loop.Stop();
  };
  http::Front front(shared, config, options, faktory.enabled, drained);
  std::unique_ptr<faktory::Front> second;
  if (faktory.enabled) second = std::make_unique<faktory::Front>(shared, config, options, faktory, drained);
  const auto drain = [&] {
    front.Drain();
    if (second) second->Drain();
  };
  const auto print = [&] {
    front.PrintCounters();
    if (second) second->PrintCounters();
  };
  net::Signal term(loop, SIGTERM, drain);
  net::Signal interrupt(loop, SIGINT, drain);
  net::Signal hup(loop, SIGHUP, [&] { Reload(path, config, front); });
  net::Signal usr1(loop, SIGUSR1, print);
  const auto listening = [&](const char* which, const net::Address& at) {
    log::Event(
        log::Level::kInfo, "listening",
        {{"front", which}, {"at", net::ToText(at)}, {"name", config.name}, {"version", HERONWAY_VERSION}});
  };
  listening("http", front.address());
  if (second) listening("faktory", second->address());
  loop.Run();
  // Guards against leaving a request unread that came while the last answer went out.
  do {
    loop.RunOnce();
  } while (front.reducer().held() > 0 || (second && second->reducer().held() > 0));
  print();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heronway: schedules jobs from clients onto workers"};
  app.require_subcommand(1);
  std::string path = FromEnvironment("EDGE_CONFIG");
  std::string faktory_path, options_path;
  bool quiet = false;
  auto* serve = app.add_subcommand("serve", "Serve until SIGTERM, then finish what is held and exit");
  serve->add_option("--config", path, "The configuration, as JSON (default: $EDGE_CONFIG)");
  serve->add_option("--faktory", faktory_path,
                    "The Faktory front's file (default: deploy/faktory.json, if there)");
  serve->add_flag("--quiet", quiet, "No log line for each connection that ends");
  auto* check = app.add_subcommand("check-config", "Read the configuration and say what is wrong with it");
  check->add_option("--config", path, "The configuration, as JSON (default: $EDGE_CONFIG)");
  check->add_option("--faktory", faktory_path,
                    "The Faktory front's file (default: deploy/faktory.json, if there)");
  for (auto* command : {serve, check}) {
    command->add_option("--options", options_path,
                        "The operators' own file (default: deploy/heronway.json, if there)");
  }
  std::string trace_path;
  auto* trace = app.add_subcommand("trace", "Read a cluster trace and print what it holds; sends nothing");
  trace->add_option("FILE", trace_path, "Task events as CSV (Google's 2011 form)")->required();
  auto* version = app.add_subcommand("version", "Print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    if (version->parsed()) {
      std::printf("heronway %s\n", HERONWAY_VERSION);
      return 0;
    }
    if (trace->parsed()) {
      std::ifstream in(trace_path, std::ios::binary);
      if (!in) throw heronway::trace::TraceError("trace: cannot read the file " + trace_path);
      std::fputs(heronway::trace::ToText(heronway::trace::Read(in)).c_str(), stdout);
      return 0;
    }
    config::Config config = config::Load(path);
    const config::FaktoryConfig faktory = config::LoadFaktory(faktory_path);
    config::Options options = config::LoadOptions(options_path);
    if (quiet) options.log.connections = false;
    if (check->parsed()) {
      std::printf("%s: %zu classes, listens at %s\n", config.name.c_str(), config.classes.size(),
                  net::ToText(config.listen).c_str());
      return 0;
    }
    log::Configure(options.log);
    return Serve(path, config, options, faktory);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "heronway: %s\n", e.what());
    return 2;
  }
}
