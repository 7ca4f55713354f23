// Merging of received records, suspicions, handling of this member's own name, and exchanges of views.
#include "src/cluster/membership/membership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace heronway::cluster {
namespace {

// A present member's part of the view digest. State and labels are not included, so that views do not differ
// because of a suspicion that is refuted in time.
std::uint64_t HashOf(const MemberRecord& r) {
  const std::uint64_t numbers[] = {r.id.boot_id, r.incarnation};
  const std::uint64_t of_name = XXH3_64bits(r.id.name.data(), r.id.name.size());
  return XXH3_64bits_withSeed(numbers, sizeof numbers, of_name) | 1;
}

bool IsPresent(MemberState state) { return state == MemberState::kAlive || state == MemberState::kSuspect; }

constexpr Micros kSecond = 1'000'000;
constexpr Micros kMaxJoinBackoff = 5 * kSecond;
constexpr Micros kExchangeInterval = 30 * kSecond;
constexpr Micros kRejoinInterval = 10 * kSecond;  // for `join` addresses that no present member has

}  // namespace

Membership::Membership(const Settings& settings, MemberRecord self, std::uint64_t seed, Micros now)
    : settings_(settings),
      self_(std::move(self)),
      random_(seed),
      now_(now),
      started_(now),
      target_gossip_(self_.id.name, seed + 1),
      last_number_(static_cast<std::uint32_t>(random_())),
      join_backoff_(settings.probe_period),
      quorum_filter_(2 * settings.probe_period, 4 * settings.probe_period) {
  self_.state = MemberState::kAlive;
  self_.incarnation = 0;
  self_.id.boot_id = std::clamp<BootId>(self_.id.boot_id, 1, kMaxBootId / 2);
  own_hash_ = digest_ = HashOf(self_);
  next_tick_ = now;
  next_probe_ = now + Jitter(settings_.probe_period);
  next_retry_ = now + Jitter(4 * settings_.probe_period);
  next_exchange_ = now + Jitter(kExchangeInterval);
  next_join_ = now;
  next_name_check_ = now + kSecond;
}

void Membership::Handle(Micros now, Event event, std::vector<Effect>& effects) {
  now_ = std::max(now_, now);
  if (left_) {  // the host closes connections that are still open
    if (const auto* got = std::get_if<ExchangeReceived>(&event)) effects.push_back(CloseExchange{got->link});
    if (const auto* up = std::get_if<ExchangeConnected>(&event)) effects.push_back(CloseExchange{up->link});
    return;
  }
  effects_ = &effects;
  // After a stall (stopped, swapped out, starved of CPU) the member must not suspect others because of
  // messages that it missed itself.
  if (const Micros gap = now_ - next_tick_; gap > settings_.probe_period) HandleStall(gap);
  std::visit([this](auto& e) { On(e); }, event);
  effects_ = nullptr;
}

void Membership::On(Tick&) {
  if (now_ < next_tick_) return effects_->push_back(WakeAt{next_tick_});
  next_tick_ = now_ + TickInterval();
  effects_->push_back(WakeAt{next_tick_});
  if (leave_at_ >= 0 && now_ >= leave_at_) {
    left_ = true;
    return effects_->push_back(LeaveCompleted{});
  }
  CheckProbes();
  CheckRelayedPings();
  ExpireSuspicions();
  if (now_ >= next_probe_ && leave_at_ < 0) {
    next_probe_ = now_ + ScaleByHealth(settings_.probe_period);
    ProbeNext();
  }
  RetryDead();
  StartDueExchanges();
  CheckNames();
  SendGossip();
  UpdateQuorumState();
}

void Membership::On(Received& e) {
  if (e.message.from.id == self_.id) return;
  RecordSender(e.message.from);
  for (const Update& u : e.message.updates) ApplyUpdate(u, Source::kGossip);
  HandleFacts(e.message.facts, static_cast<int>(present_));
  switch (e.message.kind) {
    case MessageKind::kPing:
      return OnPing(e.message);
    case MessageKind::kPingReq:
      return OnPingReq(e.message);
    case MessageKind::kAck:
      return OnAck(e.message);
    case MessageKind::kNack:
      return OnNack(e.message);
    default:
      return;
  }
}

