// Reads a public cluster trace (the task events of Google's 2011 trace, CSV) in the core's terms: a SUBMIT is
// a request that arrives, a SCHEDULE a hop, what ends it an outcome. Streaming; it sends nothing.
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

// `what()` names the line and the fault.
class TraceError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Summary {
  std::uint64_t lines = 0;
  std::uint64_t arrived = 0, hops = 0, updates = 0;
  std::array<std::uint64_t, 8> outcomes{};  // by pebblenotch::Result
  std::array<std::uint64_t, 4> by_class{};  // arrivals by scheduling class, 0 to 3
  std::uint64_t waiting = 0, running = 0;   // at the end of the trace
  std::uint64_t targets = 0;                // machines that took a hop
  core::Micros first = -1, last = 0;
  double longest_wait_s = 0, mean_wait_s = 0;  // from arrival to the first hop
};

// One line of the trace; `number` is for the message. Throws TraceError.
class Reader {
 public:
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
  std::unordered_map<std::string, Task> open_tasks_;  // tasks that wait or run, by job and index
  std::unordered_map<std::string, bool> targets_;
};

Summary Read(std::istream& in);
std::string ToText(const Summary& summary);

}  // namespace heronway::trace

#endif  // HERONWAY_TRACE_TRACE_H_
