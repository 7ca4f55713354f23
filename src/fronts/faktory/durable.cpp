// The Faktory front with durable jobs: a PUSH is answered when its job is stored, a job's rounds come back
// from the store, and what a worker says counts for jobs from before a crash as well.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/fronts/faktory/connection.h"
#include "src/fronts/log_reports.h"

namespace heronway::faktory {
namespace {

constexpr int kRetries = 25;  // the protocol's own number, where a job doesn't say
constexpr const char* kUnknown = "STORE it is not known whether this is stored; say it again";

constexpr const char* kMayBeElsewhere = "NOTHELD another may have this job; push it again";
constexpr Micros kLookUpTime = 600'000;  // less than any process has to stop
constexpr const char* kNotNow = "NOTHELD nobody holds this job at this moment; say it again";

}  // namespace

// With durable jobs a worker is known again over restarts of either side: by its wid alone.
core::TargetId Front::TargetOf(const std::string& wid) {
  if (!durable()) return ++last_target_;
  core::TargetId id = XXH3_64bits(wid.data(), wid.size());
  // Guards the one who holds a lease against another whose wid has the same hash.
  while (id == 0 || targets_.contains(id)) ++id;
  return id;
}

void Front::ReplyWhenStored(Connection& c, std::string line, int store_id) {
  c.storing = true;
  c.timer.Stop();
  driver_.WhenStored(
      [at = c.weak_from_this(), line = std::move(line)](bool stored) {
        const auto c = at.lock();
        if (c == nullptr || !c->stream.open() || !std::exchange(c->storing, false)) return;
        c->Send(stored ? line : Error(kUnknown));
      },
      store_id);
}

// Refuses the client where no job can be taken now.
bool Front::CanTake(Connection& c) {
  if (!driver_.StoreUnavailable() && !reducer().draining()) return true;
  ++turned_away_;
  c.Send(Error(reducer().draining() ? "SHED it stops; come back in 1.000 s"
                                    : "SHED the store can take no more now; come back in 1.000 s"));
  return false;
}

void Front::PushDurable(Connection& c, faktory::Job& spec, std::string_view rest,
                        const match::Service::Judgement& judged) {
  if (!CanTake(c)) return;
  core::JobSubmitted submitted;
  submitted.id = spec.jid;
  durable::JobSpec& task = submitted.task;
  task.job_class = spec.job_class;
  task.text = rest;
  task.lane = spec.queue;
  task.retries = spec.retry.value_or(kRetries);
  if (judged.repeats) task.retries = std::min(task.retries, *judged.repeats);
  task.priority = judged.priority;
  task.key = spec.key;
  task.not_before = spec.at;
  if (!look_up_job_) return TakeDurable(c, std::move(submitted));
  c.storing = true;
  c.timer.Stop();
  const std::string jid = submitted.id;
  look_up_job_(jid, kLookUpTime,
               [this, at = c.weak_from_this(),
                submitted = std::move(submitted)](const cluster::copies::LookupResult& result) {
                 using cluster::copies::LookupStatus;
                 const auto c = at.lock();
                 if (c == nullptr || !c->stream.open() || !std::exchange(c->storing, false)) return;
                 if (result.status == LookupStatus::kUnknown) return TakeDurable(*c, submitted);
                 if (result.status == LookupStatus::kRetry) return c->Send(Error(kMayBeElsewhere));
                 ++joined_;
                 c->Send(Simple("OK"));
               });
}

void Front::TakeDurable(Connection& c, core::JobSubmitted submitted) {
  if (!CanTake(c)) return;
  const std::string jid = submitted.id;
  driver_.Post(std::move(submitted));
  ReplyWhenStored(c, Simple("OK"), reducer().job_manager()->StoreIdOf(jid));
}

// The worker hears that its word counts when it is stored: until then it must not forget the job.
void Front::AckDurable(Connection& c, core::HopCallback news) {
  if (lead_word_ && reducer().job_manager()->table().Find(news.id) == nullptr) {
    c.storing = true;
    c.timer.Stop();
    return lead_word_(news, [this, at = c.weak_from_this()](cluster::copies::ForwardOutcome outcome) {
      const auto c = at.lock();
      if (c == nullptr || !c->stream.open() || !std::exchange(c->storing, false)) return;
      late_acks_ += outcome == cluster::copies::ForwardOutcome::kUnknownJob ? 1 : 0;
      c->Send(outcome == cluster::copies::ForwardOutcome::kRetry ? Error(kNotNow) : Simple("OK"));
    });
  }
  const auto late = reducer().counters().late_callbacks;
  const int store_id = reducer().job_manager()->StoreIdOf(news.id);
  driver_.Post(std::move(news));
  late_acks_ += reducer().counters().late_callbacks - late;
  ReplyWhenStored(c, Simple("OK"), store_id);
}

// A round of a stored job: a request as any other, but that nobody waits for it here.
void Front::Do(core::StartRound& e) {
  const durable::Job* stored = reducer().job_manager()->table().Find(e.id);
  core::RequestArrived arrived;
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  try {
    if (stored == nullptr || jobs_.contains(e.id)) throw Fault("there is no such job");
    const faktory::Job spec = ParseJob(stored->text, config_.classes, true, true);
    const auto& settings = config_.module.settings.classes[static_cast<std::size_t>(stored->job_class)];
    Micros patience = spec.deadline.value_or(settings.deadline);
    if (spec.reserved) patience = std::max(patience, spec.reserve_for);
    job.deadline = shared_.loop.Now() + patience;
    arrived.hop_timeout = spec.reserve_for;
    // Which targets it may go to is asked anew, as rules may have changed; the rest was judged when it came.
    if (rules_ != nullptr)
      arrived.request.required_groups =
          rules_->Judge(shared_.loop.Now(), AsRequest(spec, stored->text.size()), true).only;
  } catch (const Fault&) {
    return driver_.Post(core::RoundInvalid{e.id});
  }
  job.jid = e.id;
  job.queue = stored->lane;
  job.text = stored->text;
  job.job_class = stored->job_class;
  job.ticket = ++last_ticket_;
  job.round = true;
  held_bytes_ += job.text.size();
  tickets_[job.ticket] = &job;
  jobs_[job.jid] = std::move(owned);
  arrived.round = true;
  arrived.id = arrived.client = e.id;
  arrived.request.id = job.ticket;
  arrived.request.job_class = job.job_class;
  arrived.request.deadline = job.deadline;
  arrived.request.key = stored->key;
  arrived.request.priority = stored->priority;
  driver_.Post(std::move(arrived));
}

void Front::InfoOfStore(Json::Value& faktory) const {
  using Status = durable::JobTable::Status;
  const durable::JobManager& job_manager = *reducer().job_manager();
  const durable::JobTable& table = job_manager.table();
  const auto size = [&table](Status place) { return Json::UInt64(table.Count(place)); };
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
