#include "src/fronts/console/endpoints.h"

namespace heronway::console {

std::string FormatMetrics(const Metrics& metrics) {
  std::string out;
  const auto line = [&out](const std::string& name, std::uint64_t value) {
    out += "app." + name + "=" + std::to_string(value) + "\n";
  };
  std::uint64_t sends = 0;
  if (metrics.counters != nullptr) {
    const auto& by_class = metrics.counters->by_class;
    const std::size_t configured = metrics.classes != nullptr ? metrics.classes->size() : 0;
    // All configured classes are listed from the start, even without requests.
    for (std::size_t c = 0; c < std::max(configured, by_class.size()); ++c) {
      const core::ClassCounts counts = c < by_class.size() ? by_class[c] : core::ClassCounts{};
      const std::string name =
          "transactions." + (c < configured ? (*metrics.classes)[c] : "class" + std::to_string(c));
      line(name + ".answered", counts.answered);
      line(name + ".deferred", counts.deferred);
      line(name + ".errored", counts.errored);
      line(name + ".sends", counts.sends);
      sends += counts.sends;
    }
  }
  line("sends", sends);
  line("current", metrics.current);
  line("cluster_size", metrics.cluster_size);
  line("cluster_unhealthy", metrics.cluster_unhealthy);
  line("conf_loaded", metrics.conf_loaded);
  line("conf_invalid", metrics.conf_invalid);
  for (std::size_t i = 0; i < core::kInvariantCount; ++i)
    line(std::string("invariants.") + core::kInvariantNames[i], metrics.invariants.Violations(i));
  for (const auto& [name, value] : metrics.fleet) line("fleet." + name, value);
  return out;
}

Response HandleRequest(const http::Message& request, const Operations& operations) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const bool get = request.method == "GET", put = request.method == "PUT" || request.method == "POST";
  if (path == "/v1/readyz") {
    if (!get) return {405, "use GET\n"};
    return operations.ready() ? Response{200, "ready\n"} : Response{503, "not ready\n"};
  }
  if (path == "/v1/metrics") {
    if (!get) return {405, "use GET\n"};
    return {200, FormatMetrics(operations.metrics())};
  }
  if (path == "/v1/scheduler/drain" || path == "/v1/scheduler/activate") {
    if (!put) return {405, "use PUT\n"};
    const bool drain = path == "/v1/scheduler/drain";
    operations.cordon(drain);
    return {200, drain ? "draining\n" : "active\n"};
  }
  if (path.starts_with("/v1/cluster") && !operations.members) return {404, "the cluster is off\n"};
  if (path == "/v1/cluster" || path == "/v1/cluster/members") {
    if (!get) return {405, "use GET\n"};
    return {200, path == "/v1/cluster" ? operations.cluster() : operations.members()};
  }
  if (path == "/v1/copies") {
    if (!operations.copies) return {404, "no copies are kept\n"};
    return get ? Response{200, operations.copies()} : Response{405, "use GET\n"};
  }
  if (path == "/v1/cluster/leave") {
    if (!put) return {405, "use PUT\n"};
    operations.leave();
    return {200, "leaving\n"};
  }
  return {404, "no such call\n"};
}

}  // namespace heronway::console
