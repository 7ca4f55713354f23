#include "src/discovery/list_lease.h"

#include <algorithm>

namespace heronway::discovery {

ListLease::ListLease(Micros process_start, Micros grace)
    : process_start_(process_start),
      validity_(kPropagationDeadline + std::max<Micros>(grace, 0) - kSafetyMargin) {}

void ListLease::Confirmed(Micros at) {
  confirmed_at_ = std::max(confirmed_at_, at);
  outage_observed_at_ = 0;
  failing_since_ = 0;
  consecutive_refusals_ = 0;
  unusable_answer_ = false;
  declined_beside_waiting_ = false;
}

void ListLease::CallFailed(Micros now, CallFailure failure) {
  failure = Weigh(now, failure);
  consecutive_refusals_ = failure == CallFailure::kRefused ? consecutive_refusals_ + 1 : 0;
  declined_beside_waiting_ = declined_beside_waiting_ || failure == CallFailure::kBusy;
  unusable_answer_ = unusable_answer_ || failure == CallFailure::kUnusable;
  if (failure == CallFailure::kUnusable || failure == CallFailure::kBusy) {
    failing_since_ = 0;
  } else if (ShowsOutage(now, failure)) {
    failing_since_ = 0;
    outage_observed_at_ = now;
  }
}

// Where other calls were declined meanwhile, the silent one may have been lost alone.
CallFailure ListLease::Weigh(Micros now, CallFailure failure) const {
  if (failure != CallFailure::kSilent || !declined_beside_waiting_) return failure;
  return Valid(now) ? CallFailure::kBusy : CallFailure::kUnreachable;
}

// Whether a call that failed in one of the ways of an outage is enough to act on the list.
bool ListLease::ShowsOutage(Micros now, CallFailure failure) {
  if (Valid(now)) return true;
  const bool starting = confirmed_at_ == 0 && outage_observed_at_ == 0;
  if (failure == CallFailure::kSilent && !starting) return true;
  if (failing_since_ == 0) failing_since_ = starting ? process_start_ : now;
  return consecutive_refusals_ >= kRefusalsForOutage || now >= failing_since_ + kOutagePatience;
}

Micros ListLease::ValidByConfirmation() const { return confirmed_at_ == 0 ? 0 : confirmed_at_ + validity_; }

ListLease::Basis ListLease::BasisAt(Micros now) const {
  if (now < ValidByConfirmation()) return Basis::kConfirmation;
  return now < ValidUntil() ? Basis::kOutage : Basis::kNone;
}

Micros ListLease::ValidUntil() const {
  const Micros by_outage =
      unusable_answer_ || outage_observed_at_ == 0 ? 0 : outage_observed_at_ + kOutageValidity;
  return std::max(ValidByConfirmation(), by_outage);
}

}  // namespace heronway::discovery
