// Encodes records and jobs in MessagePack: arrays of a fixed order, each preceded by the format version. New
// versions add fields at the end only; a program rejects versions that it does not know.
#ifndef HERONWAY_DURABLE_CODEC_H_
#define HERONWAY_DURABLE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/durable/job_table.h"

namespace heronway::durable {

inline constexpr int kFormatVersion = 1;

std::string Encode(const std::vector<Record>& records);
std::string Encode(const Job& job);
// Null if the bytes are truncated, of another version or contain a value out of range.
std::optional<std::vector<Record>> DecodeRecords(std::string_view bytes);
std::optional<Job> DecodeJob(std::string_view bytes);

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_CODEC_H_
