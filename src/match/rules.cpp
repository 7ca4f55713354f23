#include "src/match/rules.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "src/match/checker.h"
#include "src/match/parser.h"

namespace heronway::match {
namespace {

std::string Hex(std::uint64_t key) {
  char text[20];
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(key));
  return text;
}

}  // namespace

Rules::Rules(const std::string& name, std::string_view text, const Limits& limits) {
  std::vector<Diagnostic> diagnostics;
  const auto throw_if_any = [&] {
    if (diagnostics.empty()) return;
    std::stable_sort(diagnostics.begin(), diagnostics.end(),
                     [](const Diagnostic& a, const Diagnostic& b) { return a.range.begin < b.range.begin; });
    throw RuleError(name, text, diagnostics);
  };
  if (text.size() > kMaxFileBytes) diagnostics.push_back({{0, 1}, "the file is over 16 MiB"});
  throw_if_any();
  file_ = Parse(text, diagnostics);
  if (diagnostics.empty()) Check(file_, diagnostics);
  throw_if_any();
  CompileAll(file_);
  CheckCost(limits, diagnostics);
  throw_if_any();
  machine_ = std::make_unique<VirtualMachine>(program_);
  RunTests(file_, diagnostics);
  throw_if_any();
}

Rules::~Rules() = default;

void Rules::CompileAll(RuleFile& file) {
  Compiler compiler(program_);
  for (const RateDecl& r : file.rates) rates_.push_back({r.name, r.per_s, r.burst});
  for (RuleDecl& text : file.rules) {
    Rule rule;
    if (text.when) rule.when = compiler.Compile(*text.when);
    if (text.job_class) rule.job_class = compiler.Compile(*text.job_class);
    if (text.key) rule.key = compiler.Compile(*text.key);
    if (text.tenant) rule.tenant = compiler.Compile(*text.tenant);
    if (text.rate_by) rule.rate_by = compiler.Compile(*text.rate_by);
    for (std::size_t i = 0; text.rate && i < rates_.size(); ++i) {
      if (rates_[i].name == *text.rate) rule.rate = static_cast<int>(i);
    }
    rule.text = std::move(text);
    rules_.push_back(std::move(rule));
  }
  Index();
  if (const Node* field = dispatch_.field())
    index_field_ = static_cast<int>(compiler.Compile(*field)[0].a);  // a field compiles to one instruction
  compiler.Finish();
  for (Rule& rule : rules_) {
    rule.cost.fixed = 10;
    for (const Bytecode* code : {&rule.when, &rule.job_class, &rule.key, &rule.tenant, &rule.rate_by})
      rule.cost += CostOf(program_, *code);
  }
}

// Chooses the field that most rules constrain and indexes the rules by it.
void Rules::Index() {
  std::vector<const Node*> conditions;
  for (const Rule& rule : rules_) conditions.push_back(rule.text.when.get());
  dispatch_.Build(conditions);
}

void Rules::CheckCost(const Limits& limits, std::vector<Diagnostic>& diagnostics) {
  Cost always = SharedCost(program_);
  for (const std::uint32_t i : dispatch_.unindexed()) always += rules_[i].cost;
  worst_cost_ns_ = always.WorstCaseNs();
  for (const Dispatch::List* rules : dispatch_.AllLists()) {
    Cost found = always;
    for (const std::uint32_t i : *rules) found += rules_[i].cost;
    worst_cost_ns_ = std::max(worst_cost_ns_, found.WorstCaseNs());
  }
  worst_cost_ns_ += dispatch_.worst_cost_ns();
  const auto costliest = std::max_element(rules_.begin(), rules_.end(), [](const Rule& a, const Rule& b) {
    return a.cost.WorstCaseNs() < b.cost.WorstCaseNs();
  });
  const auto whole = [](double ns) { return std::to_string(static_cast<long long>(ns)); };
  if (program_.scratch > (1 << 20))
    diagnostics.push_back({costliest->text.range,
                           "lower() is used too often: " + std::to_string(program_.scratch / kMaxHeadBytes) +
                               " times, 64 at most"});
  if (worst_cost_ns_ <= limits.budget_ns || costliest == rules_.end()) return;
  diagnostics.push_back(
      {costliest->text.range, "a request may cost " + whole(worst_cost_ns_) +
                                  " ns with these rules, over the budget of " + whole(limits.budget_ns) +
                                  "; rule " + costliest->text.name +
                                  " costs most: " + whole(costliest->cost.WorstCaseNs()) + " ns"});
}

