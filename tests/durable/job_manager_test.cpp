// The keeper of durable jobs, and what it does in the reducer: rounds, retries, crashes and clocks, without
// any store or wire.
#include "src/durable/job_manager.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "src/core/reducer.h"

namespace heronway::durable {
namespace {

constexpr Micros kS = 1'000'000;
enum { kSafe, kKeyed, kUnsafe };

std::vector<ClassRules> Classes(const Settings& settings) {
  pebblenotch::Settings site;
  for (const auto effect : {Idempotency::kIdempotent, Idempotency::kDeduplicated, Idempotency::kAtMostOnce}) {
    site.classes.emplace_back();
    site.classes.back().idempotency = effect;
    site.classes.back().dedup_scope = DedupScope::kZone;
    site.classes.back().key_ttl = 20 * kS;
  }
  return JobManager::BuildClassRules(settings, site);
}

JobSpec Work(int job_class, int retries = 3) {
  JobSpec task;
  task.job_class = job_class;
  task.text = "work";
  task.retries = retries;
  return task;
}

// A keeper and what it had stored; a crash makes another of the same records.
struct Life {
  explicit Life(Micros lease = 60 * kS, Micros grace = 30 * kS) {
    settings.lease = lease;
    settings.grace = grace;
    job_manager = std::make_unique<JobManager>(settings, Classes(settings), 7);
  }
  Settings settings;
  std::unique_ptr<JobManager> job_manager;
  Records records;
  Micros now = 1'000 * kS;

