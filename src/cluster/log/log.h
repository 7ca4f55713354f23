// Replicated log: the Raft state machine of one server of a group. It maps (state, event, time) to effects
// and does no I/O: it has no clock and no threads, and the same events, seed and times give the same effects.
// A `Log` is a value type; tests copy it to explore different continuations.
//
// Source: Raft, as in Ongaro, "Consensus: Bridging Theory and Practice", 2014: elections and replication
// (chapter 3), leadership transfer (3.10), single-server membership changes (4.1, with the correction of
// 2015: none before an entry of the leader's own term is committed), learners (4.2.1), pre-vote and leader
// stickiness (4.2.3, 9.6), log compaction and chunked snapshots (chapter 5), ReadIndex (6.4), and writing to
// the leader's disk in parallel with replication (10.2.1). docs/copies.md lists the differences and reasons.
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
  Micros election_timeout = 1'000'000;  // lower bound; each timeout is random, up to twice this
  Micros heartbeat_interval = 150'000;
  std::size_t max_message_bytes = 64 * 1024;            // entries or snapshot chunk in one message
  std::size_t max_inflight_bytes = 1024 * 1024;         // sent to one follower and not acknowledged
  std::size_t max_uncommitted_bytes = 8 * 1024 * 1024;  // proposals beyond this are rejected
  std::size_t trailing_entries = 1'024;  // kept before a snapshot's index, for followers slightly behind
};

// State loaded from disk at the start. Every initial server of a group starts with the same snapshot of index
// 0, which holds the configuration; a server that is to be added later starts empty.
struct PersistentState {
  HardState hard_state;
  SnapshotPtr snapshot;
  std::vector<EntryPtr> entries;  // after the snapshot
};

// Events.
struct Tick {};  // due at the time of the last WakeAt; may be late
struct Received {
  Message message;
};
struct Propose {
  std::uint64_t request_id = 0;  // chosen by the caller; returned in Proposed or Rejected
  std::string data;
};
enum class ConfigurationChange : std::uint8_t { kAddLearner, kPromote, kRemove };
struct ChangeConfiguration {
  std::uint64_t request_id = 0;  // returned in Proposed or Rejected
  ConfigurationChange change = ConfigurationChange::kAddLearner;
  ServerId server = 0;
};
// Transfers leadership to a voter once its log is complete. There is no reply: an invalid request is ignored,
// and the transfer is abandoned after an election timeout.
struct TransferLeadership {
  ServerId to = 0;
};
struct ReadIndex {               // asks for an index at which a read is linearizable
  std::uint64_t request_id = 0;  // returned in ReadReady or Rejected
};
struct Persisted {  // everything up to the Persist of this number is durable
  std::uint64_t number = 0;
};
struct Compact {  // `data` is the state machine after `index`, which it has applied
  Index index = 0;
  std::string data;
};
using Event = std::variant<Tick, Received, Propose, ChangeConfiguration, TransferLeadership, ReadIndex,
                           Persisted, Compact>;

// Effects, to be executed in order.
struct WakeAt {  // replaces the previous one
  Micros at;
};
struct Persist {  // confirmed by Persisted, in order
  std::uint64_t number;
  std::optional<HardState> hard_state;
  SnapshotPtr snapshot;  // replaces the previous one; entries that it covers may be deleted
  Index from;            // `entries` replace all entries from this index on; 0: no entries are written
  std::vector<EntryPtr> entries;
};
struct Send {
  Message message;
};
struct Apply {  // committed entries, the first at index `first`; each is applied once and in order
  Index first;
  std::vector<EntryPtr> entries;
};
struct Restore {  // replace the state machine by the snapshot, which is newer
  SnapshotPtr snapshot;
};
enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
struct RoleChanged {
  Role role;
  Term term;
  ServerId leader;  // 0: unknown
};
struct Proposed {  // appended at `index`; committed if the entry applied at that index has this term
  std::uint64_t request_id;
  Index index;
  Term term;
};
struct Rejected {  // the request was not appended and never will be
  std::uint64_t request_id;
  ServerId leader;  // the server to try instead; 0: unknown
};
struct ReadReady {  // a read is linearizable once `index` has been applied
  std::uint64_t request_id;
  Index index;
};
using Effect =
    std::variant<WakeAt, Persist, Send, Apply, Restore, RoleChanged, Proposed, Rejected, ReadReady>;

