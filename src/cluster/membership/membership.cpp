// What is believed: records merged, suspicions, one's own name, exchanges of views.
#include "src/cluster/membership/membership.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace heronway::cluster {
namespace {

// Of what is seen as there: state and labels are not part of it, so that a suspicion that is refuted in time
// makes no two views differ.
std::uint64_t HashOf(const Record& r) {
  const std::uint64_t numbers[] = {r.id.life, r.incarnation};
  const std::uint64_t of_name = XXH3_64bits(r.id.name.data(), r.id.name.size());
  return XXH3_64bits_withSeed(numbers, sizeof numbers, of_name) | 1;
}

bool Present(State state) { return state == State::kAlive || state == State::kSuspect; }

constexpr Micros kSecond = 1'000'000;
constexpr Micros kJoinWaitMost = 5 * kSecond;
constexpr Micros kExchangeEvery = 30 * kSecond;
constexpr Micros kLookForOthers = 10 * kSecond;  // at those of `join` that no living member stands for

}  // namespace

Membership::Membership(const Settings& settings, Record self, std::uint64_t seed, Micros now)
    : settings_(settings),
      self_(std::move(self)),
      random_(seed),
      now_(now),
      started_(now),
      news_(self_.id.name, seed + 1),
      last_number_(static_cast<std::uint32_t>(random_())),
      join_wait_(settings.period),
      standing_(2 * settings.period, 4 * settings.period) {
  self_.state = State::kAlive;
  self_.incarnation = 0;
  self_.id.life = std::clamp<Life>(self_.id.life, 1, kMostLife / 2);
  own_hash_ = digest_ = HashOf(self_);
  next_tick_ = now;
  next_probe_ = now + Jitter(settings_.period);
  next_retry_ = now + Jitter(4 * settings_.period);
  next_exchange_ = now + Jitter(kExchangeEvery);
  next_join_ = now;
  next_names_ = now + kSecond;
}

void Membership::Handle(Micros now, Event event, std::vector<Effect>& effects) {
  now_ = std::max(now_, now);
  if (parted_) {  // links that are still open are the host's to end
    if (const auto* got = std::get_if<ExchangeGot>(&event)) effects.push_back(ExchangeEnd{got->link});
    if (const auto* up = std::get_if<ExchangeUp>(&event)) effects.push_back(ExchangeEnd{up->link});
    return;
  }
  effects_ = &effects;
  // A process that stood still (stopped, swapped out, starved) must not judge others by what it missed.
  if (const Micros gap = now_ - next_tick_; gap > settings_.period) Stalled(gap);
  std::visit([this](auto& e) { On(e); }, event);
  effects_ = nullptr;
}

void Membership::On(Tick&) {
  if (now_ < next_tick_) return effects_->push_back(WakeAt{next_tick_});
  next_tick_ = now_ + TickTime();
  effects_->push_back(WakeAt{next_tick_});
  if (leave_ends_ >= 0 && now_ >= leave_ends_) {
    parted_ = true;
    return effects_->push_back(Parted{});
  }
  LookAtProbes();
  LookAtHelps();
  LookAtSuspicions();
  if (now_ >= next_probe_ && leave_ends_ < 0) {
    next_probe_ = now_ + Scaled(settings_.period);
    ProbeNext();
  }
  LookAtDead();
  LookAtExchange();
  LookAtNames();
  SpreadGossip();
  LookAtStanding();
}

