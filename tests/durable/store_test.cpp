// The store and its writer: injected write errors, truncated and modified files, upgrades, and two processes
// at one store.
#include <SQLiteCpp/SQLiteCpp.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "src/durable/codec.h"
#include "src/durable/job_manager.h"
#include "src/durable/sqlite_store.h"
#include "src/durable/writer.h"
#include "tests/durable/faulty_store.h"

namespace heronway::durable {
namespace {

struct StoreTest : testing::Test {
  StoreTest() {
    char name[] = "/tmp/heronway-store-XXXXXX";
    folder = mkdtemp(name);
    file = folder + "/faktory.db";
  }
  ~StoreTest() override { std::filesystem::remove_all(folder); }
  std::unique_ptr<SqliteStore> Open(std::vector<std::string> names = {"a", "b"},
                                    std::uint64_t max_bytes = 0) {
    const std::size_t n = names.size();
    return std::make_unique<SqliteStore>(
        SqliteStore::Settings{file, std::move(names), std::vector<ClassRules>(n), max_bytes},
        SqliteStore::Mode::kServe);
  }
  static Record Accepted(const std::string& id) {
    Record r;
    r.id = id;
    r.at = 7;
    r.text = std::string(200, 'x');
    return r;
  }
  static Record Transition(RecordKind kind, const std::string& id, std::uint32_t epoch = 0) {
    Record r;
    r.kind = kind;
    r.id = id;
    r.at = 8;
    r.epoch = epoch;
    return r;
  }
  static JobTable ReadAll(Store& store) {
    JobTable table(std::vector<ClassRules>(2));
    store.Read({[&](Micros at) { table.set_clock_stepped_at(at); },
                [&](const std::string& id, Job job) { return table.Restore(id, std::move(job)); },
                [&](const Record& r) { return table.Apply(r); }});
    return table;
  }
  // The error message of opening or reading the store.
  std::string ReadError() {
    try {
      ReadAll(*Open());
    } catch (const StoreError& e) {
      return e.what();
    }
    return "";
  }
  std::string folder, file;
};

TEST_F(StoreTest, RecordsAndJobsAreDecodedFromTheirBytesAndNothingElseIs) {
  Record r = Accepted("j\0\xff");
  r.kind = RecordKind::kLeased;
  r.holder = {~0ULL, 3, 4};
  r.until = 1LL << 60;
  r.key = ~0ULL;
  const std::string bytes = Encode(std::vector<Record>{r, Accepted("k")});
  const auto back = DecodeRecords(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(*back, (std::vector<Record>{r, Accepted("k")}));
  Job job;
  job.state = JobState::kStarted;
  job.first_holder = {1, 2, 3};
  job.error = "w";
  EXPECT_EQ(DecodeJob(Encode(job)), job);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) EXPECT_FALSE(DecodeRecords(bytes.substr(0, cut)));
  EXPECT_FALSE(DecodeJob(bytes));
}

TEST_F(StoreTest, CompactionKeepsTheContentsAndBoundsTheJournal) {
  auto store = Open();
  JobTable table(std::vector<ClassRules>(2));
  const auto append = [&](const std::vector<Record>& records) {
    store->Append(records);
    for (const Record& r : records) ASSERT_TRUE(table.Apply(r));
  };
  for (int i = 0; i < 300; ++i) {
    const std::string id = "j" + std::to_string(i);
    append({Accepted(id)});
    if (i % 2 == 0) append({Transition(RecordKind::kLeased, id, 1), Transition(RecordKind::kStarted, id, 1)});
    if (i > 0 && i % 3 == 0)
      append({Transition(RecordKind::kDiscarded, "j" + std::to_string(i / 3 * 2 + 1))});
    if (i == 100) append({Transition(RecordKind::kClockSteppedBack, "")});
    while (store->Compact(16, 40) > 0) {
    }
    ASSERT_EQ(ReadAll(*store), table) << i;
  }
  EXPECT_EQ(store->Compact(16, 40), 0u);
  store.reset();
  EXPECT_EQ(ReadAll(*Open()), table) << "after reopening";
}

TEST_F(StoreTest, ATornEndOfTheLogIsDroppedAndAllBeforeItIsRecovered) {
  {
    auto store = Open();
    for (int i = 0; i < 20; ++i) store->Append({Accepted("j" + std::to_string(i))});
    // The files as a crash leaves them: without SQLite's checkpoint on close.
    std::filesystem::copy_file(file, file + ".crash");
    std::filesystem::copy_file(file + "-wal", file + ".crash-wal");
  }
  const std::string whole = file;
  file += ".crash";
  const auto size = std::filesystem::file_size(file + "-wal");
  std::filesystem::resize_file(file + "-wal", size - 100);
  auto store = Open();
  EXPECT_GT(store->recovered_pages(), 0u);
  EXPECT_GT(store->dropped_bytes(), 0u);
  EXPECT_EQ(ReadAll(*store).jobs().size(), 19u);
}

TEST_F(StoreTest, AChangedByteIsDetectedAndItsPlaceNamed) {
  {
    auto store = Open();
    for (int i = 0; i < 3; ++i) store->Append({Accepted("j" + std::to_string(i))});
    store->Compact(1, 2);
  }
  {
    SQLite::Database raw(file, SQLite::OPEN_READWRITE);
    raw.exec("UPDATE journal SET body = x'9202' || substr(body, 3) WHERE number = 3");
  }
  EXPECT_NE(ReadError().find("journal row 3: checksum mismatch"), std::string::npos) << ReadError();
  {
    SQLite::Database raw(file, SQLite::OPEN_READWRITE);
    raw.exec("DELETE FROM journal; UPDATE jobs SET sum = 0");
  }
  EXPECT_NE(ReadError().find("job j0: checksum mismatch"), std::string::npos) << ReadError();
  std::ofstream(file, std::ios::binary) << std::string(8192, 'z');
  EXPECT_NE(ReadError().find("not a database"), std::string::npos) << ReadError();
}

TEST_F(StoreTest, AnInvalidRecordIsNamedWithItsRow) {
  Open()->Append({Accepted("j"), Transition(RecordKind::kStarted, "j", 1)});
  EXPECT_NE(ReadError().find("journal row 1: invalid record sequence"), std::string::npos) << ReadError();
}

TEST_F(StoreTest, ASecondServingProcessIsRejectedAndToolsAreNot) {
  auto store = Open();
  EXPECT_THROW(Open(), StoreError);
  EXPECT_TRUE(SqliteStore::IsServed(file));
  store->Append({Accepted("j")});
  SqliteStore tool({file, {}, {}, 0}, SqliteStore::Mode::kInspect);
  EXPECT_EQ(tool.class_names(), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(ReadAll(tool).jobs().size(), 1u);
  tool.QueueCommand("retry", "j");
  ASSERT_EQ(store->TakeCommands().size(), 1u);
  EXPECT_TRUE(store->TakeCommands().empty());
}

TEST_F(StoreTest, ASnapshotIsWrittenWhileServingAndCanBeOpened) {
  auto store = Open();
  store->Append({Accepted("j")});
  const std::string copy = folder + "/copy.db";
  SqliteStore({file, {}, {}, 0}, SqliteStore::Mode::kInspect).Snapshot(copy);
  store->Append({Accepted("k")});
  EXPECT_THROW(store->Snapshot(copy), StoreError) << "no file is overwritten";
  file = copy;
  auto second = Open();
  EXPECT_EQ(ReadAll(*second).jobs().size(), 1u);
  EXPECT_TRUE(second->Verify().empty());
}

TEST_F(StoreTest, ClassesMayOnlyBeAddedAndAnOlderStoreIsUpgraded) {
  Open()->Append({Accepted("j")});
  EXPECT_THROW(Open({"b", "a"}), StoreError);
  EXPECT_THROW(Open({"a"}), StoreError);
  EXPECT_EQ(Open({"a", "b", "c"})->class_names().size(), 3u);
  {
    SQLite::Database raw(file, SQLite::OPEN_READWRITE);
    raw.exec("DROP TABLE orders; PRAGMA user_version=1; UPDATE meta SET value='a,b' WHERE name='classes'");
  }
  EXPECT_EQ(ReadAll(*Open()).jobs().size(), 1u);
  EXPECT_TRUE(Open()->TakeCommands().empty());
  {
    SQLite::Database raw(file, SQLite::OPEN_READWRITE);
    raw.exec("PRAGMA user_version=9");
  }
  EXPECT_NE(ReadError().find("version 9"), std::string::npos);
}

TEST_F(StoreTest, AFullStoreReportsItAndLosesNothing) {
  auto store = Open({"a", "b"}, 64 * 4096);
  int accepted = 0;
  try {
    for (;; ++accepted) store->Append({Accepted("j" + std::to_string(accepted))});
  } catch (const StoreError& e) {
    EXPECT_EQ(e.kind, StoreError::Kind::kFull) << e.what();
  }
  EXPECT_EQ(ReadAll(*store).jobs().size(), static_cast<std::size_t>(accepted));
  std::filesystem::permissions(folder, std::filesystem::perms::none);
  EXPECT_THROW(SqliteStore({folder + "/none/x.db", {"a"}, {{}}, 0}, SqliteStore::Mode::kServe), StoreError);
  std::filesystem::permissions(folder, std::filesystem::perms::owner_all);
}

TEST_F(StoreTest, AHundredThousandWaitingJobsAreRecoveredAndDispatchedGradually) {
  constexpr int kJobs = 100'000;
  {
    auto store = Open();
    std::vector<Record> batch;
    for (int i = 0; i < kJobs; ++i) {
      batch.push_back(Accepted("j" + std::to_string(i)));
      if (batch.size() == 1'000) store->Append(std::exchange(batch, {}));
    }
    store->Compact(30'000, 20);
  }
  JobManager job_manager({}, std::vector<ClassRules>(2), 1);
  Open()->Read({nullptr,
                [&](const std::string& id, Job job) { return job_manager.RestoreJob(id, std::move(job)); },
                [&](const Record& r) { return job_manager.ReplayRecord(r); }});
  Records records;
  job_manager.FinishRecovery(100, records);
  EXPECT_EQ(job_manager.counters().recovered, static_cast<std::uint64_t>(kJobs));
  int dispatched = 0;
  while (job_manager.NextToDispatch(100, records)) ++dispatched;
  EXPECT_EQ(dispatched, job_manager.window());
  EXPECT_TRUE(records.empty()) << "recovery writes no records";
}

TEST(Writer, AFailedWriteIsRetriedInOrderWhicheverItIs) {
  for (int at = 0; at < 6; ++at) {
    auto state = std::make_shared<FaultyStore::State>();
    state->fail_from = at;
    state->fail_to = at + 2;
    Writer::Settings settings;
    settings.retry_interval = std::chrono::milliseconds(1);
    Writer writer(std::make_unique<FaultyStore>(state), settings, [] {});
    for (int i = 0; i < 8; ++i) {
      Record r;
      r.id = std::to_string(i);
      const auto number = writer.Enqueue({r});
      if (i < at) {
        ASSERT_TRUE(WaitUntil([&] { return writer.stored() >= number; }));
      }
    }
    ASSERT_TRUE(WaitUntil([&] { return writer.stored() == 8; }));
    EXPECT_FALSE(writer.failing());
    EXPECT_EQ(writer.counts().write_errors, 2u);
    for (std::size_t i = 0; i < 8; ++i) EXPECT_EQ(state->stored[i].id, std::to_string(i));
  }
}

TEST(Writer, AFailingWriterReportsItAndStopsWithinItsTimeout) {
  auto state = std::make_shared<FaultyStore::State>();
  state->fail_from = 0;
  state->fail_to = 1 << 30;
  Writer::Settings settings;
  settings.max_pending = 10;
  Writer writer(std::make_unique<FaultyStore>(state), settings, [] {});
  writer.Enqueue(std::vector<Record>(5));
  ASSERT_TRUE(WaitUntil([&] { return writer.failing(); }));
  EXPECT_EQ(writer.last_error(), "the disk is full");
  EXPECT_FALSE(writer.full());
  writer.Enqueue(std::vector<Record>(6));
  EXPECT_TRUE(writer.full());
  writer.Stop(std::chrono::milliseconds(50));
  EXPECT_EQ(writer.stored(), 0u);
}

TEST(Writer, ManyRecordsShareOneCommitAndEnqueuingNeverWaits) {
  auto state = std::make_shared<FaultyStore::State>();
  // Much longer than a busy machine delays this thread, so that a single wait for the store would be
  // detected.
  state->pause = std::chrono::milliseconds(400);
  Writer writer(std::make_unique<FaultyStore>(state), {}, [] {});
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 1'000; ++i) writer.Enqueue({Record{}});
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(400));
  ASSERT_TRUE(WaitUntil([&] { return writer.stored() == 1'000; }));
  EXPECT_LE(state->batches, 3);
}

}  // namespace
}  // namespace heronway::durable
