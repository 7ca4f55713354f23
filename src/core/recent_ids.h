// Remembers the ids of requests that ended recently, in bounded memory.
#ifndef HERONWAY_CORE_RECENT_IDS_H_
#define HERONWAY_CORE_RECENT_IDS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>

#include "pebblenotch/brain.h"

namespace heronway::core {

using pebblenotch::Micros;

// Ids are kept as hashes, in two groups with limits of their own: requests that no target received must not
// displace those that may have run, whose ids guard against a second run. Not thread-safe.
class RecentIds {
 public:
  // Time for which an id is kept, in microseconds.
  static constexpr Micros kRetention = 60'000'000;
  // A minute at 4,369 requests per second, in about 16 MiB.
  static constexpr std::size_t kMaxThatMayHaveRun = 262'144;
  static constexpr std::size_t kMaxThatNeverRan = 8'192;

  // Beyond the limit of its group the oldest id is forgotten.
  void Add(Micros now, const std::string& id, bool may_have_run) {
    if (Contains(id)) return;
    const std::size_t hash = HashOf(id);
    Group& group = may_have_run ? may_have_run_ : never_ran_;
    RemoveOldest(group, now, may_have_run ? kMaxThatMayHaveRun : kMaxThatNeverRan);
    group.hashes.insert(hash);
    group.ended.push_back({now, hash});
  }
  bool Contains(const std::string& id) const {
    const std::size_t hash = HashOf(id);
    return may_have_run_.hashes.contains(hash) || never_ran_.hashes.contains(hash);
  }

 private:
  struct Ended {
    Micros at;
    std::size_t hash;
  };
  struct Group {
    std::deque<Ended> ended;  // oldest first
    std::unordered_set<std::size_t> hashes;
  };
  static std::size_t HashOf(const std::string& id) { return std::hash<std::string>{}(id); }
  static void RemoveOldest(Group& group, Micros now, std::size_t limit) {
    while (!group.ended.empty() &&
           (group.ended.front().at < now - kRetention || group.ended.size() >= limit)) {
      group.hashes.erase(group.ended.front().hash);
      group.ended.pop_front();
    }
  }

  Group may_have_run_, never_ran_;
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_RECENT_IDS_H_
