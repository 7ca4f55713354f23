// A rule file in its one usual form, comments kept. Says nothing new: the same tokens in the same order.
#ifndef HERONWAY_MATCH_FORMAT_H_
#define HERONWAY_MATCH_FORMAT_H_

#include <string>
#include <string_view>

namespace heronway::match {

// Throws RuleError where the text cannot be read; types are not looked at. A formatted text is left as it is.
// Items are kept apart by at most one empty line. A rule or test stands on one line where it fits, holds no
// comment and at most three settings, else a setting a line.
std::string Format(const std::string& name, std::string_view text);

inline constexpr std::size_t kWidth = 100;  // columns; a single longer word stays whole

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_FORMAT_H_
