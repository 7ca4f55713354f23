// Gossip about targets (workers) among schedulers, so that not every scheduler has to find out by a request
// of its own that a target failed or restarted. Does no I/O and reads no clock; deterministic for a seed. It
// only advises which targets to probe; the decision module decides by the result of the probe.
//
//  - Own observations take precedence: a target that answered this scheduler after the gossiped observation
//    was made is not suspected.
//  - A report that a target fails leads to one probe, never to avoiding the target. After one observer's
//    report a few schedulers probe; after a second one all do.
//  - A restart is accepted once two independent observers agree, and it only makes a target colder. Gossip
//    never makes a target warmer than this scheduler knows it to be.
//  - A member that has just started receives a peer's own observations: failing targets, cold targets and
//    last load reports. A report of free capacity is passed to the module with its age, only for targets that
//    this scheduler has not observed itself, and from at most two peers, the second one only if it is worse.
//    A report of no free capacity leads to a probe.
//  - Facts carry their age, which grows on the way, and expire. Clocks of members are not compared.
#ifndef HERONWAY_CLUSTER_TARGET_GOSSIP_TARGET_GOSSIP_H_
#define HERONWAY_CLUSTER_TARGET_GOSSIP_TARGET_GOSSIP_H_

#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <string_view>
#include <vector>

#include "src/cluster/membership/member.h"

namespace heronway::cluster {

// What gossip from other schedulers suggests doing about a target:
// kFailing: send one probe; kStarted: treat it as cold since `since`; kLoad: use the load report, `age` old.
struct TargetAdvice {
  FactKind kind = FactKind::kFailing;
  std::uint64_t target = 0;
  Micros since = 0;  // Unix time
  Micros age = 0;
  std::uint16_t waiting = kNotReported, free = kNotReported;  // in tenths
};

class TargetGossip {
 public:
  // Facts that are older than the limit for their kind are ignored.
  static constexpr Micros kFailingMaxAge = 2'000'000;
  static constexpr Micros kStartedMaxAge = 30'000'000;    // covers slow start and a late discovery list
  static constexpr Micros kLoadMaxAge = 1'500'000;        // the module does not use older reports
  static constexpr Micros kProbeInterval = 2'000'000;     // at most one advised probe per target in this time
  static constexpr Micros kAnnounceInterval = 1'000'000;  // between announcements of the same failing target
  static constexpr std::size_t kMaxTargets = 4096, kMaxQueued = 1024;
  static constexpr int kMaxObservers = 2;           // kept and forwarded, per target and kind of fact
  static constexpr double kExpectedProbers = 8;     // mean number of schedulers that probe after one report
  static constexpr std::size_t kMaxFactBytes = 40;  // upper bound on an encoded fact in a datagram

  // `self`: the name of this scheduler.
  TargetGossip(std::string_view self, std::uint64_t seed);
  static std::uint64_t HashOf(std::string_view name);

  // Records an observation of this scheduler and queues it, unless the same was queued recently. `since`:
  // kStarted only, Unix time in microseconds.
  void RecordEvent(Micros now, FactKind kind, std::uint64_t target, Micros since = 0);
  // Records that the target answered this scheduler.
  void RecordHealthy(Micros now, std::uint64_t target);
  // Records a load report that the target sent to this scheduler, in tenths; it is not queued.
  void RecordLoad(Micros now, std::uint64_t target, std::uint16_t waiting, std::uint16_t free);
  // Appends this scheduler's own observations with their ages, for a member that has just started.
  void AppendOwnFacts(Micros now, std::vector<Fact>& out) const;
  // Handles a fact from another scheduler and appends what it suggests. `schedulers`: how many
  // schedulers share the probes.
  void HandleFact(Micros now, const Fact& fact, int schedulers, std::vector<TargetAdvice>& advice);
  // Appends queued facts that fit into `max_bytes`, with updated ages. Each fact is sent `max_sends` times.
  void Fill(Micros now, std::size_t max_bytes, int max_sends, std::vector<Fact>& out);
  bool has_queued() const { return !queue_.empty(); }
  std::size_t target_count() const { return targets_.size(); }

 private:
  // One observer's report about a target.
  struct Claim {
    std::uint64_t observer = 0;
    Micros observed_at = 0, since = 0;
  };
  struct Target {
    std::vector<Claim> claims[kFactKinds];
    // healthy_at: last answer to this scheduler; probed_at: last advised probe; -1: never.
    Micros healthy_at = -1, probed_at = -1, accepted_start = 0, last_used = 0;
    Micros announced_at[kFactKinds] = {-1, -1, -1};
    Micros load_at = -1;  // when the target last reported its load to this scheduler
    std::uint16_t waiting = kNotReported, free = kNotReported;
    int peer_loads = 0;  // load reports accepted from peers
  };
  struct QueuedFact {
    Fact fact;  // its age is as of `queued_at`
    Micros queued_at;
    int sends = 0;
  };
  void HandleLoad(Micros now, const Fact& fact, std::vector<TargetAdvice>& advice);
  Target& GetOrCreate(Micros now, std::uint64_t target);
  void Enqueue(Micros now, const Fact& fact);

  std::uint64_t self_;
  pcg32 random_;
  std::map<std::uint64_t, Target> targets_;
  std::deque<QueuedFact> queue_;  // the next one to send is at the front
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_TARGET_GOSSIP_TARGET_GOSSIP_H_
