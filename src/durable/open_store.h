// Opens a front's store at startup and loads its jobs into a new job manager.
#ifndef HERONWAY_DURABLE_OPEN_STORE_H_
#define HERONWAY_DURABLE_OPEN_STORE_H_

#include <memory>
#include <string>
#include <vector>

#include "src/durable/job_manager.h"
#include "src/durable/store.h"

namespace heronway::durable {

struct OpenedStore {
  std::unique_ptr<Store> store;
  std::unique_ptr<JobManager> job_manager;
  bool replicated = false;  // a record counts as stored once a majority of the replicas has it
  // What a crash left in the write-ahead log; see SqliteStore.
  std::uint64_t recovered_pages = 0, dropped_bytes = 0;
};

// Opens FOLDER/NAME.db, the store of the front `name`. The result is empty if durable jobs are disabled.
// Throws StoreError that names the file and the place at fault; the stored data is then unchanged.
OpenedStore OpenStore(const Settings& settings, const std::string& name,
                      const std::vector<std::string>& class_names, const pebblenotch::Settings& site,
                      std::uint64_t seed);
std::string StorePath(const std::string& folder, const std::string& name);

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_OPEN_STORE_H_
