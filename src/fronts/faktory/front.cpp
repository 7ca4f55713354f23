#include "src/fronts/faktory/front.h"

#include <json/writer.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <sstream>
#include <utility>

#include "src/fronts/faktory/connection.h"
#include "src/fronts/log_reports.h"
#include "src/log/log.h"

namespace heronway::faktory {
namespace {

using core::Result;
using pebblenotch::WorkerState;

constexpr int kHashRounds = 4096;
constexpr std::size_t kMostLabels = 32;  // of a worker; what it names beyond these counts for nothing

// Workers come to this scheduler alone and tell their load themselves: there is no list to ask for, none to
// probe, and no other node that sends to them.
pebblenotch::Settings FleetOf(pebblenotch::Settings settings) {
  settings.must_subscribe = settings.may_probe = false;
  settings.reports_in_answers = settings.worker_reports_start = settings.may_cancel = true;
  settings.nodes = 1;
  return settings;
}

}  // namespace

void Front::Connection::OnTimer() {
  if (fetching) {
    fetching = false;
    if (worker != nullptr) front.TellLoad(*worker);
    return Send(kNull);
  }
  if (!stream.all_sent()) return front.Remove(*this, net::Reason::kSlowReader);
  if (closing) return front.Remove(*this, net::Reason::kAnswered);
  // A worker's connections are alive while any of them speaks: one runs a job while another beats.
  if (worker != nullptr) {
    Micros last = 0;
    for (const Connection* c : worker->connections) last = std::max(last, c->heard);
    if (const Micros left = last + kSilence - front.shared_.loop.Now(); left > 0) return timer.Start(left);
  }
  front.Remove(*this, greeted ? net::Reason::kIdle : net::Reason::kSlowRequest);
}

Front::Front(net::StreamContext& shared, const config::Config& config, const config::Options& options,
             const config::FaktoryConfig& faktory, match::Service* rules, std::function<void()> drained)
    : shared_(shared),
      config_(config),
      faktory_(faktory),
      rules_(rules),
      drained_(std::move(drained)),
      driver_(
          shared.loop, FleetOf(config.module.settings), config.seed + 1, 0, options.limits,
          [this](core::Effect& e) { Execute(e); },
          durable::OpenStore(options.durable, "faktory", config.classes, FleetOf(config.module.settings),
                             config.seed + 3),
          "faktory"),
      listener_(
          shared.loop, faktory.listen, options.limits.accept, [this](bool must) { return MakeRoom(must); },
          [this](int fd, const net::Address& from) { Accepted(fd, from); }),
      most_bytes_(static_cast<std::size_t>(config.memory_mb) * 1024 * 1024 / 16) {
  // Its part of the descriptors; the HTTP front's parts leave this much.
  faktory_.most_connections = std::min(faktory_.most_connections, std::max(1, config.sockets / 10));
  if (durable()) driver_.Post(core::StoreLoaded{});
  driver_.Post(core::RoutesChanged{core::ListKind::kCached, {}});
}

Front::~Front() = default;

// ---- connections
void Front::Accepted(int fd, const net::Address& from) {
  connections_.push_back(std::make_shared<Connection>(*this, fd, from));
  if (driver_.reducer().limits() != nullptr) driver_.Post(core::IngressConnected{});
  Connection& c = *connections_.back();
  Json::Value hi;
  hi["v"] = 2;
  if (!faktory_.password.empty()) {
    hi["i"] = kHashRounds;
    hi["s"] = c.salt = RandomSalt();
  }
  Json::StreamWriterBuilder compact;
  compact["indentation"] = "";
  c.Send(Simple("HI " + Json::writeString(compact, hi)));
}

bool Front::Answering() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& c) { return c->storing || !c->stream.all_sent(); });
}

bool Front::MakeRoom(bool must) {
  if (!must && connections_.size() < static_cast<std::size_t>(faktory_.most_connections)) return true;
  const auto it = std::find_if(connections_.begin(), connections_.end(), [](const auto& c) {
    return c->worker == nullptr && !c->busy() && c->stream.all_sent();
  });
  if (it == connections_.end()) return false;
  Remove(**it, net::Reason::kEvicted);
  return true;
}

void Front::Remove(Connection& c, net::Reason reason) {
  c.stream.Close(reason);
  Gone(c);
}

