// Entry point of heronway: parses the command line, and connects the components for `serve`.
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
#include "src/match/rule_commands.h"
#include "src/match/service.h"
#include "src/trace/trace.h"

namespace {

using namespace heronway;
using FleetMetrics = std::vector<std::pair<std::string, std::uint64_t>>;
using BodySource = std::function<std::string()>;

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

// Reloads the configuration and the rule file, and returns whether both are valid. If one is not, neither is
// applied, so that pending and new requests are served as before. Of the configuration, only the address of
// discovery changes while the program runs.
bool Reload(const std::string& path, config::Config& current, const config::Options& options,
            http::Front& front, faktory::Front* faktory_front, match::Service* rules) {
  try {
    // Both files are read before either is applied.
    const std::string text = rules != nullptr ? match::ReadRuleFile(options.match.rules) : "";
    const config::Config next = config::Load(path, config::LoadReason::kReload);
    for (const std::string& key : config::KeysNeedingRestart(current, next))
      log::Event(log::Level::kWarn, "reload", {{"waits_for_next_start", key}});
    const bool moved = !net::SameAddress(next.discovery, current.discovery);
    if (rules != nullptr && rules->Replace(options.match.rules, text)) {
      front.RulesChanged();
      if (faktory_front != nullptr) faktory_front->RulesChanged();
    }
    log::Event(log::Level::kInfo, "reload",
               {{"discovery", net::ToText(next.discovery)}, {"moved", moved ? "yes" : "no"}});
    if (!moved) return true;
    current.discovery = next.discovery;
    front.SetDiscoveryAddress(next.discovery);
    return true;
  } catch (const std::exception& e) {
    log::Event(log::Level::kError, "reload",
               {{"failed", e.what()}, {"in_force", "the previous configuration"}});
    return false;
  }
}

// Compiles the rule file; null where none is configured.
std::unique_ptr<match::Service> LoadRules(const config::Config& config, const config::Options& options) {
  const std::string& file = options.match.rules;
  if (file.empty()) return nullptr;
  return std::make_unique<match::Service>(
      file, match::ReadRuleFile(file), match::Limits{options.match.budget_us * 1000},
      match::Service::Site{config.classes, config.zones, config.kinds}, config.seed + 2);
}

// Makes this scheduler a member of its fleet. The fronts receive the quorum state and the number of
// schedulers; the HTTP front also receives what other schedulers report about targets.
std::unique_ptr<cluster::Node> JoinFleet(net::StreamContext& shared, const config::Config& config,
                                         const config::Options& options, http::Front& front,
                                         faktory::Front* faktory_front,
                                         const cluster::copies::ReplicaManager* copies) {
  std::string fronts = "http=" + net::ToText(front.address());
  if (faktory_front != nullptr) fronts += ",faktory=" + net::ToText(faktory_front->address());
  if (copies != nullptr) fronts += ",copies=" + net::ToText(copies->address());
  const auto zone = static_cast<std::size_t>(config.module.settings.zone);
  return std::make_unique<cluster::Node>(
      shared, options.cluster, config.name, zone < config.zones.size() ? config.zones[zone] : "", fronts,
      config.seed + 6,
      cluster::Node::Callbacks{[&front, faktory_front](cluster::QuorumState quorum, int schedulers) {
                                 front.UpdateFleetView({quorum, schedulers});
                                 if (faktory_front != nullptr)
                                   faktory_front->UpdateFleetView({quorum, schedulers});
                               },
                               [&front](const cluster::TargetAdvice& advice) { front.ApplyAdvice(advice); },
                               (config.module.settings.nodes + 1) / 2});
}

// Whether `join` names an address other than those of this member.
bool HasOtherSeeds(const cluster::Options& options) {
  return std::any_of(options.join.begin(), options.join.end(), [&options](const net::Address& at) {
    return !net::SameAddress(at, options.listen) && !net::SameAddress(at, options.advertise);
  });
}

// Null where replication is off. Otherwise the fronts open their stores through it.
std::unique_ptr<cluster::copies::ReplicaManager> CreateReplicaManager(net::StreamContext& shared,
                                                                      const config::Config& config,
                                                                      config::Options& options) {
  if (options.cluster.copies <= 1) return nullptr;
  const cluster::Options& o = options.cluster;
  auto copies = std::make_unique<cluster::copies::ReplicaManager>(
      shared,
      cluster::copies::ReplicaManager::Settings{o.fleet, o.name.empty() ? config.name : o.name, o.copies,
                                                o.copies_listen, o.copies_address_overrides, o.takeover_delay,
                                                HasOtherSeeds(o), options.durable.folder, config.seed + 8});
  options.durable.replicate = [c = copies.get()](const std::string& front,
                                                 std::unique_ptr<durable::SqliteStore> store) {
    return c->OpenReplicatedStore(front, std::move(store));
  };
  return copies;
}

// One entry per member name: the process that is alive or suspected if there is one, otherwise the latest.
std::vector<cluster::copies::KnownMember> KnownMembers(const cluster::Node& node) {
  std::map<std::string, cluster::copies::KnownMember> by_name;
  for (const cluster::MemberView& v : node.core().Members()) {
    const bool present = v.record.state <= cluster::MemberState::kSuspect;
    cluster::copies::KnownMember& member = by_name[v.record.id.name];
    if (!present && !member.name.empty() && member.gone_since < 0) continue;
    member.name = v.record.id.name;
    member.zone = v.record.zone;
    member.gone_since = present ? -1 : v.since;
    constexpr std::string_view kLabel = "copies=";
    const auto at = v.record.fronts.find(kLabel);
    member.address = at == std::string::npos ? "" : v.record.fronts.substr(at + kLabel.size());
    member.address = member.address.substr(0, member.address.find(','));
  }
  std::vector<cluster::copies::KnownMember> members;
  for (auto& [name, member] : by_name) members.push_back(std::move(member));
  return members;
}

// The reply to the lookup of a job by another scheduler. `job`: null where it is not known here.
// `is_definite`: false while jobs are being adopted or the job is not stored yet.
cluster::copies::LookupResult LookupResultOf(const durable::Job* job, bool is_definite) {
  using cluster::copies::LookupStatus;
  if (!is_definite) return {LookupStatus::kRetry, {}};
  if (job == nullptr) return {LookupStatus::kUnknown, {}};
  if (job->state != durable::JobState::kFinished) return {LookupStatus::kOpen, {}};
  if (job->outcome != durable::Outcome::kDone) return {LookupStatus::kFailed, {}};
  return {LookupStatus::kDone, job->text};
}

// Connects the replica manager with the fronts, which take over the jobs of failed schedulers, forward
// reports on jobs that other schedulers manage, and answer lookups.
void ConnectReplicaManager(cluster::copies::ReplicaManager& copies, http::Front& front,
                           faktory::Front* faktory_front) {
  const auto driver = [&front, faktory_front](const std::string& name) -> net::Driver* {
    return name == "http" ? &front.driver() : faktory_front != nullptr ? &faktory_front->driver() : nullptr;
  };
  copies.SetFrontHooks(
      {[driver](durable::TransferredJobs jobs) {
         if (net::Driver* d = driver(jobs.front)) d->AdoptJobs(std::move(jobs));
       },
       [driver](const std::string& group, const std::string& name, bool own) {
         if (net::Driver* d = driver(name)) d->LoseGroup(group, own);
       },
       [driver](const std::string& group, const std::string& name) {
         net::Driver* d = driver(name);
         return d == nullptr || d->QuiesceGroup(group);
       },
       [driver](const std::string& name, core::HopCallback report, std::function<void(bool)> done) {
         net::Driver* d = driver(name);
         return d != nullptr && d->HandleReport(std::move(report), std::move(done));
       },
       [driver](const std::string& name, const cluster::copies::JobName& job,
                std::function<void(cluster::copies::LookupResult)> done) {
         net::Driver* d = driver(name);
         if (d == nullptr) return done({});
         d->FindJob(job.text, job.is_alias, [done](const durable::Job* found, bool is_definite) {
           done(LookupResultOf(found, is_definite));
         });
       }});
  const auto forwarder = [&copies, driver](const std::string& name) {
    return [&copies, d = driver(name), name](const core::HopCallback& report,
                                             cluster::copies::ReportForwarder::Done done) {
      // The job may be among those that are still being adopted.
      if (d->adopting()) return done(cluster::copies::ForwardOutcome::kRetry);
      copies.ForwardReport(name, report, std::move(done));
    };
  };
  front.SetReportForwarder(forwarder("http"));
  if (faktory_front != nullptr) faktory_front->SetReportForwarder(forwarder("faktory"));
  const auto look_up = [&copies](const std::string& name, bool is_alias) {
    return [&copies, name, is_alias](const std::string& job, net::Micros timeout, auto done) {
      copies.LookUpJob(name, {job, is_alias}, timeout, std::move(done));
    };
  };
  front.SetJobLookup(look_up("http", true));
  if (faktory_front != nullptr) faktory_front->SetJobLookup(look_up("faktory", false));
}

// Blocks the handled signals until net::Signal installs a handler and unblocks them. Before that, SIGHUP
// would end the process, and SIGTERM would end it while its listener already has connections with requests.
void BlockSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&set, number);
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

