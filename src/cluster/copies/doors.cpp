#include "src/cluster/copies/doors.h"

#include <algorithm>
#include <utility>

#include "src/pack/members.h"

namespace heronway::cluster::copies {
namespace {

constexpr std::size_t kMostId = 4096;  // bytes

}  // namespace

std::string EncodeWord(const core::HopNews& news) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(4);
  out.pack(news.id).pack(news.from).pack(static_cast<int>(news.news)).pack(news.result);
  return {bytes.data(), bytes.size()};
}

std::optional<core::HopNews> DecodeWord(std::string_view bytes) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    pack::Members in(whole.get(), 4);
    core::HopNews news;
    news.id = in.Next().as<std::string>();
    news.from = in.Number<core::TargetId>(0, ~core::TargetId{0});
    news.news = in.Enum(core::News::kLost);
    news.result = in.Next().as<std::string>();
    pack::Members::Need(!news.id.empty() && news.id.size() <= kMostId &&
                        news.result.size() <= Doors::kMostResult);
    return news;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Doors::Doors(net::Loop& loop) : loop_(loop), look_(loop, [this] { Look(); }) {}

std::uint64_t Doors::Ask(const std::vector<std::string>& others, Told told) {
  if (others.empty() || asked_.size() >= kMostAsked) {
    told(others.empty() ? Heard::kNobody : Heard::kNotNow);
    return 0;
  }
  Asked& a = asked_[++last_];
  a.told = std::move(told);
  a.waits_for.insert(others.begin(), others.end());
  a.until = loop_.Now() + kPatience;
  if (!look_.running()) look_.Start(kPatience);
  return last_;
}

void Doors::Answered(std::uint64_t number, const std::string& by, Heard heard) {
  const auto it = asked_.find(number);
  if (it == asked_.end() || it->second.waits_for.erase(by) == 0) return;
  if (heard == Heard::kTaken) return End(it, heard);
  it->second.not_now |= heard == Heard::kNotNow;
  if (it->second.waits_for.empty()) End(it, it->second.not_now ? Heard::kNotNow : Heard::kNobody);
}

void Doors::End(std::map<std::uint64_t, Asked>::iterator it, Heard heard) {
  const Told told = std::move(it->second.told);
  asked_.erase(it);
  told(heard);
}

// Whoever has not answered in time may have it.
void Doors::Look() {
  while (!asked_.empty() && asked_.begin()->second.until <= loop_.Now()) End(asked_.begin(), Heard::kNotNow);
  if (!asked_.empty()) look_.Start(std::max<net::Micros>(1, asked_.begin()->second.until - loop_.Now()));
}

}  // namespace heronway::cluster::copies
