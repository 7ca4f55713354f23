#include "bench/slow_start/world.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iterator>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace heronway::slow_start {
namespace {

using pebblenotch::Result;

constexpr Micros kStart = 1'000'000'000'000;  // not 0, because 0 means "no restart"
constexpr Micros kNetworkDelay = 500;         // one way
constexpr Micros kDowntime = 1'000'000;       // of a server that restarts
constexpr Micros kListDelay = 300'000;        // until the server lists show a change
constexpr Micros kDeadline = 6'000'000;
constexpr double kSmallBudget = 30;  // calls in a window; smaller budgets get a larger tolerance

struct Server {
  bool up = true, overloaded = false;
  Micros started_at = 0;  // of the last restart; 0: none
  int busy = 0;
  std::deque<std::uint64_t> queue;
  std::deque<Micros> calls;  // times of those in the last window
};

struct Call {
  int process = 0, boot = 0, server = 0, attempt = 0;
  pebblenotch::RequestId request = 0;
};

struct Client {
  int process = 0, tries = 0;
};

struct Process {
  std::unique_ptr<pebblenotch::Dispatcher> module;
  int boot = 0;  // number of the last start
  // For each server: its last start, and when this process was first notified of that start.
  std::vector<std::pair<Micros, Micros>> reported;
};

enum class EventKind : std::uint8_t {
  kRequestArrives,
  kModuleTimer,
  kCallArrives,
  kRunEnds,
  kCallEnds,
  kServerStops,
  kServerStarts,
  kServerListed,
  kProcessStarts,
  kProbeEnds
};

struct SimEvent {
  Micros at;
  std::uint64_t order;
  EventKind kind;
  std::uint64_t a, b;  // arguments, depending on the kind
  bool operator>(const SimEvent& o) const { return at != o.at ? at > o.at : order > o.order; }
};

class Simulation {
 public:
  explicit Simulation(const Plan& plan) : plan_(plan), random_(plan.seed) {
    pebblenotch::ClassSettings c;
    c.aim = 1'200'000;
    c.aim_stretch = 1.75;
    c.deadline = kDeadline;
    c.idempotency = pebblenotch::Idempotency::kIdempotent;
    settings_.classes = {c};
    settings_.nodes = plan.configured_processes > 0 ? plan.configured_processes : plan.processes;
    settings_.max_attempts = 3;
    settings_.may_cancel = true;
    settings_.reports_in_answers = settings_.worker_reports_start = true;
    settings_.may_probe = plan.probes;
    settings_.slow_start_floor = plan.slow_start_floor;
    settings_.slow_start_time = plan.slow_start_time;
    settings_.overload_factor = plan.overload_factor;
    settings_.overload_window = plan.overload_window;
    servers_.resize(static_cast<std::size_t>(plan.servers));
    processes_.resize(static_cast<std::size_t>(plan.processes));
    const Micros first_start = plan.processes_start_together ? plan.restart_at + kListDelay : 0;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      Schedule(first_start, EventKind::kProcessStarts, i);
      if (plan.process_restart_interval > 0) {
        for (Micros at = static_cast<Micros>(UniformRandom() * plan.process_restart_interval);
             at < plan.duration; at += plan.process_restart_interval)
          Schedule(at, EventKind::kProcessStarts, i);
      }
    }
    rate_ = plan.load * plan.servers * plan.slots * 1e6 / static_cast<double>(plan.mean_run_time);
    Schedule(first_start + 1, EventKind::kRequestArrives);
    const auto restarting = static_cast<std::size_t>(plan.restarted_share * plan.servers);
    for (std::size_t i = 0; i < restarting; ++i) {
      const auto spread = static_cast<Micros>(UniformRandom() * kDowntime / 2);
      Schedule(std::max<Micros>(0, plan.restart_at - kDowntime + spread), EventKind::kServerStops, i);
      Schedule(plan.restart_at + spread, EventKind::kServerStarts, i);
    }
  }

