#include "src/durable/codec.h"

#include "src/pack/array_reader.h"

namespace heronway::durable {
namespace {

using pack::Packer;

void Pack(Packer& out, const LeaseHolder& h) {
  out.pack_array(3);
  out.pack(h.worker).pack(h.zone).pack(h.cell);
}

void Pack(Packer& out, const Record& r) {
  out.pack_array(14);
  out.pack(static_cast<int>(r.kind)).pack(r.id).pack(r.at).pack(r.job_class).pack(r.epoch);
  Pack(out, r.holder);
  out.pack(r.until).pack(static_cast<int>(r.outcome)).pack(r.text).pack(r.alias).pack(r.lane);
  out.pack(r.retries).pack(r.key).pack(r.priority);
}

class FieldReader : public pack::ArrayReader {
 public:
  using pack::ArrayReader::ArrayReader;
  template <typename T>
  FieldReader& Get(T& value) {
    Next().convert(value);
    return *this;
  }
  template <typename T>
  FieldReader& GetEnum(T& value, T last) {
    value = Enum(last);
    return *this;
  }
  FieldReader& Get(LeaseHolder& h) {
    FieldReader(Next(), 3).Get(h.worker).Get(h.zone).Get(h.cell);
    return *this;
  }
};

Record ToRecord(const msgpack::object& o) {
  Record r;
  FieldReader in(o, 14);
  in.GetEnum(r.kind, RecordKind::kClockSteppedBack)
      .Get(r.id)
      .Get(r.at)
      .Get(r.job_class)
      .Get(r.epoch)
      .Get(r.holder);
  in.Get(r.until).GetEnum(r.outcome, Outcome::kFailed).Get(r.text).Get(r.alias).Get(r.lane);
  in.Get(r.retries).Get(r.key).Get(r.priority);
  return r;
}

// Checks the format version and passes the fields after it to `read`.
template <typename T, typename Read>
std::optional<T> Decode(std::string_view bytes, Read read) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    FieldReader in(whole.get(), 2);
    int format_version = 0;
    in.Get(format_version);
    if (format_version != kFormatVersion) return std::nullopt;
    return read(in);
  } catch (const std::exception&) {  // truncated, not MessagePack, or a field of another type
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const std::vector<Record>& records) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  out.pack_array(2);
  out.pack(kFormatVersion);
  out.pack_array(static_cast<std::uint32_t>(records.size()));
  for (const Record& r : records) Pack(out, r);
  return {bytes.data(), bytes.size()};
}

std::string Encode(const Job& j) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  out.pack_array(20);
  out.pack(kFormatVersion).pack(j.job_class).pack(static_cast<int>(j.state)).pack(j.epoch);
  Pack(out, j.holder);
  out.pack(j.until).pack(static_cast<int>(j.outcome)).pack(j.text).pack(j.error).pack(j.alias).pack(j.lane);
  out.pack(j.retries).pack(j.failures).pack(j.priority).pack(j.key).pack(j.accepted_at).pack(j.updated_at);
  out.pack(j.may_have_run_since);
  Pack(out, j.first_holder);
  out.pack(j.may_have_run_before);
  return {bytes.data(), bytes.size()};
}

std::optional<std::vector<Record>> DecodeRecords(std::string_view bytes) {
  return Decode<std::vector<Record>>(bytes, [](FieldReader& in) {
    std::vector<msgpack::object> rows;
    in.Get(rows);
    std::vector<Record> records;
    records.reserve(rows.size());
    for (const auto& row : rows) records.push_back(ToRecord(row));
    return records;
  });
}

std::optional<Job> DecodeJob(std::string_view bytes) {
  return Decode<Job>(bytes, [](FieldReader& in) {
    Job j;
    in.Get(j.job_class).GetEnum(j.state, JobState::kFinished).Get(j.epoch).Get(j.holder).Get(j.until);
    in.GetEnum(j.outcome, Outcome::kFailed).Get(j.text).Get(j.error).Get(j.alias).Get(j.lane);
    in.Get(j.retries).Get(j.failures).Get(j.priority).Get(j.key).Get(j.accepted_at).Get(j.updated_at);
    in.Get(j.may_have_run_since).Get(j.first_holder).Get(j.may_have_run_before);
    return j;
  });
}

}  // namespace heronway::durable
