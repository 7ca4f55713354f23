// Leader election: terms, votes, pre-votes, and step-down of a leader that lost contact to its majority.
#include <algorithm>
#include <utility>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {

namespace {

// The timeout of an election is doubled with each one in a row that ended without a result, this often at
// most.
constexpr int kMaxTimeoutDoublings = 3;

}  // namespace

// The timeout is random, because servers that start elections at the same time split the votes.
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
  const bool changed = role != role_ || leader != leader_ || term != hard_state_.term;
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
    // Clients of pending reads have to retry at the next leader.
    for (const PendingRead& r : std::exchange(pending_reads_, {}))
      effects_->push_back(Rejected{r.request_id, leader});
  }
  if (changed) effects_->push_back(RoleChanged{role, hard_state_.term, leader});
}

void Log::BecomeFollower(Term term, ServerId leader) {
  // Only committed entries are known to match the log of a new leader.
  if (term > hard_state_.term || leader_ != leader) {
    verified_index_ = commit_index_;
    read_round_ = 0;
    incoming_snapshot_ = Snapshot{};
    incoming_size_ = 0;
  }
  if (leader != leader_) last_leader_contact_ = -1;
  const bool was_not_follower = role_ != Role::kFollower;
  Become(Role::kFollower, term, leader);
  if (leader != 0) elections_without_result_ = 0;
  if (was_not_follower) ResetElectionTimer();
}

// Pre-vote (9.6): a server that cannot win, or is only partitioned away, does not raise the others' terms.
// `real_vote` starts the election proper; `leadership_transfer` marks its requests.
void Log::StartElection(bool real_vote, bool leadership_transfer) {
  if (role_ == Role::kCandidate) ++elections_without_result_;
  ResetElectionTimer();
  votes_.clear();
  if (real_vote) {
    ++counters_.elections;
    // The first one without a result may have been a split vote. After more of them, votes may be late.
    const int doublings = std::clamp(elections_without_result_ - 1, 0, kMaxTimeoutDoublings);
    election_deadline_ = now_ + ((election_deadline_ - now_) << doublings);
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
  // The server's own vote counts only once it is durable, like any other vote.
  if (hard_state_persist_ > persists_done_) return;
  const auto granted = std::count_if(configuration_.voters.begin(), configuration_.voters.end(),
                                     [this](ServerId id) { return votes_.contains(id); });
  if (static_cast<std::size_t>(granted) < Majority()) return;
  if (role_ == Role::kPreCandidate) return StartElection(true, false);
  if (role_ == Role::kCandidate) BecomeLeader();
}

void Log::BecomeLeader() {
  ++counters_.elections_won;
  elections_without_result_ = 0;
  Become(Role::kLeader, hard_state_.term, self_);
  read_round_ = 0;
  next_quorum_check_ = now_ + settings_.election_timeout;
  SetConfiguration(Configuration(configuration_));
  auto no_op = std::make_shared<Entry>();
  no_op->term = hard_state_.term;
  no_op->kind = EntryKind::kNoOp;
  term_start_index_ = last_index() + 1;
  Append(std::move(no_op));
  ReplicateToAll(true);
  AdvanceCommitIndex();
}

void Log::OnVoteRequest(const Message& m) {
  const bool pre_vote = m.kind == MessageKind::kPreVote;
  Message reply = MakeMessage(pre_vote ? MessageKind::kPreVoteReply : MessageKind::kRequestVoteReply, m.from);
  // Leader stickiness (4.2.3): a server that was removed or partitioned away must not depose a leader that
  // others still hear from.
  if (m.term > hard_state_.term && !m.leadership_transfer && HasActiveLeader()) return;
  if (m.term < hard_state_.term) return SendMessage(std::move(reply));
  if (pre_vote) {
    reply.accepted = m.term > hard_state_.term && IsUpToDate(m);
    // A granted pre-vote carries the requested term; a denied one carries the receiver's term.
    if (reply.accepted) reply.term = m.term;
    return SendMessage(std::move(reply));
  }
  if (m.term > hard_state_.term) BecomeFollower(m.term, 0);
  reply.term = hard_state_.term;
  const bool may_vote = role_ == Role::kFollower || role_ == Role::kPreCandidate;
  if ((hard_state_.voted_for == 0 || hard_state_.voted_for == m.from) && may_vote && leader_ == 0 &&
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
  const bool pre_vote = m.kind == MessageKind::kPreVoteReply;
  if (m.term > hard_state_.term && !(pre_vote && m.accepted)) return BecomeFollower(m.term, 0);
  if (!m.accepted || role_ != (pre_vote ? Role::kPreCandidate : Role::kCandidate)) return;
  if (m.term != hard_state_.term + (pre_vote ? 1 : 0)) return;
  votes_.insert(m.from);
  CountVotes();
}

// A leader without contact to a majority steps down (6.2), so that clients turn to another server.
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
