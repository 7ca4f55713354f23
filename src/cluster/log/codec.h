// MessagePack encoding of the replicated log's messages and stored records: arrays with a fixed order of
// fields that start with the format version. Later versions append fields at the end.
#ifndef HERONWAY_CLUSTER_LOG_CODEC_H_
#define HERONWAY_CLUSTER_LOG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/cluster/log/types.h"

namespace heronway::cluster::log {

inline constexpr int kFormatVersion = 1;
inline constexpr std::size_t kMaxServers = 32;                  // limit for voters and for learners
inline constexpr std::size_t kMaxMessageEntries = 8'192;        // in one message
inline constexpr std::size_t kMaxDataBytes = 32 * 1024 * 1024;  // of an entry or a snapshot chunk

std::string Encode(const Message& message);
std::string Encode(const Entry& entry);
std::string Encode(const Snapshot& snapshot);
// Decoders return nothing for malformed input: truncated, of a later format version, or with values out of
// range.
std::optional<Message> DecodeMessage(std::string_view bytes);
std::optional<Entry> DecodeEntry(std::string_view bytes);
std::optional<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace heronway::cluster::log

#endif  // HERONWAY_CLUSTER_LOG_CODEC_H_
