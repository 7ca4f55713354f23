#include "src/cluster/news/news.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace heronway::cluster {

News::News(std::string_view self, std::uint64_t seed) : self_(HashOf(self)), random_(seed) {}

std::uint64_t News::HashOf(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

// Guards memory: where targets come and go without end, the one that was not heard of for the longest goes.
News::Target& News::At(Micros now, std::uint64_t target) {
  if (targets_.size() >= kMostTargets && !targets_.contains(target)) {
    targets_.erase(std::min_element(targets_.begin(), targets_.end(), [](const auto& a, const auto& b) {
      return a.second.touched < b.second.touched;
    }));
  }
  Target& t = targets_[target];
  t.touched = now;
  return t;
}

void News::Pass(Micros now, const Fact& fact) {
  if (queue_.size() >= kMostWaiting) queue_.pop_back();
  queue_.push_front(Waiting{fact, now, 0});
}

void News::Saw(Micros now, FactKind kind, std::uint64_t target, Micros since) {
  Target& t = At(now, target);
  Micros& said = t.said[static_cast<int>(kind)];
  if (kind == FactKind::kFailing) t.well = -1;
  if (kind == FactKind::kStarted) {
    if (since <= t.believed) return;  // no news here, nor there
    t.believed = since;
  } else if (said >= 0 && now - said < kSayEvery) {
    return;
  }
  said = now;
  Pass(now, Fact{target, kind, since, self_, 0});
}

void News::SawWell(Micros now, std::uint64_t target) {
  // A map entry for each good worker is not needed: only of those that something is said of.
  const auto it = targets_.find(target);
  if (it != targets_.end()) it->second.well = now;
}

void News::SawLoad(Micros now, std::uint64_t target, std::uint16_t waiting, std::uint16_t free) {
  if (targets_.size() >= kMostTargets && !targets_.contains(target)) return;  // dearer than it is worth
  Target& t = At(now, target);
  t.reported = now;
  t.waiting = waiting;
  t.free = free;
}

void News::Known(Micros now, std::vector<Fact>& out) const {
  for (const auto& [target, t] : targets_) {
    const auto add = [&](FactKind kind, Micros seen, Micros fresh) {
      if (seen < 0 || now - seen > fresh || out.size() >= kMostFacts) return;
      out.push_back(Fact{target, kind, kind == FactKind::kStarted ? t.believed : 0, self_, now - seen});
      if (kind != FactKind::kLoad) return;
      out.back().waiting = t.waiting;
      out.back().free = t.free;
    };
    const Micros failed = t.said[static_cast<int>(FactKind::kFailing)];
    const bool failing = failed >= 0 && t.well < failed;
    if (failing) add(FactKind::kFailing, failed, kFailingFresh);
    add(FactKind::kStarted, t.said[static_cast<int>(FactKind::kStarted)], kStartedFresh);
    if (!failing) add(FactKind::kLoad, t.reported, kLoadFresh);
  }
}

// Guards against a peer that is wrong: what it says of room is overruled by the first own sight, and holds
// for no worker that was seen here already, or that somebody says fails. Where it says that there is none,
// the worker is not avoided for it, but looked at.
void News::HeardLoad(Micros now, const Fact& fact, std::vector<Hint>& hints) {
  if (fact.witness == self_ || fact.age > kLoadFresh) return;
  Target& t = At(now, fact.target);
  if (t.reported >= 0 || t.loads >= kWitnesses || !t.words[static_cast<int>(FactKind::kFailing)].empty())
    return;
  const bool worse = fact.free < t.free || (fact.free == t.free && fact.waiting > t.waiting);
  if (t.loads++ > 0 && !worse) return;
  t.waiting = fact.waiting;
  t.free = fact.free;
  if (fact.free >= 10 && (fact.waiting < 5 || fact.waiting == kUnsaid))
    return hints.push_back(Hint{FactKind::kLoad, fact.target, 0, fact.age, fact.waiting, fact.free});
  if (t.looked >= 0 && now - t.looked < kLookEvery) return;
  t.looked = now;
  hints.push_back(Hint{FactKind::kFailing, fact.target});
}

void News::Heard(Micros now, const Fact& fact, int schedulers, std::vector<Hint>& hints) {
  if (fact.kind == FactKind::kLoad) return HeardLoad(now, fact, hints);
  const bool failing = fact.kind == FactKind::kFailing;
  if (fact.witness == self_ || fact.age > (failing ? kFailingFresh : kStartedFresh)) return;
  const Micros made = now - fact.age;
  Target& t = At(now, fact.target);
  std::vector<Word>& words = t.words[static_cast<int>(fact.kind)];
  std::erase_if(words,
                [&](const Word& w) { return now - w.made > (failing ? kFailingFresh : kStartedFresh); });
  const auto same =
      std::find_if(words.begin(), words.end(), [&](const Word& w) { return w.witness == fact.witness; });
  if (same != words.end()) {
    // The same word on another way is a little older or younger by what the way took.
    if (made < same->made + kSayEvery && fact.since == same->since) return;
    *same = Word{fact.witness, made, fact.since};
  } else {
    if (words.size() >= kWitnesses) return;
    words.push_back(Word{fact.witness, made, fact.since});
  }
  Pass(now, fact);
  if (failing) {
    if (t.well >= made || (t.looked >= 0 && now - t.looked < kLookEvery)) return;
    const bool looks = words.size() >= kWitnesses || random_() * 0x1p-32 * schedulers < kLookers;
    if (!looks) return;
    t.looked = now;
    hints.push_back(Hint{FactKind::kFailing, fact.target});
    return;
  }
  const auto agree =
      std::count_if(words.begin(), words.end(), [&](const Word& w) { return w.since == fact.since; });
  if (agree < kWitnesses || fact.since <= t.believed) return;
  t.believed = fact.since;
  hints.push_back(Hint{FactKind::kStarted, fact.target, fact.since});
}

void News::Fill(Micros now, std::size_t bytes, int most_sends, std::vector<Fact>& out) {
  std::size_t n = std::min(queue_.size(), bytes / kFactBytes);
  for (; n > 0; --n) {
    Waiting w = std::move(queue_.front());
    queue_.pop_front();
    Fact fact = w.fact;
    fact.age += now - w.at;
    if (fact.age > (fact.kind == FactKind::kFailing ? kFailingFresh : kStartedFresh)) continue;
    out.push_back(fact);
    if (++w.sends < most_sends) queue_.push_back(std::move(w));
  }
}

}  // namespace heronway::cluster
