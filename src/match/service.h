// The rules in service: what both fronts ask for each request. Holds the rules in force, takes new ones
// whole or not at all, and keeps their rates. No I/O, no clock.
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
  // `classes`: those that the site has, in its order. Throws RuleError where a rule names another.
  struct Site {
    std::vector<std::string> classes, zones, kinds;
  };
  Service(const std::string& name, std::string_view text, const Limits& limits, Site site,
          std::uint64_t seed);

  struct Decision {
    int job_class = -1;  // -1: as without rules, like all that is not set
    std::optional<std::uint64_t> key;
    std::optional<int> max_retries;
    int priority = 0;
    std::uint64_t required_groups = 0;           // groups of targets, as GroupsOf numbers them
    std::optional<std::string_view> tenant;      // good until the next request is judged
    const std::string* reject_reason = nullptr;  // the reason; good until the rules change
    const std::string* exceeded_rate =
        nullptr;  // over this rate: refused, and may come back after `retry_after`
    Micros retry_after = 0;
    const std::string* marked_by_rule = nullptr;  // the rule, where it says `mark`
  };
  // `again`: the request was judged when it came, and spends nothing of its rate.
  Decision Evaluate(Micros now, const Request& request, bool again = false);

  // The new rules are in force from the next request on. Throws RuleError, and all is as before. True where
  // they name groups of targets that no rules named before: each target must be told its groups anew.
  bool Replace(const std::string& name, std::string_view text);
  // The groups that the rules name and a target with these belongs to, a bit each. A group keeps its bit
  // for good, so that requests under way still mean the same; there are 64 at most until the next start.
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
  std::vector<Group> groups_;  // by bit
  std::unique_ptr<Rules> rules_;
  limits::RateLimits rates_;
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_SERVICE_H_