// `schedulers`: the number that share the probes after one observer's report.
void Membership::HandleFacts(const std::vector<Fact>& facts, int schedulers) {
  std::vector<TargetAdvice> advice;
  for (const Fact& f : facts) target_gossip_.HandleFact(now_, f, schedulers, advice);
  counters_.facts += facts.size();
  counters_.advice += advice.size();
  for (const TargetAdvice& a : advice) effects_->push_back(AdviceGiven{a});
}

void Membership::On(TargetObservation& e) {
  if (e.healthy) return target_gossip_.RecordHealthy(now_, e.target);
  if (e.kind == FactKind::kLoad) return target_gossip_.RecordLoad(now_, e.target, e.waiting, e.free);
  target_gossip_.RecordEvent(now_, e.kind, e.target, e.since);
}

void Membership::On(Leave&) {
  if (leave_at_ >= 0) return;
  self_.state = MemberState::kLeft;
  leave_at_ = now_ + 2 * settings_.probe_period;
  QueueSelf();
  SendGossip();
}

void Membership::RecordSender(const MemberRecord& from) {
  if (from.id.name.empty() || from.id == self_.id) return;
  joined_ = true;
  ApplyUpdate(Update{from, {}, 0}, Source::kGossip);
  const auto it = members_.find(from.id);
  if (it != members_.end()) it->second.last_heard = now_;
}

// Merges an update into the view. Returns true if it was new.
bool Membership::ApplyUpdate(const Update& u, Source source) {
  const MemberRecord& r = u.record;
  if (r.id.name.empty() || r.id.boot_id > kMaxBootId || r.incarnation > kMaxIncarnation) return false;
  if (r.id.name == self_.id.name && ApplyOwnNameUpdate(u)) return false;
  const auto it = members_.find(r.id);
  if (it == members_.end()) {
    if (IsSuperseded(r) || members_.size() >= kMaxMembers) return false;
    // Dead members are learnt only from full views, which carry their age. Otherwise late gossip, or members
    // that keep passing it to each other, would keep them from ever being forgotten.
    if (!IsPresent(r.state) && (source != Source::kExchange || u.age >= settings_.forget_after)) return false;
    Entry& entry = members_[r.id];
    entry.record = r;
    entry.record.state = IsPresent(r.state) ? MemberState::kAlive : r.state;
    entry.since = IsPresent(r.state) ? now_ : now_ - u.age;
    entry.first_seen = now_;
    AddToIndexes(entry);
    effects_->push_back(MemberChanged{entry.record, std::nullopt, "met"});
    if (!IsPresent(r.state)) return true;
    RemoveOlderBoots(r);
    QueueUpdate(entry.record);
    if (r.state == MemberState::kSuspect && source == Source::kGossip) Suspect(entry, u.suspected_by);
    return true;
  }
  Entry& entry = it->second;
  if (r.incarnation < entry.record.incarnation) return false;
  const bool newer = r.incarnation > entry.record.incarnation;
  if (source == Source::kExchange && (r.state == MemberState::kDead || r.state == MemberState::kSuspect)) {
    // The full view may come from the far side of a partition, so the member is probed instead.
    if (IsPresent(entry.record.state) &&
        std::find(priority_probes_.begin(), priority_probes_.end(), r.id) == priority_probes_.end())
      priority_probes_.push_back(r.id);
    return false;
  }
  if (!newer) {
    if (r.state == MemberState::kAlive && entry.record.state == MemberState::kDead &&
        source == Source::kExchange)
      retries_ = std::min(retries_ + 1, 64);  // another member sees it alive: retry soon
    if (r.state == MemberState::kSuspect && entry.record.state == MemberState::kSuspect) {
      Suspect(entry, u.suspected_by);
      return false;
    }
    if (r.state <= entry.record.state) return false;
  }
  if (r.state == MemberState::kSuspect) {
    MemberRecord alive = r;
    alive.state = MemberState::kAlive;
    if (newer) ReplaceRecord(entry, alive, "refuted");
    const bool was_alive = entry.record.state == MemberState::kAlive;
    Suspect(entry, u.suspected_by);
    // Lifeguard waits for the regular probes of other members to confirm a suspicion. Here about four members
    // probe at once: a dead member is detected sooner, and a living one is notified over more paths.
    if (settings_.lifeguard && was_alive && RandomUnit() * static_cast<double>(present_) < 4)
      StartProbe(entry);
    return true;
  }
  ReplaceRecord(entry, r, r.state == MemberState::kAlive ? "refuted" : "told");
  QueueUpdate(r);
  return true;
}

