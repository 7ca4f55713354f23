// Parsing of numbers in headers and load reports, and the list of headers forwarded to targets.
#ifndef HERONWAY_FRONTS_HTTP_HEADER_VALUES_H_
#define HERONWAY_FRONTS_HTTP_HEADER_VALUES_H_

#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace heronway::http {

// Headers of a client's request that a hop carries on to its target.
inline constexpr const char* kForwardedHeaders[] = {"Idempotency-Key", "Req-Key", "Req-Extra", "Req-Retry",
                                                    "Content-Type"};

// Parses the entire text as a number. Returns nullopt if it is not one or is not finite.
template <typename T>
std::optional<T> ParseNumber(std::string_view text, int base = 10) {
  T value{};
  std::from_chars_result r{};
  if constexpr (std::is_floating_point_v<T>) {
    r = std::from_chars(text.data(), text.data() + text.size(), value);
    if (!std::isfinite(value)) return std::nullopt;
  } else {
    r = std::from_chars(text.data(), text.data() + text.size(), value, base);
  }
  if (r.ec != std::errc() || r.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

// Parses "a=1,b=2" into name-value pairs, skipping entries whose value is not a number.
inline std::map<std::string, double> ParsePairs(std::string_view text) {
  std::map<std::string, double> out;
  while (!text.empty()) {
    const auto end = std::min(text.find(','), text.size());
    auto pair = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const auto eq = pair.find('=');
    if (eq == pair.npos) continue;
    if (const auto value = ParseNumber<double>(pair.substr(eq + 1)))
      out[std::string(pair.substr(0, eq))] = *value;
  }
  return out;
}

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_HEADER_VALUES_H_
