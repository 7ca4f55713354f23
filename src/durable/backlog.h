// Queues the jobs that wait to be dispatched to the decision module, and limits how many are dispatched at a
// time. Does no I/O and reads no clock.
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

// Priority queue per class, with delayed entries. Classes are served round-robin, so that a busy one cannot
// starve the others; within a class the order is by priority, then by age.
class Backlog {
 public:
  explicit Backlog(std::size_t classes) : ready_(classes) {}
  // Adds a job, or moves it if it is queued already. It becomes ready at `at`; at once if that is past.
  void Schedule(const std::string& id, int job_class, int priority, Micros at);
  void Remove(const std::string& id);
  std::optional<std::string> PopReady(Micros now);  // removes and returns the next job
  // Time at which the next job becomes ready; 0: one is ready now, -1: the queue is empty.
  Micros next_ready_at() const;
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

// Limit of the jobs that are dispatched at a time. It starts small, so that many recovered jobs do not reach
// the fleet at once, grows by one for each served job and is halved when a job is shed, at most once per
// kMinCutInterval. Additive increase, multiplicative decrease (Chiu and Jain, 1989).
class ConcurrencyWindow {
 public:
  ConcurrencyWindow(int initial, int max_size) : size_(initial), max_size_(max_size) {}
  void ShrinkTo(int size) { size_ = std::min(size_, size); }
  void OnServed() { size_ = size_ < max_size_ ? size_ + 1 : max_size_; }
  void OnShed(Micros now);
  int size() const { return size_; }
  static constexpr int kMinSize = 4;
  static constexpr Micros kMinCutInterval = 100'000;

 private:
  int size_, max_size_;
  Micros last_cut_at_ = -kMinCutInterval;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_BACKLOG_H_