void Membership::On(Received& e) {
  if (e.message.from.id == self_.id) return;
  Hear(e.message.from);
  for (const Update& u : e.message.updates) Believe(u, Source::kGossip);
  TakeNews(e.message.facts, static_cast<int>(present_));
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

// `schedulers`: of which about eight look at one witness's word.
void Membership::TakeNews(const std::vector<Fact>& facts, int schedulers) {
  std::vector<Hint> hints;
  for (const Fact& f : facts) news_.Heard(now_, f, schedulers, hints);
  counters_.facts += facts.size();
  counters_.hints += hints.size();
  for (const Hint& h : hints) effects_->push_back(Hinted{h});
}

void Membership::On(SawWorker& e) {
  if (e.well) return news_.SawWell(now_, e.target);
  if (e.kind == FactKind::kLoad) return news_.SawLoad(now_, e.target, e.waiting, e.free);
  news_.Saw(now_, e.kind, e.target, e.since);
}

void Membership::On(Leave&) {
  if (leave_ends_ >= 0) return;
  self_.state = State::kLeft;
  leave_ends_ = now_ + 2 * settings_.period;
  TellSelf();
  SpreadGossip();
}

// ---- what is believed

void Membership::Hear(const Record& from) {
  if (from.id.name.empty() || from.id == self_.id) return;
  joined_ = true;
  Believe(Update{from, {}, 0}, Source::kGossip);
  const auto it = members_.find(from.id);
  if (it != members_.end()) it->second.heard = now_;
}

// True where it was news.
bool Membership::Believe(const Update& u, Source source) {
  const Record& r = u.record;
  if (r.id.name.empty() || r.id.life > kMostLife || r.incarnation > kMostIncarnation) return false;
  if (r.id.name == self_.id.name && OwnName(u)) return false;
  const auto it = members_.find(r.id);
  if (it == members_.end()) {
    if (Superseded(r) || members_.size() >= kMostMembers) return false;
    // The dead are learnt from whole views alone, with their age: else word of them that comes late, or that
    // members pass each other in turn, would never be forgotten.
    if (!Present(r.state) && (source != Source::kExchange || u.age >= settings_.forget)) return false;
    Entry& entry = members_[r.id];
    entry.record = r;
    entry.record.state = Present(r.state) ? State::kAlive : r.state;
    entry.since = Present(r.state) ? now_ : now_ - u.age;
    entry.met = now_;
    List(entry);
    effects_->push_back(Changed{entry.record, std::nullopt, "met"});
    if (!Present(r.state)) return true;
    Supersede(r);
    Tell(entry.record);
    if (r.state == State::kSuspect && source == Source::kGossip) Suspect(entry, u.accuser);
    return true;
  }
  Entry& entry = it->second;
  if (r.incarnation < entry.record.incarnation) return false;
  const bool newer = r.incarnation > entry.record.incarnation;
  if (source == Source::kExchange && (r.state == State::kDead || r.state == State::kSuspect)) {
    // Another's whole view may be that of the far side of a cut: it is looked into, not believed.
    if (Present(entry.record.state) && std::find(soon_.begin(), soon_.end(), r.id) == soon_.end())
      soon_.push_back(r.id);
    return false;
  }
  if (!newer) {
    if (r.state == State::kAlive && entry.record.state == State::kDead && source == Source::kExchange)
      retries_ = std::min(retries_ + 1, 64);  // somebody sees it: try again soon
    if (r.state == State::kSuspect && entry.record.state == State::kSuspect) {
      Suspect(entry, u.accuser);
      return false;
    }
    if (r.state <= entry.record.state) return false;
  }
  if (r.state == State::kSuspect) {
    Record alive = r;
    alive.state = State::kAlive;
    if (newer) Set(entry, alive, "refuted");
    const bool was_alive = entry.record.state == State::kAlive;
    Suspect(entry, u.accuser);
    // Lifeguard waits for others' usual probes to confirm a suspicion. Here about four members look at
    // once: a dead member is given up sooner, and a living one is told by more ways that it is suspected.
    if (settings_.lifeguard && was_alive && Unit() * static_cast<double>(present_) < 4) StartProbe(entry);
    return true;
  }
  Set(entry, r, r.state == State::kAlive ? "refuted" : "told");
  Tell(r);
  return true;
}

// A record under one's own name. True where it is of this very process.
bool Membership::OwnName(const Update& u) {
  const Record& r = u.record;
  if (r.id.life == self_.id.life) {
    const bool against = r.state != State::kAlive && r.incarnation >= self_.incarnation;
    if ((against && leave_ends_ < 0) || r.incarnation > self_.incarnation) Refute(r.incarnation);
    return true;
  }
  if (r.at == self_.at) {
    // Nobody else can be at this address: it is a life before this one, and where it is higher, the clock
    // has stepped back since, or it is forged.
    if (r.id.life > self_.id.life) Reborn(r.id.life + 1);
    return true;
  }
  // A process that has just started is the newer one, whatever the clocks say.
  if (r.id.life > self_.id.life && !joined_) Reborn(r.id.life + 1);
  return false;
}

void Membership::Refute(std::uint32_t incarnation) {
  ++counters_.refuted;
  if (incarnation >= kMostIncarnation)
    return Reborn(self_.id.life + 1);  // no higher one is left in this life
  self_.incarnation = incarnation + 1;
  Health(1);
  TellSelf();
}

void Membership::Reborn(Life life) {
  if (life > kMostLife) return;  // no such life may be told; operators' page
  self_.id.life = life;
  self_.incarnation = 0;
  TellSelf();
}

void Membership::TellSelf() {
  digest_ -= own_hash_;
  own_hash_ = HashOf(self_);
  digest_ += own_hash_;
  changed_at_ = now_;
  Tell(self_);
}

void Membership::Tell(const Record& record, const std::string& accuser) {
  gossip_.Put(Update{record, accuser, 0});
}

void Membership::Suspect(Entry& entry, const std::string& accuser) {
  if (entry.record.state == State::kAlive) {
    entry.accusers.clear();
    entry.suspect_since = now_;
    Record suspect = entry.record;
    suspect.state = State::kSuspect;
    if (accuser == self_.id.name) ++counters_.suspicions;
    Set(entry, suspect, accuser == self_.id.name ? "unanswered" : "told");
  }
  if (entry.record.state != State::kSuspect || entry.accusers.size() > kConfirmations) return;
  if (entry.accusers.insert(accuser).second) Tell(entry.record, accuser);
}

// Lifeguard, section IV-B. The least time grows with the logarithm of the fleet, as news takes so long to
// come round; it is what plain SWIM has for every suspicion.
Micros Membership::SuspicionEnds(const Entry& entry) const {
  const double least = static_cast<double>(settings_.period) * (2 + 0.5 * Logs());
  const int most_confirmations = std::min<int>(kConfirmations, static_cast<int>(ring_.size()) - 1);
  if (!settings_.lifeguard || most_confirmations < 1) return entry.suspect_since + static_cast<Micros>(least);
  const double longest = 6 * least;
  const double confirmed =
      std::log(static_cast<double>(entry.accusers.size())) / std::log(most_confirmations + 1.0);
  return entry.suspect_since + static_cast<Micros>(std::max(least, longest - (longest - least) * confirmed));
}

void Membership::LookAtSuspicions() {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Entry& entry = members_.at(*it++);  // Set takes it out
    if (now_ < SuspicionEnds(entry)) continue;
    Record dead = entry.record;
    dead.state = State::kDead;
    ++counters_.verdicts;
    Set(entry, dead, "verdict");
    Tell(dead);
  }
}

