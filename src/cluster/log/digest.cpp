// A digest of a server's state, for exploring: two that are equal need to be gone on from once.
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
  void Add(const Members& m) {
    Add(m.voters);
    Add(m.learners);
  }
  void Add(const Entry& e) {
    Add(e.term);
    Add(static_cast<std::uint64_t>(e.kind));
    Add(e.data);
    Add(e.members);
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
  for (const std::uint64_t n :
       {static_cast<std::uint64_t>(m.kind), m.from, m.to, m.term, m.index, m.log_term, m.commit, m.hint,
        m.round, std::uint64_t{m.yes}, std::uint64_t{m.handed}, m.offset, m.size})
    h.Add(n);
  for (const EntryPtr& e : m.entries) h.Add(*e);
  h.Add(m.members);
  h.Add(m.bytes);
  return h.sum();
}

std::uint64_t Log::Digest() const {
  Hash h;
  for (const std::uint64_t n : {vote_.term,
                                vote_.of,
                                base_,
                                base_term_,
                                saves_ - saved_,
                                vote_save_ > saved_ ? saves_ - vote_save_ + 1 : 0,
                                durable_,
                                members_at_,
                                commit_,
                                applied_,
                                static_cast<std::uint64_t>(role_),
                                leader_,
                                verified_,
                                round_,
                                own_first_,
                                std::uint64_t{waiting_bytes_},
                                transfer_,
                                std::uint64_t{handed_over_},
                                std::uint64_t{HearsLeader()},
                                to_restore_ == nullptr ? 0 : to_restore_->index,
                                coming_.index,
                                std::uint64_t{coming_.data.size()},
                                snapshot_ == nullptr ? 0 : snapshot_->index})
    h.Add(n);
  for (const EntryPtr& e : log_) h.Add(*e);
  h.Add(members_);
  for (const ServerId id : votes_) h.Add(id);
  for (const auto& [number, upto] : writes_) {
    h.Add(number - saved_);
    h.Add(upto);
  }
  for (const Held& held : held_) h.Add(DigestOf(held.message));
  for (const auto& [id, p] : progress_) {
    for (const std::uint64_t n : {id, p.match, p.next, static_cast<std::uint64_t>(p.pace),
                                  std::uint64_t{p.waits}, std::uint64_t{p.bytes}, p.round, p.offset})
      h.Add(n);
  }
  for (const WaitingRead& r : reads_) {
    h.Add(r.ticket);
    h.Add(r.round);
    h.Add(r.index);
  }
  return h.sum();
}

}  // namespace heronway::cluster::log
