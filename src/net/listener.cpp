#include "src/net/listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace heronway::net {
namespace {

constexpr int kBacklog = 512;
constexpr int kAcceptsAtOnce = 64;
constexpr Micros kRestTime = 20'000;

}  // namespace

Listener::Listener(Loop& loop, const Address& at, const limits::AcceptSettings& pace,
                   std::function<bool(bool)> make_room, std::function<void(int, const Address&)> accepted)
    : loop_(loop),
      pacer_(pace),
      make_room_(std::move(make_room)),
      accepted_(std::move(accepted)),
      io_(loop.poller(), [this](int) { AcceptSome(); }),
      rest_(loop, [this] { io_.Start(fd_, EV_READ); }) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  // SO_REUSEPORT: a process that replaces this one binds the same address while this one still serves, and
  // the kernel spreads new connections over both until this one ends (docs/operations.md).
  const int on = 1;
  if (fd_ >= 0) {
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(fd_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  }
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd_, kBacklog) != 0) {
    const std::string why = std::strerror(errno);
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("cannot listen at " + ToText(at) + ": " + why);
  }
  io_.Start(fd_, EV_READ);
}

Listener::~Listener() {
  io_.Forget();
  close(fd_);
}

Address Listener::address() const {
  Address at{};
  socklen_t size = sizeof at;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return at;
}

void Listener::AcceptSome() {
  bool made_room = false;
  for (int n = 0; n < kAcceptsAtOnce; ++n) {
    if (!pacer_.MayAccept(loop_.Now()) || !make_room_(false)) return Rest();
    Address from{};
    socklen_t size = sizeof from;
    const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      pacer_.Accepted();
      accepted_(fd, from);
    } else if (errno == EMFILE && !made_room) {
      made_room = make_room_(true);
      if (!made_room) return Rest();
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      return Rest();  // the system's lack, not ours: to end connections of clients would not help
    } else if (errno == EAGAIN) {
      return;  // nobody waits
    } else if (errno == EBADF || errno == EINVAL || errno == ENOTSOCK || errno == EFAULT) {
      return Rest();
    }
    // All others are of the one connection that was waiting (accept(2)): the next may be well.
  }
}

// Guards against a busy loop: a connection that cannot be accepted keeps the listener readable.
void Listener::Rest() {
  io_.Stop();
  rest_.Start(kRestTime);
}

}  // namespace heronway::net
