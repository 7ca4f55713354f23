// Who is asked, and when: probes, helpers, the dead that are tried again, gossip on its way.
#include <algorithm>
#include <cmath>
#include <utility>

#include "src/cluster/membership/membership.h"

namespace heronway::cluster {
namespace {

constexpr std::size_t kMostHelps = 64;
constexpr std::size_t kSpread = 3;       // members that a tick's gossip goes to
constexpr int kRetriesATick = 8;         // of the dead, while a cut heals
constexpr std::size_t kHeadBytes = 170;  // of a message without updates, the texts of its sender left out

}  // namespace

double Membership::Unit() { return random_() * 0x1p-32; }

// Half to one and a half of it.
Micros Membership::Jitter(Micros time) {
  return static_cast<Micros>(static_cast<double>(time) * (0.5 + Unit()));
}

double Membership::Logs() const { return std::max(1.0, std::log10(static_cast<double>(present_))); }

int Membership::MostSends() const {
  return static_cast<int>(std::ceil(4 * std::log10(static_cast<double>(present_) + 1)));
}

void Membership::Health(int by) {
  if (settings_.lifeguard) health_ = std::clamp(health_ + by, 0, kMostHealth);
}

Message Membership::Make(MessageKind kind, std::uint32_t number) const {
  Message m;
  m.kind = kind;
  m.number = number;
  m.from = self_;
  m.digest = digest_;
  return m;
}

// With what there is to tell, and first of all what is held against the receiver, so that it can refute it
// (Lifeguard, section IV-C; here for the dead as well, which is how a healed cut is noticed).
void Membership::Send(const MemberId& to, Place at, Message m) {
  const std::size_t own =
      kHeadBytes + self_.id.name.size() + self_.zone.size() + self_.fronts.size() + m.target.name.size();
  std::size_t room = kMostDatagram - std::min(own, kMostDatagram);
  for (const Update& u : m.updates) room -= std::min(room, Gossip::SizeOf(u));
  const auto add = [&](const Record& record, const std::string& accuser) {
    Update u{record, accuser, 0};
    const std::size_t size = Gossip::SizeOf(u);
    if (size > room) return;
    room -= size;
    m.updates.push_back(std::move(u));
  };
  const auto it = members_.find(to);
  if (it != members_.end() && it->second.record.state != State::kAlive &&
      (settings_.lifeguard || it->second.record.state == State::kDead)) {
    add(it->second.record, self_.id.name);
  } else if (it == members_.end()) {
    // It may be a life that is over here: it learns of the higher one, and takes one above it.
    const View* newest = Find(to.name);
    if (newest != nullptr && newest->record.id.life > to.life && newest->record.at == at)
      add(newest->record, {});
  }
  const std::size_t before = m.updates.size();
  gossip_.Fill(room, MostSends(), to, m.updates);
  for (std::size_t i = before; i < m.updates.size(); ++i) room -= Gossip::SizeOf(m.updates[i]);
  news_.Fill(now_, std::min(room, kMostFacts * News::kFactBytes), MostSends(), m.facts);
  effects_->push_back(SendDatagram{to.name, at, std::move(m)});
}

// ---- probes

void Membership::ProbeNext() {
  while (!soon_.empty()) {
    const auto it = members_.find(soon_.front());
    soon_.pop_front();
    if (it != members_.end() && it->second.record.state <= State::kSuspect) return StartProbe(it->second);
  }
  if (ring_.empty()) return;
  if (next_ >= ring_.size()) {
    for (std::size_t i = ring_.size() - 1; i > 0; --i)
      std::swap(ring_[i], ring_[Below(static_cast<std::uint32_t>(i) + 1)]);
    next_ = 0;
  }
  StartProbe(*ring_[next_++]);
}

void Membership::StartProbe(Entry& target) {
  const MemberId id = target.record.id;
  if (std::any_of(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.target == id; })) return;
  ++counters_.probes;
  const std::uint32_t number = ++last_number_;
  probes_.push_back(
      Probe{number, id, now_, now_ + Scaled(2 * TickTime()), now_ + Scaled(settings_.period), false, 0, 0});
  Message ping = Make(MessageKind::kPing, number);
  ping.target = id;
  Send(id, target.record.at, std::move(ping));
}

void Membership::LookAtProbes() {
  std::vector<Probe> failed;
  for (Probe& p : probes_) {
    if (!p.indirect && now_ >= p.indirect_at) {
      p.indirect = true;
      const auto target = members_.find(p.target);
      if (target == members_.end()) continue;
      for (Entry* helper : Pick(kHelpers, &p.target)) {
        ++p.asked;
        ++counters_.indirect;
        Message ask = Make(MessageKind::kPingReq, p.number);
        ask.target = p.target;
        ask.target_at = target->second.record.at;
        Send(helper->record.id, helper->record.at, std::move(ask));
      }
    }
    if (now_ >= p.ends) failed.push_back(p);
  }
  std::erase_if(probes_, [this](const Probe& p) { return now_ >= p.ends; });
  for (const Probe& p : failed) {
    ++counters_.probes_failed;
    // Helpers that answered nothing either speak against this member's own state, not the target's. One step
    // a probe, however many were silent: after a mass death most helpers are dead, and the living must not
    // slow down for it.
    if (p.asked == 0 || p.nacks < p.asked) Health(1);
    const auto it = members_.find(p.target);
    if (it != members_.end() && it->second.record.state <= State::kSuspect && leave_ends_ < 0)
      Suspect(it->second, self_.id.name);
  }
}

