// Event dispatch, proposals, membership changes, reads, persistence and compaction. Elections and
// replication are in election.cpp and replication.cpp.
#include "src/cluster/log/log.h"

#include <algorithm>
#include <utility>

namespace heronway::cluster::log {

Log::Log(const Settings& settings, ServerId self, PersistentState disk, std::uint64_t seed, Micros now)
    : settings_(settings),
      self_(self),
      random_(seed),
      now_(now),
      hard_state_(disk.hard_state),
      snapshot_(disk.snapshot) {
  if (snapshot_ != nullptr) {
    base_index_ = commit_index_ = last_applied_ = snapshot_->index;
    base_term_ = snapshot_->term;
  }
  entries_.assign(disk.entries.begin(), disk.entries.end());
  durable_index_ = last_index();
  LoadConfigurationFromLog();
  ResetElectionTimer();
  // The only voter needs no other votes and starts an election at once.
  if (configuration_.voters.size() == 1 && IsVoter(self_)) election_deadline_ = now;
}

void Log::Handle(Micros now, Event event, std::vector<Effect>& effects) {
  now_ = std::max(now_, now);
  effects_ = &effects;
  std::visit([this](auto& e) { On(e); }, event);
  const Micros due =
      role_ == Role::kLeader ? std::min(next_heartbeat_, next_quorum_check_) : election_deadline_;
  effects.push_back(WakeAt{due});
  effects_ = nullptr;
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index == base_index_) return base_term_;
  if (index > base_index_ && index <= last_index()) return At(index).term;
  if (snapshot_ != nullptr && index == snapshot_->index) return snapshot_->term;
  return std::nullopt;
}

std::vector<Log::FollowerStatus> Log::Followers() const {
  std::vector<FollowerStatus> all;
  for (const auto& [id, p] : progress_) all.push_back({id, p.match_index, p.last_contact});
  return all;
}

void Log::On(Tick&) {
  if (role_ == Role::kLeader) {
    if (now_ >= next_quorum_check_) CheckQuorum();
    if (role_ == Role::kLeader && now_ >= next_heartbeat_) {
      AdvanceTransfer();
      ReplicateToAll(true);
    }
    return;
  }
  if (now_ < election_deadline_) return;
  // Learners and servers outside the group cannot win; their elections would only disrupt the others.
  if (!IsVoter(self_)) return ResetElectionTimer();
  StartElection(false, false);
}

void Log::On(Received& e) {
  const Message& m = e.message;
  if (m.to != self_ || m.from == self_) return;
  switch (m.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kRequestVote:
      return OnVoteRequest(m);
    case MessageKind::kPreVoteReply:
    case MessageKind::kRequestVoteReply:
      return OnVoteReply(m);
    case MessageKind::kAppendEntries:
    case MessageKind::kInstallSnapshot:
      if (m.term < hard_state_.term) {
        // Tells the stale leader the higher term; otherwise it would keep sending to this server forever.
        Message rejection = MakeMessage(MessageKind::kAppendEntriesReply, m.from);
        rejection.index = m.index;
        return SendMessage(std::move(rejection));
      }
      if (m.term > hard_state_.term || role_ != Role::kFollower || leader_ != m.from)
        BecomeFollower(m.term, m.from);
      last_leader_contact_ = now_;
      ResetElectionTimer();
      return m.kind == MessageKind::kAppendEntries ? OnAppendEntries(m) : OnInstallSnapshot(m);
    case MessageKind::kAppendEntriesReply:
    case MessageKind::kInstallSnapshotReply: {
      if (m.term > hard_state_.term) return BecomeFollower(m.term, 0);
      const auto it = progress_.find(m.from);
      if (role_ != Role::kLeader || m.term < hard_state_.term || it == progress_.end()) return;
      it->second.last_contact = now_;
      return m.kind == MessageKind::kAppendEntriesReply ? OnAppendEntriesReply(m) : OnInstallSnapshotReply(m);
    }
    case MessageKind::kTimeoutNow:
      if (m.term == hard_state_.term && role_ == Role::kFollower && m.from == leader_ && IsVoter(self_))
        StartElection(true, true);
      return;
  }
}

void Log::On(Propose& e) {
  if (role_ != Role::kLeader || transfer_target_ != 0 ||
      (uncommitted_bytes_ > 0 && uncommitted_bytes_ + e.data.size() > settings_.max_uncommitted_bytes)) {
    ++counters_.rejected;
    return effects_->push_back(Rejected{e.request_id, role_ == Role::kLeader ? self_ : leader_});
  }
  ++counters_.proposals;
  auto entry = std::make_shared<Entry>();
  entry->term = hard_state_.term;
  entry->data = std::move(e.data);
  effects_->push_back(Proposed{e.request_id, last_index() + 1, hard_state_.term});
  Append(std::move(entry));
  AdvanceCommitIndex();  // a group of one receives no replies that would advance it
}

