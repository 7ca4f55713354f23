// A rule file's text and the faults found in it, each with its place.
#ifndef HERONWAY_MATCH_SOURCE_H_
#define HERONWAY_MATCH_SOURCE_H_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace heronway::match {

struct Place {
  std::size_t begin = 0, end = 0;  // bytes of the file
};

struct Fault {
  Place at;
  std::string what;
};

// Several faults of one file; what() is the text for people: file:line:column, the line, a caret.
class RuleError : public std::runtime_error {
 public:
  RuleError(const std::string& file, std::string_view text, std::vector<Fault> faults);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

struct LineColumn {
  std::size_t line, column;  // from 1; the column in bytes
};
LineColumn Locate(std::string_view text, std::size_t at);

inline constexpr std::size_t kMaxReportedFaults = 20;  // told of one file
inline constexpr std::size_t kMaxFileBytes = 16 * 1024 * 1024;

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_SOURCE_H_
