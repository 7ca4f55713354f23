// What goes through a group's log: batches of records, and a store whole, as its snapshot.
#ifndef HERONWAY_CLUSTER_COPIES_DUMP_H_
#define HERONWAY_CLUSTER_COPIES_DUMP_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/durable/sqlite_store.h"

namespace heronway::cluster::copies {

// A batch is proposed again until it is known to be committed, so it may be there twice: the second time it
// is passed over. `life`: of the process that proposed it; `number`: counts up in it.
struct Batch {
  std::uint64_t life = 0, number = 0;
  std::string records;  // as durable::Encode has them
};
std::string Encode(const Batch& batch);
std::optional<Batch> DecodeBatch(std::string_view bytes);

struct Dump {
  std::vector<std::string> classes;  // names, in their order
  durable::Applied applied;          // where the store stood in its log
  durable::Micros clock_broke = 0;
  std::vector<std::pair<std::string, durable::Job>> jobs;
};
std::string Encode(const Dump& dump);
std::optional<Dump> DecodeDump(std::string_view bytes);
// Everything that a store holds. Throws durable::StoreError.
Dump DumpOf(durable::SqliteStore& store);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_DUMP_H_
