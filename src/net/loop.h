// The one libev loop, the program's clock, and timers on it.
#ifndef HERONWAY_NET_LOOP_H_
#define HERONWAY_NET_LOOP_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <vector>

#include "pebblenotch/brain.h"

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
  // Unix time in microseconds as it was at the start, carried on by the steady clock: never backwards, and no
  // other than a span since the start. All that waits, lasts or is due goes by it.
  Micros Now() const;
  // The machine's wall clock in Unix microseconds: it may be wrong and step either way. For comparing with
  // times that other machines tell, with nothing resting on it that a wrong clock could break.
  static Micros WallClock();
  // Keeps an object that may be in use by a caller until the loop comes round.
  void Bury(std::shared_ptr<void> object) { buried_.push_back(std::move(object)); }
  void Run() { ev_run(loop_, 0); }
  void RunOnce() { ev_run(loop_, EVRUN_NOWAIT); }
  void RunTurn() { ev_run(loop_, EVRUN_ONCE); }  // waits for something to happen
  void Stop() { ev_break(loop_, EVBREAK_ALL); }

 private:
  struct ev_loop* loop_;
  ev_prepare prepare_;
  Micros offset_;
  std::vector<std::shared_ptr<void>> buried_;
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

class Signal {
 public:
  Signal(Loop& loop, int number, std::function<void()> caught);
  ~Signal();
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  Loop& loop_;
  ev_signal signal_;
  std::function<void()> caught_;
};

// Calls back on the loop after another thread asked for it: once for however many asked meanwhile.
class Wakeup {
 public:
  Wakeup(Loop& loop, std::function<void()> woken);
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;
  void Ask() { ev_async_send(loop_.raw(), &async_); }  // from any thread

 private:
  Loop& loop_;
  ev_async async_;
  std::function<void()> woken_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_LOOP_H_
