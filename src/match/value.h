// The types and values of the matching language, and what a front fills in of a request.
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

// A type as the checker sees it: what may be missing is another type than what is always there.
struct TypeOf {
  Type type = Type::kBool;
  bool option = false;
  bool operator==(const TypeOf&) const = default;
};
std::string NameOf(TypeOf type);

// 16 bytes; IPv4 as ::ffff:a.b.c.d.
using AddressBytes = std::array<std::uint8_t, 16>;
// From the four bytes of an IPv4 address, in the network's order, as `in_addr` holds them.
AddressBytes MappedIpv4(const void* four);
// From a text of either kind. False where it is no address.
bool ParseAddress(const std::string& text, AddressBytes& out);

// A value in a run: plain, points into the request, the program or the run's scratch, owns nothing.
struct Value {
  bool present = true;
  std::int64_t number = 0;  // bool, int, microseconds, bytes, or a key's bits
  std::string_view text;
  AddressBytes address{};
};

// A request as the language sees it. A front fills in what its wire has, without copying; the rest is
// missing.
struct Request {
  using Pairs = std::span<const std::pair<std::string, std::string>>;
  std::string_view front;  // "http", "faktory"
  std::string_view path;   // without the query
  std::string_view query;  // behind '?'
  std::string_view jobtype, queue;
  Pairs headers;  // names in any case
  Pairs custom;
  AddressBytes peer{};
  std::int64_t body_bytes = 0;
  std::int64_t deadline = 0;  // microseconds that the client will wait
  bool is_retry = false;
};

// The most that a front lets through, by which the worst cost of a rule file is reckoned.
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;
inline constexpr std::size_t kMaxHeaders = 256;

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_VALUE_H_
