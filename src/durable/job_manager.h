// Manages the durable jobs of a front: decides when each is dispatched to the decision module, applies the
// results of its hops and the reports of its workers, and recovers the jobs after a restart. The reducer
// calls it; its output is the records to store.
//
// Does no I/O and reads no clock; random backoffs come from the seed. A job is *active* while it is
// dispatched. A dispatch is a request to the decision module like any other, with a deadline, and may take
// several hops; between dispatches the job waits in the backlog. A record is in force here at once. Effects
// that depend on it and are visible outside (a hop, an answer, an acknowledgement) must wait until it is
// stored.
#ifndef HERONWAY_DURABLE_JOB_MANAGER_H_
#define HERONWAY_DURABLE_JOB_MANAGER_H_

#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/durable/backlog.h"
#include "src/durable/job_table.h"
#include "src/durable/settings.h"

namespace heronway::durable {

using Records = std::vector<Record>;

class JobManager {
 public:
  JobManager(const Settings& settings, std::vector<ClassRules> classes, std::uint64_t seed);
  // The rules of the site's classes: their idempotency from the module's settings, their times from
  // `settings`.
  static std::vector<ClassRules> BuildClassRules(const Settings& settings, const pebblenotch::Settings& site);

  // Recovery. Everything that is stored is passed in order, then FinishRecovery is called once. False: the
  // store is corrupt.
  bool RestoreJob(const std::string& id, Job job) { return table_.Restore(id, std::move(job)); }
  bool ReplayRecord(const Record& record) { return table_.Apply(record); }
  void SetClockSteppedAt(Micros at) { table_.set_clock_stepped_at(at); }
  // Extends all leases by the grace period and queues the waiting jobs.
  void FinishRecovery(Micros now, Records& out);

  // Stores. Each job belongs to the store with this id, and its records are written there. 0 is this
  // scheduler's own store, which new jobs go to; the others are those taken over from failed schedulers.
  int StoreIdOf(const std::string& id) const {
    const auto it = store_ids_.find(id);
    return it == store_ids_.end() ? 0 : it->second;
  }
  // Called before the first job of a store is adopted, so that its jobs do not reach the fleet all at once.
  void BeginAdoption() { window_.ShrinkTo(kInitialWindow); }
  // Takes over a job in its state at another scheduler or in an earlier process of this one. A lease is
  // extended by the grace period. Times up to `clock_stepped_at` were taken with another clock: a keyed job
  // that may have run by then is not leased again. False: a job with this id or alias exists here and is
  // kept, and the adopted one is failed.
  bool Adopt(Micros now, int store_id, const std::string& id, Job job, Micros clock_stepped_at, Records& out);
  // The store's jobs are not dispatched any more; active ones continue.
  void CloseStore(int store_id);
  std::size_t ActiveCount(int store_id) const;  // of this store
  // Removes all jobs of the store, which another scheduler serves from now on, and appends their ids.
  void DropStore(int store_id, std::vector<std::string>& ids);

  // Accepting new jobs.
  bool CanAccept() const { return static_cast<std::int64_t>(table_.unfinished()) < settings_.max_unfinished; }
  // `active`: the job is dispatched with this call. False: it is known already, or the limit is reached.
  bool Accept(Micros now, const std::string& id, JobSpec spec, bool active, Records& out);

  // Dispatching.

  // The next job to dispatch, which is active from now on; null: none is ready or the window is full.
  std::optional<std::string> NextToDispatch(Micros now, Records& out);
  bool IsActive(const std::string& id) const { return active_.contains(id); }
  // Leases the job to the worker that the module has chosen. Returns the epoch; null: not allowed.
  std::optional<std::uint32_t> Lease(Micros now, const std::string& id, const LeaseHolder& to, Records& out);
  enum class HopResult : std::uint8_t { kNeverRan, kLost };
  void HopEnded(Micros now, const std::string& id, std::uint32_t epoch, HopResult result, Records& out);
  enum class DispatchResult : std::uint8_t { kServed, kShed, kFailed, kRejected, kWithdrawn };
  // The module has ended the dispatch. `wait`: minimum time until the next one.
  void DispatchEnded(Micros now, const std::string& id, DispatchResult result, Micros wait, Records& out);

  // Fails a job that nobody holds, after its waiting client was answered that it failed.
  void FailWaiting(Micros now, const std::string& id, Records& out) {
    if (const auto failure = table_.FailWaiting(ToJobTime(now), id, "no worker could run it in time"))
      ApplyRecord(*failure, out);
  }

  // Reports of workers.
  enum class WorkerReport : std::uint8_t { kStarted, kRunning, kDone, kFailed, kReturned, kLost };
  // Handles a report under the lease with this epoch. False: it is stale, and is recorded without an effect,
  // or the job is unknown.
  bool HandleReport(Micros now, const std::string& id, std::uint32_t epoch, WorkerReport report,
                    std::string text, Records& out);
  // The epoch under which this worker holds the job; 0: it does not.
  std::uint32_t CurrentEpoch(const std::string& id, WorkerId worker) const;
  // Renews the leases of this worker after a sign of life: those of jobs that it has received, and those of
  // jobs that are dispatched, whose hops end by themselves. All other leases run out.
  void RenewLeases(Micros now, WorkerId worker, Records& out);

  // Operators' commands. False: the job's state does not allow it.
  bool Retry(Micros now, const std::string& id, Records& out);
  bool Discard(Micros now, const std::string& id, Records& out);

  // Time.

  // Handles expired leases and results past their retention. For active jobs it only returns the ids: the
  // caller cancels their hops, and the end of the hop decides about the lease.
  void ProcessDue(Micros now, Records& out, std::vector<std::string>& expired_active);
  Micros next_wakeup(Micros now) const;  // when to call ProcessDue and NextToDispatch again; -1: not needed

  const JobTable& table() const { return table_; }
  std::size_t active() const { return active_.size(); }
  int window() const { return window_.size(); }
  // Jobs in the backlog that are not ready yet.
  std::size_t delayed() const { return backlog_.delayed(); }
  struct Counters {
    std::uint64_t accepted = 0, done = 0, failed = 0, retries = 0, expired = 0, stale = 0, leases_denied = 0,
                  dispatches = 0;
    std::uint64_t recovered = 0, recovered_leased = 0;
  };
  const Counters& counters() const { return counters_; }

  static constexpr Micros kMinRedispatchDelay = 200'000;  // after a dispatch that found no worker
  static constexpr Micros kCancelGrace = 1'000'000;       // for cancelling a hop after its lease expired
  static constexpr std::size_t kMaxDuePerCall = 256;      // records of one ProcessDue
  static constexpr int kInitialWindow = 16;               // after a start, and when jobs are adopted

 private:
  Micros ToJobTime(Micros now) const { return now + clock_offset_; }
  void ApplyRecord(const Record& record, Records& out);
  void Reschedule(const std::string& id, Micros at);
  Micros Backoff(int failures);

  Settings settings_;
  JobTable table_;
  Backlog backlog_;
  ConcurrencyWindow window_;
  pcg32 random_;
  std::unordered_set<std::string> active_;
  std::unordered_map<std::string, int> store_ids_;  // of jobs in other stores than 0
  std::set<int> closing_stores_;
  std::map<WorkerId, std::set<std::string>> jobs_by_worker_;  // leased jobs
  Micros clock_offset_ = 0;  // added after the clock has stepped back, so that times of records never do
  Counters counters_;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_JOB_MANAGER_H_
