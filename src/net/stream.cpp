#include "src/net/stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <utility>

#include "src/log/log.h"

namespace heronway::net {

namespace {

constexpr Micros kDialAgain = 10'000;       // between two tries of a dial that this machine could not make
constexpr Micros kMostUnread = 10'000'000;  // a system that tells more of the last bytes' age tells nothing
constexpr Micros kCallAgain = 5'000;        // behind a read or write that lacked memory for a moment

// This machine lacks something for a moment; it tells nothing of the peer.
bool LacksForAMoment(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM ||
         error == EADDRNOTAVAIL || error == EAGAIN || error == ENETUNREACH || error == ENETDOWN ||
         error == ECONNABORTED;
}

// What there is of `events` now; 0 also where poll fails for longer than a moment (EINTR, ENOMEM).
int Polled(int fd, short events) {
  constexpr int kMostTries = 16;
  pollfd asked{fd, events, 0};
  for (int n = 0; n < kMostTries; ++n) {
    const int count = poll(&asked, 1, 0);
    if (count >= 0) return count == 0 ? 0 : asked.revents;
  }
  return 0;
}

}  // namespace

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

bool SameAddress(const Address& a, const Address& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

Stream::Stream(StreamContext& shared, int fd, std::string label, Owner& owner)
    : shared_(shared),
      owner_(owner),
      label_(std::move(label)),
      fd_(fd),
      io_(shared.loop.poller(), [this](int events) { OnIo(events); }),
      dial_timer_(shared.loop, [this] { Watch(); }),
      again_timer_(shared.loop, [] {}),
      out_(shared.pool) {
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  io_.Start(fd_, EV_READ);
}

Stream::Stream(StreamContext& shared, const Address& to, Micros dial_timeout, std::string label, Owner& owner)
    : shared_(shared),
      owner_(owner),
      label_(std::move(label)),
      dialling_(true),
      io_(shared.loop.poller(), [this](int events) { OnIo(events); }),
      dial_timer_(shared.loop, [this] { dialling_ ? End(Reason::kConnectFailed) : Watch(); }),
      again_timer_(shared.loop, [this] { DialAgain(); }),
      to_(to),
      out_(shared.pool) {
  dial_timer_.Start(dial_timeout);
  if (!Dial()) dial_timer_.Start(0);
}

// False where the peer cannot be reached. Where this machine cannot dial just now, the next try is set.
bool Stream::Dial() {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ >= 0) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto* name = reinterpret_cast<const sockaddr*>(&to_);
    // A dial that a signal interrupts goes on by itself.
    if (connect(fd_, name, sizeof to_) == 0 || errno == EINPROGRESS || errno == EINTR) {
      io_.Start(fd_, EV_WRITE);
      return true;
    }
  }
  refused_ = fd_ >= 0 && errno == ECONNREFUSED;
  if (!LacksForAMoment(errno)) return false;
  if (fd_ >= 0) close(std::exchange(fd_, -1));
  again_timer_.Start(kDialAgain);
  return true;
}

void Stream::DialAgain() {
  if (dialling_ && !Dial()) End(Reason::kConnectFailed);
}

Stream::~Stream() {
  if (open()) Release(Reason::kShutdown);
}

// What the system takes at once needs no buffer: that others, who don't read, have used up the pool must not
// cost this peer its answer.
void Stream::Write(std::string_view bytes) {
  if (connected() && out_.empty()) bytes.remove_prefix(SendAtOnce(bytes));
  if (!out_.Append(bytes)) return End(Reason::kNoMemory);
  if (connected()) WriteSome();
}

void Stream::Close(Reason reason) {
  if (open()) Release(reason);
}

void Stream::FinishWriting(Reason as) {
  if (connected() && !std::exchange(finished_, as)) shutdown(fd_, SHUT_WR);
}

void Stream::PauseReading(bool pause) {
  paused_ = pause;
  if (connected()) Watch();
}

void Stream::Watch() {
  const int wanted = (paused_ ? 0 : EV_READ) | (out_.empty() ? 0 : EV_WRITE);
  io_.Start(fd_, wanted);
}

