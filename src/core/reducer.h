// The scheduling core: a reducer `(State, Event, now) -> effects` without wire protocol, I/O or clock.
//
// A front translates its wire protocol into events and executes the returned effects in order. The reducer
// owns the decision module (`pebblenotch::Dispatcher`) and the hops of each request, and only Reduce changes
// that state.
// Terms: an egress target is a worker in the module, and a hop is an attempt there. A ticket is the front's
// handle of a request and is never reused; an id is the name of the request on the wire. All times are in
// microseconds.
#ifndef HERONWAY_CORE_REDUCER_H_
#define HERONWAY_CORE_REDUCER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pebblenotch/brain.h"
#include "src/cluster/membership/quorum_state.h"
#include "src/core/invariants.h"
#include "src/core/recent_ids.h"
#include "src/core/stop_times.h"
#include "src/core/tenants.h"
#include "src/durable/job_manager.h"
#include "src/limits/limits.h"

namespace heronway::core {

using pebblenotch::ListKind;
using pebblenotch::Micros;
using pebblenotch::Report;
using pebblenotch::Result;
using Ticket = pebblenotch::RequestId;
using TargetId = pebblenotch::WorkerId;

// Events.

struct RequestArrived {
  pebblenotch::Request request;  // `id` is the ticket, `deadline` the time at which the client gives up
  std::string id;                // name on the wire, unique among pending requests
  Micros hop_timeout = 0;        // for each hop; 0: until the client's deadline
  int max_hops = 0;              // limit set by the client; 0: only the configured limit applies
  std::string client;            // identity by which retries are recognized; empty: none
  bool client_names_job = true;  // `client` identifies the job, so seeing it again is a retry
  std::string tenant;            // for the counters of each tenant; empty: not counted
  std::optional<durable::JobSpec> task;  // durable job to accept; this is its first round
  bool round = false;                    // a round that StartRound asked for; no client waits
  bool no_capacity = false;              // the front cannot hold it: shed immediately, with a retry delay
};
enum class CallbackState : std::uint8_t { kStarted, kRunning, kDone, kFailed, kReturned, kLost };
// A report from a target on a request that it received.
struct HopCallback {
  std::string id;
  TargetId from = 0;
  CallbackState state = CallbackState::kStarted;
  double share = 0;    // with kRunning: the part of the job that is done
  std::string result;  // with kDone: the result; with kFailed: the reason, kept with a durable job
  std::optional<Report> report;
};
struct HopAccepted {  // the target has confirmed that it received the hop
  Ticket request = 0;
  int hop = 0;
};
// The transport reports the end of a hop: the target shed it, its connection broke, or it answered an error.
struct HopEnded {
  Ticket request = 0;
  int hop = 0;
  Result result = Result::kError;
  std::optional<Report> report;
  bool rejected = false;  // the target found the request malformed; it has not run and is not retried
};
// The front has finished a CancelHop: the target was notified, or could not be.
struct HopCancelled {
  Ticket request = 0;
  int hop = 0;
  bool never_ran = false;  // cancelled before the target received it
};
struct ProbeEnded {
  TargetId target = 0;
  Result result = Result::kOk;
  Micros latency = 0;
  std::optional<Report> report;
};
// The client has disconnected for good.
struct IngressDisconnected {
  Ticket request = 0;
};
// The client's connection has ended and the client may reconnect for the answer (`away`), or it has
// reconnected (not `away`). While the client is away, hops in flight continue and no further hop is sent.
struct IngressDetached {
  Ticket request = 0;
  bool away = true;
};
struct IngressConnected {};  // a new client connection, before its first request
struct RoutesChanged {
  ListKind kind = ListKind::kChanges;
  std::vector<pebblenotch::WorkerEntry> entries;
};
struct Wake {};          // the time of the last WakeAt has come
struct DrainStarted {};  // the process shuts down gracefully
// The following concern durable jobs. A job keeps its id from start to end; each of its rounds has its own
// ticket.
struct JobSubmitted {  // accepted without a client that waits for the outcome
  std::string id;
  durable::JobSpec task;
};
struct RoundInvalid {  // the front can no longer build a request from the job
  std::string id;
};
struct TargetHeartbeat {  // a heartbeat that refers to no particular hop
  TargetId target = 0;
};
struct OperatorOrder {  // from an operator's tool
  durable::OperatorCommand order;
};
struct StoreLoaded {};  // recovery from the store is complete; the first event
struct Cordon {         // an operator drains this process (`on`) or reactivates it; affects readiness only
  bool on = true;
};
// This scheduler's view of the cluster: the quorum state and the number of schedulers to share targets with.
struct FleetView {
  cluster::QuorumState quorum = cluster::QuorumState::kAllPresent;
  int schedulers = 1;
};
struct TargetSuspected {  // other schedulers report that it fails; it is probed once
  TargetId target = 0;
};
struct GossipedLoad {  // load that a target reported to another scheduler `age` ago
  TargetId target = 0;
  Report report;
  Micros age = 0;
};
// A batch of durable jobs from the store of another scheduler, or of an earlier process of this one. Store
// ids are those of durable::JobManager.
struct JobsAdopted {
  int store_id = 0;
  bool first = false;                    // the first batch from this store
  durable::Micros clock_stepped_at = 0;  // runs up to this time were timed by the clock of another host
  std::vector<std::pair<std::string, durable::Job>> jobs;
};
// The jobs of this store are about to be handed back to their own scheduler; none starts another round.
struct StoreClosing {
  int store_id = 0;
};
// The jobs of this store now belong to another scheduler, and none is answered from here any more.
struct StoreLost {
  int store_id = 0;
};
using Event =
    std::variant<RequestArrived, HopCallback, HopAccepted, HopEnded, HopCancelled, ProbeEnded,
                 IngressDisconnected, IngressDetached, IngressConnected, RoutesChanged, Wake, DrainStarted,
                 JobSubmitted, RoundInvalid, TargetHeartbeat, OperatorOrder, StoreLoaded, Cordon, FleetView,
                 TargetSuspected, GossipedLoad, JobsAdopted, StoreClosing, StoreLost>;

// Effects.

struct SendHop {
  Ticket request;
  int hop;
  TargetId target;
  // The deadline of the hop. It is absolute because the hop may wait for the store; the target is sent the
  // time that remains when the hop is sent.
  Micros until;
  bool durable = false;  // in all effects: carry it out only after all earlier records are stored
  int store_id = 0;      // with `durable`: the store to wait for
};
struct CancelHop {  // the front responds with one HopCancelled
  Ticket request;
  int hop;
  TargetId target;
  std::string id;
  bool durable = false;
  int store_id = 0;
};
// The target reported the end of the hop by callback; the transport need not wait for a response.
struct HopCompleted {
  Ticket request;
  int hop;
};
enum class AnswerKind : std::uint8_t { kServed, kShed, kFailed, kRejected };
struct Answer {
  Ticket request;
  AnswerKind kind;
  Micros retry_after;  // 0: no advice
  std::string result;  // if served; passed through unchanged
  bool durable = false;
  Micros by = 0;  // with `durable`: the time by which the client must have the answer
  int store_id = 0;
};
struct StartProbe {
  TargetId target;
};
struct SubscribeRoutes {};
struct WakeAt {  // send Wake at this time; replaces the previous WakeAt
  Micros at;
};
struct Drained {};     // the graceful shutdown is complete
struct StormChanged {  // to be reported to operators
  limits::StormChange change;
};
struct Persist {  // to be stored in this order
  std::vector<durable::Record> records;
  int store_id = 0;
};
// A round of this job is due. The front responds with a RequestArrived, or with RoundInvalid.
struct StartRound {
  std::string id;
  int store_id = 0;
};
// The job has its final result or was discarded; the front notifies clients that wait for it.
struct Settled {
  std::string id;
  int store_id = 0;
};
using Effect = std::variant<SendHop, CancelHop, HopCompleted, Answer, StartProbe, SubscribeRoutes, WakeAt,
                            Drained, StormChanged, Persist, StartRound, Settled>;

struct ClassCounts {  // counters of a class, named as in the metrics
  std::uint64_t answered = 0, deferred = 0, errored = 0, sends = 0;
};
struct Counters {
  std::vector<ClassCounts> by_class;  // by class index; classes not seen yet have no entry
  std::uint64_t taken = 0, hops = 0, cancelled = 0, probes = 0;
  std::uint64_t served = 0, shed = 0, failed = 0, rejected = 0, disconnected = 0;
  std::uint64_t hop_results[8] = {};  // by pebblenotch::Result
  std::uint64_t late_callbacks = 0;   // callbacks that matched no hop
  Invariants invariants;
};

class Reducer {
 public:
  // `accept_timeout`: a hop is cancelled if its target has not confirmed it within this time; 0: never.
  // `limits`: if enabled, the limits set the module's allowances and the retry delays of shed clients.
  // `job_manager`: holds the durable jobs restored from the store; null if durable jobs are off.
  Reducer(const pebblenotch::Settings& settings, std::uint64_t seed, Micros now, Micros accept_timeout = 0,
          const limits::Settings& limits = {}, std::unique_ptr<durable::JobManager> job_manager = nullptr);

