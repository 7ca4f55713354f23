// The decision module; its interface - settings, events, actions - is include/pebblenotch/brain.h.
// Reading order: worker table, ranking index and draw, request life cycle (the only place that sends),
// outcomes, membership, timers. A request goes Start -> Draw -> Send: a random draw over eligible workers, by
// the squared rank of reported queue plus own pushes. docs/design.md lists the exceptions.
#include "pebblenotch/brain.h"

#include <cmath>
#include <numeric>

#include "src/state.h"

namespace pebblenotch {
namespace {

constexpr Micros kMillis = 1'000;
constexpr Micros kSecond = 1'000'000;

constexpr Micros kStartGrace = 60 * kMillis;  // a push not told to have started by then stands in a queue
// A failed worker sits out so long, doubled for each failure in a row, to a limit: one broken connection is
// no sign of a dead process, several failures are.
constexpr Micros kEjection = 750 * kMillis, kLongestEjection = 6 * kSecond;
constexpr double kColdBudget = 0.4;       // of what the rules allow a cold worker at full load, sent to it;
                                          // never over its fair part: a warm one gets no more
constexpr Micros kNoticed = 6 * kSecond;  // a start counts as told by then
constexpr double kUnprovedPart =
    0.6;  // of the budget of one that has just started, where its age is unproved
constexpr Micros kTokenLife = 500 * kMillis;  // a cold worker's token lasts at least so long
constexpr double kRivals = 0.25;              // of the nodes that heard of a free slot, those that claim it
// Shedding aims at this share of late starts; it fades by itself, as few starts are left to end it. It is for
// real overload: at a quarter, a few workers that restarted on a quiet day had two fifths of jobs refused.
constexpr double kLateStarts = 0.75, kShedStep = 0.02, kShedFade = 10e6;
constexpr double kKeyHomes = 3, kKeySpread = 1;  // workers near a key: at least, and for its share of jobs
constexpr int kQuietPushes = 1;  // own pushes a worker kept quiet about, after which it is full of them
constexpr int kProbesPerRequest = 2;
// When a refused client is told to come back, on average, apart from the others: a crowd turned away
// must not return as one.
constexpr Micros kComeBack = 500 * kMillis;
// How long past its last start in time a job is held, in usual running times: a long job, worth most, has a
// later aim, and an answer past it is worth something. Longer spends workers on the late, and makes more so.
constexpr double kLateRuns = 2;
constexpr Micros kHoldStep = 20 * kMillis;  // held requests look for room this often
constexpr int kClassFloor = 2;              // jobs of each class that are held however long the wait
constexpr double kStarved = 20e6;  // a class that waits gets one in so many starts at least, in millionths
constexpr int kPumpMisses = 16;    // held jobs that find no room, after which the others need not look

// Buckets of equal keys, best first: room is known, nothing recent is known, known to be full, ejected.
constexpr int kStale = 30, kFull = 40, kEjected = 63;
constexpr int kDepth = 10;  // keys that a tier tells apart: free slots, own pushes
constexpr std::uint64_t Bits(int from, int to) { return ((~0ULL) >> (63 - (to - from))) << from; }
constexpr std::uint64_t kStaleTier = Bits(kStale, kFull - 1), kEjectedTier = Bits(kEjected, kEjected);

}  // namespace

class Dispatcher::Impl : NodeState {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Micros now) {
    s_ = settings;
    random_ = Random(seed);
    now_ = last_arrival_ = now;
    s_.zones = std::max(1, s_.zones);
    s_.zone = std::clamp(s_.zone, 0, s_.zones - 1);
    s_.kinds = std::clamp(s_.kinds, 1, 64);
    s_.slow_start_time = std::max<Micros>(s_.slow_start_time, 1);
    groups_.resize(static_cast<std::size_t>(s_.zones) * s_.kinds);
    for (const auto& c : s_.classes) {
      usual_run_.push_back(static_cast<double>(c.aim));
      scarce_.push_back(0);
      patience_.push_back(0);
      waiting_.push_back(0);
      last_start_.push_back(now);
      for (const auto& other : s_.classes) {
        if (c.kind < 0 && other.kind >= 0 && other.worth > c.worth)
          scarce_.back() |= 1ULL << std::min(other.kind, 63);
      }
    }
    for (const auto& t : s_.tenants) {  // each node judges by its part of the allowance
      const double rate = t.allowance_per_s > 0 ? t.allowance_per_s : 1e9;
      shares_.emplace_back(rate / std::max(1, s_.nodes), std::max(2.0, rate));
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
    if (job_class < 0 || job_class >= static_cast<int>(s_.classes.size())) return chances;
    const Pool pool = PoolFor(job_class, 1, 0, true);
    Weights weights = WeightsOf(pool);
    for (Index i = 0; i < workers_.size(); ++i) {
      const Worker& w = workers_[i];
      if (w.bucket >= 0 && InPool(pool, GroupOf(w)) && (pool.buckets >> w.bucket & 1) != 0) {
        chances[i] = weights.each[w.bucket] / weights.total;
      }
    }
    return chances;
  }

