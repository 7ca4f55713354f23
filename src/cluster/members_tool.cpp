#include "src/cluster/members_tool.h"

#include <json/reader.h>
#include <json/writer.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdio>
#include <memory>
#include <stdexcept>

#include "src/cluster/net/node.h"

namespace heronway::cluster {
namespace {

std::string ToJsonLine(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value) + "\n";
}

Json::Value CommonFields(const Node& node) {
  Json::Value out;
  out["name"] = node.core().self().id.name;
  out["fleet"] = node.fleet();
  out["standing"] = Name(node.core().quorum_state());
  return out;
}

}  // namespace

http::Message CallConsole(const std::string& console, const std::string& method, const std::string& path) {
  const auto at = net::ParseAddress(console);
  if (!at) throw std::runtime_error("--console: " + console + " is not an address such as 10.0.0.4:15000");
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const std::unique_ptr<const int, void (*)(const int*)> closer(&fd, [](const int* f) { close(*f); });
  const timeval limit{3, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const std::string call = http::FormatRequest(method, path, {{"Host", console}}, {});
  if (connect(fd, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0 ||
      send(fd, call.data(), call.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(call.size()))
    throw std::runtime_error("the console at " + console + " cannot be reached");
  http::MessageParser reader(HTTP_RESPONSE, 4 * kMaxExchangeBytes);
  char bytes[16 * 1024];
  for (;;) {
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    std::size_t used = 0;
    const http::ParseState state =
        n > 0 ? reader.Feed({bytes, static_cast<std::size_t>(n)}, used) : reader.FinishInput();
    if (state == http::ParseState::kComplete) return reader.TakeMessage();
    if (n <= 0 || state != http::ParseState::kIncomplete)
      throw std::runtime_error("the console at " + console + " did not answer");
  }
}

int ReportConsoleError(const std::string& console, const http::Message& answer) {
  std::fprintf(stderr, "heronway: the console at %s answered %u: %s", console.c_str(), answer.status,
               answer.body.c_str());
  return 1;
}

std::string ClusterBody(const Node& node) {
  Json::Value out = CommonFields(node);
  out["schedulers"] = node.schedulers();
  out["present"] = node.core().fleet_size();
  out["health"] = node.core().local_health();
  out["digest"] = Json::UInt64(node.core().digest());
  return ToJsonLine(out);
}

std::string MembersBody(const Node& node) {
  Json::Value out = CommonFields(node);
  Json::Value& members = out["members"] = Json::arrayValue;
  const auto age = [now = node.Now()](Micros at) {
    return at == 0 ? Json::Value() : Json::Int64((now - at) / 1000);
  };
  for (const MemberView& v : node.core().Members()) {
    Json::Value m;
    m["name"] = v.record.id.name;
    m["life"] = Json::UInt64(v.record.id.boot_id);
    m["address"] = net::ToText(ToAddress(v.record.endpoint));
    m["zone"] = v.record.zone;
    m["fronts"] = v.record.fronts;
    m["state"] = Name(v.record.state);
    m["incarnation"] = v.record.incarnation;
    m["protocol"] = v.record.protocol_version;
    m["since_ms"] = age(v.since);
    m["heard_ms"] = age(v.last_heard);
    m["round_trip_us"] = v.round_trip > 0 ? Json::Value(Json::Int64(v.round_trip)) : Json::Value();
    members.append(std::move(m));
  }
  return ToJsonLine(out);
}

std::optional<Json::Value> FetchConsoleJson(const std::string& console, const std::string& path, bool raw,
                                            int& status) {
  const http::Message answer = CallConsole(console, "GET", path);
  status = answer.status == 200 ? 0 : ReportConsoleError(console, answer);
  if (status != 0) return std::nullopt;
  if (raw) {
    std::fputs(answer.body.c_str(), stdout);
    return std::nullopt;
  }
  Json::Value all;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(answer.body.data(), answer.body.data() + answer.body.size(), &all, nullptr) ||
      !all.isObject())
    throw std::runtime_error("the console at " + console + " did not answer with JSON");
  return all;
}

int ShowMembers(const std::string& console, bool json) {
  int status = 0;
  const auto answer = FetchConsoleJson(console, "/v1/cluster/members", json, status);
  if (!answer) return status;
  const Json::Value& all = *answer;
  std::printf("fleet %s as %s sees it: %s\n", all["fleet"].asCString(), all["name"].asCString(),
              all["standing"].asCString());
  std::printf("%-20s %-7s %-21s %-12s %4s %9s %9s %9s  %s\n", "NAME", "STATE", "ADDRESS", "ZONE", "INC",
              "SINCE s", "HEARD s", "TRIP ms", "LIFE");
  const auto number = [](const Json::Value& v, double unit) {
    char text[32] = "-";
    if (v.isNumeric()) std::snprintf(text, sizeof text, "%.1f", v.asDouble() / unit);
    return std::string(text);
  };
  for (const Json::Value& m : all["members"]) {
    std::printf("%-20s %-7s %-21s %-12s %4u %9s %9s %9s  %llu\n", m["name"].asCString(),
                m["state"].asCString(), m["address"].asCString(), m["zone"].asCString(),
                m["incarnation"].asUInt(), number(m["since_ms"], 1000).c_str(),
                number(m["heard_ms"], 1000).c_str(), number(m["round_trip_us"], 1000).c_str(),
                static_cast<unsigned long long>(m["life"].asUInt64()));
  }
  return 0;
}

int LeaveFleet(const std::string& console) {
  const http::Message answer = CallConsole(console, "PUT", "/v1/cluster/leave");
  if (answer.status != 200) return ReportConsoleError(console, answer);
  std::fputs(answer.body.c_str(), stdout);
  return 0;
}

}  // namespace heronway::cluster
