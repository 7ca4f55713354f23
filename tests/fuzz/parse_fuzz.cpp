// A rule file of any bytes is read to a verdict: taken, or refused with a message for each fault.
#include <cstdlib>

#include "src/match/format.h"
#include "src/match/lexer.h"
#include "src/match/rules.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronway::match;
  if (size > 8192) return 0;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    // The usual form has the same tokens, and stays as it is.
    const std::string once = Format("fuzz", text);
    const auto before = Lex(text), after = Lex(once);
    bool same = before.size() == after.size() && Format("fuzz", once) == once;
    for (std::size_t i = 0; same && i < before.size(); ++i)
      same = before[i].kind == after[i].kind && before[i].text == after[i].text &&
             before[i].number == after[i].number;
    if (!same) std::abort();
    Rules rules("fuzz", text, {1e9});
    rules.Explain();
  } catch (const RuleError& e) {
    if (e.diagnostics().empty() || std::string(e.what()).rfind("fuzz:", 0) != 0) std::abort();
    for (const Diagnostic& fault : e.diagnostics()) {
      if (fault.message.empty() || fault.range.begin > size) std::abort();
    }
  }
  return 0;
}
