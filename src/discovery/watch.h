// Watches discovery: one call after another on one connection.
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
  // `changed` gets each answer, empty ones too, and one kFailed when a call fails; when the next call is made
  // is this clock's to say. Where the list may not be acted on any more, it gets a whole list of nothing, and
  // once it may be again, the whole list. `seed`: schedulers that lost their watches in one moment must not
  // call again in one. `grace`: see ListLease.
  Watch(net::StreamContext& shared, RouteTable& table, const net::Address& at, std::uint64_t seed,
        Micros grace, std::function<void(core::RoutesChanged)> changed);
  // Whether the list may be acted on, as `changed` was last told.
  bool usable() const { return usable_; }
  // The same by the clock: a process that was held up may look before its timers do.
  bool Valid() const { return lease_.Valid(shared_.loop.Now()); }
  // The first call, within kStartSpread: a process that starts can act on nothing before it is answered.
  void ScheduleFirstCall() { again_.Start(Part(kStartSpread)); }
  void Start();
  void Stop();
  // When discovery answered last with what could be used; 0: it has not.
  Micros last_answer_at() const { return last_answer_at_; }
  // Turns to discovery at another address, at once: its whole list first, then the watch on it.
  void SetAddress(const net::Address& at);

  // The one clock of freshness. What discovery has counts as told 6 s later, whether or not it arrived, after
  // a call that failed or was given up as well. All times run from the beginning of a call: a silent one is
  // given up after its hold and the patience, and the next must be answered within the 6 s.
  static constexpr Micros kPropagationDeadline = ListLease::kPropagationDeadline;
  // How long discovery may hold a call that has nothing new, at most and by how much less, drawn for each
  // call; and how much longer an answer may take.
  static constexpr Micros kHold = 2'500'000, kHoldSpread = 500'000, kPatience = 2'000'000;
  static constexpr Micros kShortHold = 1'000;
  // After a call that failed, the next begins so long after it began, up to a quarter more or less; and after
  // one that took longer than that, within kReopen.
  static constexpr Micros kCallGap = 2'000'000, kReopen = 500'000;
  // A call that failed at once, and not for want of discovery's time (a status that says so), is made again
  // sooner: so long after the first such failure, twice as long after each further one, and up to twice that
  // by lot.
  static constexpr Micros kQuickFailure = 1'000'000, kQuickRetry = 150'000;
  static constexpr Micros kStartSpread = 100'000;
  static_assert(kHold + kPatience + kReopen < ListLease::kOutageValidity);
  static_assert(kHold + kPatience + kReopen < kPropagationDeadline &&
                kCallGap * 5 / 4 + kPatience < kPropagationDeadline);
  // A whole list is not held back. Until the first one of a new address is there, what it tells counts as
  // told all the same: it is asked again sooner than the module would.
  static constexpr Micros kListPatience = 1'500'000, kAskAgain = 200'000;
  static constexpr std::size_t kMostAnswer = 4 * 1024 * 1024;

 private:
  void Call();
  Micros Part(Micros most);  // drawn evenly, up to `most`
  // Why a call failed, for the log.
  enum class Failure : std::uint8_t { kConnectFailed, kEnded, kStatus, kNoAnswer, kBadMessage, kOldAnswer };
  static const char* Code(Failure failure);
  void Fail(Failure failure, std::optional<net::Reason> close = std::nullopt);
  Micros RetryAfter(Failure failure);
  CallFailure Meaning(Failure failure) const;
  bool LookAtLease();
  void LogAnswer(std::uint64_t from, const core::RoutesChanged& change) const;
  void OnConnected() override {}
  void OnData(std::string_view bytes) override;
  void OnEnd(net::Reason reason) override;

  net::StreamContext& shared_;
  RouteTable& table_;
  net::Address at_;
  std::function<void(core::RoutesChanged)> changed_;
  std::shared_ptr<net::Stream> stream_;
  std::unique_ptr<http::MessageParser> reader_;
  net::Timer patience_, again_;
  std::minstd_rand random_;
  net::Timer expiry_;  // of the lease
  ListLease lease_;
  bool usable_ = false;
  Micros last_answer_at_ = 0;
  Micros began_ = 0;         // the last call
  Micros answer_began_ = 0;  // when its answer began to arrive; 0: it did not
  int quick_failures_ = 0;   // in a row
  bool calling_ = false;
  bool moved_ = false;  // a whole list is still to come: of a new address, or after an answer out of order
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_WATCH_H_
