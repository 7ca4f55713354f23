#include "src/match/dispatch.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace heronway::match {
namespace {

constexpr std::size_t kMostTexts = 64;         // of one rule; a larger set is one look-up by itself
constexpr std::size_t kMostEntries = 2 << 20;  // in all lists: prefixes of prefixes repeat their rules

// A field of the request that is a string, as its name and arguments; empty where the node is none.
std::string FieldName(const Node& n) {
  if (n.type.type != Type::kString) return "";
  if (n.form == Form::kName) return n.stands_for == nullptr ? n.text : "";
  if (n.form != Form::kCall ||
      (n.text != "segment" && n.text != "header" && n.text != "query" && n.text != "custom"))
    return "";
  const Node& what = *n.kids[0];
  std::string name = what.text.empty() ? std::to_string(what.value.number) : what.text;
  // A header's name is the same in any case.
  if (n.text == "header") {
    for (char& c : name) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  }
  return n.text + '\x01' + name;
}

Dispatch::List Merged(const Dispatch::List& a, const Dispatch::List& b) {
  Dispatch::List out;
  std::set_union(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(out));
  return out;
}

}  // namespace

const Dispatch::Needs& Dispatch::NeedsOf(const Node& condition) {
  const auto known = known_.find(&condition);
  return known != known_.end() ? known->second : known_[&condition] = Find(condition);
}

Dispatch::Needs Dispatch::Find(const Node& n) {
  Needs out;
  const auto add = [&out](const Node& field, std::vector<std::string> texts,
                          std::vector<std::string> prefixes) {
    const std::string name = FieldName(field);
    if (!name.empty()) out[name] = {&field, std::move(texts), std::move(prefixes)};
  };
  switch (n.form) {
    case Form::kName:  // a condition
      return n.stands_for != nullptr && n.type.type == Type::kBool ? NeedsOf(*n.stands_for) : out;
    case Form::kAnd: {
      out = NeedsOf(*n.kids[0]);
      for (const auto& [name, need] : NeedsOf(*n.kids[1])) {  // either will do: the narrower one
        const auto [it, fresh] = out.try_emplace(name, need);
        if (!fresh && need.size() < it->second.size()) it->second = need;
      }
      return out;
    }
    case Form::kOr: {
      const Needs& right = NeedsOf(*n.kids[1]);
      for (const auto& [name, left] : NeedsOf(*n.kids[0])) {
        const auto other = right.find(name);
        if (other == right.end() || left.size() + other->second.size() > kMostTexts) continue;
        Need both = left;
        both.texts.insert(both.texts.end(), other->second.texts.begin(), other->second.texts.end());
        both.prefixes.insert(both.prefixes.end(), other->second.prefixes.begin(),
                             other->second.prefixes.end());
        out[name] = std::move(both);
      }
      return out;
    }
    case Form::kCompare:
      if (n.text != "==") return out;
      for (const int literal : {0, 1}) {
        const Node& value = *n.kids[static_cast<std::size_t>(literal)];
        if (value.form == Form::kLiteral)
          add(*n.kids[static_cast<std::size_t>(1 - literal)], {value.text}, {});
      }
      return out;
    case Form::kIn: {
      const Node& set = n.kids[1]->stands_for != nullptr ? *n.kids[1]->stands_for : *n.kids[1];
      if (set.form != Form::kList || set.kids.size() > kMostTexts) return out;
      std::vector<std::string> texts;
      for (const auto& kid : set.kids) texts.push_back(kid->text);
      add(*n.kids[0], std::move(texts), {});
      return out;
    }
    case Form::kCall:
      if (n.text == "prefix") add(*n.kids[0], {}, {n.kids[1]->text});
      if (n.text == "glob") {
        const std::string& glob = n.kids[1]->text;
        const auto wild = glob.find_first_of("*?");
        if (wild == glob.npos) {
          add(*n.kids[0], {glob}, {});
        } else {
          add(*n.kids[0], {}, {glob.substr(0, wild)});
        }
      }
      return out;
    default:
      return out;
  }
}

std::uint32_t Dispatch::Insert(std::string_view prefix) {
  std::uint32_t at = 0;
  for (const char c : prefix) {
    const auto [it, fresh] = trie_[at].next.try_emplace(c, static_cast<std::uint32_t>(trie_.size()));
    at = it->second;
    if (fresh) trie_.emplace_back();
  }
  return at;
}

