// What a match may cost at worst, reckoned at load from the limits on heads.
//
// Most steps cost by the byte of the text that they look at, and the texts of one request share one head:
// its bytes do most harm all in that field which costs most a byte. So costs are kept by field, and the
// worst is what is fixed, and the longest head times the dearest field's price. What a text was made of
// counts as the text. The prices are those that bench/match_bench measures, each function on what is worst
// for it.
#ifndef HERONWAY_MATCH_COST_H_
#define HERONWAY_MATCH_COST_H_

#include <map>

#include "src/match/program.h"

namespace heronway::match {

struct Cost {
  double fixed = 0;                          // nanoseconds
  std::map<std::uint32_t, double> per_byte;  // by field, nanoseconds
  double any = 0;                            // of texts that may come of any field

  Cost& operator+=(const Cost& more);
  double Worst() const;  // nanoseconds
};

Cost CostOf(const Program& program, const Steps& steps);
// Of looking up every field once, of every condition, and of the sets of regular expressions.
Cost CostOfAll(const Program& program);

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_COST_H_
