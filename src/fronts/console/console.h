// The operators' console: an HTTP/1.1 server on its own address for readiness, metrics and draining, with one
// request per connection. Requests are answered at once by the `Handler` that the owner passes in.
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

// Response to an operator's request.
struct Response {
  unsigned status = 404;
  std::string body;
};

// The console's listener and connections.
class Console {
 public:
  // Called for each complete request; returns its response.
  using Handler = std::function<Response(const http::Message& request)>;

  // Maximum number of open connections. Their descriptors, and one for the listener, are reserved for the
  // console.
  static constexpr std::size_t kMaxConnections = 8;
  std::size_t unused_connections() const {
    return kMaxConnections - std::min(kMaxConnections, connections_.size());
  }
  // Microseconds from connecting until a request must be complete, and again for reading the response. Keeps
  // silent connections from delaying others: clients usually wait 1 s for a response.
  static constexpr Micros kRequestTime = 500'000;
  static constexpr std::size_t kMaxRequestBytes = 4 * 1024;  // head and body

  // Throws std::runtime_error if it cannot listen on `at`.
  Console(net::StreamContext& context, const net::Address& at, Handler handler);
  ~Console();
  Console(const Console&) = delete;
  Console& operator=(const Console&) = delete;
  net::Address address() const { return listener_.address(); }

 private:
  struct Connection;
  bool FreeConnection(bool must);
  void OnAccepted(int fd, const net::Address& from);
  void Remove(Connection& connection, net::Reason reason);

  net::StreamContext& context_;
  Handler handler_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  net::Listener listener_;
};

}  // namespace heronway::console

#endif  // HERONWAY_FRONTS_CONSOLE_CONSOLE_H_