 private:
  // ---- worker table
  Micros Jitter(Micros t) { return static_cast<Micros>((0.5 + random_.Unit()) * static_cast<double>(t)); }
  int GroupOf(const Worker& w) const { return w.zone * s_.kinds + w.kind; }
  bool Cold(const Worker& w) const { return w.started_at > 0 && now_ < w.started_at + s_.slow_start_time; }
  // A start that clocks claim to be no older than what takes it to be noticed is dated between that and
  // when it was heard of. Clocks that are wrong by seconds then cost a small part of the slow start at
  // most.
  Micros DatedStart(const WorkerEntry& e) const {
    const Micros age = e.started_at - e.claimed_started_at;
    if (e.claimed_started_at <= 0 || age <= 0 || age > kNoticed) return e.started_at;
    return e.started_at - std::min(age / 2, s_.slow_start_time / 4);
  }
  // Of its capacity, at the least. Where clocks only claim that it is older than can be proved, no more
  // than a worker of any age may get: part of what the settings allow one that has just started.
  double WarmShare(const Worker& w) const {
    const double proved = ShareAtAge(now_ - w.started_at);
    if (w.claimed_started_at <= 0 || w.claimed_started_at >= w.started_at) return proved;
    const double at_any_age = std::min(1.0, kUnprovedPart * s_.overload_factor * s_.slow_start_floor);
    return std::max(proved, std::min(at_any_age, ShareAtAge(now_ - w.claimed_started_at)));
  }
  double ShareAtAge(Micros age) const {
    return std::min(
        1.0, s_.slow_start_floor + (1 - s_.slow_start_floor) * static_cast<double>(age) / s_.slow_start_time);
  }

  int BucketOf(const Worker& w) const {
    if (w.state != WorkerState::kReady) return -1;
    if (Cold(w) && now_ >= w.token_until) return -1;  // slow start: only on a token
    if (now_ < w.ejected_until) return kEjected;
    const int own = static_cast<int>(w.own.size());
    // Guards against pouring jobs on a worker because it says nothing: silence is no room.
    if (w.heard < 0 || now_ - w.heard > horizon_)
      return own < kQuietPushes ? kStale + own : std::min(kFull + own, kEjected - 1);
    const int load = static_cast<int>(std::lround(w.queue)) + own;
    const int free = static_cast<int>(std::lround(w.free)) - own;
    if (w.queue >= 0.5 || free < 1) return std::min(kFull + load, kEjected - 1);
    return std::min(load, 2) * kDepth + kDepth - std::min(free, kDepth);
  }

  void Rebucket(Index i) {
    Worker& w = workers_[i];
    const int bucket = BucketOf(w);
    if (bucket != w.bucket) groups_[GroupOf(w)].Move(workers_, i, bucket);
  }

  void Learn(Index i, double queue, double free, Micros age = 0) {
    Worker& w = workers_[i];
    w.queue = queue;
    w.free = free;
    w.heard = now_ - age;
    fresh_.emplace(std::upper_bound(fresh_.begin(), fresh_.end(), std::pair{w.heard, ~Index{0}}), w.heard, i);
  }

  void TakeReport(Index i, const Report& report, Micros age = 0) {
    Worker& w = workers_[i];
    if (age > 0 && w.heard >= now_ - age) return;
    std::erase_if(w.own, [&](Micros sent) { return sent <= now_ - age - kReportLag; });  // it knows of them
    double free = report.free_slots.value_or(1);
    if (report.free_memory) free = std::min(free, *report.free_memory);
    if (!held_.empty()) {
      // Exception "part of the room": jobs held here are held elsewhere; it takes its part of free slots.
      const double heard = static_cast<double>(fresh_.size()) / static_cast<double>(workers_.size());
      free = std::floor(free / std::max(1.0, kRivals * s_.nodes * std::min(1.0, heard)) + random_.Unit());
    }
    Learn(i, report.waiting.value_or(0), free, age);
    Rebucket(i);
  }

