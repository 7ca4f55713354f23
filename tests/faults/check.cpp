// Reads a history and names the first breach. It believes what the rig did and what stand-ins saw; of the
// program's own words it uses only the views, and holds them against what the rig knows is up.
#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include "tests/faults/fleet.h"

namespace heronway::faults {

std::string Check(const std::string& history, std::string& summary) {
  std::ifstream in(history);
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  std::set<int> up, touched;
  std::map<int, std::string> names;
  std::set<std::string> told_twins;  // by a member, of a name
  bool shared = false;               // two run under one name
  std::string breach;
  int acknowledged = 0, again = 0, never_came = 0, takeovers = 0, lost_disks = 0;
  int faults = 0, verdicts = 0, served = 0, views = 0, ends = 0;
  std::int64_t rss = 0, descriptors = 0;
  const auto broke = [&](const Json::Value& v, const std::string& what) {
    if (breach.empty()) breach = "at " + std::to_string(v["t"].asDouble()) + " s: " + what;
  };
  for (std::string line; std::getline(in, line);) {
    Json::Value v;
    if (!reader->parse(line.data(), line.data() + line.size(), &v, nullptr)) {
      broke(v, "a line of the history is spoilt");
      continue;
    }
    const std::string event = v["event"].asString();
    const int m = v["member"].asInt();
    const std::string who = "member " + std::to_string(m);
    if (event == "start") {
      up.insert(m);
      names[m] = v["name"].asString();
      const auto same = std::count_if(up.begin(), up.end(), [&](int i) { return names[i] == names[m]; });
      shared = shared || same > 1;
    }
    if (event == "fault") {
      ++faults;
      lost_disks += v["empty_disk"].asBool() ? 1 : 0;
      for (const char* key : {"of", "from", "to"}) {
        for (const Json::Value& i : v[key]) touched.insert(i.asInt());
      }
    }
    if (event == "hangs") broke(v, who + " did not end");
    if (event == "words") broke(v, who + " says: " + v["text"].asString());
    if (event == "end") {
      ++ends;
      up.erase(m);
      if (!v["as_expected"].asBool()) broke(v, who + " ended with " + std::to_string(v["status"].asInt()));
    }
    if (event == "log") {
      const Json::Value& said = v["line"];
      if (said["event"] == "twins") told_twins.insert(who + said["name"].asString());
      if (said["event"] == "twins" && !shared) broke(v, who + " tells of two under one name");
      if (said["event"] == "member" && said["to"] == "dead") {
        ++verdicts;
        const int of = std::stoi(said["name"].asString().substr(1));
        // Nobody whom no fault has touched so far may be given up by anybody, the touched ones included.
        if (!touched.contains(of))
          broke(v, who + " gave up " + said["name"].asString() + ", which no fault had touched");
      }
    }
    if (event == "view") {
      ++views;
      rss = std::max<std::int64_t>(rss, v["rss_kb"].asInt64());
      descriptors = std::max<std::int64_t>(descriptors, v["descriptors"].asInt64());
      std::map<std::string, std::string> newest;  // in the order of lives
      for (const Json::Value& of : v["members"]) newest[of["name"].asString()] = of["state"].asString();
      if (shared) {  // all that are up are told of it, the two themselves included
        const bool told = std::any_of(told_twins.begin(), told_twins.end(),
                                      [&](const auto& t) { return t.starts_with(who + "s"); });
        if (!told) broke(v, who + " does not tell of two under one name");
      }
      for (const int i : up) {
        const std::string& name = names[i];
        const std::string state = newest.contains(name) ? newest[name] : "unknown";
        if (state != "alive") broke(v, who + " holds " + name + " for " + state + ", and it is up");
      }
      for (const auto& [name, state] : newest) {
        const bool there = std::any_of(up.begin(), up.end(), [&, &n = name](int i) { return names[i] == n; });
        if (!there && (state == "alive" || state == "suspect"))
          broke(v, who + " holds " + name + " for " + state + ", and it is gone");
      }
    }
    if (event == "copies") {
      for (const Json::Value& g : v["groups"]) {
        if (g["owner"].asString() != names[m]) continue;
        if (g["role"] != "leader") broke(v, who + " does not lead its copies: " + g["group"].asString());
        if (g["committed"] != g["last"])
          broke(v, who + " has what no majority has: " + g["group"].asString());
      }
    }
    if (event == "faktory") {
      acknowledged += v["acknowledged"].asInt();
      again += v["again"].asInt();
      never_came += v["never_came"].asInt();
      if (!v["broken"].isNull()) {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        broke(v, v["broken"].getMemberNames().front() + " " + Json::writeString(compact, v["after_ack"]));
      }
    }
    if (event == "log" && v["line"]["event"] == "copies" && v["line"]["state"] == "taken over") ++takeovers;
    if (event == "jobs") {
      served += v["served"].asInt();
      // Where jobs are durable, a member on the lesser side of a cut may take none.
      const bool counts = !v["disturbed"].asBool() && !(v["copies"].asInt() > 1 && touched.contains(m));
      if (counts && v["first"].asInt() > 20 && v["served"].asInt() < v["first"].asInt() * 9 / 10)
        broke(v, who + " served " + std::to_string(v["served"].asInt()) + " of " +
                     std::to_string(v["first"].asInt()));
      if ((counts || v["copies"].asInt() > 1) && !v["broken"].isNull())
        broke(v, who + " broke: " + v["broken"].getMemberNames().front());
    }
  }
  if (views == 0 || ends == 0) broke(Json::Value(), "the history is not whole");
  summary = "faults " + std::to_string(faults) + " verdicts " + std::to_string(verdicts) + " served " +
            std::to_string(served) + " views " + std::to_string(views) + " most rss " + std::to_string(rss) +
            " kB most descriptors " + std::to_string(descriptors);
  if (acknowledged > 0)
    summary += " acknowledged " + std::to_string(acknowledged) + " again " + std::to_string(again) +
               " never came " + std::to_string(never_came) + " takeovers " + std::to_string(takeovers) +
               " lost disks " + std::to_string(lost_disks);
  return breach;
}

}  // namespace heronway::faults
