// State machine of durable jobs, as records: which transition may follow which, which worker holds the lease
// of a job, and what an expired lease leads to.
//
// Does no I/O and reads no clock. A transition is decided here, stored by the caller and then applied;
// replaying the same records gives the same table. A *lease* assigns a job to a worker until a given time.
// Its *epoch* numbers the leases of one job, and distinguishes a report of the current holder from a stale
// one.
//
//   waiting --Lease--> leased --Start--> started --Finish--> finished --purge--> (removed)
//    ^  ^                |  |               |                   ^  |
//    |  |--ReturnLease---'  |               |                   |  |
//    |  '--expiry, Fail (if it may run again)---expiry (if not)-'  |
//    '-----Requeue, on an operator's command-----------------------'
//
// Invariants, each checked over all orders of events in tests/durable: a job has one result; it has one
// holder at a time; a job that may have run is leased again only as its class allows; a result with an old
// epoch changes nothing.
#ifndef HERONWAY_DURABLE_JOB_TABLE_H_
#define HERONWAY_DURABLE_JOB_TABLE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pebblenotch/brain.h"

namespace heronway::durable {

using pebblenotch::DedupScope;
using pebblenotch::Idempotency;
using pebblenotch::Micros;
using WorkerId = std::uint64_t;

// The worker that holds a lease, and its location, for classes whose retries must stay in its zone or cell.
struct LeaseHolder {
  WorkerId worker = 0;
  int zone = 0, cell = 0;
  bool operator==(const LeaseHolder&) const = default;
};

struct ClassRules {
  Idempotency idempotency = Idempotency::kAtMostOnce;
  DedupScope dedup_scope = DedupScope::kAll;
  Micros key_ttl = 0;  // workers drop retries of a keyed job for this time, from its first lease on
  // Duration of a lease from the worker's last sign of life. Far longer than a stall of 240 ms.
  Micros lease = 1'000'000;
  Micros keep_finished = 3'600'000'000;  // retention of results, for clients that ask again
  Micros keep_failed = 3'600'000'000;    // retention of failed jobs and their payloads
  int max_leases = 3;
};

enum class JobState : std::uint8_t { kWaiting, kLeased, kStarted, kFinished };
enum class Outcome : std::uint8_t { kNone, kDone, kFailed };
enum class RecordKind : std::uint8_t {
  kAccepted,
  kLeased,
  kStarted,
  kRenewed,
  kReturned,  // the holder reports that it never ran the job
  kExpired,   // the lease is lost or has run out, and the job may be leased again
  kFinished,
  kStale,             // report of a worker that holds the lease no longer; changes nothing
  kPurged,            // the retention of the result is over
  kRetry,             // the holder failed the job, which may be leased again from `until` on
  kRequeued,          // an operator queues a failed job again, whether or not it may have run
  kDiscarded,         // an operator removes a job that nobody holds
  kClockSteppedBack,  // the clock stepped back between two runs: the age of earlier times is unknown
};

// One stored transition. The comments name the kinds that use a field.
struct Record {
  RecordKind kind = RecordKind::kAccepted;
  std::string id;
  Micros at = 0;
  int job_class = 0;        // accepted
  std::uint32_t epoch = 0;  // all that concern a lease; the first is 1
  LeaseHolder holder;       // leased
  Micros until = 0;  // accepted, retry: earliest next lease; leased, started, renewed: end of the lease
  Outcome outcome = Outcome::kNone;  // finished
  std::string text;  // accepted: the payload; finished: the result or the error; retry: the error
  // Accepted only.
  std::string alias;      // second name by which clients look the job up; empty: none
  std::string lane;       // the queue that workers fetch it from
  int retries = 0;        // failures that are retried; -1: none, and the failed job is purged at once
  std::uint64_t key = 0;  // deduplication key, as the decision module has it
  int priority = 0;       // within its class, higher first
  // For all kinds. Selects the store that the record is written to, see JobManager; not part of the record.
  int store_id = 0;
  bool operator==(const Record&) const = default;
};

struct Job {
  int job_class = 0;
  JobState state = JobState::kWaiting;
  std::uint32_t epoch = 0;  // of the last lease
  LeaseHolder holder;
  // Waiting: earliest next lease; leased, started: end of the lease; finished: time of the purge.
  Micros until = 0;
  Outcome outcome = Outcome::kNone;
  std::string text;   // the payload; replaced by the result once the job is done
  std::string error;  // of the last failure
  std::string alias, lane;
  int retries = 0, failures = 0, priority = 0;
  std::uint64_t key = 0;
  Micros accepted_at = 0, updated_at = 0;  // updated_at: time of the last record
  // Start of the first lease under which the job may have run, and its holder; -1: it has not run.
  Micros may_have_run_since = -1;
  LeaseHolder first_holder;
  bool may_have_run_before = false;  // under a lease before the current one
  bool leased() const { return state == JobState::kLeased || state == JobState::kStarted; }
  bool operator==(const Job&) const = default;
};

// A command of an operator's tool to the process that serves from the store.
struct OperatorCommand {
  std::int64_t number = 0;
  std::string verb, id;  // verb: "retry" or "discard"
};

// Properties of a job to accept; see Record.
struct JobSpec {
  int job_class = 0;
  std::string text, alias, lane;
  int retries = 0, priority = 0;
  std::uint64_t key = 0;
  Micros not_before = 0;
};

class JobTable {
 public:
  using Job = durable::Job;

