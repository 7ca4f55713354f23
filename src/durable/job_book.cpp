#include "src/durable/job_book.h"

#include <algorithm>
#include <utility>

namespace heronway::durable {
namespace {

bool Held(const Job& job) { return job.held(); }

Record Of(Kind kind, Micros now, const std::string& id, std::uint32_t epoch) {
  Record r;
  r.kind = kind;
  r.at = now;
  r.id = id;
  r.epoch = epoch;
  return r;
}

}  // namespace

const std::string* JobBook::IdOf(const std::string& alias) const {
  const auto it = alias.empty() ? aliases_.end() : aliases_.find(alias);
  return it == aliases_.end() ? nullptr : &it->second;
}

const JobBook::Job* JobBook::Find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

// ---- decisions
std::optional<Record> JobBook::Take(Micros now, const std::string& id, Task task) const {
  if (id.empty() || Find(id) != nullptr || task.job_class < 0 ||
      task.job_class >= static_cast<int>(classes_.size()) || IdOf(task.alias) != nullptr)
    return std::nullopt;
  Record r = Of(Kind::kTaken, now, id, 0);
  r.job_class = task.job_class;
  r.text = std::move(task.text);
  r.alias = std::move(task.alias);
  r.lane = std::move(task.lane);
  r.retries = task.retries;
  r.priority = task.priority;
  r.key = task.key;
  r.until = task.not_before;
  return r;
}

// Whether any lease may follow. What has never run may always go on; of the rest, safe jobs may, keyed ones
// while the workers still drop repeats, unsafe ones never.
bool JobBook::MayRepeat(const Job& job, Micros now) const {
  const ClassRules& c = RulesOf(job);
  if (job.epoch >= static_cast<std::uint32_t>(c.most_leases)) return false;
  if (job.may_have_run_since < 0 || c.effect == Idempotency::kIdempotent) return true;
  return c.effect == Idempotency::kDeduplicated && now >= job.may_have_run_since &&
         job.may_have_run_since > clock_broke_ && now - job.may_have_run_since < c.key_window;
}

bool JobBook::MayLease(Micros now, const std::string& id, const Holder& to) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != State::kWaiting || !MayRepeat(*job, now)) return false;
  const ClassRules& c = RulesOf(*job);
  if (job->may_have_run_since < 0 || c.effect == Idempotency::kIdempotent) return true;
  // Guards against a repeat that meets workers which know nothing of the first run.
  return c.scope == DedupScope::kAll || (c.scope == DedupScope::kZone && to.zone == job->first.zone) ||
         (c.scope == DedupScope::kCell && to.cell == job->first.cell && to.zone == job->first.zone);
}

std::optional<Record> JobBook::Lease(Micros now, const std::string& id, const Holder& to) const {
  if (!MayLease(now, id, to)) return std::nullopt;
  const Job& job = *Find(id);
  Record r = Of(Kind::kLeased, now, id, job.epoch + 1);
  r.holder = to;
  r.until = now + RulesOf(job).lease;
  return r;
}

std::optional<Record> JobBook::Word(Micros now, const std::string& id, std::uint32_t epoch, Kind kind) const {
  const Job* job = Find(id);
  if (job == nullptr || epoch == 0 || epoch > job->epoch) return std::nullopt;  // never was a lease
  const bool holds = Held(*job) && epoch == job->epoch;
  return Of(holds ? kind : Kind::kLate, now, id, epoch);
}

std::optional<Record> JobBook::Started(Micros now, const std::string& id, std::uint32_t epoch) const {
  auto r = Word(now, id, epoch, Kind::kStarted);
  if (r && r->kind == Kind::kStarted) r->until = std::max(Find(id)->until, now + RulesOf(*Find(id)).lease);
  return r;
}

// A clock that steps back shortens no lease.
std::optional<Record> JobBook::Renew(Micros now, const std::string& id, std::uint32_t epoch) const {
  auto r = Word(now, id, epoch, Kind::kRenewed);
  if (r && r->kind == Kind::kRenewed) r->until = std::max(Find(id)->until, now + RulesOf(*Find(id)).lease);
  return r;
}

// Word that it never ran counts from a holder that has not said that it started.
std::optional<Record> JobBook::GiveBack(Micros now, const std::string& id, std::uint32_t epoch) const {
  const Job* job = Find(id);
  if (job != nullptr && job->state == State::kStarted && epoch == job->epoch) return std::nullopt;
  return Word(now, id, epoch, Kind::kGivenBack);
}

std::optional<Record> JobBook::Finish(Micros now, const std::string& id, std::uint32_t epoch, Answer answer,
                                      std::string result) const {
  if (answer == Answer::kNone) return std::nullopt;
  auto r = Word(now, id, epoch, Kind::kAnswered);
  if (!r || r->kind != Kind::kAnswered) return r;
  // A failure that may be repeated is no answer yet.
  if (answer == Answer::kFailed && MayRepeat(*Find(id), now)) {
    r->kind = Kind::kLapsed;
    return r;
  }
  r->answer = answer;
  r->text = std::move(result);
  return r;
}

