// Reading JSON files key by key: every message names the key that is at fault.
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

class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

[[noreturn]] void Fault(const std::string& key, const std::string& what);
std::string ReadFile(const std::string& path);
Json::Value ParseJson(const std::string& text);  // an object

// A member of an object, by a path of names; the reading functions say which key is at fault, and give the
// fallback where there is none.
class Section {
 public:
  Section(const Json::Value& object, std::string path);
  Section In(const char* name) const { return Section(Get(name), Path(name)); }
  const Json::Value& Get(const char* name) const;
  std::string Text(const char* name, const std::string& fallback) const;
  std::int64_t Whole(const char* name, std::int64_t fallback, std::int64_t least, std::int64_t most) const;
  double Number(const char* name, double fallback, double least, double most) const;
  // A time in milliseconds, as microseconds; the bounds are microseconds too.
  pebblenotch::Micros Millis(const char* name, pebblenotch::Micros fallback, pebblenotch::Micros least,
                             pebblenotch::Micros most) const;
  bool Flag(const char* name, bool fallback) const;
  // One of the names; gives its place.
  std::size_t OneOf(const char* name, std::size_t fallback, const std::vector<std::string>& names) const;
  // A list of plain texts; one text with commas is a list as well.
  std::vector<std::string> Texts(const char* name) const;
  // `variable`: of the environment, and goes before the key unless `file_first` and the key is there.
  net::Address Address(const char* name, const char* variable, bool file_first = false) const;
  std::string Path(const char* name) const { return path_.empty() ? name : path_ + "." + name; }
  // Guards against a key that is misspelt and silently does nothing: each must have been read by now.
  void NoOthers() const;

 private:
  const Json::Value& object_;
  std::string path_;
  mutable std::set<std::string> read_;
};

}  // namespace heronway::config

#endif  // HERONWAY_CONFIG_JSON_H_
