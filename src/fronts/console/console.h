// The operators' console: a second address where staff ask for readiness and metrics, and drain the
// scheduler or take it back into service. HTTP/1.1, one call a connection. It answers from what is held,
// at once, and decides nothing: the caller's `Handler` does, on the front and the reducer.
#ifndef HERONWAY_FRONTS_CONSOLE_CONSOLE_H_
#define HERONWAY_FRONTS_CONSOLE_CONSOLE_H_

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "src/fronts/http/message.h"
#include "src/net/listener.h"

namespace heronway::console {

using net::Micros;

struct Response {
  unsigned status = 404;
  std::string body;
};

class Console {
 public:
  using Handler = std::function<Response(const http::Message& call)>;

  // Descriptors that the console may hold at once, its listener left out; taken off the clients' share.
  static constexpr std::size_t kMaxConnections = 8;
  std::size_t unused_connections() const {
    return kMaxConnections - std::min(kMaxConnections, callers_.size());
  }
  // For a call to come in whole from connecting. Guards callers that connect and say nothing: a usual
  // caller waits 1 s for its answer, and does not wait for them.
  static constexpr Micros kRequestTime = 500'000;
  static constexpr std::size_t kMaxRequestBytes = 4 * 1024;  // head and body

  // Throws std::runtime_error where it cannot listen.
  Console(net::StreamContext& shared, const net::Address& at, Handler handler);
  ~Console();
  Console(const Console&) = delete;
  Console& operator=(const Console&) = delete;
  net::Address address() const { return listener_.address(); }

 private:
  struct Caller;
  bool MakeRoom(bool must);
  void Accepted(int fd, const net::Address& from);
  void Remove(Caller& caller, net::Reason reason);

  net::StreamContext& shared_;
  Handler handler_;
  std::list<std::shared_ptr<Caller>> callers_;  // the oldest in front
  net::Listener listener_;
};

}  // namespace heronway::console

#endif  // HERONWAY_FRONTS_CONSOLE_CONSOLE_H_
