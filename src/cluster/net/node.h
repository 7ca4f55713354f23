// A member on sockets: one UDP socket, one TCP listener for exchanges, on the program's loop. It decides
// nothing: the core does, and this carries out its effects. Nothing it does blocks, and all it holds is
// bounded: kMostLinks exchanges, each for kLinkTime and kMostExchange bytes; kDatagramsATurn read a turn.
#ifndef HERONWAY_CLUSTER_NET_NODE_H_
#define HERONWAY_CLUSTER_NET_NODE_H_

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/cluster/membership/membership.h"
#include "src/cluster/net/codec.h"
#include "src/cluster/net/options.h"
#include "src/net/listener.h"

namespace heronway::cluster {

class Node {
 public:
  struct Host {
    // The standing, or the number of schedulers to reckon with, has changed.
    std::function<void(Standing standing, int schedulers)> seen;
    // Others' news of a worker call for a look.
    std::function<void(const Hint& hint)> hinted = nullptr;
    int least_schedulers = 1;  // the number never falls below
  };
  static constexpr std::size_t kMostLinks = 16;
  static constexpr std::size_t kDescriptors = kMostLinks + 2;  // to be taken off the clients' share
  static constexpr Micros kLinkTime = 5'000'000;
  static constexpr Micros kDialTime = 1'000'000;
  static constexpr int kDatagramsATurn = 64;
  static constexpr Micros kDropLogEvery = 1'000'000;  // a line a reason
  static constexpr Micros kSizeHalving = 30'000'000;  // of the number of schedulers, at most

  // `name`, `zone`: the scheduler's, where the options have none. Throws std::runtime_error where it cannot
  // listen, and where a name cannot be told.
  Node(net::Shared& shared, const Options& options, const std::string& name, const std::string& zone,
       const std::string& fronts, std::uint64_t seed, Host host);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Leave();
  void SawWorker(const cluster::SawWorker& saw) { Post(saw); }
  const Membership& core() const { return core_; }
  const std::string& fleet() const { return options_.fleet; }
  net::Address address() const { return bound_; }
  Micros Now() const { return shared_.loop.Now(); }
  int schedulers() const { return size_.size(); }
  std::size_t unused_connections() const { return kMostLinks - std::min(kMostLinks, links_.size()); }
  // For the figures: NAME and value.
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;

 private:
  struct Link;
  const Record& Open(const std::string& name, const std::string& zone, const std::string& fronts);
  void Bind();
  void Post(Event event);
  void Carry(Effect& effect);
  void Send(const SendDatagram& send);
  void ReadSome();
  void Dropped(Drop why, const net::Address& from);
  void LookAtSize();
  bool MakeRoom();
  void Accepted(int fd, const net::Address& from);
  void Remove(Link& link, net::Reason reason);
  Link* Find(std::uint64_t id);

  net::Shared& shared_;
  Options options_;
  Host host_;
  int fd_ = -1;
  net::Address bound_{};
  Record self_;
  std::unique_ptr<net::Listener> listener_;
  Membership core_;
  FleetSize size_;
  int told_size_ = 0;
  net::DescriptorWatch io_;
  net::Timer tick_;
  std::list<std::shared_ptr<Link>> links_;  // the oldest in front
  std::uint64_t last_link_ = 0;
  struct Drops {
    std::uint64_t count = 0, told = 0;
    Micros last = 0;
  };
  std::array<Drops, kDrops> drops_{};
  std::uint64_t in_ = 0, out_ = 0, bytes_in_ = 0, bytes_out_ = 0, unsent_ = 0, twins_ = 0;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NET_NODE_H_
