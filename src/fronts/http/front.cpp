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

// A usual client sends at once; a connection that has sent nothing whole for so long makes room for others.
constexpr Micros kSilent = 250'000;
// Clocks of schedulers may differ by so much, where one's word of a time reaches another.
constexpr Micros kClocksMay = 5'000'000;
constexpr Micros kLookAgain = 50'000;  // while draining, for connections that have become idle
constexpr int kLooks = 64;             // connections looked at to make room for one

// Whether bytes behind a request can be the start of another. Where they cannot, the length that the request
// gave was wrong, and so is what was read as its body.
bool MayBegin(std::string_view bytes) {
  MessageParser next(HTTP_REQUEST, kMaxBodyBytes);
  std::size_t used = 0;
  const ParseState state = next.Feed(bytes, used);
  return state == ParseState::kIncomplete || state == ParseState::kComplete;
}

// The name that reports on the sockets use for a value that the settings call otherwise.
std::string OnSockets(const std::string& name) {
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
  std::size_t others = 0;  // descriptors
  if (faktory) others += sockets / 10;
  if (config.has_console) others += console::Console::kMaxConnections + 1;
  if (options.cluster.enabled) others += cluster::Node::kMaxDescriptors;
  if (options.cluster.copies > 1) others += cluster::copies::Links::kDescriptors;
  return Budget::From(sockets, static_cast<std::size_t>(config.memory_mb) * 1024 * 1024, others);
}

Front::Front(net::StreamContext& shared, const config::Config& config, const config::Options& options,
             bool faktory, match::Service* rules, std::function<void()> drained)
    : shared_(shared),
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
          shared,
          {config.dial_timeout, config.conn_idle, budget_.egress,
           [this] { return budget_.BorrowableByEgress(unused_descriptors_ ? unused_descriptors_() : 0); }},
          [this](core::TargetId target, bool came_up) { Dialled(target, came_up); }),
      driver_(
          shared.loop, config.module.settings, config.seed, kTakeLimit, options.limits,
          [this](core::Effect& e) { Execute(e); },
          durable::OpenStore(options.durable, "http", config.classes, config.module.settings,
                             config.seed + 4),
          "http"),
      watch_(shared, routes_, config.discovery, config.seed + 10, config.module.settings.stop_sending_within,
             [this](core::RoutesChanged change) {
               PublishObservations(change);
               driver_.Post(std::move(change));
             }),
      listener_(
          shared.loop, config.listen, options.limits.accept, [this](bool must) { return MakeRoom(must); },
          [this](int fd, const net::Address& from) { Accepted(fd, from); }),
      close_idle_(shared.loop, [this] { CloseIdle(); }) {
  if (durable()) driver_.Post(core::StoreLoaded{});
  // Its age is not known: the decisions hear of it once the watch says that it may be acted on.
  routes_.Apply(config.known, core::ListKind::kCached, {shared_.loop.Now(), net::Loop::WallClock()});
  driver_.Post(core::RoutesChanged{core::ListKind::kCached, {}});
  watch_.ScheduleFirstCall();
}

Front::~Front() { watch_.Stop(); }

void Front::Drain() {
  if (reducer().draining()) return;  // a second SIGTERM must not begin the times of the first anew
  driver_.Post(core::DrainStarted{});
  LogStop("begun");
  // Clients come on the connections they have for as long as these stay open. Found on a day on which the
  // other scheduler was not back yet: those that were closed at once found nobody.
  close_idle_.Start(reducer().stop_times().close_idle);
}

void Front::SetCordoned(bool on) {
  driver_.Post(core::Cordon{on});
  if (on)
    return close_idle_.Start(
        reducer().stop_times().close_idle);  // clients on the way to it meanwhile are served
  if (reducer().draining()) return;
  close_idle_.Stop();
  closing_ = false;
}

// The steps of a planned stop, with what they find.
void Front::LogStop(const char* state) const {
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
  if (looking_up_ > 0) return true;
  const auto& busy = ingress_[static_cast<std::size_t>(Stage::kBusy)];
  return std::any_of(busy.begin(), busy.end(), [](const auto& in) { return !in->stream.all_sent(); });
}