struct Counters {
  std::uint64_t elections = 0, elections_won = 0, stepped_down = 0, proposals = 0, rejected = 0;
  std::uint64_t messages_sent = 0, entries_appended = 0, entries_truncated = 0;
  std::uint64_t snapshots_sent = 0, snapshots_received = 0;
};

class Log {
 public:
  Log(const Settings& settings, ServerId self, PersistentState disk, std::uint64_t seed, Micros now);

  // Processes one event and appends its effects to `effects`. Time never runs backwards: a
  // `now` before that of an earlier event is replaced by the latter.
  void Handle(Micros now, Event event, std::vector<Effect>& effects);

  ServerId self() const { return self_; }
  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  ServerId voted_for() const { return hard_state_.voted_for; }
  ServerId leader() const { return leader_; }
  Index commit_index() const { return commit_index_; }
  Index last_applied() const { return last_applied_; }
  Index last_index() const { return base_index_ + entries_.size(); }
  Index first_index() const { return base_index_ + 1; }  // of the entries that are kept
  Index durable_index() const { return durable_index_; }
  const Configuration& configuration() const { return configuration_; }
  const SnapshotPtr& snapshot() const { return snapshot_; }
  // The term of an entry; nothing if the index is beyond the log or compacted.
  std::optional<Term> TermAt(Index index) const;
  // An entry from first_index() to last_index().
  const Entry& At(Index index) const { return *EntryAt(index); }
  const EntryPtr& EntryAt(Index index) const { return entries_[index - base_index_ - 1]; }
  const Counters& counters() const { return counters_; }
  struct FollowerStatus {  // of a follower or learner, as known to the leader
    ServerId server;
    Index match_index;    // durable on the follower
    Micros last_contact;  // time of its last reply
  };
  // Empty unless this server is the leader.
  std::vector<FollowerStatus> Followers() const;
  // Hash of all state that determines future behaviour, except times and the random generator. State space
  // exploration uses it to recognise states it has already visited.
  std::uint64_t Digest() const;

 private:
  enum class ProgressState : std::uint8_t { kProbe, kReplicate, kSnapshot };
  struct Progress {
    Index match_index = 0, next_index = 1;
    ProgressState state = ProgressState::kProbe;
    bool awaiting_reply = false;                         // kProbe, kSnapshot: one message is in flight
    std::deque<std::pair<Index, std::size_t>> inflight;  // kReplicate: last entry and bytes of each message
    std::size_t inflight_bytes = 0;
    Micros last_contact = 0;
    std::uint64_t read_round = 0;  // the last round it acknowledged
    // kSnapshot: the chunk at `offset` was last sent at `chunk_sent_at`, and is sent again after
    // `resend_delay` if it has not been confirmed by then.
    SnapshotPtr snapshot;
    std::uint64_t offset = 0;
    Micros chunk_sent_at = 0, resend_delay = 0;
  };
  struct DelayedMessage {
    std::uint64_t number;  // of the Persist it waits for
    Message message;
  };
  struct PendingRead {
    std::uint64_t request_id, read_round;
    Index index;
  };

  void On(Tick&);
  void On(Received& e);
  void On(Propose& e);
  void On(ChangeConfiguration& e);
  void On(TransferLeadership& e);
  void On(ReadIndex& e);
  void On(Persisted& e);
  void On(Compact& e);