  // Reports that have grown old against the running time of jobs no longer tell of room or of its lack.
  void ForgetOldReports() {
    while (!fresh_.empty() && now_ - fresh_.front().first > horizon_) {
      const auto [heard, i] = fresh_.front();
      fresh_.pop_front();
      if (workers_[i].heard == heard) Rebucket(i);
    }
  }

  void Eject(Index i) {
    Worker& w = workers_[i];
    w.ejected_until = now_ + std::min(kLongestEjection, kEjection << std::min(w.failures++, 8));
    timers_.Set(w.ejected_until, TimerKind::kReturn, i);
    Rebucket(i);
  }

  // ---- ranking index and draw
  bool InPool(const Pool& pool, int group) const {
    const int zone = group / s_.kinds, kind = group % s_.kinds;
    return zone >= pool.first_zone && zone <= pool.last_zone && (pool.kinds >> kind & 1) != 0;
  }
  template <typename F>
  void EachGroup(const Pool& pool, F&& f) const {
    for (int g = pool.first_zone * s_.kinds; g < (pool.last_zone + 1) * s_.kinds; ++g) {
      if (InPool(pool, g)) f(groups_[g]);
    }
  }
  bool Has(const Pool& pool) const {
    bool any = false;
    EachGroup(pool, [&](const Group& g) { any = any || (g.occupied & pool.buckets) != 0; });
    return any;
  }

  // The workers that a draw is made from: those with room where there are any, then those of which nothing
  // recent is known; home first. Exception "scarce kind": workers of a kind that a class of more worth needs
  // sit out a job's first try while it has others to go to, lest the lesser work fill them.
  Pool PoolFor(int job_class, double slots, int tries, bool may_queue) const {
    const int need = s_.classes[job_class].kind;
    const std::uint64_t kinds = need < 0 ? ~0ULL : 1ULL << std::min(need, 63);
    const std::uint64_t spare = kinds & ~scarce_[job_class];
    const std::uint64_t room = RoomFor(slots), stale = may_queue ? kStaleTier : 0;
    const int last = s_.zones - 1;
    for (const Pool& pool :
         {Pool{s_.zone, s_.zone, spare, room}, Pool{0, last, spare, room},
          Pool{s_.zone, s_.zone, spare, tries == 0 ? stale : 0}, Pool{0, last, spare, tries == 0 ? stale : 0},
          Pool{0, last, kinds, room}, Pool{0, last, kinds, stale}}) {
      if (Has(pool)) return pool;
    }
    const Pool trusted{0, last, kinds, ~kEjectedTier};
    return {0, last, kinds, Has(trusted) ? 0 : kEjectedTier};  // panic: better a suspect than nobody
  }
  static std::uint64_t RoomFor(double slots) {
    const int most = kDepth - std::clamp(static_cast<int>(std::ceil(slots)), 1, kDepth);
    std::uint64_t room = 0;
    for (int load = 0; load < 3; ++load) room |= Bits(load * kDepth, load * kDepth + most);
    return room;
  }

  Weights WeightsOf(const Pool& pool) const {
    Weights weights;
    EachGroup(pool, [&](const Group& g) {
      for (std::uint64_t left = g.occupied & pool.buckets; left != 0; left &= left - 1) {
        const int b = std::countr_zero(left);
        weights.count[b] += static_cast<Index>(g.buckets[b].size());
      }
    });
    SquareRanks(weights);
    return weights;
  }

  // Every worker of a bucket has the same key, so the same rank: one more than the workers behind them.
  static void SquareRanks(Weights& weights) {
    double rank = std::accumulate(weights.count.begin(), weights.count.end(), 0.0);
    for (int b = 0; b < kBuckets; rank -= weights.count[b++]) {
      weights.each[b] = rank * rank;
      weights.total += weights.each[b] * weights.count[b];
    }
  }

  // Draws a bucket by its workers' weights, and one of its workers evenly. There must be a worker.
  std::pair<int, std::size_t> DrawPlace(const Weights& weights) {
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
    auto [drawn, nth] = DrawPlace(weights);
    std::optional<Index> found;
    EachGroup(pool, [&, drawn = drawn, nth = nth](const Group& g) mutable {
      const auto& bucket = g.buckets[drawn];
      if (!found && nth < bucket.size()) found = bucket[nth];
      nth -= std::min(nth, bucket.size());
    });
    return found;
  }

