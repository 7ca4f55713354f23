// What goes through a group's log: batches of records, and a store whole, as its snapshot.
#ifndef HERONWAY_CLUSTER_COPIES_LOG_CONTENT_H_
#define HERONWAY_CLUSTER_COPIES_LOG_CONTENT_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/cluster/log/log.h"
#include "src/durable/sqlite_store.h"

namespace heronway::cluster::copies {

// A batch is proposed again until it is known to be committed, so it may be there twice: the second time it
// is passed over. `life`: of the hold under which it was proposed; `number`: counts up in it.
//
// Number 0 takes hold of the group: from there on batches of that life alone count, until another takes
// hold. That is the fence against a process that stood still or was cut off and goes on as if it held the
// group: what it proposes then is in the log, perhaps, and counts for nothing anywhere.
struct Batch {
  std::uint64_t epoch = 0, number = 0;
  std::string records;  // as durable::Encode has them
};
// In the life of each hold. Lives without it are of programs that knew no fence: each new one counts.
inline constexpr std::uint64_t kFencedEpoch = std::uint64_t{1} << 63;
std::string Encode(const Batch& batch);
std::optional<Batch> DecodeBatch(std::string_view bytes);
// Whether it counts where a store stands at `at`.
bool IsEffective(const Batch& batch, const durable::Applied& applied);

struct StoreContents {
  std::vector<std::string> classes;  // names, in their order
  durable::Applied applied;          // where the store stood in its log
  durable::Micros clock_stepped_at = 0;
  std::vector<std::pair<std::string, durable::Job>> jobs;
};
std::string Encode(const StoreContents& contents);
std::optional<StoreContents> DecodeStoreContents(std::string_view bytes);
// Everything that a store holds. Throws durable::StoreError.
StoreContents ReadContents(durable::SqliteStore& store);

// What a log says from some entry on: its snapshot, and the entries behind it or behind that entry.
struct LogSection {
  log::SnapshotPtr snapshot;
  log::Index first = 1;  // of `entries`
  std::vector<log::EntryPtr> entries;
};
LogSection ReadLog(const log::Log& log, log::Index after, log::Index last);
// Puts a store where its log says. Gives where it stands then. Throws durable::StoreError.
durable::Applied CatchUp(durable::SqliteStore& store, const LogSection& section);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_LOG_CONTENT_H_
