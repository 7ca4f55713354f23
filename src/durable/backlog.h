// The jobs that wait for their turn with the decision module: which is next, and how many may be there at a
// time. No I/O, no clock.
#ifndef HERONWAY_DURABLE_BACKLOG_H_
#define HERONWAY_DURABLE_BACKLOG_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pebblenotch/brain.h"

namespace heronway::durable {

using pebblenotch::Micros;

// Classes take turns, so that a busy one starves no other; within a class the higher priority goes first,
// then the older.
class Backlog {
 public:
  explicit Backlog(std::size_t classes) : ready_(classes) {}
  // Puts a job in, or elsewhere if it is in. `at`: not before; the past: at once.
  void Schedule(const std::string& id, int job_class, int priority, Micros at);
  void Remove(const std::string& id);
  std::optional<std::string> PopReady(Micros now);  // and takes it out
  Micros next_ready_at() const;  // when the next becomes ready: 0 where one is, -1 where nothing waits
  std::size_t size() const { return entries_.size(); }
  std::size_t delayed() const { return delayed_.size(); }

 private:
  struct Entry {
    Micros at = 0;
    int job_class = 0, priority = 0;
    std::uint64_t number = 0;
    bool ready = false;
  };
  using ReadyKey = std::pair<std::pair<int, std::uint64_t>, std::string>;  // (-priority, number), id
  void PromoteDue(Micros now);

  std::vector<std::set<ReadyKey>> ready_;
  std::set<std::pair<Micros, std::string>> delayed_;
  std::unordered_map<std::string, Entry> entries_;
  std::size_t next_class_ = 0;
  std::uint64_t last_number_ = 0;
};

// How many may be in hand: from little after a start, so that a crowd of recovered jobs does not meet the
// fleet as one; one more for each that is served; half when jobs come back unserved, at most every 100 ms.
// Source: additive increase, multiplicative decrease (Chiu and Jain, 1989).
class ConcurrencyWindow {
 public:
  ConcurrencyWindow(int first, int most) : size_(first), most_(most) {}
  void ShrinkTo(int first) { size_ = std::min(size_, first); }
  void OnServed() { size_ = size_ < most_ ? size_ + 1 : most_; }
  void OnShed(Micros now);
  int size() const { return size_; }
  static constexpr int kMinSize = 4;
  static constexpr Micros kMinCutInterval = 100'000;

 private:
  int size_, most_;
  Micros last_cut_at_ = -kMinCutInterval;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_BACKLOG_H_
