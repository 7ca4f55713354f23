// pebblenotch: the decisions of a dispatcher that pushes jobs to workers.
//
// A `Dispatcher` is a deterministic state machine without I/O, clock or threads. The host feeds it events in
// the order in which they happened, each with the host's clock (microseconds, never backwards), and carries
// out the actions that it appends, in their order. The same settings, seed and events give the same actions.
//
// What a host must do:
//  - At start: construct one Dispatcher per node, then hand over the worker list it has
//  (`ListKind::kCached`).
//  - Call `handle` from one thread at a time; instances share nothing, so each may live on a thread of its
//  own.
//  - Give each `Push` exactly one `Outcome`, and each `ArmTimer` one `TimerDue` at or after its time.
//  - Spans and pointers in events need to stay valid only for the call. Actions are values and own what they
//  hold.
//  - At stop: destroy the Dispatcher. Whatever it held is the client's to retry; nothing is flushed.
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
using RequestId = std::uint64_t;  // never used twice
using WorkerId = std::uint64_t;   // opaque; the same id stays with a worker over restarts of its process

enum class Idempotency : std::uint8_t {
  kIdempotent,
  kDeduplicated,
  kAtMostOnce
};                                                            // may a request be repeated?
enum class DedupScope : std::uint8_t { kAll, kZone, kCell };  // which workers drop a keyed request's repeats
enum class QueueOrder : std::uint8_t { kFifo, kBackfill, kPriority };
enum class WorkerState : std::uint8_t { kGone, kReady, kDraining };
enum class ListKind : std::uint8_t { kChanges, kWhole, kCached, kFailed };

// How an attempt ended. `NeverRan` below tells which of these prove that the worker did not begin it.
enum class Result : std::uint8_t { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };
constexpr bool NeverRan(Result r) {
  return r == Result::kFull || r == Result::kConnectFailed || r == Result::kMoot;
}

struct ClassSettings {
  Micros aim = 1'000'000;        // an answer within this time is worth everything,
  double aim_stretch = 0;        // extended by this multiple of the job's own running time
  Micros deadline = 10'000'000;  // the client waits no longer
  Idempotency idempotency = Idempotency::kAtMostOnce;
  DedupScope dedup_scope = DedupScope::kAll;
  Micros key_ttl = 0;     // for how long repeats of a keyed request are dropped
  double late_worth = 0;  // share of the worth that an answer after the aim still has
  double worth = 1;
  int kind = -1;  // the one kind of worker that runs this class; -1: any
  int priority = 0;
  bool stream = false;
};

struct TenantSettings {
  double allowance_per_s = 0;  // requests a second over all nodes within its share; 0: no limit
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int zone = 0;  // the node's own
  int zones = 1;
  int kinds = 1;
  int nodes = 1;  // dispatchers in this tier
  // What the site permits.
  int max_attempts = 1;
  bool may_probe = false;
  bool may_cancel = false;
  bool concurrent_attempts = false;
  bool reports_in_answers = false;
  bool worker_reports_start = false;
  Micros progress_every = 0;
  bool must_subscribe = false;  // the worker list comes only when subscribed to
  Micros subscribe_every = 0;   // an unsubscribed node must ask at least this often
  // For so long attempts may go on at a worker after this node was told that it drains or is gone.
  Micros stop_sending_within = 0;
  double over_share_worth = 1;
  bool worth_by_work = false;
  QueueOrder queue_order = QueueOrder::kFifo;
  // Figures of the rules.
  double slow_start_floor = 0.3;  // a worker starts with at least this share of its capacity
  Micros slow_start_time = 10'000'000;
  double overload_factor = 3;
  Micros overload_window = 2'000'000;
  // Prices, in points of service for each unit.
  double price_cross_zone = 0;
  double price_probe = 0;
  Micros tick = 1'000;  // shortest time between two batches of events
};

// A report is taken to describe the worker some time before it arrives: own pushes younger than this count on
// top of it. Reports are up to 1.8 s old where they are refreshed slowest; a push counted twice for longer
// hides a free slot for as long.
inline constexpr Micros kReportLag = 2'500'000;

// A worker's load report; values that the site's workers do not report are absent.
struct Report {
  std::optional<double> waiting, active, busy, free_slots, free_memory;
};

