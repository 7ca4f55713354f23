// The program's own further hops as a bounded share of first ones.
//
// After Finagle's RetryBudget and "Handling Overload" in Google's SRE book: each first hop deposits a share
// of a token, each further one takes a whole one. Part of each deposit goes to a purse that only the reserved
// class (the one of most worth) may spend from. A purse may go into debt by the few repeats that are decided
// under one permission; it is paid back before the next is given, so the share holds in the long run. What is
// saved up is bounded by the deposits of `keep`, so that a quiet hour does not pay for a storm.
#ifndef HERONWAY_LIMITS_RETRY_BUDGET_H_
#define HERONWAY_LIMITS_RETRY_BUDGET_H_

#include <cstdint>
#include <vector>

#include "src/limits/window.h"

namespace heronway::limits {

class RetryBudget {
 public:
  // `reserved`: the class that keeps a part; -1: none.
  RetryBudget(const RetrySettings& settings, int classes, int reserved);

  // `storm`: the class, or the whole, is in a storm: the smaller share applies.
  void FirstHop(Micros now, int job_class, bool storm);
  void FurtherHop(Micros now, int job_class);
  // A bit for each class (the last bit for all from the 63rd on): a further hop is within the budget now.
  std::uint64_t Allowed(Micros now);
  bool Allows(Micros now, int job_class);
  double tokens() const { return shared_; }
  double reserve() const { return reserve_; }

 private:
  void Refill(Micros now);

  RetrySettings settings_;
  int classes_, reserved_;
  double shared_ = 0, reserve_ = 0;
  std::vector<Window> first_, spent_;  // by class: no class spends more than its share, and half again
  Window all_first_;
  Micros filled_ = -1;
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_RETRY_BUDGET_H_
