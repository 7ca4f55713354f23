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

constexpr Micros kStart = 1'000'000'000'000;  // the clock does not begin at 0
constexpr Micros kLink = 500;                 // one way
constexpr Micros kAway = 1'000'000;           // a server that returns was gone for so long
constexpr Micros kNotice = 300'000;           // until the lists tell of it
constexpr Micros kDeadline = 6'000'000;
constexpr double kSmallBudget = 30;

struct Server {
  bool up = true, overloaded = false;
  Micros since = 0;
  int busy = 0;
  std::deque<std::uint64_t> queue;
  std::deque<Micros> calls;  // of the last window
};

struct Call {
  int process = 0, life = 0, server = 0, attempt = 0;
  pebblenotch::RequestId request = 0;
};

struct Client {
  int process = 0, tries = 0;
};

struct Process {
  std::unique_ptr<pebblenotch::Dispatcher> module;
  int life = 0;
  std::vector<std::pair<Micros, Micros>> heard;  // of each server: a start, and when it was heard of
};

enum class Kind : std::uint8_t {
  kArrive,
  kTimer,
  kReach,
  kFinish,
  kEnd,
  kDie,
  kReturn,
  kTell,
  kRestart,
  kProbed
};

struct Happening {
  Micros at;
  std::uint64_t order;
  Kind kind;
  std::uint64_t a, b;
  bool operator>(const Happening& o) const { return at != o.at ? at > o.at : order > o.order; }
};