int Serve(const std::string& path, config::Config& config, config::Options& options,
          const config::FaktoryConfig& faktory) {
  signal(SIGPIPE, SIG_IGN);
  // Must outlive the loop: its destructor destroys closed connections, which return buffers to the pool.
  net::BufferPool pool(static_cast<std::size_t>(config.memory_mb) * 1024 * 1024 * 3 / 10 /
                       sizeof(net::Buffer));
  net::Loop loop;
  net::StreamContext shared{loop, pool, options.log.connections};
  int fronts_to_drain = faktory.enabled ? 2 : 1;
  const auto front_drained = [&] {
    if (--fronts_to_drain == 0) loop.Stop();
  };
  const std::unique_ptr<match::Service> rules = LoadRules(config, options);
  const std::unique_ptr<cluster::copies::ReplicaManager> copies =
      CreateReplicaManager(shared, config, options);
  http::Front front(shared, config, options, faktory.enabled, rules.get(), front_drained);
  std::unique_ptr<faktory::Front> faktory_front;
  if (faktory.enabled)
    faktory_front =
        std::make_unique<faktory::Front>(shared, config, options, faktory, rules.get(), front_drained);
  std::unique_ptr<cluster::Node> member;
  const auto drain = [&] {
    if (member) member->Leave();  // so that other members do not report a failure
    front.Drain();
    if (faktory_front) faktory_front->Drain();
  };
  const auto print = [&] {
    front.LogStatistics();
    if (faktory_front) faktory_front->LogStatistics();
    LogRuleHits(rules.get());
  };
  net::Signal term(loop, SIGTERM, drain);
  net::Signal interrupt(loop, SIGINT, drain);
  std::uint64_t conf_loaded = 0, conf_invalid = 0;
  net::Signal hup(loop, SIGHUP, [&] {
    ++(Reload(path, config, options, front, faktory_front.get(), rules.get()) ? conf_loaded : conf_invalid);
  });
  net::Signal usr1(loop, SIGUSR1, print);
  const auto log_listening = [&](const char* name, const net::Address& at) {
    log::Event(
        log::Level::kInfo, "listening",
        {{"front", name}, {"at", net::ToText(at)}, {"name", config.name}, {"version", HERONWAY_VERSION}});
  };
  if (options.cluster.enabled) {
    member = JoinFleet(shared, config, options, front, faktory_front.get(), copies.get());
    if (copies) {
      copies->SetMemberSource(
          [&member] { return member ? KnownMembers(*member) : std::vector<cluster::copies::KnownMember>{}; });
      ConnectReplicaManager(*copies, front, faktory_front.get());
    }
    front.SetObservationSink([&member](const cluster::TargetObservation& observation) {
      if (member) member->Observe(observation);
    });
  }
  std::unique_ptr<console::Console> console_server;
  if (config.has_console) {
    const console::Operations operations{
        [&] { return front.Ready(); },
        [&](bool on) { front.SetCordoned(on); },
        [&] {
          FleetMetrics metrics = member ? member->Metrics() : FleetMetrics{};
          if (copies) {
            for (auto& counter : copies->Counters()) metrics.push_back(counter);
          }
          return console::Metrics{&front.reducer().counters(),
                                  &config.classes,
                                  front.reducer().pending(),
                                  front.CountListedTargets(),
                                  front.CountUnselectableTargets(),
                                  conf_loaded,
                                  conf_invalid,
                                  front.invariants(),
                                  metrics};
        },
        member ? [&] { return cluster::ClusterBody(*member); } : BodySource{},
        member ? [&] { return cluster::MembersBody(*member); } : BodySource{},
        [&] { member->Leave(); },
        copies ? [&] { return copies->StatusJson(); } : BodySource{}};
    console_server = std::make_unique<console::Console>(
        shared, config.console,
        [operations](const http::Message& call) { return HandleRequest(call, operations); });
  }
  front.SetUnusedDescriptors([&] {
    std::size_t unused = 0;
    if (faktory_front) unused += faktory_front->unused_connections();
    if (console_server) unused += console_server->unused_connections();
    if (member) unused += member->unused_connections();
    if (copies) unused += copies->unused_connections();
    return unused;
  });
  log_listening("http", front.address());
  if (faktory_front) log_listening("faktory", faktory_front->address());
  if (console_server) log_listening("console", console_server->address());
  if (member) log_listening("cluster", member->address());
  loop.Run();
  member.reset();
  console_server.reset();  // closes its connections; only pending requests delay the exit
  // Exits only after three iterations without work. Otherwise a request that arrived while the last answer
  // was sent, also on a connection that is not accepted yet, would remain unread, and an answer that its
  // client has not read completely would be cut off. The usual timeouts apply to each.
  const auto busy = [&] {
    return front.reducer().pending() > 0 || front.HasUnsentAnswers() ||
           (faktory_front && (faktory_front->reducer().pending() > 0 || faktory_front->HasUnsentAnswers()));
  };
  for (int idle = 0; idle < 3; idle = busy() ? 0 : idle + 1) busy() ? loop.WaitAndRunOnce() : loop.RunOnce();
  front.CheckBeforeExit();
  print();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heronway: distributes jobs from clients to workers"};
  app.require_subcommand(1);
  std::string path = FromEnvironment("EDGE_CONFIG");
  std::string faktory_path, options_path;
  bool quiet = false;
  auto* serve = app.add_subcommand("serve", "Serve until SIGTERM, then finish pending requests and exit");
  serve->add_option("--config", path, "The configuration file, JSON (default: $EDGE_CONFIG)");
  serve->add_option("--faktory", faktory_path,
                    "Settings of the Faktory front (default: deploy/faktory.json, if it exists)");
  serve->add_flag("--quiet", quiet, "Do not log a line for each connection that ends");
  auto* check = app.add_subcommand("check-config", "Validate the configuration and report the first error");
  check->add_option("--config", path, "The configuration file, JSON (default: $EDGE_CONFIG)");
  check->add_option("--faktory", faktory_path,
                    "Settings of the Faktory front (default: deploy/faktory.json, if it exists)");
  for (auto* command : {serve, check}) {
    command->add_option("--options", options_path,
                        "The options file (default: deploy/heronway.json, if it exists)");
  }
  std::string trace_path;
  auto* trace = app.add_subcommand("trace", "Print a summary of a cluster trace; sends nothing");
  trace
      ->add_option("FILE", trace_path,
                   "Task events as CSV, in the format of the Google cluster trace of 2011")
      ->required();
  std::string rule_path, request_path;
  double budget_us = config::MatchOptions{}.budget_us;
  auto* rule = app.add_subcommand("match", "Check, evaluate, explain, format and benchmark a rule file");
  rule->require_subcommand(1);
  auto* rule_check = rule->add_subcommand("check", "Load the file as serve does, and run its tests");
  auto* rule_eval =
      rule->add_subcommand("eval", "Show which rule a request matches, with the value of each expression");
  auto* rule_explain = rule->add_subcommand("explain", "Print the compiled rules and the cost of each");
  auto* rule_bench =
      rule->add_subcommand("bench", "Measure the match time of a typical and of a worst-case request");
  for (auto* command : {rule_check, rule_eval, rule_explain, rule_bench}) {
    command->add_option("FILE", rule_path, "The rule file")->required();
    command->add_option("--budget-us", budget_us,
                        "Upper bound on the estimated worst cost of a request, in microseconds");
  }
  rule_eval->add_option("--request", request_path, "The request, as a JSON file")->required();
  auto* rule_format = rule->add_subcommand("format", "Print the file in canonical format; comments are kept");
  rule_format->add_option("FILE", rule_path, "The rule file")->required();
  bool format_write = false, format_check = false;
  rule_format->add_flag("--write", format_write, "Overwrite the file instead of printing it");
  rule_format
      ->add_flag("--check", format_check, "Print nothing; exit with 1 if the file is not in canonical format")
      ->excludes("--write");
  auto* jobs = app.add_subcommand("jobs", "Inspect and change a store of durable jobs");
  jobs->require_subcommand(1);
  std::string store_path, job_id, copy_path;
  std::vector<std::string> job_ids;
  durable::ListOptions list;
  bool show_json = false;
  auto* jobs_list = jobs->add_subcommand("list", "List the jobs, and count them by state");
  auto* jobs_show = jobs->add_subcommand("show", "Show all fields of one job");
  auto* jobs_retry = jobs->add_subcommand("retry", "Retry failed jobs, even if they may have run");
  auto* jobs_discard =
      jobs->add_subcommand("discard", "Permanently discard jobs that are not leased to a worker");
  auto* jobs_export = jobs->add_subcommand("export", "Print each job as a line of JSON");
  auto* jobs_verify = jobs->add_subcommand("verify", "Verify the whole store");
  auto* jobs_snapshot =
      jobs->add_subcommand("snapshot", "Copy the store, which may be in use, and verify the copy");
  for (auto* command :
       {jobs_list, jobs_show, jobs_retry, jobs_discard, jobs_export, jobs_verify, jobs_snapshot})
    command->add_option("STORE", store_path, "The store file")->required()->check(CLI::ExistingFile);
  jobs_list->add_option("--state", list.state)
      ->check(CLI::IsMember({"waiting", "retrying", "held", "done", "failed"}));
  jobs_list->add_option("--class", list.job_class, "Only jobs of this class");
  jobs_list->add_option("--lane", list.lane, "Only jobs of this queue");
  jobs_list->add_option("--most", list.max_rows, "Maximum number of rows")->check(CLI::PositiveNumber);
  jobs_list->add_flag("--json", list.json);
  jobs_show->add_option("ID", job_id)->required();
  jobs_show->add_flag("--json", show_json);
  for (auto* command : {jobs_retry, jobs_discard}) command->add_option("ID", job_ids)->required();
  jobs_snapshot->add_option("TO", copy_path, "A file that does not exist yet")->required();
  std::string console_at;
  bool members_json = false;
  auto* members =
      app.add_subcommand("members", "Show the members of the fleet as a running scheduler sees them");
  auto* members_leave =
      members->add_subcommand("leave", "Make that scheduler leave the fleet; it continues to serve");
  members_leave->fallthrough();
  members->add_option("--console", console_at, "HOST:PORT of the scheduler's console")->required();
  members->add_flag("--json", members_json);
  auto* copies =
      app.add_subcommand("copies", "Inspect the replicas of durable jobs, and restore a store from one");
  copies->require_subcommand(1);
  auto* copies_list =
      copies->add_subcommand("list", "List the copy groups of a running scheduler: leader, lag, voters");
  copies_list->add_option("--console", console_at, "HOST:PORT of the scheduler's console")->required();
  copies_list->add_flag("--json", members_json);
  std::string copies_folder, copies_group, copies_to;
  auto* copies_show = copies->add_subcommand("show", "Show the copies in a folder, which may be in use");
  copies_show->add_option("FOLDER", copies_folder, "The scheduler's durable.folder")
      ->required()
      ->check(CLI::ExistingDirectory);
  auto* copies_restore =
      copies->add_subcommand("restore", "Create a store from a copy, for a scheduler that lost its disk");
  copies_restore->add_option("FOLDER", copies_folder, "The durable.folder that contains the copy")
      ->required()
      ->check(CLI::ExistingDirectory);
  copies_restore->add_option("GROUP", copies_group, "The group name as printed by show")->required();
  copies_restore->add_option("TO", copies_to, "A file that does not exist yet: FRONT.db in the new folder")
      ->required();
  auto* version = app.add_subcommand("version", "Print the version");
  CLI11_PARSE(app, argc, argv);
  if (serve->parsed()) BlockSignals();
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