bool Front::Ready() const {
  const auto& r = driver_.reducer();
  return watch_.usable() && routes_.AnyReady() && !r.draining() && !r.cordoned() &&
         !driver_.StoreUnavailable();
}

std::size_t Front::CountUnselectableTargets() const {
  const pebblenotch::Dispatcher& module = reducer().module();
  std::vector<bool> drawn;
  for (int c = 0; c < static_cast<int>(config_.classes.size()); ++c) {
    const std::vector<double> chances = module.DrawChances(c);
    drawn.resize(std::max(drawn.size(), chances.size()), false);
    for (std::size_t i = 0; i < chances.size(); ++i) drawn[i] = drawn[i] || chances[i] > 0;
  }
  const auto n = static_cast<std::size_t>(std::count(drawn.begin(), drawn.end(), true));
  const std::size_t ready = routes_.Count(pebblenotch::WorkerState::kReady);
  return ready > n ? ready - n : 0;
}

// Rules name other groups of targets.
void Front::RulesChanged() {
  core::RoutesChanged change = routes_.RefreshGroups();
  if (watch_.usable()) driver_.Post(std::move(change));
}

void Front::SetDiscoveryAddress(const net::Address& at) { watch_.SetAddress(at); }

// ---- ingress
void Front::Accepted(int fd, const net::Address& from) {
  NoteRoom();
  auto& places = At(Stage::kFresh);
  places.push_back(std::make_shared<Ingress>(*this, fd, from));
  places.back()->place = std::prev(places.end());
  ++connection_count_;
  if (driver_.reducer().limits() != nullptr) driver_.Post(core::IngressConnected{});
}

// Puts a connection where it stands now, behind those that came there before, and counts what it holds.
void Front::Settle(Ingress& in) {
  const std::size_t holds = in.ahead.size() + (in.reader.begun() ? in.reader.message().size() : 0);
  incoming_bytes_ += holds - std::exchange(in.counted, holds);
  const Stage stage = in.stage();
  if (stage == in.placed) return;
  At(stage).splice(At(stage).end(), At(in.placed), in.place);
  in.placed = stage;
  in.placed_at = shared_.loop.Now();
}

// Guards the budget of descriptors. A connection that has said nothing for a while makes room first, then
// those that were never served, then idle ones: their clients lose nothing by it. Last, one that has been
// bringing in a request for a while. Those in service never do, nor one whose first bytes may be on their
// way: it would lose its request for another that is no better. `must`: the process has no descriptor
// left, whatever its budget.
bool Front::MakeRoom(bool must) {
  if (!must && connection_count_ < budget_.ingress) return true;
  const auto long_there = [this](Stage stage) {
    const auto& places = At(stage);
    return !places.empty() && shared_.loop.Now() - places.front()->placed_at > kSilent;
  };
  for (int tries = 0; tries < kLooks; ++tries) {
    const Stage stage = long_there(Stage::kFresh)         ? Stage::kFresh
                        : !At(Stage::kTurnedAway).empty() ? Stage::kTurnedAway
                        : !At(Stage::kKept).empty()       ? Stage::kKept
                                                          : Stage::kComing;
    if (stage == Stage::kComing && !long_there(stage)) {
      NoteFull();
      return false;
    }
    const auto oldest = At(stage).front();
    // Guards a usual client amid a flood: its request may be there already, and only not read yet.
    if (oldest->stream.ReadPending()) continue;
    ++made_room_;
    Remove(*oldest, net::Reason::kEvicted);
    return true;
  }
  NoteFull();
  return false;
}

void Front::NoteFull() {
  if (full_since_ >= 0) return;
  full_since_ = shared_.loop.Now();
  log::Event(log::Level::kWarn, "ingress",
             {{"front", "http", true},
              {"state", "full"},
              {"connections", connection_count_},
              {"most", budget_.ingress},
              {"requests", pending_.size() + joined_.size()},
              {"most_requests", budget_.requests},
              {"busy", At(Stage::kBusy).size()}});
}

