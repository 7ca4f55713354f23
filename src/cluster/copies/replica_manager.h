// Runs the replicas at this member: the logs of its own groups and of the groups that it replicates for
// others. All groups share one file and one connection to each member. The logs decide what is committed and
// placement decides which members keep replicas; this class carries out their effects.
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
#include "src/cluster/copies/resend_schedule.h"
#include "src/durable/transferred_jobs.h"

namespace heronway::cluster::copies {

// A member as membership sees it, with the address at which it accepts replication connections. An empty
// address means that it keeps no replicas.
struct KnownMember : Candidate {
  std::string address;
};

// Runs on the loop's thread. Reading a store and taking its snapshot run on threads of their own.
class ReplicaManager {
 public:
  struct Settings {
    std::string fleet, name;
    int replicas = 3;
    net::Address listen{};
    std::map<std::string, net::Address> dial_addresses;
    // How long a member has to be gone before another runs its jobs, in microseconds; 0: never.
    Micros takeover_delay = 0;
    bool expects_peers = false;  // the settings name other members
    std::string folder;          // contains copies.db
    std::uint64_t seed = 1;
  };
  static constexpr std::size_t kMaxGroups = 64;             // groups of other members that are kept here
  static constexpr Micros kCheckInterval = 500'000;         // between checks of placement and progress
  static constexpr Micros kReplacementDelay = 600'000'000;  // after which a gone member's replica is replaced
  // The log grows by at least this many bytes before a snapshot is taken.
  static constexpr std::size_t kMinCompactBytes = 16 * 1024 * 1024;
  // How long after a start members may still be unknown.
  static constexpr Micros kDiscoveryTime = FormerReplicas::kDiscoveryTime;
  // How long jobs in progress may take to end before the group goes back to its owner.
  static constexpr Micros kReleaseTimeout = 5'000'000;

  // Callbacks by which a front takes over the jobs of a group and gives them up. `own` tells that the group
  // is this scheduler's own and that another member served it in the meantime.
  struct FrontHooks {
    std::function<void(durable::TransferredJobs)> serve;
    std::function<void(const std::string& group, const std::string& front, bool own)> stop;
    // Whether no job of the group is in progress. The front starts none from the first call on.
    std::function<bool(const std::string& group, const std::string& front)> idle;
    // Handles a worker's report that another member received. `done` receives whether the report is stored.
    // Returns false if the job is not known here.
    std::function<bool(const std::string& front, core::HopCallback report, std::function<void(bool)> done)>
        report;
    // Looks a job up at this member. `done` may be called before this returns.
    std::function<void(const std::string& front, const JobName& name, std::function<void(LookupResult)> done)>
        find;
  };

  // Throws durable::StoreError and std::runtime_error as ReplicaStore and Links do.
  ReplicaManager(net::StreamContext& shared, const Settings& settings);
  ~ReplicaManager();
  ReplicaManager(const ReplicaManager&) = delete;
  ReplicaManager& operator=(const ReplicaManager&) = delete;

  // For durable::Settings::copied. Runs the loop until this scheduler leads its group for the front and the
  // store has every committed entry. If the group already has replicas, a majority of them has to be
  // reachable.
  std::unique_ptr<durable::Store> OpenReplicatedStore(const std::string& front,
                                                      std::unique_ptr<durable::SqliteStore> store);
  // Sets the source of the members. Until it is set, no member is asked to keep a replica.
  void SetMemberSource(std::function<std::vector<KnownMember>()> members) {
    member_source_ = std::move(members);
  }
  // Forwards a worker's report of a job that this scheduler does not serve to the member that serves it.
  void ForwardReport(const std::string& front, const core::HopCallback& report, ReportForwarder::Done done);
  // Asks the other members for a job that this scheduler does not know; one of them may serve what this one
  // accepted before it lost its disk. `done` is called once, within `timeout` microseconds, possibly before
  // this returns.
  void LookUpJob(const std::string& front, JobName name, Micros timeout,
                 std::function<void(LookupResult)> done);
  void SetFrontHooks(FrontHooks hooks) { front_hooks_ = std::move(hooks); }
  net::Address address() const { return links_.address(); }
  std::size_t unused_connections() const { return links_.unused_connections(); }
  std::string StatusJson() const;  // body of GET /v1/copies
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
    Micros deadline;
    std::function<void(LookupResult)> done;
  };
  struct OwnFront {  // this scheduler's own group for one front
    std::string group;
    FormerReplicas former;
    bool no_former_replicas = false;  // as of the last check of the members
  };
  bool TryLookup(PendingLookup& lookup);
  void RetryLookups();
  void QueryFormerReplicas();
  FormerReplicas::Plan MembersToQuery(const FormerReplicas& former);
  void SendQuery(const std::string& front, const JobName& name, const std::vector<std::string>& members,
                 Micros timeout, MemberQueries<JobReply>::Done done);
  void OnQuery(const std::string& from, const Frame& f);
  void OnReply(const std::string& from, const Frame& f);
  log::ServerId NewServerId();

  net::StreamContext& shared_;
  Settings settings_;
  Micros boot_time_, started_at_;
  std::function<std::vector<KnownMember>()> member_source_;
  net::Wakeup written_wakeup_, proposals_wakeup_, work_done_wakeup_;
  std::map<std::string, std::unique_ptr<Group>> groups_;
  net::Timer check_timer_;
  std::string fault_;
  std::uint64_t server_ids_created_ = 0, last_request_id_ = 0, claims_ = 0, takeovers_ = 0;
  FrontHooks front_hooks_;
  ReportForwarder report_forwarder_;
  std::uint64_t reports_forwarded_ = 0, reports_stored_ = 0, lookups_sent_ = 0, jobs_found_elsewhere_ = 0;
  std::map<std::string, OwnFront> own_fronts_;  // by front
  MemberQueries<JobReply> lookup_queries_;
  std::list<PendingLookup> pending_lookups_;  // wait for members that cannot be queried yet
  struct OpenQuery {
    Frame query;
    ResendSchedule resend;
  };
  std::map<std::uint64_t, OpenQuery> open_queries_;  // sent to members and not answered yet, by number
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
    durable::TransferredJobs transferred;
    std::unique_ptr<durable::SqliteStore> store;  // null on failure, with the reason in `fault`
  };
  std::deque<LoadTask> load_queue_;
  std::vector<LoadResult> loaded_;
  std::thread loader_;
  std::atomic<bool> compact_failed_{false};
  std::mutex results_lock_;
  std::vector<std::pair<std::string, log::Compact>> compacted_snapshots_;  // by group name
  std::thread compactor_;
  std::atomic<bool> compacting_{false};
  Links links_;
  // Last member: its thread has to end before the objects that it calls are destroyed.
  ReplicaStore replica_store_;
};

// Builds the name of a group, OWNER/FRONT/CREATED_AT, and returns its parts (empty if it is not such a name).
std::string GroupName(const std::string& owner, const std::string& front, Micros created_at);
std::string OwnerOf(const std::string& group);
std::string FrontOf(const std::string& group);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_REPLICA_MANAGER_H_