void Front::Gone(Connection& c) {
  c.timer.Stop();
  c.Count(0);
  c.closing = true;
  c.fetching = false;
  // A client that went away may come back for its job: what a worker has goes on, and nothing more is sent.
  if (Job* job = std::exchange(c.job, nullptr); job != nullptr) {
    job->client = nullptr;
    driver_.Post(core::IngressDetached{job->ticket, true});
  }
  Worker* worker = std::exchange(c.worker, nullptr);
  const auto it =
      std::find_if(connections_.begin(), connections_.end(), [&c](const auto& p) { return p.get() == &c; });
  if (it == connections_.end()) return;
  shared_.loop.DestroyLater(std::move(*it));
  connections_.erase(it);
  if (worker == nullptr) return;
  std::erase(worker->connections, &c);
  // A job that was delivered here may have run: nobody can tell any more.
  std::vector<core::HopEnded> ended;
  for (auto hop = worker->hops.begin(); hop != worker->hops.end();) {
    if (hop->on != &c) {
      ++hop;
      continue;
    }
    ended.push_back({hop->job->ticket, hop->number, Result::kReset, {}});
    hop = worker->hops.erase(hop);
  }
  if (worker->connections.empty()) {
    TellRoute(*worker, WorkerState::kGone);  // first: what is taken back must not come here again
    TakeBack(*worker, Result::kConnectFailed);
    targets_.erase(worker->target);
    const std::string wid = worker->wid;
    workers_.erase(wid);
  }
  for (auto& e : ended) driver_.Post(std::move(e));
}

// ---- commands
void Front::Serve(Connection& c, std::string_view line) {
  const Command command = Split(line);
  try {
    if (command.verb == "END") return Remove(c, net::Reason::kAnswered);
    if (command.verb == "HELLO") return Hello(c, command.rest);
    if (!c.greeted) throw Fault("HELLO comes first");
    if (command.verb == "PUSH") return Push(c, command.rest);
    if (command.verb == "FETCH") return Fetch(c, command.rest);
    if (command.verb == "ACK" || command.verb == "FAIL") return Ack(c, command);
    if (command.verb == "BEAT") return Beat(c, command.rest);
    if (command.verb == "INFO") return c.Send(Bulk(Info()));
    throw Fault("command " + command.verb.substr(0, 32) + " is not supported");
  } catch (const Fault& fault) {
    ++malformed_;
    if (!c.greeted) return c.Refuse(fault.what());
    c.Send(Error(fault.what()));
  }
}

void Front::Hello(Connection& c, std::string_view rest) {
  if (c.greeted) throw Fault("HELLO came already");
  const Json::Value hello = ParseObject(rest, "HELLO");
  if (!hello["v"].isInt() || hello["v"].asInt() != 2) return c.Refuse("v is not 2, the version spoken here");
  if (!faktory_.password.empty()) {
    const std::string given = hello["pwdhash"].isString() ? hello["pwdhash"].asString() : "";
    if (!SameSecret(given, PasswordHash(faktory_.password, c.salt, kHashRounds)))
      return c.Refuse("Invalid password");
  }
  if (hello["wid"].isNull()) {
    c.greeted = true;
    return c.Send(Simple("OK"));
  }
  const std::string wid = Text(hello, "wid");
  c.greeted = true;
  auto& worker = workers_[wid];
  const bool fresh = worker == nullptr;
  if (fresh) {
    worker = std::make_unique<Worker>();
    worker->wid = wid;
    worker->target = TargetOf(wid);
    worker->since = shared_.loop.Now();
    worker->zone = config_.module.settings.zone;
    for (const Json::Value& label : hello["labels"].isArray() ? hello["labels"] : Json::Value()) {
      const auto zone = label.isString()
                            ? std::find(config_.zones.begin(), config_.zones.end(), label.asString())
                            : config_.zones.end();
      if (label.isString() && worker->labels.size() < kMostLabels) worker->labels.push_back(label.asString());
      if (zone != config_.zones.end()) worker->zone = static_cast<int>(zone - config_.zones.begin());
    }
    targets_[worker->target] = worker.get();
  }
  c.worker = worker.get();
  c.worker->connections.push_back(&c);
  if (fresh) TellRoute(*c.worker, WorkerState::kReady);
  // It may hold jobs from before its connections broke, or this program did.
  if (durable()) driver_.Post(core::TargetHeartbeat{c.worker->target});
  c.Send(Simple("OK"));
}

