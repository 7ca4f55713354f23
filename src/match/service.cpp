#include "src/match/service.h"

#include <algorithm>
#include <functional>

namespace heronway::match {
namespace {

constexpr std::size_t kRatePlaces = 16'384;

}  // namespace

Service::Service(const std::string& name, std::string_view text, const Limits& limits,
                 std::vector<std::string> classes, std::uint64_t seed)
    : limits_(limits), classes_(std::move(classes)), rates_(kRatePlaces, seed) {
  Replace(name, text);
}

void Service::Replace(const std::string& name, std::string_view text) {
  auto rules = std::make_unique<Rules>(name, text, limits_);
  std::vector<Fault> faults;
  const std::function<void(const Node&)> known = [&](const Node& n) {
    if (n.form == Form::kOrElse || n.form == Form::kMap) {
      for (std::size_t i = n.form == Form::kMap ? 1 : 0; i < n.kids.size(); i += n.form == Form::kMap ? 2 : 1)
        known(*n.kids[i]);
    } else if (n.form == Form::kCall) {
      known(*n.kids[0]->stands_for);
    } else if (ClassOf(n.text) < 0) {
      faults.push_back({n.at, "class " + n.text + " is none of the site's"});
    }
  };
  for (std::uint32_t i = 0; i < rules->size(); ++i) {
    if (const RuleText& rule = rules->TextOf(i); rule.job_class) known(*rule.job_class);
  }
  if (!faults.empty()) throw RuleError(name, text, std::move(faults));
  rules_ = std::move(rules);
}

int Service::ClassOf(std::string_view name) const {
  const auto it = std::find(classes_.begin(), classes_.end(), name);
  return it == classes_.end() ? -1 : static_cast<int>(it - classes_.begin());
}

Service::Judgement Service::Judge(Micros now, const Request& request) {
  const Verdict& v = rules_->Match(request);
  Judgement out;
  if (v.job_class) out.job_class = ClassOf(*v.job_class);
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
