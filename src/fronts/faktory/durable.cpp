// Durable jobs in the Faktory front: a PUSH is answered when its job is stored, rounds of stored jobs are
// started as requests, and workers' reports are accepted for jobs from before a restart as well.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/fronts/faktory/connection.h"
#include "src/fronts/log_reports.h"

namespace heronway::faktory {
namespace {

constexpr int kDefaultRetries = 25;  // the protocol's default for jobs without `retry`
constexpr const char* kStoreUnknownError = "STORE it is not known whether this is stored; say it again";

constexpr const char* kMayBeElsewhereError = "NOTHELD another may have this job; push it again";
// Shorter than the time that any process has to stop.
constexpr Micros kJobLookupTimeout = 600'000;
constexpr const char* kNoHolderError = "NOTHELD nobody holds this job at this moment; say it again";

}  // namespace

// With durable jobs the id is derived from the wid alone, so that a worker keeps it over restarts of either
// side.
core::TargetId Front::TargetIdFor(const std::string& wid) {
  if (!durable()) return ++last_target_;
  core::TargetId id = XXH3_64bits(wid.data(), wid.size());
  // On a hash collision another id is used, as the other worker may hold leases under this one.
  while (id == 0 || targets_.contains(id)) ++id;
  return id;
}

void Front::ReplyWhenStored(Connection& c, std::string line, int store_id) {
  c.awaiting_store = true;
  c.timer.Stop();
  driver_.WhenStored(
      [weak = c.weak_from_this(), line = std::move(line)](bool stored) {
        const auto c = weak.lock();
        if (c == nullptr || !c->stream.open() || !std::exchange(c->awaiting_store, false)) return;
        c->Send(stored ? line : Error(kStoreUnknownError));
      },
      store_id);
}

// Replies with SHED and returns false where no job can be accepted now.
bool Front::CheckCanStore(Connection& c) {
  if (!driver_.StoreUnavailable() && !reducer().draining()) return true;
  ++shed_;
  c.Send(Error(reducer().draining() ? "SHED it stops; come back in 1.000 s"
                                    : "SHED the store can take no more now; come back in 1.000 s"));
  return false;
}

void Front::PushDurable(Connection& c, PushedJob& spec, std::string_view arguments,
                        const match::Service::Decision& decision) {
  if (!CheckCanStore(c)) return;
  core::JobSubmitted submitted;
  submitted.id = spec.jid;
  durable::JobSpec& task = submitted.task;
  task.job_class = spec.job_class;
  task.text = arguments;
  task.lane = spec.queue;
  task.retries = spec.retry.value_or(kDefaultRetries);
  if (decision.max_retries) task.retries = std::min(task.retries, *decision.max_retries);
  task.priority = decision.priority;
  task.key = spec.key;
  task.not_before = spec.at;
  if (!job_lookup_) return SubmitDurable(c, std::move(submitted));
  c.awaiting_store = true;
  c.timer.Stop();
  const std::string jid = submitted.id;
  job_lookup_(jid, kJobLookupTimeout,
              [this, weak = c.weak_from_this(),
               submitted = std::move(submitted)](const cluster::copies::LookupResult& result) {
                using cluster::copies::LookupStatus;
                const auto c = weak.lock();
                if (c == nullptr || !c->stream.open() || !std::exchange(c->awaiting_store, false)) return;
                if (result.status == LookupStatus::kUnknown) return SubmitDurable(*c, submitted);
                if (result.status == LookupStatus::kRetry) return c->Send(Error(kMayBeElsewhereError));
                ++joined_;
                c->Send(Simple("OK"));
              });
}

void Front::SubmitDurable(Connection& c, core::JobSubmitted submitted) {
  if (!CheckCanStore(c)) return;
  const std::string jid = submitted.id;
  driver_.Post(std::move(submitted));
  ReplyWhenStored(c, Simple("OK"), reducer().job_manager()->StoreIdOf(jid));
}

// The reply is sent when the report is stored: until then the worker must not forget the job.
void Front::AckDurable(Connection& c, core::HopCallback report) {
  if (forward_report_ && reducer().job_manager()->table().Find(report.id) == nullptr) {
    c.awaiting_store = true;
    c.timer.Stop();
    return forward_report_(
        report, [this, weak = c.weak_from_this()](cluster::copies::ForwardOutcome outcome) {
          const auto c = weak.lock();
          if (c == nullptr || !c->stream.open() || !std::exchange(c->awaiting_store, false)) return;
          late_acks_ += outcome == cluster::copies::ForwardOutcome::kUnknownJob ? 1 : 0;
          c->Send(outcome == cluster::copies::ForwardOutcome::kRetry ? Error(kNoHolderError) : Simple("OK"));
        });
  }
  const auto late_before = reducer().counters().late_callbacks;
  const int store_id = reducer().job_manager()->StoreIdOf(report.id);
  driver_.Post(std::move(report));
  late_acks_ += reducer().counters().late_callbacks - late_before;
  ReplyWhenStored(c, Simple("OK"), store_id);
}

// Starts a round of a stored job: a request without a client that waits for its outcome.
void Front::Do(core::StartRound& e) {
  const durable::Job* stored = reducer().job_manager()->table().Find(e.id);
  core::RequestArrived arrived;
  auto new_job = std::make_unique<Job>();
  Job& job = *new_job;
  try {
    if (stored == nullptr || jobs_.contains(e.id)) throw ProtocolError("there is no such job");
    const PushedJob spec = ParseJob(stored->text, config_.classes, true, true);
    const auto& settings = config_.module.settings.classes[static_cast<std::size_t>(stored->job_class)];
    Micros time_limit = spec.deadline.value_or(settings.deadline);
    if (spec.reserved) time_limit = std::max(time_limit, spec.reserve_for);
    job.deadline = context_.loop.Now() + time_limit;
    arrived.hop_timeout = spec.reserve_for;
    // The permitted targets are determined again, as rules may have changed; all else was decided at the
    // PUSH.
    if (rules_ != nullptr)
      arrived.request.required_groups =
          rules_->Evaluate(context_.loop.Now(), ToRuleRequest(spec, stored->text.size()), true)
              .required_groups;
  } catch (const ProtocolError&) {
    return driver_.Post(core::RoundInvalid{e.id});
  }
  job.jid = e.id;
  job.queue = stored->lane;
  job.text = stored->text;
  job.job_class = stored->job_class;
  job.ticket = ++last_ticket_;
  job.is_round = true;
  job_bytes_ += job.text.size();
  tickets_[job.ticket] = &job;
  jobs_[job.jid] = std::move(new_job);
  arrived.round = true;
  arrived.id = arrived.client = e.id;
  arrived.request.id = job.ticket;
  arrived.request.job_class = job.job_class;
  arrived.request.deadline = job.deadline;
  arrived.request.key = stored->key;
  arrived.request.priority = stored->priority;
  driver_.Post(std::move(arrived));
}

void Front::AddStoreInfo(Json::Value& faktory) const {
  using Status = durable::JobTable::Status;
  const durable::JobManager& job_manager = *reducer().job_manager();
  const durable::JobTable& table = job_manager.table();
  const auto size = [&table](Status status) { return Json::UInt64(table.Count(status)); };
  const auto later = std::min(job_manager.delayed(), table.Count(Status::kWaiting));
  Json::Value& queues = faktory["queues"] = Json::objectValue;
  for (const auto& [lane, waiting] : table.waiting_per_lane()) queues[lane] = Json::UInt64(waiting);
  faktory["tasks"]["Scheduled"]["size"] = Json::UInt64(later);
  faktory["tasks"]["Retries"]["size"] = size(Status::kRetrying);
  faktory["tasks"]["Busy"]["size"] = size(Status::kLeased);
  faktory["tasks"]["Dead"]["size"] = size(Status::kFailed);
  faktory["total_enqueued"] = size(Status::kWaiting);
  faktory["total_processed"] = Json::UInt64(job_manager.counters().done);
  faktory["total_failures"] = Json::UInt64(job_manager.counters().failed + job_manager.counters().retries);
}

}  // namespace heronway::faktory