void Stream::OnIo(int events) {
  if (dialling_) {
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
    if (error != 0 && LacksForAMoment(error)) {
      io_.Forget();
      close(std::exchange(fd_, -1));
      return again_timer_.Start(kDialAgain);
    }
    refused_ = error == ECONNREFUSED;
    if (error != 0) return End(Reason::kConnectFailed);
    dialling_ = false;
    dial_timer_.Stop();
    Watch();
    owner_.OnConnected();
    if (open() && !out_.empty()) WriteSome();
    return;
  }
  if ((events & EV_READ) != 0) ReadSome();
  if (open() && (events & EV_WRITE) != 0) WriteSome();
}

// Reads without the pool: that it is used up by others must not end a connection.
void Stream::ReadSome() {
  std::array<char, Buffer::kSize> bytes;
  const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
  if (n > 0) {
    received_ += static_cast<std::uint64_t>(n);
    owner_.OnData({bytes.data(), static_cast<std::size_t>(n)});
  } else if (n == 0) {
    End(Reason::kPeerClosed);
  } else if (errno == ENOMEM || errno == ENOBUFS) {
    Pause();
  } else if (errno != EAGAIN && errno != EINTR) {
    End(Reason::kPeerReset);
  }
}

// Guards against a busy loop while the system lacks memory: the descriptor stays ready meanwhile.
void Stream::Pause() {
  io_.Stop();
  dial_timer_.Start(kCallAgain);
}

Stream::Unread Stream::Peek() const {
  if (!connected()) return open() ? Unread::kNothing : Unread::kEnd;
  char first;
  const ssize_t n = recv(fd_, &first, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return Unread::kBytes;
  if (n < 0 && errno == EAGAIN) return Unread::kNothing;
  const bool failed_for_a_moment = n < 0 && (errno == EINTR || errno == ENOMEM || errno == ENOBUFS);
  if (!failed_for_a_moment) return Unread::kEnd;
  // The look itself failed: what is there must not be taken for nothing.
  int bytes = 0;
  if (ioctl(fd_, FIONREAD, &bytes) == 0 && bytes > 0) return Unread::kBytes;
  return Polled(fd_, POLLIN) != 0 ? Unread::kEnd : Unread::kNothing;
}

Micros Stream::SinceLastReceived() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (!connected() || getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return 0;
  const Micros ago = static_cast<Micros>(info.tcpi_last_data_recv) * 1'000;
  return ago <= kMostUnread ? ago : 0;
}

bool Stream::PeerClosed() const {
  const Unread unread = Peek();
  if (unread != Unread::kBytes) return unread == Unread::kEnd;
  return (Polled(fd_, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::ReadAllPending() {
  // As often as calls fail for a moment, and no more: the rest is read in its turn.
  constexpr int kMostReads = 64;
  for (int n = 0; n < kMostReads && connected() && !paused_ && Peek() != Unread::kNothing; ++n) ReadSome();
}

bool Stream::ReadPending() {
  if (Peek() != Unread::kBytes) return false;
  ReadSome();
  return true;  // also where the read failed for a moment: the bytes are there
}

// How much left. An error is left to the next try, which sees it again.
std::size_t Stream::SendAtOnce(std::string_view bytes) {
  std::size_t left = 0;
  while (left < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + left, bytes.size() - left, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    left += static_cast<std::size_t>(n);
  }
  sent_ += left;
  return left;
}

void Stream::WriteSome() {
  while (!out_.empty()) {
    const auto front = out_.Front();
    const ssize_t n = send(fd_, front.data(), front.size(), MSG_NOSIGNAL);
    if (n > 0) {
      sent_ += static_cast<std::uint64_t>(n);
      out_.Drop(static_cast<std::size_t>(n));
    } else if (errno == EINTR) {
      continue;
    } else if (errno == EAGAIN) {
      return Watch();
    } else if (errno == ENOBUFS || errno == ENOMEM) {
      return Pause();
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
  again_timer_.Stop();
  io_.Forget();
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  dialling_ = false;
  if (shared_.log_connections)
    log::Event(log::Level::kInfo, "conn",
               {{"with", label_, true}, {"end", Code(reason)}, {"in", received_}, {"out", sent_}});
}

}  // namespace heronway::net
