// A member's sockets: where it listens when any port will do.
#include "src/cluster/net/node.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace heronway::cluster {
namespace {

// Ports of an address that are taken for connections alone, as any process's may be at any moment.
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

// About one port in thirty is taken: of 400 members some would ask for such a one.
TEST(Node, AnyPortIsOneThatIsFreeForBothSockets) {
  net::BufferPool pool(64);
  net::Loop loop;
  net::Shared shared{loop, pool, false};
  Options options;
  options.enabled = true;
  options.fleet = "f";
  options.listen = options.advertise = *net::ParseAddress("127.61.7.3:0");
  const OccupiedPorts taken(options.listen, 900);
  ASSERT_GT(taken.count(), 700u);
  for (int n = 0; n < 400; ++n) {
    Node node(shared, options, "s", "", "", 1, Node::Callbacks{});
    EXPECT_NE(node.address().sin_port, 0);
  }
}

TEST(Node, APortThatIsTakenIsAFaultThatNamesTheKey) {
  net::BufferPool pool(64);
  net::Loop loop;
  net::Shared shared{loop, pool, false};
  Options options;
  options.enabled = true;
  options.fleet = "f";
  options.listen = options.advertise = *net::ParseAddress("127.61.7.4:0");
  const Node first(shared, options, "s", "", "", 1, Node::Callbacks{});
  options.listen = options.advertise = first.address();
  try {
    Node second(shared, options, "t", "", "", 2, Node::Callbacks{});
    FAIL() << "both listen at one address";
  } catch (const std::runtime_error& e) {
    EXPECT_EQ(std::string(e.what()).rfind("cluster.listen: cannot listen at 127.61.7.4:", 0), 0u) << e.what();
  }
}

}  // namespace
}  // namespace heronway::cluster
