// heronway: the command line, and the wiring of the parts.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>

#include "src/cluster/copies/commands.h"
#include "src/cluster/copies/replica_manager.h"
#include "src/cluster/members_tool.h"
#include "src/cluster/net/node.h"
#include "src/config/config.h"
#include "src/durable/job_commands.h"
#include "src/fronts/console/endpoints.h"
#include "src/fronts/faktory/front.h"
#include "src/fronts/http/front.h"
#include "src/fronts/log_reports.h"
#include "src/log/log.h"
#include "src/match/service.h"
#include "src/match/rule_commands.h"
#include "src/trace/trace.h"

namespace {

using namespace heronway;
using FleetFigures = std::vector<std::pair<std::string, std::uint64_t>>;
using Text = std::function<std::string()>;

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

// Reads the configuration again. Guards what is held and what is served: a file that cannot be used whole is
// not used at all, and nothing but the address of discovery changes while the program runs.
bool Reload(const std::string& path, config::Config& in_force, const config::Options& options,
            http::Front& front, faktory::Front* second, match::Service* rules) {
  try {
    // Read first, taken last: a fault in either file leaves both as they were.
    const std::string text = rules != nullptr ? match::ReadRuleFile(options.match.rules) : "";
    const config::Config next = config::Load(path, config::Reading::kAgain);
    for (const std::string& key : config::NeedsRestart(in_force, next))
      log::Event(log::Level::kWarn, "reload", {{"waits_for_next_start", key}});
    const bool moved = !net::SameAddress(next.discovery, in_force.discovery);
    if (rules != nullptr && rules->Replace(options.match.rules, text)) {
      front.RulesChanged();
      if (second != nullptr) second->RulesChanged();
    }
    log::Event(log::Level::kInfo, "reload",
               {{"discovery", net::ToText(next.discovery)}, {"moved", moved ? "yes" : "no"}});
    if (!moved) return true;
    in_force.discovery = next.discovery;
    front.SetDiscoveryAddress(next.discovery);
    return true;
  } catch (const std::exception& e) {
    log::Event(log::Level::kError, "reload",
               {{"failed", e.what()}, {"in_force", "the configuration before"}});
    return false;
  }
}

// Null where no rule file is set.
std::unique_ptr<match::Service> LoadRules(const config::Config& config, const config::Options& options) {
  const std::string& file = options.match.rules;
  if (file.empty()) return nullptr;
  return std::make_unique<match::Service>(
      file, match::ReadRuleFile(file), match::Limits{options.match.budget_us * 1000},
      match::Service::Site{config.classes, config.zones, config.kinds}, config.seed + 2);
}

// Makes this scheduler a member of its fleet; what the fleet looks like goes to the reducers.
std::unique_ptr<cluster::Node> JoinFleet(net::StreamContext& shared, const config::Config& config,
                                         const config::Options& options, http::Front& front,
                                         faktory::Front* second,
                                         const cluster::copies::ReplicaManager* copies) {
  std::string fronts = "http=" + net::ToText(front.address());
  if (second != nullptr) fronts += ",faktory=" + net::ToText(second->address());
  if (copies != nullptr) fronts += ",copies=" + net::ToText(copies->address());
  const auto zone = static_cast<std::size_t>(config.module.settings.zone);
  return std::make_unique<cluster::Node>(
      shared, options.cluster, config.name, zone < config.zones.size() ? config.zones[zone] : "", fronts,
      config.seed + 6,
      cluster::Node::Callbacks{[&front, second](cluster::QuorumState standing, int schedulers) {
                                 front.UpdateFleetView({standing, schedulers});
                                 if (second != nullptr) second->UpdateFleetView({standing, schedulers});
                               },
                               [&front](const cluster::TargetAdvice& hint) { front.ApplyAdvice(hint); },
                               (config.module.settings.nodes + 1) / 2});
}

// Whether `join` names another than this member itself.
bool ExpectsOthers(const cluster::Options& options) {
  return std::any_of(options.join.begin(), options.join.end(), [&options](const net::Address& at) {
    return !net::SameAddress(at, options.listen) && !net::SameAddress(at, options.advertise);
  });
}

// Null where no copies are kept. The fronts' stores are led through it.
std::unique_ptr<cluster::copies::ReplicaManager> KeepCopies(net::StreamContext& shared,
                                                            const config::Config& config,
                                                            config::Options& options) {
  if (options.cluster.copies <= 1) return nullptr;
  const cluster::Options& o = options.cluster;
  auto copies = std::make_unique<cluster::copies::ReplicaManager>(
      shared,
      cluster::copies::ReplicaManager::Settings{o.fleet, o.name.empty() ? config.name : o.name, o.copies,
                                                o.copies_listen, o.copies_address_overrides, o.takeover_delay,
                                                ExpectsOthers(o), options.durable.folder, config.seed + 8});
  options.durable.replicate = [c = copies.get()](const std::string& front,
                                                 std::unique_ptr<durable::SqliteStore> store) {
    return c->OpenReplicatedStore(front, std::move(store));
  };
  return copies;
}

// The newest life of each name, one that is there before others.
std::vector<cluster::copies::KnownMember> SeenBy(const cluster::Node& node) {
  std::map<std::string, cluster::copies::KnownMember> by_name;
  for (const cluster::MemberView& v : node.core().Members()) {
    const bool here = v.record.state <= cluster::MemberState::kSuspect;
    cluster::copies::KnownMember& seen = by_name[v.record.id.name];
    if (!here && !seen.name.empty() && seen.gone_since < 0) continue;
    seen.name = v.record.id.name;
    seen.zone = v.record.zone;
    seen.gone_since = here ? -1 : v.since;
    constexpr std::string_view kLabel = "copies=";
    const auto at = v.record.fronts.find(kLabel);
    seen.address = at == std::string::npos ? "" : v.record.fronts.substr(at + kLabel.size());
    seen.address = seen.address.substr(0, seen.address.find(','));
  }
  std::vector<cluster::copies::KnownMember> all;
  for (auto& [name, seen] : by_name) all.push_back(std::move(seen));
  return all;
}

// What another scheduler is told of a job that is known here, or not.
cluster::copies::LookupResult VerdictOf(const durable::Job* job, bool known_now) {
  using cluster::copies::LookupStatus;
  if (!known_now) return {LookupStatus::kRetry, {}};
  if (job == nullptr) return {LookupStatus::kUnknown, {}};
  if (job->state != durable::JobState::kFinished) return {LookupStatus::kOpen, {}};
  if (job->outcome != durable::Outcome::kDone) return {LookupStatus::kFailed, {}};
  return {LookupStatus::kDone, job->text};
}

// What is held for schedulers that are gone goes through the fronts, as their own does.
void ServeCopies(cluster::copies::ReplicaManager& copies, http::Front& front, faktory::Front* second) {
  const auto driver = [&front, second](const std::string& name) -> net::Driver* {
    return name == "http" ? &front.driver() : second != nullptr ? &second->driver() : nullptr;
  };
  copies.SetFrontHooks(
      {[driver](durable::TransferredJobs held) {
         if (net::Driver* d = driver(held.front)) d->AdoptJobs(std::move(held));
       },
       [driver](const std::string& group, const std::string& name, bool own) {
         if (net::Driver* d = driver(name)) d->LoseGroup(group, own);
       },
       [driver](const std::string& group, const std::string& name) {
         net::Driver* d = driver(name);
         return d == nullptr || d->QuiesceGroup(group);
       },
       [driver](const std::string& name, core::HopCallback news, std::function<void(bool)> told) {
         net::Driver* d = driver(name);
         return d != nullptr && d->HandleReport(std::move(news), std::move(told));
       },
       [driver](const std::string& name, const cluster::copies::JobName& job,
                std::function<void(cluster::copies::LookupResult)> told) {
         net::Driver* d = driver(name);
         if (d == nullptr) return told({});
         d->FindJob(job.text, job.is_alias,
                    [told](const durable::Job* found, bool known_now) { told(VerdictOf(found, known_now)); });
       }});
  const auto lead = [&copies, driver](const std::string& name) {
    return [&copies, d = driver(name), name](const core::HopCallback& news,
                                             cluster::copies::ReportForwarder::Done told) {
      // It may be among those that are still coming.
      if (d->adopting()) return told(cluster::copies::ForwardOutcome::kRetry);
      copies.ForwardReport(name, news, std::move(told));
    };
  };
  front.SetReportForwarder(lead("http"));
  if (second != nullptr) second->SetReportForwarder(lead("faktory"));
  const auto look_up = [&copies](const std::string& name, bool is_alias) {
    return [&copies, name, is_alias](const std::string& job, net::Micros patience, auto told) {
      copies.LookUpJob(name, {job, is_alias}, patience, std::move(told));
    };
  };
  front.SetJobLookup(look_up("http", true));
  if (second != nullptr) second->SetJobLookup(look_up("faktory", false));
}

// Signals that come before the program listens to them wait: SIGHUP would end it, SIGTERM would end it over
// requests that its listener holds already. net::Signal unblocks each as it listens.
void HoldSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&set, number);
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

