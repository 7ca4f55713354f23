// The scheduling core: a reducer `(State, Event, now) -> effects` without wire protocol, I/O or clock.
//
// A front translates its wire protocol into events and executes the returned effects in order. The reducer
// owns the decision module (`pebblenotch::Dispatcher`) and the hops of each request;
// state changes nowhere else.
// Terms: an egress target is a worker of the module, a hop is one of its attempts, a ticket is the front's
// handle of a request (never reused), an id is the name of the request on the wire. Times are microseconds.
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
#include <unordered_set>
#include <variant>
#include <vector>

#include "pebblenotch/brain.h"
#include "src/cluster/membership/quorum_state.h"
#include "src/core/invariants.h"
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
  std::string id;                // its name on the wire, unique among pending requests
  Micros hop_timeout = 0;        // for each hop; 0: until the client's deadline
  int max_hops = 0;              // the client's own limit; 0: only the configured limit applies
  std::string client;            // identity by which retries are recognized; empty: none
  bool client_names_job = true;  // `client` identifies the job, so seeing it again is a retry
  std::string tenant;            // for the counts per tenant; empty: not counted
  std::optional<durable::JobSpec> task;  // durable job: accepted with this, and its first round starts
  bool round = false;                    // another round of a durable job; no client waits
  bool no_capacity = false;              // the front cannot hold it: shed at once, with a retry delay
};
enum class CallbackState : std::uint8_t { kStarted, kRunning, kDone, kFailed, kReturned, kLost };
struct HopCallback {  // a target's report on a request, by wire names
  std::string id;
  TargetId from = 0;
  CallbackState state = CallbackState::kStarted;
  double share = 0;
  std::string result;
  std::optional<Report> report;
};
struct HopAccepted {  // the target has confirmed that it received the hop
  Ticket request = 0;
  int hop = 0;
};
struct HopEnded {  // ended by the transport: declined, connection broken, or error answer
  Ticket request = 0;
  int hop = 0;
  Result result = Result::kError;
  std::optional<Report> report;
  bool rejected = false;  // the target found the request malformed: it never ran and never will
};
struct HopCancelled {  // the target has been notified, or cannot be
  Ticket request = 0;
  int hop = 0;
  bool never_ran = false;  // it was withdrawn before the target received it
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
// The client's connection has ended (`away`), it may reconnect for the answer, or it has reconnected.
// While it is away, hops in flight continue and no further hop is sent.
struct IngressDetached {
  Ticket request = 0;
  bool away = true;
};
struct IngressConnected {};  // a new client connection, before its first request
struct RoutesChanged {
  ListKind kind = ListKind::kChanges;
  std::vector<pebblenotch::WorkerEntry> entries;
};
struct Wake {};
struct DrainStarted {};
// The following concern durable jobs. A job keeps its id throughout; a ticket stands for one of its rounds.
struct JobSubmitted {  // accepted without a client that waits for the outcome
  std::string id;
  durable::JobSpec task;
};
struct RoundInvalid {  // the front cannot build a request from the job any more
  std::string id;
};
struct TargetHeartbeat {  // a heartbeat that refers to no particular hop
  TargetId target = 0;
};
struct OperatorOrder {  // from an operator's tool
  durable::OperatorCommand order;
};
struct StoreLoaded {};  // recovery from the store is complete; the first event
struct Cordon {         // an operator's drain (`on`) or its end; affects readiness only
  bool on = true;
};
// This scheduler's view of the cluster: the quorum state and the number of schedulers to share targets with.
struct FleetView {
  cluster::QuorumState quorum = cluster::QuorumState::kAllPresent;
  int schedulers = 1;
};
struct TargetSuspected {  // other schedulers report failures of it; it gets one probe
  TargetId target = 0;
};
struct GossipedLoad {  // load that a target reported to another scheduler `age` ago
  TargetId target = 0;
  Report report;
  Micros age = 0;
};
// Durable jobs of another scheduler, or of an earlier process of this one (see durable::JobManager for store
// ids).
struct JobsAdopted {  // a batch of them; `first`: the first batch of this store
  int store_id = 0;
  bool first = false;
  durable::Micros clock_stepped_at = 0;  // runs up to then were timed by another host's clock
  std::vector<std::pair<std::string, durable::Job>> jobs;
};
struct HomeClosing {  // its jobs will be handed back: none starts another round
  int store_id = 0;
};
struct HomeLost {  // its jobs belong to another scheduler: none is answered from here any more
  int store_id = 0;
};
using Event =
    std::variant<RequestArrived, HopCallback, HopAccepted, HopEnded, HopCancelled, ProbeEnded,
                 IngressDisconnected, IngressDetached, IngressConnected, RoutesChanged, Wake, DrainStarted,
                 JobSubmitted, RoundInvalid, TargetHeartbeat, OperatorOrder, StoreLoaded, Cordon, FleetView,
                 TargetSuspected, GossipedLoad, JobsAdopted, HomeClosing, HomeLost>;

// Effects.
struct SendHop {
  Ticket request;
  int hop;
  TargetId target;
  // The hop's deadline. Absolute, because the hop may wait for the store; its target is sent the time that is
  // left when it leaves.
  Micros until;
  bool durable = false;  // here and below: wait until all records so far are stored
  int store_id = 0;      // the store that is waited for
};
struct CancelHop {  // the front answers with one HopCancelled
  Ticket request;
  int hop;
  TargetId target;
  std::string id;
  bool durable = false;
  int store_id = 0;
};
struct HopCompleted {  // by its target's callback: the transport need not wait for a response
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
  Micros by = 0;  // durable: the time by which the client must have it
  int store_id = 0;
};
struct StartProbe {
  TargetId target;
};
struct SubscribeRoutes {};
struct WakeAt {  // replaces the previous one
  Micros at;
};
struct Drained {};     // the graceful shutdown is complete
struct StormChanged {  // to be reported to the operators
  limits::StormChange change;
};
struct Persist {  // to be stored in this order
  std::vector<durable::Record> records;
  int store_id = 0;
};
struct StartRound {  // a round of this job is due: the front makes an RequestArrived of it, or a RoundInvalid
  std::string id;
  int store_id = 0;
};
struct Settled {  // the job has its answer or was discarded; waiting clients are notified
  std::string id;
  int store_id = 0;
};
using Effect = std::variant<SendHop, CancelHop, HopCompleted, Answer, StartProbe, SubscribeRoutes, WakeAt,
                            Drained, StormChanged, Persist, StartRound, Settled>;

struct ClassCounts {  // per class, under the names of the metrics
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
  // `take_limit`: a hop that its target has not confirmed in any way is cancelled after this long; 0: never.
  // `limits`: if enabled, their figures guide the module, and shed clients get times of their calendar.
  // `job_manager`: manages durable jobs, restored from the store; null if durable jobs are off.
  Reducer(const pebblenotch::Settings& settings, std::uint64_t seed, Micros now, Micros take_limit = 0,
          const limits::Settings& limits = {}, std::unique_ptr<durable::JobManager> job_manager = nullptr);

