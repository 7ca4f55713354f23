#include "src/cluster/copies/report_forwarder.h"

#include <utility>

#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr std::size_t kMaxIdBytes = 4096;  // bytes

}  // namespace

std::string EncodeReport(const core::HopCallback& news) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  out.pack_array(4);
  out.pack(news.id).pack(news.from).pack(static_cast<int>(news.state)).pack(news.result);
  return {bytes.data(), bytes.size()};
}

std::optional<core::HopCallback> DecodeReport(std::string_view bytes) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(whole.get(), 4);
    core::HopCallback news;
    news.id = in.Next().as<std::string>();
    news.from = in.Number<core::TargetId>(0, ~core::TargetId{0});
    news.state = in.Enum(core::CallbackState::kLost);
    news.result = in.Next().as<std::string>();
    pack::ArrayReader::Require(!news.id.empty() && news.id.size() <= kMaxIdBytes &&
                               news.result.size() <= ReportForwarder::kMaxResultBytes);
    return news;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint64_t ReportForwarder::Start(const std::vector<std::string>& others, Done told) {
  if (others.empty() || queries_.full()) {
    told(others.empty() ? ForwardOutcome::kUnknownJob : ForwardOutcome::kRetry);
    return 0;
  }
  return queries_.Start(
      others, kPatience, [told = std::move(told)](MemberQueries<ForwardOutcome>::Outcome result) {
        bool not_now = !result.unanswered.empty();  // whoever has not answered in time may have it
        for (const auto& [member, outcome] : result.replies) {
          if (outcome == ForwardOutcome::kStored) return told(outcome);
          not_now |= outcome == ForwardOutcome::kRetry;
        }
        told(not_now ? ForwardOutcome::kRetry : ForwardOutcome::kUnknownJob);
      });
}

}  // namespace heronway::cluster::copies
