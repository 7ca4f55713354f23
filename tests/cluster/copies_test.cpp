// Replication without processes: frames, the replica store, batches that are proposed twice, and a store that
// is behind its log.
#include <gtest/gtest.h>

#include <filesystem>

#include "src/cluster/copies/replica_manager.h"
#include "src/durable/codec.h"

namespace heronway::cluster::copies {
namespace {

struct Folder {
  Folder() {
    char name[] = "/tmp/heronway-copies-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

log::EntryPtr MakeEntry(log::Term term, std::string data) {
  auto e = std::make_shared<log::Entry>();
  e->term = term;
  e->data = std::move(data);
  return e;
}

void WaitForCompletions(ReplicaStore& store, std::size_t expected) {
  std::size_t completed = 0;
  for (int n = 0; n < 500 && completed < expected; ++n) {
    completed += store.TakeCompletions().size();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  ASSERT_EQ(completed, expected);
}

TEST(Frames, RoundTripAndTruncatedFramesAreRejected) {
  Frame f;
  f.kind = Frame::Kind::kServers;
  f.fleet = "f";
  f.from = "s1";
  f.to = "s2";
  f.detail = "10.0.0.4:7947";
  f.group = "s1/http/17";
  f.message = std::string("a\0b", 3);
  f.server = 5;
  f.servers = {{5, {"s1", "10.0.0.4:7947"}}, {6, {"s2", ""}}};
  const std::string bytes = Encode(f).substr(kHeaderBytes);
  const auto back = Decode(bytes);
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->group, f.group);
  EXPECT_EQ(back->message, f.message);
  EXPECT_EQ(back->servers, f.servers);
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(Decode(bytes.substr(0, n)).has_value()) << n;
  f.group = "s1/../17 \n";
  EXPECT_FALSE(Decode(Encode(f).substr(kHeaderBytes)).has_value()) << "a space and a line end";
}

TEST(Groups, NamesSplitIntoTheirParts) {
  const std::string name = GroupName("s1", "faktory", 17);
  EXPECT_EQ(OwnerOf(name), "s1");
  EXPECT_EQ(FrontOf(name), "faktory");
  EXPECT_EQ(OwnerOf("nothing"), "");
  EXPECT_EQ(OwnerOf("a/b"), "");
}

TEST(ReplicaStore, KeepsVotesEntriesSnapshotsAndServers) {
  Folder folder;
  {
    ReplicaStore store(folder.path, [] {});
    EXPECT_TRUE(store.Read().empty());
    StoredGroup g;
    g.group = "s1/http/1";
    g.self = 77;
    store.Enqueue(g.group, g);
    store.Enqueue("s2/http/1", StoredGroup{"s2/http/1", 78, {}, {}});
    log::Persist p{1,
                   log::HardState{3, 9},
                   nullptr,
                   1,
                   {MakeEntry(1, "one"), MakeEntry(1, "two"), MakeEntry(2, "three")}};
    store.Enqueue(g.group, p);
    p = {2, std::nullopt, nullptr, 3, {MakeEntry(3, "other")}};
    store.Enqueue(g.group, p);
    auto snapshot = std::make_shared<log::Snapshot>(log::Snapshot{1, 1, {{77}, {}}, "state"});
    store.Enqueue(g.group, log::Persist{3, std::nullopt, snapshot, 0, {}});
    store.Enqueue(g.group, Servers{{77, {"s1", "10.0.0.1:1"}}});
    store.Enqueue("s2/http/1", ReplicaStore::Drop{});
    WaitForCompletions(store, 5);
    EXPECT_THROW(ReplicaStore(folder.path, [] {}), durable::StoreError) << "the store is in use";
  }
  ReplicaStore store(folder.path, [] {});
  const auto all = store.Read();
  ASSERT_EQ(all.size(), 1u);
  EXPECT_EQ(all[0].self, 77u);
  EXPECT_EQ(all[0].log.hard_state, (log::HardState{3, 9}));
  EXPECT_EQ(all[0].log.snapshot->data, "state");
  ASSERT_EQ(all[0].log.entries.size(), 2u);
  EXPECT_EQ(all[0].log.entries[0]->data, "two");
  EXPECT_EQ(all[0].log.entries[1]->data, "other");
  EXPECT_EQ(all[0].servers.at(77).first, "s1");
}

// After a changed byte in an entry, reading stops with an error that names the entry.
TEST(ReplicaStore, CorruptEntryIsNamed) {
  Folder folder;
  {
    ReplicaStore store(folder.path, [] {});
    store.Enqueue("s1/http/1", StoredGroup{"s1/http/1", 77, {}, {}});
    store.Enqueue("s1/http/1",
                  log::Persist{1, std::nullopt, nullptr, 1, {MakeEntry(1, std::string(9'000, 'q'))}});
    WaitForCompletions(store, 2);
  }
  const std::string file = ReplicaStore::FilePath(folder.path);
  std::FILE* f = std::fopen(file.c_str(), "r+b");
  ASSERT_NE(f, nullptr);
  std::string bytes(std::filesystem::file_size(file), '\0');
  ASSERT_EQ(std::fread(bytes.data(), 1, bytes.size(), f), bytes.size());
  const auto at = bytes.find("qqqqqqqqqq");
  ASSERT_NE(at, bytes.npos);
  std::fseek(f, static_cast<long>(at), SEEK_SET);
  std::fputc('r', f);
  std::fclose(f);
  ReplicaStore store(folder.path, [] {});
  try {
    store.Read();
    FAIL();
  } catch (const durable::StoreError& e) {
    EXPECT_NE(std::string(e.what()).find("s1/http/1: entry 1"), std::string::npos) << e.what();
    EXPECT_EQ(e.kind, durable::StoreError::Kind::kCorrupt);
  }
}

std::vector<durable::ClassRules> Rules() { return std::vector<durable::ClassRules>(1); }
durable::Record Accepted(const std::string& id) {
  durable::Record r;
  r.kind = durable::RecordKind::kAccepted;
  r.id = id;
  r.at = 1;
  r.text = "text of " + id;
  return r;
}
std::size_t CountJobs(durable::SqliteStore& store) { return ReadContents(store).jobs.size(); }

TEST(ReplicatedStore, BatchProposedTwiceIsAppliedOnce) {
  Folder folder;
  durable::SqliteStore store({folder.path + "/a.db", {"c"}, Rules(), 0}, durable::SqliteStore::Mode::kServe);
  durable::Applied applied = store.applied();
  EXPECT_EQ(applied.index, 0u);
  const auto entry = [](log::Index index, std::uint64_t epoch, std::uint64_t number, const std::string& id) {
    return LogChannel::Committed{index, Encode(Batch{epoch, number, durable::Encode({Accepted(id)})})};
  };
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(2, 9, 1, "a")));
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(2, 9, 1, "a"))) << "the same entry";
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(3, 9, 1, "a"))) << "the same batch";
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(4, 9, 2, "b")));
  durable::Applied stored_position = store.applied();
  EXPECT_EQ(stored_position.index, 4u);
  EXPECT_FALSE(ReplicatedStore::Apply(store, stored_position, entry(5, 9, 2, "b"))) << "also after a restart";
  EXPECT_TRUE(ReplicatedStore::Apply(store, stored_position, entry(6, 10, 1, "c")))
      << "a new epoch counts from 1";
  EXPECT_EQ(CountJobs(store), 3u);
}

// Guards against late proposals of a process that does not know that another process has claimed the group.
TEST(ReplicatedStore, OnlyBatchesOfTheCurrentEpochCount) {
  Folder folder;
  durable::SqliteStore store({folder.path + "/a.db", {"c"}, Rules(), 0}, durable::SqliteStore::Mode::kServe);
  durable::Applied applied = store.applied();
  const auto entry = [](log::Index index, std::uint64_t epoch, std::uint64_t number, const std::string& id) {
    const std::vector<durable::Record> records =
        number == 0 ? std::vector<durable::Record>{} : std::vector<durable::Record>{Accepted(id)};
    return LogChannel::Committed{index,
                                 Encode(Batch{kFencedEpoch | epoch, number, durable::Encode(records)})};
  };
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(2, 9, 1, "a"))) << "it has not claimed the group";
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(3, 9, 0, "")));
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(4, 9, 1, "a")));
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(5, 10, 0, ""))) << "another claims the group";
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(6, 9, 2, "b"))) << "late";
  durable::Applied stored_position = store.applied();
  EXPECT_FALSE(ReplicatedStore::Apply(store, stored_position, entry(6, 9, 2, "b"))) << "also after a restart";
  EXPECT_TRUE(ReplicatedStore::Apply(store, stored_position, entry(7, 10, 1, "c")));
  EXPECT_FALSE(ReplicatedStore::Apply(store, stored_position, entry(8, 10, 1, "c"))) << "twice";
  EXPECT_TRUE(ReplicatedStore::Apply(store, stored_position, entry(9, 9, 0, "")))
      << "the first claims it again";
  EXPECT_TRUE(ReplicatedStore::Apply(store, stored_position, entry(10, 9, 1, "d")));
  EXPECT_EQ(CountJobs(store), 3u);
}

