#include "src/config/json.h"

#include <json/reader.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace heronway::config {

[[noreturn]] void ThrowKeyError(const std::string& key, const std::string& what) {
  throw ConfigError("config: key " + key + " " + what);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("config: cannot read the file " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

Json::Value ParseJson(const std::string& text) {
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors))
      throw ConfigError("config: not JSON: " + errors);
  } catch (const Json::Exception& e) {
    throw ConfigError(std::string("config: not JSON: ") + e.what());
  }
  if (!root.isObject()) throw ConfigError("config: not a JSON object");
  return root;
}

Section::Section(const Json::Value& object, std::string path) : object_(object), path_(std::move(path)) {
  if (!object_.isNull() && !object_.isObject()) ThrowKeyError(path_, "is not an object");
}

const Json::Value& Section::Get(const char* name) const {
  known_keys_.insert(name);
  return object_.isObject() && object_.isMember(name) ? object_[name] : Json::Value::nullSingleton();
}

std::string Section::Text(const char* name, const std::string& fallback) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isString()) ThrowKeyError(Path(name), "is not a string");
  return v.asString();
}

std::int64_t Section::Integer(const char* name, std::int64_t fallback, std::int64_t min,
                              std::int64_t max) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isNumeric()) ThrowKeyError(Path(name), "is not a number");
  const double number = v.asDouble();
  if (!(number >= static_cast<double>(min) && number <= static_cast<double>(max)))
    ThrowKeyError(Path(name), "is not between " + std::to_string(min) + " and " + std::to_string(max));
  return static_cast<std::int64_t>(number);
}

double Section::Number(const char* name, double fallback, double min, double max) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isNumeric()) ThrowKeyError(Path(name), "is not a number");
  const double number = v.asDouble();
  if (!(number >= min && number <= max)) {
    std::ostringstream what;
    what << "is not between " << min << " and " << max;
    ThrowKeyError(Path(name), what.str());
  }
  return number;
}

pebblenotch::Micros Section::Millis(const char* name, pebblenotch::Micros fallback, pebblenotch::Micros min,
                                    pebblenotch::Micros max) const {
  const double ms = Number(name, static_cast<double>(fallback) / 1e3, static_cast<double>(min) / 1e3,
                           static_cast<double>(max) / 1e3);
  return static_cast<pebblenotch::Micros>(ms * 1e3 + 0.5);
}

bool Section::Flag(const char* name, bool fallback) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isBool()) ThrowKeyError(Path(name), "is not true or false");
  return v.asBool();
}

std::size_t Section::OneOf(const char* name, std::size_t fallback,
                           const std::vector<std::string>& names) const {
  const std::string text = Text(name, names[fallback]);
  const auto it = std::find(names.begin(), names.end(), text);
  if (it != names.end()) return static_cast<std::size_t>(it - names.begin());
  std::string all;
  for (const auto& n : names) all += (all.empty() ? "" : ", ") + n;
  ThrowKeyError(Path(name), "is not one of " + all);
}

std::vector<std::string> Section::TextList(const char* name) const {
  const Json::Value& v = Get(name);
  std::vector<std::string> out;
  if (v.isString()) {
    std::istringstream in(v.asString());
    for (std::string item; std::getline(in, item, ',');) out.push_back(item);
  } else if (v.isArray()) {
    for (const Json::Value& item : v) {
      if (!item.isString()) ThrowKeyError(Path(name), "is not a list of strings");
      out.push_back(item.asString());
    }
  } else if (!v.isNull()) {
    ThrowKeyError(Path(name), "is not a list of strings");
  }
  return out;
}

net::Address Section::Address(const char* name, const char* variable, bool prefer_file) const {
  const char* set = variable != nullptr ? std::getenv(variable) : nullptr;
  if (prefer_file && !Get(name).isNull()) set = nullptr;
  const std::string text = set != nullptr ? set : Text(name, "");
  const std::string key = set != nullptr ? variable : Path(name);
  if (text.empty()) ThrowKeyError(key, "is missing");
  const auto address = net::ParseAddress(text);
  if (!address) ThrowKeyError(key, "is not an address such as 10.0.0.4:8080");
  return *address;
}

void Section::RejectUnknownKeys() const {
  if (!object_.isObject()) return;
  for (const std::string& name : object_.getMemberNames()) {
    if (!known_keys_.contains(name)) ThrowKeyError(Path(name.c_str()), "is not known");
  }
}

}  // namespace heronway::config
