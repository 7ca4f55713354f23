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

log::EntryPtr EntryOf(log::Term term, std::string data) {
  auto e = std::make_shared<log::Entry>();
  e->term = term;
  e->data = std::move(data);
  return e;
}

void Wait(ReplicaStore& disk, std::size_t done) {
  std::size_t got = 0;
  for (int n = 0; n < 500 && got < done; ++n) {
    got += disk.TakeCompletions().size();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  ASSERT_EQ(got, done);
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
    ReplicaStore disk(folder.path, [] {});
    EXPECT_TRUE(disk.Read().empty());
    StoredGroup g;
    g.group = "s1/http/1";
    g.self = 77;
    disk.Enqueue(g.group, g);
    disk.Enqueue("s2/http/1", StoredGroup{"s2/http/1", 78, {}, {}});
    log::Persist p{
        1, log::HardState{3, 9}, nullptr, 1, {EntryOf(1, "one"), EntryOf(1, "two"), EntryOf(2, "three")}};
    disk.Enqueue(g.group, p);
    p = {2, std::nullopt, nullptr, 3, {EntryOf(3, "other")}};
    disk.Enqueue(g.group, p);
    auto snapshot = std::make_shared<log::Snapshot>(log::Snapshot{1, 1, {{77}, {}}, "state"});
    disk.Enqueue(g.group, log::Persist{3, std::nullopt, snapshot, 0, {}});
    disk.Enqueue(g.group, Servers{{77, {"s1", "10.0.0.1:1"}}});
    disk.Enqueue("s2/http/1", ReplicaStore::Drop{});
    Wait(disk, 5);
    EXPECT_THROW(ReplicaStore(folder.path, [] {}), durable::StoreError) << "the store is in use";
  }
  ReplicaStore disk(folder.path, [] {});
  const auto all = disk.Read();
  ASSERT_EQ(all.size(), 1u);
  EXPECT_EQ(all[0].self, 77u);
  EXPECT_EQ(all[0].log.hard_state, (log::HardState{3, 9}));
  EXPECT_EQ(all[0].log.snapshot->data, "state");
  ASSERT_EQ(all[0].log.entries.size(), 2u);
  EXPECT_EQ(all[0].log.entries[0]->data, "two");
  EXPECT_EQ(all[0].log.entries[1]->data, "other");
  EXPECT_EQ(all[0].servers.at(77).first, "s1");
}

// A changed byte in an entry is detected, and the error names the entry; nothing after it is read.
TEST(ReplicaStore, CorruptEntryIsNamed) {
  Folder folder;
  {
    ReplicaStore disk(folder.path, [] {});
    disk.Enqueue("s1/http/1", StoredGroup{"s1/http/1", 77, {}, {}});
    disk.Enqueue("s1/http/1",
                 log::Persist{1, std::nullopt, nullptr, 1, {EntryOf(1, std::string(9'000, 'q'))}});
    Wait(disk, 2);
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
  ReplicaStore disk(folder.path, [] {});
  try {
    disk.Read();
    FAIL();
  } catch (const durable::StoreError& e) {
    EXPECT_NE(std::string(e.what()).find("s1/http/1: entry 1"), std::string::npos) << e.what();
    EXPECT_EQ(e.kind, durable::StoreError::Kind::kCorrupt);
  }
}

std::vector<durable::ClassRules> Rules() { return std::vector<durable::ClassRules>(1); }
durable::Record Taken(const std::string& id) {
  durable::Record r;
  r.kind = durable::RecordKind::kAccepted;
  r.id = id;
  r.at = 1;
  r.text = "text of " + id;
  return r;
}
std::size_t Jobs(durable::SqliteStore& store) { return ReadContents(store).jobs.size(); }

TEST(ReplicatedStore, BatchProposedTwiceIsAppliedOnce) {
  Folder folder;
  durable::SqliteStore store({folder.path + "/a.db", {"c"}, Rules(), 0}, durable::SqliteStore::Mode::kServe);
  durable::Applied applied = store.applied();
  EXPECT_EQ(applied.index, 0u);
  const auto entry = [](log::Index index, std::uint64_t life, std::uint64_t number, const std::string& id) {
    return LogChannel::Committed{index, Encode(Batch{life, number, durable::Encode({Taken(id)})})};
  };
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(2, 9, 1, "a")));
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(2, 9, 1, "a"))) << "the same entry";
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(3, 9, 1, "a"))) << "the same batch";
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(4, 9, 2, "b")));
  durable::Applied again = store.applied();
  EXPECT_EQ(again.index, 4u);
  EXPECT_FALSE(ReplicatedStore::Apply(store, again, entry(5, 9, 2, "b"))) << "also after a restart";
  EXPECT_TRUE(ReplicatedStore::Apply(store, again, entry(6, 10, 1, "c"))) << "a new epoch counts from 1";
  EXPECT_EQ(Jobs(store), 3u);
}

