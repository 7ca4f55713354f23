// Compares three embedded stores on the workload of durable jobs: records of a few hundred bytes, many per
// synced commit, overwritten once and deleted later, and then a full read as in recovery. The baseline is a
// plain loop of synced appends on the same disk, the upper limit for group commit. Prints a table.
#include <fcntl.h>
#include <lmdb.h>
#include <rocksdb/db.h>
#include <rocksdb/write_batch.h>
#include <sqlite3.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <pcg_random.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
double SecondsSince(Clock::time_point began) {
  return std::chrono::duration<double>(Clock::now() - began).count();
}

struct Write {
  std::uint64_t job;
  std::string_view value;  // empty: the job is deleted
};

// A store under test: synced commits and a full read.
class Store {
 public:
  virtual ~Store() = default;
  virtual void Commit(const std::vector<Write>& writes) = 0;
  virtual std::size_t ReadAll() = 0;  // returns the number of records
};

void Check(bool ok, const std::string& what) {
  if (!ok) throw std::runtime_error(what);
}
std::string KeyOf(std::uint64_t job) {  // big-endian, so that keys sort by number
  std::string key(8, '\0');
  for (int i = 7; i >= 0; --i, job >>= 8) key[static_cast<std::size_t>(i)] = static_cast<char>(job);
  return key;
}

class Bare : public Store {
 public:
  explicit Bare(const std::string& folder)
      : path_(folder + "/log"), fd_(open(path_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600)) {
    Check(fd_ >= 0, "bare: open");
  }
  ~Bare() override { close(fd_); }
  void Commit(const std::vector<Write>& writes) override {
    std::string out;
    for (const Write& w : writes) (out += KeyOf(w.job)) += w.value;
    Check(write(fd_, out.data(), out.size()) == static_cast<ssize_t>(out.size()), "bare: write");
    Check(fdatasync(fd_) == 0, "bare: sync");
  }
  std::size_t ReadAll() override { return 0; }

 private:
  std::string path_;
  int fd_;
};

class Sqlite : public Store {
 public:
  explicit Sqlite(const std::string& folder) {
    Check(sqlite3_open((folder + "/db").c_str(), &db_) == SQLITE_OK, "sqlite: open");
    for (const char* sql : {"PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL",
                            "CREATE TABLE jobs (id INTEGER PRIMARY KEY, record BLOB NOT NULL) STRICT"})
      Run(sql);
    Check(sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO jobs VALUES (?, ?)", -1, &put_, nullptr) ==
                  SQLITE_OK &&
              sqlite3_prepare_v2(db_, "DELETE FROM jobs WHERE id = ?", -1, &erase_, nullptr) == SQLITE_OK,
          sqlite3_errmsg(db_));
  }
  ~Sqlite() override {
    sqlite3_finalize(put_);
    sqlite3_finalize(erase_);
    sqlite3_close(db_);
  }
  void Commit(const std::vector<Write>& writes) override {
    Run("BEGIN IMMEDIATE");
    for (const Write& w : writes) {
      sqlite3_stmt* s = w.value.empty() ? erase_ : put_;
      sqlite3_bind_int64(s, 1, static_cast<std::int64_t>(w.job));
      if (!w.value.empty())
        sqlite3_bind_blob(s, 2, w.value.data(), static_cast<int>(w.value.size()), SQLITE_STATIC);
      Check(sqlite3_step(s) == SQLITE_DONE, sqlite3_errmsg(db_));
      sqlite3_reset(s);
    }
    Run("COMMIT");
  }
  std::size_t ReadAll() override {
    sqlite3_stmt* s = nullptr;
    sqlite3_prepare_v2(db_, "SELECT id, record FROM jobs", -1, &s, nullptr);
    std::size_t n = 0, bytes = 0;
    for (; sqlite3_step(s) == SQLITE_ROW; ++n) bytes += static_cast<std::size_t>(sqlite3_column_bytes(s, 1));
    sqlite3_finalize(s);
    return bytes > 0 ? n : 0;
  }