// Changes one server at a time, so that the majorities before and after overlap. No change is allowed before
// an entry of the leader's own term is committed (the correction of 2015): otherwise the changes of two
// leaders may use majorities that do not overlap.
bool Log::ChangeAllowed(const ChangeConfiguration& e, Configuration& next) const {
  if (role_ != Role::kLeader || transfer_target_ != 0 || e.server == 0) return false;
  if (configuration_index_ > commit_index_ || term_start_index_ == 0 || term_start_index_ > commit_index_)
    return false;
  next = configuration_;
  const auto voter = std::lower_bound(next.voters.begin(), next.voters.end(), e.server);
  const bool is_voter = voter != next.voters.end() && *voter == e.server;
  const auto learner = std::lower_bound(next.learners.begin(), next.learners.end(), e.server);
  const bool is_learner = learner != next.learners.end() && *learner == e.server;
  switch (e.change) {
    case ConfigurationChange::kAddLearner:
      if (is_voter || is_learner) return false;
      next.learners.insert(learner, e.server);
      return true;
    case ConfigurationChange::kPromote: {
      // A voter that is far behind can delay every commit until it has caught up.
      const auto it = progress_.find(e.server);
      if (!is_learner || it == progress_.end() || it->second.match_index < commit_index_) return false;
      next.learners.erase(learner);
      next.voters.insert(voter, e.server);
      return true;
    }
    case ConfigurationChange::kRemove:
      if (is_voter && next.voters.size() == 1) return false;
      if (is_voter) next.voters.erase(voter);
      if (is_learner) next.learners.erase(learner);
      return is_voter || is_learner;
  }
  return false;
}

void Log::On(ChangeConfiguration& e) {
  Configuration next;
  if (!ChangeAllowed(e, next)) {
    ++counters_.rejected;
    return effects_->push_back(Rejected{e.request_id, role_ == Role::kLeader ? self_ : leader_});
  }
  auto entry = std::make_shared<Entry>();
  entry->term = hard_state_.term;
  entry->kind = EntryKind::kConfiguration;
  entry->configuration = std::move(next);
  effects_->push_back(Proposed{e.request_id, last_index() + 1, hard_state_.term});
  Append(std::move(entry));
  AdvanceCommitIndex();
}

void Log::On(TransferLeadership& e) {
  if (role_ != Role::kLeader || e.to == self_ || !IsVoter(e.to)) return;
  transfer_target_ = e.to;
  transfer_deadline_ = now_ + settings_.election_timeout;
  timeout_now_sent_ = false;
  AdvanceTransfer();
}

// The read is served at the current commit index once a majority has confirmed the leader. Requires a
// committed entry of the leader's own term: before that, it may not know the last entries that the previous
// leader committed.
void Log::On(ReadIndex& e) {
  if (role_ != Role::kLeader || term_start_index_ == 0 || commit_index_ < term_start_index_) {
    ++counters_.rejected;
    return effects_->push_back(Rejected{e.request_id, role_ == Role::kLeader ? self_ : leader_});
  }
  pending_reads_.push_back({e.request_id, ++read_round_, commit_index_});
  ReplicateToAll(true);
  CompleteReads();
}

// Requests writing of the hard state, the entries from `from` on, or a snapshot. Messages that depend on the
// hard state are delayed in SendMessage; acknowledgements of entries are created once these are durable.
void Log::RequestPersist(bool hard_state, Index from, SnapshotPtr snapshot) {
  Persist p;
  p.number = ++persists_requested_;
  if (hard_state) {
    p.hard_state = hard_state_;
    hard_state_persist_ = persists_requested_;
  }
  p.snapshot = std::move(snapshot);
  p.from = from;
  if (from != 0) {
    p.entries.assign(entries_.begin() + static_cast<std::ptrdiff_t>(from - base_index_ - 1), entries_.end());
    durable_index_ = std::min(durable_index_, from - 1);
    for (auto& [number, upto] : pending_writes_) upto = std::min(upto, from - 1);
    pending_writes_.emplace_back(persists_requested_, last_index());
  }
  effects_->push_back(std::move(p));
}

