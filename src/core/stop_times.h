// Deadlines of a graceful shutdown, relative to SIGTERM and derived from the settings.
//
// The process may be killed as early as its longest class deadline (at most kLongestDeadlineHonored) plus
// kLateArrivalWindow after SIGTERM. Every request that it has read by then has had its final answer.
#ifndef HERONWAY_CORE_STOP_TIMES_H_
#define HERONWAY_CORE_STOP_TIMES_H_

#include <algorithm>

#include "pebblenotch/brain.h"

namespace heronway::core {

using pebblenotch::Micros;

// Points of a shutdown, in microseconds after SIGTERM.
struct StopTimes {
  // Clients that have not noticed the shutdown may keep sending for this long (set by the protocol).
  static constexpr Micros kLateArrivalWindow = 700'000;
  // Class deadlines above this don't postpone the kill (set by the protocol).
  static constexpr Micros kLongestDeadlineHonored = 3'000'000;
  // Margin between the last answers and the earliest kill: the process may stall for 0.15 s between steps.
  static constexpr Micros kMinMargin = 200'000, kMaxMargin = 400'000;

  Micros earliest_kill = 0;
  Micros answers_due = 0;    // every request has its final answer; later arrivals are shed at once
  Micros close_idle = 0;     // idle client connections stay open until then
  Micros earliest_exit = 0;  // if no request is unanswered

  static StopTimes From(const pebblenotch::Settings& settings) {
    Micros longest = 0;
    for (const auto& c : settings.classes) longest = std::max(longest, c.deadline);
    StopTimes times;
    times.earliest_kill = std::min(longest, kLongestDeadlineHonored) + kLateArrivalWindow;
    times.answers_due = times.earliest_kill - std::clamp(times.earliest_kill / 4, kMinMargin, kMaxMargin);
    // Late enough that clients find another process first, early enough that few requests arrive after
    // answers_due.
    times.close_idle = times.earliest_kill * 16 / 37;
    times.earliest_exit = std::min(kLateArrivalWindow, times.answers_due);
    return times;
  }
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_STOP_TIMES_H_
