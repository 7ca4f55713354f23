#include "src/cluster/copies/frames.h"

#include <arpa/inet.h>

#include <cstring>

#include "src/cluster/log/codec.h"
#include "src/cluster/membership/member.h"
#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr const char* kMagic = "hwl";

// Rejects control characters and quotes: these texts are printed to the log and the console.
std::string PrintableText(pack::ArrayReader& in, std::size_t max_bytes) {
  std::string text = in.Next().as<std::string>();
  for (const char c : text) pack::ArrayReader::Require(c > ' ' && c < 127 && c != '"' && c != '\\');
  pack::ArrayReader::Require(text.size() <= max_bytes);
  return text;
}

}  // namespace

std::string Encode(const Frame& f) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(11);
  out.pack(kMagic).pack(kProtocolVersion).pack(static_cast<int>(f.kind));
  out.pack(f.fleet).pack(f.from).pack(f.to).pack(f.detail).pack(f.group);
  out.pack_bin(static_cast<std::uint32_t>(f.message.size()));
  out.pack_bin_body(f.message.data(), static_cast<std::uint32_t>(f.message.size()));
  out.pack(f.server);
  out.pack_array(static_cast<std::uint32_t>(f.servers.size()));
  for (const auto& [id, server] : f.servers) {
    out.pack_array(3);
    out.pack(id).pack(server.first).pack(server.second);
  }
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
  std::string frame(reinterpret_cast<const char*>(&size), kHeaderBytes);
  frame.append(bytes.data(), bytes.size());
  return frame;
}

std::optional<Frame> Decode(std::string_view bytes) {
  try {
    const msgpack::unpack_limit limit(64, 0, 256, kMaxFrameBytes, 0, 4);
    const msgpack::object_handle root = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    pack::ArrayReader in(root.get(), 11);
    if (in.Next().as<std::string_view>() != kMagic || in.Next().as<int>() != kProtocolVersion)
      return std::nullopt;
    Frame f;
    f.kind = in.Enum(Frame::Kind::kReply);
    f.fleet = PrintableText(in, kMaxFleetNameBytes);
    f.from = PrintableText(in, kMaxNameBytes);
    f.to = PrintableText(in, kMaxNameBytes);
    f.detail = PrintableText(in, 32);
    f.group = PrintableText(in, kMaxGroupNameBytes);
    const msgpack::object& message = in.Next();
    pack::ArrayReader::Require(message.type == msgpack::type::BIN);
    f.message.assign(message.via.bin.ptr, message.via.bin.size);
    f.server = in.Number<log::ServerId>(0, ~log::ServerId{0});
    const msgpack::object& servers = in.Next();
    pack::ArrayReader::Require(servers.type == msgpack::type::ARRAY &&
                               servers.via.array.size <= 2 * log::kMaxServers);
    for (std::uint32_t i = 0; i < servers.via.array.size; ++i) {
      pack::ArrayReader one(servers.via.array.ptr[i], 3);
      const auto id = one.Number<log::ServerId>(1, ~log::ServerId{0});
      const std::string name = PrintableText(one, kMaxNameBytes);
      f.servers[id] = {name, PrintableText(one, 32)};
    }
    return f;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace heronway::cluster::copies
