// A fleet of the pure membership cores in virtual time, deterministic for a seed: links that lose, delay and
// are cut, members that stall, die and come back. No threads, no sockets, no clock.
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
    Micros period = 500'000;
    Micros forget = 24 * 3600'000'000LL;
    bool lifeguard = true;
    double loss = 0;   // of datagrams, each way
    double twice = 0;  // of datagrams that come twice
    Micros least_delay = 200, most_delay = 1'000;
    std::uint16_t join_port = 0;  // at which members are asked to join; 0: where they listen
    bool count_bytes = false;     // encodes every message
  };
  struct Node {
    std::unique_ptr<Membership> core;
    Record self;
    bool up = false;
    Micros still_until = 0;  // stopped; what comes meanwhile waits
    Micros clock_off = 0;    // of the wall clock that gives it its life
    Micros due = -1;         // its wake
    std::uint64_t run = 0;   // of the process: what is meant for an earlier one is lost
    std::uint64_t datagrams = 0, bytes = 0, exchange_bytes = 0;
  };
  explicit World(const Options& options);

  void Start(int node, std::vector<int> join = {0});
  void Kill(int node);  // without a word
  void Leave(int node) { Post(node, cluster::Leave{}); }
  void Stop(int node, Micros until) { nodes_[At(node)].still_until = until; }
  void RunUntil(Micros until, const std::function<bool()>& done = {});
  void Saw(int node, const SawWorker& saw) { Post(node, saw); }
  void Give(int node, Message message) { Post(node, Received{std::move(message)}); }

  Micros now() const { return now_; }
  Node& node(int i) { return nodes_[At(i)]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  // Whether `from` sees any life of `of` as there.
  bool Sees(int from, int of) const;
  State Seen(int from, int of) const;
  bool ViewsEqual() const;  // of all that are up
  // A datagram, or a byte of an exchange, from one to another goes through; may change in time.
  std::function<bool(int from, int to)> link = [](int, int) { return true; };
  // Called at each change of a view; and at each datagram, which it may hold back (false: it is lost).
  std::function<void(int node, const Changed&)> changed = [](int, const Changed&) {};
  std::function<void(int node, const StandingChanged&)> standing = [](int, const StandingChanged&) {};
  std::function<void(int node, const Twins&)> twins = [](int, const Twins&) {};
  std::function<void(int node, const Hint&)> hinted = [](int, const Hint&) {};
  std::function<bool(int from, int to, Message& message)> on_the_way = [](int, int, Message&) {
    return true;
  };

 private:
  struct Due {
    Micros at;
    std::uint64_t serial;
    int node;
    std::uint64_t run;
    std::shared_ptr<Event> event;  // null: its wake
    bool operator>(const Due& o) const { return at != o.at ? at > o.at : serial > o.serial; }
  };
  struct Link {
    int from, to;
    std::uint64_t from_link, to_link, from_run, to_run;
  };
  std::size_t At(int i) const { return static_cast<std::size_t>(i); }
  void Post(int node, Event event);
  void Later(Micros after, int node, Event event);
  void Carry(int node, Effect& effect);
  int NodeAt(Place at) const;
  Micros Delay();
  double Unit() { return random_() * 0x1p-32; }

  Options options_;
  pcg32 random_;
  Micros now_ = 1'000'000'000;
  std::uint64_t serial_ = 0, last_link_ = 0;
  std::vector<Node> nodes_;
  std::vector<Link> links_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_BENCH_CLUSTER_WORLD_H_
