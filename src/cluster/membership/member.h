// Data types of the membership protocol: identities, member records, facts about targets, and messages.
// Encoding is in net/codec.h.
#ifndef HERONWAY_CLUSTER_MEMBERSHIP_MEMBER_H_
#define HERONWAY_CLUSTER_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heronway::cluster {

using Micros = std::int64_t;  // times and durations, in microseconds
// Identifies one run of a process among all that use the same member name; it increases with each start. It
// is the Unix time in microseconds at the start, or, if the clock was set back, one more than the highest
// value that the fleet remembers for the name.
using BootId = std::uint64_t;

// Limits on values received from other members. A record that exceeds them is malformed.
inline constexpr BootId kMaxBootId = BootId{1} << 60;
inline constexpr std::uint32_t kMaxIncarnation = 1U << 30;
inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32, kMaxFrontsBytes = 120;
inline constexpr std::size_t kMaxFleetNameBytes = 64;
inline constexpr std::size_t kMaxMembers = 4096;  // known at once, including dead members and those that left
inline constexpr int kProtocolVersion = 1;        // messages with a higher version are not decoded

// An IPv4 address and port, in host byte order.
struct Endpoint {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

struct MemberId {
  std::string name;
  BootId boot_id = 0;
  auto operator<=>(const MemberId&) const = default;
};

// Ordered by precedence: at the same incarnation, the higher state overrides the lower one.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
// The name of the state in logs, metrics and console answers.
constexpr const char* Name(MemberState state) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<int>(state)];
}

struct MemberRecord {
  MemberId id;
  std::uint32_t incarnation = 0;  // incremented only by the member itself, to refute a suspicion or a verdict
  MemberState state = MemberState::kAlive;
  Endpoint endpoint;   // the advertised address
  std::string zone;    // informational label
  std::string fronts;  // informational label: NAME=ADDRESS pairs separated by commas
  int protocol_version = kProtocolVersion;
};

// A member record as it is gossiped or exchanged.
struct Update {
  MemberRecord record;
  std::string suspected_by;  // with kSuspect: the name of the member that raised the suspicion
  Micros age = 0;            // in exchanges, with kDead and kLeft: time since the state was entered
};

// What a scheduler has observed about a target.
enum class FactKind : std::uint8_t {
  kStarted,  // its process restarted, so its caches are cold
  kFailing,  // it refuses connections, breaks them, or does not answer a probe
  kLoad,     // its load report; sent only to members that have just started
};
inline constexpr int kFactKinds = 3;
inline constexpr std::size_t kMaxFacts = 1024;  // in one exchange message; a datagram has room for fewer
inline constexpr std::uint16_t kNotReported = 0xffff;  // value of a load figure that the report lacks
struct Fact {
  std::uint64_t target = 0;  // hash of the target's name
  FactKind kind = FactKind::kFailing;
  Micros since = 0;            // kStarted: start of the process as Unix time, from the discovery list
  std::uint64_t observer = 0;  // hash of the name of the scheduler that made the observation
  Micros age = 0;              // time since the observation
  // kLoad: waiting jobs and free slots, in tenths.
  std::uint16_t waiting = kNotReported, free = kNotReported;
};

enum class MessageKind : std::uint8_t {
  kPing,       // answered by an ack with the same number
  kPingReq,    // asks the receiver to ping `target` and to relay the ack
  kAck,        // answers a ping
  kNack,       // answers a ping-req while no ack has arrived: the relaying member is alive and reachable
  kGossip,     // carries updates only
  kDigest,     // exchange, step 1: the digest of the initiator's view
  kFullState,  // exchange, steps 2 and 3: the sender's full view, or no updates if the digests are equal
};
inline constexpr int kMessageKinds = 7;

struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::uint32_t number = 0;  // sequence number of the ping that the message belongs to
  MemberRecord from;         // the sender's record of itself
  std::uint64_t digest = 0;  // of the sender's view
  MemberId target;           // ping and ping-req: the intended receiver; with an empty name: any receiver
  Endpoint target_endpoint;  // ping-req: where to reach `target`
  std::vector<Update> updates;
  std::vector<Fact> facts;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_MEMBER_H_
