#include "src/fronts/http/egress.h"

#include <algorithm>
#include <utility>

namespace heronway::http {

struct Egress::Connection : net::Stream::Owner {
  Connection(Egress& owner, core::TargetId to, const net::Address& address)
      : egress(owner),
        target(to),
        at(address),
        reader(HTTP_RESPONSE, kMaxBodyBytes),
        timer(owner.context_.loop, [this] { OnTimer(); }),
        stream(owner.context_, address, owner.limits_.dial_timeout, "egress " + net::ToText(address), *this) {
  }

  void OnConnected() override {
    if (call != 0) SendRequest();
    if (egress.dial_ended_) egress.dial_ended_(target, true);  // the callback may close this connection
  }
  void SendRequest() {
    const auto bytes = std::exchange(compose, nullptr)();
    // Reported from the event loop, like every other outcome of a call.
    if (!bytes) return timer.Start(0);
    request_written = true;
    timer.Start(kSendTimeout);
    stream.Write(*bytes);
  }
  void OnSent() override {
    if (call == 0) return;
    timer.Stop();
    if (response_timeout > 0) timer.Start(response_timeout);
  }
  void OnData(std::string_view bytes) override {
    std::size_t used = 0;
    const ParseState state = reader.Feed(bytes, used);
    if (call == 0) return egress.Remove(*this, net::Reason::kProtocol);  // a response without a request
    if (state == ParseState::kIncomplete) return;
    if (state != ParseState::kComplete)
      return egress.Finish(*this, {CallResult::Kind::kConnectionLost, {}}, false);
    Message answer = reader.TakeMessage();
    const bool reusable = answer.keep_alive && used == bytes.size() && stream.all_sent();
    egress.Finish(*this, {CallResult::Kind::kResponse, std::move(answer)}, reusable);
  }
  void OnEnd(net::Reason) override {
    if (stream.connection_refused() && egress.dial_ended_) egress.dial_ended_(target, false);
    if (call != 0 && reused) egress.avoid_reuse_until_ = egress.context_.loop.Now() + kAvoidReuseTime;
    // Once the last byte has been sent, the target may have run the request; before that, it cannot have.
    egress.Finish(
        *this, {fully_sent() ? CallResult::Kind::kConnectionLost : CallResult::Kind::kSendFailed, {}}, false);
  }
  void OnTimer() {
    if (call == 0) return egress.Remove(*this, net::Reason::kIdle);
    if (!request_written) return egress.Finish(*this, {CallResult::Kind::kWithdrawn, {}}, true);
    egress.Finish(*this, {fully_sent() ? CallResult::Kind::kTimedOut : CallResult::Kind::kSendFailed, {}},
                  false);
  }
  bool fully_sent() const { return request_written && stream.all_sent(); }

