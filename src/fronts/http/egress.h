// Connections to egress targets: one call at a time on each, kept for the next, closed before they go stale.
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

struct CallResult {
  enum class Kind {
    kResponse,
    kSendFailed,      // the connection never came up, or ended before the last byte had left
    kNoDescriptor,    // there was no descriptor for it: that tells nothing of the target
    kWithdrawn,       // it was not to be sent any more when it could leave, and was not
    kConnectionLost,  // it ended after that and before an answer
    kTimedOut         // the call's patience ran out
  };
  Kind kind = Kind::kSendFailed;
  Message message;
};

class Egress {
 public:
  struct Limits {
    Micros dial_timeout, conn_idle;
    std::size_t most_connections;
    std::function<std::size_t()> lent = nullptr;  // that it may have beyond these at this moment
  };
  using CallId = std::uint64_t;
  using Done = std::function<void(const CallResult&)>;
  // Gives a request's bytes in the moment in which they can leave; nothing where it must not be sent any
  // more: while a connection comes up its target may have begun to drain, or its client may have gone.
  using Compose = std::function<std::optional<std::string>()>;

  // How a dial ended: its connection is up, or the target's machine refused it.
  using Dialled = std::function<void(core::TargetId, bool came_up)>;

  Egress(net::StreamContext& shared, const Limits& limits, Dialled dialled = nullptr)
      : shared_(shared),
        limits_(limits),
        dialled_(std::move(dialled)),
        give_back_(shared.loop, [this] { GiveBack(); }) {}

  // Sends a request to a target; `done` is called once, from the loop, unless the call is closed.
  // `patience` 0: however long it takes. `harmless`: nothing is lost where the request is lost on the way.
  CallId Call(core::TargetId target, const net::Address& at, Compose compose, Micros patience, bool harmless,
              Done done);
  // Ends an unanswered call with its connection. True where its request had not left whole: then the target
  // never begins it. False where there is no such call.
  bool Close(CallId call);
  // Reads what has come for an unanswered call and waits for the loop's turn; the call may be over by it.
  void CatchUp(CallId call);
  // Nothing hangs on the answer any more: it is waited for no longer than this.
  void Expire(CallId call, Micros patience);
  std::size_t connections() const { return connections_.size(); }

  // A request that has not left in this time is taken back: its target may have drained meanwhile.
  static constexpr Micros kSendTimeout = 1'000'000;
  // After a kept connection broke under a request, hops go on new ones for this long.
  static constexpr Micros kDistrust = 120'000'000;
  // Until connections beyond what there may be are closed, where they are idle.
  static constexpr Micros kGiveBack = 100'000;

 private:
  struct Connection;
  void Begin(Connection& c, Compose compose, Micros patience, CallId id, Done done);
  void Finish(Connection& c, CallResult result, bool reusable);
  void Remove(Connection& c, net::Reason reason);
  bool MakeRoom();
  void GiveBack();
  std::size_t MostConnections() const {
    return limits_.most_connections + (limits_.lent ? limits_.lent() : 0);
  }
  bool Distrusts() const { return shared_.loop.Now() < distrust_until_; }

  net::StreamContext& shared_;
  Limits limits_;
  Dialled dialled_;
  net::Timer give_back_;
  std::list<std::shared_ptr<Connection>> connections_;
  std::unordered_map<core::TargetId, std::vector<Connection*>> idle_;  // the last used at the back
  std::unordered_map<CallId, Connection*> calls_;
  CallId last_call_ = 0;
  Micros distrust_until_ = 0;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_EGRESS_H_