match::Request Front::AsRequest(const faktory::Job& spec, std::size_t bytes) const {
  match::Request r;
  r.front = "faktory";
  r.jobtype = spec.jobtype;
  r.queue = spec.queue;
  r.custom = spec.custom;
  r.body_bytes = static_cast<std::int64_t>(bytes);
  r.deadline = spec.deadline.value_or(0);
  return r;
}

// What the rules say; without any, nothing.
match::Service::Judgement Front::Judge(const Connection& c, const faktory::Job& spec, std::size_t bytes) {
  if (rules_ == nullptr) return {};
  match::Request r = AsRequest(spec, bytes);
  r.peer = match::Mapped(&c.peer.sin_addr);
  const auto judgement = rules_->Judge(shared_.loop.Now(), r);
  if (judgement.marked_by != nullptr)
    log::Event(log::Level::kInfo, "marked",
               {{"front", "faktory", true}, {"rule", *judgement.marked_by}, {"jid", spec.jid}});
  return judgement;
}

void Front::Push(Connection& c, std::string_view rest) {
  faktory::Job spec = ParseJob(rest, config_.classes, rules_ != nullptr, durable());
  if (durable()) {
    if (const auto* known = reducer().job_manager()->table().Find(spec.jid); known != nullptr) {
      if (rules_ == nullptr && known->job_class != spec.job_class)
        throw Fault("jid is in use by a job of another jobtype");
      ++joined_;
      return ReplyWhenStored(c, Simple("OK"), reducer().job_manager()->StoreIdOf(spec.jid));
    }
  }
  ForgetOldAnswers();
  if (const auto kept = kept_.find(spec.jid); kept != kept_.end()) {
    const std::string line = std::move(kept->second.line);
    kept_.erase(kept);
    ++joined_;
    return c.Send(line);
  }
  // Guards against a second run for a client that lost its connection and asks again: it joins the job, and
  // the connection that waited before, if it is still there, will get no answer.
  if (const auto same = jobs_.find(spec.jid); same != jobs_.end()) {
    Job& job = *same->second;
    if (rules_ == nullptr && job.job_class != spec.job_class)
      throw Fault("jid is in use by a job of another jobtype");
    ++joined_;
    if (Connection* before = std::exchange(job.client, &c); before != nullptr) {
      before->job = nullptr;
      Remove(*before, net::Reason::kReplaced);
    }
    c.job = &job;
    c.timer.Stop();
    driver_.Post(core::IngressDetached{job.ticket, false});
    return DeliverAll();  // a hop of it may wait for a worker's FETCH
  }
  const auto judged = Judge(c, spec, rest.size());
  if (judged.refuse != nullptr) throw Fault("REFUSED " + *judged.refuse);
  if (judged.rate != nullptr) {
    ++turned_away_;
    return c.Send(
        Error("SHED over the rate " + *judged.rate + "; come back in " + FormatSeconds(judged.wait) + " s"));
  }
  if (judged.job_class >= 0) spec.job_class = judged.job_class;
  if (judged.key) spec.key = *judged.key;
  if (judged.repeats)
    spec.most_hops = spec.most_hops > 0 ? std::min(spec.most_hops, *judged.repeats + 1) : *judged.repeats + 1;
  if (spec.job_class < 0) throw Fault("jobtype is none of the classes served here");
  if (durable()) return PushDurable(c, spec, rest, judged);
  const std::string tenant(judged.tenant.value_or(""));  // it points into what is moved below
  core::RequestArrived arrived;
  if (reducer().pending() >= static_cast<std::size_t>(config_.most_held) ||
      held_bytes_ + rest.size() > most_bytes_) {
    ++turned_away_;
    if (reducer().limits() == nullptr) return c.Send(Error("SHED too many jobs held; come back in 1.000 s"));
    arrived.no_capacity = true;
  }
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.jid = spec.jid;
  job.queue = spec.queue;
  if (!arrived.no_capacity) job.text = rest;
  job.job_class = spec.job_class;
  job.ticket = ++last_ticket_;
  const auto& settings = config_.module.settings.classes[static_cast<std::size_t>(spec.job_class)];
  job.deadline = shared_.loop.Now() + spec.deadline.value_or(settings.deadline);
  job.client = &c;
  c.job = &job;
  c.timer.Stop();
  held_bytes_ += job.text.size();
  tickets_[job.ticket] = &job;
  jobs_[job.jid] = std::move(owned);
  arrived.id = arrived.client = spec.jid;
  arrived.hop_timeout = spec.reserve_for;
  arrived.max_hops = spec.most_hops;
  arrived.request.id = job.ticket;
  arrived.request.job_class = spec.job_class;
  arrived.request.deadline = job.deadline;
  arrived.request.key = spec.key;
  arrived.request.priority = judged.priority;
  arrived.request.required_groups = judged.only;
  arrived.tenant = tenant;
  driver_.Post(std::move(arrived));
}

