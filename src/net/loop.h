// The one libev loop, the program's clock, timers on it, and what reaches it from signals and other threads.
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
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  struct ev_loop* raw() const {
    return loop_;
  }
  Poller& poller() { return *poller_; }
  // Unix time in microseconds as it was at the start, carried on by the steady clock: never backwards, and no
  // other than a span since the start. All that waits, lasts or is due goes by it.
  Micros Now() const;
  // The machine's wall clock in Unix microseconds: it may be wrong and step either way. For comparing with
  // times that other machines tell, with nothing resting on it that a wrong clock could break.
  static Micros WallClock();
  // Keeps an object that may be in use by a caller until the loop comes round.
  void DestroyLater(std::shared_ptr<void> object) { buried_.push_back(std::move(object)); }
  void Run() { ev_run(loop_, 0); }
  void RunOnce() { ev_run(loop_, EVRUN_NOWAIT); }
  void WaitAndRunOnce() { ev_run(loop_, EVRUN_ONCE); }  // waits for something to happen
  void Stop() { ev_break(loop_, EVBREAK_ALL); }

 private:
  friend class Wakeup;
  void Interrupt() const;  // from any thread, and from a signal's handler
  void Interrupted();

  struct ev_loop* loop_;
  ev_prepare prepare_;
  Micros offset_;
  std::vector<std::shared_ptr<void>> buried_;
  std::unique_ptr<Poller> poller_;
  int interrupt_ = -1;  // an eventfd
  std::unique_ptr<DescriptorWatch> interrupted_;
  std::vector<class Wakeup*> wakeups_;
};

class Timer {
 public:
  Timer(Loop& loop, std::function<void()> due);
  ~Timer() { Stop(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void Start(Micros after);  // anew, if it runs
  void Stop();
  // Also between its end and the call: libev calls all that is due in a turn one after another, and one that
  // is started anew in between, as if it did not run, would not be called for the first end at all.
  bool running() const { return ev_is_active(&timer_) != 0 || ev_is_pending(&timer_) != 0; }

 private:
  Loop& loop_;
  ev_timer timer_;
  std::function<void()> due_;
};

// Calls back on the loop after another thread, or a signal's handler, asked for it: once for however many
// asked meanwhile.
class Wakeup {
 public:
  Wakeup(Loop& loop, std::function<void()> woken);
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;
  void Notify() {
    if (!asked_.exchange(true)) loop_.Interrupt();
  }

 private:
  friend class Loop;
  Loop& loop_;
  std::atomic<bool> asked_{false};
  std::function<void()> woken_;
};

// Calls back on the loop after a signal, one object for a number at a time. Once it is gone that signal is
// passed over.
class Signal {
 public:
  Signal(Loop& loop, int number, std::function<void()> caught);
  ~Signal();
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  int number_;
  Wakeup wakeup_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_LOOP_H_
