// Part of ReplicaManager: the console's JSON view and the counters. Their names are read by operators' tools.
#include <json/writer.h>

#include <map>

#include "src/cluster/copies/group.h"

namespace heronway::cluster::copies {

std::string ReplicaManager::StatusJson() const {
  Json::Value out;
  out["name"] = settings_.name;
  out["copies"] = settings_.replicas;
  out["fault"] = fault_;
  out["groups"] = Json::arrayValue;
  const Micros now = shared_.loop.Now();
  for (const auto& [name, g] : groups_) {
    const log::Log& l = *g->log;
    Json::Value v;
    v["group"] = name;
    v["owner"] = OwnerOf(name);
    v["front"] = FrontOf(name);
    v["role"] = kRoles[static_cast<int>(l.role())];
    v["term"] = Json::UInt64(l.term());
    const auto leader = g->servers.find(l.leader());
    v["leader"] = leader == g->servers.end() ? "" : leader->second.first;
    v["committed"] = Json::UInt64(l.commit_index());
    v["last"] = Json::UInt64(l.last_index());
    v["on_disk"] = Json::UInt64(l.durable_index());
    v["held"] = g->channel != nullptr && !g->loading;
    v["snapshot"] = Json::UInt64(l.snapshot() == nullptr ? 0 : l.snapshot()->index);
    v["servers"] = Json::arrayValue;
    std::map<log::ServerId, log::Log::FollowerStatus> followers;
    for (const auto& follower : l.Followers()) followers.emplace(follower.server, follower);
    for (const auto* ids : {&l.configuration().voters, &l.configuration().learners}) {
      for (const log::ServerId id : *ids) {
        Json::Value s;
        const auto server = g->servers.find(id);
        s["member"] = server == g->servers.end() ? "" : server->second.first;
        s["server"] = Json::UInt64(id);
        s["votes"] = ids == &l.configuration().voters;
        if (const auto follower = followers.find(id); follower != followers.end()) {
          s["on_disk"] = Json::UInt64(follower->second.match_index);
          s["heard_ms"] = Json::Int64((now - follower->second.last_contact) / 1000);
        } else if (id == l.self()) {
          s["on_disk"] = Json::UInt64(l.durable_index());
        }
        v["servers"].append(std::move(s));
      }
    }
    out["groups"].append(std::move(v));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, out) + "\n";
}

std::vector<std::pair<std::string, std::uint64_t>> ReplicaManager::Counters() const {
  std::uint64_t led = 0, uncommitted = 0, taken_over_groups = 0;
  for (const auto& [name, g] : groups_) {
    taken_over_groups += g->channel != nullptr && !g->own && !g->loading ? 1 : 0;
    led += g->log->role() == log::Role::kLeader ? 1 : 0;
    uncommitted += g->log->last_index() - g->log->commit_index();
  }
  return {{"copies.groups", groups_.size()},          {"copies.led", led},
          {"copies.held", taken_over_groups},         {"copies.takeovers", takeovers_},
          {"copies.words_led", reports_forwarded_},   {"copies.words_taken", reports_stored_},
          {"copies.looked_up", lookups_sent_},        {"copies.found_elsewhere", jobs_found_elsewhere_},
          {"copies.uncommitted", uncommitted},        {"copies.commits", replica_store_.commits()},
          {"copies.frames_lost", links_.frames_lost}, {"copies.frames_malformed", links_.frames_malformed},
          {"copies.bytes_in", links_.bytes_in},       {"copies.bytes_out", links_.bytes_out}};
}

}  // namespace heronway::cluster::copies
