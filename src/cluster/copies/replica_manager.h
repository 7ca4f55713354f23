// The groups that a member keeps copies of, its own stores' among them: their logs on the loop, one file and
// one connection a member for all. It decides nothing about what is committed (the logs do) nor who keeps
// copies (placement does): it carries out their effects.
#ifndef HERONWAY_CLUSTER_COPIES_REPLICA_MANAGER_H_
#define HERONWAY_CLUSTER_COPIES_REPLICA_MANAGER_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "src/cluster/copies/job_lookup.h"
#include "src/cluster/copies/links.h"
#include "src/cluster/copies/placement.h"
#include "src/cluster/copies/replica_store.h"
#include "src/cluster/copies/replicated_store.h"
#include "src/cluster/copies/report_forwarder.h"
#include "src/durable/transferred_jobs.h"

namespace heronway::cluster::copies {

// A member as membership sees it, and where it listens for copies; empty: it keeps none.
struct KnownMember : Candidate {
  std::string address;
};

class ReplicaManager {
 public:
  struct Settings {
    std::string fleet, name;
    int replicas = 3;
    net::Address listen{};
    std::map<std::string, net::Address> dial_addresses;
    Micros takeover_delay = 0;   // after which a member that is gone has its jobs run by another; 0: never
    bool expects_peers = false;  // members of the fleet are to be heard
    std::string folder;          // of copies.db
    std::uint64_t seed = 1;
  };
  static constexpr std::size_t kMaxGroups = 64;      // of others
  static constexpr Micros kCheckInterval = 500'000;  // who should keep copies, and who is caught up
  static constexpr Micros kPatience = 600'000'000;   // for a member that is gone, until it is replaced
  static constexpr std::size_t kMinCompactBytes =
      16 * 1024 * 1024;  // bytes of a log, at least, before a snapshot

  static constexpr Micros kDiscoveryTime = FormerReplicas::kDiscoveryTime;  // after a start, to hear of all
  static constexpr Micros kReleaseTimeout =
      5'000'000;  // for what is in hand to end, before its owner has it back

  // What is held for others goes to the fronts, and comes back. `own`: it is this scheduler's, which another
  // held for a while.
  struct FrontHooks {
    std::function<void(durable::TransferredJobs)> serve;
    std::function<void(const std::string& group, const std::string& front, bool own)> stop;
    // Nothing of it is in hand; from the first asking on nothing is begun.
    std::function<bool(const std::string& group, const std::string& front)> idle;
    // A worker's word that reached another. `told`: whether it is stored. False: no such job is held here.
    std::function<bool(const std::string& front, core::HopCallback news, std::function<void(bool)> told)>
        report;
    // Whether a job is known here; told perhaps within.
    std::function<void(const std::string& front, const JobName& name, std::function<void(LookupResult)> told)>
        find;
  };

  // Throws durable::StoreError and std::runtime_error as Disk and Links do.
  ReplicaManager(net::Shared& shared, const Settings& settings);
  ~ReplicaManager();
  ReplicaManager(const ReplicaManager&) = delete;
  ReplicaManager& operator=(const ReplicaManager&) = delete;

  // For durable::Settings::copied. Runs the loop until this scheduler leads its group for the front and the
  // store has all that is committed: with copies there already, that takes a majority of them.
  std::unique_ptr<durable::Store> OpenReplicatedStore(const std::string& front,
                                                      std::unique_ptr<durable::SqliteStore> store);
  // Who is there, from membership; before it is given, nobody is asked to keep a copy.
  void SetMemberSource(std::function<std::vector<KnownMember>()> members) {
    member_source_ = std::move(members);
  }
  // Leads a worker's word to whoever holds its job, where this scheduler does not.
  void ForwardReport(const std::string& front, const core::HopCallback& news, ReportForwarder::Done told);
  // Whether a job that this scheduler does not know is known to another, which may hold what this one took
  // before it lost its disk. `told` is called once, within `patience` microseconds, perhaps at once.
  void LookUpJob(const std::string& front, JobName name, Micros patience,
                 std::function<void(LookupResult)> told);
  void SetFrontHooks(FrontHooks hooks) { front_hooks_ = std::move(hooks); }
  net::Address address() const { return links_.address(); }
  std::size_t unused_connections() const { return links_.unused_connections(); }
  std::string StatusJson() const;  // GET /v1/copies: JSON
  std::vector<std::pair<std::string, std::uint64_t>> Counters() const;

