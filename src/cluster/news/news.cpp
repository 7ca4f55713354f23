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

void News::Heard(Micros now, const Fact& fact, int schedulers, std::vector<Hint>& hints) {
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
    hints.push_back(Hint{FactKind::kFailing, fact.target, 0});
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
