#include "src/cluster/membership/gossip.h"

namespace heronway::cluster {

std::size_t Gossip::SizeOf(const Update& u) {
  // The headers of strings and arrays, and all numbers at their maximum length.
  constexpr std::size_t kOverheadBytes = 46;
  return kOverheadBytes + u.record.id.name.size() + u.record.zone.size() + u.record.fronts.size() +
         u.suspected_by.size();
}

void Gossip::Put(Update update) {
  Drop(update.record.id);
  const Priority priority{0, next_serial_--};
  priority_of_[update.record.id] = priority;
  queue_.emplace(priority, std::move(update));
}

void Gossip::Drop(const MemberId& id) {
  const auto it = priority_of_.find(id);
  if (it == priority_of_.end()) return;
  queue_.erase(it->second);
  priority_of_.erase(it);
}

void Gossip::Fill(std::size_t max_bytes, int max_sends, const MemberId& except, std::vector<Update>& out) {
  std::vector<std::map<Priority, Update>::node_type> sent;
  // Bounds the cost of a datagram when a whole fleet changes at once: the search ends after a few updates
  // that do not fit.
  int misfits = 0;
  for (auto it = queue_.begin(); it != queue_.end() && misfits < 4;) {
    const auto here = it++;
    if (here->second.record.id == except) continue;
    const std::size_t size = SizeOf(here->second);
    if (size > max_bytes) {
      ++misfits;
      continue;
    }
    max_bytes -= size;
    out.push_back(here->second);
    sent.push_back(queue_.extract(here));
  }
  for (auto& node : sent) {
    if (++node.key().first >= max_sends) {
      priority_of_.erase(node.mapped().record.id);
      continue;
    }
    priority_of_[node.mapped().record.id] = node.key();
    queue_.insert(std::move(node));
  }
}

}  // namespace heronway::cluster
