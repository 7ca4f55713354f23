// Named rate limits per key: token buckets in a table of fixed size.
//
// The table is 4-way set associative; a seeded XXH3 of rate and key selects the set. A full set evicts its
// least recently used bucket. A key whose bucket was evicted starts with a full one, in the client's favour.
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
  // `max_buckets`: a power of two, 4 to 2^22; 24 bytes each.
  RateLimits(std::size_t max_buckets, std::uint64_t seed);

  // Takes one token from the key's bucket of the limit numbered `rate`, which refills at `per_s` up to
  // `burst`. Returns 0 if there was one, otherwise the microseconds until there is. O(1), no allocation.
  Micros Take(Micros now, std::uint32_t rate, std::string_view key, double per_s, double burst);

 private:
  struct Bucket {
    std::uint64_t hash = 0;  // 0: empty
    float tokens = 0;
    Micros refilled_at = 0;
  };
  std::uint64_t seed_;
  std::vector<std::array<Bucket, 4>> sets_;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_RATE_LIMITS_H_
