// Hosts the instances of one process: takes a batch of events, gives back the reply.
#ifndef PEBBLENOTCH_ADAPTER_DRILL_H_
#define PEBBLENOTCH_ADAPTER_DRILL_H_

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "adapter/codec.h"
#include "adapter/settings.h"
#include "pebblenotch/brain.h"

namespace pebblenotch::wire {

class Drill {
 public:
  // Answers one whole frame. Throws WireError where the frame is malformed. What fails inside an instance
  // (its settings, the module) is told in the reply.
  std::span<const std::uint8_t> Answer(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    InstanceSettings settings;
    Dispatcher dispatcher;
  };
  void Feed(std::uint16_t node, Micros now, Record& record);
  void Handle(std::uint16_t node, Micros now, const Event& event);

  std::map<std::uint16_t, Instance> instances_;
  std::array<std::vector<WorkerEntry>, 16> rosters_;
  std::vector<Action> actions_;
  ReplyWriter reply_;
  int replying_for_ = -1;  // the instance that the reply's last `at` named
};

}  // namespace pebblenotch::wire

#endif  // PEBBLENOTCH_ADAPTER_DRILL_H_