  Egress& egress;
  core::TargetId target;
  net::Address at;
  MessageParser reader;
  net::Timer timer;  // limits sending, then the wait for the response, or the idle time
  net::Stream stream;
  CallId call = 0;         // 0: idle
  ComposeRequest compose;  // null once the request has been written
  bool request_written = false;
  Micros response_timeout = 0;
  Done done;
  bool reused = false;
};

Egress::CallId Egress::Call(core::TargetId target, const net::Address& at, ComposeRequest compose,
                            Micros response_timeout, bool loss_harmless, Done done) {
  const CallId id = ++last_call_;
  auto& idle = idle_[target];
  // Avoids idle connections that targets or middleboxes have dropped silently: a hop lost on one may have
  // run, while a new connection costs only a few milliseconds. Such conditions are not announced; the first
  // failure of a reused connection reveals them.
  while (!idle.empty() && (loss_harmless || !AvoidsReuse())) {
    Connection& c = *idle.back();
    idle.pop_back();
    // The target's close or late bytes of an earlier response may have arrived and not been read yet; a
    // request sent now would be reset or matched with the wrong response.
    const net::Stream::Unread unread = c.stream.Peek();
    if (net::SameAddress(c.at, at) && unread == net::Stream::Unread::kNothing) {
      c.reused = true;
      Begin(c, std::move(compose), response_timeout, id, std::move(done));
      return id;
    }
    Remove(c, unread == net::Stream::Unread::kEnd     ? net::Reason::kPeerClosed
              : unread == net::Stream::Unread::kBytes ? net::Reason::kProtocol
                                                      : net::Reason::kReplaced);
  }
  if (connections_.size() >= MostConnections() && !CloseOldestIdle()) {
    // Reported from the event loop, like every other outcome of a call.
    auto timer = std::make_shared<std::unique_ptr<net::Timer>>();
    *timer = std::make_unique<net::Timer>(context_.loop, [this, timer, done = std::move(done)] {
      auto keep = std::move(*timer);
      done({CallResult::Kind::kNoDescriptor, {}});
      context_.loop.DestroyLater(std::shared_ptr<net::Timer>(std::move(keep)));
    });
    (*timer)->Start(0);
    return id;
  }
  connections_.push_back(std::make_shared<Connection>(*this, target, at));
  if (connections_.size() > limits_.max_connections && !close_borrowed_.running())
    close_borrowed_.Start(kCloseBorrowedInterval);
  Begin(*connections_.back(), std::move(compose), response_timeout, id, std::move(done));
  return id;
}

void Egress::Begin(Connection& c, ComposeRequest compose, Micros response_timeout, CallId id, Done done) {
  c.call = id;
  c.compose = std::move(compose);
  c.request_written = false;
  c.response_timeout = response_timeout;
  c.done = std::move(done);
  calls_[id] = &c;
  c.timer.Stop();
  if (c.stream.connected()) c.SendRequest();
}

bool Egress::Cancel(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return false;
  Connection& c = *it->second;
  const bool not_fully_sent = !c.fully_sent();
  calls_.erase(it);
  Remove(c, net::Reason::kCancelled);
  return not_fully_sent;
}

void Egress::ReadPendingData(CallId call) {
  const auto it = calls_.find(call);
  if (it != calls_.end()) it->second->stream.ReadAllPending();
}

void Egress::SetResponseTimeout(CallId call, Micros response_timeout) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  it->second->response_timeout = response_timeout;
  if (it->second->fully_sent()) it->second->timer.Start(response_timeout);
}

void Egress::Finish(Connection& c, CallResult result, bool reusable) {
  const CallId call = std::exchange(c.call, 0);
  Done done = std::move(c.done);
  c.done = nullptr;
  c.compose = nullptr;
  calls_.erase(call);
  if (reusable && (!AvoidsReuse() || idle_[c.target].empty())) {
    idle_[c.target].push_back(&c);
    // Closes the connection well before the target's idle timeout, which started slightly earlier: a request
    // written as the target closes would be reset.
    c.timer.Start(limits_.conn_idle * 2 / 5);
  } else {
    Remove(c, result.kind == CallResult::Kind::kResponse     ? net::Reason::kAnswered
              : result.kind == CallResult::Kind::kTimedOut   ? net::Reason::kNoAnswer
              : result.kind == CallResult::Kind::kSendFailed ? net::Reason::kConnectFailed
              : result.kind == CallResult::Kind::kWithdrawn  ? net::Reason::kCancelled
                                                             : net::Reason::kBadMessage);
  }
  if (done) done(result);
}

void Egress::Remove(Connection& c, net::Reason reason) {
  c.timer.Stop();
  c.stream.Close(reason);
  std::erase(idle_[c.target], &c);
  const auto it =
      std::find_if(connections_.begin(), connections_.end(), [&c](const auto& p) { return p.get() == &c; });
  if (it == connections_.end()) return;
  context_.loop.DestroyLater(std::move(*it));
  connections_.erase(it);
}

// Closes idle connections that use borrowed descriptors once their owners need them.
void Egress::CloseBorrowed() {
  const std::size_t most = MostConnections();
  while (connections_.size() > most && CloseOldestIdle()) {
  }
  if (connections_.size() > limits_.max_connections) close_borrowed_.Start(kCloseBorrowedInterval);
}

// Closes the oldest idle connection of any target. Returns false if there is none.
bool Egress::CloseOldestIdle() {
  for (const auto& c : connections_) {
    if (c->call != 0) continue;
    Remove(*c, net::Reason::kEvicted);
    return true;
  }
  return false;
}

}  // namespace heronway::http
