// Runs a reducer on the loop: feeds it events with the clock, has its effects carried out, wakes it.
#ifndef HERONWAY_NET_DRIVER_H_
#define HERONWAY_NET_DRIVER_H_

#include <deque>
#include <utility>
#include <vector>

#include "src/core/reducer.h"
#include "src/net/loop.h"

namespace heronway::net {

class Driver {
 public:
  // Carries out every effect but the timers. May post further events.
  using Executor = std::function<void(core::Effect&)>;

  Driver(Loop& loop, const pebblenotch::Settings& settings, std::uint64_t seed, Micros take_limit,
         const limits::Settings& limits, Executor execute)
      : loop_(loop),
        reducer_(settings, seed, loop.Now(), take_limit, limits),
        execute_(std::move(execute)),
        wake_(loop, [this] { Post(core::Wake{}); }) {}

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
        } else {
          execute_(effect);
        }
      }
    }
    running_ = false;
  }
  const core::Reducer& reducer() const { return reducer_; }

 private:
  Loop& loop_;
  core::Reducer reducer_;
  Executor execute_;
  Timer wake_;
  std::deque<core::Event> waiting_;
  bool running_ = false;
};

}  // namespace heronway::net

#endif  // HERONWAY_NET_DRIVER_H_
