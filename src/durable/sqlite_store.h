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
  enum class Use {
    kServe,  // alone: creates and upgrades it
    kLook,   // reads, and leaves orders, whoever serves
  };
  struct Settings {
    std::string file;
    std::vector<std::string> names;  // the classes', in their order. Empty with kLook: those it has
    std::vector<ClassRules> classes;
    std::uint64_t most_bytes = 0;  // of the store on disk; 0: no bound but the disk's
  };
  // Throws StoreError: kBusy where another serves, kCorrupt where it is no store or of other classes.
  SqliteStore(Settings settings, Use use);
  ~SqliteStore() override;

  void Append(const std::vector<Record>& records) override;
  // Of a replicated log: with where they stand in it, in one commit. Not synced by itself: after a crash of
  // the machine the store may be behind, and the log has the rest.
  void AppendAt(const std::vector<Record>& records, const Applied& applied);
  Applied applied() const;  // all 0: the store has no replicated log
  void LeaveLog();  // it is written without one from here on: what was its log does not follow any more
  // Puts these jobs in the place of all that it holds.
  void Refill(Micros clock_broke, const std::vector<std::pair<std::string, Job>>& jobs,
              const Applied& applied);
  void Read(const Reader& reader) override;
  std::size_t Fold(std::size_t most, std::size_t keep) override;
  std::vector<Order> TakeOrders() override;
  std::uint64_t bytes() const override;
  std::uint64_t most_bytes() const override { return settings_.most_bytes; }

  // Of the log's end, bytes that no whole commit covers: what a crash tore off, or left of older commits.
  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t recovered() const { return recovered_; }  // pages that a crash had left in the log
  const std::string& file() const { return settings_.file; }
  const std::vector<std::string>& names() const { return settings_.names; }
  const std::vector<ClassRules>& classes() const { return settings_.classes; }
  void LeaveOrder(const std::string& verb, const std::string& id);
  // Everything that can be found wrong, a line each: SQLite's own checks, sums, forms, orders.
  std::vector<std::string> Verify();
  // A consistent copy in a new file, while others serve from this one. Throws StoreError.
  void Snapshot(const std::string& to);
  // Whether some program serves from the file now.
  static bool Served(const std::string& file);

  static constexpr int kVersion = 2;

 private:
  struct Impl;
  void Open(Use use);
  void Upgrade();
  void CheckClasses(Use use);
  void PutApplied(const Applied& applied);
  template <typename F>
  auto Guarded(const char* doing, F f) const;

  Settings settings_;
  std::unique_ptr<Impl> impl_;
  std::uint64_t dropped_ = 0, recovered_ = 0;
  std::int64_t first_ = 1, next_ = 1;  // rows of the journal; one program alone adds to it
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_SQLITE_STORE_H_
