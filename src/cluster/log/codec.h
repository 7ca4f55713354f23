// A log's messages, and what its disk keeps, as MessagePack: arrays of a fixed order, each led by its form's
// number. What a later form adds stands at the end.
#ifndef HERONWAY_CLUSTER_LOG_CODEC_H_
#define HERONWAY_CLUSTER_LOG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/cluster/log/types.h"

namespace heronway::cluster::log {

inline constexpr int kFormatVersion = 1;
inline constexpr std::size_t kMaxServers = 32;                  // of a group, of either kind
inline constexpr std::size_t kMaxMessageEntries = 8'192;        // in a message
inline constexpr std::size_t kMaxDataBytes = 32 * 1024 * 1024;  // bytes of an entry, or of a snapshot's piece

std::string Encode(const Message& message);
std::string Encode(const Entry& entry);
std::string Encode(const Snapshot& snapshot);
// Nothing where the bytes are not what they should be: cut, of a later form, or with values out of bounds.
std::optional<Message> DecodeMessage(std::string_view bytes);
std::optional<Entry> DecodeEntry(std::string_view bytes);
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace heronway::cluster::log

#endif  // HERONWAY_CLUSTER_LOG_CODEC_H_