 private:
  void Run(const char* sql) {
    Check(sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sqlite3_errmsg(db_));
  }
  sqlite3* db_ = nullptr;
  sqlite3_stmt *put_ = nullptr, *erase_ = nullptr;
};

class Lmdb : public Store {
 public:
  explicit Lmdb(const std::string& folder) {
    Check(mdb_env_create(&env_) == 0, "lmdb: create");
    mdb_env_set_mapsize(env_, 4ULL << 30);
    Check(mdb_env_open(env_, folder.c_str(), 0, 0600) == 0, "lmdb: open");
    MDB_txn* txn = nullptr;
    Check(mdb_txn_begin(env_, nullptr, 0, &txn) == 0 && mdb_dbi_open(txn, nullptr, 0, &db_) == 0 &&
              mdb_txn_commit(txn) == 0,
          "lmdb: begin");
  }
  ~Lmdb() override { mdb_env_close(env_); }
  void Commit(const std::vector<Write>& writes) override {
    MDB_txn* txn = nullptr;
    Check(mdb_txn_begin(env_, nullptr, 0, &txn) == 0, "lmdb: begin");
    for (const Write& w : writes) {
      std::string key = KeyOf(w.job);
      MDB_val k{key.size(), key.data()}, v{w.value.size(), const_cast<char*>(w.value.data())};
      const int rc = w.value.empty() ? mdb_del(txn, db_, &k, nullptr) : mdb_put(txn, db_, &k, &v, 0);
      Check(rc == 0 || rc == MDB_NOTFOUND, mdb_strerror(rc));
    }
    Check(mdb_txn_commit(txn) == 0, "lmdb: commit");
  }
  std::size_t ReadAll() override {
    MDB_txn* txn = nullptr;
    MDB_cursor* cursor = nullptr;
    Check(mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn) == 0 && mdb_cursor_open(txn, db_, &cursor) == 0,
          "lmdb: read");
    std::size_t n = 0;
    std::string copy;
    for (MDB_val k, v; mdb_cursor_get(cursor, &k, &v, MDB_NEXT) == 0; ++n)
      copy.assign(static_cast<const char*>(v.mv_data), v.mv_size);
    mdb_cursor_close(cursor);
    mdb_txn_abort(txn);
    return n;
  }

 private:
  MDB_env* env_ = nullptr;
  MDB_dbi db_ = 0;
};

class Rocks : public Store {
 public:
  explicit Rocks(const std::string& folder) {
    rocksdb::Options options;
    options.create_if_missing = true;
    options.IncreaseParallelism(1);
    rocksdb::DB* db = nullptr;
    const auto status = rocksdb::DB::Open(options, folder, &db);
    Check(status.ok(), status.ToString());
    db_.reset(db);
  }
  void Commit(const std::vector<Write>& writes) override {
    rocksdb::WriteBatch batch;
    for (const Write& w : writes) {
      if (w.value.empty()) {
        batch.Delete(KeyOf(w.job));
      } else {
        batch.Put(KeyOf(w.job), rocksdb::Slice(w.value.data(), w.value.size()));
      }
    }
    rocksdb::WriteOptions synced;
    synced.sync = true;
    const auto status = db_->Write(synced, &batch);
    Check(status.ok(), status.ToString());
  }
  std::size_t ReadAll() override {
    const std::unique_ptr<rocksdb::Iterator> it(db_->NewIterator({}));
    std::size_t n = 0;
    for (it->SeekToFirst(); it->Valid(); it->Next()) ++n;
    return n;
  }

 private:
  std::unique_ptr<rocksdb::DB> db_;
};

std::unique_ptr<Store> OpenStore(const std::string& which, const std::string& folder) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  if (which == "bare") return std::make_unique<Bare>(folder);
  if (which == "sqlite") return std::make_unique<Sqlite>(folder);
  if (which == "lmdb") return std::make_unique<Lmdb>(folder);
  return std::make_unique<Rocks>(folder);
}

