// A replicated log, as one server of its group sees it: `(state, event, now) -> effects`. No I/O, no clock,
// no thread; the same events, seed and times give the same effects. A `Log` is a value: a copy goes on by
// itself, which is how tests explore it.
//
// Source: Raft, as in Ongaro, "Consensus: Bridging Theory and Practice", 2014: elections and replication
// (chapter 3), leadership transfer (3.10), one change of members at a time (4.1, with the correction of 2015:
// not before an entry of the leader's own term is committed), learners (4.2.1), pre-vote and leader
// stickiness (4.2.3, 9.6), compaction and snapshots in pieces (chapter 5), read index (6.4), and the leader's
// disk beside the network (10.2.1). docs/copies.md says what differs, and why.
#ifndef HERONWAY_CLUSTER_LOG_LOG_H_
#define HERONWAY_CLUSTER_LOG_LOG_H_

#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <variant>

#include "src/cluster/log/types.h"

namespace heronway::cluster::log {

struct Settings {
  Micros election = 1'000'000;  // a follower that hears no leader for this long, to twice this, stands
  Micros heartbeat = 150'000;   // between a leader's signs of life
  std::size_t most_message = 64 * 1024;        // bytes of entries, or of a snapshot's piece, in a message
  std::size_t most_under_way = 1024 * 1024;    // bytes sent to a follower and not heard of
  std::size_t most_waiting = 8 * 1024 * 1024;  // bytes proposed and not committed; more are refused
  std::size_t trailing = 1'024;                // entries kept behind a snapshot, for those that lag a little
};

// What was on disk at the start. A group begins with the same `snapshot` of index 0, naming its members, on
// each of them; a server that is to be added begins with nothing.
struct OnDisk {
  Vote vote;
  SnapshotPtr snapshot;
  std::vector<EntryPtr> entries;  // behind the snapshot
};

// ---- events
struct Tick {};  // due at the last WakeAt; later does no harm
struct Received {
  Message message;
};
struct Propose {
  std::uint64_t ticket = 0;  // the host's, for Proposed or Refused
  std::string data;
};
enum class Change : std::uint8_t { kAddLearner, kPromote, kRemove };
struct ChangeMembers {
  std::uint64_t ticket = 0;
  Change change = Change::kAddLearner;
  ServerId server = 0;
};
struct Transfer {  // hand leadership to this voter, once it has everything; refused or given up in silence
  ServerId to = 0;
};
struct Read {
  std::uint64_t ticket = 0;  // for ReadAt or Refused
};
struct Persisted {  // everything up to this Persist is on disk
  std::uint64_t number = 0;
};
struct Compact {  // the state machine as it was after `index`, which it has applied
  Index index = 0;
  std::string data;
};
using Event = std::variant<Tick, Received, Propose, ChangeMembers, Transfer, Read, Persisted, Compact>;

// ---- effects, to be carried out in their order
struct WakeAt {  // replaces the one before
  Micros at;
};
struct Persist {  // answered by Persisted, in order
  std::uint64_t number;
  std::optional<Vote> vote;
  SnapshotPtr snapshot;  // replaces the one before; entries up to it may go
  Index from;            // entries from here on are replaced by these; 0: none are
  std::vector<EntryPtr> entries;
};
struct Send {
  Message message;
};
struct Apply {  // committed: `first` and on, each once and in order
  Index first;
  std::vector<EntryPtr> entries;
};
struct Restore {  // the state machine is to be this; what it was is behind
  SnapshotPtr snapshot;
};
enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
struct RoleChanged {
  Role role;
  Term term;
  ServerId leader;  // 0: not known
};
struct Proposed {  // in the log at `index`; it is committed if the entry applied there is of this term
  std::uint64_t ticket;
  Index index;
  Term term;
};
struct Refused {  // it is not in the log, and will not be
  std::uint64_t ticket;
  ServerId leader;  // who may take it; 0: not known
};
struct ReadAt {  // what is applied up to `index` is no older than the asking
  std::uint64_t ticket;
  Index index;
};
using Effect = std::variant<WakeAt, Persist, Send, Apply, Restore, RoleChanged, Proposed, Refused, ReadAt>;

struct Counters {
  std::uint64_t elections = 0, won = 0, stood_down = 0, proposals = 0, refused = 0;
  std::uint64_t sent = 0, appended = 0, truncated = 0, snapshots_sent = 0, snapshots_taken = 0;
};

class Log {
 public:
  Log(const Settings& settings, ServerId self, OnDisk disk, std::uint64_t seed, Micros now);

  void Handle(Micros now, Event event, std::vector<Effect>& effects);

