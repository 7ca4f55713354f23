// The front for the platform's protocol: client requests, call-backs and /ready on one address; hops as HTTP
// requests to the egress targets. It translates, and decides nothing.
#ifndef HERONWAY_FRONTS_HTTP_FRONT_H_
#define HERONWAY_FRONTS_HTTP_FRONT_H_

#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "src/config/config.h"
#include "src/discovery/watch.h"
#include "src/fronts/http/egress.h"
#include "src/net/driver.h"
#include "src/net/listener.h"

namespace heronway::http {

class Front {
 public:
  Front(net::Shared& shared, const config::Config& config, std::function<void()> drained);
  ~Front();
  void Drain();
  void MoveDiscovery(const net::Address& at);  // its list replaces the present one once it is there
  void PrintCounters() const;
  const core::Reducer& reducer() const { return driver_.reducer(); }
  net::Address address() const { return listener_.address(); }

  // Bounds on what a poor link may hold.
  static constexpr Micros kRequestTime = 30'000'000;  // for a request to come in whole
  static constexpr Micros kReadTime = 15'000'000;     // for an answer to be read
  static constexpr Micros kLinger = 2'000'000;        // for a peer to end, once it was told that it must
  static constexpr Micros kIdleTime = 60'000'000;
  static constexpr Micros kTellTimeout = 300'000;  // for a target to hear that a hop is called off
  static constexpr Micros kProbeTimeout = 300'000;

 private:
  struct Ingress;
  struct Pending {  // a request that has no answer yet
    Ingress* from;
    std::string id;
    Message message;
  };

  void Accepted(int fd, const net::Address& from);
  bool MakeRoom(bool must);
  void Serve(Ingress& in, Message message);
  void TakeRequest(Ingress& in, Message message);
  void TakeNews(Ingress& in, const Message& message);
  void Gone(Ingress& in);
  void Remove(Ingress& in, net::Reason reason);

  void Execute(core::Effect& effect);
  void Do(core::SendHop& e);
  void Do(core::CallOffHop& e);
  void Do(core::Answer& e);
  void Do(core::StartProbe& e);
  void HopReplied(core::Ticket ticket, int hop, const Reply& reply);
  std::optional<pebblenotch::Report> ReadLoad(std::string_view text) const;
  std::optional<pebblenotch::Report> ToReport(const std::map<std::string, double>& values) const;

  net::Shared& shared_;
  const config::Config& config_;
  std::function<void()> drained_;
  discovery::RouteTable routes_;
  Egress egress_;
  net::Driver driver_;
  discovery::Watch watch_;
  net::Listener listener_;
  net::Timer close_idle_;  // while draining

  std::list<std::shared_ptr<Ingress>> ingress_;  // the last used at the back
  std::size_t most_ingress_, most_bytes_;
  std::unordered_map<core::Ticket, Pending> pending_;
  std::size_t pending_bytes_ = 0;
  std::map<std::pair<core::Ticket, int>, Egress::CallId> calls_;  // hops that no target has taken yet
  core::Ticket last_ticket_ = 0;
  std::uint64_t news_ = 0, turned_away_ = 0, malformed_ = 0;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_FRONT_H_
