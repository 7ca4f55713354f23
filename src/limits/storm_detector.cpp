#include "src/limits/storm_detector.h"

#include <algorithm>

namespace heronway::limits {
namespace {

constexpr double kExitFactor = 2.0 / 3;               // a level is left below this fraction of it
constexpr double kConnectionRateTimeConstant = 30e6;  // of the usual connection rate, in microseconds
constexpr Micros kConnectionRateWarmup = 10'000'000;  // the usual connection rate is not known before this
constexpr double kMissingShareWeight = 0.5;           // of the missing share when added to another signal

}  // namespace

const char* NameOf(StormState state) {
  constexpr const char* kNames[] = {"calm", "rising", "storm", "easing"};
  return kNames[static_cast<std::size_t>(state)];
}

// The names are keys and values in the log and differ from those of the enumerators.
const char* NameOf(Signal signal) {
  constexpr const char* kNames[] = {"repeats", "refusals", "failures", "reconnects", "cold"};
  return kNames[static_cast<std::size_t>(signal)];
}

StormDetector::StormDetector(const StormSettings& settings)
    : settings_(settings),
      arrivals_(settings.window),
      retries_(settings.window),
      sheds_(settings.window),
      hops_(settings.window),
      failures_(settings.window),
      connections_(settings.window) {}

void StormDetector::Arrived(Micros now, bool is_retry) {
  arrivals_.Add(now, 1);
  if (is_retry) retries_.Add(now, 1);
}

std::array<double, kSignals> StormDetector::Measure(Micros now) {
  std::array<double, kSignals> signals{};
  const double arrivals = arrivals_.Sum(now), hops = hops_.Sum(now), connections = connections_.Sum(now);
  // A few arrivals are no evidence: two of three shed do not indicate a storm.
  if (arrivals >= settings_.min_arrivals) {
    signals[0] = std::min(1.0, retries_.Sum(now) / arrivals);
    signals[1] = std::min(1.0, sheds_.Sum(now) / arrivals);
  }
  if (hops >= settings_.min_arrivals) signals[2] = std::min(1.0, failures_.Sum(now) / hops);
  const double rate = connections * 1e6 / static_cast<double>(settings_.window);
  // After the process starts every client connects anew and there is no usual rate yet.
  if (first_measured_at_ < 0) first_measured_at_ = now;
  if (now - first_measured_at_ > kConnectionRateWarmup && connections >= settings_.min_arrivals)
    signals[3] = std::clamp((rate - 2 * usual_connection_rate_) / rate, 0.0, 1.0);
  // The usual rate follows slowly, and only in the calm state, so that a storm does not raise it.
  if (state_ == StormState::kCalm) {
    if (usual_connection_rate_ < 0) usual_connection_rate_ = rate;
    const double weight =
        std::min(1.0, static_cast<double>(now - last_measured_at_) / kConnectionRateTimeConstant);
    usual_connection_rate_ += weight * (rate - usual_connection_rate_);
  }
  last_measured_at_ = now;
  const double others = *std::max_element(signals.begin(), signals.begin() + 4);
  if (missing_share_ > 0 && others >= settings_.rising * kExitFactor)
    signals[4] = std::min(1.0, others + kMissingShareWeight * missing_share_);
  return signals;
}

bool StormDetector::Update(Micros now, Change& change) {
  const auto signals = Measure(now);
  const auto largest = std::max_element(signals.begin(), signals.end());
  const double pressure = *largest;
  const bool before_storm = state_ == StormState::kCalm || state_ == StormState::kRising;
  const double current_level = state_ == StormState::kStorm ? settings_.storm : settings_.rising;
  const double next_level = state_ == StormState::kCalm ? settings_.rising : settings_.storm;
  const auto persists = [now](Micros& since, bool holds, Micros duration) {
    if (!holds) since = -1;
    if (holds && since < 0) since = now;
    return holds && now - since >= duration;
  };
  const bool rises =
      persists(above_since_, state_ != StormState::kStorm && pressure >= next_level, settings_.confirm);
  const bool falls = persists(
      below_since_, state_ != StormState::kCalm && pressure < current_level * kExitFactor, settings_.settle);
  StormState to = state_;
  if (rises) {
    to = state_ == StormState::kCalm ? StormState::kRising : StormState::kStorm;
  } else if (falls) {
    to = state_ == StormState::kStorm ? StormState::kEasing : StormState::kCalm;
  }
  if (to == state_) return false;
  if (to == StormState::kStorm && before_storm) ++storms_;  // a return from easing continues the same storm
  change = {state_, to, static_cast<Signal>(largest - signals.begin()), signals, arrivals_.Rate(now)};
  state_ = to;
  above_since_ = below_since_ = -1;
  return true;
}

}  // namespace heronway::limits
