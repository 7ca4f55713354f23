// How long the list of targets may be acted on. Pure: it has no clock and no I/O.
//
// What discovery has to tell counts as told kPropagationDeadline after discovery had it and could be reached,
// arrived or not. Attempts at a target that leaves must have stopped a grace after that. So the list is good
// for as long after discovery last confirmed it, and no longer, with three cases of their own:
//
//  - A process that starts has a list of unknown age. It may not act on it before discovery has answered.
//  - While discovery cannot be reached nothing counts as told, and the list stays in force: an outage of
//    discovery must not become one of the service. What shows that is a call that failed without a word of
//    a list (CallFailure::kUnreachable, kRefused), and it shows it for kOutageValidity.
//  - Answers that came and could not be used show that discovery can be reached: then the list runs out.
#ifndef HERONWAY_DISCOVERY_LIST_LEASE_H_
#define HERONWAY_DISCOVERY_LIST_LEASE_H_

#include <cstdint>

#include "pebblenotch/brain.h"

namespace heronway::discovery {

using pebblenotch::Micros;

// What a call to discovery that brought no list tells of discovery.
enum class CallFailure : std::uint8_t {
  kRefused,      // its machine refused the connection: no process listens there
  kUnreachable,  // no connection, no answer, or one without a list: it may be down, or crowded
  kUnusable      // an answer came, at least in part, and could not be used: discovery can be reached
};

class ListLease {
 public:
  // `began`: when the process started, in microseconds of a clock that only moves forward, as all times.
  // `grace`: how long attempts at a target that leaves may go on once that was told, in microseconds
  // (rules.stopSendingWithin); a negative one counts as 0.
  ListLease(Micros began, Micros grace);

  // Discovery has answered with a list, or that nothing changed; the answer began to arrive at `at`.
  void Confirmed(Micros at);
  void CallFailed(Micros now, CallFailure failure);

  // Whether the list may be acted on now.
  bool Valid(Micros now) const { return now < ValidUntil(); }
  // Until when it may be, if discovery says nothing; a time that has passed where it may not.
  Micros ValidUntil() const;

  static constexpr Micros kPropagationDeadline = 6'000'000;
  // A process may be held up for 0.15 s between its decision and the bytes, and an answer takes a while.
  static constexpr Micros kSafetyMargin = 250'000;
  // Calls that fail come more often than this, so that an outage that lasts is seen again and again. A
  // process that was held up for long has seen none, and asks before it acts.
  static constexpr Micros kOutageValidity = 5'500'000;
  // A process that starts during an outage acts on the list that it has once calls have failed for so long,
  // or so many in a row were refused.
  // A crowd of processes that start together may wait for a few calls each; all must be ready within 10 s.
  static constexpr Micros kStartupPatience = 8'000'000;
  static constexpr int kRefusalsAtStartup = 3;

 private:
  Micros began_, good_for_;
  Micros confirmed_ = 0;    // 0: not yet
  Micros outage_seen_ = 0;  // by the last call that failed so; 0: none since discovery last answered
  int refusals_ = 0;        // in a row
  bool unusable_ = false;   // such an answer came since the last one that confirmed the list
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_LIST_LEASE_H_
