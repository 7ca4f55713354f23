// Replication of entries and snapshots to followers, commit index, reads, and leadership transfer.
#include <algorithm>
#include <utility>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {
namespace {

// Approximate overhead of an entry beyond its data; counted towards the size limits of messages.
constexpr std::size_t kEntryOverheadBytes = 32;
// Heartbeat intervals until an unconfirmed snapshot chunk is sent again: at first, and at most after the
// doubling with each repetition.
constexpr int kFirstResend = 2, kLastResend = 32;

}  // namespace

void Log::ReplicateToAll(bool heartbeat) {
  if (heartbeat) next_heartbeat_ = now_ + settings_.heartbeat_interval;
  for (auto& [id, p] : progress_) Replicate(id, p, heartbeat);
}

// Sends the entries that the follower lacks, within the limits. A heartbeat is sent regardless of the limits.
void Log::Replicate(ServerId to, Progress& p, bool heartbeat) {
  if (p.state != ProgressState::kSnapshot && !TermAt(p.next_index - 1)) {
    p.state = ProgressState::kSnapshot;
    p.snapshot = snapshot_;
    p.offset = 0;
    p.resend_delay = 0;
    p.awaiting_reply = false;
    p.inflight.clear();
    p.inflight_bytes = 0;
    ++counters_.snapshots_sent;
  }
  if (p.state == ProgressState::kSnapshot) {
    if (!p.awaiting_reply) return SendSnapshotChunk(to, p);
    if (!heartbeat) return;
    // A slow follower would confirm a repeated chunk as often as it was sent: it gets heartbeats without
    // data.
    if (now_ - p.chunk_sent_at < p.resend_delay) return SendSnapshotMessage(to, p, {});
    p.resend_delay = std::min(2 * p.resend_delay, kLastResend * settings_.heartbeat_interval);
    return SendSnapshotChunk(to, p);
  }
  if (p.state == ProgressState::kProbe) {
    if (p.awaiting_reply && !heartbeat) return;
    p.awaiting_reply = true;
  }
  bool sent = false;
  for (;;) {
    const bool has_entries = p.state == ProgressState::kReplicate && p.next_index <= last_index() &&
                             p.inflight_bytes < settings_.max_inflight_bytes;
    if (!has_entries && (sent || (p.state == ProgressState::kReplicate && !heartbeat))) return;
    Message m = MakeMessage(MessageKind::kAppendEntries, to);
    m.index = p.next_index - 1;
    m.log_term = *TermAt(m.index);
    m.leader_commit = commit_index_;
    m.read_round = read_round_;
    std::size_t bytes = 0;
    while (has_entries && p.next_index <= last_index() && bytes < settings_.max_message_bytes) {
      m.entries.push_back(entries_[p.next_index - base_index_ - 1]);
      bytes += m.entries.back()->data.size() + kEntryOverheadBytes;
      ++p.next_index;
    }
    if (has_entries) {
      p.inflight.emplace_back(p.next_index - 1, bytes);
      p.inflight_bytes += bytes;
    }
    SendMessage(std::move(m));
    sent = true;
  }
}

// Sends the chunk at the follower's offset.
void Log::SendSnapshotChunk(ServerId to, Progress& p) {
  p.awaiting_reply = true;
  p.chunk_sent_at = now_;
  p.resend_delay = std::max(p.resend_delay, kFirstResend * settings_.heartbeat_interval);
  SendSnapshotMessage(to, p, p.snapshot->data.substr(p.offset, settings_.max_message_bytes));
}

void Log::SendSnapshotMessage(ServerId to, const Progress& p, std::string chunk) {
  const Snapshot& s = *p.snapshot;
  Message m = MakeMessage(MessageKind::kInstallSnapshot, to);
  m.index = s.index;
  m.log_term = s.term;
  m.configuration = s.configuration;
  m.total_size = s.data.size();
  m.offset = p.offset;
  m.chunk = std::move(chunk);
  SendMessage(std::move(m));
}

