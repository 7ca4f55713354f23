// Plain types of the decision module's state. What is decided with them stands in brain.cpp.
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

// Scatters ids and keys, the same way at every node.
inline std::uint64_t Scatter(std::uint64_t z) {  // splitmix64's finish
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// The share of a node's recent jobs that each key has; old counts fade.
class KeyShares {
 public:
  double Count(std::uint64_t key) {
    if (++total_ > kWindow) {
      total_ /= 2;
      for (auto it = counts_.begin(); it != counts_.end();) {  // the order does not matter: each is halved
        it = (it->second /= 2) < 1 ? counts_.erase(it) : std::next(it);
      }
    }
    return ++counts_[key] / total_;
  }

 private:
  static constexpr double kWindow = 500;
  std::unordered_map<std::uint64_t, double> counts_;
  double total_ = 0;
};

// The share of the node's recent requests that are served: of a crowd that asks again and again, little is.
class ServedShare {
 public:
  void Asked() {
    asked_ = asked_ * kFade + 1;
    served_ *= kFade;
  }
  void Served() { served_ += 1; }
  double Value() const { return std::min(1.0, served_ / asked_); }

 private:
  static constexpr double kFade = 0.98;                        // a request; the last fifty or so count
  double asked_ = 1 / (1 - kFade), served_ = 1 / (1 - kFade);  // at first all are taken to be served
};

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double Unit() { return static_cast<double>(Scatter(state_ += 0x9e3779b97f4a7c15ULL) >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return std::min(n - 1, static_cast<std::size_t>(Unit() * n)); }

 private:
  std::uint64_t state_;
};

using Index = std::uint32_t;  // a worker's place in the table

struct Worker : WorkerEntry {  // as listed, and what this node knows beyond that
  double queue = 0;            // as last reported or observed,
  double free = 0;             // likewise the free slots,
  Micros heard = -1;           // and when; -1: never
  std::vector<Micros> own;     // send times of own pushes that the report does not hold yet
  Micros ejected_until = 0;
  int failures = 0;            // in a row
  Micros told_since = 0;       // its start as listed; `since` may be earlier, see DatedStart
  Micros token_until = 0;      // while cold: may take one push until then
  double token_credit = 0;     // towards the next token
  bool in_slow_start = false;  // it stands in `slow_starters_`
  std::uint64_t listed = 0;    // the last whole list that named it
  int bucket = -1;             // where it stands in the index; -1: not at all
  Index place = 0;
};

struct Attempt {
  Index worker = 0;
  Micros sent = 0;
  Micros started = -1;
  bool out = true;
  bool never_ran = false;
};

struct Job {
  Request request;
  const ClassSettings* kind_of_job = nullptr;
  Micros born = 0;          // when the client first asked, as far as can be told
  Micros useful_until = 0;  // a start after this misses the aim,
  Micros give_up = 0;       // and after this it is not held any more
  double key_share = 0;     // of this node's jobs that ask for the same key
  double density = 0;       // worth for each unit of work
  bool ended = false;
  bool held = false, late = false;
  std::vector<Attempt> attempts;

  int tries() const { return static_cast<int>(attempts.size()); }
  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return !a.never_ran; });
  }
};

// Lets through `rate` a second, and up to `burst` at once.
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

// The workers of one zone and kind, by bucket of equal keys. `Move` keeps it up to date in constant time.
struct Group {
  std::uint64_t occupied = 0;  // a bit for each bucket that has workers
  std::array<std::vector<Index>, kBuckets> buckets;

  // Moves worker `i` of the table to another bucket; -1: out of the index.
  void Move(std::vector<Worker>& table, Index i, int to) {
    Worker& w = table[i];
    if (w.bucket >= 0) {
      auto& old = buckets[w.bucket];
      table[old.back()].place = w.place;
      old[w.place] = old.back();
      old.pop_back();
      if (old.empty()) occupied &= ~(1ULL << w.bucket);
    }
    w.bucket = to;
    if (to < 0) return;
    w.place = static_cast<Index>(buckets[to].size());
    buckets[to].push_back(i);
    occupied |= 1ULL << to;
  }
};

