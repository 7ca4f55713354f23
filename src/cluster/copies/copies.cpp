#include "src/cluster/copies/copies.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"
#include "src/cluster/log/codec.h"
#include "src/log/log.h"

namespace heronway::cluster::copies {
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

Copies::Copies(net::Shared& shared, const Settings& settings)
    : shared_(shared),
      settings_(settings),
      life_(net::Loop::WallClock()),
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
      lookups_(shared.loop, [](const JobAnswer& answer) { return answer.found >= Found::kOpen; }),
      look_up_again_(shared.loop, [this] { LookUpAgain(); }),
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
  log::PersistentState log = on_disk.log;
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
  } else if (std::holds_alternative<log::Rejected>(effect)) {
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
      return f.at == kLookup ? GotQuestion(from, f) : GotWord(from, f);
    case Frame::Kind::kHeard:
      if (f.at == kLookup) return GotAnswer(from, f);
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
  while (g.servers.size() > 2 * log::kMaxServers) g.servers.erase(g.servers.begin());
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
      p.request_id = ++tickets_;
      p.data = std::move(data);
      Post(*g, std::move(p));
    }
  }
}

}  // namespace heronway::cluster::copies