std::size_t SizeOf(const std::string& folder) {
  std::size_t sum = 0;
  for (const auto& f : std::filesystem::recursive_directory_iterator(folder))
    sum += f.is_regular_file() ? f.file_size() : 0;
  return sum;
}

}  // namespace

int main(int argc, char** argv) {
  std::string folder = "store-bench.tmp";
  double seconds = 1;
  std::size_t record = 400, open_jobs = 100'000;
  int rounds = 3;
  CLI::App app{"store_bench: embedded stores on the workload of durable jobs"};
  app.add_option("--folder", folder, "Folder of the stores; removed at the end");
  app.add_option("--seconds", seconds, "Duration of each row and round");
  app.add_option("--record", record, "Size of a record in bytes");
  app.add_option("--open", open_jobs, "Number of jobs in the full read");
  app.add_option("--rounds", rounds);
  CLI11_PARSE(app, argc, argv);
  const std::vector<std::string> stores = {"bare", "sqlite", "lmdb", "rocksdb"};
  pcg32 random(20261201);
  const std::string value(record, 'r');
  std::printf("%-8s %5s %12s %9s %9s %9s %7s\n", "store", "batch", "records/s", "p50 ms", "p99 ms", "max ms",
              "of bare");
  for (const std::size_t batch : {1, 16, 128}) {
    std::vector<std::vector<double>> rates(stores.size()), commits(stores.size());
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t s = 0; s < stores.size(); ++s) {
        const auto store = OpenStore(stores[s], folder);
        std::uint64_t next = 1, written = 0;
        const auto began = Clock::now();
        while (SecondsSince(began) < seconds) {
          // Half of the writes are new jobs, a quarter updates and a quarter deletions of older ones.
          std::vector<Write> writes;
          for (std::size_t i = 0; i < batch; ++i) {
            const std::uint64_t old = next > 1 ? 1 + random(static_cast<std::uint32_t>(next)) : 1;
            if (i % 4 < 2) {
              writes.push_back({next++, value});
            } else {
              writes.push_back({old, i % 4 == 2 ? std::string_view(value) : std::string_view()});
            }
          }
          const auto commit = Clock::now();
          store->Commit(writes);
          commits[s].push_back(1e3 * SecondsSince(commit));
          written += batch;
        }
        rates[s].push_back(static_cast<double>(written) / SecondsSince(began));
      }
    }
    for (std::size_t s = 0; s < stores.size(); ++s) {
      std::sort(rates[s].begin(), rates[s].end());
      std::sort(commits[s].begin(), commits[s].end());
      const double rate = rates[s][rates[s].size() / 2];
      std::printf("%-8s %5zu %12.0f %9.3f %9.3f %9.3f %7.2f\n", stores[s].c_str(), batch, rate,
                  commits[s][commits[s].size() / 2], commits[s][commits[s].size() * 99 / 100],
                  commits[s].back(), rate / rates[0][rates[0].size() / 2]);
    }
  }
  std::printf("%-8s %9s %12s %12s\n", "store", "records", "read ms", "bytes each");
  for (const char* which : {"sqlite", "lmdb", "rocksdb"}) {
    std::size_t n = 0;
    double ms = 0;
    {
      const auto store = OpenStore(which, folder);
      for (std::uint64_t next = 1; next <= open_jobs;) {
        std::vector<Write> writes;
        for (int i = 0; i < 1000 && next <= open_jobs; ++i) writes.push_back({next++, value});
        store->Commit(writes);
      }
      const auto began = Clock::now();
      n = store->ReadAll();
      ms = 1e3 * SecondsSince(began);
    }
    std::printf("%-8s %9zu %12.1f %12.0f\n", which, n, ms,
                static_cast<double>(SizeOf(folder)) / static_cast<double>(n));
  }
  std::filesystem::remove_all(folder);
}
