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
  Service(const std::string& name, std::string_view text, const Limits& limits,
          std::vector<std::string> classes, std::uint64_t seed);

  struct Judgement {
    int job_class = -1;  // -1: as without rules, like all that is not set
    std::optional<std::uint64_t> key;
    std::optional<int> repeats;
    const std::string* refuse = nullptr;  // the reason; good until the rules change
    const std::string* rate = nullptr;    // over this rate: refused, and may come back after `wait`
    Micros wait = 0;
    const std::string* marked_by = nullptr;  // the rule, where it says `mark`
  };
  Judgement Judge(Micros now, const Request& request);

  // The new rules are in force from the next request on. Throws RuleError, and all is as before.
  void Replace(const std::string& name, std::string_view text);
  const Rules& rules() const { return *rules_; }

 private:
  int ClassOf(std::string_view name) const;  // -1: none

  Limits limits_;
  std::vector<std::string> classes_;
  std::unique_ptr<Rules> rules_;
  limits::RateLimits rates_;
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_SERVICE_H_
