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

std::array<std::atomic<Wakeup*>, NSIG> wakeup_by_signal{};  // by signal number; null: unhandled

void OnSignal(int number) {
  const int error = errno;
  if (Wakeup* wakeup = wakeup_by_signal[static_cast<std::size_t>(number)].load()) wakeup->Notify();
  errno = error;
}

}  // namespace

Loop::Loop()
    : loop_(ev_loop_new(unsigned{EVBACKEND_POLL} | unsigned{EVFLAG_NOENV})),
      offset_(Read<std::chrono::system_clock>() - Read<std::chrono::steady_clock>()) {
  if (loop_ == nullptr) throw std::runtime_error("cannot create the event loop");
  poller_ = std::make_unique<Poller>(loop_);
  interrupt_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (interrupt_fd_ < 0) throw std::runtime_error("cannot create an eventfd for the event loop");
  interrupt_watch_ = std::make_unique<DescriptorWatch>(
      *poller_, [this](int) { OnInterrupt(); }, false);
  interrupt_watch_->Start(interrupt_fd_, EV_READ);
  ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* w, int) {
    std::vector<std::shared_ptr<void>> objects;
    objects.swap(static_cast<Loop*>(w->data)->destroy_later_);
  });
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  ev_unref(loop_);
}

Loop::~Loop() {
  destroy_later_.clear();
  ev_ref(loop_);
  ev_prepare_stop(loop_, &prepare_);
  interrupt_watch_.reset();
  close(interrupt_fd_);
  poller_.reset();
  ev_loop_destroy(loop_);
}

// The write can only fail with EAGAIN, at the counter's maximum: the descriptor is readable then anyway.
void Loop::Interrupt() const {
  const std::uint64_t one = 1;
  while (write(interrupt_fd_, &one, sizeof one) < 0 && errno == EINTR) {
  }
}

// Reads the counter before the flags are cleared: a later Notify makes the descriptor readable again.
void Loop::OnInterrupt() {
  std::uint64_t count = 0;
  while (read(interrupt_fd_, &count, sizeof count) < 0 && errno == EINTR) {
  }
  std::vector<Wakeup*> notified;
  for (Wakeup* wakeup : wakeups_) {
    if (wakeup->notified_.exchange(false)) notified.push_back(wakeup);
  }
  for (Wakeup* wakeup : notified) {  // a callback may destroy another Wakeup
    if (std::find(wakeups_.begin(), wakeups_.end(), wakeup) != wakeups_.end()) wakeup->callback_();
  }
}

Micros Loop::WallClock() { return Read<std::chrono::system_clock>(); }

Micros Loop::Now() const { return Read<std::chrono::steady_clock>() + offset_; }

Timer::Timer(Loop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {
  ev_timer_init(
      &timer_, [](struct ev_loop*, ev_timer* w, int) { static_cast<Timer*>(w->data)->callback_(); }, 0, 0);
  timer_.data = this;
}

void Timer::Start(Micros after) {
  Stop();
  // libev counts from when the loop last woke up. Without the update, the time that callbacks have taken
  // since then would shorten the wait.
  ev_now_update(loop_.raw());
  ev_timer_set(&timer_, static_cast<double>(std::max<Micros>(after, 0)) / 1e6, 0);
  ev_timer_start(loop_.raw(), &timer_);
}

void Timer::Stop() { ev_timer_stop(loop_.raw(), &timer_); }

Wakeup::Wakeup(Loop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {
  loop_.wakeups_.push_back(this);
}

Wakeup::~Wakeup() { std::erase(loop_.wakeups_, this); }

Signal::Signal(Loop& loop, int number, std::function<void()> callback)
    : number_(number), wakeup_(loop, std::move(callback)) {
  wakeup_by_signal[static_cast<std::size_t>(number_)] = &wakeup_;
  struct sigaction action {};
  action.sa_handler = OnSignal;
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  sigaction(number_, &action, nullptr);
  // The signal may have been blocked at program start until a handler is installed (see main.cpp).
  sigset_t unblocked;
  sigemptyset(&unblocked);
  sigaddset(&unblocked, number_);
  pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);
}

Signal::~Signal() { wakeup_by_signal[static_cast<std::size_t>(number_)] = nullptr; }

}  // namespace heronway::net
