// Holds back what must not be seen outside before the records that it rests on are stored (output commit).
//
// Hops and what else concerns a durable job pass in their order once the writer has stored the records
// that were handed to it before. While the store fails, hops stay: what would be run twice after a crash
// is not begun. Answers go out after a second, or at their clients' deadlines, all the same, as their
// clients wait and what they say is true; replies that promise that something is stored are told that it
// is not known to be. Where copies are kept, somebody else may answer otherwise from what was not
// committed: then such an answer says that the outcome is not known, and what others wait for stays.
#ifndef HERONWAY_NET_COMMIT_BARRIER_H_
#define HERONWAY_NET_COMMIT_BARRIER_H_

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/core/reducer.h"
#include "src/durable/writer.h"
#include "src/net/loop.h"

namespace heronway::net {

class CommitBarrier {
 public:
  using Executor = std::function<void(core::Effect&)>;
  using StoredCallback = std::function<void(bool stored)>;
  static constexpr Micros kMaxAnswerDelay = 1'000'000;  // of those who wait for an answer
  // Past its client's time an answer is worth little, and half a second later it counts as lost.
  static constexpr Micros kDeadlineMargin = 100'000;

  // `ordered`: words of operators' tools came; `changed`: the writer began or ceased to fail; `copied`:
  // stored means on a majority of the copies; `taken_back`: a hop was called off before it left.
  CommitBarrier(Loop& loop, std::unique_ptr<durable::Store> store, const durable::Writer::Settings& settings,
                Executor execute, std::function<void(durable::OperatorCommand)> on_command,
                std::function<void(const std::string& last_error)> on_fault_change, bool replicated = false,
                std::function<void(const core::HopCancelled&)> on_hop_withdrawn = nullptr)
      : loop_(loop),
        replicated_(replicated),
        on_hop_withdrawn_(std::move(on_hop_withdrawn)),
        execute_(std::move(execute)),
        on_command_(std::move(on_command)),
        on_fault_change_(std::move(on_fault_change)),
        wakeup_(loop, [this] { OnWriterProgress(); }),
        overdue_(loop, [this] { ReleaseOverdue(); }),
        writer_(std::move(store), settings, [this] { wakeup_.Notify(); }) {}

