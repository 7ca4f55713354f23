#include "src/core/reducer.h"

#include <algorithm>
#include <utility>

namespace heronway::core {

Reducer::Reducer(const pebblenotch::Settings& settings, std::uint64_t seed, Micros now, Micros take_limit,
                 const limits::Settings& limits, std::unique_ptr<durable::JobManager> job_manager)
    : settings_(settings),
      stop_times_(StopTimes::From(settings)),
      module_(settings, seed, now),
      job_manager_(std::move(job_manager)),
      now_(now),
      take_limit_(take_limit) {
  if (limits.enabled) limits_ = std::make_unique<limits::Limits>(limits, settings, seed ^ 0x6c696d697473ULL);
}

void Reducer::Reduce(Micros now, Event event, std::vector<Effect>& effects) {
  now_ = std::max(now_, now);
  effects_ = &effects;
  std::visit([this](auto& e) { On(e); }, event);
  if (job_manager_) StartDueRounds();
  // Durable jobs that are at work need no answer before the end, only some time to have one.
  const bool rounds_over = rounds_ == 0 || now_ >= drain_began_ + stop_times_.answers_due;
  if (drain_began_ >= 0 && !drained_ && pending() == 0 && rounds_over &&
      now_ >= drain_began_ + stop_times_.earliest_exit) {
    drained_ = true;
    effects.push_back(Drained{});
  }
  while (limits_) {
    auto change = limits_->NextChange(now_);
    if (!change) break;
    effects.push_back(StormChanged{std::move(*change)});
  }
  if (limits_ && limits_->state() != limits::StormState::kCalm && !std::exchange(watching_, true))
    due_.push({now_ + kStormCheckInterval, 0, 3, 0});
  if (!due_.empty() && due_.top().at != armed_) effects.push_back(WakeAt{armed_ = due_.top().at});
  effects_ = nullptr;
}

// The module is told one thing at a time: what carrying out an action tells it in turn waits its turn.
void Reducer::TellModule(const pebblenotch::Event& event) {
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
    Micros limit = job.deadline - now_;
    if (push->time_limit > 0) limit = std::min(limit, push->time_limit);
    if (job.hop_timeout > 0) limit = std::min(limit, job.hop_timeout);
    // Guards the attempt limit, a push after the end, and one for a client that has gone: such a hop is never
    // sent.
    if (job.answered || job.away || hop >= job.max_hops || limit <= 0 || !MayStartHop(job, limit))
      return EndHop(push->id, hop, Result::kMoot, std::nullopt, job.answered);
    if (job.durable) {
      const auto to = target_locations_.find(push->worker);
      const auto epoch =
          drain_began_ < 0 || !job.round
              ? job_manager_->Lease(
                    now_, job.id,
                    to != target_locations_.end() ? to->second : durable::LeaseHolder{push->worker}, records_)
              : std::nullopt;
      // Guards what may have run in an earlier round, or an earlier life, against a worker that knows nothing
      // of it.
      if (!epoch) return EndHop(push->id, hop, Result::kMoot, std::nullopt, false);
      job.hops.back().epoch = *epoch;
      EmitRecords();
    }
    due_.push({now_ + limit, push->id, hop, 0});
    if (take_limit_ > 0 && take_limit_ < limit) due_.push({now_ + take_limit_, push->id, hop, 0, true});
    ++counters_.hops;
    ++CountsOf(job.job_class).sends;
    effects_->push_back(SendHop{push->id, hop, push->worker, now_ + limit, job.durable, job.store_id});
  } else if (const auto* refuse = std::get_if<pebblenotch::Shed>(&action)) {
    const auto it = jobs_.find(refuse->id);
    const bool told = limits_ && it != jobs_.end() && !it->second.answered;
    FinalAnswer(refuse->id, AnswerKind::kShed,
                told ? limits_->RequestShed(now_, it->second.job_class, it->second.client,
                                            refuse->retry_after, it->second.came)
                     : refuse->retry_after,
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
    due_.push({timer->at, 0, 0, timer->label});
  }
}

// The one guard for attempts, whatever asked for them: the last of the job's hops is the one that would
// begin. What it finds is a fault of the decisions; the attempt is not sent.
bool Reducer::MayStartHop(const Job& job, Micros limit) {
  Invariants& invariants = counters_.invariants;
  const auto at = static_cast<std::size_t>(job.job_class);
  const bool unsafe = at < settings_.classes.size() &&
                      settings_.classes[at].idempotency == pebblenotch::Idempotency::kAtMostOnce;
  bool out = false, may_have_run = false;
  for (std::size_t i = 0; i + 1 < job.hops.size(); ++i) {
    out |= job.hops[i].state != HopState::kEnded;
    may_have_run |= job.hops[i].may_have_run;
  }
  const bool alone = invariants.Check(Invariant::kOneHopInFlight, !out || settings_.concurrent_attempts);
  const bool repeatable = invariants.Check(Invariant::kRetryAllowed, !(unsafe && may_have_run));
  const bool in_time = invariants.Check(Invariant::kTimeLeft, limit <= job.deadline - now_);
  return alone && repeatable && in_time;
}

Invariants Reducer::invariants() const {
  Invariants all = counters_.invariants;
  all.Count(Invariant::kSlowStartToken, module_.PushesWithoutToken());
  return all;
}

void Reducer::On(RequestArrived& e) {
  const Ticket ticket = e.request.id;
  ++counters_.taken;
  ++held_;
  e.request.deadline -= kAnswerMargin;
  // While stopping, nobody is promised more time than there is.
  if (drain_began_ >= 0 && !e.round)
    e.request.deadline = std::min(e.request.deadline, drain_began_ + stop_times_.answers_due);
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
  rounds_ += e.round ? 1 : 0;
  if (e.task) job.durable = job_manager_->Accept(now_, job.id, std::move(*e.task), true, records_);
  job.store_id = job.durable ? job_manager_->StoreIdOf(job.id) : 0;
  if (!e.tenant.empty()) ++tenants_.At(job.tenant = tenants_.IndexOf(e.tenant)).taken;
  if (limits_) {
    job.client = limits_->HashOf(e.client, job.job_class);
    job.came = limits_->Arrived(now_, job.job_class, job.client, e.request.client_retry, e.client_names_job);
    e.request.return_timing = job.came.return_timing;
  }
  // Guards the first rule at the end of a planned stop: what comes after the late arrivals' answers were
  // due would find the program killed unanswered; it is refused at once, and its client comes again,
  // to the process that replaces this one, or to another.
  if (e.no_capacity || ShedsAllArrivals(now_)) {
    UpdateAllowance();
    const Micros wait =
        limits_ ? limits_->RequestShed(now_, job.job_class, job.client, kNoCapacityRetryAfter, job.came)
                : kNoCapacityRetryAfter;
    return FinalAnswer(ticket, AnswerKind::kShed, wait, {});
  }
  TellModule(e.request);
}

// Guards against call-backs that come twice, before the carrier's own answer, or late from a hop that was
// called off: only the hop that is out, at the target that speaks, is meant. A request goes to no target
// twice (the module sets those aside), so the target's name tells the hop.
void Reducer::On(HopCallback& e) {
  const auto it = by_id_.find(e.id);
  const auto job = it == by_id_.end() ? jobs_.end() : jobs_.find(it->second);
  const auto late = [this] { ++counters_.late_callbacks; };
  if (job == jobs_.end() && job_manager_) return OnUnmatchedCallback(e);
  if (job == jobs_.end()) return late();
  const Ticket ticket = it->second;
  auto& hops = job->second.hops;
  // A last word may cross the calling off, and says more: what has come of the hop, or that it never ran.
  const bool last = e.state != CallbackState::kStarted && e.state != CallbackState::kRunning;
  const bool crosses = last && !job->second.durable;
  const auto hop = std::find_if(hops.begin(), hops.end(), [&e, crosses](const Hop& h) {
    return h.target == e.from &&
           (h.state == HopState::kInFlight || (crosses && h.state == HopState::kCancelling));
  });
  if (hop == hops.end()) return job->second.durable ? OnUnmatchedCallback(e) : late();
  const int n = static_cast<int>(hop - hops.begin());
  hop->taken = true;
  if (last) effects_->push_back(HopCompleted{ticket, n});
  if (job->second.durable) ReportToJobManager(job->second, n, e);
  switch (e.state) {
    case CallbackState::kStarted:
    case CallbackState::kRunning:
      return TellModule(pebblenotch::AttemptProgress{ticket, n, e.state == CallbackState::kStarted, e.share});
    case CallbackState::kDone:
      FinalAnswer(ticket, AnswerKind::kServed, 0, std::move(e.result));
      return EndHop(ticket, n, Result::kOk, e.report, true);
    case CallbackState::kFailed:
      // Where no client waits, the time for another try is for the job manager to say.
      if (job->second.round) {
        FinalAnswer(ticket, AnswerKind::kFailed, 0, {});
        return EndHop(ticket, n, Result::kError, e.report, true);
      }
      return EndHop(ticket, n, Result::kError, e.report, false);
    case CallbackState::kReturned:
      return EndHop(ticket, n, Result::kFull, e.report, false);
    case CallbackState::kLost:
      return EndHop(ticket, n, Result::kReset, e.report, false);
  }
}

void Reducer::On(HopAccepted& e) {
  if (Hop* hop = FindHop(e.request, e.hop); hop != nullptr) hop->taken = true;
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
  // Where targets are dialled, one that could not be reached in the hop's time is told apart from a hop that
  // was taken back.
  const bool unreached = take_limit_ > 0 && hop->cancel_result == Result::kTimeout;
  const Result never = unreached ? Result::kConnectFailed : Result::kMoot;
  EndHop(e.request, e.hop, e.never_ran ? never : hop->cancel_result, std::nullopt, false);
}

void Reducer::On(ProbeEnded& e) {
  TellModule(pebblenotch::ProbeResult{e.target, e.result, e.latency, e.report});
}

void Reducer::On(IngressDisconnected& e) {
  const auto it = jobs_.find(e.request);
  if (it == jobs_.end() || it->second.answered) return;
  if (it->second.durable) {  // it was taken for good: it goes on, and its client may come back for it
    if (!std::exchange(it->second.round, true)) {
      ++rounds_;
      ++counters_.disconnected;
    }
    return;
  }
  it->second.answered = true;
  --held_;
  ++counters_.disconnected;
  if (it->second.tenant != TenantTable::kNone) ++tenants_.At(it->second.tenant).disconnected;
  RetainId(it->second.id);
  TellModule(pebblenotch::ClientGone{e.request});
  ForgetIfOver(e.request);
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
    for (const auto& entry : e.entries) target_locations_[entry.id] = {entry.id, entry.zone, entry.cell};
  }
  TellModule(pebblenotch::Membership{e.kind, e.entries});
}

