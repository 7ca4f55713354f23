// The operators' own file, deploy/heronway.json: one section a subsystem. Keys that are not known are errors.
#ifndef HERONWAY_CONFIG_OPTIONS_H_
#define HERONWAY_CONFIG_OPTIONS_H_

#include <string>

#include "src/cluster/net/options.h"
#include "src/durable/settings.h"
#include "src/limits/settings.h"
#include "src/log/log.h"

namespace heronway::config {

struct MatchOptions {
  std::string rules;      // the rule file's path; empty: no rules
  double budget_us = 60;  // that a request may cost at worst, by the reckoning at load; 1 to 10,000
};

struct Options {
  log::Settings log;
  limits::Settings limits;
  MatchOptions match;
  durable::Settings durable;
  cluster::Options cluster;
};

inline constexpr const char* kOptionsFile = "deploy/heronway.json";

// Without a path: kOptionsFile below the folder it runs in; where there is none, the defaults.
Options LoadOptions(const std::string& path);
Options ParseOptions(const std::string& json_text);

}  // namespace heronway::config

#endif  // HERONWAY_CONFIG_OPTIONS_H_
