#include "src/cluster/copies/commands.h"

#include <cstdio>
#include <filesystem>
#include <memory>

#include "src/cluster/copies/replica_manager.h"
#include "src/cluster/members_tool.h"
#include "src/durable/codec.h"

namespace heronway::cluster::copies {
namespace {

log::Index LastOf(const StoredGroup& g) {
  return (g.log.snapshot == nullptr ? 0 : g.log.snapshot->index) + g.log.entries.size();
}
log::Term LastTermOf(const StoredGroup& g) {
  if (!g.log.entries.empty()) return g.log.entries.back()->term;
  return g.log.snapshot == nullptr ? 0 : g.log.snapshot->term;
}

std::vector<StoredGroup> GroupsIn(const std::string& folder) {
  if (!std::filesystem::exists(ReplicaStore::FilePath(folder)))
    throw std::runtime_error(ReplicaStore::FilePath(folder) + ": no copies are kept there");
  ReplicaStore disk(
      folder, [] {}, true);
  return disk.Read();
}

}  // namespace

int ListCopies(const std::string& console, bool json) {
  int status = 0;
  const auto answer = FetchConsoleJson(console, "/v1/copies", json, status);
  if (!answer) return status;
  const Json::Value& all = *answer;
  if (!all["fault"].asString().empty()) std::printf("fault: %s\n", all["fault"].asCString());
  std::printf("%-44s %-13s %-16s %5s %10s %10s  %s\n", "GROUP", "ROLE", "LEADER", "TERM", "COMMITTED", "LAST",
              "COPIES (member:on disk, ~ does not vote)");
  for (const Json::Value& g : all["groups"]) {
    std::string servers;
    for (const Json::Value& s : g["servers"]) {
      servers += (servers.empty() ? "" : " ") + std::string(s["votes"].asBool() ? "" : "~") +
                 s["member"].asString() +
                 (s["on_disk"].isNull() ? "" : ":" + std::to_string(s["on_disk"].asUInt64()));
    }
    // Led and run are two things: its owner may be away, and nobody has taken its jobs over.
    const std::string role = g["role"].asString() + (g["held"].asBool() ? ",holds" : "");
    std::printf("%-44s %-13s %-16s %5llu %10llu %10llu  %s\n", g["group"].asCString(), role.c_str(),
                g["leader"].asCString(), static_cast<unsigned long long>(g["term"].asUInt64()),
                static_cast<unsigned long long>(g["committed"].asUInt64()),
                static_cast<unsigned long long>(g["last"].asUInt64()), servers.c_str());
  }
  return 0;
}

int ShowCopies(const std::string& folder) {
  std::printf("%-44s %10s %10s %9s  %s\n", "GROUP", "LAST TERM", "LAST", "SNAPSHOT", "SERVERS");
  for (const StoredGroup& g : GroupsIn(folder)) {
    std::string servers;
    for (const auto& [id, who] : g.servers) servers += (servers.empty() ? "" : " ") + who.first;
    std::printf("%-44s %10llu %10llu %9llu  %s\n", g.group.c_str(),
                static_cast<unsigned long long>(LastTermOf(g)), static_cast<unsigned long long>(LastOf(g)),
                static_cast<unsigned long long>(g.log.snapshot == nullptr ? 0 : g.log.snapshot->index),
                servers.c_str());
  }
  return 0;
}

int RestoreCopy(const std::string& folder, const std::string& group, const std::string& to) {
  if (std::filesystem::exists(to)) throw std::runtime_error(to + ": it is there already");
  for (const StoredGroup& g : GroupsIn(folder)) {
    if (g.group != group) continue;
    if (g.log.snapshot == nullptr)
      throw std::runtime_error(group + ": this copy never had the whole; take another");
    const auto contents = DecodeStoreContents(g.log.snapshot->data);
    if (!contents) throw std::runtime_error(group + ": its snapshot cannot be read; take another copy");
    durable::SqliteStore store(
        {to, contents->classes, std::vector<durable::ClassRules>(contents->classes.size()), 0},
        durable::SqliteStore::Mode::kServe);
    store.ReplaceContents(contents->clock_stepped_at, contents->jobs, {});
    durable::Applied applied = contents->applied;
    std::size_t batches = 0;
    for (const log::EntryPtr& e : g.log.entries) {
      if (e->kind != log::EntryKind::kData) continue;
      const auto batch = DecodeBatch(e->data);
      const auto records = batch ? durable::DecodeRecords(batch->records) : std::nullopt;
      if (!records) throw std::runtime_error(group + ": an entry cannot be read; take another copy");
      if (!IsEffective(*batch, applied)) continue;  // proposed twice, or by one that held the group no more
      applied.epoch = batch->epoch;
      applied.number = batch->number;
      store.Append(*records);
      ++batches;
    }
    std::printf(
        "%s: made of the copy of %s up to entry %llu of term %llu (%zu jobs in the snapshot, %zu batches "
        "behind it).\nWhat other copies have beyond that entry is lost, unless one of them is taken "
        "instead: compare with heronway copies show.\n",
        to.c_str(), group.c_str(), static_cast<unsigned long long>(LastOf(g)),
        static_cast<unsigned long long>(LastTermOf(g)), contents->jobs.size(), batches);
    return 0;
  }
  throw std::runtime_error(folder + " has no copy of " + group);
}

}  // namespace heronway::cluster::copies