// Guards against late proposals of a process that does not know that another has claimed the group.
TEST(ReplicatedStore, OnlyBatchesOfTheCurrentEpochCount) {
  Folder folder;
  durable::SqliteStore store({folder.path + "/a.db", {"c"}, Rules(), 0}, durable::SqliteStore::Mode::kServe);
  durable::Applied applied = store.applied();
  const auto entry = [](log::Index index, std::uint64_t life, std::uint64_t number, const std::string& id) {
    const std::vector<durable::Record> records =
        number == 0 ? std::vector<durable::Record>{} : std::vector<durable::Record>{Taken(id)};
    return LogChannel::Committed{index, Encode(Batch{kFencedEpoch | life, number, durable::Encode(records)})};
  };
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(2, 9, 1, "a"))) << "it has not claimed the group";
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(3, 9, 0, "")));
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(4, 9, 1, "a")));
  EXPECT_TRUE(ReplicatedStore::Apply(store, applied, entry(5, 10, 0, ""))) << "another claims the group";
  EXPECT_FALSE(ReplicatedStore::Apply(store, applied, entry(6, 9, 2, "b"))) << "late";
  durable::Applied again = store.applied();
  EXPECT_FALSE(ReplicatedStore::Apply(store, again, entry(6, 9, 2, "b"))) << "also after a restart";
  EXPECT_TRUE(ReplicatedStore::Apply(store, again, entry(7, 10, 1, "c")));
  EXPECT_FALSE(ReplicatedStore::Apply(store, again, entry(8, 10, 1, "c"))) << "twice";
  EXPECT_TRUE(ReplicatedStore::Apply(store, again, entry(9, 9, 0, ""))) << "the first claims it again";
  EXPECT_TRUE(ReplicatedStore::Apply(store, again, entry(10, 9, 1, "d")));
  EXPECT_EQ(Jobs(store), 3u);
}

// A writer that finds another process's claim in the log stores nothing more and leaves its store at its
// position.
TEST(ReplicatedStore, WriterStopsAtAnotherClaim) {
  Folder folder;
  auto group = std::make_shared<LogChannel>([] {});
  auto inner = std::make_unique<durable::SqliteStore>(
      durable::SqliteStore::Settings{folder.path + "/a.db", {"c"}, Rules(), 0},
      durable::SqliteStore::Mode::kServe);
  durable::SqliteStore* inner_store = inner.get();
  ReplicatedStore store(std::move(inner), group, kFencedEpoch | 7);
  group->Deliver(5, Encode(Batch{kFencedEpoch | 8, 0, durable::Encode(std::vector<durable::Record>{})}));
  group->Deliver(6, Encode(Batch{kFencedEpoch | 7, 1, durable::Encode({Taken("a")})}));
  EXPECT_THROW(store.Append({Taken("a")}), durable::StoreError);
  EXPECT_THROW(store.Append({Taken("a")}), durable::StoreError);
  EXPECT_EQ(Jobs(*inner_store), 0u);
  EXPECT_EQ(inner_store->applied().index, 0u);
}

// The writer's side: a rejected batch is proposed again with the same numbers, and a late commit counts.
TEST(ReplicatedStore, FailedAppendIsRepeatedWithTheSameNumbers) {
  Folder folder;
  auto group = std::make_shared<LogChannel>([] {});
  auto inner = std::make_unique<durable::SqliteStore>(
      durable::SqliteStore::Settings{folder.path + "/a.db", {"c"}, Rules(), 0},
      durable::SqliteStore::Mode::kServe);
  durable::SqliteStore* inner_store = inner.get();
  ReplicatedStore store(std::move(inner), group, 7);
  group->Reject("nobody leads");
  std::vector<durable::Record> records = {Taken("a"), Taken("b")};
  std::thread late([&] {
    while (group->TakeProposals().empty()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    group->Reject("not led here");
  });
  EXPECT_THROW(store.Append(records), durable::StoreError);
  late.join();
  std::thread other([&] {
    std::vector<std::string> proposals;
    while ((proposals = group->TakeProposals()).empty())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    log::Index index = 5;
    for (const std::string& data : proposals) group->Deliver(index++, data);  // of the first proposal
    for (const std::string& data : proposals) group->Deliver(index++, data);  // and of the second
  });
  store.Append(records);
  other.join();
  EXPECT_EQ(Jobs(*inner_store), 2u);
}

TEST(ReplicatedStore, LargeBatchIsSplit) {
  Folder folder;
  auto group = std::make_shared<LogChannel>([] {});
  ReplicatedStore store(std::make_unique<durable::SqliteStore>(
                            durable::SqliteStore::Settings{folder.path + "/a.db", {"c"}, Rules(), 0},
                            durable::SqliteStore::Mode::kServe),
                        group, 7);
  std::vector<durable::Record> records;
  for (int n = 0; n < 20; ++n) {
    records.push_back(Taken("j" + std::to_string(n)));
    records.back().text = std::string(60'000, 'x');
  }
  std::size_t parts = 0, largest = 0;
  std::thread loop([&] {
    log::Index index = 2;
    for (bool any = false; !any;) {
      for (const std::string& data : group->TakeProposals()) {
        any = true;
        ++parts;
        largest = std::max(largest, data.size());
        group->Deliver(index++, data);
      }
    }
  });
  store.Append(records);
  loop.join();
  EXPECT_GE(parts, 5u);
  EXPECT_LT(largest, kMaxFrameBytes / 2);
}

// A single member leads its group at once, finds it again after a restart, and creates another group if its
// store was written without the log in between.
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
    ReplicaManager copies(shared, settings);
    const auto store = copies.OpenReplicatedStore("http", open());
    const std::string body = copies.StatusJson();
    std::size_t n = 0;
    for (auto at = body.find("\"group\":"); at != body.npos; at = body.find("\"group\":", at + 1)) ++n;
    EXPECT_NE(body.find("\"role\":\"leader\""), body.npos);
    return n;
  };
  open()->Append({Taken("before")});
  EXPECT_EQ(groups(), 1u);
  EXPECT_EQ(groups(), 1u) << "the same group again";
  {
    const auto store = open();
    EXPECT_EQ(Jobs(*store), 1u) << "its contents are the first snapshot";
    store->ClearApplied();
  }
  EXPECT_EQ(groups(), 2u) << "the former group is kept";
}

}  // namespace
}  // namespace heronway::cluster::copies
