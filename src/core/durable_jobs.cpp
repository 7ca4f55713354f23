// The reducer's part in durable jobs: records and rounds, and jobs that come from another scheduler or go
// there.
#include <algorithm>
#include <utility>

#include "src/core/reducer.h"

namespace heronway::core {

// What is decided is in the records before what rests on it is among the effects.
void Reducer::EmitRecords() {
  if (records_.empty()) return;
  std::vector<Settled> settled;
  std::vector<Persist> parts;  // one for each store; nearly always one
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

void Reducer::FinishRound(const Job& job, AnswerKind kind, Micros wait) {
  using End = durable::JobManager::DispatchResult;
  const auto id = job.id;
  job_manager_->DispatchEnded(now_, id,
                              kind == AnswerKind::kServed     ? End::kServed
                              : kind == AnswerKind::kShed     ? End::kShed
                              : kind == AnswerKind::kRejected ? End::kRejected
                                                              : End::kFailed,
                              wait, records_);
  if (job.round) {
    --rounds_;
  } else if (kind == AnswerKind::kShed) {
    // The client is told that nothing was done: so nothing is kept of it.
    job_manager_->Discard(now_, id, records_);
  } else if (kind == AnswerKind::kFailed) {
    job_manager_->FailWaiting(now_, id, records_);
  }
  EmitRecords();
}

void Reducer::StartDueRounds() {
  while (drain_began_ < 0) {
    auto id = job_manager_->NextToDispatch(now_, records_);
    if (!id) break;
    EmitRecords();
    const int store_id = job_manager_->StoreIdOf(*id);
    effects_->push_back(StartRound{std::move(*id), store_id});
  }
  EmitRecords();
  const Micros next = drain_began_ < 0 ? job_manager_->next_wakeup(now_) : -1;
  if (next >= 0 && (job_manager_wakeup_ == 0 || next < job_manager_wakeup_))
    due_.push({job_manager_wakeup_ = next, 0, 4, 0});
}

void Reducer::CheckLeases() {
  job_manager_wakeup_ = 0;
  std::vector<std::string> lapsed;
  job_manager_->ProcessDue(now_, records_, lapsed);
  for (const auto& id : lapsed) {
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

// Its client is told that the outcome is not known, and the job becomes a round as if that had gone. What is
// told promises nothing, so it waits for no record.
void Reducer::AnswerAndContinueJob(Ticket ticket) {
  Job& job = jobs_.at(ticket);
  job.round = true;
  ++rounds_;
  ++counters_.failed;
  ++CountsOf(job.job_class).errored;
  if (job.tenant != TenantTable::kNone) ++tenants_.At(job.tenant).failed;
  effects_->push_back(Answer{ticket, AnswerKind::kFailed, 0, {}, false, job.deadline, job.store_id});
}

// At a planned stop: what no worker has yet waits in the store.
void Reducer::EndIdleRounds() {
  std::vector<Ticket> idle;
  for (const auto& [ticket, job] : jobs_) {
    const bool out = std::any_of(job.hops.begin(), job.hops.end(),
                                 [](const Hop& h) { return h.state != HopState::kEnded; });
    if (job.round && !job.answered && !out) idle.push_back(ticket);
  }
  for (const Ticket ticket : idle) {
    Job& job = jobs_.at(ticket);
    job.answered = true;
    --held_;
    --rounds_;
    RetainId(job.id);
    job_manager_->DispatchEnded(now_, job.id, durable::JobManager::DispatchResult::kWithdrawn, 0, records_);
    TellModule(pebblenotch::ClientGone{ticket});
    ForgetIfOver(ticket);
  }
}

namespace {

durable::JobManager::WorkerReport SaidBy(CallbackState news) {
  using Said = durable::JobManager::WorkerReport;
  switch (news) {
    case CallbackState::kStarted:
      return Said::kStarted;
    case CallbackState::kRunning:
      return Said::kRunning;
    case CallbackState::kDone:
      return Said::kDone;
    case CallbackState::kFailed:
      return Said::kFailed;
    case CallbackState::kReturned:
      return Said::kReturned;
    case CallbackState::kLost:
      break;
  }
  return Said::kLost;
}

}  // namespace

// A hop's word while its round is on. A failure within a client's wait is one hop's end: the module may try
// another.
void Reducer::ReportToJobManager(const Job& job, int hop, const HopCallback& e) {
  if (e.state == CallbackState::kFailed && !job.round) return;
  job_manager_->HandleReport(now_, job.id, job.hops[static_cast<std::size_t>(hop)].epoch, SaidBy(e.state),
                             e.result, records_);
}

// Word of a job that no round is on for: its holder had it from before a crash, or lost it meanwhile.
void Reducer::OnUnmatchedCallback(const HopCallback& e) {
  const auto epoch = job_manager_->CurrentEpoch(e.id, e.from);
  if (epoch == 0 || job_manager_->IsActive(e.id) ||
      !job_manager_->HandleReport(now_, e.id, epoch, SaidBy(e.state), e.result, records_))
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

void Reducer::On(HomeClosing& e) { job_manager_->CloseStore(e.store_id); }

// Guards against a second answer, and a second run, when another looks after these jobs: what it decides is
// not known here, so clients are told that the outcome is not known, and nothing is recorded. Hops that are
// out are left to their workers: whoever looks after the jobs now counts on them by their leases.
void Reducer::On(HomeLost& e) {
  std::vector<Ticket> tickets;
  for (const auto& [ticket, job] : jobs_) {
    if (job.durable && job.store_id == e.store_id) tickets.push_back(ticket);
  }
  for (const Ticket ticket : tickets) {
    Job& job = jobs_.at(ticket);
    job.durable = false;
    if (job.answered) continue;
    rounds_ -= std::exchange(job.round, false) ? 1 : 0;
    FinalAnswer(ticket, AnswerKind::kFailed, 0, {});
    TellModule(pebblenotch::ClientGone{ticket});
    ForgetIfOver(ticket);
  }
  std::vector<std::string> ids;
  job_manager_->DropStore(e.store_id, ids);
  for (auto& id : ids) effects_->push_back(Settled{std::move(id), e.store_id});
}

}  // namespace heronway::core
