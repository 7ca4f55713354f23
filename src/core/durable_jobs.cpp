// Durable jobs in the reducer: records, rounds, leases, and the transfer of jobs between schedulers.
#include <algorithm>
#include <utility>

#include "src/core/reducer.h"

namespace heronway::core {

// Emits the pending records. Callers do this before they emit an effect that depends on one of them.
void Reducer::EmitRecords() {
  if (records_.empty()) return;
  std::vector<Settled> settled;
  std::vector<Persist> parts;  // one for each store; usually only one
  for (auto& r : records_) {
    if (r.kind == durable::RecordKind::kFinished || r.kind == durable::RecordKind::kDiscarded)
      settled.push_back(Settled{r.id, r.store_id});
    auto part =
        std::find_if(parts.begin(), parts.end(), [&r](const Persist& p) { return p.store_id == r.store_id; });
    if (part == parts.end()) part = parts.insert(parts.end(), Persist{{}, r.store_id});
    part->records.push_back(std::move(r));
  }
  records_.clear();
  for (auto& part : parts) effects_->push_back(std::move(part));
  for (auto& s : settled) effects_->push_back(std::move(s));
}

void Reducer::FinishRound(const Job& job, AnswerKind kind, Micros retry_delay) {
  using End = durable::JobManager::DispatchResult;
  const auto id = job.id;
  job_manager_->DispatchEnded(now_, id,
                              kind == AnswerKind::kServed     ? End::kServed
                              : kind == AnswerKind::kShed     ? End::kShed
                              : kind == AnswerKind::kRejected ? End::kRejected
                                                              : End::kFailed,
                              retry_delay, records_);
  if (job.round) {
    --rounds_in_progress_;
  } else if (kind == AnswerKind::kShed) {
    // The client is told that the job was not accepted, so the job is not kept.
    job_manager_->Discard(now_, id, records_);
  } else if (kind == AnswerKind::kFailed) {
    job_manager_->FailWaiting(now_, id, records_);
  }
  EmitRecords();
}

void Reducer::StartDueRounds() {
  while (drain_started_at_ < 0) {
    auto id = job_manager_->NextToDispatch(now_, records_);
    if (!id) break;
    EmitRecords();
    const int store_id = job_manager_->StoreIdOf(*id);
    effects_->push_back(StartRound{std::move(*id), store_id});
  }
  EmitRecords();
  const Micros next = drain_started_at_ < 0 ? job_manager_->next_wakeup(now_) : -1;
  if (next >= 0 && (job_manager_wakeup_ == 0 || next < job_manager_wakeup_))
    timers_.push({job_manager_wakeup_ = next, 0, kJobManagerTimer, 0});
}

// Cancels the hops whose lease has expired; the job manager handles everything else that is due.
void Reducer::ProcessDueJobs() {
  job_manager_wakeup_ = 0;
  std::vector<std::string> expired;
  job_manager_->ProcessDue(now_, records_, expired);
  for (const auto& id : expired) {
    const auto it = by_id_.find(id);
    const auto job = it == by_id_.end() ? jobs_.end() : jobs_.find(it->second);
    if (job == jobs_.end()) continue;
    const Ticket ticket = it->second;
    for (std::size_t i = 0; i < job->second.hops.size(); ++i) {
      if (job->second.hops[i].epoch == job_manager_->table().Find(id)->epoch)
        Cancel(ticket, static_cast<int>(i), Result::kTimeout);
    }
  }
}

// Answers the client that the outcome is unknown. The job continues as a round without a client, as if the
// client had disconnected. This answer commits to nothing, so it does not wait for the records to be stored.
void Reducer::AnswerAndContinueJob(Ticket ticket) {
  Job& job = jobs_.at(ticket);
  job.round = true;
  ++rounds_in_progress_;
  ++counters_.failed;
  ++ClassCountsOf(job.job_class).errored;
  if (job.tenant != TenantTable::kNone) ++tenants_.At(job.tenant).failed;
  effects_->push_back(Answer{ticket, AnswerKind::kFailed, 0, {}, false, job.deadline, job.store_id});
}

// During a graceful shutdown: withdraws rounds that have no hop in flight; their jobs wait in the store.
void Reducer::EndIdleRounds() {
  std::vector<Ticket> idle;
  for (const auto& [ticket, job] : jobs_) {
    const bool hop_in_flight = std::any_of(job.hops.begin(), job.hops.end(),
                                           [](const Hop& h) { return h.state != HopState::kEnded; });
    if (job.round && !job.answered && !hop_in_flight) idle.push_back(ticket);
  }
  for (const Ticket ticket : idle) {
    Job& job = jobs_.at(ticket);
    job.answered = true;
    --unanswered_;
    --rounds_in_progress_;
    RetainId(job);
    job_manager_->DispatchEnded(now_, job.id, durable::JobManager::DispatchResult::kWithdrawn, 0, records_);
    NotifyModule(pebblenotch::ClientGone{ticket});
    EraseIfFinished(ticket);
  }
}

namespace {

durable::JobManager::WorkerReport WorkerReportFor(CallbackState state) {
  using WorkerReport = durable::JobManager::WorkerReport;
  switch (state) {
    case CallbackState::kStarted:
      return WorkerReport::kStarted;
    case CallbackState::kRunning:
      return WorkerReport::kRunning;
    case CallbackState::kDone:
      return WorkerReport::kDone;
    case CallbackState::kFailed:
      return WorkerReport::kFailed;
    case CallbackState::kReturned:
      return WorkerReport::kReturned;
    case CallbackState::kLost:
      break;
  }
  return WorkerReport::kLost;
}

}  // namespace

// Handles a callback from the hop of a round in progress. While a client waits, a failure ends only this hop:
// the module may start another.
void Reducer::ReportToJobManager(const Job& job, int hop, const HopCallback& e) {
  if (e.state == CallbackState::kFailed && !job.round) return;
  job_manager_->HandleReport(now_, job.id, job.hops[static_cast<std::size_t>(hop)].epoch,
                             WorkerReportFor(e.state), e.result, records_);
}

// Handles a callback that matches no hop in flight. Its sender may hold the job since before a crash of this
// process, or its lease may have ended meanwhile.
void Reducer::HandleUnmatchedCallback(const HopCallback& e) {
  const auto epoch = job_manager_->CurrentEpoch(e.id, e.from);
  if (epoch == 0 || job_manager_->IsActive(e.id) ||
      !job_manager_->HandleReport(now_, e.id, epoch, WorkerReportFor(e.state), e.result, records_))
    ++counters_.late_callbacks;
}

void Reducer::On(JobSubmitted& e) { job_manager_->Accept(now_, e.id, std::move(e.task), false, records_); }

void Reducer::On(RoundInvalid& e) {
  job_manager_->DispatchEnded(now_, e.id, durable::JobManager::DispatchResult::kRejected, 0, records_);
}

void Reducer::On(TargetHeartbeat& e) {
  if (job_manager_) job_manager_->RenewLeases(now_, e.target, records_);
}

void Reducer::On(OperatorOrder& e) {
  if (e.order.verb == "retry") job_manager_->Retry(now_, e.order.id, records_);
  if (e.order.verb == "discard") job_manager_->Discard(now_, e.order.id, records_);
}

void Reducer::On(StoreLoaded&) { job_manager_->FinishRecovery(now_, records_); }

void Reducer::On(JobsAdopted& e) {
  if (e.first) job_manager_->BeginAdoption();
  for (auto& [id, job] : e.jobs)
    job_manager_->Adopt(now_, e.store_id, id, std::move(job), e.clock_stepped_at, records_);
}

void Reducer::On(StoreClosing& e) { job_manager_->CloseStore(e.store_id); }

// Prevents a second answer and a second run now that another scheduler manages these jobs. Its decisions are
// not known here, so clients are told that the outcome is unknown, and nothing is recorded. Hops in flight
// are not cancelled: the other scheduler knows them from their leases and relies on them.
void Reducer::On(StoreLost& e) {
  std::vector<Ticket> tickets;
  for (const auto& [ticket, job] : jobs_) {
    if (job.durable && job.store_id == e.store_id) tickets.push_back(ticket);
  }
  for (const Ticket ticket : tickets) {
    Job& job = jobs_.at(ticket);
    job.durable = false;
    if (job.answered) continue;
    rounds_in_progress_ -= std::exchange(job.round, false) ? 1 : 0;
    FinalAnswer(ticket, AnswerKind::kFailed, 0, {});
    NotifyModule(pebblenotch::ClientGone{ticket});
    EraseIfFinished(ticket);
  }
  std::vector<std::string> ids;
  job_manager_->DropStore(e.store_id, ids);
  for (auto& id : ids) effects_->push_back(Settled{std::move(id), e.store_id});
}

}  // namespace heronway::core
