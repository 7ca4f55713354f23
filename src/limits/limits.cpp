#include "src/limits/limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heronway::limits {
namespace {

// For this long after a shed the completion rate is taken as the fleet's maximum.
constexpr Micros kSaturationTime = 500'000;
constexpr double kMinRelativeChange = 0.05;  // smaller changes of a limit are not reported

int MostValuableClass(const pebblenotch::Settings& site) {
  if (site.classes.size() < 2) return -1;
  const auto best = std::max_element(site.classes.begin(), site.classes.end(),
                                     [](const auto& a, const auto& b) { return a.worth < b.worth; });
  return static_cast<int>(best - site.classes.begin());
}

bool ChangedEnough(double before, double after) {
  return std::abs(after - before) > kMinRelativeChange * std::max(std::abs(before), std::abs(after));
}

}  // namespace

Limits::Limits(const Settings& settings, const pebblenotch::Settings& site, std::uint64_t seed)
    : settings_(settings),
      clients_(settings.clients, seed),
      fleet_(site.slow_start_floor, std::max<Micros>(1, site.slow_start_time)),
      concurrency_(settings.concurrency, static_cast<int>(site.classes.size())),
      retry_budget_(settings.retries, static_cast<int>(site.classes.size()), MostValuableClass(site)),
      storm_(settings.storm),
      class_storms_(site.classes.size(), StormDetector(settings.storm)),
      new_jobs_(settings.storm.window),
      schedule_(settings.retry_schedule, seed + 1, [this](Micros at) { return RetryCapacityAt(at); }) {}

bool Limits::IsNotCalm(int job_class) const {
  const auto not_calm = [](const StormDetector& s) { return s.state() != StormState::kCalm; };
  return not_calm(storm_) || not_calm(class_storms_[static_cast<std::size_t>(job_class)]);
}

// The predicted capacity of the fleet less the load from new clients, but at least the minimum share for
// retries: otherwise a crowd of new clients could delay those that were told to wait without end.
double Limits::RetryCapacityAt(Micros at) const {
  const double capacity =
      concurrency_.JobsPerWorkerSecond() * fleet_.CapacityAt(at) * settings_.retry_schedule.capacity_share;
  return std::max(capacity - new_jobs_per_s_, capacity * settings_.retry_schedule.min_retry_share);
}

Limits::Arrival Limits::Arrived(Micros now, int job_class, ClientHash client, bool marked_retry,
                                bool names_job) {
  Arrival arrival;
  const auto known = clients_.Touch(now, client);
  arrival.is_retry = marked_retry || known.retry_at != 0 || (names_job && known.seen);
  counters_.retries += arrival.is_retry ? 1 : 0;
  storm_.Arrived(now, arrival.is_retry);
  class_storms_[static_cast<std::size_t>(job_class)].Arrived(now, arrival.is_retry);
  const double cost = concurrency_.RelativeCost(job_class);
  if (known.retry_at != 0) {
    // In the calm state there is free capacity, so an early client is treated as on time.
    arrival.early_by = storm_.state() == StormState::kCalm ? 0 : schedule_.EarlyBy(now, known.retry_at);
    if (arrival.early_by > 0) {
      arrival.return_timing = ReturnTiming::kEarly;
      ++counters_.early_retries;
      return arrival;
    }
    clients_.SetRetryTime(now, client, 0);
    if (schedule_.Claim(now, known.retry_at, cost)) arrival.return_timing = ReturnTiming::kDue;
    if (arrival.return_timing != ReturnTiming::kDue) ++counters_.oversubscribed_retries;
  } else if (client == 0 && marked_retry) {
    // An anonymous retry claims any anonymous retry time that is due. If none is due, it is early, so that
    // clients that retry at once do not go before those that wait.
    if (schedule_.ClaimAnonymous(now, cost)) {
      arrival.return_timing = ReturnTiming::kDue;
    } else if (storm_.state() != StormState::kCalm && schedule_.AnyAnonymous()) {
      arrival.return_timing = ReturnTiming::kEarly;
      ++counters_.early_retries;
      return arrival;
    }
  }
  if (arrival.return_timing == ReturnTiming::kDue) {
    ++counters_.on_time_retries;
  } else {
    new_jobs_.Add(now, cost);
  }
  return arrival;
}

