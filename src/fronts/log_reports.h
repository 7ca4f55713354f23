// What both fronts tell the operators in the log.
#ifndef HERONWAY_FRONTS_LOG_REPORTS_H_
#define HERONWAY_FRONTS_LOG_REPORTS_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/core/reducer.h"
#include "src/match/service.h"
#include "src/net/driver.h"

namespace heronway {

// A wait as clients are told it: seconds, to the millisecond.
std::string FormatSeconds(core::Micros time);
// A change of the storm's state, with the figures that caused it.
void LogStormChange(std::string_view front, const limits::StormChange& change,
                    const std::vector<std::string>& classes);
// What each rule has decided, where there are any.
void LogRuleHits(const match::Service* rules);
// What the reducer has counted, and the limits where they are on.
// How often each invariant was broken; an error where any was.
void LogInvariantViolations(std::string_view front, const core::Invariants& invariants);
// The final answer of a request, at the level debug.
void LogFinalAnswer(std::string_view id, core::AnswerKind kind);
void LogRequestCounters(std::string_view front, const core::Reducer& reducer);

// What the keeper of durable jobs and its store have counted, where there is one.
void LogDurableCounters(std::string_view front, const net::Driver& driver);

}  // namespace heronway

#endif  // HERONWAY_FRONTS_LOG_REPORTS_H_
