// Runs a reducer on the loop: feeds it events with the clock, has its effects carried out, wakes it.
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

class Driver {
 public:
  // Carries out every effect but the timers. May post further events.
  using Executor = std::function<void(core::Effect&)>;

  // `durable`: what is stored, and where; nothing where durable jobs are off. The owner posts StoreLoaded
  // first, then. `name`: for the log.
  Driver(Loop& loop, const pebblenotch::Settings& settings, std::uint64_t seed, Micros take_limit,
         const limits::Settings& limits, Executor execute, durable::OpenedStore durable = {},
         std::string_view name = {})
      : loop_(loop),
        reducer_(settings, seed, loop.Now(), take_limit, limits, std::move(durable.job_manager)),
        execute_(std::move(execute)),
        wake_(loop, [this] { Post(core::Wake{}); }),
        come_(loop, [this] { Come(); }) {
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
    copied_ = durable.replicated;
    barriers_[0] = MakeBarrier(std::move(durable.store), durable.replicated);
  }
  ~Driver() { barriers_.clear(); }

  // An event that an effect brings about waits until the effects before it have been carried out.
  void Post(core::Event event) {
    waiting_.push_back(std::move(event));
    if (std::exchange(running_, true)) return;
    while (!waiting_.empty()) {
      core::Event next = std::move(waiting_.front());
      waiting_.pop_front();
      std::vector<core::Effect> effects;
      reducer_.Reduce(loop_.Now(), std::move(next), effects);
      for (core::Effect& effect : effects) {
        if (const auto* at = std::get_if<core::WakeAt>(&effect)) {
          wake_.Start(at->at - loop_.Now());
        } else if (auto* persist = std::get_if<core::Persist>(&effect)) {
          // What a home that was lost still brings about is nobody's to store.
          if (CommitBarrier* g = barrier(persist->store_id)) g->Persist(std::move(persist->records));
        } else if (CommitBarrier* g = BarrierOf(effect); g != nullptr) {
          g->Submit(std::move(effect));
        } else {
          execute_(effect);
        }
      }
    }
    running_ = false;
  }
  const core::Reducer& reducer() const { return reducer_; }
  // By home (durable::JobManager); null where nothing is durable, and where the home was lost.
  CommitBarrier* barrier(int store_id = 0) {
    const auto it = barriers_.find(store_id);
    return it == barriers_.end() ? nullptr : it->second.get();
  }
  const CommitBarrier* barrier() const {
    const auto it = barriers_.find(0);
    return it == barriers_.end() ? nullptr : it->second.get();
  }
  // At once where nothing is durable. `home`: whose records it rests on.
  void WhenStored(CommitBarrier::StoredCallback then, int store_id = 0) {
    CommitBarrier* g = barrier(store_id);
    g != nullptr ? g->WhenStored(std::move(then)) : then(reducer_.job_manager() == nullptr);
  }
  // The store can take nothing now: new durable jobs are refused.
  bool StoreUnavailable() const {
    if (reducer_.job_manager() == nullptr) return false;
    const CommitBarrier* own = barrier();
    // Guards against a job that is taken anew while what was known of it is still coming.
    return own == nullptr || !coming_.empty() || own->writer().full() || own->writer().failing() ||
           !reducer_.job_manager()->CanAccept();
  }