std::optional<Record> JobBook::Lost(Micros now, const std::string& id, std::uint32_t epoch) const {
  auto r = Word(now, id, epoch, Kind::kLapsed);
  if (r && r->kind == Kind::kLapsed && !MayRepeat(*Find(id), now)) return Failed(now, id, epoch, "lost");
  return r;
}

std::optional<Record> JobBook::Fail(Micros now, const std::string& id, std::uint32_t epoch, std::string why,
                                    Micros backoff) const {
  auto r = Word(now, id, epoch, Kind::kRetry);
  if (!r || r->kind != Kind::kRetry) return r;
  const Job& job = *Find(id);
  if (job.failures >= job.retries || !MayRepeat(job, now)) return Failed(now, id, epoch, std::move(why));
  // Guards a keyed job's only chance: past the window nobody may have it any more.
  r->until = MayRepeat(job, now + backoff) ? now + backoff : now;
  r->text = std::move(why);
  return r;
}

std::optional<Record> JobBook::Revive(Micros now, const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != State::kAnswered || job->answer != Answer::kFailed) return std::nullopt;
  return Of(Kind::kRevived, now, id, job->epoch);
}

std::optional<Record> JobBook::Discard(Micros now, const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr || Held(*job)) return std::nullopt;
  return Of(Kind::kDiscarded, now, id, job->epoch);
}

Record JobBook::ClockBroke(Micros newest) const { return Of(Kind::kClock, newest, {}, 0); }

Record JobBook::Failed(Micros now, const std::string& id, std::uint32_t epoch, std::string why) const {
  Record r = Of(Kind::kAnswered, now, id, epoch);
  r.answer = Answer::kFailed;
  r.text = std::move(why);
  return r;
}

std::optional<Record> JobBook::GiveUp(Micros now, const std::string& id, std::string why) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != State::kWaiting) return std::nullopt;
  return Failed(now, id, job->epoch, std::move(why));
}

std::vector<Record> JobBook::Due(Micros now, std::size_t most) const {
  std::vector<Record> out;
  for (const auto& [until, id] : due_) {
    if (until > now || out.size() >= most) break;
    const Job& job = *Find(id);
    if (job.state == State::kAnswered) {
      out.push_back(Of(Kind::kForgotten, now, id, job.epoch));
    } else if (MayRepeat(job, now)) {
      out.push_back(Of(Kind::kLapsed, now, id, job.epoch));
    } else {
      out.push_back(Failed(now, id, job.epoch, "the lease ran out"));
    }
  }
  return out;
}

std::vector<Record> JobBook::Recover(Micros now, Micros grace) const {
  std::vector<Record> out;
  for (const auto& [id, job] : jobs_) {
    if (!Held(job) || job.until >= now + grace) continue;
    out.push_back(Of(Kind::kRenewed, now, id, job.epoch));
    out.back().until = now + grace;
  }
  return out;
}

// ---- state
JobBook::Place JobBook::PlaceOf(const Job& job) {
  if (job.held()) return Place::kHeld;
  if (job.state == State::kWaiting) return job.failures == 0 ? Place::kWaiting : Place::kRetrying;
  return job.answer == Answer::kDone ? Place::kDone : Place::kFailed;
}

const char* JobBook::NameOf(Place place) {
  constexpr const char* kNames[] = {"waiting", "retrying", "held", "done", "failed"};
  return kNames[static_cast<std::size_t>(place)];
}

void JobBook::Count(const Job& job, int by) {
  const Place place = PlaceOf(job);
  counts_[static_cast<std::size_t>(place)] += static_cast<std::size_t>(by);
  if (job.state != State::kWaiting) return;
  const auto lane = lanes_.try_emplace(job.lane).first;
  lane->second += static_cast<std::size_t>(by);
  if (lane->second == 0) lanes_.erase(lane);
}

// A waiting job's time is not due here: who brings waiting jobs to workers looks at it.
void JobBook::Arm(const std::string& id, Job& job, Micros until) {
  due_.erase({job.until, id});
  job.until = until;
  if (until > 0 && job.state != State::kWaiting) due_.emplace(until, id);
}

void JobBook::Erase(std::map<std::string, Job>::iterator it) {
  due_.erase({it->second.until, it->first});
  if (!it->second.alias.empty()) aliases_.erase(it->second.alias);
  jobs_.erase(it);
}