// Hands the rules of shorter prefixes down to the longer ones. False where that is too much. Without
// recursion: a prefix may be as long as the file.
bool Dispatch::Inherit(std::uint32_t root, std::int32_t none, std::size_t& entries) {
  std::vector<std::pair<std::uint32_t, std::int32_t>> open = {{root, none}};
  while (!open.empty()) {
    const auto [at, above] = open.back();
    open.pop_back();
    Part& part = trie_[at];
    if (part.list >= 0) {
      List& own = under_[static_cast<std::size_t>(part.list)];
      if (above >= 0) own = Merged(own, under_[static_cast<std::size_t>(above)]);
      if ((entries += own.size()) > kMostEntries) return false;
    }
    for (const auto& [byte, next] : part.next) open.emplace_back(next, part.list >= 0 ? part.list : above);
  }
  return true;
}

void Dispatch::Build(const std::vector<const Node*>& conditions) {
  std::map<std::string, std::size_t> counts;
  for (const Node* condition : conditions) {
    if (condition == nullptr) continue;
    for (const auto& [name, need] : NeedsOf(*condition)) ++counts[name];
  }
  const auto most = std::max_element(counts.begin(), counts.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  const bool any = most != counts.end() && most->second >= 2;
  std::map<std::string, std::set<std::uint32_t>> equal, begins;
  for (std::uint32_t i = 0; i < conditions.size(); ++i) {
    const Needs* needs = any && conditions[i] != nullptr ? &NeedsOf(*conditions[i]) : nullptr;
    const auto need = needs != nullptr ? needs->find(most->first) : Needs::const_iterator{};
    if (needs == nullptr || need == needs->end()) {
      others_.push_back(i);
      continue;
    }
    if (field_ == nullptr) field_ = need->second.field;
    for (const auto& text : need->second.texts) equal[text].insert(i);
    for (const auto& prefix : need->second.prefixes) begins[prefix].insert(i);
  }
  std::size_t entries = 0;
  for (const auto& [prefix, rules] : begins) {
    const std::uint32_t at = Insert(prefix);
    trie_[at].list = static_cast<std::int32_t>(under_.size());
    under_.emplace_back(rules.begin(), rules.end());
    longest_prefix_ = std::max(longest_prefix_, prefix.size());
  }
  prefixes_ = begins.size();
  if (!Inherit(0, -1, entries)) {
    // Prefixes of prefixes of prefixes: such rules are tried always.
    List always;
    for (const auto& [prefix, rules] : begins) always = Merged(always, {rules.begin(), rules.end()});
    others_ = Merged(others_, always);
    for (auto& [text, rules] : equal) {
      for (const std::uint32_t rule : always) rules.erase(rule);
    }
    trie_.assign(1, {});
    under_.clear();
    longest_prefix_ = prefixes_ = 0;
  }
  kept_.reserve(equal.size());
  for (const auto& [text, rules] : equal) {
    kept_.push_back(text);
    List list(rules.begin(), rules.end());
    if (const auto under = DeepestUnder(text); under >= 0)
      list = Merged(list, under_[static_cast<std::size_t>(under)]);
    equal_.emplace(kept_.back(), std::move(list));
    longest_text_ = std::max(longest_text_, text.size());
  }
  known_.clear();
}

std::int32_t Dispatch::DeepestUnder(std::string_view value) const {
  const Part* at = &trie_[0];
  std::int32_t list = at->list;
  for (const char c : value) {
    const auto next = at->next.find(c);
    if (next == at->next.end()) break;
    at = &trie_[next->second];
    if (at->list >= 0) list = at->list;
  }
  return list;
}

const Dispatch::List* Dispatch::Find(std::string_view value) const {
  // What is longer than any text need not be hashed.
  if (value.size() <= longest_text_) {
    if (const auto it = equal_.find(value); it != equal_.end()) return &it->second;
  }
  const std::int32_t under = under_.empty() ? -1 : DeepestUnder(value);
  return under >= 0 ? &under_[static_cast<std::size_t>(under)] : nullptr;
}

std::vector<const Dispatch::List*> Dispatch::Lists() const {
  std::vector<const List*> out;
  for (const auto& [text, list] : equal_) out.push_back(&list);
  for (const List& list : under_) out.push_back(&list);
  return out;
}

double Dispatch::worst_cost_ns() const {
  if (field_ == nullptr) return 0;
  return 60 + 0.3 * static_cast<double>(longest_text_) + 10 * static_cast<double>(longest_prefix_);
}

}  // namespace heronway::match
