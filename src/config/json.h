// Typed access to the keys of a JSON file. Every error names the invalid key.
#ifndef HERONWAY_CONFIG_JSON_H_
#define HERONWAY_CONFIG_JSON_H_

#include <json/value.h>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "src/net/stream.h"

namespace heronway::config {

// An unreadable file, invalid JSON, or an invalid value of a key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws ConfigError with the message "config: key `key` `what`".
[[noreturn]] void ThrowKeyError(const std::string& key, const std::string& what);
// The contents of a file; throws ConfigError if it cannot be read.
std::string ReadFile(const std::string& path);
// Parses a JSON object; throws ConfigError for other values, duplicate keys and text after the object.
Json::Value ParseJson(const std::string& text);

// An object in a JSON file and the path of keys that leads to it. The typed getters return `fallback` where
// the key is missing, and throw ConfigError where the value has another type or is outside `min` to `max`.
class Section {
 public:
  // `object` must outlive the section; throws ConfigError unless it is an object or null.
  Section(const Json::Value& object, std::string path);
  Section Subsection(const char* name) const { return Section(Get(name), Path(name)); }
  // The value of a key; null where it is missing.
  const Json::Value& Get(const char* name) const;
  std::string Text(const char* name, const std::string& fallback) const;
  std::int64_t Integer(const char* name, std::int64_t fallback, std::int64_t min, std::int64_t max) const;
  double Number(const char* name, double fallback, double min, double max) const;
  // Converts a time from milliseconds to microseconds. `fallback`, `min` and `max` are in microseconds.
  pebblenotch::Micros Millis(const char* name, pebblenotch::Micros fallback, pebblenotch::Micros min,
                             pebblenotch::Micros max) const;
  bool Flag(const char* name, bool fallback) const;
  // The index in `names` of the string value.
  std::size_t OneOf(const char* name, std::size_t fallback, const std::vector<std::string>& names) const;
  // A list of strings, given as an array or as one string separated by commas.
  std::vector<std::string> TextList(const char* name) const;
  // An address that must be present. The environment variable `variable` (null: none) overrides the key,
  // unless `prefer_file` is set and the key is present.
  net::Address Address(const char* name, const char* variable, bool prefer_file = false) const;
  // The full path of a key, as errors name it.
  std::string Path(const char* name) const { return path_.empty() ? name : path_ + "." + name; }
  // Throws ConfigError for a key that no getter was called for, so that a misspelt key is not ignored.
  void RejectUnknownKeys() const;

 private:
  const Json::Value& object_;
  std::string path_;
  mutable std::set<std::string> known_keys_;
};

}  // namespace heronway::config

#endif  // HERONWAY_CONFIG_JSON_H_
