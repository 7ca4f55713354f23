#include "src/match/format.h"

#include <algorithm>
#include <set>

#include "src/match/parser.h"

namespace heronway::match {
namespace {

// A piece that stays whole: a token as it was written, or a comment.
struct Word {
  std::string_view text;
  TokenKind kind = TokenKind::kSymbol;
  bool comment = false;
  bool own_line = false;      // a comment with nothing before it on its line
  bool blank_before = false;  // an empty line stood before it
  bool starts_item = false, starts_line = false;
};

std::vector<Word> WordsOf(std::string_view text, const RuleFile& file) {
  const std::set<std::size_t> items(file.items.begin(), file.items.end()),
      lines(file.lines.begin(), file.lines.end());
  std::vector<Word> out;
  std::size_t at = 0;
  for (const Token& token : Lex(text)) {
    std::size_t newlines = 0;
    while (at < token.range.begin) {
      if (text[at] == '#') {
        std::size_t end = std::min(text.find('\n', at), text.size());
        Word word;
        word.own_line = newlines > 0 || out.empty();
        word.blank_before = newlines > 1;
        word.comment = true;
        const std::size_t next = end;
        while (end > at && std::isspace(static_cast<unsigned char>(text[end - 1])) != 0) --end;
        word.text = text.substr(at, end - at);
        out.push_back(word);
        at = next;
        newlines = 0;
        continue;
      }
      newlines += text[at++] == '\n' ? 1 : 0;
    }
    if (token.kind == TokenKind::kEnd) break;
    Word word;
    word.text = text.substr(token.range.begin, token.range.end - token.range.begin);
    word.kind = token.kind;
    word.blank_before = newlines > 1;
    word.starts_item = items.contains(token.range.begin);
    word.starts_line = lines.contains(token.range.begin);
    out.push_back(word);
    at = token.range.end;
  }
  return out;
}

bool IsWord(const Word& w, const char* text) { return !w.comment && w.text == text; }
bool Binary(const Word& w) {  // behind it a minus is a sign, not a difference
  static const std::set<std::string_view> kSigns = {
      "(", "[",   ",",  "=",   "==", "!=",   "<",   "<=",     ">",  ">=",      "+", "-",
      "*", "and", "or", "not", "in", "when", "key", "tenant", "by", "or_else", "{", ":"};
  return !w.comment && kSigns.contains(w.text);
}
// A word of the language, behind which a bracket is no call.
bool Keyword(const Word& w) {
  static const std::set<std::string_view> kWords = {"and",  "or",  "not",    "in", "let", "or_else",
                                                    "when", "key", "tenant", "by", "is",  "class"};
  return kWords.contains(w.text);
}

// Whether a space stands between two tokens of one line. `before`: what stands before `a`.
bool Spaced(const Word* before, const Word& a, const Word& b) {
  if (IsWord(a, "(") || IsWord(a, "[") || IsWord(b, ")") || IsWord(b, "]") || IsWord(b, ",") ||
      IsWord(b, ":") || IsWord(a, "..") || IsWord(b, ".."))
    return false;
  if (IsWord(b, "(")) return a.kind != TokenKind::kName || Keyword(a);
  if (IsWord(a, "-") && (before == nullptr || Binary(*before))) return false;
  return true;
}

class Formatter {
 public:
  explicit Formatter(std::vector<Word> words) : words_(std::move(words)) {}

  std::string All() {
    std::size_t at = 0;
    while (at < words_.size()) {
      std::size_t end = at + 1;
      if (!words_[at].comment || !words_[at].own_line) {
        // An item runs to the next one; comments on lines of their own before that are the next one's.
        while (end < words_.size() && !words_[end].starts_item) ++end;
        while (end > at + 1 && words_[end - 1].comment && words_[end - 1].own_line && !Open(at, end)) --end;
      }
      if (words_[at].blank_before && !out_.empty()) out_ += '\n';
      Item(at, end);
      at = end;
    }
    return std::move(out_);
  }

