#include "src/durable/job_table.h"

#include <algorithm>
#include <utility>

namespace heronway::durable {
namespace {

bool IsLeased(const Job& job) { return job.leased(); }

Record MakeRecord(RecordKind kind, Micros now, const std::string& id, std::uint32_t epoch) {
  Record r;
  r.kind = kind;
  r.at = now;
  r.id = id;
  r.epoch = epoch;
  return r;
}

}  // namespace

const std::string* JobTable::FindByAlias(const std::string& alias) const {
  const auto it = alias.empty() ? aliases_.end() : aliases_.find(alias);
  return it == aliases_.end() ? nullptr : &it->second;
}

const JobTable::Job* JobTable::Find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<Record> JobTable::Accept(Micros now, const std::string& id, JobSpec spec) const {
  if (id.empty() || Find(id) != nullptr || spec.job_class < 0 ||
      spec.job_class >= static_cast<int>(classes_.size()) || FindByAlias(spec.alias) != nullptr)
    return std::nullopt;
  Record r = MakeRecord(RecordKind::kAccepted, now, id, 0);
  r.job_class = spec.job_class;
  r.text = std::move(spec.text);
  r.alias = std::move(spec.alias);
  r.lane = std::move(spec.lane);
  r.retries = spec.retries;
  r.priority = spec.priority;
  r.key = spec.key;
  r.until = spec.not_before;
  return r;
}

// Whether any further lease is allowed. Jobs that have not run may always be leased. Of those that may have
// run, idempotent ones may, keyed ones while the workers still drop retries, at-most-once ones never.
bool JobTable::CanLeaseAgain(const Job& job, Micros now) const {
  const ClassRules& c = ClassRulesOf(job);
  if (job.epoch >= static_cast<std::uint32_t>(c.max_leases)) return false;
  if (job.may_have_run_since < 0 || c.idempotency == Idempotency::kIdempotent) return true;
  return c.idempotency == Idempotency::kDeduplicated && now >= job.may_have_run_since &&
         job.may_have_run_since > clock_stepped_at_ && now - job.may_have_run_since < c.key_ttl;
}

bool JobTable::CanLease(Micros now, const std::string& id, const LeaseHolder& to) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != JobState::kWaiting || !CanLeaseAgain(*job, now)) return false;
  const ClassRules& c = ClassRulesOf(*job);
  if (job->may_have_run_since < 0 || c.idempotency == Idempotency::kIdempotent) return true;
  // A worker outside the deduplication scope would not recognize the retry and run the job twice.
  return c.dedup_scope == DedupScope::kAll ||
         (c.dedup_scope == DedupScope::kZone && to.zone == job->first_holder.zone) ||
         (c.dedup_scope == DedupScope::kCell && to.cell == job->first_holder.cell &&
          to.zone == job->first_holder.zone);
}

std::optional<Record> JobTable::Lease(Micros now, const std::string& id, const LeaseHolder& to) const {
  if (!CanLease(now, id, to)) return std::nullopt;
  const Job& job = *Find(id);
  Record r = MakeRecord(RecordKind::kLeased, now, id, job.epoch + 1);
  r.holder = to;
  r.until = now + ClassRulesOf(job).lease;
  return r;
}

std::optional<Record> JobTable::MakeHolderRecord(Micros now, const std::string& id, std::uint32_t epoch,
                                                 RecordKind kind) const {
  const Job* job = Find(id);
  if (job == nullptr || epoch == 0 || epoch > job->epoch) return std::nullopt;  // no such lease
  const bool is_holder = IsLeased(*job) && epoch == job->epoch;
  return MakeRecord(is_holder ? kind : RecordKind::kStale, now, id, epoch);
}

std::optional<Record> JobTable::Start(Micros now, const std::string& id, std::uint32_t epoch) const {
  auto r = MakeHolderRecord(now, id, epoch, RecordKind::kStarted);
  if (r && r->kind == RecordKind::kStarted)
    r->until = std::max(Find(id)->until, now + ClassRulesOf(*Find(id)).lease);
  return r;
}

