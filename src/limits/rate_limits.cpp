#include "src/limits/rate_limits.h"

#include <algorithm>
#include <bit>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace heronway::limits {

RateLimits::RateLimits(std::size_t max_buckets, std::uint64_t seed)
    : seed_(seed), sets_(std::bit_ceil(std::max<std::size_t>(max_buckets, 4)) / 4) {}

Micros RateLimits::Take(Micros now, std::uint32_t rate, std::string_view key, double per_s, double burst) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(key.data(), key.size(), seed_ + rate * 0x9e3779b97f4a7c15ULL) | 1;
  auto& set = sets_[(hash >> 1) & (sets_.size() - 1)];
  Bucket* bucket = std::find_if(set.begin(), set.end(), [hash](const Bucket& b) { return b.hash == hash; });
  if (bucket == set.end()) {
    bucket = std::min_element(set.begin(), set.end(),
                              [](const Bucket& a, const Bucket& b) { return a.refilled_at < b.refilled_at; });
    *bucket = {hash, static_cast<float>(burst), now};
  }
  const double elapsed_s =
      now > bucket->refilled_at ? static_cast<double>(now - bucket->refilled_at) / 1e6 : 0;
  const double tokens = std::min(burst, static_cast<double>(bucket->tokens) + elapsed_s * per_s);
  bucket->refilled_at = std::max(bucket->refilled_at, now);
  bucket->tokens = static_cast<float>(tokens >= 1 ? tokens - 1 : tokens);
  return tokens >= 1 ? 0 : static_cast<Micros>((1 - tokens) * 1e6 / per_s) + 1;
}

}  // namespace heronway::limits