  explicit JobTable(std::vector<ClassRules> classes) : classes_(std::move(classes)) {}

  // Decisions. Each returns the record to store, or null if the transition is not allowed, and changes
  // nothing.

  // Null for a job that is known already by its id or alias; callers attach to that one, see Find and
  // FindByAlias.
  std::optional<Record> Accept(Micros now, const std::string& id, JobSpec spec) const;
  // Whether the job may be leased to this worker now, given that it may have run under earlier leases.
  bool CanLease(Micros now, const std::string& id, const LeaseHolder& to) const;
  // Whether the job may be leased to any worker now.
  bool CanStillRun(Micros now, const std::string& id) const {
    const Job* job = Find(id);
    return job != nullptr && job->state == JobState::kWaiting && CanLeaseAgain(*job, now);
  }
  std::optional<Record> Lease(Micros now, const std::string& id, const LeaseHolder& to) const;
  // Reports of a worker. With an old epoch, or after the job has finished, they give a kStale record.
  std::optional<Record> Start(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> Renew(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> ReturnLease(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> Finish(Micros now, const std::string& id, std::uint32_t epoch, Outcome outcome,
                               std::string result) const;
  // The holder is lost without a report: the job waits again if it may run again, and has failed otherwise.
  std::optional<Record> LoseLease(Micros now, const std::string& id, std::uint32_t epoch) const;
  // The holder reports a failure. If retries are left and the job may run again, it waits for `backoff`. A
  // keyed job whose key would expire by then does not wait.
  std::optional<Record> Fail(Micros now, const std::string& id, std::uint32_t epoch, std::string error,
                             Micros backoff) const;
  // Operators' commands: queue a failed job again, and remove a job that nobody holds.
  std::optional<Record> Requeue(Micros now, const std::string& id) const;
  std::optional<Record> Discard(Micros now, const std::string& id) const;
  // Fails a waiting job.
  std::optional<Record> FailWaiting(Micros now, const std::string& id, std::string error = {}) const;
  // The clock is behind `last_time`, which it had reached before: the age of earlier times is unknown.
  Record ClockSteppedBack(Micros last_time) const;
  // Records for expired leases and for results past their retention, at most `max`.
  std::vector<Record> DueRecords(Micros now, std::size_t max) const;
  // After a restart: renews all leases to at least `now + grace`, also expired ones, since their holders may
  // still be running the jobs and need time to report.
  std::vector<Record> Recover(Micros now, Micros grace) const;

  // State.

  // Applies a record. Returns false, and changes nothing, if it is not a valid next transition: a store that
  // contains such a record is corrupt or was written by another program.
  bool Apply(const Record& record);
  // Adds a job in its stored state. Returns false, and changes nothing, if it is invalid or exists already.
  bool Restore(const std::string& id, Job job);
  // Removes a job without a record, as another scheduler serves it from now on.
  void Remove(const std::string& id);
  const Job* Find(const std::string& id) const;
  const std::map<std::string, Job>& jobs() const { return jobs_; }
  // The id of the job with this alias; null: none.
  const std::string* FindByAlias(const std::string& alias) const;
  // A job's status as operators see it; kRetrying: it waits and has failed at least once.
  enum class Status : std::uint8_t { kWaiting, kRetrying, kLeased, kDone, kFailed };
  static Status StatusOf(const Job& job);
  static const char* StatusName(Status status);
  std::size_t Count(Status status) const { return counts_[static_cast<std::size_t>(status)]; }
  std::size_t unfinished() const {  // jobs without a result
    return Count(Status::kWaiting) + Count(Status::kRetrying) + Count(Status::kLeased);
  }
  // Number of waiting jobs by lane.
  const std::map<std::string, std::size_t>& waiting_per_lane() const { return waiting_per_lane_; }
  Micros last_time() const { return last_time_; }  // latest time of any record; 0: none
  Micros next_due() const { return due_.empty() ? 0 : due_.begin()->first; }  // 0: nothing is due
  Micros clock_stepped_at() const { return clock_stepped_at_; }
  void set_clock_stepped_at(Micros at) { clock_stepped_at_ = std::max(clock_stepped_at_, at); }
  bool operator==(const JobTable& o) const {
    return jobs_ == o.jobs_ && clock_stepped_at_ == o.clock_stepped_at_;
  }

 private:
  const ClassRules& ClassRulesOf(const Job& job) const {
    return classes_[static_cast<std::size_t>(job.job_class)];
  }
  std::optional<Record> MakeHolderRecord(Micros now, const std::string& id, std::uint32_t epoch,
                                         RecordKind kind) const;
  bool CanLeaseAgain(const Job& job, Micros now) const;
  Record MakeFailure(Micros now, const std::string& id, std::uint32_t epoch, std::string error) const;
  void Count(const Job& job, int by);
  bool IsValidNext(const Job& job, const Record& record) const;
  void SetUntil(const std::string& id, Job& job, Micros until);
  void EraseJob(std::map<std::string, Job>::iterator it);

  std::vector<ClassRules> classes_;
  std::map<std::string, Job> jobs_;
  std::set<std::pair<Micros, std::string>> due_;  // `until` of leased and finished jobs, with their ids
  std::map<std::string, std::string> aliases_;    // alias to id
  std::array<std::size_t, 5> counts_{};
  std::map<std::string, std::size_t> waiting_per_lane_;
  Micros last_time_ = 0, clock_stepped_at_ = 0;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_JOB_TABLE_H_