Micros Limits::RequestShed(Micros now, int job_class, ClientHash client, Micros advised_wait,
                           const Arrival& arrival) {
  storm_.RequestShed(now);
  class_storms_[static_cast<std::size_t>(job_class)].RequestShed(now);
  if (arrival.early_by > 0) return arrival.early_by;  // its retry time stays as assigned
  if (arrival.return_timing == ReturnTiming::kEarly)
    return schedule_.AnonymousWait(now);  // not counted again
  last_shed_at_ = now;
  // The fleet's capacity is not known yet, so there is only the module's advice.
  if (concurrency_.JobsPerWorkerSecond() <= 0 || !fleet_.known()) return advised_wait;
  const auto reservation =
      schedule_.Reserve(now, advised_wait, concurrency_.RelativeCost(job_class), client == 0);
  ++(reservation.reserved ? counters_.scheduled_sheds : counters_.unscheduled_sheds);
  // Beyond the end of the schedule there is no reservation, but the retry time still applies, so that
  // retrying early gains nothing.
  clients_.SetRetryTime(now, client, reservation.retry_at);
  return reservation.retry_at - now;
}

void Limits::HopSent(Micros now, int job_class, bool further) {
  hops_in_flight_ += 1;
  storm_.HopSent(now);
  class_storms_[static_cast<std::size_t>(job_class)].HopSent(now);
  if (further) {
    ++counters_.further_hops;
    retry_budget_.FurtherHop(now, job_class);
  } else {
    ++counters_.first_hops;
    retry_budget_.FirstHop(now, job_class, IsNotCalm(job_class));
  }
}

void Limits::HopEnded(Micros now, int job_class, Result result, Micros duration, bool waiting) {
  const double in_flight = std::exchange(hops_in_flight_, std::max(0.0, hops_in_flight_ - 1));
  const bool failed = result == Result::kError || result == Result::kTimeout ||
                      result == Result::kConnectFailed || result == Result::kReset;
  if (failed) {
    storm_.HopFailed(now);
    class_storms_[static_cast<std::size_t>(job_class)].HopFailed(now);
  }
  if (result == Result::kTimeout) concurrency_.HopTimedOut(now, job_class, duration);
  if (result != Result::kOk) return;
  const bool saturated = waiting || (last_shed_at_ >= 0 && now - last_shed_at_ < kSaturationTime);
  concurrency_.HopCompleted(now, job_class, duration, in_flight, fleet_.CapacityAt(now), saturated);
}

void Limits::RoutesChanged(Micros now, std::span<const pebblenotch::WorkerEntry> entries, bool is_full) {
  fleet_.Apply(now, entries, is_full);
  forecast_updated_at_ = -1;  // so that the next update renews the forecast
  evaluated_at_ = -1;
}

std::optional<HostLimits> Limits::Update(Micros now) {
  HostLimits next = last_update_.value_or(HostLimits{});
  if (evaluated_at_ < 0 || now - evaluated_at_ >= kEvaluationPeriod) {
    evaluated_at_ = now;
    const double missing = fleet_.MissingShare(now), capacity = fleet_.CapacityAt(now);
    next.starts_per_s = concurrency_.StartsPerSecond(now, capacity);
    next.max_outstanding = std::floor(concurrency_.MaxInFlight());
    new_jobs_per_s_ = new_jobs_.Sum(now) * 1e6 / static_cast<double>(settings_.storm.window);
    if (forecast_updated_at_ < 0 || now - forecast_updated_at_ >= kForecastPeriod) {
      forecast_updated_at_ = now;
      schedule_.UpdateForecast(now);
    }
    const auto evaluate = [&](StormDetector& detector, int job_class) {
      detector.SetMissingShare(missing);
      StormDetector::Change change;
      if (detector.Update(now, change))
        changes_.push_back({job_class, change, missing, next.starts_per_s, schedule_.ReservedJobs(now)});
    };
    evaluate(storm_, -1);
    for (std::size_t c = 0; c < class_storms_.size(); ++c) evaluate(class_storms_[c], static_cast<int>(c));
    counters_.storms = storm_.storms();
    next.shed_late = storm_.state() == StormState::kStorm || storm_.state() == StormState::kEasing;
  }
  next.slack_share = settings_.concurrency.slack_share;
  next.retryable_classes = retry_budget_.AllowedClasses(now);
  const bool same = last_update_ && !ChangedEnough(last_update_->starts_per_s, next.starts_per_s) &&
                    !ChangedEnough(last_update_->max_outstanding, next.max_outstanding) &&
                    last_update_->shed_late == next.shed_late &&
                    last_update_->retryable_classes == next.retryable_classes;
  if (same) return std::nullopt;
  if (last_update_ && (last_update_->retryable_classes & ~next.retryable_classes) != 0)
    ++counters_.budget_exhausted;
  last_update_ = next;
  return next;
}

std::optional<StormChange> Limits::NextChange(Micros) {
  if (changes_.empty()) return std::nullopt;
  StormChange oldest = changes_.front();
  changes_.erase(changes_.begin());
  return oldest;
}

}  // namespace heronway::limits
