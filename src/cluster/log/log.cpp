// Events, the disk, proposals, who keeps copies, compaction. Elections and replication have files of their
// own.
#include "src/cluster/log/log.h"

#include <algorithm>
#include <utility>

namespace heronway::cluster::log {

Log::Log(const Settings& settings, ServerId self, OnDisk disk, std::uint64_t seed, Micros now)
    : settings_(settings), self_(self), random_(seed), now_(now), vote_(disk.vote), snapshot_(disk.snapshot) {
  if (snapshot_ != nullptr) {
    base_ = commit_ = applied_ = snapshot_->index;
    base_term_ = snapshot_->term;
  }
  log_.assign(disk.entries.begin(), disk.entries.end());
  durable_ = last();
  MembersFromLog();
  ResetElection();
  // Alone, it waits for nobody's word.
  if (members_.voters.size() == 1 && IsVoter(self_)) election_at_ = now;
}

void Log::Handle(Micros now, Event event, std::vector<Effect>& effects) {
  now_ = std::max(now_, now);
  effects_ = &effects;
  std::visit([this](auto& e) { On(e); }, event);
  const Micros due = role_ == Role::kLeader ? std::min(heartbeat_at_, quorum_at_) : election_at_;
  effects.push_back(WakeAt{due});
  effects_ = nullptr;
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index == base_) return base_term_;
  if (index > base_ && index <= last()) return At(index).term;
  if (snapshot_ != nullptr && index == snapshot_->index) return snapshot_->term;
  return std::nullopt;
}

std::vector<Log::Lag> Log::Followers() const {
  std::vector<Lag> all;
  for (const auto& [id, p] : progress_) all.push_back({id, p.match, p.heard});
  return all;
}

void Log::On(Tick&) {
  if (role_ == Role::kLeader) {
    if (now_ >= quorum_at_) CheckQuorum();
    if (role_ == Role::kLeader && now_ >= heartbeat_at_) {
      LookAtTransfer();
      FeedAll(true);
    }
    return;
  }
  if (now_ < election_at_) return;
  // Only a voter stands: a learner, and a server that is not of the group (yet, or any more), would disturb
  // the others for nothing.
  if (!IsVoter(self_)) return ResetElection();
  Stand(false, false);
}

void Log::On(Received& e) {
  const Message& m = e.message;
  if (m.to != self_ || m.from == self_) return;
  switch (m.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      return OnVoteRequest(m);
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      return OnVoteReply(m);
    case MessageKind::kAppend:
    case MessageKind::kSnapshot:
      if (m.term < vote_.term) {
        // Guards against a leader that goes on for ever beside a server whose term is higher: it learns of
        // it.
        Message no = Make(MessageKind::kAppendReply, m.from);
        no.index = m.index;
        return Post(std::move(no));
      }
      if (m.term > vote_.term || role_ != Role::kFollower || leader_ != m.from) StandAside(m.term, m.from);
      heard_leader_ = now_;
      ResetElection();
      return m.kind == MessageKind::kAppend ? OnAppend(m) : OnSnapshot(m);
    case MessageKind::kAppendReply:
    case MessageKind::kSnapshotReply: {
      if (m.term > vote_.term) return StandAside(m.term, 0);
      const auto it = progress_.find(m.from);
      if (role_ != Role::kLeader || m.term < vote_.term || it == progress_.end()) return;
      it->second.heard = now_;
      return m.kind == MessageKind::kAppendReply ? OnAppendReply(m) : OnSnapshotReply(m);
    }
    case MessageKind::kTimeoutNow:
      if (m.term == vote_.term && role_ == Role::kFollower && m.from == leader_ && IsVoter(self_))
        Stand(true, true);
      return;
  }
}

// ---- proposals

void Log::On(Propose& e) {
  if (role_ != Role::kLeader || transfer_ != 0 ||
      (waiting_bytes_ > 0 && waiting_bytes_ + e.data.size() > settings_.most_waiting)) {
    ++counters_.refused;
    return effects_->push_back(Refused{e.ticket, role_ == Role::kLeader ? self_ : leader_});
  }
  ++counters_.proposals;
  auto entry = std::make_shared<Entry>();
  entry->term = vote_.term;
  entry->data = std::move(e.data);
  effects_->push_back(Proposed{e.ticket, last() + 1, vote_.term});
  Append(std::move(entry));
  LookAtCommit();  // a group of one, with its disk ahead
}

