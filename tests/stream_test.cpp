// One connection between two sockets of this process.
#include "src/net/stream.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace heronway::net {
namespace {

struct Quiet : Stream::Owner {
  void OnData(std::string_view) override {}
  void OnSent() override { ++sent; }
  void OnEnd(Reason reason) override { ended = reason; }
  int sent = 0;
  std::optional<Reason> ended;
};

struct Pair {
  explicit Pair(Shared& shared) {
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
  Shared shared{loop, pool, false};
  Pair slow(shared), reads(shared);
  while (pool.in_use() < kBuffers) slow.stream->Write(std::string(Buffer::kSize / 2, 's'));
  ASSERT_TRUE(slow.stream->open());
  reads.stream->Write("answer");
  EXPECT_TRUE(reads.stream->open());
  EXPECT_EQ(reads.Read(), "answer");
  EXPECT_EQ(reads.owner.sent, 1);
  EXPECT_FALSE(reads.owner.ended.has_value());
}

TEST(Stream, WhatTheSystemDoesNotTakeAtOnceComesInOrder) {
  BufferPool pool(1024);
  Loop loop;
  Shared shared{loop, pool, false};
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
