// Limits the rate at which connections are accepted, with a token bucket. Waiting connections stay in the
// listener's backlog in arrival order, so that a callback connection behind a burst of clients waits no
// longer than it takes to accept the backlog at this rate.
#ifndef HERONWAY_LIMITS_ACCEPT_PACER_H_
#define HERONWAY_LIMITS_ACCEPT_PACER_H_

#include <algorithm>

#include "src/limits/settings.h"

namespace heronway::limits {

class AcceptPacer {
 public:
  explicit AcceptPacer(const AcceptSettings& settings) : settings_(settings), tokens_(settings.burst) {}

  // Whether a connection may be accepted now. The caller reports an accepted one with Accepted().
  bool MayAccept(Micros now) {
    if (settings_.per_s <= 0) return true;
    if (refilled_at_ >= 0 && now > refilled_at_) {
      const double elapsed_s = static_cast<double>(now - refilled_at_) / 1e6;
      tokens_ = std::min(settings_.burst, tokens_ + settings_.per_s * elapsed_s);
    }
    refilled_at_ = std::max(refilled_at_, now);
    if (tokens_ < 1) {
      ++delayed_;
      return false;
    }
    return true;
  }
  void Accepted() {
    if (settings_.per_s > 0) tokens_ -= 1;
  }
  std::uint64_t delayed() const { return delayed_; }  // how often a connection had to wait

 private:
  AcceptSettings settings_;
  double tokens_;
  Micros refilled_at_ = -1;
  std::uint64_t delayed_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_ACCEPT_PACER_H_