// Handles an update about this member's own name. Returns true if it concerns this process or its address.
bool Membership::ApplyOwnNameUpdate(const Update& u) {
  const MemberRecord& r = u.record;
  if (r.id.boot_id == self_.id.boot_id) {
    const bool accused = r.state != MemberState::kAlive && r.incarnation >= self_.incarnation;
    if ((accused && leave_at_ < 0) || r.incarnation > self_.incarnation) Refute(r.incarnation);
    return true;
  }
  if (r.endpoint == self_.endpoint) {
    // No other process can have this address, so the record is of an earlier boot. If its boot id is higher,
    // the clock has been set back since, or the record is forged.
    if (r.id.boot_id > self_.id.boot_id) AdoptBootId(r.id.boot_id + 1);
    return true;
  }
  // A process that has not joined yet is the newer one, whatever the clocks say.
  if (r.id.boot_id > self_.id.boot_id && !joined_) AdoptBootId(r.id.boot_id + 1);
  return false;
}

void Membership::Refute(std::uint32_t incarnation) {
  ++counters_.refuted;
  if (incarnation >= kMaxIncarnation)
    return AdoptBootId(self_.id.boot_id + 1);  // this boot has no higher incarnation left
  self_.incarnation = incarnation + 1;
  AdjustHealth(1);
  QueueSelf();
}

void Membership::AdoptBootId(BootId boot_id) {
  if (boot_id > kMaxBootId) return;  // other members would reject the record; see the operators' page
  self_.id.boot_id = boot_id;
  self_.incarnation = 0;
  QueueSelf();
}

void Membership::QueueSelf() {
  digest_ -= own_hash_;
  own_hash_ = HashOf(self_);
  digest_ += own_hash_;
  changed_at_ = now_;
  QueueUpdate(self_);
}

void Membership::QueueUpdate(const MemberRecord& record, const std::string& suspected_by) {
  gossip_.Put(Update{record, suspected_by, 0});
}

void Membership::Suspect(Entry& entry, const std::string& suspected_by) {
  if (entry.record.state == MemberState::kAlive) {
    entry.suspected_by.clear();
    entry.suspect_since = now_;
    MemberRecord suspect = entry.record;
    suspect.state = MemberState::kSuspect;
    if (suspected_by == self_.id.name) ++counters_.suspicions;
    ReplaceRecord(entry, suspect, suspected_by == self_.id.name ? "unanswered" : "told");
  }
  if (entry.record.state != MemberState::kSuspect || entry.suspected_by.size() > kConfirmations) return;
  if (entry.suspected_by.insert(suspected_by).second) QueueUpdate(entry.record, suspected_by);
}

// Lifeguard, section IV-B. The shortest timeout grows with the logarithm of the fleet size, like the time
// that gossip needs to reach all members; plain SWIM uses it for every suspicion.
Micros Membership::SuspicionDeadline(const Entry& entry) const {
  const double min_timeout = static_cast<double>(settings_.probe_period) * (2 + 0.5 * LogFleetSize());
  const int max_confirmations = std::min<int>(kConfirmations, static_cast<int>(ring_.size()) - 1);
  if (!settings_.lifeguard || max_confirmations < 1)
    return entry.suspect_since + static_cast<Micros>(min_timeout);
  const double max_timeout = 6 * min_timeout;
  const double confirmed =
      std::log(static_cast<double>(entry.suspected_by.size())) / std::log(max_confirmations + 1.0);
  return entry.suspect_since +
         static_cast<Micros>(std::max(min_timeout, max_timeout - (max_timeout - min_timeout) * confirmed));
}

