// Watches descriptors for readiness and calls back when they are ready.
//
// Uses an epoll set of its own, whose descriptor is the only one that libev watches, with poll. libev's
// epoll backend stops watching a descriptor where epoll_ctl fails, including its internal one for signals
// and threads, and assumes that requested events are registered. Here the registered events are recorded
// only after epoll_ctl has succeeded, and a failed registration is retried until it succeeds.
#ifndef HERONWAY_NET_POLLER_H_
#define HERONWAY_NET_POLLER_H_

#include <ev.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace heronway::net {

class DescriptorWatch;

class Poller {
 public:
  // Events taken from epoll per iteration of the loop.
  static constexpr int kMaxEventsPerIteration = 64;
  // Delay before failed registrations are retried: the first, and the maximum to which it doubles.
  static constexpr double kInitialRetryDelayS = 0.005, kMaxRetryDelayS = 0.08;

  // Throws std::runtime_error where the epoll set cannot be created.
  explicit Poller(struct ev_loop* loop);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

 private:
  friend class DescriptorWatch;
  struct Slot {
    DescriptorWatch* watch = nullptr;
    std::uint32_t generation = 0;  // identifies events that belong to a previous occupant of the slot
  };
  std::uint32_t AcquireSlot(DescriptorWatch* watch);
  void ReleaseSlot(std::uint32_t slot);
  void OnEpollUnwatched();
  void ScheduleRetry();
  void RetryRegistrations();
  void Dispatch();

  struct ev_loop* loop_;
  int epoll_fd_;
  ev_io epoll_watcher_;
  ev_timer retry_timer_;
  double retry_delay_s_ = kInitialRetryDelayS;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
};

// A watch on one descriptor. The loop runs as long as a watch is active that keeps it alive.
class DescriptorWatch {
 public:
  // `on_ready` gets EV_READ, EV_WRITE or both, limited to the events that were requested.
  // `keeps_loop_alive`: the loop does not end while this watch is active.
  DescriptorWatch(Poller& poller, std::function<void(int events)> on_ready, bool keeps_loop_alive = true)
      : poller_(poller), on_ready_(std::move(on_ready)), keeps_loop_alive_(keeps_loop_alive) {}
  ~DescriptorWatch() { Stop(); }
  DescriptorWatch(const DescriptorWatch&) = delete;
  DescriptorWatch& operator=(const DescriptorWatch&) = delete;

  // Replaces the previous watch. `events`: EV_READ, EV_WRITE or both; 0 is equal to Stop().
  void Start(int fd, int events);
  void Stop();
  // Like Stop(), for a descriptor that the caller closes next: closing the last duplicate of a descriptor
  // removes it from the epoll set, which saves the system call.
  void StopBeforeClose() {
    registered_events_ = 0;
    Stop();
  }

 private:
  friend class Poller;
  bool active() const { return requested_events_ != 0; }
  bool registered() const { return requested_events_ == registered_events_; }
  bool Register();  // false: epoll_ctl failed

  Poller& poller_;
  std::function<void(int)> on_ready_;
  bool keeps_loop_alive_;
  int fd_ = -1;
  int requested_events_ = 0;
  int registered_events_ = 0;  // in the epoll set
  std::uint32_t slot_ = 0;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_POLLER_H_
