// Entries and snapshots to followers, what is committed, reads, and the handing over of leadership.
#include <algorithm>
#include <utility>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {
namespace {

// What an entry takes beyond its data, about; bounds are kept by it.
constexpr std::size_t kEntryBytes = 32;

}  // namespace

// ---- a leader's side

void Log::FeedAll(bool heartbeat) {
  if (heartbeat) heartbeat_at_ = now_ + settings_.heartbeat;
  for (auto& [id, p] : progress_) Feed(id, p, heartbeat);
}

// Sends what the follower does not have and the bounds allow; a heartbeat is sent whatever they say.
void Log::Feed(ServerId to, Progress& p, bool heartbeat) {
  if (p.pace != Pace::kSnapshot && !TermAt(p.next - 1)) {
    p.pace = Pace::kSnapshot;
    p.snapshot = snapshot_;
    p.offset = 0;
    p.waits = false;
    p.under_way.clear();
    p.bytes = 0;
    ++counters_.snapshots_sent;
  }
  if (p.pace == Pace::kSnapshot) {
    if (!p.waits || heartbeat) FeedSnapshot(to, p);
    return;
  }
  if (p.pace == Pace::kProbe) {
    if (p.waits && !heartbeat) return;
    p.waits = true;
  }
  bool sent = false;
  for (;;) {
    const bool more = p.pace == Pace::kStream && p.next <= last() && p.bytes < settings_.most_under_way;
    if (!more && (sent || (p.pace == Pace::kStream && !heartbeat))) return;
    Message m = Make(MessageKind::kAppend, to);
    m.index = p.next - 1;
    m.log_term = *TermAt(m.index);
    m.commit = commit_;
    m.round = round_;
    std::size_t bytes = 0;
    while (more && p.next <= last() && bytes < settings_.most_message) {
      m.entries.push_back(log_[p.next - base_ - 1]);
      bytes += m.entries.back()->data.size() + kEntryBytes;
      ++p.next;
    }
    if (more) {
      p.under_way.emplace_back(p.next - 1, bytes);
      p.bytes += bytes;
    }
    Post(std::move(m));
    sent = true;
  }
}

void Log::FeedSnapshot(ServerId to, Progress& p) {
  const Snapshot& s = *p.snapshot;
  Message m = Make(MessageKind::kSnapshot, to);
  m.index = s.index;
  m.log_term = s.term;
  m.members = s.members;
  m.size = s.data.size();
  m.offset = p.offset;
  m.bytes = s.data.substr(p.offset, settings_.most_message);
  p.waits = true;
  Post(std::move(m));
}

void Log::OnAppendReply(const Message& m) {
  Progress& p = progress_.at(m.from);
  p.round = std::max(p.round, m.round);
  if (!m.yes) {
    // Guards against old replies: what is known to be on its disk is not doubted.
    if (p.pace == Pace::kSnapshot || m.index <= p.match) return;
    p.pace = Pace::kProbe;
    p.next = std::min(std::max(p.match + 1, std::min(m.hint + 1, m.index)), last() + 1);
    p.waits = false;
    p.under_way.clear();
    p.bytes = 0;
    LookAtReads();
    return Feed(m.from, p, false);
  }
  p.match = std::max(p.match, std::min(m.index, last()));
  p.next = std::max(p.next, p.match + 1);
  while (!p.under_way.empty() && p.under_way.front().first <= p.match) {
    p.bytes -= p.under_way.front().second;
    p.under_way.pop_front();
  }
  if (p.pace == Pace::kProbe || (p.pace == Pace::kSnapshot && p.match >= p.snapshot->index)) {
    p.pace = Pace::kStream;
    p.next = p.match + 1;
    p.waits = false;
    p.snapshot = nullptr;
  }
  const ServerId from = m.from;
  LookAtCommit();
  if (role_ != Role::kLeader) return;  // it has taken itself out of the group
  LookAtReads();
  LookAtTransfer();
  if (const auto it = progress_.find(from); it != progress_.end()) Feed(from, it->second, false);
}

void Log::OnSnapshotReply(const Message& m) {
  Progress& p = progress_.at(m.from);
  if (p.pace != Pace::kSnapshot || m.index != p.snapshot->index) return;
  p.offset = std::min<std::uint64_t>(m.offset, p.snapshot->data.size());
  FeedSnapshot(m.from, p);
}

// On the disks of a majority, and of this leader's own term (3.6.2: an older entry is committed only with one
// of the leader's own behind it).
void Log::LookAtCommit() {
  if (role_ != Role::kLeader) return;
  std::vector<Index> on_disk;
  for (const ServerId id : members_.voters) {
    const auto it = progress_.find(id);
    on_disk.push_back(id == self_ ? durable_ : it == progress_.end() ? 0 : it->second.match);
  }
  if (on_disk.empty()) return;
  std::sort(on_disk.begin(), on_disk.end(), std::greater<>());
  const Index index = on_disk[Majority() - 1];
  if (index <= commit_ || TermAt(index) != vote_.term) return;
  CommitTo(index);
  if (!IsVoter(self_) && members_at_ <= commit_) StandAside(vote_.term, 0);
}

