#include "src/durable/keeper.h"

#include <algorithm>
#include <utility>

namespace heronway::durable {

Keeper::Keeper(const Settings& settings, std::vector<ClassRules> classes, std::uint64_t seed)
    : settings_(settings),
      book_(classes),
      backlog_(classes.size()),
      window_(std::min(kFirstInHand, settings.most_in_hand), settings.most_in_hand),
      random_(seed) {}

std::vector<ClassRules> Keeper::RulesOf(const Settings& settings, const pebblenotch::Settings& site) {
  std::vector<ClassRules> out;
  for (const auto& c : site.classes)
    out.push_back({c.idempotency, c.dedup_scope, c.key_ttl, settings.lease, settings.keep,
                   settings.keep_failed, settings.most_leases});
  return out;
}

// The one place through which the book changes: what is stored and what is in force can't differ.
void Keeper::Put(const Record& record, Records& out) {
  const Job* before = book_.Find(record.id);
  const bool held =
      before != nullptr && (before->state == State::kLeased || before->state == State::kStarted);
  const WorkerId holder = held ? before->holder.worker : 0;
  if (!book_.Apply(record)) return;
  const Job* job = book_.Find(record.id);
  const bool holds = job != nullptr && (job->state == State::kLeased || job->state == State::kStarted);
  if (held && !holds) {
    const auto it = held_.find(holder);
    if (it != held_.end() && it->second.erase(record.id) > 0 && it->second.empty()) held_.erase(it);
  } else if (holds && !held) {
    held_[job->holder.worker].insert(record.id);
  }
  if (record.kind == Kind::kAnswered) ++(record.answer == Answer::kDone ? counters_.done : counters_.failed);
  if (record.kind == Kind::kRetry) ++counters_.retries;
  if (record.kind == Kind::kLapsed) ++counters_.lapsed;
  if (record.kind == Kind::kLate) ++counters_.late;
  if (job == nullptr || job->state != State::kWaiting) backlog_.Remove(record.id);
  out.push_back(record);
  out.back().home = HomeOf(record.id);
  if (job == nullptr) homes_.erase(record.id);
}

// A job that waits and is not in hand stands in the backlog.
void Keeper::Settle(const std::string& id, Micros at) {
  const Job* job = book_.Find(id);
  if (job == nullptr || job->state != State::kWaiting || InHand(id) || closed_.contains(HomeOf(id))) return;
  backlog_.Put(id, job->job_class, job->priority, std::max(job->until, at));
}

// Faktory's: the fourth power of the failures so far, a quarter of a minute, and some chance that spreads a
// crowd.
Micros Keeper::Backoff(int failures) {
  const double n = std::min(failures, 100);
  const double spread = static_cast<double>(random_(30)) * (n + 1);
  return static_cast<Micros>((n * n * n * n + 15 + spread) * 1e6);
}

void Keeper::Recovered(Micros now, Records& out) {
  if (const Micros newest = book_.newest(); newest > now) {
    // Guards every reckoning with times: they go on from the newest, and of what was before nobody knows how
    // long ago it was.
    ahead_ = newest - now;
    Put(book_.ClockBroke(newest), out);
  }
  for (const Record& r : book_.Recover(At(now), settings_.grace)) Put(r, out);
  for (const auto& [id, job] : book_.jobs()) {
    if (job.state == State::kAnswered) continue;
    ++counters_.recovered;
    if (job.state == State::kWaiting) {
      Settle(id, 0);
    } else {
      ++counters_.recovered_leased;
      held_[job.holder.worker].insert(id);
    }
  }
}

// ---- homes
bool Keeper::Adopt(Micros now, int home, const std::string& id, Job job, Micros clock_broke, Records& out) {
  const Micros at = At(now);
  const std::string* alias = book_.IdOf(job.alias);
  const std::string known = book_.Find(id) != nullptr ? id : alias != nullptr ? *alias : "";
  if (!known.empty()) {
    // Its client came here while nobody looked after it. One of the two goes on: the one that may have run.
    const Job& here = *book_.Find(known);
    const bool idle = here.state == State::kWaiting && here.may_have_run_since < 0 && !InHand(known);
    const bool ran = job.state == State::kAnswered || job.may_have_run_since >= 0;
    if (!idle || !ran || HomeOf(known) == home) {
      if (job.state == State::kAnswered || HomeOf(known) == home) return false;
      Record over;
      over.kind = Kind::kAnswered;
      over.id = id;
      over.at = at;
      over.epoch = job.epoch;
      over.answer = Answer::kFailed;
      over.text = "it was taken elsewhere by the same name";
      over.home = home;
      out.push_back(std::move(over));
      return false;
    }
    if (const auto over = book_.Discard(at, known)) Put(*over, out);
  }
  if (job.may_have_run_since >= 0 && job.may_have_run_since <= clock_broke) job.may_have_run_since = 0;
  const bool held = job.held();
  const WorkerId holder = job.holder.worker;
  Record longer;
  longer.kind = Kind::kRenewed;
  longer.id = id;
  longer.at = at;
  longer.epoch = job.epoch;
  longer.until = std::max(std::min(job.until, at + settings_.lease), at + settings_.grace);
  const bool open = job.state != State::kAnswered;
  if (!book_.Restore(id, std::move(job))) return false;
  if (home != 0) homes_[id] = home;
  counters_.recovered += open ? 1 : 0;
  if (held) {
    ++counters_.recovered_leased;
    held_[holder].insert(id);
    Put(longer, out);
  }
  Settle(id, 0);
  return true;
}

void Keeper::Close(int home) {
  closed_.insert(home);
  for (const auto& [id, job] : book_.jobs()) {
    if (HomeOf(id) == home) backlog_.Remove(id);
  }
}

std::size_t Keeper::InHandOf(int home) const {
  return static_cast<std::size_t>(std::count_if(in_hand_.begin(), in_hand_.end(),
                                                [&](const std::string& id) { return HomeOf(id) == home; }));
}

void Keeper::Drop(int home, std::vector<std::string>& ids) {
  const std::size_t from = ids.size();
  for (const auto& [id, job] : book_.jobs()) {
    if (HomeOf(id) == home) ids.push_back(id);
  }
  for (std::size_t i = from; i < ids.size(); ++i) {
    const Job& job = *book_.Find(ids[i]);
    if (const auto it = held_.find(job.holder.worker); job.held() && it != held_.end()) {
      it->second.erase(ids[i]);
      if (it->second.empty()) held_.erase(it);
    }
    backlog_.Remove(ids[i]);
    in_hand_.erase(ids[i]);
    homes_.erase(ids[i]);
    book_.Drop(ids[i]);
  }
  closed_.erase(home);
}

bool Keeper::Take(Micros now, const std::string& id, Task task, bool in_hand, Records& out) {
  auto record = book_.Take(At(now), id, std::move(task));
  if (!record || !MayTake()) return false;
  Put(*record, out);
  ++counters_.taken;
  if (in_hand) in_hand_.insert(id);
  Settle(id, 0);
  return true;
}

std::optional<std::string> Keeper::Next(Micros now, Records& out) {
  while (static_cast<int>(in_hand_.size()) < window_.size()) {
    auto id = backlog_.Draw(At(now));
    if (!id) return std::nullopt;
    // Guards against a round that nobody may take: what may have run, and may not be repeated any more.
    if (!book_.MayStillRun(At(now), *id)) {
      if (const auto over = book_.GiveUp(At(now), *id, "it may have run and may not be repeated any more"))
        Put(*over, out);
      continue;
    }
    in_hand_.insert(*id);
    ++counters_.rounds;
    return id;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> Keeper::Lease(Micros now, const std::string& id, const Holder& to,
                                           Records& out) {
  const auto record = book_.Lease(At(now), id, to);
  if (!record) {
    ++counters_.vetoed;
    return std::nullopt;
  }
  Put(*record, out);
  return record->epoch;
}

void Keeper::HopOver(Micros now, const std::string& id, std::uint32_t epoch, HopEnd end, Records& out) {
  const Job* job = book_.Find(id);
  if (job == nullptr || epoch == 0 || epoch != job->epoch || !job->held()) return;  // told already
  // One that said that it started can't take that back.
  const bool never_ran = end == HopEnd::kNeverRan && job->state != State::kStarted;
  const auto record = never_ran ? book_.GiveBack(At(now), id, epoch) : book_.Lost(At(now), id, epoch);
  if (record) Put(*record, out);
  Settle(id, 0);
}

void Keeper::RoundOver(Micros now, const std::string& id, RoundEnd end, Micros wait, Records& out) {
  if (in_hand_.erase(id) == 0) return;
  if (end == RoundEnd::kServed) window_.Served();
  if (end == RoundEnd::kShed) window_.Shed(now);
  const Job* job = book_.Find(id);
  if (job == nullptr || job->state != State::kWaiting) return;
  if (end == RoundEnd::kRejected) {
    if (const auto over = book_.GiveUp(At(now), id, "a worker could not use it")) Put(*over, out);
    return;
  }
  Settle(id, end == RoundEnd::kLeft ? 0 : At(now) + std::max(wait, kLeastWait));
}

std::uint32_t Keeper::EpochOf(const std::string& id, WorkerId worker) const {
  const Job* job = book_.Find(id);
  return job != nullptr && job->held() && job->holder.worker == worker ? job->epoch : 0;
}

bool Keeper::Word(Micros now, const std::string& id, std::uint32_t epoch, Said said, std::string text,
                  Records& out) {
  const Job* job = book_.Find(id);
  if (job == nullptr) return false;
  const Micros at = At(now);
  std::optional<Record> record;
  switch (said) {
    case Said::kStarted:
      record = job->state == State::kStarted ? book_.Renew(at, id, epoch) : book_.Started(at, id, epoch);
      break;
    case Said::kRunning:
      // A lease that has most of its time left needs no record.
      if (job->held() && epoch == job->epoch && job->until > at + settings_.lease * 3 / 4) return true;
      record = book_.Renew(at, id, epoch);
      break;
    case Said::kDone:
      record = book_.Finish(at, id, epoch, Answer::kDone, std::move(text));
      break;
    case Said::kFailed:
      record = book_.Fail(at, id, epoch, std::move(text), Backoff(job->failures));
      break;
    case Said::kReturned:
      record = job->state == State::kStarted ? book_.Lost(at, id, epoch) : book_.GiveBack(at, id, epoch);
      break;
    case Said::kLost:
      record = book_.Lost(at, id, epoch);
      break;
  }
  if (!record) return false;
  Put(*record, out);
  Settle(id, 0);
  return record->kind != Kind::kLate;
}

void Keeper::Alive(Micros now, WorkerId worker, Records& out) {
  const auto it = held_.find(worker);
  if (it == held_.end()) return;
  for (const std::string& id : std::vector<std::string>(it->second.begin(), it->second.end()))
    Word(now, id, EpochOf(id, worker), Said::kRunning, {}, out);
}

bool Keeper::Retry(Micros now, const std::string& id, Records& out) {
  const auto record = book_.Revive(At(now), id);
  if (!record) return false;
  Put(*record, out);
  Settle(id, 0);
  return true;
}

bool Keeper::Discard(Micros now, const std::string& id, Records& out) {
  const auto record = InHand(id) ? std::nullopt : book_.Discard(At(now), id);
  if (!record) return false;
  Put(*record, out);
  return true;
}

void Keeper::Due(Micros now, Records& out, std::vector<std::string>& lapsed_in_hand) {
  for (const Record& r : book_.Due(At(now), kMostDue)) {
    if (InHand(r.id) && book_.Find(r.id)->held()) {
      // Its hop is being called off. Guards against asking again at once, until the end of that is told.
      Record longer = r;
      longer.kind = Kind::kRenewed;
      longer.until = At(now) + kCallOff;
      Put(longer, out);
      lapsed_in_hand.push_back(r.id);
      continue;
    }
    Put(r, out);
    Settle(r.id, 0);
  }
}

Micros Keeper::next(Micros now) const {
  Micros at = -1;
  const auto sooner = [&at](Micros other) { at = at < 0 ? other : std::min(at, other); };
  if (const Micros due = book_.next_due(); due > 0) sooner(due);
  if (static_cast<int>(in_hand_.size()) < window_.size() && backlog_.next() >= 0) sooner(backlog_.next());
  return at < 0 ? -1 : std::max(now, at - ahead_);
}

}  // namespace heronway::durable
