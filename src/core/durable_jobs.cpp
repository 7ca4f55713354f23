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
  std::vector<Persist> parts;  // a home each; nearly always one
  for (auto& r : records_) {
    if (r.kind == durable::Kind::kAnswered || r.kind == durable::Kind::kDiscarded)
      settled.push_back(Settled{r.id, r.home});
    auto part = std::find_if(parts.begin(), parts.end(), [&r](const Persist& p) { return p.home == r.home; });
    if (part == parts.end()) part = parts.insert(parts.end(), Persist{{}, r.home});
    part->records.push_back(std::move(r));
  }
  records_.clear();
  for (auto& part : parts) effects_->push_back(std::move(part));
  for (auto& s : settled) effects_->push_back(std::move(s));
}

void Reducer::FinishRound(const Job& job, AnswerKind kind, Micros wait) {
  using End = durable::Keeper::RoundEnd;
  const auto id = job.id;
  keeper_->RoundOver(now_, id,
                     kind == AnswerKind::kServed     ? End::kServed
                     : kind == AnswerKind::kShed     ? End::kShed
                     : kind == AnswerKind::kRejected ? End::kRejected
                                                     : End::kFailed,
                     wait, records_);
  if (job.round) {
    --rounds_;
  } else if (kind == AnswerKind::kShed) {
    // The client is told that nothing was done: so nothing is kept of it.
    keeper_->Discard(now_, id, records_);
  } else if (kind == AnswerKind::kFailed) {
    keeper_->GiveUp(now_, id, records_);
  }
  EmitRecords();
}

void Reducer::StartDueRounds() {
  while (drain_began_ < 0) {
    auto id = keeper_->Next(now_, records_);
    if (!id) break;
    EmitRecords();
    const int home = keeper_->HomeOf(*id);
    effects_->push_back(StartRound{std::move(*id), home});
  }
  EmitRecords();
  const Micros next = drain_began_ < 0 ? keeper_->next(now_) : -1;
  if (next >= 0 && (keeper_wake_ == 0 || next < keeper_wake_)) due_.push({keeper_wake_ = next, 0, 4, 0});
}

void Reducer::CheckLeases() {
  keeper_wake_ = 0;
  std::vector<std::string> lapsed;
  keeper_->Due(now_, records_, lapsed);
  for (const auto& id : lapsed) {
    const auto it = by_id_.find(id);
    const auto job = it == by_id_.end() ? jobs_.end() : jobs_.find(it->second);
    if (job == jobs_.end()) continue;
    const Ticket ticket = it->second;
    for (std::size_t i = 0; i < job->second.hops.size(); ++i) {
      if (job->second.hops[i].epoch == keeper_->book().Find(id)->epoch)
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
  effects_->push_back(Answer{ticket, AnswerKind::kFailed, 0, {}, false, job.deadline, job.home});
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
    keeper_->RoundOver(now_, job.id, durable::Keeper::RoundEnd::kLeft, 0, records_);
    TellModule(pebblenotch::ClientGone{ticket});
    ForgetIfOver(ticket);
  }
}

namespace {

durable::Keeper::Said SaidBy(CallbackState news) {
  using Said = durable::Keeper::Said;
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
void Reducer::ReportToKeeper(const Job& job, int hop, const HopCallback& e) {
  if (e.state == CallbackState::kFailed && !job.round) return;
  keeper_->Word(now_, job.id, job.hops[static_cast<std::size_t>(hop)].epoch, SaidBy(e.state), e.result,
                records_);
}

// Word of a job that no round is on for: its holder had it from before a crash, or lost it meanwhile.
void Reducer::OnUnmatchedCallback(const HopCallback& e) {
  const auto epoch = keeper_->EpochOf(e.id, e.from);
  if (epoch == 0 || keeper_->InHand(e.id) ||
      !keeper_->Word(now_, e.id, epoch, SaidBy(e.state), e.result, records_))
    ++counters_.late_callbacks;
}

void Reducer::On(JobSubmitted& e) { keeper_->Take(now_, e.id, std::move(e.task), false, records_); }

void Reducer::On(RoundInvalid& e) {
  keeper_->RoundOver(now_, e.id, durable::Keeper::RoundEnd::kRejected, 0, records_);
}

void Reducer::On(TargetHeartbeat& e) {
  if (keeper_) keeper_->Alive(now_, e.target, records_);
}

void Reducer::On(OperatorOrder& e) {
  if (e.order.verb == "retry") keeper_->Retry(now_, e.order.id, records_);
  if (e.order.verb == "discard") keeper_->Discard(now_, e.order.id, records_);
}

void Reducer::On(StoreLoaded&) { keeper_->Recovered(now_, records_); }

void Reducer::On(JobsAdopted& e) {
  if (e.first) keeper_->HomeComes();
  for (auto& [id, job] : e.jobs) keeper_->Adopt(now_, e.home, id, std::move(job), e.clock_broke, records_);
}

void Reducer::On(HomeClosing& e) { keeper_->Close(e.home); }

// Guards against a second answer, and a second run, when another looks after these jobs: what it decides is
// not known here, so clients are told that the outcome is not known, and nothing is recorded. Hops that are
// out are left to their workers: whoever looks after the jobs now counts on them by their leases.
void Reducer::On(HomeLost& e) {
  std::vector<Ticket> tickets;
  for (const auto& [ticket, job] : jobs_) {
    if (job.durable && job.home == e.home) tickets.push_back(ticket);
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
  keeper_->Drop(e.home, ids);
  for (auto& id : ids) effects_->push_back(Settled{std::move(id), e.home});
}

}  // namespace heronway::core
