// Part of ReplicaManager: queries to other members for jobs that this scheduler accepted before it lost its
// disk.
#include <algorithm>
#include <utility>

#include "src/cluster/copies/group.h"
#include "src/log/log.h"

namespace heronway::cluster::copies {
namespace {

// Queries that wait for members, and those that are to be sent again, are looked at this often.
constexpr Micros kLookupRetryInterval = ResendSchedule::kFirstInterval;

// Whether the other members' replicas can elect a leader without the owner's. If they cannot, only an
// operator can restore the group.
bool CanElectLeaderWithoutOwner(const log::Configuration& configuration, const Servers& servers,
                                const std::string& owner) {
  const auto others =
      std::count_if(configuration.voters.begin(), configuration.voters.end(), [&](log::ServerId id) {
        const auto server = servers.find(id);
        return server != servers.end() && server->second.first != owner;
      });
  return static_cast<std::size_t>(others) > configuration.voters.size() / 2;
}

}  // namespace

void ReplicaManager::LookUpJob(const std::string& front, JobName name, Micros timeout,
                               std::function<void(LookupResult)> done) {
  PendingLookup lookup{front, std::move(name), shared_.loop.Now() + timeout, std::move(done)};
  if (TryLookup(lookup)) return;
  if (pending_lookups_.size() >= MemberQueries<JobReply>::kMaxOpen)
    return lookup.done({LookupStatus::kRetry, {}});
  pending_lookups_.push_back(std::move(lookup));
  if (!lookup_retry_timer_.running()) lookup_retry_timer_.Start(kLookupRetryInterval);
}

// Returns false if members that may have the job cannot be queried yet.
bool ReplicaManager::TryLookup(PendingLookup& lookup) {
  const auto own = own_fronts_.find(lookup.front);
  const bool no_former_replicas = own == own_fronts_.end() || own->second.no_former_replicas;
  const FormerReplicas::Plan plan =
      no_former_replicas ? FormerReplicas::Plan{} : MembersToQuery(own->second.former);
  if (plan.wait || lookup_queries_.full()) return false;
  if (plan.query.empty()) {
    lookup.done({LookupStatus::kUnknown, {}});
    return true;
  }
  ++lookups_sent_;
  SendQuery(
      lookup.front, lookup.name, plan.query, lookup.deadline - shared_.loop.Now(),
      [this, front = lookup.front, done = std::move(lookup.done)](MemberQueries<JobReply>::Outcome outcome) {
        const FormerReplicas& former = own_fronts_.at(front).former;
        const bool silence_matters =
            std::any_of(outcome.unanswered.begin(), outcome.unanswered.end(),
                        [&former](const std::string& member) { return former.silence_matters(member); });
        LookupResult result = CombineReplies(outcome, silence_matters);
        jobs_found_elsewhere_ += result.status >= LookupStatus::kOpen ? 1 : 0;
        done(std::move(result));
      });
  return true;
}

FormerReplicas::Plan ReplicaManager::MembersToQuery(const FormerReplicas& former) {
  std::vector<Candidate> candidates;
  bool no_member_heard = settings_.expects_peers;
  for (const KnownMember& member : member_source_ ? member_source_() : std::vector<KnownMember>{}) {
    no_member_heard &= member.name == settings_.name;
    if (member.gone_since >= 0 || !member.address.empty()) candidates.push_back(member);
    if (!member.address.empty()) links_.SetAddress(member.name, member.address);
  }
  return former.MembersToQuery(shared_.loop.Now(), candidates, no_member_heard);
}

void ReplicaManager::RetryLookups() {
  const Micros now = shared_.loop.Now();
  for (PendingLookup& lookup : std::exchange(pending_lookups_, {})) {
    if (lookup.deadline <= now) {
      lookup.done({LookupStatus::kRetry, {}});
    } else if (!TryLookup(lookup)) {
      pending_lookups_.push_back(std::move(lookup));
    }
  }
  for (auto it = open_queries_.begin(); it != open_queries_.end();) {
    const std::set<std::string>* unanswered = lookup_queries_.Unanswered(it->first);
    if (unanswered != nullptr && it->second.resend.TakeDue(now)) {
      for (const std::string& member : *unanswered) links_.Send(member, it->second.query);
    }
    it = unanswered != nullptr ? std::next(it) : open_queries_.erase(it);
  }
  if (!pending_lookups_.empty() || !open_queries_.empty()) lookup_retry_timer_.Start(kLookupRetryInterval);
}

// Tells the members that may have replicas of former groups about the current group, and learns whether they
// have any.
void ReplicaManager::QueryFormerReplicas() {
  for (auto& [front, own] : own_fronts_) {
    const FormerReplicas::Plan plan = MembersToQuery(own.former);
    own.no_former_replicas = plan.query.empty() && !plan.wait;
    if (plan.query.empty() || lookup_queries_.full()) continue;
    SendQuery(front, {}, plan.query, ReportForwarder::kReplyTimeout,
              [this, &own](const MemberQueries<JobReply>::Outcome& outcome) {
                for (const std::string& member : outcome.unanswered) {
                  if (links_.IsConnected(member)) own.former.NoteSilence(member);
                }
              });
  }
}

void ReplicaManager::SendQuery(const std::string& front, const JobName& name,
                               const std::vector<std::string>& members, Micros timeout,
                               MemberQueries<JobReply>::Done done) {
  Frame query;
  query.kind = Frame::Kind::kRequest;
  query.detail = kLookup;
  query.group = front;
  query.message = Encode(JobQuery{own_fronts_.at(front).group, name});
  query.server = lookup_queries_.Start(members, timeout, std::move(done));
  for (const std::string& member : members) links_.Send(member, query);
  const std::uint64_t number = query.server;
  open_queries_.emplace(number, OpenQuery{std::move(query), ResendSchedule(shared_.loop.Now())});
  if (!lookup_retry_timer_.running()) lookup_retry_timer_.Start(kLookupRetryInterval);
}

void ReplicaManager::OnQuery(const std::string& from, const Frame& f) {
  const auto query = DecodeJobQuery(f.message);
  if (!query || OwnerOf(query->own_group) != from || FrontOf(query->own_group) != f.group) {
    ++links_.frames_malformed;
    return;
  }
  JobReply reply;
  for (const auto& [name, group] : groups_) {
    Group& g = *group;
    if (g.own || OwnerOf(name) != from || FrontOf(name) != f.group) continue;
    if (name == query->own_group) {  // the owner has its disk again, even if it was found lost before
      g.abandoned_since = -1;
      continue;
    }
    if (g.abandoned_since < 0) {
      g.abandoned_since = shared_.loop.Now();
      heronway::log::Event(heronway::log::Level::kInfo, "copies",
                           {{"group", name}, {"state", "owner lost its disk"}});
    }
    if (!CanElectLeaderWithoutOwner(g.log->configuration(), g.servers, from)) continue;
    reply.groups.push_back(name);
    if (g.channel && !g.loading) reply.served.push_back(name);
  }
  const auto send = [this, from, number = f.server, front = f.group,
                     reply = std::move(reply)](LookupResult result) mutable {
    reply.status = result.status;
    reply.result = std::move(result.result);
    Frame out;
    out.kind = Frame::Kind::kReply;
    out.detail = kLookup;
    out.group = front;
    out.server = number;
    out.message = Encode(reply);
    links_.Send(from, out);
  };
  if (query->name.text.empty() || !front_hooks_.find) return std::function<void(LookupResult)>(send)({});
  front_hooks_.find(f.group, query->name, send);
}

void ReplicaManager::OnReply(const std::string& from, const Frame& f) {
  auto reply = DecodeJobReply(f.message);
  const auto own = own_fronts_.find(f.group);
  if (!reply || own == own_fronts_.end()) {
    ++links_.frames_malformed;
    return;
  }
  own->second.former.NoteReply(from, !reply->groups.empty());
  lookup_queries_.OnReply(f.server, from, std::move(*reply));
}

}  // namespace heronway::cluster::copies
