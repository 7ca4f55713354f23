// The site's configuration file and the file of the Faktory front: reading, validation and defaults. Errors
// name the invalid key.
#ifndef HERONWAY_CONFIG_CONFIG_H_
#define HERONWAY_CONFIG_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "adapter/settings.h"
#include "src/config/json.h"

namespace heronway::config {

using pebblenotch::Micros;

// The contents of the configuration file, with EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONSOLE
// applied.
struct Config {
  std::string name;
  net::Address listen{}, discovery{};
  bool has_console = false;  // the console's address is set, by `console` or $EDGE_CONSOLE
  net::Address console{};
  std::uint64_t seed = 0;
  int sockets = 1024;         // descriptors that the process may use
  int memory_mb = 192;        // memory for buffers and requests, in MiB
  Json::Value known_targets;  // used until discovery answers; in the format of its answers
  std::string settings_text;  // the settings in the flattened form, see Flatten

  pebblenotch::wire::InstanceSettings module;  // parsed from settings_text by the adapter
  // Settings that the module ignores and the network layer uses. Times are in microseconds.
  std::vector<std::string> classes, zones, kinds, load_fields;
  Micros conn_idle = 5'000'000, dial_timeout = 250'000;
  int max_pending = 20'000;  // requests per front; above it new ones are shed
};

// Settings of the Faktory front.
struct FaktoryConfig {
  bool enabled = false;
  net::Address listen{};
  std::string password;  // empty: clients need none
  int max_connections = 100;
};

// At the start the environment variables override the file. On a reload the file overrides them, because the
// environment of a running process cannot change.
enum class LoadReason { kStart, kReload };
// Reads and validates the file at `path`; throws ConfigError.
Config Load(const std::string& path, LoadReason reason = LoadReason::kStart);
Config Parse(const std::string& json_text, LoadReason reason = LoadReason::kStart);
// The keys that differ between the two configurations and take effect only after a restart.
std::vector<std::string> KeysNeedingRestart(const Config& current, const Config& next);
// An empty path stands for deploy/faktory.json in the working directory; the front is disabled if that file
// does not exist. Throws ConfigError.
FaktoryConfig LoadFaktory(const std::string& path);
FaktoryConfig ParseFaktory(const std::string& json_text);

// Converts nested JSON settings to the lines of the form `path=value` that the adapter's ParseSettings reads.
std::string Flatten(const Json::Value& settings);

}  // namespace heronway::config

#endif  // HERONWAY_CONFIG_CONFIG_H_
