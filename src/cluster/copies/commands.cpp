#include "src/cluster/copies/commands.h"

#include <cstdio>
#include <filesystem>
#include <memory>

#include "src/cluster/copies/replica_manager.h"
#include "src/cluster/members_tool.h"
#include "src/durable/codec.h"

namespace heronway::cluster::copies {
namespace {

log::Index LastIndex(const StoredGroup& g) {
  return (g.log.snapshot == nullptr ? 0 : g.log.snapshot->index) + g.log.entries.size();
}
log::Term LastTerm(const StoredGroup& g) {
  if (!g.log.entries.empty()) return g.log.entries.back()->term;
  return g.log.snapshot == nullptr ? 0 : g.log.snapshot->term;
}

std::vector<StoredGroup> ReadGroups(const std::string& folder) {
  if (!std::filesystem::exists(ReplicaStore::FilePath(folder)))
    throw std::runtime_error(ReplicaStore::FilePath(folder) + ": there are no copies in this folder");
  ReplicaStore store(
      folder, [] {}, true);
  return store.Read();
}

}  // namespace

int ListCopies(const std::string& console, bool json) {
  int status = 0;
  const auto response = FetchConsoleJson(console, "/v1/copies", json, status);
  if (!response) return status;
  const Json::Value& all = *response;
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
    // A leader does not always run the jobs: the owner may be gone and no member has taken them over yet.
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
  for (const StoredGroup& g : ReadGroups(folder)) {
    std::string servers;
    for (const auto& [id, server] : g.servers) servers += (servers.empty() ? "" : " ") + server.first;
    std::printf("%-44s %10llu %10llu %9llu  %s\n", g.group.c_str(),
                static_cast<unsigned long long>(LastTerm(g)), static_cast<unsigned long long>(LastIndex(g)),
                static_cast<unsigned long long>(g.log.snapshot == nullptr ? 0 : g.log.snapshot->index),
                servers.c_str());
  }
  return 0;
}

int RestoreCopy(const std::string& folder, const std::string& group, const std::string& to) {
  if (std::filesystem::exists(to)) throw std::runtime_error(to + ": the file exists already");
  for (const StoredGroup& g : ReadGroups(folder)) {
    if (g.group != group) continue;
    if (g.log.snapshot == nullptr)
      throw std::runtime_error(group + ": this copy is incomplete; use another copy");
    const auto contents = DecodeStoreContents(g.log.snapshot->data);
    if (!contents) throw std::runtime_error(group + ": the snapshot is corrupt; use another copy");
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
      if (!records) throw std::runtime_error(group + ": an entry is corrupt; use another copy");
      if (!IsEffective(*batch, applied)) continue;  // a duplicate, or of an epoch that is over
      applied.epoch = batch->epoch;
      applied.number = batch->number;
      store.Append(*records);
      ++batches;
    }
    std::printf(
        "%s: created from the copy of %s up to entry %llu of term %llu (%zu jobs in the snapshot, %zu "
        "batches after it).\nWhat other copies have after that entry is lost: compare with heronway copies "
        "show, and restore from another copy if it has more.\n",
        to.c_str(), group.c_str(), static_cast<unsigned long long>(LastIndex(g)),
        static_cast<unsigned long long>(LastTerm(g)), contents->jobs.size(), batches);
    return 0;
  }
  throw std::runtime_error(folder + " has no copy of " + group);
}

}  // namespace heronway::cluster::copies
