// Restarts of targets that discovery cannot tell, as it is not heard: nobody listened at a target's
// address, and then somebody does. Pure: it has no clock and no I/O.
#ifndef HERONWAY_DISCOVERY_UNHEARD_RESTARTS_H_
#define HERONWAY_DISCOVERY_UNHEARD_RESTARTS_H_

#include <unordered_map>

#include "src/core/reducer.h"

namespace heronway::discovery {

class UnheardRestarts {
 public:
  // A dial to the target was refused by its machine.
  void Refused(core::TargetId target, core::Micros now) { refused_[target] = now; }
  // A connection to it has come up. True: it has started since it refused the last dial, and discovery, heard
  // last at `heard`, could not say so.
  bool CameUp(core::TargetId target, core::Micros heard) {
    const auto it = refused_.find(target);
    if (it == refused_.end()) return false;
    const bool unheard = heard < it->second;
    refused_.erase(it);
    return unheard;
  }

 private:
  std::unordered_map<core::TargetId, core::Micros> refused_;  // when, the last time
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_UNHEARD_RESTARTS_H_