// ---- events
// ----------------------------------------------------------------------------------------------------
struct WorkerEntry {
  WorkerId id = 0;
  int zone = 0, kind = 0, cell = 0;
  double weight = 1;
  Micros started_at = 0;  // last start of its process, at the latest that it can have been; 0: long ago
  // The start as clocks that may be wrong tell it, where that is earlier; 0: no other than `since`. It makes
  // the worker no warmer than the settings allow at any age.
  Micros claimed_started_at = 0;
  WorkerState state = WorkerState::kReady;
  std::uint64_t groups = 0;  // a bit for each of the host's groups of workers that it belongs to
};
struct Membership {
  ListKind kind = ListKind::kChanges;
  std::span<const WorkerEntry> workers;
};
// How a request stands to the times that refused clients were given to come back at.
enum class ReturnTiming : std::uint8_t { kNew, kDue, kEarly };
struct Request {
  RequestId id = 0;
  int job_class = 0, tenant = 0;
  Micros deadline = 0;         // clock time at which the client gives up
  std::optional<Micros> hint;  // expected running time on a standard core
  double slots = 1, memory = 0;
  std::uint64_t key = 0;  // the program or data set that the job needs and workers keep; 0: none
  bool client_retry = false;
  ReturnTiming return_timing =
      ReturnTiming::kNew;             // due: it goes before new ones of its class; early: it is refused
  int priority = 0;                   // 0 to 15: among held jobs of equal worth the higher goes first
  std::uint64_t required_groups = 0;  // it goes only to workers that belong to all of these groups
};
struct Outcome {
  RequestId id = 0;
  int attempt = 0;
  WorkerId worker = 0;
  Result result = Result::kOk;
  Micros latency = 0;
  bool finished = false;  // the client has its answer, through this outcome or earlier
  std::optional<Report> report;
};
struct StreamStarted {  // the answer has begun to flow: the attempt now belongs to the client
  RequestId id = 0;
  int attempt = 0;
};
struct AttemptProgress {  // from an attempt that is still out
  RequestId id = 0;
  int attempt = 0;
  bool started = false;  // the job has started; otherwise `share_done` tells its progress
  double share_done = 0;
};
struct ProbeResult {
  WorkerId worker = 0;
  Result result = Result::kOk;
  Micros latency = 0;
  std::optional<Report> report;
  Micros age = 0;  // of the report: another's word, which counts for less long and never over later own sight
};
struct TimerDue {
  std::uint32_t label = 0;
};
struct ClientGone {  // the request is over; nothing is owed
  RequestId id = 0;
};
struct AnswerNow {  // the host can wait no longer: the request is refused or failed, as its class allows
  RequestId id = 0;
};
// Figures of the host's limits, which the decisions keep to; in force until the next. As they stand here,
// they limit nothing.
struct HostLimits {
  double starts_per_s = 0;       // held jobs that leave a second; 0: not known
  double slack_share = 1;        // of its time to spare, that a job may be expected to wait
  double max_outstanding = 1e9;  // attempts out at once
  std::uint64_t retryable_classes =
      ~0ULL;               // a bit for each class: attempts beyond the first are within the budget
  bool shed_late = false;  // what can no longer start in time is given up
};
// How many dispatchers there are now, where the host knows better than `Settings::nodes`. In force at once;
// the host sees to it that it falls slowly, as each may then do more.
struct TierSize {
  int nodes = 1;
};
using Event = std::variant<Membership, Request, Outcome, StreamStarted, AttemptProgress, ProbeResult,
                           TimerDue, ClientGone, AnswerNow, HostLimits, TierSize>;

// ---- actions
// ---------------------------------------------------------------------------------------------------
struct Push {  // begin an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of its pushes
  RequestId id;
  WorkerId worker;
  Micros time_limit;  // 0: until the client gives up
};
struct Shed {  // final answer: a retry is harmless
  RequestId id;
  Micros retry_after;  // 0: no advice
};
struct Fail {  // final answer: promises nothing
  RequestId id;
};
struct Cancel {
  RequestId id;
  int attempt;
};
struct Probe {
  WorkerId worker;
};
struct Subscribe {};  // ask for the worker list's changes from now on
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

  // Takes one event and appends what is to be done about it. Throws only std::bad_alloc.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  // The chance of each worker to be drawn next for this class, in the order of the workers' first naming; for
  // tests and for looking in. Changes nothing.
  std::vector<double> DrawChances(int job_class) const;

  // Pushes to workers in slow start that no token allowed: a fault of this module, where there are any.
  std::uint64_t PushesWithoutToken() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pebblenotch

#endif  // PEBBLENOTCH_BRAIN_H_
