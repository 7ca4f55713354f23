// Digest of a server's state. State space exploration visits states of equal digest only once.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "src/cluster/log/log.h"

namespace heronway::cluster::log {
namespace {

class Hash {
 public:
  void Add(std::uint64_t value) { sum_ = XXH3_64bits_withSeed(&value, sizeof value, sum_); }
  void Add(const std::string& text) { sum_ = XXH3_64bits_withSeed(text.data(), text.size(), sum_); }
  void Add(const std::vector<ServerId>& ids) {
    Add(ids.size());
    for (const ServerId id : ids) Add(id);
  }
  void Add(const Configuration& m) {
    Add(m.voters);
    Add(m.learners);
  }
  void Add(const Entry& e) {
    Add(e.term);
    Add(static_cast<std::uint64_t>(e.kind));
    Add(e.data);
    Add(e.configuration);
  }
  std::uint64_t sum() const { return sum_; }

 private:
  std::uint64_t sum_ = 0;
};

}  // namespace

std::uint64_t DigestOf(const Entry& entry) {
  Hash h;
  h.Add(entry);
  return h.sum();
}

std::uint64_t DigestOf(const Message& m) {
  Hash h;
  for (const std::uint64_t n : {static_cast<std::uint64_t>(m.kind), m.from, m.to, m.term, m.index, m.log_term,
                                m.leader_commit, m.match_hint, m.read_round, std::uint64_t{m.accepted},
                                std::uint64_t{m.leadership_transfer}, m.offset, m.total_size})
    h.Add(n);
  for (const EntryPtr& e : m.entries) h.Add(*e);
  h.Add(m.configuration);
  h.Add(m.chunk);
  return h.sum();
}

std::uint64_t Log::Digest() const {
  Hash h;
  for (const std::uint64_t n :
       {hard_state_.term,
        hard_state_.voted_for,
        base_index_,
        base_term_,
        persists_requested_ - persists_done_,
        hard_state_persist_ > persists_done_ ? persists_requested_ - hard_state_persist_ + 1 : 0,
        durable_index_,
        configuration_index_,
        commit_index_,
        last_applied_,
        static_cast<std::uint64_t>(role_),
        leader_,
        verified_index_,
        read_round_,
        term_start_index_,
        std::uint64_t{uncommitted_bytes_},
        transfer_target_,
        std::uint64_t{timeout_now_sent_},
        std::uint64_t{HasActiveLeader()},
        snapshot_to_restore_ == nullptr ? 0 : snapshot_to_restore_->index,
        incoming_snapshot_.index,
        std::uint64_t{incoming_snapshot_.data.size()},
        snapshot_ == nullptr ? 0 : snapshot_->index})
    h.Add(n);
  for (const EntryPtr& e : entries_) h.Add(*e);
  h.Add(configuration_);
  for (const ServerId id : votes_) h.Add(id);
  for (const auto& [number, upto] : pending_writes_) {
    h.Add(number - persists_done_);
    h.Add(upto);
  }
  for (const DelayedMessage& delayed : delayed_messages_) h.Add(DigestOf(delayed.message));
  for (const auto& [id, p] : progress_) {
    for (const std::uint64_t n :
         {id, p.match_index, p.next_index, static_cast<std::uint64_t>(p.state),
          std::uint64_t{p.awaiting_reply}, std::uint64_t{p.inflight_bytes}, p.read_round, p.offset})
      h.Add(n);
  }
  for (const PendingRead& r : pending_reads_) {
    h.Add(r.request_id);
    h.Add(r.read_round);
    h.Add(r.index);
  }
  return h.sum();
}

}  // namespace heronway::cluster::log
