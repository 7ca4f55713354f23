#include "src/durable/open.h"

#include <algorithm>

#include "src/durable/sqlite_store.h"

namespace heronway::durable {

std::string FileOf(const std::string& folder, const std::string& name) { return folder + "/" + name + ".db"; }

Opened Open(const Settings& settings, const std::string& name, const std::vector<std::string>& class_names,
            const pebblenotch::Settings& site, std::uint64_t seed) {
  if (!settings.enabled) return {};
  auto classes = Keeper::RulesOf(settings, site);
  for (const auto& [class_name, keep] : settings.keep_of) {
    const auto at = std::find(class_names.begin(), class_names.end(), class_name);
    if (at == class_names.end())
      throw StoreError(StoreError::Kind::kOther,
                       "durable.keep_class_ms." + class_name + " names no class of the site");
    classes[static_cast<std::size_t>(at - class_names.begin())].keep = keep;
  }
  Opened out;
  auto keeper = std::make_unique<Keeper>(settings, classes, seed);
  auto store = std::make_unique<SqliteStore>(
      SqliteStore::Settings{FileOf(settings.folder, name), class_names, classes,
                            static_cast<std::uint64_t>(settings.most_store_mb) * 1024 * 1024},
      SqliteStore::Use::kServe);
  out.recovered = store->recovered();
  out.dropped = store->dropped();
  out.copied = settings.copied != nullptr;
  // Guards copies that are switched off and on again: what is written meanwhile is in no log.
  if (!out.copied) store->LeaveLog();
  out.store = out.copied ? settings.copied(name, std::move(store)) : std::move(store);
  out.store->Read({[&](Micros at) { keeper->SetClockBroke(at); },
                   [&](const std::string& id, Job job) { return keeper->Restore(id, std::move(job)); },
                   [&](const Record& r) { return keeper->Replay(r); }});
  out.keeper = std::move(keeper);
  return out;
}

}  // namespace heronway::durable
