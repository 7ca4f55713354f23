// The types and values of the rule language, and the request as the rules see it.
#ifndef HERONWAY_MATCH_VALUE_H_
#define HERONWAY_MATCH_VALUE_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace heronway::match {

enum class Type : std::uint8_t { kBool, kInt, kDuration, kBytes, kString, kAddress, kKey };
const char* NameOf(Type type);

// A type as the checker sees it; a value that may be missing (an option) has its own type.
struct ValueType {
  Type type = Type::kBool;
  bool option = false;
  bool operator==(const ValueType&) const = default;
};
std::string NameOf(ValueType type);

// 16 bytes; IPv4 as ::ffff:a.b.c.d.
using AddressBytes = std::array<std::uint8_t, 16>;
// Converts the four bytes of an IPv4 address in network byte order, as in `in_addr`.
AddressBytes MappedIpv4(const void* four);
// Parses an IPv4 or IPv6 address. Returns false if the text is neither.
bool ParseAddress(const std::string& text, AddressBytes& out);

// A run-time value. Does not own its text, which is in the request, the program or the machine's scratch
// buffer.
struct Value {
  bool present = true;
  std::int64_t number = 0;  // bool, int, microseconds, bytes, or a key's bits
  std::string_view text;
  AddressBytes address{};
};

// A request as the rule language sees it. A front sets what its protocol has, without copying; the rest is
// missing.
struct Request {
  using Pairs = std::span<const std::pair<std::string, std::string>>;
  std::string_view front;  // "http", "faktory"
  std::string_view path;   // without the query
  std::string_view query;  // after '?'
  std::string_view jobtype, queue;
  Pairs headers;  // names are case-insensitive
  Pairs custom;
  AddressBytes peer{};
  std::int64_t body_bytes = 0;
  std::int64_t deadline = 0;  // how long the client waits, microseconds
  bool is_retry = false;
};

// The largest request head that a front accepts; the worst-case cost of a rule file is based on these.
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;
inline constexpr std::size_t kMaxHeaders = 256;

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_VALUE_H_
