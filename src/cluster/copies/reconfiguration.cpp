// Who keeps copies of a group: invitations, promotions, removals, and snapshots of what has grown.
#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"

namespace heronway::cluster::copies {

void ReplicaManager::CheckGroups() {
  check_timer_.Start(kCheckInterval);
  const std::vector<KnownMember> members = member_source_ ? member_source_() : std::vector<KnownMember>{};
  for (const KnownMember& m : members) {
    if (!m.address.empty()) links_.SetAddress(m.name, m.address);
  }
  for (auto& [name, g] : groups_) CheckGroup(*g, members);
  QueryFormerReplicas();
}

void ReplicaManager::CheckGroup(Group& g, const std::vector<KnownMember>& members) {
  if (g.log->role() != log::Role::kLeader) return;
  const Micros now = shared_.loop.Now();
  if (now - g.servers_sent_at >= 2 * kSecond) SendServers(g);
  const log::Configuration& servers = g.log->configuration();
  if (g.own && !g.channel && !g.opening) ClaimGroup(g);
  if (!g.own) {
    // Its owner is to lead it: nobody else runs its jobs while that is there.
    for (const auto& lag : g.log->Followers()) {
      const auto who = g.servers.find(lag.server);
      const bool owner = who != g.servers.end() && who->second.first == OwnerOf(g.name);
      if (!owner || now - lag.last_contact > kSecond) continue;
      if (!ReleaseGroup(g) || now - g.transfer_sent_at < 2 * kSecond) return;
      g.transfer_sent_at = now;
      return HandleEvent(g, log::TransferLeadership{lag.server});
    }
    if (g.channel && g.releasing) return StopServing(g);  // its owner has gone again meanwhile
    const auto owner = std::find_if(members.begin(), members.end(),
                                    [&g](const KnownMember& m) { return m.name == OwnerOf(g.name); });
    // One that nobody has heard of is gone for longer than the fleet remembers.
    Micros gone = owner != members.end() ? owner->gone_since : started_at_ + kDiscoveryTime;
    // One that is there, and has lost its disk, will not lead it again.
    if (gone < 0) gone = g.abandoned_since;
    if (settings_.takeover_delay > 0 && !g.channel && !members.empty() && gone >= 0 &&
        now - gone >= settings_.takeover_delay)
      ClaimGroup(g);
  }
  if (g.channel && !g.loading && !compacting_ &&
      g.bytes_since_snapshot >
          std::max(kMinCompactBytes, g.log->snapshot() == nullptr ? 0 : g.log->snapshot()->data.size()))
    Compact(g);
  if (!g.own) return;
  const auto change = [&](log::ConfigurationChange what, log::ServerId id) {
    HandleEvent(g, log::ChangeConfiguration{++last_request_id_, what, id});
    SendServers(g);
  };
  for (const auto& lag : g.log->Followers()) {
    const bool learns = std::binary_search(servers.learners.begin(), servers.learners.end(), lag.server);
    if (learns && lag.match_index >= g.log->commit_index())
      return change(log::ConfigurationChange::kPromote, lag.server);
  }
  for (const log::ServerId id : g.accepted) {
    const bool in = std::binary_search(servers.voters.begin(), servers.voters.end(), id) ||
                    std::binary_search(servers.learners.begin(), servers.learners.end(), id);
    if (in) continue;
    // Added once; one that is taken out later has to be asked again.
    g.accepted.erase(id);
    return change(log::ConfigurationChange::kAddLearner, id);
  }
  if (members.empty()) return;
  std::vector<std::string> replicas;
  std::map<std::string, log::ServerId> by_name;
  for (const auto* ids : {&servers.voters, &servers.learners}) {
    for (const log::ServerId id : *ids) {
      const auto who = g.servers.find(id);
      const std::string member = who == g.servers.end() ? "?" + std::to_string(id) : who->second.first;
      // A member with an older disk's server beside its new one: the older counts for nothing any more.
      if (by_name.contains(member))
        return change(log::ConfigurationChange::kRemove, std::min(id, by_name[member]));
      replicas.push_back(member);
      by_name[member] = id;
    }
  }
  std::vector<Candidate> candidates;
  for (const KnownMember& m : members) {
    if (!m.address.empty() || m.gone_since >= 0) candidates.push_back(m);
  }
  const auto move =
      NextChange(settings_.name, replicas, candidates, settings_.replicas, now, kPatience, false);
  if (!move) return;
  if (!move->remove.empty() && (move->add.empty() || static_cast<int>(replicas.size()) > settings_.replicas))
    return change(log::ConfigurationChange::kRemove, by_name[move->remove]);
  if (move->add.empty() || now - g.invite_sent_at < kSecond) return;
  g.invite_sent_at = now;
  g.invited = move->add;
  Frame invite;
  invite.kind = Frame::Kind::kInvite;
  invite.group = g.name;
  links_.Send(move->add, invite);
}

void ReplicaManager::SendServers(Group& g) {
  g.servers_sent_at = shared_.loop.Now();
  Frame names;
  names.kind = Frame::Kind::kServers;
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
void ReplicaManager::Compact(Group& g) {
  compacting_ = true;
  g.bytes_since_snapshot = 0;
  compactor_ = std::thread([this, name = g.name, settings = g.store] {
    try {
      durable::SqliteStore store(settings, durable::SqliteStore::Mode::kInspect);
      const StoreContents contents = ReadContents(store);
      const std::lock_guard hold(results_lock_);
      compacted_snapshots_.emplace_back(name, log::Compact{contents.applied.index, Encode(contents)});
    } catch (const durable::StoreError&) {
      // The log grows on, and it is tried again when it has grown as much again.
      compact_failed_.store(true);
    }
    work_done_wakeup_.Ask();
  });
}

}  // namespace heronway::cluster::copies
