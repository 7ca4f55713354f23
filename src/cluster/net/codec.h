// Encodes and decodes messages between members as MessagePack, version 1. Input that is not a valid message
// for this fleet is rejected with a reason.
#ifndef HERONWAY_CLUSTER_NET_CODEC_H_
#define HERONWAY_CLUSTER_NET_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "src/cluster/membership/member.h"

namespace heronway::cluster {

enum class DropReason : std::uint8_t {
  kMalformed,  // not MessagePack, truncated, of wrong types, or with values out of range
  kOversized,  // longer than the limit for this kind of transport
  kForeign,    // from another fleet, or not a membership message at all
  kNewer,      // a later protocol version
};
inline constexpr int kDropReasons = 4;
// The name of the reason in logs and metrics.
constexpr const char* Name(DropReason reason) {
  constexpr const char* kNames[] = {"malformed", "oversized", "foreign", "newer"};
  return kNames[static_cast<int>(reason)];
}

inline constexpr std::size_t kMaxExchangeBytes = 1024 * 1024;  // of one message in an exchange

std::string Encode(std::string_view fleet, const Message& message);
// `max_bytes`: the limit for the length of `bytes`.
std::variant<Message, DropReason> Decode(std::string_view fleet, std::string_view bytes,
                                         std::size_t max_bytes);

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NET_CODEC_H_
