#include "src/durable/backlog.h"

#include <algorithm>

namespace heronway::durable {

void Backlog::Put(const std::string& id, int job_class, int priority, Micros at) {
  Remove(id);
  Place& place = places_[id];
  place = {at, job_class, priority, ++last_, false};
  later_.emplace(at, id);
}

void Backlog::Remove(const std::string& id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  const Place& p = it->second;
  if (p.ready) {
    ready_[static_cast<std::size_t>(p.job_class)].erase({{-p.priority, p.number}, id});
  } else {
    later_.erase({p.at, id});
  }
  places_.erase(it);
}

void Backlog::Ripen(Micros now) {
  while (!later_.empty() && later_.begin()->first <= now) {
    Place& p = places_.at(later_.begin()->second);
    p.ready = true;
    ready_[static_cast<std::size_t>(p.job_class)].insert({{-p.priority, p.number}, later_.begin()->second});
    later_.erase(later_.begin());
  }
}

std::optional<std::string> Backlog::Draw(Micros now) {
  Ripen(now);
  for (std::size_t tries = 0; tries < ready_.size(); ++tries) {
    auto& lane = ready_[turn_++ % ready_.size()];
    if (lane.empty()) continue;
    std::string id = lane.begin()->second;
    lane.erase(lane.begin());
    places_.erase(id);
    return id;
  }
  return std::nullopt;
}

Micros Backlog::next() const {
  if (places_.size() > later_.size()) return 0;
  return later_.empty() ? -1 : later_.begin()->first;
}

void Window::Shed(Micros now) {
  if (now - cut_ < kPause) return;
  cut_ = now;
  size_ = std::max(kLeast, size_ / 2);
}

}  // namespace heronway::durable
