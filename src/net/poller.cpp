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

// An error or a hang-up is found out by reading as well as by writing.
int FromEpoll(std::uint32_t events) {
  constexpr std::uint32_t kEnds = EPOLLERR | EPOLLHUP;
  return ((events & (EPOLLIN | kEnds)) != 0 ? EV_READ : 0) |
         ((events & (EPOLLOUT | kEnds)) != 0 ? EV_WRITE : 0);
}

}  // namespace

Poller::Poller(struct ev_loop* loop) : loop_(loop), epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::runtime_error("no epoll set can be had");
  ev_io_init(
      &ready_,
      [](struct ev_loop*, ev_io* w, int events) {
        auto& poller = *static_cast<Poller*>(w->data);
        (events & EV_ERROR) != 0 ? poller.GivenUp() : poller.Dispatch();
      },
      epoll_, EV_READ);
  ready_.data = this;
  ev_io_start(loop_, &ready_);
  ev_unref(loop_);
  ev_timer_init(
      &again_, [](struct ev_loop*, ev_timer* w, int) { static_cast<Poller*>(w->data)->AskAgain(); }, 0, 0);
  again_.data = this;
}

Poller::~Poller() {
  ev_timer_stop(loop_, &again_);
  if (ev_is_active(&ready_) != 0) ev_ref(loop_);
  ev_io_stop(loop_, &ready_);
  close(epoll_);
}

std::uint32_t Poller::Enter(DescriptorWatch* watch) {
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t slot = free_.back();
  free_.pop_back();
  slots_[slot].watch = watch;
  return slot;
}

void Poller::Leave(std::uint32_t slot) {
  slots_[slot].watch = nullptr;
  ++slots_[slot].generation;
  free_.push_back(slot);
}

// poll lacked memory (ENOMEM): libev gives up a descriptor then, and counts it out a second time.
void Poller::GivenUp() {
  ev_ref(loop_);
  AskAgainLater();
}

void Poller::AskAgainLater() {
  if (ev_is_active(&again_) != 0 || ev_is_pending(&again_) != 0) return;
  ev_timer_set(&again_, wait_, 0);
  ev_timer_start(loop_, &again_);
}

void Poller::AskAgain() {
  if (ev_is_active(&ready_) == 0) {
    ev_io_start(loop_, &ready_);
    ev_unref(loop_);
  }
  bool any_had = false, any_left = false;
  for (std::size_t n = 0; n < slots_.size(); ++n) {
    DescriptorWatch* watch = slots_[n].watch;
    if (watch == nullptr || watch->had()) continue;
    const bool had = watch->Ask();
    any_had |= had;
    any_left |= !had;
  }
  wait_ = any_left && !any_had ? std::min(2 * wait_, kAskAgainMost) : kAskAgain;
  if (any_left) AskAgainLater();
}

// The newest first, as libev does. What is ready beyond kEventsAtOnce is told at the loop's next turn.
void Poller::Dispatch() {
  std::array<epoll_event, kEventsAtOnce> events;
  const int count = epoll_wait(epoll_, events.data(), kEventsAtOnce, 0);
  for (int n = count - 1; n >= 0; --n) {
    const epoll_event& event = events[static_cast<std::size_t>(n)];
    const auto slot = static_cast<std::uint32_t>(event.data.u64);
    const auto generation = static_cast<std::uint32_t>(event.data.u64 >> 32);
    // What was told before may have ended this one.
    if (slots_[slot].generation != generation || slots_[slot].watch == nullptr) continue;
    DescriptorWatch& watch = *slots_[slot].watch;
    const int wanted = FromEpoll(event.events) & watch.events_;
    if (wanted != 0) watch.ready_(wanted);
  }
}

void DescriptorWatch::Start(int fd, int events) {
  if (fd != fd_ || events == 0) Stop();
  if (events == 0) return;
  if (!asked()) {
    slot_ = poller_.Enter(this);
    if (counts_) ev_ref(poller_.loop_);
  }
  fd_ = fd;
  events_ = events;
  if (!had() && !Ask()) poller_.AskAgainLater();
}

bool DescriptorWatch::Ask() {
  epoll_event event{};
  event.events = ToEpoll(events_);
  event.data.u64 = slot_ | std::uint64_t{poller_.slots_[slot_].generation} << 32;
  const int operation = in_system_ != 0 ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(poller_.epoll_, operation, fd_, &event) != 0) return false;
  in_system_ = events_;
  return true;
}

void DescriptorWatch::Stop() {
  epoll_event unused{};
  if (in_system_ != 0) epoll_ctl(poller_.epoll_, EPOLL_CTL_DEL, fd_, &unused);
  in_system_ = 0;
  if (asked()) {
    poller_.Leave(slot_);
    if (counts_) ev_unref(poller_.loop_);
  }
  events_ = 0;
  fd_ = -1;
}

}  // namespace heronway::net
