// Implementation of the decision module declared in include/pebblenotch/brain.h.
// Sections: worker table, ranking index and draw, request life cycle (with the only place that sends),
// outcomes, membership, timers. A request passes through Dispatch, Draw and Send. The worker is drawn at
// random from the eligible ones, weighted by the square of its rank; workers are ranked by their reported
// queue plus this node's own pushes. docs/design.md lists the exceptions.
#include "pebblenotch/brain.h"

#include <cmath>
#include <numeric>

#include "src/state.h"

namespace pebblenotch {
namespace {

constexpr Micros kMillis = 1'000;
constexpr Micros kSecond = 1'000'000;

// A push whose start is not reported within this time is taken to be queued at its worker.
constexpr Micros kStartGrace = 60 * kMillis;
// Ejection time of a failed worker, doubled for each consecutive failure up to the maximum. One broken
// connection does not show that a process is dead; several failures do.
constexpr Micros kFirstEjection = 750 * kMillis, kMaxEjection = 6 * kSecond;
// Share of what a cold worker may receive at full load that is sent to it. It never receives more than an
// equal share of the requests, because a warm worker gets no more.
constexpr double kColdBudgetShare = 0.4;
constexpr Micros kStartNoticeTime = 6 * kSecond;  // time by which a start has been reported
// Share of a newly started worker's budget that a worker gets whose age is not proven.
constexpr double kUnprovenAgeShare = 0.6;
constexpr Micros kMinTokenLifetime = 500 * kMillis;  // of a cold worker's token
constexpr double kCompetingShare = 0.25;  // of the nodes that know of a free slot, those that compete for it
// Shedding increases while more than this share of starts is late. It also decays with time, because shedding
// leaves few starts that could end it. It is meant for real overload: with a share of a quarter, a few
// workers that restarted at low load caused two fifths of the jobs to be shed.
constexpr double kLateStartShare = 0.75, kShedStep = 0.02, kShedFade = 10e6;
// Number of workers that serve a key: the minimum, and the multiple of the key's share of all workers.
constexpr double kMinKeyWorkers = 3, kKeyWorkersPerShare = 1;
// Own pushes to a worker without a recent report, after which it counts as full.
constexpr int kMaxUnreportedPushes = 1;
constexpr int kProbesPerRequest = 2;
constexpr std::size_t kMinTableToForget = 1024;  // workers; a smaller table keeps those that are gone
// Mean of the jittered time after which shed clients are told to return; many clients that were shed together
// must not return together.
constexpr Micros kMeanRetryAfter = 500 * kMillis;
// Time that a job is held past its last start in time, in expected running times. A long job, which is worth
// most, has a later objective, and a late answer is still worth something. Holding it longer spends workers
// on late jobs and makes more jobs late.
constexpr double kMaxLateRuns = 2;
constexpr Micros kHeldRetryInterval = 20 * kMillis;  // between attempts to place held requests
constexpr int kMinHeldPerClass = 2;  // jobs of each class that are held regardless of the expected wait
// A class with held jobs gets at least one start in 20. Divided by starts per second, this is its longest
// wait in microseconds.
constexpr double kStarvationStartMicros = 20e6;
// Held jobs that find no free worker before the remaining ones are skipped.
constexpr int kMaxHeldMisses = 16;

// Buckets of workers with equal ranking keys, best first: workers known to have free capacity (from 0),
// without a recent report (kStaleBucket), known to be full (kFullBucket), ejected.
constexpr int kStaleBucket = 30, kFullBucket = 40, kEjectedBucket = 63;
constexpr int kBucketDepth = 10;  // distinct numbers of free slots, or of own pushes, in a range of buckets
// Bits `from` to `to`, both included.
constexpr std::uint64_t BitRange(int from, int to) { return ((~0ULL) >> (63 - (to - from))) << from; }
constexpr std::uint64_t kStaleBuckets = BitRange(kStaleBucket, kFullBucket - 1);
constexpr std::uint64_t kEjectedBuckets = BitRange(kEjectedBucket, kEjectedBucket);

}  // namespace

class Dispatcher::Impl : NodeState {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now) {
    settings_ = settings;
    random_ = Random(seed);
    now_ = last_arrival_ = now;
    settings_.zones = std::max(1, settings_.zones);
    settings_.zone = std::clamp(settings_.zone, 0, settings_.zones - 1);
    settings_.kinds = std::clamp(settings_.kinds, 1, 64);
    settings_.slow_start_time = std::max<Micros>(settings_.slow_start_time, 1);
    partitions_.resize(static_cast<std::size_t>(settings_.zones) * settings_.kinds);
    for (const auto& c : settings_.classes) {
      usual_run_time_.push_back(static_cast<double>(c.aim));
      scarce_kinds_.push_back(0);
      longest_time_limit_.push_back(0);
      held_count_.push_back(0);
      last_push_.push_back(now);
      for (const auto& other : settings_.classes) {
        if (c.kind < 0 && other.kind >= 0 && other.worth > c.worth)
          scarce_kinds_.back() |= 1ULL << std::min(other.kind, 63);
      }
    }
    for (const auto& t : settings_.tenants) {  // each node enforces its part of the allowance
      const double rate = t.allowance_per_s > 0 ? t.allowance_per_s : 1e9;
      tenant_limits_.emplace_back(rate / std::max(1, settings_.nodes), std::max(2.0, rate));
    }
  }