// A writer that finds another process's claim in the log stores nothing more and leaves its store at its
// position.
TEST(ReplicatedStore, WriterStopsAtAnotherClaim) {
  Folder folder;
  auto channel = std::make_shared<LogChannel>([] {});
  auto inner = std::make_unique<durable::SqliteStore>(
      durable::SqliteStore::Settings{folder.path + "/a.db", {"c"}, Rules(), 0},
      durable::SqliteStore::Mode::kServe);
  durable::SqliteStore* inner_store = inner.get();
  ReplicatedStore store(std::move(inner), channel, kFencedEpoch | 7);
  channel->Deliver(5, Encode(Batch{kFencedEpoch | 8, 0, durable::Encode(std::vector<durable::Record>{})}));
  channel->Deliver(6, Encode(Batch{kFencedEpoch | 7, 1, durable::Encode({Accepted("a")})}));
  EXPECT_THROW(store.Append({Accepted("a")}), durable::StoreError);
  EXPECT_THROW(store.Append({Accepted("a")}), durable::StoreError);
  EXPECT_EQ(CountJobs(*inner_store), 0u);
  EXPECT_EQ(inner_store->applied().index, 0u);
}

// A rejected batch is proposed again with the same numbers, and a late commit of the first proposal counts.
TEST(ReplicatedStore, FailedAppendIsRetriedWithTheSameNumbers) {
  Folder folder;
  auto channel = std::make_shared<LogChannel>([] {});
  auto inner = std::make_unique<durable::SqliteStore>(
      durable::SqliteStore::Settings{folder.path + "/a.db", {"c"}, Rules(), 0},
      durable::SqliteStore::Mode::kServe);
  durable::SqliteStore* inner_store = inner.get();
  ReplicatedStore store(std::move(inner), channel, 7);
  channel->Reject("no leader");
  std::vector<durable::Record> records = {Accepted("a"), Accepted("b")};
  std::thread late([&] {
    while (channel->TakeProposals().empty()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    channel->Reject("not the leader");
  });
  EXPECT_THROW(store.Append(records), durable::StoreError);
  late.join();
  std::thread other([&] {
    std::vector<std::string> proposals;
    while ((proposals = channel->TakeProposals()).empty())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    log::Index index = 5;
    for (const std::string& data : proposals) channel->Deliver(index++, data);  // of the first proposal
    for (const std::string& data : proposals) channel->Deliver(index++, data);  // and of the second
  });
  store.Append(records);
  other.join();
  EXPECT_EQ(CountJobs(*inner_store), 2u);
}

// A majority that takes longer than the commit timeout must not be given the same batch again each time.
TEST(ReplicatedStore, SlowCommitIsNotProposedAgain) {
  Folder folder;
  auto channel = std::make_shared<LogChannel>([] {});
  auto inner = std::make_unique<durable::SqliteStore>(
      durable::SqliteStore::Settings{folder.path + "/a.db", {"c"}, Rules(), 0},
      durable::SqliteStore::Mode::kServe);
  durable::SqliteStore* inner_store = inner.get();
  ReplicatedStore store(std::move(inner), channel, 7);
  const std::vector<durable::Record> records = {Accepted("a")};
  EXPECT_THROW(store.Append(records), durable::StoreError) << "no majority in time";
  const std::vector<std::string> proposed = channel->TakeProposals();
  ASSERT_EQ(proposed.size(), 1u);
  EXPECT_THROW(store.Append(records), durable::StoreError);
  EXPECT_TRUE(channel->TakeProposals().empty()) << "the batch is still in the log";
  channel->Deliver(2, proposed.front());
  store.Append(records);
  EXPECT_TRUE(channel->TakeProposals().empty());
  EXPECT_EQ(CountJobs(*inner_store), 1u);
}

TEST(ReplicatedStore, LargeBatchIsSplit) {
  Folder folder;
  auto channel = std::make_shared<LogChannel>([] {});
  ReplicatedStore store(std::make_unique<durable::SqliteStore>(
                            durable::SqliteStore::Settings{folder.path + "/a.db", {"c"}, Rules(), 0},
                            durable::SqliteStore::Mode::kServe),
                        channel, 7);
  std::vector<durable::Record> records;
  for (int n = 0; n < 20; ++n) {
    records.push_back(Accepted("j" + std::to_string(n)));
    records.back().text = std::string(60'000, 'x');
  }
  std::size_t parts = 0, largest = 0;
  std::thread loop([&] {
    log::Index index = 2;
    for (bool any = false; !any;) {
      for (const std::string& data : channel->TakeProposals()) {
        any = true;
        ++parts;
        largest = std::max(largest, data.size());
        channel->Deliver(index++, data);
      }
    }
  });
  store.Append(records);
  loop.join();
  EXPECT_GE(parts, 5u);
  EXPECT_LT(largest, kMaxFrameBytes / 2);
}

// A single member leads its group at once and finds it again after a restart. If its store was written
// without the log in between, the member creates another group.
TEST(ReplicaManager, StoreWrittenWithoutItsLogGetsANewGroup) {
  Folder folder;
  net::BufferPool pool(256);
  net::Loop loop;
  net::StreamContext shared{loop, pool, false};
  ReplicaManager::Settings settings;
  settings.fleet = "f";
  settings.name = "s1";
  settings.listen = *net::ParseAddress("127.0.0.1:0");
  settings.folder = folder.path;
  const auto open = [&] {
    return std::make_unique<durable::SqliteStore>(
        durable::SqliteStore::Settings{folder.path + "/http.db", {"c"}, Rules(), 0},
        durable::SqliteStore::Mode::kServe);
  };
  const auto groups = [&] {
    ReplicaManager manager(shared, settings);
    const auto store = manager.OpenReplicatedStore("http", open());
    const std::string body = manager.StatusJson();
    std::size_t n = 0;
    for (auto at = body.find("\"group\":"); at != body.npos; at = body.find("\"group\":", at + 1)) ++n;
    EXPECT_NE(body.find("\"role\":\"leader\""), body.npos);
    return n;
  };
  open()->Append({Accepted("before")});
  EXPECT_EQ(groups(), 1u);
  EXPECT_EQ(groups(), 1u) << "the same group again";
  {
    const auto store = open();
    EXPECT_EQ(CountJobs(*store), 1u) << "its contents are the first snapshot";
    store->ClearApplied();
  }
  EXPECT_EQ(groups(), 2u) << "the former group is kept";
}

}  // namespace
}  // namespace heronway::cluster::copies
