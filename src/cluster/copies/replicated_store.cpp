#include "src/cluster/copies/replicated_store.h"

#include <utility>

#include "src/durable/codec.h"

namespace heronway::cluster::copies {

using durable::StoreError;

void LogChannel::Propose(std::vector<std::string> data) {
  {
    const std::lock_guard lock(lock_);
    rejection_.clear();
    for (std::string& d : data) proposals_.push_back(std::move(d));
  }
  proposals_wakeup_();
}

std::optional<LogChannel::Committed> LogChannel::WaitCommitted(std::chrono::milliseconds timeout,
                                                               std::string& reason) {
  std::unique_lock lock(lock_);
  changed_.wait_for(lock, timeout, [this] { return !committed_.empty() || !rejection_.empty() || closed_; });
  if (!committed_.empty()) {
    Committed next = std::move(committed_.front());
    committed_.pop_front();
    return next;
  }
  reason = closed_              ? "the group is no longer served here"
           : rejection_.empty() ? "no majority of the replicas stored it in time"
                                : rejection_;
  return std::nullopt;
}

std::vector<std::string> LogChannel::TakeProposals() {
  const std::lock_guard lock(lock_);
  return std::exchange(proposals_, {});
}

void LogChannel::Deliver(log::Index index, std::string data) {
  {
    const std::lock_guard lock(lock_);
    committed_.push_back({index, std::move(data)});
  }
  changed_.notify_one();
}

void LogChannel::Reject(const std::string& reason) {
  {
    const std::lock_guard lock(lock_);
    rejection_ = reason;
    may_have_lost_ = true;
  }
  changed_.notify_one();
}

void LogChannel::NoteRoleChange() {
  const std::lock_guard lock(lock_);
  may_have_lost_ = true;
}

bool LogChannel::TakeLoss() {
  const std::lock_guard lock(lock_);
  return std::exchange(may_have_lost_, false);
}

void LogChannel::Close() {
  {
    const std::lock_guard lock(lock_);
    closed_ = true;
  }
  changed_.notify_one();
}

ReplicatedStore::ReplicatedStore(std::unique_ptr<durable::SqliteStore> store,
                                 std::shared_ptr<LogChannel> channel, std::uint64_t epoch)
    : store_(std::move(store)), channel_(std::move(channel)), epoch_(epoch), applied_(store_->applied()) {}

bool ReplicatedStore::Apply(durable::SqliteStore& store, durable::Applied& applied,
                            const LogChannel::Committed& entry) {
  if (entry.index <= applied.index) return false;
  const auto batch = DecodeBatch(entry.data);
  const auto records = batch ? durable::DecodeRecords(batch->records) : std::nullopt;
  if (!records)
    throw StoreError(StoreError::Kind::kCorrupt,
                     "copies: entry " + std::to_string(entry.index) + " of the log cannot be read");
  // Skips a duplicate, which was proposed again because its proposer did not know that it was committed, and
  // a proposal of a process that no longer serves the group.
  if (!IsEffective(*batch, applied)) return false;
  const durable::Applied next{entry.index, batch->epoch, batch->number};
  store.AppendAt(*records, next);
  applied = next;
  return true;
}

// A slow majority would have to store parts that are proposed again as well, so that is done only if they may
// have been lost.
void ReplicatedStore::ProposePendingParts() {
  const bool lost = channel_->TakeLoss();
  if ((proposed_ && !lost) || pending_parts_.empty()) return;
  proposed_ = true;
  std::vector<std::string> proposals;
  for (const auto& [number, data] : pending_parts_) proposals.push_back(data);
  channel_->Propose(std::move(proposals));
}

// The caller retries a failed call with the same records. The records stay split into the same parts, and
// parts that are committed stay committed.
void ReplicatedStore::Append(const std::vector<durable::Record>& records) {
  if (superseded_)
    throw StoreError(StoreError::Kind::kOther, "copies: another process has taken the group over");
  if (pending_parts_.empty() && !committed_entry_) {
    std::vector<durable::Record> part;
    std::size_t bytes = 0;
    const auto finish_part = [&] {
      const Batch b{epoch_, ++last_number_, durable::Encode(part)};
      pending_parts_.emplace_back(b.number, Encode(b));
      part.clear();
      bytes = 0;
    };
    for (const durable::Record& r : records) {
      if (!part.empty() && bytes + r.text.size() > kMaxPartBytes) finish_part();
      part.push_back(r);
      bytes += r.text.size() + 100;
    }
    finish_part();
    proposed_ = false;
  }
  ProposePendingParts();
  while (!pending_parts_.empty() || committed_entry_) {
    if (!committed_entry_) {
      std::string reason;
      committed_entry_ = channel_->WaitCommitted(kCommitTimeout, reason);
      if (!committed_entry_) throw StoreError(StoreError::Kind::kOther, "copies: " + reason);
    }
    const auto batch = DecodeBatch(committed_entry_->data);
    // Another process has claimed the group, and only its batches count from here on. This store stays at its
    // position and catches up when the group is claimed here again.
    superseded_ = batch && batch->number == 0 && batch->epoch != epoch_;
    if (superseded_)
      throw StoreError(StoreError::Kind::kOther, "copies: another process has taken the group over");
    Apply(*store_, applied_, *committed_entry_);
    committed_entry_.reset();
    while (batch && batch->epoch == epoch_ && !pending_parts_.empty() &&
           pending_parts_.front().first <= batch->number)
      pending_parts_.pop_front();
  }
}

}  // namespace heronway::cluster::copies