void Reducer::On(Wake&) {
  while (!due_.empty() && due_.top().at <= now_) {
    const Due due = due_.top();
    due_.pop();
    if (due.request == 0) {
      if (due.hop == 0) TellModule(pebblenotch::TimerDue{due.label});
      if (due.hop == 2) AnswerAllForShutdown();
      if (due.hop == 3) CheckStorm();
      if (due.hop == 4) CheckLeases();
      continue;
    }
    const Hop* hop = FindHop(due.request, due.hop);
    if (hop == nullptr || hop->state == HopState::kEnded) continue;
    if (due.take) {
      // Guards against a connection that has fallen silent: its target may be well, and the request would
      // wait on it for as long as its client does. What was heard of by call-back has been taken all the
      // same.
      if (hop->state == HopState::kInFlight && !hop->taken) Cancel(due.request, due.hop, Result::kTimeout);
      continue;
    }
    // At the request's end nothing is sent any more, so the outcome waits for the front's word only briefly:
    // it may know that the hop never ran, but telling a far target can take longer than the client has.
    const bool last = now_ >= jobs_.at(due.request).deadline;
    if (hop->state == HopState::kInFlight) {
      Cancel(due.request, due.hop, Result::kTimeout);
      if (last) due_.push({now_ + kCancelGrace, due.request, due.hop, 0});
    } else if (last) {
      EndHop(due.request, due.hop, hop->cancel_result, std::nullopt, false);
    }
  }
  armed_ = 0;
}

