// Summarises a public cluster trace (the task events of Google's 2011 trace, CSV) in the core's terms: SUBMIT
// is the arrival of a request, SCHEDULE a hop, and the event that ends a task its outcome. The trace is read
// as a stream, and no requests are sent.
#ifndef HERONWAY_TRACE_TRACE_H_
#define HERONWAY_TRACE_TRACE_H_

#include <array>
#include <cstdint>
#include <istream>
#include <stdexcept>
#include <string>
#include <unordered_map>

#include "src/core/reducer.h"

namespace heronway::trace {

// A malformed or unreadable trace; `what()` names the line and the fault.
class TraceError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Totals of a trace. `first` and `last` are timestamps of the trace in microseconds; `first` is -1 while no
// line has been read.
struct Summary {
  std::uint64_t lines = 0;
  std::uint64_t arrived = 0, hops = 0, updates = 0;
  std::array<std::uint64_t, 8> outcomes{};  // number of tasks by core::Result
  std::array<std::uint64_t, 4> by_class{};  // arrivals by scheduling class, 0 to 3
  std::uint64_t waiting = 0, running = 0;   // at the end of the trace
  std::uint64_t targets = 0;                // machines with at least one hop
  core::Micros first = -1, last = 0;
  double longest_wait_s = 0, mean_wait_s = 0;  // from arrival to the first hop
};

// Reads a trace line by line.
class Reader {
 public:
  // Adds one line; `number` is its line number, for error messages. Throws TraceError.
  void AddLine(const std::string& line, std::uint64_t number);
  Summary Finish();

 private:
  struct Task {
    core::Micros arrived = 0;
    bool running = false, hopped = false;
  };
  Summary summary_;
  double total_wait_s_ = 0;
  std::uint64_t waits_counted_ = 0;
  std::unordered_map<std::string, Task> open_tasks_;  // waiting and running tasks, by "job/index"
  std::unordered_map<std::string, bool> targets_;
};

// Reads a whole trace. Throws TraceError.
Summary Read(std::istream& in);
// Multi-line text for the terminal.
std::string ToText(const Summary& summary);

}  // namespace heronway::trace

#endif  // HERONWAY_TRACE_TRACE_H_
