// Writes records to a store on a thread of its own, so that the event loop never waits for the disk. All
// records that arrive during a commit go into the next one; the journal is compacted between commits.
//
// Records are numbered in the order in which they are enqueued; `stored()` is the number of the last durable
// one. They are written in this order without gaps: a failed write is retried until it succeeds or the writer
// is stopped, and `last_error()` gives the reason in the meantime.
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
    std::size_t max_pending = 65'536;        // records in the queue; above it full() is true
    std::size_t max_commit_records = 2'048;  // per commit
    std::size_t compact_rows = 2'048;        // journal rows that stay; compacted at twice as many
    std::size_t compact_records = 512;       // per compaction step
    std::chrono::milliseconds retry_interval{200};
    std::chrono::milliseconds poll_interval{250};  // for operators' commands
  };
  // `on_change` is called on the writer's thread after a commit, after a failed write and when commands
  // arrive.
  Writer(std::unique_ptr<Store> store, Settings settings, std::function<void()> on_change);
  ~Writer();
  // Writes the pending records, retrying for at most `timeout`, and ends the thread. The difference of
  // enqueued() and stored() tells how many records were not written.
  void Stop(std::chrono::milliseconds timeout);

  // Returns the number of the last record. Enqueue() and enqueued() are for the event loop's thread only.
  std::uint64_t Enqueue(std::vector<Record> records);
  std::uint64_t enqueued() const { return enqueued_; }
  std::uint64_t stored() const { return stored_.load(std::memory_order_acquire); }
  // Too many records are pending, or the store is near its size limit: new jobs should be rejected.
  bool full() const { return enqueued_ - stored() > settings_.max_pending || near_limit_.load(); }
  // Records are pending because the last write failed: new jobs should be rejected.
  bool failing() const { return failing_.load() && enqueued_ > stored(); }
  // Error of the last write, otherwise of the last compaction; empty if both succeeded.
  std::string last_error() const;
  // Removes and returns the operators' commands that have been read from the store.
  std::vector<OperatorCommand> TakeCommands();
  struct Counts {
    std::uint64_t commits = 0, compactions = 0, write_errors = 0, compaction_errors = 0;
    std::int64_t longest_commit_us = 0;
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
  // The store is near its size limit; the rest is reserved for the records that finish accepted jobs.
  std::atomic<bool> near_limit_{false};
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Record> pending_;
  std::vector<OperatorCommand> commands_;
  std::string write_error_, compaction_error_;
  Counts counts_;
  bool stopping_ = false;
  std::chrono::steady_clock::time_point stop_deadline_{};
  std::size_t rows_to_compact_ = 0;        // above compact_rows, as of the last compaction step
  std::size_t rows_since_compaction_ = 0;  // written since then
  std::thread thread_;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_WRITER_H_