// A clock that steps back does not shorten a lease.
std::optional<Record> JobTable::Renew(Micros now, const std::string& id, std::uint32_t epoch) const {
  auto r = MakeHolderRecord(now, id, epoch, RecordKind::kRenewed);
  if (r && r->kind == RecordKind::kRenewed)
    r->until = std::max(Find(id)->until, now + ClassRulesOf(*Find(id)).lease);
  return r;
}

// Not allowed once the holder has reported that it started the job.
std::optional<Record> JobTable::ReturnLease(Micros now, const std::string& id, std::uint32_t epoch) const {
  const Job* job = Find(id);
  if (job != nullptr && job->state == JobState::kStarted && epoch == job->epoch) return std::nullopt;
  return MakeHolderRecord(now, id, epoch, RecordKind::kReturned);
}

std::optional<Record> JobTable::Finish(Micros now, const std::string& id, std::uint32_t epoch,
                                       Outcome outcome, std::string result) const {
  if (outcome == Outcome::kNone) return std::nullopt;
  auto r = MakeHolderRecord(now, id, epoch, RecordKind::kFinished);
  if (!r || r->kind != RecordKind::kFinished) return r;
  // A failure of a job that may run again is not final.
  if (outcome == Outcome::kFailed && CanLeaseAgain(*Find(id), now)) {
    r->kind = RecordKind::kExpired;
    return r;
  }
  r->outcome = outcome;
  r->text = std::move(result);
  return r;
}

std::optional<Record> JobTable::LoseLease(Micros now, const std::string& id, std::uint32_t epoch) const {
  auto r = MakeHolderRecord(now, id, epoch, RecordKind::kExpired);
  if (r && r->kind == RecordKind::kExpired && !CanLeaseAgain(*Find(id), now))
    return MakeFailure(now, id, epoch, "lost");
  return r;
}

std::optional<Record> JobTable::Fail(Micros now, const std::string& id, std::uint32_t epoch,
                                     std::string error, Micros backoff) const {
  auto r = MakeHolderRecord(now, id, epoch, RecordKind::kRetry);
  if (!r || r->kind != RecordKind::kRetry) return r;
  const Job& job = *Find(id);
  if (job.failures >= job.retries || !CanLeaseAgain(job, now))
    return MakeFailure(now, id, epoch, std::move(error));
  // A keyed job cannot be leased once its key has expired, so it is then retried without the backoff.
  r->until = CanLeaseAgain(job, now + backoff) ? now + backoff : now;
  r->text = std::move(error);
  return r;
}

std::optional<Record> JobTable::Requeue(Micros now, const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != JobState::kFinished || job->outcome != Outcome::kFailed)
    return std::nullopt;
  return MakeRecord(RecordKind::kRequeued, now, id, job->epoch);
}

std::optional<Record> JobTable::Discard(Micros now, const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr || IsLeased(*job)) return std::nullopt;
  return MakeRecord(RecordKind::kDiscarded, now, id, job->epoch);
}

Record JobTable::ClockSteppedBack(Micros last_time) const {
  return MakeRecord(RecordKind::kClockSteppedBack, last_time, {}, 0);
}

Record JobTable::MakeFailure(Micros now, const std::string& id, std::uint32_t epoch,
                             std::string error) const {
  Record r = MakeRecord(RecordKind::kFinished, now, id, epoch);
  r.outcome = Outcome::kFailed;
  r.text = std::move(error);
  return r;
}

std::optional<Record> JobTable::FailWaiting(Micros now, const std::string& id, std::string error) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != JobState::kWaiting) return std::nullopt;
  return MakeFailure(now, id, job->epoch, std::move(error));
}

