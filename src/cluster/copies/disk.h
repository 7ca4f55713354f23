// Where a member keeps its copies: one file for all groups, and a thread that puts whatever the groups have
// asked for since into one synced commit.
#ifndef HERONWAY_CLUSTER_COPIES_DISK_H_
#define HERONWAY_CLUSTER_COPIES_DISK_H_

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

struct GroupOnDisk {
  std::string group;
  log::ServerId self = 0;
  log::PersistentState log;
  Servers servers;
};

class Disk {
 public:
  // FOLDER/copies.db. Throws durable::StoreError: kBusy where another program serves from it, kCorrupt with
  // the group and the entry at fault. `look`: for tools; nothing is written, whoever serves.
  Disk(const std::string& folder, std::function<void()> changed, bool look = false);
  ~Disk();  // what is handed over is written, for two seconds at the longest
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;

  std::vector<GroupOnDisk> Read();  // before anything is handed over
  struct Drop {};
  // A new group; a part of one; whose servers are whose; a group that is kept no longer.
  using What = std::variant<GroupOnDisk, log::Persist, Servers, Drop>;
  void Hand(const std::string& group, What what);
  struct Done {
    std::string group;
    std::uint64_t number;  // of the Persist; 0: the group was made
  };
  std::vector<Done> TakeDone();
  std::string fault() const;  // of the last commit; empty: it went through
  std::uint64_t commits() const;

  static std::string FileOf(const std::string& folder) { return folder + "/copies.db"; }

 private:
  struct Impl;
  struct Op {
    std::string group;
    What what;
  };
  void Run();
  void Write(const std::vector<Op>& ops);

  std::unique_ptr<Impl> impl_;
  std::function<void()> changed_;
  mutable std::mutex lock_;
  std::condition_variable wake_;
  std::vector<Op> waiting_;
  std::vector<Done> done_;
  std::string fault_;
  std::uint64_t commits_ = 0;
  bool ending_ = false;
  std::chrono::steady_clock::time_point give_up_{};
  std::thread thread_;
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_DISK_H_
