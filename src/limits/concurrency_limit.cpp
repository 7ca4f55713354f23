#include "src/limits/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace heronway::limits {
namespace {

constexpr double kInitialLimit = 64, kMaxLimit = 1e5;
// Weights of one observation in the moving averages.
constexpr double kShortTermWeight = 0.1, kLongTermWeight = 0.005, kClassWeight = 0.02;
constexpr double kCapacityWeight = 0.05, kWorkerRateWeight = 0.02;
constexpr double kLimitSmoothing = 0.2;
constexpr double kMaxRatio = 10;  // a single long job must not look like congestion

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencySettings& settings, int classes)
    : settings_(settings),
      class_averages_(static_cast<std::size_t>(classes)),
      limit_(std::max(kInitialLimit, settings.min_in_flight)),
      completions_(settings.rate_window) {}

void ConcurrencyLimit::Observe(double ratio, double in_flight) {
  ratio = std::min(ratio, kMaxRatio);
  short_average_ += kShortTermWeight * (ratio - short_average_);
  long_average_ += kLongTermWeight * (ratio - long_average_);
  // After a long overload the long-term average must not stay at the level of the overload.
  if (long_average_ > 2 * short_average_) long_average_ *= 0.95;
  // Without enough traffic to test the limit it does not grow, or it would be far too large under load.
  if (in_flight < limit_ / 2 && short_average_ <= settings_.tolerance * long_average_) return;
  const double gradient =
      std::clamp(settings_.tolerance * long_average_ / std::max(short_average_, 1e-9), 0.5, 1.0);
  const double target = limit_ * gradient + std::sqrt(limit_);
  limit_ = std::clamp(limit_ + kLimitSmoothing * (target - limit_), settings_.min_in_flight, kMaxLimit);
}

void ConcurrencyLimit::HopCompleted(Micros now, int job_class, Micros duration, double in_flight,
                                    double capacity, bool saturated) {
  completions_.Add(now, 1);
  const auto elapsed = static_cast<double>(std::max<Micros>(duration, 1));
  ClassAverage& average = class_averages_[static_cast<std::size_t>(job_class)];
  if (average.duration <= 0) average.duration = elapsed;
  if (mean_duration_ <= 0) mean_duration_ = elapsed;
  Observe(elapsed / average.duration, in_flight);
  average.duration += kClassWeight * (elapsed - average.duration);
  mean_duration_ += kClassWeight * (elapsed - mean_duration_);
  usual_capacity_ =
      usual_capacity_ <= 0 ? capacity : usual_capacity_ + kCapacityWeight * (capacity - usual_capacity_);
  const double rate = completions_.Rate(now);
  if (saturated && capacity > 0) {
    const double per_worker = rate / capacity;
    jobs_per_worker_second_ =
        jobs_per_worker_second_ <= 0
            ? per_worker
            : jobs_per_worker_second_ + kWorkerRateWeight * (per_worker - jobs_per_worker_second_);
  }
}

void ConcurrencyLimit::HopTimedOut(Micros, int job_class, Micros duration) {
  const ClassAverage& average = class_averages_[static_cast<std::size_t>(job_class)];
  if (average.duration > 0) Observe(std::max(1.0, static_cast<double>(duration) / average.duration), limit_);
}

double ConcurrencyLimit::StartsPerSecond(Micros now, double capacity) {
  const double rate = completions_.Rate(now);
  if (usual_capacity_ <= 0 || capacity <= 0) return rate;
  return rate * std::clamp(capacity / usual_capacity_, 0.25, 4.0);
}

double ConcurrencyLimit::RelativeCost(int job_class) const {
  const double duration = class_averages_[static_cast<std::size_t>(job_class)].duration;
  return duration <= 0 || mean_duration_ <= 0 ? 1 : std::clamp(duration / mean_duration_, 0.1, 10.0);
}

}  // namespace heronway::limits
