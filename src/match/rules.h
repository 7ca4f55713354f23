// A compiled rule file. Gives the class, key, tenant and limits of a request, and whether it is rejected.
// Rules are evaluated in order and the first match ends the search, unless it has `continue`: its settings
// then stay and later rules set the others. Rules that compare one field with constants are found by a
// single lookup (dispatch.h).
#ifndef HERONWAY_MATCH_RULES_H_
#define HERONWAY_MATCH_RULES_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/match/cost.h"
#include "src/match/dispatch.h"
#include "src/match/program.h"

namespace heronway::match {

struct Limits {
  // Upper bound on the estimated cost of one request (cost.h), in nanoseconds; 100 to 1e9.
  double budget_ns = 60'000;
};

// The result of matching one request; unset members mean the defaults that hold without rules. Views point
// into the request, the rules or the machine's scratch buffer and are valid until the next match.
struct MatchResult {
  static constexpr std::size_t kMaxRecordedRules = 16;
  std::array<std::uint32_t, kMaxRecordedRules>
      matched{};  // indices of the matching rules, in order; beyond the limit the last entry is overwritten
  std::size_t count = 0;
  std::optional<std::string_view> job_class;
  std::optional<std::uint64_t> key;
  std::optional<std::string_view> tenant, rate_by;
  std::optional<int> priority, max_retries;
  int rate = -1;  // index into rates(); -1: none
  const std::string *zone = nullptr, *kind = nullptr, *label = nullptr;
  const std::string* reject_reason = nullptr;
  bool mark = false;
};

class Rules {
 public:
  // Parses, checks and compiles the text and runs its tests. Throws RuleError; `name` is the file name for
  // messages.
  Rules(const std::string& name, std::string_view text, const Limits& limits = {});
  ~Rules();
  Rules(const Rules&) = delete;
  Rules& operator=(const Rules&) = delete;

  // Does not allocate. Not thread-safe. Increments the hit counters.
  const MatchResult& Match(const Request& request);

  struct Rate {
    std::string name;
    double per_s, burst;
  };
  const std::vector<Rate>& rates() const { return rates_; }
  std::size_t size() const { return rules_.size(); }
  const std::string& NameOf(std::uint32_t rule) const { return rules_[rule].text.name; }
  const RuleDecl& DeclOf(std::uint32_t rule) const { return rules_[rule].text; }
  std::uint64_t hits(std::uint32_t rule) const { return rules_[rule].hits; }
  double worst_cost_ns() const { return worst_cost_ns_; }  // nanoseconds
  // A listing of the compiled rules with their worst-case costs.
  std::string Explain() const;
  // The field values of a request, the rules that match it up to the deciding one, and the result.
  std::string TraceMatch(const Request& request);

 private:
  struct Rule {
    RuleDecl text;
    Bytecode when, job_class, key, tenant, rate_by;
    int rate = -1;
    Cost cost;
    std::uint64_t hits = 0;
  };
  void CompileAll(RuleFile& file);
  void Index();
  void CheckCost(const Limits& limits, std::vector<Diagnostic>& diagnostics);
  void RunTests(const RuleFile& file, std::vector<Diagnostic>& diagnostics);
  bool Apply(std::uint32_t rule);

  RuleFile file_;  // literals of the compiled form point into this tree
  Program program_;
  std::vector<Rule> rules_;
  std::vector<Rate> rates_;
  int index_field_ = -1;  // the field by which `dispatch_` finds rules; -1: none
  Dispatch dispatch_;
  double worst_cost_ns_ = 0;
  std::unique_ptr<VirtualMachine> machine_;
  MatchResult verdict_;
};

// Reads a whole file. Detects a file that is written during the read: its size and modification time must
// match before and after; retries twice. Throws RuleError.
std::string ReadRuleFile(const std::string& path);

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_RULES_H_