void Membership::ExpireSuspicions() {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Entry& entry = members_.at(*it++);  // ReplaceRecord removes it from suspects_
    if (now_ < SuspicionDeadline(entry)) continue;
    MemberRecord dead = entry.record;
    dead.state = MemberState::kDead;
    ++counters_.verdicts;
    ReplaceRecord(entry, dead, "verdict");
    QueueUpdate(dead);
  }
}

void Membership::ReplaceRecord(Entry& entry, const MemberRecord& record, const char* why) {
  const MemberState from = entry.record.state;
  if (IsPresent(from) && IsPresent(record.state)) {  // keeps its position in the ring
    digest_ -= entry.hash;
    digest_ += entry.hash = HashOf(record);
    if (record.state == MemberState::kSuspect) {
      suspects_.insert(record.id);
    } else {
      suspects_.erase(record.id);
    }
    entry.record = record;
    changed_at_ = now_;
  } else {
    RemoveFromIndexes(entry);
    entry.record = record;
    AddToIndexes(entry);
  }
  if (record.state == MemberState::kAlive) entry.suspected_by.clear();
  if (from == record.state) return;
  entry.since = now_;
  if (from == MemberState::kDead && record.state == MemberState::kAlive) {
    ++counters_.false_verdicts;
    // A member behind a partition is reachable again: others may be as well.
    retries_ = std::min(retries_ + 4, 64);
  }
  effects_->push_back(MemberChanged{record, from, why});
  if (record.state == MemberState::kAlive) RemoveOlderBoots(record);
}

void Membership::RemoveFromIndexes(Entry& entry) {
  digest_ -= std::exchange(entry.hash, 0);
  suspects_.erase(entry.record.id);
  if (!IsPresent(entry.record.state)) {
    std::erase(dead_, &entry);
    return;
  }
  const auto at = std::find(ring_.begin(), ring_.end(), &entry);
  if (at == ring_.end()) return;
  if (static_cast<std::size_t>(at - ring_.begin()) < ring_index_) --ring_index_;
  ring_.erase(at);
}

void Membership::AddToIndexes(Entry& entry) {
  changed_at_ = now_;
  recount_needed_ = true;
  if (entry.record.state == MemberState::kDead) dead_.push_back(&entry);
  if (!IsPresent(entry.record.state)) return;
  if (entry.record.state == MemberState::kSuspect) suspects_.insert(entry.record.id);
  digest_ += entry.hash = HashOf(entry.record);
  // At a random position, so that members do not probe in the same order (SWIM, section 4.3).
  const std::size_t at = RandomBelow(static_cast<std::uint32_t>(ring_.size()) + 1);
  ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(at), &entry);
  if (at < ring_index_) ++ring_index_;
}

void Membership::Remove(const MemberId& id) {
  const auto it = members_.find(id);
  if (it == members_.end()) return;
  RemoveFromIndexes(it->second);
  gossip_.Drop(id);
  members_.erase(it);
  changed_at_ = now_;
  recount_needed_ = true;
}

// Removes older boots of the same name at the same address: they have ended, whatever is gossiped about them.
void Membership::RemoveOlderBoots(const MemberRecord& newer) {
  for (auto it = members_.lower_bound(MemberId{newer.id.name, 0});
       it != members_.end() && it->first.name == newer.id.name && it->first.boot_id < newer.id.boot_id;) {
    const auto older = it++;
    if (older->second.record.endpoint == newer.endpoint) Remove(MemberId(older->first));
  }
}

