// Holds back what must not be seen outside before the records that it rests on are stored (output commit).
//
// Hops and what else concerns a durable job pass in their order once the writer has stored the records
// that were handed to it before. While the store fails, hops stay: what would be run twice after a crash
// is not begun. Answers go out after a second, or at their clients' deadlines, all the same, as their
// clients wait and what they say is true; replies that promise that something is stored are told that it
// is not known to be. Where copies are kept, somebody else may answer otherwise from what was not
// committed: then such an answer says that the outcome is not known, and what others wait for stays.
#ifndef HERONWAY_NET_GATE_H_
#define HERONWAY_NET_GATE_H_

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

class Gate {
 public:
  using Executor = std::function<void(core::Effect&)>;
  using Stored = std::function<void(bool stored)>;
  static constexpr Micros kPatience = 1'000'000;  // of those who wait for an answer
  // Past its client's time an answer is worth little, and half a second later it counts as lost.
  static constexpr Micros kPastDeadline = 100'000;

  // `ordered`: words of operators' tools came; `changed`: the writer began or ceased to fail; `copied`:
  // stored means on a majority of the copies; `taken_back`: a hop was called off before it left.
  Gate(Loop& loop, std::unique_ptr<durable::Store> store, const durable::Writer::Settings& settings,
       Executor execute, std::function<void(durable::Order)> ordered,
       std::function<void(const std::string& fault)> changed, bool copied = false,
       std::function<void(const core::HopCancelled&)> taken_back = nullptr)
      : loop_(loop),
        copied_(copied),
        taken_back_(std::move(taken_back)),
        execute_(std::move(execute)),
        ordered_(std::move(ordered)),
        changed_(std::move(changed)),
        wakeup_(loop, [this] { Look(); }),
        overdue_(loop, [this] { LookForOverdue(); }),
        writer_(std::move(store), settings, [this] { wakeup_.Notify(); }) {}

