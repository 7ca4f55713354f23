// Detects restarts of targets that discovery could not report because it was unreachable: a target's host
// refuses a connection, and a later connection to the same target succeeds. Has no clock and no I/O.
#ifndef HERONWAY_DISCOVERY_RESTART_DETECTOR_H_
#define HERONWAY_DISCOVERY_RESTART_DETECTOR_H_

#include <unordered_map>

#include "src/core/reducer.h"

namespace heronway::discovery {

class RestartDetector {
 public:
  // Records that the target's host refused a connection.
  void ConnectionRefused(core::TargetId target, core::Micros now) { refused_at_[target] = now; }
  // Records that a connection to the target was established. Returns true if the target must have restarted
  // since its host last refused a connection and discovery, which last answered at `last_answer_at`, has not
  // answered since that refusal.
  bool ConnectionEstablished(core::TargetId target, core::Micros last_answer_at) {
    const auto it = refused_at_.find(target);
    if (it == refused_at_.end()) return false;
    const bool unreported = last_answer_at < it->second;
    refused_at_.erase(it);
    return unreported;
  }

 private:
  std::unordered_map<core::TargetId, core::Micros> refused_at_;  // the latest refusal by each target's host
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_RESTART_DETECTOR_H_
