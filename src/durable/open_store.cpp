#include "src/durable/open_store.h"

#include <algorithm>

#include "src/durable/sqlite_store.h"

namespace heronway::durable {

std::string StorePath(const std::string& folder, const std::string& name) {
  return folder + "/" + name + ".db";
}

OpenedStore OpenStore(const Settings& settings, const std::string& name,
                      const std::vector<std::string>& class_names, const pebblenotch::Settings& site,
                      std::uint64_t seed) {
  if (!settings.enabled) return {};
  auto classes = JobManager::BuildClassRules(settings, site);
  for (const auto& [class_name, keep_finished] : settings.keep_by_class) {
    const auto at = std::find(class_names.begin(), class_names.end(), class_name);
    if (at == class_names.end())
      throw StoreError(StoreError::Kind::kOther,
                       "durable.keep_class_ms." + class_name + ": the site has no class of this name");
    classes[static_cast<std::size_t>(at - class_names.begin())].keep_finished = keep_finished;
  }
  OpenedStore out;
  auto job_manager = std::make_unique<JobManager>(settings, classes, seed);
  auto store = std::make_unique<SqliteStore>(
      SqliteStore::Settings{StorePath(settings.folder, name), class_names, classes,
                            static_cast<std::uint64_t>(settings.max_store_mb) * 1024 * 1024},
      SqliteStore::Mode::kServe);
  out.recovered_pages = store->recovered_pages();
  out.dropped_bytes = store->dropped_bytes();
  out.replicated = settings.replicate != nullptr;
  // Without replication the store diverges from its replicated log. Clearing the position prevents the log
  // from being applied to it if replication is enabled again.
  if (!out.replicated) store->ClearApplied();
  out.store = out.replicated ? settings.replicate(name, std::move(store)) : std::move(store);
  out.store->Read(
      {[&](Micros at) { job_manager->SetClockSteppedAt(at); },
       [&](const std::string& id, Job job) { return job_manager->RestoreJob(id, std::move(job)); },
       [&](const Record& r) { return job_manager->ReplayRecord(r); }});
  out.job_manager = std::move(job_manager);
  return out;
}

}  // namespace heronway::durable
