// Connection pool towards egress targets: one call at a time on each connection, reuse by later calls, and
// closing of idle connections before the target does.
#ifndef HERONWAY_FRONTS_HTTP_EGRESS_H_
#define HERONWAY_FRONTS_HTTP_EGRESS_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/core/reducer.h"
#include "src/fronts/http/message.h"
#include "src/net/stream.h"

namespace heronway::http {

using net::Micros;

// Outcome of a call to a target.
struct CallResult {
  enum class Kind {
    kResponse,        // `message` is the response
    kSendFailed,      // the connection failed before the whole request was sent
    kNoDescriptor,    // no descriptor was available; says nothing about the target
    kWithdrawn,       // the request was no longer valid when the connection was ready, and was not sent
    kConnectionLost,  // the connection ended after the request was sent and before a response
    kTimedOut         // the response timeout expired
  };
  Kind kind = Kind::kSendFailed;
  Message message;
};

// The connections to all targets. Not thread-safe; used on the event loop's thread.
class Egress {
 public:
  struct Limits {
    Micros dial_timeout, conn_idle;
    std::size_t max_connections;
    // Number of connections currently allowed in addition; may be null.
    std::function<std::size_t()> borrowable = nullptr;
  };
  using CallId = std::uint64_t;
  using Done = std::function<void(const CallResult&)>;
  // Returns the request's bytes once the connection is ready to send them, or nullopt if the request must not
  // be sent any more: while the connection was established, the target may have started to drain or the
  // client may have disconnected.
  using ComposeRequest = std::function<std::optional<std::string>()>;

  // Reports the end of a connection attempt: established (`came_up`), or refused by the target's machine.
  using DialEnded = std::function<void(core::TargetId, bool came_up)>;

  Egress(net::StreamContext& context, const Limits& limits, DialEnded dial_ended = nullptr)
      : context_(context),
        limits_(limits),
        dial_ended_(std::move(dial_ended)),
        close_borrowed_(context.loop, [this] { CloseBorrowed(); }) {}

  // Sends a request to a target. `done` is called once, unless the call is cancelled; this may happen before
  // Call returns, if a reused connection fails during the write. `response_timeout` is in microseconds; 0
  // means no limit. `loss_harmless`: losing the request in transit does no harm, so any kept connection may
  // be reused.
  CallId Call(core::TargetId target, const net::Address& at, ComposeRequest compose, Micros response_timeout,
              bool loss_harmless, Done done);
  // Cancels an unanswered call by closing its connection. Returns true if the request had not been sent
  // completely, so that the target never starts it; false otherwise or if there is no such call.
  bool Cancel(CallId call);
  // Reads data that has arrived for an unanswered call but is not read yet. This may complete the call.
  void ReadPendingData(CallId call);
  // Limits the remaining wait for a response that is no longer needed, in microseconds.
  void SetResponseTimeout(CallId call, Micros response_timeout);
  std::size_t connections() const { return connections_.size(); }

  // A request that could not be sent within this time is cancelled: its target may have started to drain
  // since.
  static constexpr Micros kSendTimeout = 1'000'000;
  // After a reused connection failed during a request, hops use new connections for this long.
  static constexpr Micros kAvoidReuseTime = 120'000'000;
  // Interval at which idle connections beyond the current limit are closed.
  static constexpr Micros kCloseBorrowedInterval = 100'000;

 private:
  struct Connection;
  void Begin(Connection& c, ComposeRequest compose, Micros response_timeout, CallId id, Done done);
  void Finish(Connection& c, CallResult result, bool reusable);
  void Remove(Connection& c, net::Reason reason);
  bool CloseOldestIdle();
  void CloseBorrowed();
  std::size_t MostConnections() const {
    return limits_.max_connections + (limits_.borrowable ? limits_.borrowable() : 0);
  }
  bool AvoidsReuse() const { return context_.loop.Now() < avoid_reuse_until_; }

  net::StreamContext& context_;
  Limits limits_;
  DialEnded dial_ended_;
  net::Timer close_borrowed_;
  std::list<std::shared_ptr<Connection>> connections_;
  // per target, most recently used last
  std::unordered_map<core::TargetId, std::vector<Connection*>> idle_;
  std::unordered_map<CallId, Connection*> calls_;
  CallId last_call_ = 0;
  Micros avoid_reuse_until_ = 0;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_EGRESS_H_