// One change at a time, each of one server, so that any two majorities meet; and none before an entry of the
// leader's own term is committed (the correction of 2015: else two leaders' changes may not have met).
bool Log::ChangeAllowed(const ChangeMembers& e, Members& next) const {
  if (role_ != Role::kLeader || transfer_ != 0 || e.server == 0) return false;
  if (members_at_ > commit_ || own_first_ == 0 || own_first_ > commit_) return false;
  next = members_;
  const auto voter = std::lower_bound(next.voters.begin(), next.voters.end(), e.server);
  const bool votes = voter != next.voters.end() && *voter == e.server;
  const auto learner = std::lower_bound(next.learners.begin(), next.learners.end(), e.server);
  const bool learns = learner != next.learners.end() && *learner == e.server;
  switch (e.change) {
    case Change::kAddLearner:
      if (votes || learns) return false;
      next.learners.insert(learner, e.server);
      return true;
    case Change::kPromote: {
      // Guards the majority: a voter that is far behind would hold up every commit until it has caught up.
      const auto it = progress_.find(e.server);
      if (!learns || it == progress_.end() || it->second.match < commit_) return false;
      next.learners.erase(learner);
      next.voters.insert(voter, e.server);
      return true;
    }
    case Change::kRemove:
      if (votes && next.voters.size() == 1) return false;
      if (votes) next.voters.erase(voter);
      if (learns) next.learners.erase(learner);
      return votes || learns;
  }
  return false;
}

void Log::On(ChangeMembers& e) {
  Members next;
  if (!ChangeAllowed(e, next)) {
    ++counters_.refused;
    return effects_->push_back(Refused{e.ticket, role_ == Role::kLeader ? self_ : leader_});
  }
  auto entry = std::make_shared<Entry>();
  entry->term = vote_.term;
  entry->kind = EntryKind::kMembers;
  entry->members = std::move(next);
  effects_->push_back(Proposed{e.ticket, last() + 1, vote_.term});
  Append(std::move(entry));
  LookAtCommit();
}

void Log::On(Transfer& e) {
  if (role_ != Role::kLeader || e.to == self_ || !IsVoter(e.to)) return;
  transfer_ = e.to;
  transfer_ends_ = now_ + settings_.election;
  handed_over_ = false;
  LookAtTransfer();
}

// Read index: what is committed when a majority still takes this server for its leader. Needs an entry of its
// own term committed: before, it may not know of the last ones that the leader before it committed.
void Log::On(Read& e) {
  if (role_ != Role::kLeader || own_first_ == 0 || commit_ < own_first_) {
    ++counters_.refused;
    return effects_->push_back(Refused{e.ticket, role_ == Role::kLeader ? self_ : leader_});
  }
  reads_.push_back({e.ticket, ++round_, commit_});
  FeedAll(true);
  LookAtReads();
}

// ---- the disk

// Has the disk keep the vote, the entries from `from` on, or a snapshot. Messages that rest on the vote wait
// for it in Post; those that say what is on disk are made when it is.
void Log::Save(bool vote, Index from, SnapshotPtr snapshot) {
  Persist p;
  p.number = ++saves_;
  if (vote) {
    p.vote = vote_;
    vote_save_ = saves_;
  }
  p.snapshot = std::move(snapshot);
  p.from = from;
  if (from != 0) {
    p.entries.assign(log_.begin() + static_cast<std::ptrdiff_t>(from - base_ - 1), log_.end());
    durable_ = std::min(durable_, from - 1);
    for (auto& [number, upto] : writes_) upto = std::min(upto, from - 1);
    writes_.emplace_back(saves_, last());
  }
  effects_->push_back(std::move(p));
}

