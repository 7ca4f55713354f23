// The frames of a replication connection: a length, then MessagePack, protocol version 1.
#ifndef HERONWAY_CLUSTER_COPIES_FRAMES_H_
#define HERONWAY_CLUSTER_COPIES_FRAMES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "src/cluster/log/types.h"

namespace heronway::cluster::copies {

inline constexpr int kProtocolVersion = 1;
inline constexpr std::size_t kMaxFrameBytes = 2 * 1024 * 1024;
inline constexpr std::size_t kMaxGroupNameBytes = 160;
inline constexpr std::size_t kHeaderBytes = 4;  // the length in front of a frame, in network byte order

// Sent in `detail`: marks a kRequest or kReply that carries a job lookup. A frame kind of its own would make
// members of an older version close the connection, while they ignore an unknown detail.
inline constexpr const char* kLookup = "lookup";
// Sent in `detail` of the reply to a report: it is stored, no group here has the job, or the report has to be
// sent again.
inline constexpr const char* kReportStored = "taken";
inline constexpr const char* kReportUnknownJob = "nobody";
inline constexpr const char* kReportRetry = "again";

// A group's name has its owner, the owner's front and the time of its creation, as OWNER/FRONT/CREATED_AT.
// In a kRequest and its kReply, `group` is the front, `server` the number of the request and `message` the
// encoded content (report_forwarder.h, job_lookup.h). The `detail` of a reply to a report is its outcome,
// such as kReportStored.
struct Frame {
  enum class Kind : std::uint8_t {
    kHello,    // first frame: sender, receiver and the sender's listening address
    kLog,      // a message of a group's log
    kInvite,   // asks the receiver to keep a replica of this group
    kAccept,   // accepts an invitation, with the server's id
    kServers,  // the member and address of each server of a group
    kRequest,  // a worker's report, or a job lookup where `detail` is kLookup
    kReply,    // the answer to a kRequest
  };
  Kind kind = Kind::kHello;
  // `detail` of a kHello: the listening address, such as 10.0.0.4:7947.
  std::string fleet, from, to, detail;
  std::string group;
  std::string message;       // an encoded log::Message in a kLog
  log::ServerId server = 0;  // the server's id in a kAccept
  // In a kServers: the member of each server, and its listening address.
  std::map<log::ServerId, std::pair<std::string, std::string>> servers;
};

// Returns the encoded frame with its length in front.
std::string Encode(const Frame& frame);
// Decodes the bytes after the length. Returns nothing if they are not a valid frame.
std::optional<Frame> Decode(std::string_view bytes);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_FRAMES_H_