  void Hand(std::vector<durable::Record> records) {
    const Micros began = loop_.Now();
    writer_.Hand(std::move(records));
    longest_ = std::max(longest_, loop_.Now() - began);
  }
  // Carried out now, or when everything handed over so far is stored.
  void Pass(core::Effect effect) {
    if (Open() || PromisesNothing(effect)) return execute_(effect);
    if (const auto* off = std::get_if<core::CancelHop>(&effect); off != nullptr && TakeBack(*off)) return;
    const bool answer = std::holds_alternative<core::Answer>(effect) ||
                        (!copied_ && std::holds_alternative<core::Settled>(effect));
    const Micros now = loop_.Now();
    Micros due = now + kPatience;
    if (const auto* a = std::get_if<core::Answer>(&effect); a != nullptr && a->by > 0)
      due = std::min(due, copied_ ? a->by : std::max(now, a->by) + kPastDeadline);
    Held held{writer_.handed(), due, std::move(effect), nullptr, answer};
    if (answer && due <= now) return Let(std::move(held), false);
    waiting_.push_back(std::move(held));
    Watch(due - now);
  }
  void WhenStored(Stored then) {
    if (Open()) return then(true);
    waiting_.push_back({writer_.handed(), loop_.Now() + kPatience, core::Drained{}, std::move(then), true});
    Watch(kPatience);
  }
  durable::Writer& writer() { return writer_; }
  const durable::Writer& writer() const { return writer_; }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t unstored() const { return unstored_; }
  Micros longest() const { return longest_; }  // that the loop has waited for the writer at a time
  void End() { writer_.End(std::chrono::milliseconds(2'000)); }
  // What these records are about is another's now: nothing more is stored here, and what was held back is
  // dropped. Those who wait are told that the outcome is not known; hops that had not left never ran.
  void Abandon(const std::function<void(core::Event)>& post) {
    writer_.End(std::chrono::milliseconds(0));
    std::list<Held> held = std::exchange(waiting_, {});
    for (Held& h : held) {
      if (auto* send = std::get_if<core::SendHop>(&h.effect); send != nullptr && !h.then) {
        post(core::HopEnded{send->request, send->hop, core::Result::kConnectFailed, {}});
      } else if (auto* off = std::get_if<core::CancelHop>(&h.effect); off != nullptr && !h.then) {
        execute_(h.effect);
      } else if (!std::holds_alternative<core::StartRound>(h.effect)) {
        Let(std::move(h), false);
      }
    }
  }

 private:
  struct Held {
    std::uint64_t number;  // of the last record that must be stored
    Micros due;            // goes then, stored or not, where it may
    core::Effect effect;
    Stored then;  // instead of the effect
    bool may_go;
  };
  // A refusal or a failure is as true without the records behind it, and its client has no time left: while
  // nothing can be committed it leaves at once.
  bool PromisesNothing(const core::Effect& effect) const {
    const auto* answer = std::get_if<core::Answer>(&effect);
    return copied_ && answer != nullptr && answer->kind != core::AnswerKind::kServed && writer_.failing();
  }
  bool Open() const { return waiting_.empty() && writer_.stored() == writer_.handed(); }
  void Watch(Micros wait) {
    const Micros at = loop_.Now() + wait;
    if (overdue_.running() && look_at_ <= at) return;
    look_at_ = at;
    overdue_.Start(wait);
  }
  // Guards against a hop that leaves when the store is well again, long after it was called off, beside the
  // one that took its place.
  bool TakeBack(const core::CancelHop& off) {
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
      const auto* send = std::get_if<core::SendHop>(&it->effect);
      if (send == nullptr || it->then || send->request != off.request || send->hop != off.hop) continue;
      waiting_.erase(it);
      if (taken_back_) taken_back_(core::HopCancelled{off.request, off.hop, true});
      return true;
    }
    return false;
  }
  void Let(Held held, bool stored) {
    if (!stored) ++unstored_;
    if (held.then) return held.then(stored);
    if (auto* a = std::get_if<core::Answer>(&held.effect); a != nullptr && !stored && copied_) {
      a->kind = core::AnswerKind::kFailed;
      a->result.clear();
    }
    execute_(held.effect);
  }
  void Look() {
    const std::uint64_t stored = writer_.stored();
    while (!waiting_.empty() && waiting_.front().number <= stored) {
      Held next = std::move(waiting_.front());
      waiting_.pop_front();
      Let(std::move(next), true);
    }
    const Micros began = loop_.Now();
    auto orders = writer_.TakeOrders();
    std::string fault = writer_.fault();
    longest_ = std::max(longest_, loop_.Now() - began);
    for (auto& order : orders) ordered_(std::move(order));
    if (fault != fault_) changed_(fault_ = std::move(fault));
  }
  void LookForOverdue() {
    const Micros now = loop_.Now();
    std::vector<Held> out;
    Micros next = -1;  // due among those that stay; a client has 30 ms between that and its own time
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (it->may_go && it->due <= now) {
        out.push_back(std::move(*it));
        it = waiting_.erase(it);
        continue;
      }
      if (it->may_go) next = next < 0 ? it->due : std::min(next, it->due);
      ++it;
    }
    if (next >= 0) Watch(next - now);
    for (auto& held : out) Let(std::move(held), false);
  }

  Loop& loop_;
  const bool copied_;
  const std::function<void(const core::HopCancelled&)> taken_back_;
  Executor execute_;
  std::function<void(durable::Order)> ordered_;
  std::function<void(const std::string&)> changed_;
  Wakeup wakeup_;
  Timer overdue_;
  Micros look_at_ = 0;
  std::list<Held> waiting_;
  std::string fault_;
  std::uint64_t unstored_ = 0;
  Micros longest_ = 0;
  durable::Writer writer_;  // last: its thread ends before what it calls
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_GATE_H_
