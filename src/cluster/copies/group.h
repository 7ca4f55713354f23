// A group as the copies on the loop see it. Internal to this folder.
#ifndef HERONWAY_CLUSTER_COPIES_GROUP_H_
#define HERONWAY_CLUSTER_COPIES_GROUP_H_

#include <memory>
#include <set>
#include <string>
#include <utility>

#include "src/cluster/copies/replica_manager.h"

namespace heronway::cluster::copies {

inline constexpr Micros kSecond = 1'000'000;
inline constexpr const char* kRoles[] = {"follower", "asks", "stands", "leader"};  // as log::Role

struct ReplicaManager::Group {
  Group(ReplicaManager& owner, StoredGroup on_disk)
      : copies(owner),
        name(std::move(on_disk.group)),
        servers(std::move(on_disk.servers)),
        timer(owner.shared_.loop, [this] { copies.HandleEvent(*this, log::Tick{}); }) {}
  ReplicaManager& copies;
  std::string name;
  std::unique_ptr<log::Log> log;
  Servers servers;
  net::Timer timer;
  bool own = false;                      // of this scheduler's own store, which is open
  std::shared_ptr<LogChannel> channel;   // set: this process holds it, its own or another's
  durable::SqliteStore::Settings store;  // where it is kept while it is held
  std::uint64_t epoch = 0;               // of the hold, asked for or had; 0: neither
  std::uint64_t last_epoch = 0;          // of the last hold in the log, whoever's
  std::uint64_t stored_epoch = 0;        // the last that the store knew when this process began
  log::Index claim_index = 0;            // the entry that took the hold
  bool claim_pending = false;            // for the hold
  bool loading = false;                  // its state, once it has the hold
  bool opening = false;                  // Lead() reads it
  Micros changed_at = 0;                 // when the hold was asked for, or begun to be given back
  bool releasing = false;
  Micros abandoned_since =
      -1;                 // its owner has another group instead, as its disk is lost; -1: not that is known
  bool outdated = false;  // this disk has forgotten some of it: nothing is held here
  std::string invited;    // a member that was asked to keep a copy
  std::set<log::ServerId> accepted;  // servers that said they would
  Micros servers_sent_at = 0, transfer_sent_at = 0, invite_sent_at = 0;
  std::size_t bytes_since_snapshot = 0;  // bytes committed since the last snapshot
  bool stored = true;                    // it is on disk
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_GROUP_H_
