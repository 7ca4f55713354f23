// State of the decision module: plain types without decisions. The decisions are in brain.cpp.
#ifndef PEBBLENOTCH_SRC_STATE_H_
#define PEBBLENOTCH_SRC_STATE_H_

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pebblenotch/brain.h"

namespace pebblenotch {

inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

// Hashes ids and keys, the same way at every node (finalizer of splitmix64).
inline std::uint64_t MixBits(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// Share of this node's recent jobs that each key has. Old counts decay.
class KeyShares {
 public:
  // Counts a job and returns the share of its key.
  double Count(std::uint64_t key) {
    if (++total_ > kWindow) {
      total_ /= 2;
      for (auto it = counts_.begin(); it != counts_.end();) {  // any order: each count is halved
        it = (it->second /= 2) < 1 ? counts_.erase(it) : std::next(it);
      }
    }
    return ++counts_[key] / total_;
  }

 private:
  static constexpr double kWindow = 500;  // jobs
  std::unordered_map<std::uint64_t, double> counts_;
  double total_ = 0;
};

// Share of this node's recent requests that are served. It is low while many clients retry shed requests.
class ServedShare {
 public:
  void RecordRequest() {
    requests_ = requests_ * kFade + 1;
    served_ *= kFade;
  }
  void RecordServed() { served_ += 1; }
  double Value() const { return std::min(1.0, served_ / requests_); }

 private:
  static constexpr double kFade = 0.98;                           // per request; about the last fifty count
  double requests_ = 1 / (1 - kFade), served_ = 1 / (1 - kFade);  // the share starts at 1
};

// Deterministic random numbers (splitmix64).
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(MixBits(state_ += 0x9e3779b97f4a7c15ULL) >> 11) * 0x1.0p-53; }
  // Uniform in [0, n). Requires n > 0.
  std::size_t Below(std::size_t n) { return std::min(n - 1, static_cast<std::size_t>(Unit() * n)); }

 private:
  std::uint64_t state_;
};

using Index = std::uint32_t;  // a worker's position in the table

struct Worker : WorkerEntry {      // the listed entry and this node's own observations
  double queue = 0;                // length, as last reported or observed
  double free_slots = 0;           // as last reported or observed
  Micros observed_at = -1;         // time of that report or observation; -1: none
  std::vector<Micros> own_pushes;  // send times of own pushes that the report does not include yet
  Micros ejected_until = 0;
  int failures = 0;             // consecutive
  Micros listed_start = 0;      // its start as listed; `started_at` may be earlier, see EstimatedStart
  Micros token_until = 0;       // while cold: one push is allowed until then
  double token_credit = 0;      // towards the next token
  bool in_slow_start = false;   // listed in `slow_starters_`
  std::uint64_t last_list = 0;  // number of the last list that named it
  int bucket = -1;              // bucket in the ranking index; -1: not in the index
  Index bucket_position = 0;
};

struct Attempt {
  Index worker = 0;
  Micros sent = 0;
  Micros started = -1;
  bool outstanding = true;
  bool never_ran = false;
};

struct Job {
  Request request;
  const ClassSettings* class_settings = nullptr;
  Micros first_requested_at = 0;   // estimated time of the client's first request
  Micros latest_useful_start = 0;  // a later start misses the objective
  Micros hold_until = 0;           // the job is not held after this time
  double key_share = 0;            // share of this node's jobs that have the same key
  double density = 0;              // worth per unit of work
  bool ended = false;
  bool held = false, late = false;
  std::vector<Attempt> attempts;

  int attempt_count() const { return static_cast<int>(attempts.size()); }
  bool AnyOutstanding() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.outstanding; });
  }
  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return !a.never_ran; });
  }
};

// Rate limiter: `rate` tokens per second, at most `burst` at once.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
  bool Take(Micros now) {
    tokens_ = std::min(burst_, tokens_ + rate_ * static_cast<double>(now - filled_) / 1e6);
    filled_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double rate_, burst_, tokens_;
  Micros filled_ = 0;
};

inline constexpr int kBuckets = 64;

// The workers of one zone and kind, in buckets of equal ranking keys. `Move` updates it in constant time.
struct Partition {
  std::uint64_t occupied = 0;  // one bit for each bucket that has workers
  std::array<std::vector<Index>, kBuckets> buckets;