 private:
  // Whether the brace of the item that begins at `from` is still open at `to`.
  bool Open(std::size_t from, std::size_t to) const {
    int depth = 0;
    for (std::size_t i = from; i < to; ++i)
      depth += IsWord(words_[i], "{") ? 1 : IsWord(words_[i], "}") ? -1 : 0;
    return depth > 0;
  }

  void Item(std::size_t from, std::size_t to) {
    const bool block = IsWord(words_[from], "rule") || IsWord(words_[from], "test");
    const bool comments = std::any_of(words_.begin() + static_cast<std::ptrdiff_t>(from),
                                      words_.begin() + static_cast<std::ptrdiff_t>(to) - 1,
                                      [](const Word& w) { return w.comment; });
    if (!block || (!comments && Short(from, to))) return Lines(from, to, 0, 4);
    std::size_t brace = from;
    while (!IsWord(words_[brace], "{")) ++brace;
    // A comment right behind the brace stays there.
    std::size_t at = brace + 1;
    if (words_[at].comment && !words_[at].own_line) ++at;
    Lines(from, at, 0, 4);
    while (at < to && !IsWord(words_[at], "}")) {
      std::size_t end = at + 1;
      if (!(words_[at].comment && words_[at].own_line)) {
        while (!words_[end].starts_line && !IsWord(words_[end], "}") &&
               !(words_[end].comment && words_[end].own_line && LastOfLine(end)))
          ++end;
      }
      Lines(at, end, 2, 6);
      at = end;
    }
    Lines(at, to, 0, 4);
  }

  // Whether what follows the comments at `i` begins a setting, or ends the block.
  bool LastOfLine(std::size_t i) const {
    while (i < words_.size() && words_[i].comment) ++i;
    return i >= words_.size() || words_[i].starts_line || IsWord(words_[i], "}");
  }

  bool Short(std::size_t from, std::size_t to) const {
    std::size_t wide = 0, settings = 0;
    for (std::size_t i = from; i < to && !words_[i].comment; ++i) {
      wide += words_[i].text.size() +
              (i > from && Spaced(i > from + 1 ? &words_[i - 2] : nullptr, words_[i - 1], words_[i]) ? 1 : 0);
      settings += words_[i].starts_line ? 1 : 0;
    }
    return wide <= kWidth && settings <= 3;
  }

  // One logical line, folded before `and` and `or` and behind commas where it is too long.
  void Lines(std::size_t from, std::size_t to, std::size_t indent, std::size_t folded) {
    std::string line(indent, ' ');
    bool empty = true;
    const auto end_line = [&] {
      out_ += line + "\n";
      line.assign(folded, ' ');
      empty = true;
    };
    for (std::size_t i = from; i < to;) {
      if (words_[i].comment) {
        if (!empty && words_[i].own_line) end_line();
        line += (empty ? "" : "  ") + std::string(words_[i].text);
        ++i;
        if (i < to) {
          end_line();
        } else {
          empty = false;
        }
        continue;
      }
      // What cannot be folded: up to the next good place.
      std::string unit;
      std::size_t end = i;
      do {
        const Word* before = end >= from + 2 ? &words_[end - 2] : nullptr;
        const bool space =
            end > from && !words_[end - 1].comment && Spaced(before, words_[end - 1], words_[end]);
        if (space && (end > i || !empty)) unit += ' ';
        unit += words_[end].text;
        ++end;
      } while (end < to && !words_[end].comment && !IsWord(words_[end], "and") &&
               !IsWord(words_[end], "or") && !IsWord(words_[end - 1], ","));
      if (!empty && line.size() + unit.size() > kWidth && unit[0] == ' ') {
        end_line();
        unit.erase(0, 1);
      }
      line += unit;
      empty = false;
      i = end;
    }
    if (!empty) out_ += line + "\n";
  }

  std::vector<Word> words_;
  std::string out_;
};

}  // namespace

std::string Format(const std::string& name, std::string_view text) {
  std::vector<Diagnostic> diagnostics;
  const RuleFile file = Parse(text, diagnostics);
  if (!diagnostics.empty()) throw RuleError(name, text, std::move(diagnostics));
  return Formatter(WordsOf(text, file)).All();
}

}  // namespace heronway::match