std::vector<Record> JobTable::DueRecords(Micros now, std::size_t max) const {
  std::vector<Record> out;
  for (const auto& [until, id] : due_) {
    if (until > now || out.size() >= max) break;
    const Job& job = *Find(id);
    if (job.state == JobState::kFinished) {
      out.push_back(MakeRecord(RecordKind::kPurged, now, id, job.epoch));
    } else if (CanLeaseAgain(job, now)) {
      out.push_back(MakeRecord(RecordKind::kExpired, now, id, job.epoch));
    } else {
      out.push_back(MakeFailure(now, id, job.epoch, "the lease ran out"));
    }
  }
  return out;
}

std::vector<Record> JobTable::Recover(Micros now, Micros grace) const {
  std::vector<Record> out;
  for (const auto& [id, job] : jobs_) {
    if (!IsLeased(job) || job.until >= now + grace) continue;
    out.push_back(MakeRecord(RecordKind::kRenewed, now, id, job.epoch));
    out.back().until = now + grace;
  }
  return out;
}

JobTable::Status JobTable::StatusOf(const Job& job) {
  if (job.leased()) return Status::kLeased;
  if (job.state == JobState::kWaiting) return job.failures == 0 ? Status::kWaiting : Status::kRetrying;
  return job.outcome == Outcome::kDone ? Status::kDone : Status::kFailed;
}

const char* JobTable::StatusName(Status status) {
  // As the tools print and accept them; kLeased is "held" there.
  constexpr const char* kNames[] = {"waiting", "retrying", "held", "done", "failed"};
  return kNames[static_cast<std::size_t>(status)];
}

void JobTable::Count(const Job& job, int by) {
  const Status status = StatusOf(job);
  counts_[static_cast<std::size_t>(status)] += static_cast<std::size_t>(by);
  if (job.state != JobState::kWaiting) return;
  const auto lane = waiting_per_lane_.try_emplace(job.lane).first;
  lane->second += static_cast<std::size_t>(by);
  if (lane->second == 0) waiting_per_lane_.erase(lane);
}

// `until` of a waiting job is not tracked in due_: JobManager schedules waiting jobs.
void JobTable::SetUntil(const std::string& id, Job& job, Micros until) {
  due_.erase({job.until, id});
  job.until = until;
  if (until > 0 && job.state != JobState::kWaiting) due_.emplace(until, id);
}

void JobTable::EraseJob(std::map<std::string, Job>::iterator it) {
  due_.erase({it->second.until, it->first});
  if (!it->second.alias.empty()) aliases_.erase(it->second.alias);
  jobs_.erase(it);
}

bool JobTable::Restore(const std::string& id, Job job) {
  if (id.empty() || job.job_class < 0 || job.job_class >= static_cast<int>(classes_.size())) return false;
  if (job.state > JobState::kFinished || job.outcome > Outcome::kFailed || FindByAlias(job.alias) != nullptr)
    return false;
  const Micros until = std::exchange(job.until, 0);
  const auto [it, inserted] = jobs_.try_emplace(id, std::move(job));
  if (!inserted) return false;
  Job& restored = it->second;
  last_time_ = std::max(last_time_, restored.updated_at);
  Count(restored, 1);
  if (!restored.alias.empty()) aliases_[restored.alias] = id;
  SetUntil(id, restored, until);
  return true;
}

void JobTable::Remove(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Count(it->second, -1);
  EraseJob(it);
}

