// The event loop (libev), the program's clock, timers, and the delivery of signals and of other threads'
// notifications on the loop's thread.
#ifndef HERONWAY_NET_LOOP_H_
#define HERONWAY_NET_LOOP_H_

#include <ev.h>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "pebblenotch/brain.h"
#include "src/net/poller.h"

namespace heronway::net {

using pebblenotch::Micros;

class Loop {
 public:
  // Throws std::runtime_error where the system has no descriptor for it.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  struct ev_loop* raw() const {
    return loop_;
  }
  Poller& poller() { return *poller_; }
  // Monotonic time in microseconds: the Unix time at construction, advanced by the steady clock. All waits,
  // durations and deadlines use it, as steps of the wall clock do not affect it.
  Micros Now() const;
  // The machine's wall clock, in Unix microseconds. It may be wrong and step either way. Only for
  // comparison with times from other machines; nothing may depend on it that a wrong clock could break.
  static Micros WallClock();
  // Keeps an object, which a caller on the stack may still use, alive until the loop's next iteration.
  void DestroyLater(std::shared_ptr<void> object) { destroy_later_.push_back(std::move(object)); }
  void Run() { ev_run(loop_, 0); }
  void RunOnce() { ev_run(loop_, EVRUN_NOWAIT); }       // handles what is ready, without waiting
  void WaitAndRunOnce() { ev_run(loop_, EVRUN_ONCE); }  // waits for an event and handles what is ready
  void Stop() { ev_break(loop_, EVBREAK_ALL); }

 private:
  friend class Wakeup;
  void Interrupt() const;  // callable from any thread and from a signal handler
  void OnInterrupt();

  struct ev_loop* loop_;
  ev_prepare prepare_;
  Micros offset_;  // from the steady clock to Now()
  std::vector<std::shared_ptr<void>> destroy_later_;
  std::unique_ptr<Poller> poller_;
  int interrupt_fd_ = -1;  // an eventfd
  std::unique_ptr<DescriptorWatch> interrupt_watch_;
  std::vector<class Wakeup*> wakeups_;
};

// A one-shot timer.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> callback);
  ~Timer() { Stop(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void Start(Micros after);  // restarts a running timer; a negative wait counts as 0
  void Stop();
  // Also true between expiry and callback. libev calls all expired timers of an iteration one after
  // another; a caller that took such a timer for stopped and restarted it would lose the pending callback.
  bool running() const { return ev_is_active(&timer_) != 0 || ev_is_pending(&timer_) != 0; }

 private:
  Loop& loop_;
  ev_timer timer_;
  std::function<void()> callback_;
};

// Runs a callback on the loop after another thread or a signal handler has called Notify. Notifications
// that arrive before the callback runs are merged into one call.
class Wakeup {
 public:
  Wakeup(Loop& loop, std::function<void()> callback);
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;
  void Notify() {
    if (!notified_.exchange(true)) loop_.Interrupt();
  }

 private:
  friend class Loop;
  Loop& loop_;
  std::atomic<bool> notified_{false};
  std::function<void()> callback_;
};

// Runs a callback on the loop after a signal. At most one object per signal number at a time. After its
// destruction the signal is ignored.
class Signal {
 public:
  Signal(Loop& loop, int number, std::function<void()> callback);
  ~Signal();
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  int number_;
  Wakeup wakeup_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_LOOP_H_
