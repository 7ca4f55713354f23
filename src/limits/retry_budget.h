// Limits the program's own retries (further hops of a job) to a share of first hops.
//
// Modelled on Finagle's RetryBudget and "Handling Overload" in Google's SRE book: each first hop deposits a
// share of a token, each further hop takes a whole one. Part of each deposit goes to a balance that only the
// reserved class (the most valuable one) may spend. A balance may become negative by the few retries that are
// decided under one permission; it must be positive again before the next permission, so the share holds in
// the long run. The balance is bounded by the deposits of `accrual_window`, so that a quiet hour does not pay
// for a storm.
#ifndef HERONWAY_LIMITS_RETRY_BUDGET_H_
#define HERONWAY_LIMITS_RETRY_BUDGET_H_

#include <cstdint>
#include <vector>

#include "src/limits/window.h"

namespace heronway::limits {

class RetryBudget {
 public:
  // `reserved_class`: the class that has a reserved part; -1: none.
  RetryBudget(const RetrySettings& settings, int classes, int reserved_class);

  // `storm`: the class or all traffic is in a storm, so the smaller share applies.
  void FirstHop(Micros now, int job_class, bool storm);
  void FurtherHop(Micros now, int job_class);
  // One bit per class (the last bit covers all classes from the 63rd on): set if a further hop is within the
  // budget now.
  std::uint64_t AllowedClasses(Micros now);
  // Whether a further hop of the class is within the budget now.
  bool Allows(Micros now, int job_class);
  double tokens() const { return shared_; }
  double reserve() const { return reserve_; }

 private:
  void Refill(Micros now);

  RetrySettings settings_;
  int classes_, reserved_class_;
  double shared_ = 0, reserve_ = 0;                // balances in tokens
  std::vector<Window> first_hops_, further_hops_;  // by class, which bounds what each class may spend
  Window all_first_hops_;
  Micros refilled_at_ = -1;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_RETRY_BUDGET_H_
