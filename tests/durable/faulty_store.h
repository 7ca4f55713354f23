// A store in memory whose writes fail on request, and a helper that waits for another thread.
#ifndef HERONWAY_TESTS_DURABLE_FAULTY_STORE_H_
#define HERONWAY_TESTS_DURABLE_FAULTY_STORE_H_

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "src/durable/store.h"

namespace heronway::durable {

// Keeps records in memory. The writes with numbers from fail_from up to, but not including, fail_to fail.
struct FaultyStore : Store {
  struct State {
    std::mutex mutex;
    std::vector<Record> stored;
    int writes = 0, fail_from = -1, fail_to = -1, batches = 0;
    std::chrono::milliseconds pause{0};
  };
  explicit FaultyStore(std::shared_ptr<State> state) : s(std::move(state)) {}
  void Append(const std::vector<Record>& records) override {
    std::this_thread::sleep_for(s->pause);
    const std::lock_guard lock(s->mutex);
    const int write = s->writes++;
    if (write >= s->fail_from && write < s->fail_to)
      throw StoreError(StoreError::Kind::kFull, "the disk is full");
    ++s->batches;
    s->stored.insert(s->stored.end(), records.begin(), records.end());
  }
  void Read(const Reader&) override {}
  std::size_t Compact(std::size_t, std::size_t) override { return 0; }
  std::vector<OperatorCommand> TakeCommands() override { return {}; }
  std::uint64_t bytes() const override { return 0; }
  std::uint64_t max_bytes() const override { return 0; }
  std::shared_ptr<State> s;
};

// Polls `condition` for up to 5 s and returns its last value.
inline bool WaitUntil(const std::function<bool()>& condition) {
  for (int i = 0; i < 500 && !condition(); ++i) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  return condition();
}

}  // namespace heronway::durable

#endif  // HERONWAY_TESTS_DURABLE_FAULTY_STORE_H_
