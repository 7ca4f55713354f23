#include "src/fronts/faktory/front.h"

#include <json/writer.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <utility>

#include "src/fronts/faktory/connection.h"
#include "src/fronts/log_reports.h"
#include "src/log/log.h"

namespace heronway::faktory {
namespace {

using core::Result;
using pebblenotch::WorkerState;

constexpr int kPasswordHashRounds = 4096;
constexpr std::size_t kMaxWorkerLabels = 32;  // further labels of a worker are ignored

// The settings for targets that connect to this scheduler only and report their load themselves: there is
// no target list to subscribe to, no target to probe, and no other scheduler that sends to them.
pebblenotch::Settings AdaptSettings(pebblenotch::Settings settings) {
  settings.must_subscribe = settings.may_probe = false;
  settings.reports_in_answers = settings.worker_reports_start = settings.may_cancel = true;
  settings.nodes = 1;
  return settings;
}

}  // namespace

void Front::Connection::OnTimer() {
  if (fetching) {
    fetching = false;
    if (worker != nullptr) front.PublishLoad(*worker);
    return Send(kNull);
  }
  if (!stream.all_sent()) return front.Remove(*this, net::Reason::kSlowReader);
  if (closing) return front.Remove(*this, net::Reason::kAnswered);
  // A worker's connections stay open while any of them is active: one may run a job while another sends
  // BEAT.
  if (worker != nullptr) {
    Micros last = 0;
    for (const Connection* c : worker->connections) last = std::max(last, c->last_received);
    if (const Micros left = last + kIdleTimeout - front.context_.loop.Now(); left > 0)
      return timer.Start(left);
  }
  front.Remove(*this, hello_done ? net::Reason::kIdle : net::Reason::kSlowRequest);
}

Front::Front(net::StreamContext& context, const config::Config& config, const config::Options& options,
             const config::FaktoryConfig& faktory, match::Service* rules, std::function<void()> drained)
    : context_(context),
      config_(config),
      faktory_(faktory),
      rules_(rules),
      drained_(std::move(drained)),
      driver_(
          context.loop, AdaptSettings(config.module.settings), config.seed + 1, 0, options.limits,
          [this](core::Effect& e) { Execute(e); },
          durable::OpenStore(options.durable, "faktory", config.classes,
                             AdaptSettings(config.module.settings), config.seed + 3),
          "faktory"),
      listener_(
          context.loop, faktory.listen, options.limits.accept,
          [this](bool required) { return ReserveDescriptor(required); },
          [this](int fd, const net::Address& from) { OnAccept(fd, from); }),
      max_bytes_(static_cast<std::size_t>(config.memory_mb) * 1024 * 1024 / 16) {
  // This front's part of the descriptors, which the HTTP front's budget leaves free.
  faktory_.max_connections = std::min(faktory_.max_connections, std::max(1, config.sockets / 10));
  if (durable()) driver_.Post(core::StoreLoaded{});
  driver_.Post(core::RoutesChanged{core::ListKind::kCached, {}});
}

Front::~Front() = default;

void Front::OnAccept(int fd, const net::Address& from) {
  connections_.push_back(std::make_shared<Connection>(*this, fd, from));
  if (driver_.reducer().limits() != nullptr) driver_.Post(core::IngressConnected{});
  Connection& c = *connections_.back();
  Json::Value hi;
  hi["v"] = 2;
  if (!faktory_.password.empty()) {
    hi["i"] = kPasswordHashRounds;
    hi["s"] = c.salt = RandomSalt();
  }
  Json::StreamWriterBuilder compact;
  compact["indentation"] = "";
  c.Send(Simple("HI " + Json::writeString(compact, hi)));
}

bool Front::HasUnsentAnswers() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& c) { return c->awaiting_store || !c->stream.all_sent(); });
}

bool Front::ReserveDescriptor(bool required) {
  if (!required && connections_.size() < static_cast<std::size_t>(faktory_.max_connections)) return true;
  const auto it = std::find_if(connections_.begin(), connections_.end(), [](const auto& c) {
    return c->worker == nullptr && !c->busy() && c->stream.all_sent();
  });
  if (it == connections_.end()) return false;
  Remove(**it, net::Reason::kEvicted);
  return true;
}

void Front::Remove(Connection& c, net::Reason reason) {
  c.stream.Close(reason);
  OnDisconnected(c);
}

