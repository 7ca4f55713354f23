// The life of a durable job, as records: what may follow what, who holds it, and what a lapsed lease leads
// to.
//
// No I/O, no clock. A transition is decided here, stored by the caller, and applied when it is stored; the
// book that the same records make is the same. Terms: a *lease* is a worker's hold on a job until a time;
// its *epoch* numbers the leases of one job, and is what tells an answer of the present holder from a late
// one.
//
//   waiting --Lease--> leased --Started--> started --Answer--> answered --Forget--> (gone)
//    ^  ^                |  |                 |                   ^  |
//    |  |---GiveBack-----'  |                 |                   |  |
//    |  '---Lapse, Retry (may be repeated)----'---Lapse (may not)-'  |
//    '------Revive, an operator's word-------------------------------'
//
// Invariants, each checked over every order of events in tests/durable: one answer a job; one holder at a
// time; what may have run is leased again only as its class allows; an answer with an old epoch changes
// nothing.
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

// Where a worker stands, for classes whose repeats must meet the same group of workers.
struct LeaseHolder {
  WorkerId worker = 0;
  int zone = 0, cell = 0;
  bool operator==(const LeaseHolder&) const = default;
};

struct ClassRules {
  Idempotency idempotency = Idempotency::kAtMostOnce;
  DedupScope dedup_scope = DedupScope::kAll;
  Micros key_ttl = 0;        // from the first lease that may have run, workers drop a keyed job's repeats
  Micros lease = 1'000'000;  // that a worker has from its last sign of life; over a stall of 240 ms by far
  Micros keep_finished = 3'600'000'000;  // that an answer is kept for those who come for it again
  Micros keep_failed = 3'600'000'000;    // that a failed job is kept, with what it was
  int max_leases = 3;
};

enum class JobState : std::uint8_t { kWaiting, kLeased, kStarted, kFinished };
enum class Outcome : std::uint8_t { kNone, kDone, kFailed };
enum class RecordKind : std::uint8_t {
  kAccepted,
  kLeased,
  kStarted,
  kRenewed,
  kReturned,  // the holder never ran it
  kExpired,   // the lease ran out, and the job may be leased again
  kFinished,
  kStale,            // somebody who does not hold it any more said something: told, and nothing changes
  kPurged,           // its answer was kept long enough
  kRetry,            // the holder failed it, and it may be leased again from `until` on
  kRequeued,         // an operator takes an answered job on again, whatever it did before
  kDiscarded,        // an operator ends a job that nobody holds
  kClockSteppedBack  // the clock stepped back while nobody looked: how long ago things were is not known any more
};

// One transition, as it is stored.
struct Record {
  RecordKind kind = RecordKind::kAccepted;
  std::string id;
  Micros at = 0;
  int job_class = 0;        // taken
  std::uint32_t epoch = 0;  // all that concern a lease; the first is 1
  LeaseHolder holder;       // leased
  Micros until = 0;         // taken, retry: not to be leased before; leased, renewed: the lease's end
  Outcome outcome = Outcome::kNone;
  std::string text;  // taken: the job; answered: its result, or why it failed
  // Taken only.
  std::string alias;      // another name by which clients ask for it; empty: none
  std::string lane;       // the queue that it is fetched from
  int retries = 0;        // failures that it is given another try after; -1: it is forgotten with the first
  std::uint64_t key = 0;  // as the module has it
  int priority = 0;       // among waiting ones of its class
  int store_id = 0;       // whose store it goes to, see Keeper; not itself stored
  bool operator==(const Record&) const = default;
};

struct Job {
  int job_class = 0;
  JobState state = JobState::kWaiting;
  std::uint32_t epoch = 0;  // of the last lease
  LeaseHolder holder;
  Micros until = 0;  // waiting: not before; the lease; answered: when it is forgotten
  Outcome outcome = Outcome::kNone;
  std::string text;   // the job, then its result; of a failed one still the job
  std::string error;  // failed: what was said of it last
  std::string alias, lane;
  int retries = 0, failures = 0, priority = 0;
  std::uint64_t key = 0;
  Micros accepted_at = 0, updated_at = 0;  // when it was taken, and when something of it was recorded last
  // What may have run: none, or when the first such lease began and with whom.
  Micros may_have_run_since = -1;
  LeaseHolder first_holder;
  bool may_have_run_before = false;  // a lease before the present one may have run
  bool leased() const { return state == JobState::kLeased || state == JobState::kStarted; }
  bool operator==(const Job&) const = default;
};

// A word of an operator's tool to the program that serves from the store.
struct OperatorCommand {
  std::int64_t number = 0;
  std::string verb, id;  // retry, discard
};

