// The one place where configuration is read, checked and given its defaults. Messages name the faulty key.
#ifndef HERONWAY_CONFIG_CONFIG_H_
#define HERONWAY_CONFIG_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "adapter/settings.h"
#include "src/config/json.h"

namespace heronway::config {

using pebblenotch::Micros;

struct Config {
  std::string name;
  net::Address listen{}, discovery{};
  bool has_console = false;  // `console` or $EDGE_CONSOLE names the operators' second address
  net::Address console{};
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 192;
  Json::Value known;          // the list of targets as last known, in discovery's form
  std::string settings_text;  // the settings, flattened

  pebblenotch::wire::InstanceSettings module;  // from the adapter's parser, its only reader
  // What only the sockets need, under the settings' names.
  std::vector<std::string> classes, zones, kinds, load_fields;
  Micros conn_idle = 5'000'000, dial_timeout = 250'000;
  int most_held = 20'000;
};

// Where the Faktory front listens and what it asks of those who connect.
struct FaktoryConfig {
  bool enabled = false;
  net::Address listen{};
  std::string password;
  int most_connections = 100;
};

// At the start EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY go before what the file says. A file that is read
// again goes before them: the environment of a running program cannot have changed.
enum class Reading { kStart, kAgain };
// Reads EDGE_CONFIG's file.
Config Load(const std::string& path, Reading reading = Reading::kStart);
Config Parse(const std::string& json_text, Reading reading = Reading::kStart);
// The keys in which `next` differs from what is in force and which take effect only at the next start.
std::vector<std::string> NeedsRestart(const Config& in_force, const Config& next);
// Without a path: deploy/faktory.json below the folder it runs in; where there is none, the front is off.
FaktoryConfig LoadFaktory(const std::string& path);
FaktoryConfig ParseFaktory(const std::string& json_text);

// Nested JSON settings as the lines of `path=value` that the adapter's ParseSettings reads.
std::string Flatten(const Json::Value& settings);

}  // namespace heronway::config

#endif  // HERONWAY_CONFIG_CONFIG_H_
