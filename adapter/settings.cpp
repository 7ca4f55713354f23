// The keys of the settings text and their meaning.
#include "adapter/settings.h"

#include <charconv>
#include <cmath>
#include <map>

namespace pebblenotch::wire {
namespace {

constexpr int kMaxEntries = 4096;  // classes or tenants; rejects implausible counts

// The keys and values of a settings text, which must outlive it.
class Values {
 public:
  explicit Values(std::string_view text) {
    while (!text.empty()) {
      const auto end = std::min(text.find('\n'), text.size());
      const auto line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      if (const auto eq = line.find('='); eq != line.npos) values_[line.substr(0, eq)] = line.substr(eq + 1);
    }
  }

  const std::string_view* Find(std::string_view key) const {
    const auto it = values_.find(key);
    return it == values_.end() ? nullptr : &it->second;
  }
  std::string_view Text(std::string_view key, std::string_view fallback) const {
    const auto* value = Find(key);
    return value ? *value : fallback;
  }
  double Number(const std::string& key, double fallback) const {
    return Find(key) ? Parse(key, *Find(key)) : fallback;
  }
  double Required(const std::string& key) const {
    if (!Find(key)) throw SettingsError("settings: required key " + key + " is missing");
    return Parse(key, *Find(key));
  }
  Micros Time(const std::string& key, Micros fallback) const {
    return static_cast<Micros>(Number(key, static_cast<double>(fallback)));
  }
  Micros RequiredTime(const std::string& key) const { return static_cast<Micros>(Required(key)); }
  int Count(const std::string& key, double value) const {
    if (value < 0 || value > kMaxEntries) throw SettingsError("settings: key " + key + " is out of range");
    return static_cast<int>(value);
  }
  bool Flag(std::string_view key, bool fallback) const {
    const auto* value = Find(key);
    return value ? *value == "true" || *value == "1" : fallback;
  }
  std::vector<std::string_view> List(std::string_view key) const {
    std::vector<std::string_view> items;
    auto text = Text(key, "");
    while (!text.empty()) {
      const auto end = std::min(text.find(','), text.size());
      items.push_back(text.substr(0, end));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    return items;
  }
  std::vector<double> Numbers(const std::string& key) const {
    std::vector<double> numbers;
    for (const auto item : List(key)) numbers.push_back(Parse(key, item));
    return numbers;
  }

 private:
  static double Parse(const std::string& key, std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) ||
        std::abs(value) > 9e15) {
      throw SettingsError("settings: key " + key + " cannot be read");
    }
    return value;
  }
  std::map<std::string_view, std::string_view> values_;
};

ClassSettings ParseClass(const Values& values, const std::string& path) {
  ClassSettings out;
  out.aim = values.RequiredTime(path + "aim");
  out.aim_stretch = values.Number(path + "aimStretch", out.aim_stretch);
  out.deadline = values.RequiredTime(path + "deadline");
  out.key_ttl = values.Time(path + "keyTtl", out.key_ttl);
  out.late_worth = values.Number(path + "lateWorth", out.late_worth);
  out.worth = values.Number(path + "value", out.worth);
  out.stream = values.Flag(path + "stream", out.stream);
  const auto* idempotency = values.Find(path + "idempotency");
  if (!idempotency) throw SettingsError("settings: required key " + path + "idempotency is missing");
  if (*idempotency == "idempotent") {
    out.idempotency = Idempotency::kIdempotent;
  } else if (*idempotency == "deduplicated") {
    out.idempotency = Idempotency::kDeduplicated;
  } else if (*idempotency == "at_most_once") {
    out.idempotency = Idempotency::kAtMostOnce;
  } else {
    throw SettingsError("settings: key " + path + "idempotency cannot be read");
  }
  // A value that is absent or unknown means the narrowest scope, which is always safe.
  const auto scope = values.Text(path + "keyScope", "cell");
  out.dedup_scope = scope == "all"    ? DedupScope::kAll
                    : scope == "zone" ? DedupScope::kZone
                                      : DedupScope::kCell;
  return out;
}

}  // namespace

