#include "src/durable/writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heronway::durable {
namespace {

using Clock = std::chrono::steady_clock;
constexpr double kCrowded = 0.9;  // of the store's bound: over it nothing new is taken

}  // namespace

Writer::Writer(std::unique_ptr<Store> store, Settings settings, std::function<void()> changed)
    : store_(std::move(store)),
      settings_(settings),
      changed_(std::move(changed)),
      thread_([this] { Run(); }) {}

Writer::~Writer() { End(std::chrono::milliseconds(2'000)); }

void Writer::End(std::chrono::milliseconds patience) {
  {
    const std::lock_guard hold(lock_);
    ending_ = true;
    give_up_ = Clock::now() + patience;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

std::uint64_t Writer::Hand(std::vector<Record> records) {
  if (records.empty()) return handed_;
  handed_ += records.size();
  {
    const std::lock_guard hold(lock_);
    waiting_.insert(waiting_.end(), std::make_move_iterator(records.begin()),
                    std::make_move_iterator(records.end()));
  }
  wake_.notify_one();
  return handed_;
}

std::string Writer::fault() const {
  const std::lock_guard hold(lock_);
  return fault_.empty() ? fold_fault_ : fault_;
}

std::vector<Order> Writer::TakeOrders() {
  const std::lock_guard hold(lock_);
  return std::exchange(orders_, {});
}

Writer::Counts Writer::counts() const {
  const std::lock_guard hold(lock_);
  return counts_;
}

void Writer::Run() {
  auto look = Clock::now();
  std::vector<Record> batch;
  for (;;) {
    if (batch.empty()) {
      std::unique_lock hold(lock_);
      // Folding goes on while nothing waits; a busy journal is folded between commits, by and by.
      if (to_fold_ == 0) wake_.wait_until(hold, look, [this] { return !waiting_.empty() || ending_; });
      if (waiting_.size() <= settings_.most_in_commit) {
        batch.swap(waiting_);
      } else {
        const auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(settings_.most_in_commit);
        batch.assign(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(end));
        waiting_.erase(waiting_.begin(), end);
      }
      if (batch.empty() && ending_) return;
    }
    if (!batch.empty()) {
      if (Write(batch)) {
        batch.clear();
      } else {
        std::unique_lock hold(lock_);
        if (ending_ && Clock::now() > give_up_) return;
        wake_.wait_for(hold, settings_.try_again, [this] { return ending_ && Clock::now() > give_up_; });
        continue;
      }
    }
    FoldSome();
    if (Clock::now() >= look) {
      look = Clock::now() + settings_.look;
      LookForOrders();
    }
  }
}

bool Writer::Write(const std::vector<Record>& batch) {
  const auto began = Clock::now();
  try {
    store_->Append(batch);
  } catch (const StoreError& e) {
    Failed(e);
    return false;
  }
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - began).count();
  {
    const std::lock_guard hold(lock_);
    fault_.clear();
    failing_.store(false);
    ++counts_.commits;
    counts_.longest_us = std::max<std::int64_t>(counts_.longest_us, took);
  }
  ++unfolded_;
  stored_.fetch_add(batch.size(), std::memory_order_release);
  changed_();
  return true;
}

// Many rows at a time: a job that comes and goes within them leaves no trace in the jobs.
void Writer::FoldSome() {
  if (to_fold_ == 0 && unfolded_ < settings_.fold_rows) return;
  unfolded_ = 0;
  try {
    to_fold_ = store_->Fold(settings_.fold_records, settings_.fold_rows);
    const std::lock_guard hold(lock_);
    ++counts_.folds;
    fold_fault_.clear();
  } catch (const StoreError& e) {
    // Nothing is lost by it but room: the journal grows on, and it is tried again with the next commit.
    to_fold_ = 0;
    const std::lock_guard hold(lock_);
    ++counts_.fold_faults;
    fold_fault_ = e.what();
  }
}

void Writer::LookForOrders() {
  const auto most = store_->most_bytes();
  crowded_.store(most > 0 && static_cast<double>(store_->bytes()) > kCrowded * static_cast<double>(most));
  try {
    auto came = store_->TakeOrders();
    if (came.empty()) return;
    const std::lock_guard hold(lock_);
    std::move(came.begin(), came.end(), std::back_inserter(orders_));
  } catch (const StoreError&) {
    return;  // they stay where they are
  }
  changed_();
}

void Writer::Failed(const StoreError& e) {
  {
    const std::lock_guard hold(lock_);
    fault_ = e.what();
    failing_.store(true);
    ++counts_.faults;
  }
  changed_();
}

}  // namespace heronway::durable