  void Handle(Micros now, const Event& event, std::vector<Action>& actions) {
    now_ = std::max(now_, now);
    actions_ = &actions;
    std::visit([this](const auto& e) { On(e); }, event);
    timers_.Arm(now_, actions);
    actions_ = nullptr;
  }

  std::uint64_t PushesWithoutToken() const { return pushes_without_token_; }
  std::vector<double> DrawChances(int job_class) const {
    std::vector<double> chances(workers_.size(), 0.0);
    if (job_class < 0 || job_class >= static_cast<int>(settings_.classes.size())) return chances;
    const Pool pool = PoolFor(job_class, 1, 0, true);
    Weights weights = WeightsOf(pool);
    for (Index i = 0; i < workers_.size(); ++i) {
      const Worker& w = workers_[i];
      if (w.bucket >= 0 && InPool(pool, PartitionOf(w)) && (pool.buckets >> w.bucket & 1) != 0) {
        chances[i] = weights.each[w.bucket] / weights.total;
      }
    }
    return chances;
  }

 private:
  // Worker table.

  Micros Jitter(Micros t) { return static_cast<Micros>((0.5 + random_.Unit()) * static_cast<double>(t)); }
  int PartitionOf(const Worker& w) const { return w.zone * settings_.kinds + w.kind; }
  bool IsCold(const Worker& w) const {
    return w.started_at > 0 && now_ < w.started_at + settings_.slow_start_time;
  }
  // Estimates the start of a worker whose claimed age is within kStartNoticeTime, as a time between the
  // claimed start and its first notice. Clocks that are wrong by seconds then cost at most a small part of
  // the slow start.
  Micros EstimatedStart(const WorkerEntry& e) const {
    const Micros age = e.started_at - e.claimed_started_at;
    if (e.claimed_started_at <= 0 || age <= 0 || age > kStartNoticeTime) return e.started_at;
    return e.started_at - std::min(age / 2, settings_.slow_start_time / 4);
  }
  // Lower bound of the share of its capacity that a worker has. An age that is only claimed counts up to the
  // share that a worker of any age may get, which is a part of what the settings allow a newly started one.
  double CapacityShare(const Worker& w) const {
    const double proved = CapacityShareAtAge(now_ - w.started_at);
    if (w.claimed_started_at <= 0 || w.claimed_started_at >= w.started_at) return proved;
    const double at_any_age =
        std::min(1.0, kUnprovenAgeShare * settings_.overload_factor * settings_.slow_start_floor);
    return std::max(proved, std::min(at_any_age, CapacityShareAtAge(now_ - w.claimed_started_at)));
  }
  double CapacityShareAtAge(Micros age) const {
    return std::min(1.0, settings_.slow_start_floor + (1 - settings_.slow_start_floor) *
                                                          static_cast<double>(age) /
                                                          settings_.slow_start_time);
  }

  int BucketOf(const Worker& w) const {
    if (w.state != WorkerState::kReady) return -1;
    if (IsCold(w) && now_ >= w.token_until) return -1;  // in slow start it needs a token
    if (now_ < w.ejected_until) return kEjectedBucket;
    const int own = static_cast<int>(w.own_pushes.size());
    // Keeps a worker that does not report from being flooded: a missing report does not mean free capacity.
    if (w.observed_at < 0 || now_ - w.observed_at > report_lifetime_)
      return own < kMaxUnreportedPushes ? kStaleBucket + own
                                        : std::min(kFullBucket + own, kEjectedBucket - 1);
    const int load = static_cast<int>(std::lround(w.queue)) + own;
    const int free = static_cast<int>(std::lround(w.free_slots)) - own;
    if (w.queue >= 0.5 || free < 1) return std::min(kFullBucket + load, kEjectedBucket - 1);
    return std::min(load, 2) * kBucketDepth + kBucketDepth - std::min(free, kBucketDepth);
  }

  void Rebucket(Index i) {
    Worker& w = workers_[i];
    const int bucket = BucketOf(w);
    if (bucket != w.bucket) partitions_[PartitionOf(w)].Move(workers_, i, bucket);
  }

  void RecordLoad(Index i, double queue, double free, Micros age = 0) {
    Worker& w = workers_[i];
    w.queue = queue;
    w.free_slots = free;
    w.observed_at = now_ - age;
    recent_reports_.emplace(
        std::upper_bound(recent_reports_.begin(), recent_reports_.end(), std::pair{w.observed_at, ~Index{0}}),
        w.observed_at, i);
  }

  void ApplyReport(Index i, const Report& report, Micros age = 0) {
    Worker& w = workers_[i];
    if (age > 0 && w.observed_at >= now_ - age) return;
    // Older pushes are included in the report.
    std::erase_if(w.own_pushes, [&](Micros sent) { return sent <= now_ - age - kReportLag; });
    double free = report.free_slots.value_or(1);
    if (report.free_memory) free = std::min(free, *report.free_memory);
    if (!held_.empty()) {
      // Exception "part of free capacity": while jobs are held here, other nodes hold jobs too. This node
      // uses its part of the free slots.
      const double reporting_share =
          static_cast<double>(recent_reports_.size()) / static_cast<double>(workers_.size());
      free = std::floor(
          free / std::max(1.0, kCompetingShare * settings_.nodes * std::min(1.0, reporting_share)) +
          random_.Unit());
    }
    RecordLoad(i, report.waiting.value_or(0), free, age);
    Rebucket(i);
  }