void Front::Fetch(Connection& c, std::string_view rest) {
  if (c.worker == nullptr) throw Fault("FETCH needs a HELLO with a wid");
  c.queues.clear();
  std::istringstream names{std::string(rest)};
  for (std::string name; names >> name;) c.queues.push_back(name);
  if (c.queues.empty()) c.queues.push_back("default");
  c.fetching = true;
  c.timer.Start(kFetchWait);
  Deliver(*c.worker);
  if (c.worker != nullptr) TellLoad(*c.worker);
}

// ACK and FAIL. What names no job that this worker holds is late (the hop was given up): it changes nothing.
void Front::Ack(Connection& c, const Command& command) {
  if (c.worker == nullptr) throw Fault(command.verb + " needs a HELLO with a wid");
  const Json::Value ack = ParseObject(command.rest, command.verb.c_str());
  core::HopCallback news;
  news.id = Text(ack, "jid");
  news.state = command.verb == "ACK" ? core::CallbackState::kDone : core::CallbackState::kFailed;
  Worker& worker = *c.worker;
  news.from = worker.target;
  const auto hop = std::find_if(worker.hops.begin(), worker.hops.end(),
                                [&news](const Hop& h) { return h.on != nullptr && h.job->jid == news.id; });
  if (hop != worker.hops.end()) {
    worker.hops.erase(hop);
    news.report = LoadOf(worker);
  } else if (!durable()) {
    ++late_acks_;
    return c.Send(Simple("OK"));
  }
  if (durable()) {
    if (news.state == core::CallbackState::kFailed) news.result = WhyOf(ack);
    return AckDurable(c, std::move(news));
  }
  // The outcome stands before the worker hears of it: what becomes of it afterwards changes nothing.
  driver_.Post(std::move(news));
  c.Send(Simple("OK"));
}

void Front::Beat(Connection& c, std::string_view rest) {
  const Json::Value beat = ParseObject(rest, "BEAT");
  if (c.worker == nullptr || Text(beat, "wid") != c.worker->wid)
    throw Fault("wid is not the one of this connection's HELLO");
  const std::string state = beat["current_state"].isString() ? beat["current_state"].asString() : "";
  if (state != "" && state != "quiet" && state != "terminate") throw Fault("current_state is not known");
  if (durable()) driver_.Post(core::TargetHeartbeat{c.worker->target});
  if (state != "" && c.worker->state == WorkerState::kReady) {
    // Told at once, and what waits for it is taken back: nothing new goes to a worker that drains.
    TellRoute(*c.worker, WorkerState::kDraining);
    TakeBack(*c.worker, Result::kFull);
  }
  c.Send(Simple("OK"));
}

std::string Front::Info() const {
  const core::Counters& n = driver_.reducer().counters();
  Json::Value info, &faktory = info["faktory"], &server = info["server"];
  faktory["total_enqueued"] = Json::UInt64(driver_.reducer().pending());
  faktory["total_processed"] = Json::UInt64(n.served);
  faktory["total_failures"] = Json::UInt64(n.failed);
  faktory["total_shed"] = Json::UInt64(n.shed + turned_away_);
  if (durable()) InfoOfStore(faktory);
  server["connections"] = Json::UInt64(connections_.size());
  server["workers"] = Json::UInt64(workers_.size());
  server["description"] = "heronway";
  Json::StreamWriterBuilder compact;
  compact["indentation"] = "";
  return Json::writeString(compact, info);
}

