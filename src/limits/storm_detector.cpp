#include "src/limits/storm_detector.h"

#include <algorithm>

namespace heronway::limits {
namespace {

constexpr double kLeaves = 2.0 / 3;         // of a level, under which it is left
constexpr double kUsualOver = 30e6;         // the usual rate of connections is learned over this
constexpr Micros kLearnFirst = 10'000'000;  // before that it is not known
constexpr double kColdAlong = 0.5;          // the cold share counts for this much beside other signals

}  // namespace

const char* NameOf(StormState state) {
  constexpr const char* kNames[] = {"calm", "rising", "storm", "easing"};
  return kNames[static_cast<std::size_t>(state)];
}

const char* NameOf(Signal signal) {
  constexpr const char* kNames[] = {"repeats", "refusals", "failures", "reconnects", "cold"};
  return kNames[static_cast<std::size_t>(signal)];
}

StormDetector::StormDetector(const StormSettings& settings)
    : settings_(settings),
      arrived_(settings.window),
      repeats_(settings.window),
      refused_(settings.window),
      hops_(settings.window),
      failed_(settings.window),
      connected_(settings.window) {}

void StormDetector::Arrived(Micros now, bool repeat) {
  arrived_.Add(now, 1);
  if (repeat) repeats_.Add(now, 1);
}

std::array<double, kSignals> StormDetector::Measure(Micros now) {
  std::array<double, kSignals> signals{};
  const double arrivals = arrived_.Sum(now), hops = hops_.Sum(now), connects = connected_.Sum(now);
  // Guards against a verdict on a handful: two refused out of three say nothing of a storm.
  if (arrivals >= settings_.min_arrivals) {
    signals[0] = std::min(1.0, repeats_.Sum(now) / arrivals);
    signals[1] = std::min(1.0, refused_.Sum(now) / arrivals);
  }
  if (hops >= settings_.min_arrivals) signals[2] = std::min(1.0, failed_.Sum(now) / hops);
  const double rate = connects * 1e6 / static_cast<double>(settings_.window);
  // At a start every connection is new: there is no usual rate yet.
  if (began_ < 0) began_ = now;
  if (now - began_ > kLearnFirst && connects >= settings_.min_arrivals)
    signals[3] = std::clamp((rate - 2 * usual_connects_) / rate, 0.0, 1.0);
  // The usual rate is learned slowly, and not from a storm itself.
  if (state_ == StormState::kCalm) {
    if (usual_connects_ < 0) usual_connects_ = rate;
    const double part = std::min(1.0, static_cast<double>(now - learned_) / kUsualOver);
    usual_connects_ += part * (rate - usual_connects_);
  }
  learned_ = now;
  const double others = *std::max_element(signals.begin(), signals.begin() + 4);
  if (cold_share_ > 0 && others >= settings_.rising * kLeaves)
    signals[4] = std::min(1.0, others + kColdAlong * cold_share_);
  return signals;
}

bool StormDetector::Step(Micros now, Change& change) {
  const auto signals = Measure(now);
  const auto top = std::max_element(signals.begin(), signals.end());
  const double pressure = *top;
  const bool lower_half = state_ == StormState::kCalm || state_ == StormState::kRising;
  const double here = state_ == StormState::kStorm ? settings_.storm : settings_.rising;
  const double next = state_ == StormState::kCalm ? settings_.rising : settings_.storm;
  const auto held = [now](Micros& since, bool holds, Micros how_long) {
    if (!holds) since = -1;
    if (holds && since < 0) since = now;
    return holds && now - since >= how_long;
  };
  const bool up = held(over_since_, state_ != StormState::kStorm && pressure >= next, settings_.confirm);
  const bool down =
      held(under_since_, state_ != StormState::kCalm && pressure < here * kLeaves, settings_.settle);
  StormState to = state_;
  if (up) {
    to = state_ == StormState::kCalm ? StormState::kRising : StormState::kStorm;
  } else if (down) {
    to = state_ == StormState::kStorm ? StormState::kEasing : StormState::kCalm;
  }
  if (to == state_) return false;
  if (to == StormState::kStorm && lower_half) ++storms_;  // back from easing it is the same storm
  change = {state_, to, static_cast<Signal>(top - signals.begin()), signals, arrived_.Rate(now)};
  state_ = to;
  over_since_ = under_since_ = -1;
  return true;
}

}  // namespace heronway::limits
