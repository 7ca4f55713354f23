#include "src/match/source.h"

#include <algorithm>

namespace heronway::match {
namespace {

std::string Render(const std::string& file, std::string_view text,
                   const std::vector<Diagnostic>& diagnostics) {
  std::string out;
  for (std::size_t i = 0; i < std::min(diagnostics.size(), kMaxReportedFaults); ++i) {
    const Diagnostic& f = diagnostics[i];
    const std::size_t at = std::min(f.range.begin, text.size());
    const auto [line, column] = Locate(text, at);
    const std::size_t from = at - (column - 1), to = std::min(text.find('\n', from), text.size());
    std::string shown(text.substr(from, std::min<std::size_t>(to - from, 160)));
    // Protects the reader's terminal: control characters are shown as spaces.
    for (char& c : shown) c = c == '\t' || (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) ? ' ' : c;
    out += (out.empty() ? "" : "\n") + file + ":" + std::to_string(line) + ":" + std::to_string(column) +
           ": " + f.message;
    out += "\n    " + shown + "\n    " + std::string(std::min<std::size_t>(column - 1, 160), ' ');
    const std::size_t wide = std::clamp<std::size_t>(f.range.end > at ? f.range.end - at : 1, 1,
                                                     std::max<std::size_t>(1, to - at));
    out += "^" + std::string(std::min<std::size_t>(wide - 1, 80), '~');
  }
  if (diagnostics.size() > kMaxReportedFaults)
    out += "\n" + file + ": and " + std::to_string(diagnostics.size() - kMaxReportedFaults) + " more";
  return out;
}

}  // namespace

RuleError::RuleError(const std::string& file, std::string_view text, std::vector<Diagnostic> diagnostics)
    : std::runtime_error(Render(file, text, diagnostics)), diagnostics_(std::move(diagnostics)) {}

LineColumn Locate(std::string_view text, std::size_t at) {
  const auto before = text.substr(0, at);
  const auto last = before.rfind('\n');
  return {static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1,
          at - (last == before.npos ? 0 : last + 1) + 1};
}

}  // namespace heronway::match
