// Scheduling of messages: probes, indirect probes, retries of dead members, and gossip.
#include <algorithm>
#include <cmath>
#include <utility>

#include "src/cluster/membership/membership.h"

namespace heronway::cluster {
namespace {

constexpr std::size_t kMaxRelayedPings = 64;
constexpr std::size_t kGossipFanout = 3;  // members that receive gossip per tick
constexpr int kMaxRetriesPerTick = 8;     // pings to dead members while a partition heals
// Of an encoded message without updates and without the sender's strings.
constexpr std::size_t kMaxMessageOverheadBytes = 170;

}  // namespace

double Membership::RandomUnit() { return random_() * 0x1p-32; }

// Returns a random time between half and one and a half of `time`.
Micros Membership::Jitter(Micros time) {
  return static_cast<Micros>(static_cast<double>(time) * (0.5 + RandomUnit()));
}

double Membership::LogFleetSize() const { return std::max(1.0, std::log10(static_cast<double>(present_))); }

int Membership::MaxSends() const {
  return static_cast<int>(std::ceil(4 * std::log10(static_cast<double>(present_) + 1)));
}

void Membership::AdjustHealth(int by) {
  if (settings_.lifeguard) local_health_ = std::clamp(local_health_ + by, 0, kMaxLocalHealth);
}

Message Membership::MakeMessage(MessageKind kind, std::uint32_t number) const {
  Message m;
  m.kind = kind;
  m.number = number;
  m.from = self_;
  m.digest = digest_;
  return m;
}

// Sends a message with piggybacked gossip. A suspicion of the receiver goes first, so that it can refute it
// (Lifeguard, section IV-C). Here a verdict does as well, which lets the fleet notice a healed partition.
void Membership::Send(const MemberId& to, Endpoint at, Message m) {
  const std::size_t own = kMaxMessageOverheadBytes + self_.id.name.size() + self_.zone.size() +
                          self_.fronts.size() + m.target.name.size();
  std::size_t free_bytes = kMaxDatagramBytes - std::min(own, kMaxDatagramBytes);
  for (const Update& u : m.updates) free_bytes -= std::min(free_bytes, Gossip::SizeOf(u));
  const auto add = [&](const MemberRecord& record, const std::string& suspected_by) {
    Update u{record, suspected_by, 0};
    const std::size_t size = Gossip::SizeOf(u);
    if (size > free_bytes) return;
    free_bytes -= size;
    m.updates.push_back(std::move(u));
  };
  const auto it = members_.find(to);
  if (it != members_.end() && it->second.record.state != MemberState::kAlive &&
      (settings_.lifeguard || it->second.record.state == MemberState::kDead)) {
    add(it->second.record, self_.id.name);
  } else if (it == members_.end()) {
    // The receiver may have a boot id that counts as ended here: it learns the higher one and adopts one
    // above.
    const MemberView* newest = Find(to.name);
    if (newest != nullptr && newest->record.id.boot_id > to.boot_id && newest->record.endpoint == at)
      add(newest->record, {});
  }
  const std::size_t before = m.updates.size();
  gossip_.Fill(free_bytes, MaxSends(), to, m.updates);
  for (std::size_t i = before; i < m.updates.size(); ++i) free_bytes -= Gossip::SizeOf(m.updates[i]);
  target_gossip_.Fill(now_, std::min(free_bytes, kMaxFacts * TargetGossip::kMaxFactBytes), MaxSends(),
                      m.facts);
  effects_->push_back(SendDatagram{to.name, at, std::move(m)});
}

void Membership::ProbeNext() {
  while (!priority_probes_.empty()) {
    const auto it = members_.find(priority_probes_.front());
    priority_probes_.pop_front();
    if (it != members_.end() && it->second.record.state <= MemberState::kSuspect)
      return StartProbe(it->second);
  }
  if (ring_.empty()) return;
  if (ring_index_ >= ring_.size()) {
    for (std::size_t i = ring_.size() - 1; i > 0; --i)
      std::swap(ring_[i], ring_[RandomBelow(static_cast<std::uint32_t>(i) + 1)]);
    ring_index_ = 0;
  }
  StartProbe(*ring_[ring_index_++]);
}

void Membership::StartProbe(Entry& target) {
  const MemberId id = target.record.id;
  if (std::any_of(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.target == id; })) return;
  ++counters_.probes;
  const std::uint32_t number = ++last_number_;
  probes_.push_back(Probe{number, id, now_, now_ + ScaleByHealth(2 * TickInterval()),
                          now_ + ScaleByHealth(settings_.probe_period), false, 0, 0});
  Message ping = MakeMessage(MessageKind::kPing, number);
  ping.target = id;
  Send(id, target.record.endpoint, std::move(ping));
}

void Membership::CheckProbes() {
  std::vector<Probe> failed;
  for (Probe& p : probes_) {
    if (!p.indirect && now_ >= p.indirect_at) {
      p.indirect = true;
      const auto target = members_.find(p.target);
      if (target == members_.end()) continue;
      for (Entry* relay : PickAlive(kIndirectProbers, &p.target)) {
        ++p.requested;
        ++counters_.indirect;
        Message ask = MakeMessage(MessageKind::kPingReq, p.number);
        ask.target = p.target;
        ask.target_endpoint = target->second.record.endpoint;
        Send(relay->record.id, relay->record.endpoint, std::move(ask));
      }
    }
    if (now_ >= p.deadline) failed.push_back(p);
  }
  std::erase_if(probes_, [this](const Probe& p) { return now_ >= p.deadline; });
  for (const Probe& p : failed) {
    ++counters_.probes_failed;
    // Missing nacks indicate a problem of this member rather than of the target. One step per probe, however
    // many are missing: after a mass failure most relaying members are dead, and the survivors must not slow
    // down because of that.
    if (p.requested == 0 || p.nacks < p.requested) AdjustHealth(1);
    const auto it = members_.find(p.target);
    if (it != members_.end() && it->second.record.state <= MemberState::kSuspect && leave_at_ < 0)
      Suspect(it->second, self_.id.name);
  }
}