bool Membership::IsSuperseded(const MemberRecord& r) const {
  for (auto it = members_.upper_bound(r.id); it != members_.end() && it->first.name == r.id.name; ++it) {
    if (it->second.record.endpoint == r.endpoint || !IsPresent(r.state)) return true;
  }
  return r.id.name == self_.id.name && r.id.boot_id < self_.id.boot_id && !IsPresent(r.state);
}

void Membership::BeginExchange(const std::string& name, Endpoint at, bool join) {
  ++counters_.exchanges;
  exchanged_at_ = now_;
  exchanges_[++last_link_] = join ? at : Endpoint{};
  effects_->push_back(StartExchange{last_link_, name, at});
}

void Membership::On(ExchangeConnected& e) {
  if (!exchanges_.contains(e.link)) return effects_->push_back(CloseExchange{e.link});
  effects_->push_back(SendExchange{e.link, MakeMessage(MessageKind::kDigest), false});
}

void Membership::On(ExchangeReceived& e) {
  const Message& m = e.message;
  const auto own = exchanges_.find(e.link);
  const bool initiated = own != exchanges_.end();
  if ((initiated ? m.kind != MessageKind::kFullState
                 : m.kind != MessageKind::kDigest && m.kind != MessageKind::kFullState))
    return effects_->push_back(CloseExchange{e.link});
  if (m.from.id == self_.id) {  // an address in `join` is this member's own
    if (initiated) own_endpoints_.insert(own->second);
    if (m.kind == MessageKind::kDigest)
      effects_->push_back(SendExchange{e.link, MakeMessage(MessageKind::kFullState), true});
    if (initiated) effects_->push_back(CloseExchange{e.link});
    return;
  }
  const bool equal = m.digest == digest_;
  const auto requester = members_.find(m.from.id);
  const bool learning = requester == members_.end() || now_ - requester->second.first_seen < kLearningPeriod;
  // Before RecordSender, which marks this member as joined: until then a record of its own name can make it
  // adopt a higher boot id.
  for (const Update& u : m.updates) ApplyUpdate(u, Source::kExchange);
  RecordSender(m.from);
  // A peer's observations of targets are used only while this member has few of its own.
  if (initiated && now_ - started_ < kLearningPeriod) HandleFacts(m.facts, 1);
  if (m.kind == MessageKind::kDigest) {
    Message answer = equal ? MakeMessage(MessageKind::kFullState) : FullState();
    if (learning) target_gossip_.AppendOwnFacts(now_, answer.facts);
    return effects_->push_back(SendExchange{e.link, std::move(answer), equal});
  }
  if (initiated && !equal) return effects_->push_back(SendExchange{e.link, FullState(), true});
  effects_->push_back(CloseExchange{e.link});
}

void Membership::On(ExchangeClosed& e) { exchanges_.erase(e.link); }

Message Membership::FullState() const {
  Message m = MakeMessage(MessageKind::kFullState);
  m.updates.reserve(members_.size());
  for (const auto& [id, entry] : members_) {
    const bool present = IsPresent(entry.record.state);
    m.updates.push_back(Update{entry.record, {}, present ? 0 : std::max<Micros>(0, now_ - entry.since)});
  }
  return m;
}

// Starts an exchange with the sender if the views differ although neither has changed recently.
void Membership::CompareDigest(const Message& m) {
  const Micros settle_time = 2 * settings_.probe_period;
  if (m.digest == digest_ || now_ - changed_at_ < settle_time || now_ - exchanged_at_ < 2 * settle_time)
    return;
  if (leave_at_ >= 0 || m.from.state == MemberState::kLeft) return;
  BeginExchange(m.from.id.name, m.from.endpoint);
}

