// Log events that both fronts write: counters, storm changes, rule hits and final answers.
#ifndef HERONWAY_FRONTS_LOG_REPORTS_H_
#define HERONWAY_FRONTS_LOG_REPORTS_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/core/reducer.h"
#include "src/match/service.h"
#include "src/net/driver.h"

namespace heronway {

// Formats a wait for clients as seconds with three decimals.
std::string FormatSeconds(core::Micros time);
// Logs a change of the storm state with the measurements that caused it. `classes`: names by class index.
void LogStormChange(std::string_view front, const limits::StormChange& change,
                    const std::vector<std::string>& classes);
// Logs the hits of the match rules; nothing if `rules` is null.
void LogRuleHits(const match::Service* rules);
// Logs how often each invariant was violated; at level error if any was.
void LogInvariantViolations(std::string_view front, const core::Invariants& invariants);
// Logs the final answer of a request at level debug.
void LogFinalAnswer(std::string_view id, core::AnswerKind kind);
// Logs the counters of the reducer and, if they are enabled, of the limits.
void LogRequestCounters(std::string_view front, const core::Reducer& reducer);

// Logs the counters of the durable job manager and its store; nothing without durable jobs.
void LogDurableCounters(std::string_view front, const net::Driver& driver);

}  // namespace heronway

#endif  // HERONWAY_FRONTS_LOG_REPORTS_H_
