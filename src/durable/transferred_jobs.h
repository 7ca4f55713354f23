// The durable jobs of one replicated group, as they are transferred from another scheduler or from an earlier
// process of this one, together with the store that keeps them from then on.
#ifndef HERONWAY_DURABLE_TRANSFERRED_JOBS_H_
#define HERONWAY_DURABLE_TRANSFERRED_JOBS_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/durable/store.h"

namespace heronway::durable {

struct TransferredJobs {
  std::string group;      // the replication group
  std::string front;      // the front that serves the jobs
  bool returned = false;  // this scheduler's own jobs, which another one served in the meantime
  std::unique_ptr<Store> store;
  std::vector<std::pair<std::string, Job>> jobs;  // by id
  Micros clock_stepped_at = 0;  // times up to here were taken with another clock; see JobManager::Adopt
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_TRANSFERRED_JOBS_H_
