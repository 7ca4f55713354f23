#include "src/limits/limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heronway::limits {
namespace {

constexpr Micros kSaturated =
    500'000;                          // after a refusal, what finishes is taken for all that the fleet can do
constexpr double kFigureStep = 0.05;  // a figure that moved by less is not told anew

int Worthiest(const pebblenotch::Settings& site) {
  if (site.classes.size() < 2) return -1;
  const auto most = std::max_element(site.classes.begin(), site.classes.end(),
                                     [](const auto& a, const auto& b) { return a.worth < b.worth; });
  return static_cast<int>(most - site.classes.begin());
}

bool Moved(double before, double after) {
  return std::abs(after - before) > kFigureStep * std::max(std::abs(before), std::abs(after));
}

}  // namespace

Limits::Limits(const Settings& settings, const pebblenotch::Settings& site, std::uint64_t seed)
    : settings_(settings),
      clients_(settings.clients, seed),
      fleet_(site.slow_start_floor, std::max<Micros>(1, site.slow_start_time)),
      intake_(settings.concurrency, static_cast<int>(site.classes.size())),
      budget_(settings.retries, static_cast<int>(site.classes.size()), Worthiest(site)),
      watch_(settings.storm),
      class_watches_(site.classes.size(), StormDetector(settings.storm)),
      newcomers_(settings.storm.window),
      calendar_(settings.retry_schedule, seed + 1, [this](Micros at) { return ReturnsAt(at); }) {}

bool Limits::Uncalm(int job_class) const {
  const auto in = [](const StormDetector& w) { return w.state() != StormState::kCalm; };
  return in(watch_) || in(class_watches_[static_cast<std::size_t>(job_class)]);
}

// What the fleet can carry then, less what newcomers bring, but never less than the returns' own part: else a
// crowd of newcomers would put off those who were asked to wait for ever.
double Limits::ReturnsAt(Micros at) const {
  const double carries =
      intake_.PerWorker() * fleet_.StrengthAt(at) * settings_.retry_schedule.capacity_share;
  return std::max(carries - newcomers_per_s_, carries * settings_.retry_schedule.min_retry_share);
}

Limits::Arrival Limits::Arrived(Micros now, int job_class, ClientHash client, bool marked, bool names_job) {
  Arrival came;
  const auto known = clients_.Touch(now, client);
  came.is_retry = marked || known.slot != 0 || (names_job && known.seen);
  counters_.retries += came.is_retry ? 1 : 0;
  watch_.Arrived(now, came.is_retry);
  class_watches_[static_cast<std::size_t>(job_class)].Arrived(now, came.is_retry);
  const double cost = intake_.CostOf(job_class);
  if (known.slot != 0) {
    // In calm a client that comes early is welcome: there is room for it.
    came.early_by = watch_.state() == StormState::kCalm ? 0 : calendar_.EarlyBy(now, known.slot);
    if (came.early_by > 0) {
      came.return_timing = ReturnTiming::kEarly;
      ++counters_.early_retries;
      return came;
    }
    clients_.SetSlot(now, client, 0);
    if (calendar_.Claim(now, known.slot, cost)) came.return_timing = ReturnTiming::kDue;
    if (came.return_timing != ReturnTiming::kDue) ++counters_.oversubscribed_retries;
  } else if (client == 0 && marked) {
    // Of those that cannot be named, some one's time has come, or nobody's: then it came early. Guards those
    // who wait against those who come again at once.
    if (calendar_.ClaimAnonymous(now, cost)) {
      came.return_timing = ReturnTiming::kDue;
    } else if (watch_.state() != StormState::kCalm && calendar_.AnyAnonymous()) {
      came.return_timing = ReturnTiming::kEarly;
      ++counters_.early_retries;
      return came;
    }
  }
  if (came.return_timing == ReturnTiming::kDue) {
    ++counters_.on_time_retries;
  } else {
    newcomers_.Add(now, cost);
  }
  return came;
}

