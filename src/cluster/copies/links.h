// Replication connections between members: one in each direction for a pair, shared by all groups. Frames to
// a member that is unreachable or reads too slowly are dropped; the logs resend what they need.
#ifndef HERONWAY_CLUSTER_COPIES_LINKS_H_
#define HERONWAY_CLUSTER_COPIES_LINKS_H_

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "src/cluster/copies/frames.h"
#include "src/net/listener.h"

namespace heronway::cluster::copies {

class Links {
 public:
  static constexpr std::size_t kMaxInbound = 24;                   // connections accepted from other members
  static constexpr std::size_t kMaxOutbound = 24;                  // members to which frames are sent
  static constexpr std::size_t kMaxQueuedBytes = 4 * 1024 * 1024;  // unsent bytes for each member
  static constexpr net::Micros kHelloTimeout = 2'000'000;  // a connection without a hello frame is closed
  // A connection whose peer acknowledges nothing for this long is closed and dialled again.
  static constexpr net::Micros kAckTimeout = 3'000'000;
  static constexpr net::Micros kDialTimeout = 1'000'000, kRedialDelay = 250'000;
  // The file descriptors that are not available to clients.
  static constexpr std::size_t kDescriptors = kMaxInbound + kMaxOutbound + 1;

  struct Settings {
    std::string fleet, name;
    net::Address listen{};
    // By member: an address that takes precedence over the one that the member announces.
    std::map<std::string, net::Address> dial_addresses;
  };
  // Throws std::runtime_error if it cannot listen. `received` is called with each frame after the hello.
  Links(net::StreamContext& shared, const Settings& settings,
        std::function<void(const std::string& from, Frame)> received);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // Sets the address at which a member listens; the last call counts. An invalid address is ignored.
  void SetAddress(const std::string& member, const std::string& address);
  std::string AddressOf(const std::string& member) const;  // empty if not known
  void Send(const std::string& to, const Frame& frame);
  net::Address address() const { return listener_.address(); }
  bool IsConnected(const std::string& member) const;
  // How many more connections may be opened, in both directions. A member to which frames are sent counts
  // even while its connection is down.
  std::size_t unused_connections() const {
    return kMaxInbound + kMaxOutbound -
           std::min(kMaxInbound + kMaxOutbound, inbound_.size() + outbound_.size());
  }
  std::uint64_t frames_lost = 0, frames_malformed = 0, bytes_in = 0, bytes_out = 0;

 private:
  struct Inbound;
  struct Outbound;
  bool MakeRoom();
  void Dial(Outbound& out);
  void End(Outbound& out);
  void End(Inbound& in);

  net::StreamContext& shared_;
  Settings settings_;
  std::function<void(const std::string&, Frame)> received_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::unique_ptr<Outbound>> outbound_;
  std::list<std::shared_ptr<Inbound>> inbound_;  // oldest first
  net::Listener listener_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_LINKS_H_
