// The one who waits for the disk: a thread that writes what the loop hands it, as many records to a commit as
// have come since the last, and folds the journal between commits.
//
// Records are numbered in the order in which they are handed over; `stored()` is the number of the last
// that is there for good. Order is kept, and nothing is passed over: a write that fails is tried again until
// it goes through or the writer is ended, and `fault()` tells why meanwhile.
#ifndef HERONWAY_DURABLE_WRITER_H_
#define HERONWAY_DURABLE_WRITER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/durable/store.h"

namespace heronway::durable {

class Writer {
 public:
  struct Settings {
    std::size_t most_waiting = 65'536;   // records; over this the loop is told not to take more
    std::size_t most_in_commit = 2'048;  // records
    std::size_t fold_rows = 2'048;  // of the journal that are left alone; folded when there are twice as many
    std::size_t fold_records = 512;  // folded at a time
    std::chrono::milliseconds try_again{200};
    std::chrono::milliseconds look{250};  // between two looks for orders
  };
  // `changed` is called from the writer's thread after a commit, a fault, or an order.
  Writer(std::unique_ptr<Store> store, Settings settings, std::function<void()> changed);
  // Writes what is waiting, for `patience` at the longest, and ends. What could not be written is told by
  // the difference of what was handed over and stored().
  ~Writer();
  void End(std::chrono::milliseconds patience);

  std::uint64_t Hand(std::vector<Record> records);  // the number of the last
  std::uint64_t handed() const { return handed_; }  // loop's thread
  std::uint64_t stored() const { return stored_.load(std::memory_order_acquire); }
  bool full() const { return handed_ - stored() > settings_.most_waiting || crowded_.load(); }
  // Records wait because the last write failed: nothing new should be taken.
  bool failing() const { return failing_.load() && handed_ > stored(); }
  std::string fault() const;  // of the last write, else of the last fold; empty: they went through
  std::vector<Order> TakeOrders();
  struct Counts {
    std::uint64_t commits = 0, folds = 0, faults = 0, fold_faults = 0;
    std::int64_t longest_us = 0;  // a commit
  };
  Counts counts() const;

 private:
  void Run();
  bool Write(const std::vector<Record>& batch);
  void FoldSome();
  void LookForOrders();
  void Failed(const StoreError& e);

  std::unique_ptr<Store> store_;
  const Settings settings_;
  std::function<void()> changed_;
  std::uint64_t handed_ = 0;
  std::atomic<std::uint64_t> stored_{0};
  std::atomic<bool> failing_{false};
  std::atomic<bool> crowded_{false};  // the store nears its bound: what is there must still be able to end
  mutable std::mutex lock_;
  std::condition_variable wake_;
  std::vector<Record> waiting_;
  std::vector<Order> orders_;
  std::string fault_, fold_fault_;
  Counts counts_;
  bool ending_ = false;
  std::chrono::steady_clock::time_point give_up_{};
  std::size_t to_fold_ = 0, unfolded_ = 0;  // rows: over what is kept, and written since the last fold
  std::thread thread_;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_WRITER_H_
