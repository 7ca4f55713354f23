#include "src/fronts/http/egress.h"

#include <algorithm>
#include <utility>

namespace heronway::http {

struct Egress::Connection : net::Stream::Owner {
  Connection(Egress& owner, core::TargetId to, const net::Address& address)
      : egress(owner),
        target(to),
        at(address),
        reader(HTTP_RESPONSE, kMostBody),
        timer(owner.shared_.loop, [this] { OnTimer(); }),
        stream(owner.shared_, address, owner.limits_.dial_timeout, "egress " + net::ToText(address), *this) {}

  void OnUp() override {
    if (call != 0) timer.Start(kSendTimeout);
  }
  void OnSent() override {
    if (call == 0) return;
    timer.Stop();
    if (patience > 0) timer.Start(patience);
  }
  void OnData(std::string_view bytes) override {
    std::size_t used = 0;
    const ReadState state = reader.Feed(bytes, used);
    if (call == 0) return egress.Remove(*this, net::Reason::kProtocol);  // nobody asked
    if (state == ReadState::kMore) return;
    if (state != ReadState::kWhole) return egress.Finish(*this, {Reply::Kind::kBroken, {}}, false);
    Message answer = reader.TakeWhole();
    const bool reusable = answer.keep_alive && used == bytes.size() && stream.all_sent();
    egress.Finish(*this, {Reply::Kind::kAnswered, std::move(answer)}, reusable);
  }
  void OnEnd(net::Reason) override {
    if (call != 0 && reused) egress.distrust_until_ = egress.shared_.loop.Now() + kDistrust;
    // Guards the line between "never ran" and "may have run": the last byte's leaving.
    egress.Finish(*this, {stream.all_sent() ? Reply::Kind::kBroken : Reply::Kind::kNeverSent, {}}, false);
  }
  void OnTimer() {
    if (call == 0) return egress.Remove(*this, net::Reason::kIdle);
    egress.Finish(*this, {stream.all_sent() ? Reply::Kind::kNoAnswer : Reply::Kind::kNeverSent, {}}, false);
  }

  Egress& egress;
  core::TargetId target;
  net::Address at;
  Reader reader;
  net::Timer timer;  // sending, then waiting; or idling
  net::Stream stream;
  CallId call = 0;  // 0: idle
  Micros patience = 0;
  Done done;
  bool reused = false;
};

Egress::CallId Egress::Call(core::TargetId target, const net::Address& at, std::string bytes, Micros patience,
                            bool harmless, Done done) {
  const CallId id = ++last_call_;
  auto& idle = idle_[target];
  // Guards against kept connections that are dead without a word, where targets or what stands before them
  // end them early: a hop that is lost on one may have run. A new connection costs a few milliseconds. Which
  // days are like that is told nowhere; the first break tells.
  while (!idle.empty() && (harmless || !Distrusts())) {
    Connection& c = *idle.back();
    idle.pop_back();
    if (net::Same(c.at, at)) {
      c.reused = true;
      Begin(c, std::move(bytes), patience, id, std::move(done));
      return id;
    }
    Remove(c, net::Reason::kReplaced);
  }
  if (connections_.size() >= limits_.most_connections && !MakeRoom()) {
    // Told from the loop, as every other end of a call.
    auto timer = std::make_shared<std::unique_ptr<net::Timer>>();
    *timer = std::make_unique<net::Timer>(shared_.loop, [this, timer, done = std::move(done)] {
      auto keep = std::move(*timer);
      done({Reply::Kind::kNoRoom, {}});
      shared_.loop.Bury(std::shared_ptr<net::Timer>(std::move(keep)));
    });
    (*timer)->Start(0);
    return id;
  }
  connections_.push_back(std::make_shared<Connection>(*this, target, at));
  Begin(*connections_.back(), std::move(bytes), patience, id, std::move(done));
  return id;
}

void Egress::Begin(Connection& c, std::string bytes, Micros patience, CallId id, Done done) {
  c.call = id;
  c.patience = patience;
  c.done = std::move(done);
  calls_[id] = &c;
  c.timer.Stop();
  if (c.stream.up()) c.timer.Start(kSendTimeout);
  c.stream.Write(bytes);
}

bool Egress::Close(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return false;
  Connection& c = *it->second;
  calls_.erase(it);
  Remove(c, net::Reason::kCalledOff);
  return true;
}

void Egress::Finish(Connection& c, Reply reply, bool reusable) {
  const CallId call = std::exchange(c.call, 0);
  Done done = std::move(c.done);
  c.done = nullptr;
  calls_.erase(call);
  if (reusable && (!Distrusts() || idle_[c.target].empty())) {
    idle_[c.target].push_back(&c);
    // Guards against a request written to a connection that the target is about to close, which would end as
    // a reset: the target's clock for it started a little before this one.
    c.timer.Start(limits_.conn_idle * 2 / 5);
  } else {
    Remove(c, reply.kind == Reply::Kind::kAnswered    ? net::Reason::kAnswered
              : reply.kind == Reply::Kind::kNoAnswer  ? net::Reason::kNoAnswer
              : reply.kind == Reply::Kind::kNeverSent ? net::Reason::kConnectFailed
                                                      : net::Reason::kBadMessage);
  }
  if (done) done(reply);
}

void Egress::Remove(Connection& c, net::Reason reason) {
  c.timer.Stop();
  c.stream.Close(reason);
  std::erase(idle_[c.target], &c);
  const auto it =
      std::find_if(connections_.begin(), connections_.end(), [&c](const auto& p) { return p.get() == &c; });
  if (it == connections_.end()) return;
  shared_.loop.Bury(std::move(*it));
  connections_.erase(it);
}

// Closes the oldest of the idle connections, whatever its target.
bool Egress::MakeRoom() {
  for (const auto& c : connections_) {
    if (c->call != 0) continue;
    Remove(*c, net::Reason::kMakeRoom);
    return true;
  }
  return false;
}

}  // namespace heronway::http
