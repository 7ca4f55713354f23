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
constexpr Micros kLink = 500;  // one way
constexpr Micros kFallWindow = 2 * kS;
constexpr double kFallFactor = 3;
constexpr double kRuns[] = {120e3, 200e3, 350e3}, kMix[] = {0.42, 0.34, 0.24};
constexpr Micros kStart = 1'000'000 * kS;  // the clock does not begin at 0
constexpr Micros kFreshFor = 10 * kS, kStaleBy = 5 * kS;

enum class Kind : std::uint8_t {
  kFirstTry,
  kTry,
  kWake,
  kReach,
  kFinish,
  kHopNews,
  kBroken,
  kDie,
  kReturn,
  kList,
  kGaveUp,
  kCalledOff,
  kTogether,
  kFresh,
  kLearn,
  kProbed
};

struct Happening {
  Micros at;
  std::uint64_t order;
  Kind kind;
  int who = 0;  // scheduler, worker or client, by the kind
  std::uint64_t a = 0, b = 0;
  bool operator>(const Happening& o) const { return at != o.at ? at > o.at : order > o.order; }
};

struct Task {  // a hop, at its worker
  int scheduler = 0, worker = 0, hop = 0;
  core::Ticket ticket = 0;
  double work = 0;  // microseconds on a warm slot
  int incarnation = 0;
};

struct Worker {
  bool up = true, fallen = false;
  Micros since = 0;
  int incarnation = 0;
  std::vector<std::uint64_t> running;  // tasks
  std::deque<std::uint64_t> queue;
  std::deque<std::pair<Micros, double>> sent;  // work of the last kFallWindow
  double sent_work = 0;
  Micros told_gone = -1;  // when the lists were told
  bool listed = true;     // what they tell
};

struct Client {
  bool at_once = false;
  bool busy = false;
  int job_class = 0, tries = 0, scheduler = 0;
  double work = 0;
  Micros first = 0;
  core::Ticket ticket = 0;  // of the try that is out
  std::uint64_t serial = 0;
  bool turned = false;
};

struct Request {  // a try, at its scheduler
  int client = 0, scheduler = 0;
  std::uint64_t serial = 0;
  Micros came = 0, deadline = 0;
  bool answered = false, may_have_run = false;
  int out = 0;
};

class World {
 public:
  explicit World(const Plan& plan) : plan_(plan), random_(plan.seed) {
    out_.seconds.resize(static_cast<std::size_t>(plan.length / kS) + 8);
    pebblenotch::Settings site;
    for (int c = 0; c < 3; ++c) {
      pebblenotch::ClassSettings s;
      s.aim = plan.aim;
      s.aim_stretch = plan.stretch;
      s.deadline = plan.deadline;
      s.worth = c == 0 ? 1 : c == 1 ? 2 : 10;
      s.idempotency =
          c == 0 ? pebblenotch::Idempotency::kIdempotent : pebblenotch::Idempotency::kDeduplicated;
      s.key_ttl = 20 * kS;
      s.late_worth = 0.3;
      site.classes.push_back(s);
    }
    site.nodes = plan.schedulers;
    site.max_attempts = 3;
    site.may_cancel = false;
    site.reports_in_answers = site.worker_reports_start = true;
    site.worth_by_work = true;
    site.may_probe = plan.probes;
    site.slow_start_floor = plan.cold_from;
    site.slow_start_time = plan.warm_up;
    site.overload_factor = kFallFactor;
    site.overload_window = kFallWindow;
    workers_.resize(static_cast<std::size_t>(plan.workers));
    clients_.resize(static_cast<std::size_t>(plan.clients));
    for (std::size_t i = 0; i < clients_.size(); ++i) clients_[i].at_once = Unit() < plan.at_once;
    site_ = site;
    running_ = plan.fresh_at < 0 ? plan.schedulers : plan.schedulers - 1;
    for (int s = 0; s < running_; ++s) StartScheduler(s);
    if (plan.fresh_at >= 0) At(plan.fresh_at, Kind::kFresh);
    if (plan.fresh_at >= kStaleBy) At(plan.fresh_at - kStaleBy, Kind::kLearn, 1);
    const double mean =
        plan.one_class ? kRuns[1] : kMix[0] * kRuns[0] + kMix[1] * kRuns[1] + kMix[2] * kRuns[2];
    rate_ = plan.load * plan.workers * kSlots * 1e6 / mean;
    At(Gap(), Kind::kFirstTry);
    for (const Micros at : plan.deaths) At(at, Kind::kDie);
    for (const Micros at : plan.together) At(at, Kind::kTogether);
  }