void Membership::StartDueExchanges() {
  if (leave_at_ >= 0) return;
  if (now_ >= next_exchange_) {
    next_exchange_ = now_ + Jitter(kExchangeInterval);
    for (const Entry* e : PickAlive(1, nullptr)) BeginExchange(e->record.id.name, e->record.endpoint);
  }
  if (settings_.join.empty() || now_ < next_join_) return;
  // Also after joining: the parts of a fleet that was partitioned for longer than `forget_after` merge this
  // way.
  next_join_ = now_ + Jitter(joined_ ? kRejoinInterval : join_backoff_);
  if (!joined_) join_backoff_ = std::min(2 * join_backoff_, kMaxJoinBackoff);
  const std::size_t attempts = joined_ ? 1 : settings_.join.size();
  for (std::size_t n = 0, examined = 0; n < attempts && examined < settings_.join.size(); ++examined) {
    const Endpoint at = settings_.join[join_index_++ % settings_.join.size()];
    const bool known =
        at == self_.endpoint || own_endpoints_.contains(at) ||
        std::any_of(ring_.begin(), ring_.end(), [at](const Entry* e) { return e->record.endpoint == at; });
    if (known) continue;
    ++n;
    BeginExchange({}, at, true);
  }
}

// Once a second: forgets expired members and reports names used by two processes.
void Membership::CheckNames() {
  if (now_ < next_name_check_) return;
  next_name_check_ = now_ + kSecond;
  for (auto it = members_.begin(); it != members_.end();) {
    const auto current = it++;
    if (!IsPresent(current->second.record.state) && now_ - current->second.since >= settings_.forget_after)
      Remove(MemberId(current->first));
  }
  const auto report_duplicate = [this](const MemberRecord& one, const MemberRecord& other,
                                       Micros both_since) {
    if (now_ - both_since < kDuplicateNameGrace) return;
    Micros& last_report =
        duplicate_reported_at_.try_emplace(one.id.name, now_ - kDuplicateNameGrace).first->second;
    if (now_ - last_report < kDuplicateNameGrace) return;
    last_report = now_;
    effects_->push_back(DuplicateName{one.id.name, one, other});
  };
  const Entry* before = nullptr;
  for (const auto& [id, entry] : members_) {
    if (!IsPresent(entry.record.state)) continue;
    if (id.name == self_.id.name) report_duplicate(self_, entry.record, entry.since);
    if (before != nullptr && before->record.id.name == id.name)
      report_duplicate(before->record, entry.record, std::max(before->since, entry.since));
    before = &entry;
  }
}

void Membership::RecountNames() {
  recount_needed_ = false;
  known_ = present_ = 1;
  for (auto it = members_.begin(); it != members_.end();) {
    const std::string& name = it->first.name;
    bool present_name = false;
    MemberState newest = MemberState::kLeft;
    for (; it != members_.end() && it->first.name == name; ++it) {
      present_name = present_name || IsPresent(it->second.record.state);
      newest = it->second.record.state;
    }
    if (name == self_.id.name) continue;
    known_ += present_name || newest == MemberState::kDead;
    present_ += present_name;
  }
}

void Membership::UpdateQuorumState() {
  if (recount_needed_) RecountNames();
  const bool joining =
      !joined_ && std::any_of(settings_.join.begin(), settings_.join.end(), [this](Endpoint at) {
        return at != self_.endpoint && !own_endpoints_.contains(at);
      });
  if (quorum_filter_.Observe(now_, EvaluateQuorum(known_, present_, joining)))
    effects_->push_back(QuorumStateChanged{quorum_filter_.quorum_state(), known_, present_});
}

std::vector<MemberView> Membership::Members() const {
  std::vector<MemberView> all;
  MemberView own;
  own.record = self_;
  own.last_heard = now_;
  for (const auto& [id, entry] : members_) {
    if (own.last_heard != 0 && id > self_.id) {
      all.push_back(own);
      own.last_heard = 0;
    }
    all.push_back(entry);
  }
  if (own.last_heard != 0) all.push_back(own);
  return all;
}

const MemberView* Membership::Find(const std::string& name) const {
  auto it = members_.upper_bound(MemberId{name, ~BootId{0}});
  if (it == members_.begin() || (--it)->first.name != name) return nullptr;
  return &it->second;
}

}  // namespace heronway::cluster
