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

// Until the next attempt of a dial that failed because of a shortage on this machine.
constexpr Micros kDialRetryDelay = 10'000;
// Where the system reports a greater age of the last received bytes, the value is taken for invalid.
constexpr Micros kMaxPlausibleAge = 10'000'000;
// After a read or write that lacked memory.
constexpr Micros kShortagePause = 5'000;

// Whether the error means that this machine is briefly short of something. Such an error says nothing about
// the peer.
bool IsLocalShortage(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM ||
         error == EADDRNOTAVAIL || error == EAGAIN || error == ENETUNREACH || error == ENETDOWN ||
         error == ECONNABORTED;
}

// Which of `events` are ready now; 0 also where poll keeps failing (EINTR, ENOMEM).
int PollNow(int fd, short events) {
  constexpr int kMaxTries = 16;
  pollfd polled{fd, events, 0};
  for (int n = 0; n < kMaxTries; ++n) {
    const int count = poll(&polled, 1, 0);
    if (count >= 0) return count == 0 ? 0 : polled.revents;
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

Stream::Stream(StreamContext& context, int fd, std::string label, Owner& owner)
    : context_(context),
      owner_(owner),
      label_(std::move(label)),
      fd_(fd),
      watch_(context.loop.poller(), [this](int events) { OnIo(events); }),
      dial_timer_(context.loop, [this] { UpdateWatch(); }),
      retry_timer_(context.loop, [] {}),
      send_queue_(context.pool) {
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  watch_.Start(fd_, EV_READ);
}

Stream::Stream(StreamContext& context, const Address& to, Micros dial_timeout, std::string label,
               Owner& owner)
    : context_(context),
      owner_(owner),
      label_(std::move(label)),
      dialing_(true),
      watch_(context.loop.poller(), [this](int events) { OnIo(events); }),
      dial_timer_(context.loop, [this] { dialing_ ? End(Reason::kConnectFailed) : UpdateWatch(); }),
      retry_timer_(context.loop, [this] { RetryDial(); }),
      peer_address_(to),
      send_queue_(context.pool) {
  dial_timer_.Start(dial_timeout);
  if (!Dial()) dial_timer_.Start(0);
}

// Returns false where the peer cannot be reached. On a shortage on this machine, schedules another attempt
// and returns true.
bool Stream::Dial() {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ >= 0) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto* name = reinterpret_cast<const sockaddr*>(&peer_address_);
    // After EINTR the connection is established asynchronously, as after EINPROGRESS.
    if (connect(fd_, name, sizeof peer_address_) == 0 || errno == EINPROGRESS || errno == EINTR) {
      watch_.Start(fd_, EV_WRITE);
      return true;
    }
  }
  connection_refused_ = fd_ >= 0 && errno == ECONNREFUSED;
  if (!IsLocalShortage(errno)) return false;
  if (fd_ >= 0) close(std::exchange(fd_, -1));
  retry_timer_.Start(kDialRetryDelay);
  return true;
}

void Stream::RetryDial() {
  if (dialing_ && !Dial()) End(Reason::kConnectFailed);
}

Stream::~Stream() {
  if (open()) CloseSocket(Reason::kShutdown);
}

// Sends what the kernel accepts immediately without a pool buffer, so that a pool exhausted by peers that
// don't read does not end this connection.
void Stream::Write(std::string_view bytes) {
  if (connected() && send_queue_.empty()) bytes.remove_prefix(SendImmediately(bytes));
  if (!send_queue_.Append(bytes)) return End(Reason::kNoMemory);
  if (connected()) Flush();
}

void Stream::Close(Reason reason) {
  if (open()) CloseSocket(reason);
}

void Stream::FinishWriting(Reason logged_reason) {
  if (connected() && !std::exchange(finish_reason_, logged_reason)) shutdown(fd_, SHUT_WR);
}

void Stream::PauseReading(bool pause) {
  reading_paused_ = pause;
  if (connected()) UpdateWatch();
}

void Stream::UpdateWatch() {
  const int events = (reading_paused_ ? 0 : EV_READ) | (send_queue_.empty() ? 0 : EV_WRITE);
  watch_.Start(fd_, events);
}

