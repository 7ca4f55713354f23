// Durable jobs from end to end: when each goes to the decision module, what its hops' ends mean, what is owed
// after a crash. The reducer tells it and asks it; what comes out is records to be stored.
//
// No I/O, no clock; random backoffs come from the seed. A job is *in hand* while a round of it is with the
// module: a round is a request as any other, with a deadline, and may take several hops. Between rounds the
// job waits here. What a record says is in force at once; whoever acts on it towards the outside (a hop, an
// answer, an acknowledgement) waits until the record is stored.
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
  // The rules of a site's classes: what its module's settings say, with the times of these settings.
  static std::vector<ClassRules> BuildClassRules(const Settings& settings, const pebblenotch::Settings& site);

  // ---- recovery: everything that is stored, in order, then Recovered once. False: the store is damaged.
  bool RestoreJob(const std::string& id, Job job) { return table_.Restore(id, std::move(job)); }
  bool ReplayRecord(const Record& record) { return table_.Apply(record); }
  void SetClockSteppedAt(Micros at) { table_.set_clock_stepped_at(at); }
  // Holders of leases have the time of grace; what waits is put in the backlog.
  void FinishRecovery(Micros now, Records& out);

  // ---- homes: whose store has a job. 0 is this scheduler's own, which takes what is new; others are those
  // that it looks after for schedulers that are gone. A record goes to its job's home.
  int StoreIdOf(const std::string& id) const {
    const auto it = store_ids_.find(id);
    return it == store_ids_.end() ? 0 : it->second;
  }
  // Before the first job of a home that comes as a whole: its crowd must not meet the fleet as one.
  void BeginAdoption() { window_.ShrinkTo(kInitialWindow); }
  // A job as it stood with another scheduler, or another process of this one. Whoever holds it has the time
  // of grace; what may have run up to `clock_broke` ran by another's clock, and is repeated only where it is
  // safe. False: it is known here by its name or its alias and goes on as that one, and the other is ended.
  bool Adopt(Micros now, int store_id, const std::string& id, Job job, Micros clock_stepped_at, Records& out);
  // Its jobs begin no further round; those in hand go on.
  void CloseStore(int store_id);
  std::size_t ActiveCount(int store_id) const;
  // All of a home are somebody else's from here on; appends their names.
  void DropStore(int store_id, std::vector<std::string>& ids);

  // ---- taking. False: it is known already, or must not be.
  bool CanAccept() const { return static_cast<std::int64_t>(table_.unfinished()) < settings_.max_unfinished; }
  // `in_hand`: its first round begins with it.
  bool Accept(Micros now, const std::string& id, JobSpec task, bool active, Records& out);

  // ---- rounds
  // The next job that should go to the module; it is in hand from here on.
  std::optional<std::string> NextToDispatch(Micros now, Records& out);
  bool IsActive(const std::string& id) const { return active_.contains(id); }
  // The module wants it at a worker: the epoch of the lease, or nothing where that must not be.
  std::optional<std::uint32_t> Lease(Micros now, const std::string& id, const LeaseHolder& to, Records& out);
  enum class HopResult : std::uint8_t { kNeverRan, kLost };
  void HopEnded(Micros now, const std::string& id, std::uint32_t epoch, HopResult end, Records& out);
  enum class DispatchResult : std::uint8_t { kServed, kShed, kFailed, kRejected, kWithdrawn };
  // The round is over as the module says; `wait`: no other before this time has passed.
  void DispatchEnded(Micros now, const std::string& id, DispatchResult end, Micros wait, Records& out);

  // The client that waited was told that it failed: so it has, where nobody holds it.
  void FailWaiting(Micros now, const std::string& id, Records& out) {
    if (const auto failure = table_.FailWaiting(ToJobTime(now), id, "no worker could run it in time"))
      ApplyRecord(*failure, out);
  }

  // ---- word of holders
  enum class WorkerReport : std::uint8_t { kStarted, kRunning, kDone, kFailed, kReturned, kLost };
  // Of the lease with this epoch. Whether the word counted: a late one is recorded and changes nothing.
  bool HandleReport(Micros now, const std::string& id, std::uint32_t epoch, WorkerReport report,
                    std::string text, Records& out);
  // The epoch under which this worker holds the job now; 0: it doesn't.
  std::uint32_t CurrentEpoch(const std::string& id, WorkerId worker) const;
  // A sign of life: renews whatever this worker holds.
  void RenewLeases(Micros now, WorkerId worker, Records& out);

  // ---- operators
  bool Retry(Micros now, const std::string& id, Records& out);
  bool Discard(Micros now, const std::string& id, Records& out);

  // ---- time
  // Leases that ran out and answers that are kept no longer. Of jobs in hand only the names: their hops are
  // called off, and what follows is their end.
  void ProcessDue(Micros now, Records& out, std::vector<std::string>& expired_active);
  Micros next_wakeup(Micros now) const;  // when to ask again; -1: never

  const JobTable& table() const { return table_; }
  std::size_t active() const { return active_.size(); }
  int window() const { return window_.size(); }
  std::size_t delayed() const { return backlog_.delayed(); }
  struct Counters {
    std::uint64_t accepted = 0, done = 0, failed = 0, retries = 0, expired = 0, stale = 0, leases_denied = 0,
                  dispatches = 0;
    std::uint64_t recovered = 0, recovered_leased = 0;
  };
  const Counters& counters() const { return counters_; }

  static constexpr Micros kMinRedispatchDelay = 200'000;  // between two rounds of a job that found no worker
  static constexpr Micros kCancelGrace = 1'000'000;   // for a hop to be called off, once its lease ran out
  static constexpr std::size_t kMaxDuePerCall = 256;  // at a time
  static constexpr int kInitialWindow = 16;           // after a start, and after jobs were adopted

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
  std::unordered_map<std::string, int> store_ids_;  // of jobs that are not this scheduler's own
  std::set<int> closing_stores_;
  std::map<WorkerId, std::set<std::string>> jobs_by_worker_;  // by worker
  Micros clock_offset_ = 0;  // of the clock, where that stepped back: times never do
  Counters counters_;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_JOB_MANAGER_H_