void Front::OnDisconnected(Connection& c) {
  c.timer.Stop();
  c.resume_timer.Stop();
  c.CountBuffered(0);
  c.closing = true;
  c.fetching = false;
  // A disconnected client may reconnect for its job: hops that a worker has go on, but no further hop is
  // delivered.
  if (Job* job = std::exchange(c.job, nullptr); job != nullptr) {
    job->client = nullptr;
    driver_.Post(core::IngressDetached{job->ticket, true});
  }
  Worker* worker = std::exchange(c.worker, nullptr);
  const auto it =
      std::find_if(connections_.begin(), connections_.end(), [&c](const auto& p) { return p.get() == &c; });
  if (it == connections_.end()) return;
  context_.loop.DestroyLater(std::move(*it));
  connections_.erase(it);
  if (worker == nullptr) return;
  std::erase(worker->connections, &c);
  // A job that was delivered on this connection may have run; there is no way to find out.
  std::vector<core::HopEnded> ended;
  for (auto hop = worker->hops.begin(); hop != worker->hops.end();) {
    if (hop->connection != &c) {
      ++hop;
      continue;
    }
    ended.push_back({hop->job->ticket, hop->number, Result::kReset, {}});
    hop = worker->hops.erase(hop);
  }
  if (worker->connections.empty()) {
    PublishRoute(*worker, WorkerState::kGone);  // first, so that returned hops are not assigned to it again
    ReturnUndelivered(*worker, Result::kConnectFailed);
    targets_.erase(worker->target);
    const std::string wid = worker->wid;
    workers_.erase(wid);
  }
  for (auto& e : ended) driver_.Post(std::move(e));
}

void Front::ProcessCommand(Connection& c, std::string_view line) {
  const Command command = SplitCommand(line);
  try {
    if (command.verb == "END") return Remove(c, net::Reason::kAnswered);
    if (command.verb == "HELLO") return Hello(c, command.arguments);
    if (!c.hello_done) throw ProtocolError("HELLO comes first");
    if (command.verb == "PUSH") return Push(c, command.arguments);
    if (command.verb == "FETCH") return Fetch(c, command.arguments);
    if (command.verb == "ACK" || command.verb == "FAIL") return Ack(c, command);
    if (command.verb == "BEAT") return Beat(c, command.arguments);
    if (command.verb == "INFO") return c.Send(Bulk(Info()));
    throw ProtocolError("command " + command.verb.substr(0, 32) + " is not supported");
  } catch (const ProtocolError& error) {
    ++malformed_;
    if (!c.hello_done) return c.RejectAndClose(error.what());
    c.Send(Error(error.what()));
  }
}

void Front::Hello(Connection& c, std::string_view arguments) {
  if (c.hello_done) throw ProtocolError("HELLO came already");
  const Json::Value hello = ParseObject(arguments, "HELLO");
  if (!hello["v"].isInt() || hello["v"].asInt() != 2)
    return c.RejectAndClose("v is not 2, the version spoken here");
  if (!faktory_.password.empty()) {
    const std::string pwdhash = hello["pwdhash"].isString() ? hello["pwdhash"].asString() : "";
    if (!SecretsEqual(pwdhash, PasswordHash(faktory_.password, c.salt, kPasswordHashRounds)))
      return c.RejectAndClose("Invalid password");
  }
  if (hello["wid"].isNull()) {
    c.hello_done = true;
    return c.Send(Simple("OK"));
  }
  const std::string wid = RequiredText(hello, "wid");
  c.hello_done = true;
  auto& worker = workers_[wid];
  const bool is_new = worker == nullptr;
  if (is_new) {
    worker = std::make_unique<Worker>();
    worker->wid = wid;
    worker->target = TargetIdFor(wid);
    worker->connected_at = context_.loop.Now();
    worker->zone = config_.module.settings.zone;
    for (const Json::Value& label : hello["labels"].isArray() ? hello["labels"] : Json::Value()) {
      const auto zone = label.isString()
                            ? std::find(config_.zones.begin(), config_.zones.end(), label.asString())
                            : config_.zones.end();
      if (label.isString() && worker->labels.size() < kMaxWorkerLabels)
        worker->labels.push_back(label.asString());
      if (zone != config_.zones.end()) worker->zone = static_cast<int>(zone - config_.zones.begin());
    }
    targets_[worker->target] = worker.get();
  }
  c.worker = worker.get();
  c.worker->connections.push_back(&c);
  if (is_new) PublishRoute(*c.worker, WorkerState::kReady);
  // It may still run jobs from before its connections broke or this program restarted.
  if (durable()) driver_.Post(core::TargetHeartbeat{c.worker->target});
  c.Send(Simple("OK"));
}

