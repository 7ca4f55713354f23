// Resolves names and gives every expression its type. What does not fit is a fault with its place.
#ifndef HERONWAY_MATCH_CHECKER_H_
#define HERONWAY_MATCH_CHECKER_H_

#include "src/match/ast.h"

namespace heronway::match {

// What may be missing (an option) makes what is computed from it missing; a test of it is false; `or_else`
// gives what stands instead.
void Check(FileText& file, std::vector<Fault>& faults);

// Conditions that use conditions: so deep at most.
inline constexpr int kMaxConditionDepth = 32;

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_CHECKER_H_
