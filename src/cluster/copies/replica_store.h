// The file in which a member keeps its replicas, one for all groups. A thread writes all changes that have
// been queued since its last commit in one synced commit.
#ifndef HERONWAY_CLUSTER_COPIES_REPLICA_STORE_H_
#define HERONWAY_CLUSTER_COPIES_REPLICA_STORE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "src/cluster/log/log.h"

namespace heronway::cluster::copies {

// The member of each server of a group, and the address at which it listens.
using Servers = std::map<log::ServerId, std::pair<std::string, std::string>>;

// What is stored of a group: its name, the id of this member's server, its log and its servers.
struct StoredGroup {
  std::string group;
  log::ServerId self = 0;
  log::PersistentState log;
  Servers servers;
};

class ReplicaStore {
 public:
  // Opens FOLDER/copies.db. Throws durable::StoreError: kBusy if another process serves from it, kCorrupt if
  // its version is not known. `on_change` is called on the writer's thread after each commit and when fault()
  // changes. `read_only` is for tools: nothing is written, and another process may be serving.
  ReplicaStore(const std::string& folder, std::function<void()> on_change, bool read_only = false);
  ~ReplicaStore();  // writes the queued changes, for two seconds at most
  ReplicaStore(const ReplicaStore&) = delete;
  ReplicaStore& operator=(const ReplicaStore&) = delete;

  // Reads all groups, before the first Enqueue(). Throws durable::StoreError kCorrupt with the group and the
  // entry.
  std::vector<StoredGroup> Read();
  struct Drop {};
  // Creates a group, persists a part of its log, replaces its servers, or deletes the group.
  using Change = std::variant<StoredGroup, log::Persist, Servers, Drop>;
  void Enqueue(const std::string& group, Change change);
  struct Completion {
    std::string group;
    std::uint64_t number;  // of the log::Persist; 0: the group was created
  };
  std::vector<Completion> TakeCompletions();
  std::string fault() const;  // error of the last commit; empty if it succeeded
  std::uint64_t commits() const;

  static std::string FilePath(const std::string& folder) { return folder + "/copies.db"; }

 private:
  struct Impl;
  struct PendingWrite {
    std::string group;
    Change change;
  };
  void Run();
  void Write(const std::vector<PendingWrite>& writes);

  std::unique_ptr<Impl> impl_;
  std::function<void()> on_change_;
  mutable std::mutex lock_;
  std::condition_variable wake_;
  std::vector<PendingWrite> pending_;
  std::vector<Completion> completions_;
  std::string fault_;
  std::uint64_t commits_ = 0;
  bool stopping_ = false;
  std::chrono::steady_clock::time_point stop_deadline_{};
  std::thread thread_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_REPLICA_STORE_H_
