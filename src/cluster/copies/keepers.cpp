// Who keeps copies of a group: invitations, promotions, removals, and snapshots of what has grown.
#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"

namespace heronway::cluster::copies {

void Copies::Look() {
  look_.Start(kLooks);
  const std::vector<Seen> members = members_ ? members_() : std::vector<Seen>{};
  for (const Seen& m : members) {
    if (!m.at.empty()) links_.Place(m.name, m.at);
  }
  for (auto& [name, g] : groups_) LookAt(*g, members);
  AskForCopies();
}

void Copies::LookAt(Group& g, const std::vector<Seen>& members) {
  if (g.log->role() != log::Role::kLeader) return;
  const Micros now = shared_.loop.Now();
  if (now - g.told >= 2 * kSecond) TellNames(g);
  const log::Configuration& servers = g.log->configuration();
  if (g.mine && !g.held && !g.starts) TakeHold(g);
  if (!g.mine) {
    // Its owner is to lead it: nobody else runs its jobs while that is there.
    for (const auto& lag : g.log->Followers()) {
      const auto who = g.servers.find(lag.server);
      const bool owner = who != g.servers.end() && who->second.first == OwnerOf(g.name);
      if (!owner || now - lag.last_contact > kSecond) continue;
      if (!GaveBack(g) || now - g.handed < 2 * kSecond) return;
      g.handed = now;
      return Post(g, log::TransferLeadership{lag.server});
    }
    if (g.held && g.giving_back) return Lost(g);  // its owner has gone again meanwhile
    const auto owner = std::find_if(members.begin(), members.end(),
                                    [&g](const Seen& m) { return m.name == OwnerOf(g.name); });
    // One that nobody has heard of is gone for longer than the fleet remembers.
    Micros gone = owner != members.end() ? owner->gone_since : began_ + kRemembers;
    // One that is there, and has lost its disk, will not lead it again.
    if (gone < 0) gone = g.former_since;
    if (settings_.takeover > 0 && !g.held && !members.empty() && gone >= 0 &&
        now - gone >= settings_.takeover)
      TakeHold(g);
  }
  if (g.held && !g.reading && !compacting_ &&
      g.grown > std::max(kCompacts, g.log->snapshot() == nullptr ? 0 : g.log->snapshot()->data.size()))
    Compact(g);
  if (!g.mine) return;
  const auto change = [&](log::ConfigurationChange what, log::ServerId id) {
    Post(g, log::ChangeConfiguration{++tickets_, what, id});
    TellNames(g);
  };
  for (const auto& lag : g.log->Followers()) {
    const bool learns = std::binary_search(servers.learners.begin(), servers.learners.end(), lag.server);
    if (learns && lag.match_index >= g.log->commit_index())
      return change(log::ConfigurationChange::kPromote, lag.server);
  }
  for (const log::ServerId id : g.here) {
    const bool in = std::binary_search(servers.voters.begin(), servers.voters.end(), id) ||
                    std::binary_search(servers.learners.begin(), servers.learners.end(), id);
    if (in) continue;
    // Added once; one that is taken out later has to be asked again.
    g.here.erase(id);
    return change(log::ConfigurationChange::kAddLearner, id);
  }
  if (members.empty()) return;
  std::vector<std::string> holders;
  std::map<std::string, log::ServerId> by_name;
  for (const auto* ids : {&servers.voters, &servers.learners}) {
    for (const log::ServerId id : *ids) {
      const auto who = g.servers.find(id);
      const std::string member = who == g.servers.end() ? "?" + std::to_string(id) : who->second.first;
      // A member with an older disk's server beside its new one: the older counts for nothing any more.
      if (by_name.contains(member))
        return change(log::ConfigurationChange::kRemove, std::min(id, by_name[member]));
      holders.push_back(member);
      by_name[member] = id;
    }
  }
  std::vector<Candidate> candidates;
  for (const Seen& m : members) {
    if (!m.at.empty() || m.gone_since >= 0) candidates.push_back(m);
  }
  const auto move = NextMove(settings_.name, holders, candidates, settings_.copies, now, kPatience, false);
  if (!move) return;
  if (!move->remove.empty() && (move->add.empty() || static_cast<int>(holders.size()) > settings_.copies))
    return change(log::ConfigurationChange::kRemove, by_name[move->remove]);
  if (move->add.empty() || now - g.asked < kSecond) return;
  g.asked = now;
  g.invited = move->add;
  Frame invite;
  invite.kind = Frame::Kind::kInvite;
  invite.group = g.name;
  links_.Send(move->add, invite);
}

void Copies::TellNames(Group& g) {
  g.told = shared_.loop.Now();
  Frame names;
  names.kind = Frame::Kind::kNames;
  names.group = g.name;
  std::set<std::string> to;
  for (const auto* ids : {&g.log->configuration().voters, &g.log->configuration().learners}) {
    for (const log::ServerId id : *ids) {
      const auto who = g.servers.find(id);
      if (who == g.servers.end()) continue;
      names.servers[id] = who->second;
      if (id != g.log->self()) to.insert(who->second.first);
    }
  }
  for (const std::string& member : to) links_.Send(member, names);
}

// By a thread of its own, from a moment's view of the store: neither the loop nor the writer waits for it.
void Copies::Compact(Group& g) {
  compacting_ = true;
  g.grown = 0;
  compactor_ = std::thread([this, name = g.name, settings = g.store] {
    try {
      durable::SqliteStore store(settings, durable::SqliteStore::Use::kLook);
      const Dump dump = DumpOf(store);
      const std::lock_guard hold(compact_lock_);
      ready_.emplace_back(name, log::Compact{dump.applied.index, Encode(dump)});
    } catch (const durable::StoreError&) {
      // The log grows on, and it is tried again when it has grown as much again.
      compact_failed_.store(true);
    }
    compacted_.Ask();
  });
}

}  // namespace heronway::cluster::copies
