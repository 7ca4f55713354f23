// A listening socket that keeps within a budget of descriptors.
#ifndef HERONWAY_NET_LISTENER_H_
#define HERONWAY_NET_LISTENER_H_

#include <functional>
#include <string>

#include "src/limits/accept_pacer.h"
#include "src/net/stream.h"

namespace heronway::net {

class Listener {
 public:
  // `make_room` is asked before each accept, and when the system has no descriptor left; false: wait.
  // `pace`: how fast they are accepted.
  Listener(Loop& loop, const Address& at, const limits::AcceptSettings& pace,
           std::function<bool(bool must)> make_room,
           std::function<void(int fd, const Address& from)> accepted);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  std::uint64_t paced() const { return pacer_.delayed(); }
  Address address() const;  // as bound: where port 0 was asked for, with the port it got

 private:
  void AcceptSome();
  void Rest();

  Loop& loop_;
  limits::AcceptPacer pacer_;
  std::function<bool(bool)> make_room_;
  std::function<void(int, const Address&)> accepted_;
  int fd_ = -1;
  DescriptorWatch io_;
  Timer rest_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_LISTENER_H_
