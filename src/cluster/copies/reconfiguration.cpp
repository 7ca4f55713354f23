// Part of ReplicaManager: changes of a group's replicas (invitations, promotions, removals), handover to the
// owner, takeover from a gone owner, and log compaction.
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
    // While its owner is present, the owner leads the group and runs its jobs.
    for (const auto& lag : g.log->Followers()) {
      const auto server = g.servers.find(lag.server);
      const bool owner = server != g.servers.end() && server->second.first == OwnerOf(g.name);
      if (!owner || now - lag.last_contact > kSecond) continue;
      if (!ReleaseGroup(g) || now - g.transfer_sent_at < 2 * kSecond) return;
      g.transfer_sent_at = now;
      return HandleEvent(g, log::TransferLeadership{lag.server});
    }
    if (g.channel && g.releasing) return StopServing(g);  // the owner has gone again during the release
    const auto owner = std::find_if(members.begin(), members.end(),
                                    [&g](const KnownMember& m) { return m.name == OwnerOf(g.name); });
    // An owner that membership does not know has been gone for longer than membership keeps members.
    Micros gone = owner != members.end() ? owner->gone_since : started_at_ + kDiscoveryTime;
    // A present owner that has lost its disk will not lead this group again.
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
  const auto propose_change = [&](log::ConfigurationChange what, log::ServerId id) {
    HandleEvent(g, log::ChangeConfiguration{++last_request_id_, what, id});
    SendServers(g);
  };
  for (const auto& lag : g.log->Followers()) {
    const bool is_learner = std::binary_search(servers.learners.begin(), servers.learners.end(), lag.server);
    if (is_learner && lag.match_index >= g.log->commit_index())
      return propose_change(log::ConfigurationChange::kPromote, lag.server);
  }
  for (const log::ServerId id : g.accepted) {
    const bool in = std::binary_search(servers.voters.begin(), servers.voters.end(), id) ||
                    std::binary_search(servers.learners.begin(), servers.learners.end(), id);
    if (in) continue;
    // An acceptance counts once: a server that is removed later has to be invited again.
    g.accepted.erase(id);
    return propose_change(log::ConfigurationChange::kAddLearner, id);
  }
  if (members.empty()) return;
  std::vector<std::string> replicas;
  std::map<std::string, log::ServerId> by_name;
  for (const auto* ids : {&servers.voters, &servers.learners}) {
    for (const log::ServerId id : *ids) {
      const auto server = g.servers.find(id);
      const std::string member = server == g.servers.end() ? "?" + std::to_string(id) : server->second.first;
      // The member has a server of a former disk beside its current one; only one of them is in use.
      if (by_name.contains(member))
        return propose_change(log::ConfigurationChange::kRemove, std::min(id, by_name[member]));
      replicas.push_back(member);
      by_name[member] = id;
    }
  }
  std::vector<Candidate> candidates;
  for (const KnownMember& m : members) {
    if (!m.address.empty() || m.gone_since >= 0) candidates.push_back(m);
  }
  const auto replacement =
      NextChange(settings_.name, replicas, candidates, settings_.replicas, now, kReplacementDelay, false);
  if (!replacement) return;
  if (!replacement->remove.empty() &&
      (replacement->add.empty() || static_cast<int>(replicas.size()) > settings_.replicas))
    return propose_change(log::ConfigurationChange::kRemove, by_name[replacement->remove]);
  if (replacement->add.empty() || now - g.invite_sent_at < kSecond) return;
  g.invite_sent_at = now;
  g.invited = replacement->add;
  Frame invite;
  invite.kind = Frame::Kind::kInvite;
  invite.group = g.name;
  links_.Send(replacement->add, invite);
}

void ReplicaManager::SendServers(Group& g) {
  g.servers_sent_at = shared_.loop.Now();
  Frame frame;
  frame.kind = Frame::Kind::kServers;
  frame.group = g.name;
  std::set<std::string> to;
  for (const auto* ids : {&g.log->configuration().voters, &g.log->configuration().learners}) {
    for (const log::ServerId id : *ids) {
      const auto server = g.servers.find(id);
      if (server == g.servers.end()) continue;
      frame.servers[id] = server->second;
      if (id != g.log->self()) to.insert(server->second.first);
    }
  }
  for (const std::string& member : to) links_.Send(member, frame);
}

// Runs on a thread of its own and reads the store in one read transaction, so that neither the loop nor the
// writer waits.
void ReplicaManager::Compact(Group& g) {
  compacting_ = true;
  g.bytes_since_snapshot = 0;
  compactor_ = std::thread([this, name = g.name, settings = g.store] {
    try {
      durable::SqliteStore store(settings, durable::SqliteStore::Mode::kInspect);
      const StoreContents contents = ReadContents(store);
      const std::lock_guard lock(results_lock_);
      compacted_snapshots_.emplace_back(name, log::Compact{contents.applied.index, Encode(contents)});
    } catch (const durable::StoreError&) {
      // The log keeps growing; compaction is retried when it has grown by the same amount.
      compact_failed_.store(true);
    }
    work_done_wakeup_.Notify();
  });
}

}  // namespace heronway::cluster::copies
