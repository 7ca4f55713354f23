#include "src/discovery/list_lease.h"

#include <algorithm>

namespace heronway::discovery {

ListLease::ListLease(Micros began, Micros grace)
    : began_(began), good_for_(kPropagationDeadline + std::max<Micros>(grace, 0) - kSafetyMargin) {}

void ListLease::Confirmed(Micros at) {
  confirmed_ = std::max(confirmed_, at);
  outage_seen_ = 0;
  refusals_ = 0;
  unusable_ = false;
}

void ListLease::CallFailed(Micros now, CallFailure failure) {
  refusals_ = failure == CallFailure::kRefused ? refusals_ + 1 : 0;
  unusable_ = unusable_ || failure == CallFailure::kUnusable;
  if (failure == CallFailure::kUnusable) return;
  const bool starting = confirmed_ == 0 && outage_seen_ == 0;
  const bool sure = refusals_ >= kRefusalsAtStartup || now >= began_ + kStartupPatience;
  if (!starting || sure) outage_seen_ = now;
}

Micros ListLease::ValidUntil() const {
  const Micros by_confirmation = confirmed_ == 0 ? 0 : confirmed_ + good_for_;
  const Micros by_outage = unusable_ || outage_seen_ == 0 ? 0 : outage_seen_ + kOutageValidity;
  return std::max(by_confirmation, by_outage);
}

}  // namespace heronway::discovery