  Outcome Play() {
    while (!happenings_.empty()) {
      const Happening h = happenings_.top();
      happenings_.pop();
      now_ = h.at;
      On(h);
    }
    for (const auto& [id, r] : requests_) out_.unanswered += !r.answered && now_ >= r.deadline ? 1 : 0;
    for (const auto& r : reducers_) {
      if (r->limits() == nullptr) continue;
      const limits::Counters& c = r->limits()->counters();
      out_.limits.on_time_retries += c.on_time_retries;
      out_.limits.early_retries += c.early_retries;
      out_.limits.scheduled_sheds += c.scheduled_sheds;
      out_.limits.unscheduled_sheds += c.unscheduled_sheds;
      out_.limits.oversubscribed_retries += c.oversubscribed_retries;
      out_.limits.first_hops += c.first_hops;
      out_.limits.further_hops += c.further_hops;
      out_.limits.budget_exhausted += c.budget_exhausted;
      out_.limits.storms += c.storms;
      out_.limits.retries += c.retries;
    }
    return std::move(out_);
  }

 private:
  double Unit() { return std::generate_canonical<double, 32>(random_); }
  Micros Gap() { return static_cast<Micros>(-std::log(1 - Unit()) * 1e6 / rate_); }
  void At(Micros after, Kind kind, int who = 0, std::uint64_t a = 0, std::uint64_t b = 0) {
    happenings_.push({now_ + after, ++order_, kind, who, a, b});
  }
  Second& Now() {
    return out_.seconds[std::min(out_.seconds.size() - 1, static_cast<std::size_t>((now_ - kStart) / kS))];
  }
  int AnyScheduler() {
    const bool half = plan_.half_gone_at >= 0 && now_ >= kStart + plan_.half_gone_at;
    const int first = half ? running_ / 2 : 0;
    return first + static_cast<int>(Unit() * (running_ - first));
  }
  bool Ended() const { return now_ - kStart >= plan_.length; }

