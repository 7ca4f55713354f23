// Data types of the replicated log: entries, configurations, persistent state and messages between servers.
#ifndef HERONWAY_CLUSTER_LOG_TYPES_H_
#define HERONWAY_CLUSTER_LOG_TYPES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace heronway::cluster::log {

using Micros = std::int64_t;  // times and durations, in microseconds
using Index = std::uint64_t;  // position of an entry in the log; the first is 1, 0 means none
using Term = std::uint64_t;   // the first election is in term 1
// Identifies a server of a group: a member together with its disk. A member that starts on a new disk is a
// new server, because it has lost the votes and entries it acknowledged. 0 means none.
using ServerId = std::uint64_t;

// Upper bounds for values received from peers: no group reaches them, and sums with them cannot overflow.
inline constexpr Term kMaxTerm = Term{1} << 56;
inline constexpr Index kMaxIndex = Index{1} << 56;

// The servers of a group. Voters count towards majorities; learners receive all entries but have no vote.
struct Configuration {
  std::vector<ServerId> voters, learners;  // each in ascending order without duplicates
  auto operator<=>(const Configuration&) const = default;
};

enum class EntryKind : std::uint8_t {
  kData,           // a command for the state machine
  kNoOp,           // first entry of a leader; committing it commits the entries of earlier terms
  kConfiguration,  // takes effect as soon as it is in the log
};
struct Entry {
  Term term = 0;
  EntryKind kind = EntryKind::kData;
  std::string data;
  Configuration configuration;  // kConfiguration
};
// Entries are immutable and shared by the log, messages, the disk writer and the state machine.
using EntryPtr = std::shared_ptr<const Entry>;

// Raft's currentTerm and votedFor. Has to be durable before a message that depends on it is sent.
struct HardState {
  Term term = 0;
  ServerId voted_for = 0;  // in `term`; 0 if no vote was cast
  auto operator<=>(const HardState&) const = default;
};
struct Snapshot {  // the state machine after it applied `index`; index 0 is the initial state of a group
  Index index = 0;
  Term term = 0;
  Configuration configuration;
  std::string data;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

enum class MessageKind : std::uint8_t {
  kPreVote,               // asks whether a vote would be granted; does not change the receiver's term
  kPreVoteReply,          //
  kRequestVote,           //
  kRequestVoteReply,      //
  kAppendEntries,         // entries after `index`; without entries it is a heartbeat
  kAppendEntriesReply,    //
  kInstallSnapshot,       // one chunk of a snapshot
  kInstallSnapshotReply,  // how much of the snapshot has been received
  kTimeoutNow,            // leadership transfer: the receiver starts an election at once
};
inline constexpr int kMessageKindCount = 9;

struct Message {
  MessageKind kind = MessageKind::kAppendEntries;
  ServerId from = 0, to = 0;
  Term term = 0;
  // Vote requests: the candidate's last entry. AppendEntries: the entry before `entries`; its reply: the last
  // durable entry that matches the leader's log, or the entry that did not match. InstallSnapshot and its
  // reply: the last entry that the snapshot covers.
  Index index = 0;
  Term log_term = 0;                 // term of the entry at `index`
  Index leader_commit = 0;           // kAppendEntries: the leader's commit index
  Index match_hint = 0;              // rejected kAppendEntriesReply: the leader continues after this entry
  std::uint64_t read_round = 0;      // kAppendEntries and its reply: monotonic round that confirms reads
  bool accepted = false;             // replies: the vote was granted, or the entries matched
  bool leadership_transfer = false;  // kRequestVote: the election was started by kTimeoutNow
  std::vector<EntryPtr> entries;
  // kInstallSnapshot: `chunk` starts at byte `offset` of `total_size`. In the reply, `offset` is the next
  // byte that the follower expects.
  Configuration configuration;
  std::uint64_t offset = 0, total_size = 0;
  std::string chunk;
};

// 64-bit hashes of all fields, for comparing values in tests and in state space exploration.
std::uint64_t DigestOf(const Entry& entry);
std::uint64_t DigestOf(const Message& message);

}  // namespace heronway::cluster::log

#endif  // HERONWAY_CLUSTER_LOG_TYPES_H_