// What a job is taken with.
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

  // ---- decisions: the record to store, nothing where the transition is not allowed. They change nothing.
  // A job that is known already, by its id or its alias, is joined, not taken: see Find, IdOf.
  std::optional<Record> Accept(Micros now, const std::string& id, JobSpec task) const;
  // Whether this worker may have it now, given what earlier leases may have done.
  bool CanLease(Micros now, const std::string& id, const LeaseHolder& to) const;
  // Whether some worker may, now.
  bool CanStillRun(Micros now, const std::string& id) const {
    const Job* job = Find(id);
    return job != nullptr && job->state == JobState::kWaiting && CanLeaseAgain(*job, now);
  }
  std::optional<Record> Lease(Micros now, const std::string& id, const LeaseHolder& to) const;
  // Word of a holder. With an old epoch, or after the end, it is recorded as late.
  std::optional<Record> Start(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> Renew(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> ReturnLease(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> Finish(Micros now, const std::string& id, std::uint32_t epoch, Outcome outcome,
                               std::string result) const;
  // The holder is gone without a word: the job waits again where it may be repeated, and has failed where
  // not.
  std::optional<Record> LoseLease(Micros now, const std::string& id, std::uint32_t epoch) const;
  // The holder says that it failed. Where it has tries left and may be repeated then, it waits for `backoff`;
  // a keyed one whose workers would have forgotten it by then, not at all.
  std::optional<Record> Fail(Micros now, const std::string& id, std::uint32_t epoch, std::string why,
                             Micros backoff) const;
  // An operator's word: a failed job is taken on again, and a job that nobody holds is ended for good.
  std::optional<Record> Requeue(Micros now, const std::string& id) const;
  std::optional<Record> Discard(Micros now, const std::string& id) const;
  // A job that no worker may have any more, though it waits: it is failed, and told so.
  std::optional<Record> FailWaiting(Micros now, const std::string& id, std::string why = {}) const;
  // The clock stood at `newest` once and is behind it: nobody knows how long ago anything before was.
  Record ClockSteppedBack(Micros last_time) const;
  // Leases that have run out, and answers that are kept no longer, up to `most`.
  std::vector<Record> DueRecords(Micros now, std::size_t most) const;
  // After a crash: whoever held a lease then may be at work still, and has until `now + grace` at least to
  // say so. Leases that are long past are not let lapse before.
  std::vector<Record> Recover(Micros now, Micros grace) const;

  // ---- state
  // Takes a record that is stored. False, and nothing changes, where it can't follow what is there: a store
  // that gives such a record is damaged, or of another program.
  bool Apply(const Record& record);
  // Takes a job as it stood. False, and nothing changes, where that can't be.
  bool Restore(const std::string& id, Job job);
  // It is somebody else's from here on: gone here, and nothing is recorded.
  void Remove(const std::string& id);
  const Job* Find(const std::string& id) const;
  const std::map<std::string, Job>& jobs() const { return jobs_; }
  const std::string* FindByAlias(const std::string& alias) const;
  enum class Status : std::uint8_t {
    kWaiting,
    kRetrying,
    kLeased,
    kDone,
    kFailed
  };  // retrying: it failed once
  static Status StatusOf(const Job& job);
  static const char* StatusName(Status place);
  std::size_t Count(Status place) const { return counts_[static_cast<std::size_t>(place)]; }
  std::size_t unfinished() const {  // that have no answer yet
    return Count(Status::kWaiting) + Count(Status::kRetrying) + Count(Status::kLeased);
  }
  // How many wait in each lane.
  const std::map<std::string, std::size_t>& waiting_per_lane() const { return waiting_per_lane_; }
  Micros last_time() const { return last_time_; }  // the time of the last record; 0: none
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
  Record MakeFailure(Micros now, const std::string& id, std::uint32_t epoch, std::string why) const;
  void Count(const Job& job, int by);
  bool IsValidNext(const Job& job, const Record& record) const;
  void SetUntil(const std::string& id, Job& job, Micros until);
  void EraseJob(std::map<std::string, Job>::iterator it);

  std::vector<ClassRules> classes_;
  std::map<std::string, Job> jobs_;
  std::set<std::pair<Micros, std::string>> due_;  // leases by their end, answers by when they are forgotten
  std::map<std::string, std::string> aliases_;    // to ids
  std::array<std::size_t, 5> counts_{};
  std::map<std::string, std::size_t> waiting_per_lane_;
  Micros last_time_ = 0, clock_stepped_at_ = 0;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_JOB_TABLE_H_
