// Hops of the HTTP front: requests to egress targets, what comes back on their connections, calling off and
// probes.
#include <utility>

#include "src/fronts/http/header_values.h"
#include "src/fronts/http/ingress.h"
#include "src/log/log.h"

namespace heronway::http {
namespace {

// For what may leave whatever happens until then.
Egress::Compose Always(std::string bytes) {
  return [bytes = std::move(bytes)] { return bytes; };
}

}  // namespace

// One line a step of a hop, at the level debug: what a fleet replay counts across schedulers. Costs nothing
// at the usual level, as the line is not made.
void LogHop(std::string_view id, int hop, std::string_view to, std::string_view step) {
  if (!log::Enabled(log::Level::kDebug)) return;
  log::Event(log::Level::kDebug, "hop", {{"id", id}, {"hop", hop}, {"to", to}, {"step", step}});
}

// Whether a hop may leave now: it is asked when the hop is drawn, and again when its connection has come up.
// Guards a target that drains against what was drawn before, or by a list that is out of date, and everybody
// against work for a client that has gone: its end may be here already and only not read yet.
bool Front::MayLeave(core::Ticket ticket, core::TargetId target) const {
  const auto it = pending_.find(ticket);
  const auto* route = routes_.Find(target);
  if (it == pending_.end() || route == nullptr || route->state != pebblenotch::WorkerState::kReady)
    return false;
  if (!watch_.Valid()) return false;
  const Ingress* from = it->second.from;  // null: a round of a durable job, for which nobody waits
  return from == nullptr || !from->stream.PeerClosed();
}

// A hop as its target gets it. What it is told of the time left is what is left as the bytes leave.
std::string Front::HopText(const Pending& pending, const net::Address& to, Micros until) const {
  const Message& m = pending.message;
  const Micros left = std::max<Micros>(1, (until - shared_.loop.Now()) / 1000);
  Headers headers = {
      {"Host", net::ToText(to)}, {"Req-Id", pending.id}, {"Req-Deadline-Ms", std::to_string(left)}};
  for (const char* name : kForwardedHeaders) {
    if (const auto* value = m.Find(name)) headers.emplace_back(name, *value);
  }
  return FormatRequest(m.method, m.target, headers, m.body);
}

void Front::Do(core::SendHop& e) {
  checks_.Check(core::Invariant::kRouteListInForce, watch_.usable());
  if (!MayLeave(e.request, e.target))
    return driver_.Post(core::HopEnded{e.request, e.hop, core::Result::kMoot, {}});
  const net::Address to = routes_.Find(e.target)->address;
  const auto compose = [this, ticket = e.request, hop = e.hop, target = e.target, to,
                        until = e.until]() -> std::optional<std::string> {
    if (!MayLeave(ticket, target)) return std::nullopt;
    const Pending& pending = pending_.at(ticket);
    LogHop(pending.id, hop, net::ToText(to), "sent");
    return HopText(pending, to, until);
  };
  const auto done = [this, ticket = e.request, hop = e.hop, target = e.target](const CallResult& r) {
    HopReplied(ticket, hop, target, r);
  };
  // Before the call, which may be over when it returns: a kept connection breaks as it is written to.
  calls_[{e.request, e.hop}] = 0;
  const Egress::CallId call = egress_.Call(e.target, to, compose, 0, false, done);
  if (const auto open = calls_.find({e.request, e.hop}); open != calls_.end()) open->second = call;
}

void Front::HopReplied(core::Ticket ticket, int hop, core::TargetId target, const CallResult& result) {
  calls_.erase({ticket, hop});
  const Message& answer = result.message;
  const unsigned status = answer.status;
  if (result.kind == CallResult::Kind::kTimedOut) return;  // the hop was over long before
  if (result.kind == CallResult::Kind::kResponse && status == 202) {
    ++taken_;
    PublishObservations(target, core::Result::kOk);
    return driver_.Post(core::HopAccepted{ticket, hop});  // what follows comes by call-back
  }
  core::HopEnded ended{ticket, hop, core::Result::kError, {}};
  if (result.kind == CallResult::Kind::kNoDescriptor || result.kind == CallResult::Kind::kWithdrawn) {
    ended.result = core::Result::kMoot;
  } else if (result.kind == CallResult::Kind::kSendFailed) {
    ended.result = core::Result::kConnectFailed;
  } else if (result.kind != CallResult::Kind::kResponse) {
    ended.result = core::Result::kReset;
  } else {
    const auto* declined = answer.Find("Srv-Declined");
    if ((status == 503 || status == 504) && declined != nullptr && *declined == "1")
      ended.result = core::Result::kFull;
    // Guards a target's good name against bad clients: it says that the request is at fault, and voids the
    // run.
    ended.rejected = status / 100 == 4;
    if (const auto* load = answer.Find("Srv-Load")) ended.report = ReadLoad(*load);
  }
  if (const auto it = pending_.find(ticket); it != pending_.end() && log::Enabled(log::Level::kDebug)) {
    static constexpr const char* kSteps[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                             "reset", "cancelled", "moot"};
    LogHop(it->second.id, hop, {}, kSteps[static_cast<int>(ended.result)]);
  }
  if (ended.result != core::Result::kMoot) PublishObservations(target, ended.result);
  PublishObservations(target, ended.report);
  driver_.Post(std::move(ended));
}

void Front::Do(core::CancelHop& e) {
  const core::HopCancelled told{e.request, e.hop};
  if (auto call = calls_.find({e.request, e.hop}); call != calls_.end()) {
    // Guards against a hop that runs on beside the next one: its target's 202 may be here already and only
    // not read yet, and from then on the end of the connection tells it nothing.
    const std::uint64_t taken = taken_;
    egress_.CatchUp(call->second);
    call = calls_.find({e.request, e.hop});
    if (call != calls_.end()) {  // not taken yet: the end of the connection tells it
      const bool never_ran = egress_.Close(call->second);
      calls_.erase(call);
      return driver_.Post(core::HopCancelled{e.request, e.hop, never_ran});
    }
    if (taken_ == taken) return driver_.Post(told);  // it was over: its end has been posted before this
  }
  const auto* route = routes_.Find(e.target);
  if (route == nullptr) return driver_.Post(told);
  egress_.Call(e.target, route->address,
               Always(FormatRequest("DELETE", "/jobs/" + e.id, {{"Host", net::ToText(route->address)}}, {})),
               kTellTimeout, true, [this, told](const CallResult&) { driver_.Post(told); });
}

// Guards descriptors against a target that tells a hop's end by call-back and never answers the hop itself.
void Front::Do(core::HopCompleted& e) {
  const auto call = calls_.find({e.request, e.hop});
  if (call != calls_.end()) egress_.Expire(call->second, kTakeLimit);
}

void Front::Do(core::StartProbe& e) {
  const auto* route = routes_.Find(e.target);
  if (route == nullptr) return;
  const Micros sent = shared_.loop.Now();
  egress_.Call(e.target, route->address,
               Always(FormatRequest("GET", "/status/load", {{"Host", net::ToText(route->address)}}, {})),
               kProbeTimeout, true, [this, target = e.target, sent](const CallResult& result) {
                 core::ProbeEnded ended{target, core::Result::kOk, shared_.loop.Now() - sent, {}};
                 if (result.kind == CallResult::Kind::kResponse && result.message.status == 200) {
                   ended.report = ReadLoad(result.message.body);
                 } else {
                   ended.result = result.kind == CallResult::Kind::kResponse       ? core::Result::kError
                                  : result.kind == CallResult::Kind::kNoDescriptor ? core::Result::kMoot
                                  : result.kind == CallResult::Kind::kSendFailed
                                      ? core::Result::kConnectFailed
                                  : result.kind == CallResult::Kind::kTimedOut ? core::Result::kTimeout
                                                                               : core::Result::kReset;
                 }
                 if (ended.result != core::Result::kMoot) PublishObservations(target, ended.result);
                 PublishObservations(target, ended.report);
                 driver_.Post(std::move(ended));
               });
}

}  // namespace heronway::http
