#include "src/config/json.h"

#include <json/reader.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace heronway::config {

[[noreturn]] void Fault(const std::string& key, const std::string& what) {
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
  if (!object_.isNull() && !object_.isObject()) Fault(path_, "is not an object");
}

const Json::Value& Section::Get(const char* name) const {
  read_.insert(name);
  return object_.isObject() && object_.isMember(name) ? object_[name] : Json::Value::nullSingleton();
}

std::string Section::Text(const char* name, const std::string& fallback) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isString()) Fault(Path(name), "is not a text");
  return v.asString();
}

std::int64_t Section::Whole(const char* name, std::int64_t fallback, std::int64_t least,
                            std::int64_t most) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isNumeric()) Fault(Path(name), "is not a number");
  const double d = v.asDouble();
  if (!(d >= static_cast<double>(least) && d <= static_cast<double>(most)))
    Fault(Path(name), "is not between " + std::to_string(least) + " and " + std::to_string(most));
  return static_cast<std::int64_t>(d);
}

double Section::Number(const char* name, double fallback, double least, double most) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isNumeric()) Fault(Path(name), "is not a number");
  const double d = v.asDouble();
  if (!(d >= least && d <= most)) {
    std::ostringstream what;
    what << "is not between " << least << " and " << most;
    Fault(Path(name), what.str());
  }
  return d;
}

pebblenotch::Micros Section::Millis(const char* name, pebblenotch::Micros fallback, pebblenotch::Micros least,
                                    pebblenotch::Micros most) const {
  const double ms = Number(name, static_cast<double>(fallback) / 1e3, static_cast<double>(least) / 1e3,
                           static_cast<double>(most) / 1e3);
  return static_cast<pebblenotch::Micros>(ms * 1e3 + 0.5);
}

bool Section::Flag(const char* name, bool fallback) const {
  const Json::Value& v = Get(name);
  if (v.isNull()) return fallback;
  if (!v.isBool()) Fault(Path(name), "is not true or false");
  return v.asBool();
}

std::size_t Section::OneOf(const char* name, std::size_t fallback,
                           const std::vector<std::string>& names) const {
  const std::string text = Text(name, names[fallback]);
  const auto it = std::find(names.begin(), names.end(), text);
  if (it != names.end()) return static_cast<std::size_t>(it - names.begin());
  std::string all;
  for (const auto& n : names) all += (all.empty() ? "" : ", ") + n;
  Fault(Path(name), "is none of " + all);
}

std::vector<std::string> Section::Texts(const char* name) const {
  const Json::Value& v = Get(name);
  std::vector<std::string> out;
  if (v.isString()) {
    std::istringstream in(v.asString());
    for (std::string item; std::getline(in, item, ',');) out.push_back(item);
  } else if (v.isArray()) {
    for (const Json::Value& item : v) {
      if (!item.isString()) Fault(Path(name), "is not a list of texts");
      out.push_back(item.asString());
    }
  } else if (!v.isNull()) {
    Fault(Path(name), "is not a list of texts");
  }
  return out;
}

net::Address Section::Address(const char* name, const char* variable, bool file_first) const {
  const char* set = variable != nullptr ? std::getenv(variable) : nullptr;
  if (file_first && !Get(name).isNull()) set = nullptr;
  const std::string text = set != nullptr ? set : Text(name, "");
  const std::string key = set != nullptr ? variable : Path(name);
  if (text.empty()) Fault(key, "is missing");
  const auto address = net::ParseAddress(text);
  if (!address) Fault(key, "is not an address such as 10.0.0.4:8080");
  return *address;
}

void Section::NoOthers() const {
  if (!object_.isObject()) return;
  for (const std::string& name : object_.getMemberNames()) {
    if (!read_.contains(name)) Fault(Path(name.c_str()), "is not known");
  }
}

}  // namespace heronway::config