void Log::OnAppendEntriesReply(const Message& m) {
  Progress& p = progress_.at(m.from);
  p.read_round = std::max(p.read_round, m.read_round);
  if (!m.accepted) {
    // Ignores stale rejections: entries up to the match index are durable on the follower.
    if (p.state == ProgressState::kSnapshot || m.index <= p.match_index) return;
    p.state = ProgressState::kProbe;
    p.next_index =
        std::min(std::max(p.match_index + 1, std::min(m.match_hint + 1, m.index)), last_index() + 1);
    p.awaiting_reply = false;
    p.inflight.clear();
    p.inflight_bytes = 0;
    CompleteReads();
    return Replicate(m.from, p, false);
  }
  p.match_index = std::max(p.match_index, std::min(m.index, last_index()));
  p.next_index = std::max(p.next_index, p.match_index + 1);
  while (!p.inflight.empty() && p.inflight.front().first <= p.match_index) {
    p.inflight_bytes -= p.inflight.front().second;
    p.inflight.pop_front();
  }
  if (p.state == ProgressState::kProbe ||
      (p.state == ProgressState::kSnapshot && p.match_index >= p.snapshot->index)) {
    p.state = ProgressState::kReplicate;
    p.next_index = p.match_index + 1;
    p.awaiting_reply = false;
    p.snapshot = nullptr;
  }
  const ServerId from = m.from;
  AdvanceCommitIndex();
  if (role_ != Role::kLeader) return;  // it committed its own removal from the group
  CompleteReads();
  AdvanceTransfer();
  if (const auto it = progress_.find(from); it != progress_.end()) Replicate(from, it->second, false);
}

void Log::OnInstallSnapshotReply(const Message& m) {
  Progress& p = progress_.at(m.from);
  if (p.state != ProgressState::kSnapshot || m.index != p.snapshot->index) return;
  const std::uint64_t offset = std::min<std::uint64_t>(m.offset, p.snapshot->data.size());
  // The chunk at this offset is on its way; an equal offset confirms a heartbeat or an earlier repetition.
  if (p.awaiting_reply && offset == p.offset) return;
  p.offset = offset;
  p.resend_delay = 0;
  SendSnapshotChunk(m.from, p);
}

// Commits entries of the leader's own term that are durable on a majority. Entries of older terms are
// committed only together with a later one of the leader's term (3.6.2).
void Log::AdvanceCommitIndex() {
  if (role_ != Role::kLeader) return;
  std::vector<Index> durable;
  for (const ServerId id : configuration_.voters) {
    const auto it = progress_.find(id);
    durable.push_back(id == self_ ? durable_index_ : it == progress_.end() ? 0 : it->second.match_index);
  }
  if (durable.empty()) return;
  std::sort(durable.begin(), durable.end(), std::greater<>());
  const Index index = durable[Majority() - 1];
  if (index <= commit_index_ || TermAt(index) != hard_state_.term) return;
  CommitTo(index);
  if (!IsVoter(self_) && configuration_index_ <= commit_index_) BecomeFollower(hard_state_.term, 0);
}

void Log::CommitTo(Index index) {
  commit_index_ = std::max(commit_index_, std::min(index, last_index()));
  if (snapshot_to_restore_ != nullptr || last_applied_ >= commit_index_) return;
  Apply apply;
  apply.first = last_applied_ + 1;
  for (Index i = apply.first; i <= commit_index_; ++i) {
    apply.entries.push_back(entries_[i - base_index_ - 1]);
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, apply.entries.back()->data.size());
  }
  last_applied_ = commit_index_;
  effects_->push_back(std::move(apply));
}

void Log::CompleteReads() {
  std::erase_if(pending_reads_, [this](const PendingRead& r) {
    std::size_t confirmations = IsVoter(self_) ? 1 : 0;
    for (const ServerId id : configuration_.voters) {
      const auto it = progress_.find(id);
      confirmations += it != progress_.end() && it->second.read_round >= r.read_round ? 1 : 0;
    }
    if (confirmations < Majority()) return false;
    effects_->push_back(ReadReady{r.request_id, r.index});
    return true;
  });
}

// Proposals are rejected during a transfer, so that the target can catch up. If the target has not become the
// leader before the deadline, this server continues to lead.
void Log::AdvanceTransfer() {
  if (transfer_target_ == 0) return;
  const auto it = progress_.find(transfer_target_);
  if (now_ >= transfer_deadline_ || it == progress_.end()) {
    transfer_target_ = 0;
    return;
  }
  if (timeout_now_sent_ || it->second.match_index != last_index()) return;
  timeout_now_sent_ = true;
  SendMessage(MakeMessage(MessageKind::kTimeoutNow, transfer_target_));
}

