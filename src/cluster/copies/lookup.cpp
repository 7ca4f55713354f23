#include "src/cluster/copies/lookup.h"

#include <algorithm>
#include <utility>

#include "src/cluster/copies/frames.h"
#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr std::size_t kMostName = 4096;           // bytes
constexpr std::size_t kMostResult = 1024 * 1024;  // bytes
constexpr std::size_t kMostGroups = 64;

template <typename T>
std::string Packed(const T& pack_members) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  pack_members(out);
  return {bytes.data(), bytes.size()};
}

std::string ShortText(pack::ArrayReader& in, std::size_t most) {
  std::string text = in.Next().as<std::string>();
  pack::ArrayReader::Require(text.size() <= most);
  return text;
}

std::vector<std::string> Groups(pack::ArrayReader& in) {
  auto groups = in.Next().as<std::vector<std::string>>();
  pack::ArrayReader::Require(groups.size() <= kMostGroups);
  for (const std::string& group : groups) pack::ArrayReader::Require(group.size() <= kMostGroup);
  return groups;
}

}  // namespace

std::string Encode(const JobQuestion& question) {
  return Packed([&question](pack::Packer& out) {
    out.pack_array(3);
    out.pack(question.own_group).pack(question.name.text).pack(question.name.is_alias);
  });
}

std::string Encode(const JobAnswer& answer) {
  return Packed([&answer](pack::Packer& out) {
    out.pack_array(4);
    out.pack(static_cast<int>(answer.found)).pack(answer.result).pack(answer.copies).pack(answer.held);
  });
}

std::optional<JobQuestion> DecodeJobQuestion(std::string_view bytes) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(whole.get(), 3);
    JobQuestion question;
    question.own_group = ShortText(in, kMostGroup);
    question.name.text = ShortText(in, kMostName);
    question.name.is_alias = in.Next().as<bool>();
    return question;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<JobAnswer> DecodeJobAnswer(std::string_view bytes) {
  try {
    const msgpack::object_handle whole = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(whole.get(), 4);
    JobAnswer answer;
    answer.found = in.Enum(Found::kFailed);
    answer.result = ShortText(in, kMostResult);
    answer.copies = Groups(in);
    answer.held = Groups(in);
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Verdict Judge(const Questions<JobAnswer>::Outcome& outcome, bool silence_counts) {
  bool not_now = silence_counts && !outcome.silent.empty();
  std::set<std::string> copies, held;
  for (const auto& [member, answer] : outcome.answers) {
    if (answer.found >= Found::kOpen) return {answer.found, answer.result};
    not_now |= answer.found == Found::kNotNow;
    copies.insert(answer.copies.begin(), answer.copies.end());
    held.insert(answer.held.begin(), answer.held.end());
  }
  const bool all_held = std::includes(held.begin(), held.end(), copies.begin(), copies.end());
  return {not_now || !all_held ? Found::kNotNow : Found::kUnknown, {}};
}

EarlierLives::Plan EarlierLives::WhomToAsk(Micros now, const std::vector<Candidate>& members,
                                           bool nobody_heard) const {
  Plan plan;
  plan.wait = forgot_ && nobody_heard && now - began_ < kRemembers;
  for (const Candidate& member : members) {
    if (member.name == self_ || without_.contains(member.name)) continue;
    if (member.gone_since < 0) {
      plan.ask.push_back(member.name);
    } else {
      plan.wait |= silence_counts(member.name) && now - member.gone_since < kRemembers;
    }
  }
  return plan;
}

}  // namespace heronway::cluster::copies
