#include "src/log/log.h"

#include <json/value.h>
#include <json/writer.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace heronway::log {
namespace {

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
// The message (%v) is the rest of the JSON object, without its opening brace.
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)";

spdlog::level::level_enum ToSpdlog(Level level) {
  constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                   spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}

struct Logger {
  Logger() : out("heronway", std::make_shared<spdlog::sinks::stderr_sink_st>()) { Set({}); }
  void Set(const Settings& settings) {
    format = settings.format;
    out.set_level(ToSpdlog(settings.level));
    out.set_formatter(std::make_unique<spdlog::pattern_formatter>(
        format == LineFormat::kJson ? kJsonPattern : kTextPattern, spdlog::pattern_time_type::utc));
  }
  spdlog::logger out;
  LineFormat format = LineFormat::kText;
};

Logger& GlobalLogger() {
  static Logger logger;
  return logger;
}

// Quotes a value that contains spaces, quotes or control characters, and escapes them, so that values cannot
// break or forge lines.
void AppendQuoted(fmt::memory_buffer& line, std::string_view text) {
  const bool plain = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c > 0x20 && c < 0x7f && c != '"' && c != '\\';
  });
  if (plain) return line.append(text.data(), text.data() + text.size());
  line.push_back('"');
  for (const unsigned char c : text) {
    if (c == '"' || c == '\\') {
      line.push_back('\\');
      line.push_back(static_cast<char>(c));
    } else if (c < 0x20 || c == 0x7f) {
      fmt::format_to(std::back_inserter(line), "\\x{:02x}", c);
    } else {
      line.push_back(static_cast<char>(c));
    }
  }
  line.push_back('"');
}

std::string TextLine(std::string_view name, std::initializer_list<Field> fields) {
  fmt::memory_buffer line;
  line.append(name.data(), name.data() + name.size());
  for (const Field& f : fields) {
    line.push_back(' ');
    if (!f.value_only) fmt::format_to(std::back_inserter(line), "{}=", f.key);
    if (const auto* text = std::get_if<std::string_view>(&f.value)) {
      if (f.value_only) {
        line.append(text->data(), text->data() + text->size());
      } else {
        AppendQuoted(line, *text);
      }
    } else if (const auto* number = std::get_if<double>(&f.value)) {
      fmt::format_to(std::back_inserter(line), "{:.3f}", *number);
    } else {
      std::visit([&line](const auto& v) { fmt::format_to(std::back_inserter(line), "{}", v); }, f.value);
    }
  }
  return fmt::to_string(line);
}

std::string JsonTail(std::string_view name, std::initializer_list<Field> fields) {
  Json::Value object;
  object["event"] = std::string(name);
  for (const Field& f : fields) {
    Json::Value& at = object[std::string(f.key)];
    if (const auto* text = std::get_if<std::string_view>(&f.value)) at = std::string(*text);
    if (const auto* number = std::get_if<double>(&f.value)) at = *number;
    if (const auto* whole = std::get_if<std::uint64_t>(&f.value)) at = Json::UInt64(*whole);
    if (const auto* whole = std::get_if<std::int64_t>(&f.value)) at = Json::Int64(*whole);
  }
  static const Json::StreamWriterBuilder compact = [] {
    Json::StreamWriterBuilder b;
    b["indentation"] = "";
    b["precision"] = 6;
    return b;
  }();
  return Json::writeString(compact, object).substr(1);
}

}  // namespace

void Configure(const Settings& settings) { GlobalLogger().Set(settings); }

bool Enabled(Level level) { return GlobalLogger().out.should_log(ToSpdlog(level)); }

void Event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  if (!Enabled(level)) return;
  Logger& logger = GlobalLogger();
  logger.out.log(ToSpdlog(level),
                 spdlog::string_view_t(logger.format == LineFormat::kJson ? JsonTail(name, fields)
                                                                          : TextLine(name, fields)));
}

std::string Format(LineFormat format, std::string_view name, std::initializer_list<Field> fields) {
  if (format == LineFormat::kText) return TextLine(name, fields);
  std::string line(1, '{');
  line.append(JsonTail(name, fields));
  return line;
}

}  // namespace heronway::log
