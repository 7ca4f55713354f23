// What members of a fleet say of each other: identities, records and messages. No wire, no clock.
#ifndef HERONWAY_CLUSTER_MEMBERSHIP_MEMBER_H_
#define HERONWAY_CLUSTER_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heronway::cluster {

using Micros = std::int64_t;  // times and durations, in microseconds
// Higher at each start of a process under its name: Unix time in microseconds, and raised above whatever life
// of the name the fleet remembers where the clock stepped back.
using Life = std::uint64_t;

// Bounds on what is believed of others. A record outside them is malformed.
inline constexpr Life kMostLife = Life{1} << 60;
inline constexpr std::uint32_t kMostIncarnation = 1U << 30;
inline constexpr std::size_t kMostName = 64, kMostZone = 32, kMostFronts = 120;
inline constexpr std::size_t kMostFleet = 64;      // of a fleet's name
inline constexpr std::size_t kMostMembers = 4096;  // of a fleet, the dead and the left included
inline constexpr int kProtocol = 1;                // of the messages; a newer one is not read

struct Place {  // an IPv4 address and port, in the host's byte order
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Place&) const = default;
};

struct MemberId {
  std::string name;
  Life life = 0;
  auto operator<=>(const MemberId&) const = default;
};

// In the order in which they go before each other at one incarnation.
enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
constexpr const char* Name(State state) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<int>(state)];
}

struct Record {
  MemberId id;
  std::uint32_t incarnation = 0;  // raised by the member itself alone, to refute
  State state = State::kAlive;
  Place at;            // what it advertises
  std::string zone;    // label
  std::string fronts;  // label: NAME=ADDRESS with commas between
  int version = kProtocol;
};

// A record as it is passed on.
struct Update {
  Record record;
  std::string accuser;  // of a suspicion: the member that found it
  Micros age = 0;       // exchanges only, of the dead and the left: since when
};

// What a scheduler found out of a worker, for the others.
enum class FactKind : std::uint8_t {
  kStarted,  // its process started anew: it is cold
  kFailing,  // it refuses connections, breaks them, or does not answer a probe
  kLoad,     // its report; told to members that have just started, and to nobody else
};
inline constexpr int kFactKinds = 3;
inline constexpr std::size_t kMostFacts = 1024;   // in an exchange; a datagram has room for fewer
inline constexpr std::uint16_t kUnsaid = 0xffff;  // of a figure that a report does not have
struct Fact {
  std::uint64_t target = 0;  // the worker's name, hashed
  FactKind kind = FactKind::kFailing;
  Micros since = 0;                                 // kStarted: Unix time, as the list has it
  std::uint64_t witness = 0;                        // the scheduler that saw it, its name hashed
  Micros age = 0;                                   // since it was seen
  std::uint16_t waiting = kUnsaid, free = kUnsaid;  // kLoad: jobs that wait and free slots, in tenths
};

enum class MessageKind : std::uint8_t {
  kPing,     // answered by an ack with its number
  kPingReq,  // the receiver pings `target` and passes the ack on
  kAck,
  kNack,    // the receiver of a ping-req has no ack so far: it lives, and so does the way to it
  kGossip,  // updates alone
  kDigest,  // exchange, 1: what the caller's view adds up to
  kState,   // exchange, 2 and 3: the whole view, or nothing where the views are equal
};
inline constexpr int kMessageKinds = 7;

struct Message {
  MessageKind kind = MessageKind::kGossip;
  std::uint32_t number = 0;  // of the ping that it belongs to
  Record from;               // the sender, as it sees itself
  std::uint64_t digest = 0;  // of the sender's view
  MemberId target;           // ping and ping-req: whom it is meant for; empty: whoever hears it
  Place target_at;           // ping-req
  std::vector<Update> updates;
  std::vector<Fact> facts;  // of workers
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_MEMBER_H_
