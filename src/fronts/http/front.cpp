#include "src/fronts/http/front.h"

#include <json/reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <utility>

#include "src/cluster/copies/links.h"
#include "src/cluster/net/node.h"
#include "src/cluster/target_gossip/load_report.h"
#include "src/fronts/console/console.h"
#include "src/fronts/http/header_values.h"
#include "src/fronts/http/ingress.h"
#include "src/fronts/log_reports.h"
#include "src/log/log.h"

namespace heronway::http {
namespace {

// Clients usually send at once; a connection without a complete request for this long may be closed in favour
// of others.
constexpr Micros kSilentTime = 250'000;
// Largest accepted clock difference between schedulers for times that they exchange.
constexpr Micros kMaxClockDifference = 5'000'000;
constexpr Micros kCloseIdleInterval = 50'000;  // interval of closing idle connections while draining
constexpr int kMaxEvictionTries = 64;          // connections examined to free one descriptor

// Whether the bytes after a request can be the start of another. If not, the length given by the request was
// wrong, and so is the body that was read.
bool CanBeginRequest(std::string_view bytes) {
  MessageParser next(HTTP_REQUEST, kMaxBodyBytes);
  std::size_t used = 0;
  const ParseState state = next.Feed(bytes, used);
  return state == ParseState::kIncomplete || state == ParseState::kComplete;
}

// Maps a settings name of a load value to its name in HTTP reports.
std::string WireFieldName(const std::string& name) {
  return name == "waiting"   ? "queue"
         : name == "active"  ? "inflight"
         : name == "cpu"     ? "util"
         : name == "avg_ms"  ? "latency_ms"
         : name == "rps"     ? "qps"
         : name == "err_rps" ? "eps"
                             : name;
}

}  // namespace

Budget ComputeBudget(const config::Config& config, const config::Options& options, bool faktory) {
  const auto sockets = static_cast<std::size_t>(config.sockets);
  std::size_t others = 0;  // descriptors of other parts
  if (faktory) others += sockets / 10;
  if (config.has_console) others += console::Console::kMaxConnections + 1;
  if (options.cluster.enabled) others += cluster::Node::kMaxDescriptors;
  if (options.cluster.copies > 1) others += cluster::copies::Links::kDescriptors;
  return Budget::From(sockets, static_cast<std::size_t>(config.memory_mb) * 1024 * 1024, others);
}

Front::Front(net::StreamContext& context, const config::Config& config, const config::Options& options,
             bool faktory, match::Service* rules, std::function<void()> drained)
    : context_(context),
      config_(config),
      rules_(rules),
      drained_(std::move(drained)),
      budget_(ComputeBudget(config, options, faktory)),
      routes_(
          config.zones, config.kinds,
          [rules](const std::string& zone, const std::string& kind, const std::vector<std::string>& labels) {
            return rules != nullptr ? rules->GroupsOf(zone, kind, labels) : 0;
          }),
      egress_(
          context,
          {config.dial_timeout, config.conn_idle, budget_.egress,
           [this] { return budget_.BorrowableByEgress(unused_descriptors_ ? unused_descriptors_() : 0); }},
          [this](core::TargetId target, bool came_up) { OnDialEnded(target, came_up); }),
      driver_(
          context.loop, config.module.settings, config.seed, kHopAcceptTimeout, options.limits,
          [this](core::Effect& e) { Execute(e); },
          durable::OpenStore(options.durable, "http", config.classes, config.module.settings,
                             config.seed + 4),
          "http"),
      watch_(context, routes_, config.discovery, config.seed + 10, config.module.settings.stop_sending_within,
             [this](core::RoutesChanged change) {
               PublishObservations(change);
               driver_.Post(std::move(change));
             }),
      listener_(
          context.loop, config.listen, options.limits.accept,
          [this](bool must) { return FreeDescriptor(must); },
          [this](int fd, const net::Address& from) { OnAccepted(fd, from); }),
      close_idle_(context.loop, [this] { CloseIdle(); }) {
  if (durable()) driver_.Post(core::StoreLoaded{});
  // The age of the configured list is unknown; the reducer uses it once the watch reports that it may.
  routes_.Apply(config.known_targets, core::ListKind::kCached, {context_.loop.Now(), net::Loop::WallClock()});
  driver_.Post(core::RoutesChanged{core::ListKind::kCached, {}});
  watch_.ScheduleFirstCall();
}

Front::~Front() { watch_.Stop(); }

void Front::Drain() {
  if (reducer().draining()) return;  // a second SIGTERM must not restart the shutdown's timers
  driver_.Post(core::DrainStarted{});
  LogStopState("begun");
  // Connections are kept open at first, because clients keep using them while they are open. If another
  // scheduler is still restarting, clients disconnected at once would find no scheduler at all.
  close_idle_.Start(reducer().stop_times().close_idle);
}

void Front::SetCordoned(bool on) {
  driver_.Post(core::Cordon{on});
  if (on)
    return close_idle_.Start(reducer().stop_times().close_idle);  // clients arriving until then are served
  if (reducer().draining()) return;
  close_idle_.Stop();
  closing_idle_ = false;
}

// Logs a step of a graceful shutdown with the current counts.
void Front::LogStopState(const char* state) const {
  const core::StopTimes& times = reducer().stop_times();
  log::Event(log::Level::kInfo, "stop",
             {{"front", "http", true},
              {"state", state},
              {"held", reducer().pending()},
              {"connections", connection_count_},
              {"close_idle_ms", times.close_idle / 1000},
              {"answers_due_ms", times.answers_due / 1000},
              {"earliest_kill_ms", times.earliest_kill / 1000}});
}

core::Invariants Front::invariants() const {
  core::Invariants all = reducer().invariants();
  for (std::size_t i = 0; i < core::kInvariantCount; ++i)
    all.Count(static_cast<core::Invariant>(i), checks_.Violations(i));
  return all;
}

bool Front::HasUnsentAnswers() const {
  if (open_lookups_ > 0) return true;
  const auto& busy = ingress_[static_cast<std::size_t>(Stage::kBusy)];
  return std::any_of(busy.begin(), busy.end(),
                     [](const auto& ingress) { return !ingress->stream.all_sent(); });
}

bool Front::Ready() const {
  const auto& r = driver_.reducer();
  return watch_.usable() && routes_.AnyReady() && !r.draining() && !r.cordoned() &&
         !driver_.StoreUnavailable();
}

std::size_t Front::CountUnselectableTargets() const {
  const pebblenotch::Dispatcher& module = reducer().module();
  std::vector<bool> selected;
  for (int c = 0; c < static_cast<int>(config_.classes.size()); ++c) {
    const std::vector<double> chances = module.DrawChances(c);
    selected.resize(std::max(selected.size(), chances.size()), false);
    for (std::size_t i = 0; i < chances.size(); ++i) selected[i] = selected[i] || chances[i] > 0;
  }
  const auto selectable = static_cast<std::size_t>(std::count(selected.begin(), selected.end(), true));
  const std::size_t ready = routes_.Count(pebblenotch::WorkerState::kReady);
  return ready > selectable ? ready - selectable : 0;
}

// The rules may define other groups of targets.
void Front::RulesChanged() {
  core::RoutesChanged change = routes_.RefreshGroups();
  if (watch_.usable()) driver_.Post(std::move(change));
}

void Front::SetDiscoveryAddress(const net::Address& at) { watch_.SetAddress(at); }

void Front::OnAccepted(int fd, const net::Address& from) {
  OnIngressAvailable();
  auto& connections = InStage(Stage::kNew);
  connections.push_back(std::make_shared<Ingress>(*this, fd, from));
  connections.back()->list_position = std::prev(connections.end());
  ++connection_count_;
  if (driver_.reducer().limits() != nullptr) driver_.Post(core::IngressConnected{});
}

// Moves a connection to the list of its current stage, at the end, and updates the count of incoming bytes.
void Front::UpdateStage(Ingress& ingress) {
  const std::size_t holds =
      ingress.pipelined.size() + (ingress.reader.started() ? ingress.reader.message().size() : 0);
  incoming_bytes_ += holds - std::exchange(ingress.counted_bytes, holds);
  const Stage stage = ingress.stage();
  if (stage == ingress.listed_stage) return;
  InStage(stage).splice(InStage(stage).end(), InStage(ingress.listed_stage), ingress.list_position);
  ingress.listed_stage = stage;
  ingress.stage_since = context_.loop.Now();
}

// Frees a descriptor for a new connection if the budget is used up. Closes a connection that has been silent
// for a while first, then one that was never served, then an idle one: their clients lose nothing. Last, one
// that has been receiving a request for a while. Connections in service are never closed, nor new ones whose
// first bytes may be in flight, as that would only trade one request for another. `must`: the process has no
// descriptor left, whatever the budget says. Returns whether a connection can be accepted.
bool Front::FreeDescriptor(bool must) {
  if (!must && connection_count_ < budget_.ingress) return true;
  const auto has_silent = [this](Stage stage) {
    const auto& connections = InStage(stage);
    return !connections.empty() && context_.loop.Now() - connections.front()->stage_since > kSilentTime;
  };
  for (int tries = 0; tries < kMaxEvictionTries; ++tries) {
    const Stage stage = has_silent(Stage::kNew)               ? Stage::kNew
                        : !InStage(Stage::kUnserved).empty()  ? Stage::kUnserved
                        : !InStage(Stage::kKeptAlive).empty() ? Stage::kKeptAlive
                                                              : Stage::kReceiving;
    if (stage == Stage::kReceiving && !has_silent(stage)) {
      OnIngressFull();
      return false;
    }
    const auto oldest = InStage(stage).front();
    // The request may have arrived and not been read yet, as happens under a flood of connections.
    if (oldest->stream.ReadPending()) continue;
    ++evicted_;
    Remove(*oldest, net::Reason::kEvicted);
    return true;
  }
  OnIngressFull();
  return false;
}

void Front::OnIngressFull() {
  if (full_since_ >= 0) return;
  full_since_ = context_.loop.Now();
  log::Event(log::Level::kWarn, "ingress",
             {{"front", "http", true},
              {"state", "full"},
              {"connections", connection_count_},
              {"most", budget_.ingress},
              {"requests", pending_.size() + joined_.size()},
              {"most_requests", budget_.requests},
              {"busy", InStage(Stage::kBusy).size()}});
}

void Front::OnIngressAvailable() {
  if (full_since_ < 0) return;
  const Micros waited = context_.loop.Now() - std::exchange(full_since_, -1);
  longest_full_time_ = std::max(longest_full_time_, waited);
  log::Event(log::Level::kInfo, "ingress",
             {{"front", "http", true}, {"state", "room"}, {"was_full_ms", waited / 1000}});
}

// While draining, closes idle connections. A recently opened connection may be about to send and is kept for
// a moment.
void Front::CloseIdle() {
  if (!std::exchange(closing_idle_, true) && reducer().draining()) LogStopState("closing");
  for (const Stage stage : {Stage::kUnserved, Stage::kKeptAlive}) {
    for (std::size_t left = InStage(stage).size(); left > 0 && !InStage(stage).empty(); --left) {
      Ingress& idle = *InStage(stage).front();
      if (idle.discarding) {  // it has its response and its own timeout
        InStage(stage).splice(InStage(stage).end(), InStage(stage), idle.list_position);
      } else if (!idle.stream.ReadPending()) {
        Remove(idle, net::Reason::kShutdown);
      }
    }
  }
  // Iterates over a copy, because connections that are read or closed leave the list.
  for (const auto& recent : ConnectionList(InStage(Stage::kNew))) {
    if (recent->removed || recent->reader.started() ||
        context_.loop.Now() - recent->connected_at <= kSilentTime)
      continue;
    if (!recent->stream.ReadPending() && !recent->removed) Remove(*recent, net::Reason::kShutdown);
  }
  if (reducer().ShedsAllArrivals(context_.loop.Now())) {
    if (!std::exchange(rejecting_, true)) LogStopState("refusing");
    RejectIncomplete();
  }
  close_idle_.Start(kCloseIdleInterval);
}

// Near the end of a graceful shutdown, a request that is still being received might be completed just as the
// process is killed. It is answered now instead.
void Front::RejectIncomplete() {
  for (const Stage stage : {Stage::kNew, Stage::kReceiving}) {
    for (const auto& incomplete : ConnectionList(InStage(stage))) {
      if (incomplete->removed || !incomplete->reader.started() || incomplete->stream.ReadPending()) continue;
      if (!incomplete->removed && incomplete->reader.started())
        incomplete->RejectAndDiscard(503, "shutting down\n");
    }
  }
  while (!joined_.empty()) AskToRetry(joined_.begin());
}

void Front::Dispatch(Ingress& ingress, Message message, std::string_view following) {
  auto& connections = InStage(ingress.listed_stage);
  connections.splice(connections.end(), connections, ingress.list_position);
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (path == "/_jobs/news") return HandleCallback(ingress, message);
  if (path == "/ready") {
    const bool ready = Ready();
    return ingress.Respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
  }
  if (!following.empty() && !CanBeginRequest(following))
    return ingress.RejectAndDiscard(400, "what follows is no request\n");
  HandleRequest(ingress, std::move(message));
}

// Targets retry callbacks until they get a response, so every callback is answered, even for an unknown job.
void Front::HandleCallback(Ingress& ingress, const Message& message) {
  ++callbacks_;
  Json::Value root;
  const std::unique_ptr<Json::CharReader> json(Json::CharReaderBuilder().newCharReader());
  bool valid = false;
  const char* begin = message.body.data();
  try {
    valid = json->parse(begin, begin + message.body.size(), &root, nullptr) && root.isObject() &&
            root["id"].isString() && root["from"].isString() && root["state"].isString();
  } catch (const Json::Exception&) {
  }
  if (!valid) {
    ++malformed_;
    return ingress.Respond(400, {}, "not a call-back\n");
  }
  core::HopCallback callback;
  const std::string state = root["state"].asString();
  static const std::map<std::string, core::CallbackState> kStates = {
      {"started", core::CallbackState::kStarted},   {"running", core::CallbackState::kRunning},
      {"done", core::CallbackState::kDone},         {"failed", core::CallbackState::kFailed},
      {"returned", core::CallbackState::kReturned}, {"lost", core::CallbackState::kLost}};
  const auto found = kStates.find(state);
  callback.id = root["id"].asString();
  auto from = routes_.IdOf(root["from"].asString());
  // After a crash, a callback may arrive before discovery has listed its sender.
  if (!from && durable() && reducer().job_manager()->table().Find(callback.id) != nullptr)
    from = discovery::RouteTable::DefaultIdOf(root["from"].asString());
  // While one process replaces another on the same address, a callback may reach the process that never held
  // the job. It is rejected and its connection closed, so that the worker retries on a new connection, which
  // the kernel may assign to the process that holds the job.
  if (!durable() && from && !reducer().IsKnown(callback.id)) {
    ingress.keep_alive = false;
    return ingress.Respond(503, {}, "not held here\n");
  }
  const bool held_elsewhere = forward_report_ && found != kStates.end() &&
                              !reducer().IsPending(callback.id) &&
                              reducer().job_manager()->table().Find(callback.id) == nullptr;
  if (held_elsewhere && !from) from = discovery::RouteTable::DefaultIdOf(root["from"].asString());
  if (found == kStates.end() || !from) return ingress.Respond(200, {}, {});
  callback.from = *from;
  callback.state = found->second;
  LogHop(callback.id, -1, root["from"].asString(), state);
  if (root["share"].isNumeric()) callback.share = root["share"].asDouble();
  const Json::Value& result = root["result"];
  if (result.isString()) {
    callback.result = result.asString();
  } else if (!result.isNull()) {  // copied verbatim
    callback.result.assign(begin + result.getOffsetStart(), begin + result.getOffsetLimit());
  }
  const Json::Value& load = root["load"];
  if (load.isObject()) {
    std::map<std::string, double> values;
    for (const auto& name : load.getMemberNames()) {
      if (load[name].isNumeric()) values[name] = load[name].asDouble();
    }
    callback.report = ToReport(values);
    PublishObservations(callback.from, callback.report);
  }
  if (!durable()) {
    ingress.Respond(200, {}, {});
    return driver_.Post(std::move(callback));
  }
  if (held_elsewhere) return ForwardCallback(ingress, callback);
  // The worker may discard its result once it is stored, so the response waits for that.
  const int store_id = reducer().job_manager()->StoreIdOf(callback.id);
  driver_.Post(std::move(callback));
  RespondWhenStored(ingress, store_id);
}

// The connection has ended, from either side.
void Front::OnDisconnected(Ingress& ingress) {
  if (const core::Ticket ticket = std::exchange(ingress.ticket, 0); ticket != 0) {
    if (const auto it = joined_.find(ticket); it != joined_.end()) {
      RemoveJoined(it);
    } else if (const auto it = pending_.find(ticket); it != pending_.end() && IsDurable(it->second)) {
      it->second.client = nullptr;  // the job continues; the client may ask for it again
    } else if (it != pending_.end()) {
      pending_bytes_ -= it->second.message.size();
      pending_.erase(it);
    }
    driver_.Post(core::IngressDisconnected{ticket});
  }
  ingress.timer.Stop();
  if (std::exchange(ingress.removed, true)) return;
  incoming_bytes_ -= std::exchange(ingress.counted_bytes, 0);
  --connection_count_;
  auto& connections = InStage(ingress.listed_stage);
  context_.loop.DestroyLater(std::move(*ingress.list_position));
  connections.erase(ingress.list_position);
}

void Front::Remove(Ingress& ingress, net::Reason reason) {
  // The only place where the front itself closes a client's connection.
  const bool unanswered =
      ingress.ticket != 0 && (pending_.contains(ingress.ticket) || joined_.contains(ingress.ticket));
  if (!checks_.Check(core::Invariant::kAnsweredBeforeClose, !unanswered))
    log::Event(log::Level::kError, "invariant",
               {{"broken", "answered_before_close"},
                {"client", net::ToText(ingress.peer)},
                {"end", net::Code(reason)}});
  ingress.stream.Close(reason);
  OnDisconnected(ingress);
}

void Front::Execute(core::Effect& effect) {
  if (auto* send = std::get_if<core::SendHop>(&effect)) return Perform(*send);
  if (auto* cancel = std::get_if<core::CancelHop>(&effect)) return Perform(*cancel);
  if (auto* completed = std::get_if<core::HopCompleted>(&effect)) return Perform(*completed);
  if (auto* answer = std::get_if<core::Answer>(&effect)) return Perform(*answer);
  if (auto* probe = std::get_if<core::StartProbe>(&effect)) return Perform(*probe);
  if (std::holds_alternative<core::SubscribeRoutes>(effect)) return watch_.Start();
  if (auto* storm = std::get_if<core::StormChanged>(&effect))
    return LogStormChange("http", storm->change, config_.classes);
  if (auto* round = std::get_if<core::StartRound>(&effect)) return Perform(*round);
  if (auto* settled = std::get_if<core::Settled>(&effect)) return Perform(*settled);
  if (std::holds_alternative<core::Drained>(effect)) LogStopState("drained");
  if (std::holds_alternative<core::Drained>(effect)) driver_.WhenStored([this](bool) { drained_(); });
}

void Front::ApplyAdvice(const cluster::TargetAdvice& advice) {
  if (advice.kind == cluster::FactKind::kStarted) {
    // A start time in the future cannot have been observed; with it the target would stay in slow start for
    // ever.
    if (advice.since > context_.loop.Now() + kMaxClockDifference) return;
    auto change =
        routes_.RecordRestart(advice.target, advice.since, {context_.loop.Now(), net::Loop::WallClock()});
    if (change && watch_.usable()) driver_.Post(std::move(*change));
    return;
  }
  const auto* route = routes_.Find(advice.target);
  if (route != nullptr && advice.kind == cluster::FactKind::kLoad)
    return driver_.Post(core::GossipedLoad{advice.target, cluster::ToReport(advice), advice.age});
  if (route != nullptr && route->state == pebblenotch::WorkerState::kReady)
    driver_.Post(core::TargetSuspected{advice.target});
}

// Detects restarts that nothing else reports, so that a restarted target gets slow start instead of full
// traffic.
void Front::OnDialEnded(core::TargetId target, bool came_up) {
  const Micros now = context_.loop.Now();
  if (!came_up) return restarts_.ConnectionRefused(target, now);
  if (!restarts_.ConnectionEstablished(target, watch_.last_answer_at())) return;
  auto change = routes_.RecordRestart(target, now, {now, net::Loop::WallClock()});
  if (!change) return;
  log::Event(log::Level::kInfo, "restarted", {{"target", routes_.Find(target)->name, true}});
  PublishObservations(*change);
  if (watch_.usable()) driver_.Post(std::move(*change));
}

// Publishes the recent starts of targets; earlier ones are known to all schedulers.
void Front::PublishObservations(const core::RoutesChanged& change) {
  if (!observation_sink_) return;
  for (const auto& entry : change.entries) {
    if (entry.claimed_started_at > context_.loop.Now() - config_.module.settings.slow_start_time)
      observation_sink_({cluster::FactKind::kStarted, entry.id, entry.claimed_started_at, false});
  }
}

void Front::PublishObservations(core::TargetId target, core::Result result) {
  if (!observation_sink_) return;
  const bool failing = result == core::Result::kConnectFailed || result == core::Result::kReset ||
                       result == core::Result::kTimeout;
  const bool answered =
      result == core::Result::kOk || result == core::Result::kError || result == core::Result::kFull;
  if (failing || answered) observation_sink_({cluster::FactKind::kFailing, target, 0, answered});
}

void Front::PublishObservations(core::TargetId target, const std::optional<pebblenotch::Report>& report) {
  if (observation_sink_ && report) observation_sink_(cluster::LoadObservation(target, *report));
}

void Front::Perform(core::Answer& e) {
  const auto it = pending_.find(e.request);
  if (it == pending_.end()) return;
  Ingress* client = it->second.client;
  const std::string id = std::move(it->second.id);
  pending_bytes_ -= it->second.message.size();
  pending_.erase(it);
  if (client == nullptr) return;
  Ingress& ingress = *client;
  LogFinalAnswer(id, e.kind);
  switch (e.kind) {
    case core::AnswerKind::kServed:
      return ingress.Respond(200, {}, e.result);
    case core::AnswerKind::kShed: {
      Headers headers;
      if (e.retry_after > 0) headers.emplace_back("Retry-After", FormatSeconds(e.retry_after));
      return ingress.Respond(503, headers, "shed\n");
    }
    case core::AnswerKind::kFailed:
      return ingress.Respond(502, {}, "failed\n");
    case core::AnswerKind::kRejected:
      return ingress.Respond(400, {}, "a worker could not use the request\n");
  }
}

std::optional<pebblenotch::Report> Front::ParseLoad(std::string_view text) const {
  return ToReport(ParsePairs(text));
}

// Builds a report in the order of the settings from values under either their HTTP or their settings names.
std::optional<pebblenotch::Report> Front::ToReport(const std::map<std::string, double>& values) const {
  pebblenotch::wire::Metrics metrics;
  bool any = false;
  for (const std::string& field : config_.load_fields) {
    if (metrics.count == pebblenotch::wire::kMaxMetrics) break;
    auto it = values.find(WireFieldName(field));
    if (it == values.end()) it = values.find(field);
    any = any || it != values.end();
    metrics.values[metrics.count++] = it == values.end() ? NAN : static_cast<float>(it->second);
  }
  if (!any) return std::nullopt;
  return pebblenotch::wire::ToReport(metrics, config_.module.fields);
}

void Front::LogStatistics() const {
  LogRequestCounters("http", driver_.reducer());
  LogDurableCounters("http", driver_);
  LogInvariantViolations("http", invariants());
  log::Event(log::Level::kInfo, "counters",
             {{"front", "http", true},
              {"news", callbacks_},
              {"turned_away", not_admitted_},
              {"malformed", malformed_},
              {"ingress", connection_count_},
              {"made_room", evicted_},
              {"longest_full_ms", longest_full_time_ / 1000},
              {"egress", egress_.connections()},
              {"buffers", context_.pool.in_use()},
              {"paced", listener_.paced()}});
}

}  // namespace heronway::http