// The watch moves on with whatever the module is told. Guards against a state that stays because nothing
// comes.
void Reducer::CheckStorm() {
  watching_ = false;
  UpdateAllowance();
}

void Reducer::On(FleetView& e) {
  if (e.schedulers != std::exchange(fleet_, e).schedulers) TellModule(pebblenotch::TierSize{e.schedulers});
}

// The probe's own result is what the module judges by; what others said is not.
void Reducer::On(TargetSuspected& e) {
  if (!settings_.may_probe) return;
  ++counters_.probes;
  effects_->push_back(StartProbe{e.target});
}

void Reducer::On(GossipedLoad& e) {
  TellModule(pebblenotch::ProbeResult{e.target, Result::kOk, 0, e.report, std::max<Micros>(e.age, 1)});
}

// The module acts on figures when it is next told of something: they bring about no action by themselves.
void Reducer::UpdateAllowance() {
  std::vector<pebblenotch::Action> none;
  if (const auto figures = limits_ ? limits_->Update(now_) : std::nullopt)
    module_.handle(now_, *figures, none);
}

void Reducer::On(DrainStarted&) {
  if (drain_began_ >= 0) return;
  drain_began_ = now_;
  due_.push({now_ + stop_times_.earliest_exit, 0, 1, 0});
  due_.push({now_ + stop_times_.answers_due, 0, 2, 0});
  if (job_manager_) EndIdleRounds();
}