void Membership::Set(Entry& entry, const Record& record, const char* why) {
  const State from = entry.record.state;
  if (Present(from) && Present(record.state)) {  // its turn in the ring stays
    digest_ -= entry.hash;
    digest_ += entry.hash = HashOf(record);
    if (record.state == State::kSuspect) {
      suspects_.insert(record.id);
    } else {
      suspects_.erase(record.id);
    }
    entry.record = record;
    changed_at_ = now_;
  } else {
    Unlist(entry);
    entry.record = record;
    List(entry);
  }
  if (record.state == State::kAlive) entry.accusers.clear();
  if (from == record.state) return;
  entry.since = now_;
  if (from == State::kDead && record.state == State::kAlive) {
    ++counters_.false_verdicts;
    // One that was cut off is back: its neighbours may be as well.
    retries_ = std::min(retries_ + 4, 64);
  }
  effects_->push_back(Changed{record, from, why});
  if (record.state == State::kAlive) Supersede(record);
}

void Membership::Unlist(Entry& entry) {
  digest_ -= std::exchange(entry.hash, 0);
  suspects_.erase(entry.record.id);
  if (!Present(entry.record.state)) {
    std::erase(dead_, &entry);
    return;
  }
  const auto at = std::find(ring_.begin(), ring_.end(), &entry);
  if (at == ring_.end()) return;
  if (static_cast<std::size_t>(at - ring_.begin()) < next_) --next_;
  ring_.erase(at);
}

