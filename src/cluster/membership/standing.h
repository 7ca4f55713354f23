// How much of the fleet a member sees, by its own view, damped.
#ifndef HERONWAY_CLUSTER_MEMBERSHIP_STANDING_H_
#define HERONWAY_CLUSTER_MEMBERSHIP_STANDING_H_

#include <cstddef>
#include <cstdint>

namespace heronway::cluster {

using Micros = std::int64_t;

// Against the names that are known and have not left, oneself among them.
enum class Standing : std::uint8_t {
  kWhole,     // all are there
  kMajority,  // more than half
  kMinority,  // half or fewer
  kAlone,     // oneself only, of several; or none of `join` has ever answered
};
constexpr const char* Name(Standing standing) {
  constexpr const char* kNames[] = {"whole", "majority", "minority", "alone"};
  return kNames[static_cast<int>(standing)];
}

// `present` includes oneself and whoever is only suspected.
Standing Judge(std::size_t known, std::size_t present, bool never_joined);

// A worse standing counts once it has held for `worse`, a better one for `better`: a member that is given up
// and comes back at once changes nothing, and a fleet that heals in steps is told once.
class StandingWatch {
 public:
  StandingWatch(Micros worse, Micros better) : worse_(worse), better_(better) {}
  // True where the standing in force has changed.
  bool Look(Micros now, Standing seen);
  Standing standing() const { return in_force_; }

 private:
  Micros worse_, better_;
  Standing in_force_ = Standing::kAlone, seen_ = Standing::kAlone;
  Micros seen_since_ = 0;
};

// The number of schedulers that the decision module reckons with. It follows growth at once, since then each
// may do less; it falls slowly, by at most half in `halving`, and never below `floor`. Guards cold workers
// when most of a fleet dies: the survivors' parts must not triple in one step, and a flap must not move them.
class FleetSize {
 public:
  FleetSize(int floor, Micros halving) : floor_(floor), halving_(halving), size_(floor) {}
  int Look(Micros now, int present);
  int size() const { return static_cast<int>(size_ + 0.5); }

 private:
  int floor_;
  Micros halving_;
  double size_;
  Micros at_ = -1;
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_STANDING_H_