match::Request Front::ToRuleRequest(const PushedJob& spec, std::size_t bytes) const {
  match::Request r;
  r.front = "faktory";
  r.jobtype = spec.jobtype;
  r.queue = spec.queue;
  r.custom = spec.custom;
  r.body_bytes = static_cast<std::int64_t>(bytes);
  r.deadline = spec.deadline.value_or(0);
  return r;
}

// Applies the rules; an empty decision where there are none.
match::Service::Decision Front::EvaluateRules(const Connection& c, const PushedJob& spec, std::size_t bytes) {
  if (rules_ == nullptr) return {};
  match::Request r = ToRuleRequest(spec, bytes);
  r.peer = match::MappedIpv4(&c.peer.sin_addr);
  const auto decision = rules_->Evaluate(context_.loop.Now(), r);
  if (decision.marked_by_rule != nullptr)
    log::Event(log::Level::kInfo, "marked",
               {{"front", "faktory", true}, {"rule", *decision.marked_by_rule}, {"jid", spec.jid}});
  return decision;
}

void Front::Push(Connection& c, std::string_view arguments) {
  PushedJob spec = ParseJob(arguments, config_.classes, rules_ != nullptr, durable());
  if (durable()) {
    if (const auto* known = reducer().job_manager()->table().Find(spec.jid); known != nullptr) {
      if (rules_ == nullptr && known->job_class != spec.job_class)
        throw ProtocolError("jid is in use by a job of another jobtype");
      ++joined_;
      return ReplyWhenStored(c, Simple("OK"), reducer().job_manager()->StoreIdOf(spec.jid));
    }
  }
  if (const auto line = kept_replies_.Take(spec.jid, context_.loop.Now())) {
    ++joined_;
    return c.Send(*line);
  }
  // A client that lost its connection and repeats the PUSH joins the job, so that it does not run twice. A
  // connection that was waiting for the job until now is closed without a reply.
  if (const auto known = jobs_.find(spec.jid); known != jobs_.end()) {
    Job& job = *known->second;
    if (rules_ == nullptr && job.job_class != spec.job_class)
      throw ProtocolError("jid is in use by a job of another jobtype");
    ++joined_;
    if (Connection* previous = std::exchange(job.client, &c); previous != nullptr) {
      previous->job = nullptr;
      Remove(*previous, net::Reason::kReplaced);
    }
    c.job = &job;
    c.timer.Stop();
    driver_.Post(core::IngressDetached{job.ticket, false});
    return DeliverToAll();  // one of its hops may be waiting for delivery
  }
  const auto decision = EvaluateRules(c, spec, arguments.size());
  if (decision.reject_reason != nullptr) throw ProtocolError("REFUSED " + *decision.reject_reason);
  if (decision.exceeded_rate != nullptr) {
    ++shed_;
    return c.Send(Error("SHED over the rate " + *decision.exceeded_rate + "; come back in " +
                        FormatSeconds(decision.retry_after) + " s"));
  }
  if (decision.job_class >= 0) spec.job_class = decision.job_class;
  if (decision.key) spec.key = *decision.key;
  if (decision.max_retries)
    spec.max_hops =
        spec.max_hops > 0 ? std::min(spec.max_hops, *decision.max_retries + 1) : *decision.max_retries + 1;
  if (spec.job_class < 0) throw ProtocolError("jobtype is none of the classes served here");
  if (durable()) return PushDurable(c, spec, arguments, decision);
  // A copy, as the original points into data that is moved below.
  const std::string tenant(decision.tenant.value_or(""));
  core::RequestArrived arrived;
  if (reducer().pending() >= static_cast<std::size_t>(config_.max_pending) ||
      job_bytes_ + arguments.size() > max_bytes_) {
    ++shed_;
    if (reducer().limits() == nullptr) return c.Send(Error("SHED too many jobs held; come back in 1.000 s"));
    arrived.no_capacity = true;
  }
  auto new_job = std::make_unique<Job>();
  Job& job = *new_job;
  job.jid = spec.jid;
  job.queue = spec.queue;
  if (!arrived.no_capacity) job.text = arguments;
  job.job_class = spec.job_class;
  job.ticket = ++last_ticket_;
  const auto& settings = config_.module.settings.classes[static_cast<std::size_t>(spec.job_class)];
  job.deadline = context_.loop.Now() + spec.deadline.value_or(settings.deadline);
  job.client = &c;
  c.job = &job;
  c.timer.Stop();
  job_bytes_ += job.text.size();
  tickets_[job.ticket] = &job;
  jobs_[job.jid] = std::move(new_job);
  arrived.id = arrived.client = spec.jid;
  arrived.hop_timeout = spec.reserve_for;
  arrived.max_hops = spec.max_hops;
  arrived.request.id = job.ticket;
  arrived.request.job_class = spec.job_class;
  arrived.request.deadline = job.deadline;
  arrived.request.key = spec.key;
  arrived.request.priority = decision.priority;
  arrived.request.required_groups = decision.required_groups;
  arrived.tenant = tenant;
  driver_.Post(std::move(arrived));
}