void Front::NoteRoom() {
  if (full_since_ < 0) return;
  const Micros waited = shared_.loop.Now() - std::exchange(full_since_, -1);
  longest_full_ = std::max(longest_full_, waited);
  log::Event(log::Level::kInfo, "ingress",
             {{"front", "http", true}, {"state", "room"}, {"was_full_ms", waited / 1000}});
}

// While draining: those that wait for nothing. One that is still fresh may be about to send.
void Front::CloseIdle() {
  if (!std::exchange(closing_, true) && reducer().draining()) LogStop("closing");
  for (const Stage stage : {Stage::kTurnedAway, Stage::kKept}) {
    for (std::size_t left = At(stage).size(); left > 0 && !At(stage).empty(); --left) {
      Ingress& idle = *At(stage).front();
      if (idle.spilling) {  // it has its answer, and a time of its own
        At(stage).splice(At(stage).end(), At(stage), idle.place);
      } else if (!idle.stream.ReadPending()) {
        Remove(idle, net::Reason::kShutdown);
      }
    }
  }
  for (const auto& fresh :
       Places(At(Stage::kFresh))) {  // a copy: those that are read or closed leave the list
    if (fresh->left || fresh->reader.begun() || shared_.loop.Now() - fresh->since <= kSilent) continue;
    if (!fresh->stream.ReadPending() && !fresh->left) Remove(*fresh, net::Reason::kShutdown);
  }
  if (reducer().ShedsAllArrivals(shared_.loop.Now())) {
    if (!std::exchange(refusing_, true)) LogStop("refusing");
    EndComing();
  }
  close_idle_.Start(kLookAgain);
}

// Near the end of a planned stop: a request that is still coming in could become whole as the program is
// killed. It gets its answer now, whatever comes of it.
void Front::EndComing() {
  for (const Stage stage : {Stage::kFresh, Stage::kComing}) {
    for (const auto& coming : Places(At(stage))) {
      if (coming->left || !coming->reader.begun() || coming->stream.ReadPending()) continue;
      if (!coming->left && coming->reader.begun()) coming->Spoilt(503, "shutting down\n");
    }
  }
  while (!joined_.empty()) ComeAgain(joined_.begin());
}

