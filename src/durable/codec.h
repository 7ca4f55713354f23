// Records and jobs as bytes, in MessagePack: arrays of a fixed order, each led by its form's number. What a
// later form adds stands at the end; an older program refuses a form that it does not know.
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
// Nothing where the bytes are not what they should be: cut, of another form, or out of range.
std::optional<std::vector<Record>> DecodeRecords(std::string_view bytes);
std::optional<Job> DecodeJob(std::string_view bytes);

}  // namespace heronway::durable

#endif  // HERONWAY_DURABLE_CODEC_H_
