// The state machine of durable jobs: scenarios, replay of random histories, and all orders of a few events
// checked against the invariants.
#include "src/durable/job_table.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace heronway::durable {
namespace {

constexpr Micros kS = 1'000'000;
const LeaseHolder kFirstWorker{1, 0, 0}, kOtherZoneWorker{2, 1, 0};

std::vector<ClassRules> Classes() {
  ClassRules safe{Idempotency::kIdempotent}, keyed{Idempotency::kDeduplicated},
      once{Idempotency::kAtMostOnce};
  keyed.dedup_scope = DedupScope::kZone;
  keyed.key_ttl = once.key_ttl = 20 * kS;
  return {safe, keyed, once};
}

JobSpec Spec(int job_class, const std::string& text = "work") {
  JobSpec spec;
  spec.job_class = job_class;
  spec.text = text;
  spec.retries = 2;
  return spec;
}

// A table with the records that a store would have.
struct TableFixture {
  JobTable table{Classes()};
  std::vector<Record> records;
  Micros now = 100 * kS;
  bool Do(const std::optional<Record>& r) {
    if (!r) return false;
    records.push_back(*r);
    EXPECT_TRUE(table.Apply(*r));
    return true;
  }
  void Accept(int job_class) { Do(table.Accept(now, "j", Spec(job_class))); }
  bool Lease(const LeaseHolder& to) { return Do(table.Lease(now, "j", to)); }
  void Advance(Micros time) {
    now += time;
    for (const Record& r : table.DueRecords(now, 100)) Do(r);
  }
  const JobTable::Job& job() const { return *table.Find("j"); }
};

TEST(JobTable, AStallOf240MsKeepsItsLease) {
  TableFixture s;
  s.Accept(2);
  s.Lease(kFirstWorker);
  for (int i = 0; i < 20; ++i) {
    s.Advance(240'000 + 100'000);
    EXPECT_TRUE(s.Do(s.table.Renew(s.now, "j", 1)));
    EXPECT_EQ(s.job().state, JobState::kLeased);
  }
  EXPECT_TRUE(s.Do(s.table.Finish(s.now, "j", 1, Outcome::kDone, "r")));
  EXPECT_EQ(s.job().text, "r");
}

TEST(JobTable, AnExpiredLeaseLeadsToARetryOnlyAsTheClassAllows) {
  for (const int job_class : {0, 1, 2}) {
    TableFixture s;
    s.Accept(job_class);
    s.Lease(kFirstWorker);
    s.Advance(2 * kS);
    EXPECT_EQ(s.job().state, job_class == 2 ? JobState::kFinished : JobState::kWaiting);
    EXPECT_EQ(s.table.CanLease(s.now, "j", kOtherZoneWorker), job_class == 0);  // in another zone
    EXPECT_EQ(s.table.CanLease(s.now, "j", kFirstWorker), job_class != 2);
    s.Advance(20 * kS);  // the key has expired
    EXPECT_EQ(s.table.CanLease(s.now, "j", kFirstWorker), job_class == 0);
  }
}

TEST(JobTable, TheKeyExpiresCountedFromTheFirstLeaseThatMayHaveRun) {
  TableFixture s;
  s.Accept(1);
  s.Lease(kFirstWorker);
  s.Advance(12 * kS);
  EXPECT_TRUE(s.Lease(kFirstWorker));
  s.Advance(12 * kS);
  EXPECT_FALSE(s.table.CanLease(s.now, "j", kFirstWorker));
}

TEST(JobTable, AFailureIsFinalWhereNoRetryIsAllowed) {
  for (const int job_class : {0, 1, 2}) {
    TableFixture s;
    s.Accept(job_class);
    s.Lease(kFirstWorker);
    s.Do(s.table.Finish(s.now, "j", 1, Outcome::kFailed, ""));
    EXPECT_EQ(s.job().state, job_class == 2 ? JobState::kFinished : JobState::kWaiting);
    EXPECT_EQ(s.job().outcome, job_class == 2 ? Outcome::kFailed : Outcome::kNone);
  }
}

TEST(JobTable, AJobThatHasNotRunIsLeasedAgainWhateverTheClass) {
  for (const int job_class : {0, 1, 2}) {
    TableFixture s;
    s.Accept(job_class);
    s.Lease(kFirstWorker);
    EXPECT_TRUE(s.Do(s.table.ReturnLease(s.now, "j", 1)));
    s.Advance(30 * kS);
    EXPECT_TRUE(s.Lease(kOtherZoneWorker));
    EXPECT_TRUE(s.Do(s.table.Start(s.now, "j", 2)));
    EXPECT_FALSE(s.table.ReturnLease(s.now, "j", 2).has_value());  // it has reported the start
  }
}

TEST(JobTable, AResultWithAnOldEpochIsStaleAndChangesNothing) {
  TableFixture s;
  s.Accept(0);
  s.Lease(kFirstWorker);
  s.Advance(2 * kS);
  s.Lease(kOtherZoneWorker);
  const JobTable before = s.table;
  const auto stale = s.table.Finish(s.now, "j", 1, Outcome::kDone, "old");
  ASSERT_TRUE(stale.has_value());
  EXPECT_EQ(stale->kind, RecordKind::kStale);
  s.Do(stale);
  EXPECT_EQ(s.table, before);
  s.Do(s.table.Finish(s.now, "j", 2, Outcome::kDone, "new"));
  EXPECT_EQ(s.job().text, "new");
  EXPECT_EQ(s.table.Finish(s.now, "j", 2, Outcome::kDone, "again")->kind, RecordKind::kStale);
  EXPECT_FALSE(s.table.Accept(s.now, "j", Spec(0))
                   .has_value());  // the client attaches to it or gets the stored result
  s.Advance(3'600 * kS);
  EXPECT_EQ(s.table.Find("j"), nullptr);
}

TEST(JobTable, AfterACrashHoldersHaveTimeToReportBeforeAnyRetry) {
  TableFixture s;
  s.Accept(0);
  s.Lease(kFirstWorker);
  s.now += 60 * kS;  // the process was down
  for (const Record& r : s.table.Recover(s.now, 5 * kS)) s.Do(r);
  s.Advance(4 * kS);
  EXPECT_EQ(s.job().state, JobState::kLeased);
  EXPECT_TRUE(s.Do(s.table.Finish(s.now, "j", 1, Outcome::kDone, "r")));
  EXPECT_EQ(s.job().outcome, Outcome::kDone);
}

TEST(JobTable, AResultIsKeptForItsRetentionAndNoLonger) {
  TableFixture s;
  s.Accept(0);
  s.Lease(kFirstWorker);
  s.Do(s.table.Finish(s.now, "j", 1, Outcome::kDone, "r"));
  s.Advance(ClassRules{}.keep_finished - 1);
  EXPECT_NE(s.table.Find("j"), nullptr);
  s.Advance(1);
  EXPECT_EQ(s.table.Find("j"), nullptr);
}

TEST(JobTable, AnInvalidRecordIsRejected) {
  TableFixture s;
  s.Accept(0);
  Record r = *s.table.Lease(s.now, "j", kFirstWorker);
  r.epoch = 5;
  EXPECT_FALSE(s.table.Apply(r));
  r.id = "nobody";
  EXPECT_FALSE(s.table.Apply(r));
  r.kind = RecordKind::kAccepted;
  r.job_class = 9;
  EXPECT_FALSE(s.table.Apply(r));
  EXPECT_FALSE(s.table.Apply(s.records[0]));  // accepted a second time
  EXPECT_EQ(s.table.jobs().size(), 1u);
  JobTable restored(Classes());
  EXPECT_TRUE(restored.Restore("j", Job{}));
  EXPECT_FALSE(restored.Restore("j", Job{})) << "twice";
  Job other;
  other.job_class = 3;
  EXPECT_FALSE(restored.Restore("k", other)) << "unknown class";
}

// Explores all orders of events for one job, two workers and crashes of the process.
struct Explorer {
  int job_class = 0, depth = 0, histories = 0;

  // The state outside the table: who may be running the job, since when, and how many results there were.
  struct World {
    TableFixture s;
    struct Run {
      LeaseHolder holder;
      std::uint32_t epoch;
      Micros began;
      bool returned = false;
    };
    std::vector<Run> runs;
    int results = 0;
  };

  void Count(World& w, const Record& r) {
    if (r.kind == RecordKind::kFinished) ++w.results;
    ASSERT_LE(w.results, 1) << "two results";
  }
  void Do(World& w, const std::optional<Record>& r) {
    if (w.s.Do(r)) Count(w, *r);
  }
  void Lease(World& w, const LeaseHolder& to) {
    const auto r = w.s.table.Lease(w.s.now, "j", to);
    if (!r) return;
    for (const auto& run : w.runs) {
      if (run.returned) continue;
      ASSERT_NE(job_class, 2) << "leased again although it may have run";
      if (job_class == 1) {
        ASSERT_EQ(run.holder.zone, to.zone) << "retry of a keyed job in another zone";
        ASSERT_LT(w.s.now - run.began, 20 * kS) << "retry of a keyed job after its key has expired";
      }
    }
    w.runs.push_back({to, r->epoch, w.s.now});
    Do(w, r);
  }
  // A crash: replaying the stored records must give the same table.
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
    go([&](World& n) { Lease(n, kFirstWorker); });
    go([&](World& n) { Lease(n, kOtherZoneWorker); });
    go([&](World& n) { Crash(n); });
    for (const Micros time : {2 * kS, 21 * kS}) {
      go([&](World& n) {
        n.s.now += time;
        for (const Record& r : n.s.table.DueRecords(n.s.now, 100)) Do(n, r);
      });
    }
    // Every worker that ever had a lease may still send any report.
    for (std::size_t i = 0; i < w.runs.size(); ++i) {
      const std::uint32_t epoch = w.runs[i].epoch;
      go([&](World& n) { Do(n, n.s.table.Start(n.s.now, "j", epoch)); });
      go([&](World& n) { Do(n, n.s.table.Finish(n.s.now, "j", epoch, Outcome::kDone, "r")); });
      go([&](World& n) { Do(n, n.s.table.Finish(n.s.now, "j", epoch, Outcome::kFailed, "")); });
      go([&](World& n) { Do(n, n.s.table.Fail(n.s.now, "j", epoch, "", 16 * kS)); });
      go([&](World& n) { Do(n, n.s.table.LoseLease(n.s.now, "j", epoch)); });
      if (!w.runs[i].returned)
        go([&](World& n) {
          const auto r = n.s.table.ReturnLease(n.s.now, "j", epoch);
          if (r && r->kind == RecordKind::kReturned) n.runs[i].returned = true;
          Do(n, r);
        });
    }
  }
};

TEST(JobTable, EveryOrderOfEventsKeepsTheInvariants) {
  for (const int job_class : {0, 1, 2}) {
    Explorer e;
    e.job_class = job_class;
    Explorer::World w;
    w.s.Accept(job_class);
    e.Step(w, 5);
    EXPECT_GT(e.histories, 5'000);
  }
}

TEST(JobTable, AReplayOfTheRecordsGivesTheSameTableOnRandomHistories) {
  std::mt19937 random(20261201);
  TableFixture s;
  for (int i = 0; i < 20'000; ++i) {
    const std::string id = "j" + std::to_string(random() % 40);
    const auto epoch = static_cast<std::uint32_t>(random() % 4);
    s.now += static_cast<Micros>(random() % 300'000);
    switch (random() % 8) {
      case 0:
        s.Do(s.table.Accept(s.now, id, Spec(static_cast<int>(random() % 3), "w")));
        break;
      case 1:
      case 2:
        s.Do(s.table.Lease(s.now, id, random() % 2 == 0 ? kFirstWorker : kOtherZoneWorker));
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
        s.Advance(random() % 50 == 0 ? 3'700 * kS : 0);
    }
  }
  JobTable again(Classes());
  std::size_t results = 0;
  for (const Record& r : s.records) {
    ASSERT_TRUE(again.Apply(r));
    results += r.kind == RecordKind::kFinished ? 1 : 0;
  }
  EXPECT_EQ(again, s.table);
  EXPECT_GT(results, 100u);
}

}  // namespace
}  // namespace heronway::durable
