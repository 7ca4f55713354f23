// Runs a reducer on the event loop: passes it events with the current time, hands its effects to the
// executor or to the gate of a store, and wakes it when it asks for it.
#ifndef HERONWAY_NET_DRIVER_H_
#define HERONWAY_NET_DRIVER_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/core/reducer.h"
#include "src/durable/held.h"
#include "src/durable/open.h"
#include "src/log/log.h"
#include "src/net/gate.h"
#include "src/net/loop.h"

namespace heronway::net {

// One per front. Effects that rest on records of a durable job pass the gate of that job's home: 0 for this
// scheduler's own jobs, a number of its own for each copy group that was adopted from another scheduler.
class Driver {
 public:
  // Carries out every effect except WakeAt and Persist. May post further events.
  using Executor = std::function<void(core::Effect&)>;

  // `accept_timeout`: microseconds that a target has to accept a hop; 0 is no limit. `durable`: the opened
  // store and its jobs; empty where durable jobs are off. With durable jobs the owner posts StoreLoaded as
  // the first event. `name`: the front's name in the log.
  Driver(Loop& loop, const pebblenotch::Settings& settings, std::uint64_t seed, Micros accept_timeout,
         const limits::Settings& limits, Executor execute, durable::Opened durable = {},
         std::string_view name = {})
      : loop_(loop),
        reducer_(settings, seed, loop.Now(), accept_timeout, limits, std::move(durable.keeper)),
        execute_(std::move(execute)),
        wake_timer_(loop, [this] { Post(core::Wake{}); }),
        adopt_timer_(loop, [this] { AdoptBatch(); }) {
    if (durable.store == nullptr) return;
    const durable::JobBook& book = reducer_.keeper()->book();
    log::Event(log::Level::kInfo, "store",
               {{"front", name, true},
                {"state", "read"},
                {"open", book.open()},
                {"held", book.Count(durable::JobBook::Place::kHeld)},
                {"pages_recovered", durable.recovered},
                {"bytes_dropped", durable.dropped}});
    name_ = name;
    replicated_ = durable.copied;
    gates_[0] = MakeGate(std::move(durable.store), durable.copied);
  }
  ~Driver() { gates_.clear(); }

  // Passes an event to the reducer and carries out the effects. An event that is posted meanwhile by an
  // effect is queued until the effects before it have been carried out.
  void Post(core::Event event) {
    queued_events_.push_back(std::move(event));
    if (std::exchange(dispatching_, true)) return;
    while (!queued_events_.empty()) {
      core::Event next = std::move(queued_events_.front());
      queued_events_.pop_front();
      std::vector<core::Effect> effects;
      reducer_.Reduce(loop_.Now(), std::move(next), effects);
      for (core::Effect& effect : effects) {
        if (const auto* wake = std::get_if<core::WakeAt>(&effect)) {
          wake_timer_.Start(wake->at - loop_.Now());
        } else if (auto* persist = std::get_if<core::Persist>(&effect)) {
          // Records of a home that was lost are dropped: another scheduler stores them now.
          if (Gate* home_gate = gate(persist->home)) home_gate->Hand(std::move(persist->records));
        } else if (Gate* effect_gate = GateFor(effect); effect_gate != nullptr) {
          effect_gate->Pass(std::move(effect));
        } else {
          execute_(effect);
        }
      }
    }
    dispatching_ = false;
  }
  const core::Reducer& reducer() const { return reducer_; }
  // The gate of a home (durable::Keeper); null where durable jobs are off or the home was lost.
  Gate* gate(int home = 0) {
    const auto it = gates_.find(home);
    return it == gates_.end() ? nullptr : it->second.get();
  }
  const Gate* gate() const {
    const auto it = gates_.find(0);
    return it == gates_.end() ? nullptr : it->second.get();
  }
  // Calls `callback` once all records of `home` so far are stored: immediately, with true, where durable
  // jobs are off, and immediately, with false, where the home was lost.
  void WhenStored(Gate::Stored callback, int home = 0) {
    Gate* home_gate = gate(home);
    home_gate != nullptr ? home_gate->WhenStored(std::move(callback))
                         : callback(reducer_.keeper() == nullptr);
  }
  // Whether new durable jobs must be shed because they cannot be stored now. False where durable jobs are
  // off.
  bool StoreUnavailable() const {
    if (reducer_.keeper() == nullptr) return false;
    const Gate* own = gate();
    // While jobs are being adopted, a new job could be a duplicate of one that is not known yet.
    return own == nullptr || !adoptions_.empty() || own->writer().full() || own->writer().failing() ||
           !reducer_.keeper()->MayTake();
  }

