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

std::vector<std::string> Place(const std::string& owner, const std::vector<Candidate>& members, int copies) {
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
  // First one a zone, then whoever is left: three copies in two zones are better than two.
  for (const bool spread : {true, false}) {
    for (const Candidate* c : by_weight) {
      if (static_cast<int>(out.size()) >= copies) return out;
      if (std::find(out.begin(), out.end(), c->name) != out.end()) continue;
      if (spread && !zones.insert(c->zone).second) continue;
      out.push_back(c->name);
    }
  }
  return out;
}

std::optional<Move> NextMove(const std::string& owner, const std::vector<std::string>& holders,
                             const std::vector<Candidate>& members, int copies, Micros now, Micros patience,
                             bool balance) {
  const std::vector<std::string> wanted = Place(owner, members, copies);
  const auto holds = [&](const std::string& name) {
    return std::find(holders.begin(), holders.end(), name) != holders.end();
  };
  const auto is_wanted = [&](const std::string& name) {
    return std::find(wanted.begin(), wanted.end(), name) != wanted.end();
  };
  std::string add, lost, spare;
  for (const std::string& name : wanted) {
    if (add.empty() && !holds(name)) add = name;
  }
  for (const std::string& name : holders) {
    const Candidate* c = Find(members, name);
    // One that is not known any more was forgotten long ago.
    const bool gone = c == nullptr || (c->gone_since >= 0 && now - c->gone_since >= patience);
    if (gone) lost = name;
    if (!gone && name != owner && !is_wanted(name) && c->gone_since < 0) spare = name;
  }
  const int held = static_cast<int>(holders.size());
  if (!lost.empty() && held > copies) return Move{"", lost};
  if (!lost.empty() && !add.empty()) return Move{add, lost};
  if (held < copies && !add.empty()) return Move{add, ""};
  if (held > copies && !spare.empty()) return Move{"", spare};
  if (balance && held == copies && !add.empty() && !spare.empty()) return Move{add, spare};
  return std::nullopt;
}

}  // namespace heronway::cluster::copies
