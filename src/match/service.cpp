#include "src/match/service.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace heronway::match {
namespace {

constexpr std::size_t kRateSlots = 16'384;
constexpr std::size_t kMaxGroups = 64;

}  // namespace

Service::Service(const std::string& name, std::string_view text, const Limits& limits, Site site,
                 std::uint64_t seed)
    : limits_(limits), site_(std::move(site)), rates_(kRateSlots, seed) {
  Replace(name, text);
}

bool Service::Replace(const std::string& name, std::string_view text) {
  auto rules = std::make_unique<Rules>(name, text, limits_);
  std::vector<Diagnostic> diagnostics;
  const std::function<void(const Node&)> check_classes = [&](const Node& n) {
    if (n.kind == NodeKind::kOrElse || n.kind == NodeKind::kMap) {
      for (std::size_t i = n.kind == NodeKind::kMap ? 1 : 0; i < n.children.size();
           i += n.kind == NodeKind::kMap ? 2 : 1)
        check_classes(*n.children[i]);
    } else if (n.kind == NodeKind::kCall) {
      check_classes(*n.children[0]->resolved);
    } else if (ClassOf(n.text) < 0) {
      diagnostics.push_back({n.range, "class " + n.text + " is none of the site's"});
    }
  };
  for (std::uint32_t i = 0; i < rules->size(); ++i) {
    if (const RuleDecl& rule = rules->DeclOf(i); rule.job_class) check_classes(*rule.job_class);
  }
  std::vector<Group> groups = groups_;
  for (std::uint32_t i = 0; i < rules->size(); ++i) {
    const RuleDecl& rule = rules->DeclOf(i);
    const auto add_group = [&](char by, const std::optional<std::string>& named,
                               const std::vector<std::string>* all) {
      if (!named) return;
      const auto fault = [&](const std::string& what) { diagnostics.push_back({rule.range, what}); };
      if (all != nullptr && std::find(all->begin(), all->end(), *named) == all->end())
        return fault((by == 'z' ? "zone " : "kind ") + *named + " is none of the site's");
      const Group group{by, *named};
      if (std::find(groups.begin(), groups.end(), group) != groups.end()) return;
      if (groups.size() == kMaxGroups)
        return fault("rules have named more than " + std::to_string(kMaxGroups) +
                     " zones, kinds and labels of targets since the start");
      groups.push_back(group);
    };
    add_group('z', rule.zone, &site_.zones);
    add_group('k', rule.kind, &site_.kinds);
    add_group('l', rule.label, nullptr);
  }
  if (!diagnostics.empty()) throw RuleError(name, text, std::move(diagnostics));
  rules_ = std::move(rules);
  const bool grown = groups.size() > groups_.size();
  groups_ = std::move(groups);
  return grown;
}

std::uint64_t Service::GroupsOf(std::string_view zone, std::string_view kind,
                                const std::vector<std::string>& labels) const {
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    const Group& g = groups_[i];
    const bool in = g.by == 'z'   ? g.name == zone
                    : g.by == 'k' ? g.name == kind
                                  : std::find(labels.begin(), labels.end(), g.name) != labels.end();
    if (in) out |= 1ULL << i;
  }
  return out;
}

int Service::ClassOf(std::string_view name) const {
  const auto it = std::find(site_.classes.begin(), site_.classes.end(), name);
  return it == site_.classes.end() ? -1 : static_cast<int>(it - site_.classes.begin());
}

Service::Decision Service::Evaluate(Micros now, const Request& request, bool again) {
  const MatchResult& v = rules_->Match(request);
  Decision out;
  if (v.job_class) out.job_class = ClassOf(*v.job_class);
  out.key = v.key;
  out.max_retries = v.max_retries;
  out.priority = v.priority.value_or(0);
  out.tenant = v.tenant;
  for (const auto& [by, name] : {std::pair('z', v.zone), std::pair('k', v.kind), std::pair('l', v.label)}) {
    for (std::size_t i = 0; name != nullptr && i < groups_.size(); ++i) {
      if (groups_[i].by == by && groups_[i].name == *name) out.required_groups |= 1ULL << i;
    }
  }
  out.reject_reason = v.reject_reason;
  if (v.mark && v.count > 0) out.marked_by_rule = &rules_->NameOf(v.matched[v.count - 1]);
  if (v.reject_reason != nullptr || v.rate < 0 || again) return out;
  const Rules::Rate& rate = rules_->rates()[static_cast<std::size_t>(v.rate)];
  out.retry_after = rates_.Take(now, static_cast<std::uint32_t>(v.rate), *v.rate_by, rate.per_s, rate.burst);
  if (out.retry_after > 0) out.exceeded_rate = &rate.name;
  return out;
}

}  // namespace heronway::match
