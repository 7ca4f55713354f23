#include "src/net/stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <utility>

#include "src/log/log.h"

namespace heronway::net {

std::optional<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  Address address{};
  address.sin_family = AF_INET;
  const std::string host(text.substr(0, colon));
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

std::string ToText(const Address& address) {
  char host[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

bool Same(const Address& a, const Address& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

Stream::Stream(Shared& shared, int fd, std::string label, Owner& owner)
    : shared_(shared),
      owner_(owner),
      label_(std::move(label)),
      fd_(fd),
      dial_timer_(shared.loop, [] {}),
      out_(shared.pool) {
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ev_io_init(
      &io_, [](struct ev_loop*, ev_io* w, int events) { static_cast<Stream*>(w->data)->OnIo(events); }, fd_,
      EV_READ);
  io_.data = this;
  ev_io_start(shared_.loop.raw(), &io_);
}

Stream::Stream(Shared& shared, const Address& to, Micros dial_timeout, std::string label, Owner& owner)
    : shared_(shared),
      owner_(owner),
      label_(std::move(label)),
      dialling_(true),
      dial_timer_(shared.loop, [this] { End(Reason::kConnectFailed); }),
      out_(shared.pool) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  ev_io_init(
      &io_, [](struct ev_loop*, ev_io* w, int events) { static_cast<Stream*>(w->data)->OnIo(events); }, fd_,
      EV_WRITE);
  io_.data = this;
  if (fd_ >= 0) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto* name = reinterpret_cast<const sockaddr*>(&to);
    if (connect(fd_, name, sizeof to) == 0 || errno == EINPROGRESS) {
      ev_io_start(shared_.loop.raw(), &io_);
      dial_timer_.Start(dial_timeout);
      return;
    }
  }
  dial_timer_.Start(0);
}

Stream::~Stream() {
  if (open()) Release(Reason::kShutdown);
}

void Stream::Write(std::string_view bytes) {
  if (!out_.Append(bytes)) return End(Reason::kNoMemory);
  if (up()) WriteSome();
}

void Stream::Close(Reason reason) {
  if (open() || dial_timer_.running()) Release(reason);
}

void Stream::FinishWriting(Reason as) {
  if (up() && !std::exchange(finished_, as)) shutdown(fd_, SHUT_WR);
}

void Stream::PauseReading(bool pause) {
  paused_ = pause;
  if (up()) Watch();
}

void Stream::Watch() {
  const int wanted = (paused_ ? 0 : EV_READ) | (out_.empty() ? 0 : EV_WRITE);
  ev_io_stop(shared_.loop.raw(), &io_);
  ev_io_set(&io_, fd_, wanted);
  if (wanted != 0) ev_io_start(shared_.loop.raw(), &io_);
}

void Stream::OnIo(int events) {
  if (dialling_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return End(Reason::kConnectFailed);
    dialling_ = false;
    dial_timer_.Stop();
    Watch();
    owner_.OnUp();
    if (open() && !out_.empty()) WriteSome();
    return;
  }
  if ((events & EV_READ) != 0) ReadSome();
  if (open() && (events & EV_WRITE) != 0) WriteSome();
}

void Stream::ReadSome() {
  auto buffer = shared_.pool.Take();
  if (!buffer) return End(Reason::kNoMemory);
  const ssize_t n = recv(fd_, buffer->bytes.data(), Buffer::kSize, 0);
  if (n > 0) {
    received_ += static_cast<std::uint64_t>(n);
    owner_.OnData({buffer->bytes.data(), static_cast<std::size_t>(n)});
  } else if (n == 0) {
    End(Reason::kPeerClosed);
  } else if (errno != EAGAIN && errno != EINTR) {
    End(Reason::kPeerReset);
  }
  shared_.pool.Give(std::move(buffer));
}

Stream::Unread Stream::Peek() const {
  if (!up()) return open() ? Unread::kNothing : Unread::kEnd;
  char first;
  const ssize_t n = recv(fd_, &first, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return Unread::kBytes;
  return n < 0 && (errno == EAGAIN || errno == EINTR) ? Unread::kNothing : Unread::kEnd;
}

bool Stream::PeerGone() const {
  const Unread unread = Peek();
  if (unread != Unread::kBytes) return unread == Unread::kEnd;
  pollfd asked{fd_, POLLRDHUP, 0};
  return poll(&asked, 1, 0) == 1 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::CatchUp() {
  while (up() && !paused_ && Peek() != Unread::kNothing) ReadSome();
}

bool Stream::ReadWaiting() {
  if (Peek() != Unread::kBytes) return false;
  ReadSome();
  return true;
}

void Stream::WriteSome() {
  while (!out_.empty()) {
    const auto front = out_.Front();
    const ssize_t n = send(fd_, front.data(), front.size(), MSG_NOSIGNAL);
    if (n > 0) {
      sent_ += static_cast<std::uint64_t>(n);
      out_.Drop(static_cast<std::size_t>(n));
    } else if (errno == EAGAIN || errno == EINTR) {
      return Watch();
    } else {
      return End(Reason::kPeerReset);
    }
  }
  Watch();
  owner_.OnSent();
}

void Stream::End(Reason reason) {
  Release(finished_.value_or(reason));
  owner_.OnEnd(reason);
}

void Stream::Release(Reason reason) {
  dial_timer_.Stop();
  ev_io_stop(shared_.loop.raw(), &io_);
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  if (shared_.log_connections)
    log::Event(log::Level::kInfo, "conn",
               {{"with", label_, true}, {"end", Code(reason)}, {"in", received_}, {"out", sent_}});
}

}  // namespace heronway::net
