// Named rate limits, by key: token buckets in a fixed table, however many keys there are.
//
// Four places a set, chosen by a seeded XXH3 of rate and key. In a full set the bucket that was touched
// longest ago makes room; whoever comes back for it finds a full bucket, which errs for the client.
#ifndef HERONWAY_LIMITS_RATE_LIMITS_H_
#define HERONWAY_LIMITS_RATE_LIMITS_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "src/limits/settings.h"

namespace heronway::limits {

class RateLimits {
 public:
  // `places`: a power of two, 4 to 2^22; 24 bytes each.
  RateLimits(std::size_t places, std::uint64_t seed);

  // Takes one token of the key's bucket, which fills at `per_s` up to `burst`. Gives 0 where there was one,
  // else the microseconds until there is. O(1), no allocation.
  Micros Take(Micros now, std::uint32_t rate, std::string_view key, double per_s, double burst);

 private:
  struct Place {
    std::uint64_t hash = 0;  // 0: empty
    float tokens = 0;
    Micros at = 0;
  };
  std::uint64_t seed_;
  std::vector<std::array<Place, 4>> sets_;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_RATE_LIMITS_H_
