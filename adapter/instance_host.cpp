// Routes the records of a frame to the instances and collects their actions in the reply.
#include "adapter/instance_host.h"

#include <exception>
#include <utility>

namespace pebblenotch::wire {

std::span<const std::uint8_t> InstanceHost::Process(std::span<const std::uint8_t> frame) {
  reply_.Clear();
  reply_instance_ = -1;
  FrameReader reader(frame);
  std::uint16_t node = 0;
  bool has_target = false;
  Record record;
  while (reader.Next(record)) {
    if (const auto* target = std::get_if<TargetInstance>(&record)) {
      node = target->node;
      has_target = true;
    } else if (auto* roster = std::get_if<Roster>(&record)) {
      rosters_[roster->slot] = std::move(roster->workers);
    } else if (!has_target) {
      throw WireError("event before any target_instance", kFrameHeaderBytes);
    } else {
      try {
        Apply(node, reader.header().now, record);
      } catch (const std::exception& e) {
        if (reply_instance_ != node) reply_.WriteInstance(node);
        reply_instance_ = node;
        reply_.WriteFailure(e.what());
      }
    }
  }
  return reply_.Finish();
}

void InstanceHost::Apply(std::uint16_t node, Micros now, Record& record) {
  if (const auto* boot = std::get_if<Boot>(&record)) {
    instances_.erase(node);
    InstanceSettings settings = ParseSettings(boot->params);
    Dispatcher dispatcher(settings.settings, boot->seed, now);
    instances_.emplace(node, Instance{std::move(settings), std::move(dispatcher)});
    return;
  }
  const auto it = instances_.find(node);
  if (it == instances_.end()) return;  // events for a stopped instance are ignored
  const auto& fields = it->second.settings.fields;
  if (std::holds_alternative<Stop>(record)) {
    instances_.erase(it);
  } else if (const auto* list = std::get_if<MembershipRef>(&record)) {
    Membership membership{list->kind, {}};
    if (list->kind != ListKind::kFailed) {
      if (list->slot >= rosters_.size()) throw std::runtime_error("membership names a roster out of range");
      membership.workers = rosters_[list->slot];
    }
    Handle(node, now, membership);
  } else if (auto* raw = std::get_if<RawOutcome>(&record)) {
    raw->outcome.report = ToReport(raw->metrics, fields);
    Handle(node, now, raw->outcome);
  } else if (auto* probe = std::get_if<RawProbeResult>(&record)) {
    probe->result.report = ToReport(probe->metrics, fields);
    Handle(node, now, probe->result);
  } else if (const auto* request = std::get_if<Request>(&record)) {
    Handle(node, now, *request);
  } else if (const auto* started = std::get_if<StreamStarted>(&record)) {
    Handle(node, now, *started);
  } else if (const auto* progress = std::get_if<AttemptProgress>(&record)) {
    Handle(node, now, *progress);
  } else if (const auto* timer = std::get_if<TimerDue>(&record)) {
    Handle(node, now, *timer);
  } else if (const auto* gone = std::get_if<ClientGone>(&record)) {
    Handle(node, now, *gone);
  }
}

void InstanceHost::Handle(std::uint16_t node, Micros now, const Event& event) {
  actions_.clear();
  instances_.at(node).dispatcher.handle(now, event, actions_);
  if (actions_.empty()) return;
  if (reply_instance_ != node) reply_.WriteInstance(node);
  reply_instance_ = node;
  for (const Action& action : actions_) reply_.Write(action);
}

}  // namespace pebblenotch::wire
