// The keeper of durable jobs, and what it does in the reducer: rounds, retries, crashes and clocks, without
// any store or wire.
#include "src/durable/keeper.h"

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
  return Keeper::RulesOf(settings, site);
}

Task Work(int job_class, int retries = 3) {
  Task task;
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
    keeper = std::make_unique<Keeper>(settings, Classes(settings), 7);
  }
  Settings settings;
  std::unique_ptr<Keeper> keeper;
  Records records;
  Micros now = 1'000 * kS;

  void Crash(Micros gone = kS) {
    keeper = std::make_unique<Keeper>(settings, Classes(settings), 7);
    for (const Record& r : records) ASSERT_TRUE(keeper->Replay(r));
    now += gone;
    keeper->Recovered(now, records);
  }
  void Take(const std::string& id, int job_class, int retries = 3) {
    EXPECT_TRUE(keeper->Take(now, id, Work(job_class, retries), false, records));
  }
  std::optional<std::string> Next() { return keeper->Next(now, records); }
  std::uint32_t Lease(const std::string& id, WorkerId to = 1, int zone = 0) {
    return keeper->Lease(now, id, {to, zone, 0}, records).value_or(0);
  }
  void Pass(Micros time) {
    now += time;
    std::vector<std::string> lapsed;
    keeper->Due(now, records, lapsed);
    EXPECT_TRUE(lapsed.empty());
  }
  bool Says(const std::string& id, std::uint32_t epoch, Keeper::Said said) {
    return keeper->Word(now, id, epoch, said, "", records);
  }
  const Job& job(const std::string& id) { return *keeper->book().Find(id); }
};

