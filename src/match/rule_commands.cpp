#include "src/match/rule_commands.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "src/config/json.h"
#include "src/match/format.h"
#include "src/match/rules.h"

namespace heronway::match {
namespace {

using Pairs = std::vector<std::pair<std::string, std::string>>;

Pairs ReadPairs(const config::Section& top, const char* name) {
  Pairs out;
  top.Subsection(name);
  const Json::Value& object = top.Get(name);
  for (const auto& key : object.isNull() ? std::vector<std::string>{} : object.getMemberNames()) {
    if (!object[key].isString()) config::ThrowKeyError(top.Path(name) + "." + key, "is not a string");
    out.emplace_back(key, object[key].asString());
  }
  return out;
}

// Nanoseconds for a match: the median and the 99th percentile of batches.
std::pair<double, double> Time(Rules& rules, const Request& request) {
  std::vector<double> times;
  for (int batch = 0; batch < 400; ++batch) {
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 50; ++i) rules.Match(request);
    times.push_back(
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began).count() / 50);
  }
  std::sort(times.begin(), times.end());
  return {times[times.size() / 2], times[times.size() * 99 / 100]};
}

}  // namespace

int CheckFile(const std::string& path, double budget_ns) {
  const Rules rules(path, ReadRuleFile(path), {budget_ns});
  std::printf("%s: %zu rules, at worst %.0f ns a request\n", path.c_str(), rules.size(),
              rules.worst_cost_ns());
  return 0;
}

int EvalFile(const std::string& path, const std::string& request, double budget_ns) {
  Rules rules(path, ReadRuleFile(path), {budget_ns});
  const Json::Value root = config::ParseJson(config::ReadFile(request));
  const config::Section top(root, "");
  const std::string front = top.Text("front", "http"), at = top.Text("path", ""),
                    query = top.Text("query", ""), jobtype = top.Text("jobtype", ""),
                    queue = top.Text("queue", ""), peer = top.Text("peer", "127.0.0.1");
  const Pairs headers = ReadPairs(top, "headers"), custom = ReadPairs(top, "custom");
  Request r;
  r.front = front;
  r.path = at;
  r.query = query;
  r.jobtype = jobtype;
  r.queue = queue;
  r.headers = headers;
  r.custom = custom;
  r.body_bytes = top.Integer("body_bytes", 0, 0, 1LL << 40);
  r.deadline = top.Integer("deadline_ms", 0, 0, 1LL << 40) * 1000;
  r.is_retry = top.Flag("repeat", false);
  if (!ParseAddress(peer, r.peer)) config::ThrowKeyError("peer", "is not an address");
  top.RejectUnknownKeys();
  std::fputs(rules.TraceMatch(r).c_str(), stdout);
  return 0;
}

int FormatFile(const std::string& path, bool write, bool check) {
  const std::string before = ReadRuleFile(path), after = Format(path, before);
  if (check) {
    if (after != before) std::printf("%s: not in its usual form\n", path.c_str());
    return after == before ? 0 : 1;
  }
  if (!write) {
    std::fwrite(after.data(), 1, after.size(), stdout);
    return 0;
  }
  if (after == before) return 0;
  // Beside it and then in its place: whoever reads the file meanwhile finds one or the other, whole.
  const std::string beside = path + ".new";
  std::ofstream out(beside, std::ios::binary | std::ios::trunc);
  if (!out.write(after.data(), static_cast<std::streamsize>(after.size())).flush())
    throw RuleError(beside, "", {{{0, 0}, "cannot write the file"}});
  out.close();
  std::error_code e;
  std::filesystem::permissions(beside, std::filesystem::status(path).permissions(), e);
  std::filesystem::rename(beside, path, e);
  if (e) throw RuleError(path, "", {{{0, 0}, "cannot replace the file: " + e.message()}});
  return 0;
}

int ExplainFile(const std::string& path, double budget_ns) {
  std::fputs(Rules(path, ReadRuleFile(path), {budget_ns}).Explain().c_str(), stdout);
  return 0;
}

int BenchFile(const std::string& path, double budget_ns) {
  Rules rules(path, ReadRuleFile(path), {budget_ns});
  const Pairs usual = {{"Host", "service.internal"},
                       {"Req-Id", "9b1f03aa5c7e2d41"},
                       {"Req-Deadline-Ms", "480"},
                       {"Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}};
  Pairs hostile;
  for (std::size_t i = 0; i < kMaxHeaders; ++i)
    hostile.emplace_back("H" + std::to_string(i), std::string(kMaxHeadBytes / kMaxHeaders, 'a'));
  const std::string long_path = "/" + std::string(kMaxHeadBytes, 'a');
  Request r;
  r.front = "http";
  r.path = "/album-save/1";
  r.headers = usual;
  const auto [usual_median, usual_p99] = Time(rules, r);
  r.path = long_path;
  r.headers = hostile;
  const auto [hostile_median, hostile_p99] = Time(rules, r);
  std::printf(
      "%zu rules, reckoned at worst %.0f ns\nusual    median %8.0f ns  p99 %8.0f ns\nhostile  median %8.0f "
      "ns  p99 %8.0f ns\n",
      rules.size(), rules.worst_cost_ns(), usual_median, usual_p99, hostile_median, hostile_p99);
  return 0;
}

}  // namespace heronway::match
