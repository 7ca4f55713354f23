// Tests of a member's sockets: binding with port 0 and to a port in use.
#include "src/cluster/net/node.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace heronway::cluster {
namespace {

// Occupies TCP ports of an address, as connections of other processes may.
class OccupiedPorts {
 public:
  OccupiedPorts(const net::Address& callbacks, int count) {
    for (int n = 0; n < count; ++n) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&callbacks), sizeof callbacks) != 0) {
        if (fd >= 0) close(fd);
        return;
      }
      fds_.push_back(fd);
    }
  }
  ~OccupiedPorts() {
    for (const int fd : fds_) close(fd);
  }
  std::size_t count() const { return fds_.size(); }

 private:
  std::vector<int> fds_;
};

// About one port in thirty is occupied for TCP only, so some of the 400 members are offered such a port.
TEST(Node, PortZeroPicksAPortFreeForBothSockets) {
  net::BufferPool pool(64);
  net::Loop loop;
  net::StreamContext shared{loop, pool, false};
  Options options;
  options.enabled = true;
  options.fleet = "f";
  options.listen = options.advertise = *net::ParseAddress("127.61.7.3:0");
  const OccupiedPorts occupied(options.listen, 900);
  ASSERT_GT(occupied.count(), 700u);
  for (int n = 0; n < 400; ++n) {
    Node node(shared, options, "s", "", "", 1, Node::Callbacks{});
    EXPECT_NE(node.address().sin_port, 0);
  }
}

TEST(Node, ErrorForAPortInUseNamesTheKey) {
  net::BufferPool pool(64);
  net::Loop loop;
  net::StreamContext shared{loop, pool, false};
  Options options;
  options.enabled = true;
  options.fleet = "f";
  options.listen = options.advertise = *net::ParseAddress("127.61.7.4:0");
  const Node first(shared, options, "s", "", "", 1, Node::Callbacks{});
  options.listen = options.advertise = first.address();
  try {
    Node second(shared, options, "t", "", "", 2, Node::Callbacks{});
    FAIL() << "both nodes listen at the same address";
  } catch (const std::runtime_error& e) {
    EXPECT_EQ(std::string(e.what()).rfind("cluster.listen: cannot listen at 127.61.7.4:", 0), 0u) << e.what();
  }
}

}  // namespace
}  // namespace heronway::cluster
