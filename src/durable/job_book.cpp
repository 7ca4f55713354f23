#include "src/durable/job_book.h"

#include <algorithm>
#include <utility>

namespace heronway::durable {
namespace {

bool Held(const JobBook::Job& job) { return job.state == State::kLeased || job.state == State::kStarted; }

Record Of(Kind kind, Micros now, const std::string& id, std::uint32_t epoch) {
  Record r;
  r.kind = kind;
  r.at = now;
  r.id = id;
  r.epoch = epoch;
  return r;
}

}  // namespace

const JobBook::Job* JobBook::Find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

// ---- decisions
std::optional<Record> JobBook::Take(Micros now, const std::string& id, int job_class,
                                    std::string text) const {
  if (id.empty() || Find(id) != nullptr || job_class < 0 || job_class >= static_cast<int>(classes_.size()))
    return std::nullopt;
  Record r = Of(Kind::kTaken, now, id, 0);
  r.job_class = job_class;
  r.text = std::move(text);
  return r;
}

// Whether any lease may follow. What has never run may always go on; of the rest, safe jobs may, keyed ones
// while the workers still drop repeats, unsafe ones never.
bool JobBook::MayRepeat(const Job& job, Micros now) const {
  const ClassRules& c = RulesOf(job);
  if (job.epoch >= static_cast<std::uint32_t>(c.most_leases)) return false;
  if (job.may_have_run_since < 0 || c.effect == Effect::kSafe) return true;
  return c.effect == Effect::kKeyed && now >= job.may_have_run_since &&
         now - job.may_have_run_since < c.key_window;
}

bool JobBook::MayLease(Micros now, const std::string& id, const Holder& to) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != State::kWaiting || !MayRepeat(*job, now)) return false;
  const ClassRules& c = RulesOf(*job);
  if (job->may_have_run_since < 0 || c.effect == Effect::kSafe) return true;
  // Guards against a repeat that meets workers which know nothing of the first run.
  return c.scope == RepeatScope::kAll || (c.scope == RepeatScope::kZone && to.zone == job->first.zone) ||
         (c.scope == RepeatScope::kCell && to.cell == job->first.cell && to.zone == job->first.zone);
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

Record JobBook::Failed(Micros now, const std::string& id, std::uint32_t epoch) const {
  Record r = Of(Kind::kAnswered, now, id, epoch);
  r.answer = Answer::kFailed;
  return r;
}

std::optional<Record> JobBook::GiveUp(Micros now, const std::string& id) const {
  const Job* job = Find(id);
  if (job == nullptr || job->state != State::kWaiting) return std::nullopt;
  return Failed(now, id, job->epoch);
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
      out.push_back(Failed(now, id, job.epoch));
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
void JobBook::Arm(const std::string& id, Job& job, Micros until) {
  due_.erase({job.until, id});
  job.until = until;
  if (until > 0) due_.emplace(until, id);
}

bool JobBook::Apply(const Record& r) {
  if (r.kind == Kind::kTaken) {
    if (r.id.empty() || r.job_class < 0 || r.job_class >= static_cast<int>(classes_.size())) return false;
    const auto [it, fresh] = jobs_.try_emplace(r.id);
    if (!fresh) return false;
    it->second.job_class = r.job_class;
    it->second.text = r.text;
    ++open_;
    return true;
  }
  const auto it = jobs_.find(r.id);
  if (it == jobs_.end()) return false;
  Job& job = it->second;
  const bool holder = Held(job) && r.epoch == job.epoch;
  switch (r.kind) {
    case Kind::kLeased:
      if (job.state != State::kWaiting || r.epoch != job.epoch + 1) return false;
      job.state = State::kLeased;
      job.epoch = r.epoch;
      job.holder = r.holder;
      // From here it may run without a word: that it never did is known only where somebody says so.
      if (job.may_have_run_since < 0) {
        job.may_have_run_since = r.at;
        job.first = r.holder;
      }
      Arm(r.id, job, r.until);
      return true;
    case Kind::kStarted:
    case Kind::kRenewed:
      if (!holder) return false;
      if (r.kind == Kind::kStarted) job.state = State::kStarted;
      Arm(r.id, job, r.until);
      return true;
    case Kind::kGivenBack:
      if (!holder || job.state == State::kStarted) return false;
      // Only where this was the one lease that may have run is it known not to have run at all.
      if (!job.ran_before) job.may_have_run_since = -1;
      job.state = State::kWaiting;
      Arm(r.id, job, 0);
      return true;
    case Kind::kLapsed:
      if (!holder) return false;
      job.ran_before = true;
      job.state = State::kWaiting;
      Arm(r.id, job, 0);
      return true;
    case Kind::kAnswered:
      if (job.state == State::kAnswered || r.answer == Answer::kNone) return false;
      if (Held(job) ? !holder : r.epoch != job.epoch) return false;
      job.state = State::kAnswered;
      job.answer = r.answer;
      job.text = r.text;
      --open_;
      Arm(r.id, job, r.at + RulesOf(job).keep);
      return true;
    case Kind::kLate:
      return true;
    case Kind::kForgotten:
      if (job.state != State::kAnswered) return false;
      due_.erase({job.until, r.id});
      jobs_.erase(it);
      return true;
    case Kind::kTaken:
      break;
  }
  return false;
}

}  // namespace heronway::durable