// A drawn-from set's workers counted by bucket, and the weight that each worker of a bucket has in the draw.
struct Weights {
  std::array<double, kBuckets> each{};
  std::array<Index, kBuckets> count{};
  double total = 0;
};

// Which groups and buckets a draw is made from.
struct Pool {
  int first_zone = 0, last_zone = 0;
  std::uint64_t kinds = ~0ULL;  // a bit for each kind of worker
  std::uint64_t buckets = 0;
};

enum class TimerKind : std::uint8_t { kPump, kStartCheck, kReturn, kSubscribe };
struct Timer {
  Micros at;
  std::uint64_t order;  // ties fire in the order in which they were set
  TimerKind kind;
  std::uint64_t subject;
  int attempt;
  bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
};

// Timers of one node, earliest first; only the earliest is armed with the host.
class Timers {
 public:
  void Set(Micros at, TimerKind kind, std::uint64_t subject, int attempt = 0) {
    queue_.push({at, ++set_, kind, subject, attempt});
  }
  // Appends the action that arms the earliest timer, where none so early is armed yet.
  void Arm(Micros now, std::vector<Action>& actions) {
    if (queue_.empty() || queue_.top().at >= armed_) return;
    armed_ = queue_.top().at > now ? queue_.top().at : now + 1;
    actions.push_back(ArmTimer{armed_, 0});
  }
  // Calls f with each timer that is due, those that f sets meanwhile included.
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

// Everything that one node holds.
struct NodeState {
  Settings s_;
  Random random_{0};
  Micros now_ = 0;
  std::vector<Action>* actions_ = nullptr;

  std::vector<Worker> workers_;
  std::unordered_map<WorkerId, Index> by_id_;
  std::vector<Group> groups_;
  std::vector<Index> slow_starters_;  // those that are cold, or were when last looked at
  ServedShare served_share_;
  std::deque<std::pair<Micros, Index>> fresh_;      // reports in the order in which they came
  Micros horizon_ = 1'000'000;                      // how long a report tells anything
  std::set<std::pair<std::uint64_t, Index>> ring_;  // all workers by their scattered ids
  KeyShares key_shares_;
  std::vector<Index> probe_order_;
  std::size_t probe_next_ = 0;
  std::uint64_t list_ = 0;
  std::size_t listing_ = 0;  // entries of the list that is being read, or was last

  // Before the first entry is taken. Guards a cold worker that stands early in a list against being counted
  // as one of a small fleet: a process that has just started knows none of those behind it yet.
  void BeginList(std::size_t entries) {
    ++list_;
    listing_ = entries;
  }
  Micros ask_wait_ = 500'000;

  std::vector<std::uint64_t> scarce_;  // for each class: kinds that one of more worth cannot do without
  std::vector<Micros> patience_;       // for each class: the longest that a client gave
  std::vector<double> usual_run_;      // for each class
  std::vector<int> waiting_;           // for each class: held jobs
  std::vector<Micros> last_start_;     // for each class: when one was last sent
  HostLimits allow_;
  int out_ = 0;  // attempts
  std::uint64_t pushes_without_token_ = 0;

  std::unordered_map<RequestId, Job> jobs_;
  std::set<std::pair<double, RequestId>> held_;  // what is worth most for its work comes first
  std::vector<TokenBucket> shares_;
  double shed_ = 0;         // share of the densest jobs that is turned away at once
  double densest_ = 0;      // the most worth for each unit of work seen of late
  double gap_ = 1'000'000;  // between arrivals
  Micros last_arrival_ = 0;

  Timers timers_;
};

}  // namespace pebblenotch

#endif  // PEBBLENOTCH_SRC_STATE_H_