void Membership::OnPing(const Message& m) {
  CompareDigest(m);
  // A process that replaced the intended one must not answer for it.
  if (!m.target.name.empty() && m.target != self_.id)
    return Send(m.from.id, m.from.endpoint, MakeMessage(MessageKind::kGossip));
  Send(m.from.id, m.from.endpoint, MakeMessage(MessageKind::kAck, m.number));
}

void Membership::OnPingReq(const Message& m) {
  if (m.target.name.empty() || relayed_pings_.size() >= kMaxRelayedPings) return;
  const std::uint32_t number = ++last_number_;
  relayed_pings_.push_back(RelayedPing{number, m.number, m.from.id.name, m.from.endpoint,
                                       now_ + TickInterval(), now_ + settings_.probe_period, false});
  Message ping = MakeMessage(MessageKind::kPing, number);
  ping.target = m.target;
  Send(m.target, m.target_endpoint, std::move(ping));
}

void Membership::OnAck(const Message& m) {
  CompareDigest(m);
  const auto probe =
      std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.number == m.number; });
  if (probe != probes_.end()) {
    const auto it = members_.find(m.from.id);
    if (probe->target == m.from.id) {
      if (it != members_.end()) it->second.round_trip = now_ - probe->sent;
      AdjustHealth(-1);
    }
    probes_.erase(probe);
    return;
  }
  const auto help = std::find_if(relayed_pings_.begin(), relayed_pings_.end(),
                                 [&](const RelayedPing& h) { return h.number == m.number; });
  if (help == relayed_pings_.end()) return;
  const RelayedPing relayed = *help;
  relayed_pings_.erase(help);
  const MemberView* requester = Find(relayed.name);
  Message ack = MakeMessage(MessageKind::kAck, relayed.for_number);
  ack.updates.push_back(Update{m.from, {}, 0});
  Send(requester != nullptr ? requester->record.id : MemberId{relayed.name, 0}, relayed.to, std::move(ack));
}

void Membership::OnNack(const Message& m) {
  for (Probe& p : probes_) {
    if (p.number == m.number && p.nacks < p.requested) ++p.nacks;
  }
}

void Membership::CheckRelayedPings() {
  for (RelayedPing& h : relayed_pings_) {
    if (h.nacked || now_ < h.nack_at || !settings_.lifeguard) continue;
    h.nacked = true;
    const MemberView* requester = Find(h.name);
    Send(requester != nullptr ? requester->record.id : MemberId{h.name, 0}, h.to,
         MakeMessage(MessageKind::kNack, h.for_number));
  }
  std::erase_if(relayed_pings_, [this](const RelayedPing& h) { return now_ >= h.deadline; });
}

// Pings dead members again, so that a healed partition needs no operator: one every few periods, and more at
// once while such pings succeed.
void Membership::RetryDead() {
  if (dead_.empty() || leave_at_ >= 0) {
    retries_ = 0;
    return;
  }
  int attempts = std::min(retries_, kMaxRetriesPerTick);
  retries_ -= attempts;
  if (now_ >= next_retry_) {
    next_retry_ = now_ + Jitter(4 * settings_.probe_period);
    ++attempts;
  }
  for (; attempts > 0; --attempts) {
    const Entry& dead = *dead_[RandomBelow(static_cast<std::uint32_t>(dead_.size()))];
    Message ping = MakeMessage(MessageKind::kPing, ++last_number_);
    ping.target = dead.record.id;
    Send(dead.record.id, dead.record.endpoint, std::move(ping));
  }
}

void Membership::SendGossip() {
  if (gossip_.empty() && !target_gossip_.has_queued()) return;
  for (Entry* to : PickAlive(kGossipFanout, nullptr))
    Send(to->record.id, to->record.endpoint, MakeMessage(MessageKind::kGossip));
}

// The member may have missed messages during the stall, so it cancels probes in flight, extends suspicions by
// the gap, and suspects more slowly until its probes succeed.
void Membership::HandleStall(Micros gap) {
  next_tick_ = now_;
  if (!settings_.lifeguard) return;
  ++counters_.stalls;
  probes_.clear();
  relayed_pings_.clear();
  for (const MemberId& id : suspects_) members_.at(id).suspect_since += gap;
  next_probe_ = now_ + settings_.probe_period;
  AdjustHealth(2);
}

// Picks up to `count` distinct members at random that are alive and not suspected.
std::vector<Membership::Entry*> Membership::PickAlive(std::size_t count, const MemberId* except) {
  std::vector<Entry*> picked;
  // Enough draws to find them in a fleet of which half is suspected; in a small fleet, to see every member.
  for (std::size_t n = 0; n < 8 * count + 8 && picked.size() < count && !ring_.empty(); ++n) {
    Entry* e = ring_[RandomBelow(static_cast<std::uint32_t>(ring_.size()))];
    if (e->record.state != MemberState::kAlive || (except != nullptr && e->record.id == *except)) continue;
    if (std::find(picked.begin(), picked.end(), e) == picked.end()) picked.push_back(e);
  }
  return picked;
}

}  // namespace heronway::cluster
