// The core: one reducer, `(State, Event, now) -> effects`. It knows no wire, no socket and no clock.
//
// A front turns what its wire says into events, and carries out the effects that come back, in their order.
// The reducer owns the decision module (`pebblenotch::Dispatcher`), keeps each request's hops, and is the
// only place where state changes. Terms: an egress target is a worker, a hop is one attempt, a ticket is the
// front's handle for a request (never used twice), an id is the request's name on the wire.
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

// ---- events
struct RequestArrived {
  pebblenotch::Request request;  // its `id` is the ticket; its `deadline` is when the client gives up
  std::string id;                // the name that the wire gives it; no two requests held have the same
  Micros hop_timeout = 0;        // the longest that one hop may take; 0: until the client gives up
  int max_hops = 0;              // the client wants no more than this; 0: as many as the site allows
  std::string client;            // by which a repeat is known again; empty: by nothing
  bool client_names_job = true;  // `client` names the job itself, so that to see it again is a repeat
  std::string tenant;            // whose it is, for the counts; empty: nobody's
  std::optional<durable::JobSpec> task;  // durable: taken with this, and its first round begins
  bool round = false;                    // durable: another round of a job that was taken; no client waits
  bool no_capacity = false;  // the front cannot hold it: it is refused at once, with a time to come back
};
enum class CallbackState : std::uint8_t { kStarted, kRunning, kDone, kFailed, kReturned, kLost };
struct HopCallback {  // what a target reports of a request, by the names of the wire
  std::string id;
  TargetId from = 0;
  CallbackState state = CallbackState::kStarted;
  double share = 0;
  std::string result;
  std::optional<Report> report;
};
struct HopAccepted {  // the target has said that it has it
  Ticket request = 0;
  int hop = 0;
};
struct HopEnded {  // the hop's carrier ended it: refused, broken, answered with an error
  Ticket request = 0;
  int hop = 0;
  Result result = Result::kError;
  std::optional<Report> report;
  bool rejected = false;  // the target cannot use the request itself: it never ran, and never will
};
struct HopCancelled {  // the target has been told, or cannot be
  Ticket request = 0;
  int hop = 0;
  bool never_ran = false;  // it was taken back before the target had it
};
struct ProbeEnded {
  TargetId target = 0;
  Result result = Result::kOk;
  Micros latency = 0;
  std::optional<Report> report;
};
struct IngressDisconnected {
  Ticket request = 0;
};
// Its client's connection has ended (`away`), and it may come back for the answer, or it is there again.
// While it is away what is out runs on, and nothing more is sent.
struct IngressDetached {
  Ticket request = 0;
  bool away = true;
};
struct IngressConnected {};  // a connection, with nothing on it yet
struct RoutesChanged {
  ListKind kind = ListKind::kChanges;
  std::vector<pebblenotch::WorkerEntry> entries;
};
struct Wake {};
struct DrainStarted {};
// Of durable jobs only. Such a job is known by its id throughout; a ticket is one round of it.
struct JobSubmitted {  // taken without a client that waits for its outcome
  std::string id;
  durable::JobSpec task;
};
struct RoundInvalid {  // the front can make no request of it any more
  std::string id;
};
struct TargetHeartbeat {  // a sign of life that concerns no hop by name
  TargetId target = 0;
};
struct OperatorOrder {  // of an operator's tool
  durable::OperatorCommand order;
};
struct StoreLoaded {};  // what was stored is there: the first event
struct Cordon {         // an operator's drain (`on`), or its end: no new clients, nothing else changes
  bool on = true;
};
// What this scheduler sees of its fleet, where the cluster is on: how much of it, and how many to count on.
struct FleetView {
  cluster::QuorumState standing = cluster::QuorumState::kAllPresent;
  int schedulers = 1;
};
struct TargetSuspected {  // others say that it fails: worth one probe
  TargetId target = 0;
};
struct GossipedLoad {  // what a target told another scheduler, `age` ago
  TargetId target = 0;
  Report report;
  Micros age = 0;
};
// Of durable jobs that another scheduler held, or another process of this one (see durable::JobManager's homes).
struct JobsAdopted {  // part of them; `first`: of a home
  int store_id = 0;
  bool first = false;
  durable::Micros clock_stepped_at = 0;  // what ran up to then ran by another's clock
  std::vector<std::pair<std::string, durable::Job>> jobs;
};
struct HomeClosing {  // they are to be handed back: none begins another round
  int store_id = 0;
};
struct HomeLost {  // they are another's now: nothing of them is answered from here any more
  int store_id = 0;
};
using Event =
    std::variant<RequestArrived, HopCallback, HopAccepted, HopEnded, HopCancelled, ProbeEnded,
                 IngressDisconnected, IngressDetached, IngressConnected, RoutesChanged, Wake, DrainStarted,
                 JobSubmitted, RoundInvalid, TargetHeartbeat, OperatorOrder, StoreLoaded, Cordon, FleetView,
                 TargetSuspected, GossipedLoad, JobsAdopted, HomeClosing, HomeLost>;

