// Runs the Dispatcher instances of one process: takes a frame of events and returns the reply frame.
#ifndef PEBBLENOTCH_ADAPTER_INSTANCE_HOST_H_
#define PEBBLENOTCH_ADAPTER_INSTANCE_HOST_H_

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "adapter/codec.h"
#include "adapter/settings.h"
#include "pebblenotch/brain.h"

namespace pebblenotch::wire {

class InstanceHost {
 public:
  // Processes one complete frame and returns the reply, which stays valid until the next call. Throws
  // WireError if the frame is malformed. Failures inside an instance (its settings, the module) are reported
  // in the reply.
  std::span<const std::uint8_t> Process(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    InstanceSettings settings;
    Dispatcher dispatcher;
  };
  void Apply(std::uint16_t node, Micros now, Record& record);
  void Handle(std::uint16_t node, Micros now, const Event& event);

  std::map<std::uint16_t, Instance> instances_;
  std::array<std::vector<WorkerEntry>, 16> rosters_;
  std::vector<Action> actions_;
  ReplyWriter reply_;
  int reply_instance_ = -1;  // the instance that the reply's last `at` record names; -1: none
};

}  // namespace pebblenotch::wire

#endif  // PEBBLENOTCH_ADAPTER_INSTANCE_HOST_H_