// Guards the first rule at a planned stop: the program may be killed soon after, and whoever waits for an
// answer then would get none. A durable job that came before the late arrivals outlives the process: its
// client is answered as all others are, and it goes on without one.
void Reducer::AnswerAllForShutdown() {
  std::vector<Ticket> tickets;
  for (const auto& [ticket, job] : jobs_) {
    if (!job.answered && !job.round) tickets.push_back(ticket);
  }
  std::sort(tickets.begin(), tickets.end());
  for (const Ticket ticket : tickets) {
    const Job& job = jobs_.at(ticket);
    if (job.durable && job.arrived_at < drain_began_ + StopTimes::kLateArrivalWindow - kAnswerMargin) {
      AnswerAndContinueJob(ticket);
      continue;
    }
    TellModule(pebblenotch::AnswerNow{ticket});
    FinalAnswer(ticket, AnswerKind::kFailed, 0, {});  // changes nothing where the module has answered
    ForgetIfOver(ticket);
  }
  if (job_manager_) EndIdleRounds();
}

Reducer::Hop* Reducer::FindHop(Ticket ticket, int hop) {
  const auto it = jobs_.find(ticket);
  if (it == jobs_.end() || hop < 0 || hop >= static_cast<int>(it->second.hops.size())) return nullptr;
  return &it->second.hops[static_cast<std::size_t>(hop)];
}

// Guards against two hops of a request out together: the module hears that a hop is over, and so may send
// the next, only once the target has been told or the carrier has given up telling it.
void Reducer::Cancel(Ticket ticket, int hop, Result as) {
  Hop* h = FindHop(ticket, hop);
  if (h == nullptr || h->state != HopState::kInFlight) return;
  h->state = HopState::kCancelling;
  h->cancel_result = as;
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
    limits_->HopEnded(now_, jobs_.at(ticket).job_class, result, now_ - h.sent, held_ > hops_in_flight_);
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
  TellModule(outcome);
  ForgetIfOver(ticket);
}

// Guards the first rule: whatever asks for an answer, a request gets one.
void Reducer::FinalAnswer(Ticket ticket, AnswerKind kind, Micros retry_after, std::string result) {
  const auto it = jobs_.find(ticket);
  if (it == jobs_.end() || std::exchange(it->second.answered, true)) return;
  --held_;
  ++(kind == AnswerKind::kServed     ? counters_.served
     : kind == AnswerKind::kShed     ? counters_.shed
     : kind == AnswerKind::kRejected ? counters_.rejected
                                     : counters_.failed);
  ClassCounts& of_class = CountsOf(it->second.job_class);
  ++(kind == AnswerKind::kServed ? of_class.answered
     : kind == AnswerKind::kShed ? of_class.deferred
                                 : of_class.errored);
  if (const auto place = it->second.tenant; place != TenantTable::kNone) {
    TenantTable::Row& row = tenants_.At(place);
    ++(kind == AnswerKind::kServed ? row.served : kind == AnswerKind::kShed ? row.shed : row.failed);
  }
  RetainId(it->second.id);
  const bool durable = it->second.durable;
  const Micros by = it->second.deadline;
  const int store_id = it->second.store_id;
  if (durable) FinishRound(it->second, kind, retry_after);
  effects_->push_back(Answer{ticket, kind, retry_after, std::move(result), durable, by, store_id});
  ForgetIfOver(ticket);
}

// Guards against a class index from the wire that no settings know: it is counted, however large it is.
ClassCounts& Reducer::CountsOf(int job_class) {
  const auto at = static_cast<std::size_t>(std::clamp(job_class, 0, 255));
  if (counters_.by_class.size() <= at) counters_.by_class.resize(at + 1);
  return counters_.by_class[at];
}

// Guards against a second request by the name of one that is over: its hop may still be out somewhere, and
// would be a second copy there.
void Reducer::RetainId(const std::string& id) {
  by_id_.erase(id);
  while (!released_.empty() &&
         (released_.front().first < now_ - kIdRetention || released_.size() >= kMaxRetainedIds)) {
    recent_.erase(released_.front().second);
    released_.pop_front();
  }
  const std::size_t hash = std::hash<std::string>{}(id);
  if (recent_.insert(hash).second) released_.emplace_back(now_, hash);
}

void Reducer::ForgetIfOver(Ticket ticket) {
  const auto it = jobs_.find(ticket);
  if (it == jobs_.end() || !it->second.answered) return;
  for (const Hop& h : it->second.hops) {
    if (h.state != HopState::kEnded) return;
  }
  jobs_.erase(it);
}

}  // namespace heronway::core
