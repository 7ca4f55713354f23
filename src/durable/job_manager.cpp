#include "src/durable/job_manager.h"

#include <algorithm>
#include <utility>

namespace heronway::durable {

JobManager::JobManager(const Settings& settings, std::vector<ClassRules> classes, std::uint64_t seed)
    : settings_(settings),
      table_(classes),
      backlog_(classes.size()),
      window_(std::min(kInitialWindow, settings.max_active), settings.max_active),
      random_(seed) {}

std::vector<ClassRules> JobManager::BuildClassRules(const Settings& settings,
                                                    const pebblenotch::Settings& site) {
  std::vector<ClassRules> out;
  for (const auto& c : site.classes)
    out.push_back({c.idempotency, c.dedup_scope, c.key_ttl, settings.lease, settings.keep_finished,
                   settings.keep_failed, settings.max_leases});
  return out;
}

// The only function that changes the table, so that the table and the stored records cannot differ.
void JobManager::ApplyRecord(const Record& record, Records& out) {
  const Job* job_before = table_.Find(record.id);
  const bool was_leased = job_before != nullptr &&
                          (job_before->state == JobState::kLeased || job_before->state == JobState::kStarted);
  const WorkerId holder = was_leased ? job_before->holder.worker : 0;
  if (!table_.Apply(record)) return;
  const Job* job = table_.Find(record.id);
  const bool is_leased =
      job != nullptr && (job->state == JobState::kLeased || job->state == JobState::kStarted);
  if (was_leased && !is_leased) {
    const auto it = jobs_by_worker_.find(holder);
    if (it != jobs_by_worker_.end() && it->second.erase(record.id) > 0 && it->second.empty())
      jobs_by_worker_.erase(it);
  } else if (is_leased && !was_leased) {
    jobs_by_worker_[job->holder.worker].insert(record.id);
  }
  if (record.kind == RecordKind::kFinished)
    ++(record.outcome == Outcome::kDone ? counters_.done : counters_.failed);
  if (record.kind == RecordKind::kRetry) ++counters_.retries;
  if (record.kind == RecordKind::kExpired) ++counters_.expired;
  if (record.kind == RecordKind::kStale) ++counters_.stale;
  if (job == nullptr || job->state != JobState::kWaiting) backlog_.Remove(record.id);
  out.push_back(record);
  out.back().store_id = StoreIdOf(record.id);
  if (job == nullptr) store_ids_.erase(record.id);
}

// Queues the job in the backlog if it is waiting and not active.
void JobManager::Reschedule(const std::string& id, Micros at) {
  const Job* job = table_.Find(id);
  if (job == nullptr || job->state != JobState::kWaiting || IsActive(id) ||
      closing_stores_.contains(StoreIdOf(id)))
    return;
  backlog_.Schedule(id, job->job_class, job->priority, std::max(job->until, at));
}

// Faktory's backoff in seconds: the fourth power of the failures so far, plus 15, plus a random part that
// spreads jobs which failed together.
Micros JobManager::Backoff(int failures) {
  const double n = std::min(failures, 100);
  const double spread = static_cast<double>(random_(30)) * (n + 1);
  return static_cast<Micros>((n * n * n * n + 15 + spread) * 1e6);
}

void JobManager::FinishRecovery(Micros now, Records& out) {
  if (const Micros newest = table_.last_time(); newest > now) {
    // The clock has stepped back. Times continue from the newest record so that they never decrease; the age
    // of everything before it is unknown.
    clock_offset_ = newest - now;
    ApplyRecord(table_.ClockSteppedBack(newest), out);
  }
  for (const Record& r : table_.Recover(ToJobTime(now), settings_.grace)) ApplyRecord(r, out);
  for (const auto& [id, job] : table_.jobs()) {
    if (job.state == JobState::kFinished) continue;
    ++counters_.recovered;
    if (job.state == JobState::kWaiting) {
      Reschedule(id, 0);
    } else {
      ++counters_.recovered_leased;
      jobs_by_worker_[job.holder.worker].insert(id);
    }
  }
}

bool JobManager::Adopt(Micros now, int store_id, const std::string& id, Job job, Micros clock_stepped_at,
                       Records& out) {
  const Micros at = ToJobTime(now);
  const std::string* alias = table_.FindByAlias(job.alias);
  const std::string known_id = table_.Find(id) != nullptr ? id : alias != nullptr ? *alias : "";
  if (!known_id.empty()) {
    // The client submitted the job here again while its scheduler was unavailable. Of the two jobs, the one
    // that may have run is kept.
    const Job& existing = *table_.Find(known_id);
    const bool idle =
        existing.state == JobState::kWaiting && existing.may_have_run_since < 0 && !IsActive(known_id);
    const bool may_have_run = job.state == JobState::kFinished || job.may_have_run_since >= 0;
    if (!idle || !may_have_run || StoreIdOf(known_id) == store_id) {
      if (job.state == JobState::kFinished || StoreIdOf(known_id) == store_id) return false;
      Record failure;
      failure.kind = RecordKind::kFinished;
      failure.id = id;
      failure.at = at;
      failure.epoch = job.epoch;
      failure.outcome = Outcome::kFailed;
      failure.text = "it was taken elsewhere by the same name";
      failure.store_id = store_id;
      out.push_back(std::move(failure));
      return false;
    }
    if (const auto failure = table_.Discard(at, known_id)) ApplyRecord(*failure, out);
  }
  if (job.may_have_run_since >= 0 && job.may_have_run_since <= clock_stepped_at) job.may_have_run_since = 0;
  const bool was_leased = job.leased();
  const WorkerId holder = job.holder.worker;
  Record renewal;
  renewal.kind = RecordKind::kRenewed;
  renewal.id = id;
  renewal.at = at;
  renewal.epoch = job.epoch;
  renewal.until = std::max(std::min(job.until, at + settings_.lease), at + settings_.grace);
  const bool unfinished = job.state != JobState::kFinished;
  if (!table_.Restore(id, std::move(job))) return false;
  if (store_id != 0) store_ids_[id] = store_id;
  counters_.recovered += unfinished ? 1 : 0;
  if (was_leased) {
    ++counters_.recovered_leased;
    jobs_by_worker_[holder].insert(id);
    ApplyRecord(renewal, out);
  }
  Reschedule(id, 0);
  return true;
}

void JobManager::CloseStore(int store_id) {
  closing_stores_.insert(store_id);
  for (const auto& [id, job] : table_.jobs()) {
    if (StoreIdOf(id) == store_id) backlog_.Remove(id);
  }
}

std::size_t JobManager::ActiveCount(int store_id) const {
  return static_cast<std::size_t>(std::count_if(
      active_.begin(), active_.end(), [&](const std::string& id) { return StoreIdOf(id) == store_id; }));
}

void JobManager::DropStore(int store_id, std::vector<std::string>& ids) {
  const std::size_t from = ids.size();
  for (const auto& [id, job] : table_.jobs()) {
    if (StoreIdOf(id) == store_id) ids.push_back(id);
  }
  for (std::size_t i = from; i < ids.size(); ++i) {
    const Job& job = *table_.Find(ids[i]);
    if (const auto it = jobs_by_worker_.find(job.holder.worker);
        job.leased() && it != jobs_by_worker_.end()) {
      it->second.erase(ids[i]);
      if (it->second.empty()) jobs_by_worker_.erase(it);
    }
    backlog_.Remove(ids[i]);
    active_.erase(ids[i]);
    store_ids_.erase(ids[i]);
    table_.Remove(ids[i]);
  }
  closing_stores_.erase(store_id);
}

bool JobManager::Accept(Micros now, const std::string& id, JobSpec spec, bool active, Records& out) {
  auto record = table_.Accept(ToJobTime(now), id, std::move(spec));
  if (!record || !CanAccept()) return false;
  ApplyRecord(*record, out);
  ++counters_.accepted;
  if (active) active_.insert(id);
  Reschedule(id, 0);
  return true;
}

std::optional<std::string> JobManager::NextToDispatch(Micros now, Records& out) {
  while (static_cast<int>(active_.size()) < window_.size()) {
    auto id = backlog_.PopReady(ToJobTime(now));
    if (!id) return std::nullopt;
    // The job may have run and may not run again: a dispatch could not lease it to any worker.
    if (!table_.CanStillRun(ToJobTime(now), *id)) {
      if (const auto failure =
              table_.FailWaiting(ToJobTime(now), *id, "it may have run and may not be repeated any more"))
        ApplyRecord(*failure, out);
      continue;
    }
    active_.insert(*id);
    ++counters_.dispatches;
    return id;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> JobManager::Lease(Micros now, const std::string& id, const LeaseHolder& to,
                                               Records& out) {
  const auto record = table_.Lease(ToJobTime(now), id, to);
  if (!record) {
    ++counters_.leases_denied;
    return std::nullopt;
  }
  ApplyRecord(*record, out);
  return record->epoch;
}

void JobManager::HopEnded(Micros now, const std::string& id, std::uint32_t epoch, HopResult result,
                          Records& out) {
  const Job* job = table_.Find(id);
  if (job == nullptr || epoch == 0 || epoch != job->epoch || !job->leased()) return;  // reported already
  // A worker that has reported the start cannot return the lease.
  const bool never_ran = result == HopResult::kNeverRan && job->state != JobState::kStarted;
  const auto record =
      never_ran ? table_.ReturnLease(ToJobTime(now), id, epoch) : table_.LoseLease(ToJobTime(now), id, epoch);
  if (record) ApplyRecord(*record, out);
  Reschedule(id, 0);
}

void JobManager::DispatchEnded(Micros now, const std::string& id, DispatchResult result, Micros wait,
                               Records& out) {
  if (active_.erase(id) == 0) return;
  if (result == DispatchResult::kServed) window_.OnServed();
  if (result == DispatchResult::kShed) window_.OnShed(now);
  const Job* job = table_.Find(id);
  if (job == nullptr || job->state != JobState::kWaiting) return;
  if (result == DispatchResult::kRejected) {
    if (const auto failure = table_.FailWaiting(ToJobTime(now), id, "a worker could not use it"))
      ApplyRecord(*failure, out);
    return;
  }
  Reschedule(id,
             result == DispatchResult::kWithdrawn ? 0 : ToJobTime(now) + std::max(wait, kMinRedispatchDelay));
}

std::uint32_t JobManager::CurrentEpoch(const std::string& id, WorkerId worker) const {
  const Job* job = table_.Find(id);
  return job != nullptr && job->leased() && job->holder.worker == worker ? job->epoch : 0;
}

bool JobManager::HandleReport(Micros now, const std::string& id, std::uint32_t epoch, WorkerReport report,
                              std::string text, Records& out) {
  const Job* job = table_.Find(id);
  if (job == nullptr) return false;
  const Micros at = ToJobTime(now);
  std::optional<Record> record;
  switch (report) {
    case WorkerReport::kStarted:
      record = job->state == JobState::kStarted ? table_.Renew(at, id, epoch) : table_.Start(at, id, epoch);
      break;
    case WorkerReport::kRunning:
      // A lease with most of its time left is not renewed, which saves the record.
      if (job->leased() && epoch == job->epoch && job->until > at + settings_.lease * 3 / 4) return true;
      record = table_.Renew(at, id, epoch);
      break;
    case WorkerReport::kDone:
      record = table_.Finish(at, id, epoch, Outcome::kDone, std::move(text));
      break;
    case WorkerReport::kFailed:
      record = table_.Fail(at, id, epoch, std::move(text), Backoff(job->failures));
      break;
    case WorkerReport::kReturned:
      record = job->state == JobState::kStarted ? table_.LoseLease(at, id, epoch)
                                                : table_.ReturnLease(at, id, epoch);
      break;
    case WorkerReport::kLost:
      record = table_.LoseLease(at, id, epoch);
      break;
  }
  if (!record) return false;
  ApplyRecord(*record, out);
  Reschedule(id, 0);
  return record->kind != RecordKind::kStale;
}

void JobManager::RenewLeases(Micros now, WorkerId worker, Records& out) {
  const auto it = jobs_by_worker_.find(worker);
  if (it == jobs_by_worker_.end()) return;
  for (const std::string& id : std::vector<std::string>(it->second.begin(), it->second.end())) {
    // A sign of life names no job. A lease that was stored before its job was sent proves nothing after a
    // restart or a takeover: the worker may never have received it.
    if (table_.Find(id)->state != JobState::kStarted && !IsActive(id)) continue;
    HandleReport(now, id, CurrentEpoch(id, worker), WorkerReport::kRunning, {}, out);
  }
}

bool JobManager::Retry(Micros now, const std::string& id, Records& out) {
  const auto record = table_.Requeue(ToJobTime(now), id);
  if (!record) return false;
  ApplyRecord(*record, out);
  Reschedule(id, 0);
  return true;
}

bool JobManager::Discard(Micros now, const std::string& id, Records& out) {
  const auto record = IsActive(id) ? std::nullopt : table_.Discard(ToJobTime(now), id);
  if (!record) return false;
  ApplyRecord(*record, out);
  return true;
}

void JobManager::ProcessDue(Micros now, Records& out, std::vector<std::string>& expired_active) {
  for (const Record& r : table_.DueRecords(ToJobTime(now), kMaxDuePerCall)) {
    if (IsActive(r.id) && table_.Find(r.id)->leased()) {
      // The caller cancels the hop. The renewal keeps the lease from being reported again until the hop has
      // ended.
      Record renewal = r;
      renewal.kind = RecordKind::kRenewed;
      renewal.until = ToJobTime(now) + kCancelGrace;
      ApplyRecord(renewal, out);
      expired_active.push_back(r.id);
      continue;
    }
    ApplyRecord(r, out);
    Reschedule(r.id, 0);
  }
}

Micros JobManager::next_wakeup(Micros now) const {
  Micros at = -1;
  const auto sooner = [&at](Micros other) { at = at < 0 ? other : std::min(at, other); };
  if (const Micros due = table_.next_due(); due > 0) sooner(due);
  if (static_cast<int>(active_.size()) < window_.size() && backlog_.next_ready_at() >= 0)
    sooner(backlog_.next_ready_at());
  return at < 0 ? -1 : std::max(now, at - clock_offset_);
}

}  // namespace heronway::durable
