#include "src/limits/retry_budget.h"

#include <algorithm>

namespace heronway::limits {
namespace {

// A class may spend up to this multiple of its own share while the other classes do not spend theirs.
constexpr double kMaxClassExcess = 2;

}  // namespace

RetryBudget::RetryBudget(const RetrySettings& settings, int classes, int reserved_class)
    : settings_(settings),
      classes_(classes),
      reserved_class_(reserved_class),
      first_hops_(static_cast<std::size_t>(classes), Window(settings.accrual_window)),
      further_hops_(static_cast<std::size_t>(classes), Window(settings.accrual_window)),
      all_first_hops_(settings.accrual_window) {
  const double floor = settings_.floor_per_s;
  shared_ = floor * (1 - settings_.reserved);
  reserve_ = floor * settings_.reserved;
}

void RetryBudget::Refill(Micros now) {
  if (refilled_at_ >= 0 && now > refilled_at_) {
    const double elapsed_s = static_cast<double>(now - refilled_at_) / 1e6;
    const double max_floor = settings_.floor_per_s;  // the floor accrues for one second at most
    const auto refill = [&](double& balance, double part) {
      const double add = settings_.floor_per_s * elapsed_s * part;
      if (balance < max_floor * part) balance = std::min(balance + add, max_floor * part);
    };
    refill(shared_, reserved_class_ < 0 ? 1 : 1 - settings_.reserved);
    if (reserved_class_ >= 0) refill(reserve_, settings_.reserved);
  }
  refilled_at_ = std::max(refilled_at_, now);
}

void RetryBudget::FirstHop(Micros now, int job_class, bool storm) {
  Refill(now);
  first_hops_[static_cast<std::size_t>(job_class)].Add(now, 1);
  all_first_hops_.Add(now, 1);
  const double share = storm ? settings_.storm_share : settings_.share;
  const double part = reserved_class_ < 0 ? 0 : settings_.reserved;
  // In a storm the accrued balance is cut as well; otherwise it would all be spent at the start of the storm.
  const double max_balance = all_first_hops_.Sum(now) * share + settings_.floor_per_s;
  shared_ = std::min(shared_ + share * (1 - part), std::max(1.0, max_balance * (1 - part)));
  reserve_ = std::min(reserve_ + share * part, std::max(1.0, max_balance * part));
}

void RetryBudget::FurtherHop(Micros now, int job_class) {
  Refill(now);
  further_hops_[static_cast<std::size_t>(job_class)].Add(now, 1);
  // The reserved class uses the shared balance first and its reserve once the others have emptied that.
  if (job_class == reserved_class_ && shared_ < 1) {
    reserve_ -= 1;
  } else {
    shared_ -= 1;
  }
}

bool RetryBudget::Allows(Micros now, int job_class) {
  Refill(now);
  const auto c = static_cast<std::size_t>(job_class);
  if (job_class == reserved_class_ && reserve_ >= 1) return true;
  // A storm in one class must not spend what the other classes have deposited.
  const double class_limit =
      first_hops_[c].Sum(now) * settings_.share * kMaxClassExcess + settings_.floor_per_s;
  return shared_ >= 1 && further_hops_[c].Sum(now) < std::max(1.0, class_limit);
}

std::uint64_t RetryBudget::AllowedClasses(Micros now) {
  std::uint64_t bits = 0;
  for (int c = 0; c < classes_; ++c) {
    if (Allows(now, c)) bits |= 1ULL << std::min(c, 63);
  }
  return bits;
}

}  // namespace heronway::limits
