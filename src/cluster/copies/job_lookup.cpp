#include "src/cluster/copies/job_lookup.h"

#include <algorithm>
#include <utility>

#include "src/cluster/copies/frames.h"
#include "src/pack/array_reader.h"

namespace heronway::cluster::copies {
namespace {

constexpr std::size_t kMaxJobNameBytes = 4096;
constexpr std::size_t kMaxResultBytes = 1024 * 1024;
constexpr std::size_t kMaxGroups = 64;

template <typename T>
std::string PackToString(const T& pack_fields) {
  msgpack::sbuffer bytes;
  pack::Packer out(bytes);
  pack_fields(out);
  return {bytes.data(), bytes.size()};
}

std::string BoundedText(pack::ArrayReader& in, std::size_t max_bytes) {
  std::string text = in.Next().as<std::string>();
  pack::ArrayReader::Require(text.size() <= max_bytes);
  return text;
}

std::vector<std::string> Groups(pack::ArrayReader& in) {
  auto groups = in.Next().as<std::vector<std::string>>();
  pack::ArrayReader::Require(groups.size() <= kMaxGroups);
  for (const std::string& group : groups) pack::ArrayReader::Require(group.size() <= kMaxGroupNameBytes);
  return groups;
}

}  // namespace

std::string Encode(const JobQuery& query) {
  return PackToString([&query](pack::Packer& out) {
    out.pack_array(3);
    out.pack(query.own_group).pack(query.name.text).pack(query.name.is_alias);
  });
}

std::string Encode(const JobReply& reply) {
  return PackToString([&reply](pack::Packer& out) {
    out.pack_array(4);
    out.pack(static_cast<int>(reply.status)).pack(reply.result).pack(reply.groups).pack(reply.served);
  });
}

std::optional<JobQuery> DecodeJobQuery(std::string_view bytes) {
  try {
    const msgpack::object_handle root = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(root.get(), 3);
    JobQuery query;
    query.own_group = BoundedText(in, kMaxGroupNameBytes);
    query.name.text = BoundedText(in, kMaxJobNameBytes);
    query.name.is_alias = in.Next().as<bool>();
    return query;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<JobReply> DecodeJobReply(std::string_view bytes) {
  try {
    const msgpack::object_handle root = msgpack::unpack(bytes.data(), bytes.size());
    pack::ArrayReader in(root.get(), 4);
    JobReply reply;
    reply.status = in.Enum(LookupStatus::kFailed);
    reply.result = BoundedText(in, kMaxResultBytes);
    reply.groups = Groups(in);
    reply.served = Groups(in);
    return reply;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

LookupResult CombineReplies(const MemberQueries<JobReply>::Outcome& outcome, bool silence_matters) {
  bool retry = silence_matters && !outcome.unanswered.empty();
  std::set<std::string> groups, served;
  for (const auto& [member, reply] : outcome.replies) {
    if (reply.status >= LookupStatus::kOpen) return {reply.status, reply.result};
    retry |= reply.status == LookupStatus::kRetry;
    groups.insert(reply.groups.begin(), reply.groups.end());
    served.insert(reply.served.begin(), reply.served.end());
  }
  const bool all_served = std::includes(served.begin(), served.end(), groups.begin(), groups.end());
  return {retry || !all_served ? LookupStatus::kRetry : LookupStatus::kUnknown, {}};
}

FormerReplicas::Plan FormerReplicas::MembersToQuery(Micros now, const std::vector<Candidate>& members,
                                                    bool no_member_heard) const {
  Plan plan;
  plan.wait = data_lost_ && no_member_heard && now - started_at_ < kDiscoveryTime;
  for (const Candidate& member : members) {
    if (member.name == self_ || without_groups_.contains(member.name)) continue;
    if (member.gone_since < 0) {
      plan.query.push_back(member.name);
    } else {
      plan.wait |= silence_matters(member.name) && now - member.gone_since < kDiscoveryTime;
    }
  }
  return plan;
}

}  // namespace heronway::cluster::copies
