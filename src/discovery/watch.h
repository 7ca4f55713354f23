// Keeps the route table up to date by calling discovery again and again (long polling) on one connection.
#ifndef HERONWAY_DISCOVERY_WATCH_H_
#define HERONWAY_DISCOVERY_WATCH_H_

#include <functional>
#include <memory>
#include <random>

#include "src/discovery/list_lease.h"
#include "src/discovery/route_table.h"
#include "src/fronts/http/message.h"
#include "src/net/stream.h"

namespace heronway::discovery {

using net::Micros;

class Watch : public net::Stream::Owner {
 public:
  // `changed` receives every answer, also empty ones, and a kFailed list when a call fails; this class
  // decides when the next call is made. When the list may no longer be acted on, `changed` receives an empty
  // full list, and once it may be acted on again, the full list. `seed` randomizes the retry times, so that
  // schedulers that lost discovery at the same moment do not all call again together. `grace`: see ListLease.
  Watch(net::StreamContext& shared, RouteTable& table, const net::Address& address, std::uint64_t seed,
        Micros grace, std::function<void(core::RoutesChanged)> changed);
  // Whether the list may be acted on, as last reported to `changed`.
  bool usable() const { return usable_; }
  // The same according to the clock: after a stall the caller may run before this class's timers do.
  bool Valid() const { return lease_.Valid(shared_.loop.Now()); }
  // Makes the first call within kStartSpread; a starting process cannot send anything before its answer.
  void ScheduleFirstCall() { next_call_.Start(RandomUpTo(kStartSpread)); }
  // Calls now unless a call is running or scheduled.
  void Start();
  void Stop();
  // When discovery last gave a usable answer; 0: never.
  Micros last_answer_at() const { return last_answer_at_; }
  // Switches to discovery at another address at once: first requests the full list, then watches for changes.
  void SetAddress(const net::Address& address);

  // The only freshness limit. A change at discovery counts as known 6 s later, whether or not it arrived,
  // also after calls that failed or timed out. All times count from the start of a call: one without an
  // answer is abandoned after its hold time plus kPatience, and the next must be answered within the 6 s.
  static constexpr Micros kPropagationDeadline = ListLease::kPropagationDeadline;
  // How long discovery may hold a call without news: kHold less a random part of kHoldSpread per call. An
  // answer may take kPatience longer than that.
  static constexpr Micros kHold = 2'500'000, kHoldSpread = 500'000, kPatience = 2'000'000;
  // The hold time while the list is unusable.
  static constexpr Micros kShortHold = 1'000;
  // The next call after a failed one starts kCallGap, plus or minus up to a quarter, after the failed one
  // started, or within kReopen if the failed call took longer than that.
  static constexpr Micros kCallGap = 2'000'000, kReopen = 500'000;
  // A call that failed quickly, and not with an HTTP status (which may mean that discovery is overloaded), is
  // retried sooner: kQuickRetry after the first such failure, doubled after each further one, plus a random
  // delay of up to the same length.
  static constexpr Micros kQuickFailure = 1'000'000, kQuickRetry = 150'000;
  static constexpr Micros kStartSpread = 100'000;
  static_assert(kHold + kPatience + kReopen < ListLease::kOutageValidity);
  static_assert(kHold + kPatience + kReopen < kPropagationDeadline &&
                kCallGap * 5 / 4 + kPatience < kPropagationDeadline);
  // Discovery does not hold a request for the full list. Its changes count as known even before the first
  // list from a new address has arrived, so failed requests for that list are retried sooner than other
  // calls.
  static constexpr Micros kListPatience = 1'500'000, kListRetryDelay = 200'000;
  static constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;

 private:
  void Call();
  Micros RandomUpTo(Micros max);  // uniform, inclusive
  // Why a call failed; Code() gives its name in the log.
  enum class Failure : std::uint8_t { kConnectFailed, kEnded, kStatus, kNoAnswer, kBadMessage, kOldAnswer };
  static const char* Code(Failure failure);
  static const char* Code(ListLease::Basis basis);
  void Fail(Failure failure, std::optional<net::Reason> close = std::nullopt);
  Micros RetryAfter(Failure failure);
  CallFailure Classify(Failure failure) const;
  bool UpdateLeaseState();
  void LogLeaseState() const;
  void LogAnswer(std::uint64_t from, const core::RoutesChanged& change) const;
  void OnConnected() override {}
  void OnData(std::string_view bytes) override;
  void OnEnd(net::Reason reason) override;

  net::StreamContext& shared_;
  RouteTable& table_;
  net::Address address_;
  std::function<void(core::RoutesChanged)> changed_;
  std::shared_ptr<net::Stream> stream_;
  std::unique_ptr<http::MessageParser> parser_;
  net::Timer call_timeout_, next_call_;
  std::minstd_rand random_;
  net::Timer lease_expiry_;
  ListLease lease_;
  bool usable_ = false;
  ListLease::Basis basis_ = ListLease::Basis::kNone;
  Micros last_answer_at_ = 0;
  Micros call_started_at_ = 0;    // of the latest call
  Micros answer_started_at_ = 0;  // when its answer began to arrive; 0: not yet
  int quick_failures_ = 0;        // consecutive
  bool calling_ = false;
  // A full list is needed next: the address changed, or an outdated answer arrived.
  bool need_full_list_ = false;
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_WATCH_H_