  // Exception "kept keys": a worker that has a job's key spares fetching it. A job with a key is drawn by the
  // same ranks from the few workers at home next to the key on a ring, the same at every node, more for a key
  // many ask for; from the whole table where none may have room. `all`: all those of a request's groups.
  std::optional<Index> DrawNearKey(const Job& job, bool all) {
    const Request& r = job.request;
    if (r.key == 0 && !all) return std::nullopt;
    const std::uint64_t fit = RoomFor(r.slots) | kStaleTier;
    const double near_key = kKeyHomes + kKeySpread * job.key_share * static_cast<double>(ring_.size());
    int left = static_cast<int>(all ? static_cast<double>(ring_.size()) : near_key);
    Weights weights;
    std::vector<Index> near;
    auto at = ring_.lower_bound({Scatter(r.key), 0});
    for (std::size_t n = 0; n < ring_.size() && left > 0; ++n, ++at) {
      if (at == ring_.end()) at = ring_.begin();
      const Worker& w = workers_[at->second];
      const int need = job.kind_of_job->kind;
      const bool meant =
          r.required_groups != 0 ? (w.groups & r.required_groups) == r.required_groups : w.zone == s_.zone;
      if (w.state == WorkerState::kGone || !meant || (need >= 0 && w.kind != need)) continue;
      --left;
      if (w.bucket < 0 || (fit >> w.bucket & 1) == 0) continue;
      near.push_back(at->second);
      ++weights.count[w.bucket];
    }
    if (near.empty()) return std::nullopt;
    SquareRanks(weights);
    auto [drawn, nth] = DrawPlace(weights);
    for (const Index i : near) {
      if (workers_[i].bucket == drawn && nth-- == 0) return i;
    }
    return std::nullopt;
  }

  // ---- request life cycle
  void On(const Request& r) {
    const bool known_class = r.job_class >= 0 && r.job_class < static_cast<int>(s_.classes.size());
    if (jobs_.contains(r.id)) return;
    if (!known_class || r.deadline <= now_ || r.return_timing == ReturnTiming::kEarly)
      return actions_->push_back(Shed{r.id, 0});
    const double passed = static_cast<double>(now_ - std::exchange(last_arrival_, now_));
    gap_ += 0.05 * (passed - gap_);
    shed_ *= std::max(0.0, 1 - passed / kShedFade);
    served_share_.Asked();
    EarnColdTokens();
    Job& job = jobs_[r.id];
    job.request = r;
    const ClassSettings& c = *(job.kind_of_job = &s_.classes[r.job_class]);
    // A client's retry has less time left than its first try had; what it wanted counts from that one.
    Micros& patience = patience_[r.job_class] = std::max(patience_[r.job_class], r.deadline - now_);
    job.born = r.deadline - patience;
    if (r.key != 0) job.key_share = key_shares_.Count(r.key);
    const double run = ExpectedRun(job);
    const Micros aim = job.born + c.aim + static_cast<Micros>((c.aim_stretch - 1) * run);
    job.give_up = std::min(aim + static_cast<Micros>(kLateRuns * run), r.deadline - 2 * kHoldStep);
    job.useful_until = std::min(aim, job.give_up);
    job.density = c.worth / (s_.worth_by_work ? 1 : std::max(run, 1.0));
    const bool has_share = r.tenant >= 0 && r.tenant < static_cast<int>(shares_.size());
    if (has_share && !shares_[r.tenant].Take(now_)) job.density *= s_.over_share_worth;
    if (s_.may_probe) ProbeSome();
    densest_ = std::max(densest_ * 0.999, job.density);
    // Load shedding: jobs start too late to be of use. What is worth least for its work goes first.
    const double keep = job.density / densest_ * (1 - shed_);
    if (random_.Unit() * (shed_ + keep) < shed_) return End(job);
    Start(job);
  }

  double ExpectedRun(const Job& job) const {
    return job.request.hint ? static_cast<double>(*job.request.hint) : usual_run_[job.request.job_class];
  }

  // The order in which held jobs are looked at: by what they are worth for their work, what is late last.
  static double Turn(const Job& job) {
    const double due = job.request.return_timing == ReturnTiming::kDue ? 1e-6 : 0;
    const double density = job.density * (1 + due + 1e-5 * std::clamp(job.request.priority, 0, 15));
    return job.late ? -density * job.kind_of_job->late_worth : -1e6 - density;
  }

