// Decides when a frame that has not been answered is sent again. Has no clock and no I/O.
#ifndef HERONWAY_CLUSTER_COPIES_RESEND_SCHEDULE_H_
#define HERONWAY_CLUSTER_COPIES_RESEND_SCHEDULE_H_

#include <algorithm>

#include "pebblenotch/brain.h"

namespace heronway::cluster::copies {

using pebblenotch::Micros;

// A connection that has just failed loses frames, so the first repetition comes soon. A member that is slow
// gets the following ones at ever longer intervals. Times are of a monotonic clock, in microseconds.
class ResendSchedule {
 public:
  // The frame was sent at `now` for the first time.
  explicit ResendSchedule(Micros now) : due_at_(now + kFirstInterval) {}
  // Whether the frame is to be sent again at `now`. If so, it counts as sent.
  bool TakeDue(Micros now) {
    if (now < due_at_) return false;
    interval_ = std::min(2 * interval_, kMaxInterval);
    due_at_ = now + interval_;
    return true;
  }

  static constexpr Micros kFirstInterval = 50'000, kMaxInterval = 800'000;

 private:
  Micros interval_ = kFirstInterval, due_at_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_RESEND_SCHEDULE_H_
