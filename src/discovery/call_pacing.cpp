#include "src/discovery/call_pacing.h"

#include <algorithm>

namespace heronway::discovery {

CallPacing::CallPacing(std::uint64_t seed) {
  constexpr int kWordBits = 32;
  std::seed_seq words{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> kWordBits)};
  random_.seed(words);
}

Micros CallPacing::RandomUpTo(Micros max) { return std::uniform_int_distribution<Micros>(0, max)(random_); }

Micros CallPacing::Patience() const { return std::clamp(2 * answer_time_, kPatience, kMaxPatience); }

Micros CallPacing::Hold(Micros list_valid_for) {
  const Micros drawn = kHold - RandomUpTo(kHoldSpread);
  return std::clamp(list_valid_for - answer_time_ - kHoldReserve, kShortHold, drawn);
}

Micros CallPacing::NextCallAfter(std::size_t outstanding, Micros hold) {
  const Micros least = outstanding < kMaxOutstanding ? kLateAfter : kReplaceAfter;
  return std::max(least + RandomUpTo(kLateSpread), hold + Patience());
}

Micros CallPacing::RetryAfter(Micros took, bool has_status, bool full_list) {
  const Micros regular_delay =
      std::max(kCallGap * 3 / 4 + RandomUpTo(kCallGap / 2) - took, RandomUpTo(kReopen));
  const bool first = failures_++ == 0;
  const bool quick = took < kQuickFailure && (!has_status || (full_list && first));
  quick_failures_ = quick ? quick_failures_ + 1 : 0;
  if (!quick) return regular_delay;
  constexpr int kMaxDoublings = 4;
  const Micros backoff = kQuickRetry << std::min(quick_failures_ - 1, kMaxDoublings);
  return std::min(regular_delay, backoff + RandomUpTo(backoff));
}

Micros CallPacing::SilenceLimit() const { return std::max(kSilenceLimit, kSilenceFactor * answer_time_); }

Micros CallPacing::NextCallAfterAnswer(Micros took, bool has_changes) {
  return has_changes ? 0 : std::max<Micros>(0, kLeastDistance - took);
}

void CallPacing::Answered(Micros took, Micros hold, bool held) {
  failures_ = quick_failures_ = 0;
  if (!held && took < hold) return;  // a change ended the hold: how long the rest took is unknown
  // A shorter time than lately counts by and by, as one quick answer does not show that discovery has
  // recovered.
  answer_time_ = std::max(took - hold, answer_time_ * 3 / 4);
}

void CallPacing::Reset() {
  answer_time_ = 0;
  failures_ = quick_failures_ = 0;
}

}  // namespace heronway::discovery