void Front::Serve(Ingress& in, Message message, std::string_view behind) {
  auto& places = At(in.placed);
  places.splice(places.end(), places, in.place);
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (path == "/_jobs/news") return TakeNews(in, message);
  if (path == "/ready") {
    const bool ready = Ready();
    return in.Answer(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
  }
  if (!behind.empty() && !MayBegin(behind)) return in.Spoilt(400, "what follows is no request\n");
  TakeRequest(in, std::move(message));
}

// Guards against a target that repeats a call-back for want of an answer: whatever it names, it gets one.
void Front::TakeNews(Ingress& in, const Message& message) {
  ++news_;
  Json::Value root;
  const std::unique_ptr<Json::CharReader> json(Json::CharReaderBuilder().newCharReader());
  bool good = false;
  const char* begin = message.body.data();
  try {
    good = json->parse(begin, begin + message.body.size(), &root, nullptr) && root.isObject() &&
           root["id"].isString() && root["from"].isString() && root["state"].isString();
  } catch (const Json::Exception&) {
  }
  if (!good) {
    ++malformed_;
    return in.Answer(400, {}, "not a call-back\n");
  }
  core::HopCallback news;
  const std::string state = root["state"].asString();
  static const std::map<std::string, core::CallbackState> kStates = {
      {"started", core::CallbackState::kStarted},   {"running", core::CallbackState::kRunning},
      {"done", core::CallbackState::kDone},         {"failed", core::CallbackState::kFailed},
      {"returned", core::CallbackState::kReturned}, {"lost", core::CallbackState::kLost}};
  const auto known = kStates.find(state);
  news.id = root["id"].asString();
  auto from = routes_.IdOf(root["from"].asString());
  // After a crash a call-back may come before discovery has told who it is from.
  if (!from && durable() && reducer().job_manager()->table().Find(news.id) != nullptr)
    from = discovery::RouteTable::DefaultIdOf(root["from"].asString());
  // Guards a job of the other process on the same address while one replaces the other: a call-back that
  // reached the process which never held the job is refused and its connection closed, so that the worker
  // calls again, on a new connection that the kernel may give to the one that holds it.
  if (!durable() && from && !reducer().IsKnown(news.id)) {
    in.keep_alive = false;
    return in.Answer(503, {}, "not held here\n");
  }
  const bool elsewhere = forward_report_ && known != kStates.end() && !reducer().IsPending(news.id) &&
                         reducer().job_manager()->table().Find(news.id) == nullptr;
  if (elsewhere && !from) from = discovery::RouteTable::DefaultIdOf(root["from"].asString());
  if (known == kStates.end() || !from) return in.Answer(200, {}, {});
  news.from = *from;
  news.state = known->second;
  LogHop(news.id, -1, root["from"].asString(), state);
  if (root["share"].isNumeric()) news.share = root["share"].asDouble();
  const Json::Value& result = root["result"];
  if (result.isString()) {
    news.result = result.asString();
  } else if (!result.isNull()) {  // as it was written
    news.result.assign(begin + result.getOffsetStart(), begin + result.getOffsetLimit());
  }
  const Json::Value& load = root["load"];
  if (load.isObject()) {
    std::map<std::string, double> values;
    for (const auto& name : load.getMemberNames()) {
      if (load[name].isNumeric()) values[name] = load[name].asDouble();
    }
    news.report = ToReport(values);
    PublishObservations(news.from, news.report);
  }
  if (!durable()) {
    in.Answer(200, {}, {});
    return driver_.Post(std::move(news));
  }
  if (elsewhere) return LeadNews(in, news);
  // A worker may forget what it has told once that is stored.
  const int store_id = reducer().job_manager()->StoreIdOf(news.id);
  driver_.Post(std::move(news));
  AnswerWhenStored(in, store_id);
}

// The client has gone, or its connection was ended here.
void Front::Gone(Ingress& in) {
  if (const core::Ticket ticket = std::exchange(in.ticket, 0); ticket != 0) {
    if (const auto it = joined_.find(ticket); it != joined_.end()) {
      Leave(it);
    } else if (const auto it = pending_.find(ticket); it != pending_.end() && IsDurable(it->second)) {
      it->second.from = nullptr;  // the job goes on; its client may come back for it
    } else if (it != pending_.end()) {
      pending_bytes_ -= it->second.message.size();
      pending_.erase(it);
    }
    driver_.Post(core::IngressDisconnected{ticket});
  }
  in.timer.Stop();
  if (std::exchange(in.left, true)) return;
  incoming_bytes_ -= std::exchange(in.counted, 0);
  --connection_count_;
  auto& places = At(in.placed);
  shared_.loop.DestroyLater(std::move(*in.place));
  places.erase(in.place);
}

void Front::Remove(Ingress& in, net::Reason reason) {
  // The one place where the front itself ends a client's connection.
  const bool waits = in.ticket != 0 && (pending_.contains(in.ticket) || joined_.contains(in.ticket));
  if (!checks_.Check(core::Invariant::kAnsweredBeforeClose, !waits))
    log::Event(
        log::Level::kError, "invariant",
        {{"broken", "answered_before_close"}, {"client", net::ToText(in.peer)}, {"end", net::Code(reason)}});
  in.stream.Close(reason);
  Gone(in);
}

// ---- effects
void Front::Execute(core::Effect& effect) {
  if (auto* send = std::get_if<core::SendHop>(&effect)) return Do(*send);
  if (auto* off = std::get_if<core::CancelHop>(&effect)) return Do(*off);
  if (auto* over = std::get_if<core::HopCompleted>(&effect)) return Do(*over);
  if (auto* answer = std::get_if<core::Answer>(&effect)) return Do(*answer);
  if (auto* probe = std::get_if<core::StartProbe>(&effect)) return Do(*probe);
  if (std::holds_alternative<core::SubscribeRoutes>(effect)) return watch_.Start();
  if (auto* storm = std::get_if<core::StormChanged>(&effect))
    return LogStormChange("http", storm->change, config_.classes);
  if (auto* resume = std::get_if<core::StartRound>(&effect)) return Do(*resume);
  if (auto* settled = std::get_if<core::Settled>(&effect)) return Do(*settled);
  if (std::holds_alternative<core::Drained>(effect)) LogStop("drained");
  if (std::holds_alternative<core::Drained>(effect)) driver_.WhenStored([this](bool) { drained_(); });
}

void Front::ApplyAdvice(const cluster::TargetAdvice& hint) {
  if (hint.kind == cluster::FactKind::kStarted) {
    // A start that lies ahead is nobody's sight: such a target would be cold for ever.
    if (hint.since > shared_.loop.Now() + kClocksMay) return;
    auto change =
        routes_.RecordRestart(hint.target, hint.since, {shared_.loop.Now(), net::Loop::WallClock()});
    if (change && watch_.usable()) driver_.Post(std::move(*change));
    return;
  }
  const auto* route = routes_.Find(hint.target);
  if (route != nullptr && hint.kind == cluster::FactKind::kLoad)
    return driver_.Post(core::GossipedLoad{hint.target, cluster::ToReport(hint), hint.age});
  if (route != nullptr && route->state == pebblenotch::WorkerState::kReady)
    driver_.Post(core::TargetSuspected{hint.target});
}

// Guards a target that is cold, and that nobody can say so of, against the traffic of a warm one.
void Front::Dialled(core::TargetId target, bool came_up) {
  const Micros now = shared_.loop.Now();
  if (!came_up) return restarts_.ConnectionRefused(target, now);
  if (!restarts_.ConnectionEstablished(target, watch_.last_answer_at())) return;
  auto change = routes_.RecordRestart(target, now, {now, net::Loop::WallClock()});
  if (!change) return;
  log::Event(log::Level::kInfo, "restarted", {{"target", routes_.Find(target)->name, true}});
  PublishObservations(*change);
  if (watch_.usable()) driver_.Post(std::move(*change));
}

// Of targets that started of late; the others' start is known to all.
void Front::PublishObservations(const core::RoutesChanged& change) {
  if (!observation_sink_) return;
  for (const auto& entry : change.entries) {
    if (entry.claimed_started_at > shared_.loop.Now() - config_.module.settings.slow_start_time)
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

void Front::Do(core::Answer& e) {
  const auto it = pending_.find(e.request);
  if (it == pending_.end()) return;
  Ingress* from = it->second.from;
  const std::string id = std::move(it->second.id);
  pending_bytes_ -= it->second.message.size();
  pending_.erase(it);
  if (from == nullptr) return;
  Ingress& in = *from;
  LogFinalAnswer(id, e.kind);
  switch (e.kind) {
    case core::AnswerKind::kServed:
      return in.Answer(200, {}, e.result);
    case core::AnswerKind::kShed: {
      Headers headers;
      if (e.retry_after > 0) headers.emplace_back("Retry-After", FormatSeconds(e.retry_after));
      return in.Answer(503, headers, "shed\n");
    }
    case core::AnswerKind::kFailed:
      return in.Answer(502, {}, "failed\n");
    case core::AnswerKind::kRejected:
      return in.Answer(400, {}, "a worker could not use the request\n");
  }
}

std::optional<pebblenotch::Report> Front::ReadLoad(std::string_view text) const {
  return ToReport(ParsePairs(text));
}

// Values under the settings' names or the sockets', in the settings' order.
std::optional<pebblenotch::Report> Front::ToReport(const std::map<std::string, double>& values) const {
  pebblenotch::wire::Metrics metrics;
  bool any = false;
  for (const std::string& field : config_.load_fields) {
    if (metrics.count == pebblenotch::wire::kMaxMetrics) break;
    auto it = values.find(OnSockets(field));
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
              {"news", news_},
              {"turned_away", turned_away_},
              {"malformed", malformed_},
              {"ingress", connection_count_},
              {"made_room", made_room_},
              {"longest_full_ms", longest_full_ / 1000},
              {"egress", egress_.connections()},
              {"buffers", shared_.pool.in_use()},
              {"paced", listener_.paced()}});
}

}  // namespace heronway::http