  // Sends the job, or holds it where no worker can take it now, or ends it where it can no longer be served.
  void Start(Job& job) {
    const int left = s_.max_attempts - job.tries();
    const bool lost = job.kind_of_job->idempotency == Idempotency::kAtMostOnce && job.MayHaveRun();
    const bool spent =
        job.tries() > 0 && (allow_.retryable_classes >> std::min(job.request.job_class, 63) & 1) == 0;
    const bool too_late = now_ > (allow_.shed_late ? job.useful_until : job.give_up);
    if (lost || spent || left <= 0 || too_late) return End(job);
    if (SendCopy(job, left > 1 || job.tries() == 0) || job.held) return;
    if (Hopeless(job)) return End(job);
    job.held = true;
    ++waiting_[job.request.job_class];
    held_.emplace(Turn(job), job.request.id);
    if (held_.size() == 1) timers_.Set(now_ + kHoldStep, TimerKind::kPump, 0);
  }

  // Within the host's limits: held behind as much worth, it would start so late as to make the rest late too.
  bool Hopeless(const Job& job) const {
    const int own = job.request.job_class;
    if (allow_.starts_per_s <= 0 || waiting_[own] < kClassFloor) return false;
    const auto density = [this](int c) {
      return s_.classes[c].worth / (s_.worth_by_work ? 1 : std::max(usual_run_[c], 1.0));
    };
    double ahead = 0;
    for (int c = 0; c < static_cast<int>(waiting_.size()); ++c)
      ahead += density(c) >= density(own) ? waiting_[c] : 0;
    const double share = job.request.return_timing == ReturnTiming::kDue ? 1 : allow_.slack_share;
    return ahead * 1e6 / allow_.starts_per_s > share * static_cast<double>(job.useful_until - now_);
  }

  // Rule 2: may the job be sent to this worker, given what its earlier attempts may have done?
  bool MaySend(const Job& job, const Worker& to) const {
    const ClassSettings& c = *job.kind_of_job;
    for (const Attempt& a : job.attempts) {
      if (a.out && !s_.concurrent_attempts) return false;
      if (a.never_ran || c.idempotency == Idempotency::kIdempotent) continue;
      if (c.idempotency == Idempotency::kAtMostOnce || now_ - a.sent >= c.key_ttl) return false;
      const Worker& first = workers_[a.worker];
      if (c.dedup_scope == DedupScope::kZone && first.zone != to.zone) return false;
      if (c.dedup_scope == DedupScope::kCell && first.cell != to.cell) return false;
    }
    return true;
  }

  // Draws a worker that this job has not been to and sends. False where there is none.
  bool SendCopy(Job& job, bool may_queue) {
    if (out_ >= allow_.max_outstanding) return false;
    ForgetOldReports();
    std::vector<Index> aside;
    for (const Attempt& a : job.attempts) SetAside(a.worker, aside);
    const Index cold = Tokened(job);
    std::optional<Index> drawn;
    for (int tries = cold < workers_.size() ? 4 : 0; tries < 4; ++tries) {
      const Request& r = job.request;
      drawn = DrawNearKey(job, false);
      if (!drawn)
        drawn = r.required_groups != 0 ? DrawNearKey(job, true)
                                       : Draw(PoolFor(r.job_class, r.slots, job.tries(), may_queue));
      if (!drawn || MaySend(job, workers_[*drawn])) break;
      SetAside(*drawn, aside);
      drawn.reset();
    }
    for (const Index i : aside) Rebucket(i);
    if (cold < workers_.size()) drawn = cold;
    if (drawn) Send(job, *drawn);
    return drawn.has_value();
  }
  // Exception "cold token": a token is for the next push that may go there; in the draw it lapses unused.
  Index Tokened(const Job& job) const {  // the table's size where no worker holds one
    const int need = job.request.required_groups == 0 && gap_ >= kTokenLife ? job.kind_of_job->kind : -2;
    const auto holds = [&](const Worker& w) {
      return now_ < w.token_until && w.bucket >= 0 && w.bucket < kFull && (need == -1 || need == w.kind) &&
             MaySend(job, w);
    };
    return static_cast<Index>(std::find_if(workers_.begin(), workers_.end(), holds) - workers_.begin());
  }
  void SetAside(Index i, std::vector<Index>& aside) {
    Worker& w = workers_[i];
    if (w.bucket < 0) return;
    const WorkerState state = std::exchange(w.state, WorkerState::kGone);
    Rebucket(i);
    w.state = state;
    aside.push_back(i);
  }

  // The only place that sends.
  void Send(Job& job, Index i) {
    Worker& w = workers_[i];
    Unhold(job);
    w.own.push_back(now_);
    pushes_without_token_ += Cold(w) && now_ >= w.token_until ? 1 : 0;
    w.token_until = 0;  // a cold worker's token is spent
    Rebucket(i);
    const int attempt = job.tries();
    job.attempts.push_back({i, now_});
    last_start_[job.request.job_class] = now_;
    ++out_;
    actions_->push_back(Push{job.request.id, w.id, 0});
    if (s_.worker_reports_start)
      timers_.Set(now_ + kStartGrace, TimerKind::kStartCheck, job.request.id, attempt);
  }

