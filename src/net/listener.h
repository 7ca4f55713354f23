// A listening socket that respects the limits on descriptors and on the rate of new connections.
#ifndef HERONWAY_NET_LISTENER_H_
#define HERONWAY_NET_LISTENER_H_

#include <functional>
#include <string>

#include "src/limits/accept_pacer.h"
#include "src/net/stream.h"

namespace heronway::net {

class Listener {
 public:
  // `reserve_descriptor` is called before each accept, and with `required` when the process has no
  // descriptor left; where it returns false, accepting pauses. `pace`: the rate limit for accepted
  // connections. `on_accept` takes ownership of `fd`. Throws std::runtime_error where the address cannot be
  // bound.
  Listener(Loop& loop, const Address& at, const limits::AcceptSettings& pace,
           std::function<bool(bool required)> reserve_descriptor,
           std::function<void(int fd, const Address& from)> on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  // Number of times the rate limit has delayed an accept.
  std::uint64_t paced() const { return pacer_.delayed(); }
  Address address() const;  // the bound address, with the assigned port where port 0 was requested

 private:
  void AcceptPending();
  void Pause();

  Loop& loop_;
  limits::AcceptPacer pacer_;
  std::function<bool(bool)> reserve_descriptor_;
  std::function<void(int, const Address&)> on_accept_;
  int fd_ = -1;
  DescriptorWatch watch_;
  Timer resume_timer_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_LISTENER_H_
