// The worst-case cost of a match, estimated at load from the limits on request heads.
//
// Most instructions cost time per byte of their operand, and all texts of a request share one head. The
// worst case is a head that consists of the field with the highest cost per byte. Costs are therefore kept
// by field, and the bound is the fixed cost plus the largest head times the highest cost per byte. A derived
// text counts as the field it comes from. The constants are those of bench/match_bench, which runs each
// function on its worst input.
#ifndef HERONWAY_MATCH_COST_H_
#define HERONWAY_MATCH_COST_H_

#include <map>

#include "src/match/program.h"

namespace heronway::match {

struct Cost {
  double fixed = 0;                          // nanoseconds
  std::map<std::uint32_t, double> per_byte;  // nanoseconds, by field
  double any_field = 0;                      // nanoseconds per byte of texts whose field is unknown

  Cost& operator+=(const Cost& more);
  double WorstCaseNs() const;  // nanoseconds
};

Cost CostOf(const Program& program, const Bytecode& code);
// The cost shared by all rules: reading each field once, each condition, and the regular expression sets.
Cost SharedCost(const Program& program);

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_COST_H_
