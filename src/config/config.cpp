#include "src/config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>

#include "src/config/json.h"

namespace heronway::config {
namespace {

constexpr const char* kFaktoryFile = "deploy/faktory.json";

std::string Plain(const Json::Value& value) {
  std::string text = value.asString();
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return text;
}

void FlattenOnto(const Json::Value& value, const std::string& path, std::string& out) {
  const std::string at = path.empty() ? "" : path + ".";
  if (value.isObject()) {
    for (const auto& name : value.getMemberNames()) FlattenOnto(value[name], at + name, out);
  } else if (value.isArray() && !value.empty() && value[0].isObject()) {
    out += at + "count=" + std::to_string(value.size()) + "\n";
    for (Json::ArrayIndex i = 0; i < value.size(); ++i) FlattenOnto(value[i], at + std::to_string(i), out);
  } else if (value.isArray()) {
    out += path + "=";
    for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
      if (value[i].isArray() || value[i].isObject())
        Fault("settings." + path, "mixes plain and nested values");
      if (i > 0) out += ',';
      out += Plain(value[i]);
    }
    out += "\n";
  } else if (!value.isNull()) {
    out += path + "=" + Plain(value) + "\n";
  }
}

std::uint64_t ReadSeed(const Json::Value& value) {
  if (value.isNull()) return 0;
  if (value.isUInt64()) return value.asUInt64();
  std::uint64_t seed = 0;
  const std::string text = value.isString() ? value.asString() : "";
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) Fault("seed", "is not a hexadecimal number");
  return seed;
}

}  // namespace

std::string Flatten(const Json::Value& settings) {
  std::string out;
  FlattenOnto(settings, "", out);
  return out;
}

Config Parse(const std::string& json_text, Reading reading) {
  const Json::Value root = ParseJson(json_text);
  const Section top(root, "");
  const Section settings = top.In("settings"), limits = settings.In("limits"), own = top.In("limits");
  Config c;
  const char* name = std::getenv("EDGE_NAME");
  const bool file_first = reading == Reading::kAgain && !top.Get("name").isNull();
  c.name = name != nullptr && !file_first ? name : top.Text("name", "heronway");
  c.listen = top.Address("listen", "EDGE_LISTEN", reading == Reading::kAgain);
  c.discovery = top.Address("discovery", "EDGE_DISCOVERY", reading == Reading::kAgain);
  const char* console = std::getenv("EDGE_CONSOLE");
  c.has_console = (console != nullptr && *console != '\0') || !top.Get("console").isNull();
  if (c.has_console) c.console = top.Address("console", "EDGE_CONSOLE", reading == Reading::kAgain);
  c.seed = ReadSeed(top.Get("seed"));
  c.sockets = static_cast<int>(own.Whole("sockets", c.sockets, 64, 1 << 20));
  c.memory_mb = static_cast<int>(own.Whole("memory_mb", c.memory_mb, 16, 1 << 20));
  top.In("known");  // must be an object, where it is there
  c.known = top.Get("known");
  if (top.Get("settings").isNull()) Fault("settings", "is missing");
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
    if (c.classes.back().empty()) Fault(path + ".name", "is missing");
    // Guards a file cut or spoilt by hand: a class that no request could be served in is no class.
    if (i < c.module.settings.classes.size() && c.module.settings.classes[i].deadline <= 0)
      Fault(path + ".deadline", "must be above 0");
  }
  if (c.module.settings.max_attempts <= 0) Fault("settings.limits.maxAttempts", "must be above 0");
  c.zones = settings.Texts("dcs");
  c.kinds = settings.Texts("kinds");
  c.load_fields = settings.In("loadInfo").Texts("fields");
  c.conn_idle = limits.Whole("connIdle", c.conn_idle, 100'000, 3'600'000'000);
  c.dial_timeout = limits.Whole("dialTimeout", c.dial_timeout, 1'000, 60'000'000);
  c.most_held = static_cast<int>(limits.Whole("mostHeld", c.most_held, 1, 1 << 24));
  return c;
}

Config Load(const std::string& path, Reading reading) { return Parse(ReadFile(path), reading); }

std::vector<std::string> NeedsRestart(const Config& in_force, const Config& next) {
  std::vector<std::string> keys;
  if (next.name != in_force.name) keys.push_back("name");
  if (!net::SameAddress(next.listen, in_force.listen)) keys.push_back("listen");
  if (next.has_console != in_force.has_console || !net::SameAddress(next.console, in_force.console))
    keys.push_back("console");
  if (next.sockets != in_force.sockets) keys.push_back("limits.sockets");
  if (next.memory_mb != in_force.memory_mb) keys.push_back("limits.memory_mb");
  if (next.settings_text != in_force.settings_text) keys.push_back("settings");
  return keys;
}

FaktoryConfig ParseFaktory(const std::string& json_text) {
  const Json::Value root = ParseJson(json_text);
  const Section top(root, "");
  FaktoryConfig c;
  c.enabled = top.Flag("enabled", c.enabled);
  c.password = top.Text("password", "");
  c.most_connections = static_cast<int>(top.Whole("most_connections", c.most_connections, 1, 1000));
  if (c.enabled) c.listen = top.Address("listen", nullptr);
  return c;
}

FaktoryConfig LoadFaktory(const std::string& path) {
  if (!path.empty()) return ParseFaktory(ReadFile(path));
  std::error_code none;
  return std::filesystem::exists(kFaktoryFile, none) ? ParseFaktory(ReadFile(kFaktoryFile)) : FaktoryConfig{};
}

}  // namespace heronway::config