bool JobTable::Apply(const Record& r) {
  if (r.kind == RecordKind::kClockSteppedBack) {
    set_clock_stepped_at(r.at);
    return true;
  }
  if (r.kind == RecordKind::kAccepted) {
    if (r.id.empty() || r.job_class < 0 || r.job_class >= static_cast<int>(classes_.size())) return false;
    if (FindByAlias(r.alias) != nullptr) return false;
    const auto [it, inserted] = jobs_.try_emplace(r.id);
    if (!inserted) return false;
    Job& job = it->second;
    job.job_class = r.job_class;
    job.text = r.text;
    job.alias = r.alias;
    job.lane = r.lane;
    job.retries = r.retries;
    job.priority = r.priority;
    job.key = r.key;
    job.until = r.until;
    job.accepted_at = job.updated_at = r.at;
    if (!r.alias.empty()) aliases_[r.alias] = r.id;
    last_time_ = std::max(last_time_, r.at);
    Count(job, 1);
    return true;
  }
  const auto it = jobs_.find(r.id);
  if (it == jobs_.end() || !IsValidNext(it->second, r)) return false;
  last_time_ = std::max(last_time_, r.at);
  Job& job = it->second;
  Count(job, -1);
  job.updated_at = std::max(job.updated_at, r.at);
  switch (r.kind) {
    case RecordKind::kLeased:
      job.state = JobState::kLeased;
      job.epoch = r.epoch;
      job.holder = r.holder;
      // From here on the job may run without any report. That it never ran is known only if the holder says
      // so.
      if (job.may_have_run_since < 0) {
        job.may_have_run_since = r.at;
        job.first_holder = r.holder;
      }
      SetUntil(r.id, job, r.until);
      break;
    case RecordKind::kStarted:
    case RecordKind::kRenewed:
      if (r.kind == RecordKind::kStarted) job.state = JobState::kStarted;
      SetUntil(r.id, job, r.until);
      break;
    case RecordKind::kReturned:
    case RecordKind::kExpired:
    case RecordKind::kRetry:
      if (r.kind == RecordKind::kReturned) {
        // The job has not run at all only if no earlier lease may have run it.
        if (!job.may_have_run_before) job.may_have_run_since = -1;
      } else {
        job.may_have_run_before = true;
      }
      if (r.kind == RecordKind::kRetry) {
        ++job.failures;
        job.error = r.text;
      }
      SetUntil(r.id, job, 0);
      job.state = JobState::kWaiting;
      job.until = r.kind == RecordKind::kRetry ? r.until : 0;
      break;
    case RecordKind::kFinished:
      job.state = JobState::kFinished;
      job.outcome = r.outcome;
      (r.outcome == Outcome::kDone ? job.text : job.error) = r.text;
      SetUntil(r.id, job,
               r.at + (r.outcome == Outcome::kDone ? ClassRulesOf(job).keep_finished
                       : job.retries < 0           ? 0
                                                   : ClassRulesOf(job).keep_failed));
      break;
    case RecordKind::kRequeued:
      SetUntil(r.id, job, 0);
      job.state = JobState::kWaiting;
      job.outcome = Outcome::kNone;
      job.failures = 0;
      job.may_have_run_before = false;
      job.may_have_run_since = -1;
      break;
    case RecordKind::kPurged:
    case RecordKind::kDiscarded:
      EraseJob(it);
      return true;
    case RecordKind::kStale:
    case RecordKind::kAccepted:
    case RecordKind::kClockSteppedBack:
      break;
  }
  Count(job, 1);
  return true;
}

// Whether the record is a valid next transition of the job.
bool JobTable::IsValidNext(const Job& job, const Record& r) const {
  const bool current = IsLeased(job) && r.epoch == job.epoch;
  switch (r.kind) {
    case RecordKind::kLeased:
      return job.state == JobState::kWaiting && r.epoch == job.epoch + 1;
    case RecordKind::kStarted:
    case RecordKind::kRenewed:
    case RecordKind::kExpired:
    case RecordKind::kRetry:
      return current;
    case RecordKind::kReturned:
      return current && job.state != JobState::kStarted;
    case RecordKind::kFinished:
      return job.state != JobState::kFinished && r.outcome != Outcome::kNone &&
             (IsLeased(job) ? current : r.epoch == job.epoch);
    case RecordKind::kPurged:
      return job.state == JobState::kFinished;
    case RecordKind::kRequeued:
      return job.state == JobState::kFinished && job.outcome == Outcome::kFailed;
    case RecordKind::kDiscarded:
      return !IsLeased(job);
    case RecordKind::kStale:
      return true;
    case RecordKind::kAccepted:
    case RecordKind::kClockSteppedBack:
      return false;
  }
  return false;
}

}  // namespace heronway::durable