 private:
  struct Group;
  Group& AddGroup(StoredGroup state, bool stored);
  Group* FindGroup(const std::string& name);
  void HandleEvent(Group& g, log::Event event);
  void CarryOut(Group& g, log::Effect& effect);
  void OnFrame(const std::string& from, Frame frame);
  void OnWritten();
  void ProposePending();
  void CheckGroups();
  void CheckGroup(Group& g, const std::vector<KnownMember>& members);
  void LearnServer(Group& g, log::ServerId id, const std::string& member, const std::string& address);
  void SendServers(Group& g);
  void Compact(Group& g);
  void ClaimGroup(Group& g);
  bool ApplyIfClaim(Group& g, log::Index index, const std::string& data);
  void StopServing(Group& g);
  void LoadJobs(Group& g);
  void LoadNext();
  void FinishLoads();
  bool ReleaseGroup(Group& g);
  void OnReport(const std::string& from, const Frame& f);
  struct PendingLookup {
    std::string front;
    JobName name;
    Micros until;
    std::function<void(LookupResult)> told;
  };
  struct OwnFront {  // what is led here for one front
    std::string group;
    FormerReplicas former;
    bool no_former_replicas = false;  // as of the last look at the members
  };
  bool TryLookup(PendingLookup& lookup);
  void RetryLookups();
  void QueryFormerReplicas();
  FormerReplicas::Plan MembersToQuery(const FormerReplicas& former);
  void SendQuery(const std::string& front, const JobName& name, const std::vector<std::string>& members,
                 Micros patience, MemberQueries<JobReply>::Done told);
  void OnQuery(const std::string& from, const Frame& f);
  void OnReply(const std::string& from, const Frame& f);
  log::ServerId NewServerId();

  net::Shared& shared_;
  Settings settings_;
  Micros boot_time_, started_at_;
  std::function<std::vector<KnownMember>()> member_source_;
  net::Wakeup written_wakeup_, proposals_wakeup_, work_done_wakeup_;
  std::map<std::string, std::unique_ptr<Group>> groups_;
  net::Timer check_timer_;
  std::string fault_;
  std::uint64_t servers_made_ = 0, last_request_id_ = 0, claims_ = 0, takeovers_ = 0;
  FrontHooks front_hooks_;
  ReportForwarder report_forwarder_;
  std::uint64_t reports_forwarded_ = 0, reports_stored_ = 0, lookups_sent_ = 0, jobs_found_elsewhere_ = 0;
  std::map<std::string, OwnFront> own_fronts_;  // by front
  MemberQueries<JobReply> lookup_queries_;
  std::list<PendingLookup> pending_lookups_;     // for members that are not heard yet
  std::map<std::uint64_t, Frame> open_queries_;  // of the questions that are open, by number
  net::Timer lookup_retry_timer_;
  struct LoadTask {
    std::string group;
    std::uint64_t epoch;
    bool own;
    durable::SqliteStore::Settings store;
    LogSection section;
  };
  struct LoadResult {
    std::string group, fault;
    std::uint64_t epoch = 0;
    durable::TransferredJobs held;
    std::unique_ptr<durable::SqliteStore> store;  // null: `fault` tells why
  };
  std::deque<LoadTask> load_queue_;
  std::vector<LoadResult> loaded_;
  std::thread loader_;
  std::atomic<bool> compact_failed_{false};
  std::mutex results_lock_;
  std::vector<std::pair<std::string, log::Compact>> compacted_snapshots_;  // snapshots that were made
  std::thread compactor_;
  std::atomic<bool> compacting_{false};
  Links links_;
  ReplicaStore replica_store_;  // last: its thread ends before what it calls
};

// The name of a group, and its parts.
std::string GroupName(const std::string& owner, const std::string& front, Micros created_at);
std::string OwnerOf(const std::string& group);
std::string FrontOf(const std::string& group);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_REPLICA_MANAGER_H_
