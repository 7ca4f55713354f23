// Decides how long the list of targets may be acted on. Has no clock and no I/O.
//
// A change at discovery counts as known to every scheduler kPropagationDeadline after discovery recorded it,
// provided that discovery was reachable, whether or not the change arrived here. Attempts at a leaving target
// must have stopped one grace period after that. The list is therefore valid for that long after discovery
// last confirmed it, and no longer, with four special cases:
//
//  - A process that starts has a list of unknown age. It may not act on the list before discovery answers.
//  - While discovery is unreachable no change counts as known and the list stays valid: an outage of
//    discovery must not become an outage of the service. A call that fails without receiving any part of a
//    list (CallFailure::kUnreachable, kRefused) is evidence of an outage for kOutageValidity. A call that has
//    not been answered yet has not failed: discovery may be slow (see CallPacing::SilenceLimit). While one
//    waits, others that are declined (CallFailure::kBusy) are no evidence either, and its silence alone
//    (kSilent) is no more than a call that failed.
//  - Once the list has expired, its age is as unknown as at the start, and one failed call is not enough to
//    act on it again: in an outage such calls would have kept it valid.
//  - Answers that arrive but cannot be used prove that discovery is reachable, so the list expires.
#ifndef HERONWAY_DISCOVERY_LIST_LEASE_H_
#define HERONWAY_DISCOVERY_LIST_LEASE_H_

#include <cstdint>

#include "pebblenotch/brain.h"

namespace heronway::discovery {

using pebblenotch::Micros;

// What a call to discovery that delivered no list implies about discovery.
enum class CallFailure : std::uint8_t {
  kRefused,      // its host refused the connection: no process listens there
  kBusy,         // declined or ended while an earlier call waits: discovery may be up and busy
  kUnreachable,  // no connection, or an end or status in place of a list
  kSilent,       // connected, and silent beyond any slow answer
  kUnusable      // an answer arrived, at least in part, but could not be used: discovery is reachable
};

class ListLease {
 public:
  // All times are microseconds of a monotonic clock. `process_start` is when the process started. `grace` is
  // how long attempts at a leaving target may continue after its departure counts as known
  // (rules.stopSendingWithin); a negative value counts as 0.
  ListLease(Micros process_start, Micros grace);

  // Discovery answered with a list, or that nothing changed. `at`: the earliest time at which it can have
  // written the answer, which may have been on its way for long.
  void Confirmed(Micros at);
  // A call failed at `now`.
  void CallFailed(Micros now, CallFailure failure);

  // Whether the list may be acted on at `now`.
  bool Valid(Micros now) const { return now < ValidUntil(); }
  // What allows the list to be acted on at `now`; kConfirmation where both do, kNone once it is invalid.
  enum class Basis : std::uint8_t { kNone, kConfirmation, kOutage };
  Basis BasisAt(Micros now) const;
  // When the list expires unless discovery is heard from again. In the past if the list is already invalid.
  Micros ValidUntil() const;

  static constexpr Micros kPropagationDeadline = 6'000'000;
  // A process may stall for 0.15 s between its decision and the write, and an answer takes time to arrive.
  static constexpr Micros kSafetyMargin = 250'000;
  // Longer than the interval between failing calls, so that an ongoing outage is observed repeatedly. A
  // process that was stalled for longer has observed none and asks discovery before it acts.
  static constexpr Micros kOutageValidity = 5'500'000;
  // A process that starts during an outage, or whose list has expired, acts on the list it has once calls
  // have failed for this long, or once this many consecutive calls were refused. When many processes start
  // together, each may need a few calls; all must be ready within 10 s.
  static constexpr Micros kOutagePatience = 8'000'000;
  static constexpr int kRefusalsForOutage = 3;

 private:
  Micros ValidByConfirmation() const;
  CallFailure Weigh(Micros now, CallFailure failure) const;
  bool ShowsOutage(Micros now, CallFailure failure);
  Micros process_start_, validity_;
  Micros confirmed_at_ = 0;  // 0: not confirmed yet
  // Latest call that indicated an outage; 0: none since the last confirmation.
  Micros outage_observed_at_ = 0;
  Micros failing_since_ = 0;  // since when calls have failed without a valid list; 0: they have not
  int consecutive_refusals_ = 0;
  // Since the list was last confirmed: an unusable answer arrived; a call was declined while another waited.
  bool unusable_answer_ = false, declined_beside_waiting_ = false;
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_LIST_LEASE_H_