  void Persist(std::vector<durable::Record> records) {
    const Micros began = loop_.Now();
    writer_.Enqueue(std::move(records));
    longest_block_ = std::max(longest_block_, loop_.Now() - began);
  }
  // Carried out now, or when everything handed over so far is stored.
  void Submit(core::Effect effect) {
    if (AllStored() || IsSafeUnstored(effect)) return execute_(effect);
    if (const auto* off = std::get_if<core::CancelHop>(&effect); off != nullptr && CancelPendingHop(*off))
      return;
    const bool answer = std::holds_alternative<core::Answer>(effect) ||
                        (!replicated_ && std::holds_alternative<core::Settled>(effect));
    const Micros now = loop_.Now();
    Micros release_at = now + kMaxAnswerDelay;
    if (const auto* a = std::get_if<core::Answer>(&effect); a != nullptr && a->by > 0)
      release_at = std::min(release_at, replicated_ ? a->by : std::max(now, a->by) + kDeadlineMargin);
    PendingEffect entry{writer_.enqueued(), release_at, std::move(effect), nullptr, answer};
    if (answer && release_at <= now) return Release(std::move(entry), false);
    pending_.push_back(std::move(entry));
    CheckOverdueIn(release_at - now);
  }
  void WhenStored(StoredCallback then) {
    if (AllStored()) return then(true);
    pending_.push_back(
        {writer_.enqueued(), loop_.Now() + kMaxAnswerDelay, core::Drained{}, std::move(then), true});
    CheckOverdueIn(kMaxAnswerDelay);
  }
  durable::Writer& writer() { return writer_; }
  const durable::Writer& writer() const { return writer_; }
  std::size_t pending() const { return pending_.size(); }
  std::uint64_t released_unstored() const { return released_unstored_; }
  Micros longest_block() const {
    return longest_block_;
  }  // that the loop has waited for the writer at a time
  void Stop() { writer_.Stop(std::chrono::milliseconds(2'000)); }
  // What these records are about is another's now: nothing more is stored here, and what was held back is
  // dropped. Those who wait are told that the outcome is not known; hops that had not left never ran.
  void Abandon(const std::function<void(core::Event)>& post) {
    writer_.Stop(std::chrono::milliseconds(0));
    std::list<PendingEffect> entry = std::exchange(pending_, {});
    for (PendingEffect& h : entry) {
      if (auto* send = std::get_if<core::SendHop>(&h.effect); send != nullptr && !h.then) {
        post(core::HopEnded{send->request, send->hop, core::Result::kConnectFailed, {}});
      } else if (auto* off = std::get_if<core::CancelHop>(&h.effect); off != nullptr && !h.then) {
        execute_(h.effect);
      } else if (!std::holds_alternative<core::StartRound>(h.effect)) {
        Release(std::move(h), false);
      }
    }
  }

 private:
  struct PendingEffect {
    std::uint64_t last_record;  // of the last record that must be stored
    Micros release_at;          // goes then, stored or not, where it may
    core::Effect effect;
    StoredCallback then;  // instead of the effect
    bool may_release_unstored;
  };
  // A refusal or a failure is as true without the records behind it, and its client has no time left: while
  // nothing can be committed it leaves at once.
  bool IsSafeUnstored(const core::Effect& effect) const {
    const auto* answer = std::get_if<core::Answer>(&effect);
    return replicated_ && answer != nullptr && answer->kind != core::AnswerKind::kServed && writer_.failing();
  }
  bool AllStored() const { return pending_.empty() && writer_.stored() == writer_.enqueued(); }
  void CheckOverdueIn(Micros wait) {
    const Micros at = loop_.Now() + wait;
    if (overdue_.running() && next_check_at_ <= at) return;
    next_check_at_ = at;
    overdue_.Start(wait);
  }
  // Guards against a hop that leaves when the store is well again, long after it was called off, beside the
  // one that took its place.
  bool CancelPendingHop(const core::CancelHop& off) {
    for (auto it = pending_.begin(); it != pending_.end(); ++it) {
      const auto* send = std::get_if<core::SendHop>(&it->effect);
      if (send == nullptr || it->then || send->request != off.request || send->hop != off.hop) continue;
      pending_.erase(it);
      if (on_hop_withdrawn_) on_hop_withdrawn_(core::HopCancelled{off.request, off.hop, true});
      return true;
    }
    return false;
  }
  void Release(PendingEffect entry, bool stored) {
    if (!stored) ++released_unstored_;
    if (entry.then) return entry.then(stored);
    if (auto* a = std::get_if<core::Answer>(&entry.effect); a != nullptr && !stored && replicated_) {
      a->kind = core::AnswerKind::kFailed;
      a->result.clear();
    }
    execute_(entry.effect);
  }
  void OnWriterProgress() {
    const std::uint64_t stored = writer_.stored();
    while (!pending_.empty() && pending_.front().last_record <= stored) {
      PendingEffect next = std::move(pending_.front());
      pending_.pop_front();
      Release(std::move(next), true);
    }
    const Micros began = loop_.Now();
    auto orders = writer_.TakeCommands();
    std::string last_error = writer_.last_error();
    longest_block_ = std::max(longest_block_, loop_.Now() - began);
    for (auto& order : orders) on_command_(std::move(order));
    if (last_error != last_error_) on_fault_change_(last_error_ = std::move(last_error));
  }
  void ReleaseOverdue() {
    const Micros now = loop_.Now();
    std::vector<PendingEffect> out;
    Micros next = -1;  // due among those that stay; a client has 30 ms between that and its own time
    for (auto it = pending_.begin(); it != pending_.end();) {
      if (it->may_release_unstored && it->release_at <= now) {
        out.push_back(std::move(*it));
        it = pending_.erase(it);
        continue;
      }
      if (it->may_release_unstored) next = next < 0 ? it->release_at : std::min(next, it->release_at);
      ++it;
    }
    if (next >= 0) CheckOverdueIn(next - now);
    for (auto& entry : out) Release(std::move(entry), false);
  }

  Loop& loop_;
  const bool replicated_;
  const std::function<void(const core::HopCancelled&)> on_hop_withdrawn_;
  Executor execute_;
  std::function<void(durable::OperatorCommand)> on_command_;
  std::function<void(const std::string&)> on_fault_change_;
  Wakeup wakeup_;
  Timer overdue_;
  Micros next_check_at_ = 0;
  std::list<PendingEffect> pending_;
  std::string last_error_;
  std::uint64_t released_unstored_ = 0;
  Micros longest_block_ = 0;
  durable::Writer writer_;  // last: its thread ends before what it calls
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_COMMIT_BARRIER_H_