const MatchResult& Rules::Match(const Request& request) {
  verdict_ = MatchResult{};
  machine_->Begin(request);
  const Dispatch::List* found = nullptr;
  const Dispatch::List& always = dispatch_.unindexed();
  if (index_field_ >= 0) {
    const Value value = machine_->Field(static_cast<std::uint32_t>(index_field_));
    if (value.present) found = dispatch_.Find(value.text);
  }
  // Merges both lists in rule order.
  std::size_t a = 0, b = 0;
  const std::size_t more = found != nullptr ? found->size() : 0;
  while (a < always.size() || b < more) {
    const bool other = b >= more || (a < always.size() && always[a] < (*found)[b]);
    if (Apply(other ? always[a++] : (*found)[b++])) break;
  }
  return verdict_;
}

// Returns true if this rule ends the search.
bool Rules::Apply(std::uint32_t i) {
  Rule& rule = rules_[i];
  if (!rule.when.empty() && machine_->Run(rule.when).number == 0) return false;
  ++rule.hits;
  MatchResult& v = verdict_;
  if (v.count < MatchResult::kMaxRecordedRules) {
    v.matched[v.count++] = i;
  } else {
    v.matched.back() = i;
  }
  const RuleDecl& t = rule.text;
  const auto set = [](const std::string*& to, const std::optional<std::string>& from) {
    if (to == nullptr && from) to = &*from;
  };
  set(v.reject_reason, t.reject_reason);
  set(v.zone, t.zone);
  set(v.kind, t.kind);
  set(v.label, t.label);
  if (!v.job_class && !rule.job_class.empty()) {
    if (const Value job_class = machine_->Run(rule.job_class); job_class.present)
      v.job_class = job_class.text;
  }
  if (!v.key && !rule.key.empty()) {
    if (const Value key = machine_->Run(rule.key); key.present)
      v.key = static_cast<std::uint64_t>(key.number);
  }
  if (!v.tenant && !rule.tenant.empty()) {
    if (const Value tenant = machine_->Run(rule.tenant); tenant.present) v.tenant = tenant.text;
  }
  if (v.rate < 0 && rule.rate >= 0) {
    if (const Value by = machine_->Run(rule.rate_by); by.present) {
      v.rate = rule.rate;
      v.rate_by = by.text;
    }
  }
  if (!v.priority && t.priority) v.priority = static_cast<int>(*t.priority);
  if (!v.max_retries && t.max_retries) v.max_retries = static_cast<int>(*t.max_retries);
  v.mark = v.mark || t.mark;
  return !t.continues;
}

void Rules::RunTests(const RuleFile& file, std::vector<Diagnostic>& diagnostics) {
  for (const TestDecl& test : file.tests) {
    Request r;
    r.front = test.front;
    r.path = test.path;
    r.query = test.query;
    r.jobtype = test.jobtype;
    r.queue = test.queue;
    r.headers = test.headers;
    r.custom = test.custom;
    r.body_bytes = test.body_bytes;
    r.deadline = test.deadline;
    r.is_retry = test.is_retry;
    if (!ParseAddress(test.peer, r.peer)) {
      diagnostics.push_back({test.range, "test \"" + test.name + "\": peer " + test.peer + " is no address"});
      continue;
    }
    const MatchResult& v = Match(r);
    for (const auto& [what, wanted] : test.expected) {
      const std::string got = what == "rule"     ? (v.count > 0 ? NameOf(v.matched[v.count - 1]) : "none")
                              : what == "class"  ? std::string(v.job_class.value_or("none"))
                              : what == "refuse" ? (v.reject_reason != nullptr ? *v.reject_reason : "none")
                              : what == "tenant" ? std::string(v.tenant.value_or("none"))
                              : what == "key"
                                  ? (v.key ? Hex(*v.key) : "none")
                                  : (v.rate >= 0 ? rates_[static_cast<std::size_t>(v.rate)].name : "none");
      if (got != wanted.first)
        diagnostics.push_back({wanted.second, "test \"" + test.name + "\" expects " + what + " " +
                                                  wanted.first + ", but it is " + got});
    }
  }
  for (Rule& rule : rules_) rule.hits = 0;
}

