#include "src/match/service.h"

#include <algorithm>

namespace heronway::match {
namespace {

constexpr std::size_t kRatePlaces = 16'384;

}  // namespace

Service::Service(const std::string& name, std::string_view text, const Limits& limits,
                 std::vector<std::string> classes, std::uint64_t seed)
    : limits_(limits), classes_(std::move(classes)), rates_(kRatePlaces, seed) {
  Replace(name, text);
}

std::unique_ptr<Rules> Service::Make(const std::string& name, std::string_view text,
                                     std::vector<int>& classes) const {
  auto rules = std::make_unique<Rules>(name, text, limits_);
  classes.assign(rules->size(), -1);
  std::vector<Fault> faults;
  for (std::uint32_t i = 0; i < rules->size(); ++i) {
    const RuleText& rule = rules->TextOf(i);
    if (!rule.job_class) continue;
    const auto it = std::find(classes_.begin(), classes_.end(), *rule.job_class);
    if (it == classes_.end()) {
      faults.push_back({rule.places.at("class"), "class " + *rule.job_class + " is none of the site's"});
    } else {
      classes[i] = static_cast<int>(it - classes_.begin());
    }
  }
  if (!faults.empty()) throw RuleError(name, text, std::move(faults));
  return rules;
}

void Service::Replace(const std::string& name, std::string_view text) {
  std::vector<int> classes;
  rules_ = Make(name, text, classes);
  class_of_ = std::move(classes);
}

Service::Judgement Service::Judge(Micros now, const Request& request) {
  const Verdict& v = rules_->Match(request);
  Judgement out;
  for (std::size_t i = 0; i < v.count && out.job_class < 0; ++i) out.job_class = class_of_[v.matched[i]];
  out.key = v.key;
  out.repeats = v.repeats;
  out.refuse = v.refuse;
  if (v.mark && v.count > 0) out.marked_by = &rules_->NameOf(v.matched[v.count - 1]);
  if (v.refuse != nullptr || v.rate < 0) return out;
  const Rules::Rate& rate = rules_->rates()[static_cast<std::size_t>(v.rate)];
  out.wait = rates_.Take(now, static_cast<std::uint32_t>(v.rate), *v.rate_by, rate.per_s, rate.burst);
  if (out.wait > 0) out.rate = &rate.name;
  return out;
}

}  // namespace heronway::match
