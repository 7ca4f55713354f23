// Runs a Membership core on sockets: one UDP socket and one TCP listener for exchanges, on the program's
// event loop. The core makes all decisions, and the node executes its effects. No call blocks, and resources
// are bounded: at most kMaxLinks exchange connections, each open for at most kLinkTimeout and with messages
// of at most kMaxExchangeBytes, and kDatagramsPerTurn datagrams read per turn of the loop.
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
  struct Callbacks {
    // Called when the quorum state or the smoothed number of schedulers has changed.
    std::function<void(QuorumState standing, int schedulers)> on_quorum_change;
    // Called when gossip about a target suggests an action; may be null.
    std::function<void(const TargetAdvice& advice)> on_advice = nullptr;
    int min_schedulers = 1;  // lower bound of the smoothed number of schedulers
  };
  static constexpr std::size_t kMaxLinks = 16;
  static constexpr std::size_t kMaxDescriptors = kMaxLinks + 2;  // reserved from the limit for clients
  static constexpr Micros kLinkTimeout = 5'000'000;
  static constexpr Micros kConnectTimeout = 1'000'000;
  static constexpr int kDatagramsPerTurn = 64;
  static constexpr Micros kDropLogInterval = 1'000'000;  // between log lines for the same reason
  static constexpr Micros kFleetSizeHalving =
      30'000'000;  // the number of schedulers falls at most by half in this

  // `name`, `zone`: the scheduler's, used if the options have none. Throws std::runtime_error if it cannot
  // listen, or if the name or zone is not allowed in messages.
  Node(net::StreamContext& shared, const Options& options, const std::string& name, const std::string& zone,
       const std::string& fronts, std::uint64_t seed, Callbacks callbacks);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Leave();  // announces a planned leave
  void Observe(const TargetObservation& observation) { Post(observation); }
  const Membership& core() const { return core_; }
  const std::string& fleet() const { return options_.fleet; }
  net::Address address() const { return bound_; }
  Micros Now() const { return shared_.loop.Now(); }
  int schedulers() const { return fleet_size_.size(); }
  std::size_t unused_connections() const { return kMaxLinks - std::min(kMaxLinks, links_.size()); }
  // Names and values of the cluster metrics.
  std::vector<std::pair<std::string, std::uint64_t>> Metrics() const;

 private:
  struct Link;
  const MemberRecord& OpenSockets(const std::string& name, const std::string& zone,
                                  const std::string& fronts);
  void Bind();
  void Post(Event event);
  void Execute(Effect& effect);
  void Send(const SendDatagram& send);
  void ReadDatagrams();
  void CountDrop(DropReason why, const net::Address& from);
  void UpdateSchedulerCount();
  bool EvictOldestLinkIfFull();
  void AcceptLink(int fd, const net::Address& from);
  void RemoveLink(Link& link, net::Reason reason);
  Link* FindLink(std::uint64_t id);

  net::StreamContext& shared_;
  Options options_;
  Callbacks callbacks_;
  int fd_ = -1;
  net::Address bound_{};
  MemberRecord self_;
  std::unique_ptr<net::Listener> listener_;
  Membership core_;
  SmoothedFleetSize fleet_size_;
  int reported_schedulers_ = 0;
  net::DescriptorWatch io_;
  net::Timer tick_;
  std::list<std::shared_ptr<Link>> links_;  // the oldest is at the front
  std::uint64_t last_link_ = 0;
  struct DropLog {
    std::uint64_t count = 0, logged = 0;
    Micros last = 0;
  };
  std::array<DropLog, kDropReasons> drop_logs_{};
  std::uint64_t datagrams_in_ = 0, datagrams_out_ = 0, bytes_in_ = 0, bytes_out_ = 0, datagrams_unsent_ = 0,
                duplicate_names_ = 0;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NET_NODE_H_
