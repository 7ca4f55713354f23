// Delays effects that are visible outside until the records that they depend on are stored (output commit).
//
// Hops and other effects of a durable job are executed in their order, once the writer has stored all records
// that were enqueued before them. While the store fails, hops stay pending: one that started without a stored
// lease could run twice after a crash. Answers are released after a second, or at their clients' deadlines,
// even then, because the clients wait and the answers are true; a reply that confirms that something is
// stored reports instead that this is unknown. With replication, another scheduler may take over and answer
// differently from records that were not committed. An unstored answer then says that the outcome is unknown,
// and notifications of finished jobs stay pending.
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
  static constexpr Micros kMaxAnswerDelay = 1'000'000;
  // How long past its client's deadline an answer may be delayed. It counts as lost half a second after the
  // deadline.
  static constexpr Micros kDeadlineMargin = 100'000;

  // `on_command`: an operator's command has arrived. `on_fault_change`: the writer's error has changed; empty
  // if it recovered. `replicated`: a record counts as stored once a majority of the replicas has it.
  // `on_hop_withdrawn`: a hop was cancelled before it was sent.
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
        overdue_timer_(loop, [this] { ReleaseOverdue(); }),
        writer_(std::move(store), settings, [this] { wakeup_.Notify(); }) {}

  // Hands records to the writer. Effects that are submitted afterwards wait for them.
  void Persist(std::vector<durable::Record> records) {
    const Micros began = loop_.Now();
    writer_.Enqueue(std::move(records));
    longest_block_ = std::max(longest_block_, loop_.Now() - began);
  }
  // Executes the effect now, or once all records that were handed over so far are stored.
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
  // Calls `then` once all records so far are stored, or with false after kMaxAnswerDelay.
  void WhenStored(StoredCallback then) {
    if (AllStored()) return then(true);
    pending_.push_back(
        {writer_.enqueued(), loop_.Now() + kMaxAnswerDelay, core::Drained{}, std::move(then), true});
    CheckOverdueIn(kMaxAnswerDelay);
  }
  durable::Writer& writer() { return writer_; }
  const durable::Writer& writer() const { return writer_; }
  std::size_t pending() const { return pending_.size(); }
  // Effects that were released before their records were stored.
  std::uint64_t released_unstored() const { return released_unstored_; }
  // Longest time that the event loop has been blocked by the writer's lock.
  Micros longest_block() const { return longest_block_; }
  void Stop() { writer_.Stop(std::chrono::milliseconds(2'000)); }
  // Another scheduler serves these jobs now: stops the writer and drops the pending effects. Waiting clients
  // are answered that the outcome is unknown; pending hops are reported as never run.
  void Abandon(const std::function<void(core::Event)>& post) {
    writer_.Stop(std::chrono::milliseconds(0));
    std::list<PendingEffect> dropped = std::exchange(pending_, {});
    for (PendingEffect& entry : dropped) {
      if (auto* send = std::get_if<core::SendHop>(&entry.effect); send != nullptr && !entry.then) {
        post(core::HopEnded{send->request, send->hop, core::Result::kConnectFailed, {}});
      } else if (auto* off = std::get_if<core::CancelHop>(&entry.effect); off != nullptr && !entry.then) {
        execute_(entry.effect);
      } else if (!std::holds_alternative<core::StartRound>(entry.effect)) {
        Release(std::move(entry), false);
      }
    }
  }

 private:
  struct PendingEffect {
    std::uint64_t last_record;  // number of the last record that the effect depends on
    Micros release_at;          // released then without its records, if may_release_unstored
    core::Effect effect;
    StoredCallback then;  // if set, called instead of executing the effect
    bool may_release_unstored;
  };
  // A shed, rejected or failed request has this outcome whether or not its records are stored, and its client
  // has little time left: while nothing can be committed, the answer is released at once.
  bool IsSafeUnstored(const core::Effect& effect) const {
    const auto* answer = std::get_if<core::Answer>(&effect);
    return replicated_ && answer != nullptr && answer->kind != core::AnswerKind::kServed && writer_.failing();
  }
  bool AllStored() const { return pending_.empty() && writer_.stored() == writer_.enqueued(); }
  void CheckOverdueIn(Micros wait) {
    const Micros at = loop_.Now() + wait;
    if (overdue_timer_.running() && next_check_at_ <= at) return;
    next_check_at_ = at;
    overdue_timer_.Start(wait);
  }
  // Removes a cancelled hop that is still pending. Otherwise it would be sent once the store has recovered,
  // in addition to the hop that replaced it.
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
    const auto releasable = [&] { return !pending_.empty() && pending_.front().last_record <= stored; };
    // An effect may submit further ones, as a reply lets its connection's next command be processed. Those
    // wait for the next iteration of the loop: a connection with many buffered commands must not hold it.
    for (std::size_t left = pending_.size(); left > 0 && releasable(); --left) {
      PendingEffect next = std::move(pending_.front());
      pending_.pop_front();
      Release(std::move(next), true);
    }
    if (releasable()) wakeup_.Notify();
    const Micros began = loop_.Now();
    auto commands = writer_.TakeCommands();
    std::string last_error = writer_.last_error();
    longest_block_ = std::max(longest_block_, loop_.Now() - began);
    for (auto& command : commands) on_command_(std::move(command));
    if (last_error != last_error_) on_fault_change_(last_error_ = std::move(last_error));
  }
  void ReleaseOverdue() {
    const Micros now = loop_.Now();
    std::vector<PendingEffect> overdue;
    Micros next = -1;  // earliest among those that stay; a client's own deadline is 30 ms after it
    for (auto it = pending_.begin(); it != pending_.end();) {
      if (it->may_release_unstored && it->release_at <= now) {
        overdue.push_back(std::move(*it));
        it = pending_.erase(it);
        continue;
      }
      if (it->may_release_unstored) next = next < 0 ? it->release_at : std::min(next, it->release_at);
      ++it;
    }
    if (next >= 0) CheckOverdueIn(next - now);
    for (auto& entry : overdue) Release(std::move(entry), false);
  }

  Loop& loop_;
  const bool replicated_;
  const std::function<void(const core::HopCancelled&)> on_hop_withdrawn_;
  Executor execute_;
  std::function<void(durable::OperatorCommand)> on_command_;
  std::function<void(const std::string&)> on_fault_change_;
  Wakeup wakeup_;
  Timer overdue_timer_;
  Micros next_check_at_ = 0;
  std::list<PendingEffect> pending_;
  std::string last_error_;
  std::uint64_t released_unstored_ = 0;
  Micros longest_block_ = 0;
  durable::Writer writer_;  // last: its thread must end before the members that it calls are destroyed
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_COMMIT_BARRIER_H_