  Outcome Simulate() {
    while (!events_.empty() && events_.top().at < kStart + plan_.duration) {
      const SimEvent event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    double budget = 0;
    for (const Server& s : servers_) budget += s.started_at > 0 ? SlowStartBudget() : 0;
    outcome_.used_share = budget > 0 ? static_cast<double>(outcome_.calls_to_cold) / budget : 0;
    return outcome_;
  }

 private:
  double UniformRandom() { return std::generate_canonical<double, 32>(random_); }
  void Schedule(Micros after, EventKind kind, std::uint64_t a = 0, std::uint64_t b = 0) {
    events_.push({now_ + after, ++order_, kind, a, b});
  }
  double SpeedShare(const Server& s) const {
    if (s.started_at == 0 || now_ >= s.started_at + plan_.slow_start_time) return 1;
    return plan_.slow_start_floor +
           (1 - plan_.slow_start_floor) * static_cast<double>(now_ - s.started_at) / plan_.slow_start_time;
  }
  bool IsCold(const Server& s) const {
    return s.up && s.started_at > 0 && now_ < s.started_at + plan_.slow_start_time;
  }
  double WarmWindowBudget() const {
    return plan_.overload_factor * plan_.slots * static_cast<double>(plan_.overload_window) /
           static_cast<double>(plan_.mean_run_time);
  }
  // The number of calls that the settings allow a server during its whole slow start.
  double SlowStartBudget() const {
    return WarmWindowBudget() * (1 + plan_.slow_start_floor) / 2 *
           static_cast<double>(plan_.slow_start_time) / static_cast<double>(plan_.overload_window);
  }

  void Handle(const SimEvent& event) {
    switch (event.kind) {
      case EventKind::kRequestArrives:
        return RequestArrives();
      case EventKind::kModuleTimer: {
        Process& p = processes_[event.a >> 20];
        if (p.boot == static_cast<int>(event.a & 0xfffff))
          NotifyModule(event.a >> 20, pebblenotch::TimerDue{static_cast<std::uint32_t>(event.b)});
        return;
      }
      case EventKind::kCallArrives:
        return CallArrives(event.a);
      case EventKind::kProbeEnds: {
        const Server& s = servers_[event.b];
        pebblenotch::ProbeResult probe;
        probe.worker = event.b + 1;
        probe.result = s.up ? Result::kOk : Result::kConnectFailed;
        if (s.up) probe.report = Report(s);
        return NotifyModule(event.a, probe);
      }
      case EventKind::kRunEnds:
        return EndRun(event.a, static_cast<Micros>(event.b));
      case EventKind::kCallEnds:
        return EndCall(event.a, static_cast<Result>(event.b));
      case EventKind::kServerStops:
        servers_[event.a].up = false;
        servers_[event.a].queue.clear();
        servers_[event.a].busy = 0;
        return Schedule(kListDelay, EventKind::kServerListed, event.a);
      case EventKind::kServerStarts:
        servers_[event.a].up = true;
        servers_[event.a].started_at = now_;
        return Schedule(kListDelay, EventKind::kServerListed, event.a);
      case EventKind::kServerListed: {
        for (std::size_t p = 0; p < processes_.size(); ++p) {
          const std::vector<pebblenotch::WorkerEntry> one = {ListEntry(event.a, p)};
          NotifyModule(p, pebblenotch::Membership{pebblenotch::ListKind::kChanges, one});
        }
        return;
      }
      case EventKind::kProcessStarts: {
        Process& p = processes_[event.a];
        p.module = std::make_unique<pebblenotch::Dispatcher>(
            settings_, plan_.seed * 7919 + event.a + ++boots_ * 104729, now_);
        ++p.boot;
        p.reported.assign(servers_.size(), {0, 0});
        std::vector<pebblenotch::WorkerEntry> all;
        for (std::size_t i = 0; i < servers_.size(); ++i) all.push_back(ListEntry(i, event.a));
        return NotifyModule(event.a, pebblenotch::Membership{pebblenotch::ListKind::kCached, all});
      }
    }
  }

  pebblenotch::WorkerEntry ListEntry(std::size_t i, std::size_t process) {
    pebblenotch::WorkerEntry e;
    e.id = i + 1;
    const Micros started_at = servers_[i].started_at;
    Process& p = processes_[process];
    if (started_at > 0 && !p.reported.empty()) {
      if (p.reported[i].first != started_at) p.reported[i] = {started_at, now_};
      // The same rule by which discovery::RouteTable dates a start.
      const Micros reported_at = p.reported[i].second;
      e.claimed_started_at = std::clamp<Micros>(started_at - plan_.clock_error, 1, reported_at);
      e.started_at = reported_at;
    }
    e.state = servers_[i].up ? pebblenotch::WorkerState::kReady : pebblenotch::WorkerState::kGone;
    return e;
  }

  pebblenotch::Report Report(const Server& s) const {
    pebblenotch::Report report;
    report.waiting = static_cast<double>(s.queue.size());
    report.free_slots = std::max(0, plan_.slots - s.busy);
    return report;
  }

  void RequestArrives() {
    const Micros t = now_ - kStart;
    const bool burst = plan_.burst_at >= 0 && t >= plan_.burst_at && t < plan_.burst_at + 1'000'000;
    const bool lull = plan_.burst_at >= 0 && t < plan_.burst_at && t >= plan_.burst_at - plan_.lull;
    const double rate = rate_ * (burst ? 5 : 1);
    Schedule(1 + static_cast<Micros>(-std::log(1 - UniformRandom()) * 1e6 / rate),
             EventKind::kRequestArrives);
    if (lull) return;
    ++outcome_.requests;
    SendRequest({static_cast<int>(random_(static_cast<std::uint32_t>(plan_.processes))), 0});
  }

  void SendRequest(Client client) {
    const pebblenotch::RequestId id = ++last_request_;
    ++client.tries;
    clients_[id] = client;
    pebblenotch::Request r;
    r.id = id;
    r.deadline = now_ + kDeadline;
    r.client_retry = client.tries > 1;
    NotifyModule(static_cast<std::size_t>(client.process), r);
  }

  void NotifyModule(std::size_t process, const pebblenotch::Event& event) {
    Process& p = processes_[process];
    if (!p.module) return;
    std::vector<pebblenotch::Action> actions;
    p.module->handle(now_, event, actions);
    for (const auto& action : actions) {
      if (const auto* push = std::get_if<pebblenotch::Push>(&action)) {
        const int attempt = attempts_[push->id]++;
        calls_[++last_call_] = {static_cast<int>(process), p.boot, static_cast<int>(push->worker - 1),
                                attempt, push->id};
        Schedule(kNetworkDelay, EventKind::kCallArrives, last_call_);
      } else if (const auto* timer = std::get_if<pebblenotch::ArmTimer>(&action)) {
        Schedule(std::max<Micros>(1, timer->at - now_), EventKind::kModuleTimer,
                 process << 20 | static_cast<std::uint64_t>(p.boot), timer->label);
      } else if (const auto* probe = std::get_if<pebblenotch::Probe>(&action)) {
        Schedule(2 * kNetworkDelay, EventKind::kProbeEnds, process, probe->worker - 1);
      } else if (const auto* shed = std::get_if<pebblenotch::Shed>(&action)) {
        RetryOrGiveUp(shed->id);
      } else if (const auto* fail = std::get_if<pebblenotch::Fail>(&action)) {
        RetryOrGiveUp(fail->id);
      }
    }
  }

  void RetryOrGiveUp(pebblenotch::RequestId id) {
    const auto it = clients_.find(id);
    if (it == clients_.end()) return;
    const Client client = it->second;
    clients_.erase(it);
    if (client.tries < plan_.max_tries) SendRequest(client);
  }

  void CallArrives(std::uint64_t id) {
    Call& call = calls_.at(id);
    Server& s = servers_[static_cast<std::size_t>(call.server)];
    ++outcome_.calls;
    if (!s.up)
      return Schedule(kNetworkDelay, EventKind::kCallEnds, id,
                      static_cast<std::uint64_t>(Result::kConnectFailed));
    while (!s.calls.empty() && s.calls.front() <= now_ - plan_.overload_window) s.calls.pop_front();
    s.calls.push_back(now_);
    if (IsCold(s)) CheckBudget(s);
    if (s.busy < plan_.slots) return StartRun(s, id);
    if (static_cast<int>(s.queue.size()) >= plan_.queue)
      return Schedule(kNetworkDelay, EventKind::kCallEnds, id, static_cast<std::uint64_t>(Result::kFull));
    s.queue.push_back(id);
  }

  void CheckBudget(Server& s) {
    ++outcome_.calls_to_cold;
    const double budget = WarmWindowBudget() * SpeedShare(s);
    const double limit =
        budget < kSmallBudget ? budget + 3 * std::sqrt(budget) + 3 : budget + 2 * std::sqrt(budget) + 2;
    const auto calls = static_cast<double>(
        std::count_if(s.calls.begin(), s.calls.end(), [&s](Micros at) { return at >= s.started_at; }));
    outcome_.max_budget_ratio = std::max(outcome_.max_budget_ratio, calls / limit);
    if (calls > limit && !std::exchange(s.overloaded, true)) ++outcome_.overloads;
  }

  void StartRun(Server& s, std::uint64_t id) {
    ++s.busy;
    const double log_factor = std::normal_distribution<double>()(random_);
    const double work = static_cast<double>(plan_.mean_run_time) * std::exp(0.5 * log_factor - 0.125);
    Schedule(static_cast<Micros>(work / SpeedShare(s)), EventKind::kRunEnds, id,
             static_cast<std::uint64_t>(s.started_at));
  }

  void EndRun(std::uint64_t id, Micros started_at) {
    Server& s = servers_[static_cast<std::size_t>(calls_.at(id).server)];
    if (!s.up || s.started_at != started_at) return EndCall(id, Result::kReset);
    --s.busy;
    if (!s.queue.empty()) {
      const std::uint64_t next = s.queue.front();
      s.queue.pop_front();
      StartRun(s, next);
    }
    Schedule(kNetworkDelay, EventKind::kCallEnds, id, static_cast<std::uint64_t>(Result::kOk));
  }

  void EndCall(std::uint64_t id, Result result) {
    const Call call = calls_.at(id);
    calls_.erase(id);
    const auto process = static_cast<std::size_t>(call.process);
    if (processes_[process].boot != call.boot) return;
    const Server& s = servers_[static_cast<std::size_t>(call.server)];
    pebblenotch::Outcome o;
    o.id = call.request;
    o.attempt = call.attempt;
    o.worker = static_cast<pebblenotch::WorkerId>(call.server) + 1;
    o.result = result;
    o.finished = result == Result::kOk;
    if (result == Result::kOk || result == Result::kFull) {
      o.report = Report(s);
    }
    if (result == Result::kOk && clients_.erase(call.request) > 0) ++outcome_.served;
    NotifyModule(process, o);
  }

  Plan plan_;
  pebblenotch::Settings settings_;
  pcg64 random_;
  Micros now_ = kStart;
  double rate_ = 1;
  std::uint64_t order_ = 0, last_call_ = 0, boots_ = 0;
  pebblenotch::RequestId last_request_ = 0;
  std::priority_queue<SimEvent, std::vector<SimEvent>, std::greater<>> events_;
  std::vector<Server> servers_;
  std::vector<Process> processes_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<pebblenotch::RequestId, Client> clients_;
  std::unordered_map<pebblenotch::RequestId, int> attempts_;
  Outcome outcome_;
};

}  // namespace