  // Processes one event and appends the resulting effects.
  void Reduce(Micros now, Event event, std::vector<Effect>& effects);

  // The number of requests without a final answer whose client waits for one.
  std::size_t pending() const { return unanswered_ - rounds_in_progress_; }
  // Whether the id belongs to an unanswered request or to one that ended recently.
  bool IsKnown(const std::string& id) const { return by_id_.contains(id) || recent_ids_.Contains(id); }
  // Whether the id belongs to an unanswered request.
  bool IsPending(const std::string& id) const { return by_id_.contains(id); }
  bool draining() const { return drain_started_at_ >= 0; }
  // The deadlines of a graceful shutdown, relative to its start.
  const StopTimes& stop_times() const { return stop_times_; }
  // Whether the graceful shutdown has come so far that every new request is shed immediately.
  bool ShedsAllArrivals(Micros now) const {
    return drain_started_at_ >= 0 && now >= drain_started_at_ + stop_times_.answers_due - kAnswerMargin;
  }
  bool cordoned() const { return cordoned_; }  // drained by an operator: not ready for new clients
  const Counters& counters() const { return counters_; }
  // The violation counts, including those found by the decision module.
  Invariants invariants() const;
  // The latest view of the cluster. Requests are served and answered in every quorum state.
  const FleetView& fleet() const { return fleet_; }
  const pebblenotch::Dispatcher& module() const { return module_; }  // for inspection
  const TenantTable& tenants() const { return tenants_; }
  // Null if durable jobs are off.
  const durable::JobManager* job_manager() const { return job_manager_.get(); }
  // Null if limits are disabled.
  const limits::Limits* limits() const { return limits_.get(); }

