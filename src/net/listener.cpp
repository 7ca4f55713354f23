#include "src/net/listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace heronway::net {
namespace {

constexpr int kBacklog = 512;  // connections
constexpr int kMaxAcceptsPerIteration = 64;
constexpr Micros kPauseTime = 20'000;  // microseconds

}  // namespace

Listener::Listener(Loop& loop, const Address& at, const limits::AcceptSettings& pace,
                   std::function<bool(bool)> reserve_descriptor,
                   std::function<void(int, const Address&)> on_accept)
    : loop_(loop),
      pacer_(pace),
      reserve_descriptor_(std::move(reserve_descriptor)),
      on_accept_(std::move(on_accept)),
      watch_(loop.poller(), [this](int) { AcceptPending(); }),
      resume_timer_(loop, [this] { watch_.Start(fd_, EV_READ); }) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  // SO_REUSEPORT lets a replacement process bind the same address while this one still serves. The kernel
  // distributes new connections over both until this one ends (docs/operations.md).
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
  watch_.Start(fd_, EV_READ);
}

Listener::~Listener() {
  watch_.StopBeforeClose();
  close(fd_);
}

Address Listener::address() const {
  Address at{};
  socklen_t size = sizeof at;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return at;
}

void Listener::AcceptPending() {
  bool freed_descriptor = false;
  for (int n = 0; n < kMaxAcceptsPerIteration; ++n) {
    if (!pacer_.MayAccept(loop_.Now()) || !reserve_descriptor_(false)) return Pause();
    Address from{};
    socklen_t size = sizeof from;
    const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      pacer_.Accepted();
      on_accept_(fd, from);
    } else if (errno == EMFILE && !freed_descriptor) {
      freed_descriptor = reserve_descriptor_(true);
      if (!freed_descriptor) return Pause();
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      return Pause();  // a shortage of the whole system: closing client connections would not help
    } else if (errno == EAGAIN) {
      return;  // no connection is pending
    } else if (errno == EBADF || errno == EINVAL || errno == ENOTSOCK || errno == EFAULT) {
      return Pause();
    }
    // All other errors concern only the connection that was pending (see accept(2)): try the next one.
  }
}

// Avoids a busy loop: the listener stays readable while a pending connection cannot be accepted.
void Listener::Pause() {
  watch_.Stop();
  resume_timer_.Start(kPauseTime);
}

}  // namespace heronway::net
