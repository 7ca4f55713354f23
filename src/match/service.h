// Evaluates the active rules for each request of both fronts. A new rule file replaces the old one as a
// whole or is rejected as a whole. Keeps the state of the rate limits. No I/O and no clock.
#ifndef HERONWAY_MATCH_SERVICE_H_
#define HERONWAY_MATCH_SERVICE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/limits/rate_limits.h"
#include "src/match/rules.h"

namespace heronway::match {

class Service {
 public:
  using Micros = limits::Micros;
  // The classes, zones and kinds that the configuration defines; a class is numbered by its position. The
  // constructor throws RuleError where a rule names any other.
  struct Site {
    std::vector<std::string> classes, zones, kinds;
  };
  Service(const std::string& name, std::string_view text, const Limits& limits, Site site,
          std::uint64_t seed);

  // What the rules decide about one request. Unset members mean the defaults that hold without rules.
  struct Decision {
    int job_class = -1;  // -1: not set
    std::optional<std::uint64_t> key;
    std::optional<int> max_retries;
    int priority = 0;
    std::uint64_t required_groups = 0;            // bits as in GroupsOf(); a target must have all
    std::optional<std::string_view> tenant;       // valid until the next Evaluate()
    const std::string* reject_reason = nullptr;   // valid until Replace()
    const std::string* exceeded_rate = nullptr;   // the rate that is exceeded; else null
    Micros retry_after = 0;                       // until the rate admits a request
    const std::string* marked_by_rule = nullptr;  // last matching rule where one has `mark`
  };
  // `again`: the request was evaluated on arrival; this call does not count against its rate.
  Decision Evaluate(Micros now, const Request& request, bool again = false);

  // Activates new rules from the next request on. Throws RuleError and keeps the old rules if they are
  // invalid. Returns true if they name target groups for the first time: GroupsOf() must then be called
  // again for each target.
  bool Replace(const std::string& name, std::string_view text);
  // The target groups (zones, kinds and labels that rules have named) that a target belongs to, one bit
  // each. A group keeps its bit until the process exits, so that the masks of requests in progress stay
  // valid; there are at most 64 groups per process.
  std::uint64_t GroupsOf(std::string_view zone, std::string_view kind,
                         const std::vector<std::string>& labels) const;
  const Rules& rules() const { return *rules_; }

 private:
  struct Group {
    char by;  // z, k or l
    std::string name;
    bool operator==(const Group&) const = default;
  };
  int ClassOf(std::string_view name) const;  // -1: none

  Limits limits_;
  Site site_;
  std::vector<Group> groups_;  // index: bit number
  std::unique_ptr<Rules> rules_;
  limits::RateLimits rates_;
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_SERVICE_H_