  void On(const Happening& h) {
    switch (h.kind) {
      case Kind::kFirstTry: {
        if (Ended()) return;
        At(Gap(), Kind::kFirstTry);
        auto i = static_cast<std::size_t>(Unit() * static_cast<double>(clients_.size()));
        for (int n = 0; n < 8 && clients_[i].busy; ++n) i = (i + 7919) % clients_.size();
        Client& c = clients_[i];
        if (c.busy) return;  // nearly all are: no further load
        const double drawn = plan_.one_class ? 0.5 : Unit();
        c.busy = true;
        c.turned = false;
        c.job_class = drawn < kMix[0] ? 0 : drawn < kMix[0] + kMix[1] ? 1 : 2;
        c.work = kRuns[c.job_class] * std::exp(0.5 * std::normal_distribution<double>()(random_) - 0.125);
        c.tries = 0;
        c.first = now_;
        ++c.serial;
        c.scheduler = AnyScheduler();
        ++out_.first_tries;
        ++out_.asked_by_class[static_cast<std::size_t>(c.job_class)];
        ++Now().first_tries;
        return Try(static_cast<int>(i));
      }
      case Kind::kTry:
        if (clients_[static_cast<std::size_t>(h.who)].serial == h.a) Try(h.who);
        return;
      case Kind::kWake:
        if (wake_[static_cast<std::size_t>(h.who)] == now_) Post(h.who, core::Wake{});
        return;
      case Kind::kReach:
        return Reach(h.a);
      case Kind::kFinish:
        return Finish(h.a, static_cast<int>(h.b));
      case Kind::kHopNews: {
        core::HopCallback news;
        news.id = std::to_string(h.a);
        news.from = (h.b >> 3) + 1;
        news.state = static_cast<core::CallbackState>(h.b & 7);
        if (news.state != core::CallbackState::kStarted) {
          const Worker& w = workers_[h.b >> 3];
          const pebblenotch::Report report = ReportTo(w, h.who);
          news.report = report;
          Saw(h.who, cluster::LoadObservation(news.from, report));
          if (const auto it = requests_.find(h.a); it != requests_.end()) --it->second.out;
        }
        return Post(h.who, std::move(news));
      }
      case Kind::kBroken: {
        const Task& t = tasks_.at(h.a);
        if (const auto it = requests_.find(t.ticket); it != requests_.end()) {
          --it->second.out;
          it->second.may_have_run |= static_cast<Result>(h.b) == Result::kReset;
        }
        core::HopEnded ended{t.ticket, t.hop, static_cast<Result>(h.b), {}};
        const auto target = static_cast<std::uint64_t>(t.worker) + 1;
        if (IsFresh(t.scheduler)) ++out_.fresh.hops_broken;
        Saw(t.scheduler, {cluster::FactKind::kFailing, target, 0, ended.result == Result::kFull});
        if (ended.result == Result::kFull) {
          pebblenotch::Report report;
          report.waiting = kQueue;
          report.free_slots = 0;
          ended.report = report;
          Saw(t.scheduler, cluster::LoadObservation(target, report));
        }
        const int s = t.scheduler;
        tasks_.erase(h.a);
        return Post(s, ended);
      }
      case Kind::kCalledOff:
        return Post(h.who, core::HopCancelled{h.a, static_cast<int>(h.b), false});
      case Kind::kDie:
        return Die();
      case Kind::kReturn: {
        Worker& w = workers_[static_cast<std::size_t>(h.who)];
        if (w.fallen) return;
        w.up = true;
        w.since = now_;
        return At(plan_.notice / 2, Kind::kList, h.who, 1);
      }
      case Kind::kList: {
        Worker& w = workers_[static_cast<std::size_t>(h.who)];
        w.told_gone = w.up ? -1 : now_;
        w.listed = w.up;
        for (int s = 0; s < running_; ++s) TellList(s, core::ListKind::kChanges, h.who);
        return;
      }
      case Kind::kGaveUp: {
        const auto it = requests_.find(h.a);
        if (it == requests_.end() || it->second.answered) return;
        ++out_.unanswered;
        it->second.answered = true;
        if (OfFresh(it->second)) ++out_.fresh.lost;
        Post(it->second.scheduler, core::IngressDisconnected{h.a});
        return Again(it->second.client, it->second.serial, -1, false);
      }
      case Kind::kFresh:
        StartScheduler(running_++);
        return At(4 * kLink, Kind::kLearn);  // a connection, what it sees, what its peer knows
      case Kind::kLearn:
        return h.who == 1 ? Remember() : Learn();
      case Kind::kProbed: {
        const Worker& w = workers_[h.a - 1];
        core::ProbeEnded ended{h.a, w.up ? Result::kOk : Result::kConnectFailed, 2 * kLink, {}};
        if (w.up) ended.report = ReportTo(w, h.who);
        Saw(h.who, {cluster::FactKind::kFailing, h.a, 0, w.up});
        if (ended.report) Saw(h.who, cluster::LoadObservation(h.a, *ended.report));
        return Post(h.who, std::move(ended));
      }
      case Kind::kTogether:
        for (std::size_t i = 0; i < clients_.size(); ++i) {
          Client& c = clients_[i];
          if (c.busy && c.ticket == 0) {
            At(0, Kind::kTry, static_cast<int>(i), c.serial);
            c.serial += 0;
          }
        }
        return;
    }
  }

