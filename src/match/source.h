// Source ranges of a rule file and the diagnostics for them.
#ifndef HERONWAY_MATCH_SOURCE_H_
#define HERONWAY_MATCH_SOURCE_H_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace heronway::match {

struct SourceRange {
  std::size_t begin = 0, end = 0;  // bytes of the file
};

struct Diagnostic {
  SourceRange range;
  std::string message;
};

// Several diagnostics of one file; what() renders them: file:line:column, the line, a caret.
class RuleError : public std::runtime_error {
 public:
  RuleError(const std::string& file, std::string_view text, std::vector<Diagnostic> diagnostics);
  const std::vector<Diagnostic>& diagnostics() const { return diagnostics_; }

 private:
  std::vector<Diagnostic> diagnostics_;
};

struct LineColumn {
  std::size_t line, column;  // from 1; the column in bytes
};
LineColumn Locate(std::string_view text, std::size_t at);

inline constexpr std::size_t kMaxReportedFaults = 20;  // per file
inline constexpr std::size_t kMaxFileBytes = 16 * 1024 * 1024;

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_SOURCE_H_
