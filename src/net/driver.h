// Runs a reducer on the event loop: passes it events with the current time, hands its effects to the
// executor or to the commit barrier of a store, and wakes it when it asks for it.
#ifndef HERONWAY_NET_DRIVER_H_
#define HERONWAY_NET_DRIVER_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/core/reducer.h"
#include "src/durable/open_store.h"
#include "src/durable/transferred_jobs.h"
#include "src/log/log.h"
#include "src/net/commit_barrier.h"
#include "src/net/loop.h"

namespace heronway::net {

// One per front. Effects that rest on records of a durable job pass the commit barrier of that job's store.
// Store 0 holds this scheduler's own jobs; each copy group that was adopted from another scheduler has a
// store with a number of its own.
class Driver {
 public:
  // Carries out every effect except WakeAt and Persist. May post further events.
  using Executor = std::function<void(core::Effect&)>;

  // `accept_timeout`: microseconds that a target has to accept a hop; 0 is no limit. `durable`: the opened
  // store and its jobs; empty where durable jobs are off. With durable jobs the owner posts StoreLoaded as
  // the first event. `name`: the front's name in the log.
  Driver(Loop& loop, const pebblenotch::Settings& settings, std::uint64_t seed, Micros accept_timeout,
         const limits::Settings& limits, Executor execute, durable::OpenedStore durable = {},
         std::string_view name = {})
      : loop_(loop),
        reducer_(settings, seed, loop.Now(), accept_timeout, limits, std::move(durable.job_manager)),
        execute_(std::move(execute)),
        wake_timer_(loop, [this] { Post(core::Wake{}); }),
        adopt_timer_(loop, [this] { AdoptBatch(); }) {
    if (durable.store == nullptr) return;
    const durable::JobTable& table = reducer_.job_manager()->table();
    log::Event(log::Level::kInfo, "store",
               {{"front", name, true},
                {"state", "read"},
                {"open", table.unfinished()},
                {"held", table.Count(durable::JobTable::Status::kLeased)},
                {"pages_recovered", durable.recovered_pages},
                {"bytes_dropped", durable.dropped_bytes}});
    name_ = name;
    replicated_ = durable.replicated;
    barriers_[0] = MakeBarrier(std::move(durable.store), durable.replicated);
  }
  ~Driver() { barriers_.clear(); }

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
          // Records of a store that was lost are dropped: another scheduler stores them now.
          if (CommitBarrier* store_barrier = barrier(persist->store_id))
            store_barrier->Persist(std::move(persist->records));
        } else if (CommitBarrier* effect_barrier = BarrierFor(effect); effect_barrier != nullptr) {
          effect_barrier->Submit(std::move(effect));
        } else {
          execute_(effect);
        }
      }
    }
    dispatching_ = false;
  }
  const core::Reducer& reducer() const { return reducer_; }
  // The commit barrier of a store; null where durable jobs are off or the store was lost.
  CommitBarrier* barrier(int store_id = 0) {
    const auto it = barriers_.find(store_id);
    return it == barriers_.end() ? nullptr : it->second.get();
  }
  const CommitBarrier* barrier() const {
    const auto it = barriers_.find(0);
    return it == barriers_.end() ? nullptr : it->second.get();
  }
  // Calls `callback` once all records of the store so far are written: immediately, with true, where durable
  // jobs are off, and immediately, with false, where the store was lost.
  void WhenStored(CommitBarrier::StoredCallback callback, int store_id = 0) {
    CommitBarrier* store_barrier = barrier(store_id);
    store_barrier != nullptr ? store_barrier->WhenStored(std::move(callback))
                             : callback(reducer_.job_manager() == nullptr);
  }
  // Whether new durable jobs must be shed because they cannot be stored now. False where durable jobs are
  // off.
  bool StoreUnavailable() const {
    if (reducer_.job_manager() == nullptr) return false;
    const CommitBarrier* own = barrier();
    // While jobs are being adopted, a new job could be a duplicate of one that is not known yet.
    return own == nullptr || !adoptions_.empty() || own->writer().full() || own->writer().failing() ||
           !reducer_.job_manager()->CanAccept();
  }

  // Takes over the jobs of a copy group that another scheduler, or another process of this one, served
  // before. `transferred.returned`: they are this scheduler's own jobs, whose store was lost before.
  void AdoptJobs(durable::TransferredJobs transferred) {
    const int store_id = transferred.returned ? 0 : ++last_store_id_;
    store_id_by_group_[transferred.group] = store_id;
    barriers_[store_id] = MakeBarrier(std::move(transferred.store), true);
    adoptions_.push_back({store_id, transferred.clock_stepped_at, std::move(transferred.jobs), 0});
    if (!adopt_timer_.running()) adopt_timer_.Start(1);
  }
  // Stops jobs of an adopted group from starting another round, and returns whether none of them is in
  // progress any more and all their records are stored.
  bool QuiesceGroup(const std::string& group) {
    const auto it = store_id_by_group_.find(group);
    if (it == store_id_by_group_.end()) return true;
    Post(core::StoreClosing{it->second});
    // Outcomes must be stored as well: otherwise the scheduler that gets the jobs back would not know them.
    const CommitBarrier* store_barrier = barrier(it->second);
    return reducer_.job_manager()->ActiveCount(it->second) == 0 &&
           (store_barrier == nullptr ||
            store_barrier->writer().stored() == store_barrier->writer().enqueued());
  }
  // Handles a worker's report that another scheduler received. Returns false where the job is not known
  // here; otherwise `done` is called once, with whether the report's effect is stored.
  bool HandleReport(core::HopCallback report, CommitBarrier::StoredCallback done) {
    const durable::JobManager* job_manager = reducer_.job_manager();
    if (job_manager == nullptr) return false;
    if (job_manager->table().Find(report.id) == nullptr) {
      if (adoptions_.empty()) return false;
      done(false);  // it may be among the jobs that are still being adopted
      return true;
    }
    const int store_id = job_manager->StoreIdOf(report.id);
    Post(std::move(report));
    WhenStored(std::move(done), store_id);
    return true;
  }
  // Looks up a job by id or alias and reports it once its records are stored. `done` is called once,
  // possibly before FindJob returns: with the job, null where there is none, and whether this answer is
  // definite.
  void FindJob(const std::string& name, bool is_alias,
               std::function<void(const durable::Job* job, bool is_definite)> done) {
    const durable::JobManager* job_manager = reducer_.job_manager();
    const std::string* by_alias =
        job_manager != nullptr && is_alias ? job_manager->table().FindByAlias(name) : nullptr;
    const std::string id = !is_alias ? name : by_alias != nullptr ? *by_alias : "";
    if (job_manager == nullptr || job_manager->table().Find(id) == nullptr)
      return done(nullptr, adoptions_.empty());
    WhenStored([this, id, done = std::move(done)](
                   bool stored) { done(reducer_.job_manager()->table().Find(id), stored); },
               job_manager->StoreIdOf(id));
  }
  // Whether jobs are still being adopted, so that more jobs exist than are known here.
  bool adopting() const { return !adoptions_.empty(); }
  // Whether "stored" means on a majority of the copies. Another scheduler may then answer a client
  // differently where a record was not stored.
  bool replicated() const { return replicated_; }
  // Drops the jobs of a copy group, or this scheduler's own ones (`own`), which another scheduler serves
  // now.
  void LoseGroup(const std::string& group, bool own) {
    const auto it = store_id_by_group_.find(group);
    const int store_id = own ? 0 : it == store_id_by_group_.end() ? -1 : it->second;
    const auto store_barrier = barriers_.find(store_id);
    if (store_barrier == barriers_.end()) return;
    std::erase_if(adoptions_, [store_id](const Adoption& adoption) { return adoption.store_id == store_id; });
    const std::unique_ptr<CommitBarrier> lost_barrier = std::move(store_barrier->second);
    barriers_.erase(store_barrier);
    store_id_by_group_.erase(group);
    Post(core::StoreLost{store_id});
    lost_barrier->Abandon([this](core::Event event) { Post(std::move(event)); });
  }

 private:
  // Jobs adopted per iteration of the loop. Bounds the delay for other events.
  static constexpr std::size_t kAdoptedJobsPerBatch = 64;
  // Jobs of one group that are passed to the reducer in batches.
  struct Adoption {
    int store_id;
    durable::Micros clock_stepped_at;
    std::vector<std::pair<std::string, durable::Job>> jobs;
    std::size_t next;  // index of the first job that is not adopted yet
  };
  std::unique_ptr<CommitBarrier> MakeBarrier(std::unique_ptr<durable::Store> store, bool replicated) {
    return std::make_unique<CommitBarrier>(
        loop_, std::move(store), durable::Writer::Settings{}, execute_,
        [this](durable::OperatorCommand command) { Post(core::OperatorOrder{std::move(command)}); },
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
    core::JobsAdopted batch{adoption.store_id, adoption.next == 0, adoption.clock_stepped_at, {}};
    const std::size_t end = std::min(adoption.jobs.size(), adoption.next + kAdoptedJobsPerBatch);
    for (; adoption.next < end; ++adoption.next)
      batch.jobs.push_back(std::move(adoption.jobs[adoption.next]));
    if (adoption.next == adoption.jobs.size()) adoptions_.pop_front();
    if (!adoptions_.empty()) adopt_timer_.Start(1);
    Post(std::move(batch));
  }
  // The barrier that delays an effect until the records of its store are written; null: none.
  CommitBarrier* BarrierFor(const core::Effect& effect) {
    if (barriers_.empty()) return nullptr;
    if (const auto* send = std::get_if<core::SendHop>(&effect))
      return send->durable ? barrier(send->store_id) : nullptr;
    if (const auto* cancel = std::get_if<core::CancelHop>(&effect))
      return cancel->durable ? barrier(cancel->store_id) : nullptr;
    if (const auto* answer = std::get_if<core::Answer>(&effect))
      return answer->durable ? barrier(answer->store_id) : nullptr;
    if (const auto* settled = std::get_if<core::Settled>(&effect)) return barrier(settled->store_id);
    // StartRound passes the barrier as well, to stay behind the end of the job's previous round.
    const auto* start = std::get_if<core::StartRound>(&effect);
    return start != nullptr ? barrier(start->store_id) : nullptr;
  }
  Loop& loop_;
  core::Reducer reducer_;
  Executor execute_;
  Timer wake_timer_;
  std::deque<core::Event> queued_events_;
  bool dispatching_ = false;  // Post is on the call stack
  std::string name_;
  bool replicated_ = false;
  std::map<int, std::unique_ptr<CommitBarrier>> barriers_;  // by store_id
  std::map<std::string, int> store_id_by_group_;            // of adopted groups
  int last_store_id_ = 0;
  std::deque<Adoption> adoptions_;
  Timer adopt_timer_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_DRIVER_H_
