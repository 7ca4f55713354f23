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
  static constexpr std::size_t kMostIn = 24;                    // connections that others began
  static constexpr std::size_t kMostOut = 24;                   // members that are spoken to
  static constexpr std::size_t kMostWaiting = 4 * 1024 * 1024;  // bytes not sent yet, of each
  static constexpr net::Micros kGreets = 2'000'000;             // a connection that says nobody is ended
  static constexpr net::Micros kSilent =
      3'000'000;  // a connection whose other end takes nothing is begun anew
  static constexpr net::Micros kDials = 1'000'000, kDialsAgain = 250'000;
  static constexpr std::size_t kDescriptors = kMostIn + kMostOut + 1;  // to be taken off the clients' share

  struct Settings {
    std::string fleet, name;
    net::Address listen{};
    std::map<std::string, net::Address> reach;  // by member: the way there, before where it says that it is
  };
  // Throws std::runtime_error where it cannot listen.
  Links(net::Shared& shared, const Settings& settings,
        std::function<void(const std::string& from, Frame)> received);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // Where a member listens; the last word counts.
  void Place(const std::string& member, const std::string& at);
  std::string PlaceOf(const std::string& member) const;  // empty: not known
  void Send(const std::string& to, const Frame& frame);
  net::Address address() const { return listener_.address(); }
  bool Up(const std::string& member) const;
  // In either direction; a member that is spoken to counts whether or not its connection is up.
  std::size_t unused_connections() const {
    return kMostIn + kMostOut - std::min(kMostIn + kMostOut, ins_.size() + outs_.size());
  }
  std::uint64_t lost = 0, malformed = 0, bytes_in = 0, bytes_out = 0;

 private:
  struct In;
  struct Out;
  bool MakeRoom();
  void Dial(Out& out);
  void Over(Out& out);
  void Over(In& in);

  net::Shared& shared_;
  Settings settings_;
  std::function<void(const std::string&, Frame)> received_;
  std::map<std::string, std::string> places_;
  std::map<std::string, std::unique_ptr<Out>> outs_;
  std::list<std::shared_ptr<In>> ins_;  // the oldest in front
  net::Listener listener_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_LINKS_H_
