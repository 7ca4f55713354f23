// Keeps the route table up to date by calling discovery again and again (long polling).
#ifndef HERONWAY_DISCOVERY_WATCH_H_
#define HERONWAY_DISCOVERY_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/discovery/call_pacing.h"
#include "src/discovery/connection.h"
#include "src/discovery/list_lease.h"
#include "src/discovery/route_table.h"

namespace heronway::discovery {

class Watch : public Connection::Owner {
 public:
  // `changed` receives every answer, also empty ones, and a kFailed list when a call fails or is late; this
  // class decides when the next call is made. When the list may no longer be acted on, `changed` receives an
  // empty full list, and once it may be acted on again, the full list. `seed`: see CallPacing. `grace`: see
  // ListLease.
  Watch(net::StreamContext& shared, RouteTable& table, const net::Address& address, std::uint64_t seed,
        Micros grace, std::function<void(core::RoutesChanged)> changed);
  // Whether the list may be acted on, as last reported to `changed`.
  bool usable() const { return usable_; }
  // The same according to the clock: after a stall the caller may run before this class's timers do.
  bool Valid() const { return lease_.Valid(shared_.loop.Now()); }
  // Makes the first call soon; a starting process cannot send anything before its answer.
  void ScheduleFirstCall() { next_call_.Start(pacing_.StartDelay()); }
  // Calls now unless a call is outstanding or scheduled.
  void Start();
  void Stop();
  // The earliest time at which discovery can have written its latest usable answer; 0: none yet.
  Micros last_answer_at() const { return last_answer_at_; }
  // Switches to discovery at another address at once: first requests the full list, then watches for changes.
  void SetAddress(const net::Address& address);

  // A change at discovery counts as known 6 s later, whether or not it arrived, also after calls that failed
  // or timed out. All times count from the start of a call: where one has no answer, the next is made early
  // enough to be answered within the 6 s.
  static constexpr Micros kPropagationDeadline = ListLease::kPropagationDeadline;
  static_assert(CallPacing::kHold + CallPacing::kPatience < ListLease::kOutageValidity);
  static_assert(CallPacing::kHold + CallPacing::kPatience < kPropagationDeadline &&
                CallPacing::kLateAfter + CallPacing::kLateSpread < kPropagationDeadline &&
                CallPacing::kReplaceAfter + CallPacing::kLateSpread < kPropagationDeadline &&
                CallPacing::kCallGap * 5 / 4 + CallPacing::kPatience < kPropagationDeadline);
  static constexpr std::size_t kMaxParked = 4;  // calls

 private:
  using Calls = std::vector<std::shared_ptr<Connection>>;
  void Call();
  void OnCallDue();
  void GiveUp(Calls::iterator call);
  void CloseAll(Calls& calls, net::Reason reason);
  void CloseIdle(net::Reason reason);
  void Park();
  void ResumeParked();
  void EndExpiredParked();
  std::shared_ptr<Connection> TakeConnection();
  std::shared_ptr<Connection> Release(Calls& calls, const Connection& connection);
  bool ReleaseParked(const Connection& connection);
  void NoteLateCalls();
  void NoteSilence();
  bool AnswerMayCome() const;
  bool UpdateLeaseState();
  void LogLeaseState() const;
  void LogFailure(const Connection& connection, CallError error, Micros wait) const;
  void LogAnswer(const Connection& connection, const core::RoutesChanged& change) const;
  std::optional<core::RoutesChanged> Apply(const CallRequest& call, const http::Message& answer,
                                           bool* outdated);
  void OnAnswer(Connection& connection, const http::Message& answer) override;
  void OnCallFailed(Connection& connection, CallError error) override;

  net::StreamContext& shared_;
  RouteTable& table_;
  net::Address address_;
  std::function<void(core::RoutesChanged)> changed_;
  Calls calls_;  // with a call outstanding, the oldest first
  // Calls for the full list to addresses that discovery has moved away from, the oldest first. A discovery
  // serves them in any case; where it moves back before they are answered, they are used again.
  Calls parked_;
  std::shared_ptr<Connection> idle_;  // for the next call; may be closed or null
  net::Timer next_call_, lease_expiry_;
  net::Timer silence_;  // until the calls since the last answer have had none for too long
  CallPacing pacing_;
  ListLease lease_;
  bool usable_ = false;
  ListLease::Basis basis_ = ListLease::Basis::kNone;
  Micros last_answer_at_ = 0;
  // A full list is needed next: the address changed, or an outdated answer arrived.
  bool need_full_list_ = false;
};

}  // namespace heronway::discovery

#endif  // HERONWAY_DISCOVERY_WATCH_H_
