#include "src/limits/fleet_capacity.h"

#include <algorithm>

namespace heronway::limits {

void FleetCapacity::Take(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool whole) {
  ++list_;
  for (const auto& e : entries) {
    Member& m = members_[e.id];
    const bool ready = e.state == pebblenotch::WorkerState::kReady;
    if (m.ready && !ready) m.left = now;
    if (ready) m.left = -1;
    m.ready = ready;
    m.since = e.started_at;
    m.list = list_;
  }
  if (whole) {
    for (auto& [id, m] : members_) {
      if (m.list != list_ && m.ready) {
        m.ready = false;
        m.left = now;
      }
    }
  }
  std::erase_if(members_, [now](const auto& m) { return !m.second.ready && m.second.left < now - kMourned; });
  Sort(now);
}

void FleetCapacity::Sort(Micros now) {
  warm_ = 0;
  cold_.clear();
  left_.clear();
  for (const auto& [id, m] : members_) {
    if (!m.ready) {
      left_.push_back(m.left);
    } else if (m.since > 0 && now < m.since + warm_up_) {
      cold_.push_back(m.since);
    } else {
      warm_ += 1;
    }
  }
  // The order of a hash table must not show in sums of fractions.
  std::sort(cold_.begin(), cold_.end());
}

double FleetCapacity::StrengthAt(Micros at) const {
  double strength = warm_;
  for (const Micros since : cold_) {
    const double risen =
        std::clamp(static_cast<double>(at - since) / static_cast<double>(warm_up_), 0.0, 1.0);
    strength += cold_from_ + (1 - cold_from_) * risen;
  }
  return strength;
}

double FleetCapacity::MissingShare(Micros now) const {
  const auto mourned =
      std::count_if(left_.begin(), left_.end(), [now](Micros l) { return l >= now - kMourned; });
  const double usual = warm_ + static_cast<double>(cold_.size()) + static_cast<double>(mourned);
  return usual <= 0 ? 0 : std::clamp(1 - StrengthAt(now) / usual, 0.0, 1.0);
}

}  // namespace heronway::limits
