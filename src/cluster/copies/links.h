// Connections between members for their copies: one each way a pair, however many groups share it. What is
// sent to a member that cannot be reached, or that reads too slowly, is lost: logs send again what matters.
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
  static constexpr std::size_t kMaxInbound = 24;                   // connections that others began
  static constexpr std::size_t kMaxOutbound = 24;                  // members that are spoken to
  static constexpr std::size_t kMaxQueuedBytes = 4 * 1024 * 1024;  // bytes not sent yet, of each
  static constexpr net::Micros kHelloTimeout = 2'000'000;          // a connection that says nobody is ended
  static constexpr net::Micros kAckTimeout =
      3'000'000;  // a connection whose other end takes nothing is begun anew
  static constexpr net::Micros kDialTimeout = 1'000'000, kRedialDelay = 250'000;
  static constexpr std::size_t kDescriptors =
      kMaxInbound + kMaxOutbound + 1;  // to be taken off the clients' share

  struct Settings {
    std::string fleet, name;
    net::Address listen{};
    std::map<std::string, net::Address>
        dial_addresses;  // by member: the way there, before where it says that it is
  };
  // Throws std::runtime_error where it cannot listen.
  Links(net::StreamContext& shared, const Settings& settings,
        std::function<void(const std::string& from, Frame)> received);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // Where a member listens; the last word counts.
  void SetAddress(const std::string& member, const std::string& address);
  std::string AddressOf(const std::string& member) const;  // empty: not known
  void Send(const std::string& to, const Frame& frame);
  net::Address address() const { return listener_.address(); }
  bool IsConnected(const std::string& member) const;
  // In either direction; a member that is spoken to counts whether or not its connection is up.
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
  std::list<std::shared_ptr<Inbound>> inbound_;  // the oldest in front
  net::Listener listener_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_LINKS_H_
