#include "src/cluster/membership/gossip.h"

namespace heronway::cluster {

std::size_t Gossip::SizeOf(const Update& u) {
  // Heads of the texts and arrays, and the numbers at their longest.
  constexpr std::size_t kRest = 46;
  return kRest + u.record.id.name.size() + u.record.zone.size() + u.record.fronts.size() + u.accuser.size();
}

void Gossip::Put(Update update) {
  Drop(update.record.id);
  const Turn turn{0, serial_--};
  turn_of_[update.record.id] = turn;
  queue_.emplace(turn, std::move(update));
}

void Gossip::Drop(const MemberId& id) {
  const auto it = turn_of_.find(id);
  if (it == turn_of_.end()) return;
  queue_.erase(it->second);
  turn_of_.erase(it);
}

void Gossip::Fill(std::size_t bytes, int most_sends, const MemberId& except, std::vector<Update>& out) {
  std::vector<std::map<Turn, Update>::node_type> sent;
  // Guards the cost of a datagram when a whole fleet changes at once: what does not fit is looked at a few
  // times only.
  int misfits = 0;
  for (auto it = queue_.begin(); it != queue_.end() && misfits < 4;) {
    const auto here = it++;
    if (here->second.record.id == except) continue;
    const std::size_t size = SizeOf(here->second);
    if (size > bytes) {
      ++misfits;
      continue;
    }
    bytes -= size;
    out.push_back(here->second);
    sent.push_back(queue_.extract(here));
  }
  for (auto& node : sent) {
    if (++node.key().first >= most_sends) {
      turn_of_.erase(node.mapped().record.id);
      continue;
    }
    turn_of_[node.mapped().record.id] = node.key();
    queue_.insert(std::move(node));
  }
}

}  // namespace heronway::cluster
