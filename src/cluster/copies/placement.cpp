#include "src/cluster/copies/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace heronway::cluster::copies {
namespace {

std::uint64_t Weight(const std::string& owner, const std::string& member) {
  const std::uint64_t of_owner = XXH3_64bits(owner.data(), owner.size());
  return XXH3_64bits_withSeed(member.data(), member.size(), of_owner);
}

const Candidate* Find(const std::vector<Candidate>& members, const std::string& name) {
  const auto it =
      std::find_if(members.begin(), members.end(), [&](const Candidate& c) { return c.name == name; });
  return it == members.end() ? nullptr : &*it;
}

}  // namespace

std::vector<std::string> ChooseReplicas(const std::string& owner, const std::vector<Candidate>& members,
                                        int count) {
  std::vector<const Candidate*> by_weight;
  for (const Candidate& c : members) {
    if (c.gone_since < 0) by_weight.push_back(&c);
  }
  std::sort(by_weight.begin(), by_weight.end(), [&](const Candidate* a, const Candidate* b) {
    if ((a->name == owner) != (b->name == owner)) return a->name == owner;
    const std::uint64_t wa = Weight(owner, a->name), wb = Weight(owner, b->name);
    return wa != wb ? wa > wb : a->name < b->name;
  });
  std::vector<std::string> out;
  std::set<std::string> zones;
  // One member of each zone first, then the rest: three replicas in two zones are better than two replicas.
  for (const bool spread : {true, false}) {
    for (const Candidate* c : by_weight) {
      if (static_cast<int>(out.size()) >= count) return out;
      if (std::find(out.begin(), out.end(), c->name) != out.end()) continue;
      if (spread && !zones.insert(c->zone).second) continue;
      out.push_back(c->name);
    }
  }
  return out;
}

std::optional<ReplicaChange> NextChange(const std::string& owner, const std::vector<std::string>& current,
                                        const std::vector<Candidate>& members, int count, Micros now,
                                        Micros replacement_delay, bool rebalance) {
  const std::vector<std::string> wanted = ChooseReplicas(owner, members, count);
  const auto is_current = [&](const std::string& name) {
    return std::find(current.begin(), current.end(), name) != current.end();
  };
  const auto is_wanted = [&](const std::string& name) {
    return std::find(wanted.begin(), wanted.end(), name) != wanted.end();
  };
  std::string add, gone_member, surplus;
  for (const std::string& name : wanted) {
    if (add.empty() && !is_current(name)) add = name;
  }
  for (const std::string& name : current) {
    const Candidate* c = Find(members, name);
    // A member that is no longer known has been gone for longer than membership keeps members.
    const bool gone = c == nullptr || (c->gone_since >= 0 && now - c->gone_since >= replacement_delay);
    if (gone) gone_member = name;
    if (!gone && name != owner && !is_wanted(name) && c->gone_since < 0) surplus = name;
  }
  const int current_count = static_cast<int>(current.size());
  if (!gone_member.empty() && current_count > count) return ReplicaChange{"", gone_member};
  if (!gone_member.empty() && !add.empty()) return ReplicaChange{add, gone_member};
  if (current_count < count && !add.empty()) return ReplicaChange{add, ""};
  if (current_count > count && !surplus.empty()) return ReplicaChange{"", surplus};
  if (rebalance && current_count == count && !add.empty() && !surplus.empty())
    return ReplicaChange{add, surplus};
  return std::nullopt;
}

}  // namespace heronway::cluster::copies
