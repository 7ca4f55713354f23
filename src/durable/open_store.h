// A front's store, opened and read: what a start with durable jobs begins with.
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
  bool replicated = false;  // stored means: on a majority of the copies
  std::uint64_t recovered_pages = 0,
                dropped_bytes = 0;  // pages and bytes of the log that a crash left, as SqliteStore has
};

// The store of the front with this name: FOLDER/NAME.db. Nothing where durable jobs are off. Throws
// StoreError that names the file, and the place in it, at fault; nothing is changed then.
OpenedStore OpenStore(const Settings& settings, const std::string& name,
                      const std::vector<std::string>& class_names, const pebblenotch::Settings& site,
                      std::uint64_t seed);
std::string StorePath(const std::string& folder, const std::string& name);

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_OPEN_STORE_H_
