#include "src/cluster/membership/quorum_state.h"

#include <algorithm>
#include <cmath>

namespace heronway::cluster {

QuorumState EvaluateQuorum(std::size_t known, std::size_t present, bool never_joined) {
  if (never_joined || (present <= 1 && known > 1)) return QuorumState::kIsolated;
  if (present >= known) return QuorumState::kAllPresent;
  return 2 * present > known ? QuorumState::kMajority : QuorumState::kMinority;
}

bool QuorumStateFilter::Observe(Micros now, QuorumState raw) {
  if (raw != raw_) {
    raw_ = raw;
    raw_since_ = now;
  }
  if (raw_ == reported_ || now - raw_since_ < (raw_ > reported_ ? worse_delay_ : better_delay_)) return false;
  reported_ = raw_;
  return true;
}

int SmoothedFleetSize::Observe(Micros now, int present) {
  const double target = std::max(min_size_, present);
  if (target >= size_ || updated_at_ < 0) {
    size_ = std::max<double>(size_, target);
  } else {
    const double halvings = static_cast<double>(now - updated_at_) / static_cast<double>(halving_time_);
    size_ = std::max(target, size_ * std::exp2(-halvings));
  }
  updated_at_ = now;
  return size();
}

}  // namespace heronway::cluster
