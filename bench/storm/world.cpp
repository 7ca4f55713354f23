#include "bench/storm/world.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <pcg_random.hpp>
#include <random>
#include <unordered_map>

#include "src/cluster/target_gossip/load_report.h"
#include "src/cluster/target_gossip/target_gossip.h"

namespace heronway::storm {
namespace {

using core::Result;
constexpr int kSlots = 2, kQueue = 8;
constexpr Micros kNetworkDelay = 500;  // one way
constexpr Micros kOverloadWindow = 2 * kS;
constexpr double kOverloadFactor = 3;
// By class: mean work in microseconds, and share of the requests.
constexpr double kMeanWork[] = {120e3, 200e3, 350e3}, kClassShare[] = {0.42, 0.34, 0.24};
constexpr Micros kStart = 1'000'000 * kS;  // not 0, because 0 means "no start"
constexpr Micros kNewSchedulerPeriod = 10 * kS, kStaleAge = 5 * kS;

enum class EventKind : std::uint8_t {
  kFirstTry,
  kTry,
  kWake,
  kHopArrives,
  kHopFinishes,
  kHopCallback,
  kHopEnds,
  kOutage,
  kWorkerStarts,
  kWorkerListed,
  kTryTimesOut,
  kHopCancelled,
  kSimultaneousRetries,
  kNewSchedulerStarts,
  kPeerFactsArrive,
  kProbeEnds
};

struct SimEvent {
  Micros at;
  std::uint64_t order;
  EventKind kind;
  int subject = 0;             // index of a scheduler, worker or client, depending on the kind
  std::uint64_t a = 0, b = 0;  // arguments, depending on the kind
  bool operator>(const SimEvent& o) const { return at != o.at ? at > o.at : order > o.order; }
};

// A hop at its worker.
struct Task {
  int scheduler = 0, worker = 0, hop = 0;
  core::Ticket ticket = 0;
  double work = 0;  // microseconds on a slot at full speed
  int incarnation = 0;
};

struct Worker {
  bool up = true, overloaded = false;
  Micros started_at = 0;  // of the last restart; 0: none
  int incarnation = 0;
  std::vector<std::uint64_t> running;  // tasks
  std::deque<std::uint64_t> queue;
  std::deque<std::pair<Micros, double>> received;  // times and work of the hops in the last kOverloadWindow
  double received_work = 0;                        // their sum
  Micros listed_gone_at = -1;                      // when the route list marked it as gone; -1: listed
  bool listed = true;
};

struct Client {
  bool retries_immediately = false;
  bool busy = false;
  int job_class = 0, tries = 0, scheduler = 0;
  double work = 0;
  Micros first_try_at = 0;
  core::Ticket ticket = 0;   // of the try in progress; 0: none
  std::uint64_t serial = 0;  // number of the current request
  bool retried = false;      // the first try of the current request was not served
};

// A try at its scheduler.
struct Request {
  int client = 0, scheduler = 0;
  std::uint64_t serial = 0;
  Micros arrived_at = 0, deadline = 0;
  bool answered = false, may_have_run = false;
  int hops_in_flight = 0;
};

class Simulation {
 public:
  explicit Simulation(const Plan& plan) : plan_(plan), random_(plan.seed) {
    outcome_.seconds.resize(static_cast<std::size_t>(plan.duration / kS) + 8);
    pebblenotch::Settings settings;
    for (int c = 0; c < 3; ++c) {
      pebblenotch::ClassSettings s;
      s.aim = plan.aim;
      s.aim_stretch = plan.aim_stretch;
      s.deadline = plan.deadline;
      s.worth = c == 0 ? 1 : c == 1 ? 2 : 10;
      s.idempotency =
          c == 0 ? pebblenotch::Idempotency::kIdempotent : pebblenotch::Idempotency::kDeduplicated;
      s.key_ttl = 20 * kS;
      s.late_worth = 0.3;
      settings.classes.push_back(s);
    }
    settings.nodes = plan.schedulers;
    settings.max_attempts = 3;
    settings.may_cancel = false;
    settings.reports_in_answers = settings.worker_reports_start = true;
    settings.worth_by_work = true;
    settings.may_probe = plan.probes;
    settings.slow_start_floor = plan.slow_start_floor;
    settings.slow_start_time = plan.slow_start_time;
    settings.overload_factor = kOverloadFactor;
    settings.overload_window = kOverloadWindow;
    workers_.resize(static_cast<std::size_t>(plan.workers));
    clients_.resize(static_cast<std::size_t>(plan.clients));
    for (std::size_t i = 0; i < clients_.size(); ++i)
      clients_[i].retries_immediately = UniformRandom() < plan.immediate_retry_share;
    settings_ = settings;
    schedulers_started_ = plan.new_scheduler_at < 0 ? plan.schedulers : plan.schedulers - 1;
    for (int s = 0; s < schedulers_started_; ++s) StartScheduler(s);
    if (plan.new_scheduler_at >= 0) Schedule(plan.new_scheduler_at, EventKind::kNewSchedulerStarts);
    if (plan.new_scheduler_at >= kStaleAge)
      Schedule(plan.new_scheduler_at - kStaleAge, EventKind::kPeerFactsArrive, 1);
    const double mean = plan.one_class ? kMeanWork[1]
                                       : kClassShare[0] * kMeanWork[0] + kClassShare[1] * kMeanWork[1] +
                                             kClassShare[2] * kMeanWork[2];
    rate_ = plan.load * plan.workers * kSlots * 1e6 / mean;
    Schedule(RequestInterval(), EventKind::kFirstTry);
    for (const Micros at : plan.outages_at) Schedule(at, EventKind::kOutage);
    for (const Micros at : plan.simultaneous_retries_at) Schedule(at, EventKind::kSimultaneousRetries);
  }

