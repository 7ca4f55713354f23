// Whether another member has a job that this scheduler does not know: a scheduler that comes back without its
// disk has forgotten what it took, and a successor runs it. The group that has the job owns it, so whoever is
// back asks before it takes a job by a name that it does not know. Pure: what is sent is its caller's.
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

// How a client names a job: by its id, or by what its key stands for (durable::Job::alias).
struct JobName {
  std::string text;  // empty: no job is meant
  bool is_alias = false;
};

// kNotNow: it cannot be told at this moment, and should be asked again.
enum class LookupStatus : std::uint8_t { kUnknown, kRetry, kOpen, kDone, kFailed };

struct JobQuery {
  std::string own_group;  // that the asker's jobs are in now: others of its front's are of lives before
  JobName name;
};
struct JobReply {
  LookupStatus status = LookupStatus::kUnknown;
  std::string result;               // kDone
  std::vector<std::string> groups;  // groups of the asker's lives before, of which a copy is here
  std::vector<std::string> served;  // of these, the ones whose jobs are run here
};

std::string Encode(const JobQuery& query);
std::string Encode(const JobReply& reply);
// Nothing where the bytes are none.
std::optional<JobQuery> DecodeJobQuery(std::string_view bytes);
std::optional<JobReply> DecodeJobReply(std::string_view bytes);

struct LookupResult {
  LookupStatus status = LookupStatus::kUnknown;
  std::string result;
};
// `silence_counts`: a member that did not answer may have the job. A group of which there is a copy, and that
// nobody holds, may have it in any case.
LookupResult CombineReplies(const MemberQueries<JobReply>::Outcome& outcome, bool silence_matters);

// Which members may have copies of what this scheduler took in lives before, for one front.
class FormerReplicas {
 public:
  static constexpr Micros kDiscoveryTime = 60'000'000;  // after a start, or since one is gone, to hear of it

  // `forgot`: this life began without what was on the disk before, or is the first.
  FormerReplicas(std::string self, bool data_lost, Micros started_at)
      : self_(std::move(self)), data_lost_(data_lost), started_at_(started_at) {}

  struct Plan {
    std::vector<std::string> query;
    bool wait = false;  // for members that cannot be asked now and may have something
  };
  // `members`: that keep copies. `nobody_heard`: there should be others, and none has been heard yet.
  Plan MembersToQuery(Micros now, const std::vector<Candidate>& members, bool no_member_heard) const;
  // Copies are made by a group's leader in its owner's life alone: who has none will not get any.
  void NoteReply(const std::string& member, bool has_copies) {
    has_copies ? with_groups_.insert(member) : without_groups_.insert(member);
  }
  // One that did not answer. Who went on with its disk takes that for a member that has nothing to say.
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
