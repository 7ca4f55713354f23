#include "src/cluster/log/codec.h"

#include <algorithm>

#include "src/pack/array_reader.h"

namespace heronway::cluster::log {
namespace {

using pack::Packer;

void PackBytes(Packer& out, const std::string& bytes) {
  out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}
void Pack(Packer& out, const Configuration& configuration) {
  out.pack_array(2);
  out.pack(configuration.voters).pack(configuration.learners);
}
void Pack(Packer& out, const Entry& e) {
  out.pack_array(5);
  out.pack(kFormatVersion).pack(e.term).pack(static_cast<int>(e.kind));
  PackBytes(out, e.data);
  Pack(out, e.configuration);
}

class Reader : public pack::ArrayReader {
 public:
  Reader(const msgpack::object& o, std::uint32_t least) : pack::ArrayReader(o, least) {
    Require(Number<int>(1, 1 << 20) == kFormatVersion);
  }
  std::uint64_t Unsigned() { return Number<std::uint64_t>(0, ~std::uint64_t{0}); }
  bool Flag() { return Next().as<bool>(); }
  std::string Bytes() {
    const msgpack::object& o = Next();
    Require(o.type == msgpack::type::BIN && o.via.bin.size <= kMaxDataBytes);
    return {o.via.bin.ptr, o.via.bin.size};
  }
  log::Configuration NextConfiguration() {
    pack::ArrayReader in(Next(), 2);
    log::Configuration configuration;
    for (auto* ids : {&configuration.voters, &configuration.learners}) {
      const msgpack::object& o = in.Next();
      Require(o.type == msgpack::type::ARRAY && o.via.array.size <= kMaxServers);
      *ids = o.as<std::vector<ServerId>>();
      // Binary searches rely on the order, and a duplicate would count twice towards a majority.
      Require(std::adjacent_find(ids->begin(), ids->end(), std::greater_equal<>()) == ids->end());
    }
    return configuration;
  }
  Entry NextEntry() { return ToEntry(Next()); }
  static Entry ToEntry(const msgpack::object& o) {
    Reader in(o, 5);
    Entry e;
    e.term = in.Unsigned();
    e.kind = in.Enum(EntryKind::kConfiguration);
    e.data = in.Bytes();
    e.configuration = in.NextConfiguration();
    return e;
  }
};

template <typename T, typename Read>
std::optional<T> Decode(std::string_view bytes, Read read) {
  try {
    // Rejects sizes that no valid message has before memory is allocated for them.
    const msgpack::unpack_limit limit(kMaxMessageEntries, 0, 64, kMaxDataBytes, 0, 6);
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return read(whole.get());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string ToString(const msgpack::sbuffer& bytes) { return {bytes.data(), bytes.size()}; }

}  // namespace

std::string Encode(const Message& m) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  out.pack_array(17);
  out.pack(kFormatVersion).pack(static_cast<int>(m.kind)).pack(m.from).pack(m.to).pack(m.term).pack(m.index);
  out.pack(m.log_term)
      .pack(m.leader_commit)
      .pack(m.match_hint)
      .pack(m.read_round)
      .pack(m.accepted)
      .pack(m.leadership_transfer);
  out.pack_array(static_cast<std::uint32_t>(m.entries.size()));
  for (const EntryPtr& e : m.entries) Pack(out, *e);
  Pack(out, m.configuration);
  out.pack(m.offset).pack(m.total_size);
  PackBytes(out, m.chunk);
  return ToString(bytes);
}

std::string Encode(const Entry& entry) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  Pack(out, entry);
  return ToString(bytes);
}

std::string Encode(const Snapshot& s) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  out.pack_array(5);
  out.pack(kFormatVersion).pack(s.index).pack(s.term);
  Pack(out, s.configuration);
  PackBytes(out, s.data);
  return ToString(bytes);
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  return Decode<Message>(bytes, [](const msgpack::object& o) {
    Reader in(o, 17);
    Message m;
    m.kind = in.Enum(MessageKind::kTimeoutNow);
    m.from = in.Unsigned();
    m.to = in.Unsigned();
    m.term = in.Unsigned();
    m.index = in.Unsigned();
    m.log_term = in.Unsigned();
    m.leader_commit = in.Unsigned();
    m.match_hint = in.Unsigned();
    m.read_round = in.Unsigned();
    m.accepted = in.Flag();
    m.leadership_transfer = in.Flag();
    const msgpack::object& entries = in.Next();
    Reader::Require(entries.type == msgpack::type::ARRAY);
    for (std::uint32_t i = 0; i < entries.via.array.size; ++i) {
      m.entries.push_back(std::make_shared<Entry>(Reader::ToEntry(entries.via.array.ptr[i])));
      // Terms never decrease along a log.
      Reader::Require(i == 0 || m.entries[i]->term >= m.entries[i - 1]->term);
    }
    m.configuration = in.NextConfiguration();
    m.offset = in.Unsigned();
    m.total_size = in.Unsigned();
    m.chunk = in.Bytes();
    Reader::Require(m.offset <= m.total_size && m.chunk.size() <= m.total_size - m.offset);
    Reader::Require(m.from != 0 && m.to != 0 && m.term <= kMaxTerm && m.index <= kMaxIndex);
    Reader::Require(m.match_hint <= kMaxIndex && m.leader_commit <= kMaxIndex);
    return m;
  });
}

std::optional<Entry> DecodeEntry(std::string_view bytes) {
  return Decode<Entry>(bytes, [](const msgpack::object& o) { return Reader::ToEntry(o); });
}

std::optional<Snapshot> DecodeSnapshot(std::string_view bytes) {
  return Decode<Snapshot>(bytes, [](const msgpack::object& o) {
    Reader in(o, 5);
    Snapshot s;
    s.index = in.Number<Index>(0, kMaxIndex);
    s.term = in.Number<Term>(0, kMaxTerm);
    s.configuration = in.NextConfiguration();
    s.data = in.Bytes();
    return s;
  });
}

}  // namespace heronway::cluster::log
