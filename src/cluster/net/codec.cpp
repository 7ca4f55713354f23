#include "src/cluster/net/codec.h"

#include "src/pack/members.h"

namespace heronway::cluster {
namespace {

using pack::Packer;

// The first three members of every version: mark, version, fleet.
constexpr const char* kMark = "hwc";

void Pack(Packer& out, const MemberId& id) { out.pack_array(2).pack(id.name).pack(id.life); }
void Pack(Packer& out, Place at) { out.pack_array(2).pack(at.ip).pack(at.port); }
void Pack(Packer& out, const Record& r) {
  out.pack_array(7);
  Pack(out, r.id);
  out.pack(r.incarnation).pack(static_cast<int>(r.state));
  Pack(out, r.at);
  out.pack(r.zone).pack(r.fronts).pack(r.version);
}
void Pack(Packer& out, const Fact& f) {
  const bool load = f.kind == FactKind::kLoad;
  out.pack_array(load ? 7 : 5);
  out.pack(f.target).pack(static_cast<int>(f.kind)).pack(f.since).pack(f.witness).pack(f.age);
  if (load) out.pack(f.waiting).pack(f.free);
}
void Pack(Packer& out, const Update& u) {
  out.pack_array(3);
  Pack(out, u.record);
  out.pack(u.accuser).pack(u.age);
}

class Members : public pack::Members {
 public:
  using pack::Members::Members;
  std::string Text(std::size_t most) {
    std::string text = Next().as<std::string>();
    // Guards the log, the console and the operators' terminals: such texts are printed.
    for (const char c : text) Need(c > ' ' && c < 127 && c != '"' && c != '\\');
    Need(text.size() <= most);
    return text;
  }
  MemberId Id(bool may_be_empty) {
    Members in(Next(), 2);
    MemberId id;
    id.name = in.Text(kMostName);
    id.life = in.Number<Life>(0, kMostLife);
    Need(may_be_empty || !id.name.empty());
    return id;
  }
  Place At() {
    Members in(Next(), 2);
    Place at;
    at.ip = in.Number<std::uint32_t>(0, ~std::uint32_t{0});
    at.port = in.Number<std::uint16_t>(0, 65535);
    return at;
  }
  Record Whole() {
    Members in(Next(), 7);
    Record r;
    r.id = in.Id(false);
    r.incarnation = in.Number<std::uint32_t>(0, kMostIncarnation);
    r.state = in.Enum(State::kLeft);
    r.at = in.At();
    Need(r.at.ip != 0 && r.at.port != 0);
    r.zone = in.Text(kMostZone);
    r.fronts = in.Text(kMostFronts);
    r.version = in.Number<int>(1, 1 << 20);
    return r;
  }
  std::vector<Update> Updates() {
    const msgpack::object& o = Next();
    Need(o.type == msgpack::type::ARRAY && o.via.array.size <= kMostMembers);
    std::vector<Update> all;
    all.reserve(o.via.array.size);
    for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
      Members in(o.via.array.ptr[i], 3);
      Update u;
      u.record = in.Whole();
      u.accuser = in.Text(kMostName);
      u.age = in.Number<Micros>(0, 1LL << 56);
      all.push_back(std::move(u));
    }
    return all;
  }

  std::vector<Fact> Facts() {
    const msgpack::object& o = Next();
    Need(o.type == msgpack::type::ARRAY && o.via.array.size <= kMostFacts);
    std::vector<Fact> all;
    for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
      Members in(o.via.array.ptr[i], 5);
      Fact f;
      f.target = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
      f.kind = in.Enum(FactKind::kLoad);
      f.since = in.Number<Micros>(0, static_cast<Micros>(kMostLife));
      f.witness = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
      f.age = in.Number<Micros>(0, 1LL << 40);
      if (f.kind == FactKind::kLoad) {
        f.waiting = in.Number<std::uint16_t>(0, kUnsaid);
        f.free = in.Number<std::uint16_t>(0, kUnsaid);
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
  out.pack(kMark).pack(kProtocol).pack(fleet);
  out.pack(static_cast<int>(m.kind)).pack(m.number);
  Pack(out, m.from);
  out.pack(m.digest);
  Pack(out, m.target);
  Pack(out, m.target_at);
  out.pack_array(static_cast<std::uint32_t>(m.updates.size()));
  for (const Update& u : m.updates) Pack(out, u);
  out.pack_array(static_cast<std::uint32_t>(m.facts.size()));
  for (const Fact& f : m.facts) Pack(out, f);
  return {bytes.data(), bytes.size()};
}

std::variant<Message, Drop> Decode(std::string_view fleet, std::string_view bytes, std::size_t most) {
  if (bytes.size() > most) return Drop::kOversized;
  try {
    // Guards memory: what such a message cannot have is refused before room is made for it.
    const msgpack::unpack_limit limit(kMostMembers, 0, kMostFronts, 0, 0, 8);
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    if (whole->type != msgpack::type::ARRAY || whole->via.array.size < 3) return Drop::kForeign;
    const msgpack::object* head = whole->via.array.ptr;
    if (head[0].type != msgpack::type::STR || head[0].as<std::string_view>() != kMark) return Drop::kForeign;
    if (head[2].as<std::string_view>() != fleet) return Drop::kForeign;
    if (head[1].as<int>() != kProtocol)
      return head[1].as<int>() > kProtocol ? Drop::kNewer : Drop::kMalformed;
    Members in(whole.get(), 11);
    in.Text(8);
    in.Number<int>(kProtocol, kProtocol);
    in.Text(kMostFleet);
    Message m;
    m.kind = in.Enum(MessageKind::kState);
    m.number = in.Number<std::uint32_t>(0, ~std::uint32_t{0});
    m.from = in.Whole();
    m.digest = in.Number<std::uint64_t>(0, ~std::uint64_t{0});
    m.target = in.Id(true);
    m.target_at = in.At();
    m.updates = in.Updates();
    m.facts = in.Facts();
    return m;
  } catch (const std::exception&) {
    return Drop::kMalformed;
  }
}

}  // namespace heronway::cluster
