// Why a connection ended: one code for each log line.
#ifndef HERONWAY_NET_REASON_H_
#define HERONWAY_NET_REASON_H_

#include <cstdint>

namespace heronway::net {

enum class Reason : std::uint8_t {
  kPeerClosed,     // the peer ended the connection
  kPeerReset,      // it broke
  kConnectFailed,  // it never came up: refused, unreachable or too slow
  kIdle,           // unused for too long
  kEvicted,        // idle, and its descriptor was needed
  kSlowRequest,    // the peer took too long over a request
  kSlowReader,     // the peer took too long to read what it was sent
  kBadMessage,     // what came could not be read
  kTooLarge,       // over a limit on size
  kAnswered,       // closed after the last answer, as announced
  kCancelled,      // a hop was called off before it was taken
  kNoAnswer,       // the peer took too long to answer
  kNoMemory,       // the pool of buffers was empty
  kProtocol,       // the peer broke the protocol's order
  kReplaced,       // the target moved to another address
  kShutdown,       // the program ends
};

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
