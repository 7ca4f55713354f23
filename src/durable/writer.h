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
    std::size_t max_pending = 65'536;        // records; over this the loop is told not to take more
    std::size_t max_commit_records = 2'048;  // records
    std::size_t compact_rows =
        2'048;  // of the journal that are left alone; folded when there are twice as many
    std::size_t compact_records = 512;  // folded at a time
    std::chrono::milliseconds retry_interval{200};
    std::chrono::milliseconds poll_interval{250};  // between two looks for orders
  };
  // `changed` is called from the writer's thread after a commit, a fault, or an order.
  Writer(std::unique_ptr<Store> store, Settings settings, std::function<void()> on_change);
  // Writes what is waiting, for `patience` at the longest, and ends. What could not be written is told by
  // the difference of what was handed over and stored().
  ~Writer();
  void Stop(std::chrono::milliseconds timeout);

  std::uint64_t Enqueue(std::vector<Record> records);   // the number of the last
  std::uint64_t enqueued() const { return enqueued_; }  // loop's thread
  std::uint64_t stored() const { return stored_.load(std::memory_order_acquire); }
  bool full() const { return enqueued_ - stored() > settings_.max_pending || near_limit_.load(); }
  // Records wait because the last write failed: nothing new should be taken.
  bool failing() const { return failing_.load() && enqueued_ > stored(); }
  std::string last_error() const;  // of the last write, else of the last fold; empty: they went through
  std::vector<OperatorCommand> TakeCommands();
  struct Counts {
    std::uint64_t commits = 0, compactions = 0, write_errors = 0, compaction_errors = 0;
    std::int64_t longest_commit_us = 0;  // a commit
  };
  Counts counts() const;

 private:
  void Run();
  bool Write(const std::vector<Record>& batch);
  void CompactIfDue();
  void PollCommands();
  void OnWriteError(const StoreError& e);

  std::unique_ptr<Store> store_;
  const Settings settings_;
  std::function<void()> on_change_;
  std::uint64_t enqueued_ = 0;
  std::atomic<std::uint64_t> stored_{0};
  std::atomic<bool> failing_{false};
  std::atomic<bool> near_limit_{false};  // the store nears its bound: what is there must still be able to end
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Record> pending_;
  std::vector<OperatorCommand> commands_;
  std::string write_error_, compaction_error_;
  Counts counts_;
  bool stopping_ = false;
  std::chrono::steady_clock::time_point stop_deadline_{};
  std::size_t rows_to_compact_ = 0,
              rows_since_compaction_ = 0;  // rows: over what is kept, and written since the last fold
  std::thread thread_;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_WRITER_H_