  void Try(int who) {
    Client& c = clients_[static_cast<std::size_t>(who)];
    if (!c.busy || c.ticket != 0) return;
    if (Ended()) {
      c.busy = false;
      return;
    }
    const bool gone = plan_.half_gone_at >= 0 && now_ >= kStart + plan_.half_gone_at &&
                      c.scheduler < running_ / 2;  // its scheduler is not there any more
    if (c.tries > 0 && (gone || Unit() > plan_.stays)) c.scheduler = AnyScheduler();
    ++c.tries;
    ++out_.tries;
    ++Now().tries;
    const core::Ticket ticket = ++last_ticket_;
    c.ticket = ticket;
    Request& r = requests_[ticket];
    r.client = who;
    r.scheduler = c.scheduler;
    r.serial = c.serial;
    r.came = now_;
    r.deadline = now_ + plan_.deadline;
    core::RequestArrived a;
    a.id = std::to_string(ticket);
    a.request.id = ticket;
    a.request.job_class = c.job_class;
    a.request.deadline = r.deadline;
    a.request.client_retry = c.tries > 1;
    if (!plan_.unnamed) a.client = std::to_string(who) + "-" + std::to_string(c.serial);
    if (OfFresh(r)) ++out_.fresh.asked;
    At(plan_.deadline, Kind::kGaveUp, 0, ticket);
    Post(c.scheduler, std::move(a));
  }

  // The client has an answer, or has waited in vain, and may come again.
  void Again(int who, std::uint64_t serial, Micros wait, bool served) {
    Client& c = clients_[static_cast<std::size_t>(who)];
    if (c.serial != serial) return;
    c.ticket = 0;
    const int kind = c.at_once ? 0 : 1;
    if (served) {
      if (c.turned) ++out_.turned_served[kind];
      c.busy = false;
      return;
    }
    if (!std::exchange(c.turned, true)) ++out_.turned[kind];
    if (c.tries >= plan_.tries) {
      c.busy = false;
      return;
    }
    const Micros own = 10 * kMs + static_cast<Micros>(Unit() * 20e3);
    At(c.at_once || wait <= 0 ? own : wait + static_cast<Micros>(Unit() * 5e3), Kind::kTry, who, c.serial);
  }

  void Post(int scheduler, core::Event event) {
    std::deque<core::Event> waiting;
    waiting.push_back(std::move(event));
    while (!waiting.empty()) {
      std::vector<core::Effect> effects;
      reducers_[static_cast<std::size_t>(scheduler)]->Reduce(now_, std::move(waiting.front()), effects);
      waiting.pop_front();
      for (core::Effect& effect : effects) {
        if (auto* send = std::get_if<core::SendHop>(&effect)) {
          Send(scheduler, *send);
        } else if (auto* off = std::get_if<core::CancelHop>(&effect)) {
          At(2 * kLink, Kind::kCalledOff, scheduler, off->request, static_cast<std::uint64_t>(off->hop));
          const auto it = requests_.find(off->request);
          if (it != requests_.end()) {
            --it->second.out;
            it->second.may_have_run = true;
          }
        } else if (auto* answer = std::get_if<core::Answer>(&effect)) {
          Answered(*answer);
        } else if (auto* at = std::get_if<core::WakeAt>(&effect)) {
          wake_[static_cast<std::size_t>(scheduler)] = std::max(at->at, now_ + 1);
          At(std::max<Micros>(at->at - now_, 1), Kind::kWake, scheduler);
        } else if (auto* probe = std::get_if<core::StartProbe>(&effect)) {
          At(2 * kLink, Kind::kProbed, scheduler, probe->target);
        } else if (auto* storm = std::get_if<core::StormChanged>(&effect)) {
          if (scheduler == 0) out_.changes.push_back(storm->change);
        }
      }
    }
  }

