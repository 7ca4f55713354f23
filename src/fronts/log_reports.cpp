#include "src/fronts/log_reports.h"

#include <algorithm>
#include <cstdio>

#include "src/log/log.h"

namespace heronway {
namespace {

constexpr std::size_t kMaxLines = 50;  // per event and report

}  // namespace

std::string FormatSeconds(core::Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / 1e6);
  return text;
}

void LogStormChange(std::string_view front, const limits::StormChange& change,
                    const std::vector<std::string>& classes) {
  const auto& c = change.change;
  const bool worsening = c.to == limits::StormState::kStorm || c.to == limits::StormState::kRising;
  log::Event(worsening ? log::Level::kWarn : log::Level::kInfo, "storm",
             {{"front", front, true},
              {"scope", change.job_class < 0
                            ? std::string_view("all")
                            : std::string_view(classes[static_cast<std::size_t>(change.job_class)])},
              {"from", limits::NameOf(c.from)},
              {"to", limits::NameOf(c.to)},
              {"reason", limits::NameOf(c.reason)},
              {"repeats", c.signals[0]},
              {"refusals", c.signals[1]},
              {"failures", c.signals[2]},
              {"reconnects", c.signals[3]},
              {"cold", c.signals[4]},
              {"arrivals_per_s", c.arrivals_per_s},
              {"missing_share", change.missing_share},
              {"starts_per_s", change.starts_per_s},
              {"booked", change.scheduled_retries}});
}

void LogRuleHits(const match::Service* rules) {
  if (rules == nullptr) return;
  const match::Rules& r = rules->rules();
  std::vector<std::uint32_t> hit_rules;
  for (std::uint32_t i = 0; i < r.size(); ++i) {
    if (r.hits(i) > 0) hit_rules.push_back(i);
  }
  std::stable_sort(hit_rules.begin(), hit_rules.end(),
                   [&r](auto a, auto b) { return r.hits(a) > r.hits(b); });
  for (std::size_t i = 0; i < std::min(hit_rules.size(), kMaxLines); ++i)
    log::Event(log::Level::kInfo, "rule", {{"rule", r.NameOf(hit_rules[i])}, {"hits", r.hits(hit_rules[i])}});
  log::Event(log::Level::kInfo, "rules",
             {{"rules", r.size()}, {"without_a_hit", r.size() - hit_rules.size()}});
}

void LogInvariantViolations(std::string_view front, const core::Invariants& invariants) {
  const auto violations = [&invariants](core::Invariant which) {
    return invariants.Violations(static_cast<std::size_t>(which));
  };
  log::Event(invariants.Violations() > 0 ? log::Level::kError : log::Level::kInfo, "invariants",
             {{"front", front, true},
              {"one_attempt_out", violations(core::Invariant::kOneHopInFlight)},
              {"repeat_allowed", violations(core::Invariant::kRetryAllowed)},
              {"time_left", violations(core::Invariant::kTimeLeft)},
              {"slow_start_token", violations(core::Invariant::kSlowStartToken)},
              {"answered_before_close", violations(core::Invariant::kAnsweredBeforeClose)},
              {"answered_before_exit", violations(core::Invariant::kAnsweredBeforeExit)}});
}

void LogFinalAnswer(std::string_view id, core::AnswerKind kind) {
  if (!log::Enabled(log::Level::kDebug)) return;
  static constexpr const char* kAnswers[] = {"served", "shed", "failed", "rejected"};
  log::Event(log::Level::kDebug, "request", {{"id", id}, {"answer", kAnswers[static_cast<int>(kind)]}});
}

void LogRequestCounters(std::string_view front, const core::Reducer& reducer) {
  const core::Counters& c = reducer.counters();
  log::Event(log::Level::kInfo, "counters",
             {{"front", front, true},
              {"taken", c.taken},
              {"served", c.served},
              {"shed", c.shed},
              {"failed", c.failed},
              {"rejected", c.rejected},
              {"gone", c.disconnected},
              {"held", reducer.pending()},
              {"hops", c.hops},
              {"called_off", c.cancelled},
              {"probes", c.probes},
              {"late_news", c.late_callbacks},
              {"hops_ok", c.hop_results[0]},
              {"hops_error", c.hop_results[1]},
              {"hops_full", c.hop_results[2]},
              {"hops_timeout", c.hop_results[3]},
              {"hops_connect_failed", c.hop_results[4]},
              {"hops_reset", c.hop_results[5]},
              {"hops_cancelled", c.hop_results[6]},
              {"hops_moot", c.hop_results[7]}});
  // The tenants with the most requests.
  std::vector<const core::TenantTable::Row*> tenants;
  for (const auto& row : reducer.tenants().rows()) tenants.push_back(&row);
  std::stable_sort(tenants.begin(), tenants.end(), [](auto* a, auto* b) { return a->taken > b->taken; });
  for (std::size_t i = 0; i < std::min(tenants.size(), kMaxLines) && tenants[i]->taken > 0; ++i) {
    const auto& t = *tenants[i];
    log::Event(log::Level::kInfo, "tenant",
               {{"front", front, true},
                {"tenant", t.name},
                {"taken", t.taken},
                {"served", t.served},
                {"shed", t.shed},
                {"failed", t.failed},
                {"gone", t.disconnected}});
  }
  const limits::Limits* limits = reducer.limits();
  if (limits == nullptr) return;
  const limits::Counters& l = limits->counters();
  log::Event(log::Level::kInfo, "counters",
             {{"front", front, true},
              {"limits", limits::NameOf(limits->state())},
              {"storms", l.storms},
              {"repeats", l.retries},
              {"due", l.on_time_retries},
              {"early", l.early_retries},
              {"overbooked", l.oversubscribed_retries},
              {"booked", l.scheduled_sheds},
              {"unbooked", l.unscheduled_sheds},
              {"first_hops", l.first_hops},
              {"further_hops", l.further_hops},
              {"budget_spent", l.budget_exhausted}});
}

void LogDurableCounters(std::string_view front, const net::Driver& driver) {
  const durable::JobManager* job_manager = driver.reducer().job_manager();
  if (job_manager == nullptr) return;
  using Status = durable::JobTable::Status;
  const auto& k = job_manager->counters();
  log::Event(log::Level::kInfo, "durable",
             {{"front", front, true},
              {"taken", k.accepted},
              {"done", k.done},
              {"failed", k.failed},
              {"retries", k.retries},
              {"lapsed", k.expired},
              {"late", k.stale},
              {"vetoed", k.leases_denied},
              {"rounds", k.dispatches},
              {"waiting",
               job_manager->table().Count(Status::kWaiting) + job_manager->table().Count(Status::kRetrying)},
              {"held", job_manager->table().Count(Status::kLeased)},
              {"in_hand", job_manager->active()},
              {"window", job_manager->window()}});
  if (driver.barrier() == nullptr) return;  // another scheduler holds these jobs now
  const auto w = driver.barrier()->writer().counts();
  log::Event(log::Level::kInfo, "store",
             {{"front", front, true},
              {"records", driver.barrier()->writer().stored()},
              {"unstored", driver.barrier()->writer().enqueued() - driver.barrier()->writer().stored()},
              {"commits", w.commits},
              {"longest_commit_us", w.longest_commit_us},
              {"longest_wait_us", driver.barrier()->longest_block()},
              {"folds", w.compactions},
              {"faults", w.write_errors},
              {"fold_faults", w.compaction_errors},
              {"answered_unstored", driver.barrier()->released_unstored()}});
}

}  // namespace heronway
