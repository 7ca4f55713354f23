// The state of one group at this member, as the loop's thread sees it. Internal to this folder.
#ifndef HERONWAY_CLUSTER_COPIES_GROUP_H_
#define HERONWAY_CLUSTER_COPIES_GROUP_H_

#include <memory>
#include <set>
#include <string>
#include <utility>

#include "src/cluster/copies/replica_manager.h"

namespace heronway::cluster::copies {

inline constexpr Micros kSecond = 1'000'000;
// Role names as printed by the console and the log, in the order of log::Role.
inline constexpr const char* kRoles[] = {"follower", "asks", "stands", "leader"};

struct ReplicaManager::Group {
  Group(ReplicaManager& owner, StoredGroup state)
      : manager(owner),
        name(std::move(state.group)),
        servers(std::move(state.servers)),
        timer(owner.shared_.loop, [this] { manager.HandleEvent(*this, log::Tick{}); }) {}
  ReplicaManager& manager;
  std::string name;
  std::unique_ptr<log::Log> log;
  Servers servers;
  net::Timer timer;
  bool own = false;                      // a group of this scheduler's own store, which is open
  std::shared_ptr<LogChannel> channel;   // not null while this process serves the group
  durable::SqliteStore::Settings store;  // the store of its jobs while it is served
  std::uint64_t epoch = 0;               // of this process's claim, proposed or committed; 0: none
  std::uint64_t last_epoch = 0;          // of the last claim in the log, by any member
  std::uint64_t stored_epoch = 0;        // the last one in the store when this process started
  log::Index claim_index = 0;            // the log entry of this process's claim
  bool claim_pending = false;            // a claim is proposed and not committed yet
  bool loading = false;                  // claimed; its jobs are being read
  bool opening = false;                  // OpenReplicatedStore() reads the jobs instead
  Micros changed_at = 0;                 // when the claim was proposed or the release started
  bool releasing = false;
  // When the owner was found to have lost its disk and to have another group instead; -1: never.
  Micros abandoned_since = -1;
  // This disk has lost a part of the log that the other replicas have; the group is not served here.
  bool outdated = false;
  std::string invited;               // a member that was invited to keep a replica
  std::set<log::ServerId> accepted;  // servers that accepted an invitation
  Micros servers_sent_at = 0, transfer_sent_at = 0, invite_sent_at = 0;
  std::size_t bytes_since_snapshot = 0;
  bool stored = true;  // the group exists on disk
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_GROUP_H_
