#include "src/durable/backlog.h"

#include <algorithm>

namespace heronway::durable {

void Backlog::Schedule(const std::string& id, int job_class, int priority, Micros at) {
  Remove(id);
  Entry& place = entries_[id];
  place = {at, job_class, priority, ++last_number_, false};
  delayed_.emplace(at, id);
}

void Backlog::Remove(const std::string& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  const Entry& p = it->second;
  if (p.ready) {
    ready_[static_cast<std::size_t>(p.job_class)].erase({{-p.priority, p.number}, id});
  } else {
    delayed_.erase({p.at, id});
  }
  entries_.erase(it);
}

void Backlog::PromoteDue(Micros now) {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    Entry& p = entries_.at(delayed_.begin()->second);
    p.ready = true;
    ready_[static_cast<std::size_t>(p.job_class)].insert({{-p.priority, p.number}, delayed_.begin()->second});
    delayed_.erase(delayed_.begin());
  }
}

std::optional<std::string> Backlog::PopReady(Micros now) {
  PromoteDue(now);
  for (std::size_t tries = 0; tries < ready_.size(); ++tries) {
    auto& queue = ready_[next_class_++ % ready_.size()];
    if (queue.empty()) continue;
    std::string id = queue.begin()->second;
    queue.erase(queue.begin());
    entries_.erase(id);
    return id;
  }
  return std::nullopt;
}

Micros Backlog::next_ready_at() const {
  if (entries_.size() > delayed_.size()) return 0;
  return delayed_.empty() ? -1 : delayed_.begin()->first;
}

void ConcurrencyWindow::OnShed(Micros now) {
  if (now - last_cut_at_ < kMinCutInterval) return;
  last_cut_at_ = now;
  size_ = std::max(kMinSize, size_ / 2);
}

}  // namespace heronway::durable
