// Hops of the HTTP front: requests to egress targets, their responses, cancellation, and probes.
#include <utility>

#include "src/fronts/http/header_values.h"
#include "src/fronts/http/ingress.h"
#include "src/log/log.h"

namespace heronway::http {
namespace {

// For requests that remain valid until they are sent.
Egress::ComposeRequest FixedRequest(std::string bytes) {
  return [bytes = std::move(bytes)] { return bytes; };
}

}  // namespace

// Logs one line per step of a hop at level debug; a replay of a fleet counts these lines across schedulers.
// The line is not built at higher log levels.
void LogHop(std::string_view id, int hop, std::string_view to, std::string_view step) {
  if (!log::Enabled(log::Level::kDebug)) return;
  log::Event(log::Level::kDebug, "hop", {{"id", id}, {"hop", hop}, {"to", to}, {"step", step}});
}

// Whether a hop may be sent now. Checked when the hop is selected and again when its connection is
// established, because the target may have started to drain since, the target list may have expired, or the
// client may have disconnected (possibly with the end of its connection not read yet).
bool Front::MaySend(core::Ticket ticket, core::TargetId target) const {
  const auto it = pending_.find(ticket);
  const auto* route = routes_.Find(target);
  if (it == pending_.end() || route == nullptr || route->state != pebblenotch::WorkerState::kReady)
    return false;
  if (!watch_.Valid()) return false;
  const Ingress* client = it->second.client;  // null: a round of a durable job without a waiting client
  return client == nullptr || !client->stream.PeerClosed();
}

// Formats the request to the target. Req-Deadline-Ms is the time left at the moment of sending.
std::string Front::FormatHop(const Pending& pending, const net::Address& to, Micros until) const {
  const Message& m = pending.message;
  const Micros left_ms = std::max<Micros>(1, (until - context_.loop.Now()) / 1000);
  Headers headers = {
      {"Host", net::ToText(to)}, {"Req-Id", pending.id}, {"Req-Deadline-Ms", std::to_string(left_ms)}};
  for (const char* name : kForwardedHeaders) {
    if (const auto* value = m.Find(name)) headers.emplace_back(name, *value);
  }
  return FormatRequest(m.method, m.target, headers, m.body);
}

void Front::Perform(core::SendHop& e) {
  checks_.Check(core::Invariant::kRouteListInForce, watch_.usable());
  if (!MaySend(e.request, e.target))
    return driver_.Post(core::HopEnded{e.request, e.hop, core::Result::kMoot, {}});
  const net::Address to = routes_.Find(e.target)->address;
  const auto compose = [this, ticket = e.request, hop = e.hop, target = e.target, to,
                        until = e.until]() -> std::optional<std::string> {
    if (!MaySend(ticket, target)) return std::nullopt;
    const Pending& pending = pending_.at(ticket);
    LogHop(pending.id, hop, net::ToText(to), "sent");
    return FormatHop(pending, to, until);
  };
  const auto done = [this, ticket = e.request, hop = e.hop, target = e.target](const CallResult& r) {
    OnHopResult(ticket, hop, target, r);
  };
  // Registered before the call, which may be over when it returns: a reused connection can fail during the
  // write.
  open_calls_[{e.request, e.hop}] = 0;
  const Egress::CallId call = egress_.Call(e.target, to, compose, 0, false, done);
  if (const auto open = open_calls_.find({e.request, e.hop}); open != open_calls_.end()) open->second = call;
}

void Front::OnHopResult(core::Ticket ticket, int hop, core::TargetId target, const CallResult& result) {
  open_calls_.erase({ticket, hop});
  const Message& answer = result.message;
  const unsigned status = answer.status;
  if (result.kind == CallResult::Kind::kTimedOut) return;  // the hop ended long before
  if (result.kind == CallResult::Kind::kResponse && status == 202) {
    ++accepted_hops_;
    PublishObservations(target, core::Result::kOk);
    return driver_.Post(core::HopAccepted{ticket, hop});  // the outcome arrives by callback
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
    // A 4xx response means that the request itself is at fault and was not run, so it does not count against
    // the target's health.
    ended.rejected = status / 100 == 4;
    if (const auto* load = answer.Find("Srv-Load")) ended.report = ParseLoad(*load);
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

void Front::Perform(core::CancelHop& e) {
  const core::HopCancelled cancelled{e.request, e.hop};
  if (auto call = open_calls_.find({e.request, e.hop}); call != open_calls_.end()) {
    // The target's 202 may have arrived and not been read yet. Once it has accepted the hop, closing the
    // connection no longer cancels it, and it would run on beside the next hop.
    const std::uint64_t accepted_before = accepted_hops_;
    egress_.ReadPendingData(call->second);
    call = open_calls_.find({e.request, e.hop});
    if (call != open_calls_.end()) {  // not accepted yet: closing the connection cancels it
      const bool never_ran = egress_.Cancel(call->second);
      open_calls_.erase(call);
      return driver_.Post(core::HopCancelled{e.request, e.hop, never_ran});
    }
    if (accepted_hops_ == accepted_before)
      return driver_.Post(cancelled);  // it has ended, and its HopEnded was posted first
  }
  const auto* route = routes_.Find(e.target);
  if (route == nullptr) return driver_.Post(cancelled);
  egress_.Call(
      e.target, route->address,
      FixedRequest(FormatRequest("DELETE", "/jobs/" + e.id, {{"Host", net::ToText(route->address)}}, {})),
      kCancelTimeout, true, [this, cancelled](const CallResult&) { driver_.Post(cancelled); });
}

// Frees the descriptor if a target reports the end of a hop by callback and never responds to the hop itself.
void Front::Perform(core::HopCompleted& e) {
  const auto call = open_calls_.find({e.request, e.hop});
  if (call != open_calls_.end()) egress_.SetResponseTimeout(call->second, kHopAcceptTimeout);
}

void Front::Perform(core::StartProbe& e) {
  const auto* route = routes_.Find(e.target);
  if (route == nullptr) return;
  const Micros sent = context_.loop.Now();
  egress_.Call(
      e.target, route->address,
      FixedRequest(FormatRequest("GET", "/status/load", {{"Host", net::ToText(route->address)}}, {})),
      kProbeTimeout, true, [this, target = e.target, sent](const CallResult& result) {
        core::ProbeEnded ended{target, core::Result::kOk, context_.loop.Now() - sent, {}};
        if (result.kind == CallResult::Kind::kResponse && result.message.status == 200) {
          ended.report = ParseLoad(result.message.body);
        } else {
          ended.result = result.kind == CallResult::Kind::kResponse       ? core::Result::kError
                         : result.kind == CallResult::Kind::kNoDescriptor ? core::Result::kMoot
                         : result.kind == CallResult::Kind::kSendFailed   ? core::Result::kConnectFailed
                         : result.kind == CallResult::Kind::kTimedOut     ? core::Result::kTimeout
                                                                          : core::Result::kReset;
        }
        if (ended.result != core::Result::kMoot) PublishObservations(target, ended.result);
        PublishObservations(target, ended.report);
        driver_.Post(std::move(ended));
      });
}

}  // namespace heronway::http
