#include "src/config/options.h"

#include <filesystem>

#include "src/config/json.h"

namespace heronway::config {
namespace {

constexpr pebblenotch::Micros kMs = 1'000, kSecond = 1'000'000;

log::Settings ReadLog(const Section& in) {
  log::Settings s;
  s.format =
      static_cast<log::LineFormat>(in.OneOf("form", static_cast<std::size_t>(s.format), {"text", "json"}));
  s.level = static_cast<log::Level>(
      in.OneOf("level", static_cast<std::size_t>(s.level), {"debug", "info", "warn", "error"}));
  s.connections = in.Flag("connections", s.connections);
  in.RejectUnknownKeys();
  return s;
}

limits::StormSettings ReadStormDetector(const Section& in) {
  limits::StormSettings s;
  s.window = in.Millis("window_ms", s.window, 500 * kMs, 60 * kSecond);
  s.rising = in.Number("rising", s.rising, 0.01, 1);
  s.storm = in.Number("storm", s.storm, 0.01, 1);
  if (s.storm <= s.rising) ThrowKeyError(in.Path("storm"), "is not greater than " + in.Path("rising"));
  s.confirm = in.Millis("confirm_ms", s.confirm, 0, 10 * kSecond);
  s.settle = in.Millis("settle_ms", s.settle, 100 * kMs, 60 * kSecond);
  s.min_arrivals = in.Number("least_arrivals", s.min_arrivals, 1, 1e6);
  in.RejectUnknownKeys();
  return s;
}

limits::ClientSettings ReadClientTable(const Section& in) {
  limits::ClientSettings s;
  const auto max_clients = in.Integer("most", static_cast<std::int64_t>(s.max_clients), 256, 1 << 22);
  if ((max_clients & (max_clients - 1)) != 0) ThrowKeyError(in.Path("most"), "is not a power of two");
  s.max_clients = static_cast<std::size_t>(max_clients);
  s.retention = in.Millis("remember_ms", s.retention, kSecond, 600 * kSecond);
  in.RejectUnknownKeys();
  return s;
}

limits::RetrySettings ReadRetryBudget(const Section& in) {
  limits::RetrySettings s;
  s.share = in.Number("share", s.share, 0, 2);
  s.storm_share = in.Number("storm_share", s.storm_share, 0, 2);
  if (s.storm_share > s.share) ThrowKeyError(in.Path("storm_share"), "is greater than " + in.Path("share"));
  s.floor_per_s = in.Number("floor_per_s", s.floor_per_s, 0, 1e6);
  s.reserved = in.Number("reserved", s.reserved, 0, 0.9);
  s.accrual_window = in.Millis("keep_ms", s.accrual_window, kSecond, 600 * kSecond);
  in.RejectUnknownKeys();
  return s;
}

limits::ConcurrencySettings ReadConcurrencyLimit(const Section& in) {
  limits::ConcurrencySettings s;
  s.slack_share = in.Number("slack_share", s.slack_share, 0.05, 1);
  s.tolerance = in.Number("tolerance", s.tolerance, 1.05, 10);
  s.min_in_flight = in.Number("least_out", s.min_in_flight, 1, 1e6);
  s.rate_window = in.Millis("measure_ms", s.rate_window, 100 * kMs, 30 * kSecond);
  in.RejectUnknownKeys();
  return s;
}

limits::RetryScheduleSettings ReadRetrySchedule(const Section& in) {
  limits::RetryScheduleSettings s;
  s.bin = in.Millis("bin_ms", s.bin, 10 * kMs, 5 * kSecond);
  s.max_wait = in.Millis("longest_ms", s.max_wait, 10 * kMs, 60 * kSecond);
  if (s.max_wait < s.bin) ThrowKeyError(in.Path("longest_ms"), "is less than " + in.Path("bin_ms"));
  s.tolerance = in.Millis("tolerance_ms", s.tolerance, 0, 5 * kSecond);
  s.grace = in.Millis("grace_ms", s.grace, 0, 60 * kSecond);
  s.capacity_share = in.Number("fill", s.capacity_share, 0.05, 1);
  s.min_retry_share = in.Number("for_returns", s.min_retry_share, 0.05, 1);
  in.RejectUnknownKeys();
  return s;
}

limits::AcceptSettings ReadAcceptPacer(const Section& in) {
  limits::AcceptSettings s;
  s.per_s = in.Number("per_s", s.per_s, 0, 1e6);
  if (s.per_s > 0 && s.per_s < 10) ThrowKeyError(in.Path("per_s"), "is neither 0 nor at least 10");
  s.burst = in.Number("burst", s.burst, 1, 1e6);
  in.RejectUnknownKeys();
  return s;
}

limits::Settings ReadLimits(const Section& in) {
  limits::Settings s;
  s.enabled = in.Flag("enabled", s.enabled);
  s.storm = ReadStormDetector(in.Subsection("watch"));
  s.clients = ReadClientTable(in.Subsection("clients"));
  s.retries = ReadRetryBudget(in.Subsection("repeats"));
  s.concurrency = ReadConcurrencyLimit(in.Subsection("intake"));
  s.retry_schedule = ReadRetrySchedule(in.Subsection("returns"));
  s.accept = ReadAcceptPacer(in.Subsection("accepts"));
  in.RejectUnknownKeys();
  return s;
}

durable::Settings ReadDurable(const Section& in) {
  durable::Settings s;
  constexpr pebblenotch::Micros kDay = 86'400 * kSecond;
  s.enabled = in.Flag("enabled", s.enabled);
  s.folder = in.Text("folder", s.folder);
  if (s.enabled && s.folder.empty()) ThrowKeyError(in.Path("folder"), "is missing");
  std::error_code ignored;
  if (s.enabled && !std::filesystem::is_directory(s.folder, ignored))
    ThrowKeyError(in.Path("folder"), "is no folder that is there: " + s.folder);
  s.lease = in.Millis("lease_ms", s.lease, 500 * kMs, kDay);
  s.grace = in.Millis("grace_ms", s.grace, 100 * kMs, kDay);
  s.keep_finished = in.Millis("keep_ms", s.keep_finished, kSecond, 365 * kDay);
  const Section keep_by_class = in.Subsection("keep_class_ms");
  for (const std::string& name : in.Get("keep_class_ms").getMemberNames())
    s.keep_by_class[name] = keep_by_class.Millis(name.c_str(), s.keep_finished, kSecond, 365 * kDay);
  s.keep_failed = in.Millis("keep_failed_ms", s.keep_failed, kSecond, 365 * kDay);
  s.max_active = static_cast<int>(in.Integer("most_in_hand", s.max_active, 4, 100'000));
  s.max_unfinished = in.Integer("most_open", s.max_unfinished, 1, 100'000'000);
  s.max_leases = static_cast<int>(in.Integer("most_leases", s.max_leases, 1, 10'000));
  s.max_store_mb = in.Integer("most_store_mb", s.max_store_mb, 1, 1 << 20);
  in.RejectUnknownKeys();
  return s;
}

cluster::Options ReadCluster(const Section& in) {
  cluster::Options o;
  o.enabled = in.Flag("enabled", o.enabled);
  const auto token = [&in](const char* key, std::size_t max_bytes) {
    const std::string text = in.Text(key, "");
    if (!cluster::IsPlainToken(text, max_bytes))
      ThrowKeyError(
          in.Path(key),
          "is longer than " + std::to_string(max_bytes) +
              " bytes, or contains a blank, a quote, a backslash or a byte outside printable ASCII");
    return text;
  };
  o.fleet = token("fleet", cluster::kMaxFleetNameBytes);
  if (o.enabled && o.fleet.empty()) ThrowKeyError(in.Path("fleet"), "is missing");
  o.name = token("name", cluster::kMaxNameBytes);
  o.zone = token("zone", cluster::kMaxZoneBytes);
  if (o.enabled || !in.Get("listen").isNull()) o.listen = in.Address("listen", nullptr);
  const bool has_advertise = !in.Get("advertise").isNull();
  o.advertise = has_advertise ? in.Address("advertise", nullptr) : o.listen;
  if (o.enabled && o.advertise.sin_addr.s_addr == 0)
    ThrowKeyError(in.Path(has_advertise ? "advertise" : "listen"),
                  "is not an address at which other members can reach this one");
  const auto address = [](const std::string& key, const std::string& text) {
    const auto at = net::ParseAddress(text);
    if (!at || at->sin_port == 0 || at->sin_addr.s_addr == 0)
      ThrowKeyError(key, "is not an address such as 10.0.0.4:7946: " + text);
    return *at;
  };
  for (const std::string& text : in.TextList("join")) o.join.push_back(address(in.Path("join"), text));
  const auto read_overrides = [&](const char* key, std::map<std::string, net::Address>& out) {
    const Section by_name = in.Subsection(key);
    for (const std::string& name : in.Get(key).getMemberNames())
      out[name] = address(by_name.Path(name.c_str()), by_name.Text(name.c_str(), ""));
  };
  read_overrides("reach", o.address_overrides);
  read_overrides("copies_reach", o.copies_address_overrides);
  o.copies = static_cast<int>(in.Integer("copies", o.copies, 1, 7));
  if (o.copies % 2 == 0)
    ThrowKeyError(
        in.Path("copies"),
        "is even: one copy more needs no larger majority, and one copy fewer tolerates as many failures");
  if (!in.Get("copies_listen").isNull()) o.copies_listen = in.Address("copies_listen", nullptr);
  if (o.copies > 1 && o.copies_listen.sin_port == 0) ThrowKeyError(in.Path("copies_listen"), "is missing");
  if (o.copies > 1 && !o.enabled) ThrowKeyError(in.Path("copies"), "needs " + in.Path("enabled"));
  o.takeover_delay = in.Millis("takeover_ms", o.takeover_delay, 0, 3600 * kSecond);
  if (o.takeover_delay > 0 && o.copies == 1)
    ThrowKeyError(in.Path("takeover_ms"), "needs " + in.Path("copies") + " greater than 1");
  o.probe_period = in.Millis("period_ms", o.probe_period, 50 * kMs, 10 * kSecond);
  o.forget_after = static_cast<cluster::Micros>(
      in.Number("forget_s", static_cast<double>(o.forget_after) / 1e6, 10, 30 * 86'400) * 1e6);
  in.RejectUnknownKeys();
  return o;
}

}  // namespace

Options ParseOptions(const std::string& json_text) {
  const Json::Value root = ParseJson(json_text);
  const Section top(root, "");
  Options options;
  options.log = ReadLog(top.Subsection("log"));
  options.limits = ReadLimits(top.Subsection("limits"));
  const Section match = top.Subsection("match");
  options.match.rules = match.Text("rules", "");
  options.match.budget_us = match.Number("budget_us", options.match.budget_us, 1, 10'000);
  match.RejectUnknownKeys();
  options.durable = ReadDurable(top.Subsection("durable"));
  options.cluster = ReadCluster(top.Subsection("cluster"));
  if (options.cluster.copies > 1 && !options.durable.enabled)
    ThrowKeyError("cluster.copies", "needs durable.enabled: only durable jobs are replicated");
  top.RejectUnknownKeys();
  return options;
}

Options LoadOptions(const std::string& path) {
  std::error_code ignored;
  if (path.empty() && !std::filesystem::exists(kOptionsFile, ignored)) return {};
  const std::string file = path.empty() ? kOptionsFile : path;
  try {
    return ParseOptions(ReadFile(file));
  } catch (const ConfigError& e) {
    throw ConfigError(file + ": " + e.what());
  }
}

}  // namespace heronway::config