  // Moves worker `i` of the table to bucket `to`; -1 removes it from the index.
  void Move(std::vector<Worker>& table, Index i, int to) {
    Worker& w = table[i];
    if (w.bucket >= 0) {
      auto& old = buckets[w.bucket];
      table[old.back()].bucket_position = w.bucket_position;
      old[w.bucket_position] = old.back();
      old.pop_back();
      if (old.empty()) occupied &= ~(1ULL << w.bucket);
    }
    w.bucket = to;
    if (to < 0) return;
    w.bucket_position = static_cast<Index>(buckets[to].size());
    buckets[to].push_back(i);
    occupied |= 1ULL << to;
  }
};

// Number of workers in each bucket of a pool, and the weight of each worker of a bucket in the draw.
struct Weights {
  std::array<double, kBuckets> each{};
  std::array<Index, kBuckets> count{};
  double total = 0;
};

// The partitions and buckets that a draw is made from.
struct Pool {
  int first_zone = 0, last_zone = 0;
  std::uint64_t kinds = ~0ULL;  // one bit for each kind of worker
  std::uint64_t buckets = 0;
};

enum class TimerKind : std::uint8_t { kRetryHeld, kStartCheck, kRebucket, kSubscribe };
struct Timer {
  Micros at;
  std::uint64_t order;  // timers of the same time fire in the order in which they were set
  TimerKind kind;
  std::uint64_t subject;
  int attempt;
  bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
};

// Timers of one node. Only the earliest is armed at the host.
class Timers {
 public:
  void Set(Micros at, TimerKind kind, std::uint64_t subject, int attempt = 0) {
    queue_.push({at, ++set_, kind, subject, attempt});
  }
  // Appends the action that arms the earliest timer, unless one at or before its time is armed.
  void Arm(Micros now, std::vector<Action>& actions) {
    if (queue_.empty() || queue_.top().at >= armed_) return;
    armed_ = queue_.top().at > now ? queue_.top().at : now + 1;
    actions.push_back(ArmTimer{armed_, 0});
  }
  // Calls f with each due timer, including timers that f sets during the call.
  template <typename F>
  void Fire(Micros now, F&& f) {
    if (now >= armed_) armed_ = kNever;
    while (!queue_.empty() && queue_.top().at <= now) {
      const Timer t = queue_.top();
      queue_.pop();
      f(t);
    }
  }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> queue_;
  std::uint64_t set_ = 0;
  Micros armed_ = kNever;
};

// Complete state of one node.
struct NodeState {
  Settings settings_;
  Random random_{0};
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;

  std::vector<Worker> workers_;
  std::unordered_map<WorkerId, Index> by_id_;
  std::vector<Index> free_slots_;  // positions in workers_ whose worker is gone and forgotten
  std::size_t forget_at_ = 0;      // size of workers_ at which gone workers are forgotten
  std::vector<Partition> partitions_;
  std::vector<Index> slow_starters_;  // workers that are cold, or were when last checked
  ServedShare served_share_;
  std::deque<std::pair<Micros, Index>> recent_reports_;  // ordered by time
  Micros report_lifetime_ = 1'000'000;                   // age at which a report expires
  std::set<std::pair<std::uint64_t, Index>> key_ring_;   // all workers by hashed id
  KeyShares key_shares_;
  std::vector<Index> probe_order_;
  std::size_t probe_next_ = 0;
  std::uint64_t list_number_ = 0;
  std::size_t list_size_ = 0;  // entries of the current or last list

  // Called before the first entry of a list is applied. The number of entries is needed because a newly
  // started process knows no workers yet: without it, a cold worker early in the list would get the share of
  // a worker in a very small fleet.
  void BeginList(std::size_t entries) {
    ++list_number_;
    list_size_ = entries;
  }
  Micros subscribe_backoff_ = 500'000;

  std::vector<std::uint64_t> scarce_kinds_;  // for each class: kinds that a class of higher worth needs
  std::vector<Micros> longest_time_limit_;   // for each class: longest time that a client allowed
  std::vector<double> usual_run_time_;       // for each class
  std::vector<int> held_count_;              // for each class: held jobs
  std::vector<Micros> last_push_;            // for each class: time of the last push
  HostLimits limits_;
  int outstanding_ = 0;  // attempts outstanding
  std::uint64_t pushes_without_token_ = 0;

  std::unordered_map<RequestId, Job> jobs_;
  std::set<std::pair<double, RequestId>> held_;  // by HoldOrder: highest worth per unit of work first
  std::vector<TokenBucket> tenant_limits_;
  double shed_share_ = 0;           // share of the jobs of highest density that is shed on arrival
  double max_density_ = 0;          // highest recent worth per unit of work
  double arrival_gap_ = 1'000'000;  // mean time between arrivals
  Micros last_arrival_ = 0;

  Timers timers_;
};

}  // namespace pebblenotch

#endif  // PEBBLENOTCH_SRC_STATE_H_
