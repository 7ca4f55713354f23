// The console's HTTP endpoints, independent of sockets so that tests can call them directly.
#ifndef HERONWAY_FRONTS_CONSOLE_ENDPOINTS_H_
#define HERONWAY_FRONTS_CONSOLE_ENDPOINTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/core/reducer.h"
#include "src/fronts/console/console.h"

namespace heronway::console {

// Values of the metrics page, written as `app.NAME=N` lines (described in docs/operators-console.md).
struct Metrics {
  const core::Counters* counters = nullptr;           // the reducer's counters
  const std::vector<std::string>* classes = nullptr;  // class names by index
  std::size_t current = 0;                            // requests accepted and not yet ended
  std::size_t cluster_size = 0;                       // listed targets
  std::size_t cluster_unhealthy = 0;                  // ready targets that no class would select
  std::uint64_t conf_loaded = 0, conf_invalid = 0;    // configurations loaded and rejected on SIGHUP
  core::Invariants invariants = {};                   // number of violations of each
  std::vector<std::pair<std::string, std::uint64_t>> fleet = {};  // metrics of the cluster, if enabled
};
// Formats the metrics page.
std::string FormatMetrics(const Metrics& metrics);

// The functions behind the endpoints.
struct Operations {
  std::function<bool()> ready;
  std::function<void(bool on)> cordon;  // drains (true) or activates (false) the scheduler
  std::function<Metrics()> metrics;
  // JSON texts and the leave order of the cluster. Without a cluster the texts are null, and the endpoints
  // answer 404.
  std::function<std::string()> cluster = nullptr, members = nullptr;
  std::function<void()> leave = nullptr;
  // JSON text; null without replication, and the endpoint answers 404
  std::function<std::string()> copies = nullptr;
};

// Handles GET /v1/readyz, GET /v1/metrics, PUT /v1/scheduler/drain, PUT /v1/scheduler/activate, GET
// /v1/cluster, GET /v1/cluster/members, PUT /v1/cluster/leave and GET /v1/copies. POST is accepted like PUT.
// Other paths get 404, and known paths with another method 405. The query string is ignored.
Response HandleRequest(const http::Message& request, const Operations& operations);

}  // namespace heronway::console

#endif  // HERONWAY_FRONTS_CONSOLE_ENDPOINTS_H_
