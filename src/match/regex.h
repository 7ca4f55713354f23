// The regular expression options, shared by the checker and the compiler, so that every expression that
// passes the checker also compiles.
#ifndef HERONWAY_MATCH_REGEX_H_
#define HERONWAY_MATCH_REGEX_H_

#include <re2/re2.h>
#include <re2/set.h>

#include <memory>
#include <string>
#include <vector>

namespace heronway::match {

// Latin-1 rather than UTF-8, as header values may be any bytes. Memory is bounded.
inline RE2::Options RegexOptions(std::int64_t most_memory = 1 << 20) {
  RE2::Options options;
  options.set_log_errors(false);
  options.set_encoding(RE2::Options::EncodingLatin1);
  options.set_never_capture(true);
  options.set_max_mem(most_memory);
  return options;
}

// The expressions that are run on one field. From kMinSetSize on they are combined into sets, one of all and
// one of each kBlockSize, so that a text that matches none is scanned once. A set only reports whether any
// member matches; to ask which would allocate.
struct RegexGroup {
  static constexpr std::size_t kMinSetSize = 4, kBlockSize = 16;
  std::uint32_t field = 0;
  std::vector<std::uint32_t> members;           // indices of the expressions, by position in the group
  std::vector<std::string> patterns;            // in the syntax of RE2::Set
  std::vector<std::unique_ptr<RE2::Set>> sets;  // all members, then one per block; may be empty
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_REGEX_H_