  // ---- jobs that another scheduler held, or another process of this one
  // Takes them on. `own`: they are this scheduler's, whose home was lost before.
  void AdoptJobs(durable::TransferredJobs held) {
    const int store_id = held.returned ? 0 : ++last_store_id_;
    store_ids_[held.group] = store_id;
    barriers_[store_id] = MakeBarrier(std::move(held.store), true);
    coming_.push_back({store_id, held.clock_stepped_at, std::move(held.jobs), 0});
    if (!come_.running()) come_.Start(1);
  }
  // Whether none of them is in hand; from the first asking on none begins another round.
  bool QuiesceGroup(const std::string& group) {
    const auto it = store_ids_.find(group);
    if (it == store_ids_.end()) return true;
    Post(core::HomeClosing{it->second});
    // What is decided must be stored as well, or its owner knows nothing of it.
    const CommitBarrier* g = barrier(it->second);
    return reducer_.job_manager()->ActiveCount(it->second) == 0 &&
           (g == nullptr || g->writer().stored() == g->writer().enqueued());
  }
  // A worker's word that reached another scheduler. False: no such job is held here.
  bool HandleReport(core::HopCallback news, CommitBarrier::StoredCallback told) {
    const durable::JobManager* job_manager = reducer_.job_manager();
    if (job_manager == nullptr) return false;
    if (job_manager->table().Find(news.id) == nullptr) {
      if (coming_.empty()) return false;
      told(false);  // it may be among those that are still coming
      return true;
    }
    const int store_id = job_manager->StoreIdOf(news.id);
    Post(std::move(news));
    WhenStored(std::move(told), store_id);
    return true;
  }
  // What is known here of a job, once that is stored. `told` is called once, perhaps within: with the job,
  // null where there is none, and whether that can be told at this moment.
  void FindJob(const std::string& name, bool is_alias,
               std::function<void(const durable::Job* job, bool known_now)> told) {
    const durable::JobManager* job_manager = reducer_.job_manager();
    const std::string* by_alias =
        job_manager != nullptr && is_alias ? job_manager->table().FindByAlias(name) : nullptr;
    const std::string id = !is_alias ? name : by_alias != nullptr ? *by_alias : "";
    if (job_manager == nullptr || job_manager->table().Find(id) == nullptr)
      return told(nullptr, coming_.empty());
    WhenStored([this, id, told = std::move(told)](
                   bool stored) { told(reducer_.job_manager()->table().Find(id), stored); },
               job_manager->StoreIdOf(id));
  }
  bool adopting() const { return !coming_.empty(); }  // more jobs than are known so far
  // Stored means: on a majority of the copies, and another may answer otherwise from what is not.
  bool replicated() const { return copied_; }
  // They are another's from here on.
  void LoseGroup(const std::string& group, bool own) {
    const auto it = store_ids_.find(group);
    const int store_id = own ? 0 : it == store_ids_.end() ? -1 : it->second;
    const auto here = barriers_.find(store_id);
    if (here == barriers_.end()) return;
    std::erase_if(coming_, [store_id](const Coming& c) { return c.store_id == store_id; });
    const std::unique_ptr<CommitBarrier> gone = std::move(here->second);
    barriers_.erase(here);
    store_ids_.erase(group);
    Post(core::HomeLost{store_id});
    gone->Abandon([this](core::Event event) { Post(std::move(event)); });
  }

 private:
  static constexpr std::size_t kComeAtOnce = 64;  // jobs a turn of the loop: others must not wait for them
  struct Coming {
    int store_id;
    durable::Micros clock_stepped_at;
    std::vector<std::pair<std::string, durable::Job>> jobs;
    std::size_t next;
  };
  std::unique_ptr<CommitBarrier> MakeBarrier(std::unique_ptr<durable::Store> store, bool copied) {
    return std::make_unique<CommitBarrier>(
        loop_, std::move(store), durable::Writer::Settings{}, execute_,
        [this](durable::OperatorCommand order) { Post(core::OperatorOrder{std::move(order)}); },
        [this](const std::string& fault) {
          if (fault.empty())
            return log::Event(log::Level::kInfo, "store",
                              {{"front", name_, true}, {"state", "written again"}});
          log::Event(log::Level::kError, "store", {{"front", name_, true}, {"fault", fault}});
        },
        copied, [this](const core::HopCancelled& off) { Post(core::HopCancelled(off)); });
  }
  void Come() {
    if (coming_.empty()) return;
    Coming& c = coming_.front();
    core::JobsAdopted part{c.store_id, c.next == 0, c.clock_stepped_at, {}};
    const std::size_t end = std::min(c.jobs.size(), c.next + kComeAtOnce);
    for (; c.next < end; ++c.next) part.jobs.push_back(std::move(c.jobs[c.next]));
    if (c.next == c.jobs.size()) coming_.pop_front();
    if (!coming_.empty()) come_.Start(1);
    Post(std::move(part));
  }
  // By whose records an effect is held back; null: by none.
  CommitBarrier* BarrierOf(const core::Effect& effect) {
    if (barriers_.empty()) return nullptr;
    if (const auto* send = std::get_if<core::SendHop>(&effect))
      return send->durable ? barrier(send->store_id) : nullptr;
    if (const auto* off = std::get_if<core::CancelHop>(&effect))
      return off->durable ? barrier(off->store_id) : nullptr;
    if (const auto* a = std::get_if<core::Answer>(&effect))
      return a->durable ? barrier(a->store_id) : nullptr;
    if (const auto* settled = std::get_if<core::Settled>(&effect)) return barrier(settled->store_id);
    // A round's beginning comes behind the end of the one before.
    const auto* resume = std::get_if<core::StartRound>(&effect);
    return resume != nullptr ? barrier(resume->store_id) : nullptr;
  }
  Loop& loop_;
  core::Reducer reducer_;
  Executor execute_;
  Timer wake_;
  std::deque<core::Event> waiting_;
  bool running_ = false;
  std::string name_;
  bool copied_ = false;
  std::map<int, std::unique_ptr<CommitBarrier>> barriers_;  // by home
  std::map<std::string, int> store_ids_;                    // by group, those that came
  int last_store_id_ = 0;
  std::deque<Coming> coming_;
  Timer come_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_DRIVER_H_
