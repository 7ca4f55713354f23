#include "src/cluster/copies/doors.h"

#include <utility>

#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr std::size_t kMostId = 4096;  // bytes

}  // namespace

std::string EncodeWord(const core::HopCallback& news) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(4);
  out.pack(news.id).pack(news.from).pack(static_cast<int>(news.state)).pack(news.result);
  return {bytes.data(), bytes.size()};
}

std::optional<core::HopCallback> DecodeWord(std::string_view bytes) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(whole.get(), 4);
    core::HopCallback news;
    news.id = in.Next().as<std::string>();
    news.from = in.Number<core::TargetId>(0, ~core::TargetId{0});
    news.state = in.Enum(core::CallbackState::kLost);
    news.result = in.Next().as<std::string>();
    pack::ArrayReader::Require(!news.id.empty() && news.id.size() <= kMostId &&
                               news.result.size() <= Doors::kMostResult);
    return news;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint64_t Doors::Ask(const std::vector<std::string>& others, Told told) {
  if (others.empty() || questions_.full()) {
    told(others.empty() ? Heard::kNobody : Heard::kNotNow);
    return 0;
  }
  return questions_.Ask(others, kPatience, [told = std::move(told)](Questions<Heard>::Outcome outcome) {
    bool not_now = !outcome.silent.empty();  // whoever has not answered in time may have it
    for (const auto& [member, heard] : outcome.answers) {
      if (heard == Heard::kTaken) return told(heard);
      not_now |= heard == Heard::kNotNow;
    }
    told(not_now ? Heard::kNotNow : Heard::kNobody);
  });
}

}  // namespace heronway::cluster::copies
