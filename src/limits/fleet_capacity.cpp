#include "src/limits/fleet_capacity.h"

#include <algorithm>

namespace heronway::limits {

void FleetCapacity::Apply(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool is_full) {
  ++lists_;
  for (const auto& e : entries) {
    Member& m = members_[e.id];
    const bool ready = e.state == pebblenotch::WorkerState::kReady;
    if (m.ready && !ready) m.left_at = now;
    if (ready) m.left_at = -1;
    m.ready = ready;
    m.started_at = e.started_at;
    m.last_listing = lists_;
  }
  if (is_full) {
    for (auto& [id, m] : members_) {
      if (m.last_listing != lists_ && m.ready) {
        m.ready = false;
        m.left_at = now;
      }
    }
  }
  std::erase_if(members_,
                [now](const auto& m) { return !m.second.ready && m.second.left_at < now - kAbsenceWindow; });
  Classify(now);
}

void FleetCapacity::Classify(Micros now) {
  full_workers_ = 0;
  slow_starts_.clear();
  departures_.clear();
  for (const auto& [id, m] : members_) {
    if (!m.ready) {
      departures_.push_back(m.left_at);
    } else if (m.started_at > 0 && now < m.started_at + slow_start_time_) {
      slow_starts_.push_back(m.started_at);
    } else {
      full_workers_ += 1;
    }
  }
  // Sums of fractions must not depend on the order of a hash table.
  std::sort(slow_starts_.begin(), slow_starts_.end());
}

double FleetCapacity::CapacityAt(Micros at) const {
  double capacity = full_workers_;
  for (const Micros started_at : slow_starts_) {
    const double progress =
        std::clamp(static_cast<double>(at - started_at) / static_cast<double>(slow_start_time_), 0.0, 1.0);
    capacity += slow_start_floor_ + (1 - slow_start_floor_) * progress;
  }
  return capacity;
}

double FleetCapacity::MissingShare(Micros now) const {
  const auto absent = std::count_if(departures_.begin(), departures_.end(),
                                    [now](Micros left_at) { return left_at >= now - kAbsenceWindow; });
  const double usual = full_workers_ + static_cast<double>(slow_starts_.size()) + static_cast<double>(absent);
  return usual <= 0 ? 0 : std::clamp(1 - CapacityAt(now) / usual, 0.0, 1.0);
}

}  // namespace heronway::limits