void Membership::OnPing(const Message& m) {
  CompareView(m);
  // A process that took the place of the one that is meant must not answer for it.
  if (!m.target.name.empty() && m.target != self_.id)
    return Send(m.from.id, m.from.at, Make(MessageKind::kGossip));
  Send(m.from.id, m.from.at, Make(MessageKind::kAck, m.number));
}

void Membership::OnPingReq(const Message& m) {
  if (m.target.name.empty() || helps_.size() >= kMostHelps) return;
  const std::uint32_t number = ++last_number_;
  helps_.push_back(
      Help{number, m.number, m.from.id.name, m.from.at, now_ + TickTime(), now_ + settings_.period, false});
  Message ping = Make(MessageKind::kPing, number);
  ping.target = m.target;
  Send(m.target, m.target_at, std::move(ping));
}

void Membership::OnAck(const Message& m) {
  CompareView(m);
  const auto probe =
      std::find_if(probes_.begin(), probes_.end(), [&](const Probe& p) { return p.number == m.number; });
  if (probe != probes_.end()) {
    const auto it = members_.find(m.from.id);
    if (probe->target == m.from.id) {
      if (it != members_.end()) it->second.round_trip = now_ - probe->sent;
      Health(-1);
    }
    probes_.erase(probe);
    return;
  }
  const auto help =
      std::find_if(helps_.begin(), helps_.end(), [&](const Help& h) { return h.number == m.number; });
  if (help == helps_.end()) return;
  const Help done = *help;
  helps_.erase(help);
  const View* asker = Find(done.name);
  Message ack = Make(MessageKind::kAck, done.for_number);
  ack.updates.push_back(Update{m.from, {}, 0});
  Send(asker != nullptr ? asker->record.id : MemberId{done.name, 0}, done.to, std::move(ack));
}

void Membership::OnNack(const Message& m) {
  for (Probe& p : probes_) {
    if (p.number == m.number && p.nacks < p.asked) ++p.nacks;
  }
}

void Membership::LookAtHelps() {
  for (Help& h : helps_) {
    if (h.nacked || now_ < h.nack_at || !settings_.lifeguard) continue;
    h.nacked = true;
    const View* asker = Find(h.name);
    Send(asker != nullptr ? asker->record.id : MemberId{h.name, 0}, h.to,
         Make(MessageKind::kNack, h.for_number));
  }
  std::erase_if(helps_, [this](const Help& h) { return now_ >= h.ends; });
}

// The dead are tried again, so that a healed cut needs no operator: one every few periods, and more at once
// while such tries succeed.
void Membership::LookAtDead() {
  if (dead_.empty() || leave_ends_ >= 0) {
    retries_ = 0;
    return;
  }
  int tries = std::min(retries_, kRetriesATick);
  retries_ -= tries;
  if (now_ >= next_retry_) {
    next_retry_ = now_ + Jitter(4 * settings_.period);
    ++tries;
  }
  for (; tries > 0; --tries) {
    const Entry& dead = *dead_[Below(static_cast<std::uint32_t>(dead_.size()))];
    Message ping = Make(MessageKind::kPing, ++last_number_);
    ping.target = dead.record.id;
    Send(dead.record.id, dead.record.at, std::move(ping));
  }
}

void Membership::SpreadGossip() {
  if (gossip_.empty() && !news_.waiting()) return;
  for (Entry* to : Pick(kSpread, nullptr)) Send(to->record.id, to->record.at, Make(MessageKind::kGossip));
}

// What this member missed meanwhile speaks against itself: probes under way are void, suspicions are given
// the time again, and it accuses slowly until its probes succeed.
void Membership::Stalled(Micros gap) {
  next_tick_ = now_;
  if (!settings_.lifeguard) return;
  ++counters_.stalls;
  probes_.clear();
  helps_.clear();
  for (const MemberId& id : suspects_) members_.at(id).suspect_since += gap;
  next_probe_ = now_ + settings_.period;
  Health(2);
}

// Living members, each at most once.
std::vector<Membership::Entry*> Membership::Pick(std::size_t count, const MemberId* except) {
  std::vector<Entry*> picked;
  // Enough draws to find them in a fleet of which half is suspected; a small one is looked through.
  for (std::size_t n = 0; n < 8 * count + 8 && picked.size() < count && !ring_.empty(); ++n) {
    Entry* e = ring_[Below(static_cast<std::uint32_t>(ring_.size()))];
    if (e->record.state != State::kAlive || (except != nullptr && e->record.id == *except)) continue;
    if (std::find(picked.begin(), picked.end(), e) == picked.end()) picked.push_back(e);
  }
  return picked;
}

}  // namespace heronway::cluster