  void Unhold(Job& job) {
    if (!std::exchange(job.held, false)) return;
    held_.erase({Turn(job), job.request.id});
    --waiting_[job.request.job_class];
  }

  // The final answer: a refusal where the rules allow to say that a retry is harmless, else a failure.
  void End(Job& job) {
    const ClassSettings& c = *job.kind_of_job;
    const bool refusable = c.idempotency == Idempotency::kIdempotent || !job.MayHaveRun() ||
                           (c.idempotency == Idempotency::kDeduplicated && c.dedup_scope == DedupScope::kAll);
    actions_->push_back(refusable ? Action(Shed{job.request.id, Jitter(kComeBack)})
                                  : Action(Fail{job.request.id}));
    Finish(job);
  }

  // Nothing more is sent for an ended job; copies still out are called off and remembered until they return.
  void Finish(Job& job) {
    Unhold(job);
    job.ended = true;
    CallOff(job, false);
    if (!job.AnyOut()) jobs_.erase(job.request.id);
  }

  void CallOff(const Job& job, bool only_waiting) {
    for (int i = 0; i < job.tries() && s_.may_cancel; ++i) {
      const Attempt& a = job.attempts[i];
      if (a.out && !(only_waiting && a.started >= 0)) actions_->push_back(Cancel{job.request.id, i});
    }
  }

  // `all`: those that are over, or late, as well as those that may find room.
  void Pump(bool all) {
    ForgetOldReports();
    std::vector<RequestId> ids;
    // Within limits no class waits for ever behind those of more worth: one job of it goes first.
    std::uint64_t starving = 0;
    for (std::size_t c = 0; c < waiting_.size() && allow_.starts_per_s > 0; ++c) {
      const bool long_ago = static_cast<double>(now_ - last_start_[c]) > kStarved / allow_.starts_per_s;
      if (long_ago && waiting_[c] > 0) starving |= 1ULL << std::min<std::size_t>(c, 63);
    }
    for (const auto& [turn, id] : held_) {
      const std::uint64_t own = 1ULL << std::min(jobs_.at(id).request.job_class, 63);
      const bool enough = !all && ids.size() >= kPumpMisses && allow_.starts_per_s > 0;
      if (!enough || (starving & own) != 0) ids.insert((starving & own) != 0 ? ids.begin() : ids.end(), id);
      starving &= ~own;
      if (enough && starving == 0) break;
    }
    for (const RequestId id : ids) {
      Job& job = jobs_.at(id);
      if (!job.held) continue;
      // Past its aim a job is worth less: what can still be in time goes before it.
      if (!job.late && now_ > job.useful_until) {
        held_.erase({Turn(job), id});
        job.late = true;
        held_.emplace(Turn(job), id);
      }
      Start(job);
    }
  }

  void ProbeSome() {
    // Where answers report, probes must come round before reports grow old, else nodes crowd the same ones.
    const double round = gap_ / kProbesPerRequest * static_cast<double>(workers_.size());
    if (workers_.empty() || (s_.reports_in_answers && round > static_cast<double>(horizon_))) return;
    for (int n = 0, looked = 0; n < kProbesPerRequest && looked < 8; ++looked) {
      const Index i = probe_order_[probe_next_++ % probe_order_.size()];
      const Worker& w = workers_[i];
      if (w.state != WorkerState::kReady || Cold(w)) continue;
      actions_->push_back(Probe{w.id});
      ++n;
    }
  }

  // ---- outcomes
  Job* Find(RequestId id, int attempt) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() || attempt < 0 || attempt >= it->second.tries() ? nullptr : &it->second;
  }

  void On(const Outcome& o) {
    Job* found = Find(o.id, o.attempt);
    if (found == nullptr || !found->attempts[o.attempt].out) return;
    Job& job = *found;
    Attempt& a = job.attempts[o.attempt];
    a.out = false;
    --out_;
    a.never_ran = NeverRan(o.result);
    Worker& w = workers_[a.worker];
    if (const auto own = std::find(w.own.begin(), w.own.end(), a.sent); own != w.own.end()) w.own.erase(own);
    Judge(job, a, o);
    if (o.report) TakeReport(a.worker, *o.report);
    if (o.result == Result::kOk && w.queue < 0.5 && o.report && w.free < 1) w.free = 1;  // its slot is free
    if (o.result == Result::kFull) Learn(a.worker, std::max(1.0, w.queue), 0);
    Rebucket(a.worker);
    if (job.ended) {
      if (!job.AnyOut()) jobs_.erase(o.id);
    } else if (o.finished) {
      Finish(job);
    } else if (now_ >= job.request.deadline) {
      End(job);
    } else if (!job.AnyOut()) {
      Start(job);
    }
    if (!held_.empty()) Pump(false);
  }

