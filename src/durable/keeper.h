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
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
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

  // ---- homes: whose store has a job. 0 is this scheduler's own, which takes what is new; others are those
  // that it looks after for schedulers that are gone. A record goes to its job's home.
  int HomeOf(const std::string& id) const {
    const auto it = homes_.find(id);
    return it == homes_.end() ? 0 : it->second;
  }
  // Before the first job of a home that comes as a whole: its crowd must not meet the fleet as one.
  void HomeComes() { window_.Restart(kFirstInHand); }
  // A job as it stood with another scheduler, or another process of this one. Whoever holds it has the time
  // of grace; what may have run up to `clock_broke` ran by another's clock, and is repeated only where it is
  // safe. False: it is known here by its name or its alias and goes on as that one, and the other is ended.
  bool Adopt(Micros now, int home, const std::string& id, Job job, Micros clock_broke, Records& out);
  // Its jobs begin no further round; those in hand go on.
  void Close(int home);
  std::size_t InHandOf(int home) const;
  // All of a home are somebody else's from here on; appends their names.
  void Drop(int home, std::vector<std::string>& ids);

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
  static constexpr int kFirstInHand = 16;        // after a start, and after jobs were adopted

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
  std::unordered_map<std::string, int> homes_;  // of jobs that are not this scheduler's own
  std::set<int> closed_;
  std::map<WorkerId, std::set<std::string>> held_;  // by worker
  Micros ahead_ = 0;                                // of the clock, where that stepped back: times never do
  Counters counters_;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_KEEPER_H_
