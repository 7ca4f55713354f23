#include "src/cluster/net/codec.h"

#include "src/pack/array_reader.h"

namespace heronway::cluster {
namespace {

using pack::Packer;

// Every version of the format starts with three elements: magic, version, fleet.
constexpr const char* kMagic = "hwc";

void Pack(Packer& out, const MemberId& id) { out.pack_array(2).pack(id.name).pack(id.boot_id); }
void Pack(Packer& out, Endpoint at) { out.pack_array(2).pack(at.ip).pack(at.port); }
void Pack(Packer& out, const MemberRecord& r) {
  out.pack_array(7);
  Pack(out, r.id);
  out.pack(r.incarnation).pack(static_cast<int>(r.state));
  Pack(out, r.endpoint);
  out.pack(r.zone).pack(r.fronts).pack(r.protocol_version);
}
void Pack(Packer& out, const Fact& f) {
  const bool load = f.kind == FactKind::kLoad;
  out.pack_array(load ? 7 : 5);
  out.pack(f.target).pack(static_cast<int>(f.kind)).pack(f.since).pack(f.observer).pack(f.age);
  if (load) out.pack(f.waiting).pack(f.free);
}
void Pack(Packer& out, const Update& u) {
  out.pack_array(3);
  Pack(out, u.record);
  out.pack(u.suspected_by).pack(u.age);
}

class Reader : public pack::ArrayReader {
 public:
  using pack::ArrayReader::ArrayReader;
  std::string ReadText(std::size_t max_bytes) {
    std::string text = Next().as<std::string>();
    // These strings are printed to logs, the console and terminals, so control and quote characters are
    // rejected.
    for (const char c : text) Require(c > ' ' && c < 127 && c != '"' && c != '\\');
    Require(text.size() <= max_bytes);
    return text;
  }
  MemberId ReadId(bool may_be_empty) {
    Reader in(Next(), 2);
    MemberId id;
    id.name = in.ReadText(kMaxNameBytes);
    id.boot_id = in.Number<BootId>(0, kMaxBootId);
    Require(may_be_empty || !id.name.empty());
    return id;
  }
  Endpoint ReadEndpoint() {
    Reader in(Next(), 2);
    Endpoint at;
    at.ip = in.Number<std::uint32_t>(0, ~std::uint32_t{0});
    at.port = in.Number<std::uint16_t>(0, 65535);
    return at;
  }
  MemberRecord ReadRecord() {
    Reader in(Next(), 7);
    MemberRecord r;
    r.id = in.ReadId(false);
    r.incarnation = in.Number<std::uint32_t>(0, kMaxIncarnation);
    r.state = in.Enum(MemberState::kLeft);
    r.endpoint = in.ReadEndpoint();
    Require(r.endpoint.ip != 0 && r.endpoint.port != 0);
    r.zone = in.ReadText(kMaxZoneBytes);
    r.fronts = in.ReadText(kMaxFrontsBytes);
    r.protocol_version = in.Number<int>(1, 1 << 20);
    return r;
  }
  std::vector<Update> ReadUpdates() {
    const msgpack::object& o = Next();
    Require(o.type == msgpack::type::ARRAY && o.via.array.size <= kMaxMembers);
    std::vector<Update> all;
    all.reserve(o.via.array.size);
    for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
      Reader in(o.via.array.ptr[i], 3);
      Update u;
      u.record = in.ReadRecord();
      u.suspected_by = in.ReadText(kMaxNameBytes);
      u.age = in.Number<Micros>(0, 1LL << 56);
      all.push_back(std::move(u));
    }
    return all;
  }

  std::vector<Fact> ReadFacts() {
    const msgpack::object& o = Next();
    Require(o.type == msgpack::type::ARRAY && o.via.array.size <= kMaxFacts);
    std::vector<Fact> all;
    for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
      Reader in(o.via.array.ptr[i], 5);
      Fact f;
      f.target = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
      f.kind = in.Enum(FactKind::kLoad);
      f.since = in.Number<Micros>(0, static_cast<Micros>(kMaxBootId));
      f.observer = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
      f.age = in.Number<Micros>(0, 1LL << 40);
      if (f.kind == FactKind::kLoad) {
        f.waiting = in.Number<std::uint16_t>(0, kNotReported);
        f.free = in.Number<std::uint16_t>(0, kNotReported);
      }
      all.push_back(f);
    }
    return all;
  }
};

}  // namespace

std::string Encode(std::string_view fleet, const Message& m) {
  msgpack::sbuffer bytes;
  Packer out(bytes);
  out.pack_array(11);
  out.pack(kMagic).pack(kProtocolVersion).pack(fleet);
  out.pack(static_cast<int>(m.kind)).pack(m.number);
  Pack(out, m.from);
  out.pack(m.digest);
  Pack(out, m.target);
  Pack(out, m.target_endpoint);
  out.pack_array(static_cast<std::uint32_t>(m.updates.size()));
  for (const Update& u : m.updates) Pack(out, u);
  out.pack_array(static_cast<std::uint32_t>(m.facts.size()));
  for (const Fact& f : m.facts) Pack(out, f);
  return {bytes.data(), bytes.size()};
}

std::variant<Message, DropReason> Decode(std::string_view fleet, std::string_view bytes,
                                         std::size_t max_bytes) {
  if (bytes.size() > max_bytes) return DropReason::kOversized;
  try {
    // Rejects sizes that no valid message has before memory is allocated for them.
    const msgpack::unpack_limit limit(kMaxMembers, 0, kMaxFrontsBytes, 0, 0, 8);
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    if (whole->type != msgpack::type::ARRAY || whole->via.array.size < 3) return DropReason::kForeign;
    const msgpack::object* head = whole->via.array.ptr;
    if (head[0].type != msgpack::type::STR || head[0].as<std::string_view>() != kMagic)
      return DropReason::kForeign;
    if (head[2].as<std::string_view>() != fleet) return DropReason::kForeign;
    if (head[1].as<int>() != kProtocolVersion)
      return head[1].as<int>() > kProtocolVersion ? DropReason::kNewer : DropReason::kMalformed;
    Reader in(whole.get(), 11);
    in.ReadText(8);
    in.Number<int>(kProtocolVersion, kProtocolVersion);
    in.ReadText(kMaxFleetNameBytes);
    Message m;
    m.kind = in.Enum(MessageKind::kFullState);
    m.number = in.Number<std::uint32_t>(0, ~std::uint32_t{0});
    m.from = in.ReadRecord();
    m.digest = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
    m.target = in.ReadId(true);
    m.target_endpoint = in.ReadEndpoint();
    m.updates = in.ReadUpdates();
    m.facts = in.ReadFacts();
    return m;
  } catch (const std::exception&) {
    return DropReason::kMalformed;
  }
}

}  // namespace heronway::cluster
