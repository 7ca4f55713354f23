// Why a connection ended, and the code for it in the log.
#ifndef HERONWAY_NET_REASON_H_
#define HERONWAY_NET_REASON_H_

#include <cstdint>

namespace heronway::net {

// The reason for the end of a connection.
enum class Reason : std::uint8_t {
  kPeerClosed,     // the peer ended the connection
  kPeerReset,      // the connection broke
  kConnectFailed,  // not established: refused, unreachable or too slow
  kIdle,           // unused for too long
  kEvicted,        // idle, and its descriptor was needed for another connection
  kSlowRequest,    // the peer took too long to send a request
  kSlowReader,     // the peer took too long to read its data
  kBadMessage,     // the received bytes could not be parsed
  kTooLarge,       // the received message exceeds a size limit
  kAnswered,       // closed after the last answer, as announced to the peer
  kCancelled,      // a hop was cancelled before the target accepted it
  kNoAnswer,       // the peer took too long to answer
  kNoMemory,       // the buffer pool was exhausted
  kProtocol,       // the peer violated the order of messages in the protocol
  kReplaced,       // another connection or address took its place
  kShutdown,       // the program stops
};

// The value of the log's `end` key.
constexpr const char* Code(Reason reason) {
  switch (reason) {
    case Reason::kPeerClosed:
      return "peer_closed";
    case Reason::kPeerReset:
      return "peer_reset";
    case Reason::kConnectFailed:
      return "connect_failed";
    case Reason::kIdle:
      return "idle";
    case Reason::kEvicted:
      return "make_room";
    case Reason::kSlowRequest:
      return "slow_request";
    case Reason::kSlowReader:
      return "slow_reader";
    case Reason::kBadMessage:
      return "bad_message";
    case Reason::kTooLarge:
      return "too_large";
    case Reason::kAnswered:
      return "answered";
    case Reason::kCancelled:
      return "called_off";
    case Reason::kNoAnswer:
      return "no_answer";
    case Reason::kNoMemory:
      return "no_memory";
    case Reason::kProtocol:
      return "protocol";
    case Reason::kReplaced:
      return "replaced";
    case Reason::kShutdown:
      return "shutdown";
  }
  return "unknown";
}

}  // namespace heronway::net

#endif  // HERONWAY_NET_REASON_H_