void Front::Fetch(Connection& c, std::string_view arguments) {
  if (c.worker == nullptr) throw ProtocolError("FETCH needs a HELLO with a wid");
  c.queues = ParseQueues(arguments);
  c.fetching = true;
  c.timer.Start(kFetchTimeout);
  Deliver(*c.worker);
  if (c.worker != nullptr) PublishLoad(*c.worker);
}

// Handles ACK and FAIL. One that names no job of this worker is late, as its hop was given up, and has no
// effect.
void Front::Ack(Connection& c, const Command& command) {
  if (c.worker == nullptr) throw ProtocolError(command.verb + " needs a HELLO with a wid");
  const Json::Value ack = ParseObject(command.arguments, command.verb.c_str());
  core::HopCallback report;
  report.id = RequiredText(ack, "jid");
  report.state = command.verb == "ACK" ? core::CallbackState::kDone : core::CallbackState::kFailed;
  Worker& worker = *c.worker;
  report.from = worker.target;
  const auto hop = std::find_if(worker.hops.begin(), worker.hops.end(), [&report](const Hop& h) {
    return h.connection != nullptr && h.job->jid == report.id;
  });
  if (hop != worker.hops.end()) {
    worker.hops.erase(hop);
    report.report = LoadReport(worker);
  } else if (!durable()) {
    ++late_acks_;
    return c.Send(Simple("OK"));
  }
  if (durable()) {
    if (report.state == core::CallbackState::kFailed) report.result = FailureReason(ack);
    return AckDurable(c, std::move(report));
  }
  // The outcome is final before the worker gets the reply: a later failure of the worker does not change
  // it.
  driver_.Post(std::move(report));
  c.Send(Simple("OK"));
}

void Front::Beat(Connection& c, std::string_view arguments) {
  const Json::Value beat = ParseObject(arguments, "BEAT");
  if (c.worker == nullptr || RequiredText(beat, "wid") != c.worker->wid)
    throw ProtocolError("wid is not the one of this connection's HELLO");
  const std::string state = beat["current_state"].isString() ? beat["current_state"].asString() : "";
  if (state != "" && state != "quiet" && state != "terminate")
    throw ProtocolError("current_state is not known");
  if (durable()) driver_.Post(core::TargetHeartbeat{c.worker->target});
  if (state != "" && c.worker->state == WorkerState::kReady) {
    // Published immediately, and undelivered hops are returned: a draining worker gets no new jobs.
    PublishRoute(*c.worker, WorkerState::kDraining);
    ReturnUndelivered(*c.worker, Result::kFull);
  }
  c.Send(Simple("OK"));
}

std::string Front::Info() const {
  const core::Counters& n = driver_.reducer().counters();
  Json::Value info, &faktory = info["faktory"], &server = info["server"];
  faktory["total_enqueued"] = Json::UInt64(driver_.reducer().pending());
  faktory["total_processed"] = Json::UInt64(n.served);
  faktory["total_failures"] = Json::UInt64(n.failed);
  faktory["total_shed"] = Json::UInt64(n.shed + shed_);
  if (durable()) AddStoreInfo(faktory);
  server["connections"] = Json::UInt64(connections_.size());
  server["workers"] = Json::UInt64(workers_.size());
  server["description"] = "heronway";
  Json::StreamWriterBuilder compact;
  compact["indentation"] = "";
  return Json::writeString(compact, info);
}

void Front::Execute(core::Effect& effect) {
  if (auto* send = std::get_if<core::SendHop>(&effect)) return Do(*send);
  if (auto* cancel = std::get_if<core::CancelHop>(&effect)) return Do(*cancel);
  if (auto* answer = std::get_if<core::Answer>(&effect)) return Do(*answer);
  if (auto* storm = std::get_if<core::StormChanged>(&effect))
    return LogStormChange("faktory", storm->change, config_.classes);
  if (auto* start = std::get_if<core::StartRound>(&effect)) return Do(*start);
  if (std::holds_alternative<core::Drained>(effect))
    driver_.WhenStored([this](bool) { drained_(); });  // after replies that wait for the store
}