  // Health, from the node's own evidence.
  void Judge(const Job& job, const Attempt& a, const Outcome& o) {
    const bool bad = o.result == Result::kError || o.result == Result::kTimeout ||
                     o.result == Result::kConnectFailed || o.result == Result::kReset;
    if (bad) return Eject(a.worker);
    if (o.result != Result::kOk) return;
    workers_[a.worker].failures = 0;
    served_share_.Served();
    if (a.started < 0) ObserveStart(now_ > job.useful_until + static_cast<Micros>(ExpectedRun(job)));
    const Micros run = a.started >= 0 ? now_ - a.started : o.latency;
    usual_run_[job.request.job_class] += 0.05 * (run - usual_run_[job.request.job_class]);
    horizon_ = std::clamp<Micros>(horizon_ + (run - horizon_) / 20, 300 * kMillis, 1500 * kMillis);
  }

  // Raises the share that is shed while more than kLateStarts of the jobs start too late, else lowers it.
  void ObserveStart(bool late) {
    shed_ = std::clamp(shed_ + kShedStep * ((late ? 1.0 : 0.0) - kLateStarts), 0.0, 0.95);
  }

  void On(const AttemptProgress& n) {
    Job* found = Find(n.id, n.attempt);
    if (found == nullptr || !n.started || found->attempts[n.attempt].started >= 0) return;
    Job& job = *found;
    job.attempts[n.attempt].started = now_;
    ObserveStart(now_ > job.useful_until);
    if (!job.ended) CallOff(job, true);  // one copy runs: those that wait are not needed
  }

  void On(const ProbeResult& p) {
    const auto it = by_id_.find(p.worker);
    if (it != by_id_.end() && p.report) {
      TakeReport(it->second, *p.report, p.age);
    } else if (it != by_id_.end()) {
      // No report is news too: a probe late like a waiting job tells of a queue, not of room grown old.
      if (p.result == Result::kTimeout) Learn(it->second, std::max(1.0, workers_[it->second].queue), 0);
      if (p.result == Result::kConnectFailed || p.result == Result::kReset) Eject(it->second);
      Rebucket(it->second);
    }
    if (!held_.empty()) Pump(false);
  }

  void On(const StreamStarted&) {}

  void On(const HostLimits& a) { allow_ = a; }
  void On(const TierSize& t) { s_.nodes = std::max(1, t.nodes); }

  void On(const ClientGone& g) {
    if (const auto it = jobs_.find(g.id); it != jobs_.end() && !it->second.ended) Finish(it->second);
  }

  void On(const AnswerNow& a) {
    if (const auto it = jobs_.find(a.id); it != jobs_.end() && !it->second.ended) End(it->second);
  }

  // ---- membership
  void On(const Membership& m) {
    if (m.kind == ListKind::kFailed) {
      // Back off, apart from the others: a list service that all ask at once answers nobody.
      ask_wait_ = std::min(ask_wait_ * 2, std::max<Micros>(kSecond, s_.subscribe_every));
      if (s_.must_subscribe) timers_.Set(now_ + Jitter(ask_wait_), TimerKind::kSubscribe, 0);
      return;
    }
    if (m.kind == ListKind::kCached && s_.must_subscribe) {
      timers_.Set(now_ + static_cast<Micros>(random_.Unit() * 2 * kSecond), TimerKind::kSubscribe, 0);
    } else {
      ask_wait_ = kSecond / 2;
    }
    BeginList(m.workers.size());
    for (const WorkerEntry& e : m.workers) TakeEntry(e);
    if (m.kind == ListKind::kChanges) return;
    for (Index i = 0; i < workers_.size(); ++i) {  // whoever is missing from a whole list is gone
      if (workers_[i].listed == list_ || workers_[i].state == WorkerState::kGone) continue;
      workers_[i].state = WorkerState::kGone;
      Rebucket(i);
    }
  }

