// Who leads: terms, votes, pre-votes, and a leader that has lost its majority.
#include <algorithm>
#include <utility>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {

// Apart from the others: two that stand at one moment split the votes.
void Log::ResetElectionTimer() {
  election_deadline_ = now_ + settings_.election_timeout +
                       static_cast<Micros>(random_(static_cast<std::uint32_t>(settings_.election_timeout)));
}

bool Log::HasActiveLeader() const {
  if (role_ == Role::kLeader) return true;
  return leader_ != 0 && last_leader_contact_ >= 0 &&
         now_ - last_leader_contact_ < settings_.election_timeout;
}

bool Log::IsUpToDate(const Message& m) const {
  const Term own = *TermAt(last_index());
  return m.log_term > own || (m.log_term == own && m.index >= last_index());
}

void Log::Become(Role role, Term term, ServerId leader) {
  const bool told = role != role_ || leader != leader_ || term != hard_state_.term;
  if (role_ == Role::kLeader && role != Role::kLeader) ++counters_.stepped_down;
  if (term > hard_state_.term) {
    hard_state_ = HardState{term, 0};
    RequestPersist(true, 0);
  }
  role_ = role;
  leader_ = leader;
  if (role != Role::kLeader) {
    progress_.clear();
    term_start_index_ = 0;
    uncommitted_bytes_ = 0;
    transfer_target_ = 0;
    // Whoever awaiting_reply for a read asks again, of whoever leads then.
    for (const PendingRead& r : std::exchange(pending_reads_, {}))
      effects_->push_back(Rejected{r.request_id, leader});
  }
  if (told) effects_->push_back(RoleChanged{role, hard_state_.term, leader});
}

void Log::BecomeFollower(Term term, ServerId leader) {
  // Of another leader's log nothing is known to be alike but what is committed.
  if (term > hard_state_.term || leader_ != leader) {
    verified_index_ = commit_index_;
    read_round_ = 0;
    incoming_snapshot_ = Snapshot{};
    incoming_size_ = 0;
  }
  if (leader != leader_) last_leader_contact_ = -1;
  const bool led = role_ != Role::kFollower;
  Become(Role::kFollower, term, leader);
  if (led) ResetElectionTimer();
}

// Pre-hard_state (9.6): whoever could not win, and whoever is only cut off, raises nobody's term.
void Log::StartElection(bool real_vote, bool leadership_transfer) {
  ResetElectionTimer();
  votes_.clear();
  if (real_vote) {
    ++counters_.elections;
    Become(Role::kCandidate, hard_state_.term + 1, 0);
    hard_state_.voted_for = self_;
    RequestPersist(true, 0);
  } else {
    Become(Role::kPreCandidate, hard_state_.term, 0);
  }
  votes_.insert(self_);
  for (const ServerId id : configuration_.voters) {
    if (id == self_) continue;
    Message m = MakeMessage(real_vote ? MessageKind::kRequestVote : MessageKind::kPreVote, id);
    if (!real_vote) m.term = hard_state_.term + 1;
    m.index = last_index();
    m.log_term = *TermAt(last_index());
    m.leadership_transfer = leadership_transfer;
    SendMessage(std::move(m));
  }
  CountVotes();
}

void Log::CountVotes() {
  // One's own hard_state counts when it is on disk, like any other.
  if (hard_state_persist_ > persists_done_) return;
  const auto granted = std::count_if(configuration_.voters.begin(), configuration_.voters.end(),
                                     [this](ServerId id) { return votes_.contains(id); });
  if (static_cast<std::size_t>(granted) < Majority()) return;
  if (role_ == Role::kPreCandidate) return StartElection(true, false);
  if (role_ == Role::kCandidate) BecomeLeader();
}

void Log::BecomeLeader() {
  ++counters_.elections_won;
  Become(Role::kLeader, hard_state_.term, self_);
  read_round_ = 0;
  next_quorum_check_ = now_ + settings_.election_timeout;
  SetConfiguration(Configuration(configuration_));
  auto nothing = std::make_shared<Entry>();
  nothing->term = hard_state_.term;
  nothing->kind = EntryKind::kNoOp;
  term_start_index_ = last_index() + 1;
  Append(std::move(nothing));
  ReplicateToAll(true);
  AdvanceCommitIndex();
}

void Log::OnVoteRequest(const Message& m) {
  const bool pre = m.kind == MessageKind::kPreVote;
  Message reply = MakeMessage(pre ? MessageKind::kPreVoteReply : MessageKind::kRequestVoteReply, m.from);
  // A leader that is responders is kept (4.2.3): a server that was removed or cut off must not unseat it.
  if (m.term > hard_state_.term && !m.leadership_transfer && HasActiveLeader()) return;
  if (m.term < hard_state_.term) return SendMessage(std::move(reply));
  if (pre) {
    reply.accepted = m.term > hard_state_.term && IsUpToDate(m);
    // A accepted is of the term that is asked for; a no tells one's own.
    if (reply.accepted) reply.term = m.term;
    return SendMessage(std::move(reply));
  }
  if (m.term > hard_state_.term) BecomeFollower(m.term, 0);
  reply.term = hard_state_.term;
  const bool free = role_ == Role::kFollower || role_ == Role::kPreCandidate;
  if ((hard_state_.voted_for == 0 || hard_state_.voted_for == m.from) && free && leader_ == 0 &&
      IsUpToDate(m)) {
    if (role_ != Role::kFollower) BecomeFollower(hard_state_.term, 0);
    if (hard_state_.voted_for == 0) {
      hard_state_.voted_for = m.from;
      RequestPersist(true, 0);
    }
    reply.accepted = true;
    ResetElectionTimer();
  }
  SendMessage(std::move(reply));
}

void Log::OnVoteReply(const Message& m) {
  const bool pre = m.kind == MessageKind::kPreVoteReply;
  if (m.term > hard_state_.term && !(pre && m.accepted)) return BecomeFollower(m.term, 0);
  if (!m.accepted || role_ != (pre ? Role::kPreCandidate : Role::kCandidate)) return;
  if (m.term != hard_state_.term + (pre ? 1 : 0)) return;
  votes_.insert(m.from);
  CountVotes();
}

// A leader that a majority no longer answers (6.2) stands down: whoever asks it is told to go elsewhere.
void Log::CheckQuorum() {
  next_quorum_check_ = now_ + settings_.election_timeout;
  std::size_t responders = IsVoter(self_) ? 1 : 0;
  for (const ServerId id : configuration_.voters) {
    const auto it = progress_.find(id);
    responders +=
        it != progress_.end() && now_ - it->second.last_contact < settings_.election_timeout ? 1 : 0;
  }
  if (responders < Majority()) BecomeFollower(hard_state_.term, 0);
}

}  // namespace heronway::cluster::log
