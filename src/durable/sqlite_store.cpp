#include "src/durable/sqlite_store.h"

#include <SQLiteCpp/SQLiteCpp.h>
#include <fcntl.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <optional>
#include <sstream>

#include "src/durable/codec.h"

namespace heronway::durable {
namespace {

constexpr int kPageBytes = 4096;
constexpr std::uint64_t kWalHeaderBytes = 32,
                        kWalFrameHeaderBytes = 24;  // of SQLite's write-ahead log and of each page in it
constexpr int kBusyTimeoutMs = 5'000;               // for the write of another process

// Step n upgrades a store from schema version n to n + 1.
constexpr const char* kSchemaSteps[SqliteStore::kSchemaVersion] = {
    "CREATE TABLE meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID;"
    "CREATE TABLE journal(number INTEGER PRIMARY KEY, sum INTEGER, body BLOB);"
    "CREATE TABLE jobs(id TEXT PRIMARY KEY, sum INTEGER, body BLOB) WITHOUT ROWID;",
    "CREATE TABLE orders(number INTEGER PRIMARY KEY AUTOINCREMENT, verb TEXT, id TEXT);",
};

std::int64_t Checksum(std::string_view body) {
  return static_cast<std::int64_t>(XXH3_64bits(body.data(), body.size()));
}

StoreError::Kind ErrorKind(int code) {
  switch (code & 0xff) {
    case SQLITE_FULL:
      return StoreError::Kind::kFull;
    case SQLITE_READONLY:
    case SQLITE_CANTOPEN:
    case SQLITE_PERM:
      return StoreError::Kind::kDenied;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return StoreError::Kind::kCorrupt;
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StoreError::Kind::kBusy;
    default:
      return StoreError::Kind::kOther;
  }
}

std::string Join(const std::vector<std::string>& class_names) {
  std::string out;
  for (const auto& name : class_names) out += (out.empty() ? "" : ",") + name;
  return out;
}
std::vector<std::string> SplitNames(const std::string& text) {
  std::vector<std::string> out;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find(',', at), text.size());
    out.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

std::string_view BlobAt(const SQLite::Statement& row, int column) {
  const auto value = row.getColumn(column);
  return {static_cast<const char*>(value.getBlob()), static_cast<std::size_t>(value.getBytes())};
}

int Lock(const std::string& file) {
  const int fd = open((file + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) != 0) {
    close(fd);
    return -2;
  }
  return fd;
}

}  // namespace

struct SqliteStore::Impl {
  std::unique_ptr<SQLite::Database> db;
  std::unique_ptr<SQLite::Statement> append;
  int lock = -1;
  ~Impl() {
    append.reset();
    db.reset();
    if (lock >= 0) close(lock);
  }
};

// Converts SQLite's exceptions to StoreError, with the file's name and the operation in the message.
template <typename F>
auto SqliteStore::TranslateErrors(const char* operation, F f) const {
  try {
    return f();
  } catch (const SQLite::Exception& e) {
    throw StoreError(ErrorKind(e.getErrorCode()), settings_.file + ": " + operation + ": " + e.what());
  }
}

SqliteStore::SqliteStore(Settings settings, Mode mode)
    : settings_(std::move(settings)), impl_(std::make_unique<Impl>()) {
  if (mode == Mode::kServe) {
    impl_->lock = Lock(settings_.file);
    if (impl_->lock == -2)
      throw StoreError(StoreError::Kind::kBusy, settings_.file + ": another process serves from it");
    if (impl_->lock == -1)
      throw StoreError(StoreError::Kind::kDenied, settings_.file + ".lock: cannot create the lock file");
  }
  TranslateErrors("opening", [&] { Open(mode); });
}

SqliteStore::~SqliteStore() = default;

void SqliteStore::Open(Mode mode) {
  const int flags =
      mode == Mode::kServe ? SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE : SQLite::OPEN_READWRITE;
  struct stat wal_stat {};
  const std::uint64_t wal_bytes = stat((settings_.file + "-wal").c_str(), &wal_stat) == 0
                                      ? static_cast<std::uint64_t>(wal_stat.st_size)
                                      : 0;
  impl_->db = std::make_unique<SQLite::Database>(settings_.file, flags, kBusyTimeoutMs);
  SQLite::Database& db = *impl_->db;
  db.exec("PRAGMA journal_mode=WAL");
  db.exec("PRAGMA synchronous=FULL");
  // Checkpoints cause the longest pauses. A larger log (16 MiB) makes them less frequent.
  db.exec("PRAGMA wal_autocheckpoint=4096");
  if (mode == Mode::kServe) {
    // SQLite recovers the complete commits from its log by their checksums, and ignores the rest.
    if (wal_bytes > 0) {
      SQLite::Statement checkpoint(db, "PRAGMA wal_checkpoint(PASSIVE)");
      if (checkpoint.executeStep())
        recovered_pages_ = static_cast<std::uint64_t>(std::max(0, checkpoint.getColumn(1).getInt()));
      const std::uint64_t valid_bytes =
          recovered_pages_ > 0 ? kWalHeaderBytes + recovered_pages_ * (kPageBytes + kWalFrameHeaderBytes) : 0;
      dropped_bytes_ = wal_bytes > valid_bytes ? wal_bytes - valid_bytes : 0;
    }
    // Above the size limit a write fails as on a full disk, without loss of stored data.
    if (settings_.max_bytes > 0)
      db.exec("PRAGMA max_page_count=" +
              std::to_string(std::max<std::uint64_t>(64, settings_.max_bytes / kPageBytes)));
    Upgrade();
  }
  const int version = db.execAndGet("PRAGMA user_version").getInt();
  if (version != kSchemaVersion) {
    throw StoreError(StoreError::Kind::kCorrupt,
                     settings_.file + ": schema version " + std::to_string(version) +
                         ", but this program needs version " + std::to_string(kSchemaVersion));
  }
  CheckClassNames(mode);
  first_row_ = db.execAndGet("SELECT ifnull(min(number), 1) FROM journal").getInt64();
  next_row_ = db.execAndGet("SELECT ifnull(max(number), 0) + 1 FROM journal").getInt64();
  impl_->append = std::make_unique<SQLite::Statement>(db, "INSERT INTO journal VALUES(?, ?, ?)");
}

void SqliteStore::Upgrade() {
  SQLite::Database& db = *impl_->db;
  for (int at = db.execAndGet("PRAGMA user_version").getInt(); at >= 0 && at < kSchemaVersion; ++at) {
    SQLite::Transaction transaction(db);
    db.exec(kSchemaSteps[at]);
    db.exec("PRAGMA user_version=" + std::to_string(at + 1));
    transaction.commit();
  }
}

// Jobs refer to their class by its number, so the configuration must keep the numbers of the stored classes.
void SqliteStore::CheckClassNames(Mode mode) {
  SQLite::Statement read(*impl_->db, "SELECT value FROM meta WHERE name='classes'");
  const std::vector<std::string> stored_names =
      read.executeStep() ? SplitNames(read.getColumn(0).getText()) : std::vector<std::string>{};
  if (mode == Mode::kInspect && settings_.class_names.empty()) {
    settings_.class_names = stored_names;
    if (settings_.class_rules.empty()) settings_.class_rules.resize(stored_names.size());
    return;
  }
  if (stored_names.size() > settings_.class_names.size() ||
      !std::equal(stored_names.begin(), stored_names.end(), settings_.class_names.begin())) {
    throw StoreError(StoreError::Kind::kCorrupt, settings_.file + ": its jobs have the classes " +
                                                     Join(stored_names) + "; the configuration has " +
                                                     Join(settings_.class_names) +
                                                     "; new classes may only be added at the end");
  }
  if (mode != Mode::kServe || stored_names.size() == settings_.class_names.size()) return;
  SQLite::Statement write(*impl_->db, "INSERT OR REPLACE INTO meta VALUES('classes', ?)");
  write.bind(1, Join(settings_.class_names));
  write.exec();
}

void SqliteStore::Append(const std::vector<Record>& records) {
  const std::string body = Encode(records);
  TranslateErrors("writing", [&] {
    SQLite::Statement& row = *impl_->append;
    row.tryReset();
    row.bind(1, next_row_);
    row.bind(2, Checksum(body));
    row.bindNoCopy(3, body.data(), static_cast<int>(body.size()));
    row.exec();
    row.tryReset();  // a statement that is not reset keeps its transaction open
    ++next_row_;
  });
}

void SqliteStore::WriteApplied(const Applied& a) {
  SQLite::Statement write(*impl_->db, "INSERT OR REPLACE INTO meta VALUES('applied', ?)");
  write.bind(1, std::to_string(a.index) + " " + std::to_string(a.epoch) + " " + std::to_string(a.number));
  write.exec();
}

Applied SqliteStore::applied() const {
  return TranslateErrors("reading", [&] {
    Applied a;
    SQLite::Statement read(*impl_->db, "SELECT value FROM meta WHERE name='applied'");
    if (read.executeStep())
      std::istringstream(read.getColumn(0).getString()) >> a.index >> a.epoch >> a.number;
    return a;
  });
}

void SqliteStore::ClearApplied() {
  if (applied().index != 0) TranslateErrors("writing", [&] { WriteApplied({}); });
}

void SqliteStore::AppendAt(const std::vector<Record>& records, const Applied& applied) {
  TranslateErrors("writing", [&] {
    SQLite::Database& db = *impl_->db;
    db.exec("PRAGMA synchronous=NORMAL");
    SQLite::Transaction transaction(db);
    Append(records);
    WriteApplied(applied);
    transaction.commit();
  });
}

void SqliteStore::ReplaceContents(Micros clock_stepped_at,
                                  const std::vector<std::pair<std::string, Job>>& jobs,
                                  const Applied& applied) {
  TranslateErrors("replacing the contents", [&] {
    SQLite::Database& db = *impl_->db;
    SQLite::Transaction transaction(db);
    db.exec("DELETE FROM journal");
    db.exec("DELETE FROM jobs");
    SQLite::Statement upsert(db, "INSERT INTO jobs VALUES(?, ?, ?)");
    for (const auto& [id, job] : jobs) {
      const std::string body = Encode(job);
      upsert.reset();
      upsert.bind(1, id);
      upsert.bind(2, Checksum(body));
      upsert.bindNoCopy(3, body.data(), static_cast<int>(body.size()));
      upsert.exec();
    }
    upsert.tryReset();
    if (clock_stepped_at > 0) {
      SQLite::Statement clock(db, "INSERT OR REPLACE INTO meta VALUES('clock_broke', ?)");
      clock.bind(1, clock_stepped_at);
      clock.exec();
    }
    WriteApplied(applied);
    transaction.commit();
    first_row_ = next_row_;
  });
}

void SqliteStore::Read(const Reader& reader) {
  const auto corrupt = [this](const std::string& place, const char* what) {
    return StoreError(StoreError::Kind::kCorrupt, settings_.file + ": " + place + ": " + what);
  };
  TranslateErrors("reading", [&] {
    SQLite::Database& db = *impl_->db;
    SQLite::Transaction read_transaction(db);  // one consistent state, whatever is written meanwhile
    SQLite::Statement clock(db, "SELECT value FROM meta WHERE name='clock_broke'");
    if (clock.executeStep() && reader.clock) reader.clock(clock.getColumn(0).getInt64());
    SQLite::Statement at(db, "SELECT value FROM meta WHERE name='applied'");
    if (reader.applied && at.executeStep()) {
      Applied a;
      std::istringstream(at.getColumn(0).getString()) >> a.index >> a.epoch >> a.number;
      reader.applied(a);
    }
    SQLite::Statement jobs(db, "SELECT id, sum, body FROM jobs");
    while (jobs.executeStep()) {
      const std::string id = jobs.getColumn(0).getString(), place = "job " + id;
      const std::string_view body = BlobAt(jobs, 2);
      if (Checksum(body) != jobs.getColumn(1).getInt64()) throw corrupt(place, "checksum mismatch");
      auto job = DecodeJob(body);
      if (!job) throw corrupt(place, "cannot decode it");
      if (!reader.job(id, std::move(*job))) throw corrupt(place, "invalid job");
    }
    SQLite::Statement journal(db, "SELECT number, sum, body FROM journal ORDER BY number");
    while (journal.executeStep()) {
      const std::string place = "journal row " + std::to_string(journal.getColumn(0).getInt64());
      const std::string_view body = BlobAt(journal, 2);
      if (Checksum(body) != journal.getColumn(1).getInt64()) throw corrupt(place, "checksum mismatch");
      const auto records = DecodeRecords(body);
      if (!records) throw corrupt(place, "cannot decode it");
      for (const Record& r : *records) {
        if (!reader.record(r)) throw corrupt(place, "invalid record sequence");
      }
    }
  });
}

// Loads the jobs that the journal's oldest rows concern into a table, applies these rows, and writes the
// result back in their place.
std::size_t SqliteStore::Compact(std::size_t max_records, std::size_t keep_rows) {
  return TranslateErrors("compacting", [&]() -> std::size_t {
    // Rows are deleted only from the front, so the row numbers give their count.
    const auto rows = static_cast<std::size_t>(next_row_ - first_row_);
    if (rows <= keep_rows) return 0;
    SQLite::Database& db = *impl_->db;
    // A compaction that a crash undoes is repeated, so it needs no sync of its own; the next commit's covers
    // it.
    db.exec("PRAGMA synchronous=NORMAL");
    struct RestoreSync {
      SQLite::Database& db;
      ~RestoreSync() { db.tryExec("PRAGMA synchronous=FULL"); }
    } restore_sync{db};
    SQLite::Transaction transaction(db);
    JobTable table(settings_.class_rules);
    std::map<std::string, bool> in_jobs_table;  // by id: whether the row exists
    SQLite::Statement journal(db, "SELECT number, body FROM journal ORDER BY number");
    SQLite::Statement job(db, "SELECT body FROM jobs WHERE id=?");
    std::int64_t last = 0;
    std::size_t records = 0, compacted = 0;
    while (records < max_records && compacted < rows - keep_rows && journal.executeStep()) {
      const auto batch = DecodeRecords(BlobAt(journal, 1));
      if (!batch)
        throw StoreError(StoreError::Kind::kCorrupt, settings_.file + ": journal: cannot decode a row");
      for (const Record& r : *batch) {
        if (!r.id.empty() && !in_jobs_table.contains(r.id)) {
          job.reset();
          job.bind(1, r.id);
          const bool exists = job.executeStep();
          in_jobs_table[r.id] = exists;
          auto before = exists ? DecodeJob(BlobAt(job, 0)) : std::nullopt;
          if (exists && (!before || !table.Restore(r.id, std::move(*before))))
            throw StoreError(StoreError::Kind::kCorrupt,
                             settings_.file + ": job " + r.id + ": cannot decode it");
        }
        if (!table.Apply(r))
          throw StoreError(StoreError::Kind::kCorrupt, settings_.file + ": journal: a record of " + r.id +
                                                           " is no valid next transition");
      }
      last = journal.getColumn(0).getInt64();
      records += batch->size();
      ++compacted;
    }
    SQLite::Statement upsert(db, "INSERT OR REPLACE INTO jobs VALUES(?, ?, ?)");
    SQLite::Statement erase(db, "DELETE FROM jobs WHERE id=?");
    for (const auto& [id, exists] : in_jobs_table) {
      const Job* current = table.Find(id);
      if (current == nullptr && !exists) continue;  // accepted and purged within these rows
      SQLite::Statement& write = current != nullptr ? upsert : erase;
      write.reset();
      write.bind(1, id);
      std::string body;
      if (current != nullptr) {
        body = Encode(*current);
        write.bind(2, Checksum(body));
        write.bindNoCopy(3, body.data(), static_cast<int>(body.size()));
      }
      write.exec();
    }
    SQLite::Statement delete_rows(db, "DELETE FROM journal WHERE number<=?");
    delete_rows.bind(1, last);
    delete_rows.exec();
    if (table.clock_stepped_at() > 0) {
      SQLite::Statement clock(db, "INSERT OR REPLACE INTO meta VALUES('clock_broke', ?)");
      clock.bind(1, table.clock_stepped_at());
      clock.exec();
    }
    journal.tryReset();
    job.tryReset();
    transaction.commit();
    first_row_ = last + 1;
    return rows - compacted - keep_rows;
  });
}

std::vector<OperatorCommand> SqliteStore::TakeCommands() {
  return TranslateErrors("reading commands", [&] {
    std::vector<OperatorCommand> out;
    SQLite::Database& db = *impl_->db;
    SQLite::Statement read(db, "SELECT number, verb, id FROM orders ORDER BY number");
    while (read.executeStep())
      out.push_back(
          {read.getColumn(0).getInt64(), read.getColumn(1).getString(), read.getColumn(2).getString()});
    if (out.empty()) return out;
    SQLite::Statement delete_rows(db, "DELETE FROM orders WHERE number<=?");
    delete_rows.bind(1, out.back().number);
    delete_rows.exec();
    return out;
  });
}

void SqliteStore::QueueCommand(const std::string& verb, const std::string& id) {
  TranslateErrors("queuing a command", [&] {
    SQLite::Statement write(*impl_->db, "INSERT INTO orders(verb, id) VALUES(?, ?)");
    write.bind(1, verb);
    write.bind(2, id);
    write.exec();
  });
}

std::uint64_t SqliteStore::bytes() const {
  std::uint64_t sum = 0;
  for (const char* end : {"", "-wal"}) {
    struct stat s {};
    if (stat((settings_.file + end).c_str(), &s) == 0) sum += static_cast<std::uint64_t>(s.st_size);
  }
  return sum;
}

std::vector<std::string> SqliteStore::Verify() {
  std::vector<std::string> out;
  TranslateErrors("checking", [&] {
    SQLite::Statement check(*impl_->db, "PRAGMA integrity_check");
    while (check.executeStep()) {
      if (const std::string line = check.getColumn(0).getString(); line != "ok")
        out.push_back("SQLite: " + line);
    }
  });
  JobTable table(settings_.class_rules);
  try {
    Read({[&](Micros at) { table.set_clock_stepped_at(at); },
          [&](const std::string& id, Job job) { return table.Restore(id, std::move(job)); },
          [&](const Record& r) { return table.Apply(r); }});
  } catch (const StoreError& e) {
    out.push_back(e.what());
  }
  return out;
}

void SqliteStore::Snapshot(const std::string& to) {
  if (std::filesystem::exists(to)) throw StoreError(StoreError::Kind::kDenied, to + ": file exists");
  TranslateErrors("copying", [&] {
    SQLite::Statement copy(*impl_->db, "VACUUM INTO ?");
    copy.bind(1, to);
    copy.exec();
  });
}

bool SqliteStore::IsServed(const std::string& file) {
  const int fd = Lock(file);
  if (fd >= 0) close(fd);
  return fd == -2;
}

}  // namespace heronway::durable
