#include "src/cluster/target_gossip/target_gossip.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace heronway::cluster {

TargetGossip::TargetGossip(std::string_view self, std::uint64_t seed) : self_(HashOf(self)), random_(seed) {}

std::uint64_t TargetGossip::HashOf(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

// Bounds memory when targets keep being replaced: evicts the target that was used least recently.
TargetGossip::Target& TargetGossip::GetOrCreate(Micros now, std::uint64_t target) {
  if (targets_.size() >= kMaxTargets && !targets_.contains(target)) {
    targets_.erase(std::min_element(targets_.begin(), targets_.end(), [](const auto& a, const auto& b) {
      return a.second.last_used < b.second.last_used;
    }));
  }
  Target& t = targets_[target];
  t.last_used = now;
  return t;
}

void TargetGossip::Enqueue(Micros now, const Fact& fact) {
  if (queue_.size() >= kMaxQueued) queue_.pop_back();
  queue_.push_front(QueuedFact{fact, now, 0});
}

void TargetGossip::RecordEvent(Micros now, FactKind kind, std::uint64_t target, Micros since) {
  Target& t = GetOrCreate(now, target);
  Micros& announced_at = t.announced_at[static_cast<int>(kind)];
  if (kind == FactKind::kFailing) t.healthy_at = -1;
  if (kind == FactKind::kStarted) {
    if (since <= t.accepted_start) return;  // already known, and already announced
    t.accepted_start = since;
  } else if (announced_at >= 0 && now - announced_at < kAnnounceInterval) {
    return;
  }
  announced_at = now;
  Enqueue(now, Fact{target, kind, since, self_, 0});
}

void TargetGossip::RecordHealthy(Micros now, std::uint64_t target) {
  // Healthy targets need no entry unless there are facts about them.
  const auto it = targets_.find(target);
  if (it != targets_.end()) it->second.healthy_at = now;
}

void TargetGossip::RecordLoad(Micros now, std::uint64_t target, std::uint16_t waiting, std::uint16_t free) {
  if (targets_.size() >= kMaxTargets && !targets_.contains(target))
    return;  // not worth the linear search for an eviction
  Target& t = GetOrCreate(now, target);
  t.load_at = now;
  t.waiting = waiting;
  t.free = free;
}

void TargetGossip::AppendOwnFacts(Micros now, std::vector<Fact>& out) const {
  for (const auto& [target, t] : targets_) {
    const auto add = [&](FactKind kind, Micros observed_at, Micros max_age) {
      if (observed_at < 0 || now - observed_at > max_age || out.size() >= kMaxFacts) return;
      out.push_back(
          Fact{target, kind, kind == FactKind::kStarted ? t.accepted_start : 0, self_, now - observed_at});
      if (kind != FactKind::kLoad) return;
      out.back().waiting = t.waiting;
      out.back().free = t.free;
    };
    const Micros failed_at = t.announced_at[static_cast<int>(FactKind::kFailing)];
    const bool failing = failed_at >= 0 && t.healthy_at < failed_at;
    if (failing) add(FactKind::kFailing, failed_at, kFailingMaxAge);
    add(FactKind::kStarted, t.announced_at[static_cast<int>(FactKind::kStarted)], kStartedMaxAge);
    if (!failing) add(FactKind::kLoad, t.load_at, kLoadMaxAge);
  }
}

// Limits the effect of a wrong peer. Its report of free capacity is replaced by the first own observation,
// and is ignored for a target that this scheduler has observed or that some member reports as failing. Its
// report of no free capacity leads to a probe instead of avoiding the target.
void TargetGossip::HandleLoad(Micros now, const Fact& fact, std::vector<TargetAdvice>& advice) {
  if (fact.observer == self_ || fact.age > kLoadMaxAge) return;
  Target& t = GetOrCreate(now, fact.target);
  if (t.load_at >= 0 || t.peer_loads >= kMaxObservers ||
      !t.claims[static_cast<int>(FactKind::kFailing)].empty())
    return;
  const bool worse = fact.free < t.free || (fact.free == t.free && fact.waiting > t.waiting);
  if (t.peer_loads++ > 0 && !worse) return;
  t.waiting = fact.waiting;
  t.free = fact.free;
  if (fact.free >= 10 && (fact.waiting < 5 || fact.waiting == kNotReported))
    return advice.push_back(TargetAdvice{FactKind::kLoad, fact.target, 0, fact.age, fact.waiting, fact.free});
  if (t.probed_at >= 0 && now - t.probed_at < kProbeInterval) return;
  t.probed_at = now;
  advice.push_back(TargetAdvice{FactKind::kFailing, fact.target});
}

void TargetGossip::HandleFact(Micros now, const Fact& fact, int schedulers,
                              std::vector<TargetAdvice>& advice) {
  if (fact.kind == FactKind::kLoad) return HandleLoad(now, fact, advice);
  const bool failing = fact.kind == FactKind::kFailing;
  if (fact.observer == self_ || fact.age > (failing ? kFailingMaxAge : kStartedMaxAge)) return;
  const Micros observed_at = now - fact.age;
  Target& t = GetOrCreate(now, fact.target);
  std::vector<Claim>& claims = t.claims[static_cast<int>(fact.kind)];
  std::erase_if(claims, [&](const Claim& c) {
    return now - c.observed_at > (failing ? kFailingMaxAge : kStartedMaxAge);
  });
  const auto same =
      std::find_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.observer == fact.observer; });
  if (same != claims.end()) {
    // The same observation over another path differs a little in age, by the network delay.
    if (observed_at < same->observed_at + kAnnounceInterval && fact.since == same->since) return;
    *same = Claim{fact.observer, observed_at, fact.since};
  } else {
    if (claims.size() >= kMaxObservers) return;
    claims.push_back(Claim{fact.observer, observed_at, fact.since});
  }
  Enqueue(now, fact);
  if (failing) {
    if (t.healthy_at >= observed_at || (t.probed_at >= 0 && now - t.probed_at < kProbeInterval)) return;
    const bool should_probe =
        claims.size() >= kMaxObservers || random_() * 0x1p-32 * schedulers < kExpectedProbers;
    if (!should_probe) return;
    t.probed_at = now;
    advice.push_back(TargetAdvice{FactKind::kFailing, fact.target});
    return;
  }
  const auto agree =
      std::count_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.since == fact.since; });
  if (agree < kMaxObservers || fact.since <= t.accepted_start) return;
  t.accepted_start = fact.since;
  advice.push_back(TargetAdvice{FactKind::kStarted, fact.target, fact.since});
}

void TargetGossip::Fill(Micros now, std::size_t max_bytes, int max_sends, std::vector<Fact>& out) {
  std::size_t n = std::min(queue_.size(), max_bytes / kMaxFactBytes);
  for (; n > 0; --n) {
    QueuedFact queued = std::move(queue_.front());
    queue_.pop_front();
    Fact fact = queued.fact;
    fact.age += now - queued.queued_at;
    if (fact.age > (fact.kind == FactKind::kFailing ? kFailingMaxAge : kStartedMaxAge)) continue;
    out.push_back(fact);
    if (++queued.sends < max_sends) queue_.push_back(std::move(queued));
  }
}

}  // namespace heronway::cluster
