// What must hold each time the program sends, repeats, closes or exits, with a count of the times it did not.
// Each check stands at the one place where the act is done; where it can, the program does not go on with it.
#ifndef HERONWAY_CORE_INVARIANTS_H_
#define HERONWAY_CORE_INVARIANTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace heronway::core {

enum class Invariant : std::uint8_t {
  kOneHopInFlight,  // an attempt begins while another of its request is out, and copies are not allowed
  kRetryAllowed,    // an attempt begins though an earlier one may have run, and its class allows no repeat
  kTimeLeft,        // an attempt begins with no time left to its client
  kSlowStartToken,  // an attempt goes to a server in slow start without a token
  kAnsweredBeforeClose,  // a client's connection is ended here while its request waits for an answer
  kAnsweredBeforeExit,   // the process exits while a request waits for an answer
  kRouteListInForce,     // an attempt is decided on while the list of targets may not be acted on
};
inline constexpr std::size_t kInvariantCount = 7;
inline constexpr std::array<const char*, kInvariantCount> kInvariantNames = {
    "one_attempt_out",       "repeat_allowed",       "time_left",    "slow_start_token",
    "answered_before_close", "answered_before_exit", "list_in_force"};

class Invariants {
 public:
  // Gives `holds` back, and counts where it is false.
  bool Check(Invariant invariant, bool holds) {
    if (!holds) ++violations_[static_cast<std::size_t>(invariant)];
    return holds;
  }
  void Count(Invariant invariant, std::uint64_t times) {
    violations_[static_cast<std::size_t>(invariant)] += times;
  }
  std::uint64_t Violations(std::size_t invariant) const { return violations_[invariant]; }
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
