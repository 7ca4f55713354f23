#include "bench/cluster/log_cluster.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace heronway::cluster::log {
namespace {

std::uint64_t Mix(std::uint64_t a, std::uint64_t b) { return XXH3_64bits_withSeed(&b, sizeof b, a); }

std::string Pack(const SimulatedCluster::StateMachine& m) {
  std::string bytes(sizeof m, '\0');
  std::memcpy(bytes.data(), &m, sizeof m);
  return bytes + std::string(100, 'x');  // larger than one chunk where chunks are small
}
SimulatedCluster::StateMachine Unpack(const std::string& bytes) {
  SimulatedCluster::StateMachine m;
  if (bytes.size() >= sizeof m) std::memcpy(&m, bytes.data(), sizeof m);
  return m;
}

}  // namespace

SimulatedCluster::SimulatedCluster(const Settings& settings, int servers, int voters, std::uint64_t seed)
    : settings_(settings), seed_(seed) {
  auto initial = std::make_shared<Snapshot>();
  for (int i = 0; i < voters; ++i) initial->configuration.voters.push_back(static_cast<ServerId>(i) + 1);
  for (int i = 0; i < servers; ++i) {
    const auto id = static_cast<ServerId>(i) + 1;
    PersistentState disk;
    if (i < voters) disk.snapshot = initial;
    servers_.push_back(Server{id, true, Log(settings_, id, disk, seed_ + id, now_), disk, {}, {}, {}, 1});
  }
}

int SimulatedCluster::At(ServerId id) const {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].id == id) return static_cast<int>(i);
  }
  return -1;
}

void SimulatedCluster::ReportViolation(const std::string& what) {
  if (violation_.empty()) violation_ = what;
}

void SimulatedCluster::HandleEvent(int server, Event event) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  if (!s.up) return;
  std::vector<Effect> effects;
  s.log.Handle(now_, std::move(event), effects);
  for (Effect& e : effects) Execute(s, e);
  CheckLogMatching(s);
}

void SimulatedCluster::Deliver(std::size_t message, bool keep) {
  Message m = in_flight_[message];
  if (!keep) Drop(message);
  const int to = At(m.to);
  if (to >= 0) HandleEvent(to, Received{std::move(m)});
}

void SimulatedCluster::Drop(std::size_t message) {
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(message));
}

void SimulatedCluster::Sync(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  if (!s.up || s.pending_writes.empty()) return;
  const Persist p = s.pending_writes.front();
  s.pending_writes.erase(s.pending_writes.begin());
  if (p.hard_state) s.disk.hard_state = *p.hard_state;
  const auto base = [&s] { return s.disk.snapshot == nullptr ? 0 : s.disk.snapshot->index; };
  if (p.snapshot != nullptr) {
    const Index covered = std::min<Index>(p.snapshot->index - base(), s.disk.entries.size());
    s.disk.entries.erase(s.disk.entries.begin(),
                         s.disk.entries.begin() + static_cast<std::ptrdiff_t>(covered));
    s.disk.snapshot = p.snapshot;
    s.durable_machine = Unpack(p.snapshot->data);
  }
  if (p.from != 0) {
    // Entries that the snapshot covers need not be stored. A gap is an error of the log.
    const Index first = std::max(p.from, base() + 1);
    if (first > base() + s.disk.entries.size() + 1) ReportViolation("a gap between entries on the disk");
    s.disk.entries.resize(std::min<std::size_t>(s.disk.entries.size(), first - base() - 1));
    for (std::size_t i = first - p.from; i < p.entries.size(); ++i) s.disk.entries.push_back(p.entries[i]);
  }
  HandleEvent(server, Persisted{p.number});
}

void SimulatedCluster::Crash(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  s.up = false;
  s.pending_writes.clear();
}

void SimulatedCluster::Start(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  if (s.up) return;
  s.up = true;
  s.log = Log(settings_, s.id, s.disk, seed_ + s.id + ++s.starts * 1000, now_);
  s.machine = s.durable_machine;
}

void SimulatedCluster::LoseDisk(int server) {
  Server& s = servers_[static_cast<std::size_t>(server)];
  Crash(server);
  s.disk = PersistentState{};
  s.durable_machine = StateMachine{};
  s.id += 100;  // a new disk makes a new server
}

std::uint64_t SimulatedCluster::Propose(int server, const std::string& data) {
  const std::uint64_t request_id = ++last_request_id_;
  log::Propose p;
  p.request_id = request_id;
  p.data = data;
  HandleEvent(server, std::move(p));
  return request_id;
}

void SimulatedCluster::CompactApplied(int server) {
  const Server& s = servers_[static_cast<std::size_t>(server)];
  if (s.machine.applied_index > 0) HandleEvent(server, Compact{s.machine.applied_index, Pack(s.machine)});
}

