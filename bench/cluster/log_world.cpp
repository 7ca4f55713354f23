#include "bench/cluster/log_world.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace heronway::cluster::log {
namespace {

std::uint64_t Mix(std::uint64_t a, std::uint64_t b) { return XXH3_64bits_withSeed(&b, sizeof b, a); }

std::string Pack(const Group::Machine& m) {
  std::string bytes(sizeof m, '\0');
  std::memcpy(bytes.data(), &m, sizeof m);
  return bytes + std::string(100, 'x');  // more than a piece, where pieces are small
}
Group::Machine Unpack(const std::string& bytes) {
  Group::Machine m;
  if (bytes.size() >= sizeof m) std::memcpy(&m, bytes.data(), sizeof m);
  return m;
}

}  // namespace

Group::Group(const Settings& settings, int servers, int voters, std::uint64_t seed)
    : settings_(settings), seed_(seed) {
  auto beginning = std::make_shared<Snapshot>();
  for (int i = 0; i < voters; ++i) beginning->members.voters.push_back(static_cast<ServerId>(i) + 1);
  for (int i = 0; i < servers; ++i) {
    const auto id = static_cast<ServerId>(i) + 1;
    OnDisk disk;
    if (i < voters) disk.snapshot = beginning;
    servers_.push_back(Server{id, true, Log(settings_, id, disk, seed_ + id, now_), disk, {}, {}, {}, 1});
  }
}

int Group::At(ServerId id) const {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].id == id) return static_cast<int>(i);
  }
  return -1;
}

void Group::Broke(const std::string& what) {
  if (breach_.empty()) breach_ = what;
}

void Group::Post(int server, Event event) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  if (!s.up) return;
  std::vector<Effect> effects;
  s.log.Handle(now_, std::move(event), effects);
  for (Effect& e : effects) Carry(s, e);
  Check(s);
}

void Group::Deliver(std::size_t message, bool keep) {
  Message m = pool_[message];
  if (!keep) Lose(message);
  const int to = At(m.to);
  if (to >= 0) Post(to, Received{std::move(m)});
}

void Group::Lose(std::size_t message) { pool_.erase(pool_.begin() + static_cast<std::ptrdiff_t>(message)); }

void Group::Sync(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  if (!s.up || s.writing.empty()) return;
  const Persist p = s.writing.front();
  s.writing.erase(s.writing.begin());
  if (p.vote) s.disk.vote = *p.vote;
  const auto base = [&s] { return s.disk.snapshot == nullptr ? 0 : s.disk.snapshot->index; };
  if (p.snapshot != nullptr) {
    const Index gone = std::min<Index>(p.snapshot->index - base(), s.disk.entries.size());
    s.disk.entries.erase(s.disk.entries.begin(), s.disk.entries.begin() + static_cast<std::ptrdiff_t>(gone));
    s.disk.snapshot = p.snapshot;
    s.machine_on_disk = Unpack(p.snapshot->data);
  }
  if (p.from != 0) {
    // What a snapshot stands for needs no place; a hole would be a fault of the log's.
    const Index first = std::max(p.from, base() + 1);
    if (first > base() + s.disk.entries.size() + 1) Broke("a hole on the disk");
    s.disk.entries.resize(std::min<std::size_t>(s.disk.entries.size(), first - base() - 1));
    for (std::size_t i = first - p.from; i < p.entries.size(); ++i) s.disk.entries.push_back(p.entries[i]);
  }
  Post(server, Persisted{p.number});
}

void Group::Crash(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  s.up = false;
  s.writing.clear();
}

void Group::Start(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  if (s.up) return;
  s.up = true;
  s.log = Log(settings_, s.id, s.disk, seed_ + s.id + ++s.starts * 1000, now_);
  s.machine = s.machine_on_disk;
}

void Group::LoseDisk(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  Crash(server);
  s.disk = OnDisk{};
  s.machine_on_disk = Machine{};
  s.id += 100;  // another disk is another server
}

std::uint64_t Group::Propose(int server, const std::string& data) {
  const std::uint64_t ticket = ++tickets_;
  log::Propose p;
  p.ticket = ticket;
  p.data = data;
  Post(server, std::move(p));
  return ticket;
}

void Group::CompactTo(int server) {
  const Server& s = servers_[static_cast<std::size_t>(server)];
  if (s.machine.at > 0) Post(server, Compact{s.machine.at, Pack(s.machine)});
}