// ---- effects
void Front::Execute(core::Effect& effect) {
  if (auto* send = std::get_if<core::SendHop>(&effect)) return Do(*send);
  if (auto* off = std::get_if<core::CancelHop>(&effect)) return Do(*off);
  if (auto* answer = std::get_if<core::Answer>(&effect)) return Do(*answer);
  if (auto* storm = std::get_if<core::StormChanged>(&effect))
    return LogStormChange("faktory", storm->change, config_.classes);
  if (auto* resume = std::get_if<core::StartRound>(&effect)) return Do(*resume);
  if (std::holds_alternative<core::Drained>(effect))
    driver_.WhenStored([this](bool) { drained_(); });  // replies that wait for the store go out first
}

void Front::Do(core::SendHop& e) {
  const auto job = tickets_.find(e.request);
  const auto target = targets_.find(e.target);
  if (job == tickets_.end() || target == targets_.end() || target->second->state != WorkerState::kReady)
    return driver_.Post(core::HopEnded{e.request, e.hop, Result::kConnectFailed, {}});
  Worker& worker = *target->second;
  worker.hops.push_back({job->second, e.hop, shared_.loop.Now(), nullptr, nullptr});
  Hop& hop = worker.hops.back();
  // Guards against a job that waits for a worker that asks for nothing: it is taken back, and never ran.
  hop.patience = std::make_unique<net::Timer>(shared_.loop, [this, ticket = e.request, n = e.hop, &worker] {
    const auto it = std::find_if(worker.hops.begin(), worker.hops.end(), [&](const Hop& h) {
      return h.job->ticket == ticket && h.number == n && h.on == nullptr;
    });
    if (it == worker.hops.end()) return;
    shared_.loop.DestroyLater(std::shared_ptr<net::Timer>(std::move(it->patience)));
    worker.hops.erase(it);
    driver_.Post(core::HopEnded{ticket, n, Result::kFull, LoadOf(worker)});
  });
  hop.patience->Start(kHopWait);
  Deliver(worker);
}

// Answers waiting FETCHes with the hops that wait, oldest first, by the queues that each FETCH names.
void Front::Deliver(Worker& worker) {
  if (worker.state != WorkerState::kReady) return;
  struct Given {
    Connection* to;
    std::string text;
    core::HopCallback started;
  };
  std::vector<Given> given;
  for (Hop& hop : worker.hops) {
    if (hop.on != nullptr || hop.job->client_gone()) continue;
    const auto taker =
        std::find_if(worker.connections.begin(), worker.connections.end(), [&hop](const Connection* c) {
          // One that has ended, unread so far, would leave the job as one that may have run.
          return c->fetching && std::count(c->queues.begin(), c->queues.end(), hop.job->queue) > 0 &&
                 !c->stream.PeerClosed();
        });
    if (taker == worker.connections.end()) continue;
    hop.on = *taker;
    hop.patience.reset();
    (*taker)->fetching = false;
    given.push_back({*taker, Bulk(hop.job->text), {}});
    given.back().started.id = hop.job->jid;
    given.back().started.from = worker.target;
  }
  // Apart from the above: a connection that breaks now ends its hop, and may end the worker.
  for (Given& g : given) {
    const auto alive = std::any_of(connections_.begin(), connections_.end(),
                                   [&g](const auto& c) { return c.get() == g.to; });
    if (alive) g.to->Send(g.text);
    driver_.Post(std::move(g.started));
  }
}

// Apart from the list of workers: what a delivery brings about may end one.
void Front::DeliverAll() {
  std::vector<core::TargetId> all;
  for (const auto& [target, worker] : targets_) all.push_back(target);
  for (const core::TargetId target : all) {
    if (const auto it = targets_.find(target); it != targets_.end()) Deliver(*it->second);
  }
}

// Hops that no FETCH has taken go back: they never ran.
void Front::TakeBack(Worker& worker, Result result) {
  std::vector<core::HopEnded> ended;
  for (auto hop = worker.hops.begin(); hop != worker.hops.end();) {
    if (hop->on != nullptr) {
      ++hop;
      continue;
    }
    ended.push_back({hop->job->ticket, hop->number, result, {}});
    hop = worker.hops.erase(hop);
  }
  for (auto& e : ended) driver_.Post(std::move(e));
}

