#include "src/net/poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace heronway::net {
namespace {

std::uint32_t ToEpoll(int events) {
  return ((events & EV_READ) != 0 ? EPOLLIN : 0U) | ((events & EV_WRITE) != 0 ? EPOLLOUT : 0U);
}

// Reading as well as writing reports an error or a hang-up, so that both count as ready.
int FromEpoll(std::uint32_t events) {
  constexpr std::uint32_t kErrorOrHangup = EPOLLERR | EPOLLHUP;
  return ((events & (EPOLLIN | kErrorOrHangup)) != 0 ? EV_READ : 0) |
         ((events & (EPOLLOUT | kErrorOrHangup)) != 0 ? EV_WRITE : 0);
}

}  // namespace

Poller::Poller(struct ev_loop* loop) : loop_(loop), epoll_fd_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_fd_ < 0) throw std::runtime_error("cannot create an epoll set");
  ev_io_init(
      &epoll_watcher_,
      [](struct ev_loop*, ev_io* w, int events) {
        auto& poller = *static_cast<Poller*>(w->data);
        (events & EV_ERROR) != 0 ? poller.OnEpollUnwatched() : poller.Dispatch();
      },
      epoll_fd_, EV_READ);
  epoll_watcher_.data = this;
  ev_io_start(loop_, &epoll_watcher_);
  ev_unref(loop_);
  ev_timer_init(
      &retry_timer_,
      [](struct ev_loop*, ev_timer* w, int) { static_cast<Poller*>(w->data)->RetryRegistrations(); }, 0, 0);
  retry_timer_.data = this;
}

Poller::~Poller() {
  ev_timer_stop(loop_, &retry_timer_);
  if (ev_is_active(&epoll_watcher_) != 0) ev_ref(loop_);
  ev_io_stop(loop_, &epoll_watcher_);
  close(epoll_fd_);
}

std::uint32_t Poller::AcquireSlot(DescriptorWatch* watch) {
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t slot = free_slots_.back();
  free_slots_.pop_back();
  slots_[slot].watch = watch;
  return slot;
}

void Poller::ReleaseSlot(std::uint32_t slot) {
  slots_[slot].watch = nullptr;
  ++slots_[slot].generation;
  free_slots_.push_back(slot);
}

// libev stopped watching the epoll descriptor because poll failed with ENOMEM. It has also dropped a
// reference of the loop, which the constructor had dropped already: ev_ref restores it.
void Poller::OnEpollUnwatched() {
  ev_ref(loop_);
  ScheduleRetry();
}

void Poller::ScheduleRetry() {
  if (ev_is_active(&retry_timer_) != 0 || ev_is_pending(&retry_timer_) != 0) return;
  ev_timer_set(&retry_timer_, retry_delay_s_, 0);
  ev_timer_start(loop_, &retry_timer_);
}

void Poller::RetryRegistrations() {
  if (ev_is_active(&epoll_watcher_) == 0) {
    ev_io_start(loop_, &epoll_watcher_);
    ev_unref(loop_);
  }
  bool any_registered = false, any_unregistered = false;
  for (std::size_t n = 0; n < slots_.size(); ++n) {
    DescriptorWatch* watch = slots_[n].watch;
    if (watch == nullptr || watch->registered()) continue;
    const bool registered = watch->Register();
    any_registered |= registered;
    any_unregistered |= !registered;
  }
  retry_delay_s_ = any_unregistered && !any_registered ? std::min(2 * retry_delay_s_, kMaxRetryDelayS)
                                                       : kInitialRetryDelayS;
  if (any_unregistered) ScheduleRetry();
}

// Calls the last events first, as libev does. Events beyond kMaxEventsPerIteration are reported in the next
// iteration of the loop.
void Poller::Dispatch() {
  std::array<epoll_event, kMaxEventsPerIteration> events;
  const int count = epoll_wait(epoll_fd_, events.data(), kMaxEventsPerIteration, 0);
  for (int n = count - 1; n >= 0; --n) {
    const epoll_event& event = events[static_cast<std::size_t>(n)];
    const auto slot = static_cast<std::uint32_t>(event.data.u64);
    const auto generation = static_cast<std::uint32_t>(event.data.u64 >> 32);
    // An earlier callback of this iteration may have stopped this watch.
    if (slots_[slot].generation != generation || slots_[slot].watch == nullptr) continue;
    DescriptorWatch& watch = *slots_[slot].watch;
    const int ready = FromEpoll(event.events) & watch.requested_events_;
    if (ready != 0) watch.on_ready_(ready);
  }
}

void DescriptorWatch::Start(int fd, int events) {
  if (fd != fd_ || events == 0) Stop();
  if (events == 0) return;
  if (!active()) {
    slot_ = poller_.AcquireSlot(this);
    if (keeps_loop_alive_) ev_ref(poller_.loop_);
  }
  fd_ = fd;
  requested_events_ = events;
  if (!registered() && !Register()) poller_.ScheduleRetry();
}

bool DescriptorWatch::Register() {
  epoll_event event{};
  event.events = ToEpoll(requested_events_);
  event.data.u64 = slot_ | std::uint64_t{poller_.slots_[slot_].generation} << 32;
  const int operation = registered_events_ != 0 ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(poller_.epoll_fd_, operation, fd_, &event) != 0) return false;
  registered_events_ = requested_events_;
  return true;
}

void DescriptorWatch::Stop() {
  epoll_event unused{};
  if (registered_events_ != 0) epoll_ctl(poller_.epoll_fd_, EPOLL_CTL_DEL, fd_, &unused);
  registered_events_ = 0;
  if (active()) {
    poller_.ReleaseSlot(slot_);
    if (keeps_loop_alive_) ev_unref(poller_.loop_);
  }
  requested_events_ = 0;
  fd_ = -1;
}

}  // namespace heronway::net
