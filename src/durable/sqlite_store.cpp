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
constexpr std::uint64_t kLogHead = 32, kFrameHead = 24;  // of SQLite's log, and of each page in it
constexpr int kBusyMs = 5'000;                           // that another's write is waited for

// One step from each version to the next; a store of version n gets those from n on.
constexpr const char* kSteps[SqliteStore::kVersion] = {
    "CREATE TABLE meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID;"
    "CREATE TABLE journal(number INTEGER PRIMARY KEY, sum INTEGER, body BLOB);"
    "CREATE TABLE jobs(id TEXT PRIMARY KEY, sum INTEGER, body BLOB) WITHOUT ROWID;",
    "CREATE TABLE orders(number INTEGER PRIMARY KEY AUTOINCREMENT, verb TEXT, id TEXT);",
};

std::int64_t SumOf(std::string_view body) {
  return static_cast<std::int64_t>(XXH3_64bits(body.data(), body.size()));
}

StoreError::Kind KindOf(int code) {
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

std::string Join(const std::vector<std::string>& names) {
  std::string out;
  for (const auto& name : names) out += (out.empty() ? "" : ",") + name;
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

std::string_view BodyOf(const SQLite::Statement& row, int column) {
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

// Every fault that SQLite tells, as one of the store's, with the file's name and what was being done.
template <typename F>
auto SqliteStore::Guarded(const char* doing, F f) const {
  try {
    return f();
  } catch (const SQLite::Exception& e) {
    throw StoreError(KindOf(e.getErrorCode()), settings_.file + ": " + doing + ": " + e.what());
  }
}

SqliteStore::SqliteStore(Settings settings, Use use)
    : settings_(std::move(settings)), impl_(std::make_unique<Impl>()) {
  if (use == Use::kServe) {
    impl_->lock = Lock(settings_.file);
    if (impl_->lock == -2)
      throw StoreError(StoreError::Kind::kBusy, settings_.file + ": another program serves from it");
    if (impl_->lock == -1)
      throw StoreError(StoreError::Kind::kDenied, settings_.file + ".lock: cannot be made");
  }
  Guarded("opening", [&] { Open(use); });
}

SqliteStore::~SqliteStore() = default;

void SqliteStore::Open(Use use) {
  const int flags =
      use == Use::kServe ? SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE : SQLite::OPEN_READWRITE;
  struct stat left {};
  const std::uint64_t log_bytes =
      stat((settings_.file + "-wal").c_str(), &left) == 0 ? static_cast<std::uint64_t>(left.st_size) : 0;
  impl_->db = std::make_unique<SQLite::Database>(settings_.file, flags, kBusyMs);
  SQLite::Database& db = *impl_->db;
  db.exec("PRAGMA journal_mode=WAL");
  db.exec("PRAGMA synchronous=FULL");
  // Checkpoints are the longest pauses: fewer of them, for a log of 16 MiB.
  db.exec("PRAGMA wal_autocheckpoint=4096");
  if (use == Use::kServe) {
    // SQLite takes from its log what whole commits left there, by its checksums, and passes over the rest.
    if (log_bytes > 0) {
      SQLite::Statement log(db, "PRAGMA wal_checkpoint(PASSIVE)");
      if (log.executeStep()) recovered_ = static_cast<std::uint64_t>(std::max(0, log.getColumn(1).getInt()));
      const std::uint64_t whole = recovered_ > 0 ? kLogHead + recovered_ * (kPageBytes + kFrameHead) : 0;
      dropped_ = log_bytes > whole ? log_bytes - whole : 0;
    }
    // Guards the disk: over the bound a write fails as on a full one, and nothing is lost by it.
    if (settings_.most_bytes > 0)
      db.exec("PRAGMA max_page_count=" +
              std::to_string(std::max<std::uint64_t>(64, settings_.most_bytes / kPageBytes)));
    Upgrade();
  }
  const int version = db.execAndGet("PRAGMA user_version").getInt();
  if (version != kVersion) {
    throw StoreError(StoreError::Kind::kCorrupt, settings_.file + ": it has version " +
                                                     std::to_string(version) + ", this program " +
                                                     std::to_string(kVersion));
  }
  CheckClasses(use);
  first_ = db.execAndGet("SELECT ifnull(min(number), 1) FROM journal").getInt64();
  next_ = db.execAndGet("SELECT ifnull(max(number), 0) + 1 FROM journal").getInt64();
  impl_->append = std::make_unique<SQLite::Statement>(db, "INSERT INTO journal VALUES(?, ?, ?)");
}

void SqliteStore::Upgrade() {
  SQLite::Database& db = *impl_->db;
  for (int at = db.execAndGet("PRAGMA user_version").getInt(); at >= 0 && at < kVersion; ++at) {
    SQLite::Transaction whole(db);
    db.exec(kSteps[at]);
    db.exec("PRAGMA user_version=" + std::to_string(at + 1));
    whole.commit();
  }
}

// Jobs name their class by its number. Guards them against a configuration whose numbers mean others.
void SqliteStore::CheckClasses(Use use) {
  SQLite::Statement read(*impl_->db, "SELECT value FROM meta WHERE name='classes'");
  const std::vector<std::string> had =
      read.executeStep() ? SplitNames(read.getColumn(0).getText()) : std::vector<std::string>{};
  if (use == Use::kLook && settings_.names.empty()) {
    settings_.names = had;
    if (settings_.classes.empty()) settings_.classes.resize(had.size());
    return;
  }
  if (had.size() > settings_.names.size() || !std::equal(had.begin(), had.end(), settings_.names.begin())) {
    throw StoreError(StoreError::Kind::kCorrupt, settings_.file + ": its jobs are of the classes " +
                                                     Join(had) + "; the configuration has " +
                                                     Join(settings_.names) +
                                                     ", and may only add to their end");
  }
  if (use != Use::kServe || had.size() == settings_.names.size()) return;
  SQLite::Statement write(*impl_->db, "INSERT OR REPLACE INTO meta VALUES('classes', ?)");
  write.bind(1, Join(settings_.names));
  write.exec();
}

void SqliteStore::Append(const std::vector<Record>& records) {
  const std::string body = Encode(records);
  Guarded("writing", [&] {
    SQLite::Statement& row = *impl_->append;
    row.tryReset();
    row.bind(1, next_);
    row.bind(2, SumOf(body));
    row.bindNoCopy(3, body.data(), static_cast<int>(body.size()));
    row.exec();
    row.tryReset();  // a statement that is not reset keeps its transaction open
    ++next_;
  });
}

void SqliteStore::PutApplied(const Applied& a) {
  SQLite::Statement write(*impl_->db, "INSERT OR REPLACE INTO meta VALUES('applied', ?)");
  write.bind(1, std::to_string(a.index) + " " + std::to_string(a.life) + " " + std::to_string(a.number));
  write.exec();
}

Applied SqliteStore::applied() const {
  return Guarded("reading", [&] {
    Applied a;
    SQLite::Statement read(*impl_->db, "SELECT value FROM meta WHERE name='applied'");
    if (read.executeStep())
      std::istringstream(read.getColumn(0).getString()) >> a.index >> a.life >> a.number;
    return a;
  });
}

void SqliteStore::LeaveLog() {
  if (applied().index != 0) Guarded("writing", [&] { PutApplied({}); });
}

void SqliteStore::AppendAt(const std::vector<Record>& records, const Applied& applied) {
  Guarded("writing", [&] {
    SQLite::Database& db = *impl_->db;
    db.exec("PRAGMA synchronous=NORMAL");
    SQLite::Transaction whole(db);
    Append(records);
    PutApplied(applied);
    whole.commit();
  });
}

void SqliteStore::Refill(Micros clock_broke, const std::vector<std::pair<std::string, Job>>& jobs,
                         const Applied& applied) {
  Guarded("filling", [&] {
    SQLite::Database& db = *impl_->db;
    SQLite::Transaction whole(db);
    db.exec("DELETE FROM journal");
    db.exec("DELETE FROM jobs");
    SQLite::Statement put(db, "INSERT INTO jobs VALUES(?, ?, ?)");
    for (const auto& [id, job] : jobs) {
      const std::string body = Encode(job);
      put.reset();
      put.bind(1, id);
      put.bind(2, SumOf(body));
      put.bindNoCopy(3, body.data(), static_cast<int>(body.size()));
      put.exec();
    }
    put.tryReset();
    if (clock_broke > 0) {
      SQLite::Statement clock(db, "INSERT OR REPLACE INTO meta VALUES('clock_broke', ?)");
      clock.bind(1, clock_broke);
      clock.exec();
    }
    PutApplied(applied);
    whole.commit();
    first_ = next_;
  });
}

void SqliteStore::Read(const Reader& reader) {
  const auto corrupt = [this](const std::string& place, const char* what) {
    return StoreError(StoreError::Kind::kCorrupt, settings_.file + ": " + place + ": " + what);
  };
  Guarded("reading", [&] {
    SQLite::Database& db = *impl_->db;
    SQLite::Transaction one_moment(db);  // however much is written meanwhile
    SQLite::Statement clock(db, "SELECT value FROM meta WHERE name='clock_broke'");
    if (clock.executeStep() && reader.clock) reader.clock(clock.getColumn(0).getInt64());
    SQLite::Statement at(db, "SELECT value FROM meta WHERE name='applied'");
    if (reader.applied && at.executeStep()) {
      Applied a;
      std::istringstream(at.getColumn(0).getString()) >> a.index >> a.life >> a.number;
      reader.applied(a);
    }
    SQLite::Statement jobs(db, "SELECT id, sum, body FROM jobs");
    while (jobs.executeStep()) {
      const std::string id = jobs.getColumn(0).getString(), place = "job " + id;
      const std::string_view body = BodyOf(jobs, 2);
      if (SumOf(body) != jobs.getColumn(1).getInt64()) throw corrupt(place, "the sum does not match");
      auto job = DecodeJob(body);
      if (!job) throw corrupt(place, "it cannot be read");
      if (!reader.job(id, std::move(*job))) throw corrupt(place, "it cannot be as it is");
    }
    SQLite::Statement journal(db, "SELECT number, sum, body FROM journal ORDER BY number");
    while (journal.executeStep()) {
      const std::string place = "journal row " + std::to_string(journal.getColumn(0).getInt64());
      const std::string_view body = BodyOf(journal, 2);
      if (SumOf(body) != journal.getColumn(1).getInt64()) throw corrupt(place, "the sum does not match");
      const auto records = DecodeRecords(body);
      if (!records) throw corrupt(place, "it cannot be read");
      for (const Record& r : *records) {
        if (!reader.record(r)) throw corrupt(place, "a record cannot follow what is there");
      }
    }
  });
}

// The journal's first rows and the jobs that they concern make a small book; what it holds then replaces
// them.
std::size_t SqliteStore::Fold(std::size_t most, std::size_t keep) {
  return Guarded("folding", [&]() -> std::size_t {
    // Rows go from the front alone, so that their numbers tell how many there are.
    const auto rows = static_cast<std::size_t>(next_ - first_);
    if (rows <= keep) return 0;
    SQLite::Database& db = *impl_->db;
    // A fold that a crash undoes is made again: it needs no sync of its own, and the next commit's covers it.
    db.exec("PRAGMA synchronous=NORMAL");
    struct Again {
      SQLite::Database& db;
      ~Again() { db.tryExec("PRAGMA synchronous=FULL"); }
    } again{db};
    SQLite::Transaction whole(db);
    JobBook book(settings_.classes);
    std::map<std::string, bool> touched;  // whether it stands in `jobs`
    SQLite::Statement journal(db, "SELECT number, body FROM journal ORDER BY number");
    SQLite::Statement job(db, "SELECT body FROM jobs WHERE id=?");
    std::int64_t last = 0;
    std::size_t records = 0, folded = 0;
    while (records < most && folded < rows - keep && journal.executeStep()) {
      const auto batch = DecodeRecords(BodyOf(journal, 1));
      if (!batch)
        throw StoreError(StoreError::Kind::kCorrupt, settings_.file + ": journal: a row cannot be read");
      for (const Record& r : *batch) {
        if (!r.id.empty() && !touched.contains(r.id)) {
          job.reset();
          job.bind(1, r.id);
          const bool there = job.executeStep();
          touched[r.id] = there;
          auto before = there ? DecodeJob(BodyOf(job, 0)) : std::nullopt;
          if (there && (!before || !book.Restore(r.id, std::move(*before))))
            throw StoreError(StoreError::Kind::kCorrupt,
                             settings_.file + ": job " + r.id + ": it cannot be read");
        }
        if (!book.Apply(r))
          throw StoreError(StoreError::Kind::kCorrupt,
                           settings_.file + ": journal: a record of " + r.id + " cannot follow");
      }
      last = journal.getColumn(0).getInt64();
      records += batch->size();
      ++folded;
    }
    SQLite::Statement put(db, "INSERT OR REPLACE INTO jobs VALUES(?, ?, ?)");
    SQLite::Statement erase(db, "DELETE FROM jobs WHERE id=?");
    for (const auto& [id, there] : touched) {
      const Job* now = book.Find(id);
      if (now == nullptr && !there) continue;  // taken and over within these rows
      SQLite::Statement& write = now != nullptr ? put : erase;
      write.reset();
      write.bind(1, id);
      std::string body;
      if (now != nullptr) {
        body = Encode(*now);
        write.bind(2, SumOf(body));
        write.bindNoCopy(3, body.data(), static_cast<int>(body.size()));
      }
      write.exec();
    }
    SQLite::Statement cut(db, "DELETE FROM journal WHERE number<=?");
    cut.bind(1, last);
    cut.exec();
    if (book.clock_broke() > 0) {
      SQLite::Statement clock(db, "INSERT OR REPLACE INTO meta VALUES('clock_broke', ?)");
      clock.bind(1, book.clock_broke());
      clock.exec();
    }
    journal.tryReset();
    job.tryReset();
    whole.commit();
    first_ = last + 1;
    return rows - folded - keep;
  });
}

std::vector<Order> SqliteStore::TakeOrders() {
  return Guarded("reading orders", [&] {
    std::vector<Order> out;
    SQLite::Database& db = *impl_->db;
    SQLite::Statement read(db, "SELECT number, verb, id FROM orders ORDER BY number");
    while (read.executeStep())
      out.push_back(
          {read.getColumn(0).getInt64(), read.getColumn(1).getString(), read.getColumn(2).getString()});
    if (out.empty()) return out;
    SQLite::Statement cut(db, "DELETE FROM orders WHERE number<=?");
    cut.bind(1, out.back().number);
    cut.exec();
    return out;
  });
}

void SqliteStore::LeaveOrder(const std::string& verb, const std::string& id) {
  Guarded("leaving an order", [&] {
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
  Guarded("checking", [&] {
    SQLite::Statement check(*impl_->db, "PRAGMA integrity_check");
    while (check.executeStep()) {
      if (const std::string line = check.getColumn(0).getString(); line != "ok")
        out.push_back("SQLite: " + line);
    }
  });
  JobBook book(settings_.classes);
  try {
    Read({[&](Micros at) { book.set_clock_broke(at); },
          [&](const std::string& id, Job job) { return book.Restore(id, std::move(job)); },
          [&](const Record& r) { return book.Apply(r); }});
  } catch (const StoreError& e) {
    out.push_back(e.what());
  }
  return out;
}

void SqliteStore::Snapshot(const std::string& to) {
  if (std::filesystem::exists(to)) throw StoreError(StoreError::Kind::kDenied, to + ": it is there already");
  Guarded("copying", [&] {
    SQLite::Statement copy(*impl_->db, "VACUUM INTO ?");
    copy.bind(1, to);
    copy.exec();
  });
}

bool SqliteStore::Served(const std::string& file) {
  const int fd = Lock(file);
  if (fd >= 0) close(fd);
  return fd == -2;
}

}  // namespace heronway::durable