  void Crash(Micros gone = kS) {
    job_manager = std::make_unique<JobManager>(settings, Classes(settings), 7);
    for (const Record& r : records) ASSERT_TRUE(job_manager->ReplayRecord(r));
    now += gone;
    job_manager->FinishRecovery(now, records);
  }
  void Take(const std::string& id, int job_class, int retries = 3) {
    EXPECT_TRUE(job_manager->Accept(now, id, Work(job_class, retries), false, records));
  }
  std::optional<std::string> Next() { return job_manager->NextToDispatch(now, records); }
  std::uint32_t Lease(const std::string& id, WorkerId to = 1, int zone = 0) {
    return job_manager->Lease(now, id, {to, zone, 0}, records).value_or(0);
  }
  void Pass(Micros time) {
    now += time;
    std::vector<std::string> lapsed;
    job_manager->ProcessDue(now, records, lapsed);
    EXPECT_TRUE(lapsed.empty());
  }
  bool Says(const std::string& id, std::uint32_t epoch, JobManager::WorkerReport said) {
    return job_manager->HandleReport(now, id, epoch, said, "", records);
  }
  const Job& job(const std::string& id) { return *job_manager->table().Find(id); }
};

TEST(JobManager, ARoundThatFoundNoWorkerWaitsAndComesAgain) {
  Life l;
  l.Take("j", kUnsafe);
  EXPECT_EQ(l.Next(), "j");
  EXPECT_EQ(l.Next(), std::nullopt) << "it is in hand";
  l.job_manager->DispatchEnded(l.now, "j", JobManager::DispatchResult::kShed, 500'000, l.records);
  EXPECT_EQ(l.Next(), std::nullopt);
  EXPECT_EQ(l.job_manager->next_wakeup(l.now), l.now + 500'000);
  l.Pass(500'000);
  EXPECT_EQ(l.Next(), "j");
  EXPECT_EQ(l.records.size(), 1u) << "that it waits needs no record";
}

TEST(JobManager, AFailureIsTriedAgainWithTheProtocolsBackoffAndThenKeptAsFailed) {
  Life l;
  l.Take("j", kSafe, 2);
  for (int failures = 0; failures < 2; ++failures) {
    ASSERT_EQ(l.Next(), "j");
    EXPECT_TRUE(l.Says("j", l.Lease("j"), JobManager::WorkerReport::kFailed));
    l.job_manager->DispatchEnded(l.now, "j", JobManager::DispatchResult::kFailed, 0, l.records);
    const Micros wait = l.job("j").until - l.now,
                 least = (failures * failures * failures * failures + 15) * kS;
    EXPECT_GE(wait, least);
    EXPECT_LE(wait, least + 30 * kS * (failures + 1));
    l.Pass(wait - 1);
    EXPECT_EQ(l.Next(), std::nullopt);
    l.Pass(1);
  }
  ASSERT_EQ(l.Next(), "j");
  l.Says("j", l.Lease("j"), JobManager::WorkerReport::kFailed);
  EXPECT_EQ(l.job("j").outcome, Outcome::kFailed);
  EXPECT_EQ(l.job("j").text, "work") << "it is kept as it was, for those who look into it";
  l.job_manager->DispatchEnded(l.now, "j", JobManager::DispatchResult::kFailed, 0, l.records);
  EXPECT_TRUE(l.job_manager->Retry(l.now, "j", l.records));
  EXPECT_EQ(l.Next(), "j");
}

TEST(JobManager, AKeyedFailureIsTriedInsideTheWindowOrNotAtAll) {
  Life l;
  l.Take("j", kKeyed);
  l.Next();
  l.Says("j", l.Lease("j"), JobManager::WorkerReport::kFailed);
  EXPECT_LE(l.job("j").until, l.now + 20 * kS) << "the backoff would have outlasted what workers remember";
  l.job_manager->DispatchEnded(l.now, "j", JobManager::DispatchResult::kFailed, 0, l.records);
  l.Pass(21 * kS);
  EXPECT_EQ(l.Next(), std::nullopt);
  EXPECT_EQ(l.job("j").outcome, Outcome::kFailed) << "told so, rather than run twice";
}

// What may be running goes to nobody until its holder had its time; then on only as the class allows.
TEST(JobManager, AfterACrashNothingThatMayBeRunningIsPushedAfresh) {
  for (const int job_class : {kSafe, kKeyed, kUnsafe}) {
    Life l(kS, 2 * kS);
    l.Take("j", job_class);
    l.Next();
    const std::uint32_t epoch = l.Lease("j");
    l.Crash();
    EXPECT_EQ(l.Next(), std::nullopt);
    l.Pass(l.settings.grace - 1);
    EXPECT_EQ(l.Next(), std::nullopt);
    l.Pass(kS * 60);
    if (job_class == kSafe) {
      EXPECT_EQ(l.Next(), "j");
      EXPECT_FALSE(l.Says("j", epoch, JobManager::WorkerReport::kDone) && l.job("j").leased());
    } else {
      EXPECT_EQ(l.Next(), std::nullopt);
      EXPECT_EQ(l.job("j").outcome, Outcome::kFailed);
    }
  }
}

TEST(JobManager, AHolderFromBeforeTheCrashMayRenewAndEndItsJob) {
  Life l(2 * kS, 2 * kS);
  l.Take("j", kUnsafe);
  l.Next();
  l.Says("j", l.Lease("j", 5), JobManager::WorkerReport::kStarted);
  l.Crash();
  for (int i = 0; i < 5; ++i) {
    l.Pass(1'500'000);
    l.job_manager->RenewLeases(l.now, 5, l.records);
  }
  EXPECT_EQ(l.job_manager->CurrentEpoch("j", 6), 0u) << "another worker does not hold it";
  EXPECT_TRUE(l.Says("j", l.job_manager->CurrentEpoch("j", 5), JobManager::WorkerReport::kDone));
  EXPECT_EQ(l.job("j").outcome, Outcome::kDone);
}

TEST(JobManager, ASignOfLifeRenewsWhateverItsWorkerHolds) {
  Life l(2 * kS, 2 * kS);
  for (const char* id : {"a", "b"}) {
    l.Take(id, kUnsafe);
    l.Next();
    l.Lease(id, 5);
  }
  for (int i = 0; i < 5; ++i) {
    l.Pass(1'500'000);
    l.job_manager->RenewLeases(l.now, 5, l.records);
  }
  EXPECT_TRUE(l.job("a").leased() && l.job("b").leased());
  l.job_manager->HopEnded(l.now, "a", l.job("a").epoch, JobManager::HopResult::kNeverRan, l.records);
  EXPECT_EQ(l.job("a").state, JobState::kWaiting);
  l.Says("b", l.job("b").epoch, JobManager::WorkerReport::kStarted);
  l.job_manager->HopEnded(l.now, "b", l.job("b").epoch, JobManager::HopResult::kNeverRan, l.records);
  EXPECT_EQ(l.job("b").outcome, Outcome::kFailed) << "it had said that it started";
}

TEST(JobManager, WhatIsInHandOrEndedDoesNotWait) {
  Life l;
  l.job_manager->Accept(l.now, "mine", Work(kSafe), true, l.records);
  EXPECT_EQ(l.Next(), std::nullopt) << "its first round is under way with its client";
  EXPECT_FALSE(l.job_manager->Discard(l.now, "mine", l.records));
  JobSpec later = Work(kSafe);
  later.not_before = l.now + kS;
  l.job_manager->Accept(l.now, "later", later, false, l.records);
  EXPECT_EQ(l.job_manager->delayed(), 1u);
  EXPECT_TRUE(l.job_manager->Discard(l.now, "later", l.records));
  EXPECT_EQ(l.job_manager->delayed(), 0u);
}

TEST(JobManager, AnAnswerOfALapsedLeaseIsLateAndChangesNothing) {
  Life l;
  l.Take("j", kSafe);
  l.Next();
  const std::uint32_t first = l.Lease("j", 1);
  l.job_manager->HopEnded(l.now, "j", first, JobManager::HopResult::kLost, l.records);
  const std::uint32_t second = l.Lease("j", 2);
  ASSERT_EQ(second, first + 1);
  EXPECT_FALSE(l.Says("j", first, JobManager::WorkerReport::kDone));
  EXPECT_TRUE(l.job("j").leased());
  EXPECT_TRUE(l.Says("j", second, JobManager::WorkerReport::kDone));
  EXPECT_EQ(l.job_manager->counters().stale, 1u);
}

// Nobody knows how long the program was away: a keyed job that may have run may be past its window.
TEST(JobManager, AClockThatSteppedBackClosesEveryWindowAndShortensNothing) {
  for (const Micros gone : {kS, -3'600 * kS}) {
    Life l(kS, kS);
    l.Take("j", kKeyed);
    l.Next();
    l.Lease("j");
    l.Crash(gone);
    l.Pass(500'000);
    EXPECT_TRUE(l.job("j").leased());
    l.Pass(kS);
    EXPECT_EQ(l.Next().has_value(), gone > 0);
    if (gone < 0) {
      EXPECT_EQ(l.job("j").outcome, Outcome::kFailed) << "times go on, wherever the clock stands";
    }
    l.Crash(kS);  // and it is remembered
    EXPECT_EQ(l.Next().has_value(), gone > 0);
  }
}

TEST(JobManager, AKeyedJobIsLeasedAgainInItsFirstZoneOnly) {
  Life l;
  l.Take("j", kKeyed);
  l.Next();
  l.job_manager->HopEnded(l.now, "j", l.Lease("j", 1, 0), JobManager::HopResult::kLost, l.records);
  EXPECT_EQ(l.Lease("j", 2, 1), 0u);
  EXPECT_NE(l.Lease("j", 3, 0), 0u);
  EXPECT_EQ(l.job_manager->counters().leases_denied, 1u);
}

TEST(JobManager, ACrowdOfRecoveredJobsComesLittleByLittleAndClassesTakeTurns) {
  Life l;
  for (int i = 0; i < 1'000; ++i) l.Take("a" + std::to_string(i), kSafe);
  for (int i = 0; i < 20; ++i) l.Take("b" + std::to_string(i), kUnsafe);
  l.Crash();
  std::vector<std::string> first;
  while (const auto id = l.Next()) first.push_back(*id);
  EXPECT_EQ(first.size(), 16u);
  EXPECT_EQ(std::count_if(first.begin(), first.end(), [](const auto& id) { return id[0] == 'b'; }), 8);
  l.Says(first[0], l.Lease(first[0]), JobManager::WorkerReport::kDone);
  l.job_manager->DispatchEnded(l.now, first[0], JobManager::DispatchResult::kServed, 0, l.records);
  EXPECT_EQ(l.job_manager->window(), 17);
  for (int i = 1; i < 10; ++i)
    l.job_manager->DispatchEnded(l.now, first[static_cast<std::size_t>(i)], JobManager::DispatchResult::kShed,
                                 0, l.records);
  EXPECT_EQ(l.job_manager->window(), 8) << "a crowd that is turned away at one moment counts once";
}

TEST(JobManager, PriorityGoesFirstAndALaterJobWaitsForItsTime) {
  Life l;
  JobSpec later = Work(kSafe), high = Work(kSafe);
  later.not_before = l.now + 10 * kS;
  high.priority = 5;
  l.job_manager->Accept(l.now, "later", later, false, l.records);
  l.Take("low", kSafe);
  l.job_manager->Accept(l.now, "high", high, false, l.records);
  EXPECT_EQ(l.Next(), "high");
  EXPECT_EQ(l.Next(), "low");
  EXPECT_EQ(l.Next(), std::nullopt);
  l.Crash();
  l.Pass(10 * kS);
  std::vector<std::string> all;
  while (const auto id = l.Next()) all.push_back(*id);
  EXPECT_EQ(std::count(all.begin(), all.end(), "later"), 1);
}

// ---- jobs of others
// What one scheduler held goes to another, whole, as home 3.
void Adopts(Life& to, const Life& from, Micros clock_stepped_at = 0) {
  for (const auto& [id, job] : from.job_manager->table().jobs())
    to.job_manager->Adopt(to.now, 3, id, job, clock_stepped_at, to.records);
}

TEST(Homes, AdoptedJobsGoOnAndTheirRecordsGoHome) {
  Life gone, l;
  gone.Take("waits", kUnsafe);
  gone.Take("runs", kUnsafe);
  gone.Lease("runs", 5);
  gone.Take("done", kUnsafe);
  gone.Says("done", gone.Lease("done", 6), JobManager::WorkerReport::kDone);
  l.Take("own", kUnsafe);
  l.records.clear();
  Adopts(l, gone);
  ASSERT_EQ(l.records.size(), 1u) << "the lease, prolonged by the grace";
  EXPECT_EQ(l.records[0].kind, RecordKind::kRenewed);
  EXPECT_GE(l.records[0].until, l.now + l.settings.grace);
  EXPECT_EQ(l.records[0].store_id, 3);
  EXPECT_EQ(l.job_manager->CurrentEpoch("runs", 5), 1u) << "its worker's word counts here";
  EXPECT_EQ(l.job("done").outcome, Outcome::kDone) << "and who comes for an answer gets it";
  std::set<std::string> rounds;
  while (const auto id = l.Next()) rounds.insert(*id);
  EXPECT_EQ(rounds, (std::set<std::string>{"own", "waits"}));
  l.Lease("waits", 1);
  EXPECT_EQ(l.records.back().store_id, 3);
  l.Lease("own", 1);
  EXPECT_EQ(l.records.back().store_id, 0);
  EXPECT_EQ(l.job_manager->ActiveCount(3), 1u);
  std::vector<std::string> ids;
  l.job_manager->DropStore(3, ids);
  EXPECT_EQ(ids.size(), 3u);
  EXPECT_EQ(l.job_manager->table().jobs().size(), 1u);
  EXPECT_EQ(l.job_manager->active(), 1u);
  EXPECT_EQ(l.job_manager->table().Count(JobTable::Status::kLeased), 1u);
  l.records.clear();
  l.job_manager->RenewLeases(l.now, 5, l.records);
  EXPECT_TRUE(l.records.empty()) << "nothing of it is renewed here any more";
  EXPECT_FALSE(l.Says("runs", 1, JobManager::WorkerReport::kDone));
}

TEST(Homes, WhatRanByAnothersClockIsRepeatedOnlyWhereItIsSafe) {
  Life gone, l;
  gone.now += 3'600 * kS;  // its clock is an hour ahead
  for (const auto& [id, job_class] : std::map<std::string, int>{{"s", kSafe}, {"k", kKeyed}, {"n", kKeyed}})
    gone.Take(id, job_class);
  gone.Lease("s", 5);
  gone.Lease("k", 5);
  Adopts(l, gone, gone.now);
  l.Pass(l.settings.lease);  // an hour's lease would be another matter
  EXPECT_EQ(l.job("k").outcome, Outcome::kFailed) << "nobody knows how long ago it began";
  std::set<std::string> rounds;
  while (const auto id = l.Next()) rounds.insert(*id);
  EXPECT_EQ(rounds, (std::set<std::string>{"n", "s"}));
}

// A client that found its scheduler gone has brought the job to this one meanwhile.
TEST(Homes, OneNameAtTwoGoesOnAsTheOneThatMayHaveRun) {
  Life gone, l;
  for (const char* id : {"both wait", "theirs ran", "mine ran"}) {
    gone.Take(id, kUnsafe);
    l.Take(id, kUnsafe);
  }
  gone.Lease("theirs ran", 5);
  l.Lease("mine ran", 1);
  l.records.clear();
  Adopts(l, gone);
  EXPECT_EQ(l.job_manager->StoreIdOf("theirs ran"), 3);
  EXPECT_EQ(l.job_manager->CurrentEpoch("theirs ran", 5), 1u);
  EXPECT_EQ(l.job_manager->StoreIdOf("mine ran"), 0);
  EXPECT_EQ(l.job_manager->StoreIdOf("both wait"), 0);
  std::map<std::string, int> ended;  // in which home
  for (const Record& r : l.records) {
    if (r.kind == RecordKind::kFinished || r.kind == RecordKind::kDiscarded) ended[r.id] = r.store_id;
  }
  EXPECT_EQ(ended, (std::map<std::string, int>{{"both wait", 3}, {"mine ran", 3}, {"theirs ran", 0}}));
  for (const Record& r : l.records) {
    if (r.store_id == 3 && r.kind == RecordKind::kFinished) {
      EXPECT_TRUE(gone.job_manager->ReplayRecord(r)) << "it follows there";
    }
  }
}

TEST(Homes, OneThatIsToBeGivenBackBeginsNoRound) {
  Life gone, l;
  gone.Take("a", kSafe);
  gone.Take("b", kSafe);
  Adopts(l, gone);
  const std::string first = l.Next().value();
  l.job_manager->CloseStore(3);
  EXPECT_EQ(l.Next(), std::nullopt);
  EXPECT_EQ(l.job_manager->ActiveCount(3), 1u);
  l.job_manager->HopEnded(l.now, first, l.Lease(first), JobManager::HopResult::kLost, l.records);
  l.job_manager->DispatchEnded(l.now, first, JobManager::DispatchResult::kShed, 0, l.records);
  l.Pass(10 * kS);
  EXPECT_EQ(l.Next(), std::nullopt) << "nor another of one that came back";
  EXPECT_EQ(l.job_manager->ActiveCount(3), 0u);
}

// ---- in the reducer
struct Core {
  explicit Core(Settings settings = {})
      : reducer(Site(), 7, now, 0, {}, std::make_unique<JobManager>(settings, Classes(settings), 7)) {
    Do(core::StoreLoaded{});
    core::RoutesChanged routes{core::ListKind::kCached, std::vector<pebblenotch::WorkerEntry>(2)};
    routes.entries[0].id = 1;
    routes.entries[1].id = 2;
    Do(routes);
  }
  static pebblenotch::Settings Site() {
    pebblenotch::Settings s;
    for (const auto effect :
         {Idempotency::kIdempotent, Idempotency::kDeduplicated, Idempotency::kAtMostOnce}) {
      s.classes.emplace_back();
      s.classes.back().idempotency = effect;
      s.classes.back().aim = 4 * kS;
      s.classes.back().deadline = 5 * kS;
    }
    s.max_attempts = 3;
    s.may_cancel = true;
    return s;
  }
  void Do(core::Event event) {
    effects.clear();
    reducer.Reduce(now, std::move(event), effects);
  }
  template <typename T>
  const T* Find() const {
    for (const auto& e : effects) {
      if (const auto* found = std::get_if<T>(&e)) return found;
    }
    return nullptr;
  }
  template <typename T>
  std::size_t At() const {
    return static_cast<std::size_t>(std::find_if(effects.begin(), effects.end(),
                                                 [](const auto& e) { return std::holds_alternative<T>(e); }) -
                                    effects.begin());
  }
  void Round(const std::string& id, int job_class) {
    core::RequestArrived a;
    a.id = id;
    a.round = true;
    a.request.id = ++ticket;
    a.request.job_class = job_class;
    a.request.deadline = now + 5 * kS;
    Do(a);
  }
  Micros now = 1'000 * kS;
  core::Ticket ticket = 0;
  std::vector<core::Effect> effects;
  core::Reducer reducer;
};

TEST(DurableReducer, WhatIsDecidedIsAmongTheRecordsBeforeWhatRestsOnIt) {
  Core c;
  c.Do(core::JobSubmitted{"j", Work(kUnsafe)});
  ASSERT_NE(c.Find<core::StartRound>(), nullptr);
  EXPECT_LT(c.At<core::Persist>(), c.At<core::StartRound>());
  c.Round("j", kUnsafe);
  ASSERT_NE(c.Find<core::SendHop>(), nullptr);
  EXPECT_EQ(c.Find<core::Persist>()->records.front().kind, RecordKind::kLeased);
  EXPECT_LT(c.At<core::Persist>(), c.At<core::SendHop>());
  EXPECT_TRUE(c.Find<core::SendHop>()->durable);
  core::HopCallback done;
  done.id = "j";
  done.from = c.Find<core::SendHop>()->target;
  done.state = core::CallbackState::kDone;
  c.Do(done);
  EXPECT_LT(c.At<core::Persist>(), c.At<core::Answer>());
  EXPECT_NE(c.Find<core::Settled>(), nullptr);
  EXPECT_EQ(c.reducer.pending(), 0u);
  c.Do(done);
  EXPECT_EQ(c.reducer.counters().late_callbacks, 1u);
}

TEST(DurableReducer, ALapsedLeaseOfAHopThatIsOutIsCalledOffOnce) {
  Settings settings;
  settings.lease = kS;
  Core c(settings);
  c.Do(core::JobSubmitted{"j", Work(kSafe)});
  c.Round("j", kSafe);
  c.now += kS;
  c.Do(core::Wake{});
  const auto* off = c.Find<core::CancelHop>();
  ASSERT_NE(off, nullptr);
  const core::HopCancelled told{off->request, off->hop};
  c.Do(core::Wake{});
  EXPECT_EQ(c.Find<core::CancelHop>(), nullptr);
  EXPECT_GT(c.reducer.job_manager()->next_wakeup(c.now), c.now) << "it is not asked again until that is told";
  c.Do(told);
  ASSERT_NE(c.Find<core::SendHop>(), nullptr) << "a safe job goes on at another worker at once";
}

TEST(DurableReducer, AClientThatLeavesItsDurableJobDoesNotEndIt) {
  Core c;
  core::RequestArrived a;
  a.id = "j";
  a.request.id = 1;
  a.request.job_class = kKeyed;
  a.request.deadline = c.now + 5 * kS;
  a.task = Work(kKeyed);
  c.Do(a);
  EXPECT_EQ(c.reducer.pending(), 1u);
  const auto target = c.Find<core::SendHop>()->target;
  c.Do(core::IngressDisconnected{1});
  EXPECT_EQ(c.reducer.pending(), 0u);
  EXPECT_EQ(c.Find<core::CancelHop>(), nullptr);
  core::HopCallback done;
  done.id = "j";
  done.from = target;
  done.state = core::CallbackState::kDone;
  done.result = "r";
  c.Do(done);
  EXPECT_EQ(c.reducer.job_manager()->table().Find("j")->text, "r");
}

TEST(DurableReducer, ARoundThatMustNotBeLeasedSendsNoHop) {
  Core c;
  c.Do(core::JobSubmitted{"j", Work(kSafe)});
  c.Do(core::DrainStarted{});
  c.Round("j", kSafe);
  EXPECT_EQ(c.Find<core::SendHop>(), nullptr) << "nothing new is begun while it stops";
  EXPECT_EQ(c.reducer.job_manager()->table().Find("j")->epoch, 0u);
}

TEST(DurableReducer, APlannedStopLeavesWhatNobodyHasToTheStore) {
  Core c;
  c.Do(core::RoutesChanged{core::ListKind::kWhole, {}});
  c.Do(core::JobSubmitted{"j", Work(kSafe)});
  c.Round("j", kSafe);
  c.Do(core::DrainStarted{});
  c.now += c.reducer.stop_times().earliest_exit;
  c.Do(core::Wake{});
  EXPECT_NE(c.Find<core::Drained>(), nullptr);
  EXPECT_EQ(c.reducer.job_manager()->table().Find("j")->state, JobState::kWaiting);
}

// Another looks after a home by now: its client is told that the outcome is not known, nothing more is
// recorded, and what comes of its hops is late; what is this scheduler's own goes on.
TEST(DurableReducer, AHomeThatIsLostLeavesNothingBehind) {
  Core c, gone;
  gone.Do(core::JobSubmitted{"theirs", Work(kUnsafe)});
  c.Do(core::JobsAdopted{3, true, 0, {{"theirs", *gone.reducer.job_manager()->table().Find("theirs")}}});
  ASSERT_NE(c.Find<core::StartRound>(), nullptr);
  EXPECT_EQ(c.Find<core::StartRound>()->store_id, 3);
  c.Round("theirs", kUnsafe);
  ASSERT_NE(c.Find<core::SendHop>(), nullptr);
  EXPECT_EQ(c.Find<core::SendHop>()->store_id, 3);
  EXPECT_EQ(c.Find<core::Persist>()->store_id, 3);
  const auto at = c.Find<core::SendHop>()->target;
  c.Do(core::JobSubmitted{"own", Work(kUnsafe)});
  c.Round("own", kUnsafe);
  c.Do(core::HomeLost{3});
  ASSERT_NE(c.Find<core::Answer>(), nullptr);
  EXPECT_EQ(c.Find<core::Answer>()->kind, core::AnswerKind::kFailed);
  EXPECT_FALSE(c.Find<core::Answer>()->durable) << "it waits for no records";
  EXPECT_NE(c.Find<core::Settled>(), nullptr) << "who waits for it beside that is told";
  EXPECT_EQ(c.Find<core::Persist>(), nullptr);
  core::HopCallback done;
  done.id = "theirs";
  done.from = at;
  done.state = core::CallbackState::kDone;
  c.Do(done);
  EXPECT_EQ(c.Find<core::Persist>(), nullptr);
  EXPECT_EQ(c.reducer.counters().late_callbacks, 1u);
  EXPECT_NE(c.reducer.job_manager()->table().Find("own"), nullptr);
  c.Do(core::DrainStarted{});
  c.now += c.reducer.stop_times().answers_due;
  c.Do(core::Wake{});
  EXPECT_NE(c.Find<core::Drained>(), nullptr) << "the rounds are counted right";
}

}  // namespace
}  // namespace heronway::durable
