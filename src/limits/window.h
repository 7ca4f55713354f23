// Sums counts over a sliding window of sixteen buckets: fixed memory, O(1) per count, safe against clock
// steps.
#ifndef HERONWAY_LIMITS_WINDOW_H_
#define HERONWAY_LIMITS_WINDOW_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "src/limits/settings.h"

namespace heronway::limits {

class Window {
 public:
  explicit Window(Micros length) : bucket_length_(std::max<Micros>(1, length / kBuckets)) {}

  void Add(Micros now, double count) {
    Advance(now);
    buckets_[current_] += count;
    sum_ += count;
  }
  // The sum over the window that ends now.
  double Sum(Micros now) {
    Advance(now);
    return sum_;
  }
  // Counts per second, over the part of the window that has elapsed since the first count.
  double Rate(Micros now) {
    Advance(now);
    if (first_count_at_ < 0) return 0;
    const Micros elapsed = std::clamp<Micros>(now - first_count_at_, bucket_length_,
                                              bucket_length_ * static_cast<Micros>(kBuckets));
    return sum_ * 1e6 / static_cast<double>(elapsed);
  }

 private:
  static constexpr std::size_t kBuckets = 16;
  // Drops expired buckets. If the clock steps forward, at most the whole window is emptied; if it steps
  // backward, the current bucket stays in use.
  void Advance(Micros now) {
    if (first_count_at_ < 0) first_count_at_ = current_start_ = now;
    for (std::size_t n = 0; now - current_start_ >= bucket_length_; ++n) {
      if (n == kBuckets) {
        current_start_ = now;
        break;
      }
      current_ = (current_ + 1) % kBuckets;
      sum_ -= buckets_[current_];
      buckets_[current_] = 0;
      current_start_ += bucket_length_;
    }
    if (sum_ < 1e-9) sum_ = 0;
  }

  Micros bucket_length_;
  Micros first_count_at_ = -1, current_start_ = 0;
  std::array<double, kBuckets> buckets_{};
  std::size_t current_ = 0;
  double sum_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_WINDOW_H_
