#include "src/cluster/copies/copies.h"

#include <json/writer.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include "src/cluster/log/codec.h"
#include "src/cluster/net/options.h"
#include "src/durable/codec.h"
#include "src/log/log.h"

namespace heronway::cluster::copies {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr const char* kRoles[] = {"follower", "asks", "stands", "leader"};

Micros WallClock() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string GroupName(const std::string& owner, const std::string& front, Micros life) {
  return owner + "/" + front + "/" + std::to_string(life);
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

struct Copies::Group {
  Group(Copies& owner, GroupOnDisk on_disk)
      : copies(owner),
        name(std::move(on_disk.group)),
        servers(std::move(on_disk.servers)),
        timer(owner.shared_.loop, [this] { copies.Post(*this, log::Tick{}); }) {}
  Copies& copies;
  std::string name;
  std::unique_ptr<log::Log> log;
  Servers servers;
  net::Timer timer;
  bool mine = false;                     // of this scheduler's own store, which is open
  std::shared_ptr<OwnGroup> held;        // set: this process holds it, its own or another's
  durable::SqliteStore::Settings store;  // where it is kept while it is held
  std::uint64_t life = 0;                // of the hold, asked for or had; 0: neither
  std::uint64_t last_life = 0;           // of the last hold in the log, whoever's
  std::uint64_t known_life = 0;          // the last that the store knew when this process began
  log::Index hold_at = 0;                // the entry that took the hold
  bool asking = false;                   // for the hold
  bool reading = false;                  // its state, once it has the hold
  bool starts = false;                   // Lead() reads it
  Micros took = 0;                       // when the hold was asked for, or begun to be given back
  bool giving_back = false;
  bool older = false;            // this disk has forgotten some of it: nothing is held here
  std::string invited;           // a member that was asked to keep a copy
  std::set<log::ServerId> here;  // servers that said they would
  Micros told = 0, handed = 0, asked = 0;
  std::size_t grown = 0;  // bytes committed since the last snapshot
  bool made = true;       // it is on disk
};

Copies::Copies(net::Shared& shared, const Settings& settings)
    : shared_(shared),
      settings_(settings),
      life_(WallClock()),
      began_(shared.loop.Now()),
      written_(shared.loop, [this] { Written(); }),
      asked_(shared.loop, [this] { Propose(); }),
      compacted_(shared.loop,
                 [this] {
                   std::vector<std::pair<std::string, log::Compact>> ready;
                   {
                     const std::lock_guard hold(compact_lock_);
                     ready.swap(ready_);
                   }
                   if (!ready.empty() || compact_failed_.exchange(false)) {
                     if (compactor_.joinable()) compactor_.join();
                     compacting_ = false;
                   }
                   TakeRead();
                   for (auto& [name, compact] : ready) {
                     if (Group* g = Find(name)) Post(*g, std::move(compact));
                   }
                 }),
      look_(shared.loop, [this] { Look(); }),
      doors_(shared.loop),
      links_(shared, {settings.fleet, settings.name, settings.listen, settings.reach},
             [this](const std::string& from, Frame frame) { Got(from, std::move(frame)); }),
      disk_(settings.folder, [this] { written_.Ask(); }) {
  for (GroupOnDisk& g : disk_.Read()) Add(std::move(g), true);
  look_.Start(kLooks);
}

Copies::~Copies() {
  for (auto& [name, g] : groups_) {
    if (g->held) g->held->End();
  }
  if (compactor_.joinable()) compactor_.join();
  if (reader_.joinable()) reader_.join();
}

log::ServerId Copies::NewServer() {
  const std::uint64_t numbers[] = {static_cast<std::uint64_t>(life_), ++servers_made_};
  const std::uint64_t of_name = XXH3_64bits(settings_.name.data(), settings_.name.size());
  return XXH3_64bits_withSeed(numbers, sizeof numbers, of_name) >> 1 | 1;
}

Copies::Group* Copies::Find(const std::string& name) {
  const auto it = groups_.find(name);
  return it == groups_.end() ? nullptr : it->second.get();
}

Copies::Group& Copies::Add(GroupOnDisk on_disk, bool made) {
  const std::string name = on_disk.group;
  const log::ServerId self = on_disk.self;
  log::OnDisk log = on_disk.log;
  on_disk.servers[self] = {settings_.name, net::ToText(links_.address())};
  for (const auto& [id, who] : on_disk.servers) links_.Place(who.first, who.second);
  if (!made) disk_.Hand(name, on_disk);
  auto group = std::make_unique<Group>(*this, std::move(on_disk));
  Group& g = *group;
  g.made = made;
  g.log =
      std::make_unique<log::Log>(log::Settings{}, self, std::move(log),
                                 settings_.seed + XXH3_64bits(name.data(), name.size()), shared_.loop.Now());
  groups_[name] = std::move(group);
  g.timer.Start(1);
  return g;
}

void Copies::Post(Group& g, log::Event event) {
  std::vector<log::Effect> effects;
  g.log->Handle(shared_.loop.Now(), std::move(event), effects);
  for (log::Effect& effect : effects) Carry(g, effect);
}

void Copies::Carry(Group& g, log::Effect& effect) {
  if (auto* wake = std::get_if<log::WakeAt>(&effect)) {
    g.timer.Start(std::max<Micros>(wake->at - shared_.loop.Now(), 0));
  } else if (auto* persist = std::get_if<log::Persist>(&effect)) {
    disk_.Hand(g.name, std::move(*persist));
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
      g.grown += e->data.size();
      if (e->kind == log::EntryKind::kData && !LooksAtHold(g, index, e->data) && g.held)
        g.held->Deliver(index, e->data);
      ++index;
    }
  } else if (std::holds_alternative<log::Restore>(effect)) {
    if (!g.mine) return;
    const auto dump = DecodeDump(g.log->snapshot()->data);
    if (dump) g.last_life = dump->applied.life;
    // Another has held it while this process stood still, and has made a snapshot since.
    if (g.held) return Lost(g);
    if (!dump || dump->applied.life != g.known_life) return;
    // This scheduler's own snapshot, and its disk has forgotten it.
    g.older = true;
    heronway::log::Event(heronway::log::Level::kError, "copies",
                         {{"group", g.name}, {"fault", "this disk is older than the copies"}});
  } else if (auto* role = std::get_if<log::RoleChanged>(&effect)) {
    const auto leader = g.servers.find(role->leader);
    heronway::log::Event(heronway::log::Level::kInfo, "copies",
                         {{"group", g.name},
                          {"role", kRoles[static_cast<int>(role->role)]},
                          {"term", role->term},
                          {"leader", leader == g.servers.end() ? "unknown" : leader->second.first}});
  } else if (std::holds_alternative<log::Refused>(effect)) {
    if (g.held) g.held->Refuse("this scheduler does not lead its copies now");
  }
}

void Copies::Got(const std::string& from, Frame f) {
  Group* g = Find(f.group);
  switch (f.kind) {
    case Frame::Kind::kLog: {
      if (g == nullptr || !g->made) return;
      auto message = log::DecodeMessage(f.message);
      if (!message || message->to != g->log->self()) {
        ++links_.malformed;
        return;
      }
      Learn(*g, message->from, from, links_.PlaceOf(from));
      return Post(*g, log::Received{std::move(*message)});
    }
    case Frame::Kind::kInvite: {
      // A member asks for copies of its own alone.
      if (OwnerOf(f.group) != from || from == settings_.name) return;
      if (g == nullptr) {
        const auto others =
            std::count_if(groups_.begin(), groups_.end(), [](const auto& p) { return !p.second->mine; });
        if (static_cast<std::size_t>(others) >= kMostGroups) return;
        GroupOnDisk empty;
        empty.group = f.group;
        empty.self = NewServer();
        heronway::log::Event(heronway::log::Level::kInfo, "copies",
                             {{"group", f.group}, {"state", "kept here"}});
        Add(std::move(empty), false);
        return;  // answered when it is on disk
      }
      if (!g->made) return;
      Frame here;
      here.kind = Frame::Kind::kHere;
      here.group = f.group;
      here.server = g->log->self();
      return links_.Send(from, here);
    }
    case Frame::Kind::kHere:
      if (g == nullptr || !g->mine || f.server == 0) return;
      Learn(*g, f.server, from, links_.PlaceOf(from));
      g->here.insert(f.server);
      if (g->invited == from) g->invited.clear();
      return;
    case Frame::Kind::kNames:
      if (g == nullptr) return;
      for (const auto& [id, who] : f.servers) Learn(*g, id, who.first, who.second);
      return;
    case Frame::Kind::kWord:
      return GotWord(from, f);
    case Frame::Kind::kHeard:
      return doors_.Answered(f.server, from,
                             f.at == "taken"    ? Heard::kTaken
                             : f.at == "nobody" ? Heard::kNobody
                                                : Heard::kNotNow);
    case Frame::Kind::kHello:
      return;
  }
}

void Copies::Learn(Group& g, log::ServerId id, const std::string& member, const std::string& at) {
  if (id == g.log->self() || member.empty()) return;
  if (!at.empty()) links_.Place(member, at);
  auto& who = g.servers[id];
  if (who.first == member && (at.empty() || who.second == at)) return;
  who = {member, at.empty() ? who.second : at};
  // Guards memory against servers that come and go: those of the group, and as many again.
  while (g.servers.size() > 2 * log::kMostServers) g.servers.erase(g.servers.begin());
  disk_.Hand(g.name, g.servers);
}

void Copies::Written() {
  for (const Disk::Done& done : disk_.TakeDone()) {
    Group* g = Find(done.group);
    if (g == nullptr) continue;
    if (done.number != 0) {
      Post(*g, log::Persisted{done.number});
      continue;
    }
    g->made = true;
    if (g->mine) continue;
    Frame here;
    here.kind = Frame::Kind::kHere;
    here.group = g->name;
    here.server = g->log->self();
    links_.Send(OwnerOf(g->name), here);
  }
  std::string fault = disk_.fault();
  if (fault == fault_) return;
  fault_ = std::move(fault);
  heronway::log::Event(fault_.empty() ? heronway::log::Level::kInfo : heronway::log::Level::kError, "copies",
                       {{fault_.empty() ? "state" : "fault", fault_.empty() ? "written again" : fault_}});
}

void Copies::Propose() {
  for (auto& [name, g] : groups_) {
    if (!g->held) continue;
    for (std::string& data : g->held->TakeAsked()) {
      log::Propose p;
      p.ticket = ++tickets_;
      p.data = std::move(data);
      Post(*g, std::move(p));
    }
  }
}

// ---- who keeps copies

void Copies::Look() {
  look_.Start(kLooks);
  const std::vector<Seen> members = members_ ? members_() : std::vector<Seen>{};
  for (const Seen& m : members) {
    if (!m.at.empty()) links_.Place(m.name, m.at);
  }
  for (auto& [name, g] : groups_) LookAt(*g, members);
}

void Copies::LookAt(Group& g, const std::vector<Seen>& members) {
  if (g.log->role() != log::Role::kLeader) return;
  const Micros now = shared_.loop.Now();
  if (now - g.told >= 2 * kSecond) TellNames(g);
  const log::Members& servers = g.log->members();
  if (g.mine && !g.held && !g.starts) TakeHold(g);
  if (!g.mine) {
    // Its owner is to lead it: nobody else runs its jobs while that is there.
    for (const auto& lag : g.log->Followers()) {
      const auto who = g.servers.find(lag.server);
      const bool owner = who != g.servers.end() && who->second.first == OwnerOf(g.name);
      if (!owner || now - lag.heard > kSecond) continue;
      if (!GaveBack(g) || now - g.handed < 2 * kSecond) return;
      g.handed = now;
      return Post(g, log::Transfer{lag.server});
    }
    if (g.held && g.giving_back) return Lost(g);  // its owner has gone again meanwhile
    const auto owner = std::find_if(members.begin(), members.end(),
                                    [&g](const Seen& m) { return m.name == OwnerOf(g.name); });
    // One that nobody has heard of is gone for longer than the fleet remembers.
    const Micros gone = owner != members.end() ? owner->gone_since : began_ + kRemembers;
    if (settings_.takeover > 0 && !g.held && !members.empty() && gone >= 0 &&
        now - gone >= settings_.takeover)
      TakeHold(g);
  }
  if (g.held && !g.reading && !compacting_ &&
      g.grown > std::max(kCompacts, g.log->snapshot() == nullptr ? 0 : g.log->snapshot()->data.size()))
    Compact(g);
  if (!g.mine) return;
  const auto change = [&](log::Change what, log::ServerId id) {
    Post(g, log::ChangeMembers{++tickets_, what, id});
    TellNames(g);
  };
  for (const auto& lag : g.log->Followers()) {
    const bool learns = std::binary_search(servers.learners.begin(), servers.learners.end(), lag.server);
    if (learns && lag.match >= g.log->committed()) return change(log::Change::kPromote, lag.server);
  }
  for (const log::ServerId id : g.here) {
    const bool in = std::binary_search(servers.voters.begin(), servers.voters.end(), id) ||
                    std::binary_search(servers.learners.begin(), servers.learners.end(), id);
    if (in) continue;
    // Added once; one that is taken out later has to be asked again.
    g.here.erase(id);
    return change(log::Change::kAddLearner, id);
  }
  if (members.empty()) return;
  std::vector<std::string> holders;
  std::map<std::string, log::ServerId> by_name;
  for (const auto* ids : {&servers.voters, &servers.learners}) {
    for (const log::ServerId id : *ids) {
      const auto who = g.servers.find(id);
      const std::string member = who == g.servers.end() ? "?" + std::to_string(id) : who->second.first;
      // A member with an older disk's server beside its new one: the older counts for nothing any more.
      if (by_name.contains(member)) return change(log::Change::kRemove, std::min(id, by_name[member]));
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
    return change(log::Change::kRemove, by_name[move->remove]);
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
  for (const auto* ids : {&g.log->members().voters, &g.log->members().learners}) {
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

// ---- who holds a group: its owner, or whoever looks after it while the owner is gone

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
  broke.at = WallClock();
  // Guards a keyed job's window: times of before are by another's clock, if another held it.
  const bool others = !g.mine || !g.starts || g.last_life != g.known_life;
  take.records = durable::Encode(others ? std::vector{broke} : std::vector<durable::Record>{});
  log::Propose p;
  p.ticket = ++tickets_;
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

// ---- any door
void Copies::Lead(const std::string& front, const core::HopNews& news, Doors::Told told) {
  std::vector<std::string> others;
  // Guards against word that is thrown away while whoever holds its job is out of sight, and may be back.
  bool lately_gone = false;
  for (const Seen& m : members_ ? members_() : std::vector<Seen>{}) {
    lately_gone |= m.gone_since >= 0 && shared_.loop.Now() - m.gone_since < kRemembers;
    if (m.name != settings_.name && !m.at.empty() && m.gone_since < 0 && others.size() < Links::kMostOut)
      others.push_back(m.name);
  }
  if (news.result.size() > Doors::kMostResult) return told(Heard::kNobody);
  Frame f;
  f.kind = Frame::Kind::kWord;
  f.group = front;
  f.message = EncodeWord(news);
  f.server = doors_.Ask(others, [told = std::move(told), lately_gone](Heard heard) {
    told(heard == Heard::kNobody && lately_gone ? Heard::kNotNow : heard);
  });
  if (f.server == 0) return;
  ++led_words_;
  for (const std::string& to : others) links_.Send(to, f);
}

// Answered from here alone: what is not held here is led nowhere else.
void Copies::GotWord(const std::string& from, const Frame& f) {
  auto news = DecodeWord(f.message);
  if (!news) {
    ++links_.malformed;
    return;
  }
  const auto answer = [this, from, number = f.server](const char* what) {
    Frame heard;
    heard.kind = Frame::Kind::kHeard;
    heard.server = number;
    heard.at = what;
    links_.Send(from, heard);
  };
  const auto told = [this, answer](bool stored) {
    taken_words_ += stored ? 1 : 0;
    answer(stored ? "taken" : "again");
  };
  if (host_.word && host_.word(f.group, std::move(*news), told)) return;
  // A group that nobody leads now, or that is led here and not held yet, may have it.
  const bool limbo = std::any_of(groups_.begin(), groups_.end(), [&f](const auto& p) {
    const Group& g = *p.second;
    const bool led = g.log->role() == log::Role::kLeader;
    return FrontOf(p.first) == f.group && (g.log->leader() == 0 || (led && (!g.held || g.reading)));
  });
  answer(limbo ? "again" : "nobody");
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
  if (g == nullptr) {
    // What the store holds already is the group's first snapshot.
    const Dump dump = DumpOf(*store);
    GroupOnDisk made;
    made.group = GroupName(settings_.name, front, life_);
    made.self = NewServer();
    auto first = std::make_shared<log::Snapshot>();
    first->index = 1;
    first->members.voters = {made.self};
    first->data = Encode(dump);
    made.log.snapshot = first;
    store->Refill(dump.clock_broke, dump.jobs, {1, 0, 0});
    g = &Add(std::move(made), false);
  }
  g->mine = g->starts = true;
  g->store = {store->file(), store->names(), store->classes(), 0};
  g->known_life = before.life;
  if (g->last_life == 0 && g->log->snapshot() != nullptr) {
    if (const auto dump = DecodeDump(g->log->snapshot()->data)) g->last_life = dump->applied.life;
  }
  Micros told = shared_.loop.Now();
  while (!g->held || g->log->role() != log::Role::kLeader) {
    shared_.loop.RunTurn();
    if (g->log->role() == log::Role::kLeader && g->log->committed() == g->log->last()) TakeHold(*g);
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

// ---- looking in

std::string Copies::Body() const {
  Json::Value out;
  out["name"] = settings_.name;
  out["copies"] = settings_.copies;
  out["fault"] = fault_;
  out["groups"] = Json::arrayValue;
  const Micros now = shared_.loop.Now();
  for (const auto& [name, g] : groups_) {
    const log::Log& l = *g->log;
    Json::Value v;
    v["group"] = name;
    v["owner"] = OwnerOf(name);
    v["front"] = FrontOf(name);
    v["role"] = kRoles[static_cast<int>(l.role())];
    v["term"] = Json::UInt64(l.term());
    const auto leader = g->servers.find(l.leader());
    v["leader"] = leader == g->servers.end() ? "" : leader->second.first;
    v["committed"] = Json::UInt64(l.committed());
    v["last"] = Json::UInt64(l.last());
    v["on_disk"] = Json::UInt64(l.durable());
    v["held"] = g->held != nullptr && !g->reading;
    v["snapshot"] = Json::UInt64(l.snapshot() == nullptr ? 0 : l.snapshot()->index);
    v["servers"] = Json::arrayValue;
    std::map<log::ServerId, log::Log::Lag> lags;
    for (const auto& lag : l.Followers()) lags.emplace(lag.server, lag);
    for (const auto* ids : {&l.members().voters, &l.members().learners}) {
      for (const log::ServerId id : *ids) {
        Json::Value s;
        const auto who = g->servers.find(id);
        s["member"] = who == g->servers.end() ? "" : who->second.first;
        s["server"] = Json::UInt64(id);
        s["votes"] = ids == &l.members().voters;
        if (const auto lag = lags.find(id); lag != lags.end()) {
          s["on_disk"] = Json::UInt64(lag->second.match);
          s["heard_ms"] = Json::Int64((now - lag->second.heard) / 1000);
        } else if (id == l.self()) {
          s["on_disk"] = Json::UInt64(l.durable());
        }
        v["servers"].append(std::move(s));
      }
    }
    out["groups"].append(std::move(v));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, out) + "\n";
}

std::vector<std::pair<std::string, std::uint64_t>> Copies::Figures() const {
  std::uint64_t led = 0, waiting = 0, held = 0;
  for (const auto& [name, g] : groups_) {
    held += g->held != nullptr && !g->mine && !g->reading ? 1 : 0;
    led += g->log->role() == log::Role::kLeader ? 1 : 0;
    waiting += g->log->last() - g->log->committed();
  }
  return {{"copies.groups", groups_.size()},
          {"copies.led", led},
          {"copies.held", held},
          {"copies.takeovers", taken_over_},
          {"copies.words_led", led_words_},
          {"copies.words_taken", taken_words_},
          {"copies.uncommitted", waiting},
          {"copies.commits", disk_.commits()},
          {"copies.frames_lost", links_.lost},
          {"copies.frames_malformed", links_.malformed},
          {"copies.bytes_in", links_.bytes_in},
          {"copies.bytes_out", links_.bytes_out}};
}

}  // namespace heronway::cluster::copies
