// The content of a group's log: batches of job records, and the contents of a store as a snapshot.
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

// A batch is proposed again until it is known to be committed, so the log may contain it twice; the second
// one is ignored. `epoch` is the claim under which it was proposed, and `number` counts up within the epoch.
//
// Number 0 claims the group: from there on only batches of that epoch count, until the next claim. This
// fences off a process that was paused or partitioned and continues as if it still served the group: its late
// proposals may get into the log, but no member applies them.
struct Batch {
  std::uint64_t epoch = 0, number = 0;
  std::string records;  // as encoded by durable::Encode
};
// Set in the epoch of each claim. Epochs without it come from program versions without fencing: there, each
// new epoch counts.
inline constexpr std::uint64_t kFencedEpoch = std::uint64_t{1} << 63;
std::string Encode(const Batch& batch);
std::optional<Batch> DecodeBatch(std::string_view bytes);
// Whether a batch takes effect on a store whose position is `applied`.
bool IsEffective(const Batch& batch, const durable::Applied& applied);

struct StoreContents {
  std::vector<std::string> classes;  // names, in the store's order
  durable::Applied applied;          // the store's position in its log
  durable::Micros clock_stepped_at = 0;
  std::vector<std::pair<std::string, durable::Job>> jobs;
};
std::string Encode(const StoreContents& contents);
std::optional<StoreContents> DecodeStoreContents(std::string_view bytes);
// Reads everything in a store. Throws durable::StoreError.
StoreContents ReadContents(durable::SqliteStore& store);

// The part of a log after a given entry: the snapshot if it is newer than that entry, and the entries after
// the snapshot or the given entry.
struct LogSection {
  log::SnapshotPtr snapshot;
  log::Index first = 1;  // index of the first of `entries`
  std::vector<log::EntryPtr> entries;
};
// Returns the section after `after`, up to and including `last`.
LogSection ReadLog(const log::Log& log, log::Index after, log::Index last);
// Applies a section of its log to a store. Returns the store's new position. Throws durable::StoreError.
durable::Applied CatchUp(durable::SqliteStore& store, const LogSection& section);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_LOG_CONTENT_H_
