// A job store whose records go through a replicated log, and the channel between the store's writer thread
// and the loop that runs the log: proposals go one way, committed entries come back.
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

// Connects the writer thread of one group's store to the loop, for the scheduler's own groups and for those
// that it has taken over.
class LogChannel {
 public:
  struct Committed {
    log::Index index = 0;
    std::string data;
  };
  // `on_proposals` is called on the writer's thread when there is something to propose.
  explicit LogChannel(std::function<void()> on_proposals) : proposals_wakeup_(std::move(on_proposals)) {}

  // Called on the writer's thread.
  void Propose(std::vector<std::string> data);
  // Whether proposals of before may have been lost since the last call.
  bool TakeLoss();
  // Waits for the next committed entry. Returns nothing on a timeout, a rejection or after Close(), with the
  // cause in `reason`.
  std::optional<Committed> WaitCommitted(std::chrono::milliseconds timeout, std::string& reason);

  // Called on the loop's thread.
  std::vector<std::string> TakeProposals();
  void Deliver(log::Index index, std::string data);
  void Reject(const std::string& reason);  // the proposals were not appended to the log
  void NoteRoleChange();                   // entries that are not committed may have left the log
  void Close();                            // no further entry will be delivered

 private:
  std::function<void()> proposals_wakeup_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::vector<std::string> proposals_;
  std::deque<Committed> committed_;
  std::string rejection_;
  bool closed_ = false, may_have_lost_ = false;
};

// A front's store with replicas. A batch counts as stored when a majority of the replicas has it on disk;
// only then is it applied to the local store. After a crash the local store may be behind; the log has the
// rest.
class ReplicatedStore : public durable::Store {
 public:
  // How long to wait for a majority before the append fails.
  static constexpr std::chrono::milliseconds kCommitTimeout{1'000};
  // The size limit of an entry, unless it is a single larger record.
  static constexpr std::size_t kMaxPartBytes = 256 * 1024;

  ReplicatedStore(std::unique_ptr<durable::SqliteStore> store, std::shared_ptr<LogChannel> channel,
                  std::uint64_t epoch);
  void Append(const std::vector<durable::Record>& records) override;
  void Read(const Reader& reader) override { store_->Read(reader); }
  std::size_t Compact(std::size_t most, std::size_t keep) override { return store_->Compact(most, keep); }
  std::vector<durable::OperatorCommand> TakeCommands() override { return store_->TakeCommands(); }
  std::uint64_t bytes() const override { return store_->bytes(); }
  std::uint64_t max_bytes() const override { return store_->max_bytes(); }

  // Applies a committed entry to a store whose position is `applied`. Returns false if it has no effect: it
  // was applied before, or its epoch is over.
  static bool Apply(durable::SqliteStore& store, durable::Applied& applied,
                    const LogChannel::Committed& entry);

 private:
  void ProposePendingParts();

  std::unique_ptr<durable::SqliteStore> store_;
  std::shared_ptr<LogChannel> channel_;
  bool superseded_ = false;  // another process has claimed the group
  std::uint64_t epoch_, last_number_ = 0;
  durable::Applied applied_;
  // The parts of the current append that are not committed yet, by batch number.
  std::deque<std::pair<std::uint64_t, std::string>> pending_parts_;
  bool proposed_ = false;  // the pending parts are in the log, as far as is known
  std::optional<LogChannel::Committed> committed_entry_;  // committed, not applied to the store yet
};

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_REPLICATED_STORE_H_
