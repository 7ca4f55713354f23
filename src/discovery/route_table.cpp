#include "src/discovery/route_table.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace heronway::discovery {
namespace {

using pebblenotch::WorkerEntry;
using pebblenotch::WorkerState;

constexpr std::size_t kMaxLabels = 32;  // per target; further labels are ignored

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? 0 : static_cast<int>(it - names.begin());
}

std::string TextOf(const Json::Value& object, const char* name) {
  return object[name].isString() ? object[name].asString() : "";
}
bool Resets(const Json::Value& answer) { return answer["reset"].isBool() && answer["reset"].asBool(); }
double NumberOf(const Json::Value& object, const char* name, double fallback) {
  return object[name].isNumeric() ? object[name].asDouble() : fallback;
}

}  // namespace

RouteTable::RouteTable(std::vector<std::string> zones, std::vector<std::string> kinds, Groups groups)
    : zones_(std::move(zones)), kinds_(std::move(kinds)), groups_(std::move(groups)) {}

// Sets the latest possible start of a process reported now, and its start as claimed by the clocks.
void RouteTable::SetStartTimes(Route& route, const ClockReading& now) {
  WorkerEntry& entry = route.entry;
  entry.started_at = entry.claimed_started_at = route.reported_start;
  if (route.reported_start <= 0 || now.steady == 0) return;
  const core::Micros clock_offset = now.steady - now.wall;
  if (std::abs(clock_offset) > kClockTolerance) entry.claimed_started_at += clock_offset;
  entry.claimed_started_at = std::clamp<core::Micros>(entry.claimed_started_at, 1, now.steady);
  const core::Micros age = now.steady - entry.claimed_started_at;
  entry.started_at = age >= kTrustedAge ? entry.claimed_started_at : now.steady;
}

std::optional<core::RoutesChanged> RouteTable::Apply(const Json::Value& answer, core::ListKind least,
                                                     const ClockReading& now) {
  if (!answer.isObject() || !answer["generation"].isUInt64() || !answer["instances"].isArray())
    return std::nullopt;
  const bool is_full = least != core::ListKind::kChanges || Resets(answer);
  if (!is_full && IsOutdated(answer)) return std::nullopt;
  core::RoutesChanged change;
  change.kind = is_full && least == core::ListKind::kChanges ? core::ListKind::kWhole : least;
  std::vector<Route> routes;
  for (const Json::Value& instance : answer["instances"]) {
    if (!instance.isObject()) return std::nullopt;
    Route route;
    route.name = TextOf(instance, "instanceId");
    route.zone = TextOf(instance, "zone");
    route.kind = TextOf(instance, "machineType");
    for (const Json::Value& label : instance["labels"].isArray() ? instance["labels"] : Json::Value()) {
      if (label.isString() && route.labels.size() < kMaxLabels) route.labels.push_back(label.asString());
    }
    const std::string state = TextOf(instance, "lifecycle");
    const auto address = net::ParseAddress(TextOf(instance, "hostPort"));
    // A target in an unknown state is given no new work; one without an address cannot receive any.
    route.state = state == "ready" && address ? WorkerState::kReady
                  : state == "gone"           ? WorkerState::kGone
                                              : WorkerState::kDraining;
    if (route.name.empty()) return std::nullopt;
    if (address) route.address = *address;
    WorkerEntry entry;
    entry.zone = IndexOf(zones_, route.zone);
    entry.kind = IndexOf(kinds_, route.kind);
    if (groups_) entry.groups = groups_(route.zone, route.kind, route.labels);
    entry.cell = static_cast<int>(NumberOf(instance, "cell", 0));
    entry.weight = NumberOf(instance, "weight", 1);
    route.reported_start = static_cast<core::Micros>(NumberOf(instance, "startedAtMs", 0)) * 1000;
    entry.state = route.state;
    entry.id = Intern(route.name);
    route.entry = entry;
    change.entries.push_back(entry);
    routes.push_back(std::move(route));
  }
  generation_ = answer["generation"].asUInt64();
  if (is_full) {
    for (auto& [id, route] : routes_) route.state = WorkerState::kGone;
  }
  for (std::size_t i = 0; i < routes.size(); ++i) {
    Route& known = routes_[change.entries[i].id];
    if (routes[i].address.sin_port == 0) routes[i].address = known.address;  // a change may omit it
    Route& reported = routes[i];
    const bool same_start = !known.name.empty() && known.reported_start == reported.reported_start;
    if (!same_start) SetStartTimes(reported, now);
    // Keeps a target in slow start if the list is older than a restart that others observed.
    const bool later_start_observed = known.observed_start > reported.entry.claimed_started_at;
    if (same_start || later_start_observed) {
      reported.entry.started_at = known.entry.started_at;
      reported.entry.claimed_started_at = known.entry.claimed_started_at;
      reported.observed_start = known.observed_start;
    }
    change.entries[i] = reported.entry;
    known = std::move(reported);
  }
  return change;
}

