// Where a member keeps its copies: one file for all groups, and a thread that puts whatever the groups have
// asked for since into one synced commit.
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

// Which member each server of a group is, and where it listens.
using Servers = std::map<log::ServerId, std::pair<std::string, std::string>>;

struct StoredGroup {
  std::string group;
  log::ServerId self = 0;
  log::PersistentState log;
  Servers servers;
};

class ReplicaStore {
 public:
  // FOLDER/copies.db. Throws durable::StoreError: kBusy where another program serves from it, kCorrupt with
  // the group and the entry at fault. `look`: for tools; nothing is written, whoever serves.
  ReplicaStore(const std::string& folder, std::function<void()> on_change, bool read_only = false);
  ~ReplicaStore();  // what is handed over is written, for two seconds at the longest
  ReplicaStore(const ReplicaStore&) = delete;
  ReplicaStore& operator=(const ReplicaStore&) = delete;

  std::vector<StoredGroup> Read();  // before anything is handed over
  struct Drop {};
  // A new group; a part of one; whose servers are whose; a group that is kept no longer.
  using Change = std::variant<StoredGroup, log::Persist, Servers, Drop>;
  void Enqueue(const std::string& group, Change change);
  struct Completion {
    std::string group;
    std::uint64_t number;  // of the Persist; 0: the group was made
  };
  std::vector<Completion> TakeCompletions();
  std::string fault() const;  // of the last commit; empty: it went through
  std::uint64_t commits() const;

  static std::string FilePath(const std::string& folder) { return folder + "/copies.db"; }

 private:
  struct Impl;
  struct PendingWrite {
    std::string group;
    Change change;
  };
  void Run();
  void Write(const std::vector<PendingWrite>& ops);

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
