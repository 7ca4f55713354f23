// The life of a durable job: stories, replay of random histories, and every order of events for small sizes
// held against the rules.
#include "src/durable/job_table.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace heronway::durable {
namespace {

constexpr Micros kS = 1'000'000;
const LeaseHolder kNear{1, 0, 0}, kFar{2, 1, 0};

std::vector<ClassRules> Classes() {
  ClassRules safe{Idempotency::kIdempotent}, keyed{Idempotency::kDeduplicated},
      once{Idempotency::kAtMostOnce};
  keyed.dedup_scope = DedupScope::kZone;
  keyed.key_ttl = once.key_ttl = 20 * kS;
  return {safe, keyed, once};
}

JobSpec Work(int job_class, const std::string& text = "work") {
  JobSpec task;
  task.job_class = job_class;
  task.text = text;
  task.retries = 2;
  return task;
}

// A book whose records are kept, as a store would.
struct Stored {
  JobTable table{Classes()};
  std::vector<Record> records;
  Micros now = 100 * kS;
  bool Do(const std::optional<Record>& r) {
    if (!r) return false;
    records.push_back(*r);
    EXPECT_TRUE(table.Apply(*r));
    return true;
  }
  void Take(int job_class) { Do(table.Accept(now, "j", Work(job_class))); }
  bool Lease(const LeaseHolder& to) { return Do(table.Lease(now, "j", to)); }
  void Pass(Micros time) {
    now += time;
    for (const Record& r : table.DueRecords(now, 100)) Do(r);
  }
  const JobTable::Job& job() const { return *table.Find("j"); }
};

TEST(JobTable, AStallOf240MsKeepsItsLease) {
  Stored s;
  s.Take(2);
  s.Lease(kNear);
  for (int i = 0; i < 20; ++i) {
    s.Pass(240'000 + 100'000);
    EXPECT_TRUE(s.Do(s.table.Renew(s.now, "j", 1)));
    EXPECT_EQ(s.job().state, JobState::kLeased);
  }
  EXPECT_TRUE(s.Do(s.table.Finish(s.now, "j", 1, Outcome::kDone, "r")));
  EXPECT_EQ(s.job().text, "r");
}

TEST(JobTable, ALapsedLeaseLeadsToARepeatOnlyAsTheClassAllows) {
  for (const int job_class : {0, 1, 2}) {
    Stored s;
    s.Take(job_class);
    s.Lease(kNear);
    s.Pass(2 * kS);
    EXPECT_EQ(s.job().state, job_class == 2 ? JobState::kFinished : JobState::kWaiting);
    EXPECT_EQ(s.table.CanLease(s.now, "j", kFar), job_class == 0);  // another zone
    EXPECT_EQ(s.table.CanLease(s.now, "j", kNear), job_class != 2);
    s.Pass(20 * kS);  // the workers' window is over
    EXPECT_EQ(s.table.CanLease(s.now, "j", kNear), job_class == 0);
  }
}

TEST(JobTable, TheWindowCountsFromTheFirstLeaseThatMayHaveRun) {
  Stored s;
  s.Take(1);
  s.Lease(kNear);
  s.Pass(12 * kS);
  EXPECT_TRUE(s.Lease(kNear));
  s.Pass(12 * kS);
  EXPECT_FALSE(s.table.CanLease(s.now, "j", kNear));
}

TEST(JobTable, AFailureIsTheAnswerWhereNoRepeatIsAllowed) {
  for (const int job_class : {0, 1, 2}) {
    Stored s;
    s.Take(job_class);
    s.Lease(kNear);
    s.Do(s.table.Finish(s.now, "j", 1, Outcome::kFailed, ""));
    EXPECT_EQ(s.job().state, job_class == 2 ? JobState::kFinished : JobState::kWaiting);
    EXPECT_EQ(s.job().outcome, job_class == 2 ? Outcome::kFailed : Outcome::kNone);
  }
}

TEST(JobTable, WhatIsKnownNotToHaveRunGoesOnWhateverTheClass) {
  for (const int job_class : {0, 1, 2}) {
    Stored s;
    s.Take(job_class);
    s.Lease(kNear);
    EXPECT_TRUE(s.Do(s.table.ReturnLease(s.now, "j", 1)));
    s.Pass(30 * kS);
    EXPECT_TRUE(s.Lease(kFar));
    EXPECT_TRUE(s.Do(s.table.Start(s.now, "j", 2)));
    EXPECT_FALSE(s.table.ReturnLease(s.now, "j", 2).has_value());  // it said that it started
  }
}

TEST(JobTable, AnAnswerWithAnOldEpochIsLateAndChangesNothing) {
  Stored s;
  s.Take(0);
  s.Lease(kNear);
  s.Pass(2 * kS);
  s.Lease(kFar);
  const JobTable before = s.table;
  const auto late = s.table.Finish(s.now, "j", 1, Outcome::kDone, "old");
  ASSERT_TRUE(late.has_value());
  EXPECT_EQ(late->kind, RecordKind::kStale);
  s.Do(late);
  EXPECT_EQ(s.table, before);
  s.Do(s.table.Finish(s.now, "j", 2, Outcome::kDone, "new"));
  EXPECT_EQ(s.job().text, "new");
  EXPECT_EQ(s.table.Finish(s.now, "j", 2, Outcome::kDone, "again")->kind, RecordKind::kStale);
  EXPECT_FALSE(
      s.table.Accept(s.now, "j", Work(0)).has_value());  // the client joins it, or gets the kept answer
  s.Pass(3'600 * kS);
  EXPECT_EQ(s.table.Find("j"), nullptr);
}

TEST(JobTable, AfterACrashHoldersHaveTimeToSpeakBeforeAnythingIsRepeated) {
  Stored s;
  s.Take(0);
  s.Lease(kNear);
  s.now += 60 * kS;  // the program was away
  for (const Record& r : s.table.Recover(s.now, 5 * kS)) s.Do(r);
  s.Pass(4 * kS);
  EXPECT_EQ(s.job().state, JobState::kLeased);
  EXPECT_TRUE(s.Do(s.table.Finish(s.now, "j", 1, Outcome::kDone, "r")));
  EXPECT_EQ(s.job().outcome, Outcome::kDone);
}

TEST(JobTable, AnAnswerIsKeptForItsTimeAndNoLonger) {
  Stored s;
  s.Take(0);
  s.Lease(kNear);
  s.Do(s.table.Finish(s.now, "j", 1, Outcome::kDone, "r"));
  s.Pass(ClassRules{}.keep_finished - 1);
  EXPECT_NE(s.table.Find("j"), nullptr);
  s.Pass(1);
  EXPECT_EQ(s.table.Find("j"), nullptr);
}

TEST(JobTable, ARecordThatCannotFollowIsRefused) {
  Stored s;
  s.Take(0);
  Record r = *s.table.Lease(s.now, "j", kNear);
  r.epoch = 5;
  EXPECT_FALSE(s.table.Apply(r));
  r.id = "nobody";
  EXPECT_FALSE(s.table.Apply(r));
  r.kind = RecordKind::kAccepted;
  r.job_class = 9;
  EXPECT_FALSE(s.table.Apply(r));
  EXPECT_FALSE(s.table.Apply(s.records[0]));  // taken once more
  EXPECT_EQ(s.table.jobs().size(), 1u);
  JobTable restored(Classes());
  EXPECT_TRUE(restored.Restore("j", Job{}));
  EXPECT_FALSE(restored.Restore("j", Job{})) << "twice";
  Job other;
  other.job_class = 3;
  EXPECT_FALSE(restored.Restore("k", other)) << "of no class";
}

// ---- every order of events, for one job, two workers and two lives of the program
struct Explorer {
  int job_class = 0, depth = 0, histories = 0;

  // What the world knows, apart from the book: who may be running, since when, and what was answered.
  struct World {
    Stored s;
    struct Run {
      LeaseHolder holder;
      std::uint32_t epoch;
      Micros began;
      bool gave_back = false;
    };
    std::vector<Run> runs;
    int answers = 0;
  };

  void Count(World& w, const Record& r) {
    if (r.kind == RecordKind::kFinished) ++w.answers;
    ASSERT_LE(w.answers, 1) << "two answers";
  }
  void Do(World& w, const std::optional<Record>& r) {
    if (w.s.Do(r)) Count(w, *r);
  }
  void Lease(World& w, const LeaseHolder& to) {
    const auto r = w.s.table.Lease(w.s.now, "j", to);
    if (!r) return;
    for (const auto& run : w.runs) {
      if (run.gave_back) continue;
      ASSERT_NE(job_class, 2) << "what may have run was sent again";
      if (job_class == 1) {
        ASSERT_EQ(run.holder.zone, to.zone) << "a keyed repeat in another zone";
        ASSERT_LT(w.s.now - run.began, 20 * kS) << "a keyed repeat past its window";
      }
    }
    w.runs.push_back({to, r->epoch, w.s.now});
    Do(w, r);
  }
  // A crash: the book is made anew of what was stored, and is the same.
  void Crash(World& w) {
    JobTable again(Classes());
    for (const Record& r : w.s.records) ASSERT_TRUE(again.Apply(r));
    ASSERT_EQ(again, w.s.table);
    w.s.now += 3 * kS;
    for (const Record& r : again.Recover(w.s.now, 2 * kS)) Do(w, r);
  }

  void Step(const World& w, int left) {
    ++histories;
    if (left == 0 || ::testing::Test::HasFatalFailure()) return;
    const auto go = [&](const std::function<void(World&)>& event) {
      World next = w;
      event(next);
      Step(next, left - 1);
    };
    go([&](World& n) { Lease(n, kNear); });
    go([&](World& n) { Lease(n, kFar); });
    go([&](World& n) { Crash(n); });
    for (const Micros time : {2 * kS, 21 * kS}) {
      go([&](World& n) {
        n.s.now += time;
        for (const Record& r : n.s.table.DueRecords(n.s.now, 100)) Do(n, r);
      });
    }
    // Whoever ever had a lease may still say anything.
    for (std::size_t i = 0; i < w.runs.size(); ++i) {
      const std::uint32_t epoch = w.runs[i].epoch;
      go([&](World& n) { Do(n, n.s.table.Start(n.s.now, "j", epoch)); });
      go([&](World& n) { Do(n, n.s.table.Finish(n.s.now, "j", epoch, Outcome::kDone, "r")); });
      go([&](World& n) { Do(n, n.s.table.Finish(n.s.now, "j", epoch, Outcome::kFailed, "")); });
      go([&](World& n) { Do(n, n.s.table.Fail(n.s.now, "j", epoch, "", 16 * kS)); });
      go([&](World& n) { Do(n, n.s.table.LoseLease(n.s.now, "j", epoch)); });
      if (!w.runs[i].gave_back)
        go([&](World& n) {
          const auto r = n.s.table.ReturnLease(n.s.now, "j", epoch);
          if (r && r->kind == RecordKind::kReturned) n.runs[i].gave_back = true;
          Do(n, r);
        });
    }
  }
};

TEST(JobTable, EveryOrderOfEventsKeepsTheRules) {
  for (const int job_class : {0, 1, 2}) {
    Explorer e;
    e.job_class = job_class;
    Explorer::World w;
    w.s.Take(job_class);
    e.Step(w, 5);
    EXPECT_GT(e.histories, 5'000);
  }
}

TEST(JobTable, AReplayOfTheRecordsGivesTheSameBookOnRandomHistories) {
  std::mt19937 random(20261201);
  Stored s;
  for (int i = 0; i < 20'000; ++i) {
    const std::string id = "j" + std::to_string(random() % 40);
    const auto epoch = static_cast<std::uint32_t>(random() % 4);
    s.now += static_cast<Micros>(random() % 300'000);
    switch (random() % 8) {
      case 0:
        s.Do(s.table.Accept(s.now, id, Work(static_cast<int>(random() % 3), "w")));
        break;
      case 1:
      case 2:
        s.Do(s.table.Lease(s.now, id, random() % 2 == 0 ? kNear : kFar));
        break;
      case 3:
        s.Do(s.table.Start(s.now, id, epoch));
        break;
      case 4:
        s.Do(s.table.Renew(s.now, id, epoch));
        break;
      case 5:
        s.Do(s.table.ReturnLease(s.now, id, epoch));
        break;
      case 6:
        s.Do(s.table.Finish(s.now, id, epoch, random() % 3 == 0 ? Outcome::kFailed : Outcome::kDone, "r"));
        break;
      default:
        s.Pass(random() % 50 == 0 ? 3'700 * kS : 0);
    }
  }
  JobTable again(Classes());
  std::size_t answers = 0;
  for (const Record& r : s.records) {
    ASSERT_TRUE(again.Apply(r));
    answers += r.kind == RecordKind::kFinished ? 1 : 0;
  }
  EXPECT_EQ(again, s.table);
  EXPECT_GT(answers, 100u);
}

}  // namespace
}  // namespace heronway::durable
