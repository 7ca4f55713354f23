// Counts over a sliding window, in sixteen steps: fixed memory, O(1) for a count, whatever the clock does.
#ifndef HERONWAY_LIMITS_WINDOW_H_
#define HERONWAY_LIMITS_WINDOW_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "src/limits/settings.h"

namespace heronway::limits {

class Window {
 public:
  explicit Window(Micros length) : step_(std::max<Micros>(1, length / kSteps)) {}

  void Add(Micros now, double count) {
    Advance(now);
    steps_[at_] += count;
    sum_ += count;
  }
  // The count of the window that ends now.
  double Sum(Micros now) {
    Advance(now);
    return sum_;
  }
  // Counts a second, over the part of the window that has passed since the first count.
  double Rate(Micros now) {
    Advance(now);
    if (began_ < 0) return 0;
    const Micros covered = std::clamp<Micros>(now - began_, step_, step_ * static_cast<Micros>(kSteps));
    return sum_ * 1e6 / static_cast<double>(covered);
  }

 private:
  static constexpr std::size_t kSteps = 16;
  // Guards against a clock that steps: forward, at most the whole window is emptied; backward, the present
  // step goes on.
  void Advance(Micros now) {
    if (began_ < 0) began_ = head_ = now;
    for (std::size_t n = 0; now - head_ >= step_; ++n) {
      if (n == kSteps) {
        head_ = now;
        break;
      }
      at_ = (at_ + 1) % kSteps;
      sum_ -= steps_[at_];
      steps_[at_] = 0;
      head_ += step_;
    }
    if (sum_ < 1e-9) sum_ = 0;
  }

  Micros step_;
  Micros began_ = -1, head_ = 0;
  std::array<double, kSteps> steps_{};
  std::size_t at_ = 0;
  double sum_ = 0;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_WINDOW_H_
