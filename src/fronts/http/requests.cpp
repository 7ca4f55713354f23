// Processing of client requests in the HTTP front: evaluates the match rules, validates the message and
// translates it into the reducer's event.
#include <algorithm>

#include "src/fronts/http/header_values.h"
#include "src/fronts/http/ingress.h"
#include "src/fronts/log_reports.h"
#include "src/log/log.h"

namespace heronway::http {
namespace {

// Limit of the path and forwarded headers together. Targets read request heads up to this size and close the
// connection on larger ones.
constexpr std::size_t kMaxForwardedBytes = 4 * 1024;
// Headers that may appear only once.
constexpr const char* kSingleHeaders[] = {"Req-Id",  "Req-Deadline-Ms", "Idempotency-Key",
                                          "Req-Key", "Req-Extra",       "Req-Retry"};

// Whether a request id can be used in a URL path without escaping.
bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= 128 && std::all_of(id.begin(), id.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
  });
}

// Returns why a request must not be forwarded to a target (a duplicate header, invalid characters or
// excessive length), or null if it may be forwarded.
const char* FindRequestFault(const Message& m) {
  const auto printable = [](const std::string& text, unsigned char first) {
    return std::all_of(text.begin(), text.end(), [first](unsigned char c) { return c >= first && c < 0x7f; });
  };
  for (const char* name : kSingleHeaders) {
    if (m.Count(name) > 1) return "a header is there twice";
  }
  std::size_t size = m.target.size();
  if (!printable(m.target, 0x21)) return "the path cannot be read";
  for (const char* name : kForwardedHeaders) {
    const auto* value = m.Find(name);
    if (value == nullptr) continue;
    if (!printable(*value, 0x20)) return "a header cannot be read";
    size += value->size();
  }
  const auto* key = m.Find("Idempotency-Key");
  if (key != nullptr && key->empty()) return "Idempotency-Key is empty";
  return size > kMaxForwardedBytes ? "path and headers are too long" : nullptr;
}

}  // namespace

match::Request Front::ToRuleRequest(const Message& message) {
  match::Request r;
  const std::string_view target = message.target;
  const auto query_start = std::min(target.find('?'), target.size());
  r.front = "http";
  r.path = target.substr(0, query_start);
  r.query = target.substr(std::min(query_start + 1, target.size()));
  r.headers = message.headers;
  r.body_bytes = static_cast<std::int64_t>(message.body.size());
  if (const auto* text = message.Find("Req-Deadline-Ms"))
    r.deadline = std::clamp<std::int64_t>(ParseNumber<std::int64_t>(*text).value_or(0), 0, 1LL << 40) * 1000;
  const auto* retry = message.Find("Req-Retry");
  r.is_retry = retry != nullptr && *retry == "1";
  return r;
}

// Returns the decision of the match rules, or an empty one without rules.
match::Service::Decision Front::EvaluateRules(const Ingress& ingress, const Message& message) {
  if (rules_ == nullptr) return {};
  match::Request r = ToRuleRequest(message);
  r.peer = match::MappedIpv4(&ingress.peer.sin_addr);
  const auto decision = rules_->Evaluate(context_.loop.Now(), r);
  if (decision.marked_by_rule != nullptr)
    log::Event(log::Level::kInfo, "marked",
               {{"front", "http", true}, {"rule", *decision.marked_by_rule}, {"path", r.path}});
  return decision;
}

// Reads the resources that a request needs on a worker.
void Front::ParseResources(const Message& message, pebblenotch::Request& request) {
  const auto* extra = message.Find("Req-Extra");
  if (extra == nullptr) return;
  const auto values = ParsePairs(*extra);
  if (const auto it = values.find("slots"); it != values.end()) request.slots = it->second;
  if (const auto it = values.find("memory"); it != values.end()) request.memory = it->second;
}

