// A rule file in force: which class, key, tenant and limits a request has, and whether it is accepted at all.
//
// Rules stand in order; the first that matches decides, unless it says `continue`: then what it set stays and
// later rules set the rest. Rules that test one field for a written-out value are found by one look-up.
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
  // The most that one request may cost, in nanoseconds by the reckoning at load; 100 to 1e9.
  double budget_ns = 60'000;
};

// What the rules say of a request; what they leave unsaid is as without rules. Texts point into the request,
// the rules or the machine's scratch, and are good until the next match.
struct MatchResult {
  static constexpr std::size_t kMaxRecordedRules = 16;
  std::array<std::uint32_t, kMaxRecordedRules>
      matched{};  // places of the rules, in order; the last ones of more
  std::size_t count = 0;
  std::optional<std::string_view> job_class;
  std::optional<std::uint64_t> key;
  std::optional<std::string_view> tenant, rate_by;
  std::optional<int> priority, max_retries;
  int rate = -1;  // place of the rate
  const std::string *zone = nullptr, *kind = nullptr, *label = nullptr;
  const std::string* reject_reason = nullptr;
  bool mark = false;
};

class Rules {
 public:
  // Reads, checks, compiles and tries a file's text. Throws RuleError; `name` is the file's for messages.
  Rules(const std::string& name, std::string_view text, const Limits& limits = {});
  ~Rules();
  Rules(const Rules&) = delete;
  Rules& operator=(const Rules&) = delete;

  // No allocation; not from two threads at a time. Counts hits.
  const MatchResult& Match(const Request& request);

  struct Rate {
    std::string name;
    double per_s, burst;
  };
  const std::vector<Rate>& rates() const { return rates_; }
  std::size_t size() const { return rules_.size(); }
  const std::string& NameOf(std::uint32_t rule) const { return rules_[rule].text.name; }
  const RuleText& TextOf(std::uint32_t rule) const { return rules_[rule].text; }
  std::uint64_t hits(std::uint32_t rule) const { return rules_[rule].hits; }
  double worst_cost_ns() const { return worst_; }  // nanoseconds
  // The compiled form, and what each rule costs at worst.
  std::string Explain() const;
  // What each rule made of a request, value by value, up to the one that decided.
  std::string TraceMatch(const Request& request);

 private:
  struct Rule {
    RuleText text;
    Steps when, job_class, key, tenant, rate_by;
    int rate = -1;
    Cost cost;
    std::uint64_t hits = 0;
  };
  void CompileAll(FileText& file);
  void Index();
  void CheckCost(const Limits& limits, std::vector<Fault>& faults);
  void RunTests(const FileText& file, std::vector<Fault>& faults);
  bool Apply(std::uint32_t rule);

  FileText file_;  // what the compiled form was made of; literals point here
  Program program_;
  std::vector<Rule> rules_;
  std::vector<Rate> rates_;
  int indexed_ = -1;  // the field by which rules are found
  Dispatch dispatch_;
  double worst_ = 0;
  std::unique_ptr<Machine> machine_;
  MatchResult verdict_;
};

// Reads a file whole. Guards against one that is replaced while it is read: it must be the same size and
// time of change after as before. Throws RuleError.
std::string ReadRuleFile(const std::string& path);

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_RULES_H_