void Log::On(Persisted& e) {
  persists_done_ = std::max(persists_done_, e.number);
  const Index before = durable_index_;
  while (!pending_writes_.empty() && pending_writes_.front().first <= persists_done_) {
    durable_index_ = std::max(durable_index_, pending_writes_.front().second);
    pending_writes_.pop_front();
  }
  while (!delayed_messages_.empty() && delayed_messages_.front().number <= persists_done_) {
    Message m = std::move(delayed_messages_.front().message);
    delayed_messages_.pop_front();
    SendMessage(std::move(m));
  }
  if (snapshot_to_restore_ != nullptr && restore_persist_ <= persists_done_) {
    const SnapshotPtr snapshot = std::exchange(snapshot_to_restore_, nullptr);
    last_applied_ = snapshot->index;  // no entries were applied while it was pending
    effects_->push_back(Restore{snapshot});
    durable_index_ = std::max(durable_index_, snapshot->index);
    if (role_ == Role::kFollower && leader_ != 0)
      SendAppendReply(true, std::min(verified_index_, durable_index_), 0);
    CommitTo(commit_index_);
  } else if (durable_index_ > before && role_ == Role::kFollower && leader_ != 0) {
    SendAppendReply(true, std::min(verified_index_, durable_index_), 0);
  }
  if (role_ == Role::kPreCandidate || role_ == Role::kCandidate) CountVotes();
  if (role_ == Role::kLeader) AdvanceCommitIndex();
}

void Log::SendMessage(Message m) {
  // No peer may learn of a term or vote that a crash could still erase.
  if (hard_state_persist_ > persists_done_ && m.term >= hard_state_.term) {
    delayed_messages_.push_back({hard_state_persist_, std::move(m)});
    return;
  }
  ++counters_.messages_sent;
  effects_->push_back(Send{std::move(m)});
}

Message Log::MakeMessage(MessageKind kind, ServerId to) const {
  Message m;
  m.kind = kind;
  m.from = self_;
  m.to = to;
  m.term = hard_state_.term;
  return m;
}

void Log::Append(EntryPtr entry) {
  uncommitted_bytes_ += entry->data.size();
  const bool configuration = entry->kind == EntryKind::kConfiguration;
  entries_.push_back(std::move(entry));
  ++counters_.entries_appended;
  RequestPersist(false, last_index());
  if (configuration) {
    configuration_index_ = last_index();
    SetConfiguration(Configuration(entries_.back()->configuration));
  }
  ReplicateToAll(false);
}

void Log::TruncateFrom(Index index) {
  counters_.entries_truncated += last_index() - index + 1;
  entries_.resize(index - base_index_ - 1);
  if (configuration_index_ >= index) LoadConfigurationFromLog();
}

// Uses the last configuration entry of the log, otherwise the snapshot's configuration.
void Log::LoadConfigurationFromLog() {
  for (Index i = last_index(); i > base_index_; --i) {
    if (At(i).kind != EntryKind::kConfiguration) continue;
    configuration_index_ = i;
    return SetConfiguration(Configuration(At(i).configuration));
  }
  configuration_index_ = snapshot_ == nullptr ? 0 : snapshot_->index;
  SetConfiguration(snapshot_ == nullptr ? Configuration{} : Configuration(snapshot_->configuration));
}

void Log::SetConfiguration(const Configuration& configuration) {
  configuration_ = configuration;
  if (role_ != Role::kLeader) return;
  for (auto it = progress_.begin(); it != progress_.end();) {
    const bool stays =
        std::binary_search(configuration_.voters.begin(), configuration_.voters.end(), it->first) ||
        std::binary_search(configuration_.learners.begin(), configuration_.learners.end(), it->first);
    it = stays ? std::next(it) : progress_.erase(it);
  }
  for (const auto* servers : {&configuration_.voters, &configuration_.learners}) {
    for (const ServerId id : *servers) {
      if (id == self_ || progress_.contains(id)) continue;
      Progress& p = progress_[id];
      p.next_index = last_index() + 1;
      p.last_contact = now_;
    }
  }
  if (transfer_target_ != 0 && !IsVoter(transfer_target_)) transfer_target_ = 0;
}

bool Log::IsVoter(ServerId id) const {
  return std::binary_search(configuration_.voters.begin(), configuration_.voters.end(), id);
}

// The snapshot replaces the entries up to its index. The last ones before it are kept, so that followers
// slightly behind do not need the snapshot.
void Log::On(Compact& e) {
  if (e.index <= (snapshot_ == nullptr ? 0 : snapshot_->index) || e.index > last_applied_) return;
  const auto term = TermAt(e.index);
  if (!term) return;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = e.index;
  snapshot->term = *term;
  snapshot->data = std::move(e.data);
  snapshot->configuration = snapshot_ == nullptr ? Configuration{} : snapshot_->configuration;
  for (Index i = std::min(e.index, last_index()); i > base_index_; --i) {
    if (At(i).kind != EntryKind::kConfiguration) continue;
    snapshot->configuration = At(i).configuration;
    break;
  }
  snapshot_ = snapshot;
  RequestPersist(false, 0, snapshot);
  const Index keep_from = e.index > settings_.trailing_entries ? e.index - settings_.trailing_entries : 0;
  if (keep_from <= base_index_) return;
  base_term_ = *TermAt(keep_from);
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(keep_from - base_index_));
  base_index_ = keep_from;
}

}  // namespace heronway::cluster::log
