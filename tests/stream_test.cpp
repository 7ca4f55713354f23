// One connection between two sockets of this process.
#include "src/net/stream.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "src/net/listener.h"

namespace {
int watches_to_fail = 0;  // of the next calls
}

// Takes the place of the system's for this test alone, libev's calls included.
extern "C" int epoll_ctl(int epoll, int what, int fd, epoll_event* event) noexcept {
  if (what == EPOLL_CTL_DEL || watches_to_fail == 0)
    return static_cast<int>(syscall(SYS_epoll_ctl, epoll, what, fd, event));
  --watches_to_fail;
  errno = ENOMEM;
  return -1;
}

namespace heronway::net {
namespace {

struct Quiet : Stream::Owner {
  void OnData(std::string_view bytes) override { read += bytes; }
  void OnSent() override { ++sent; }
  void OnEnd(Reason reason) override { ended = reason; }
  std::string read;
  int sent = 0;
  std::optional<Reason> ended;
};

struct Pair {
  explicit Pair(StreamContext& shared) {
    std::array<int, 2> fds{};
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds.data()), 0);
    peer = fds[1];
    stream = std::make_unique<Stream>(shared, fds[0], "test", owner);
  }
  ~Pair() { close(peer); }
  std::string Read() const {
    std::string bytes(1 << 20, '\0');
    const ssize_t n = recv(peer, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return bytes;
  }
  Quiet owner;
  int peer = -1;
  std::unique_ptr<Stream> stream;
};

// Clients that do not read what they asked for hold every buffer there is. Whoever reads has its answer all
// the same: before, a write without a buffer ended the connection, and the answer with it.
TEST(Stream, AnAnswerThatTheSystemTakesAtOnceNeedsNoBuffer) {
  constexpr std::size_t kBuffers = 4;
  BufferPool pool(kBuffers);
  Loop loop;
  StreamContext shared{loop, pool, false};
  Pair slow(shared), reads(shared);
  while (pool.in_use() < kBuffers) slow.stream->Write(std::string(Buffer::kSize / 2, 's'));
  ASSERT_TRUE(slow.stream->open());
  reads.stream->Write("answer");
  EXPECT_TRUE(reads.stream->open());
  EXPECT_EQ(reads.Read(), "answer");
  EXPECT_EQ(reads.owner.sent, 1);
  EXPECT_FALSE(reads.owner.ended.has_value());
}

// The system lacks memory to watch a connection for a moment. libev gives its descriptor up then, and before,
// nothing that came on the connection was read any more, and nobody new was accepted.
TEST(Stream, ADescriptorThatCouldNotBeWatchedIsWatchedAgain) {
  BufferPool pool(16);
  Loop loop;
  StreamContext shared{loop, pool, false};
  watches_to_fail = 2;
  Pair pair(shared);
  int accepted = 0;
  Listener listener(
      loop, *ParseAddress("127.0.0.1:0"), {}, [](bool) { return true; },
      [&accepted](int fd, const Address&) {
        ++accepted;
        close(fd);
      });
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  Timer comes(loop, [&] {  // after libev has given both up
    const Address to = listener.address();
    EXPECT_EQ(connect(client, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    EXPECT_EQ(send(pair.peer, "request", 7, 0), 7);
  });
  comes.Start(50'000);
  Timer end(loop, [&loop] { loop.Stop(); });
  end.Start(200'000);
  // libev tells of it at its next turn, as any process that serves has soon.
  Timer other(loop, [&other] { other.Start(10'000); });
  other.Start(10'000);
  loop.Run();
  EXPECT_EQ(watches_to_fail, 0);
  EXPECT_EQ(pair.owner.read, "request");
  EXPECT_EQ(accepted, 1);
  close(client);
}

// The system cannot watch for room while an answer waits for it. libev takes what it asked for as had then,
// asks for it a second time in vain, and before, the rest of the answer never left.
TEST(Stream, AnAnswerThatWaitsForRoomLeavesThoughItCouldNotBeWatchedForAMoment) {
  BufferPool pool(1024);
  Loop loop;
  StreamContext shared{loop, pool, false};
  Pair pair(shared);
  loop.RunOnce();
  const std::string answer(400'000, 'a');
  watches_to_fail = 1;
  pair.stream->Write(answer);
  std::string got;
  Timer reads(loop, [&] {  // after the watch has failed
    got += pair.Read();
    got.size() < answer.size() ? reads.Start(5'000) : loop.Stop();
  });
  reads.Start(50'000);
  Timer end(loop, [&loop] { loop.Stop(); });
  end.Start(2'000'000);
  loop.Run();
  EXPECT_EQ(watches_to_fail, 0);
  EXPECT_EQ(got.size(), answer.size());
}

// Signals and other threads reach the loop by a descriptor as well. Before, it was libev's own, and where the
// system could not watch that one for a moment they were never heard of again: SIGTERM was passed over.
TEST(Loop, SignalsAndThreadsAreHeardThoughTheirDescriptorCouldNotBeWatchedForAMoment) {
  watches_to_fail = 1;
  Loop loop;
  int caught = 0, woken = 0;
  Signal signal(loop, SIGUSR2, [&caught] { ++caught; });
  Wakeup wakeup(loop, [&woken] { ++woken; });
  Timer comes(loop, [&] {
    EXPECT_EQ(watches_to_fail, 0);
    raise(SIGUSR2);
    std::thread([&wakeup] { wakeup.Notify(); }).join();
  });
  comes.Start(50'000);
  Timer end(loop, [&loop] { loop.Stop(); });
  end.Start(300'000);
  loop.Run();
  EXPECT_EQ(caught, 1);
  EXPECT_EQ(woken, 1);
}

TEST(Stream, WhatTheSystemDoesNotTakeAtOnceComesInOrder) {
  BufferPool pool(1024);
  Loop loop;
  StreamContext shared{loop, pool, false};
  Pair pair(shared);
  std::string all, got;
  for (int n = 0; n < 400; ++n) {
    const std::string part = std::to_string(n) + std::string(2'000, ' ');
    pair.stream->Write(part);
    all += part;
  }
  EXPECT_GT(pool.in_use(), 0u) << "more than the system holds";
  for (int n = 0; n < 1'000 && got.size() < all.size(); ++n) {
    got += pair.Read();
    loop.RunOnce();
  }
  EXPECT_EQ(got, all);
  EXPECT_EQ(pool.in_use(), 0u);
}

}  // namespace
}  // namespace heronway::net
