// Public interface of pebblenotch, the decision module of a load balancer that pushes jobs to workers.
//
// A `Dispatcher` is a deterministic state machine without I/O, clock or threads. The host passes it events in
// the order in which they happened, each with the host's clock (microseconds, never decreasing), and carries
// out the appended actions in order. The same settings, seed and events always give the same actions.
//
// Duties of the host:
//  - At start, construct one Dispatcher per node and pass it the last known worker list
//    (`ListKind::kCached`).
//  - Call `handle` from one thread at a time. Instances share nothing, so each may run on its own thread.
//  - Answer each `Push` with exactly one `Outcome`, and each `ArmTimer` with one `TimerDue` at or after its
//    time.
//  - Keep spans and pointers in events valid for the duration of the call only. Actions are values and own
//    their contents.
//  - At stop, destroy the Dispatcher. Clients have to retry the requests that it held; nothing is flushed.
#ifndef PEBBLENOTCH_BRAIN_H_
#define PEBBLENOTCH_BRAIN_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace pebblenotch {

using Micros = std::int64_t;      // times and durations, in microseconds
using RequestId = std::uint64_t;  // never reused
using WorkerId = std::uint64_t;   // opaque; a worker keeps its id when its process restarts

// Whether a request may be executed more than once: always; within `key_ttl`, while workers drop duplicates
// by key; never.
enum class Idempotency : std::uint8_t { kIdempotent, kDeduplicated, kAtMostOnce };
// The workers that share the keys by which duplicates are dropped.
enum class DedupScope : std::uint8_t { kAll, kZone, kCell };
enum class QueueOrder : std::uint8_t { kFifo, kBackfill, kPriority };
enum class WorkerState : std::uint8_t { kGone, kReady, kDraining };
// What a worker list holds: changes since the last list; all workers; all workers as last known before a
// restart; nothing, because the list could not be fetched.
enum class ListKind : std::uint8_t { kChanges, kWhole, kCached, kFailed };

// How an attempt ended.
enum class Result : std::uint8_t { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };
// True where the result proves that the worker did not begin the attempt.
constexpr bool NeverRan(Result r) {
  return r == Result::kFull || r == Result::kConnectFailed || r == Result::kMoot;
}

// Settings of one class of requests.
struct ClassSettings {
  Micros aim = 1'000'000;        // response time objective; an answer within it has the full worth
  double aim_stretch = 0;        // multiple of the job's own running time that extends the objective
  Micros deadline = 10'000'000;  // the client waits no longer
  Idempotency idempotency = Idempotency::kAtMostOnce;
  DedupScope dedup_scope = DedupScope::kAll;
  Micros key_ttl = 0;     // how long workers drop duplicates of a deduplicated request
  double late_worth = 0;  // share of the worth that an answer after the objective still has
  double worth = 1;
  int kind = -1;  // the only kind of worker that runs this class; -1: any
  int priority = 0;
  bool stream = false;
};

struct TenantSettings {
  double allowance_per_s = 0;  // requests per second, over all nodes, within the tenant's share; 0: no limit
};

// Settings of one node.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int zone = 0;  // the zone of this node
  int zones = 1;
  int kinds = 1;
  int nodes = 1;  // dispatchers in this tier
  // What the site permits and its workers support.
  int max_attempts = 1;
  bool may_probe = false;
  bool may_cancel = false;
  bool concurrent_attempts = false;  // a request may have more than one attempt outstanding
  bool reports_in_answers = false;   // answers carry the worker's load report
  bool worker_reports_start = false;
  Micros progress_every = 0;
  bool must_subscribe = false;  // the worker list is sent only to subscribers
  Micros subscribe_every = 0;   // longest time between two requests for the list by an unsubscribed node
  // How long attempts to a worker may continue after this node learned that it is draining or gone.
  Micros stop_sending_within = 0;
  double over_share_worth = 1;  // factor on the worth of requests beyond the tenant's share
  bool worth_by_work = false;   // `worth` is per unit of work instead of per request
  QueueOrder queue_order = QueueOrder::kFifo;
  // Slow start and overload.
  double slow_start_floor = 0.3;  // share of its capacity that a worker has at least when it starts
  Micros slow_start_time = 10'000'000;
  double overload_factor = 3;          // multiple of a worker's capacity at which it is overloaded,
  Micros overload_window = 2'000'000;  // measured over this time
  // Prices, in points of service per unit.
  double price_cross_zone = 0;
  double price_probe = 0;
  Micros tick = 1'000;  // shortest time between two batches of events
};

// A report is assumed to describe the worker this long before it arrives; own pushes that are younger are
// added to it. Where reports are refreshed slowest they are up to 1.8 s old. A longer time would count a push
// twice, and hide a free slot, for as long.
inline constexpr Micros kReportLag = 2'500'000;

// A worker's load report; values that the site's workers do not report are absent.
struct Report {
  std::optional<double> waiting, active, busy, free_slots, free_memory;
};

