// What the console's calls do and say, apart from any socket: the tests call it as the console does.
#ifndef HERONWAY_FRONTS_CONSOLE_ENDPOINTS_H_
#define HERONWAY_FRONTS_CONSOLE_ENDPOINTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/core/reducer.h"
#include "src/fronts/console/console.h"

namespace heronway::console {

// The metrics, as `app.NAME=N` lines (docs/operators-console.md names each).
struct Metrics {
  const core::Counters* counters = nullptr;                       // of the reducer
  const std::vector<std::string>* classes = nullptr;              // the module's class names, by index
  std::size_t current = 0;                                        // requests taken and not ended
  std::size_t cluster_size = 0;                                   // targets listed
  std::size_t cluster_unhealthy = 0;                              // listed as ready, and drawn for nothing
  std::uint64_t conf_loaded = 0, conf_invalid = 0;                // files taken and turned down at SIGHUP
  core::Invariants invariants = {};                               // how often each was broken
  std::vector<std::pair<std::string, std::uint64_t>> fleet = {};  // of the cluster, where it is on
};
std::string FormatMetrics(const Metrics& metrics);

// What the calls reach.
struct Operations {
  std::function<bool()> ready;
  std::function<void(bool on)> cordon;  // drain (true) or activate (false)
  std::function<Metrics()> metrics;
  // Where the cluster is on; null: these calls are answered 404.
  std::function<std::string()> standing = nullptr, members = nullptr;
  std::function<void()> leave = nullptr;
  std::function<std::string()> copies = nullptr;  // where copies are kept; null: answered 404
};

// GET /v1/readyz, GET /v1/metrics, PUT /v1/scheduler/drain, PUT /v1/scheduler/activate, GET /v1/cluster,
// GET /v1/cluster/members, PUT /v1/cluster/leave, GET /v1/copies. Anything else: 404,
// or 405 for a known path with another method. A query is passed over.
Response HandleRequest(const http::Message& call, const Operations& operations);

}  // namespace heronway::console

#endif  // HERONWAY_FRONTS_CONSOLE_ENDPOINTS_H_
