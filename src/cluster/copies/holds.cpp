// Who holds a group: its owner, or whoever looks after it while the owner is gone; and a front's own store.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "src/cluster/copies/group.h"
#include "src/durable/codec.h"
#include "src/log/log.h"

namespace heronway::cluster::copies {

// Asked for through the log, so that all agree on what counts from where on.
void Copies::TakeHold(Group& g) {
  const Micros now = shared_.loop.Now();
  if (g.held || g.reading || g.older || (g.asking && now - g.took < 2 * kSecond)) return;
  g.asking = true;
  g.took = now;
  g.life = kFenced | static_cast<std::uint64_t>(life_ + static_cast<Micros>(++holds_));
  Batch take{g.life, 0, {}};
  durable::Record broke;
  broke.kind = durable::Kind::kClock;
  broke.at = net::Loop::WallClock();
  // Guards a keyed job's window: times of before are by another's clock, if another held it.
  const bool others = !g.mine || !g.starts || g.last_life != g.known_life;
  take.records = durable::Encode(others ? std::vector{broke} : std::vector<durable::Record>{});
  log::Propose p;
  p.request_id = ++tickets_;
  p.data = Encode(take);
  Post(g, std::move(p));
}

// Whether this entry takes hold of the group. They are small: of others nothing is decoded here.
bool Copies::LooksAtHold(Group& g, log::Index index, const std::string& data) {
  constexpr std::size_t kMostOfHold = 256;  // bytes
  if (data.size() > kMostOfHold) return false;
  const auto batch = DecodeBatch(data);
  if (!batch) return false;
  if (batch->number != 0) {
    if ((batch->life & kFenced) == 0) g.last_life = batch->life;
    return false;
  }
  g.last_life = batch->life;
  if (g.held) Lost(g);
  if (!g.asking || batch->life != g.life) return true;
  g.asking = false;
  g.giving_back = false;
  g.held = std::make_shared<OwnGroup>([this] { asked_.Ask(); });
  g.hold_at = index;
  if (!g.starts) Read(g);
  return true;
}

void Copies::Lost(Group& g) {
  if (g.held) g.held->End();
  g.held.reset();
  g.life = 0;
  if (std::exchange(g.reading, false)) return;  // nobody has its jobs yet
  heronway::log::Event(heronway::log::Level::kWarn, "copies",
                       {{"group", g.name}, {"state", "held by another now"}});
  if (host_.lost) host_.lost(g.name, FrontOf(g.name), g.mine);
}

// Reads what the log says up to the hold, by a thread of its own; the front is given the jobs then.
void Copies::Read(Group& g) {
  g.reading = true;
  if (!g.mine) {
    const auto like = std::find_if(groups_.begin(), groups_.end(), [&g](const auto& p) {
      return p.second->mine && FrontOf(p.first) == FrontOf(g.name);
    });
    if (like == groups_.end()) return Lost(g);  // that front is off here
    char name[40];
    std::snprintf(name, sizeof name, "/held-%016llx.db",
                  static_cast<unsigned long long>(XXH3_64bits(g.name.data(), g.name.size())));
    g.store = like->second->store;
    g.store.file = settings_.folder + name;
  }
  to_read_.push_back({g.name, g.life, g.mine, g.store, SaidBy(*g.log, 0, g.hold_at)});
  ReadNext();
}

void Copies::ReadNext() {
  if (to_read_.empty() || reader_.joinable()) return;
  reader_ = std::thread([this, task = std::move(to_read_.front())] {
    WasRead out;
    out.group = task.group;
    out.life = task.life;
    try {
      if (!task.mine) {
        // What is left of an earlier time counts for nothing: the log has everything.
        for (const char* end : {"", "-wal", "-shm"}) std::remove((task.store.file + end).c_str());
      }
      auto store = std::make_unique<durable::SqliteStore>(task.store, durable::SqliteStore::Use::kServe);
      CatchUp(*store, task.said);
      Dump dump = DumpOf(*store);
      out.held.jobs = std::move(dump.jobs);
      out.held.clock_broke = dump.clock_broke;
      out.store = std::move(store);
    } catch (const std::exception& e) {
      out.fault = e.what();
    }
    const std::lock_guard hold(compact_lock_);
    read_.push_back(std::move(out));
    compacted_.Ask();
  });
  to_read_.pop_front();
}

void Copies::TakeRead() {
  std::vector<WasRead> read;
  {
    const std::lock_guard hold(compact_lock_);
    read.swap(read_);
  }
  if (read.empty()) return;
  reader_.join();
  for (WasRead& r : read) {
    Group* g = Find(r.group);
    if (g == nullptr || !g->reading || g->life != r.life) continue;  // it was lost meanwhile
    if (r.store == nullptr) {
      heronway::log::Event(heronway::log::Level::kError, "copies",
                           {{"group", g->name}, {"fault", "cannot be held here: " + r.fault}});
      Lost(*g);
      continue;
    }
    g->reading = false;
    ++taken_over_;
    heronway::log::Event(
        heronway::log::Level::kWarn, "copies",
        {{"group", g->name}, {"state", g->mine ? "held again" : "taken over"}, {"jobs", r.held.jobs.size()}});
    r.held.group = g->name;
    r.held.front = FrontOf(g->name);
    r.held.own = g->mine;
    r.held.store = std::make_unique<CopiedStore>(std::move(r.store), g->held, g->life);
    if (host_.hold) host_.hold(std::move(r.held));
  }
  ReadNext();
}

// What is in hand is finished first, for a while; then it is nobody's here.
bool Copies::GaveBack(Group& g) {
  if (!g.held) return true;
  const Micros now = shared_.loop.Now();
  if (!std::exchange(g.giving_back, true)) g.took = now;
  const bool idle = !g.reading && host_.idle && host_.idle(g.name, FrontOf(g.name));
  if (!idle && now - g.took < kGivesBack) return false;
  Lost(g);
  return true;
}

// ---- a front's own store

std::unique_ptr<durable::Store> Copies::Lead(const std::string& front,
                                             std::unique_ptr<durable::SqliteStore> store) {
  Group* g = nullptr;
  for (auto& [name, group] : groups_) {  // the newest: names end with the time at which they were made
    if (OwnerOf(name) == settings_.name && FrontOf(name) == front) g = group.get();
  }
  const durable::Applied before = store->applied();
  if (before.index == 0) g = nullptr;  // it was written without its log since, or comes from elsewhere
  const bool forgot = g == nullptr;
  bool restored = false;
  if (g == nullptr) {
    // What the store holds already is the group's first snapshot.
    const Dump dump = DumpOf(*store);
    restored = !dump.jobs.empty();
    GroupOnDisk made;
    made.group = GroupName(settings_.name, front, life_);
    made.self = NewServer();
    auto first = std::make_shared<log::Snapshot>();
    first->index = 1;
    first->configuration.voters = {made.self};
    first->data = Encode(dump);
    made.log.snapshot = first;
    store->Refill(dump.clock_broke, dump.jobs, {1, 0, 0});
    g = &Add(std::move(made), false);
  }
  g->mine = g->starts = true;
  // What an operator has restored is here: nobody else is to run it, or to be asked for it.
  if (settings_.takeover > 0 && !restored)
    own_.insert_or_assign(front, OwnFront{g->name, EarlierLives(settings_.name, forgot, began_)});
  g->store = {store->file(), store->names(), store->classes(), 0};
  g->known_life = before.life;
  if (g->last_life == 0 && g->log->snapshot() != nullptr) {
    if (const auto dump = DecodeDump(g->log->snapshot()->data)) g->last_life = dump->applied.life;
  }
  Micros told = shared_.loop.Now();
  while (!g->held || g->log->role() != log::Role::kLeader) {
    shared_.loop.RunTurn();
    if (g->log->role() == log::Role::kLeader && g->log->commit_index() == g->log->last_index()) TakeHold(*g);
    if (shared_.loop.Now() - told < 5 * kSecond) continue;
    told = shared_.loop.Now();
    heronway::log::Event(heronway::log::Level::kWarn, "copies",
                         {{"group", g->name}, {"state", "waits for a majority of its copies"}});
  }
  g->starts = false;
  const durable::Applied applied = CatchUp(*store, SaidBy(*g->log, before.index, g->hold_at));
  heronway::log::Event(heronway::log::Level::kInfo, "copies",
                       {{"group", g->name}, {"state", "led"}, {"applied", applied.index}});
  return std::make_unique<CopiedStore>(std::move(store), g->held, g->life);
}

}  // namespace heronway::cluster::copies
