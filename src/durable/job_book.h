// The life of a durable job, as records: what may follow what, who holds it, and what a lapsed lease leads
// to.
//
// No I/O, no clock. A transition is decided here, stored by the caller, and applied when it is stored; the
// book that the same records make is the same. Terms: a *lease* is a worker's hold on a job until a time;
// its *epoch* numbers the leases of one job, and is what tells an answer of the present holder from a late
// one.
//
//   waiting --Lease--> leased --Started--> started --Answer--> answered --Forget--> (gone)
//      ^                 |  |                 |                   ^
//      |---GiveBack------'  |                 |                   |
//      '---Lapse (may be repeated)------------'---Lapse (may not)-'
//
// Invariants, each checked over every order of events in tests/durable: one answer a job; one holder at a
// time; what may have run is leased again only as its class allows; an answer with an old epoch changes
// nothing.
#ifndef HERONWAY_DURABLE_JOB_BOOK_H_
#define HERONWAY_DURABLE_JOB_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pebblenotch/brain.h"

namespace heronway::durable {

using pebblenotch::Effect;
using pebblenotch::Micros;
using pebblenotch::RepeatScope;
using WorkerId = std::uint64_t;

// Where a worker stands, for classes whose repeats must meet the same group of workers.
struct Holder {
  WorkerId worker = 0;
  int zone = 0, cell = 0;
  bool operator==(const Holder&) const = default;
};

struct ClassRules {
  Effect effect = Effect::kUnsafe;
  RepeatScope scope = RepeatScope::kAll;
  Micros key_window = 0;        // from the first lease that may have run, workers drop a keyed job's repeats
  Micros lease = 1'000'000;     // that a worker has from its last sign of life; over a stall of 240 ms by far
  Micros keep = 3'600'000'000;  // that an answer is kept for those who come for it again
  int most_leases = 3;
};

enum class State : std::uint8_t { kWaiting, kLeased, kStarted, kAnswered };
enum class Answer : std::uint8_t { kNone, kDone, kFailed };
enum class Kind : std::uint8_t {
  kTaken,
  kLeased,
  kStarted,
  kRenewed,
  kGivenBack,  // the holder never ran it
  kLapsed,     // the lease ran out, and the job may be leased again
  kAnswered,
  kLate,  // somebody who does not hold it any more said something: told, and nothing changes
  kForgotten
};

// One transition, as it is stored.
struct Record {
  Kind kind = Kind::kTaken;
  std::string id;
  Micros at = 0;
  int job_class = 0;        // taken
  std::uint32_t epoch = 0;  // all that concern a lease; the first is 1
  Holder holder;            // leased
  Micros until = 0;         // leased, renewed
  Answer answer = Answer::kNone;
  std::string text;  // taken: the job; answered: its result
  bool operator==(const Record&) const = default;
};

class JobBook {
 public:
  struct Job {
    int job_class = 0;
    State state = State::kWaiting;
    std::uint32_t epoch = 0;  // of the last lease
    Holder holder;
    Micros until = 0;  // the lease; answered: when it is forgotten
    Answer answer = Answer::kNone;
    std::string text;  // the job, then its result
    // What may have run: none, or when the first such lease began and with whom.
    Micros may_have_run_since = -1;
    Holder first;
    bool ran_before = false;  // a lease before the present one may have run
    bool operator==(const Job&) const = default;
  };

  explicit JobBook(std::vector<ClassRules> classes) : classes_(std::move(classes)) {}

  // ---- decisions: the record to store, nothing where the transition is not allowed. They change nothing.
  // A job that is known already is joined, not taken: see Find.
  std::optional<Record> Take(Micros now, const std::string& id, int job_class, std::string text) const;
  // Whether this worker may have it now, given what earlier leases may have done.
  bool MayLease(Micros now, const std::string& id, const Holder& to) const;
  std::optional<Record> Lease(Micros now, const std::string& id, const Holder& to) const;
  // Word of a holder. With an old epoch, or after the end, it is recorded as late.
  std::optional<Record> Started(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> Renew(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> GiveBack(Micros now, const std::string& id, std::uint32_t epoch) const;
  std::optional<Record> Finish(Micros now, const std::string& id, std::uint32_t epoch, Answer answer,
                               std::string result) const;
  // A job that no worker may have any more, though it waits: it is failed, and told so.
  std::optional<Record> GiveUp(Micros now, const std::string& id) const;
  // Leases that have run out, and answers that are kept no longer, up to `most`.
  std::vector<Record> Due(Micros now, std::size_t most) const;
  // After a crash: whoever held a lease then may be at work still, and has until `now + grace` at least to
  // say so. Leases that are long past are not let lapse before.
  std::vector<Record> Recover(Micros now, Micros grace) const;

  // ---- state
  // Takes a record that is stored. False, and nothing changes, where it can't follow what is there: a store
  // that gives such a record is damaged, or of another program.
  bool Apply(const Record& record);
  const Job* Find(const std::string& id) const;
  const std::map<std::string, Job>& jobs() const { return jobs_; }
  std::size_t open() const { return open_; }  // that have no answer yet
  bool operator==(const JobBook& o) const { return jobs_ == o.jobs_; }

 private:
  const ClassRules& RulesOf(const Job& job) const {
    return classes_[static_cast<std::size_t>(job.job_class)];
  }
  std::optional<Record> Word(Micros now, const std::string& id, std::uint32_t epoch, Kind kind) const;
  bool MayRepeat(const Job& job, Micros now) const;
  Record Failed(Micros now, const std::string& id, std::uint32_t epoch) const;
  void Arm(const std::string& id, Job& job, Micros until);

  std::vector<ClassRules> classes_;
  std::map<std::string, Job> jobs_;
  std::set<std::pair<Micros, std::string>> due_;  // leases by their end, answers by when they are forgotten
  std::size_t open_ = 0;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_JOB_BOOK_H_
