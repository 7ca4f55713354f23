// A group that this scheduler holds, its own or one that it looks after, between the thread that writes and
// the loop that runs the log: what is to be proposed goes one way, what is committed comes back.
#ifndef HERONWAY_CLUSTER_COPIES_REPLICATED_STORE_H_
#define HERONWAY_CLUSTER_COPIES_REPLICATED_STORE_H_

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/cluster/copies/log_content.h"
#include "src/cluster/log/types.h"

namespace heronway::cluster::copies {

class LogChannel {
 public:
  struct Committed {
    log::Index index = 0;
    std::string data;  // an encoded Batch
  };
  // `asked`: called from the writer's thread when something is to be proposed.
  explicit LogChannel(std::function<void()> on_proposals) : proposals_wakeup_(std::move(on_proposals)) {}

  // ---- writer's thread
  void Propose(std::vector<std::string> data);
  // Waits for the next that is committed. Nothing: not in time, or it cannot be now; `why` tells.
  std::optional<Committed> WaitCommitted(std::chrono::milliseconds timeout, std::string& reason);

  // ---- loop's thread
  std::vector<std::string> TakeProposals();
  void Deliver(log::Index index, std::string data);
  void Reject(const std::string& reason);  // what was asked for is not in the log
  void Close();                            // nothing more will come

 private:
  std::function<void()> proposals_wakeup_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::vector<std::string> proposals_;
  std::deque<Committed> committed_;
  std::string rejection_;
  bool closed_ = false;
};

// A front's store, of which copies are kept: a batch is stored when a majority of the copies has it on disk,
// and then it is put here. After a crash this store may be behind: the log has the rest.
class ReplicatedStore : public durable::Store {
 public:
  static constexpr std::chrono::milliseconds kCommitTimeout{
      1'000};                                               // for a majority, until it is told as a fault
  static constexpr std::size_t kMaxPartBytes = 256 * 1024;  // bytes of an entry, a single record apart

  ReplicatedStore(std::unique_ptr<durable::SqliteStore> store, std::shared_ptr<LogChannel> channel,
                  std::uint64_t epoch);
  void Append(const std::vector<durable::Record>& records) override;
  void Read(const Reader& reader) override { store_->Read(reader); }
  std::size_t Compact(std::size_t most, std::size_t keep) override { return store_->Compact(most, keep); }
  std::vector<durable::OperatorCommand> TakeCommands() override { return store_->TakeCommands(); }
  std::uint64_t bytes() const override { return store_->bytes(); }
  std::uint64_t max_bytes() const override { return store_->max_bytes(); }

  // Puts what was committed into a store that stands at `applied`. False: it was there already.
  static bool Apply(durable::SqliteStore& store, durable::Applied& applied,
                    const LogChannel::Committed& entry);

 private:
  std::unique_ptr<durable::SqliteStore> store_;
  std::shared_ptr<LogChannel> channel_;
  bool superseded_ = false;  // another has taken hold of the group
  std::uint64_t epoch_, last_number_ = 0;
  durable::Applied applied_;
  std::deque<std::pair<std::uint64_t, std::string>>
      pending_parts_;                                     // of the batch under way, not committed yet
  std::optional<LogChannel::Committed> committed_entry_;  // committed, and not here yet
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_REPLICATED_STORE_H_
