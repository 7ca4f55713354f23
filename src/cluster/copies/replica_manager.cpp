#include "src/cluster/copies/replica_manager.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"
#include "src/cluster/log/codec.h"
#include "src/log/log.h"

namespace heronway::cluster::copies {
std::string GroupName(const std::string& owner, const std::string& front, Micros created_at) {
  return owner + "/" + front + "/" + std::to_string(created_at);
}
std::string FrontOf(const std::string& group) {
  const auto last = group.rfind('/');
  const auto first = last == group.npos || last == 0 ? group.npos : group.rfind('/', last - 1);
  return first == group.npos ? "" : group.substr(first + 1, last - first - 1);
}
std::string OwnerOf(const std::string& group) {
  const std::string front = FrontOf(group);
  return front.empty() ? "" : group.substr(0, group.rfind("/" + front + "/"));
}

ReplicaManager::ReplicaManager(net::StreamContext& shared, const Settings& settings)
    : shared_(shared),
      settings_(settings),
      boot_time_(net::Loop::WallClock()),
      started_at_(shared.loop.Now()),
      written_wakeup_(shared.loop, [this] { OnWritten(); }),
      proposals_wakeup_(shared.loop, [this] { ProposePending(); }),
      work_done_wakeup_(shared.loop,
                        [this] {
                          std::vector<std::pair<std::string, log::Compact>> ready;
                          {
                            const std::lock_guard lock(results_lock_);
                            ready.swap(compacted_snapshots_);
                          }
                          if (!ready.empty() || compact_failed_.exchange(false)) {
                            if (compactor_.joinable()) compactor_.join();
                            compacting_ = false;
                          }
                          FinishLoads();
                          for (auto& [name, compact] : ready) {
                            if (Group* g = FindGroup(name)) HandleEvent(*g, std::move(compact));
                          }
                        }),
      check_timer_(shared.loop, [this] { CheckGroups(); }),
      report_forwarder_(shared.loop),
      lookup_queries_(shared.loop, [](const JobReply& reply) { return reply.status >= LookupStatus::kOpen; }),
      lookup_retry_timer_(shared.loop, [this] { RetryLookups(); }),
      links_(shared, {settings.fleet, settings.name, settings.listen, settings.dial_addresses},
             [this](const std::string& from, Frame frame) { OnFrame(from, std::move(frame)); }),
      replica_store_(settings.folder, [this] { written_wakeup_.Notify(); }) {
  for (StoredGroup& g : replica_store_.Read()) AddGroup(std::move(g), true);
  check_timer_.Start(kCheckInterval);
}

ReplicaManager::~ReplicaManager() {
  for (auto& [name, g] : groups_) {
    if (g->channel) g->channel->Close();
  }
  if (compactor_.joinable()) compactor_.join();
  if (loader_.joinable()) loader_.join();
}

log::ServerId ReplicaManager::NewServerId() {
  const std::uint64_t numbers[] = {static_cast<std::uint64_t>(boot_time_), ++server_ids_created_};
  const std::uint64_t name_hash = XXH3_64bits(settings_.name.data(), settings_.name.size());
  return XXH3_64bits_withSeed(numbers, sizeof numbers, name_hash) >> 1 | 1;
}

ReplicaManager::Group* ReplicaManager::FindGroup(const std::string& name) {
  const auto it = groups_.find(name);
  return it == groups_.end() ? nullptr : it->second.get();
}

ReplicaManager::Group& ReplicaManager::AddGroup(StoredGroup state, bool stored) {
  const std::string name = state.group;
  const log::ServerId self = state.self;
  log::PersistentState log = state.log;
  state.servers[self] = {settings_.name, net::ToText(links_.address())};
  for (const auto& [id, server] : state.servers) links_.SetAddress(server.first, server.second);
  if (!stored) replica_store_.Enqueue(name, state);
  auto group = std::make_unique<Group>(*this, std::move(state));
  Group& g = *group;
  g.stored = stored;
  g.log =
      std::make_unique<log::Log>(log::Settings{}, self, std::move(log),
                                 settings_.seed + XXH3_64bits(name.data(), name.size()), shared_.loop.Now());
  groups_[name] = std::move(group);
  g.timer.Start(1);
  return g;
}

void ReplicaManager::HandleEvent(Group& g, log::Event event) {
  std::vector<log::Effect> effects;
  g.log->Handle(shared_.loop.Now(), std::move(event), effects);
  for (log::Effect& effect : effects) CarryOut(g, effect);
}

void ReplicaManager::CarryOut(Group& g, log::Effect& effect) {
  if (auto* wake = std::get_if<log::WakeAt>(&effect)) {
    g.timer.Start(std::max<Micros>(wake->at - shared_.loop.Now(), 0));
  } else if (auto* persist = std::get_if<log::Persist>(&effect)) {
    replica_store_.Enqueue(g.name, std::move(*persist));
  } else if (auto* send = std::get_if<log::Send>(&effect)) {
    const auto to = g.servers.find(send->message.to);
    if (to == g.servers.end()) return;
    Frame f;
    f.kind = Frame::Kind::kLog;
    f.group = g.name;
    f.message = log::Encode(send->message);
    links_.Send(to->second.first, f);
  } else if (auto* apply = std::get_if<log::Apply>(&effect)) {
    log::Index index = apply->first;
    for (const log::EntryPtr& e : apply->entries) {
      g.bytes_since_snapshot += e->data.size();
      if (e->kind == log::EntryKind::kData && !ApplyIfClaim(g, index, e->data) && g.channel)
        g.channel->Deliver(index, e->data);
      ++index;
    }
  } else if (std::holds_alternative<log::Restore>(effect)) {
    if (!g.own) return;
    const auto contents = DecodeStoreContents(g.log->snapshot()->data);
    if (contents) g.last_epoch = contents->applied.epoch;
    // Another process has served the group while this one was paused, and has taken a snapshot since.
    if (g.channel) return StopServing(g);
    if (!contents || contents->applied.epoch != g.stored_epoch) return;
    // The snapshot was taken under this scheduler's own claim, but the log on its disk lacks it.
    g.outdated = true;
    heronway::log::Event(heronway::log::Level::kError, "copies",
                         {{"group", g.name}, {"fault", "this disk is older than the other replicas"}});
  } else if (auto* role = std::get_if<log::RoleChanged>(&effect)) {
    if (g.channel) g.channel->NoteRoleChange();
    const auto leader = g.servers.find(role->leader);
    heronway::log::Event(heronway::log::Level::kInfo, "copies",
                         {{"group", g.name},
                          {"role", kRoles[static_cast<int>(role->role)]},
                          {"term", role->term},
                          {"leader", leader == g.servers.end() ? "unknown" : leader->second.first}});
  } else if (std::holds_alternative<log::Rejected>(effect)) {
    if (g.channel) g.channel->Reject("this scheduler does not lead the group");
  }
}

void ReplicaManager::OnFrame(const std::string& from, Frame f) {
  Group* g = FindGroup(f.group);
  switch (f.kind) {
    case Frame::Kind::kLog: {
      if (g == nullptr || !g->stored) return;
      auto message = log::DecodeMessage(f.message);
      if (!message || message->to != g->log->self()) {
        ++links_.frames_malformed;
        return;
      }
      LearnServer(*g, message->from, from, links_.AddressOf(from));
      return HandleEvent(*g, log::Received{std::move(*message)});
    }
    case Frame::Kind::kInvite: {
      // A member may invite others to its own groups only.
      if (OwnerOf(f.group) != from || from == settings_.name) return;
      if (g == nullptr) {
        const auto foreign_groups =
            std::count_if(groups_.begin(), groups_.end(), [](const auto& p) { return !p.second->own; });
        if (static_cast<std::size_t>(foreign_groups) >= kMaxGroups) return;
        StoredGroup empty;
        empty.group = f.group;
        empty.self = NewServerId();
        heronway::log::Event(heronway::log::Level::kInfo, "copies",
                             {{"group", f.group}, {"state", "replica created"}});
        AddGroup(std::move(empty), false);
        return;  // the invitation is accepted in OnWritten(), when the group is on disk
      }
      if (!g->stored) return;
      Frame accept;
      accept.kind = Frame::Kind::kAccept;
      accept.group = f.group;
      accept.server = g->log->self();
      return links_.Send(from, accept);
    }
    case Frame::Kind::kAccept:
      if (g == nullptr || !g->own || f.server == 0) return;
      LearnServer(*g, f.server, from, links_.AddressOf(from));
      g->accepted.insert(f.server);
      if (g->invited == from) g->invited.clear();
      return;
    case Frame::Kind::kServers:
      if (g == nullptr) return;
      for (const auto& [id, server] : f.servers) LearnServer(*g, id, server.first, server.second);
      return;
    case Frame::Kind::kRequest:
      return f.detail == kLookup ? OnQuery(from, f) : OnReport(from, f);
    case Frame::Kind::kReply:
      if (f.detail == kLookup) return OnReply(from, f);
      return report_forwarder_.OnReply(f.server, from,
                                       f.detail == kReportStored       ? ForwardOutcome::kStored
                                       : f.detail == kReportUnknownJob ? ForwardOutcome::kUnknownJob
                                                                       : ForwardOutcome::kRetry);
    case Frame::Kind::kHello:
      return;
  }
}

void ReplicaManager::LearnServer(Group& g, log::ServerId id, const std::string& member,
                                 const std::string& address) {
  if (id == g.log->self() || member.empty()) return;
  if (!address.empty()) links_.SetAddress(member, address);
  auto& server = g.servers[id];
  if (server.first == member && (address.empty() || server.second == address)) return;
  server = {member, address.empty() ? server.second : address};
  // Limits memory when servers come and go: keeps the group's servers and as many former ones.
  while (g.servers.size() > 2 * log::kMaxServers) g.servers.erase(g.servers.begin());
  replica_store_.Enqueue(g.name, g.servers);
}

void ReplicaManager::OnWritten() {
  for (const ReplicaStore::Completion& done : replica_store_.TakeCompletions()) {
    Group* g = FindGroup(done.group);
    if (g == nullptr) continue;
    if (done.number != 0) {
      HandleEvent(*g, log::Persisted{done.number});
      continue;
    }
    g->stored = true;
    if (g->own) continue;
    Frame accept;
    accept.kind = Frame::Kind::kAccept;
    accept.group = g->name;
    accept.server = g->log->self();
    links_.Send(OwnerOf(g->name), accept);
  }
  std::string fault = replica_store_.fault();
  if (fault == fault_) return;
  fault_ = std::move(fault);
  heronway::log::Event(
      fault_.empty() ? heronway::log::Level::kInfo : heronway::log::Level::kError, "copies",
      {{fault_.empty() ? "state" : "fault", fault_.empty() ? "store writes work again" : fault_}});
}

void ReplicaManager::ProposePending() {
  for (auto& [name, g] : groups_) {
    if (!g->channel) continue;
    for (std::string& data : g->channel->TakeProposals()) {
      log::Propose p;
      p.request_id = ++last_request_id_;
      p.data = std::move(data);
      HandleEvent(*g, std::move(p));
    }
  }
}

}  // namespace heronway::cluster::copies
