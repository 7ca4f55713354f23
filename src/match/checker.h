// Resolves names and gives every expression its type. Type errors are reported with their source range.
#ifndef HERONWAY_MATCH_CHECKER_H_
#define HERONWAY_MATCH_CHECKER_H_

#include "src/match/ast.h"

namespace heronway::match {

// What may be missing (an option) makes what is computed from it missing; a test of it is false; `or_else`
// gives what stands instead.
void Check(RuleFile& file, std::vector<Diagnostic>& diagnostics);

// Maximum depth of conditions that use other conditions.
inline constexpr int kMaxConditionDepth = 32;

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_CHECKER_H_
