// Splits a rule file into tokens. Never fails: invalid input becomes a kInvalid token with the reason.
#ifndef HERONWAY_MATCH_LEXER_H_
#define HERONWAY_MATCH_LEXER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/match/source.h"
#include "src/match/value.h"

namespace heronway::match {

enum class TokenKind : std::uint8_t { kName, kString, kNumber, kNetwork, kSymbol, kEnd, kInvalid };

struct Token {
  TokenKind kind = TokenKind::kEnd;
  SourceRange range;
  std::string text;        // a name, a symbol, a string's contents, or the error
  Type type = Type::kInt;  // of a number: int, duration or bytes
  std::int64_t number = 0;
  AddressBytes address{};  // of a network, and how many bits of it count
  int bits = 128;
};

std::vector<Token> Lex(std::string_view text);

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_LEXER_H_
