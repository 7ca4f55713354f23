// Classifies how much of the fleet a member can see, and damps changes of that classification and of the
// number of schedulers.
#ifndef HERONWAY_CLUSTER_MEMBERSHIP_QUORUM_STATE_H_
#define HERONWAY_CLUSTER_MEMBERSHIP_QUORUM_STATE_H_

#include <cstddef>
#include <cstdint>

namespace heronway::cluster {

using Micros = std::int64_t;

// The share of known member names that are present. Names that have left do not count; this member does.
// Ordered from best to worst.
enum class QuorumState : std::uint8_t {
  kAllPresent,
  kMajority,  // more than half
  kMinority,  // half or fewer
  kIsolated,  // only this member of several, or no address in `join` has ever answered
};
// The name of the state in logs and console answers.
constexpr const char* Name(QuorumState state) {
  constexpr const char* kNames[] = {"whole", "majority", "minority", "alone"};
  return kNames[static_cast<int>(state)];
}

// `present` includes this member and suspected members.
QuorumState EvaluateQuorum(std::size_t known, std::size_t present, bool never_joined);

// Reports a worse state only after it has lasted for `worse_delay`, and a better one after `better_delay`: a
// member that is declared dead and returns at once changes nothing, and a fleet that recovers in steps is
// reported once. Starts in kIsolated.
class QuorumStateFilter {
 public:
  QuorumStateFilter(Micros worse_delay, Micros better_delay)
      : worse_delay_(worse_delay), better_delay_(better_delay) {}
  // Feeds the current raw state. Returns true if the reported state has changed.
  bool Observe(Micros now, QuorumState raw);
  QuorumState quorum_state() const { return reported_; }

 private:
  Micros worse_delay_, better_delay_;
  QuorumState reported_ = QuorumState::kIsolated, raw_ = QuorumState::kIsolated;
  Micros raw_since_ = 0;
};

// The number of schedulers that the decision module uses. It follows growth at once, because each scheduler
// may then do less. It falls at most by half in `halving_time`, and never below `min_size`. When most of a
// fleet dies, the survivors must not triple the load they put on cold workers in one step, and a flapping
// member must not change their shares.
class SmoothedFleetSize {
 public:
  SmoothedFleetSize(int min_size, Micros halving_time)
      : min_size_(min_size), halving_time_(halving_time), size_(min_size) {}
  // Feeds the number of present members and returns the smoothed size.
  int Observe(Micros now, int present);
  int size() const { return static_cast<int>(size_ + 0.5); }

 private:
  int min_size_;
  Micros halving_time_;
  double size_;
  Micros updated_at_ = -1;  // -1: never
};

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERSHIP_QUORUM_STATE_H_