void Front::HandleRequest(Ingress& ingress, Message message) {
  const auto reject = [&](unsigned status, const char* why) {
    ++malformed_;
    ingress.Respond(status, {}, std::string(why) + "\n");
  };
  const auto decision = EvaluateRules(ingress, message);
  if (decision.reject_reason != nullptr) return reject(403, decision.reject_reason->c_str());
  if (decision.exceeded_rate != nullptr) {
    ++not_admitted_;
    return ingress.Respond(429, {{"Retry-After", FormatSeconds(decision.retry_after)}},
                           "over the rate " + *decision.exceeded_rate + "\n");
  }
  const auto first_segment = message.target.substr(0, message.target.find_first_of("?/", 1));
  const auto job_class =
      decision.job_class >= 0
          ? config_.classes.begin() + decision.job_class
          : std::find_if(config_.classes.begin(), config_.classes.end(),
                         [&first_segment](const std::string& name) { return first_segment == "/" + name; });
  if (job_class == config_.classes.end()) return reject(404, "no such class");
  if (message.method != "POST") return reject(405, "a job comes by POST");
  if (const char* why = FindRequestFault(message)) return reject(400, why);
  const std::string* id = message.Find("Req-Id");
  if (id == nullptr || !IsValidId(*id)) return reject(400, "Req-Id is missing or malformed");
  const auto* idempotency = message.Find("Idempotency-Key");
  const std::string alias =
      durable() && idempotency != nullptr ? JobAlias(*job_class, *idempotency) : std::string();
  if (const auto* job = alias.empty() ? nullptr : reducer().job_manager()->table().FindByAlias(alias);
      job != nullptr)
    return Join(ingress, message, std::string(*job), static_cast<int>(job_class - config_.classes.begin()));
  // Clients use a new id for each request. This protects a request whose hop may still be in flight, or that
  // was just answered, from another one with the same id.
  if (driver_.reducer().IsKnown(*id) || (durable() && reducer().job_manager()->table().Find(*id) != nullptr))
    return reject(409, "Req-Id is in use");
  core::RequestArrived arrived;
  pebblenotch::Request& r = arrived.request;
  r.job_class = static_cast<int>(job_class - config_.classes.begin());
  const auto& settings = config_.module.settings.classes[static_cast<std::size_t>(r.job_class)];
  // Without a key, a retry would take effect twice.
  if (settings.idempotency == pebblenotch::Idempotency::kDeduplicated &&
      message.Find("Idempotency-Key") == nullptr)
    return reject(400, "Idempotency-Key is missing");
  // The deadline of the class is the upper bound, so that a client cannot claim an arbitrarily long wait.
  Micros timeout = settings.deadline;
  if (const auto* text = message.Find("Req-Deadline-Ms")) {
    const auto ms = ParseNumber<std::int64_t>(*text);
    if (!ms || *ms <= 0) return reject(400, "Req-Deadline-Ms is not a whole number above 0");
    timeout = std::min(*ms, timeout / 1000) * 1000;
  }
  // The client's deadline runs from when it sent the request, which may be some time before it was read here.
  r.deadline = ingress.received_at + timeout;
  if (const auto* text = message.Find("Req-Key")) {
    const auto key = ParseNumber<std::uint64_t>(*text, 16);
    if (!key) return reject(400, "Req-Key is not a hexadecimal number");
    r.key = *key;
  }
  if (decision.key) r.key = *decision.key;
  if (decision.max_retries) arrived.max_hops = *decision.max_retries + 1;
  r.priority = decision.priority;
  r.required_groups = decision.required_groups;
  arrived.tenant = decision.tenant.value_or("");
  if (const auto* retry = message.Find("Req-Retry")) r.client_retry = *retry == "1";
  ParseResources(message, r);
  arrived.id = *id;
  if (!alias.empty() && job_lookup_)
    return LookUpElsewhere(ingress, std::move(message), std::move(arrived), alias);
  Admit(ingress, std::move(message), std::move(arrived), alias);
}

// Holds the request, or sheds it if it exceeds a limit.
void Front::Admit(Ingress& ingress, Message message, core::RequestArrived arrived, const std::string& alias) {
  pebblenotch::Request& r = arrived.request;
  const std::size_t size = message.size();
  // Limits memory and descriptors: a request that cannot be held is shed at once, before any work on it.
  if (driver_.reducer().pending() >= static_cast<std::size_t>(config_.max_pending) ||
      pending_bytes_ + size > budget_.held_bytes || !CanHoldRequest() ||
      (!alias.empty() && driver_.StoreUnavailable())) {
    ++not_admitted_;
    if (driver_.reducer().limits() == nullptr)
      return ingress.Respond(503, {{"Retry-After", "1"}}, "too many requests held\n");
    arrived.no_capacity = true;
  }
  r.id = ingress.ticket = ++last_ticket_;
  // Retries have a new request id, so the key, if present, identifies a retry.
  if (const auto* key = message.Find("Idempotency-Key")) {
    arrived.client = *key;
  } else if (const auto* object = message.Find("Req-Key")) {
    arrived.client = *object;
    arrived.client_names_job = false;
  }
  if (!alias.empty() && !arrived.no_capacity) arrived.task = ToJobSpec(message, r, alias);
  if (arrived.no_capacity) message = {};  // the shed request's message is not kept
  pending_bytes_ += message.size();
  pending_.emplace(r.id, Pending{&ingress, arrived.id, std::move(message)});
  driver_.Post(std::move(arrived));
}

}  // namespace heronway::http