  // Takes over the jobs of a copy group that another scheduler, or another process of this one, served
  // before. `held.own`: they are this scheduler's own jobs, whose home was lost before.
  void AdoptJobs(durable::Held held) {
    const int home = held.own ? 0 : ++last_home_;
    home_by_group_[held.group] = home;
    gates_[home] = MakeGate(std::move(held.store), true);
    adoptions_.push_back({home, held.clock_broke, std::move(held.jobs), 0});
    if (!adopt_timer_.running()) adopt_timer_.Start(1);
  }
  // Stops jobs of an adopted group from starting another round, and returns whether none of them is in
  // progress any more and all their records are stored.
  bool QuiesceGroup(const std::string& group) {
    const auto it = home_by_group_.find(group);
    if (it == home_by_group_.end()) return true;
    Post(core::HomeClosing{it->second});
    // Outcomes must be stored as well: otherwise the scheduler that gets the jobs back would not know them.
    const Gate* home_gate = gate(it->second);
    return reducer_.keeper()->InHandOf(it->second) == 0 &&
           (home_gate == nullptr || home_gate->writer().stored() == home_gate->writer().handed());
  }
  // Handles a worker's report that another scheduler received. Returns false where the job is not known
  // here; otherwise `done` is called once, with whether the report's effect is stored.
  bool HandleReport(core::HopCallback report, Gate::Stored done) {
    const durable::Keeper* keeper = reducer_.keeper();
    if (keeper == nullptr) return false;
    if (keeper->book().Find(report.id) == nullptr) {
      if (adoptions_.empty()) return false;
      done(false);  // it may be among the jobs that are still being adopted
      return true;
    }
    const int home = keeper->HomeOf(report.id);
    Post(std::move(report));
    WhenStored(std::move(done), home);
    return true;
  }
  // Looks up a job by id or alias and reports it once its records are stored. `done` is called once,
  // possibly before FindJob returns: with the job, null where there is none, and whether this answer is
  // definite.
  void FindJob(const std::string& name, bool is_alias,
               std::function<void(const durable::Job* job, bool is_definite)> done) {
    const durable::Keeper* keeper = reducer_.keeper();
    const std::string* by_alias = keeper != nullptr && is_alias ? keeper->book().IdOf(name) : nullptr;
    const std::string id = !is_alias ? name : by_alias != nullptr ? *by_alias : "";
    if (keeper == nullptr || keeper->book().Find(id) == nullptr) return done(nullptr, adoptions_.empty());
    WhenStored(
        [this, id, done = std::move(done)](bool stored) { done(reducer_.keeper()->book().Find(id), stored); },
        keeper->HomeOf(id));
  }
  // Whether jobs are still being adopted, so that more jobs exist than are known here.
  bool adopting() const { return !adoptions_.empty(); }
  // Whether "stored" means on a majority of the copies. Another scheduler may then answer a client
  // differently where a record was not stored.
  bool replicated() const { return replicated_; }
  // Drops the jobs of a copy group, or this scheduler's own ones (`own`), which another scheduler serves
  // now.
  void LoseGroup(const std::string& group, bool own) {
    const auto it = home_by_group_.find(group);
    const int home = own ? 0 : it == home_by_group_.end() ? -1 : it->second;
    const auto home_gate = gates_.find(home);
    if (home_gate == gates_.end()) return;
    std::erase_if(adoptions_, [home](const Adoption& adoption) { return adoption.home == home; });
    const std::unique_ptr<Gate> lost_gate = std::move(home_gate->second);
    gates_.erase(home_gate);
    home_by_group_.erase(group);
    Post(core::HomeLost{home});
    lost_gate->Abandon([this](core::Event event) { Post(std::move(event)); });
  }

 private:
  // Jobs adopted per iteration of the loop. Bounds the delay for other events.
  static constexpr std::size_t kAdoptedJobsPerBatch = 64;
  // Jobs of one group that are passed to the reducer in batches.
  struct Adoption {
    int home;
    durable::Micros clock_broke;
    std::vector<std::pair<std::string, durable::Job>> jobs;
    std::size_t next;  // index of the first job that is not adopted yet
  };
  std::unique_ptr<Gate> MakeGate(std::unique_ptr<durable::Store> store, bool replicated) {
    return std::make_unique<Gate>(
        loop_, std::move(store), durable::Writer::Settings{}, execute_,
        [this](durable::Order order) { Post(core::OperatorOrder{std::move(order)}); },
        [this](const std::string& fault) {
          if (fault.empty())
            return log::Event(log::Level::kInfo, "store",
                              {{"front", name_, true}, {"state", "written again"}});
          log::Event(log::Level::kError, "store", {{"front", name_, true}, {"fault", fault}});
        },
        replicated, [this](const core::HopCancelled& cancelled) { Post(core::HopCancelled(cancelled)); });
  }
  void AdoptBatch() {
    if (adoptions_.empty()) return;
    Adoption& adoption = adoptions_.front();
    core::JobsAdopted batch{adoption.home, adoption.next == 0, adoption.clock_broke, {}};
    const std::size_t end = std::min(adoption.jobs.size(), adoption.next + kAdoptedJobsPerBatch);
    for (; adoption.next < end; ++adoption.next)
      batch.jobs.push_back(std::move(adoption.jobs[adoption.next]));
    if (adoption.next == adoption.jobs.size()) adoptions_.pop_front();
    if (!adoptions_.empty()) adopt_timer_.Start(1);
    Post(std::move(batch));
  }
  // The gate that delays an effect until the records of its home are stored; null: none.
  Gate* GateFor(const core::Effect& effect) {
    if (gates_.empty()) return nullptr;
    if (const auto* send = std::get_if<core::SendHop>(&effect))
      return send->durable ? gate(send->home) : nullptr;
    if (const auto* cancel = std::get_if<core::CancelHop>(&effect))
      return cancel->durable ? gate(cancel->home) : nullptr;
    if (const auto* answer = std::get_if<core::Answer>(&effect))
      return answer->durable ? gate(answer->home) : nullptr;
    if (const auto* settled = std::get_if<core::Settled>(&effect)) return gate(settled->home);
    // StartRound passes the gate as well, to stay behind the end of the job's previous round.
    const auto* start = std::get_if<core::StartRound>(&effect);
    return start != nullptr ? gate(start->home) : nullptr;
  }
  Loop& loop_;
  core::Reducer reducer_;
  Executor execute_;
  Timer wake_timer_;
  std::deque<core::Event> queued_events_;
  bool dispatching_ = false;  // Post is on the call stack
  std::string name_;
  bool replicated_ = false;
  std::map<int, std::unique_ptr<Gate>> gates_;  // by home
  std::map<std::string, int> home_by_group_;    // homes of adopted groups
  int last_home_ = 0;
  std::deque<Adoption> adoptions_;
  Timer adopt_timer_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_DRIVER_H_