  Outcome Simulate() {
    while (!events_.empty()) {
      const SimEvent event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    for (const auto& [id, r] : requests_) outcome_.unanswered += !r.answered && now_ >= r.deadline ? 1 : 0;
    for (const auto& r : reducers_) {
      if (r->limits() == nullptr) continue;
      const limits::Counters& c = r->limits()->counters();
      outcome_.limits.on_time_retries += c.on_time_retries;
      outcome_.limits.early_retries += c.early_retries;
      outcome_.limits.scheduled_sheds += c.scheduled_sheds;
      outcome_.limits.unscheduled_sheds += c.unscheduled_sheds;
      outcome_.limits.oversubscribed_retries += c.oversubscribed_retries;
      outcome_.limits.first_hops += c.first_hops;
      outcome_.limits.further_hops += c.further_hops;
      outcome_.limits.budget_exhausted += c.budget_exhausted;
      outcome_.limits.storms += c.storms;
      outcome_.limits.retries += c.retries;
    }
    return std::move(outcome_);
  }

 private:
  double UniformRandom() { return std::generate_canonical<double, 32>(random_); }
  Micros RequestInterval() { return static_cast<Micros>(-std::log(1 - UniformRandom()) * 1e6 / rate_); }
  void Schedule(Micros after, EventKind kind, int subject = 0, std::uint64_t a = 0, std::uint64_t b = 0) {
    events_.push({now_ + after, ++order_, kind, subject, a, b});
  }
  Second& CurrentSecond() {
    return outcome_
        .seconds[std::min(outcome_.seconds.size() - 1, static_cast<std::size_t>((now_ - kStart) / kS))];
  }
  int RandomScheduler() {
    const bool half_stopped = plan_.half_stopped_at >= 0 && now_ >= kStart + plan_.half_stopped_at;
    const int first = half_stopped ? schedulers_started_ / 2 : 0;
    return first + static_cast<int>(UniformRandom() * (schedulers_started_ - first));
  }
  bool PastEnd() const { return now_ - kStart >= plan_.duration; }

  void Handle(const SimEvent& event) {
    switch (event.kind) {
      case EventKind::kFirstTry: {
        if (PastEnd()) return;
        Schedule(RequestInterval(), EventKind::kFirstTry);
        auto i = static_cast<std::size_t>(UniformRandom() * static_cast<double>(clients_.size()));
        for (int n = 0; n < 8 && clients_[i].busy; ++n) i = (i + 7919) % clients_.size();
        Client& c = clients_[i];
        if (c.busy) return;  // nearly all clients are busy; the request is dropped
        const double draw = plan_.one_class ? 0.5 : UniformRandom();
        c.busy = true;
        c.retried = false;
        c.job_class = draw < kClassShare[0] ? 0 : draw < kClassShare[0] + kClassShare[1] ? 1 : 2;
        c.work = kMeanWork[c.job_class] * std::exp(0.5 * std::normal_distribution<double>()(random_) - 0.125);
        c.tries = 0;
        c.first_try_at = now_;
        ++c.serial;
        c.scheduler = RandomScheduler();
        ++outcome_.first_tries;
        ++outcome_.requests_by_class[static_cast<std::size_t>(c.job_class)];
        ++CurrentSecond().first_tries;
        return Try(static_cast<int>(i));
      }
      case EventKind::kTry:
        if (clients_[static_cast<std::size_t>(event.subject)].serial == event.a) Try(event.subject);
        return;
      case EventKind::kWake:
        if (wakeup_[static_cast<std::size_t>(event.subject)] == now_) Deliver(event.subject, core::Wake{});
        return;
      case EventKind::kHopArrives:
        return HopArrives(event.a);
      case EventKind::kHopFinishes:
        return FinishHop(event.a, static_cast<int>(event.b));
      case EventKind::kHopCallback: {
        core::HopCallback callback;
        callback.id = std::to_string(event.a);
        callback.from = (event.b >> 3) + 1;
        callback.state = static_cast<core::CallbackState>(event.b & 7);
        if (callback.state != core::CallbackState::kStarted) {
          const Worker& w = workers_[event.b >> 3];
          const pebblenotch::Report report = ReportTo(w, event.subject);
          callback.report = report;
          RecordObservation(event.subject, cluster::LoadObservation(callback.from, report));
          if (const auto it = requests_.find(event.a); it != requests_.end()) --it->second.hops_in_flight;
        }
        return Deliver(event.subject, std::move(callback));
      }
      case EventKind::kHopEnds: {
        const Task& t = tasks_.at(event.a);
        if (const auto it = requests_.find(t.ticket); it != requests_.end()) {
          --it->second.hops_in_flight;
          it->second.may_have_run |= static_cast<Result>(event.b) == Result::kReset;
        }
        core::HopEnded ended{t.ticket, t.hop, static_cast<Result>(event.b), {}};
        const auto target = static_cast<std::uint64_t>(t.worker) + 1;
        if (IsRecentlyStarted(t.scheduler)) ++outcome_.new_scheduler.hops_broken;
        RecordObservation(t.scheduler,
                          {cluster::FactKind::kFailing, target, 0, ended.result == Result::kFull});
        if (ended.result == Result::kFull) {
          pebblenotch::Report report;
          report.waiting = kQueue;
          report.free_slots = 0;
          ended.report = report;
          RecordObservation(t.scheduler, cluster::LoadObservation(target, report));
        }
        const int scheduler = t.scheduler;
        tasks_.erase(event.a);
        return Deliver(scheduler, ended);
      }
      case EventKind::kHopCancelled:
        return Deliver(event.subject, core::HopCancelled{event.a, static_cast<int>(event.b), false});
      case EventKind::kOutage:
        return StartOutage();
      case EventKind::kWorkerStarts: {
        Worker& w = workers_[static_cast<std::size_t>(event.subject)];
        if (w.overloaded) return;
        w.up = true;
        w.started_at = now_;
        return Schedule(plan_.list_delay / 2, EventKind::kWorkerListed, event.subject, 1);
      }
      case EventKind::kWorkerListed: {
        Worker& w = workers_[static_cast<std::size_t>(event.subject)];
        w.listed_gone_at = w.up ? -1 : now_;
        w.listed = w.up;
        for (int s = 0; s < schedulers_started_; ++s) SendList(s, core::ListKind::kChanges, event.subject);
        return;
      }
      case EventKind::kTryTimesOut: {
        const auto it = requests_.find(event.a);
        if (it == requests_.end() || it->second.answered) return;
        ++outcome_.unanswered;
        it->second.answered = true;
        if (ArrivedAtNewScheduler(it->second)) ++outcome_.new_scheduler.lost;
        Deliver(it->second.scheduler, core::IngressDisconnected{event.a});
        return EndTry(it->second.client, it->second.serial, -1, false);
      }
      case EventKind::kNewSchedulerStarts:
        StartScheduler(schedulers_started_++);
        // The delay covers connecting to a peer and receiving its facts.
        return Schedule(4 * kNetworkDelay, EventKind::kPeerFactsArrive);
      case EventKind::kPeerFactsArrive:
        return event.subject == 1 ? SaveStaleFacts() : ReceivePeerFacts();
      case EventKind::kProbeEnds: {
        const Worker& w = workers_[event.a - 1];
        core::ProbeEnded ended{event.a, w.up ? Result::kOk : Result::kConnectFailed, 2 * kNetworkDelay, {}};
        if (w.up) ended.report = ReportTo(w, event.subject);
        RecordObservation(event.subject, {cluster::FactKind::kFailing, event.a, 0, w.up});
        if (ended.report) RecordObservation(event.subject, cluster::LoadObservation(event.a, *ended.report));
        return Deliver(event.subject, std::move(ended));
      }
      case EventKind::kSimultaneousRetries:
        for (std::size_t i = 0; i < clients_.size(); ++i) {
          Client& c = clients_[i];
          if (c.busy && c.ticket == 0) {
            Schedule(0, EventKind::kTry, static_cast<int>(i), c.serial);
            c.serial += 0;
          }
        }
        return;
    }
  }

  void Try(int client) {
    Client& c = clients_[static_cast<std::size_t>(client)];
    if (!c.busy || c.ticket != 0) return;
    if (PastEnd()) {
      c.busy = false;
      return;
    }
    const bool stopped = plan_.half_stopped_at >= 0 && now_ >= kStart + plan_.half_stopped_at &&
                         c.scheduler < schedulers_started_ / 2;  // its scheduler has stopped
    if (c.tries > 0 && (stopped || UniformRandom() > plan_.same_scheduler_share))
      c.scheduler = RandomScheduler();
    ++c.tries;
    ++outcome_.tries;
    ++CurrentSecond().tries;
    const core::Ticket ticket = ++last_ticket_;
    c.ticket = ticket;
    Request& r = requests_[ticket];
    r.client = client;
    r.scheduler = c.scheduler;
    r.serial = c.serial;
    r.arrived_at = now_;
    r.deadline = now_ + plan_.deadline;
    core::RequestArrived a;
    a.id = std::to_string(ticket);
    a.request.id = ticket;
    a.request.job_class = c.job_class;
    a.request.deadline = r.deadline;
    a.request.client_retry = c.tries > 1;
    if (!plan_.without_client_key) a.client = std::to_string(client) + "-" + std::to_string(c.serial);
    if (ArrivedAtNewScheduler(r)) ++outcome_.new_scheduler.tries;
    Schedule(plan_.deadline, EventKind::kTryTimesOut, 0, ticket);
    Deliver(c.scheduler, std::move(a));
  }

  // The try has ended, with or without an answer; unless it was served, the client may retry.
  void EndTry(int client, std::uint64_t serial, Micros retry_after, bool served) {
    Client& c = clients_[static_cast<std::size_t>(client)];
    if (c.serial != serial) return;
    c.ticket = 0;
    const int client_kind = c.retries_immediately ? 0 : 1;
    if (served) {
      if (c.retried) ++outcome_.retried_served[client_kind];
      c.busy = false;
      return;
    }
    if (!std::exchange(c.retried, true)) ++outcome_.retried[client_kind];
    if (c.tries >= plan_.max_tries) {
      c.busy = false;
      return;
    }
    const Micros own_delay = 10 * kMs + static_cast<Micros>(UniformRandom() * 20e3);
    Schedule(c.retries_immediately || retry_after <= 0
                 ? own_delay
                 : retry_after + static_cast<Micros>(UniformRandom() * 5e3),
             EventKind::kTry, client, c.serial);
  }

  void Deliver(int scheduler, core::Event event) {
    std::deque<core::Event> waiting;
    waiting.push_back(std::move(event));
    while (!waiting.empty()) {
      std::vector<core::Effect> effects;
      reducers_[static_cast<std::size_t>(scheduler)]->Reduce(now_, std::move(waiting.front()), effects);
      waiting.pop_front();
      for (core::Effect& effect : effects) {
        if (auto* send = std::get_if<core::SendHop>(&effect)) {
          SendHop(scheduler, *send);
        } else if (auto* cancel = std::get_if<core::CancelHop>(&effect)) {
          Schedule(2 * kNetworkDelay, EventKind::kHopCancelled, scheduler, cancel->request,
                   static_cast<std::uint64_t>(cancel->hop));
          const auto it = requests_.find(cancel->request);
          if (it != requests_.end()) {
            --it->second.hops_in_flight;
            it->second.may_have_run = true;
          }
        } else if (auto* answer = std::get_if<core::Answer>(&effect)) {
          HandleAnswer(*answer);
        } else if (auto* at = std::get_if<core::WakeAt>(&effect)) {
          wakeup_[static_cast<std::size_t>(scheduler)] = std::max(at->at, now_ + 1);
          Schedule(std::max<Micros>(at->at - now_, 1), EventKind::kWake, scheduler);
        } else if (auto* probe = std::get_if<core::StartProbe>(&effect)) {
          Schedule(2 * kNetworkDelay, EventKind::kProbeEnds, scheduler, probe->target);
        } else if (auto* storm = std::get_if<core::StormChanged>(&effect)) {
          if (scheduler == 0) outcome_.changes.push_back(storm->change);
        }
      }
    }
  }

  void HandleAnswer(const core::Answer& a) {
    const auto it = requests_.find(a.request);
    if (it == requests_.end()) return;
    Request& r = it->second;
    if (std::exchange(r.answered, true)) {
      ++outcome_.answered_twice;
      return;
    }
    Client& c = clients_[static_cast<std::size_t>(r.client)];
    const bool served = a.kind == core::AnswerKind::kServed;
    Second& second = CurrentSecond();
    if (served) {
      ++second.served;
      ++outcome_.served;
      ++outcome_.served_by_class[static_cast<std::size_t>(c.job_class)];
      const bool in_time = now_ - r.arrived_at <= plan_.aim + static_cast<Micros>(plan_.aim_stretch * c.work);
      if (ArrivedAtNewScheduler(r))
        ++(in_time ? outcome_.new_scheduler.in_time : outcome_.new_scheduler.late);
      if (in_time) {
        ++second.in_time;
        second.value += (c.job_class == 0 ? 1 : c.job_class == 1 ? 2 : 10) * c.work / 1e6;
        ++outcome_.in_time;
      }
    } else {
      ++(a.kind == core::AnswerKind::kShed ? second.shed : second.failed);
      if (ArrivedAtNewScheduler(r)) ++outcome_.new_scheduler.lost;
    }
    EndTry(r.client, r.serial, a.kind == core::AnswerKind::kShed ? a.retry_after : -1, served);
  }

  void SendHop(int scheduler, const core::SendHop& send) {
    ++outcome_.hops;
    ++CurrentSecond().hops;
    if (send.hop == 0) ++CurrentSecond().first_hops;
    if (IsRecentlyStarted(scheduler)) ++outcome_.new_scheduler.hops;
    const auto it = requests_.find(send.request);
    const int worker = static_cast<int>(send.target - 1);
    const Worker& w = workers_[static_cast<std::size_t>(worker)];
    if (it != requests_.end()) {
      Request& r = it->second;
      if (r.hops_in_flight++ > 0) ++outcome_.concurrent_hops;
    }
    if (w.listed_gone_at >= 0 && now_ > w.listed_gone_at + 2 * kS) ++outcome_.hops_to_gone;
    const std::uint64_t id = ++last_task_;
    const double work =
        it == requests_.end() ? 0 : clients_[static_cast<std::size_t>(it->second.client)].work;
    tasks_[id] = {scheduler, worker, send.hop, send.request, work, w.incarnation};
    Schedule(kNetworkDelay, EventKind::kHopArrives, worker, id);
  }

  // The report of a worker to a scheduler. Slots that run the scheduler's own jobs count as free, because the
  // module subtracts its own pushes.
  pebblenotch::Report ReportTo(const Worker& w, int scheduler) const {
    const auto own = std::count_if(w.running.begin(), w.running.end(),
                                   [&](std::uint64_t id) { return tasks_.at(id).scheduler == scheduler; });
    pebblenotch::Report report;
    report.waiting = static_cast<double>(w.queue.size());
    report.free_slots = kSlots - static_cast<double>(w.running.size()) + static_cast<double>(own);
    return report;
  }

  double SpeedShare(const Worker& w) const {
    if (w.started_at == 0 || now_ >= w.started_at + plan_.slow_start_time) return 1;
    return plan_.slow_start_floor +
           (1 - plan_.slow_start_floor) * static_cast<double>(now_ - w.started_at) / plan_.slow_start_time;
  }

  void HopArrives(std::uint64_t id) {
    Task& t = tasks_.at(id);
    Worker& w = workers_[static_cast<std::size_t>(t.worker)];
    if (!w.up)
      return Schedule(kNetworkDelay, EventKind::kHopEnds, 0, id,
                      static_cast<std::uint64_t>(Result::kConnectFailed));
    t.incarnation = w.incarnation;
    w.received.emplace_back(now_, t.work);
    w.received_work += t.work;
    while (w.received.front().first < now_ - kOverloadWindow) {
      w.received_work -= w.received.front().second;
      w.received.pop_front();
    }
    const double limit = kOverloadFactor * SpeedShare(w) * kSlots * kOverloadWindow;
    if (w.started_at > 0 && now_ < w.started_at + plan_.slow_start_time) {
      outcome_.max_cold_load = std::max(outcome_.max_cold_load, w.received_work / limit);
      outcome_.hops_to_cold.resize(outcome_.seconds.size());
      ++outcome_.hops_to_cold[std::min(outcome_.seconds.size() - 1,
                                       static_cast<std::size_t>((now_ - kStart) / kS))];
    }
    if (w.started_at > 0 && now_ < w.started_at + plan_.slow_start_time && w.received_work > limit) {
      ++outcome_.overloads;
      w.overloaded = true;
      return StopWorker(t.worker);
    }
    if (static_cast<int>(w.running.size()) < kSlots) return StartRunning(w, id);
    if (static_cast<int>(w.queue.size()) >= kQueue)
      return Schedule(kNetworkDelay, EventKind::kHopEnds, 0, id, static_cast<std::uint64_t>(Result::kFull));
    w.queue.push_back(id);
  }

  void StartRunning(Worker& w, std::uint64_t id) {
    const Task& t = tasks_.at(id);
    w.running.push_back(id);
    SendCallback(t, core::CallbackState::kStarted);
    Schedule(static_cast<Micros>(t.work / SpeedShare(w)), EventKind::kHopFinishes, t.worker, id,
             static_cast<std::uint64_t>(w.incarnation));
  }

  void SendCallback(const Task& t, core::CallbackState state) {
    Schedule(kNetworkDelay, EventKind::kHopCallback, t.scheduler, t.ticket,
             static_cast<std::uint64_t>(t.worker) << 3 | static_cast<std::uint64_t>(state));
  }

  void FinishHop(std::uint64_t id, int incarnation) {
    const auto it = tasks_.find(id);
    if (it == tasks_.end()) return;
    const Task t = it->second;
    Worker& w = workers_[static_cast<std::size_t>(t.worker)];
    if (w.incarnation != incarnation) return;
    std::erase(w.running, id);
    tasks_.erase(it);
    if (!w.queue.empty()) {
      const std::uint64_t next = w.queue.front();
      w.queue.pop_front();
      StartRunning(w, next);
    }
    SendCallback(t, core::CallbackState::kDone);
  }

  void StopWorker(int worker) {
    Worker& w = workers_[static_cast<std::size_t>(worker)];
    w.up = false;
    ++w.incarnation;
    for (const std::uint64_t id : w.running)
      Schedule(kNetworkDelay, EventKind::kHopEnds, 0, id, static_cast<std::uint64_t>(Result::kReset));
    for (const std::uint64_t id : w.queue)
      Schedule(kNetworkDelay, EventKind::kHopEnds, 0, id, static_cast<std::uint64_t>(Result::kReset));
    w.running.clear();
    w.queue.clear();
    w.received.clear();
    w.received_work = 0;
    Schedule(plan_.list_delay, EventKind::kWorkerListed, worker);
  }

  void StartOutage() {
    const int count = static_cast<int>(plan_.outage_share * plan_.workers);
    for (int n = 0, i = 0; n < count && i < plan_.workers; ++i) {
      if (!workers_[static_cast<std::size_t>(i)].up) continue;
      StopWorker(i);
      Schedule(plan_.outage_duration, EventKind::kWorkerStarts, i);
      ++n;
    }
  }

  // Sends the entry of one worker to a scheduler, or by default the entries of all workers.
  void SendList(int scheduler, core::ListKind kind, int only_worker = -1) {
    core::RoutesChanged routes{kind, {}};
    for (int i = 0; i < plan_.workers; ++i) {
      if (only_worker >= 0 && i != only_worker) continue;
      const Worker& w = workers_[static_cast<std::size_t>(i)];
      pebblenotch::WorkerEntry e;
      e.id = static_cast<core::TargetId>(i + 1);
      e.started_at = w.started_at;
      e.state = w.listed ? pebblenotch::WorkerState::kReady : pebblenotch::WorkerState::kGone;
      routes.entries.push_back(e);
      if (w.listed && e.started_at > now_ - plan_.slow_start_time)
        RecordObservation(scheduler, {cluster::FactKind::kStarted, e.id, e.started_at});
    }
    Deliver(scheduler, std::move(routes));
  }

  // Whether the scheduler is the new one and in its first kNewSchedulerPeriod.
  bool IsRecentlyStarted(int scheduler) const {
    return plan_.new_scheduler_at >= 0 && scheduler == plan_.schedulers - 1 &&
           now_ < kStart + plan_.new_scheduler_at + kNewSchedulerPeriod;
  }
  // Whether the try arrived at the new scheduler in its first kNewSchedulerPeriod.
  bool ArrivedAtNewScheduler(const Request& r) const {
    return plan_.new_scheduler_at >= 0 && r.scheduler == plan_.schedulers - 1 &&
           r.arrived_at < kStart + plan_.new_scheduler_at + kNewSchedulerPeriod;
  }
  void StartScheduler(int s) {
    reducers_.push_back(std::make_unique<core::Reducer>(
        settings_, plan_.seed * 1000 + static_cast<std::uint64_t>(s), now_, 0, plan_.limits));
    wakeup_.push_back(0);
    gossip_.emplace_back("s" + std::to_string(s), plan_.seed + static_cast<std::uint64_t>(s));
    SendList(s, core::ListKind::kCached);
  }
  // Passes an observation of a scheduler to its gossip, as the HTTP front does.
  void RecordObservation(int scheduler, const cluster::TargetObservation& observation) {
    cluster::TargetGossip& gossip = gossip_[static_cast<std::size_t>(scheduler)];
    if (observation.healthy) return gossip.RecordHealthy(now_, observation.target);
    if (observation.kind == cluster::FactKind::kLoad)
      return gossip.RecordLoad(now_, observation.target, observation.waiting, observation.free);
    gossip.RecordEvent(now_, observation.kind, observation.target, observation.since);
  }
  // Saves the facts that the peer with stale reports sends later.
  void SaveStaleFacts() { gossip_[0].AppendOwnFacts(now_, stale_facts_); }
  // The facts that a peer sends to the new scheduler.
  std::vector<cluster::Fact> FactsFrom(int peer) const {
    std::vector<cluster::Fact> facts;
    gossip_[static_cast<std::size_t>(peer)].AppendOwnFacts(now_, facts);
    if (peer == 0 && plan_.peer_reports == PeerReports::kOneStale) facts = stale_facts_;
    if (peer == 0 && plan_.peer_reports == PeerReports::kOneWrong) {
      std::erase_if(facts, [](const auto& f) { return f.kind != cluster::FactKind::kLoad; });
      for (cluster::Fact& f : facts) {
        const bool has_capacity = f.free >= 10;
        f.free = has_capacity ? 0 : 10 * kSlots;
        f.waiting = has_capacity ? 10 * kQueue : 0;
        f.age = 0;
      }
      for (int i = 0; i < plan_.workers; ++i) {  // healthy workers fail, stopped ones have much free capacity
        const auto target = static_cast<std::uint64_t>(i + 1);
        const bool up = workers_[static_cast<std::size_t>(i)].up;
        cluster::Fact f{target, up ? cluster::FactKind::kFailing : cluster::FactKind::kLoad, 0, 1, 0};
        f.free = 10 * kSlots;
        facts.push_back(f);
      }
    }
    for (cluster::Fact& f : facts) {
      if (peer == 0 && plan_.peer_reports == PeerReports::kOneStale) f.age = 0;
    }
    return facts;
  }
  void ReceivePeerFacts() {
    if (plan_.peer_reports == PeerReports::kNothing) return;
    const int new_scheduler = plan_.schedulers - 1;
    std::vector<cluster::TargetAdvice> advice;
    for (int peer = 0; peer < std::min(2, new_scheduler); ++peer) {
      for (const cluster::Fact& f : FactsFrom(peer)) gossip_.back().HandleFact(now_, f, 1, advice);
    }
    for (const cluster::TargetAdvice& a : advice) {
      if (a.kind == cluster::FactKind::kLoad) {
        ++outcome_.new_scheduler.loads_adopted;
        Deliver(new_scheduler, core::GossipedLoad{a.target, cluster::ToReport(a), a.age});
      } else if (a.kind == cluster::FactKind::kFailing) {
        ++outcome_.new_scheduler.suspicions;
        Deliver(new_scheduler, core::TargetSuspected{a.target});
      }
    }
  }

  Plan plan_;
  pebblenotch::Settings settings_;
  int schedulers_started_ = 0;
  std::vector<cluster::TargetGossip> gossip_;
  std::vector<cluster::Fact> stale_facts_;
  pcg64 random_;
  Micros now_ = kStart;
  double rate_ = 1;
  std::uint64_t order_ = 0, last_task_ = 0;
  core::Ticket last_ticket_ = 0;
  std::priority_queue<SimEvent, std::vector<SimEvent>, std::greater<>> events_;
  std::vector<std::unique_ptr<core::Reducer>> reducers_;
  std::vector<Micros> wakeup_;
  std::vector<Worker> workers_;
  std::vector<Client> clients_;
  std::unordered_map<core::Ticket, Request> requests_;
  std::unordered_map<std::uint64_t, Task> tasks_;
  Outcome outcome_;
};

}  // namespace

double Outcome::InTimeBetween(int from, int to) const {
  double sum = 0;
  for (int s = from; s < to; ++s) sum += seconds[static_cast<std::size_t>(s)].in_time;
  return sum / std::max(1, to - from);
}

double Outcome::ValueBetween(int from, int to) const {
  double sum = 0;
  for (int s = from; s < to; ++s) sum += seconds[static_cast<std::size_t>(s)].value;
  return sum / std::max(1, to - from);
}

double Outcome::HopsPerFirstTry(int from, int to) const {
  double sum = 0, first = 0;
  for (int s = from; s < to; ++s) {
    sum += seconds[static_cast<std::size_t>(s)].hops;
    first += seconds[static_cast<std::size_t>(s)].first_tries;
  }
  return first > 0 ? sum / first : 0;
}

double Outcome::Amplification(int from, int to) const {
  double sum = 0, first = 0;
  for (int s = from; s < to; ++s) {
    sum += seconds[static_cast<std::size_t>(s)].hops;
    first += seconds[static_cast<std::size_t>(s)].first_hops;
  }
  return first > 0 ? sum / first : 0;
}

double Outcome::TriesPerFirstTry(int from, int to) const {
  double sum = 0, first = 0;
  for (int s = from; s < to; ++s) {
    sum += seconds[static_cast<std::size_t>(s)].tries;
    first += seconds[static_cast<std::size_t>(s)].first_tries;
  }
  return first > 0 ? sum / first : 0;
}

int Outcome::SecondsToRecover(int before, int from, double share) const {
  const double value_before = ValueBetween(before - 5, before);
  for (int s = from; s + 2 <= static_cast<int>(seconds.size()) - 8; ++s) {
    if (ValueBetween(s, s + 2) >= share * value_before) return s - from;
  }
  return -1;
}

Outcome Simulate(const Plan& plan) { return Simulation(plan).Simulate(); }

}  // namespace heronway::storm
