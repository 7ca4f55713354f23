// Lookup of a job at the other members. A scheduler that restarts without its disk does not know the jobs
// that it accepted before, while a successor runs them. A job belongs to the group that has it, so the
// restarted scheduler asks the others before it accepts a job whose name it does not know. Nothing here does
// I/O: the caller sends the frames.
#ifndef HERONWAY_CLUSTER_COPIES_JOB_LOOKUP_H_
#define HERONWAY_CLUSTER_COPIES_JOB_LOOKUP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/cluster/copies/member_queries.h"
#include "src/cluster/copies/placement.h"

namespace heronway::cluster::copies {

// How a client names a job: by its id, or by the alias that its key stands for (durable::Job::alias).
struct JobName {
  std::string text;  // empty if the query is about the groups alone
  bool is_alias = false;
};

// kRetry: the status is not known at this moment; the client should ask again. The values are sent between
// members, so their order is fixed.
enum class LookupStatus : std::uint8_t { kUnknown, kRetry, kOpen, kDone, kFailed };

struct JobQuery {
  // The sender's current group for the front; its other groups of that front are former ones.
  std::string own_group;
  JobName name;
};
struct JobReply {
  LookupStatus status = LookupStatus::kUnknown;
  std::string result;               // of a job in kDone
  std::vector<std::string> groups;  // the sender's former groups with a replica here
  std::vector<std::string> served;  // those of `groups` whose jobs are run here
};

std::string Encode(const JobQuery& query);
std::string Encode(const JobReply& reply);
// Return nothing if the bytes are not a valid message.
std::optional<JobQuery> DecodeJobQuery(std::string_view bytes);
std::optional<JobReply> DecodeJobReply(std::string_view bytes);

struct LookupResult {
  LookupStatus status = LookupStatus::kUnknown;
  std::string result;
};
// Combines the replies to a query. `silence_matters`: a member that did not answer may have the job. A group
// that has a replica and that no member serves may have it in any case.
LookupResult CombineReplies(const MemberQueries<JobReply>::Outcome& outcome, bool silence_matters);

// Tracks which members may have replicas of this scheduler's former groups, for one front.
class FormerReplicas {
 public:
  // How long after a start members may be unknown, and how long a gone member may come back.
  static constexpr Micros kDiscoveryTime = 60'000'000;

  // `data_lost`: this process started without the former contents of the disk, or it is the first to use it.
  FormerReplicas(std::string self, bool data_lost, Micros started_at)
      : self_(std::move(self)), data_lost_(data_lost), started_at_(started_at) {}

  struct Plan {
    std::vector<std::string> query;
    bool wait = false;  // members that cannot be queried now may have replicas
  };
  // `members` are those that can keep replicas. `no_member_heard`: the settings name other members, and none
  // is known yet.
  Plan MembersToQuery(Micros now, const std::vector<Candidate>& members, bool no_member_heard) const;
  // Only the owner's process adds replicas to its group, so a member without a replica of a former group will
  // not get one.
  void NoteReply(const std::string& member, bool has_groups) {
    has_groups ? with_groups_.insert(member) : without_groups_.insert(member);
  }
  // Notes a member that did not answer. A scheduler that kept its disk treats it as one without former
  // groups.
  void NoteSilence(const std::string& member) {
    if (!data_lost_ && !with_groups_.contains(member)) without_groups_.insert(member);
  }
  bool silence_matters(const std::string& member) const {
    return data_lost_ || with_groups_.contains(member);
  }

 private:
  std::string self_;
  bool data_lost_;
  Micros started_at_;
  std::set<std::string> with_groups_, without_groups_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_JOB_LOOKUP_H_