  // Subtracted from the client's deadline to allow for network latency and a busy CPU.
  static constexpr Micros kAnswerMargin = 30'000;
  // Time after the deadline in which the front can still report the outcome of a cancelled hop.
  static constexpr Micros kCancelGrace = 3'000;
  // Storm detection is evaluated at least this often during a storm, even without traffic.
  static constexpr Micros kStormCheckInterval = 500'000;
  // Retry delay of a request that the front cannot hold, unless the limits set another.
  static constexpr Micros kNoCapacityRetryAfter = 1'000'000;

 private:
  enum class HopState : std::uint8_t { kInFlight, kCancelling, kEnded };
  struct Hop {
    TargetId target = 0;
    Micros sent = 0;
    HopState state = HopState::kInFlight;
    bool may_have_run = false;  // valid once it has ended
    bool accepted = false;      // confirmed by the target, in a response or callback
    std::uint32_t epoch = 0;    // lease epoch, if the request is durable
    Result cancel_result = Result::kCancelled;
  };
  // A request, from its arrival until it is answered and all its hops have ended.
  struct Job {
    std::string id;
    Micros arrived_at = 0, deadline = 0, hop_timeout = 0;
    int max_hops = 0;
    int job_class = 0;
    TenantTable::RowIndex tenant = TenantTable::kNone;
    limits::ClientHash client = 0;
    limits::Limits::Arrival arrival;
    bool answered = false;
    bool away = false;                    // the client's connection has ended; it may reconnect
    bool durable = false, round = false;  // `round`: no client waits
    int store_id = 0;                     // if `durable`
    std::vector<Hop> hops;
  };
  // The kind of a timer that belongs to no hop.
  enum TimerKind : int {
    kModuleTimer,
    kEarliestExitTimer,  // of a graceful shutdown; Reduce checks whether the shutdown is complete
    kAnswersDueTimer,    // of a graceful shutdown
    kStormCheckTimer,
    kJobManagerTimer,
  };
  struct Timer {
    Micros at;
    Ticket request;           // 0: not a deadline of a hop
    int hop;                  // if `request` is 0: a TimerKind
    std::uint32_t label;      // with kModuleTimer: the label of the timer in the module
    bool acceptance = false;  // cancels the hop if its target has not confirmed it
    bool operator>(const Timer& o) const { return at > o.at; }
  };