  // Reports older than the usual running time of jobs no longer tell whether a worker is free or full.
  void ExpireReports() {
    while (!recent_reports_.empty() && now_ - recent_reports_.front().first > report_lifetime_) {
      const auto [observed_at, i] = recent_reports_.front();
      recent_reports_.pop_front();
      if (workers_[i].observed_at == observed_at) Rebucket(i);
    }
  }

  void Eject(Index i) {
    Worker& w = workers_[i];
    w.ejected_until = now_ + std::min(kMaxEjection, kFirstEjection << std::min(w.failures++, 8));
    timers_.Set(w.ejected_until, TimerKind::kRebucket, i);
    Rebucket(i);
  }

  // Ranking index and draw.

  bool InPool(const Pool& pool, int partition) const {
    const int zone = partition / settings_.kinds, kind = partition % settings_.kinds;
    return zone >= pool.first_zone && zone <= pool.last_zone && (pool.kinds >> kind & 1) != 0;
  }
  template <typename F>
  void ForEachPartition(const Pool& pool, F&& f) const {
    for (int g = pool.first_zone * settings_.kinds; g < (pool.last_zone + 1) * settings_.kinds; ++g) {
      if (InPool(pool, g)) f(partitions_[g]);
    }
  }
  bool HasWorkers(const Pool& pool) const {
    bool any = false;
    ForEachPartition(pool, [&](const Partition& g) { any = any || (g.occupied & pool.buckets) != 0; });
    return any;
  }

  // Selects the workers to draw from: those with free capacity, if any, then those without a recent report;
  // the node's own zone first. Exception "scarce kind": a job's first attempt avoids kinds of workers that a
  // class of higher worth needs, while other workers are available, so that jobs of lower worth do not fill
  // them.
  Pool PoolFor(int job_class, double slots, int tries, bool may_queue) const {
    const int required_kind = settings_.classes[job_class].kind;
    const std::uint64_t kinds = required_kind < 0 ? ~0ULL : 1ULL << std::min(required_kind, 63);
    const std::uint64_t preferred_kinds = kinds & ~scarce_kinds_[job_class];
    const std::uint64_t free_buckets = BucketsWithCapacity(slots), stale = may_queue ? kStaleBuckets : 0;
    const int last = settings_.zones - 1;
    for (const Pool& pool : {Pool{settings_.zone, settings_.zone, preferred_kinds, free_buckets},
                             Pool{0, last, preferred_kinds, free_buckets},
                             Pool{settings_.zone, settings_.zone, preferred_kinds, tries == 0 ? stale : 0},
                             Pool{0, last, preferred_kinds, tries == 0 ? stale : 0},
                             Pool{0, last, kinds, free_buckets}, Pool{0, last, kinds, stale}}) {
      if (HasWorkers(pool)) return pool;
    }
    const Pool trusted{0, last, kinds, ~kEjectedBuckets};
    // Panic mode: an ejected worker is better than none.
    return {0, last, kinds, HasWorkers(trusted) ? 0 : kEjectedBuckets};
  }
  static std::uint64_t BucketsWithCapacity(double slots) {
    const int most = kBucketDepth - std::clamp(static_cast<int>(std::ceil(slots)), 1, kBucketDepth);
    std::uint64_t free_buckets = 0;
    for (int load = 0; load < 3; ++load)
      free_buckets |= BitRange(load * kBucketDepth, load * kBucketDepth + most);
    return free_buckets;
  }

  Weights WeightsOf(const Pool& pool) const {
    Weights weights;
    ForEachPartition(pool, [&](const Partition& g) {
      for (std::uint64_t left = g.occupied & pool.buckets; left != 0; left &= left - 1) {
        const int b = std::countr_zero(left);
        weights.count[b] += static_cast<Index>(g.buckets[b].size());
      }
    });
    SetRankWeights(weights);
    return weights;
  }

  // All workers of a bucket have the same key and so the same rank: the number of workers in this bucket and
  // in worse ones.
  static void SetRankWeights(Weights& weights) {
    double rank = std::accumulate(weights.count.begin(), weights.count.end(), 0.0);
    for (int b = 0; b < kBuckets; rank -= weights.count[b++]) {
      weights.each[b] = rank * rank;
      weights.total += weights.each[b] * weights.count[b];
    }
  }

  // Draws a bucket by the weights of its workers, then one of its workers uniformly. Requires a worker.
  std::pair<int, std::size_t> DrawPosition(const Weights& weights) {
    double at = random_.Unit() * weights.total;
    int drawn = -1;
    for (int b = 0; b < kBuckets && at >= 0; ++b) {
      if (weights.count[b] == 0) continue;
      drawn = b;
      at -= weights.each[b] * weights.count[b];
    }
    return {drawn, random_.Below(weights.count[drawn])};
  }

  std::optional<Index> Draw(const Pool& pool) {
    const Weights weights = WeightsOf(pool);
    if (weights.total <= 0) return std::nullopt;
    auto [drawn, nth] = DrawPosition(weights);
    std::optional<Index> found;
    ForEachPartition(pool, [&, drawn = drawn, nth = nth](const Partition& g) mutable {
      const auto& bucket = g.buckets[drawn];
      if (!found && nth < bucket.size()) found = bucket[nth];
      nth -= std::min(nth, bucket.size());
    });
    return found;
  }

