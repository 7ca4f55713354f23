// What the console says of the fleet, and `heronway members`, which asks it.
#ifndef HERONWAY_CLUSTER_TOOL_H_
#define HERONWAY_CLUSTER_TOOL_H_

#include <json/value.h>

#include <optional>
#include <string>

#include "src/fronts/http/message.h"

namespace heronway::cluster {

class Node;

// One call of a console, on a blocking socket with a limit of time. Throws std::runtime_error where it cannot
// be asked.
http::Message CallConsole(const std::string& console, const std::string& method, const std::string& path);
// Says on standard error what a console answered that is not 200; gives the exit status.
int ReportConsoleError(const std::string& console, const http::Message& answer);
// What a call answers, for a table. Nothing where none is to be made: `raw`, and it was printed as it came,
// or the console says no; `status` is the exit status then.
std::optional<Json::Value> FetchConsoleJson(const std::string& console, const std::string& path, bool raw,
                                            int& status);

// Bodies of GET /v1/cluster and GET /v1/cluster/members, as JSON. Times are ages in milliseconds.
std::string ClusterBody(const Node& node);
std::string MembersBody(const Node& node);

// Asks the console at `console` and prints a table, or what it said where `json`. Gives the exit status: 1
// where the console says no; throws std::runtime_error where it cannot be asked.
int ShowMembers(const std::string& console, bool json);
int LeaveFleet(const std::string& console);

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_TOOL_H_
