// Console answers about the fleet, and the sub-command `heronway members` that requests and prints them.
#ifndef HERONWAY_CLUSTER_MEMBERS_TOOL_H_
#define HERONWAY_CLUSTER_MEMBERS_TOOL_H_

#include <json/value.h>

#include <optional>
#include <string>

#include "src/fronts/http/message.h"

namespace heronway::cluster {

class Node;

// Sends one request to a console over a blocking socket, with a timeout of 3 s for each read and write.
// Throws std::runtime_error if the console cannot be reached or does not answer.
http::Message CallConsole(const std::string& console, const std::string& method, const std::string& path);
// Prints a console answer other than 200 to standard error and returns the exit status.
int ReportConsoleError(const std::string& console, const http::Message& answer);
// Requests `path` and returns the parsed JSON object. If `raw`, prints the body unchanged instead. Returns
// nullopt after printing, or if the console answered with an error, and sets `status` to the exit status.
std::optional<Json::Value> FetchConsoleJson(const std::string& console, const std::string& path, bool raw,
                                            int& status);

// Bodies of GET /v1/cluster and GET /v1/cluster/members, as JSON. Times are ages in milliseconds.
std::string ClusterBody(const Node& node);
std::string MembersBody(const Node& node);

// Print the members as a table, or the console's JSON if `json`, and tell a member to leave its fleet. Both
// return the exit status, 1 if the console answered with an error, and throw std::runtime_error if it cannot
// be reached.
int ShowMembers(const std::string& console, bool json);
int LeaveFleet(const std::string& console);

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_MEMBERS_TOOL_H_
