// Simulates a fleet of Membership cores in virtual time, deterministic for a seed: links with loss, delay and
// partitions; members that stall, die and return. Uses no threads, sockets or clock.
#ifndef HERONWAY_BENCH_CLUSTER_WORLD_H_
#define HERONWAY_BENCH_CLUSTER_WORLD_H_

#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <vector>

#include "src/cluster/membership/membership.h"

namespace heronway::cluster {

class World {
 public:
  struct Options {
    int members = 3;
    std::uint64_t seed = 1;
    Micros probe_period = 500'000;
    Micros forget_after = 24 * 3600'000'000LL;
    bool lifeguard = true;
    double loss_rate = 0;       // of datagrams, in each direction
    double duplicate_rate = 0;  // share of datagrams that are delivered twice
    Micros min_delay = 200, max_delay = 1'000;
    std::uint16_t join_port = 0;  // port used in join addresses; 0: the members' own
    bool count_bytes = false;     // encodes every message to measure its size
  };
  struct Node {
    std::unique_ptr<Membership> core;
    MemberRecord self;
    bool up = false;
    Micros paused_until = 0;  // suspended until then; events are delivered afterwards
    Micros clock_offset = 0;  // of the wall clock from which the boot id is taken
    Micros due = -1;          // the time of its next Tick; -1: none
    std::uint64_t run = 0;    // counts starts; events for an earlier run are dropped
    std::uint64_t datagrams = 0, bytes = 0, exchange_bytes = 0;
  };
  explicit World(const Options& options);

  void Start(int node, std::vector<int> join = {0});
  void Kill(int node);  // without announcing it
  void Leave(int node) { Post(node, cluster::Leave{}); }
  void Pause(int node, Micros until) { nodes_[Index(node)].paused_until = until; }
  void RunUntil(Micros until, const std::function<bool()>& done = {});
  void Observe(int node, const TargetObservation& observation) { Post(node, observation); }
  void Deliver(int node, Message message) { Post(node, Received{std::move(message)}); }

  Micros now() const { return now_; }
  Node& node(int i) { return nodes_[Index(i)]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  // Whether the newest boot of `of` is alive or suspected in the view of `from`.
  bool IsPresentInView(int from, int of) const;
  MemberState StateInView(int from, int of) const;
  bool ViewsEqual() const;  // among the members that are up
  // Whether `from` can send to `to`, by datagram or exchange; may change over time.
  std::function<bool(int from, int to)> link = [](int, int) { return true; };
  // Called for the effects of the same name. `intercept` is called for each datagram, and drops it if false.
  std::function<void(int node, const MemberChanged&)> on_member_changed = [](int, const MemberChanged&) {};
  std::function<void(int node, const QuorumStateChanged&)> on_quorum_state_changed =
      [](int, const QuorumStateChanged&) {};
  std::function<void(int node, const DuplicateName&)> on_duplicate_name = [](int, const DuplicateName&) {};
  std::function<void(int node, const TargetAdvice&)> on_advice = [](int, const TargetAdvice&) {};
  std::function<bool(int from, int to, Message& message)> intercept = [](int, int, Message&) { return true; };

 private:
  struct ScheduledEvent {
    Micros at;
    std::uint64_t serial;
    int node;
    std::uint64_t run;
    std::shared_ptr<Event> event;  // never null
    bool operator>(const ScheduledEvent& o) const { return at != o.at ? at > o.at : serial > o.serial; }
  };
  struct Link {
    int from, to;
    std::uint64_t from_link, to_link, from_run, to_run;
  };
  std::size_t Index(int i) const { return static_cast<std::size_t>(i); }
  void Post(int node, Event event);
  void Schedule(Micros after, int node, Event event);
  void Execute(int node, Effect& effect);
  int FindNode(Endpoint at) const;
  Micros Delay();
  double RandomUnit() { return random_() * 0x1p-32; }

  Options options_;
  pcg32 random_;
  Micros now_ = 1'000'000'000;
  std::uint64_t serial_ = 0, last_link_ = 0;
  std::vector<Node> nodes_;
  std::vector<Link> links_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> scheduled_;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_BENCH_CLUSTER_WORLD_H_
