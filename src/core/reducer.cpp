#include "src/core/reducer.h"

#include <algorithm>
#include <utility>

namespace heronway::core {

Reducer::Reducer(const pebblenotch::Settings& settings, std::uint64_t seed, Micros now, Micros accept_timeout,
                 const limits::Settings& limits, std::unique_ptr<durable::JobManager> job_manager)
    : settings_(settings),
      stop_times_(StopTimes::From(settings)),
      module_(settings, seed, now),
      job_manager_(std::move(job_manager)),
      now_(now),
      accept_timeout_(accept_timeout) {
  if (limits.enabled) limits_ = std::make_unique<limits::Limits>(limits, settings, seed ^ 0x6c696d697473ULL);
}

void Reducer::Reduce(Micros now, Event event, std::vector<Effect>& effects) {
  now_ = std::max(now_, now);
  effects_ = &effects;
  std::visit([this](auto& e) { On(e); }, event);
  if (job_manager_) StartDueRounds();
  // Rounds without a client need no answer before the exit; they only get time to end until answers are due.
  const bool rounds_done = rounds_in_progress_ == 0 || now_ >= drain_started_at_ + stop_times_.answers_due;
  if (drain_started_at_ >= 0 && !drained_ && pending() == 0 && rounds_done &&
      now_ >= drain_started_at_ + stop_times_.earliest_exit) {
    drained_ = true;
    effects.push_back(Drained{});
  }
  while (limits_) {
    auto change = limits_->NextChange(now_);
    if (!change) break;
    effects.push_back(StormChanged{std::move(*change)});
  }
  if (limits_ && limits_->state() != limits::StormState::kCalm &&
      !std::exchange(storm_check_scheduled_, true))
    timers_.push({now_ + kStormCheckInterval, 0, kStormCheckTimer, 0});
  if (!timers_.empty() && timers_.top().at != armed_wakeup_)
    effects.push_back(WakeAt{armed_wakeup_ = timers_.top().at});
  effects_ = nullptr;
}

// Passes one event to the module and executes the actions that result. Executing an action may pass a further
// event to the module; the actions of that event are queued behind those that are already waiting.
void Reducer::NotifyModule(const pebblenotch::Event& event) {
  std::vector<pebblenotch::Action> actions;
  UpdateAllowance();
  module_.handle(now_, event, actions);
  actions_.insert(actions_.end(), actions.begin(), actions.end());
  if (std::exchange(executing_, true)) return;
  while (!actions_.empty()) {
    const pebblenotch::Action action = std::move(actions_.front());
    actions_.pop_front();
    Execute(action);
  }
  executing_ = false;
}

void Reducer::Execute(const pebblenotch::Action& action) {
  if (const auto* push = std::get_if<pebblenotch::Push>(&action)) {
    const auto it = jobs_.find(push->id);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    const int hop = static_cast<int>(job.hops.size());
    job.hops.push_back({push->worker, now_});
    ++hops_in_flight_;
    if (limits_) limits_->HopSent(now_, job.job_class, hop > 0);
    Micros time_limit = job.deadline - now_;
    if (push->time_limit > 0) time_limit = std::min(time_limit, push->time_limit);
    if (job.hop_timeout > 0) time_limit = std::min(time_limit, job.hop_timeout);
    // A hop is not sent after the answer, while the client is away, beyond the hop limit or without time.
    if (job.answered || job.away || hop >= job.max_hops || time_limit <= 0 || !MayStartHop(job, time_limit))
      return EndHop(push->id, hop, Result::kMoot, std::nullopt, job.answered);
    if (job.durable) {
      const auto location = target_locations_.find(push->worker);
      const auto epoch =
          drain_started_at_ < 0 || !job.round
              ? job_manager_->Lease(now_, job.id,
                                    location != target_locations_.end() ? location->second
                                                                        : durable::LeaseHolder{push->worker},
                                    records_)
              : std::nullopt;
      // Without a lease the hop is not sent: the job may have run in an earlier round, or before a restart of
      // this process, on a worker other than this one.
      if (!epoch) return EndHop(push->id, hop, Result::kMoot, std::nullopt, false);
      job.hops.back().epoch = *epoch;
      EmitRecords();
    }
    timers_.push({now_ + time_limit, push->id, hop, 0});
    if (accept_timeout_ > 0 && accept_timeout_ < time_limit)
      timers_.push({now_ + accept_timeout_, push->id, hop, 0, true});
    ++counters_.hops;
    ++ClassCountsOf(job.job_class).sends;
    effects_->push_back(SendHop{push->id, hop, push->worker, now_ + time_limit, job.durable, job.store_id});
  } else if (const auto* shed = std::get_if<pebblenotch::Shed>(&action)) {
    const auto it = jobs_.find(shed->id);
    const bool limits_set_delay = limits_ && it != jobs_.end() && !it->second.answered;
    FinalAnswer(shed->id, AnswerKind::kShed,
                limits_set_delay ? limits_->RequestShed(now_, it->second.job_class, it->second.client,
                                                        shed->retry_after, it->second.arrival)
                                 : shed->retry_after,
                {});
  } else if (const auto* fail = std::get_if<pebblenotch::Fail>(&action)) {
    FinalAnswer(fail->id, AnswerKind::kFailed, 0, {});
  } else if (const auto* cancel = std::get_if<pebblenotch::Cancel>(&action)) {
    Cancel(cancel->id, cancel->attempt, Result::kCancelled);
  } else if (const auto* probe = std::get_if<pebblenotch::Probe>(&action)) {
    ++counters_.probes;
    effects_->push_back(StartProbe{probe->worker});
  } else if (std::holds_alternative<pebblenotch::Subscribe>(action)) {
    effects_->push_back(SubscribeRoutes{});
  } else if (const auto* timer = std::get_if<pebblenotch::ArmTimer>(&action)) {
    timers_.push({timer->at, 0, kModuleTimer, timer->label});
  }
}

// Checks the invariants of sending. The last of the job's hops is the one to be sent; the others came before
// it. A violation is a fault of the module's decision, and the caller then does not send the hop.
bool Reducer::MayStartHop(const Job& job, Micros time_limit) {
  Invariants& invariants = counters_.invariants;
  const auto index = static_cast<std::size_t>(job.job_class);
  const bool unsafe = index < settings_.classes.size() &&
                      settings_.classes[index].idempotency == pebblenotch::Idempotency::kAtMostOnce;
  bool hop_in_flight = false, may_have_run = false;
  for (std::size_t i = 0; i + 1 < job.hops.size(); ++i) {
    hop_in_flight |= job.hops[i].state != HopState::kEnded;
    may_have_run |= job.hops[i].may_have_run;
  }
  const bool only_hop =
      invariants.Check(Invariant::kOneHopInFlight, !hop_in_flight || settings_.concurrent_attempts);
  const bool retry_allowed = invariants.Check(Invariant::kRetryAllowed, !(unsafe && may_have_run));
  const bool in_time = invariants.Check(Invariant::kTimeLeft, time_limit <= job.deadline - now_);
  return only_hop && retry_allowed && in_time;
}

Invariants Reducer::invariants() const {
  Invariants all = counters_.invariants;
  all.Count(Invariant::kSlowStartToken, module_.PushesWithoutToken());
  return all;
}

void Reducer::On(RequestArrived& e) {
  const Ticket ticket = e.request.id;
  ++counters_.taken;
  ++unanswered_;
  e.request.deadline -= kAnswerMargin;
  // During a graceful shutdown, no deadline is later than the time at which all answers are due.
  if (drain_started_at_ >= 0 && !e.round)
    e.request.deadline = std::min(e.request.deadline, drain_started_at_ + stop_times_.answers_due);
  by_id_.emplace(e.id, ticket);
  Job& job = jobs_[ticket];
  job.id = std::move(e.id);
  job.deadline = e.request.deadline;
  job.arrived_at = now_;
  job.hop_timeout = e.hop_timeout;
  job.max_hops = e.max_hops > 0 ? std::min(e.max_hops, settings_.max_attempts) : settings_.max_attempts;
  job.job_class = e.request.job_class;
  job.round = e.round;
  job.durable = e.round || e.task.has_value();
  rounds_in_progress_ += e.round ? 1 : 0;
  if (e.task) job.durable = job_manager_->Accept(now_, job.id, std::move(*e.task), true, records_);
  job.store_id = job.durable ? job_manager_->StoreIdOf(job.id) : 0;
  if (!e.tenant.empty()) ++tenants_.At(job.tenant = tenants_.IndexOf(e.tenant)).taken;
  if (limits_) {
    job.client = limits_->HashOf(e.client, job.job_class);
    job.arrival =
        limits_->Arrived(now_, job.job_class, job.client, e.request.client_retry, e.client_names_job);
    e.request.return_timing = job.arrival.return_timing;
  }
  // Every request gets an answer: after answers_due the process may be killed before it could answer a new
  // request. Such a request is shed immediately, and its client retries with another process or with the one
  // that replaces this one.
  if (e.no_capacity || ShedsAllArrivals(now_)) {
    UpdateAllowance();
    const Micros retry_after =
        limits_ ? limits_->RequestShed(now_, job.job_class, job.client, kNoCapacityRetryAfter, job.arrival)
                : kNoCapacityRetryAfter;
    return FinalAnswer(ticket, AnswerKind::kShed, retry_after, {});
  }
  NotifyModule(e.request);
}

// Callbacks may arrive twice, before the response of the transport, or late from a cancelled hop. A callback
// applies only to a hop in flight at the target that sent it. The target identifies the hop, because the
// module does not send a request to the same target twice.
void Reducer::On(HopCallback& e) {
  const auto it = by_id_.find(e.id);
  const auto job = it == by_id_.end() ? jobs_.end() : jobs_.find(it->second);
  const auto late = [this] { ++counters_.late_callbacks; };
  if (job == jobs_.end() && job_manager_) return HandleUnmatchedCallback(e);
  if (job == jobs_.end()) return late();
  const Ticket ticket = it->second;
  auto& hops = job->second.hops;
  // A final callback may cross the cancellation. It takes precedence, because it carries the outcome of the
  // hop, or the fact that the hop never ran.
  const bool is_final = e.state != CallbackState::kStarted && e.state != CallbackState::kRunning;
  const bool may_cross_cancel = is_final && !job->second.durable;
  const auto hop = std::find_if(hops.begin(), hops.end(), [&e, may_cross_cancel](const Hop& h) {
    return h.target == e.from &&
           (h.state == HopState::kInFlight || (may_cross_cancel && h.state == HopState::kCancelling));
  });
  if (hop == hops.end()) return job->second.durable ? HandleUnmatchedCallback(e) : late();
  const int index = static_cast<int>(hop - hops.begin());
  hop->accepted = true;
  if (is_final) effects_->push_back(HopCompleted{ticket, index});
  if (job->second.durable) ReportToJobManager(job->second, index, e);
  switch (e.state) {
    case CallbackState::kStarted:
    case CallbackState::kRunning:
      return NotifyModule(
          pebblenotch::AttemptProgress{ticket, index, e.state == CallbackState::kStarted, e.share});
    case CallbackState::kDone:
      FinalAnswer(ticket, AnswerKind::kServed, 0, std::move(e.result));
      return EndHop(ticket, index, Result::kOk, e.report, true);
    case CallbackState::kFailed:
      // Without a waiting client the job manager decides when the job is retried.
      if (job->second.round) {
        FinalAnswer(ticket, AnswerKind::kFailed, 0, {});
        return EndHop(ticket, index, Result::kError, e.report, true);
      }
      return EndHop(ticket, index, Result::kError, e.report, false);
    case CallbackState::kReturned:
      return EndHop(ticket, index, Result::kFull, e.report, false);
    case CallbackState::kLost:
      return EndHop(ticket, index, Result::kReset, e.report, false);
  }
}

void Reducer::On(HopAccepted& e) {
  if (Hop* hop = FindHop(e.request, e.hop); hop != nullptr) hop->accepted = true;
}

void Reducer::On(HopEnded& e) {
  const Hop* hop = FindHop(e.request, e.hop);
  if (hop == nullptr || hop->state == HopState::kEnded) return;
  if (e.rejected) {
    FinalAnswer(e.request, AnswerKind::kRejected, 0, {});
    return EndHop(e.request, e.hop, Result::kMoot, e.report, true);
  }
  EndHop(e.request, e.hop, e.result, e.report, false);
}

void Reducer::On(HopCancelled& e) {
  const Hop* hop = FindHop(e.request, e.hop);
  if (hop == nullptr || hop->state != HopState::kCancelling) return;
  // Where the front connects to targets (accept_timeout_ is set), a hop that timed out before it reached its
  // target counts as a failed connection. A hop that was cancelled for another reason before it was sent says
  // nothing about its target.
  const bool unreached = accept_timeout_ > 0 && hop->cancel_result == Result::kTimeout;
  const Result never_ran_result = unreached ? Result::kConnectFailed : Result::kMoot;
  EndHop(e.request, e.hop, e.never_ran ? never_ran_result : hop->cancel_result, std::nullopt, false);
}

void Reducer::On(ProbeEnded& e) {
  NotifyModule(pebblenotch::ProbeResult{e.target, e.result, e.latency, e.report});
}

void Reducer::On(IngressDisconnected& e) {
  const auto it = jobs_.find(e.request);
  if (it == jobs_.end() || it->second.answered) return;
  if (it->second.durable) {  // an accepted durable job continues; its client may reconnect for the result
    if (!std::exchange(it->second.round, true)) {
      ++rounds_in_progress_;
      ++counters_.disconnected;
    }
    return;
  }
  it->second.answered = true;
  --unanswered_;
  ++counters_.disconnected;
  if (it->second.tenant != TenantTable::kNone) ++tenants_.At(it->second.tenant).disconnected;
  RetainId(it->second);
  NotifyModule(pebblenotch::ClientGone{e.request});
  EraseIfFinished(e.request);
}

void Reducer::On(IngressDetached& e) {
  if (const auto it = jobs_.find(e.request); it != jobs_.end())
    it->second.away = e.away && !it->second.durable;
}

void Reducer::On(IngressConnected&) {
  if (limits_) limits_->Connected(now_);
}

void Reducer::On(RoutesChanged& e) {
  if (limits_ && e.kind != ListKind::kFailed)
    limits_->RoutesChanged(now_, e.entries, e.kind != ListKind::kChanges);
  if (job_manager_) {
    for (const auto& entry : e.entries) {
      if (entry.state == pebblenotch::WorkerState::kGone) {
        target_locations_.erase(entry.id);
      } else {
        target_locations_[entry.id] = {entry.id, entry.zone, entry.cell};
      }
    }
  }
  NotifyModule(pebblenotch::Membership{e.kind, e.entries});
}

void Reducer::On(Wake&) {
  while (!timers_.empty() && timers_.top().at <= now_) {
    const Timer timer = timers_.top();
    timers_.pop();
    if (timer.request == 0) {
      if (timer.hop == kModuleTimer) NotifyModule(pebblenotch::TimerDue{timer.label});
      if (timer.hop == kAnswersDueTimer) AnswerAllForShutdown();
      if (timer.hop == kStormCheckTimer) CheckStorm();
      if (timer.hop == kJobManagerTimer) ProcessDueJobs();
      continue;
    }
    const Hop* hop = FindHop(timer.request, timer.hop);
    if (hop == nullptr || hop->state == HopState::kEnded) continue;
    if (timer.acceptance) {
      // Guards against a connection that has stopped responding although its target may be healthy: the
      // request would wait on it until its deadline. A callback from the target also confirms the hop.
      if (hop->state == HopState::kInFlight && !hop->accepted)
        Cancel(timer.request, timer.hop, Result::kTimeout);
      continue;
    }
    // At the deadline of the request no further hop can be sent, so the answer waits only briefly for
    // HopCancelled. The front may know that the hop never ran, but notifying a distant target can take longer
    // than the client waits.
    const bool at_deadline = now_ >= jobs_.at(timer.request).deadline;
    if (hop->state == HopState::kInFlight) {
      Cancel(timer.request, timer.hop, Result::kTimeout);
      if (at_deadline) timers_.push({now_ + kCancelGrace, timer.request, timer.hop, 0});
    } else if (at_deadline) {
      EndHop(timer.request, timer.hop, hop->cancel_result, std::nullopt, false);
    }
  }
  armed_wakeup_ = 0;
}

// Storm detection advances with every event that is passed to the module. This check lets a storm end when no
// events arrive.
void Reducer::CheckStorm() {
  storm_check_scheduled_ = false;
  UpdateAllowance();
}

void Reducer::On(FleetView& e) {
  if (e.schedulers != std::exchange(fleet_, e).schedulers) NotifyModule(pebblenotch::TierSize{e.schedulers});
}

// The module is given only the result of this scheduler's own probe, not the failure reports of others.
void Reducer::On(TargetSuspected& e) {
  if (!settings_.may_probe) return;
  ++counters_.probes;
  effects_->push_back(StartProbe{e.target});
}

void Reducer::On(GossipedLoad& e) {
  NotifyModule(pebblenotch::ProbeResult{e.target, Result::kOk, 0, e.report, std::max<Micros>(e.age, 1)});
}

// Passes the current figures of the limits to the module. They cause no actions by themselves; the module
// applies them with its next event.
void Reducer::UpdateAllowance() {
  std::vector<pebblenotch::Action> no_actions;
  if (const auto figures = limits_ ? limits_->Update(now_) : std::nullopt)
    module_.handle(now_, *figures, no_actions);
}

void Reducer::On(DrainStarted&) {
  if (drain_started_at_ >= 0) return;
  drain_started_at_ = now_;
  timers_.push({now_ + stop_times_.earliest_exit, 0, kEarliestExitTimer, 0});
  timers_.push({now_ + stop_times_.answers_due, 0, kAnswersDueTimer, 0});
  if (job_manager_) EndIdleRounds();
}

// Every request gets an answer: the process may be killed soon after this point of a graceful shutdown, and
// clients that still wait then would get none. A durable job that arrived before the window for late arrivals
// ended outlives the process: its client is answered as well, and the job continues without a client.
void Reducer::AnswerAllForShutdown() {
  std::vector<Ticket> tickets;
  for (const auto& [ticket, job] : jobs_) {
    if (!job.answered && !job.round) tickets.push_back(ticket);
  }
  std::sort(tickets.begin(), tickets.end());
  for (const Ticket ticket : tickets) {
    const Job& job = jobs_.at(ticket);
    if (job.durable && job.arrived_at < drain_started_at_ + StopTimes::kLateArrivalWindow - kAnswerMargin) {
      AnswerAndContinueJob(ticket);
      continue;
    }
    NotifyModule(pebblenotch::AnswerNow{ticket});
    FinalAnswer(ticket, AnswerKind::kFailed, 0, {});  // no effect if the module has answered
    EraseIfFinished(ticket);
  }
  if (job_manager_) EndIdleRounds();
}

Reducer::Hop* Reducer::FindHop(Ticket ticket, int hop) {
  const auto it = jobs_.find(ticket);
  if (it == jobs_.end() || hop < 0 || hop >= static_cast<int>(it->second.hops.size())) return nullptr;
  return &it->second.hops[static_cast<std::size_t>(hop)];
}

// Prevents two hops of a request from being in flight together: the module is notified of the end of a hop,
// and may start the next, only after the target was notified or the front has given up notifying it.
void Reducer::Cancel(Ticket ticket, int hop, Result reason) {
  Hop* h = FindHop(ticket, hop);
  if (h == nullptr || h->state != HopState::kInFlight) return;
  h->state = HopState::kCancelling;
  h->cancel_result = reason;
  ++counters_.cancelled;
  const Job& job = jobs_.at(ticket);
  effects_->push_back(CancelHop{ticket, hop, h->target, job.id, job.durable, job.store_id});
}

void Reducer::EndHop(Ticket ticket, int hop, Result result, std::optional<Report> report, bool finished) {
  Hop& h = *FindHop(ticket, hop);
  h.state = HopState::kEnded;
  h.may_have_run = !pebblenotch::NeverRan(result);
  --hops_in_flight_;
  if (limits_)
    limits_->HopEnded(now_, jobs_.at(ticket).job_class, result, now_ - h.sent, unanswered_ > hops_in_flight_);
  ++counters_.hop_results[static_cast<int>(result)];
  if (const Job& job = jobs_.at(ticket); job.durable) {
    job_manager_->HopEnded(now_, job.id, h.epoch,
                           pebblenotch::NeverRan(result) ? durable::JobManager::HopResult::kNeverRan
                                                         : durable::JobManager::HopResult::kLost,
                           records_);
  }
  pebblenotch::Outcome outcome;
  outcome.id = ticket;
  outcome.attempt = hop;
  outcome.worker = h.target;
  outcome.result = result;
  outcome.latency = now_ - h.sent;
  outcome.finished = finished || jobs_.at(ticket).answered;
  outcome.report = report;
  NotifyModule(outcome);
  EraseIfFinished(ticket);
}

// Answers a request exactly once, whichever event asks for an answer; later calls have no effect.
void Reducer::FinalAnswer(Ticket ticket, AnswerKind kind, Micros retry_after, std::string result) {
  const auto it = jobs_.find(ticket);
  if (it == jobs_.end() || std::exchange(it->second.answered, true)) return;
  --unanswered_;
  ++(kind == AnswerKind::kServed     ? counters_.served
     : kind == AnswerKind::kShed     ? counters_.shed
     : kind == AnswerKind::kRejected ? counters_.rejected
                                     : counters_.failed);
  ClassCounts& class_counts = ClassCountsOf(it->second.job_class);
  ++(kind == AnswerKind::kServed ? class_counts.answered
     : kind == AnswerKind::kShed ? class_counts.deferred
                                 : class_counts.errored);
  if (const auto tenant = it->second.tenant; tenant != TenantTable::kNone) {
    TenantTable::Row& row = tenants_.At(tenant);
    ++(kind == AnswerKind::kServed ? row.served : kind == AnswerKind::kShed ? row.shed : row.failed);
  }
  RetainId(it->second);
  const bool durable = it->second.durable;
  const Micros deadline = it->second.deadline;
  const int store_id = it->second.store_id;
  if (durable) FinishRound(it->second, kind, retry_after);
  effects_->push_back(Answer{ticket, kind, retry_after, std::move(result), durable, deadline, store_id});
  EraseIfFinished(ticket);
}

// A class index from the wire may be outside the settings, and of any size; it is clamped to bound the table.
ClassCounts& Reducer::ClassCountsOf(int job_class) {
  const auto index = static_cast<std::size_t>(std::clamp(job_class, 0, 255));
  if (counters_.by_class.size() <= index) counters_.by_class.resize(index + 1);
  return counters_.by_class[index];
}

// Guards against a new request with the id of one that has ended: a hop of the ended request may still be in
// flight, and its target would then have two copies.
void Reducer::RetainId(const Job& job) {
  by_id_.erase(job.id);
  const bool may_have_run = std::any_of(job.hops.begin(), job.hops.end(), [](const Hop& hop) {
    return hop.state != HopState::kEnded || hop.may_have_run;
  });
  recent_ids_.Add(now_, job.id, may_have_run);
}

void Reducer::EraseIfFinished(Ticket ticket) {
  const auto it = jobs_.find(ticket);
  if (it == jobs_.end() || !it->second.answered) return;
  for (const Hop& h : it->second.hops) {
    if (h.state != HopState::kEnded) return;
  }
  jobs_.erase(it);
}

}  // namespace heronway::core
