// Runs a reducer on the loop: feeds it events with the clock, has its effects carried out, wakes it.
#ifndef HERONWAY_NET_DRIVER_H_
#define HERONWAY_NET_DRIVER_H_

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/core/reducer.h"
#include "src/durable/open.h"
#include "src/log/log.h"
#include "src/net/gate.h"
#include "src/net/loop.h"

namespace heronway::net {

class Driver {
 public:
  // Carries out every effect but the timers. May post further events.
  using Executor = std::function<void(core::Effect&)>;

  // `durable`: what is stored, and where; nothing where durable jobs are off. The owner posts StoreRead
  // first, then. `name`: for the log.
  Driver(Loop& loop, const pebblenotch::Settings& settings, std::uint64_t seed, Micros take_limit,
         const limits::Settings& limits, Executor execute, durable::Opened durable = {},
         std::string_view name = {})
      : loop_(loop),
        reducer_(settings, seed, loop.Now(), take_limit, limits, std::move(durable.keeper)),
        execute_(std::move(execute)),
        wake_(loop, [this] { Post(core::Wake{}); }) {
    if (durable.store == nullptr) return;
    const durable::JobBook& book = reducer_.keeper()->book();
    log::Event(log::Level::kInfo, "store",
               {{"front", name, true},
                {"state", "read"},
                {"open", book.open()},
                {"held", book.Count(durable::JobBook::Place::kHeld)},
                {"pages_recovered", durable.recovered},
                {"bytes_dropped", durable.dropped}});
    gate_ = std::make_unique<Gate>(
        loop, std::move(durable.store), durable::Writer::Settings{}, execute_,
        [this](durable::Order order) { Post(core::OrderCame{std::move(order)}); },
        [name = std::string(name)](const std::string& fault) {
          if (fault.empty())
            return log::Event(log::Level::kInfo, "store",
                              {{"front", name, true}, {"state", "written again"}});
          log::Event(log::Level::kError, "store", {{"front", name, true}, {"fault", fault}});
        },
        durable.copied, [this](const core::HopCalledOff& off) { Post(core::HopCalledOff(off)); });
  }
  ~Driver() { gate_.reset(); }

  // An event that an effect brings about waits until the effects before it have been carried out.
  void Post(core::Event event) {
    waiting_.push_back(std::move(event));
    if (std::exchange(running_, true)) return;
    while (!waiting_.empty()) {
      core::Event next = std::move(waiting_.front());
      waiting_.pop_front();
      std::vector<core::Effect> effects;
      reducer_.Reduce(loop_.Now(), std::move(next), effects);
      for (core::Effect& effect : effects) {
        if (const auto* at = std::get_if<core::WakeAt>(&effect)) {
          wake_.Start(at->at - loop_.Now());
        } else if (auto* persist = std::get_if<core::Persist>(&effect)) {
          gate_->Hand(std::move(persist->records));
        } else if (gate_ != nullptr && RestsOnRecords(effect)) {
          gate_->Pass(std::move(effect));
        } else {
          execute_(effect);
        }
      }
    }
    running_ = false;
  }
  const core::Reducer& reducer() const { return reducer_; }
  Gate* gate() { return gate_.get(); }  // null where nothing is durable
  const Gate* gate() const { return gate_.get(); }
  // At once where nothing is durable.
  void WhenStored(Gate::Stored then) { gate_ != nullptr ? gate_->WhenStored(std::move(then)) : then(true); }
  // The store can take nothing now: new durable jobs are refused.
  bool StoreFull() const {
    return gate_ != nullptr &&
           (gate_->writer().full() || gate_->writer().failing() || !reducer_.keeper()->MayTake());
  }

 private:
  static bool RestsOnRecords(const core::Effect& effect) {
    if (const auto* send = std::get_if<core::SendHop>(&effect)) return send->durable;
    if (const auto* off = std::get_if<core::CallOffHop>(&effect)) return off->durable;
    if (const auto* answer = std::get_if<core::Answer>(&effect)) return answer->durable;
    // A round's beginning comes behind the end of the one before.
    return std::holds_alternative<core::Settled>(effect) || std::holds_alternative<core::Resume>(effect);
  }
  Loop& loop_;
  core::Reducer reducer_;
  Executor execute_;
  Timer wake_;
  std::deque<core::Event> waiting_;
  bool running_ = false;
  std::unique_ptr<Gate> gate_;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_DRIVER_H_