  // Exception "cached keys": a worker that has the data of a job's key does not need to fetch it. A job with
  // a key is drawn by the same ranks from the few workers of this zone that follow the key on a consistent
  // hash ring, which is the same at every node; a frequent key has more workers. Where none of them may have
  // free capacity the caller draws from the whole table. `all`: draws from all workers of the request's
  // groups.
  std::optional<Index> DrawNearKey(const Job& job, bool all) {
    const Request& r = job.request;
    if (r.key == 0 && !all) return std::nullopt;
    const std::uint64_t fit = BucketsWithCapacity(r.slots) | kStaleBuckets;
    const double near_key =
        kMinKeyWorkers + kKeyWorkersPerShare * job.key_share * static_cast<double>(key_ring_.size());
    int left = static_cast<int>(all ? static_cast<double>(key_ring_.size()) : near_key);
    Weights weights;
    std::vector<Index> near;
    auto at = key_ring_.lower_bound({MixBits(r.key), 0});
    for (std::size_t n = 0; n < key_ring_.size() && left > 0; ++n, ++at) {
      if (at == key_ring_.end()) at = key_ring_.begin();
      const Worker& w = workers_[at->second];
      const int required_kind = job.class_settings->kind;
      const bool eligible = r.required_groups != 0 ? (w.groups & r.required_groups) == r.required_groups
                                                   : w.zone == settings_.zone;
      if (w.state == WorkerState::kGone || !eligible || (required_kind >= 0 && w.kind != required_kind))
        continue;
      --left;
      if (w.bucket < 0 || (fit >> w.bucket & 1) == 0) continue;
      near.push_back(at->second);
      ++weights.count[w.bucket];
    }
    if (near.empty()) return std::nullopt;
    SetRankWeights(weights);
    auto [drawn, nth] = DrawPosition(weights);
    for (const Index i : near) {
      if (workers_[i].bucket == drawn && nth-- == 0) return i;
    }
    return std::nullopt;
  }

  // Request life cycle.

  void On(const Request& r) {
    const bool known_class = r.job_class >= 0 && r.job_class < static_cast<int>(settings_.classes.size());
    if (jobs_.contains(r.id)) return;
    if (!known_class || r.deadline <= now_ || r.return_timing == ReturnTiming::kEarly)
      return actions_->push_back(Shed{r.id, 0});
    const double elapsed = static_cast<double>(now_ - std::exchange(last_arrival_, now_));
    arrival_gap_ += 0.05 * (elapsed - arrival_gap_);
    shed_share_ *= std::max(0.0, 1 - elapsed / kShedFade);
    served_share_.RecordRequest();
    IssueColdTokens();
    Job& job = jobs_[r.id];
    job.request = r;
    const ClassSettings& c = *(job.class_settings = &settings_.classes[r.job_class]);
    // A client's retry has less time left than its first request had. The objective counts from that request.
    Micros& longest = longest_time_limit_[r.job_class] =
        std::max(longest_time_limit_[r.job_class], r.deadline - now_);
    job.first_requested_at = r.deadline - longest;
    if (r.key != 0) job.key_share = key_shares_.Count(r.key);
    const double run = ExpectedRun(job);
    const Micros aim = job.first_requested_at + c.aim + static_cast<Micros>((c.aim_stretch - 1) * run);
    job.hold_until =
        std::min(aim + static_cast<Micros>(kMaxLateRuns * run), r.deadline - 2 * kHeldRetryInterval);
    job.latest_useful_start = std::min(aim, job.hold_until);
    job.density = c.worth / (settings_.worth_by_work ? 1 : std::max(run, 1.0));
    const bool has_share = r.tenant >= 0 && r.tenant < static_cast<int>(tenant_limits_.size());
    if (has_share && !tenant_limits_[r.tenant].Take(now_)) job.density *= settings_.over_share_worth;
    if (settings_.may_probe) SendProbes();
    max_density_ = std::max(max_density_ * 0.999, job.density);
    // Load shedding while jobs start too late to be of use: jobs of least worth per unit of work are shed
    // first.
    const double keep = job.density / max_density_ * (1 - shed_share_);
    if (random_.Unit() * (shed_share_ + keep) < shed_share_) return Reject(job);
    Dispatch(job);
  }

  double ExpectedRun(const Job& job) const {
    return job.request.hint ? static_cast<double>(*job.request.hint) : usual_run_time_[job.request.job_class];
  }

  // Sort key of held jobs: by worth per unit of work, highest first, late jobs last.
  static double HoldOrder(const Job& job) {
    const double due = job.request.return_timing == ReturnTiming::kDue ? 1e-6 : 0;
    const double density = job.density * (1 + due + 1e-5 * std::clamp(job.request.priority, 0, 15));
    return job.late ? -density * job.class_settings->late_worth : -1e6 - density;
  }

  // Sends the job, holds it if no worker can take it now, or rejects it if it can no longer be served.
  void Dispatch(Job& job) {
    const int left = settings_.max_attempts - job.attempt_count();
    const bool may_not_repeat =
        job.class_settings->idempotency == Idempotency::kAtMostOnce && job.MayHaveRun();
    const bool over_retry_budget =
        job.attempt_count() > 0 &&
        (limits_.retryable_classes >> std::min(job.request.job_class, 63) & 1) == 0;
    const bool too_late = now_ > (limits_.shed_late ? job.latest_useful_start : job.hold_until);
    if (may_not_repeat || over_retry_budget || left <= 0 || too_late) return Reject(job);
    if (TrySend(job, left > 1 || job.attempt_count() == 0) || job.held) return;
    if (CannotStartInTime(job)) return Reject(job);
    job.held = true;
    ++held_count_[job.request.job_class];
    held_.emplace(HoldOrder(job), job.request.id);
    if (held_.size() == 1) timers_.Set(now_ + kHeldRetryInterval, TimerKind::kRetryHeld, 0);
  }