void SimulatedCluster::RecordApplied(Server& s, Index index, const Entry& entry) {
  const std::uint64_t digest = DigestOf(entry);
  const auto [it, first] = committed_.try_emplace(index, digest);
  if (!first && it->second != digest) ReportViolation("two entries applied at " + std::to_string(index));
  if (index != s.machine.applied_index + 1)
    ReportViolation("applied out of order at " + std::to_string(index));
  s.machine.applied_index = index;
  s.machine.history_hash = Mix(s.machine.history_hash, digest);
  const auto [hash, inserted] = history_hashes_.try_emplace(index, s.machine.history_hash);
  if (!inserted && hash->second != s.machine.history_hash)
    ReportViolation("state machines differ at " + std::to_string(index));
  if (first) history_digest_ = Mix(history_digest_ ^ index, digest);
}

void SimulatedCluster::Execute(Server& s, Effect& effect) {
  if (auto* send = std::get_if<Send>(&effect)) {
    ++messages;
    for (const EntryPtr& e : send->message.entries) bytes += e->data.size();
    if (in_flight_.size() >= max_in_flight) in_flight_.erase(in_flight_.begin());
    in_flight_.push_back(std::move(send->message));
  } else if (auto* persist = std::get_if<Persist>(&effect)) {
    s.pending_writes.push_back(std::move(*persist));
  } else if (auto* apply = std::get_if<Apply>(&effect)) {
    Index at = apply->first;
    for (const EntryPtr& e : apply->entries) RecordApplied(s, at++, *e);
  } else if (auto* restore = std::get_if<Restore>(&effect)) {
    s.machine = Unpack(restore->snapshot->data);
    ++snapshots_restored;
    const auto hash = history_hashes_.find(s.machine.applied_index);
    if (hash == history_hashes_.end() || hash->second != s.machine.history_hash)
      ReportViolation("a snapshot of a state that was never committed");
  } else if (auto* role = std::get_if<RoleChanged>(&effect)) {
    if (role->role != Role::kLeader) return;
    const auto [it, first] = leaders_.try_emplace(role->term, s.id);
    if (first) history_digest_ = Mix(history_digest_ ^ role->term, s.id);
    if (!first && it->second != s.id) ReportViolation("two leaders in term " + std::to_string(role->term));
    // Leader completeness: a leader's log contains all committed entries.
    for (const auto& [index, digest] : committed_) {
      if (index < s.log.first_index()) continue;
      if (index > s.log.last_index() || DigestOf(s.log.At(index)) != digest)
        ReportViolation("a leader of term " + std::to_string(role->term) + " lacks entry " +
                        std::to_string(index));
    }
  } else if (auto* appended = std::get_if<Proposed>(&effect)) {
    proposed[appended->request_id] = appended->index;
  } else if (auto* rejection = std::get_if<Rejected>(&effect)) {
    rejected.insert(rejection->request_id);
  } else if (auto* read = std::get_if<ReadReady>(&effect)) {
    reads_ready[read->request_id] = read->index;
  }
}

// Log matching, between this server and each other one: if two logs contain an entry with the same index and
// term, all entries before it are identical.
void SimulatedCluster::CheckLogMatching(const Server& s) {
  if (s.log.commit_index() > s.log.last_index()) ReportViolation("the commit index is beyond the log");
  for (const Server& o : servers_) {
    if (o.id == s.id || !o.up) continue;
    bool matching = false;
    const Index from = std::max(s.log.first_index(), o.log.first_index());
    for (Index i = std::min(s.log.last_index(), o.log.last_index()); i >= from && i > 0; --i) {
      const Entry &a = s.log.At(i), &b = o.log.At(i);
      if (a.term == b.term && DigestOf(a) != DigestOf(b))
        ReportViolation("two different entries with the same index and term");
      if (matching && a.term != b.term) ReportViolation("logs have a common entry and differ before it");
      matching = matching || a.term == b.term;
    }
  }
}

std::uint64_t SimulatedCluster::Digest() const {
  std::uint64_t sum = history_digest_;
  for (const Server& s : servers_) {
    sum = Mix(sum, s.up ? s.log.Digest() : 1);
    sum = Mix(sum, s.disk.hard_state.term << 8 | s.disk.hard_state.voted_for);
    sum = Mix(sum, s.disk.entries.size() << 8 | s.pending_writes.size());
    for (const EntryPtr& e : s.disk.entries) sum = Mix(sum, DigestOf(*e));
  }
  // A sum, because the order of messages in flight does not affect behaviour.
  std::uint64_t messages_sum = 0;
  for (const Message& m : in_flight_) messages_sum += DigestOf(m);
  return Mix(sum, messages_sum);
}

}  // namespace heronway::cluster::log
