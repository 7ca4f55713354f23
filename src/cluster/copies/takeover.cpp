// Part of ReplicaManager: which process serves a group (its owner, or another member while the owner is
// gone), and the opening of a front's own store.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "src/cluster/copies/group.h"
#include "src/durable/codec.h"
#include "src/log/log.h"

namespace heronway::cluster::copies {

// The claim goes through the log, so that all replicas agree on which batches count from which entry on.
void ReplicaManager::ClaimGroup(Group& g) {
  const Micros now = shared_.loop.Now();
  if (g.channel || g.loading || g.outdated) return;
  // A claim that commits late counts only if no other one has been made since, so it is awaited.
  const bool uncommitted = g.log->commit_index() < g.log->last_index();
  if (g.claim_pending && (uncommitted || now - g.changed_at < 2 * kSecond)) return;
  g.claim_pending = true;
  g.changed_at = now;
  g.epoch = kFencedEpoch | static_cast<std::uint64_t>(boot_time_ + static_cast<Micros>(++claims_));
  Batch claim{g.epoch, 0, {}};
  durable::Record clock_change;
  clock_change.kind = durable::RecordKind::kClockSteppedBack;
  clock_change.at = net::Loop::WallClock();
  // Times stored by another process that served the group are by its clock; keyed jobs must not rely on them.
  const bool other_clock = !g.own || !g.opening || g.last_epoch != g.stored_epoch;
  claim.records = durable::Encode(other_clock ? std::vector{clock_change} : std::vector<durable::Record>{});
  log::Propose p;
  p.request_id = ++last_request_id_;
  p.data = Encode(claim);
  HandleEvent(g, std::move(p));
}

// Applies the entry if it claims the group, and returns whether it does. Claims are small, so larger entries
// are not decoded.
bool ReplicaManager::ApplyIfClaim(Group& g, log::Index index, const std::string& data) {
  constexpr std::size_t kMaxClaimBytes = 256;
  if (data.size() > kMaxClaimBytes) return false;
  const auto batch = DecodeBatch(data);
  if (!batch) return false;
  if (batch->number != 0) {
    if ((batch->epoch & kFencedEpoch) == 0) g.last_epoch = batch->epoch;
    return false;
  }
  g.last_epoch = batch->epoch;
  if (g.channel) StopServing(g);
  if (!g.claim_pending || batch->epoch != g.epoch) return true;
  g.claim_pending = false;
  g.releasing = false;
  g.channel = std::make_shared<LogChannel>([this] { proposals_wakeup_.Notify(); });
  g.claim_index = index;
  if (!g.opening) LoadJobs(g);
  return true;
}

void ReplicaManager::StopServing(Group& g) {
  if (g.channel) g.channel->Close();
  g.channel.reset();
  g.epoch = 0;
  if (std::exchange(g.loading, false)) return;  // no front has its jobs yet
  heronway::log::Event(heronway::log::Level::kWarn, "copies",
                       {{"group", g.name}, {"state", "no longer served here"}});
  if (front_hooks_.stop) front_hooks_.stop(g.name, FrontOf(g.name), g.own);
}

// Reads the log up to the claim on a separate thread; the front receives the jobs afterwards.
void ReplicaManager::LoadJobs(Group& g) {
  g.loading = true;
  if (!g.own) {
    const auto own_group = std::find_if(groups_.begin(), groups_.end(), [&g](const auto& p) {
      return p.second->own && FrontOf(p.first) == FrontOf(g.name);
    });
    if (own_group == groups_.end()) return StopServing(g);  // the front is not enabled here
    char name[40];
    std::snprintf(name, sizeof name, "/held-%016llx.db",
                  static_cast<unsigned long long>(XXH3_64bits(g.name.data(), g.name.size())));
    g.store = own_group->second->store;
    g.store.file = settings_.folder + name;
  }
  load_queue_.push_back({g.name, g.epoch, g.own, g.store, ReadLog(*g.log, 0, g.claim_index)});
  LoadNext();
}

void ReplicaManager::LoadNext() {
  if (load_queue_.empty() || loader_.joinable()) return;
  loader_ = std::thread([this, task = std::move(load_queue_.front())] {
    LoadResult out;
    out.group = task.group;
    out.epoch = task.epoch;
    try {
      if (!task.own) {
        // A file of an earlier takeover is not needed: the log has everything.
        for (const char* suffix : {"", "-wal", "-shm"}) std::remove((task.store.file + suffix).c_str());
      }
      auto store = std::make_unique<durable::SqliteStore>(task.store, durable::SqliteStore::Mode::kServe);
      CatchUp(*store, task.section);
      StoreContents contents = ReadContents(*store);
      out.transferred.jobs = std::move(contents.jobs);
      out.transferred.clock_stepped_at = contents.clock_stepped_at;
      out.store = std::move(store);
    } catch (const std::exception& e) {
      out.fault = e.what();
    }
    const std::lock_guard lock(results_lock_);
    loaded_.push_back(std::move(out));
    work_done_wakeup_.Notify();
  });
  load_queue_.pop_front();
}

void ReplicaManager::FinishLoads() {
  std::vector<LoadResult> results;
  {
    const std::lock_guard lock(results_lock_);
    results.swap(loaded_);
  }
  if (results.empty()) return;
  loader_.join();
  for (LoadResult& r : results) {
    Group* g = FindGroup(r.group);
    // Skips a group that another process has claimed in the meantime.
    if (g == nullptr || !g->loading || g->epoch != r.epoch) continue;
    if (r.store == nullptr) {
      heronway::log::Event(heronway::log::Level::kError, "copies",
                           {{"group", g->name}, {"fault", "cannot take over: " + r.fault}});
      StopServing(*g);
      continue;
    }
    g->loading = false;
    ++takeovers_;
    heronway::log::Event(heronway::log::Level::kWarn, "copies",
                         {{"group", g->name},
                          {"state", g->own ? "returned to its owner" : "taken over"},
                          {"jobs", r.transferred.jobs.size()}});
    r.transferred.group = g->name;
    r.transferred.front = FrontOf(g->name);
    r.transferred.returned = g->own;
    r.transferred.store = std::make_unique<ReplicatedStore>(std::move(r.store), g->channel, g->epoch);
    if (front_hooks_.serve) front_hooks_.serve(std::move(r.transferred));
  }
  LoadNext();
}

// Returns true once the group is no longer served here. Jobs in progress get kReleaseTimeout to end.
bool ReplicaManager::ReleaseGroup(Group& g) {
  if (!g.channel) return true;
  const Micros now = shared_.loop.Now();
  if (!std::exchange(g.releasing, true)) g.changed_at = now;
  const bool idle = !g.loading && front_hooks_.idle && front_hooks_.idle(g.name, FrontOf(g.name));
  if (!idle && now - g.changed_at < kReleaseTimeout) return false;
  StopServing(g);
  return true;
}

std::unique_ptr<durable::Store> ReplicaManager::OpenReplicatedStore(
    const std::string& front, std::unique_ptr<durable::SqliteStore> store) {
  Group* g = nullptr;
  for (auto& [name, group] : groups_) {  // take the newest: names end with the creation time
    if (OwnerOf(name) == settings_.name && FrontOf(name) == front) g = group.get();
  }
  const durable::Applied stored_position = store->applied();
  if (stored_position.index == 0)
    g = nullptr;  // the store was written without its log since, or is a restored one
  const bool data_lost = g == nullptr;
  bool restored = false;
  if (g == nullptr) {
    // The present contents of the store become the group's first snapshot.
    const StoreContents contents = ReadContents(*store);
    restored = !contents.jobs.empty();
    StoredGroup new_group;
    new_group.group = GroupName(settings_.name, front, boot_time_);
    new_group.self = NewServerId();
    auto first = std::make_shared<log::Snapshot>();
    first->index = 1;
    first->configuration.voters = {new_group.self};
    first->data = Encode(contents);
    new_group.log.snapshot = first;
    store->ReplaceContents(contents.clock_stepped_at, contents.jobs, {1, 0, 0});
    g = &AddGroup(std::move(new_group), false);
  }
  g->own = g->opening = true;
  // An operator has restored the jobs here: no other member may run them or be asked for them.
  if (settings_.takeover_delay > 0 && !restored)
    own_fronts_.insert_or_assign(front,
                                 OwnFront{g->name, FormerReplicas(settings_.name, data_lost, started_at_)});
  g->store = {store->file(), store->class_names(), store->class_rules(), 0};
  g->stored_epoch = stored_position.epoch;
  if (g->last_epoch == 0 && g->log->snapshot() != nullptr) {
    if (const auto contents = DecodeStoreContents(g->log->snapshot()->data))
      g->last_epoch = contents->applied.epoch;
  }
  Micros last_warning_at = shared_.loop.Now();
  while (!g->channel || g->log->role() != log::Role::kLeader) {
    shared_.loop.WaitAndRunOnce();
    if (g->log->role() == log::Role::kLeader && g->log->commit_index() == g->log->last_index())
      ClaimGroup(*g);
    if (shared_.loop.Now() - last_warning_at < 5 * kSecond) continue;
    last_warning_at = shared_.loop.Now();
    heronway::log::Event(heronway::log::Level::kWarn, "copies",
                         {{"group", g->name}, {"state", "waiting for a majority"}});
  }
  g->opening = false;
  const durable::Applied applied = CatchUp(*store, ReadLog(*g->log, stored_position.index, g->claim_index));
  heronway::log::Event(heronway::log::Level::kInfo, "copies",
                       {{"group", g->name}, {"state", "led"}, {"applied", applied.index}});
  return std::make_unique<ReplicatedStore>(std::move(store), g->channel, g->epoch);
}

}  // namespace heronway::cluster::copies
