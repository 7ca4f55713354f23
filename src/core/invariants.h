// Runtime invariants of sending, retrying, closing and exiting, with a count of the violations of each.
// Each is checked at the one place where the act happens; where possible, a violating act is not performed.
#ifndef HERONWAY_CORE_INVARIANTS_H_
#define HERONWAY_CORE_INVARIANTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace heronway::core {

// Each comment describes the violation.
enum class Invariant : std::uint8_t {
  kOneHopInFlight,       // a hop starts while another is in flight and copies are not allowed
  kRetryAllowed,         // a hop starts although an earlier one may have run and the class allows no retry
  kTimeLeft,             // a hop starts with no time left until the client deadline
  kSlowStartToken,       // a hop goes to a target in slow start without a token
  kAnsweredBeforeClose,  // this process closes a client connection whose request is unanswered
  kAnsweredBeforeExit,   // the process exits while a request is unanswered
  kRouteListInForce,     // a hop is sent while the route list may not be used
};
inline constexpr std::size_t kInvariantCount = 7;
// Names in logs and metrics, indexed by Invariant.
inline constexpr std::array<const char*, kInvariantCount> kInvariantNames = {
    "one_attempt_out",       "repeat_allowed",       "time_left",    "slow_start_token",
    "answered_before_close", "answered_before_exit", "list_in_force"};

// Violation counts of each invariant.
class Invariants {
 public:
  // Returns `holds` and counts a violation if it is false.
  bool Check(Invariant invariant, bool holds) {
    if (!holds) ++violations_[static_cast<std::size_t>(invariant)];
    return holds;
  }
  // Adds violations that were counted elsewhere.
  void Count(Invariant invariant, std::uint64_t times) {
    violations_[static_cast<std::size_t>(invariant)] += times;
  }
  std::uint64_t Violations(std::size_t invariant) const { return violations_[invariant]; }
  // The sum over all invariants.
  std::uint64_t Violations() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t times : violations_) sum += times;
    return sum;
  }

 private:
  std::array<std::uint64_t, kInvariantCount> violations_{};
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_INVARIANTS_H_
