#include "src/durable/writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heronway::durable {
namespace {

using Clock = std::chrono::steady_clock;
constexpr double kNearLimitShare = 0.9;  // of the store's size limit; above it new jobs are rejected

}  // namespace

Writer::Writer(std::unique_ptr<Store> store, Settings settings, std::function<void()> on_change)
    : store_(std::move(store)),
      settings_(settings),
      on_change_(std::move(on_change)),
      thread_([this] { Run(); }) {}

Writer::~Writer() { Stop(std::chrono::milliseconds(2'000)); }

void Writer::Stop(std::chrono::milliseconds timeout) {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    stop_deadline_ = Clock::now() + timeout;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

std::uint64_t Writer::Enqueue(std::vector<Record> records) {
  if (records.empty()) return enqueued_;
  enqueued_ += records.size();
  {
    const std::lock_guard lock(mutex_);
    pending_.insert(pending_.end(), std::make_move_iterator(records.begin()),
                    std::make_move_iterator(records.end()));
  }
  wake_.notify_one();
  return enqueued_;
}

std::string Writer::last_error() const {
  const std::lock_guard lock(mutex_);
  return write_error_.empty() ? compaction_error_ : write_error_;
}

std::vector<OperatorCommand> Writer::TakeCommands() {
  const std::lock_guard lock(mutex_);
  return std::exchange(commands_, {});
}

Writer::Counts Writer::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

void Writer::Run() {
  auto next_poll = Clock::now();
  std::vector<Record> batch;
  for (;;) {
    if (batch.empty()) {
      std::unique_lock lock(mutex_);
      // While the queue is empty, compaction continues without a wait; otherwise it does one step per commit.
      if (rows_to_compact_ == 0)
        wake_.wait_until(lock, next_poll, [this] { return !pending_.empty() || stopping_; });
      if (pending_.size() <= settings_.max_commit_records) {
        batch.swap(pending_);
      } else {
        const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(settings_.max_commit_records);
        batch.assign(std::make_move_iterator(pending_.begin()), std::make_move_iterator(end));
        pending_.erase(pending_.begin(), end);
      }
      if (batch.empty() && stopping_) return;
    }
    if (!batch.empty()) {
      if (Write(batch)) {
        batch.clear();
      } else {
        std::unique_lock lock(mutex_);
        if (stopping_ && Clock::now() > stop_deadline_) return;
        wake_.wait_for(lock, settings_.retry_interval,
                       [this] { return stopping_ && Clock::now() > stop_deadline_; });
        continue;
      }
    }
    CompactIfDue();
    if (Clock::now() >= next_poll) {
      next_poll = Clock::now() + settings_.poll_interval;
      PollCommands();
    }
  }
}

bool Writer::Write(const std::vector<Record>& batch) {
  const auto began = Clock::now();
  try {
    store_->Append(batch);
  } catch (const StoreError& e) {
    OnWriteError(e);
    return false;
  }
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - began).count();
  {
    const std::lock_guard lock(mutex_);
    write_error_.clear();
    failing_.store(false);
    ++counts_.commits;
    counts_.longest_commit_us = std::max<std::int64_t>(counts_.longest_commit_us, took);
  }
  ++rows_since_compaction_;
  stored_.fetch_add(batch.size(), std::memory_order_release);
  on_change_();
  return true;
}

// Compacts many rows together: a job that is accepted and purged within them is never written to the jobs
// table.
void Writer::CompactIfDue() {
  if (rows_to_compact_ == 0 && rows_since_compaction_ < settings_.compact_rows) return;
  rows_since_compaction_ = 0;
  try {
    rows_to_compact_ = store_->Compact(settings_.compact_records, settings_.compact_rows);
    const std::lock_guard lock(mutex_);
    ++counts_.compactions;
    compaction_error_.clear();
  } catch (const StoreError& e) {
    // No data is lost: the journal keeps growing, and compaction is retried once it is due again.
    rows_to_compact_ = 0;
    const std::lock_guard lock(mutex_);
    ++counts_.compaction_errors;
    compaction_error_ = e.what();
  }
}

void Writer::PollCommands() {
  const auto max = store_->max_bytes();
  near_limit_.store(max > 0 &&
                    static_cast<double>(store_->bytes()) > kNearLimitShare * static_cast<double>(max));
  try {
    auto commands = store_->TakeCommands();
    if (commands.empty()) return;
    const std::lock_guard lock(mutex_);
    std::move(commands.begin(), commands.end(), std::back_inserter(commands_));
  } catch (const StoreError&) {
    return;  // the commands stay in the store until the next poll
  }
  on_change_();
}

void Writer::OnWriteError(const StoreError& e) {
  {
    const std::lock_guard lock(mutex_);
    write_error_ = e.what();
    failing_.store(true);
    ++counts_.write_errors;
  }
  on_change_();
}

}  // namespace heronway::durable
