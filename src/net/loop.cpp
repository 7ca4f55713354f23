#include "src/net/loop.h"

#include <signal.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace heronway::net {
namespace {

template <typename Clock>
Micros Read() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

}  // namespace

Loop::Loop()
    : loop_(ev_loop_new(EVFLAG_AUTO)),
      offset_(Read<std::chrono::system_clock>() - Read<std::chrono::steady_clock>()) {
  if (loop_ == nullptr) throw std::runtime_error("no event loop can be had");
  ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* w, int) {
    std::vector<std::shared_ptr<void>> gone;
    gone.swap(static_cast<Loop*>(w->data)->buried_);
  });
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  ev_unref(loop_);
}

Loop::~Loop() {
  buried_.clear();
  ev_ref(loop_);
  ev_prepare_stop(loop_, &prepare_);
  ev_loop_destroy(loop_);
}

Micros Loop::WallClock() { return Read<std::chrono::system_clock>(); }

Micros Loop::Now() const { return Read<std::chrono::steady_clock>() + offset_; }

Timer::Timer(Loop& loop, std::function<void()> due) : loop_(loop), due_(std::move(due)) {
  ev_timer_init(
      &timer_, [](struct ev_loop*, ev_timer* w, int) { static_cast<Timer*>(w->data)->due_(); }, 0, 0);
  timer_.data = this;
}

void Timer::Start(Micros after) {
  Stop();
  // libev counts from when the loop last woke; what has run since then must not shorten the wait.
  ev_now_update(loop_.raw());
  ev_timer_set(&timer_, static_cast<double>(std::max<Micros>(after, 0)) / 1e6, 0);
  ev_timer_start(loop_.raw(), &timer_);
}

void Timer::Stop() { ev_timer_stop(loop_.raw(), &timer_); }

Signal::Signal(Loop& loop, int number, std::function<void()> caught)
    : loop_(loop), caught_(std::move(caught)) {
  ev_signal_init(
      &signal_, [](struct ev_loop*, ev_signal* w, int) { static_cast<Signal*>(w->data)->caught_(); }, number);
  signal_.data = this;
  ev_signal_start(loop_.raw(), &signal_);
  ev_unref(loop_.raw());
  // One that came earlier may have been held back until somebody listens (see main.cpp): libev leaves it so.
  sigset_t listened;
  sigemptyset(&listened);
  sigaddset(&listened, number);
  pthread_sigmask(SIG_UNBLOCK, &listened, nullptr);
}

Signal::~Signal() {
  ev_ref(loop_.raw());
  ev_signal_stop(loop_.raw(), &signal_);
}

Wakeup::Wakeup(Loop& loop, std::function<void()> woken) : loop_(loop), woken_(std::move(woken)) {
  ev_async_init(&async_, [](struct ev_loop*, ev_async* w, int) { static_cast<Wakeup*>(w->data)->woken_(); });
  async_.data = this;
  ev_async_start(loop_.raw(), &async_);
  ev_unref(loop_.raw());
}

Wakeup::~Wakeup() {
  ev_ref(loop_.raw());
  ev_async_stop(loop_.raw(), &async_);
}

}  // namespace heronway::net
