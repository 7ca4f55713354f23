// Who leads: terms, votes, pre-votes, and a leader that has lost its majority.
#include <algorithm>
#include <utility>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {

// Apart from the others: two that stand at one moment split the votes.
void Log::ResetElection() {
  election_at_ = now_ + settings_.election +
                 static_cast<Micros>(random_(static_cast<std::uint32_t>(settings_.election)));
}

bool Log::HearsLeader() const {
  if (role_ == Role::kLeader) return true;
  return leader_ != 0 && heard_leader_ >= 0 && now_ - heard_leader_ < settings_.election;
}

bool Log::UpToDate(const Message& m) const {
  const Term own = *TermAt(last());
  return m.log_term > own || (m.log_term == own && m.index >= last());
}

void Log::Become(Role role, Term term, ServerId leader) {
  const bool told = role != role_ || leader != leader_ || term != vote_.term;
  if (role_ == Role::kLeader && role != Role::kLeader) ++counters_.stood_down;
  if (term > vote_.term) {
    vote_ = Vote{term, 0};
    Save(true, 0);
  }
  role_ = role;
  leader_ = leader;
  if (role != Role::kLeader) {
    progress_.clear();
    own_first_ = 0;
    waiting_bytes_ = 0;
    transfer_ = 0;
    // Whoever waits for a read asks again, of whoever leads then.
    for (const WaitingRead& r : std::exchange(reads_, {})) effects_->push_back(Refused{r.ticket, leader});
  }
  if (told) effects_->push_back(RoleChanged{role, vote_.term, leader});
}

void Log::StandAside(Term term, ServerId leader) {
  // Of another leader's log nothing is known to be alike but what is committed.
  if (term > vote_.term || leader_ != leader) {
    verified_ = commit_;
    round_ = 0;
    coming_ = Snapshot{};
    coming_size_ = 0;
  }
  if (leader != leader_) heard_leader_ = -1;
  const bool led = role_ != Role::kFollower;
  Become(Role::kFollower, term, leader);
  if (led) ResetElection();
}

// Pre-vote (9.6): whoever could not win, and whoever is only cut off, raises nobody's term.
void Log::Stand(bool for_real, bool handed) {
  ResetElection();
  votes_.clear();
  if (for_real) {
    ++counters_.elections;
    Become(Role::kCandidate, vote_.term + 1, 0);
    vote_.of = self_;
    Save(true, 0);
  } else {
    Become(Role::kPreCandidate, vote_.term, 0);
  }
  votes_.insert(self_);
  for (const ServerId id : members_.voters) {
    if (id == self_) continue;
    Message m = Make(for_real ? MessageKind::kVote : MessageKind::kPreVote, id);
    if (!for_real) m.term = vote_.term + 1;
    m.index = last();
    m.log_term = *TermAt(last());
    m.handed = handed;
    Post(std::move(m));
  }
  TryWin();
}

void Log::TryWin() {
  // One's own vote counts when it is on disk, like any other.
  if (vote_save_ > saved_) return;
  const auto yes = std::count_if(members_.voters.begin(), members_.voters.end(),
                                 [this](ServerId id) { return votes_.contains(id); });
  if (static_cast<std::size_t>(yes) < Majority()) return;
  if (role_ == Role::kPreCandidate) return Stand(true, false);
  if (role_ == Role::kCandidate) Lead();
}

void Log::Lead() {
  ++counters_.won;
  Become(Role::kLeader, vote_.term, self_);
  round_ = 0;
  quorum_at_ = now_ + settings_.election;
  TakeMembers(Members(members_));
  auto nothing = std::make_shared<Entry>();
  nothing->term = vote_.term;
  nothing->kind = EntryKind::kNothing;
  own_first_ = last() + 1;
  Append(std::move(nothing));
  FeedAll(true);
  LookAtCommit();
}

void Log::OnVoteRequest(const Message& m) {
  const bool pre = m.kind == MessageKind::kPreVote;
  Message reply = Make(pre ? MessageKind::kPreVoteReply : MessageKind::kVoteReply, m.from);
  // A leader that is heard is kept (4.2.3): a server that was removed or cut off must not unseat it.
  if (m.term > vote_.term && !m.handed && HearsLeader()) return;
  if (m.term < vote_.term) return Post(std::move(reply));
  if (pre) {
    reply.yes = m.term > vote_.term && UpToDate(m);
    // A yes is of the term that is asked for; a no tells one's own.
    if (reply.yes) reply.term = m.term;
    return Post(std::move(reply));
  }
  if (m.term > vote_.term) StandAside(m.term, 0);
  reply.term = vote_.term;
  const bool free = role_ == Role::kFollower || role_ == Role::kPreCandidate;
  if ((vote_.of == 0 || vote_.of == m.from) && free && leader_ == 0 && UpToDate(m)) {
    if (role_ != Role::kFollower) StandAside(vote_.term, 0);
    if (vote_.of == 0) {
      vote_.of = m.from;
      Save(true, 0);
    }
    reply.yes = true;
    ResetElection();
  }
  Post(std::move(reply));
}

void Log::OnVoteReply(const Message& m) {
  const bool pre = m.kind == MessageKind::kPreVoteReply;
  if (m.term > vote_.term && !(pre && m.yes)) return StandAside(m.term, 0);
  if (!m.yes || role_ != (pre ? Role::kPreCandidate : Role::kCandidate)) return;
  if (m.term != vote_.term + (pre ? 1 : 0)) return;
  votes_.insert(m.from);
  TryWin();
}

// A leader that a majority no longer answers (6.2) stands down: whoever asks it is told to go elsewhere.
void Log::CheckQuorum() {
  quorum_at_ = now_ + settings_.election;
  std::size_t heard = IsVoter(self_) ? 1 : 0;
  for (const ServerId id : members_.voters) {
    const auto it = progress_.find(id);
    heard += it != progress_.end() && now_ - it->second.heard < settings_.election ? 1 : 0;
  }
  if (heard < Majority()) StandAside(vote_.term, 0);
}

}  // namespace heronway::cluster::log
