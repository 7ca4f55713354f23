// Members' messages as MessagePack, version 1. What is not one, or not for this fleet, is told by reason.
#ifndef HERONWAY_CLUSTER_NET_CODEC_H_
#define HERONWAY_CLUSTER_NET_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "src/cluster/membership/member.h"

namespace heronway::cluster {

enum class DropReason : std::uint8_t {
  kMalformed,  // not MessagePack, cut, of other types, or with values out of their bounds
  kOversized,  // more bytes than such a message may have
  kForeign,    // of another fleet, or no message of such a fleet at all
  kNewer,      // of a later version of the protocol
};
inline constexpr int kDropReasons = 4;
constexpr const char* Name(DropReason drop) {
  constexpr const char* kNames[] = {"malformed", "oversized", "foreign", "newer"};
  return kNames[static_cast<int>(drop)];
}

inline constexpr std::size_t kMaxExchangeBytes = 1024 * 1024;  // bytes of a whole view

std::string Encode(std::string_view fleet, const Message& message);
// `most`: bytes that it may have.
std::variant<Message, DropReason> Decode(std::string_view fleet, std::string_view bytes, std::size_t most);

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NET_CODEC_H_
