// The route table: the targets that discovery has listed, by name, with their addresses and attributes.
#ifndef HERONWAY_DISCOVERY_ROUTE_TABLE_H_
#define HERONWAY_DISCOVERY_ROUTE_TABLE_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/reducer.h"
#include "src/net/stream.h"

namespace heronway::discovery {

// Readings of this process's clocks at one moment, in microseconds. If both are 0, startedAtMs is taken as a
// time of the process's own clock (virtual time).
struct ClockReading {
  core::Micros steady = 0;  // monotonic, see net::Loop::Now
  core::Micros wall = 0;    // may be wrong and may have been stepped
};

struct Route {
  std::string name;  // instanceId at discovery
  net::Address address{};
  pebblenotch::WorkerState state = pebblenotch::WorkerState::kReady;
  pebblenotch::WorkerEntry entry;  // as last given to the decision module
  std::string zone, kind;          // as named by discovery
  std::vector<std::string> labels;
  core::Micros reported_start = 0;  // startedAtMs in microseconds, by the reporter's wall clock
  core::Micros observed_start = 0;  // last start observed by others, if later than the listed one
};

class RouteTable {
 public:
  // Returns the target groups, one bit each, of a target with this zone, kind and labels.
  using Groups = std::function<std::uint64_t(const std::string& zone, const std::string& kind,
                                             const std::vector<std::string>& labels)>;
  RouteTable(std::vector<std::string> zones, std::vector<std::string> kinds, Groups groups = {});

  // Applies an answer of discovery in its JSON form. `least` is the kind of list to assume unless the answer
  // says that it is a reset: a cached list (kCached), a full one, or changes. Returns nothing, and leaves the
  // table unchanged, if the answer cannot be read or contains changes to an older generation than the known
  // one.
  //
  // A start time that is new to the table counts from `now.steady`: an earlier start is only a claim that
  // compares two wall clocks, either of which may be wrong (WorkerEntry::claimed_started_at). An age of
  // kTrustedAge or more is accepted.
  std::optional<core::RoutesChanged> Apply(const Json::Value& answer, core::ListKind least,
                                           const ClockReading& now = {});

  // Exceeds the largest expected clock error by an hour.
  static constexpr core::Micros kTrustedAge = 7'200'000'000;
  // Readings of two clocks that agree differ by at most this.
  static constexpr core::Micros kClockTolerance = 1'000;

  // Whether the answer contains changes and is of an earlier generation than the table's.
  bool IsOutdated(const Json::Value& answer) const;

  // Records that others observed a later start of a target than the listed one. Returns nothing if the target
  // is not listed or its known start is as late: slow start is never shortened by this.
  std::optional<core::RoutesChanged> RecordRestart(core::TargetId id, core::Micros since,
                                                   const ClockReading& now = {});
  // Recomputes the groups of all targets known by name and returns their entries.
  core::RoutesChanged RefreshGroups();
  // The current full list.
  core::RoutesChanged FullList();

  const Route* Find(core::TargetId id) const;
  std::optional<core::TargetId> IdOf(const std::string& name) const;
  // The id derived from a name alone, the same in every process unless two names collide.
  static core::TargetId DefaultIdOf(const std::string& name);
  std::uint64_t generation() const { return generation_; }
  // For a change of discovery server, which counts generations of its own. The targets stay listed until the
  // new server has sent its list.
  void ResetGeneration() { generation_ = 0; }
  bool AnyReady() const;
  std::size_t Count(pebblenotch::WorkerState state) const;  // targets in this state
  // Targets currently listed. Those that a full list omitted or a change reported as gone are kept by name
  // but not counted.
  std::size_t CountListed() const { return routes_.size() - Count(pebblenotch::WorkerState::kGone); }

 private:
  core::TargetId Intern(const std::string& name);
  static void SetStartTimes(Route& route, const ClockReading& now);

  std::vector<std::string> zones_, kinds_;
  Groups groups_;
  std::unordered_map<std::string, core::TargetId> ids_;
  std::unordered_map<core::TargetId, Route> routes_;
  std::uint64_t generation_ = 0;
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_ROUTE_TABLE_H_
