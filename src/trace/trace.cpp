#include "src/trace/trace.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <string_view>
#include <vector>

namespace heronway::trace {
namespace {

using core::Result;

// Columns of task_events: time, missing info, job, index, machine, event, user, class, priority, CPU, memory,
// disk, different-machine constraint.
enum Column : std::size_t {
  kTime = 0,
  kJob = 2,
  kIndex = 3,
  kMachine = 4,
  kEvent = 5,
  kClass = 7,
  kColumns = 13
};
enum EventType { kSubmit, kSchedule, kEvict, kFail, kFinish, kKill, kLost, kUpdatePending, kUpdateRunning };

constexpr std::size_t kMaxLineBytes = 4096;

[[noreturn]] void ThrowAtLine(std::uint64_t line, const std::string& what) {
  throw TraceError("trace: line " + std::to_string(line) + ": " + what);
}

std::vector<std::string_view> SplitCells(std::string_view line) {
  std::vector<std::string_view> cells;
  for (;;) {
    const auto comma = std::min(line.find(','), line.size());
    cells.push_back(line.substr(0, comma));
    if (comma == line.size()) return cells;
    line.remove_prefix(comma + 1);
  }
}

std::uint64_t ParseNumber(std::string_view cell, const char* name, std::uint64_t line) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(cell.data(), cell.data() + cell.size(), value);
  if (cell.empty() || error != std::errc() || end != cell.data() + cell.size())
    ThrowAtLine(line, std::string(name) + " is not a whole number");
  return value;
}

// An evicted or lost task was taken away from its target without a request; a killed one was cancelled.
std::optional<Result> OutcomeOf(std::uint64_t event) {
  switch (event) {
    case kEvict:
    case kLost:
      return Result::kReset;
    case kFail:
      return Result::kError;
    case kFinish:
      return Result::kOk;
    case kKill:
      return Result::kCancelled;
    default:
      return std::nullopt;
  }
}

}  // namespace

void Reader::AddLine(const std::string& line, std::uint64_t number) {
  ++summary_.lines;
  if (line.size() > kMaxLineBytes) ThrowAtLine(number, "longer than 4096 bytes");
  std::string_view text = line;
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  const auto cells = SplitCells(text);
  if (cells.size() != kColumns)
    ThrowAtLine(number, std::to_string(cells.size()) + " columns, not " + std::to_string(kColumns));
  const std::uint64_t stamp = ParseNumber(cells[kTime], "the time", number);
  const std::uint64_t event = ParseNumber(cells[kEvent], "the event type", number);
  ParseNumber(cells[kJob], "the job", number);
  ParseNumber(cells[kIndex], "the task index", number);
  if (event > kUpdateRunning) ThrowAtLine(number, "the event type is not one of 0 to 8");
  // The trace marks events after its end with the largest timestamp, which is not a time.
  const bool has_time = stamp < (1ULL << 62);
  const auto now = has_time ? static_cast<core::Micros>(stamp) : summary_.last;
  if (now < summary_.last) ThrowAtLine(number, "the time goes backwards");
  if (summary_.first < 0) summary_.first = now;
  summary_.last = now;
  const std::string task = std::string(cells[kJob]) + "/" + std::string(cells[kIndex]);
  if (event == kSubmit) {
    const std::uint64_t job_class = ParseNumber(cells[kClass], "the scheduling class", number);
    if (job_class > 3) ThrowAtLine(number, "the scheduling class is not one of 0 to 3");
    ++summary_.arrived;
    ++summary_.by_class[job_class];
    open_tasks_[task] = {now, false, false};
  } else if (event == kSchedule) {
    if (!cells[kMachine].empty()) targets_[std::string(cells[kMachine])] = true;
    ++summary_.hops;
    const auto [it, inserted] = open_tasks_.try_emplace(task);
    // The wait is unknown if the task was submitted before the trace began.
    if (!inserted && !it->second.hopped) {
      const double wait = static_cast<double>(now - it->second.arrived) / 1e6;
      total_wait_s_ += wait;
      ++waits_counted_;
      summary_.longest_wait_s = std::max(summary_.longest_wait_s, wait);
    }
    it->second.running = it->second.hopped = true;
  } else if (const auto outcome = OutcomeOf(event)) {
    ++summary_.outcomes[static_cast<std::size_t>(*outcome)];
    open_tasks_.erase(task);
  } else {
    ++summary_.updates;
  }
}

Summary Reader::Finish() {
  for (const auto& [task, state] : open_tasks_) ++(state.running ? summary_.running : summary_.waiting);
  summary_.targets = targets_.size();
  summary_.mean_wait_s = waits_counted_ == 0 ? 0 : total_wait_s_ / static_cast<double>(waits_counted_);
  return summary_;
}

Summary Read(std::istream& in) {
  Reader reader;
  std::uint64_t number = 0;
  for (std::string line; std::getline(in, line);) reader.AddLine(line, ++number);
  if (in.bad()) throw TraceError("trace: cannot be read after line " + std::to_string(number));
  return reader.Finish();
}

std::string ToText(const Summary& s) {
  const auto n = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
  const auto outcome = [&](Result r) { return n(s.outcomes[static_cast<std::size_t>(r)]); };
  char text[1024];
  std::snprintf(text, sizeof text,
                "lines            %llu\nspan             %.3f s\nrequests arrived %llu\n  by class 0-3   "
                "%llu %llu %llu "
                "%llu\nhops             %llu on %llu targets\noutcomes         ok %llu, error %llu, reset "
                "%llu, cancelled "
                "%llu\nupdates          %llu\nat the end       %llu waiting, %llu running\nwait for a hop   "
                "mean %.3f s, "
                "longest %.3f s\n",
                n(s.lines), s.first < 0 ? 0.0 : static_cast<double>(s.last - s.first) / 1e6, n(s.arrived),
                n(s.by_class[0]), n(s.by_class[1]), n(s.by_class[2]), n(s.by_class[3]), n(s.hops),
                n(s.targets), outcome(Result::kOk), outcome(Result::kError), outcome(Result::kReset),
                outcome(Result::kCancelled), n(s.updates), n(s.waiting), n(s.running), s.mean_wait_s,
                s.longest_wait_s);
  return text;
}

}  // namespace heronway::trace
