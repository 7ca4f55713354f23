#include "src/limits/retry_budget.h"

#include <algorithm>

namespace heronway::limits {
namespace {

constexpr double kClassExcess = 2;  // a class may spend so many times its own share while the rest is quiet

}  // namespace

RetryBudget::RetryBudget(const RetrySettings& settings, int classes, int reserved)
    : settings_(settings),
      classes_(classes),
      reserved_(reserved),
      first_(static_cast<std::size_t>(classes), Window(settings.accrual_window)),
      spent_(static_cast<std::size_t>(classes), Window(settings.accrual_window)),
      all_first_(settings.accrual_window) {
  const double floor = settings_.floor_per_s;
  shared_ = floor * (1 - settings_.reserved);
  reserve_ = floor * settings_.reserved;
}

void RetryBudget::Refill(Micros now) {
  if (filled_ >= 0 && now > filled_) {
    const double passed = static_cast<double>(now - filled_) / 1e6;
    const double most_floor = settings_.floor_per_s;  // the floor is not saved up beyond one second
    const auto fill = [&](double& purse, double part) {
      const double add = settings_.floor_per_s * passed * part;
      if (purse < most_floor * part) purse = std::min(purse + add, most_floor * part);
    };
    fill(shared_, reserved_ < 0 ? 1 : 1 - settings_.reserved);
    if (reserved_ >= 0) fill(reserve_, settings_.reserved);
  }
  filled_ = std::max(filled_, now);
}

void RetryBudget::FirstHop(Micros now, int job_class, bool storm) {
  Refill(now);
  first_[static_cast<std::size_t>(job_class)].Add(now, 1);
  all_first_.Add(now, 1);
  const double share = storm ? settings_.storm_share : settings_.share;
  const double part = reserved_ < 0 ? 0 : settings_.reserved;
  // In a storm what was saved up before it is cut as well: it would all be spent at the storm's start.
  const double most = all_first_.Sum(now) * share + settings_.floor_per_s;
  shared_ = std::min(shared_ + share * (1 - part), std::max(1.0, most * (1 - part)));
  reserve_ = std::min(reserve_ + share * part, std::max(1.0, most * part));
}

void RetryBudget::FurtherHop(Micros now, int job_class) {
  Refill(now);
  spent_[static_cast<std::size_t>(job_class)].Add(now, 1);
  // The reserved class spends from the shared purse first: its own is for when the others have emptied that.
  if (job_class == reserved_ && shared_ < 1) {
    reserve_ -= 1;
  } else {
    shared_ -= 1;
  }
}

bool RetryBudget::Allows(Micros now, int job_class) {
  Refill(now);
  const auto c = static_cast<std::size_t>(job_class);
  if (job_class == reserved_ && reserve_ >= 1) return true;
  // Guards the others against a storm in one class: it may not spend what they have paid in.
  const double own = first_[c].Sum(now) * settings_.share * kClassExcess + settings_.floor_per_s;
  return shared_ >= 1 && spent_[c].Sum(now) < std::max(1.0, own);
}

std::uint64_t RetryBudget::Allowed(Micros now) {
  std::uint64_t bits = 0;
  for (int c = 0; c < classes_; ++c) {
    if (Allows(now, c)) bits |= 1ULL << std::min(c, 63);
  }
  return bits;
}

}  // namespace heronway::limits
