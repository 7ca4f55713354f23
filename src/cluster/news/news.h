// News of workers that schedulers pass each other: what one found out, the others need not find out each by
// a request of its own. Pure: no I/O, no clock, seeded. It decides only what is worth a look; the decision
// module goes on deciding, by what that look shows.
//
//  - One's own sight goes first: a worker that answered here after the news was made is not doubted.
//  - That a worker fails is a hint whoever says so: it brings about one probe, never an avoidance. With one
//    witness a few schedulers look, with a second one all do.
//  - That a worker has started anew (and so is cold) is believed of two independent witnesses that agree, and
//    makes it colder only: no news ever makes a worker warmer than this scheduler knows it.
//  - A member that has just started is told what a peer knows: which workers fail, which are cold, and what
//    they reported last. A report of room goes to the module with its age, for a worker that this scheduler
//    has not seen itself, of two peers at most, the worse one first; one of no room brings about a probe.
//  - News are dated by their age, which grows on the way; old ones are passed over. Clocks are not compared.
#ifndef HERONWAY_CLUSTER_NEWS_NEWS_H_
#define HERONWAY_CLUSTER_NEWS_NEWS_H_

#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <string_view>
#include <vector>

#include "src/cluster/membership/member.h"

namespace heronway::cluster {

// What others' news call for.
struct Hint {
  FactKind kind = FactKind::kFailing;  // kFailing: look by one probe; kStarted: cold since `since`;
  std::uint64_t target = 0;            // kLoad: a report of `age`
  Micros since = 0;
  Micros age = 0;
  std::uint16_t waiting = kUnsaid, free = kUnsaid;
};

class News {
 public:
  static constexpr Micros kFailingFresh = 2'000'000;   // age beyond which it tells nothing
  static constexpr Micros kStartedFresh = 30'000'000;  // a warm-up and a late list
  static constexpr Micros kLoadFresh = 1'500'000;      // the module believes no report longer
  static constexpr Micros kLookEvery = 2'000'000;      // one probe a target in this time, whatever comes
  static constexpr Micros kSayEvery = 1'000'000;       // the same of one target, by this scheduler
  static constexpr std::size_t kMostTargets = 4096, kMostWaiting = 1024;
  static constexpr int kWitnesses = 2;           // whose word is kept and passed on, of a target and kind
  static constexpr double kLookers = 8;          // schedulers that look at one witness's word, about
  static constexpr std::size_t kFactBytes = 40;  // of a fact in a datagram, at most

  News(std::string_view self, std::uint64_t seed);
  static std::uint64_t HashOf(std::string_view name);

  // What this scheduler found out itself. `since`: of kStarted, when, in Unix microseconds.
  void Saw(Micros now, FactKind kind, std::uint64_t target, Micros since = 0);
  void SawWell(Micros now, std::uint64_t target);  // it answered
  void SawLoad(Micros now, std::uint64_t target, std::uint16_t waiting, std::uint16_t free);
  // Appends what one that has just started may learn here: this scheduler's own sight, with its age.
  void Known(Micros now, std::vector<Fact>& out) const;
  // Appends what it calls for. `schedulers`: how many there are.
  void Heard(Micros now, const Fact& fact, int schedulers, std::vector<Hint>& hints);
  // Appends what fits into `bytes`, each fact `most_sends` times in all, aged.
  void Fill(Micros now, std::size_t bytes, int most_sends, std::vector<Fact>& out);
  bool waiting() const { return !queue_.empty(); }
  std::size_t targets() const { return targets_.size(); }

 private:
  struct Word {
    std::uint64_t witness = 0;
    Micros made = 0, since = 0;
  };
  struct Target {
    std::vector<Word> words[kFactKinds];
    Micros well = -1, looked = -1, believed = 0, touched = 0;
    Micros said[kFactKinds] = {-1, -1, -1};
    Micros reported = -1;  // to this scheduler, and what
    std::uint16_t waiting = kUnsaid, free = kUnsaid;
    int loads = 0;  // taken of others
  };
  struct Waiting {
    Fact fact;  // its age is as of `at`
    Micros at;
    int sends = 0;
  };
  void HeardLoad(Micros now, const Fact& fact, std::vector<Hint>& hints);
  Target& At(Micros now, std::uint64_t target);
  void Pass(Micros now, const Fact& fact);

  std::uint64_t self_;
  pcg32 random_;
  std::map<std::uint64_t, Target> targets_;
  std::deque<Waiting> queue_;  // the next to be sent in front
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NEWS_NEWS_H_
