#include "src/net/loop.h"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace heronway::net {
namespace {

template <typename Clock>
Micros Read() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

std::array<std::atomic<Wakeup*>, NSIG> by_signal{};  // whom each signal wakes; null: nobody

void OnSignal(int number) {
  const int error = errno;
  if (Wakeup* wakeup = by_signal[static_cast<std::size_t>(number)].load()) wakeup->Notify();
  errno = error;
}

}  // namespace

Loop::Loop()
    : loop_(ev_loop_new(unsigned{EVBACKEND_POLL} | unsigned{EVFLAG_NOENV})),
      offset_(Read<std::chrono::system_clock>() - Read<std::chrono::steady_clock>()) {
  if (loop_ == nullptr) throw std::runtime_error("no event loop can be had");
  poller_ = std::make_unique<Poller>(loop_);
  interrupt_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (interrupt_ < 0) throw std::runtime_error("no event descriptor can be had");
  interrupted_ = std::make_unique<DescriptorWatch>(
      *poller_, [this](int) { Interrupted(); }, false);
  interrupted_->Start(interrupt_, EV_READ);
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
  interrupted_.reset();
  close(interrupt_);
  poller_.reset();
  ev_loop_destroy(loop_);
}

// It fails only where it was written to before and not read yet.
void Loop::Interrupt() const {
  const std::uint64_t one = 1;
  while (write(interrupt_, &one, sizeof one) < 0 && errno == EINTR) {
  }
}

// What asks from here on interrupts again.
void Loop::Interrupted() {
  std::uint64_t count = 0;
  while (read(interrupt_, &count, sizeof count) < 0 && errno == EINTR) {
  }
  std::vector<Wakeup*> asked;
  for (Wakeup* wakeup : wakeups_) {
    if (wakeup->asked_.exchange(false)) asked.push_back(wakeup);
  }
  for (Wakeup* wakeup : asked) {  // one that is called may end another
    if (std::find(wakeups_.begin(), wakeups_.end(), wakeup) != wakeups_.end()) wakeup->woken_();
  }
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

Wakeup::Wakeup(Loop& loop, std::function<void()> woken) : loop_(loop), woken_(std::move(woken)) {
  loop_.wakeups_.push_back(this);
}

Wakeup::~Wakeup() { std::erase(loop_.wakeups_, this); }

Signal::Signal(Loop& loop, int number, std::function<void()> caught)
    : number_(number), wakeup_(loop, std::move(caught)) {
  by_signal[static_cast<std::size_t>(number_)] = &wakeup_;
  struct sigaction action {};
  action.sa_handler = OnSignal;
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  sigaction(number_, &action, nullptr);
  // One that came earlier may have been held back until somebody listens (see main.cpp).
  sigset_t listened;
  sigemptyset(&listened);
  sigaddset(&listened, number_);
  pthread_sigmask(SIG_UNBLOCK, &listened, nullptr);
}

Signal::~Signal() { by_signal[static_cast<std::size_t>(number_)] = nullptr; }

}  // namespace heronway::net
