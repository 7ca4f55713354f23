// Settings of durable jobs. `src/config/options` reads them from the section `durable`; the names of its keys
// stand there.
#ifndef HERONWAY_DURABLE_SETTINGS_H_
#define HERONWAY_DURABLE_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pebblenotch/brain.h"

namespace heronway::durable {

class SqliteStore;
class Store;

struct Settings {
  bool enabled = false;
  std::string folder;  // of the store files faktory.db and http.db; must exist
  // Duration of a lease, counted from the worker's last sign of life. Faktory's workers beat every 15 s.
  pebblenotch::Micros lease = 60'000'000;
  // Minimum time after a start in which workers can confirm the leases that they held before.
  pebblenotch::Micros grace = 30'000'000;
  pebblenotch::Micros keep_finished = 3'600'000'000;         // retention of results
  std::map<std::string, pebblenotch::Micros> keep_by_class;  // overrides keep_finished, by class name
  pebblenotch::Micros keep_failed = 2'592'000'000'000;       // retention of failed jobs and their payloads
  int max_active = 256;                   // jobs dispatched to the decision module at a time
  std::int64_t max_unfinished = 200'000;  // jobs without a result; above it new ones are rejected
  int max_leases = 30;               // per job; bounds the workers that a job which crashes them can reach
  std::int64_t max_store_mb = 4096;  // size on disk of each store
  // Set where stores are replicated: takes a front's local store before it is read, and returns the store to
  // write to instead. Null otherwise.
  std::function<std::unique_ptr<Store>(const std::string& front, std::unique_ptr<SqliteStore> store)>
      replicate;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_SETTINGS_H_