// The protocol has no word for calling off what a worker holds; its ACK will be late and change nothing.
void Front::Do(core::CancelHop& e) {
  bool waited = false;
  if (const auto target = targets_.find(e.target); target != targets_.end()) {
    auto& hops = target->second->hops;
    const auto hop = std::find_if(hops.begin(), hops.end(), [&e](const Hop& h) {
      return h.job->ticket == e.request && h.number == e.hop;
    });
    if (hop != hops.end()) {
      waited = hop->on == nullptr;
      hops.erase(hop);
    }
  }
  driver_.Post(core::HopCancelled{e.request, e.hop, waited});
}

void Front::Do(core::Answer& e) {
  const auto it = tickets_.find(e.request);
  if (it == tickets_.end()) return;
  Job& job = *it->second;
  if (job.round) return EndRound(job);
  switch (e.kind) {
    case core::AnswerKind::kServed:
      return Reply(job, Simple("OK"));
    case core::AnswerKind::kShed:
      return Reply(job, Error(e.retry_after > 0 ? "SHED come back in " + FormatSeconds(e.retry_after) + " s"
                                                : "SHED nothing was done; come back later"));
    case core::AnswerKind::kFailed:
    case core::AnswerKind::kRejected:
      return Reply(job, Error("FAILED the job may have run"));
  }
}

void Front::Forget(Job& job) {
  for (auto& [wid, worker] : workers_)
    std::erase_if(worker->hops, [&job](const Hop& h) { return h.job == &job; });
  held_bytes_ -= job.text.size();
  tickets_.erase(job.ticket);
  const std::string jid = job.jid;
  jobs_.erase(jid);
}

void Front::Reply(Job& job, const std::string& line) {
  Connection* client = job.client;
  if (client == nullptr && kept_.size() < kMostKept) kept_[job.jid] = {line, job.deadline};
  Forget(job);
  if (client == nullptr) return;
  client->job = nullptr;
  client->Send(line);
}

void Front::TellRoute(const Worker& worker, WorkerState state) {
  if (const auto it = targets_.find(worker.target); it != targets_.end()) it->second->state = state;
  pebblenotch::WorkerEntry entry;
  entry.id = worker.target;
  entry.zone = worker.zone;
  entry.started_at = entry.claimed_started_at = worker.since;
  entry.state = state;
  if (rules_ != nullptr)
    entry.groups = rules_->GroupsOf(
        config_.zones.empty() ? "" : config_.zones[static_cast<std::size_t>(worker.zone)], "", worker.labels);
  driver_.Post(core::RoutesChanged{core::ListKind::kChanges, {entry}});
}

void Front::RulesChanged() {
  for (const auto& [wid, worker] : workers_) TellRoute(*worker, worker->state);
}

// The module takes its own young pushes off the free slots that a report tells, so these are added back: what
// is left is the FETCHes that wait.
pebblenotch::Report Front::LoadOf(const Worker& worker) {
  const Micros now = shared_.loop.Now();
  const auto young = std::count_if(worker.hops.begin(), worker.hops.end(), [now](const Hop& h) {
    return h.on != nullptr && h.sent > now - pebblenotch::kReportLag;
  });
  const auto waiting = std::count_if(worker.connections.begin(), worker.connections.end(),
                                     [](const Connection* c) { return c->fetching; });
  const auto active =
      std::count_if(worker.hops.begin(), worker.hops.end(), [](const Hop& h) { return h.on != nullptr; });
  pebblenotch::Report report;
  report.waiting = 0;
  report.active = static_cast<double>(active);
  report.free_slots = static_cast<double>(waiting + young);
  return report;
}

void Front::TellLoad(Worker& worker) {
  driver_.Post(core::ProbeEnded{worker.target, Result::kOk, 0, LoadOf(worker)});
}

void Front::ForgetOldAnswers() {
  std::erase_if(kept_, [now = shared_.loop.Now()](const auto& k) { return k.second.until < now; });
}

void Front::PrintCounters() const {
  LogRequestCounters("faktory", driver_.reducer());
  LogDurableCounters("faktory", driver_);
  LogInvariantViolations("faktory", driver_.reducer().invariants());
  log::Event(log::Level::kInfo, "counters",
             {{"front", "faktory", true},
              {"joined", joined_},
              {"late_acks", late_acks_},
              {"turned_away", turned_away_},
              {"malformed", malformed_},
              {"connections", connections_.size()},
              {"workers", workers_.size()},
              {"paced", listener_.paced()}});
}

}  // namespace heronway::faktory