class World {
 public:
  explicit World(const Plan& plan) : plan_(plan), random_(plan.seed) {
    pebblenotch::ClassSettings c;
    c.aim = 1'200'000;
    c.aim_stretch = 1.75;
    c.deadline = kDeadline;
    c.idempotency = pebblenotch::Idempotency::kIdempotent;
    site_.classes = {c};
    site_.nodes = plan.told_processes > 0 ? plan.told_processes : plan.processes;
    site_.max_attempts = 3;
    site_.may_cancel = true;
    site_.reports_in_answers = site_.worker_reports_start = true;
    site_.may_probe = plan.probes;
    site_.slow_start_floor = plan.cold_from;
    site_.slow_start_time = plan.warm_up;
    site_.overload_factor = plan.overload_factor;
    site_.overload_window = plan.window;
    servers_.resize(static_cast<std::size_t>(plan.servers));
    processes_.resize(static_cast<std::size_t>(plan.processes));
    const Micros first = plan.starts_together ? plan.returns_at + kNotice : 0;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      At(first, Kind::kRestart, i);
      if (plan.restart_every > 0) {
        for (Micros at = static_cast<Micros>(Unit() * plan.restart_every); at < plan.length;
             at += plan.restart_every)
          At(at, Kind::kRestart, i);
      }
    }
    rate_ = plan.load * plan.servers * plan.slots * 1e6 / static_cast<double>(plan.run);
    At(first + 1, Kind::kArrive);
    const auto returning = static_cast<std::size_t>(plan.returns * plan.servers);
    for (std::size_t i = 0; i < returning; ++i) {
      const auto spread = static_cast<Micros>(Unit() * kAway / 2);
      At(std::max<Micros>(0, plan.returns_at - kAway + spread), Kind::kDie, i);
      At(plan.returns_at + spread, Kind::kReturn, i);
    }
  }

  Outcome Play() {
    while (!happenings_.empty() && happenings_.top().at < kStart + plan_.length) {
      const Happening h = happenings_.top();
      happenings_.pop();
      now_ = h.at;
      On(h);
    }
    double allowed = 0;
    for (const Server& s : servers_) allowed += s.since > 0 ? BudgetWhole() : 0;
    out_.used = allowed > 0 ? static_cast<double>(out_.cold_calls) / allowed : 0;
    return out_;
  }

 private:
  double Unit() { return std::generate_canonical<double, 32>(random_); }
  void At(Micros after, Kind kind, std::uint64_t a = 0, std::uint64_t b = 0) {
    happenings_.push({now_ + after, ++order_, kind, a, b});
  }
  double Share(const Server& s) const {
    if (s.since == 0 || now_ >= s.since + plan_.warm_up) return 1;
    return plan_.cold_from + (1 - plan_.cold_from) * static_cast<double>(now_ - s.since) / plan_.warm_up;
  }
  bool Cold(const Server& s) const { return s.up && s.since > 0 && now_ < s.since + plan_.warm_up; }
  double PerWarmWindow() const {
    return plan_.overload_factor * plan_.slots * static_cast<double>(plan_.window) /
           static_cast<double>(plan_.run);
  }
  // All that the settings allow a server over the whole of its slow start.
  double BudgetWhole() const {
    return PerWarmWindow() * (1 + plan_.cold_from) / 2 * static_cast<double>(plan_.warm_up) /
           static_cast<double>(plan_.window);
  }

  void On(const Happening& h) {
    switch (h.kind) {
      case Kind::kArrive:
        return Arrive();
      case Kind::kTimer: {
        Process& p = processes_[h.a >> 20];
        if (p.life == static_cast<int>(h.a & 0xfffff))
          Feed(h.a >> 20, pebblenotch::TimerDue{static_cast<std::uint32_t>(h.b)});
        return;
      }
      case Kind::kReach:
        return Reach(h.a);
      case Kind::kProbed: {
        const Server& s = servers_[h.b];
        pebblenotch::ProbeResult probed;
        probed.worker = h.b + 1;
        probed.result = s.up ? Result::kOk : Result::kConnectFailed;
        if (s.up) probed.report = Report(s);
        return Feed(h.a, probed);
      }
      case Kind::kFinish:
        return Finish(h.a, static_cast<Micros>(h.b));
      case Kind::kEnd:
        return End(h.a, static_cast<Result>(h.b));
      case Kind::kDie:
        servers_[h.a].up = false;
        servers_[h.a].queue.clear();
        servers_[h.a].busy = 0;
        return At(kNotice, Kind::kTell, h.a);
      case Kind::kReturn:
        servers_[h.a].up = true;
        servers_[h.a].since = now_;
        return At(kNotice, Kind::kTell, h.a);
      case Kind::kTell: {
        for (std::size_t p = 0; p < processes_.size(); ++p) {
          const std::vector<pebblenotch::WorkerEntry> one = {Entry(h.a, p)};
          Feed(p, pebblenotch::Membership{pebblenotch::ListKind::kChanges, one});
        }
        return;
      }
      case Kind::kRestart: {
        Process& p = processes_[h.a];
        p.module = std::make_unique<pebblenotch::Dispatcher>(
            site_, plan_.seed * 7919 + h.a + ++lives_ * 104729, now_);
        ++p.life;
        p.heard.assign(servers_.size(), {0, 0});
        std::vector<pebblenotch::WorkerEntry> all;
        for (std::size_t i = 0; i < servers_.size(); ++i) all.push_back(Entry(i, h.a));
        return Feed(h.a, pebblenotch::Membership{pebblenotch::ListKind::kCached, all});
      }
    }
  }

  pebblenotch::WorkerEntry Entry(std::size_t i, std::size_t process) {
    pebblenotch::WorkerEntry e;
    e.id = i + 1;
    const Micros started = servers_[i].since;
    Process& p = processes_[process];
    if (started > 0 && !p.heard.empty()) {
      if (p.heard[i].first != started) p.heard[i] = {started, now_};
      // As discovery::RouteTable dates a start.
      const Micros heard = p.heard[i].second;
      e.claimed_started_at = std::clamp<Micros>(started - plan_.clock_error, 1, heard);
      e.started_at = heard;
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

  void Arrive() {
    const Micros t = now_ - kStart;
    const bool burst = plan_.burst_at >= 0 && t >= plan_.burst_at && t < plan_.burst_at + 1'000'000;
    const bool lull = plan_.burst_at >= 0 && t < plan_.burst_at && t >= plan_.burst_at - plan_.lull_before;
    const double rate = rate_ * (burst ? 5 : 1);
    At(1 + static_cast<Micros>(-std::log(1 - Unit()) * 1e6 / rate), Kind::kArrive);
    if (lull) return;
    ++out_.asked;
    Ask({static_cast<int>(random_(static_cast<std::uint32_t>(plan_.processes))), 0});
  }

  void Ask(Client client) {
    const pebblenotch::RequestId id = ++last_request_;
    ++client.tries;
    clients_[id] = client;
    pebblenotch::Request r;
    r.id = id;
    r.deadline = now_ + kDeadline;
    r.client_retry = client.tries > 1;
    Feed(static_cast<std::size_t>(client.process), r);
  }

  void Feed(std::size_t process, const pebblenotch::Event& event) {
    Process& p = processes_[process];
    if (!p.module) return;
    std::vector<pebblenotch::Action> actions;
    p.module->handle(now_, event, actions);
    for (const auto& action : actions) {
      if (const auto* push = std::get_if<pebblenotch::Push>(&action)) {
        const int attempt = attempts_[push->id]++;
        calls_[++last_call_] = {static_cast<int>(process), p.life, static_cast<int>(push->worker - 1),
                                attempt, push->id};
        At(kLink, Kind::kReach, last_call_);
      } else if (const auto* timer = std::get_if<pebblenotch::ArmTimer>(&action)) {
        At(std::max<Micros>(1, timer->at - now_), Kind::kTimer,
           process << 20 | static_cast<std::uint64_t>(p.life), timer->label);
      } else if (const auto* probe = std::get_if<pebblenotch::Probe>(&action)) {
        At(2 * kLink, Kind::kProbed, process, probe->worker - 1);
      } else if (const auto* refuse = std::get_if<pebblenotch::Shed>(&action)) {
        Again(refuse->id);
      } else if (const auto* fail = std::get_if<pebblenotch::Fail>(&action)) {
        Again(fail->id);
      }
    }
  }

  void Again(pebblenotch::RequestId id) {
    const auto it = clients_.find(id);
    if (it == clients_.end()) return;
    const Client client = it->second;
    clients_.erase(it);
    if (client.tries < plan_.tries) Ask(client);
  }

  void Reach(std::uint64_t id) {
    Call& call = calls_.at(id);
    Server& s = servers_[static_cast<std::size_t>(call.server)];
    ++out_.calls;
    if (!s.up) return At(kLink, Kind::kEnd, id, static_cast<std::uint64_t>(Result::kConnectFailed));
    while (!s.calls.empty() && s.calls.front() <= now_ - plan_.window) s.calls.pop_front();
    s.calls.push_back(now_);
    if (Cold(s)) Judge(s);
    if (s.busy < plan_.slots) return Begin(s, id);
    if (static_cast<int>(s.queue.size()) >= plan_.queue)
      return At(kLink, Kind::kEnd, id, static_cast<std::uint64_t>(Result::kFull));
    s.queue.push_back(id);
  }

  void Judge(Server& s) {
    ++out_.cold_calls;
    const double n = PerWarmWindow() * Share(s);
    const double most = n < kSmallBudget ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
    const auto got = static_cast<double>(
        std::count_if(s.calls.begin(), s.calls.end(), [&s](Micros at) { return at >= s.since; }));
    out_.worst = std::max(out_.worst, got / most);
    if (got > most && !std::exchange(s.overloaded, true)) ++out_.overloads;
  }

  void Begin(Server& s, std::uint64_t id) {
    ++s.busy;
    const double normal = std::normal_distribution<double>()(random_);
    const double work = static_cast<double>(plan_.run) * std::exp(0.5 * normal - 0.125);
    At(static_cast<Micros>(work / Share(s)), Kind::kFinish, id, static_cast<std::uint64_t>(s.since));
  }

  void Finish(std::uint64_t id, Micros since) {
    Server& s = servers_[static_cast<std::size_t>(calls_.at(id).server)];
    if (!s.up || s.since != since) return End(id, Result::kReset);
    --s.busy;
    if (!s.queue.empty()) {
      const std::uint64_t next = s.queue.front();
      s.queue.pop_front();
      Begin(s, next);
    }
    At(kLink, Kind::kEnd, id, static_cast<std::uint64_t>(Result::kOk));
  }

  void End(std::uint64_t id, Result result) {
    const Call call = calls_.at(id);
    calls_.erase(id);
    const auto process = static_cast<std::size_t>(call.process);
    if (processes_[process].life != call.life) return;
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
    if (result == Result::kOk && clients_.erase(call.request) > 0) ++out_.served;
    Feed(process, o);
  }

  Plan plan_;
  pebblenotch::Settings site_;
  pcg64 random_;
  Micros now_ = kStart;
  double rate_ = 1;
  std::uint64_t order_ = 0, last_call_ = 0, lives_ = 0;
  pebblenotch::RequestId last_request_ = 0;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> happenings_;
  std::vector<Server> servers_;
  std::vector<Process> processes_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<pebblenotch::RequestId, Client> clients_;
  std::unordered_map<pebblenotch::RequestId, int> attempts_;
  Outcome out_;
};

}  // namespace

