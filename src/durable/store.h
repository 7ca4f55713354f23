// Where durable jobs are kept: a journal of records, and the jobs as they stood when the journal was folded
// into them last. The interface is small so that tests can put faults into every write.
#ifndef HERONWAY_DURABLE_STORE_H_
#define HERONWAY_DURABLE_STORE_H_

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "src/durable/job_table.h"

namespace heronway::durable {

// What is wrong with a store; names the file and the place in it.
class StoreError : public std::runtime_error {
 public:
  enum class Kind {
    kFull,     // no room: on the disk, or within the bound that is set
    kDenied,   // read-only, no such folder, no permission
    kBusy,     // another program serves from it
    kCorrupt,  // a checksum, a form or an order that can't be
    kOther
  };
  StoreError(Kind kind_, const std::string& what) : std::runtime_error(what), kind(kind_) {}
  Kind kind;
};

// Up to where a store has what its replicated log says: the entry, and the last batch of it
// (`cluster.copies`).
struct Applied {
  std::uint64_t index = 0, epoch = 0, number = 0;
};

class Store {
 public:
  virtual ~Store() = default;
  // All in one synced commit: when it returns they are there for good. Throws StoreError, and none is.
  virtual void Append(const std::vector<Record>& records) = 0;
  // Everything, in an order in which a book can take it: the jobs that were folded, then the journal. Throws
  // StoreError that names the row at fault.
  struct Reader {
    std::function<void(Micros clock_stepped_at)> clock;
    std::function<bool(const std::string& id, Job job)> job;
    std::function<bool(const Record& record)> record;  // false: it can't follow
    std::function<void(const Applied& applied)> applied = nullptr;
  };
  virtual void Read(const Reader& reader) = 0;
  // Folds up to so many of the journal's records into the jobs. How many are left over `keep`, roughly.
  virtual std::size_t Compact(std::size_t max_records, std::size_t keep_rows) = 0;
  // Words that came from tools since, and are taken out.
  virtual std::vector<OperatorCommand> TakeCommands() = 0;
  // Bytes in use, and the bound on them; 0: none.
  virtual std::uint64_t bytes() const = 0;
  virtual std::uint64_t max_bytes() const = 0;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_STORE_H_
