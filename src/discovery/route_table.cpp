#include "src/discovery/route_table.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace heronway::discovery {
namespace {

using pebblenotch::WorkerEntry;
using pebblenotch::WorkerState;

constexpr std::size_t kMostLabels = 32;  // of a target; what it has beyond these counts for nothing

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

// When a process that is heard of now started, at the latest and as the clocks claim.
void RouteTable::DateStart(Route& route, const ClockReading& now) {
  WorkerEntry& entry = route.entry;
  entry.started_at = entry.claimed_started_at = route.reported_start;
  if (route.reported_start <= 0 || now.steady == 0) return;
  const core::Micros stepped = now.steady - now.wall;
  if (std::abs(stepped) > kClockTolerance) entry.claimed_started_at += stepped;
  entry.claimed_started_at = std::clamp<core::Micros>(entry.claimed_started_at, 1, now.steady);
  const core::Micros age = now.steady - entry.claimed_started_at;
  entry.started_at = age >= kTrustedAge ? entry.claimed_started_at : now.steady;
}

std::optional<core::RoutesChanged> RouteTable::Apply(const Json::Value& answer, core::ListKind least,
                                                     const ClockReading& now) {
  if (!answer.isObject() || !answer["generation"].isUInt64() || !answer["instances"].isArray())
    return std::nullopt;
  const bool whole = least != core::ListKind::kChanges || Resets(answer);
  if (!whole && IsOutdated(answer)) return std::nullopt;
  core::RoutesChanged out;
  out.kind = whole && least == core::ListKind::kChanges ? core::ListKind::kWhole : least;
  std::vector<Route> routes;
  for (const Json::Value& line : answer["instances"]) {
    if (!line.isObject()) return std::nullopt;
    Route route;
    route.name = TextOf(line, "instanceId");
    route.zone = TextOf(line, "zone");
    route.kind = TextOf(line, "machineType");
    for (const Json::Value& label : line["labels"].isArray() ? line["labels"] : Json::Value()) {
      if (label.isString() && route.labels.size() < kMostLabels) route.labels.push_back(label.asString());
    }
    const std::string state = TextOf(line, "lifecycle");
    const auto address = net::ParseAddress(TextOf(line, "hostPort"));
    // A state that is not known wants no fresh work; one without a place to send to can take none.
    route.state = state == "ready" && address ? WorkerState::kReady
                  : state == "gone"           ? WorkerState::kGone
                                              : WorkerState::kDraining;
    if (route.name.empty()) return std::nullopt;
    if (address) route.address = *address;
    WorkerEntry entry;
    entry.zone = IndexOf(zones_, route.zone);
    entry.kind = IndexOf(kinds_, route.kind);
    if (groups_) entry.groups = groups_(route.zone, route.kind, route.labels);
    entry.cell = static_cast<int>(NumberOf(line, "cell", 0));
    entry.weight = NumberOf(line, "weight", 1);
    route.reported_start = static_cast<core::Micros>(NumberOf(line, "startedAtMs", 0)) * 1000;
    entry.state = route.state;
    entry.id = Intern(route.name);
    route.entry = entry;
    out.entries.push_back(entry);
    routes.push_back(std::move(route));
  }
  generation_ = answer["generation"].asUInt64();
  if (whole) {
    for (auto& [id, route] : routes_) route.state = WorkerState::kGone;
  }
  for (std::size_t i = 0; i < routes.size(); ++i) {
    Route& kept = routes_[out.entries[i].id];
    if (routes[i].address.sin_port == 0) routes[i].address = kept.address;  // a change may leave it out
    Route& told = routes[i];
    const bool heard_before = !kept.name.empty() && kept.reported_start == told.reported_start;
    if (!heard_before) DateStart(told, now);
    // Guards a cold target against a list that is older than others' word of its start.
    const bool heard_later = kept.observed_start > told.entry.claimed_started_at;
    if (heard_before || heard_later) {
      told.entry.started_at = kept.entry.started_at;
      told.entry.claimed_started_at = kept.entry.claimed_started_at;
      told.observed_start = kept.observed_start;
    }
    out.entries[i] = told.entry;
    kept = std::move(told);
  }
  return out;
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
  std::map<core::TargetId, Route*> listed;  // the order of a hash table must not show
  for (auto& [id, route] : routes_) listed.emplace(id, &route);
  core::RoutesChanged out;
  for (auto& [id, route] : listed) {
    route->entry.state = route->state;
    if (groups_) route->entry.groups = groups_(route->zone, route->kind, route->labels);
    out.entries.push_back(route->entry);
  }
  return out;
}

core::RoutesChanged RouteTable::FullList() {
  core::RoutesChanged out = RefreshGroups();
  out.kind = core::ListKind::kWhole;
  std::erase_if(out.entries, [](const WorkerEntry& e) { return e.state == WorkerState::kGone; });
  return out;
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

// FNV-1a of the name, so that every scheduler gives a target the same number; stepped on where two names
// meet, so that none is taken for the other.
// FNV-1a.
core::TargetId RouteTable::DefaultIdOf(const std::string& name) {
  core::TargetId id = 0xcbf29ce484222325ULL;
  for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return id;
}

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