  // With a limited rate of starts: true if the held jobs of equal or higher worth ahead of this one would
  // delay it so far that it would make the jobs behind it late too.
  bool CannotStartInTime(const Job& job) const {
    const int own = job.request.job_class;
    if (limits_.starts_per_s <= 0 || held_count_[own] < kMinHeldPerClass) return false;
    const auto density = [this](int c) {
      return settings_.classes[c].worth / (settings_.worth_by_work ? 1 : std::max(usual_run_time_[c], 1.0));
    };
    double ahead = 0;
    for (int c = 0; c < static_cast<int>(held_count_.size()); ++c)
      ahead += density(c) >= density(own) ? held_count_[c] : 0;
    const double share = job.request.return_timing == ReturnTiming::kDue ? 1 : limits_.slack_share;
    return ahead * 1e6 / limits_.starts_per_s > share * static_cast<double>(job.latest_useful_start - now_);
  }

  // Rule 2: whether the job may be sent to this worker, given what its earlier attempts may have done.
  bool MaySend(const Job& job, const Worker& to) const {
    const ClassSettings& c = *job.class_settings;
    for (const Attempt& a : job.attempts) {
      if (a.outstanding && !settings_.concurrent_attempts) return false;
      if (a.never_ran || c.idempotency == Idempotency::kIdempotent) continue;
      if (c.idempotency == Idempotency::kAtMostOnce || now_ - a.sent >= c.key_ttl) return false;
      const Worker& first = workers_[a.worker];
      if (c.dedup_scope == DedupScope::kZone && first.zone != to.zone) return false;
      if (c.dedup_scope == DedupScope::kCell && first.cell != to.cell) return false;
    }
    return true;
  }

  // Draws a worker that this job was not sent to before, and sends it. Returns false if there is none.
  bool TrySend(Job& job, bool may_queue) {
    if (outstanding_ >= limits_.max_outstanding) return false;
    ExpireReports();
    std::vector<Index> excluded;
    for (const Attempt& a : job.attempts) Exclude(a.worker, excluded);
    const Index cold = FindTokenHolder(job);
    std::optional<Index> drawn;
    for (int tries = cold < workers_.size() ? 4 : 0; tries < 4; ++tries) {
      const Request& r = job.request;
      drawn = DrawNearKey(job, false);
      if (!drawn)
        drawn = r.required_groups != 0 ? DrawNearKey(job, true)
                                       : Draw(PoolFor(r.job_class, r.slots, job.attempt_count(), may_queue));
      if (!drawn || MaySend(job, workers_[*drawn])) break;
      Exclude(*drawn, excluded);
      drawn.reset();
    }
    for (const Index i : excluded) Rebucket(i);
    if (cold < workers_.size()) drawn = cold;
    if (drawn) Send(job, *drawn);
    return drawn.has_value();
  }
  // Exception "cold token": the next push that may go to a worker with a token goes there, because a token
  // that only admits the worker to the draw would expire unused. Returns the table's size if no worker has a
  // token.
  Index FindTokenHolder(const Job& job) const {
    const int required_kind =
        job.request.required_groups == 0 && arrival_gap_ >= kMinTokenLifetime ? job.class_settings->kind : -2;
    const auto holds = [&](const Worker& w) {
      return now_ < w.token_until && w.bucket >= 0 && w.bucket < kFullBucket &&
             (required_kind == -1 || required_kind == w.kind) && MaySend(job, w);
    };
    return static_cast<Index>(std::find_if(workers_.begin(), workers_.end(), holds) - workers_.begin());
  }
  // Takes a worker out of the index until the next Rebucket.
  void Exclude(Index i, std::vector<Index>& excluded) {
    Worker& w = workers_[i];
    if (w.bucket < 0) return;
    const WorkerState state = std::exchange(w.state, WorkerState::kGone);
    Rebucket(i);
    w.state = state;
    excluded.push_back(i);
  }

  // The only place that sends.
  void Send(Job& job, Index i) {
    Worker& w = workers_[i];
    RemoveFromHeld(job);
    w.own_pushes.push_back(now_);
    pushes_without_token_ += IsCold(w) && now_ >= w.token_until ? 1 : 0;
    w.token_until = 0;  // a cold worker's token is used up
    Rebucket(i);
    const int attempt = job.attempt_count();
    job.attempts.push_back({i, now_});
    last_push_[job.request.job_class] = now_;
    ++outstanding_;
    actions_->push_back(Push{job.request.id, w.id, 0});
    if (settings_.worker_reports_start)
      timers_.Set(now_ + kStartGrace, TimerKind::kStartCheck, job.request.id, attempt);
  }

  void RemoveFromHeld(Job& job) {
    if (!std::exchange(job.held, false)) return;
    held_.erase({HoldOrder(job), job.request.id});
    --held_count_[job.request.job_class];
  }

