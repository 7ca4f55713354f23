// Whether another member has a job that this scheduler does not know: a scheduler that comes back without its
// disk has forgotten what it took, and a successor runs it. The group that has the job owns it, so whoever is
// back asks before it takes a job by a name that it does not know. Pure: what is sent is its caller's.
#ifndef HERONWAY_CLUSTER_COPIES_LOOKUP_H_
#define HERONWAY_CLUSTER_COPIES_LOOKUP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/cluster/copies/placement.h"
#include "src/cluster/copies/questions.h"

namespace heronway::cluster::copies {

// How a client names a job: by its id, or by what its key stands for (durable::Job::alias).
struct JobName {
  std::string text;  // empty: no job is meant
  bool is_alias = false;
};

// kNotNow: it cannot be told at this moment, and should be asked again.
enum class Found : std::uint8_t { kUnknown, kNotNow, kOpen, kDone, kFailed };

struct JobQuestion {
  std::string own_group;  // that the asker's jobs are in now: others of its front's are of lives before
  JobName name;
};
struct JobAnswer {
  Found found = Found::kUnknown;
  std::string result;               // kDone
  std::vector<std::string> copies;  // groups of the asker's lives before, of which a copy is here
  std::vector<std::string> held;    // of these, the ones whose jobs are run here
};

std::string Encode(const JobQuestion& question);
std::string Encode(const JobAnswer& answer);
// Nothing where the bytes are none.
std::optional<JobQuestion> DecodeJobQuestion(std::string_view bytes);
std::optional<JobAnswer> DecodeJobAnswer(std::string_view bytes);

struct Verdict {
  Found found = Found::kUnknown;
  std::string result;
};
// `silence_counts`: a member that did not answer may have the job. A group of which there is a copy, and that
// nobody holds, may have it in any case.
Verdict Judge(const Questions<JobAnswer>::Outcome& outcome, bool silence_counts);

// Which members may have copies of what this scheduler took in lives before, for one front.
class EarlierLives {
 public:
  static constexpr Micros kRemembers = 60'000'000;  // after a start, or since one is gone, to hear of it

  // `forgot`: this life began without what was on the disk before, or is the first.
  EarlierLives(std::string self, bool forgot, Micros began)
      : self_(std::move(self)), forgot_(forgot), began_(began) {}

  struct Plan {
    std::vector<std::string> ask;
    bool wait = false;  // for members that cannot be asked now and may have something
  };
  // `members`: that keep copies. `nobody_heard`: there should be others, and none has been heard yet.
  Plan WhomToAsk(Micros now, const std::vector<Candidate>& members, bool nobody_heard) const;
  // Copies are made by a group's leader in its owner's life alone: who has none will not get any.
  void Note(const std::string& member, bool has_copies) {
    has_copies ? with_.insert(member) : without_.insert(member);
  }
  // One that did not answer. Who went on with its disk takes that for a member that has nothing to say.
  void NoteSilent(const std::string& member) {
    if (!forgot_ && !with_.contains(member)) without_.insert(member);
  }
  bool silence_counts(const std::string& member) const { return forgot_ || with_.contains(member); }

 private:
  std::string self_;
  bool forgot_;
  Micros began_;
  std::set<std::string> with_, without_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_LOOKUP_H_