void Front::Do(core::SendHop& e) {
  const auto job = tickets_.find(e.request);
  const auto target = targets_.find(e.target);
  if (job == tickets_.end() || target == targets_.end() || target->second->state != WorkerState::kReady)
    return driver_.Post(core::HopEnded{e.request, e.hop, Result::kConnectFailed, {}});
  Worker& worker = *target->second;
  // The decision module knows no queues. Without stored leases, a job that this worker would not fetch is
  // returned at once: waiting for a FETCH, it would take the place of jobs that the worker does fetch.
  if (!durable() && worker.FetchesOtherQueues(job->second->queue))
    return driver_.Post(core::HopEnded{e.request, e.hop, Result::kMoot, LoadReport(worker)});
  worker.hops.push_back({job->second, e.hop, context_.loop.Now(), nullptr, nullptr});
  Hop& hop = worker.hops.back();
  // A job whose worker sends no FETCH is returned to the reducer; it has not run.
  hop.delivery_timer =
      std::make_unique<net::Timer>(context_.loop, [this, ticket = e.request, n = e.hop, &worker] {
        const auto it = std::find_if(worker.hops.begin(), worker.hops.end(), [&](const Hop& h) {
          return h.job->ticket == ticket && h.number == n && h.connection == nullptr;
        });
        if (it == worker.hops.end()) return;
        context_.loop.DestroyLater(std::shared_ptr<net::Timer>(std::move(it->delivery_timer)));
        worker.hops.erase(it);
        driver_.Post(core::HopEnded{ticket, n, Result::kFull, LoadReport(worker)});
      });
  hop.delivery_timer->Start(kHopDeliveryTimeout);
  Deliver(worker);
}

// Replies to waiting FETCHes with undelivered hops, oldest first, according to the queues of each FETCH.
void Front::Deliver(Worker& worker) {
  if (worker.state != WorkerState::kReady) return;
  struct Delivery {
    Connection* to;
    std::string text;
    core::HopCallback started;
  };
  std::vector<Delivery> deliveries;
  for (Hop& hop : worker.hops) {
    if (hop.connection != nullptr || hop.job->client_disconnected()) continue;
    const auto receiver =
        std::find_if(worker.connections.begin(), worker.connections.end(), [&hop](const Connection* c) {
          // After delivery to a connection whose end is not read yet, the job would count as possibly run.
          return c->fetching && std::count(c->queues.begin(), c->queues.end(), hop.job->queue) > 0 &&
                 !c->stream.PeerClosed();
        });
    if (receiver == worker.connections.end()) continue;
    hop.connection = *receiver;
    hop.delivery_timer.reset();
    (*receiver)->fetching = false;
    deliveries.push_back({*receiver, Bulk(hop.job->text), {}});
    deliveries.back().started.id = hop.job->jid;
    deliveries.back().started.from = worker.target;
  }
  // In a separate loop, as a connection that breaks on Send removes its hop and possibly the worker.
  for (Delivery& delivery : deliveries) {
    const auto alive = std::any_of(connections_.begin(), connections_.end(),
                                   [&delivery](const auto& c) { return c.get() == delivery.to; });
    if (alive) delivery.to->Send(delivery.text);
    driver_.Post(std::move(delivery.started));
  }
}

// Iterates over a copy of the ids, as a delivery may remove a worker.
void Front::DeliverToAll() {
  std::vector<core::TargetId> targets;
  for (const auto& [target, worker] : targets_) targets.push_back(target);
  for (const core::TargetId target : targets) {
    if (const auto it = targets_.find(target); it != targets_.end()) Deliver(*it->second);
  }
}

// Returns undelivered hops to the reducer; they have not run.
void Front::ReturnUndelivered(Worker& worker, Result result) {
  std::vector<core::HopEnded> ended;
  for (auto hop = worker.hops.begin(); hop != worker.hops.end();) {
    if (hop->connection != nullptr) {
      ++hop;
      continue;
    }
    ended.push_back({hop->job->ticket, hop->number, result, {}});
    hop = worker.hops.erase(hop);
  }
  for (auto& e : ended) driver_.Post(std::move(e));
}

