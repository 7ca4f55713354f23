// Durable jobs in the HTTP front: a request with an Idempotency-Key is stored before its first hop. Later
// requests with the same key join the job or receive its stored answer. A job continues without its client
// and survives a restart of the program.
#include <algorithm>
#include <utility>

#include "src/fronts/http/header_values.h"
#include "src/fronts/http/ingress.h"
#include "src/fronts/log_reports.h"

namespace heronway::http {
namespace {

constexpr Micros kLookupTimeout = 600'000;  // shorter than any shutdown grace period
// Retry-After for a client whose deadline expires before its job ends.
constexpr Micros kRetryAfter = 1'000'000;

}  // namespace

std::string Front::JobAlias(const std::string& class_name, const std::string& key) {
  return class_name + "/" + key;
}

// The request as it is forwarded to a target, in the form that is stored and parsed again for each later
// round.
durable::JobSpec Front::ToJobSpec(const Message& message, const pebblenotch::Request& request,
                                  std::string alias) {
  Headers headers;
  for (const char* name : kForwardedHeaders) {
    if (const auto* value = message.Find(name)) headers.emplace_back(name, *value);
  }
  durable::JobSpec spec;
  spec.job_class = request.job_class;
  spec.text = FormatRequest(message.method, message.target, headers, message.body);
  spec.alias = std::move(alias);
  spec.key = request.key;
  spec.priority = request.priority;
  return spec;
}

bool Front::IsDurable(const Pending& pending) const {
  if (!durable() || pending.message.Find("Idempotency-Key") == nullptr) return false;
  return reducer().job_manager()->IsActive(pending.id);
}

// Responds with the outcome of a job that has ended or is unknown. Returns false if the job is still open.
bool Front::RespondFromStore(Ingress& ingress, const std::string& id) {
  const durable::Job* job = reducer().job_manager()->table().Find(id);
  if (job == nullptr) {
    ingress.Respond(503, {{"Retry-After", FormatSeconds(kRetryAfter)}}, "shed\n");
  } else if (job->state != durable::JobState::kFinished) {
    return false;
  } else if (job->outcome == durable::Outcome::kDone) {
    ingress.Respond(200, {}, job->text);
  } else {
    ingress.Respond(502, {}, "failed\n");
  }
  return true;
}

// The client's deadline keeps running during the lookup.
void Front::LookUpElsewhere(Ingress& ingress, Message message, core::RequestArrived arrived,
                            const std::string& alias) {
  if (!BeginService(ingress)) return;
  ++open_lookups_;
  const Micros left = arrived.request.deadline - core::Reducer::kAnswerMargin - context_.loop.Now();
  job_lookup_(alias, std::clamp<Micros>(left, 1, kLookupTimeout),
              [this, at = ingress.weak_from_this(), ticket = ingress.ticket, message = std::move(message),
               arrived = std::move(arrived), alias](const cluster::copies::LookupResult& result) {
                --open_lookups_;
                const auto client = at.lock();
                if (client == nullptr || client->removed || client->ticket != ticket) return;
                client->ticket = 0;
                if (result.status != cluster::copies::LookupStatus::kUnknown)
                  return RespondFromLookup(*client, result);
                // The job may have arrived in the meantime from another client or scheduler.
                if (const auto* job = reducer().job_manager()->table().FindByAlias(alias); job != nullptr)
                  return Join(*client, message, std::string(*job), arrived.request.job_class);
                if (reducer().IsKnown(arrived.id)) return client->Respond(409, {}, "Req-Id is in use\n");
                Admit(*client, message, arrived, alias);
              });
}

void Front::RespondFromLookup(Ingress& ingress, const cluster::copies::LookupResult& result) {
  using cluster::copies::LookupStatus;
  ++join_count_;
  if (result.status == LookupStatus::kDone) return ingress.Respond(200, {}, result.result);
  if (result.status == LookupStatus::kFailed) return ingress.Respond(502, {}, "failed\n");
  ingress.Respond(503, {{"Retry-After", FormatSeconds(kRetryAfter)}},
                  result.status == LookupStatus::kOpen
                      ? "it is under way; come again by the same key\n"
                      : "another may have this job; come again by the same key\n");
}

void Front::Join(Ingress& ingress, const Message& message, const std::string& id, int job_class) {
  ++join_count_;
  if (reducer().ShedsAllArrivals(context_.loop.Now()))
    return ingress.Respond(503, {{"Retry-After", FormatSeconds(kRetryAfter)}},
                           "shutting down; come again by the same key\n");
  if (!CanHoldRequest()) return ingress.Respond(503, {{"Retry-After", "1"}}, "too many requests held\n");
  Micros timeout = config_.module.settings.classes[static_cast<std::size_t>(job_class)].deadline;
  if (const auto* text = message.Find("Req-Deadline-Ms")) {
    const auto ms = ParseNumber<std::int64_t>(*text);
    if (ms && *ms > 0) timeout = std::min(*ms, timeout / 1000) * 1000;
  }
  ingress.ticket = ++last_ticket_;
  Joined& joined = joined_[ingress.ticket];
  joined.client = &ingress;
  joined.id = id;
  joined.timer = std::make_unique<net::Timer>(
      context_.loop, [this, ticket = ingress.ticket] { AskToRetry(joined_.find(ticket)); });
  joined.timer->Start(std::max<Micros>(1, timeout - core::Reducer::kAnswerMargin));
  joined_by_job_.emplace(id, ingress.ticket);
  // An answer in the job table may not be on disk yet.
  const int store_id = reducer().job_manager()->StoreIdOf(id);
  driver_.WhenStored(
      [this, id](bool stored) {
        // Without a majority, another scheduler may answer the job differently, so the answer is sent only
        // once it is stored.
        if (!stored && driver_.replicated()) return;
        core::Settled settled{id};
        if (const auto* job = reducer().job_manager()->table().Find(id);
            job == nullptr || job->state == durable::JobState::kFinished)
          Perform(settled);
      },
      store_id);
}

void Front::AskToRetry(std::map<core::Ticket, Joined>::iterator it) {
  Ingress& client = *it->second.client;
  RemoveJoined(it);
  client.Respond(503, {{"Retry-After", FormatSeconds(kRetryAfter)}},
                 "it is under way; come again by the same key\n");
}

void Front::RemoveJoined(std::map<core::Ticket, Joined>::iterator it) {
  const auto [first, last] = joined_by_job_.equal_range(it->second.id);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second != it->first) continue;
    joined_by_job_.erase(entry);
    break;
  }
  it->second.timer->Stop();
  context_.loop.DestroyLater(std::shared_ptr<net::Timer>(std::move(it->second.timer)));
  joined_.erase(it);
}