  void On(RequestArrived& e);
  void On(HopCallback& e);
  void On(HopAccepted& e);
  void On(HopEnded& e);
  void On(HopCancelled& e);
  void On(ProbeEnded& e);
  void On(IngressDisconnected& e);
  void On(IngressDetached& e);
  void On(IngressConnected&);
  void On(RoutesChanged& e);
  void On(Wake&);
  void On(DrainStarted&);
  void On(JobSubmitted& e);
  void On(RoundInvalid& e);
  void On(TargetHeartbeat& e);
  void On(OperatorOrder& e);
  void On(StoreLoaded&);
  void On(JobsAdopted& e);
  void On(StoreClosing& e);
  void On(StoreLost& e);
  void On(Cordon& e) { cordoned_ = e.on; }
  void On(FleetView& e);
  void On(TargetSuspected& e);
  void On(GossipedLoad& e);
  ClassCounts& ClassCountsOf(int job_class);
  bool MayStartHop(const Job& job, Micros time_limit);

  void ReportToJobManager(const Job& job, int hop, const HopCallback& e);
  void HandleUnmatchedCallback(const HopCallback& e);
  void ProcessDueJobs();
  void StartDueRounds();
  void EndIdleRounds();
  void EmitRecords();
  void NotifyModule(const pebblenotch::Event& event);
  void Execute(const pebblenotch::Action& action);
  void EndHop(Ticket ticket, int hop, Result result, std::optional<Report> report, bool finished);
  void Cancel(Ticket ticket, int hop, Result reason);
  void FinalAnswer(Ticket ticket, AnswerKind kind, Micros retry_after, std::string result);
  void FinishRound(const Job& job, AnswerKind kind, Micros retry_delay);
  void EraseIfFinished(Ticket ticket);
  void RetainId(const Job& job);
  void AnswerAllForShutdown();
  void AnswerAndContinueJob(Ticket ticket);
  void CheckStorm();
  void UpdateAllowance();
  Hop* FindHop(Ticket ticket, int hop);

  pebblenotch::Settings settings_;
  StopTimes stop_times_;
  pebblenotch::Dispatcher module_;
  std::unique_ptr<limits::Limits> limits_;
  std::unique_ptr<durable::JobManager> job_manager_;
  durable::Records records_;  // to be emitted with the next Persist
  std::unordered_map<TargetId, durable::LeaseHolder> target_locations_;  // only with a job manager
  Micros job_manager_wakeup_ = 0;  // earliest kJobManagerTimer in timers_; 0: none
  Micros now_ = 0, accept_timeout_;
  std::vector<Effect>* effects_ = nullptr;
  std::deque<pebblenotch::Action> actions_;  // of the module, not executed yet
  bool executing_ = false;

  std::unordered_map<Ticket, Job> jobs_;
  std::unordered_map<std::string, Ticket> by_id_;
  RecentIds recent_ids_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  Micros armed_wakeup_ = 0;             // time of the last WakeAt; 0: none since the last Wake
  bool storm_check_scheduled_ = false;  // a kStormCheckTimer is in timers_
  std::size_t unanswered_ = 0, hops_in_flight_ = 0;
  std::size_t rounds_in_progress_ = 0;  // unanswered requests for which no client waits
  Micros drain_started_at_ = -1;        // -1: not draining
  bool drained_ = false, cordoned_ = false;
  Counters counters_;
  FleetView fleet_;
  TenantTable tenants_;
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_REDUCER_H_
