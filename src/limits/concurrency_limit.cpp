#include "src/limits/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace heronway::limits {
namespace {

constexpr double kFirstLimit = 64, kMostLimit = 1e5;
constexpr double kShort = 0.1, kLong = 0.005, kUsual = 0.02, kSmooth = 0.2;  // parts of one observation
constexpr double kMostRatio = 10;  // one long job must not look like a jam
constexpr double kStrengthPart = 0.05, kPerWorkerPart = 0.02;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencySettings& settings, int classes)
    : settings_(settings),
      usual_(static_cast<std::size_t>(classes)),
      limit_(std::max(kFirstLimit, settings.min_in_flight)),
      finished_(settings.rate_window) {}

void ConcurrencyLimit::Observe(double ratio, double out) {
  ratio = std::min(ratio, kMostRatio);
  short_ += kShort * (ratio - short_);
  long_ += kLong * (ratio - long_);
  // After a long overload the usual must not stay at the overload's level.
  if (long_ > 2 * short_) long_ *= 0.95;
  // Guards against a limit that grows without end on a quiet day and is no limit when it is needed.
  if (out < limit_ / 2 && short_ <= settings_.tolerance * long_) return;
  const double gradient = std::clamp(settings_.tolerance * long_ / std::max(short_, 1e-9), 0.5, 1.0);
  const double wanted = limit_ * gradient + std::sqrt(limit_);
  limit_ = std::clamp(limit_ + kSmooth * (wanted - limit_), settings_.min_in_flight, kMostLimit);
}

void ConcurrencyLimit::Finished(Micros now, int job_class, Micros time, double out, double strength,
                                bool saturated) {
  finished_.Add(now, 1);
  const auto t = static_cast<double>(std::max<Micros>(time, 1));
  Usual& usual = usual_[static_cast<std::size_t>(job_class)];
  if (usual.time <= 0) usual.time = t;
  if (mean_time_ <= 0) mean_time_ = t;
  Observe(t / usual.time, out);
  usual.time += kUsual * (t - usual.time);
  mean_time_ += kUsual * (t - mean_time_);
  usual_strength_ =
      usual_strength_ <= 0 ? strength : usual_strength_ + kStrengthPart * (strength - usual_strength_);
  const double rate = finished_.Rate(now);
  if (saturated && strength > 0) {
    const double each = rate / strength;
    per_worker_ = per_worker_ <= 0 ? each : per_worker_ + kPerWorkerPart * (each - per_worker_);
  }
}

void ConcurrencyLimit::TimedOut(Micros, int job_class, Micros time) {
  const Usual& usual = usual_[static_cast<std::size_t>(job_class)];
  if (usual.time > 0) Observe(std::max(1.0, static_cast<double>(time) / usual.time), limit_);
}

double ConcurrencyLimit::StartsPerSecond(Micros now, double strength) {
  const double rate = finished_.Rate(now);
  if (usual_strength_ <= 0 || strength <= 0) return rate;
  return rate * std::clamp(strength / usual_strength_, 0.25, 4.0);
}

double ConcurrencyLimit::CostOf(int job_class) const {
  const double time = usual_[static_cast<std::size_t>(job_class)].time;
  return time <= 0 || mean_time_ <= 0 ? 1 : std::clamp(time / mean_time_, 0.1, 10.0);
}

}  // namespace heronway::limits
