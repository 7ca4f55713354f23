// A stand-in for discovery: the list of targets, watches on it, and the ways in which it can fail or be slow.
#ifndef HERONWAY_TESTS_RIG_DISCOVERY_H_
#define HERONWAY_TESTS_RIG_DISCOVERY_H_

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "src/net/listener.h"
#include "src/net/stream.h"

namespace heronway::rig {

using net::Micros;

struct Entry {
  std::string name, at, lifecycle = "ready";
  int zone = 0;
  Micros since = 0;
};

// How long calls take at a slow discovery, beyond the time that they ask to be held.
struct Slowness {
  Micros per_call = 0, spread = 0;  // each call takes `per_call` plus a random part of `spread`
  bool one_at_a_time = false;       // calls wait for each other, also for those that their caller gave up
  bool composed_first = false;      // answers hold the list as it was before they took that long, else after
};

// The list, and watches on it.
class Discovery {
 public:
  // How calls fail. While it is down, declines, resets or is silent, discovery cannot be reached. With torn,
  // dripping or outdated answers, where only some calls fail, and where it is slow, it can.
  enum class Failure : std::uint8_t {
    kNone,
    kDown,
    kDeclines,
    kResets,
    kSilent,
    kTorn,
    kDrips,
    kOutdated,
    kSlow,
    kSomeFail
  };
  // `callers`: so many processes call each at an address of its own, so that it is known who is told what.
  // `sites`: so many addresses has each caller, as for a discovery that moves.
  Discovery(net::StreamContext& shared, std::uint64_t seed = 1, int callers = 0, int sites = 1);
  ~Discovery();
  void Tell(const Entry& entry);  // to all that watch, at once
  void Fail(Failure failure);     // from now on
  // How slow a site is while `failure` is kSlow.
  void SetSlowness(int site, const Slowness& slowness) {
    slowness_[static_cast<std::size_t>(site)] = slowness;
  }
  std::string Known() const;  // the list as configuration has it
  std::string address() const { return net::ToText(at_); }
  std::string address(int caller, int site = 0) const {
    return net::ToText(doors_[static_cast<std::size_t>(site * callers_ + caller)].at);
  }
  // When a change made at `changed` counts as told to a caller at the latest: at once to who watches, while
  // all is well. Who has no watch, as its last call failed, is told by the answer to its next one, and 6 s
  // after the change if that has not come by then. `caller` -1: one that watches.
  Micros CountsAsTold(Micros changed, int caller = -1) const;
  // What it was told of a server lately, a line each: when, and as what.
  std::string StoryOf(const std::string& name) const;
  int calls() const { return calls_; }
  int abandoned() const { return abandoned_; }  // calls whose caller left before they were answered

 private:
  struct Link;
  bool reachable() const;
  void Listen();
  void Troubled(int caller);
  void Well(int caller);
  void WatchEnded(const Link& link);
  Micros TimeFor(int site);
  std::string Answer(std::uint64_t from) const;
  net::StreamContext& shared_;
  pcg32 random_;
  int callers_;
  std::map<std::string, std::pair<Entry, std::uint64_t>> entries_;  // with the generation that changed it
  std::map<std::string, std::deque<std::pair<Micros, std::string>>> stories_;
  std::uint64_t generation_ = 1;
  Failure failure_ = Failure::kNone;
  Micros reachable_since_ = 0, healthy_since_ = 0;
  std::list<std::shared_ptr<Link>> links_;
  // Of a caller, from a call that failed or the end of its watch until the next call that is served; `until`
  // 0: not yet.
  struct Trouble {
    Micros from, until;
  };
  struct Door {
    net::Address at{};
    std::unique_ptr<net::Listener> listener;
  };
  std::unique_ptr<net::Listener> ListenAt(net::Address& at, int door);
  net::Address at_{};
  std::unique_ptr<net::Listener> listener_;
  std::vector<Door> doors_;                    // by site and caller
  std::vector<std::deque<Trouble>> troubles_;  // by caller
  std::vector<Slowness> slowness_;             // by site
  std::vector<Micros> busy_until_;             // by site
  int calls_ = 0, abandoned_ = 0;
};

}  // namespace heronway::rig

#endif  // HERONWAY_TESTS_RIG_DISCOVERY_H_
