#include "src/durable/codec.h"

#include "src/pack/array_reader.h"

namespace heronway::durable {
namespace {

using pack::Packer;

void Pack(Packer& out, const Holder& h) {
  out.pack_array(3);
  out.pack(h.worker).pack(h.zone).pack(h.cell);
}

void Pack(Packer& out, const Record& r) {
  out.pack_array(14);
  out.pack(static_cast<int>(r.kind)).pack(r.id).pack(r.at).pack(r.job_class).pack(r.epoch);
  Pack(out, r.holder);
  out.pack(r.until).pack(static_cast<int>(r.answer)).pack(r.text).pack(r.alias).pack(r.lane);
  out.pack(r.retries).pack(r.key).pack(r.priority);
}

class Members : public pack::ArrayReader {
 public:
  using pack::ArrayReader::ArrayReader;
  template <typename T>
  Members& Take(T& value) {
    Next().convert(value);
    return *this;
  }
  template <typename T>
  Members& TakeEnum(T& value, T last) {
    value = Enum(last);
    return *this;
  }
  Members& Take(Holder& h) {
    Members(Next(), 3).Take(h.worker).Take(h.zone).Take(h.cell);
    return *this;
  }
};

Record ToRecord(const msgpack::object& o) {
  Record r;
  Members in(o, 14);
  in.TakeEnum(r.kind, Kind::kClock).Take(r.id).Take(r.at).Take(r.job_class).Take(r.epoch).Take(r.holder);
  in.Take(r.until).TakeEnum(r.answer, Answer::kFailed).Take(r.text).Take(r.alias).Take(r.lane);
  in.Take(r.retries).Take(r.key).Take(r.priority);
  return r;
}

// `read` is given the members behind the form's number.
template <typename T, typename Read>
std::optional<T> Decode(std::string_view bytes, Read read) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    Members in(whole.get(), 2);
    int form = 0;
    in.Take(form);
    if (form != kForm) return std::nullopt;
    return read(in);
  } catch (const std::exception&) {  // cut, not MessagePack, or of other types
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const std::vector<Record>& records) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  out.pack_array(2);
  out.pack(kForm);
  out.pack_array(static_cast<std::uint32_t>(records.size()));
  for (const Record& r : records) Pack(out, r);
  return {bytes.data(), bytes.size()};
}

std::string Encode(const Job& j) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  out.pack_array(20);
  out.pack(kForm).pack(j.job_class).pack(static_cast<int>(j.state)).pack(j.epoch);
  Pack(out, j.holder);
  out.pack(j.until).pack(static_cast<int>(j.answer)).pack(j.text).pack(j.why).pack(j.alias).pack(j.lane);
  out.pack(j.retries).pack(j.failures).pack(j.priority).pack(j.key).pack(j.taken).pack(j.last);
  out.pack(j.may_have_run_since);
  Pack(out, j.first);
  out.pack(j.ran_before);
  return {bytes.data(), bytes.size()};
}

std::optional<std::vector<Record>> DecodeRecords(std::string_view bytes) {
  return Decode<std::vector<Record>>(bytes, [](Members& in) {
    std::vector<msgpack::object> rows;
    in.Take(rows);
    std::vector<Record> records;
    records.reserve(rows.size());
    for (const auto& row : rows) records.push_back(ToRecord(row));
    return records;
  });
}

std::optional<Job> DecodeJob(std::string_view bytes) {
  return Decode<Job>(bytes, [](Members& in) {
    Job j;
    in.Take(j.job_class).TakeEnum(j.state, State::kAnswered).Take(j.epoch).Take(j.holder).Take(j.until);
    in.TakeEnum(j.answer, Answer::kFailed).Take(j.text).Take(j.why).Take(j.alias).Take(j.lane);
    in.Take(j.retries).Take(j.failures).Take(j.priority).Take(j.key).Take(j.taken).Take(j.last);
    in.Take(j.may_have_run_since).Take(j.first).Take(j.ran_before);
    return j;
  });
}

}  // namespace heronway::durable
