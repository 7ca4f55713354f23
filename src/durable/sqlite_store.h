// Implements Store on SQLite in WAL mode, with one journal row per commit.
//
//   meta     name, value: "classes" (class names), "clock_broke" (clock_stepped_at), "applied" (log position)
//   journal  number, sum, body: the records of a commit, with the XXH3 checksum of the body
//   jobs     id, sum, body: a job as of the last compaction of the journal
//   orders   number, verb, id: commands of operators' tools to the serving process
//
// The schema version is SQLite's user_version. One process serves from a store and holds a lock on FILE.lock;
// other processes may read the store at the same time and queue commands.
#ifndef HERONWAY_DURABLE_SQLITE_STORE_H_
#define HERONWAY_DURABLE_SQLITE_STORE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/durable/store.h"

namespace heronway::durable {

class SqliteStore : public Store {
 public:
  enum class Mode {
    kServe,    // exclusive; creates or upgrades the store
    kInspect,  // reads and queues commands, also while another process serves
  };
  struct Settings {
    std::string file;
    std::vector<std::string>
        class_names;  // of the job classes, by number. Empty with kInspect: those in the store
    std::vector<ClassRules> class_rules;
    std::uint64_t max_bytes = 0;  // size limit on disk; 0: none
  };
  // Throws StoreError: kBusy if another process serves from the file, kCorrupt if it is no store, has another
  // schema version or other classes.
  SqliteStore(Settings settings, Mode mode);
  ~SqliteStore() override;

  void Append(const std::vector<Record>& records) override;
  // Appends records of a replicated log and their position in it, in one commit. The commit is not synced:
  // after a crash of the machine the store may be behind the log, which has the missing records.
  void AppendAt(const std::vector<Record>& records, const Applied& applied);
  Applied applied() const;
  // Marks the store as written without a replicated log, whose later entries then no longer apply to it.
  void ClearApplied();
  // Replaces all jobs and records.
  void ReplaceContents(Micros clock_stepped_at, const std::vector<std::pair<std::string, Job>>& jobs,
                       const Applied& applied);
  void Read(const Reader& reader) override;
  std::size_t Compact(std::size_t max_records, std::size_t keep_rows) override;
  std::vector<OperatorCommand> TakeCommands() override;
  std::uint64_t bytes() const override;
  std::uint64_t max_bytes() const override { return settings_.max_bytes; }

  // Bytes at the end of the write-ahead log that belong to no complete commit: torn by a crash, or of older
  // commits.
  std::uint64_t dropped_bytes() const { return dropped_bytes_; }
  // Pages that were recovered from the write-ahead log after a crash.
  std::uint64_t recovered_pages() const { return recovered_pages_; }
  const std::string& file() const { return settings_.file; }
  const std::vector<std::string>& class_names() const { return settings_.class_names; }
  const std::vector<ClassRules>& class_rules() const { return settings_.class_rules; }
  // Queues an operator's command for the serving process.
  void QueueCommand(const std::string& verb, const std::string& id);
  // Returns a line for each error found by SQLite's integrity check or while reading and replaying all rows.
  std::vector<std::string> Verify();
  // Writes a consistent copy to a new file, also while a process serves from this one. Throws StoreError.
  void Snapshot(const std::string& to);
  // Whether a process serves from the file now.
  static bool IsServed(const std::string& file);

  static constexpr int kSchemaVersion = 2;

 private:
  struct Impl;
  void Open(Mode mode);
  void Upgrade();
  void CheckClassNames(Mode mode);
  void WriteApplied(const Applied& applied);
  template <typename F>
  auto TranslateErrors(const char* operation, F f) const;

  Settings settings_;
  std::unique_ptr<Impl> impl_;
  std::uint64_t dropped_bytes_ = 0, recovered_pages_ = 0;
  std::int64_t first_row_ = 1, next_row_ = 1;  // of the journal; only the serving process adds rows
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_SQLITE_STORE_H_