// ---- effects
struct SendHop {
  Ticket request;
  int hop;
  TargetId target;
  // The attempt's end. A time and no span: it may wait for a store before it leaves, and what its target is
  // told is what is left then.
  Micros until;
  bool durable = false;  // here and below: not before the records so far are stored
  int store_id = 0;      // by whose store
};
struct CancelHop {  // answered by one HopCancelled
  Ticket request;
  int hop;
  TargetId target;
  std::string id;
  bool durable = false;
  int store_id = 0;
};
struct HopCompleted {  // by its target's call-back: the carrier need not wait for an answer to the hop itself
  Ticket request;
  int hop;
};
enum class AnswerKind : std::uint8_t { kServed, kShed, kFailed, kRejected };
struct Answer {
  Ticket request;
  AnswerKind kind;
  Micros retry_after;  // 0: no advice
  std::string result;  // where served, untouched
  bool durable = false;
  Micros by = 0;  // durable: when its client has to have it
  int store_id = 0;
};
struct StartProbe {
  TargetId target;
};
struct SubscribeRoutes {};
struct WakeAt {  // replaces the one before
  Micros at;
};
struct Drained {};
struct StormChanged {  // to be told to the operators
  limits::StormChange change;
};
struct Persist {  // to the store, in this order
  std::vector<durable::Record> records;
  int store_id = 0;
};
struct StartRound {  // a round of this job is due: the front makes an RequestArrived of it, or a RoundInvalid
  std::string id;
  int store_id = 0;
};
struct Settled {  // this job has its answer, or is gone: whoever waits for it is told
  std::string id;
  int store_id = 0;
};
using Effect = std::variant<SendHop, CancelHop, HopCompleted, Answer, StartProbe, SubscribeRoutes, WakeAt,
                            Drained, StormChanged, Persist, StartRound, Settled>;

struct ClassCounts {  // of one class, by the names that the operators' figures give them
  std::uint64_t answered = 0, deferred = 0, errored = 0, sends = 0;
};
struct Counters {
  std::vector<ClassCounts> by_class;  // by the module's class index; a class not seen yet has no entry
  std::uint64_t taken = 0, hops = 0, cancelled = 0, probes = 0;
  std::uint64_t served = 0, shed = 0, failed = 0, rejected = 0, disconnected = 0;
  std::uint64_t hop_results[8] = {};  // by pebblenotch::Result
  std::uint64_t late_callbacks = 0;   // call-backs that matched no hop
  Invariants invariants;
};

class Reducer {
 public:
  // `take_limit`: a hop that its target has not taken, and of which nothing is heard, is called off after
  // this long; 0: never. `limits`: where they are enabled, the module decides by their figures, and refused
  // clients are told times of their calendar.
  // `keeper`: of durable jobs, with what was stored in it; null: there are none.
  Reducer(const pebblenotch::Settings& settings, std::uint64_t seed, Micros now, Micros take_limit = 0,
          const limits::Settings& limits = {}, std::unique_ptr<durable::JobManager> job_manager = nullptr);

  // Takes one event and appends what is to be done about it.
  void Reduce(Micros now, Event event, std::vector<Effect>& effects);

  // Requests that have no final answer yet and whose client waits for one.
  std::size_t pending() const { return held_ - rounds_; }
  // The id belongs to a request that is held, or was until of late.
  bool IsKnown(const std::string& id) const {
    return by_id_.contains(id) || recent_.contains(std::hash<std::string>{}(id));
  }
  bool IsPending(const std::string& id) const { return by_id_.contains(id); }
  bool draining() const { return drain_began_ >= 0; }
  // The times of a graceful shutdown, from its beginning.
  const StopTimes& stop_times() const { return stop_times_; }
  // A graceful shutdown has come so far that whatever arrives is refused at once.
  bool ShedsAllArrivals(Micros now) const {
    return drain_began_ >= 0 && now >= drain_began_ + stop_times_.answers_due - kAnswerMargin;
  }
  bool cordoned() const { return cordoned_; }  // by an operator: wants no new clients
  const Counters& counters() const { return counters_; }
  // Of what is broken while it acts, those of the decision module included.
  Invariants invariants() const;
  // Nothing that is held depends on it: jobs run on and are answered in every standing.
  const FleetView& fleet() const { return fleet_; }
  const pebblenotch::Dispatcher& module() const { return module_; }  // to look in; changes nothing
  const TenantTable& tenants() const { return tenants_; }
  const durable::JobManager* job_manager() const {
    return job_manager_.get();
  }                                                               // null where nothing is durable
  const limits::Limits* limits() const { return limits_.get(); }  // null where they are off

