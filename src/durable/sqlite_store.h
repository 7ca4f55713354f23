// The store on SQLite in WAL mode: one row of the journal a commit, however many records share it.
//
//   meta     name, value: the classes' names, when the clock broke
//   journal  number, sum, body: a commit's records, with the XXH3 of the body
//   jobs     id, sum, body: a job as it stood when the journal before was folded
//   orders   number, verb, id: words of tools to the program that serves
//
// The version is SQLite's user_version. One program serves from a store (it holds a lock on FILE.lock);
// others may read it meanwhile, and leave orders.
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
    kServe,    // alone: creates and upgrades it
    kInspect,  // reads, and leaves orders, whoever serves
  };
  struct Settings {
    std::string file;
    std::vector<std::string> class_names;  // the classes', in their order. Empty with kLook: those it has
    std::vector<ClassRules> class_rules;
    std::uint64_t max_bytes = 0;  // of the store on disk; 0: no bound but the disk's
  };
  // Throws StoreError: kBusy where another serves, kCorrupt where it is no store or of other classes.
  SqliteStore(Settings settings, Mode mode);
  ~SqliteStore() override;

  void Append(const std::vector<Record>& records) override;
  // Of a replicated log: with where they stand in it, in one commit. Not synced by itself: after a crash of
  // the machine the store may be behind, and the log has the rest.
  void AppendAt(const std::vector<Record>& records, const Applied& applied);
  Applied applied() const;  // all 0: the store has no replicated log
  void ClearApplied();  // it is written without one from here on: what was its log does not follow any more
  // Puts these jobs in the place of all that it holds.
  void ReplaceContents(Micros clock_stepped_at, const std::vector<std::pair<std::string, Job>>& jobs,
                       const Applied& applied);
  void Read(const Reader& reader) override;
  std::size_t Compact(std::size_t max_records, std::size_t keep_rows) override;
  std::vector<OperatorCommand> TakeCommands() override;
  std::uint64_t bytes() const override;
  std::uint64_t max_bytes() const override { return settings_.max_bytes; }

  // Of the log's end, bytes that no whole commit covers: what a crash tore off, or left of older commits.
  std::uint64_t dropped_bytes() const { return dropped_bytes_; }
  std::uint64_t recovered_pages() const {
    return recovered_pages_;
  }  // pages that a crash had left in the log
  const std::string& file() const { return settings_.file; }
  const std::vector<std::string>& class_names() const { return settings_.class_names; }
  const std::vector<ClassRules>& class_rules() const { return settings_.class_rules; }
  void QueueCommand(const std::string& verb, const std::string& id);
  // Everything that can be found wrong, a line each: SQLite's own checks, sums, forms, orders.
  std::vector<std::string> Verify();
  // A consistent copy in a new file, while others serve from this one. Throws StoreError.
  void Snapshot(const std::string& to);
  // Whether some program serves from the file now.
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
  std::int64_t first_row_ = 1, next_row_ = 1;  // rows of the journal; one program alone adds to it
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_SQLITE_STORE_H_