  void Answered(const core::Answer& a) {
    const auto it = requests_.find(a.request);
    if (it == requests_.end()) return;
    Request& r = it->second;
    if (std::exchange(r.answered, true)) {
      ++out_.twice;
      return;
    }
    Client& c = clients_[static_cast<std::size_t>(r.client)];
    const bool served = a.kind == core::AnswerKind::kServed;
    Second& second = Now();
    if (served) {
      ++second.served;
      ++out_.served;
      ++out_.served_by_class[static_cast<std::size_t>(c.job_class)];
      const bool in_time = now_ - r.came <= plan_.aim + static_cast<Micros>(plan_.stretch * c.work);
      if (OfFresh(r)) ++(in_time ? out_.fresh.in_time : out_.fresh.late);
      if (in_time) {
        ++second.in_time;
        second.value += (c.job_class == 0 ? 1 : c.job_class == 1 ? 2 : 10) * c.work / 1e6;
        ++out_.in_time;
      }
    } else {
      ++(a.kind == core::AnswerKind::kShed ? second.refused : second.failed);
      if (OfFresh(r)) ++out_.fresh.lost;
    }
    Again(r.client, r.serial, a.kind == core::AnswerKind::kShed ? a.retry_after : -1, served);
  }

  void Send(int scheduler, const core::SendHop& send) {
    ++out_.hops;
    ++Now().hops;
    if (send.hop == 0) ++Now().first_hops;
    if (IsFresh(scheduler)) ++out_.fresh.hops;
    const auto it = requests_.find(send.request);
    const int worker = static_cast<int>(send.target - 1);
    const Worker& w = workers_[static_cast<std::size_t>(worker)];
    if (it != requests_.end()) {
      Request& r = it->second;
      if (r.out++ > 0) ++out_.second_copies;
    }
    if (w.told_gone >= 0 && now_ > w.told_gone + 2 * kS) ++out_.to_the_gone;
    const std::uint64_t id = ++last_task_;
    const double work =
        it == requests_.end() ? 0 : clients_[static_cast<std::size_t>(it->second.client)].work;
    tasks_[id] = {scheduler, worker, send.hop, send.request, work, w.incarnation};
    At(kLink, Kind::kReach, worker, id);
  }

  // What a worker tells a scheduler: slots that are free or run that one's own jobs, since the module counts
  // its own pushes on top.
  pebblenotch::Report ReportTo(const Worker& w, int scheduler) const {
    const auto own = std::count_if(w.running.begin(), w.running.end(),
                                   [&](std::uint64_t id) { return tasks_.at(id).scheduler == scheduler; });
    pebblenotch::Report report;
    report.waiting = static_cast<double>(w.queue.size());
    report.free_slots = kSlots - static_cast<double>(w.running.size()) + static_cast<double>(own);
    return report;
  }

  double Share(const Worker& w) const {
    if (w.since == 0 || now_ >= w.since + plan_.warm_up) return 1;
    return plan_.cold_from + (1 - plan_.cold_from) * static_cast<double>(now_ - w.since) / plan_.warm_up;
  }

  void Reach(std::uint64_t id) {
    Task& t = tasks_.at(id);
    Worker& w = workers_[static_cast<std::size_t>(t.worker)];
    if (!w.up) return At(kLink, Kind::kBroken, 0, id, static_cast<std::uint64_t>(Result::kConnectFailed));
    t.incarnation = w.incarnation;
    w.sent.emplace_back(now_, t.work);
    w.sent_work += t.work;
    while (w.sent.front().first < now_ - kFallWindow) {
      w.sent_work -= w.sent.front().second;
      w.sent.pop_front();
    }
    const double most = kFallFactor * Share(w) * kSlots * kFallWindow;
    if (w.since > 0 && now_ < w.since + plan_.warm_up) {
      out_.cold_most = std::max(out_.cold_most, w.sent_work / most);
      out_.cold_hops.resize(out_.seconds.size());
      ++out_.cold_hops[std::min(out_.seconds.size() - 1, static_cast<std::size_t>((now_ - kStart) / kS))];
    }
    if (w.since > 0 && now_ < w.since + plan_.warm_up && w.sent_work > most) {
      ++out_.fell;
      w.fallen = true;
      return Kill(t.worker);
    }
    if (static_cast<int>(w.running.size()) < kSlots) return Begin(w, id);
    if (static_cast<int>(w.queue.size()) >= kQueue)
      return At(kLink, Kind::kBroken, 0, id, static_cast<std::uint64_t>(Result::kFull));
    w.queue.push_back(id);
  }