  // Processes one event and appends the resulting effects.
  void Reduce(Micros now, Event event, std::vector<Effect>& effects);

  // The number of requests without a final answer whose client waits for one.
  std::size_t pending() const { return held_ - rounds_; }
  // The id belongs to a pending request or to one that ended recently.
  bool IsKnown(const std::string& id) const {
    return by_id_.contains(id) || recent_.contains(std::hash<std::string>{}(id));
  }
  bool IsPending(const std::string& id) const { return by_id_.contains(id); }
  bool draining() const { return drain_began_ >= 0; }
  // The deadlines of a graceful shutdown, relative to its start.
  const StopTimes& stop_times() const { return stop_times_; }
  // The graceful shutdown is so far along that every arrival is shed at once.
  bool ShedsAllArrivals(Micros now) const {
    return drain_began_ >= 0 && now >= drain_began_ + stop_times_.answers_due - kAnswerMargin;
  }
  bool cordoned() const { return cordoned_; }  // drained by an operator: not ready for new clients
  const Counters& counters() const { return counters_; }
  // Violation counts, including those of the decision module.
  Invariants invariants() const;
  // Pending requests do not depend on it: they are served and answered in every quorum state.
  const FleetView& fleet() const { return fleet_; }
  const pebblenotch::Dispatcher& module() const { return module_; }  // for inspection
  const TenantTable& tenants() const { return tenants_; }
  const durable::JobManager* job_manager() const {
    return job_manager_.get();
  }                                                               // null if durable jobs are off
  const limits::Limits* limits() const { return limits_.get(); }  // null if disabled