void Front::Perform(core::Settled& e) {
  for (;;) {
    const auto entry = joined_by_job_.find(e.id);
    if (entry == joined_by_job_.end()) return;
    const auto it = joined_.find(entry->second);
    const auto* job = reducer().job_manager()->table().Find(e.id);
    if (job != nullptr && job->state != durable::JobState::kFinished) {
      AskToRetry(it);
      continue;
    }
    Ingress& client = *it->second.client;
    RemoveJoined(it);
    RespondFromStore(client, e.id);
  }
}

// Marks a connection as in service, or responds with 503 if the limit is reached. While the store is
// unavailable each callback waits for a second, and waiting callbacks must not take the connections on which
// clients are shed.
bool Front::BeginService(Ingress& ingress) {
  if (InService() >= budget_.in_service) {
    ingress.Respond(503, {{"Retry-After", FormatSeconds(kRetryAfter)}},
                    "too many call-backs wait; say it again\n");
    return false;
  }
  ingress.ticket = ++last_ticket_;  // in service until it has its response
  return true;
}

void Front::RespondWhenStored(Ingress& ingress, int store_id) {
  if (!BeginService(ingress)) return;
  driver_.WhenStored(
      [at = ingress.weak_from_this(), ticket = ingress.ticket](bool stored) {
        const auto client = at.lock();
        if (client == nullptr || client->removed || client->ticket != ticket) return;
        if (stored) return client->Respond(200, {}, {});
        client->Respond(503, {{"Retry-After", FormatSeconds(kRetryAfter)}}, "not stored yet; say it again\n");
      },
      store_id);
}

// A job that no scheduler holds has ended and been deleted; its worker gets a 200 as usual.
void Front::ForwardCallback(Ingress& ingress, const core::HopCallback& callback) {
  if (!BeginService(ingress)) return;
  forward_report_(callback, [at = ingress.weak_from_this(),
                             ticket = ingress.ticket](cluster::copies::ForwardOutcome outcome) {
    const auto client = at.lock();
    if (client == nullptr || client->removed || client->ticket != ticket) return;
    if (outcome != cluster::copies::ForwardOutcome::kRetry) return client->Respond(200, {}, {});
    client->Respond(503, {{"Retry-After", FormatSeconds(kRetryAfter)}},
                    "nobody holds it now; say it again\n");
  });
}

// Starts a round without a client from the stored request.
void Front::Perform(core::StartRound& e) {
  const durable::Job* job = reducer().job_manager()->table().Find(e.id);
  MessageParser reader(HTTP_REQUEST, kMaxBodyBytes);
  std::size_t used = 0;
  if (job == nullptr || reader.Feed(job->text, used) != ParseState::kComplete)
    return driver_.Post(core::RoundInvalid{e.id});
  Message message = reader.TakeMessage();
  core::RequestArrived arrived;
  arrived.round = true;
  arrived.id = e.id;
  if (const auto* key = message.Find("Idempotency-Key")) arrived.client = *key;
  pebblenotch::Request& r = arrived.request;
  r.id = ++last_ticket_;
  r.job_class = job->job_class;
  r.deadline = context_.loop.Now() +
               config_.module.settings.classes[static_cast<std::size_t>(job->job_class)].deadline;
  r.key = job->key;
  r.priority = job->priority;
  ParseResources(message, r);
  if (rules_ != nullptr)
    r.required_groups = rules_->Evaluate(context_.loop.Now(), ToRuleRequest(message), true).required_groups;
  pending_bytes_ += message.size();
  pending_.emplace(r.id, Pending{nullptr, e.id, std::move(message)});
  driver_.Post(std::move(arrived));
}

}  // namespace heronway::http
