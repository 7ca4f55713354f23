// How fast connections are accepted: a token bucket. What waits stays in the listener's backlog, in the order
// in which it came, so that a call-back behind a crowd waits no longer than the backlog at this pace.
#ifndef HERONWAY_LIMITS_ACCEPT_PACER_H_
#define HERONWAY_LIMITS_ACCEPT_PACER_H_

#include <algorithm>

#include "src/limits/settings.h"

namespace heronway::limits {

class AcceptPacer {
 public:
  explicit AcceptPacer(const AcceptSettings& settings) : settings_(settings), tokens_(settings.burst) {}

  // Whether a connection may be accepted now; `Accepted` says that one was.
  bool MayAccept(Micros now) {
    if (settings_.per_s <= 0) return true;
    if (filled_ >= 0 && now > filled_) {
      const double passed = static_cast<double>(now - filled_) / 1e6;
      tokens_ = std::min(settings_.burst, tokens_ + settings_.per_s * passed);
    }
    filled_ = std::max(filled_, now);
    if (tokens_ < 1) {
      ++delayed_;
      return false;
    }
    return true;
  }
  void Accepted() {
    if (settings_.per_s > 0) tokens_ -= 1;
  }
  std::uint64_t delayed() const { return delayed_; }  // times that a connection had to wait

 private:
  AcceptSettings settings_;
  double tokens_;
  Micros filled_ = -1;
  std::uint64_t delayed_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_ACCEPT_PACER_H_
