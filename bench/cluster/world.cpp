#include "bench/cluster/world.h"

#include <algorithm>
#include <utility>

#include "src/cluster/net/codec.h"

namespace heronway::cluster {
namespace {

// Set in the handles of accepted links.
constexpr std::uint64_t kAcceptedLink = std::uint64_t{1} << 63;
constexpr std::uint16_t kPort = 7946;

}  // namespace

World::World(const Options& options) : options_(options), random_(options.seed) {
  for (int i = 0; i < options.members; ++i) {
    Node& n = nodes_.emplace_back();
    n.self.id.name = "s" + std::to_string(i);
    n.self.endpoint = Endpoint{0x0a000000U + static_cast<std::uint32_t>(i) + 1, kPort};
    n.self.zone = "z" + std::to_string(i % 3);
    n.self.fronts = "http=10.0.0." + std::to_string(i % 256) + ":8080";
  }
}

int World::FindNode(Endpoint at) const {
  const auto i = at.ip - 0x0a000001U;
  return i < nodes_.size() ? static_cast<int>(i) : -1;
}

Micros World::Delay() {
  return options_.min_delay +
         static_cast<Micros>(RandomUnit() * static_cast<double>(options_.max_delay - options_.min_delay));
}

void World::Start(int i, std::vector<int> join) {
  Node& n = nodes_[Index(i)];
  n.up = true;
  ++n.run;
  n.paused_until = 0;
  n.self.id.boot_id = static_cast<BootId>(now_ + n.clock_offset);
  Settings settings;
  settings.probe_period = options_.probe_period;
  settings.forget_after = options_.forget_after;
  settings.lifeguard = options_.lifeguard;
  for (const int j : join) {
    settings.join.push_back(nodes_[Index(j)].self.endpoint);
    if (options_.join_port != 0) settings.join.back().port = options_.join_port;
  }
  n.core = std::make_unique<Membership>(settings, n.self, (std::uint64_t{random_()} << 32) | random_(), now_);
  Schedule(0, i, Tick{});
}

void World::Kill(int i) {
  nodes_[Index(i)].up = false;
  nodes_[Index(i)].core.reset();
}

void World::Post(int i, Event event) {
  Node& n = nodes_[Index(i)];
  if (!n.up) return;
  std::vector<Effect> effects;
  n.core->Handle(now_, std::move(event), effects);
  for (Effect& e : effects) Execute(i, e);
}

void World::Schedule(Micros after, int i, Event event) {
  scheduled_.push(ScheduledEvent{now_ + after, serial_++, i, nodes_[Index(i)].run,
                                 std::make_shared<Event>(std::move(event))});
}

void World::RunUntil(Micros until, const std::function<bool()>& done) {
  while (!scheduled_.empty() && scheduled_.top().at <= until) {
    ScheduledEvent d = scheduled_.top();
    scheduled_.pop();
    now_ = std::max(now_, d.at);
    Node& n = nodes_[Index(d.node)];
    if (!n.up || d.run != n.run) continue;
    if (n.paused_until > now_) {  // delivered in order once the member resumes
      d.at = n.paused_until;
      scheduled_.push(std::move(d));
      continue;
    }
    const bool tick = std::holds_alternative<Tick>(*d.event);
    if (tick && n.due >= 0 && n.due > now_) continue;  // replaced by a later WakeAt
    Post(d.node, std::move(*d.event));
    if (done && done()) return;
  }
  now_ = std::max(now_, until);
}

void World::Execute(int i, Effect& effect) {
  Node& n = nodes_[Index(i)];
  if (auto* wake = std::get_if<WakeAt>(&effect)) {
    n.due = wake->at;
    Schedule(std::max<Micros>(0, wake->at - now_), i, Tick{});
  } else if (auto* send = std::get_if<SendDatagram>(&effect)) {
    const int to = FindNode(send->to);
    ++n.datagrams;
    if (options_.count_bytes) n.bytes += Encode("fleet", send->message).size();
    if (to < 0 || !nodes_[Index(to)].up || !link(i, to) || !intercept(i, to, send->message)) return;
    if (options_.loss_rate > 0 && RandomUnit() < options_.loss_rate) return;
    if (options_.duplicate_rate > 0 && RandomUnit() < options_.duplicate_rate)
      Schedule(20 * Delay(), to, Received{send->message});
    Schedule(Delay(), to, Received{std::move(send->message)});
  } else if (auto* start = std::get_if<StartExchange>(&effect)) {
    const int to = FindNode(start->to);
    if (to < 0 || !nodes_[Index(to)].up || !link(i, to) || !link(to, i))
      return Schedule(options_.probe_period, i, ExchangeClosed{start->link});
    links_.push_back(Link{i, to, start->link, ++last_link_ | kAcceptedLink, n.run, nodes_[Index(to)].run});
    Schedule(2 * Delay(), i, ExchangeConnected{start->link});
  } else if (std::holds_alternative<SendExchange>(effect) || std::holds_alternative<CloseExchange>(effect)) {
    auto* message = std::get_if<SendExchange>(&effect);
    const std::uint64_t handle = message != nullptr ? message->link : std::get<CloseExchange>(effect).link;
    const auto it = std::find_if(links_.begin(), links_.end(), [&](const Link& l) {
      return (l.from == i && l.from_link == handle) || (l.to == i && l.to_link == handle);
    });
    if (it == links_.end()) return;
    const bool began = it->from == i && it->from_link == handle;
    const Link l = *it;
    const int to = began ? l.to : l.from;
    const std::uint64_t their = began ? l.to_link : l.from_link;
    if (message != nullptr) {
      if (options_.count_bytes) n.exchange_bytes += Encode("fleet", message->message).size();
      if (nodes_[Index(to)].up && nodes_[Index(to)].run == (began ? l.to_run : l.from_run) && link(i, to))
        return Schedule(Delay(), to, ExchangeReceived{their, std::move(message->message)});
      Schedule(options_.probe_period, i, ExchangeClosed{handle});  // the host closes it after a timeout
      links_.erase(it);
    } else {
      Schedule(Delay(), to, ExchangeClosed{their});
      Schedule(0, i, ExchangeClosed{handle});
      links_.erase(it);
    }
  } else if (auto* change = std::get_if<MemberChanged>(&effect)) {
    on_member_changed(i, *change);
  } else if (auto* stand = std::get_if<QuorumStateChanged>(&effect)) {
    on_quorum_state_changed(i, *stand);
  } else if (auto* advice = std::get_if<AdviceGiven>(&effect)) {
    on_advice(i, advice->advice);
  } else if (auto* two = std::get_if<DuplicateName>(&effect)) {
    on_duplicate_name(i, *two);
  }
}

MemberState World::StateInView(int from, int of) const {
  const MemberView* view = nodes_[Index(from)].core->Find(nodes_[Index(of)].self.id.name);
  return view == nullptr ? MemberState::kLeft : view->record.state;
}

bool World::IsPresentInView(int from, int of) const {
  const MemberState state = StateInView(from, of);
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

bool World::ViewsEqual() const {
  const Node* first = nullptr;
  for (const Node& n : nodes_) {
    if (!n.up) continue;
    if (first == nullptr) first = &n;
    if (n.core->digest() != first->core->digest()) return false;
  }
  return true;
}

}  // namespace heronway::cluster
