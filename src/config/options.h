// The options file, deploy/heronway.json, with one section per subsystem. Unknown keys are errors.
#ifndef HERONWAY_CONFIG_OPTIONS_H_
#define HERONWAY_CONFIG_OPTIONS_H_

#include <string>

#include "src/cluster/net/options.h"
#include "src/durable/settings.h"
#include "src/limits/settings.h"
#include "src/log/log.h"

namespace heronway::config {

struct MatchOptions {
  std::string rules;      // path of the rule file; empty: no rules
  double budget_us = 60;  // upper bound on the estimated worst cost of a request; 1 to 10,000
};

// The contents of the options file; the defaults apply to missing keys.
struct Options {
  log::Settings log;
  limits::Settings limits;
  MatchOptions match;
  durable::Settings durable;
  cluster::Options cluster;
};

inline constexpr const char* kOptionsFile = "deploy/heronway.json";

// An empty path stands for kOptionsFile in the working directory; the defaults apply if that file does not
// exist. Throws ConfigError, also for an unknown key.
Options LoadOptions(const std::string& path);
Options ParseOptions(const std::string& json_text);

}  // namespace heronway::config

#endif  // HERONWAY_CONFIG_OPTIONS_H_