void Membership::List(Entry& entry) {
  changed_at_ = now_;
  recount_ = true;
  if (entry.record.state == State::kDead) dead_.push_back(&entry);
  if (!Present(entry.record.state)) return;
  if (entry.record.state == State::kSuspect) suspects_.insert(entry.record.id);
  digest_ += entry.hash = HashOf(entry.record);
  // At a place by chance, so that members do not probe in step (SWIM, section 4.3).
  const std::size_t at = Below(static_cast<std::uint32_t>(ring_.size()) + 1);
  ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(at), &entry);
  if (at < next_) ++next_;
}

void Membership::Remove(const MemberId& id) {
  const auto it = members_.find(id);
  if (it == members_.end()) return;
  Unlist(it->second);
  gossip_.Drop(id);
  members_.erase(it);
  changed_at_ = now_;
  recount_ = true;
}

// Older lives at the address of a newer one are over, whatever is said of them.
void Membership::Supersede(const Record& newer) {
  for (auto it = members_.lower_bound(MemberId{newer.id.name, 0});
       it != members_.end() && it->first.name == newer.id.name && it->first.life < newer.id.life;) {
    const auto older = it++;
    if (older->second.record.at == newer.at) Remove(MemberId(older->first));
  }
}

bool Membership::Superseded(const Record& r) const {
  for (auto it = members_.upper_bound(r.id); it != members_.end() && it->first.name == r.id.name; ++it) {
    if (it->second.record.at == r.at || !Present(r.state)) return true;
  }
  return r.id.name == self_.id.name && r.id.life < self_.id.life && !Present(r.state);
}

// ---- exchanges of whole views

void Membership::Exchange(const std::string& name, Place at, bool join) {
  ++counters_.exchanges;
  exchanged_at_ = now_;
  links_[++last_link_] = join ? at : Place{};
  effects_->push_back(StartExchange{last_link_, name, at});
}

void Membership::On(ExchangeUp& e) {
  if (!links_.contains(e.link)) return effects_->push_back(ExchangeEnd{e.link});
  effects_->push_back(ExchangeSend{e.link, Make(MessageKind::kDigest), false});
}

void Membership::On(ExchangeGot& e) {
  const Message& m = e.message;
  const auto own = links_.find(e.link);
  const bool began = own != links_.end();
  if ((began ? m.kind != MessageKind::kState
             : m.kind != MessageKind::kDigest && m.kind != MessageKind::kState))
    return effects_->push_back(ExchangeEnd{e.link});
  if (m.from.id == self_.id) {  // an address of `join` is one's own
    if (began) own_places_.insert(own->second);
    if (m.kind == MessageKind::kDigest)
      effects_->push_back(ExchangeSend{e.link, Make(MessageKind::kState), true});
    if (began) effects_->push_back(ExchangeEnd{e.link});
    return;
  }
  const bool equal = m.digest == digest_;
  const auto asker = members_.find(m.from.id);
  const bool learns = asker == members_.end() || now_ - asker->second.met < kLearns;
  // Before Hear, which makes this member a joined one: its own name in the view may make it newer.
  for (const Update& u : m.updates) Believe(u, Source::kExchange);
  Hear(m.from);
  // Whatever a peer says of workers is for the time in which this one has seen little itself.
  if (began && now_ - started_ < kLearns) TakeNews(m.facts, 1);
  if (m.kind == MessageKind::kDigest) {
    Message answer = equal ? Make(MessageKind::kState) : WholeView();
    if (learns) news_.Known(now_, answer.facts);
    return effects_->push_back(ExchangeSend{e.link, std::move(answer), equal});
  }
  if (began && !equal) return effects_->push_back(ExchangeSend{e.link, WholeView(), true});
  effects_->push_back(ExchangeEnd{e.link});
}

void Membership::On(ExchangeOver& e) { links_.erase(e.link); }

Message Membership::WholeView() const {
  Message m = Make(MessageKind::kState);
  m.updates.reserve(members_.size());
  for (const auto& [id, entry] : members_) {
    const bool present = Present(entry.record.state);
    m.updates.push_back(Update{entry.record, {}, present ? 0 : std::max<Micros>(0, now_ - entry.since)});
  }
  return m;
}