Micros Limits::RequestShed(Micros now, int job_class, ClientHash client, Micros advice, const Arrival& came) {
  watch_.Refused(now);
  class_watches_[static_cast<std::size_t>(job_class)].Refused(now);
  if (came.early_by > 0) return came.early_by;  // its time stands as it was told
  if (came.return_timing == ReturnTiming::kEarly)
    return calendar_.AnonymousWait(now);  // and so does one without a name
  refused_ = now;
  // Nothing is known of what the fleet can carry: the module's own advice is all there is.
  if (intake_.PerWorker() <= 0 || !fleet_.known()) return advice;
  const auto booking = calendar_.Book(now, advice, intake_.CostOf(job_class), client == 0);
  ++(booking.booked ? counters_.scheduled_sheds : counters_.unscheduled_sheds);
  // Beyond the calendar's end there is no turn to give, but the time told holds: hammering gains nothing.
  clients_.SetSlot(now, client, booking.at);
  return booking.at - now;
}

void Limits::HopSent(Micros now, int job_class, bool further) {
  out_ += 1;
  watch_.HopSent(now);
  class_watches_[static_cast<std::size_t>(job_class)].HopSent(now);
  if (further) {
    ++counters_.further_hops;
    budget_.FurtherHop(now, job_class);
  } else {
    ++counters_.first_hops;
    budget_.FirstHop(now, job_class, Uncalm(job_class));
  }
}

void Limits::HopEnded(Micros now, int job_class, Result result, Micros time, bool waiting) {
  const double out = std::exchange(out_, std::max(0.0, out_ - 1));
  const bool failed = result == Result::kError || result == Result::kTimeout ||
                      result == Result::kConnectFailed || result == Result::kReset;
  if (failed) {
    watch_.HopFailed(now);
    class_watches_[static_cast<std::size_t>(job_class)].HopFailed(now);
  }
  if (result == Result::kTimeout) intake_.TimedOut(now, job_class, time);
  if (result != Result::kOk) return;
  const bool saturated = waiting || (refused_ >= 0 && now - refused_ < kSaturated);
  intake_.Finished(now, job_class, time, out, fleet_.StrengthAt(now), saturated);
}

void Limits::RoutesChanged(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool whole) {
  fleet_.Take(now, entries, whole);
  renewed_ = -1;  // the calendar follows at the next look
  looked_ = -1;
}

std::optional<HostLimits> Limits::Update(Micros now) {
  HostLimits next = given_.value_or(HostLimits{});
  if (looked_ < 0 || now - looked_ >= kLook) {
    looked_ = now;
    const double missing = fleet_.MissingShare(now), strength = fleet_.StrengthAt(now);
    next.starts_per_s = intake_.StartsPerSecond(now, strength);
    next.max_outstanding = std::floor(intake_.MostOut());
    newcomers_per_s_ = newcomers_.Sum(now) * 1e6 / static_cast<double>(settings_.storm.window);
    if (renewed_ < 0 || now - renewed_ >= kRenew) {
      renewed_ = now;
      calendar_.Renew(now);
    }
    const auto step = [&](StormDetector& watch, int job_class) {
      watch.FleetIs(missing);
      StormDetector::Change change;
      if (watch.Step(now, change))
        changes_.push_back({job_class, change, missing, next.starts_per_s, calendar_.booked(now)});
    };
    step(watch_, -1);
    for (std::size_t c = 0; c < class_watches_.size(); ++c) step(class_watches_[c], static_cast<int>(c));
    counters_.storms = watch_.storms();
    next.shed_late = watch_.state() == StormState::kStorm || watch_.state() == StormState::kEasing;
  }
  next.slack_share = settings_.concurrency.slack_share;
  next.retryable_classes = budget_.Allowed(now);
  const bool same = given_ && !Moved(given_->starts_per_s, next.starts_per_s) &&
                    !Moved(given_->max_outstanding, next.max_outstanding) &&
                    given_->shed_late == next.shed_late &&
                    given_->retryable_classes == next.retryable_classes;
  if (same) return std::nullopt;
  if (given_ && (given_->retryable_classes & ~next.retryable_classes) != 0) ++counters_.budget_exhausted;
  given_ = next;
  return next;
}

std::optional<StormChange> Limits::NextChange(Micros) {
  if (changes_.empty()) return std::nullopt;
  StormChange first = changes_.front();
  changes_.erase(changes_.begin());
  return first;
}

}  // namespace heronway::limits