  // Final answer: Shed if a retry by the client is allowed by rule 2, else Fail.
  void Reject(Job& job) {
    const ClassSettings& c = *job.class_settings;
    const bool may_shed = c.idempotency == Idempotency::kIdempotent || !job.MayHaveRun() ||
                          (c.idempotency == Idempotency::kDeduplicated && c.dedup_scope == DedupScope::kAll);
    actions_->push_back(may_shed ? Action(Shed{job.request.id, Jitter(kMeanRetryAfter)})
                                 : Action(Fail{job.request.id}));
    Finish(job);
  }

  // Ends a job. Nothing more is sent for it; outstanding attempts are cancelled and kept until their outcome.
  void Finish(Job& job) {
    RemoveFromHeld(job);
    job.ended = true;
    CancelAttempts(job, false);
    if (!job.AnyOutstanding()) jobs_.erase(job.request.id);
  }

  void CancelAttempts(const Job& job, bool only_unstarted) {
    for (int i = 0; i < job.attempt_count() && settings_.may_cancel; ++i) {
      const Attempt& a = job.attempts[i];
      if (a.outstanding && !(only_unstarted && a.started >= 0))
        actions_->push_back(Cancel{job.request.id, i});
    }
  }

  // Tries to place held jobs. `all`: also those behind kMaxHeldMisses others, to end or reorder overdue ones.
  void RetryHeld(bool all) {
    ExpireReports();
    std::vector<RequestId> ids;
    // With a limited rate of starts, one job of a class that waited too long goes before those of more worth.
    std::uint64_t starving = 0;
    for (std::size_t c = 0; c < held_count_.size() && limits_.starts_per_s > 0; ++c) {
      const bool starved =
          static_cast<double>(now_ - last_push_[c]) > kStarvationStartMicros / limits_.starts_per_s;
      if (starved && held_count_[c] > 0) starving |= 1ULL << std::min<std::size_t>(c, 63);
    }
    for (const auto& [order, id] : held_) {
      const std::uint64_t own = 1ULL << std::min(jobs_.at(id).request.job_class, 63);
      const bool enough = !all && ids.size() >= kMaxHeldMisses && limits_.starts_per_s > 0;
      if (!enough || (starving & own) != 0) ids.insert((starving & own) != 0 ? ids.begin() : ids.end(), id);
      starving &= ~own;
      if (enough && starving == 0) break;
    }
    for (const RequestId id : ids) {
      Job& job = jobs_.at(id);
      if (!job.held) continue;
      // A job past its objective is worth less; jobs that can still be in time go before it.
      if (!job.late && now_ > job.latest_useful_start) {
        held_.erase({HoldOrder(job), id});
        job.late = true;
        held_.emplace(HoldOrder(job), id);
      }
      Dispatch(job);
    }
  }

  void SendProbes() {
    // Where answers carry reports, probes help only if they reach every worker before reports expire.
    // Otherwise nodes crowd the few workers that were probed recently.
    const double round = arrival_gap_ / kProbesPerRequest * static_cast<double>(workers_.size());
    if (probe_order_.empty() ||
        (settings_.reports_in_answers && round > static_cast<double>(report_lifetime_)))
      return;
    for (int n = 0, examined = 0; n < kProbesPerRequest && examined < 8; ++examined) {
      const Index i = probe_order_[probe_next_++ % probe_order_.size()];
      const Worker& w = workers_[i];
      if (w.state != WorkerState::kReady || IsCold(w)) continue;
      actions_->push_back(Probe{w.id});
      ++n;
    }
  }

  // Outcomes.

