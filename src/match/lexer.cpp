#include "src/match/lexer.h"

#include <arpa/inet.h>

#include <cctype>
#include <cstring>
#include <limits>

namespace heronway::match {
namespace {

bool IsNameStart(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }
bool IsNameChar(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_'; }

struct Unit {
  const char* name;
  Type type;
  std::int64_t times;
};
constexpr Unit kUnits[] = {{"us", Type::kDuration, 1},
                           {"ms", Type::kDuration, 1'000},
                           {"s", Type::kDuration, 1'000'000},
                           {"min", Type::kDuration, 60'000'000},
                           {"h", Type::kDuration, 3'600'000'000},
                           {"B", Type::kBytes, 1},
                           {"KiB", Type::kBytes, 1024},
                           {"MiB", Type::kBytes, 1024 * 1024}};

class Lexer {
 public:
  explicit Lexer(std::string_view text) : text_(text) {}

  std::vector<Token> All() {
    std::vector<Token> out;
    for (;;) {
      SkipBlanks();
      Token next;
      next.range.begin = at_;
      if (at_ < text_.size()) Read(next);
      next.range.end = at_;
      out.push_back(std::move(next));
      if (out.back().kind == TokenKind::kEnd) return out;
    }
  }

 private:
  void SkipBlanks() {
    while (at_ < text_.size()) {
      if (std::isspace(static_cast<unsigned char>(text_[at_])) != 0) {
        ++at_;
      } else if (text_[at_] == '#') {
        at_ = std::min(text_.find('\n', at_), text_.size());
      } else {
        return;
      }
    }
  }

  void Read(Token& out) {
    const char c = text_[at_];
    if (IsNameStart(c)) {
      const std::size_t from = at_;
      while (at_ < text_.size() && IsNameChar(text_[at_])) ++at_;
      out.kind = TokenKind::kName;
      out.text = text_.substr(from, at_ - from);
    } else if (c == '"') {
      ReadString(out);
    } else if (std::isdigit(static_cast<unsigned char>(c)) != 0) {
      ReadNumber(out);
    } else {
      ReadSymbol(out);
    }
  }

  void Fail(Token& out, std::string why) {
    out.kind = TokenKind::kInvalid;
    out.text = std::move(why);
  }

  void ReadString(Token& out) {
    ++at_;
    std::string value;
    while (at_ < text_.size() && text_[at_] != '"' && text_[at_] != '\n') {
      char c = text_[at_++];
      if (c == '\\' && at_ < text_.size()) {
        const char e = text_[at_++];
        if (e == 'x') {
          int byte = -1;
          const std::string hex(text_.substr(at_, 2));
          if (hex.size() == 2 && std::isxdigit(static_cast<unsigned char>(hex[0])) != 0 &&
              std::isxdigit(static_cast<unsigned char>(hex[1])) != 0)
            byte = std::stoi(hex, nullptr, 16);
          if (byte < 0) return Fail(out, "\\x wants two hexadecimal digits");
          at_ += 2;
          c = static_cast<char>(byte);
        } else if (e == 'n' || e == 't' || e == '"' || e == '\\') {
          c = e == 'n' ? '\n' : e == 't' ? '\t' : e;
        } else {
          return Fail(out, std::string("\\") + e + " is no escape; there are \\n \\t \\\" \\\\ and \\xHH");
        }
      }
      value += c;
    }
    if (at_ >= text_.size() || text_[at_] != '"') return Fail(out, "the string does not end on its line");
    ++at_;
    out.kind = TokenKind::kString;
    out.text = std::move(value);
  }

  void ReadNumber(Token& out) {
    const std::size_t from = at_;
    // A colon is an address's where more of one stands behind it, or another before it; else it is a map's.
    const auto colon = [&] {
      if (text_[at_] != ':') return false;
      const char next = at_ + 1 < text_.size() ? text_[at_ + 1] : ' ';
      return IsNameChar(next) || next == ':' || (at_ > from && text_[at_ - 1] == ':');
    };
    while (at_ < text_.size() && (IsNameChar(text_[at_]) || colon() ||
                                  (text_[at_] == '.' && at_ + 1 < text_.size() && text_[at_ + 1] != '.' &&
                                   IsNameChar(text_[at_ + 1]))))
      ++at_;
    std::string word(text_.substr(from, at_ - from));
    if (word.find('.') != word.npos || word.find(':') != word.npos) return ReadNetwork(out, word);
    std::size_t n = 0;
    std::int64_t value = 0;
    const int base = word.size() > 2 && word[0] == '0' && word[1] == 'x' ? 16 : 10;
    if (base == 16) n = 2;
    for (; n < word.size(); ++n) {
      const char c = word[n];
      int digit = std::isdigit(static_cast<unsigned char>(c)) != 0 ? c - '0' : -1;
      if (base == 16 && std::isxdigit(static_cast<unsigned char>(c)) != 0 && digit < 0)
        digit = std::tolower(c) - 'a' + 10;
      if (digit < 0) break;
      if (__builtin_mul_overflow(value, base, &value) || __builtin_add_overflow(value, digit, &value))
        return Fail(out, "the number is too large");
    }
    const std::string unit = word.substr(n);
    out.kind = TokenKind::kNumber;
    out.number = value;
    if (unit.empty()) return;
    for (const Unit& u : kUnits) {
      if (unit != u.name) continue;
      out.type = u.type;
      if (__builtin_mul_overflow(value, u.times, &out.number)) Fail(out, "the number is too large");
      return;
    }
    Fail(out, "unit " + unit + " is not known; there are us ms s min h, B KiB MiB");
  }

  // 10.0.0.0/8, 192.168.1.7, 2001:db8::/32 (which must begin with a digit; fc00::/7 stands in net("...")).
  void ReadNetwork(Token& out, std::string word) {
    if (at_ < text_.size() && text_[at_] == '/') {
      word += text_[at_++];
      while (at_ < text_.size() && std::isdigit(static_cast<unsigned char>(text_[at_])) != 0)
        word += text_[at_++];
    }
    const auto slash = word.find('/');
    const std::string host = word.substr(0, slash);
    const bool six = host.find(':') != host.npos;
    out.kind = TokenKind::kNetwork;
    if (!ParseAddress(host, out.address)) return Fail(out, host + " is no address");
    if (slash == word.npos) return;
    const std::string bits = word.substr(slash + 1);
    const int most = six ? 128 : 32;
    if (bits.empty() || bits.size() > 3 || std::stoi(bits) > most)
      return Fail(out, "a network of this kind has 0 to " + std::to_string(most) + " bits");
    out.bits = std::stoi(bits) + (six ? 0 : 96);
  }

  void ReadSymbol(Token& out) {
    for (const char* sign : {"==", "!=", "<=", ">=", "..", "(", ")", "[", "]", "{", "}", "<", ">", "=", ",",
                             "+", "-", "*", ":"}) {
      const std::string_view s(sign);
      if (text_.substr(at_, s.size()) != s) continue;
      at_ += s.size();
      out.kind = TokenKind::kSymbol;
      out.text = s;
      return;
    }
    const auto byte = static_cast<unsigned char>(text_[at_++]);
    char shown[24];
    std::snprintf(shown, sizeof shown, byte > 0x20 && byte < 0x7f ? "'%c'" : "byte 0x%02x", byte);
    Fail(out, std::string(shown) + " means nothing here");
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

AddressBytes MappedIpv4(const void* four) {
  AddressBytes out = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
  std::memcpy(out.data() + 12, four, 4);
  return out;
}

bool ParseAddress(const std::string& text, AddressBytes& out) {
  in_addr four{};
  if (inet_pton(AF_INET, text.c_str(), &four) == 1) {
    out = MappedIpv4(&four);
    return true;
  }
  return inet_pton(AF_INET6, text.c_str(), out.data()) == 1;
}

std::vector<Token> Lex(std::string_view text) { return Lexer(text).All(); }

}  // namespace heronway::match
