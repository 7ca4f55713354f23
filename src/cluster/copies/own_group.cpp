#include "src/cluster/copies/own_group.h"

#include <utility>

#include "src/durable/codec.h"

namespace heronway::cluster::copies {

using durable::StoreError;

void OwnGroup::Ask(std::vector<std::string> data) {
  {
    const std::lock_guard hold(lock_);
    refused_.clear();
    for (std::string& d : data) to_propose_.push_back(std::move(d));
  }
  asked_();
}

std::optional<OwnGroup::Committed> OwnGroup::Next(std::chrono::milliseconds patience, std::string& why) {
  std::unique_lock hold(lock_);
  came_.wait_for(hold, patience, [this] { return !committed_.empty() || !refused_.empty() || ended_; });
  if (!committed_.empty()) {
    Committed next = std::move(committed_.front());
    committed_.pop_front();
    return next;
  }
  why = ended_             ? "the program ends"
        : refused_.empty() ? "no majority of the copies has it in time"
                           : refused_;
  return std::nullopt;
}

std::vector<std::string> OwnGroup::TakeAsked() {
  const std::lock_guard hold(lock_);
  return std::exchange(to_propose_, {});
}

void OwnGroup::Deliver(log::Index index, std::string data) {
  {
    const std::lock_guard hold(lock_);
    committed_.push_back({index, std::move(data)});
  }
  came_.notify_one();
}

void OwnGroup::Refuse(const std::string& why) {
  {
    const std::lock_guard hold(lock_);
    refused_ = why;
  }
  came_.notify_one();
}

void OwnGroup::End() {
  {
    const std::lock_guard hold(lock_);
    ended_ = true;
  }
  came_.notify_one();
}

CopiedStore::CopiedStore(std::unique_ptr<durable::SqliteStore> store, std::shared_ptr<OwnGroup> group,
                         std::uint64_t life)
    : store_(std::move(store)), group_(std::move(group)), life_(life), applied_(store_->applied()) {}

bool CopiedStore::Apply(durable::SqliteStore& store, durable::Applied& applied,
                        const OwnGroup::Committed& what) {
  if (what.index <= applied.index) return false;
  const auto batch = DecodeBatch(what.data);
  const auto records = batch ? durable::DecodeRecords(batch->records) : std::nullopt;
  if (!records)
    throw StoreError(StoreError::Kind::kCorrupt,
                     "copies: entry " + std::to_string(what.index) + " of the log cannot be read");
  // Proposed twice, as its proposer did not know that it was committed, or by one that holds the group no
  // more.
  if (!Counts(*batch, applied)) return false;
  const durable::Applied next{what.index, batch->life, batch->number};
  store.AppendAt(*records, next);
  applied = next;
  return true;
}

// Called again with the same records until it returns: what was cut into parts stays so, and what is
// committed stays committed.
void CopiedStore::Append(const std::vector<durable::Record>& records) {
  if (lost_) throw StoreError(StoreError::Kind::kOther, "copies: another has taken hold of them");
  if (parts_.empty() && !taken_) {
    std::vector<durable::Record> part;
    std::size_t bytes = 0;
    const auto cut = [&] {
      const Batch b{life_, ++last_, durable::Encode(part)};
      parts_.emplace_back(b.number, Encode(b));
      part.clear();
      bytes = 0;
    };
    for (const durable::Record& r : records) {
      if (!part.empty() && bytes + r.text.size() > kMostPart) cut();
      part.push_back(r);
      bytes += r.text.size() + 100;
    }
    cut();
  }
  std::vector<std::string> ask;
  for (const auto& [number, data] : parts_) ask.push_back(data);
  if (!ask.empty()) group_->Ask(std::move(ask));
  while (!parts_.empty() || taken_) {
    if (!taken_) {
      std::string why;
      taken_ = group_->Next(kPatience, why);
      if (!taken_) throw StoreError(StoreError::Kind::kOther, "copies: " + why);
    }
    const auto batch = DecodeBatch(taken_->data);
    // From here on the log is another's: this store is left where it stands, to be caught up when it is held
    // again.
    lost_ = batch && batch->number == 0 && batch->life != life_;
    if (lost_) throw StoreError(StoreError::Kind::kOther, "copies: another has taken hold of them");
    Apply(*store_, applied_, *taken_);
    taken_.reset();
    while (batch && batch->life == life_ && !parts_.empty() && parts_.front().first <= batch->number)
      parts_.pop_front();
  }
}

}  // namespace heronway::cluster::copies