  // election.cpp
  void Become(Role role, Term term, ServerId leader);
  void BecomeFollower(Term term, ServerId leader);
  void StartElection(bool real_vote, bool leadership_transfer);
  void BecomeLeader();
  void CountVotes();
  void OnVoteRequest(const Message& m);
  void OnVoteReply(const Message& m);
  void CheckQuorum();
  void ResetElectionTimer();
  void SendSnapshotMessage(ServerId to, const Progress& p, std::string chunk);
  bool HasActiveLeader() const;
  bool IsUpToDate(const Message& m) const;
  bool IsVoter(ServerId id) const;
  std::size_t Majority() const { return configuration_.voters.size() / 2 + 1; }

  // replication.cpp
  void OnAppendEntries(const Message& m);
  void OnAppendEntriesReply(const Message& m);
  void OnInstallSnapshot(const Message& m);
  void OnInstallSnapshotReply(const Message& m);
  void Replicate(ServerId to, Progress& p, bool heartbeat);
  void SendSnapshotChunk(ServerId to, Progress& p);
  void ReplicateToAll(bool heartbeat);
  void Append(EntryPtr entry);
  void TruncateFrom(Index index);
  void SetConfiguration(const Configuration& configuration);
  void LoadConfigurationFromLog();
  void AdvanceCommitIndex();
  void CommitTo(Index index);
  void CompleteReads();
  void AdvanceTransfer();
  void SendAppendReply(bool accepted, Index index, Index match_hint);

  void RequestPersist(bool hard_state, Index from, SnapshotPtr snapshot = nullptr);
  void SendMessage(Message message);
  Message MakeMessage(MessageKind kind, ServerId to) const;
  bool ChangeAllowed(const ChangeConfiguration& e, Configuration& next) const;

  Settings settings_;
  ServerId self_;
  pcg32 random_;
  Micros now_;
  std::vector<Effect>* effects_ = nullptr;  // set while an event is handled

  // Durable, or being written.
  HardState hard_state_;
  SnapshotPtr snapshot_;
  Index base_index_ = 0;  // the entry before the first one kept
  Term base_term_ = 0;
  std::deque<EntryPtr> entries_;
  std::uint64_t persists_requested_ = 0, persists_done_ = 0;    // numbers of the last Persist and Persisted
  std::uint64_t hard_state_persist_ = 0;                        // the Persist that contains `hard_state_`
  std::deque<std::pair<std::uint64_t, Index>> pending_writes_;  // Persist number, last entry it makes durable
  Index durable_index_ = 0;
  std::deque<DelayedMessage> delayed_messages_;

  Configuration configuration_;
  Index configuration_index_ = 0;  // the entry that contains it
  Index commit_index_ = 0, last_applied_ = 0;
  Role role_ = Role::kFollower;
  ServerId leader_ = 0;
  int elections_without_result_ = 0;  // of this server in a row, since it last knew a leader
  Micros election_deadline_ = 0, last_leader_contact_ = -1;  // -1: none from the current leader
  Index verified_index_ = 0;      // follower: the log matches the leader's up to here
  std::uint64_t read_round_ = 0;  // leader: its last round; follower: the last one received
  std::set<ServerId> votes_;
  // Leader only.
  std::map<ServerId, Progress> progress_;
  Micros next_heartbeat_ = 0, next_quorum_check_ = 0;
  Index term_start_index_ = 0;  // the first entry of its own term; 0: not the leader
  std::size_t uncommitted_bytes_ = 0;
  std::vector<PendingRead> pending_reads_;
  ServerId transfer_target_ = 0;
  Micros transfer_deadline_ = 0;
  bool timeout_now_sent_ = false;
  // A snapshot received in chunks, and one that is restored when it is durable.
  Snapshot incoming_snapshot_;
  std::uint64_t incoming_size_ = 0;
  SnapshotPtr snapshot_to_restore_;
  std::uint64_t restore_persist_ = 0;
  Counters counters_;
};

}  // namespace heronway::cluster::log

#endif  // HERONWAY_CLUSTER_LOG_LOG_H_
