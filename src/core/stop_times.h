// The times of a graceful shutdown, all counted from SIGTERM and all taken from the settings.
//
// The program may be killed as early as its longest deadline (kLongestDeadlineHonored at most) and kLateArrivalWindow after
// SIGTERM. Whatever it has read by then has had its final answer.
#ifndef HERONWAY_CORE_STOP_TIMES_H_
#define HERONWAY_CORE_STOP_TIMES_H_

#include <algorithm>

#include "pebblenotch/brain.h"

namespace heronway::core {

using pebblenotch::Micros;

struct StopTimes {
  // The protocol: clients that have not heard of the stop may still come for so long,
  static constexpr Micros kLateArrivalWindow = 700'000;
  // and a deadline counts as no longer than this for the kill.
  static constexpr Micros kLongestDeadlineHonored = 3'000'000;
  // Between the last answers and the earliest kill: a process may be held up for 0.15 s between two steps.
  static constexpr Micros kMinMargin = 200'000, kMaxMargin = 400'000;

  Micros earliest_kill = 0;
  Micros answers_due = 0;    // every request has its final answer; what comes later is refused at once
  Micros close_idle = 0;     // until then clients find their idle connections open
  Micros earliest_exit = 0;  // with nothing left to answer

  static StopTimes From(const pebblenotch::Settings& settings) {
    Micros longest = 0;
    for (const auto& c : settings.classes) longest = std::max(longest, c.deadline);
    StopTimes times;
    times.earliest_kill = std::min(longest, kLongestDeadlineHonored) + kLateArrivalWindow;
    times.answers_due = times.earliest_kill - std::clamp(times.earliest_kill / 4, kMinMargin, kMaxMargin);
    // Late enough that clients find another process first, early enough that few come when all is refused.
    times.close_idle = times.earliest_kill * 16 / 37;
    times.earliest_exit = std::min(kLateArrivalWindow, times.answers_due);
    return times;
  }
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_STOP_TIMES_H_
