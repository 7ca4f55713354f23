// What members say to each other of copies, on a connection: its length, then MessagePack, version 1.
#ifndef HERONWAY_CLUSTER_COPIES_FRAMES_H_
#define HERONWAY_CLUSTER_COPIES_FRAMES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "src/cluster/log/types.h"

namespace heronway::cluster::copies {

inline constexpr int kVersion = 1;
inline constexpr std::size_t kMaxFrameBytes = 2 * 1024 * 1024;  // bytes
inline constexpr std::size_t kMaxGroupNameBytes = 160;          // of a group's name
inline constexpr std::size_t kHeaderBytes = 4;                  // a frame's length, in network order

// A kind of its own would end connections with members of before it; they pass over such a word.
inline constexpr const char* kLookup = "lookup";

// A group's name: its owner, the owner's front and when it was made, as OWNER/FRONT/LIFE.
struct Frame {
  enum class Kind : std::uint8_t {
    kHello,    // the first of a connection: who speaks, to whom, and where it listens
    kLog,      // a message of a group's log
    kInvite,   // keep a copy of this group
    kAccept,   // the answer: by this server
    kServers,  // which member each server of a group is
    kRequest,  // a worker's word of a job that the sender does not hold: `group` is the front, `server` a number
    kReply,  // the answer to it, by the same number: `at` is taken, nobody or again
    // Where `at` is kLookup, they are a question about a job and its answer (lookup.h), in `message`.
  };
  Kind kind = Kind::kHello;
  std::string fleet, from, to, detail;  // kHello; `at`: as 10.0.0.4:7947
  std::string group;
  std::string message;       // kLog, encoded
  log::ServerId server = 0;  // kHere
  std::map<log::ServerId, std::pair<std::string, std::string>>
      servers;  // kNames: member, and where it listens
};

// With its length in front.
std::string Encode(const Frame& frame);
// Of the bytes behind the length. Nothing where they are no such frame.
std::optional<Frame> Decode(std::string_view bytes);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_FRAMES_H_