// The protocol has no message to cancel a delivered job; its ACK will be late and have no effect.
void Front::Do(core::CancelHop& e) {
  bool undelivered = false;
  if (const auto target = targets_.find(e.target); target != targets_.end()) {
    auto& hops = target->second->hops;
    const auto hop = std::find_if(hops.begin(), hops.end(), [&e](const Hop& h) {
      return h.job->ticket == e.request && h.number == e.hop;
    });
    if (hop != hops.end()) {
      undelivered = hop->connection == nullptr;
      hops.erase(hop);
    }
  }
  driver_.Post(core::HopCancelled{e.request, e.hop, undelivered});
}

void Front::Do(core::Answer& e) {
  const auto it = tickets_.find(e.request);
  if (it == tickets_.end()) return;
  Job& job = *it->second;
  if (job.is_round) return FinishRound(job);
  switch (e.kind) {
    case core::AnswerKind::kServed:
      return Reply(job, Simple("OK"), true);
    case core::AnswerKind::kShed:
      // Not kept: a job that was shed may be pushed again, and would take the room of replies that guard
      // against a second run.
      return Reply(job,
                   Error(e.retry_after > 0 ? "SHED come back in " + FormatSeconds(e.retry_after) + " s"
                                           : "SHED nothing was done; come back later"),
                   false);
    case core::AnswerKind::kFailed:
    case core::AnswerKind::kRejected:
      return Reply(job, Error("FAILED the job may have run"), true);
  }
}

void Front::RemoveJob(Job& job) {
  for (auto& [wid, worker] : workers_)
    std::erase_if(worker->hops, [&job](const Hop& h) { return h.job == &job; });
  job_bytes_ -= job.text.size();
  tickets_.erase(job.ticket);
  const std::string jid = job.jid;
  jobs_.erase(jid);
}

void Front::Reply(Job& job, const std::string& line, bool kept) {
  Connection* client = job.client;
  if (client == nullptr && kept) kept_replies_.Add(job.jid, line, job.deadline);
  RemoveJob(job);
  if (client == nullptr) return;
  client->job = nullptr;
  client->Send(line);
}

void Front::PublishRoute(const Worker& worker, WorkerState state) {
  if (const auto it = targets_.find(worker.target); it != targets_.end()) it->second->state = state;
  pebblenotch::WorkerEntry entry;
  entry.id = worker.target;
  entry.zone = worker.zone;
  entry.started_at = entry.claimed_started_at = worker.connected_at;
  entry.state = state;
  if (rules_ != nullptr)
    entry.groups = rules_->GroupsOf(
        config_.zones.empty() ? "" : config_.zones[static_cast<std::size_t>(worker.zone)], "", worker.labels);
  driver_.Post(core::RoutesChanged{core::ListKind::kChanges, {entry}});
}

void Front::RulesChanged() {
  for (const auto& [wid, worker] : workers_) PublishRoute(*worker, worker->state);
}

// The decision module subtracts its recent pushes from the reported free slots. They are added here, so
// that the difference is the number of waiting FETCHes.
pebblenotch::Report Front::LoadReport(const Worker& worker) {
  const Micros now = context_.loop.Now();
  const auto recent = std::count_if(worker.hops.begin(), worker.hops.end(), [now](const Hop& h) {
    return h.connection != nullptr && h.sent_at > now - pebblenotch::kReportLag;
  });
  const auto waiting = std::count_if(worker.connections.begin(), worker.connections.end(),
                                     [](const Connection* c) { return c->fetching; });
  const auto active = std::count_if(worker.hops.begin(), worker.hops.end(),
                                    [](const Hop& h) { return h.connection != nullptr; });
  pebblenotch::Report report;
  report.waiting = 0;
  report.active = static_cast<double>(active);
  report.free_slots = static_cast<double>(waiting + recent);
  return report;
}

void Front::PublishLoad(Worker& worker) {
  driver_.Post(core::ProbeEnded{worker.target, Result::kOk, 0, LoadReport(worker)});
}

void Front::LogStatistics() const {
  LogRequestCounters("faktory", driver_.reducer());
  LogDurableCounters("faktory", driver_);
  LogInvariantViolations("faktory", driver_.reducer().invariants());
  log::Event(log::Level::kInfo, "counters",
             {{"front", "faktory", true},
              {"joined", joined_},
              {"late_acks", late_acks_},
              {"turned_away", shed_},
              {"malformed", malformed_},
              {"connections", connections_.size()},
              {"workers", workers_.size()},
              {"paced", listener_.paced()}});
}

}  // namespace heronway::faktory
