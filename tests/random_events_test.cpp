// Property test: long random but legal event sequences under random settings. Every action is checked for
// legality and against rules 1 to 3 with separate bookkeeping. Workers are not modelled; outcomes are random.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "harness.h"

namespace pebblenotch::testing {
namespace {

struct TrackedAttempt {
  WorkerId worker;
  Micros sent;
  bool outstanding = true, never_ran = false;
};
struct TrackedRequest {
  int job_class;
  Micros deadline;
  bool needs_answer = true;
  std::vector<TrackedAttempt> attempts;
};

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed), settings_(RandomSettings()), node_(settings_, seed) {
    for (WorkerId w = 1; w <= 12; ++w) {
      WorkerEntry e = Entry(w, Int(settings_.zones), Int(settings_.kinds));
      e.cell = Int(3);
      workers_[w] = e;
    }
    ListAll(ListKind::kCached);
  }

  void Step() {
    Advance(Int(60));
    switch (Int(10)) {
      case 0:
      case 1:
      case 2:
        SendRequest();
        break;
      case 3:
      case 4:
      case 5:
        EndRandomAttempt();
        break;
      case 6:
        ChangeRandomWorker();
        break;
      case 7:
        Check(node_.ProbeReply(1 + Int(14), Load(Int(4), Int(6))));
        break;
      case 8:
        ReportProgress();
        break;
      default:
        if (Int(8) == 0)
          ListAll(Int(2) == 0 ? ListKind::kWhole : ListKind::kFailed);
        else if (Int(4) == 0)
          ClientLeaves();
    }
  }
  void Finish() {
    Advance(15'000);
    for (auto& [id, request] : requests_) {
      EXPECT_FALSE(request.needs_answer) << "request " << id << " was never answered";
    }
  }
  int pushes() const { return pushes_; }

 private:
  void Advance(int ms) {  // in steps shorter than the margin for late answers
    for (int passed = 0; passed < ms; passed += 5) {
      Check(node_.Run(5 * kMs));
      AnswerOverdue();
    }
  }
  int Int(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
  Settings RandomSettings() {
    const Idempotency idempotencies[] = {Idempotency::kIdempotent, Idempotency::kDeduplicated,
                                         Idempotency::kAtMostOnce};
    const DedupScope scopes[] = {DedupScope::kAll, DedupScope::kZone, DedupScope::kCell};
    Settings s = Site({});
    s.kinds = 1 + Int(3);
    s.zones = 1 + Int(3);
    for (int c = 0, n = 1 + Int(3); c < n; ++c) {
      s.classes.push_back(Class(idempotencies[Int(3)], scopes[Int(3)]));
      s.classes.back().late_worth = Int(2) * 0.2;
      s.classes.back().worth = 1 + Int(5);
      s.classes.back().kind = Int(3) == 0 ? Int(s.kinds) : -1;
    }
    s.max_attempts = 1 + Int(6);
    s.concurrent_attempts = Int(2) == 0;
    s.may_cancel = Int(2) == 0;
    s.may_probe = Int(2) == 0;
    s.worker_reports_start = Int(2) == 0;
    s.must_subscribe = Int(2) == 0;
    s.subscribe_every = 10 * kS;
    s.tenants = {{5}, {0}};
    return s;
  }
  void ListAll(ListKind kind) {
    std::vector<WorkerEntry> all;
    for (auto& [id, e] : workers_) {
      if (e.state != WorkerState::kGone) all.push_back(e);
    }
    if (kind == ListKind::kFailed) all.clear();
    Check(node_.List(kind, all));
  }
  void ChangeRandomWorker() {
    WorkerEntry& e = workers_[1 + Int(12)];
    e.state = static_cast<WorkerState>(Int(3));
    if (Int(3) == 0) e.started_at = node_.now() - Int(3000) * kMs;
    Check(node_.List(ListKind::kChanges, {e}));
  }
  void SendRequest() {
    Request r;
    r.id = ++last_;
    r.job_class = Int(static_cast<int>(settings_.classes.size()));
    r.deadline = node_.now() + (1 + Int(12'000)) * kMs;
    r.tenant = Int(3);
    if (Int(2) == 0) r.hint = Int(3000) * kMs;
    requests_[r.id] = {r.job_class, r.deadline, true, {}};
    Check(node_.Feed(r));
  }
  // Attempts that are outstanding at the client's deadline end with a timeout.
  void AnswerOverdue() {
    for (auto& [id, request] : requests_) {
      if (node_.now() < request.deadline) continue;
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].outstanding) End(id, i, Result::kTimeout);
      }
      EXPECT_FALSE(request.needs_answer) << "request " << id << " is overdue";
      request.needs_answer = false;
    }
  }
  void EndRandomAttempt() {
    std::vector<std::pair<RequestId, std::size_t>> out;
    for (auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].outstanding) out.emplace_back(id, i);
      }
    }
    if (out.empty()) return;
    const auto [id, i] = out[static_cast<std::size_t>(Int(static_cast<int>(out.size())))];
    End(id, i, Int(2) == 0 ? Result::kOk : static_cast<Result>(Int(8)));
  }
  void End(RequestId id, std::size_t attempt, Result result) {
    TrackedRequest& request = requests_[id];
    TrackedAttempt& t = request.attempts[attempt];
    t.outstanding = false;
    t.never_ran = NeverRan(result);
    if (result == Result::kOk) request.needs_answer = false;
    const auto report = Int(2) == 0 ? std::optional(Load(Int(3), Int(6))) : std::nullopt;
    Check(node_.End(id, static_cast<int>(attempt), t.worker, result, !request.needs_answer, report));
  }
  void ReportProgress() {
    for (auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].outstanding && Int(4) == 0) {
          Check(node_.Feed(AttemptProgress{id, static_cast<int>(i), Int(2) == 0, 0.5}));
          return;
        }
      }
    }
  }
  void ClientLeaves() {
    for (auto& [id, request] : requests_) {
      if (!request.needs_answer || Int(4) != 0) continue;
      request.needs_answer = false;
      Check(node_.Feed(ClientGone{id}));
      return;
    }
  }

  void Check(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      std::visit([this](const auto& a) { On(a); }, action);
    }
  }
  void On(const Push& a) {
    ++pushes_;
    ASSERT_TRUE(requests_.contains(a.id));
    TrackedRequest& request = requests_[a.id];
    const ClassSettings& c = settings_.classes[static_cast<std::size_t>(request.job_class)];
    EXPECT_TRUE(request.needs_answer) << "rule 1: pushed after the final answer";
    ASSERT_TRUE(workers_.contains(a.worker));
    const WorkerEntry& to = workers_[a.worker];
    EXPECT_EQ(to.state, WorkerState::kReady) << "rule 3";
    if (c.kind >= 0) {
      EXPECT_EQ(to.kind, c.kind);
    }
    for (const TrackedAttempt& t : request.attempts) {
      EXPECT_TRUE(!t.outstanding || settings_.concurrent_attempts) << "rule 2: concurrent attempts";
      if (t.never_ran || c.idempotency == Idempotency::kIdempotent) continue;
      EXPECT_EQ(c.idempotency, Idempotency::kDeduplicated) << "rule 2: at most once";
      EXPECT_LT(node_.now() - t.sent, c.key_ttl) << "rule 2: key_ttl";
      const WorkerEntry& first = workers_[t.worker];
      if (c.dedup_scope == DedupScope::kZone) {
        EXPECT_EQ(first.zone, to.zone);
      }
      if (c.dedup_scope == DedupScope::kCell) {
        EXPECT_EQ(first.cell, to.cell);
      }
    }
    request.attempts.push_back({a.worker, node_.now()});
    EXPECT_LE(static_cast<int>(request.attempts.size()), settings_.max_attempts);
  }
  void On(const Shed& a) {
    TrackedRequest& request = requests_[a.id];
    const ClassSettings& c = settings_.classes[static_cast<std::size_t>(request.job_class)];
    for (const TrackedAttempt& t : request.attempts) {
      EXPECT_TRUE(t.never_ran || c.idempotency == Idempotency::kIdempotent ||
                  (c.idempotency == Idempotency::kDeduplicated && c.dedup_scope == DedupScope::kAll))
          << "rule 2: shed though it may have run";
    }
    Final(request);
  }
  void On(const Fail& a) { Final(requests_[a.id]); }
  void Final(TrackedRequest& request) {
    EXPECT_TRUE(request.needs_answer) << "rule 1: a second final answer";
    EXPECT_LE(node_.now(), request.deadline + 20 * kMs) << "rule 1: late";
    request.needs_answer = false;
  }
  void On(const Cancel& a) {
    EXPECT_TRUE(settings_.may_cancel);
    EXPECT_LT(a.attempt, static_cast<int>(requests_[a.id].attempts.size()));
  }
  void On(const Probe& a) {
    EXPECT_TRUE(settings_.may_probe);
    EXPECT_TRUE(workers_.contains(a.worker));
  }
  void On(const Subscribe&) { EXPECT_TRUE(settings_.must_subscribe); }
  void On(const ArmTimer& a) { EXPECT_GT(a.at, 0); }

  std::mt19937_64 random_;
  Settings settings_;
  Node node_;
  std::map<WorkerId, WorkerEntry> workers_;
  std::map<RequestId, TrackedRequest> requests_;
  RequestId last_ = 0;
  int pushes_ = 0;
};

TEST(RandomEvents, ActionsFollowTheRules) {
  int pushes = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    World world(seed);
    for (int step = 0; step < 1500 && !::testing::Test::HasFailure(); ++step) world.Step();
    world.Finish();
    pushes += world.pushes();
  }
  EXPECT_GT(pushes, 3'000);  // the checks were not vacuous
}

}  // namespace
}  // namespace pebblenotch::testing