  void Begin(Worker& w, std::uint64_t id) {
    const Task& t = tasks_.at(id);
    w.running.push_back(id);
    Tell(t, core::CallbackState::kStarted);
    At(static_cast<Micros>(t.work / Share(w)), Kind::kFinish, t.worker, id,
       static_cast<std::uint64_t>(w.incarnation));
  }

  void Tell(const Task& t, core::CallbackState news) {
    At(kLink, Kind::kHopNews, t.scheduler, t.ticket,
       static_cast<std::uint64_t>(t.worker) << 3 | static_cast<std::uint64_t>(news));
  }

  void Finish(std::uint64_t id, int incarnation) {
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
      Begin(w, next);
    }
    Tell(t, core::CallbackState::kDone);
  }

  void Kill(int worker) {
    Worker& w = workers_[static_cast<std::size_t>(worker)];
    w.up = false;
    ++w.incarnation;
    for (const std::uint64_t id : w.running)
      At(kLink, Kind::kBroken, 0, id, static_cast<std::uint64_t>(Result::kReset));
    for (const std::uint64_t id : w.queue)
      At(kLink, Kind::kBroken, 0, id, static_cast<std::uint64_t>(Result::kReset));
    w.running.clear();
    w.queue.clear();
    w.sent.clear();
    w.sent_work = 0;
    At(plan_.notice, Kind::kList, worker);
  }

  void Die() {
    const int many = static_cast<int>(plan_.part * plan_.workers);
    for (int n = 0, i = 0; n < many && i < plan_.workers; ++i) {
      if (!workers_[static_cast<std::size_t>(i)].up) continue;
      Kill(i);
      At(plan_.dead, Kind::kReturn, i);
      ++n;
    }
  }

  // All workers, or one that changed.
  void TellList(int scheduler, core::ListKind kind, int one = -1) {
    core::RoutesChanged routes{kind, {}};
    for (int i = 0; i < plan_.workers; ++i) {
      if (one >= 0 && i != one) continue;
      const Worker& w = workers_[static_cast<std::size_t>(i)];
      pebblenotch::WorkerEntry e;
      e.id = static_cast<core::TargetId>(i + 1);
      e.started_at = w.since;
      e.state = w.listed ? pebblenotch::WorkerState::kReady : pebblenotch::WorkerState::kGone;
      routes.entries.push_back(e);
      if (w.listed && e.started_at > now_ - plan_.warm_up)
        Saw(scheduler, {cluster::FactKind::kStarted, e.id, e.started_at});
    }
    Post(scheduler, std::move(routes));
  }

  // ---- a fresh scheduler, and what others tell it
  bool IsFresh(int scheduler) const {
    return plan_.fresh_at >= 0 && scheduler == plan_.schedulers - 1 &&
           now_ < kStart + plan_.fresh_at + kFreshFor;
  }
  bool OfFresh(const Request& r) const {
    return plan_.fresh_at >= 0 && r.scheduler == plan_.schedulers - 1 &&
           r.came < kStart + plan_.fresh_at + kFreshFor;
  }
  void StartScheduler(int s) {
    reducers_.push_back(std::make_unique<core::Reducer>(
        site_, plan_.seed * 1000 + static_cast<std::uint64_t>(s), now_, 0, plan_.limits));
    wake_.push_back(0);
    news_.emplace_back("s" + std::to_string(s), plan_.seed + static_cast<std::uint64_t>(s));
    TellList(s, core::ListKind::kCached);
  }
  // As the HTTP front tells it.
  void Saw(int scheduler, const cluster::TargetObservation& saw) {
    cluster::TargetGossip& news = news_[static_cast<std::size_t>(scheduler)];
    if (saw.healthy) return news.RecordHealthy(now_, saw.target);
    if (saw.kind == cluster::FactKind::kLoad) return news.RecordLoad(now_, saw.target, saw.waiting, saw.free);
    news.RecordEvent(now_, saw.kind, saw.target, saw.since);
  }
  void Remember() { news_[0].AppendOwnFacts(now_, stale_); }
  std::vector<cluster::Fact> Told(int peer) const {
    std::vector<cluster::Fact> facts;
    news_[static_cast<std::size_t>(peer)].AppendOwnFacts(now_, facts);
    if (peer == 0 && plan_.learns == Learns::kOneIsStale) facts = stale_;
    if (peer == 0 && plan_.learns == Learns::kOneIsWrong) {
      std::erase_if(facts, [](const auto& f) { return f.kind != cluster::FactKind::kLoad; });
      for (cluster::Fact& f : facts) {
        const bool room = f.free >= 10;
        f.free = room ? 0 : 10 * kSlots;
        f.waiting = room ? 10 * kQueue : 0;
        f.age = 0;
      }
      for (int i = 0; i < plan_.workers; ++i) {  // the good ones fail, the bad ones have much room
        const auto target = static_cast<std::uint64_t>(i + 1);
        const bool up = workers_[static_cast<std::size_t>(i)].up;
        cluster::Fact f{target, up ? cluster::FactKind::kFailing : cluster::FactKind::kLoad, 0, 1, 0};
        f.free = 10 * kSlots;
        facts.push_back(f);
      }
    }
    for (cluster::Fact& f : facts) {
      if (peer == 0 && plan_.learns == Learns::kOneIsStale) f.age = 0;
    }
    return facts;
  }
  void Learn() {
    if (plan_.learns == Learns::kNothing) return;
    const int fresh = plan_.schedulers - 1;
    std::vector<cluster::TargetAdvice> hints;
    for (int peer = 0; peer < std::min(2, fresh); ++peer) {
      for (const cluster::Fact& f : Told(peer)) news_.back().HandleFact(now_, f, 1, hints);
    }
    for (const cluster::TargetAdvice& h : hints) {
      if (h.kind == cluster::FactKind::kLoad) {
        ++out_.fresh.learnt;
        Post(fresh, core::GossipedLoad{h.target, cluster::ToReport(h), h.age});
      } else if (h.kind == cluster::FactKind::kFailing) {
        ++out_.fresh.looked;
        Post(fresh, core::TargetSuspected{h.target});
      }
    }
  }

  Plan plan_;
  pebblenotch::Settings site_;
  int running_ = 0;  // schedulers
  std::vector<cluster::TargetGossip> news_;
  std::vector<cluster::Fact> stale_;
  pcg64 random_;
  Micros now_ = kStart;
  double rate_ = 1;
  std::uint64_t order_ = 0, last_task_ = 0;
  core::Ticket last_ticket_ = 0;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> happenings_;
  std::vector<std::unique_ptr<core::Reducer>> reducers_;
  std::vector<Micros> wake_;
  std::vector<Worker> workers_;
  std::vector<Client> clients_;
  std::unordered_map<core::Ticket, Request> requests_;
  std::unordered_map<std::uint64_t, Task> tasks_;
  Outcome out_;
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

double Outcome::HopsPerFirst(int from, int to) const {
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

double Outcome::TriesPerFirst(int from, int to) const {
  double sum = 0, first = 0;
  for (int s = from; s < to; ++s) {
    sum += seconds[static_cast<std::size_t>(s)].tries;
    first += seconds[static_cast<std::size_t>(s)].first_tries;
  }
  return first > 0 ? sum / first : 0;
}

int Outcome::RecoveredAfter(int before, int from, double share) const {
  const double usual = ValueBetween(before - 5, before);
  for (int s = from; s + 2 <= static_cast<int>(seconds.size()) - 8; ++s) {
    if (ValueBetween(s, s + 2) >= share * usual) return s - from;
  }
  return -1;
}

Outcome Play(const Plan& plan) { return World(plan).Play(); }

}  // namespace heronway::storm