Plan RandomPlan(std::uint64_t seed) {
  constexpr double kMaxCallsPerSecond = 1'500;
  constexpr int kProcesses[] = {1, 2, 3, 4, 6, 8, 12, 24, 60}, kServers[] = {6, 14, 36, 60, 100};
  pcg64 random(seed);
  const auto between = [&random](double low, double high) {
    return low + (high - low) * std::generate_canonical<double, 32>(random);
  };
  Plan plan;
  plan.seed = seed;
  plan.processes = kProcesses[random(static_cast<std::uint32_t>(std::size(kProcesses)))];
  plan.servers = kServers[random(static_cast<std::uint32_t>(std::size(kServers)))];
  plan.slots = 1 + static_cast<int>(random(4u));
  plan.mean_run_time = static_cast<Micros>(std::exp(between(std::log(30e3), std::log(3e6))));
  plan.load = between(0.2, 1.4);
  const double calls = plan.load * plan.servers * plan.slots * 1e6 / static_cast<double>(plan.mean_run_time);
  if (calls > kMaxCallsPerSecond)
    plan.mean_run_time =
        static_cast<Micros>(static_cast<double>(plan.mean_run_time) * calls / kMaxCallsPerSecond);
  plan.max_tries = random(2u) == 0 ? 1 : 6;
  plan.duration = 22'000'000;
  plan.slow_start_floor = between(0.05, 0.6);
  plan.overload_factor = between(1.2, 3);
  plan.overload_window = static_cast<Micros>(between(0.5e6, 3.5e6));
  plan.slow_start_time = static_cast<Micros>(between(2e6, 10e6));
  plan.restarted_share = between(0.05, 0.9);
  if (random(2u) == 0) plan.process_restart_interval = static_cast<Micros>(between(4e6, 10e6));
  plan.processes_start_together = random(4u) == 0;
  plan.probes = random(2u) == 0;
  if (random(3u) == 0) {
    plan.burst_at = 13'000'000;
    plan.lull = static_cast<Micros>(between(0, 3e6));
  }
  if (random(3u) == 0) plan.configured_processes = 1;
  return plan;
}

Outcome Simulate(const Plan& plan) { return Simulation(plan).Simulate(); }

}  // namespace heronway::slow_start
