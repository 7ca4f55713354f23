// The operators' own file, deploy/heronway.json: one section a subsystem. Keys that are not known are errors.
#ifndef HERONWAY_CONFIG_OPTIONS_H_
#define HERONWAY_CONFIG_OPTIONS_H_

#include <string>

#include "src/limits/settings.h"
#include "src/log/log.h"

namespace heronway::config {

struct Options {
  log::Settings log;
  limits::Settings limits;
};

inline constexpr const char* kOptionsFile = "deploy/heronway.json";

// Without a path: kOptionsFile below the folder it runs in; where there is none, the defaults.
Options LoadOptions(const std::string& path);
Options ParseOptions(const std::string& json_text);

}  // namespace heronway::config

#endif  // HERONWAY_CONFIG_OPTIONS_H_