void Stream::OnIo(int events) {
  if (dialing_) {
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
    if (error != 0 && IsLocalShortage(error)) {
      watch_.StopBeforeClose();
      close(std::exchange(fd_, -1));
      return retry_timer_.Start(kDialRetryDelay);
    }
    connection_refused_ = error == ECONNREFUSED;
    if (error != 0) return End(Reason::kConnectFailed);
    dialing_ = false;
    dial_timer_.Stop();
    UpdateWatch();
    owner_.OnConnected();
    if (open() && !send_queue_.empty()) Flush();
    return;
  }
  if ((events & EV_READ) != 0) ReadOnce();
  if (open() && (events & EV_WRITE) != 0) Flush();
}

// Reads into a buffer on the stack, so that an exhausted pool does not end the connection.
void Stream::ReadOnce() {
  std::array<char, Buffer::kSize> bytes;
  const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
  if (n > 0) {
    bytes_received_ += static_cast<std::uint64_t>(n);
    owner_.OnData({bytes.data(), static_cast<std::size_t>(n)});
  } else if (n == 0) {
    End(Reason::kPeerClosed);
  } else if (errno == ENOMEM || errno == ENOBUFS) {
    PauseAfterShortage();
  } else if (errno != EAGAIN && errno != EINTR) {
    End(Reason::kPeerReset);
  }
}

// Avoids a busy loop while the system lacks memory, as the descriptor stays ready meanwhile.
void Stream::PauseAfterShortage() {
  watch_.Stop();
  dial_timer_.Start(kShortagePause);
}

Stream::Unread Stream::Peek() const {
  if (!connected()) return open() ? Unread::kNothing : Unread::kEnd;
  char byte;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return Unread::kBytes;
  if (n < 0 && errno == EAGAIN) return Unread::kNothing;
  const bool peek_failed = n < 0 && (errno == EINTR || errno == ENOMEM || errno == ENOBUFS);
  if (!peek_failed) return Unread::kEnd;
  // The call itself failed: pending bytes must not be reported as nothing.
  int bytes = 0;
  if (ioctl(fd_, FIONREAD, &bytes) == 0 && bytes > 0) return Unread::kBytes;
  return PollNow(fd_, POLLIN) != 0 ? Unread::kEnd : Unread::kNothing;
}

Micros Stream::SinceLastReceived() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (!connected() || getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return 0;
  const Micros age = static_cast<Micros>(info.tcpi_last_data_recv) * 1'000;
  return age <= kMaxPlausibleAge ? age : 0;
}

bool Stream::PeerClosed() const {
  const Unread unread = Peek();
  if (unread != Unread::kBytes) return unread == Unread::kEnd;
  return (PollNow(fd_, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::ReadAllPending() {
  // The limit covers repeated failures of the calls; the loop reads what remains later.
  constexpr int kMaxReads = 64;
  for (int n = 0; n < kMaxReads && connected() && !reading_paused_ && Peek() != Unread::kNothing; ++n)
    ReadOnce();
}

bool Stream::ReadPending() {
  if (Peek() != Unread::kBytes) return false;
  ReadOnce();
  return true;  // also where the read failed on a shortage: the bytes are still there
}

// Returns the number of bytes sent. An error is not handled here; the next attempt gets it again.
std::size_t Stream::SendImmediately(std::string_view bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    sent += static_cast<std::size_t>(n);
  }
  bytes_sent_ += sent;
  return sent;
}

void Stream::Flush() {
  while (!send_queue_.empty()) {
    const auto front = send_queue_.Front();
    const ssize_t n = send(fd_, front.data(), front.size(), MSG_NOSIGNAL);
    if (n > 0) {
      bytes_sent_ += static_cast<std::uint64_t>(n);
      send_queue_.Drop(static_cast<std::size_t>(n));
    } else if (errno == EINTR) {
      continue;
    } else if (errno == EAGAIN) {
      return UpdateWatch();
    } else if (errno == ENOBUFS || errno == ENOMEM) {
      return PauseAfterShortage();
    } else {
      return End(Reason::kPeerReset);
    }
  }
  UpdateWatch();
  owner_.OnSent();
}

void Stream::End(Reason reason) {
  CloseSocket(finish_reason_.value_or(reason));
  owner_.OnEnd(reason);
}

void Stream::CloseSocket(Reason reason) {
  dial_timer_.Stop();
  retry_timer_.Stop();
  watch_.StopBeforeClose();
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  dialing_ = false;
  if (context_.log_connections)
    log::Event(
        log::Level::kInfo, "conn",
        {{"with", label_, true}, {"end", Code(reason)}, {"in", bytes_received_}, {"out", bytes_sent_}});
}

}  // namespace heronway::net