int Serve(const std::string& path, config::Config& config, config::Options& options,
          const config::FaktoryConfig& faktory) {
  signal(SIGPIPE, SIG_IGN);
  // Outlives the loop, which buries connections that still give their buffers back.
  net::BufferPool pool(static_cast<std::size_t>(config.memory_mb) * 1024 * 1024 * 3 / 10 /
                       sizeof(net::Buffer));
  net::Loop loop;
  net::StreamContext shared{loop, pool, options.log.connections};
  int undrained = faktory.enabled ? 2 : 1;
  const auto drained = [&] {
    if (--undrained == 0) loop.Stop();
  };
  const std::unique_ptr<match::Service> rules = LoadRules(config, options);
  const std::unique_ptr<cluster::copies::ReplicaManager> copies = KeepCopies(shared, config, options);
  http::Front front(shared, config, options, faktory.enabled, rules.get(), drained);
  std::unique_ptr<faktory::Front> second;
  if (faktory.enabled)
    second = std::make_unique<faktory::Front>(shared, config, options, faktory, rules.get(), drained);
  std::unique_ptr<cluster::Node> member;
  const auto drain = [&] {
    if (member) member->Leave();  // a planned stop is no failure
    front.Drain();
    if (second) second->Drain();
  };
  const auto print = [&] {
    front.LogStatistics();
    if (second) second->LogStatistics();
    LogRuleHits(rules.get());
  };
  net::Signal term(loop, SIGTERM, drain);
  net::Signal interrupt(loop, SIGINT, drain);
  std::uint64_t conf_loaded = 0, conf_invalid = 0;
  net::Signal hup(loop, SIGHUP, [&] {
    ++(Reload(path, config, options, front, second.get(), rules.get()) ? conf_loaded : conf_invalid);
  });
  net::Signal usr1(loop, SIGUSR1, print);
  const auto listening = [&](const char* which, const net::Address& at) {
    log::Event(
        log::Level::kInfo, "listening",
        {{"front", which}, {"at", net::ToText(at)}, {"name", config.name}, {"version", HERONWAY_VERSION}});
  };
  if (options.cluster.enabled) {
    member = JoinFleet(shared, config, options, front, second.get(), copies.get());
    if (copies) {
      copies->SetMemberSource(
          [&member] { return member ? SeenBy(*member) : std::vector<cluster::copies::KnownMember>{}; });
      ServeCopies(*copies, front, second.get());
    }
    front.SetObservationSink([&member](const cluster::TargetObservation& saw) {
      if (member) member->Observe(saw);
    });
  }
  std::unique_ptr<console::Console> desk;
  if (config.has_console) {
    const console::Operations operations{[&] { return front.Ready(); },
                                         [&](bool on) { front.SetCordoned(on); },
                                         [&] {
                                           FleetFigures figures = member ? member->Metrics() : FleetFigures{};
                                           if (copies) {
                                             for (auto& figure : copies->Counters())
                                               figures.push_back(figure);
                                           }
                                           return console::Metrics{&front.reducer().counters(),
                                                                   &config.classes,
                                                                   front.reducer().pending(),
                                                                   front.CountListedTargets(),
                                                                   front.CountUnselectableTargets(),
                                                                   conf_loaded,
                                                                   conf_invalid,
                                                                   front.invariants(),
                                                                   figures};
                                         },
                                         member ? [&] { return cluster::ClusterBody(*member); } : Text{},
                                         member ? [&] { return cluster::MembersBody(*member); } : Text{},
                                         [&] { member->Leave(); },
                                         copies ? [&] { return copies->StatusJson(); } : Text{}};
    desk = std::make_unique<console::Console>(
        shared, config.console,
        [operations](const http::Message& call) { return HandleRequest(call, operations); });
  }
  front.SetUnusedDescriptors([&] {
    std::size_t unused = 0;
    if (second) unused += second->unused_connections();
    if (desk) unused += desk->unused_connections();
    if (member) unused += member->unused_connections();
    if (copies) unused += copies->unused_connections();
    return unused;
  });
  listening("http", front.address());
  if (second) listening("faktory", second->address());
  if (desk) listening("console", desk->address());
  if (member) listening("cluster", member->address());
  loop.Run();
  member.reset();
  desk.reset();  // the operators' calls end with the program's own work
  // Guards against leaving a request unread that came while the last answer went out, on a connection that is
  // still to be accepted too, and an answer that its client has not read whole: each has its time for that.
  const auto busy = [&] {
    return front.reducer().pending() > 0 || front.HasUnsentAnswers() ||
           (second && (second->reducer().pending() > 0 || second->HasUnsentAnswers()));
  };
  for (int quiet = 0; quiet < 3; quiet = busy() ? 0 : quiet + 1)
    busy() ? loop.WaitAndRunOnce() : loop.RunOnce();
  front.CheckBeforeExit();
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
  std::string rule_path, request_path;
  double budget_us = config::MatchOptions{}.budget_us;
  auto* rule = app.add_subcommand("match", "Check, try, explain and time a rule file");
  rule->require_subcommand(1);
  auto* rule_check = rule->add_subcommand("check", "Read the file as serve would, and run its tests");
  auto* rule_eval = rule->add_subcommand("eval", "Which rule a request matches and why, value by value");
  auto* rule_explain = rule->add_subcommand("explain", "The compiled form, and what each rule costs");
  auto* rule_bench = rule->add_subcommand("bench", "Time a usual and a hostile request");
  for (auto* command : {rule_check, rule_eval, rule_explain, rule_bench}) {
    command->add_option("FILE", rule_path, "The rule file")->required();
    command->add_option("--budget-us", budget_us, "That a request may cost at worst");
  }
  rule_eval->add_option("--request", request_path, "The request, as a JSON file")->required();
  auto* rule_format = rule->add_subcommand("format", "Print the file in its usual form, comments kept");
  rule_format->add_option("FILE", rule_path, "The rule file")->required();
  bool format_write = false, format_check = false;
  rule_format->add_flag("--write", format_write, "Put it in the file's place");
  rule_format->add_flag("--check", format_check, "Print nothing; status 1 where the file differs from it")
      ->excludes("--write");
  auto* jobs = app.add_subcommand("jobs", "Look into a store of durable jobs, and mend what is in it");
  jobs->require_subcommand(1);
  std::string store_path, job_id, copy_path;
  std::vector<std::string> job_ids;
  durable::ListOptions list;
  bool show_json = false;
  auto* jobs_list = jobs->add_subcommand("list", "A row for each job, and how many there are in each state");
  auto* jobs_show = jobs->add_subcommand("show", "Everything of one job");
  auto* jobs_retry = jobs->add_subcommand("retry", "Take failed jobs on again, whatever they did before");
  auto* jobs_discard = jobs->add_subcommand("discard", "End jobs that no worker has, for good");
  auto* jobs_export = jobs->add_subcommand("export", "Every job as a line of JSON");
  auto* jobs_verify = jobs->add_subcommand("verify", "Check the whole store");
  auto* jobs_snapshot =
      jobs->add_subcommand("snapshot", "Copy the store while it serves, and check the copy");
  for (auto* command :
       {jobs_list, jobs_show, jobs_retry, jobs_discard, jobs_export, jobs_verify, jobs_snapshot})
    command->add_option("STORE", store_path, "The store's file")->required()->check(CLI::ExistingFile);
  jobs_list->add_option("--state", list.state)
      ->check(CLI::IsMember({"waiting", "retrying", "held", "done", "failed"}));
  jobs_list->add_option("--class", list.job_class, "Of this class only");
  jobs_list->add_option("--lane", list.lane, "Of this queue only");
  jobs_list->add_option("--most", list.max_rows, "Rows")->check(CLI::PositiveNumber);
  jobs_list->add_flag("--json", list.json);
  jobs_show->add_option("ID", job_id)->required();
  jobs_show->add_flag("--json", show_json);
  for (auto* command : {jobs_retry, jobs_discard}) command->add_option("ID", job_ids)->required();
  jobs_snapshot->add_option("TO", copy_path, "A file that is not there yet")->required();
  std::string console_at;
  bool members_json = false;
  auto* members = app.add_subcommand("members", "Who is in the fleet, as a running scheduler sees it");
  auto* members_leave = members->add_subcommand("leave", "Have that scheduler leave the fleet; it serves on");
  members_leave->fallthrough();
  members->add_option("--console", console_at, "HOST:PORT of its console")->required();
  members->add_flag("--json", members_json);
  auto* copies =
      app.add_subcommand("copies", "Copies of what schedulers hold: who keeps them, and the way back");
  copies->require_subcommand(1);
  auto* copies_list =
      copies->add_subcommand("list", "The groups at a running scheduler: leader, lag, who votes");
  copies_list->add_option("--console", console_at, "HOST:PORT of its console")->required();
  copies_list->add_flag("--json", members_json);
  std::string copies_folder, copies_group, copies_to;
  auto* copies_show =
      copies->add_subcommand("show", "What the copies in a folder hold, whoever serves from it");
  copies_show->add_option("FOLDER", copies_folder, "Its durable.folder")
      ->required()
      ->check(CLI::ExistingDirectory);
  auto* copies_restore =
      copies->add_subcommand("restore", "Make a store out of one copy, for a scheduler whose disk is lost");
  copies_restore->add_option("FOLDER", copies_folder, "The durable.folder that has the copy")
      ->required()
      ->check(CLI::ExistingDirectory);
  copies_restore->add_option("GROUP", copies_group, "As show names it")->required();
  copies_restore->add_option("TO", copies_to, "A file that is not there yet: FRONT.db of the new folder")
      ->required();
  auto* version = app.add_subcommand("version", "Print the version");
  CLI11_PARSE(app, argc, argv);
  if (serve->parsed()) HoldSignals();
  try {
    if (version->parsed()) {
      std::printf("heronway %s\n", HERONWAY_VERSION);
      return 0;
    }
    if (rule_check->parsed()) return match::CheckFile(rule_path, budget_us * 1000);
    if (rule_eval->parsed()) return match::EvalFile(rule_path, request_path, budget_us * 1000);
    if (rule_explain->parsed()) return match::ExplainFile(rule_path, budget_us * 1000);
    if (rule_bench->parsed()) return match::BenchFile(rule_path, budget_us * 1000);
    if (rule_format->parsed()) return match::FormatFile(rule_path, format_write, format_check);
    if (jobs_list->parsed()) return durable::ListJobs(store_path, list);
    if (jobs_show->parsed()) return durable::ShowJob(store_path, job_id, show_json);
    if (jobs_retry->parsed()) return durable::RunJobCommand(store_path, "retry", job_ids);
    if (jobs_discard->parsed()) return durable::RunJobCommand(store_path, "discard", job_ids);
    if (jobs_export->parsed()) return durable::ExportJobs(store_path);
    if (jobs_verify->parsed()) return durable::VerifyStore(store_path);
    if (jobs_snapshot->parsed()) return durable::SnapshotStore(store_path, copy_path);
    if (members_leave->parsed()) return cluster::LeaveFleet(console_at);
    if (members->parsed()) return cluster::ShowMembers(console_at, members_json);
    if (copies_list->parsed()) return cluster::copies::ListCopies(console_at, members_json);
    if (copies_show->parsed()) return cluster::copies::ShowCopies(copies_folder);
    if (copies_restore->parsed()) return cluster::copies::RestoreCopy(copies_folder, copies_group, copies_to);
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
      LoadRules(config, options);
      http::ComputeBudget(config, options, faktory.enabled);
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