  void TakeEntry(const WorkerEntry& e) {
    const auto [it, is_new] = by_id_.try_emplace(e.id, static_cast<Index>(workers_.size()));
    const Index i = it->second;
    if (is_new) {
      workers_.emplace_back();
      ring_.emplace(Scatter(e.id), i);
      // A new place in the probing order, at random: nodes must not probe in step.
      probe_order_.push_back(i);
      std::swap(probe_order_.back(), probe_order_[random_.Below(probe_order_.size())]);
    }
    Worker& w = workers_[i];
    if (w.bucket >= 0) groups_[GroupOf(w)].Move(workers_, i, -1);  // its group may change
    const bool restarted = is_new || w.told_since != e.started_at;
    if (restarted) {  // what was known of the process before tells nothing of this one
      const bool listed_cold = w.in_slow_start;
      w = Worker{};
      w.in_slow_start = listed_cold;
    }
    const Micros dated = w.started_at;
    static_cast<WorkerEntry&>(w) = e;
    w.told_since = e.started_at;
    if (!restarted) w.started_at = dated;
    w.zone = std::clamp(e.zone, 0, s_.zones - 1);
    w.kind = std::clamp(e.kind, 0, s_.kinds - 1);
    w.listed = list_;
    if (restarted) w.started_at = DatedStart(w);
    if (restarted && Cold(w)) BeginSlowStart(i);
    Rebucket(i);
  }

  // Slow start. A cold worker takes pushes only on tokens, each for one push. They come with this node's
  // requests, at the worker's fair part of them cut to its warm share: no token comes of a lull, of a
  // guess at traffic that is not known yet, or of requests that only ask again because they were refused.
  // All nodes together then stay under what the worker can bear, knowing nothing of others.
  void EarnColdTokens() {
    const double ready = std::max<double>(1.0, static_cast<double>(std::max(workers_.size(), listing_)));
    const double fair_part = ColdPart() * served_share_.Value() / ready;
    for (std::size_t n = 0; n < slow_starters_.size();) {
      const Index i = slow_starters_[n];
      Worker& w = workers_[i];
      if (!Cold(w)) {
        w.in_slow_start = false;
        slow_starters_[n] = slow_starters_.back();
        slow_starters_.pop_back();
        Rebucket(i);
        continue;
      }
      ++n;
      w.token_credit += fair_part * WarmShare(w);
      if (w.token_credit < 1 || w.state != WorkerState::kReady) continue;
      w.token_credit = std::min(w.token_credit - 1, 1.0);
      w.token_until = now_ + TokenLife();
      timers_.Set(w.token_until, TimerKind::kReturn, i);
      Rebucket(i);
    }
  }
  // Of its fair part of the requests, what a cold worker is sent for each unit of its warm share.
  double ColdPart() const { return std::min(1.0, kColdBudget * s_.overload_factor); }
  // Where traffic is thin a token has to last until the next push. All nodes may hold one at a time, to
  // be spent in one moment: together with those that come meanwhile they make up half of the worker's
  // budget at most.
  Micros TokenLife() const {
    if (gap_ < kTokenLife) return kTokenLife;
    const double budget_windows = s_.overload_factor / (2 * ColdPart()) - 1;
    return std::max(kTokenLife,
                    static_cast<Micros>(static_cast<double>(s_.overload_window) * budget_windows));
  }
  void BeginSlowStart(Index i) {
    Worker& w = workers_[i];
    w.token_credit = random_.Unit();  // nodes must not send their first in one moment
    timers_.Set(w.started_at + s_.slow_start_time, TimerKind::kReturn, i);
    if (!std::exchange(w.in_slow_start, true)) slow_starters_.push_back(i);
  }

  // ---- timers
  void On(const TimerDue&) {
    timers_.Fire(now_, [this](const Timer& t) { Fire(t); });
  }

  void Fire(const Timer& t) {
    const auto i = static_cast<Index>(t.subject);
    switch (t.kind) {
      case TimerKind::kPump:
        Pump(true);
        if (!held_.empty()) timers_.Set(now_ + kHoldStep, TimerKind::kPump, 0);
        return;
      case TimerKind::kStartCheck:
        return Check(t);
      case TimerKind::kReturn:
        return Rebucket(i);
      case TimerKind::kSubscribe:
        actions_->push_back(Subscribe{});
    }
  }

  void Check(const Timer& t) {
    Job* found = Find(t.subject, t.attempt);
    if (found == nullptr) return;
    Job& job = *found;
    const Attempt a = job.attempts[t.attempt];
    if (!a.out || job.ended || a.started >= 0) return;
    Learn(a.worker, std::max(1.0, workers_[a.worker].queue), 0);  // it waits: full, whatever was reported
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