  // Subtracted from the client's deadline, for the network and for a busy CPU.
  static constexpr Micros kAnswerMargin = 30'000;
  // At the deadline, the time that the front has to report the outcome of a cancelled hop.
  static constexpr Micros kCancelGrace = 3'000;
  // Ids of ended requests are retained this long, and at most this many.
  static constexpr Micros kIdRetention = 60'000'000;
  static constexpr std::size_t kMaxRetainedIds = 8192;
  // During a storm its watch is evaluated at least this often, even without traffic.
  static constexpr Micros kStormCheckInterval = 500'000;
  // Retry delay of a request that cannot be held, unless the limits give another.
  static constexpr Micros kNoCapacityRetryAfter = 1'000'000;

 private:
  enum class HopState : std::uint8_t { kInFlight, kCancelling, kEnded };
  struct Hop {
    TargetId target = 0;
    Micros sent = 0;
    HopState state = HopState::kInFlight;
    bool may_have_run = false;  // valid once it has ended
    bool taken = false;         // confirmed by the target, by response or callback
    std::uint32_t epoch = 0;    // durable: lease epoch
    Result cancel_result = Result::kCancelled;
  };
  struct Job {
    std::string id;
    Micros arrived_at = 0, deadline = 0, hop_timeout = 0;
    int max_hops = 0;
    int job_class = 0;
    TenantTable::RowIndex tenant = TenantTable::kNone;
    limits::ClientHash client = 0;
    limits::Limits::Arrival came;
    bool answered = false;
    bool away = false;                    // the client is detached
    bool durable = false, round = false;  // `round`: no client waits
    int store_id = 0;                     // durable
    std::vector<Hop> hops;
  };
  struct Due {
    Micros at;
    Ticket request;  // 0: a timer. `hop` then selects it: 0 module, 1 and 2 drain, 3 storm watch, 4 job
                     // manager
    int hop;
    std::uint32_t label;  // label of the module's timer
    bool take = false;    // checks that the hop was confirmed
    bool operator>(const Due& o) const { return at > o.at; }
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
  void On(HomeClosing& e);
  void On(HomeLost& e);
  void On(Cordon& e) { cordoned_ = e.on; }
  void On(FleetView& e);
  void On(TargetSuspected& e);
  void On(GossipedLoad& e);
  ClassCounts& CountsOf(int job_class);
  bool MayStartHop(const Job& job, Micros limit);

  void ReportToJobManager(const Job& job, int hop, const HopCallback& e);
  void OnUnmatchedCallback(const HopCallback& e);
  void CheckLeases();
  void StartDueRounds();
  void EndIdleRounds();
  void EmitRecords();
  void TellModule(const pebblenotch::Event& event);
  void Execute(const pebblenotch::Action& action);
  void EndHop(Ticket ticket, int hop, Result result, std::optional<Report> report, bool finished);
  void Cancel(Ticket ticket, int hop, Result as);
  void FinalAnswer(Ticket ticket, AnswerKind kind, Micros retry_after, std::string result);
  void FinishRound(const Job& job, AnswerKind kind, Micros wait);
  void ForgetIfOver(Ticket ticket);
  void RetainId(const std::string& id);
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
  durable::Records records_;                                             // not passed to Persist yet
  std::unordered_map<TargetId, durable::LeaseHolder> target_locations_;  // durable: zone and cell of targets
  Micros job_manager_wakeup_ = 0;
  Micros now_ = 0, take_limit_;
  std::vector<Effect>* effects_ = nullptr;
  std::deque<pebblenotch::Action> actions_;
  bool executing_ = false;

  std::unordered_map<Ticket, Job> jobs_;
  std::unordered_map<std::string, Ticket> by_id_;
  std::deque<std::pair<Micros, std::size_t>> released_;  // time and hash of ended ids, oldest first
  std::unordered_set<std::size_t> recent_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  Micros armed_ = 0;
  bool watching_ = false;  // a wake-up for the storm watch is scheduled
  std::size_t held_ = 0, hops_in_flight_ = 0;
  std::size_t rounds_ = 0;  // of those in held_, requests for which no client waits
  Micros drain_began_ = -1;
  bool drained_ = false, cordoned_ = false;
  Counters counters_;
  FleetView fleet_;
  TenantTable tenants_;
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_REDUCER_H_
