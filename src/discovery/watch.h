// Watches discovery: one call after another on one connection.
#ifndef HERONWAY_DISCOVERY_WATCH_H_
#define HERONWAY_DISCOVERY_WATCH_H_

#include <functional>
#include <memory>

#include "src/discovery/route_table.h"
#include "src/fronts/http/message.h"
#include "src/net/stream.h"

namespace heronway::discovery {

using net::Micros;

class Watch : public net::Stream::Owner {
 public:
  // `changed` gets each answer, empty ones too, and one kFailed when a call fails; then the watch rests until
  // it is started again: how long to back off is the module's to decide.
  Watch(net::Shared& shared, RouteTable& table, const net::Address& at,
        std::function<void(core::RoutesChanged)> changed);
  void Start();
  void Stop();
  // Turns to discovery at another address, at once: its whole list first, then the watch on it.
  void MoveTo(const net::Address& at);

  // How long discovery may hold a call that has nothing new, and how much longer an answer may take.
  static constexpr Micros kHold = 10'000'000, kPatience = 3'000'000;
  // A whole list is not held back. Until the first one of a new address is there, what it tells counts as
  // told all the same: it is asked again sooner than the module would.
  static constexpr Micros kListPatience = 1'500'000, kAskAgain = 200'000;
  static constexpr std::size_t kMostAnswer = 4 * 1024 * 1024;

 private:
  void Call();
  void Fail(std::optional<net::Reason> reason);
  void OnUp() override {}
  void OnData(std::string_view bytes) override;
  void OnEnd(net::Reason reason) override;

  net::Shared& shared_;
  RouteTable& table_;
  net::Address at_;
  std::function<void(core::RoutesChanged)> changed_;
  std::shared_ptr<net::Stream> stream_;
  std::unique_ptr<http::Reader> reader_;
  net::Timer patience_, again_;
  bool calling_ = false;
  bool moved_ = false;  // the list of a new address is still to come
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_WATCH_H_