TEST(Keeper, ARoundThatFoundNoWorkerWaitsAndComesAgain) {
  Life l;
  l.Take("j", kUnsafe);
  EXPECT_EQ(l.Next(), "j");
  EXPECT_EQ(l.Next(), std::nullopt) << "it is in hand";
  l.keeper->RoundOver(l.now, "j", Keeper::RoundEnd::kShed, 500'000, l.records);
  EXPECT_EQ(l.Next(), std::nullopt);
  EXPECT_EQ(l.keeper->next(l.now), l.now + 500'000);
  l.Pass(500'000);
  EXPECT_EQ(l.Next(), "j");
  EXPECT_EQ(l.records.size(), 1u) << "that it waits needs no record";
}

TEST(Keeper, AFailureIsTriedAgainWithTheProtocolsBackoffAndThenKeptAsFailed) {
  Life l;
  l.Take("j", kSafe, 2);
  for (int failures = 0; failures < 2; ++failures) {
    ASSERT_EQ(l.Next(), "j");
    EXPECT_TRUE(l.Says("j", l.Lease("j"), Keeper::Said::kFailed));
    l.keeper->RoundOver(l.now, "j", Keeper::RoundEnd::kFailed, 0, l.records);
    const Micros wait = l.job("j").until - l.now,
                 least = (failures * failures * failures * failures + 15) * kS;
    EXPECT_GE(wait, least);
    EXPECT_LE(wait, least + 30 * kS * (failures + 1));
    l.Pass(wait - 1);
    EXPECT_EQ(l.Next(), std::nullopt);
    l.Pass(1);
  }
  ASSERT_EQ(l.Next(), "j");
  l.Says("j", l.Lease("j"), Keeper::Said::kFailed);
  EXPECT_EQ(l.job("j").answer, Answer::kFailed);
  EXPECT_EQ(l.job("j").text, "work") << "it is kept as it was, for those who look into it";
  l.keeper->RoundOver(l.now, "j", Keeper::RoundEnd::kFailed, 0, l.records);
  EXPECT_TRUE(l.keeper->Retry(l.now, "j", l.records));
  EXPECT_EQ(l.Next(), "j");
}

TEST(Keeper, AKeyedFailureIsTriedInsideTheWindowOrNotAtAll) {
  Life l;
  l.Take("j", kKeyed);
  l.Next();
  l.Says("j", l.Lease("j"), Keeper::Said::kFailed);
  EXPECT_LE(l.job("j").until, l.now + 20 * kS) << "the backoff would have outlasted what workers remember";
  l.keeper->RoundOver(l.now, "j", Keeper::RoundEnd::kFailed, 0, l.records);
  l.Pass(21 * kS);
  EXPECT_EQ(l.Next(), std::nullopt);
  EXPECT_EQ(l.job("j").answer, Answer::kFailed) << "told so, rather than run twice";
}

// What may be running goes to nobody until its holder had its time; then on only as the class allows.
TEST(Keeper, AfterACrashNothingThatMayBeRunningIsPushedAfresh) {
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
      EXPECT_FALSE(l.Says("j", epoch, Keeper::Said::kDone) && l.job("j").held());
    } else {
      EXPECT_EQ(l.Next(), std::nullopt);
      EXPECT_EQ(l.job("j").answer, Answer::kFailed);
    }
  }
}

TEST(Keeper, AHolderFromBeforeTheCrashMayRenewAndEndItsJob) {
  Life l(2 * kS, 2 * kS);
  l.Take("j", kUnsafe);
  l.Next();
  l.Says("j", l.Lease("j", 5), Keeper::Said::kStarted);
  l.Crash();
  for (int i = 0; i < 5; ++i) {
    l.Pass(1'500'000);
    l.keeper->Alive(l.now, 5, l.records);
  }
  EXPECT_EQ(l.keeper->EpochOf("j", 6), 0u) << "another worker does not hold it";
  EXPECT_TRUE(l.Says("j", l.keeper->EpochOf("j", 5), Keeper::Said::kDone));
  EXPECT_EQ(l.job("j").answer, Answer::kDone);
}

TEST(Keeper, ASignOfLifeRenewsWhateverItsWorkerHolds) {
  Life l(2 * kS, 2 * kS);
  for (const char* id : {"a", "b"}) {
    l.Take(id, kUnsafe);
    l.Next();
    l.Lease(id, 5);
  }
  for (int i = 0; i < 5; ++i) {
    l.Pass(1'500'000);
    l.keeper->Alive(l.now, 5, l.records);
  }
  EXPECT_TRUE(l.job("a").held() && l.job("b").held());
  l.keeper->HopOver(l.now, "a", l.job("a").epoch, Keeper::HopEnd::kNeverRan, l.records);
  EXPECT_EQ(l.job("a").state, State::kWaiting);
  l.Says("b", l.job("b").epoch, Keeper::Said::kStarted);
  l.keeper->HopOver(l.now, "b", l.job("b").epoch, Keeper::HopEnd::kNeverRan, l.records);
  EXPECT_EQ(l.job("b").answer, Answer::kFailed) << "it had said that it started";
}

TEST(Keeper, WhatIsInHandOrEndedDoesNotWait) {
  Life l;
  l.keeper->Take(l.now, "mine", Work(kSafe), true, l.records);
  EXPECT_EQ(l.Next(), std::nullopt) << "its first round is under way with its client";
  EXPECT_FALSE(l.keeper->Discard(l.now, "mine", l.records));
  Task later = Work(kSafe);
  later.not_before = l.now + kS;
  l.keeper->Take(l.now, "later", later, false, l.records);
  EXPECT_EQ(l.keeper->scheduled(), 1u);
  EXPECT_TRUE(l.keeper->Discard(l.now, "later", l.records));
  EXPECT_EQ(l.keeper->scheduled(), 0u);
}

TEST(Keeper, AnAnswerOfALapsedLeaseIsLateAndChangesNothing) {
  Life l;
  l.Take("j", kSafe);
  l.Next();
  const std::uint32_t first = l.Lease("j", 1);
  l.keeper->HopOver(l.now, "j", first, Keeper::HopEnd::kLost, l.records);
  const std::uint32_t second = l.Lease("j", 2);
  ASSERT_EQ(second, first + 1);
  EXPECT_FALSE(l.Says("j", first, Keeper::Said::kDone));
  EXPECT_TRUE(l.job("j").held());
  EXPECT_TRUE(l.Says("j", second, Keeper::Said::kDone));
  EXPECT_EQ(l.keeper->counters().late, 1u);
}

// Nobody knows how long the program was away: a keyed job that may have run may be past its window.
TEST(Keeper, AClockThatSteppedBackClosesEveryWindowAndShortensNothing) {
  for (const Micros gone : {kS, -3'600 * kS}) {
    Life l(kS, kS);
    l.Take("j", kKeyed);
    l.Next();
    l.Lease("j");
    l.Crash(gone);
    l.Pass(500'000);
    EXPECT_TRUE(l.job("j").held());
    l.Pass(kS);
    EXPECT_EQ(l.Next().has_value(), gone > 0);
    if (gone < 0) {
      EXPECT_EQ(l.job("j").answer, Answer::kFailed) << "times go on, wherever the clock stands";
    }
    l.Crash(kS);  // and it is remembered
    EXPECT_EQ(l.Next().has_value(), gone > 0);
  }
}

TEST(Keeper, AKeyedJobIsLeasedAgainInItsFirstZoneOnly) {
  Life l;
  l.Take("j", kKeyed);
  l.Next();
  l.keeper->HopOver(l.now, "j", l.Lease("j", 1, 0), Keeper::HopEnd::kLost, l.records);
  EXPECT_EQ(l.Lease("j", 2, 1), 0u);
  EXPECT_NE(l.Lease("j", 3, 0), 0u);
  EXPECT_EQ(l.keeper->counters().vetoed, 1u);
}

TEST(Keeper, ACrowdOfRecoveredJobsComesLittleByLittleAndClassesTakeTurns) {
  Life l;
  for (int i = 0; i < 1'000; ++i) l.Take("a" + std::to_string(i), kSafe);
  for (int i = 0; i < 20; ++i) l.Take("b" + std::to_string(i), kUnsafe);
  l.Crash();
  std::vector<std::string> first;
  while (const auto id = l.Next()) first.push_back(*id);
  EXPECT_EQ(first.size(), 16u);
  EXPECT_EQ(std::count_if(first.begin(), first.end(), [](const auto& id) { return id[0] == 'b'; }), 8);
  l.Says(first[0], l.Lease(first[0]), Keeper::Said::kDone);
  l.keeper->RoundOver(l.now, first[0], Keeper::RoundEnd::kServed, 0, l.records);
  EXPECT_EQ(l.keeper->window(), 17);
  for (int i = 1; i < 10; ++i)
    l.keeper->RoundOver(l.now, first[static_cast<std::size_t>(i)], Keeper::RoundEnd::kShed, 0, l.records);
  EXPECT_EQ(l.keeper->window(), 8) << "a crowd that is turned away at one moment counts once";
}

TEST(Keeper, PriorityGoesFirstAndALaterJobWaitsForItsTime) {
  Life l;
  Task later = Work(kSafe), high = Work(kSafe);
  later.not_before = l.now + 10 * kS;
  high.priority = 5;
  l.keeper->Take(l.now, "later", later, false, l.records);
  l.Take("low", kSafe);
  l.keeper->Take(l.now, "high", high, false, l.records);
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
void Adopts(Life& to, const Life& from, Micros clock_broke = 0) {
  for (const auto& [id, job] : from.keeper->book().jobs())
    to.keeper->Adopt(to.now, 3, id, job, clock_broke, to.records);
}

TEST(Homes, AdoptedJobsGoOnAndTheirRecordsGoHome) {
  Life gone, l;
  gone.Take("waits", kUnsafe);
  gone.Take("runs", kUnsafe);
  gone.Lease("runs", 5);
  gone.Take("done", kUnsafe);
  gone.Says("done", gone.Lease("done", 6), Keeper::Said::kDone);
  l.Take("own", kUnsafe);
  l.records.clear();
  Adopts(l, gone);
  ASSERT_EQ(l.records.size(), 1u) << "the lease, prolonged by the grace";
  EXPECT_EQ(l.records[0].kind, Kind::kRenewed);
  EXPECT_GE(l.records[0].until, l.now + l.settings.grace);
  EXPECT_EQ(l.records[0].home, 3);
  EXPECT_EQ(l.keeper->EpochOf("runs", 5), 1u) << "its worker's word counts here";
  EXPECT_EQ(l.job("done").answer, Answer::kDone) << "and who comes for an answer gets it";
  std::set<std::string> rounds;
  while (const auto id = l.Next()) rounds.insert(*id);
  EXPECT_EQ(rounds, (std::set<std::string>{"own", "waits"}));
  l.Lease("waits", 1);
  EXPECT_EQ(l.records.back().home, 3);
  l.Lease("own", 1);
  EXPECT_EQ(l.records.back().home, 0);
  EXPECT_EQ(l.keeper->InHandOf(3), 1u);
  std::vector<std::string> ids;
  l.keeper->Drop(3, ids);
  EXPECT_EQ(ids.size(), 3u);
  EXPECT_EQ(l.keeper->book().jobs().size(), 1u);
  EXPECT_EQ(l.keeper->in_hand(), 1u);
  EXPECT_EQ(l.keeper->book().Count(JobBook::Place::kHeld), 1u);
  l.records.clear();
  l.keeper->Alive(l.now, 5, l.records);
  EXPECT_TRUE(l.records.empty()) << "nothing of it is renewed here any more";
  EXPECT_FALSE(l.Says("runs", 1, Keeper::Said::kDone));
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
  EXPECT_EQ(l.job("k").answer, Answer::kFailed) << "nobody knows how long ago it began";
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
  EXPECT_EQ(l.keeper->HomeOf("theirs ran"), 3);
  EXPECT_EQ(l.keeper->EpochOf("theirs ran", 5), 1u);
  EXPECT_EQ(l.keeper->HomeOf("mine ran"), 0);
  EXPECT_EQ(l.keeper->HomeOf("both wait"), 0);
  std::map<std::string, int> ended;  // in which home
  for (const Record& r : l.records) {
    if (r.kind == Kind::kAnswered || r.kind == Kind::kDiscarded) ended[r.id] = r.home;
  }
  EXPECT_EQ(ended, (std::map<std::string, int>{{"both wait", 3}, {"mine ran", 3}, {"theirs ran", 0}}));
  for (const Record& r : l.records) {
    if (r.home == 3 && r.kind == Kind::kAnswered) {
      EXPECT_TRUE(gone.keeper->Replay(r)) << "it follows there";
    }
  }
}

TEST(Homes, OneThatIsToBeGivenBackBeginsNoRound) {
  Life gone, l;
  gone.Take("a", kSafe);
  gone.Take("b", kSafe);
  Adopts(l, gone);
  const std::string first = l.Next().value();
  l.keeper->Close(3);
  EXPECT_EQ(l.Next(), std::nullopt);
  EXPECT_EQ(l.keeper->InHandOf(3), 1u);
  l.keeper->HopOver(l.now, first, l.Lease(first), Keeper::HopEnd::kLost, l.records);
  l.keeper->RoundOver(l.now, first, Keeper::RoundEnd::kShed, 0, l.records);
  l.Pass(10 * kS);
  EXPECT_EQ(l.Next(), std::nullopt) << "nor another of one that came back";
  EXPECT_EQ(l.keeper->InHandOf(3), 0u);
}

// ---- in the reducer
struct Core {
  explicit Core(Settings settings = {})
      : reducer(Site(), 7, now, 0, {}, std::make_unique<Keeper>(settings, Classes(settings), 7)) {
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
  EXPECT_EQ(c.Find<core::Persist>()->records.front().kind, Kind::kLeased);
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
  EXPECT_GT(c.reducer.keeper()->next(c.now), c.now) << "it is not asked again until that is told";
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
  EXPECT_EQ(c.reducer.keeper()->book().Find("j")->text, "r");
}

TEST(DurableReducer, ARoundThatMustNotBeLeasedSendsNoHop) {
  Core c;
  c.Do(core::JobSubmitted{"j", Work(kSafe)});
  c.Do(core::DrainStarted{});
  c.Round("j", kSafe);
  EXPECT_EQ(c.Find<core::SendHop>(), nullptr) << "nothing new is begun while it stops";
  EXPECT_EQ(c.reducer.keeper()->book().Find("j")->epoch, 0u);
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
  EXPECT_EQ(c.reducer.keeper()->book().Find("j")->state, State::kWaiting);
}

// Another looks after a home by now: its client is told that the outcome is not known, nothing more is
// recorded, and what comes of its hops is late; what is this scheduler's own goes on.
TEST(DurableReducer, AHomeThatIsLostLeavesNothingBehind) {
  Core c, gone;
  gone.Do(core::JobSubmitted{"theirs", Work(kUnsafe)});
  c.Do(core::JobsAdopted{3, true, 0, {{"theirs", *gone.reducer.keeper()->book().Find("theirs")}}});
  ASSERT_NE(c.Find<core::StartRound>(), nullptr);
  EXPECT_EQ(c.Find<core::StartRound>()->home, 3);
  c.Round("theirs", kUnsafe);
  ASSERT_NE(c.Find<core::SendHop>(), nullptr);
  EXPECT_EQ(c.Find<core::SendHop>()->home, 3);
  EXPECT_EQ(c.Find<core::Persist>()->home, 3);
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
  EXPECT_NE(c.reducer.keeper()->book().Find("own"), nullptr);
  c.Do(core::DrainStarted{});
  c.now += c.reducer.stop_times().answers_due;
  c.Do(core::Wake{});
  EXPECT_NE(c.Find<core::Drained>(), nullptr) << "the rounds are counted right";
}

}  // namespace
}  // namespace heronway::durable
