// How the language reads its regular expressions, in one place: what the checker lets through the compiler
// takes.
#ifndef HERONWAY_MATCH_REGEX_H_
#define HERONWAY_MATCH_REGEX_H_

#include <re2/re2.h>
#include <re2/set.h>

#include <memory>
#include <string>
#include <vector>

namespace heronway::match {

// Bytes, not UTF-8: what a header holds need not be. Memory is bounded.
inline RE2::Options RegexOptions(std::int64_t most_memory = 1 << 20) {
  RE2::Options options;
  options.set_log_errors(false);
  options.set_encoding(RE2::Options::EncodingLatin1);
  options.set_never_capture(true);
  options.set_max_mem(most_memory);
  return options;
}

// The expressions that are tried on one field. From `kSetAt` of them on they are gathered in sets: one for
// all, and one for each `kBlock`, so that a text that none fits is passed over once. A set is asked only
// whether any fits: to ask which would allocate.
struct RegexGroup {
  static constexpr std::size_t kSetAt = 4, kBlock = 16;
  std::uint32_t field = 0;
  std::vector<std::uint32_t> members;           // expressions, each with its place in the group
  std::vector<std::string> patterns;            // as a set takes them
  std::vector<std::unique_ptr<RE2::Set>> sets;  // the first is of all, the others of blocks; none: too few
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_REGEX_H_