// Events.

struct WorkerEntry {
  WorkerId id = 0;
  int zone = 0, kind = 0, cell = 0;
  double weight = 1;
  Micros started_at = 0;  // latest possible time of its process's last start; 0: long ago
  // Start according to clocks that may be wrong, where that is earlier; 0: same as `started_at`. It never
  // raises the worker above the share that the settings allow a worker of any age.
  Micros claimed_started_at = 0;
  WorkerState state = WorkerState::kReady;
  std::uint64_t groups = 0;  // one bit for each of the host's worker groups that it belongs to
};
struct Membership {
  ListKind kind = ListKind::kChanges;
  std::span<const WorkerEntry> workers;
};
// How a request relates to the return times that were given to shed clients.
enum class ReturnTiming : std::uint8_t { kNew, kDue, kEarly };
struct Request {
  RequestId id = 0;
  int job_class = 0, tenant = 0;
  Micros deadline = 0;         // clock time at which the client gives up
  std::optional<Micros> hint;  // expected running time on a standard core
  double slots = 1, memory = 0;
  std::uint64_t key = 0;  // the program or data set that the job needs and workers cache; 0: none
  bool client_retry = false;
  // A due request goes before new ones of its class; an early one is shed.
  ReturnTiming return_timing = ReturnTiming::kNew;
  int priority = 0;                   // 0 to 15: among held jobs of equal worth the higher goes first
  std::uint64_t required_groups = 0;  // only workers that belong to all of these groups may run it
};
// The end of an attempt.
struct Outcome {
  RequestId id = 0;
  int attempt = 0;
  WorkerId worker = 0;
  Result result = Result::kOk;
  Micros latency = 0;
  bool finished = false;  // the client has its answer, from this outcome or an earlier one
  std::optional<Report> report;
};
// The answer has begun to flow; the request cannot move to another attempt any more.
struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
};
// Progress of an outstanding attempt.
struct AttemptProgress {
  RequestId id = 0;
  int attempt = 0;
  bool started = false;  // the job has started; if false, `share_done` is its progress
  double share_done = 0;
};
struct ProbeResult {
  WorkerId worker = 0;
  Result result = Result::kOk;
  Micros latency = 0;
  std::optional<Report> report;
  // Age of a report that another node received. It is valid for less time and never replaces a later
  // observation of this node.
  Micros age = 0;
};
struct TimerDue {
  std::uint32_t label = 0;
};
// The client has gone; the request is over and needs no answer.
struct ClientGone {
  RequestId id = 0;
};
// The host cannot wait any longer: the request is shed or failed, as its class allows.
struct AnswerNow {
  RequestId id = 0;
};
// Limits set by the host, in force until the next event of this kind. The defaults limit nothing.
struct HostLimits {
  double starts_per_s = 0;                  // held jobs that start per second; 0: unknown
  double slack_share = 1;                   // share of its spare time that a job may be expected to wait
  double max_outstanding = 1e9;             // attempts outstanding at once
  std::uint64_t retryable_classes = ~0ULL;  // one bit for each class whose retries are within the budget
  bool shed_late = false;                   // jobs that can no longer start in time are shed
};
// Current number of dispatchers, where the host knows better than `Settings::nodes`. It applies at once. The
// host lowers it only slowly, because each dispatcher may then send more.
struct TierSize {
  int nodes = 1;
};
using Event = std::variant<Membership, Request, Outcome, StreamStarted, AttemptProgress, ProbeResult,
                           TimerDue, ClientGone, AnswerNow, HostLimits, TierSize>;

// Actions.

// Begins an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of its pushes.
struct Push {
  RequestId id;
  WorkerId worker;
  Micros time_limit;  // 0: until the client gives up
};
// Final answer that permits the client to retry.
struct Shed {
  RequestId id;
  Micros retry_after;  // 0: no advice
};
// Final answer that does not tell whether the request was executed.
struct Fail {
  RequestId id;
};
struct Cancel {
  RequestId id;
  int attempt;
};
struct Probe {
  WorkerId worker;
};
struct Subscribe {};  // asks for changes of the worker list from now on
struct ArmTimer {
  Micros at;
  std::uint32_t label;
};
using Action = std::variant<Push, Shed, Fail, Cancel, Probe, Subscribe, ArmTimer>;

class Dispatcher {
 public:
  Dispatcher(const Settings& settings, std::uint64_t seed, Micros now);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Processes one event and appends the resulting actions. Throws only std::bad_alloc.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  // Probability of each worker to be drawn next for this class, in the order in which the workers were first
  // listed. For tests and diagnostics; changes nothing.
  std::vector<double> DrawChances(int job_class) const;

  // Number of pushes to workers in slow start that no token allowed. Always 0 unless this module is faulty.
  std::uint64_t PushesWithoutToken() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pebblenotch

#endif  // PEBBLENOTCH_BRAIN_H_
