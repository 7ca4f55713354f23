// Which descriptors the system watches, and who is told when one is ready.
//
// An epoll set of its own, whose descriptor is the only one that libev watches, by poll. libev's own part for
// epoll gives a descriptor up where epoll_ctl fails, its own one for signals and threads as well, and takes
// what it asked for as had. Here what the system has is noted when it has it, and what it could not take is
// asked for again until it does.
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
  static constexpr int kEventsAtOnce = 64;
  // Seconds, as libev has it: until what the system could not take is asked for again, and the longest.
  static constexpr double kAskAgain = 0.005, kAskAgainMost = 0.08;

  // Throws std::runtime_error where the system has no descriptor for it.
  explicit Poller(struct ev_loop* loop);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

 private:
  friend class DescriptorWatch;
  struct Slot {
    DescriptorWatch* watch = nullptr;
    std::uint32_t generation = 0;  // tells an event of what stood here before
  };
  std::uint32_t Enter(DescriptorWatch* watch);
  void Leave(std::uint32_t slot);
  void GivenUp();
  void AskAgainLater();
  void AskAgain();
  void Dispatch();

  struct ev_loop* loop_;
  int epoll_;
  ev_io ready_;
  ev_timer again_;
  double wait_ = kAskAgain;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
};

// One descriptor under watch. The loop runs for as long as one is watched that counts.
class DescriptorWatch {
 public:
  // `ready` is given EV_READ, EV_WRITE or both, of what was asked for. `counts`: the loop goes on for it.
  DescriptorWatch(Poller& poller, std::function<void(int events)> ready, bool counts = true)
      : poller_(poller), ready_(std::move(ready)), counts_(counts) {}
  ~DescriptorWatch() { Stop(); }
  DescriptorWatch(const DescriptorWatch&) = delete;
  DescriptorWatch& operator=(const DescriptorWatch&) = delete;

  // In place of what was watched before. `events`: EV_READ, EV_WRITE, both; 0 is Stop().
  void Start(int fd, int events);
  void Stop();
  // Stop(), for a descriptor that is closed next, of which there is no duplicate: that leaves by itself.
  void Forget() {
    in_system_ = 0;
    Stop();
  }

 private:
  friend class Poller;
  bool asked() const { return events_ != 0; }
  bool had() const { return events_ == in_system_; }
  bool Ask();  // false: the system could not take it

  Poller& poller_;
  std::function<void(int)> ready_;
  bool counts_;
  int fd_ = -1;
  int events_ = 0;     // asked for
  int in_system_ = 0;  // had by the system
  std::uint32_t slot_ = 0;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_POLLER_H_
