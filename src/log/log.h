// Structured logging through spdlog: each event with its fields is one line on standard error.
//
//   text  2026-12-01T09:30:00.123Z info storm from=rising to=storm reason=repeats ...
//   json  {"time":"2026-12-01T09:30:00.123Z","level":"info","event":"storm","from":"rising", ...}
//
// Events and their fields are listed in docs/operators-limits.md. Only the event loop's thread may log.
#ifndef HERONWAY_LOG_LOG_H_
#define HERONWAY_LOG_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace heronway::log {

enum class Level : std::uint8_t { kDebug, kInfo, kWarn, kError };
enum class LineFormat : std::uint8_t { kText, kJson };

struct Settings {
  LineFormat format = LineFormat::kText;
  Level level = Level::kInfo;  // events below this level are dropped
  bool connections = true;     // log each connection that ends
};

// One key and value of an event.
struct Field {
  using Value = std::variant<std::string_view, std::uint64_t, std::int64_t, double>;
  template <typename T>
  Field(std::string_view key_, const T& value_, bool value_only_ = false)
      : key(key_), value_only(value_only_) {
    if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<double>(value_);
    } else if constexpr (std::is_unsigned_v<T>) {
      value = static_cast<std::uint64_t>(value_);
    } else if constexpr (std::is_integral_v<T>) {
      value = static_cast<std::int64_t>(value_);
    } else {
      value = std::string_view(value_);  // not copied: has to stay valid during the call
    }
  }
  std::string_view key;
  Value value;
  bool value_only = false;  // the text format prints the value without the key
};

// Applies to all later events. Until the first call the format is text and the level kInfo.
void Configure(const Settings& settings);
bool Enabled(Level level);
// Writes one line if `level` is enabled. `name` is the event's name.
void Event(Level level, std::string_view name, std::initializer_list<Field> fields);
// The line of an event without time and level; for tests.
std::string Format(LineFormat format, std::string_view name, std::initializer_list<Field> fields);

}  // namespace heronway::log

#endif  // HERONWAY_LOG_LOG_H_
