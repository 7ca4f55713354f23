// Decides when the next call to discovery is made and how long it may be held. Has no clock and no I/O.
//
// A call without an answer is not repeated in place of the first one: a slow discovery would serve both, and
// calls that are given up before they are answered can keep it busy for ever. The call stays outstanding, and
// more are made beside it on other connections in case its own is broken. How long that takes follows from
// how long answers have taken lately.
#ifndef HERONWAY_DISCOVERY_CALL_PACING_H_
#define HERONWAY_DISCOVERY_CALL_PACING_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "pebblenotch/brain.h"

namespace heronway::discovery {

using pebblenotch::Micros;

class CallPacing {
 public:
  // `seed` randomizes the times, so that schedulers that lost discovery at the same moment do not all call
  // again together, also where their seeds are consecutive numbers.
  explicit CallPacing(std::uint64_t seed);

  Micros StartDelay() { return RandomUpTo(kStartSpread); }
  // How long discovery may hold a call until there is a change, so that its answer comes while the list,
  // which expires `list_valid_for` from now unless it is confirmed, may still be acted on.
  Micros Hold(Micros list_valid_for);
  // How long after the start of a call the next one is made if none has been answered. `outstanding`: the
  // number of calls that wait for an answer, this one included, of which the latest may be held for `hold`.
  Micros NextCallAfter(std::size_t outstanding, Micros hold);
  // How long after the end of a failed call the next one is made. `took`: the time since the failed call's
  // start. `has_status`: it was answered with an HTTP status, which may mean that discovery is overloaded.
  // Where the full list is needed one such answer is followed by a quick retry, further ones are not.
  Micros RetryAfter(Micros took, bool has_status, bool full_list);
  // How long after an answer that came `took` after its call's start the next call is made.
  static Micros NextCallAfterAnswer(Micros took, bool has_changes);
  // A call was answered `took` after its start. `held`: whether discovery held it for `hold`, without a
  // change.
  void Answered(Micros took, Micros hold, bool held);
  // Discovery is another one, of which nothing is known.
  void Reset();

  // A call that is outstanding for longer than this after its hold, without a byte, shows that discovery is
  // down: slow answers come sooner.
  Micros SilenceLimit() const;
  // How long answers take beyond the time that they are held, as seen lately.
  Micros answer_time() const { return answer_time_; }

  // Calls that wait for an answer at a time. The oldest may wait in a long queue, or be lost: the calls after
  // it have to wait for as long as a slow answer takes before another call takes the place of one of them.
  static constexpr std::size_t kMaxOutstanding = 3;
  // A call is given up this long after its hold is over; longer than a queue of slow callers.
  static constexpr Micros kCallLimit = 30'000'000;
  // How long discovery may hold a call without news: kHold less a random part of kHoldSpread per call.
  static constexpr Micros kHold = 2'500'000, kHoldSpread = 500'000;
  // The least hold time: while the list is unusable, and of a call that is made beside another one.
  static constexpr Micros kShortHold = 1'000;
  // Before a second call is made, an answer may take kPatience after its hold, or twice the usual time up to
  // kMaxPatience, and kLateAfter in all.
  static constexpr Micros kPatience = 2'000'000, kMaxPatience = 8'000'000, kLateAfter = 4'000'000;
  // Changes count as known after 6 s; discovery that takes longer than kSilenceLimit, and than a multiple of
  // its usual time, for an answer cannot be reached.
  static constexpr Micros kSilenceLimit = 8'000'000;
  static constexpr int kSilenceFactor = 3;
  // While the silence lasts it is reported this often.
  static constexpr Micros kSilenceInterval = 2'000'000;
  // For answers that take a little longer than lately.
  static constexpr Micros kHoldReserve = 750'000;
  // While kMaxOutstanding calls are outstanding the second oldest is replaced by a new one this often at
  // most, so that one reaches discovery soon after it answers again.
  static constexpr Micros kReplaceAfter = 4'000'000;
  static_assert(Micros{kMaxOutstanding - 1} * kReplaceAfter >= kSilenceLimit);
  // Schedulers that were moved to a slow discovery together do not all make their next call together.
  static constexpr Micros kLateSpread = 500'000;
  // The next call after a failed one starts kCallGap, plus or minus up to a quarter, after the failed one
  // started, or within kReopen if the failed call took longer than that.
  static constexpr Micros kCallGap = 2'000'000, kReopen = 500'000;
  // A call that failed quickly, and not with an HTTP status, is retried sooner: kQuickRetry after the first
  // such failure, doubled after each further one, plus a random delay of up to the same length.
  static constexpr Micros kQuickFailure = 1'000'000, kQuickRetry = 150'000;
  // Calls of a discovery that answers without a change, in place of holding them, start at this distance. A
  // pause of up to 0.2 s between calls does not interrupt a watch.
  static constexpr Micros kLeastDistance = 100'000;
  static constexpr Micros kStartSpread = 100'000;

 private:
  Micros RandomUpTo(Micros max);  // uniform, inclusive
  Micros Patience() const;

  std::minstd_rand random_;
  Micros answer_time_ = 0;
  int failures_ = 0, quick_failures_ = 0;  // consecutive
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_CALL_PACING_H_