void Log::CommitTo(Index index) {
  commit_ = std::max(commit_, std::min(index, last()));
  if (to_restore_ != nullptr || applied_ >= commit_) return;
  Apply apply;
  apply.first = applied_ + 1;
  for (Index i = apply.first; i <= commit_; ++i) {
    apply.entries.push_back(log_[i - base_ - 1]);
    waiting_bytes_ -= std::min(waiting_bytes_, apply.entries.back()->data.size());
  }
  applied_ = commit_;
  effects_->push_back(std::move(apply));
}

void Log::LookAtReads() {
  std::erase_if(reads_, [this](const WaitingRead& r) {
    std::size_t heard = IsVoter(self_) ? 1 : 0;
    for (const ServerId id : members_.voters) {
      const auto it = progress_.find(id);
      heard += it != progress_.end() && it->second.round >= r.round ? 1 : 0;
    }
    if (heard < Majority()) return false;
    effects_->push_back(ReadAt{r.ticket, r.index});
    return true;
  });
}

// Nothing is taken meanwhile, so that the other can have it all; where it does not lead in time, this one
// goes on.
void Log::LookAtTransfer() {
  if (transfer_ == 0) return;
  const auto it = progress_.find(transfer_);
  if (now_ >= transfer_ends_ || it == progress_.end()) {
    transfer_ = 0;
    return;
  }
  if (handed_over_ || it->second.match != last()) return;
  handed_over_ = true;
  Post(Make(MessageKind::kTimeoutNow, transfer_));
}

// ---- a follower's side

void Log::AppendReply(bool yes, Index index, Index hint) {
  Message m = Make(MessageKind::kAppendReply, leader_);
  m.yes = yes;
  m.index = index;
  m.hint = hint;
  m.round = round_;
  Post(std::move(m));
}

void Log::OnAppend(const Message& m) {
  round_ = std::max(round_, m.round);
  // Up to `commit_` all logs are alike: what lies before it is passed over.
  Index at = m.index;
  std::size_t n = 0;
  if (at < commit_) {
    n = std::min<std::size_t>(commit_ - at, m.entries.size());
    at += n;
    if (at < commit_) return AppendReply(true, std::min(verified_, durable_), 0);
  } else if (TermAt(at) != m.log_term) {
    // The leader goes on before all of a term that differs: one message a term, not an entry.
    Index hint = std::min(at, last());
    if (at <= last()) {
      const Term differs = *TermAt(at);
      while (hint > commit_ && TermAt(hint) == differs) --hint;
    }
    return AppendReply(false, at, std::max(hint, commit_));
  }
  Index from = 0;
  for (; n < m.entries.size(); ++n) {
    ++at;
    if (at <= last()) {
      if (At(at).term == m.entries[n]->term) continue;
      TruncateFrom(at);
    }
    if (from == 0) from = at;
    log_.push_back(m.entries[n]);
    ++counters_.appended;
    if (m.entries[n]->kind == EntryKind::kMembers) {
      members_at_ = at;
      TakeMembers(Members(m.entries[n]->members));
    }
  }
  if (from != 0) Save(false, from);
  verified_ = std::max(verified_, at);
  CommitTo(std::min(m.commit, verified_));
  AppendReply(true, std::min(verified_, durable_), 0);
}

void Log::OnSnapshot(const Message& m) {
  if (m.index <= commit_) {
    verified_ = std::max(verified_, commit_);
    return AppendReply(true, std::min(verified_, durable_), 0);
  }
  if (coming_.index != m.index || coming_.term != m.log_term || coming_size_ != m.size) {
    coming_ = Snapshot{m.index, m.log_term, m.members, {}};
    coming_size_ = m.size;
  }
  // Guards against pieces that come twice, late or out of order: only the next one is taken.
  if (m.offset == coming_.data.size() && m.bytes.size() <= m.size - m.offset) coming_.data += m.bytes;
  if (coming_.data.size() < coming_size_) {
    Message reply = Make(MessageKind::kSnapshotReply, m.from);
    reply.index = m.index;
    reply.offset = coming_.data.size();
    return Post(std::move(reply));
  }
  ++counters_.snapshots_taken;
  auto snapshot = std::make_shared<Snapshot>(std::exchange(coming_, Snapshot{}));
  coming_size_ = 0;
  if (snapshot->index <= last() && TermAt(snapshot->index) == snapshot->term) {
    log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(snapshot->index - base_));
  } else {
    counters_.truncated += log_.size();
    log_.clear();
  }
  base_ = snapshot->index;
  base_term_ = snapshot->term;
  snapshot_ = snapshot;
  commit_ = verified_ = std::max(commit_, snapshot->index);
  MembersFromLog();
  Save(false, base_ + 1, snapshot);
  to_restore_ = snapshot;
  restore_save_ = saves_;
}

}  // namespace heronway::cluster::log
