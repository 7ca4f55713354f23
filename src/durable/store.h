// Interface of the storage of durable jobs: a journal of records, and a table of the jobs as of the last
// compaction of the journal. It is small so that tests can inject a fault into every write.
#ifndef HERONWAY_DURABLE_STORE_H_
#define HERONWAY_DURABLE_STORE_H_

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "src/durable/job_table.h"

namespace heronway::durable {

// A failed operation of a store. The message names the file and the place in it.
class StoreError : public std::runtime_error {
 public:
  enum class Kind {
    kFull,     // no space left on the disk or within the configured limit
    kDenied,   // read-only, missing folder or missing permission
    kBusy,     // another process has the store open for serving
    kCorrupt,  // wrong checksum, undecodable row or impossible sequence of records
    kOther
  };
  StoreError(Kind kind_, const std::string& what) : std::runtime_error(what), kind(kind_) {}
  Kind kind;
};

// The position in its replicated log up to which a store is written: the log entry, and the last batch in it
// by its writer's epoch and number (`cluster.copies`). All 0: the store belongs to no log.
struct Applied {
  std::uint64_t index = 0, epoch = 0, number = 0;
};

class Store {
 public:
  virtual ~Store() = default;
  // Writes all records in one synced commit; they are durable when it returns. Throws StoreError, and then
  // none of them is written.
  virtual void Append(const std::vector<Record>& records) = 0;
  // Receives the contents of a store. `job` and `record` return false if the item is invalid at this point.
  struct Reader {
    std::function<void(Micros clock_stepped_at)> clock;
    std::function<bool(const std::string& id, Job job)> job;
    std::function<bool(const Record& record)> record;
    std::function<void(const Applied& applied)> applied = nullptr;
  };
  // Reads everything in the order in which a JobTable can load it: the compacted jobs, then the journal.
  // Throws StoreError that names the faulty row.
  virtual void Read(const Reader& reader) = 0;
  // Moves up to about `max_records` of the journal's oldest records into the jobs table, leaving at least
  // `keep_rows` rows in the journal. Returns approximately how many rows above that remain. Throws
  // StoreError.
  virtual std::size_t Compact(std::size_t max_records, std::size_t keep_rows) = 0;
  // Removes and returns the commands that operators' tools have queued. Throws StoreError.
  virtual std::vector<OperatorCommand> TakeCommands() = 0;
  // Bytes in use on disk, and their limit; 0: unlimited.
  virtual std::uint64_t bytes() const = 0;
  virtual std::uint64_t max_bytes() const = 0;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_STORE_H_
