// Settings of durable jobs, as `src/config/options` reads them from the section `durable`.
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
  std::string folder;  // where the stores are: faktory.db, http.db. Must be there
  // A holder's time from its last sign of life. Faktory's workers beat every 15 s.
  pebblenotch::Micros lease = 60'000'000;
  pebblenotch::Micros grace = 30'000'000;  // after a start, for those that held a lease before, at least
  pebblenotch::Micros keep_finished = 3'600'000'000;         // answers
  std::map<std::string, pebblenotch::Micros> keep_by_class;  // by class, where it is another time
  pebblenotch::Micros keep_failed = 2'592'000'000'000;       // failed jobs, with what they were
  int max_active = 256;                   // jobs that are with the decision module at a time
  std::int64_t max_unfinished = 200'000;  // jobs without an answer; over it new ones are refused
  int max_leases = 30;                    // of one job: one that ends worker after worker is given up
  std::int64_t max_store_mb = 4096;       // of each store on disk
  // Where copies are kept: given a front's store before it is read, and what is to be written to instead.
  std::function<std::unique_ptr<Store>(const std::string& front, std::unique_ptr<SqliteStore> store)>
      replicate;
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_SETTINGS_H_
