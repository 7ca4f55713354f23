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
        timer(owner.shared_.loop, [this] { OnTimer(); }),
        stream(owner.shared_, address, owner.limits_.dial_timeout, "egress " + net::ToText(address), *this) {}

  void OnConnected() override {
    if (call != 0) Depart();
    if (egress.dialled_) egress.dialled_(target, true);  // it may end this connection
  }
  void Depart() {
    const auto bytes = std::exchange(compose, nullptr)();
    // Told from the loop, as every other end of a call.
    if (!bytes) return timer.Start(0);
    departed = true;
    timer.Start(kSendTimeout);
    stream.Write(*bytes);
  }
  void OnSent() override {
    if (call == 0) return;
    timer.Stop();
    if (patience > 0) timer.Start(patience);
  }
  void OnData(std::string_view bytes) override {
    std::size_t used = 0;
    const ParseState state = reader.Feed(bytes, used);
    if (call == 0) return egress.Remove(*this, net::Reason::kProtocol);  // nobody asked
    if (state == ParseState::kIncomplete) return;
    if (state != ParseState::kComplete)
      return egress.Finish(*this, {CallResult::Kind::kConnectionLost, {}}, false);
    Message answer = reader.TakeMessage();
    const bool reusable = answer.keep_alive && used == bytes.size() && stream.all_sent();
    egress.Finish(*this, {CallResult::Kind::kResponse, std::move(answer)}, reusable);
  }
  void OnEnd(net::Reason) override {
    if (stream.connection_refused() && egress.dialled_) egress.dialled_(target, false);
    if (call != 0 && reused) egress.distrust_until_ = egress.shared_.loop.Now() + kDistrust;
    // Guards the line between "never ran" and "may have run": the last byte's leaving.
    egress.Finish(*this, {gone_out() ? CallResult::Kind::kConnectionLost : CallResult::Kind::kSendFailed, {}},
                  false);
  }
  void OnTimer() {
    if (call == 0) return egress.Remove(*this, net::Reason::kIdle);
    if (!departed) return egress.Finish(*this, {CallResult::Kind::kWithdrawn, {}}, true);
    egress.Finish(*this, {gone_out() ? CallResult::Kind::kTimedOut : CallResult::Kind::kSendFailed, {}},
                  false);
  }
  bool gone_out() const { return departed && stream.all_sent(); }

  Egress& egress;
  core::TargetId target;
  net::Address at;
  MessageParser reader;
  net::Timer timer;  // sending, then waiting; or idling
  net::Stream stream;
  CallId call = 0;  // 0: idle
  Compose compose;  // until it has departed
  bool departed = false;
  Micros patience = 0;
  Done done;
  bool reused = false;
};

Egress::CallId Egress::Call(core::TargetId target, const net::Address& at, Compose compose, Micros patience,
                            bool harmless, Done done) {
  const CallId id = ++last_call_;
  auto& idle = idle_[target];
  // Guards against kept connections that are dead without a word, where targets or what stands before them
  // end them early: a hop that is lost on one may have run. A new connection costs a few milliseconds. Which
  // days are like that is told nowhere; the first break tells.
  while (!idle.empty() && (harmless || !Distrusts())) {
    Connection& c = *idle.back();
    idle.pop_back();
    // Guards against a request that ends as a reset, or is answered by what an earlier one left behind: the
    // target's close, or its late bytes, may be here already and only not read yet.
    const net::Stream::Unread unread = c.stream.Peek();
    if (net::SameAddress(c.at, at) && unread == net::Stream::Unread::kNothing) {
      c.reused = true;
      Begin(c, std::move(compose), patience, id, std::move(done));
      return id;
    }
    Remove(c, unread == net::Stream::Unread::kEnd     ? net::Reason::kPeerClosed
              : unread == net::Stream::Unread::kBytes ? net::Reason::kProtocol
                                                      : net::Reason::kReplaced);
  }
  if (connections_.size() >= MostConnections() && !MakeRoom()) {
    // Told from the loop, as every other end of a call.
    auto timer = std::make_shared<std::unique_ptr<net::Timer>>();
    *timer = std::make_unique<net::Timer>(shared_.loop, [this, timer, done = std::move(done)] {
      auto keep = std::move(*timer);
      done({CallResult::Kind::kNoDescriptor, {}});
      shared_.loop.DestroyLater(std::shared_ptr<net::Timer>(std::move(keep)));
    });
    (*timer)->Start(0);
    return id;
  }
  connections_.push_back(std::make_shared<Connection>(*this, target, at));
  if (connections_.size() > limits_.most_connections && !give_back_.running()) give_back_.Start(kGiveBack);
  Begin(*connections_.back(), std::move(compose), patience, id, std::move(done));
  return id;
}

void Egress::Begin(Connection& c, Compose compose, Micros patience, CallId id, Done done) {
  c.call = id;
  c.compose = std::move(compose);
  c.departed = false;
  c.patience = patience;
  c.done = std::move(done);
  calls_[id] = &c;
  c.timer.Stop();
  if (c.stream.connected()) c.Depart();
}

bool Egress::Close(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return false;
  Connection& c = *it->second;
  const bool never_sent = !c.gone_out();
  calls_.erase(it);
  Remove(c, net::Reason::kCancelled);
  return never_sent;
}

void Egress::CatchUp(CallId call) {
  const auto it = calls_.find(call);
  if (it != calls_.end()) it->second->stream.ReadAllPending();
}

void Egress::Expire(CallId call, Micros patience) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  it->second->patience = patience;
  if (it->second->gone_out()) it->second->timer.Start(patience);
}

void Egress::Finish(Connection& c, CallResult result, bool reusable) {
  const CallId call = std::exchange(c.call, 0);
  Done done = std::move(c.done);
  c.done = nullptr;
  c.compose = nullptr;
  calls_.erase(call);
  if (reusable && (!Distrusts() || idle_[c.target].empty())) {
    idle_[c.target].push_back(&c);
    // Guards against a request written to a connection that the target is about to close, which would end as
    // a reset: the target's clock for it started a little before this one.
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
  shared_.loop.DestroyLater(std::move(*it));
  connections_.erase(it);
}

// Guards the parts whose descriptors were lent: they may want them back at any time.
void Egress::GiveBack() {
  const std::size_t most = MostConnections();
  while (connections_.size() > most && MakeRoom()) {
  }
  if (connections_.size() > limits_.most_connections) give_back_.Start(kGiveBack);
}

// Closes the oldest of the idle connections, whatever its target.
bool Egress::MakeRoom() {
  for (const auto& c : connections_) {
    if (c->call != 0) continue;
    Remove(*c, net::Reason::kEvicted);
    return true;
  }
  return false;
}

}  // namespace heronway::http
