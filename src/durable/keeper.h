// Durable jobs from end to end: when each goes to the decision module, what its hops' ends mean, what is owed
// after a crash. The reducer tells it and asks it; what comes out is records to be stored.
//
// No I/O, no clock; random backoffs come from the seed. A job is *in hand* while a round of it is with the
// module: a round is a request as any other, with a deadline, and may take several hops. Between rounds the
// job waits here. What a record says is in force at once; whoever acts on it towards the outside (a hop, an
// answer, an acknowledgement) waits until the record is stored.
#ifndef HERONWAY_DURABLE_KEEPER_H_
#define HERONWAY_DURABLE_KEEPER_H_

#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <unordered_set>
#include <vector>

#include "src/durable/backlog.h"
#include "src/durable/job_book.h"
#include "src/durable/settings.h"

namespace heronway::durable {

using Records = std::vector<Record>;

class Keeper {
 public:
  Keeper(const Settings& settings, std::vector<ClassRules> classes, std::uint64_t seed);
  // The rules of a site's classes: what its module's settings say, with the times of these settings.
  static std::vector<ClassRules> RulesOf(const Settings& settings, const pebblenotch::Settings& site);

  // ---- recovery: everything that is stored, in order, then Recovered once. False: the store is damaged.
  bool Restore(const std::string& id, Job job) { return book_.Restore(id, std::move(job)); }
  bool Replay(const Record& record) { return book_.Apply(record); }
  void SetClockBroke(Micros at) { book_.set_clock_broke(at); }
  // Holders of leases have the time of grace; what waits is put in the backlog.
  void Recovered(Micros now, Records& out);

  // ---- taking. False: it is known already, or must not be.
  bool MayTake() const { return static_cast<std::int64_t>(book_.open()) < settings_.most_open; }
  // `in_hand`: its first round begins with it.
  bool Take(Micros now, const std::string& id, Task task, bool in_hand, Records& out);

  // ---- rounds
  // The next job that should go to the module; it is in hand from here on.
  std::optional<std::string> Next(Micros now, Records& out);
  bool InHand(const std::string& id) const { return in_hand_.contains(id); }
  // The module wants it at a worker: the epoch of the lease, or nothing where that must not be.
  std::optional<std::uint32_t> Lease(Micros now, const std::string& id, const Holder& to, Records& out);
  enum class HopEnd : std::uint8_t { kNeverRan, kLost };
  void HopOver(Micros now, const std::string& id, std::uint32_t epoch, HopEnd end, Records& out);
  enum class RoundEnd : std::uint8_t { kServed, kShed, kFailed, kRejected, kLeft };
  // The round is over as the module says; `wait`: no other before this time has passed.
  void RoundOver(Micros now, const std::string& id, RoundEnd end, Micros wait, Records& out);

  // The client that waited was told that it failed: so it has, where nobody holds it.
  void GiveUp(Micros now, const std::string& id, Records& out) {
    if (const auto over = book_.GiveUp(At(now), id, "no worker could run it in time")) Put(*over, out);
  }

  // ---- word of holders
  enum class Said : std::uint8_t { kStarted, kRunning, kDone, kFailed, kReturned, kLost };
  // Of the lease with this epoch. Whether the word counted: a late one is recorded and changes nothing.
  bool Word(Micros now, const std::string& id, std::uint32_t epoch, Said said, std::string text,
            Records& out);
  // The epoch under which this worker holds the job now; 0: it doesn't.
  std::uint32_t EpochOf(const std::string& id, WorkerId worker) const;
  // A sign of life: renews whatever this worker holds.
  void Alive(Micros now, WorkerId worker, Records& out);

  // ---- operators
  bool Retry(Micros now, const std::string& id, Records& out);
  bool Discard(Micros now, const std::string& id, Records& out);

  // ---- time
  // Leases that ran out and answers that are kept no longer. Of jobs in hand only the names: their hops are
  // called off, and what follows is their end.
  void Due(Micros now, Records& out, std::vector<std::string>& lapsed_in_hand);
  Micros next(Micros now) const;  // when to ask again; -1: never

  const JobBook& book() const { return book_; }
  std::size_t in_hand() const { return in_hand_.size(); }
  int window() const { return window_.size(); }
  std::size_t scheduled() const { return backlog_.later(); }
  struct Counters {
    std::uint64_t taken = 0, done = 0, failed = 0, retries = 0, lapsed = 0, late = 0, vetoed = 0, rounds = 0;
    std::uint64_t recovered = 0, recovered_leased = 0;
  };
  const Counters& counters() const { return counters_; }

  static constexpr Micros kLeastWait = 200'000;  // between two rounds of a job that found no worker
  static constexpr Micros kCallOff = 1'000'000;  // for a hop to be called off, once its lease ran out
  static constexpr std::size_t kMostDue = 256;   // at a time

 private:
  Micros At(Micros now) const { return now + ahead_; }
  void Put(const Record& record, Records& out);
  void Settle(const std::string& id, Micros at);
  Micros Backoff(int failures);

  Settings settings_;
  JobBook book_;
  Backlog backlog_;
  Window window_;
  pcg32 random_;
  std::unordered_set<std::string> in_hand_;
  std::map<WorkerId, std::set<std::string>> held_;  // by worker
  Micros ahead_ = 0;                                // of the clock, where that stepped back: times never do
  Counters counters_;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_KEEPER_H_