  Job* FindJob(RequestId id, int attempt) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() || attempt < 0 || attempt >= it->second.attempt_count() ? nullptr : &it->second;
  }

  void On(const Outcome& o) {
    Job* found = FindJob(o.id, o.attempt);
    if (found == nullptr || !found->attempts[o.attempt].outstanding) return;
    Job& job = *found;
    Attempt& a = job.attempts[o.attempt];
    a.outstanding = false;
    --outstanding_;
    a.never_ran = NeverRan(o.result);
    Worker& w = workers_[a.worker];
    if (const auto own = std::find(w.own_pushes.begin(), w.own_pushes.end(), a.sent);
        own != w.own_pushes.end())
      w.own_pushes.erase(own);
    RecordHealth(job, a, o);
    if (o.report) ApplyReport(a.worker, *o.report);
    // The slot of this attempt is free again.
    if (o.result == Result::kOk && w.queue < 0.5 && o.report && w.free_slots < 1) w.free_slots = 1;
    if (o.result == Result::kFull) RecordLoad(a.worker, std::max(1.0, w.queue), 0);
    Rebucket(a.worker);
    if (job.ended) {
      if (!job.AnyOutstanding()) jobs_.erase(o.id);
    } else if (o.finished) {
      Finish(job);
    } else if (now_ >= job.request.deadline) {
      Reject(job);
    } else if (!job.AnyOutstanding()) {
      Dispatch(job);
    }
    if (!held_.empty()) RetryHeld(false);
  }

  // Updates the worker's health and the running times from this node's own observations.
  void RecordHealth(const Job& job, const Attempt& a, const Outcome& o) {
    const bool bad = o.result == Result::kError || o.result == Result::kTimeout ||
                     o.result == Result::kConnectFailed || o.result == Result::kReset;
    if (bad) return Eject(a.worker);
    if (o.result != Result::kOk) return;
    workers_[a.worker].failures = 0;
    served_share_.RecordServed();
    if (a.started < 0) ObserveStart(now_ > job.latest_useful_start + static_cast<Micros>(ExpectedRun(job)));
    const Micros run = a.started >= 0 ? now_ - a.started : o.latency;
    usual_run_time_[job.request.job_class] += 0.05 * (run - usual_run_time_[job.request.job_class]);
    report_lifetime_ =
        std::clamp<Micros>(report_lifetime_ + (run - report_lifetime_) / 20, 300 * kMillis, 1500 * kMillis);
  }

  // Raises the share that is shed while more than kLateStartShare of the jobs start too late, otherwise
  // lowers it.
  void ObserveStart(bool late) {
    shed_share_ = std::clamp(shed_share_ + kShedStep * ((late ? 1.0 : 0.0) - kLateStartShare), 0.0, 0.95);
  }

  void On(const AttemptProgress& n) {
    Job* found = FindJob(n.id, n.attempt);
    if (found == nullptr || !n.started || found->attempts[n.attempt].started >= 0) return;
    Job& job = *found;
    job.attempts[n.attempt].started = now_;
    ObserveStart(now_ > job.latest_useful_start);
    if (!job.ended) CancelAttempts(job, true);  // one attempt runs; those still queued are not needed
  }

  void On(const ProbeResult& p) {
    const auto it = by_id_.find(p.worker);
    if (it != by_id_.end() && p.report) {
      ApplyReport(it->second, *p.report, p.age);
    } else if (it != by_id_.end()) {
      // A probe that timed out shows a queue at the worker; otherwise it would count as one without a recent
      // report.
      if (p.result == Result::kTimeout) RecordLoad(it->second, std::max(1.0, workers_[it->second].queue), 0);
      if (p.result == Result::kConnectFailed || p.result == Result::kReset) Eject(it->second);
      Rebucket(it->second);
    }
    if (!held_.empty()) RetryHeld(false);
  }

  void On(const StreamStarted&) {}

  void On(const HostLimits& a) { limits_ = a; }
  void On(const TierSize& t) { settings_.nodes = std::max(1, t.nodes); }

  void On(const ClientGone& g) {
    if (const auto it = jobs_.find(g.id); it != jobs_.end() && !it->second.ended) Finish(it->second);
  }

  void On(const AnswerNow& a) {
    if (const auto it = jobs_.find(a.id); it != jobs_.end() && !it->second.ended) Reject(it->second);
  }

  // Membership.

  void On(const Membership& m) {
    if (m.kind == ListKind::kFailed) {
      // Back off with jitter: a discovery service that all nodes ask at once answers none of them.
      subscribe_backoff_ =
          std::min(subscribe_backoff_ * 2, std::max<Micros>(kSecond, settings_.subscribe_every));
      if (settings_.must_subscribe) timers_.Set(now_ + Jitter(subscribe_backoff_), TimerKind::kSubscribe, 0);
      return;
    }
    if (m.kind == ListKind::kCached && settings_.must_subscribe) {
      timers_.Set(now_ + static_cast<Micros>(random_.Unit() * 2 * kSecond), TimerKind::kSubscribe, 0);
    } else {
      subscribe_backoff_ = kSecond / 2;
    }
    BeginList(m.workers.size());
    for (const WorkerEntry& e : m.workers) ApplyEntry(e);
    if (m.kind == ListKind::kChanges) return;
    for (Index i = 0; i < workers_.size(); ++i) {  // workers missing from a whole list are gone
      if (workers_[i].last_list == list_number_ || workers_[i].state == WorkerState::kGone) continue;
      workers_[i].state = WorkerState::kGone;
      Rebucket(i);
    }
  }

  // Forgets workers that are gone and that no job was sent to, so that the table does not grow with every
  // worker that ever was. Happens only when the table is large, and at most once for each doubling of the
  // workers that are left.
  void ForgetGoneWorkers() {
    std::vector<bool> in_use(workers_.size(), false);
    for (const auto& [id, job] : jobs_) {
      for (const Attempt& a : job.attempts) in_use[a.worker] = true;
    }
    std::vector<bool> forgotten(workers_.size(), false);
    for (Index i = 0; i < workers_.size(); ++i) {
      const auto known = by_id_.find(workers_[i].id);
      if (in_use[i] || workers_[i].state != WorkerState::kGone || known == by_id_.end() || known->second != i)
        continue;
      key_ring_.erase({MixBits(workers_[i].id), i});
      by_id_.erase(known);
      workers_[i] = Worker{};
      workers_[i].state = WorkerState::kGone;
      free_slots_.push_back(i);
      forgotten[i] = true;
    }
    const auto is_forgotten = [&forgotten](Index i) { return forgotten[i]; };
    std::erase_if(probe_order_, is_forgotten);
    std::erase_if(slow_starters_, is_forgotten);
    std::erase_if(recent_reports_, [&forgotten](const auto& r) { return forgotten[r.second]; });
    forget_at_ = std::max(kMinTableToForget, 2 * (workers_.size() - free_slots_.size()));
  }
  // A position in the table for a new worker.
  Index TakeSlot() {
    if (free_slots_.empty() && workers_.size() >= std::max(kMinTableToForget, forget_at_))
      ForgetGoneWorkers();
    if (free_slots_.empty()) {
      workers_.emplace_back();
      return static_cast<Index>(workers_.size() - 1);
    }
    const Index i = free_slots_.back();
    free_slots_.pop_back();
    return i;
  }

  void ApplyEntry(const WorkerEntry& e) {
    const auto known = by_id_.find(e.id);
    const bool is_new = known == by_id_.end();
    const Index i = is_new ? TakeSlot() : known->second;
    if (is_new) {
      by_id_[e.id] = i;
      key_ring_.emplace(MixBits(e.id), i);
      // A random place in the probing order, so that nodes do not probe in step.
      probe_order_.push_back(i);
      std::swap(probe_order_.back(), probe_order_[random_.Below(probe_order_.size())]);
    }
    Worker& w = workers_[i];
    if (w.bucket >= 0) partitions_[PartitionOf(w)].Move(workers_, i, -1);  // its partition may change
    const bool restarted = is_new || w.listed_start != e.started_at;
    if (restarted) {  // observations of the previous process do not apply to this one
      const bool was_in_slow_start = w.in_slow_start;
      w = Worker{};
      w.in_slow_start = was_in_slow_start;
    }
    const Micros previous_start = w.started_at;
    static_cast<WorkerEntry&>(w) = e;
    w.listed_start = e.started_at;
    if (!restarted) w.started_at = previous_start;
    w.zone = std::clamp(e.zone, 0, settings_.zones - 1);
    w.kind = std::clamp(e.kind, 0, settings_.kinds - 1);
    w.last_list = list_number_;
    if (restarted) w.started_at = EstimatedStart(w);
    if (restarted && IsCold(w)) BeginSlowStart(i);
    Rebucket(i);
  }

  // Slow start: a cold worker receives pushes only on tokens, one push for each. Tokens accrue with this
  // node's requests, at the worker's equal share of them times its capacity share. No token accrues from
  // idle time, from an estimate of unknown traffic, or from retries of shed requests. All nodes together
  // then stay below what the worker can serve, without knowing of each other.
  void IssueColdTokens() {
    const double ready = std::max<double>(
        1.0, static_cast<double>(std::max(workers_.size() - free_slots_.size(), list_size_)));
    const double fair_part = ColdTrafficShare() * served_share_.Value() / ready;
    for (std::size_t n = 0; n < slow_starters_.size();) {
      const Index i = slow_starters_[n];
      Worker& w = workers_[i];
      if (!IsCold(w)) {
        w.in_slow_start = false;
        slow_starters_[n] = slow_starters_.back();
        slow_starters_.pop_back();
        Rebucket(i);
        continue;
      }
      ++n;
      w.token_credit += fair_part * CapacityShare(w);
      if (w.token_credit < 1 || w.state != WorkerState::kReady) continue;
      w.token_credit = std::min(w.token_credit - 1, 1.0);
      w.token_until = now_ + TokenLifetime();
      timers_.Set(w.token_until, TimerKind::kRebucket, i);
      Rebucket(i);
    }
  }
  // Share of its equal part of the requests that a cold worker receives per unit of its capacity share.
  double ColdTrafficShare() const { return std::min(1.0, kColdBudgetShare * settings_.overload_factor); }
  // At low traffic a token must last until the next push. Each node may hold one token, and all may use
  // theirs at the same moment. Together with the tokens issued meanwhile these are at most half of the
  // worker's budget.
  Micros TokenLifetime() const {
    if (arrival_gap_ < kMinTokenLifetime) return kMinTokenLifetime;
    const double budget_windows = settings_.overload_factor / (2 * ColdTrafficShare()) - 1;
    return std::max(kMinTokenLifetime,
                    static_cast<Micros>(static_cast<double>(settings_.overload_window) * budget_windows));
  }
  void BeginSlowStart(Index i) {
    Worker& w = workers_[i];
    w.token_credit = random_.Unit();  // nodes must not send their first push at the same moment
    timers_.Set(w.started_at + settings_.slow_start_time, TimerKind::kRebucket, i);
    if (!std::exchange(w.in_slow_start, true)) slow_starters_.push_back(i);
  }

  // Timers.

  void On(const TimerDue&) {
    timers_.Fire(now_, [this](const Timer& t) { Fire(t); });
  }

  void Fire(const Timer& t) {
    const auto i = static_cast<Index>(t.subject);
    switch (t.kind) {
      case TimerKind::kRetryHeld:
        RetryHeld(true);
        if (!held_.empty()) timers_.Set(now_ + kHeldRetryInterval, TimerKind::kRetryHeld, 0);
        return;
      case TimerKind::kStartCheck:
        return CheckStarted(t);
      case TimerKind::kRebucket:
        return Rebucket(i);
      case TimerKind::kSubscribe:
        actions_->push_back(Subscribe{});
    }
  }

  void CheckStarted(const Timer& t) {
    Job* found = FindJob(t.subject, t.attempt);
    if (found == nullptr) return;
    Job& job = *found;
    const Attempt a = job.attempts[t.attempt];
    if (!a.outstanding || job.ended || a.started >= 0) return;
    // The job is queued, so the worker is full whatever it reported.
    RecordLoad(a.worker, std::max(1.0, workers_[a.worker].queue), 0);
    Rebucket(a.worker);
  }
};

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed, Micros now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;
void Dispatcher::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}
std::uint64_t Dispatcher::PushesWithoutToken() const { return impl_->PushesWithoutToken(); }
std::vector<double> Dispatcher::DrawChances(int job_class) const { return impl_->DrawChances(job_class); }

}  // namespace pebblenotch
