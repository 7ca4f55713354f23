// The route table: the targets that discovery has listed, by name, with their addresses.
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

// What the clocks of this process say at one moment, in microseconds. Both 0: startedAtMs is taken as a
// time of the process's own clock (virtual time).
struct ClockReading {
  core::Micros steady = 0;  // by which the process goes, see net::Loop::Now
  core::Micros wall = 0;    // may be wrong, and may have stepped
};

struct Route {
  std::string name;  // discovery's instanceId
  net::Address address{};
  pebblenotch::WorkerState state = pebblenotch::WorkerState::kReady;
  pebblenotch::WorkerEntry entry;  // as the module was told last
  std::string zone, kind;          // as discovery names them
  std::vector<std::string> labels;
  core::Micros reported_start = 0;  // startedAtMs, in microseconds of the wall clock of whoever told it
  core::Micros observed_start = 0;  // its last start by others' word, where that is later than the list's
};

class RouteTable {
 public:
  // The groups of targets that one with this zone, kind and labels belongs to.
  using Groups = std::function<std::uint64_t(const std::string& zone, const std::string& kind,
                                             const std::vector<std::string>& labels)>;
  RouteTable(std::vector<std::string> zones, std::vector<std::string> kinds, Groups groups = {});

  // Takes an answer of discovery, in its JSON form. `least` says what it must be taken for where it does not
  // say so itself: a list of old (kCached), a whole one, or changes. Nothing where it cannot be read, or
  // where it is changes to a list before the one that is known: then the table is as it was.
  //
  // A start that is new here counts from `now.steady`: that the process began earlier is only claimed, by two
  // wall clocks of which either may be wrong (WorkerEntry::claimed_started_at). An age beyond kTrustedAge is
  // believed.
  std::optional<core::RoutesChanged> Apply(const Json::Value& answer, core::ListKind least,
                                           const ClockReading& now = {});

  // More than a clock may be wrong by, with an hour to spare.
  static constexpr core::Micros kTrustedAge = 7'200'000'000;
  // Two readings of clocks that agree differ by less.
  static constexpr core::Micros kClockTolerance = 1'000;

  // The answer is changes, and of an earlier generation than the table's.
  bool IsOutdated(const Json::Value& answer) const;

  // Others have seen a later start of a target than the list tells. Nothing where it is not listed, or known
  // to be as late: a target is never made warmer by it.
  std::optional<core::RoutesChanged> RecordRestart(core::TargetId id, core::Micros since,
                                                   const ClockReading& now = {});
  // All that is known by name, with its groups asked for anew.
  core::RoutesChanged RefreshGroups();
  // The list as it stands.
  core::RoutesChanged FullList();

  const Route* Find(core::TargetId id) const;
  std::optional<core::TargetId> IdOf(const std::string& name) const;
  // The id that a name has in every life, unless two names share it.
  static core::TargetId DefaultIdOf(const std::string& name);
  std::uint64_t generation() const { return generation_; }
  // Another discovery counts generations of its own. What is listed stays until it has told its list.
  void ResetGeneration() { generation_ = 0; }
  bool AnyReady() const;
  std::size_t Count(pebblenotch::WorkerState state) const;  // of those listed
  // Listed now: those that a whole list left out, or a change called gone, are kept by name but not counted.
  std::size_t CountListed() const { return routes_.size() - Count(pebblenotch::WorkerState::kGone); }

 private:
  core::TargetId Intern(const std::string& name);
  static void DateStart(Route& route, const ClockReading& now);

  std::vector<std::string> zones_, kinds_;
  Groups groups_;
  std::unordered_map<std::string, core::TargetId> ids_;
  std::unordered_map<core::TargetId, Route> routes_;
  std::uint64_t generation_ = 0;
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_ROUTE_TABLE_H_