void Log::On(Persisted& e) {
  saved_ = std::max(saved_, e.number);
  const Index before = durable_;
  while (!writes_.empty() && writes_.front().first <= saved_) {
    durable_ = std::max(durable_, writes_.front().second);
    writes_.pop_front();
  }
  while (!held_.empty() && held_.front().number <= saved_) {
    Message m = std::move(held_.front().message);
    held_.pop_front();
    Post(std::move(m));
  }
  if (to_restore_ != nullptr && restore_save_ <= saved_) {
    const SnapshotPtr snapshot = std::exchange(to_restore_, nullptr);
    applied_ = snapshot->index;  // nothing is applied while it is on its way
    effects_->push_back(Restore{snapshot});
    durable_ = std::max(durable_, snapshot->index);
    if (role_ == Role::kFollower && leader_ != 0) AppendReply(true, std::min(verified_, durable_), 0);
    CommitTo(commit_);
  } else if (durable_ > before && role_ == Role::kFollower && leader_ != 0) {
    AppendReply(true, std::min(verified_, durable_), 0);
  }
  if (role_ == Role::kPreCandidate || role_ == Role::kCandidate) TryWin();
  if (role_ == Role::kLeader) LookAtCommit();
}

void Log::Post(Message m) {
  // A term that is forgotten in a crash must not have been told to anybody.
  if (vote_save_ > saved_ && m.term >= vote_.term) {
    held_.push_back({vote_save_, std::move(m)});
    return;
  }
  ++counters_.sent;
  effects_->push_back(Send{std::move(m)});
}

Message Log::Make(MessageKind kind, ServerId to) const {
  Message m;
  m.kind = kind;
  m.from = self_;
  m.to = to;
  m.term = vote_.term;
  return m;
}

// ---- the log

void Log::Append(EntryPtr entry) {
  waiting_bytes_ += entry->data.size();
  const bool members = entry->kind == EntryKind::kMembers;
  log_.push_back(std::move(entry));
  ++counters_.appended;
  Save(false, last());
  if (members) {
    members_at_ = last();
    TakeMembers(Members(log_.back()->members));
  }
  FeedAll(false);
}

void Log::TruncateFrom(Index index) {
  counters_.truncated += last() - index + 1;
  log_.resize(index - base_ - 1);
  if (members_at_ >= index) MembersFromLog();
}

// The newest that the log names; else the snapshot's.
void Log::MembersFromLog() {
  for (Index i = last(); i > base_; --i) {
    if (At(i).kind != EntryKind::kMembers) continue;
    members_at_ = i;
    return TakeMembers(Members(At(i).members));
  }
  members_at_ = snapshot_ == nullptr ? 0 : snapshot_->index;
  TakeMembers(snapshot_ == nullptr ? Members{} : Members(snapshot_->members));
}

void Log::TakeMembers(const Members& members) {
  members_ = members;
  if (role_ != Role::kLeader) return;
  for (auto it = progress_.begin(); it != progress_.end();) {
    const bool stays = std::binary_search(members_.voters.begin(), members_.voters.end(), it->first) ||
                       std::binary_search(members_.learners.begin(), members_.learners.end(), it->first);
    it = stays ? std::next(it) : progress_.erase(it);
  }
  for (const auto* servers : {&members_.voters, &members_.learners}) {
    for (const ServerId id : *servers) {
      if (id == self_ || progress_.contains(id)) continue;
      Progress& p = progress_[id];
      p.next = last() + 1;
      p.heard = now_;
    }
  }
  if (transfer_ != 0 && !IsVoter(transfer_)) transfer_ = 0;
}

bool Log::IsVoter(ServerId id) const {
  return std::binary_search(members_.voters.begin(), members_.voters.end(), id);
}

// The snapshot stands for the entries up to its index; some are kept behind it for those that lag a little.
void Log::On(Compact& e) {
  if (e.index <= (snapshot_ == nullptr ? 0 : snapshot_->index) || e.index > applied_) return;
  const auto term = TermAt(e.index);
  if (!term) return;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = e.index;
  snapshot->term = *term;
  snapshot->data = std::move(e.data);
  snapshot->members = snapshot_ == nullptr ? Members{} : snapshot_->members;
  for (Index i = std::min(e.index, last()); i > base_; --i) {
    if (At(i).kind != EntryKind::kMembers) continue;
    snapshot->members = At(i).members;
    break;
  }
  snapshot_ = snapshot;
  Save(false, 0, snapshot);
  const Index keep_from = e.index > settings_.trailing ? e.index - settings_.trailing : 0;
  if (keep_from <= base_) return;
  base_term_ = *TermAt(keep_from);
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(keep_from - base_));
  base_ = keep_from;
}

}  // namespace heronway::cluster::log