void Log::SendAppendReply(bool accepted, Index index, Index match_hint) {
  Message m = MakeMessage(MessageKind::kAppendEntriesReply, leader_);
  m.accepted = accepted;
  m.index = index;
  m.match_hint = match_hint;
  m.read_round = read_round_;
  SendMessage(std::move(m));
}

void Log::OnAppendEntries(const Message& m) {
  read_round_ = std::max(read_round_, m.read_round);
  // All logs are identical up to `commit_index_`, so earlier entries are skipped.
  Index at = m.index;
  std::size_t n = 0;
  if (at < commit_index_) {
    n = std::min<std::size_t>(commit_index_ - at, m.entries.size());
    at += n;
    if (at < commit_index_) return SendAppendReply(true, std::min(verified_index_, durable_index_), 0);
  } else if (TermAt(at) != m.log_term) {
    // The hint skips all entries of the conflicting term: one message for each term instead of each entry.
    Index match_hint = std::min(at, last_index());
    if (at <= last_index()) {
      const Term conflicting = *TermAt(at);
      while (match_hint > commit_index_ && TermAt(match_hint) == conflicting) --match_hint;
    }
    return SendAppendReply(false, at, std::max(match_hint, commit_index_));
  }
  Index from = 0;
  for (; n < m.entries.size(); ++n) {
    ++at;
    if (at <= last_index()) {
      if (At(at).term == m.entries[n]->term) continue;
      TruncateFrom(at);
    }
    if (from == 0) from = at;
    entries_.push_back(m.entries[n]);
    ++counters_.entries_appended;
    if (m.entries[n]->kind == EntryKind::kConfiguration) {
      configuration_index_ = at;
      SetConfiguration(Configuration(m.entries[n]->configuration));
    }
  }
  if (from != 0) RequestPersist(false, from);
  verified_index_ = std::max(verified_index_, at);
  CommitTo(std::min(m.leader_commit, verified_index_));
  SendAppendReply(true, std::min(verified_index_, durable_index_), 0);
}

void Log::OnInstallSnapshot(const Message& m) {
  if (m.index <= commit_index_) {
    verified_index_ = std::max(verified_index_, commit_index_);
    return SendAppendReply(true, std::min(verified_index_, durable_index_), 0);
  }
  if (incoming_snapshot_.index != m.index || incoming_snapshot_.term != m.log_term ||
      incoming_size_ != m.total_size) {
    incoming_snapshot_ = Snapshot{m.index, m.log_term, m.configuration, {}};
    incoming_size_ = m.total_size;
  }
  // Only the next chunk is accepted: chunks may be duplicated, delayed or reordered.
  if (m.offset == incoming_snapshot_.data.size() && m.chunk.size() <= m.total_size - m.offset)
    incoming_snapshot_.data += m.chunk;
  if (incoming_snapshot_.data.size() < incoming_size_) {
    Message reply = MakeMessage(MessageKind::kInstallSnapshotReply, m.from);
    reply.index = m.index;
    reply.offset = incoming_snapshot_.data.size();
    return SendMessage(std::move(reply));
  }
  ++counters_.snapshots_received;
  auto snapshot = std::make_shared<Snapshot>(std::exchange(incoming_snapshot_, Snapshot{}));
  incoming_size_ = 0;
  if (snapshot->index <= last_index() && TermAt(snapshot->index) == snapshot->term) {
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(snapshot->index - base_index_));
  } else {
    counters_.entries_truncated += entries_.size();
    entries_.clear();
  }
  base_index_ = snapshot->index;
  base_term_ = snapshot->term;
  snapshot_ = snapshot;
  commit_index_ = verified_index_ = std::max(commit_index_, snapshot->index);
  LoadConfigurationFromLog();
  RequestPersist(false, base_index_ + 1, snapshot);
  snapshot_to_restore_ = snapshot;
  restore_persist_ = persists_requested_;
}

}  // namespace heronway::cluster::log