void Group::Took(Server& s, Index index, const Entry& entry) {
  const std::uint64_t digest = DigestOf(entry);
  const auto [it, first] = chosen_.try_emplace(index, digest);
  if (!first && it->second != digest) Broke("two entries applied at " + std::to_string(index));
  if (index != s.machine.at + 1) Broke("applied out of order at " + std::to_string(index));
  s.machine.at = index;
  s.machine.chain = Mix(s.machine.chain, digest);
  const auto [chain, one] = chains_.try_emplace(index, s.machine.chain);
  if (!one && chain->second != s.machine.chain) Broke("state machines differ at " + std::to_string(index));
  if (first) digest_of_past_ = Mix(digest_of_past_ ^ index, digest);
}

void Group::Carry(Server& s, Effect& effect) {
  if (auto* send = std::get_if<Send>(&effect)) {
    ++messages;
    for (const EntryPtr& e : send->message.entries) bytes += e->data.size();
    if (pool_.size() >= most_pool) pool_.erase(pool_.begin());
    pool_.push_back(std::move(send->message));
  } else if (auto* persist = std::get_if<Persist>(&effect)) {
    s.writing.push_back(std::move(*persist));
  } else if (auto* apply = std::get_if<Apply>(&effect)) {
    Index at = apply->first;
    for (const EntryPtr& e : apply->entries) Took(s, at++, *e);
  } else if (auto* restore = std::get_if<Restore>(&effect)) {
    s.machine = Unpack(restore->snapshot->data);
    ++restored;
    const auto chain = chains_.find(s.machine.at);
    if (chain == chains_.end() || chain->second != s.machine.chain)
      Broke("a snapshot of what was never chosen");
  } else if (auto* role = std::get_if<RoleChanged>(&effect)) {
    if (role->role != Role::kLeader) return;
    const auto [it, first] = leaders_.try_emplace(role->term, s.id);
    if (first) digest_of_past_ = Mix(digest_of_past_ ^ role->term, s.id);
    if (!first && it->second != s.id) Broke("two leaders in term " + std::to_string(role->term));
    // Leader completeness: all that was ever chosen is in its log.
    for (const auto& [index, digest] : chosen_) {
      if (index < s.log.first()) continue;
      if (index > s.log.last() || DigestOf(s.log.At(index)) != digest)
        Broke("a leader of term " + std::to_string(role->term) + " lacks entry " + std::to_string(index));
    }
  } else if (auto* took = std::get_if<Proposed>(&effect)) {
    proposed[took->ticket] = took->index;
  } else if (auto* no = std::get_if<Refused>(&effect)) {
    refused.insert(no->ticket);
  } else if (auto* read = std::get_if<ReadAt>(&effect)) {
    read_at[read->ticket] = read->index;
  }
}

// Log matching, of this server with each other: where two hold an entry of one index and term, all before it
// are alike.
void Group::Check(const Server& s) {
  if (s.log.committed() > s.log.last()) Broke("more is committed than there is");
  for (const Server& o : servers_) {
    if (o.id == s.id || !o.up) continue;
    bool alike = false;
    const Index from = std::max(s.log.first(), o.log.first());
    for (Index i = std::min(s.log.last(), o.log.last()); i >= from && i > 0; --i) {
      const Entry &a = s.log.At(i), &b = o.log.At(i);
      if (a.term == b.term && DigestOf(a) != DigestOf(b)) Broke("two entries of one index and term");
      if (alike && a.term != b.term) Broke("logs are alike at an entry and differ before it");
      alike = alike || a.term == b.term;
    }
  }
}

std::uint64_t Group::Digest() const {
  std::uint64_t sum = digest_of_past_;
  for (const Server& s : servers_) {
    sum = Mix(sum, s.up ? s.log.Digest() : 1);
    sum = Mix(sum, s.disk.vote.term << 8 | s.disk.vote.of);
    sum = Mix(sum, s.disk.entries.size() << 8 | s.writing.size());
    for (const EntryPtr& e : s.disk.entries) sum = Mix(sum, DigestOf(*e));
  }
  // A set: the order in which they were sent decides nothing.
  std::uint64_t of_pool = 0;
  for (const Message& m : pool_) of_pool += DigestOf(m);
  return Mix(sum, of_pool);
}

}  // namespace heronway::cluster::log