Plan Drawn(std::uint64_t seed) {
  constexpr double kMostCallsPerSecond = 1'500;
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
  plan.run = static_cast<Micros>(std::exp(between(std::log(30e3), std::log(3e6))));
  plan.load = between(0.2, 1.4);
  const double calls = plan.load * plan.servers * plan.slots * 1e6 / static_cast<double>(plan.run);
  if (calls > kMostCallsPerSecond)
    plan.run = static_cast<Micros>(static_cast<double>(plan.run) * calls / kMostCallsPerSecond);
  plan.tries = random(2u) == 0 ? 1 : 6;
  plan.length = 22'000'000;
  plan.cold_from = between(0.05, 0.6);
  plan.overload_factor = between(1.2, 3);
  plan.window = static_cast<Micros>(between(0.5e6, 3.5e6));
  plan.warm_up = static_cast<Micros>(between(2e6, 10e6));
  plan.returns = between(0.05, 0.9);
  if (random(2u) == 0) plan.restart_every = static_cast<Micros>(between(4e6, 10e6));
  plan.starts_together = random(4u) == 0;
  plan.probes = random(2u) == 0;
  if (random(3u) == 0) {
    plan.burst_at = 13'000'000;
    plan.lull_before = static_cast<Micros>(between(0, 3e6));
  }
  if (random(3u) == 0) plan.told_processes = 1;
  return plan;
}

Outcome Play(const Plan& plan) { return World(plan).Play(); }

}  // namespace heronway::slow_start