bool JobBook::Restore(const std::string& id, Job job) {
  if (id.empty() || job.job_class < 0 || job.job_class >= static_cast<int>(classes_.size())) return false;
  if (job.state > State::kAnswered || job.answer > Answer::kFailed || IdOf(job.alias) != nullptr)
    return false;
  const Micros until = std::exchange(job.until, 0);
  const auto [it, fresh] = jobs_.try_emplace(id, std::move(job));
  if (!fresh) return false;
  Job& kept = it->second;
  newest_ = std::max(newest_, kept.last);
  Count(kept, 1);
  if (!kept.alias.empty()) aliases_[kept.alias] = id;
  Arm(id, kept, until);
  return true;
}

void JobBook::Drop(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Count(it->second, -1);
  Erase(it);
}

bool JobBook::Apply(const Record& r) {
  if (r.kind == Kind::kClock) {
    set_clock_broke(r.at);
    return true;
  }
  if (r.kind == Kind::kTaken) {
    if (r.id.empty() || r.job_class < 0 || r.job_class >= static_cast<int>(classes_.size())) return false;
    if (IdOf(r.alias) != nullptr) return false;
    const auto [it, fresh] = jobs_.try_emplace(r.id);
    if (!fresh) return false;
    Job& job = it->second;
    job.job_class = r.job_class;
    job.text = r.text;
    job.alias = r.alias;
    job.lane = r.lane;
    job.retries = r.retries;
    job.priority = r.priority;
    job.key = r.key;
    job.until = r.until;
    job.taken = job.last = r.at;
    if (!r.alias.empty()) aliases_[r.alias] = r.id;
    newest_ = std::max(newest_, r.at);
    Count(job, 1);
    return true;
  }
  const auto it = jobs_.find(r.id);
  if (it == jobs_.end() || !Follows(it->second, r)) return false;
  newest_ = std::max(newest_, r.at);
  Job& job = it->second;
  Count(job, -1);
  job.last = std::max(job.last, r.at);
  switch (r.kind) {
    case Kind::kLeased:
      job.state = State::kLeased;
      job.epoch = r.epoch;
      job.holder = r.holder;
      // From here it may run without a word: that it never did is known only where somebody says so.
      if (job.may_have_run_since < 0) {
        job.may_have_run_since = r.at;
        job.first = r.holder;
      }
      Arm(r.id, job, r.until);
      break;
    case Kind::kStarted:
    case Kind::kRenewed:
      if (r.kind == Kind::kStarted) job.state = State::kStarted;
      Arm(r.id, job, r.until);
      break;
    case Kind::kGivenBack:
    case Kind::kLapsed:
    case Kind::kRetry:
      if (r.kind == Kind::kGivenBack) {
        // Only where this was the one lease that may have run is it known not to have run at all.
        if (!job.ran_before) job.may_have_run_since = -1;
      } else {
        job.ran_before = true;
      }
      if (r.kind == Kind::kRetry) {
        ++job.failures;
        job.why = r.text;
      }
      Arm(r.id, job, 0);
      job.state = State::kWaiting;
      job.until = r.kind == Kind::kRetry ? r.until : 0;
      break;
    case Kind::kAnswered:
      job.state = State::kAnswered;
      job.answer = r.answer;
      (r.answer == Answer::kDone ? job.text : job.why) = r.text;
      Arm(r.id, job,
          r.at + (r.answer == Answer::kDone ? RulesOf(job).keep
                  : job.retries < 0         ? 0
                                            : RulesOf(job).keep_failed));
      break;
    case Kind::kRevived:
      Arm(r.id, job, 0);
      job.state = State::kWaiting;
      job.answer = Answer::kNone;
      job.failures = 0;
      job.ran_before = false;
      job.may_have_run_since = -1;
      break;
    case Kind::kForgotten:
    case Kind::kDiscarded:
      Erase(it);
      return true;
    case Kind::kLate:
    case Kind::kTaken:
    case Kind::kClock:
      break;
  }
  Count(job, 1);
  return true;
}

// Whether a record can come next in this job's life.
bool JobBook::Follows(const Job& job, const Record& r) const {
  const bool holder = Held(job) && r.epoch == job.epoch;
  switch (r.kind) {
    case Kind::kLeased:
      return job.state == State::kWaiting && r.epoch == job.epoch + 1;
    case Kind::kStarted:
    case Kind::kRenewed:
    case Kind::kLapsed:
    case Kind::kRetry:
      return holder;
    case Kind::kGivenBack:
      return holder && job.state != State::kStarted;
    case Kind::kAnswered:
      return job.state != State::kAnswered && r.answer != Answer::kNone &&
             (Held(job) ? holder : r.epoch == job.epoch);
    case Kind::kForgotten:
      return job.state == State::kAnswered;
    case Kind::kRevived:
      return job.state == State::kAnswered && job.answer == Answer::kFailed;
    case Kind::kDiscarded:
      return !Held(job);
    case Kind::kLate:
      return true;
    case Kind::kTaken:
    case Kind::kClock:
      return false;
  }
  return false;
}

}  // namespace heronway::durable