// Views that differ while no news is on its way are compared whole.
void Membership::CompareView(const Message& m) {
  const Micros quiet = 2 * settings_.period;
  if (m.digest == digest_ || now_ - changed_at_ < quiet || now_ - exchanged_at_ < 2 * quiet) return;
  if (leave_ends_ >= 0 || m.from.state == State::kLeft) return;
  Exchange(m.from.id.name, m.from.at);
}

void Membership::LookAtExchange() {
  if (leave_ends_ >= 0) return;
  if (now_ >= next_exchange_) {
    next_exchange_ = now_ + Jitter(kExchangeEvery);
    for (const Entry* e : Pick(1, nullptr)) Exchange(e->record.id.name, e->record.at);
  }
  if (settings_.join.empty() || now_ < next_join_) return;
  // After they have joined as well: a fleet that was cut for longer than `forget` finds together this way.
  next_join_ = now_ + Jitter(joined_ ? kLookForOthers : join_wait_);
  if (!joined_) join_wait_ = std::min(2 * join_wait_, kJoinWaitMost);
  const std::size_t tries = joined_ ? 1 : settings_.join.size();
  for (std::size_t n = 0, looked = 0; n < tries && looked < settings_.join.size(); ++looked) {
    const Place at = settings_.join[join_turn_++ % settings_.join.size()];
    const bool known =
        at == self_.at || own_places_.contains(at) ||
        std::any_of(ring_.begin(), ring_.end(), [at](const Entry* e) { return e->record.at == at; });
    if (known) continue;
    ++n;
    Exchange({}, at, true);
  }
}

// ---- names

// Once a second: who is to be forgotten, and names under which two serve.
void Membership::LookAtNames() {
  if (now_ < next_names_) return;
  next_names_ = now_ + kSecond;
  for (auto it = members_.begin(); it != members_.end();) {
    const auto here = it++;
    if (!Present(here->second.record.state) && now_ - here->second.since >= settings_.forget)
      Remove(MemberId(here->first));
  }
  const auto twins = [this](const Record& one, const Record& other, Micros both_since) {
    if (now_ - both_since < kTwinsMay) return;
    Micros& told = twins_told_.try_emplace(one.id.name, now_ - kTwinsMay).first->second;
    if (now_ - told < kTwinsMay) return;
    told = now_;
    effects_->push_back(Twins{one.id.name, one, other});
  };
  const Entry* before = nullptr;
  for (const auto& [id, entry] : members_) {
    if (!Present(entry.record.state)) continue;
    if (id.name == self_.id.name) twins(self_, entry.record, entry.since);
    if (before != nullptr && before->record.id.name == id.name)
      twins(before->record, entry.record, std::max(before->since, entry.since));
    before = &entry;
  }
}

void Membership::Recount() {
  recount_ = false;
  known_ = present_ = 1;
  for (auto it = members_.begin(); it != members_.end();) {
    const std::string& name = it->first.name;
    bool there = false;
    State newest = State::kLeft;
    for (; it != members_.end() && it->first.name == name; ++it) {
      there = there || Present(it->second.record.state);
      newest = it->second.record.state;
    }
    if (name == self_.id.name) continue;
    known_ += there || newest == State::kDead;
    present_ += there;
  }
}

void Membership::LookAtStanding() {
  if (recount_) Recount();
  const bool seeks = !joined_ && std::any_of(settings_.join.begin(), settings_.join.end(), [this](Place at) {
    return at != self_.at && !own_places_.contains(at);
  });
  if (standing_.Look(now_, Judge(known_, present_, seeks)))
    effects_->push_back(StandingChanged{standing_.standing(), known_, present_});
}

// ---- looking in

std::vector<View> Membership::Members() const {
  std::vector<View> all;
  View own;
  own.record = self_;
  own.heard = now_;
  for (const auto& [id, entry] : members_) {
    if (own.heard != 0 && id > self_.id) {
      all.push_back(own);
      own.heard = 0;
    }
    all.push_back(entry);
  }
  if (own.heard != 0) all.push_back(own);
  return all;
}

const View* Membership::Find(const std::string& name) const {
  auto it = members_.upper_bound(MemberId{name, ~Life{0}});
  if (it == members_.begin() || (--it)->first.name != name) return nullptr;
  return &it->second;
}

}  // namespace heronway::cluster