std::string Rules::Explain() const {
  std::ostringstream out;
  out << rules_.size() << " rules, " << program_.fields.size() << " fields, " << program_.conditions.size()
      << " conditions, " << program_.regexes.size() << " regular expressions; at worst "
      << static_cast<long long>(worst_cost_ns_) << " ns a request\n";
  if (index_field_ >= 0) {
    const FieldRef& f = program_.fields[static_cast<std::size_t>(index_field_)];
    out << "found by ";
    using K = FieldRef::Kind;
    if (f.kind == K::kSegment) {
      out << "segment(" << f.number << ")";
    } else if (!f.name.empty()) {
      out << (f.kind == K::kHeader  ? "header"
              : f.kind == K::kQuery ? "query"
                                    : "custom")
          << "(\"" << f.name << "\")";
    } else {
      out << (f.kind == K::kPath      ? "path"
              : f.kind == K::kFront   ? "front"
              : f.kind == K::kJobtype ? "jobtype"
                                      : "queue");
    }
    out << ": " << dispatch_.texts() << " texts, " << dispatch_.prefixes()
        << " prefixes; tried always: " << dispatch_.unindexed().size() << " rules\n";
  }
  for (const Rule& r : rules_) {
    const std::size_t steps =
        r.when.size() + r.job_class.size() + r.key.size() + r.tenant.size() + r.rate_by.size();
    out << "  " << r.text.name << ": " << steps << " steps, at worst "
        << static_cast<long long>(r.cost.WorstCaseNs()) << " ns\n";
  }
  return out.str();
}

std::string Rules::TraceMatch(const Request& request) {
  std::ostringstream out;
  machine_->Begin(request);
  for (std::size_t f = 0; f < program_.fields.size(); ++f) {
    const FieldRef& field = program_.fields[f];
    const Value v = machine_->Field(static_cast<std::uint32_t>(f));
    static constexpr const char* kNames[] = {"path",     "front",  "jobtype", "queue",  "peer",  "body_bytes",
                                             "deadline", "repeat", "segment", "header", "query", "custom"};
    const auto kind = static_cast<std::size_t>(field.kind);
    out << "  " << kNames[kind];
    if (kind >= 8)
      out << "(" << (field.name.empty() ? std::to_string(field.number) : "\"" + field.name + "\"") << ")";
    out << " = ";
    if (!v.present) {
      out << "missing";
    } else if (kind >= 5 && kind <= 7) {
      out << v.number;
    } else if (kind != 4) {
      out << '"' << v.text << '"';
    } else {
      out << "an address";
    }
    out << "\n";
  }
  for (std::uint32_t i = 0; i < rules_.size(); ++i) {
    const bool holds = rules_[i].when.empty() || machine_->Run(rules_[i].when).number != 0;
    if (holds)
      out << "  rule " << NameOf(i) << " matches"
          << (rules_[i].text.continues ? ", and the search goes on\n" : "\n");
    if (holds && !rules_[i].text.continues) break;
  }
  const MatchResult& v = Match(request);
  const auto say = [&out](const char* what, const std::string* value) {
    if (value != nullptr) out << what << " " << *value << "\n";
  };
  if (v.job_class) out << "class " << *v.job_class << "\n";
  say("refuse", v.reject_reason);
  say("zone", v.zone);
  say("kind", v.kind);
  say("label", v.label);
  if (v.key) out << "key " << Hex(*v.key) << "\n";
  if (v.tenant) out << "tenant " << *v.tenant << "\n";
  if (v.rate >= 0)
    out << "rate " << rates_[static_cast<std::size_t>(v.rate)].name << " by " << *v.rate_by << "\n";
  if (v.priority) out << "priority " << *v.priority << "\n";
  if (v.max_retries) out << "repeats " << *v.max_retries << "\n";
  if (v.mark) out << "marked\n";
  if (v.count == 0) out << "no rule matches: all is as without rules\n";
  return out.str();
}

std::string ReadRuleFile(const std::string& path) {
  const auto fail = [&path](const std::string& why) -> RuleError {
    return RuleError(path, "", {{{0, 0}, why}});
  };
  std::error_code e;
  for (int tries = 0; tries < 3; ++tries) {
    const auto time = std::filesystem::last_write_time(path, e);
    if (e) throw fail("cannot read the file: " + e.message());
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) throw fail("cannot read the file");
    std::string out = text.str();
    if (std::filesystem::last_write_time(path, e) == time && !e &&
        std::filesystem::file_size(path, e) == out.size() && !e)
      return out;
  }
  throw fail("the file changes while it is read");
}

}  // namespace heronway::match
