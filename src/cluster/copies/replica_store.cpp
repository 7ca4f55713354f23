#include "src/cluster/copies/replica_store.h"

#include <SQLiteCpp/SQLiteCpp.h>
#include <fcntl.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

#include "src/cluster/log/codec.h"
#include "src/durable/store.h"

namespace heronway::cluster::copies {
namespace {

using durable::StoreError;
using Clock = std::chrono::steady_clock;
constexpr int kSchemaVersion = 1;
constexpr std::chrono::milliseconds kRetryDelay{200};  // after a failed commit

std::int64_t Checksum(std::string_view body) {
  return static_cast<std::int64_t>(XXH3_64bits(body.data(), body.size()));
}

}  // namespace

struct ReplicaStore::Impl {
  std::string file;
  std::unique_ptr<SQLite::Database> db;
  int lock = -1;  // descriptor of the locked file; -1 if read only
  ~Impl() {
    db.reset();
    if (lock >= 0) close(lock);
  }
  void Bind(SQLite::Statement& s) { (void)s; }
  template <typename T, typename... More>
  void Bind(SQLite::Statement& s, int at, const T& value, const More&... more) {
    if constexpr (std::is_same_v<T, std::string_view>) {
      s.bindNoCopy(at, value.data(), static_cast<int>(value.size()));
    } else {
      s.bind(at, value);
    }
    if constexpr (sizeof...(more) > 0) Bind(s, at + 1, more...);
  }
  template <typename... Values>
  void Execute(const char* sql, const Values&... values) {
    SQLite::Statement s(*db, sql);
    Bind(s, 1, values...);
    s.exec();
  }
  void Put(const StoredGroup& g);
  void Put(const std::string& group, const log::Persist& p);
  void Put(const std::string& group, const Servers& servers);
  void PutEntry(const std::string& group, log::Index index, const log::Entry& entry);
  void PutSnapshot(const std::string& group, const log::Snapshot& snapshot);
};

ReplicaStore::ReplicaStore(const std::string& folder, std::function<void()> on_change, bool read_only)
    : impl_(std::make_unique<Impl>()), on_change_(std::move(on_change)) {
  impl_->file = FilePath(folder);
  if (!read_only) {
    impl_->lock = open((impl_->file + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (impl_->lock < 0)
      throw StoreError(StoreError::Kind::kDenied, impl_->file + ".lock: cannot be created");
    if (flock(impl_->lock, LOCK_EX | LOCK_NB) != 0)
      throw StoreError(StoreError::Kind::kBusy, impl_->file + ": another process serves from it");
  }
  try {
    const int flags = read_only ? SQLite::OPEN_READWRITE : SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE;
    impl_->db = std::make_unique<SQLite::Database>(impl_->file, flags, 5'000);
    SQLite::Database& db = *impl_->db;
    db.exec("PRAGMA journal_mode=WAL");
    db.exec("PRAGMA synchronous=FULL");
    const int version = db.execAndGet("PRAGMA user_version").getInt();
    if (version == 0 && !read_only) {
      SQLite::Transaction transaction(db);
      db.exec(
          "CREATE TABLE groups(name TEXT PRIMARY KEY, self INTEGER, term INTEGER, vote INTEGER, "
          "sum INTEGER, snapshot BLOB) WITHOUT ROWID");
      db.exec(
          "CREATE TABLE entries(grp TEXT, idx INTEGER, sum INTEGER, body BLOB, PRIMARY KEY(grp, idx)) "
          "WITHOUT ROWID");
      db.exec(
          "CREATE TABLE servers(grp TEXT, id INTEGER, member TEXT, at TEXT, PRIMARY KEY(grp, id)) "
          "WITHOUT ROWID");
      db.exec("PRAGMA user_version=" + std::to_string(kSchemaVersion));
      transaction.commit();
    } else if (version != kSchemaVersion) {
      throw StoreError(StoreError::Kind::kCorrupt,
                       impl_->file + ": schema version " + std::to_string(version) +
                           " is not supported; this program needs " + std::to_string(kSchemaVersion));
    }
  } catch (const SQLite::Exception& e) {
    throw StoreError(StoreError::Kind::kOther, impl_->file + ": opening: " + e.what());
  }
  if (!read_only) thread_ = std::thread([this] { Run(); });
}

ReplicaStore::~ReplicaStore() {
  {
    const std::lock_guard lock(lock_);
    stopping_ = true;
    stop_deadline_ = Clock::now() + std::chrono::seconds(2);
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

std::vector<StoredGroup> ReplicaStore::Read() {
  std::vector<StoredGroup> stored_groups;
  const auto corrupt = [this](const std::string& place, const char* problem) {
    return StoreError(StoreError::Kind::kCorrupt, impl_->file + ": " + place + ": " + problem);
  };
  try {
    SQLite::Transaction read_transaction(*impl_->db);
    SQLite::Statement groups(*impl_->db,
                             "SELECT name, self, term, vote, sum, snapshot FROM groups ORDER BY name");
    while (groups.executeStep()) {
      StoredGroup g;
      g.group = groups.getColumn(0).getString();
      g.self = static_cast<log::ServerId>(groups.getColumn(1).getInt64());
      g.log.hard_state = {static_cast<log::Term>(groups.getColumn(2).getInt64()),
                          static_cast<log::ServerId>(groups.getColumn(3).getInt64())};
      if (!groups.getColumn(5).isNull()) {
        const std::string body = groups.getColumn(5).getString();
        auto snapshot =
            Checksum(body) == groups.getColumn(4).getInt64() ? log::DecodeSnapshot(body) : std::nullopt;
        if (!snapshot) throw corrupt("group " + g.group, "the snapshot is corrupt");
        g.log.snapshot = std::make_shared<log::Snapshot>(std::move(*snapshot));
      }
      log::Index next = g.log.snapshot == nullptr ? 1 : g.log.snapshot->index + 1;
      SQLite::Statement entries(*impl_->db,
                                "SELECT idx, sum, body FROM entries WHERE grp=? AND idx>=? ORDER BY idx");
      entries.bind(1, g.group);
      entries.bind(2, static_cast<std::int64_t>(next));
      for (; entries.executeStep(); ++next) {
        const std::string body = entries.getColumn(2).getString();
        const std::string place =
            "group " + g.group + ": entry " + std::to_string(entries.getColumn(0).getInt64());
        if (entries.getColumn(0).getInt64() != static_cast<std::int64_t>(next))
          throw corrupt(place, "an entry before it is missing");
        auto entry =
            Checksum(body) == entries.getColumn(1).getInt64() ? log::DecodeEntry(body) : std::nullopt;
        if (!entry) throw corrupt(place, "the entry is corrupt");
        g.log.entries.push_back(std::make_shared<log::Entry>(std::move(*entry)));
      }
      SQLite::Statement servers(*impl_->db, "SELECT id, member, at FROM servers WHERE grp=?");
      servers.bind(1, g.group);
      while (servers.executeStep())
        g.servers[static_cast<log::ServerId>(servers.getColumn(0).getInt64())] = {
            servers.getColumn(1).getString(), servers.getColumn(2).getString()};
      stored_groups.push_back(std::move(g));
    }
  } catch (const SQLite::Exception& e) {
    throw StoreError(StoreError::Kind::kOther, impl_->file + ": reading: " + e.what());
  }
  return stored_groups;
}

void ReplicaStore::Enqueue(const std::string& group, Change change) {
  {
    const std::lock_guard lock(lock_);
    pending_.push_back({group, std::move(change)});
  }
  wake_.notify_one();
}

std::vector<ReplicaStore::Completion> ReplicaStore::TakeCompletions() {
  const std::lock_guard lock(lock_);
  return std::exchange(completions_, {});
}

std::string ReplicaStore::fault() const {
  const std::lock_guard lock(lock_);
  return fault_;
}

std::uint64_t ReplicaStore::commits() const {
  const std::lock_guard lock(lock_);
  return commits_;
}

// Writes changes in order and skips none: a commit that fails is retried until it succeeds.
void ReplicaStore::Run() {
  std::vector<PendingWrite> writes;
  for (;;) {
    if (writes.empty()) {
      std::unique_lock lock(lock_);
      wake_.wait(lock, [this] { return !pending_.empty() || stopping_; });
      writes.swap(pending_);
      if (writes.empty()) return;
    }
    std::string fault;
    try {
      Write(writes);
    } catch (const SQLite::Exception& e) {
      fault = impl_->file + ": writing: " + e.what();
    }
    std::unique_lock lock(lock_);
    const bool changed = fault_ != fault;
    fault_ = fault;
    if (fault.empty()) {
      ++commits_;
      for (const PendingWrite& write : writes) {
        const auto* p = std::get_if<log::Persist>(&write.change);
        if (p != nullptr || std::holds_alternative<StoredGroup>(write.change))
          completions_.push_back({write.group, p != nullptr ? p->number : 0});
      }
      writes.clear();
    }
    lock.unlock();
    if (fault.empty() || changed) on_change_();
    if (fault.empty()) continue;
    lock.lock();
    if (stopping_ && Clock::now() > stop_deadline_) return;
    wake_.wait_for(lock, kRetryDelay, [this] { return stopping_ && Clock::now() > stop_deadline_; });
  }
}

void ReplicaStore::Write(const std::vector<PendingWrite>& writes) {
  SQLite::Transaction transaction(*impl_->db);
  for (const PendingWrite& write : writes) {
    if (const auto* group = std::get_if<StoredGroup>(&write.change)) {
      impl_->Put(*group);
    } else if (const auto* p = std::get_if<log::Persist>(&write.change)) {
      impl_->Put(write.group, *p);
    } else if (const auto* servers = std::get_if<Servers>(&write.change)) {
      impl_->Put(write.group, *servers);
    } else {
      for (const char* sql : {"DELETE FROM groups WHERE name=?", "DELETE FROM entries WHERE grp=?",
                              "DELETE FROM servers WHERE grp=?"})
        impl_->Execute(sql, write.group);
    }
  }
  transaction.commit();
}

void ReplicaStore::Impl::Put(const StoredGroup& g) {
  Execute("INSERT OR REPLACE INTO groups VALUES(?, ?, ?, ?, 0, NULL)", g.group,
          static_cast<std::int64_t>(g.self), static_cast<std::int64_t>(g.log.hard_state.term),
          static_cast<std::int64_t>(g.log.hard_state.voted_for));
  if (g.log.snapshot != nullptr) PutSnapshot(g.group, *g.log.snapshot);
  Put(g.group, g.servers);
}

void ReplicaStore::Impl::Put(const std::string& group, const log::Persist& p) {
  if (p.hard_state)
    Execute("UPDATE groups SET term=?, vote=? WHERE name=?", static_cast<std::int64_t>(p.hard_state->term),
            static_cast<std::int64_t>(p.hard_state->voted_for), group);
  if (p.snapshot != nullptr) {
    PutSnapshot(group, *p.snapshot);
    Execute("DELETE FROM entries WHERE grp=? AND idx<=?", group,
            static_cast<std::int64_t>(p.snapshot->index));
  }
  if (p.from == 0) return;
  Execute("DELETE FROM entries WHERE grp=? AND idx>=?", group, static_cast<std::int64_t>(p.from));
  log::Index index = p.from;
  for (const log::EntryPtr& e : p.entries) PutEntry(group, index++, *e);
}

void ReplicaStore::Impl::PutEntry(const std::string& group, log::Index index, const log::Entry& entry) {
  const std::string body = log::Encode(entry);
  Execute("INSERT INTO entries VALUES(?, ?, ?, ?)", group, static_cast<std::int64_t>(index), Checksum(body),
          std::string_view(body));
}

void ReplicaStore::Impl::PutSnapshot(const std::string& group, const log::Snapshot& snapshot) {
  const std::string body = log::Encode(snapshot);
  Execute("UPDATE groups SET sum=?, snapshot=? WHERE name=?", Checksum(body), std::string_view(body), group);
}

void ReplicaStore::Impl::Put(const std::string& group, const Servers& servers) {
  Execute("DELETE FROM servers WHERE grp=?", group);
  for (const auto& [id, server] : servers)
    Execute("INSERT INTO servers VALUES(?, ?, ?, ?)", group, static_cast<std::int64_t>(id), server.first,
            server.second);
}

}  // namespace heronway::cluster::copies