  // An answer must reach the client before it gives up; what the link and a busy core may take comes off.
  static constexpr Micros kAnswerMargin = 30'000;
  // At the deadline, how long the front has for saying what became of a hop that it calls off.
  static constexpr Micros kCancelGrace = 3'000;
  // Ids of requests that are over are remembered for so long, and so many of them at most.
  static constexpr Micros kIdRetention = 60'000'000;
  static constexpr std::size_t kMaxRetainedIds = 8192;
  // While there is a storm its watch is looked at this often, however quiet it is.
  static constexpr Micros kStormCheckInterval = 500'000;
  // What a request that cannot be held is told, where the limits know no better.
  static constexpr Micros kNoCapacityRetryAfter = 1'000'000;

 private:
  enum class HopState : std::uint8_t { kOut, kCallingOff, kEnded };
  struct Hop {
    TargetId target = 0;
    Micros sent = 0;
    HopState state = HopState::kOut;
    bool may_have_run = false;  // once it has ended
    bool taken = false;         // by the target's word, whichever way it came
    std::uint32_t epoch = 0;    // durable: of its lease
    Result called_off_as = Result::kCancelled;
  };
  struct Job {
    std::string id;
    Micros came_at = 0, deadline = 0, hop_timeout = 0;
    int max_hops = 0;
    int job_class = 0;
    TenantTable::RowIndex tenant = TenantTable::kNone;
    limits::ClientHash client = 0;
    limits::Limits::Arrival came;
    bool answered = false;
    bool away = false;                    // its client is
    bool durable = false, round = false;  // `round`: durable, and no client waits
    int store_id = 0;                     // durable
    std::vector<Hop> hops;
  };
  struct Due {
    Micros at;
    Ticket request;  // 0: a timer: by `hop` 0 the module's, 1 and 2 the drain's, 3 the storm watch's, 4 the
                     // keeper's
    int hop;
    std::uint32_t label;  // of the module's timer
    bool take = false;    // the hop must have been taken by now
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
  bool MayBegin(const Job& job, Micros limit);

  void TellKeeper(const Job& job, int hop, const HopCallback& e);
  void OrphanNews(const HopCallback& e);
  void LookAtDurable();
  void OfferRounds();
  void LeaveIdleRounds();
  void Flush();
  void Tell(const pebblenotch::Event& event);
  void Carry(const pebblenotch::Action& action);
  void EndHop(Ticket ticket, int hop, Result result, std::optional<Report> report, bool finished);
  void CallOff(Ticket ticket, int hop, Result as);
  void FinalAnswer(Ticket ticket, AnswerKind kind, Micros retry_after, std::string result);
  void RoundOver(const Job& job, AnswerKind kind, Micros wait);
  void ForgetIfOver(Ticket ticket);
  void Release(const std::string& id);
  void AnswerAllInDrain();
  void AnswerAndGoOn(Ticket ticket);
  void LookAtStorm();
  void GiveFigures();
  Hop* FindHop(Ticket ticket, int hop);

  pebblenotch::Settings settings_;
  StopTimes stop_times_;
  pebblenotch::Dispatcher module_;
  std::unique_ptr<limits::Limits> limits_;
  std::unique_ptr<durable::JobManager> job_manager_;
  durable::Records records_;                                    // not handed to the store yet
  std::unordered_map<TargetId, durable::LeaseHolder> holders_;  // durable: where targets stand
  Micros keeper_wake_ = 0;
  Micros now_ = 0, take_limit_;
  std::vector<Effect>* effects_ = nullptr;
  std::deque<pebblenotch::Action> actions_;
  bool carrying_ = false;

  std::unordered_map<Ticket, Job> jobs_;
  std::unordered_map<std::string, Ticket> by_id_;
  std::deque<std::pair<Micros, std::size_t>> released_;  // hashes of ids, oldest first
  std::unordered_set<std::size_t> recent_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  Micros armed_ = 0;
  bool watching_ = false;  // a wake is due for the storm's watch
  std::size_t held_ = 0, hops_out_ = 0;
  std::size_t rounds_ = 0;  // of those held, no client waits
  Micros drain_began_ = -1;
  bool drained_ = false, cordoned_ = false;
  Counters counters_;
  FleetView fleet_;
  TenantTable tenants_;
};

}  // namespace heronway::core

#endif  // HERONWAY_CORE_REDUCER_H_