InstanceSettings ParseSettings(std::string_view text) {
  const Values values(text);
  InstanceSettings out;
  Settings& s = out.settings;
  const int classes = values.Count("classes.count", values.Required("classes.count"));
  const auto kinds = values.Numbers("familyInfo.classKind");
  const auto priorities = values.Numbers("familyInfo.classPriority");
  const auto stretches = values.Numbers("familyInfo.classStretch");
  for (int i = 0; i < classes; ++i) {
    const auto at = static_cast<std::size_t>(i);
    ClassSettings parsed = ParseClass(values, "classes." + std::to_string(i) + ".");
    if (at < kinds.size()) parsed.kind = static_cast<int>(kinds[at]);
    if (at < priorities.size()) parsed.priority = static_cast<int>(priorities[at]);
    if (at < stretches.size()) parsed.aim_stretch = stretches[at];
    s.classes.push_back(parsed);
  }
  const int tenants = values.Count("tenants.count", values.Number("tenants.count", 0));
  for (int i = 0; i < tenants; ++i) {
    s.tenants.push_back({values.Number("tenants." + std::to_string(i) + ".allowancePerS", 0)});
  }
  s.zone = static_cast<int>(values.Number("az", s.zone));
  s.zones = std::max<int>(1, static_cast<int>(values.List("dcs").size()));
  s.kinds = std::max<int>(1, static_cast<int>(values.List("kinds").size()));
  s.nodes = std::max(1, static_cast<int>(values.Number("peersTotal", s.nodes)));
  s.max_attempts = static_cast<int>(values.Required("limits.maxAttempts"));
  s.may_probe = values.Flag("limits.probes", s.may_probe);
  s.may_cancel = values.Flag("limits.mayCancel", s.may_cancel);
  s.concurrent_attempts = values.Flag("limits.secondCopies", s.concurrent_attempts);
  s.worker_reports_start = values.Flag("familyInfo.tellsStart", s.worker_reports_start);
  s.progress_every = values.Time("familyInfo.progress", s.progress_every);
  s.must_subscribe = values.Text("registryMode", "push") == "ask";
  s.subscribe_every = s.must_subscribe ? values.RequiredTime("rules.askEvery") : 0;
  s.stop_sending_within = values.Time("rules.stopSendingWithin", s.stop_sending_within);
  s.over_share_worth = values.Number("overShareWorth", s.over_share_worth);
  s.worth_by_work = values.Text("countedBy", "request") == "work";
  const auto order = values.Text("familyInfo.queueOrder", "fifo");
  s.queue_order = order == "priority"   ? QueueOrder::kPriority
                  : order == "backfill" ? QueueOrder::kBackfill
                                        : QueueOrder::kFifo;
  s.slow_start_floor = values.Required("rules.coldFrom");
  s.slow_start_time = values.RequiredTime("rules.warmUp");
  s.overload_factor = values.Required("rules.overloadFactor");
  s.overload_window = values.RequiredTime("rules.fall");
  s.price_cross_zone = values.Number("prices.crossZone", s.price_cross_zone);
  s.price_probe = values.Number("prices.probe", s.price_probe);
  s.tick = values.Time("tick", s.tick);

  s.reports_in_answers = values.Text("loadInfo.how", "off") == "inline";
  const bool x0_is_slots = values.Text("familyInfo.reportX0", "") == "free_slots";
  const bool x1_is_memory = values.Text("familyInfo.reportX1", "") == "free_memory";
  for (const auto name : values.List("loadInfo.fields")) {
    out.fields.push_back(name == "waiting"              ? ReportField::kWaiting
                         : name == "active"             ? ReportField::kActive
                         : name == "cpu"                ? ReportField::kBusy
                         : name == "x0" && x0_is_slots  ? ReportField::kFreeSlots
                         : name == "x1" && x1_is_memory ? ReportField::kFreeMemory
                                                        : ReportField::kOther);
  }
  return out;
}

std::optional<Report> ToReport(const Metrics& metrics, const std::vector<ReportField>& fields) {
  if (metrics.count == 0) return std::nullopt;
  Report report;
  for (std::size_t i = 0; i < std::min(metrics.count, fields.size()); ++i) {
    const double value = metrics.values[i];
    if (!std::isfinite(value)) continue;
    switch (fields[i]) {
      case ReportField::kWaiting:
        report.waiting = value;
        break;
      case ReportField::kActive:
        report.active = value;
        break;
      case ReportField::kBusy:
        report.busy = value;
        break;
      case ReportField::kFreeSlots:
        report.free_slots = value;
        break;
      case ReportField::kFreeMemory:
        report.free_memory = value;
        break;
      case ReportField::kOther:
        break;
    }
  }
  return report;
}

}  // namespace pebblenotch::wire
