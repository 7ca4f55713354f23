// Plans of faults: read from a small JSON file, or drawn from a seed.
#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <set>
#include <stdexcept>

#include "tests/faults/fleet.h"

namespace heronway::faults {
namespace {

[[noreturn]] void Fault(const std::string& where, const std::string& what) {
  throw std::runtime_error("plan: " + where + " " + what);
}

double Number(const Json::Value& in, const std::string& where, const char* key, double fallback,
              double most) {
  const Json::Value& v = in[key];
  if (v.isNull()) return fallback;
  if (!v.isNumeric() || v.asDouble() < 0 || v.asDouble() > most)
    Fault(where + key, "is not a number from 0 to " + std::to_string(most));
  return v.asDouble();
}

std::vector<int> Members(const Json::Value& in, const std::string& where, const char* key, int members) {
  std::vector<int> out;
  if (!in[key].isNull() && !in[key].isArray()) Fault(where + key, "is not a list of members");
  for (const Json::Value& v : in[key]) {
    if (!v.isInt() || v.asInt() < 0 || v.asInt() >= members)
      Fault(where + key, "names a member that is not there");
    out.push_back(v.asInt());
  }
  return out;
}

void NoOthers(const Json::Value& in, const std::string& where, const std::set<std::string>& known) {
  if (!in.isObject()) Fault(where, "is not an object");
  for (const std::string& key : in.getMemberNames()) {
    if (!known.contains(key)) Fault(where + key, "is not known");
  }
}

const std::set<std::string> kKinds{"kill", "stop", "continue", "start", "terminate", "weather", "calm"};

}  // namespace

Plan ReadPlan(const std::string& text) {
  Json::Value in;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(text.data(), text.data() + text.size(), &in, &errors)) Fault("not JSON:", errors);
  NoOthers(in, "",
           {"story", "members", "seconds", "settle", "period_ms", "per_s", "copies", "takeover_ms", "late",
            "named", "clock_off_s", "watch_faults_per_mille", "steps"});
  Plan p;
  p.members = static_cast<int>(Number(in, "", "members", p.members, 60));
  if (p.members < 1) Fault("members", "is none");
  p.seconds = Number(in, "", "seconds", p.seconds, 3600);
  p.settle = Number(in, "", "settle", p.settle, 600);
  p.period_ms = static_cast<int>(Number(in, "", "period_ms", p.period_ms, 10'000));
  p.per_s = Number(in, "", "per_s", p.per_s, 1000);
  p.copies = static_cast<int>(Number(in, "", "copies", p.copies, 7));
  p.takeover_ms = static_cast<int>(Number(in, "", "takeover_ms", p.takeover_ms, 60'000));
  p.watch_faults_per_mille = static_cast<int>(Number(in, "", "watch_faults_per_mille", 0, 500));
  if (p.takeover_ms > 0 && p.copies < 2) Fault("takeover_ms", "needs copies");
  p.late = Members(in, "", "late", p.members);
  for (const char* key : {"named", "clock_off_s"}) {
    if (!in[key].isNull() && !in[key].isObject()) Fault(key, "is not an object by member");
    for (const std::string& member : in[key].getMemberNames()) {
      const Json::Value& v = in[key][member];
      const int m = member.size() <= 2 && std::all_of(member.begin(), member.end(), ::isdigit)
                        ? std::stoi("0" + member)
                        : p.members;
      if (m >= p.members || !v.isNumeric())
        Fault(std::string(key) + "." + member, "is no number of a member");
      if (*key == 'c') p.clock_off[m] = v.asDouble();
      if (*key == 'n' && (!v.isInt() || v.asInt() < 0 || v.asInt() >= p.members))
        Fault("named." + member, "names a member that is not there");
      if (*key == 'n') p.named[m] = v.asInt();
    }
  }
  for (Json::ArrayIndex i = 0; i < in["steps"].size(); ++i) {
    const Json::Value& v = in["steps"][i];
    const std::string where = "steps." + std::to_string(i) + ".";
    NoOthers(v, where,
             {"at", "kind", "of", "from", "to", "one_way", "empty_disk", "loss", "twice", "reorder",
              "delay_ms", "jitter_ms", "bytes_per_s", "cut", "cut_after"});
    Step s;
    s.at = Number(v, where, "at", 0, p.seconds);
    s.kind = v["kind"].isString() ? v["kind"].asString() : "";
    if (!kKinds.contains(s.kind)) Fault(where + "kind", "is none that is known");
    s.of = Members(v, where, "of", p.members);
    s.from = Members(v, where, "from", p.members);
    s.to = Members(v, where, "to", p.members);
    s.one_way = v["one_way"].isBool() && v["one_way"].asBool();
    s.empty_disk = v["empty_disk"].isBool() && v["empty_disk"].asBool();
    s.weather.loss = Number(v, where, "loss", 0, 1);
    s.weather.twice = Number(v, where, "twice", 0, 1);
    s.weather.reorder = Number(v, where, "reorder", 0, 1);
    s.weather.delay = static_cast<Micros>(Number(v, where, "delay_ms", 0, 60'000) * 1000);
    s.weather.jitter = static_cast<Micros>(Number(v, where, "jitter_ms", 0, 60'000) * 1000);
    s.weather.bytes_per_s = Number(v, where, "bytes_per_s", 0, 1e9);
    s.weather.cut = v["cut"].isBool() && v["cut"].asBool();
    s.weather.cut_after =
        v["cut_after"].isNull() ? -1 : static_cast<std::int64_t>(Number(v, where, "cut_after", 0, 1e9));
    p.steps.push_back(std::move(s));
  }
  return p;
}

Plan DrawPlan(int members, int faults, std::uint64_t seed, const std::string& kind, bool disks) {
  constexpr std::array kDrawn{"kill", "stop", "cut", "weather", "breaks", "one_way", "restarts"};
  const auto only = std::find(kDrawn.begin(), kDrawn.end(), kind);
  if (!kind.empty() && only == kDrawn.end()) Fault("--kind", kind + " is none that is known");
  pcg32 random(seed);
  const auto unit = [&] { return random() * 0x1p-32; };
  const auto member = [&] { return static_cast<int>(random(static_cast<std::uint32_t>(members))); };
  Plan p;
  p.members = members;
  double at = 2;
  std::vector<bool> down(static_cast<std::size_t>(members), false);
  for (int n = 0; n < faults; ++n) {
    Step s;
    s.at = at;
    // Where disks are lost, long enough for a verdict and a takeover as well.
    const double lasts = 0.5 + (disks ? 9 : 4) * unit();
    const int who = member();
    Step end;
    end.at = at + lasts;
    switch (kind.empty() ? random(5) : static_cast<std::uint32_t>(only - kDrawn.begin())) {
      case 0:
        s.kind = "kill";
        end.kind = "start";
        s.of = end.of = {who};
        end.empty_disk = disks && random(3) == 0;
        break;
      case 1:
        s.kind = "stop";
        end.kind = "continue";
        s.of = end.of = {who};
        break;
      case 2:
      case 5: {  // two parts, each at least one
        s.kind = "weather";
        s.weather.cut = true;
        s.one_way = kind.empty() ? random(3) == 0 : kind == "one_way";
        for (int i = 0; i < members; ++i) (i == who || unit() < 0.3 ? s.from : s.to).push_back(i);
        end.kind = "calm";
        break;
      }
      case 3:
        s.kind = "weather";
        s.weather.loss = 0.3 * unit();
        s.weather.twice = 0.3 * unit();
        s.weather.reorder = 0.3 * unit();
        s.weather.delay = static_cast<Micros>(20'000 * unit());
        s.weather.jitter = static_cast<Micros>(40'000 * unit());
        for (int i = 0; i < members; ++i) {
          s.from.push_back(i);
          s.to.push_back(i);
        }
        end.kind = "calm";
        break;
      case 6:  // ten starts in a row, each killed when it is hardly there
        for (int i = 0; i < 10; ++i) {
          p.steps.push_back(Step{at + i, "kill", {who}, {}, {}, false, false, {}});
          p.steps.push_back(Step{at + i + 0.5, "start", {who}, {}, {}, false, false, {}});
        }
        at += 13;
        continue;
      default:  // connections break within an exchange
        s.kind = "weather";
        s.weather.cut_after = static_cast<std::int64_t>(1 + random(2000));
        s.weather.bytes_per_s = 20'000;
        for (int i = 0; i < members; ++i) {
          s.from.push_back(i);
          s.to.push_back(i);
        }
        end.kind = "calm";
    }
    p.steps.push_back(std::move(s));
    p.steps.push_back(std::move(end));
    at += lasts + (random(2) == 0 ? 0.2 : 3);
  }
  p.seconds = at + 1;
  return p;
}

std::string WritePlan(const Plan& p) {
  Json::Value out;
  out["members"] = p.members;
  out["seconds"] = p.seconds;
  out["settle"] = p.settle;
  out["period_ms"] = p.period_ms;
  out["per_s"] = p.per_s;
  if (p.copies > 1) out["copies"] = p.copies;
  if (p.takeover_ms > 0) out["takeover_ms"] = p.takeover_ms;
  if (p.watch_faults_per_mille > 0) out["watch_faults_per_mille"] = p.watch_faults_per_mille;
  for (const int i : p.late) out["late"].append(i);
  for (const auto& [member, other] : p.named) out["named"][std::to_string(member)] = other;
  for (const auto& [member, off] : p.clock_off) out["clock_off_s"][std::to_string(member)] = off;
  out["steps"] = Json::arrayValue;
  for (const Step& s : p.steps) {
    Json::Value v;
    v["at"] = s.at;
    v["kind"] = s.kind;
    for (const auto& [key, list] : {std::pair{"of", &s.of}, {"from", &s.from}, {"to", &s.to}}) {
      for (const int i : *list) v[key].append(i);
    }
    if (s.kind == "weather") {
      v["one_way"] = s.one_way;
      v["loss"] = s.weather.loss;
      v["twice"] = s.weather.twice;
      v["reorder"] = s.weather.reorder;
      v["delay_ms"] = static_cast<double>(s.weather.delay) / 1e3;
      v["jitter_ms"] = static_cast<double>(s.weather.jitter) / 1e3;
      v["bytes_per_s"] = s.weather.bytes_per_s;
      v["cut"] = s.weather.cut;
      if (s.weather.cut_after >= 0) v["cut_after"] = Json::Int64(s.weather.cut_after);
    }
    if (s.empty_disk) v["empty_disk"] = true;
    out["steps"].append(v);
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  return Json::writeString(builder, out) + "\n";
}

}  // namespace heronway::faults
