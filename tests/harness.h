// Test harness that drives one Dispatcher through its public interface.
#ifndef PEBBLENOTCH_TESTS_HARNESS_H_
#define PEBBLENOTCH_TESTS_HARNESS_H_

#include <optional>
#include <variant>
#include <vector>

#include "pebblenotch/brain.h"

namespace pebblenotch::testing {

inline constexpr Micros kMs = 1'000;
inline constexpr Micros kS = 1'000'000;

inline ClassSettings Class(Idempotency idempotency, DedupScope dedup_scope = DedupScope::kAll) {
  ClassSettings c;
  c.aim = 1 * kS;
  c.aim_stretch = 2;
  c.deadline = 10 * kS;
  c.idempotency = idempotency;
  c.dedup_scope = dedup_scope;
  c.key_ttl = 4 * kS;
  return c;
}

inline Settings Site(std::vector<ClassSettings> classes) {
  Settings s;
  s.classes = std::move(classes);
  s.max_attempts = 4;
  s.may_cancel = true;
  s.concurrent_attempts = true;
  s.reports_in_answers = true;
  return s;
}

inline WorkerEntry Entry(WorkerId id, int zone = 0, int kind = 0, WorkerState state = WorkerState::kReady,
                         Micros started_at = 0) {
  WorkerEntry e;
  e.id = id;
  e.zone = zone;
  e.kind = kind;
  e.state = state;
  e.started_at = started_at;
  return e;
}

inline std::vector<WorkerEntry> Fleet(int n) {
  std::vector<WorkerEntry> entries;
  for (int i = 1; i <= n; ++i) entries.push_back(Entry(static_cast<WorkerId>(i)));
  return entries;
}

inline Report Load(double waiting, double free_slots) {
  Report r;
  r.waiting = waiting;
  r.free_slots = free_slots;
  return r;
}

class Node {
 public:
  explicit Node(const Settings& settings, std::uint64_t seed = 1, Micros now = 100 * kS)
      : now_(now), dispatcher_(settings, seed, now) {}

  Micros now() const { return now_; }
  void Advance(Micros time) { now_ += time; }

  // Passes one event and returns the resulting actions. Fires no timers.
  std::vector<Action> Feed(const Event& event) {
    std::vector<Action> actions;
    dispatcher_.handle(now_, event, actions);
    for (const Action& a : actions) {
      if (const auto* timer = std::get_if<ArmTimer>(&a)) armed_.push_back(*timer);
    }
    return actions;
  }
  // Advances the clock and fires the timers that become due.
  std::vector<Action> Run(Micros time) {
    std::vector<Action> all;
    const Micros end = now_ + time;
    for (;;) {
      std::size_t next = armed_.size();
      for (std::size_t i = 0; i < armed_.size(); ++i) {
        if (armed_[i].at <= end && (next == armed_.size() || armed_[i].at < armed_[next].at)) next = i;
      }
      if (next == armed_.size()) break;
      const ArmTimer timer = armed_[next];
      armed_.erase(armed_.begin() + static_cast<std::ptrdiff_t>(next));
      if (timer.at > now_) now_ = timer.at;
      for (const Action& a : Feed(TimerDue{timer.label})) all.push_back(a);
    }
    now_ = end;
    return all;
  }

  std::vector<Action> List(ListKind kind, const std::vector<WorkerEntry>& workers) {
    return Feed(Membership{kind, workers});
  }
  std::vector<Action> Send(RequestId id, int job_class = 0, Micros time_limit = 10 * kS) {
    Request r;
    r.id = id;
    r.job_class = job_class;
    r.deadline = now_ + time_limit;
    return Feed(r);
  }
  std::vector<Action> End(RequestId id, int attempt, WorkerId worker, Result result, bool finished = false,
                          std::optional<Report> report = std::nullopt) {
    Outcome o;
    o.id = id;
    o.attempt = attempt;
    o.worker = worker;
    o.result = result;
    o.finished = finished;
    o.report = report;
    return Feed(o);
  }
  std::vector<Action> ProbeReply(WorkerId worker, Report report) {
    ProbeResult p;
    p.worker = worker;
    p.report = report;
    return Feed(p);
  }
  const Dispatcher& dispatcher() const { return dispatcher_; }

 private:
  Micros now_;
  Dispatcher dispatcher_;
  std::vector<ArmTimer> armed_;
};

// The actions of one type, in order.
template <typename T>
std::vector<T> OfType(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& a : actions) {
    if (const T* one = std::get_if<T>(&a)) found.push_back(*one);
  }
  return found;
}

}  // namespace pebblenotch::testing

#endif  // PEBBLENOTCH_TESTS_HARNESS_H_
