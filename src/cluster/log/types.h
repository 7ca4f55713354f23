// What a replicated log is made of: entries, who keeps copies, what is on disk, messages. No wire, no clock.
#ifndef HERONWAY_CLUSTER_LOG_TYPES_H_
#define HERONWAY_CLUSTER_LOG_TYPES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace heronway::cluster::log {

using Micros = std::int64_t;  // times and durations, in microseconds
using Index = std::uint64_t;  // of an entry; the first is 1
using Term = std::uint64_t;   // of a leadership; the first is 1
using ServerId =
    std::uint64_t;  // of a copy: a member's name and its disk's. A new disk is another server. 0: none

// Bounds on what is believed of others: far beyond any life of a group, and far from where numbers wrap.
inline constexpr Term kMostTerm = Term{1} << 56;
inline constexpr Index kMostIndex = Index{1} << 56;

// Who keeps copies. Voters count for majorities; learners are sent everything and count for nothing.
struct Members {
  std::vector<ServerId> voters, learners;  // each in rising order
  auto operator<=>(const Members&) const = default;
};

enum class EntryKind : std::uint8_t {
  kData,     // a record batch of the state machine
  kNothing,  // a leader's first, by which what came before is committed
  kMembers,  // in force as soon as it is in the log
};
struct Entry {
  Term term = 0;
  EntryKind kind = EntryKind::kData;
  std::string data;
  Members members;  // kMembers
};
using EntryPtr = std::shared_ptr<const Entry>;  // shared by the log, messages, the disk and the state machine

// What has to be on disk before a message that rests on it leaves.
struct Vote {
  Term term = 0;
  ServerId of = 0;  // whom this server voted for in that term
  auto operator<=>(const Vote&) const = default;
};
struct Snapshot {  // the state machine after `index`; `index` 0: a group's beginning
  Index index = 0;
  Term term = 0;
  Members members;
  std::string data;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

enum class MessageKind : std::uint8_t {
  kPreVote,        // would you vote for me? raises nobody's term
  kPreVoteReply,   //
  kVote,           //
  kVoteReply,      //
  kAppend,         // entries behind `index`; without any it is a heartbeat
  kAppendReply,    //
  kSnapshot,       // a piece of one
  kSnapshotReply,  // how much of it is here
  kTimeoutNow,     // stand for election at once: leadership is handed to you
};
inline constexpr int kMessageKinds = 9;

struct Message {
  MessageKind kind = MessageKind::kAppend;
  ServerId from = 0, to = 0;
  Term term = 0;
  // The last entry of a candidate; the entry before `entries`; in replies what is on disk here, or the one
  // that did not match; the snapshot's.
  Index index = 0;
  Term log_term = 0;        // of that entry
  Index commit = 0;         // kAppend
  Index hint = 0;           // kAppendReply that says no: the leader should go on from here
  std::uint64_t round = 0;  // kAppend, and its reply: a number that only grows, for reads
  bool yes = false;         // of replies
  bool handed = false;      // kVote: the leader itself asked for it
  std::vector<EntryPtr> entries;
  // kSnapshot: `bytes` from `offset` of `size`; the reply's `offset` is what it wants next.
  Members members;
  std::uint64_t offset = 0, size = 0;
  std::string bytes;
};

std::uint64_t DigestOf(const Entry& entry);
std::uint64_t DigestOf(const Message& message);

}  // namespace heronway::cluster::log

#endif  // HERONWAY_CLUSTER_LOG_TYPES_H_