bool RouteTable::IsOutdated(const Json::Value& answer) const {
  return answer.isObject() && answer["generation"].isUInt64() && !Resets(answer) &&
         answer["generation"].asUInt64() < generation_;
}

std::optional<core::RoutesChanged> RouteTable::RecordRestart(core::TargetId id, core::Micros since,
                                                             const ClockReading& now) {
  const auto it = routes_.find(id);
  if (it == routes_.end() || it->second.state == WorkerState::kGone ||
      it->second.entry.claimed_started_at >= since)
    return std::nullopt;
  it->second.observed_start = it->second.entry.claimed_started_at = since;
  it->second.entry.started_at = std::max(since, now.steady);
  return core::RoutesChanged{core::ListKind::kChanges, {it->second.entry}};
}

core::RoutesChanged RouteTable::RefreshGroups() {
  std::map<core::TargetId, Route*> listed;  // deterministic, unlike the order of a hash table
  for (auto& [id, route] : routes_) listed.emplace(id, &route);
  core::RoutesChanged change;
  for (auto& [id, route] : listed) {
    route->entry.state = route->state;
    if (groups_) route->entry.groups = groups_(route->zone, route->kind, route->labels);
    change.entries.push_back(route->entry);
  }
  return change;
}

core::RoutesChanged RouteTable::FullList() {
  core::RoutesChanged list = RefreshGroups();
  list.kind = core::ListKind::kWhole;
  std::erase_if(list.entries, [](const WorkerEntry& e) { return e.state == WorkerState::kGone; });
  return list;
}

const Route* RouteTable::Find(core::TargetId id) const {
  const auto it = routes_.find(id);
  return it == routes_.end() ? nullptr : &it->second;
}

std::optional<core::TargetId> RouteTable::IdOf(const std::string& name) const {
  const auto it = ids_.find(name);
  if (it == ids_.end()) return std::nullopt;
  return it->second;
}

bool RouteTable::AnyReady() const {
  return std::any_of(routes_.begin(), routes_.end(),
                     [](const auto& r) { return r.second.state == WorkerState::kReady; });
}

std::size_t RouteTable::Count(WorkerState state) const {
  return static_cast<std::size_t>(std::count_if(routes_.begin(), routes_.end(),
                                                [state](const auto& r) { return r.second.state == state; }));
}

// FNV-1a of the name, so that every scheduler gives a target the same id.
core::TargetId RouteTable::DefaultIdOf(const std::string& name) {
  core::TargetId id = 0xcbf29ce484222325ULL;
  for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return id;
}

// The default id, incremented until it is free if two names collide.
core::TargetId RouteTable::Intern(const std::string& name) {
  if (const auto known = IdOf(name)) return *known;
  core::TargetId id = DefaultIdOf(name);
  const auto taken = [this](core::TargetId wanted) {
    return std::any_of(ids_.begin(), ids_.end(), [wanted](const auto& e) { return e.second == wanted; });
  };
  while (taken(id)) ++id;
  ids_.emplace(name, id);
  return id;
}

}  // namespace heronway::discovery
