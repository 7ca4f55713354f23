#include "src/config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>

#include "src/config/json.h"

namespace heronway::config {
namespace {

constexpr const char* kFaktoryFile = "deploy/faktory.json";

// The value as text, with the separators of the flattened form replaced by underscores.
std::string ReplaceSeparators(const Json::Value& value) {
  std::string text = value.asString();
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return text;
}

void AppendFlattened(const Json::Value& value, const std::string& path, std::string& out) {
  const std::string at = path.empty() ? "" : path + ".";
  if (value.isObject()) {
    for (const auto& name : value.getMemberNames()) AppendFlattened(value[name], at + name, out);
  } else if (value.isArray() && !value.empty() && value[0].isObject()) {
    out += at + "count=" + std::to_string(value.size()) + "\n";
    for (Json::ArrayIndex i = 0; i < value.size(); ++i)
      AppendFlattened(value[i], at + std::to_string(i), out);
  } else if (value.isArray()) {
    out += path + "=";
    for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
      if (value[i].isArray() || value[i].isObject())
        ThrowKeyError("settings." + path, "mixes plain and nested values");
      if (i > 0) out += ',';
      out += ReplaceSeparators(value[i]);
    }
    out += "\n";
  } else if (!value.isNull()) {
    out += path + "=" + ReplaceSeparators(value) + "\n";
  }
}

std::uint64_t ReadSeed(const Json::Value& value) {
  if (value.isNull()) return 0;
  if (value.isUInt64()) return value.asUInt64();
  std::uint64_t seed = 0;
  const std::string text = value.isString() ? value.asString() : "";
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    ThrowKeyError("seed", "is not a hexadecimal number");
  return seed;
}

}  // namespace

std::string Flatten(const Json::Value& settings) {
  std::string out;
  AppendFlattened(settings, "", out);
  return out;
}

Config Parse(const std::string& json_text, LoadReason reason) {
  const Json::Value root = ParseJson(json_text);
  const Section top(root, "");
  const Section settings = top.Subsection("settings"), limits = settings.Subsection("limits"),
                own = top.Subsection("limits");
  Config c;
  const char* name = std::getenv("EDGE_NAME");
  const bool prefer_file = reason == LoadReason::kReload && !top.Get("name").isNull();
  c.name = name != nullptr && !prefer_file ? name : top.Text("name", "heronway");
  c.listen = top.Address("listen", "EDGE_LISTEN", reason == LoadReason::kReload);
  c.discovery = top.Address("discovery", "EDGE_DISCOVERY", reason == LoadReason::kReload);
  const char* console = std::getenv("EDGE_CONSOLE");
  c.has_console = (console != nullptr && *console != '\0') || !top.Get("console").isNull();
  if (c.has_console) c.console = top.Address("console", "EDGE_CONSOLE", reason == LoadReason::kReload);
  c.seed = ReadSeed(top.Get("seed"));
  c.sockets = static_cast<int>(own.Integer("sockets", c.sockets, 64, 1 << 20));
  c.memory_mb = static_cast<int>(own.Integer("memory_mb", c.memory_mb, 16, 1 << 20));
  top.Subsection("known");  // throws unless it is an object or missing
  c.known_targets = top.Get("known");
  if (top.Get("settings").isNull()) ThrowKeyError("settings", "is missing");
  c.settings_text = Flatten(top.Get("settings"));
  try {
    c.module = pebblenotch::wire::ParseSettings(c.settings_text);
  } catch (const pebblenotch::wire::SettingsError& e) {
    throw ConfigError(e.what());
  }
  const Json::Value& classes = settings.Get("classes");
  for (Json::ArrayIndex i = 0; i < classes.size(); ++i) {
    const std::string path = "settings.classes." + std::to_string(i);
    c.classes.push_back(Section(classes[i], path).Text("name", ""));
    if (c.classes.back().empty()) ThrowKeyError(path + ".name", "is missing");
    // A deadline of 0 comes from a truncated or wrongly edited file: no request of the class could be served.
    if (i < c.module.settings.classes.size() && c.module.settings.classes[i].deadline <= 0)
      ThrowKeyError(path + ".deadline", "must be above 0");
  }
  if (c.module.settings.max_attempts <= 0) ThrowKeyError("settings.limits.maxAttempts", "must be above 0");
  c.zones = settings.TextList("dcs");
  c.kinds = settings.TextList("kinds");
  c.load_fields = settings.Subsection("loadInfo").TextList("fields");
  c.conn_idle = limits.Integer("connIdle", c.conn_idle, 100'000, 3'600'000'000);
  c.dial_timeout = limits.Integer("dialTimeout", c.dial_timeout, 1'000, 60'000'000);
  c.max_pending = static_cast<int>(limits.Integer("mostHeld", c.max_pending, 1, 1 << 24));
  return c;
}

Config Load(const std::string& path, LoadReason reason) { return Parse(ReadFile(path), reason); }

std::vector<std::string> KeysNeedingRestart(const Config& current, const Config& next) {
  std::vector<std::string> keys;
  if (next.name != current.name) keys.push_back("name");
  if (!net::SameAddress(next.listen, current.listen)) keys.push_back("listen");
  if (next.has_console != current.has_console || !net::SameAddress(next.console, current.console))
    keys.push_back("console");
  if (next.sockets != current.sockets) keys.push_back("limits.sockets");
  if (next.memory_mb != current.memory_mb) keys.push_back("limits.memory_mb");
  if (next.settings_text != current.settings_text) keys.push_back("settings");
  return keys;
}

FaktoryConfig ParseFaktory(const std::string& json_text) {
  const Json::Value root = ParseJson(json_text);
  const Section top(root, "");
  FaktoryConfig c;
  c.enabled = top.Flag("enabled", c.enabled);
  c.password = top.Text("password", "");
  c.max_connections = static_cast<int>(top.Integer("most_connections", c.max_connections, 1, 1000));
  if (c.enabled) c.listen = top.Address("listen", nullptr);
  return c;
}

FaktoryConfig LoadFaktory(const std::string& path) {
  if (!path.empty()) return ParseFaktory(ReadFile(path));
  std::error_code ignored;
  return std::filesystem::exists(kFaktoryFile, ignored) ? ParseFaktory(ReadFile(kFaktoryFile))
                                                        : FaktoryConfig{};
}

}  // namespace heronway::config
