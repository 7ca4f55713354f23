#include "src/cluster/membership/standing.h"

#include <algorithm>
#include <cmath>

namespace heronway::cluster {

Standing Judge(std::size_t known, std::size_t present, bool never_joined) {
  if (never_joined || (present <= 1 && known > 1)) return Standing::kAlone;
  if (present >= known) return Standing::kWhole;
  return 2 * present > known ? Standing::kMajority : Standing::kMinority;
}

bool StandingWatch::Look(Micros now, Standing seen) {
  if (seen != seen_) {
    seen_ = seen;
    seen_since_ = now;
  }
  if (seen_ == in_force_ || now - seen_since_ < (seen_ > in_force_ ? worse_ : better_)) return false;
  in_force_ = seen_;
  return true;
}

int FleetSize::Look(Micros now, int present) {
  const double target = std::max(floor_, present);
  if (target >= size_ || at_ < 0) {
    size_ = std::max<double>(size_, target);
  } else {
    const double halvings = static_cast<double>(now - at_) / static_cast<double>(halving_);
    size_ = std::max(target, size_ * std::exp2(-halvings));
  }
  at_ = now;
  return size();
}

}  // namespace heronway::cluster
