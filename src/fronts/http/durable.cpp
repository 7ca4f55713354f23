// The HTTP front with durable jobs: a request with an Idempotency-Key is stored before its first hop. Whoever
// comes by the same key joins the job, or gets the kept answer; a job outlives its client and this program.
#include <algorithm>
#include <utility>

#include "src/fronts/http/header_values.h"
#include "src/fronts/http/ingress.h"
#include "src/fronts/log_reports.h"

namespace heronway::http {
namespace {

constexpr Micros kLookUpTime = 600'000;   // less than any process has to stop
constexpr Micros kComeAgain = 1'000'000;  // what a joined client is told whose time is over before its job is

}  // namespace

std::string Front::AliasOf(const std::string& class_name, const std::string& key) {
  return class_name + "/" + key;
}

// The request as it would go to a target: what is read again for a round after a restart.
durable::JobSpec Front::TaskOf(const Message& message, const pebblenotch::Request& request,
                               std::string alias) {
  Headers headers;
  for (const char* name : kForwardedHeaders) {
    if (const auto* value = message.Find(name)) headers.emplace_back(name, *value);
  }
  durable::JobSpec task;
  task.job_class = request.job_class;
  task.text = FormatRequest(message.method, message.target, headers, message.body);
  task.alias = std::move(alias);
  task.key = request.key;
  task.priority = request.priority;
  return task;
}

bool Front::IsDurable(const Pending& pending) const {
  if (!durable() || pending.message.Find("Idempotency-Key") == nullptr) return false;
  return reducer().job_manager()->IsActive(pending.id);
}

// Whether the job is over, and its client was told so.
bool Front::AnswerFromStore(Ingress& in, const std::string& id) {
  const durable::Job* job = reducer().job_manager()->table().Find(id);
  if (job == nullptr) {
    in.Answer(503, {{"Retry-After", FormatSeconds(kComeAgain)}}, "shed\n");
  } else if (job->state != durable::JobState::kFinished) {
    return false;
  } else if (job->outcome == durable::Outcome::kDone) {
    in.Answer(200, {}, job->text);
  } else {
    in.Answer(502, {}, "failed\n");
  }
  return true;
}

// The client's time counts on while others are asked.
void Front::LookUp(Ingress& in, Message message, core::RequestArrived arrived, const std::string& alias) {
  if (!MayWait(in)) return;
  ++looking_up_;
  const Micros left = arrived.request.deadline - core::Reducer::kAnswerMargin - shared_.loop.Now();
  job_lookup_(alias, std::clamp<Micros>(left, 1, kLookUpTime),
              [this, at = in.weak_from_this(), ticket = in.ticket, message = std::move(message),
               arrived = std::move(arrived), alias](const cluster::copies::LookupResult& result) {
                --looking_up_;
                const auto client = at.lock();
                if (client == nullptr || client->left || client->ticket != ticket) return;
                client->ticket = 0;
                if (result.status != cluster::copies::LookupStatus::kUnknown)
                  return AnswerFromElsewhere(*client, result);
                // It may have come meanwhile, from another client or another scheduler.
                if (const auto* job = reducer().job_manager()->table().FindByAlias(alias); job != nullptr)
                  return Join(*client, message, std::string(*job), arrived.request.job_class);
                if (reducer().IsKnown(arrived.id)) return client->Answer(409, {}, "Req-Id is in use\n");
                Admit(*client, message, arrived, alias);
              });
}

void Front::AnswerFromElsewhere(Ingress& in, const cluster::copies::LookupResult& result) {
  using cluster::copies::LookupStatus;
  ++joins_;
  if (result.status == LookupStatus::kDone) return in.Answer(200, {}, result.result);
  if (result.status == LookupStatus::kFailed) return in.Answer(502, {}, "failed\n");
  in.Answer(503, {{"Retry-After", FormatSeconds(kComeAgain)}},
            result.status == LookupStatus::kOpen ? "it is under way; come again by the same key\n"
                                                 : "another may have this job; come again by the same key\n");
}

void Front::Join(Ingress& in, const Message& message, const std::string& id, int job_class) {
  ++joins_;
  if (reducer().ShedsAllArrivals(shared_.loop.Now()))
    return in.Answer(503, {{"Retry-After", FormatSeconds(kComeAgain)}},
                     "shutting down; come again by the same key\n");
  if (!MayHold()) return in.Answer(503, {{"Retry-After", "1"}}, "too many requests held\n");
  Micros patience = config_.module.settings.classes[static_cast<std::size_t>(job_class)].deadline;
  if (const auto* text = message.Find("Req-Deadline-Ms")) {
    const auto ms = ParseNumber<std::int64_t>(*text);
    if (ms && *ms > 0) patience = std::min(*ms, patience / 1000) * 1000;
  }
  in.ticket = ++last_ticket_;
  Joined& joined = joined_[in.ticket];
  joined.from = &in;
  joined.id = id;
  joined.patience = std::make_unique<net::Timer>(
      shared_.loop, [this, ticket = in.ticket] { ComeAgain(joined_.find(ticket)); });
  joined.patience->Start(std::max<Micros>(1, patience - core::Reducer::kAnswerMargin));
  joined_by_job_.emplace(id, in.ticket);
  // An answer that is in the book may not be on the disk yet.
  const int store_id = reducer().job_manager()->StoreIdOf(id);
  driver_.WhenStored(
      [this, id](bool stored) {
        // What no majority has may be answered otherwise by another: it is told when it is stored, or not at
        // all.
        if (!stored && driver_.replicated()) return;
        core::Settled now{id};
        if (const auto* job = reducer().job_manager()->table().Find(id);
            job == nullptr || job->state == durable::JobState::kFinished)
          Do(now);
      },
      store_id);
}

void Front::ComeAgain(std::map<core::Ticket, Joined>::iterator it) {
  Ingress& client = *it->second.from;
  Leave(it);
  client.Answer(503, {{"Retry-After", FormatSeconds(kComeAgain)}},
                "it is under way; come again by the same key\n");
}

void Front::Leave(std::map<core::Ticket, Joined>::iterator it) {
  const auto [first, last] = joined_by_job_.equal_range(it->second.id);
  for (auto row = first; row != last; ++row) {
    if (row->second != it->first) continue;
    joined_by_job_.erase(row);
    break;
  }
  it->second.patience->Stop();
  shared_.loop.DestroyLater(std::shared_ptr<net::Timer>(std::move(it->second.patience)));
  joined_.erase(it);
}

void Front::Do(core::Settled& e) {
  for (;;) {
    const auto row = joined_by_job_.find(e.id);
    if (row == joined_by_job_.end()) return;
    const auto it = joined_.find(row->second);
    const auto* job = reducer().job_manager()->table().Find(e.id);
    if (job != nullptr && job->state != durable::JobState::kFinished) {
      ComeAgain(it);
      continue;
    }
    Ingress& client = *it->second.from;
    Leave(it);
    AnswerFromStore(client, e.id);
  }
}

// Whether a call-back may wait for its answer. While nothing can be stored each waits for a second, and they
// must not fill the connections that clients need to be refused on: over the bound it is told to come again.
bool Front::MayWait(Ingress& in) {
  if (InService() >= budget_.in_service) {
    in.Answer(503, {{"Retry-After", FormatSeconds(kComeAgain)}}, "too many call-backs wait; say it again\n");
    return false;
  }
  in.ticket = ++last_ticket_;  // in service, until it is answered
  return true;
}

void Front::AnswerWhenStored(Ingress& in, int store_id) {
  if (!MayWait(in)) return;
  driver_.WhenStored(
      [at = in.weak_from_this(), ticket = in.ticket](bool stored) {
        const auto client = at.lock();
        if (client == nullptr || client->left || client->ticket != ticket) return;
        if (stored) return client->Answer(200, {}, {});
        client->Answer(503, {{"Retry-After", FormatSeconds(kComeAgain)}}, "not stored yet; say it again\n");
      },
      store_id);
}

// One that nobody has is over and forgotten: its worker is told so as ever.
void Front::LeadNews(Ingress& in, const core::HopCallback& news) {
  if (!MayWait(in)) return;
  forward_report_(news, [at = in.weak_from_this(),
                         ticket = in.ticket](cluster::copies::ForwardOutcome outcome) {
    const auto client = at.lock();
    if (client == nullptr || client->left || client->ticket != ticket) return;
    if (outcome != cluster::copies::ForwardOutcome::kRetry) return client->Answer(200, {}, {});
    client->Answer(503, {{"Retry-After", FormatSeconds(kComeAgain)}}, "nobody holds it now; say it again\n");
  });
}

// A round without a client: what was stored goes out as it came.
void Front::Do(core::StartRound& e) {
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
  r.deadline =
      shared_.loop.Now() + config_.module.settings.classes[static_cast<std::size_t>(job->job_class)].deadline;
  r.key = job->key;
  r.priority = job->priority;
  ReadExtra(message, r);
  if (rules_ != nullptr) r.required_groups = rules_->Judge(shared_.loop.Now(), AsRequest(message), true).only;
  pending_bytes_ += message.size();
  pending_.emplace(r.id, Pending{nullptr, e.id, std::move(message)});
  driver_.Post(std::move(arrived));
}

}  // namespace heronway::http
