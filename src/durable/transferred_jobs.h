// Durable jobs that come as a whole from another scheduler, or from another process of this one, with the
// store that keeps them from here on.
#ifndef HERONWAY_DURABLE_TRANSFERRED_JOBS_H_
#define HERONWAY_DURABLE_TRANSFERRED_JOBS_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/durable/store.h"

namespace heronway::durable {

struct TransferredJobs {
  std::string group;  // of copies
  std::string front;
  bool returned = false;  // this scheduler's own, which another looked after meanwhile
  std::unique_ptr<Store> store;
  std::vector<std::pair<std::string, Job>> jobs;
  Micros clock_stepped_at = 0;  // what may have run up to then ran by another's clock
};

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_TRANSFERRED_JOBS_H_