  ServerId self() const { return self_; }
  Role role() const { return role_; }
  Term term() const { return vote_.term; }
  ServerId vote() const { return vote_.of; }
  ServerId leader() const { return leader_; }
  Index committed() const { return commit_; }
  Index applied() const { return applied_; }
  Index last() const { return base_ + log_.size(); }
  Index first() const { return base_ + 1; }  // of those that are kept
  Index durable() const { return durable_; }
  const Members& members() const { return members_; }
  const SnapshotPtr& snapshot() const { return snapshot_; }
  std::optional<Term> TermAt(Index index) const;
  const Entry& At(Index index) const { return *EntryAt(index); }  // first() to last()
  const EntryPtr& EntryAt(Index index) const { return log_[index - base_ - 1]; }
  const Counters& counters() const { return counters_; }
  // Of a follower, as the leader knows it: what it has on disk, and when it was last heard.
  struct Lag {
    ServerId server;
    Index match;
    Micros heard;
  };
  std::vector<Lag> Followers() const;
  // Of all that decides what it does next but times and chance: equal ones go on alike. For exploring.
  std::uint64_t Digest() const;

 private:
  enum class Pace : std::uint8_t { kProbe, kStream, kSnapshot };
  struct Progress {
    Index match = 0, next = 1;
    Pace pace = Pace::kProbe;
    bool waits = false;                                   // kProbe, kSnapshot: one message is out
    std::deque<std::pair<Index, std::size_t>> under_way;  // kStream: last entry, and bytes
    std::size_t bytes = 0;
    Micros heard = 0;
    std::uint64_t round = 0;
    SnapshotPtr snapshot;  // kSnapshot
    std::uint64_t offset = 0;
  };
  struct Held {
    std::uint64_t number;  // of the Persist that it waits for
    Message message;
  };
  struct WaitingRead {
    std::uint64_t ticket, round;
    Index index;
  };

  void On(Tick&);
  void On(Received& e);
  void On(Propose& e);
  void On(ChangeMembers& e);
  void On(Transfer& e);
  void On(Read& e);
  void On(Persisted& e);
  void On(Compact& e);

  // election.cpp
  void Become(Role role, Term term, ServerId leader);
  void StandAside(Term term, ServerId leader);
  void Stand(bool for_real, bool handed);
  void Lead();
  void TryWin();
  void OnVoteRequest(const Message& m);
  void OnVoteReply(const Message& m);
  void CheckQuorum();
  void ResetElection();
  bool HearsLeader() const;
  bool UpToDate(const Message& m) const;
  bool IsVoter(ServerId id) const;
  std::size_t Majority() const { return members_.voters.size() / 2 + 1; }

  // replication.cpp
  void OnAppend(const Message& m);
  void OnAppendReply(const Message& m);
  void OnSnapshot(const Message& m);
  void OnSnapshotReply(const Message& m);
  void Feed(ServerId to, Progress& p, bool heartbeat);
  void FeedSnapshot(ServerId to, Progress& p);
  void FeedAll(bool heartbeat);
  void Append(EntryPtr entry);
  void TruncateFrom(Index index);
  void TakeMembers(const Members& members);
  void MembersFromLog();
  void LookAtCommit();
  void CommitTo(Index index);
  void LookAtReads();
  void LookAtTransfer();
  void AppendReply(bool yes, Index index, Index hint);

  void Save(bool vote, Index from, SnapshotPtr snapshot = nullptr);
  void Post(Message message);
  Message Make(MessageKind kind, ServerId to) const;
  bool ChangeAllowed(const ChangeMembers& e, Members& next) const;

  Settings settings_;
  ServerId self_;
  pcg32 random_;
  Micros now_;
  std::vector<Effect>* effects_ = nullptr;

  // On disk, or on its way there.
  Vote vote_;
  SnapshotPtr snapshot_;
  Index base_ = 0;  // the entry before the first that is kept
  Term base_term_ = 0;
  std::deque<EntryPtr> log_;
  std::uint64_t saves_ = 0, saved_ = 0;                 // Persists asked for, and done
  std::uint64_t vote_save_ = 0;                         // the one that has `vote_`
  std::deque<std::pair<std::uint64_t, Index>> writes_;  // by number: the last entry on disk after it
  Index durable_ = 0;
  std::deque<Held> held_;

  Members members_;
  Index members_at_ = 0;  // the entry that they are from
  Index commit_ = 0, applied_ = 0;
  Role role_ = Role::kFollower;
  ServerId leader_ = 0;
  Micros election_at_ = 0, heard_leader_ = -1;
  Index verified_ = 0;       // a follower's: like the leader's log up to here
  std::uint64_t round_ = 0;  // a leader's last; a follower's: its leader's
  std::set<ServerId> votes_;
  // A leader's.
  std::map<ServerId, Progress> progress_;
  Micros heartbeat_at_ = 0, quorum_at_ = 0;
  Index own_first_ = 0;  // its own first entry
  std::size_t waiting_bytes_ = 0;
  std::vector<WaitingRead> reads_;
  ServerId transfer_ = 0;
  Micros transfer_ends_ = 0;
  bool handed_over_ = false;  // the TimeoutNow is out
  // A snapshot that comes in pieces.
  Snapshot coming_;
  std::uint64_t coming_size_ = 0;
  SnapshotPtr to_restore_;
  std::uint64_t restore_save_ = 0;
  Counters counters_;
};

}  // namespace heronway::cluster::log

#endif  // HERONWAY_CLUSTER_LOG_LOG_H_
