#include "src/match/dispatch.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace heronway::match {
namespace {

constexpr std::size_t kMaxTextsPerRule = 64;      // a larger set is a hash lookup of its own
constexpr std::size_t kMaxListEntries = 2 << 20;  // in all lists; a nested prefix repeats rules

// A unique name for a string field of the request with its argument; empty if the node is not one.
std::string FieldName(const Node& n) {
  if (n.type.type != Type::kString) return "";
  if (n.kind == NodeKind::kName) return n.resolved == nullptr ? n.text : "";
  if (n.kind != NodeKind::kCall ||
      (n.text != "segment" && n.text != "header" && n.text != "query" && n.text != "custom"))
    return "";
  const Node& what = *n.children[0];
  std::string name = what.text.empty() ? std::to_string(what.value.number) : what.text;
  // Header names are case-insensitive.
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

const Dispatch::Requirements& Dispatch::RequirementsOf(const Node& condition) {
  const auto known = requirements_cache_.find(&condition);
  return known != requirements_cache_.end()
             ? known->second
             : requirements_cache_[&condition] = ComputeRequirements(condition);
}

Dispatch::Requirements Dispatch::ComputeRequirements(const Node& n) {
  Requirements out;
  const auto add = [&out](const Node& field, std::vector<std::string> texts,
                          std::vector<std::string> prefixes) {
    const std::string name = FieldName(field);
    if (!name.empty()) out[name] = {&field, std::move(texts), std::move(prefixes)};
  };
  switch (n.kind) {
    case NodeKind::kName:  // a condition
      return n.resolved != nullptr && n.type.type == Type::kBool ? RequirementsOf(*n.resolved) : out;
    case NodeKind::kAnd: {
      out = RequirementsOf(*n.children[0]);
      for (const auto& [name, requirement] :
           RequirementsOf(*n.children[1])) {  // both sides must hold: keep the narrower requirement
        const auto [it, fresh] = out.try_emplace(name, requirement);
        if (!fresh && requirement.size() < it->second.size()) it->second = requirement;
      }
      return out;
    }
    case NodeKind::kOr: {
      const Requirements& right = RequirementsOf(*n.children[1]);
      for (const auto& [name, left] : RequirementsOf(*n.children[0])) {
        const auto other = right.find(name);
        if (other == right.end() || left.size() + other->second.size() > kMaxTextsPerRule) continue;
        Requirement both = left;
        both.texts.insert(both.texts.end(), other->second.texts.begin(), other->second.texts.end());
        both.prefixes.insert(both.prefixes.end(), other->second.prefixes.begin(),
                             other->second.prefixes.end());
        out[name] = std::move(both);
      }
      return out;
    }
    case NodeKind::kCompare:
      if (n.text != "==") return out;
      for (const int literal : {0, 1}) {
        const Node& value = *n.children[static_cast<std::size_t>(literal)];
        if (value.kind == NodeKind::kLiteral)
          add(*n.children[static_cast<std::size_t>(1 - literal)], {value.text}, {});
      }
      return out;
    case NodeKind::kIn: {
      const Node& set = n.children[1]->resolved != nullptr ? *n.children[1]->resolved : *n.children[1];
      if (set.kind != NodeKind::kList || set.children.size() > kMaxTextsPerRule) return out;
      std::vector<std::string> texts;
      for (const auto& child : set.children) texts.push_back(child->text);
      add(*n.children[0], std::move(texts), {});
      return out;
    }
    case NodeKind::kCall:
      if (n.text == "prefix") add(*n.children[0], {}, {n.children[1]->text});
      if (n.text == "glob") {
        const std::string& glob = n.children[1]->text;
        const auto wild = glob.find_first_of("*?");
        if (wild == glob.npos) {
          add(*n.children[0], {glob}, {});
        } else {
          add(*n.children[0], {}, {glob.substr(0, wild)});
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

// Adds the rules of shorter prefixes to the lists of longer ones. Returns false if the lists would exceed
// kMaxListEntries. Iterative, since a prefix may be as long as the file.
bool Dispatch::InheritLists(std::uint32_t root, std::int32_t none, std::size_t& entries) {
  std::vector<std::pair<std::uint32_t, std::int32_t>> open = {{root, none}};
  while (!open.empty()) {
    const auto [at, above] = open.back();
    open.pop_back();
    TrieNode& node = trie_[at];
    if (node.list >= 0) {
      List& own = prefix_lists_[static_cast<std::size_t>(node.list)];
      if (above >= 0) own = Merged(own, prefix_lists_[static_cast<std::size_t>(above)]);
      if ((entries += own.size()) > kMaxListEntries) return false;
    }
    for (const auto& [byte, next] : node.next) open.emplace_back(next, node.list >= 0 ? node.list : above);
  }
  return true;
}

void Dispatch::Build(const std::vector<const Node*>& conditions) {
  std::map<std::string, std::size_t> counts;
  for (const Node* condition : conditions) {
    if (condition == nullptr) continue;
    for (const auto& [name, requirement] : RequirementsOf(*condition)) ++counts[name];
  }
  const auto most = std::max_element(counts.begin(), counts.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  const bool any = most != counts.end() && most->second >= 2;
  std::map<std::string, std::set<std::uint32_t>> equal, begins;
  for (std::uint32_t i = 0; i < conditions.size(); ++i) {
    const Requirements* requirements =
        any && conditions[i] != nullptr ? &RequirementsOf(*conditions[i]) : nullptr;
    const auto requirement =
        requirements != nullptr ? requirements->find(most->first) : Requirements::const_iterator{};
    if (requirements == nullptr || requirement == requirements->end()) {
      unindexed_.push_back(i);
      continue;
    }
    if (field_ == nullptr) field_ = requirement->second.field;
    for (const auto& text : requirement->second.texts) equal[text].insert(i);
    for (const auto& prefix : requirement->second.prefixes) begins[prefix].insert(i);
  }
  std::size_t entries = 0;
  for (const auto& [prefix, rules] : begins) {
    const std::uint32_t at = Insert(prefix);
    trie_[at].list = static_cast<std::int32_t>(prefix_lists_.size());
    prefix_lists_.emplace_back(rules.begin(), rules.end());
    longest_prefix_ = std::max(longest_prefix_, prefix.size());
  }
  prefixes_ = begins.size();
  if (!InheritLists(0, -1, entries)) {
    // Too many nested prefixes: rules with a prefix become candidates for every request.
    List always;
    for (const auto& [prefix, rules] : begins) always = Merged(always, {rules.begin(), rules.end()});
    unindexed_ = Merged(unindexed_, always);
    for (auto& [text, rules] : equal) {
      for (const std::uint32_t rule : always) rules.erase(rule);
    }
    trie_.assign(1, {});
    prefix_lists_.clear();
    longest_prefix_ = prefixes_ = 0;
  }
  text_storage_.reserve(equal.size());
  for (const auto& [text, rules] : equal) {
    text_storage_.push_back(text);
    List list(rules.begin(), rules.end());
    if (const auto under = LongestPrefixList(text); under >= 0)
      list = Merged(list, prefix_lists_[static_cast<std::size_t>(under)]);
    text_lists_.emplace(text_storage_.back(), std::move(list));
    longest_text_ = std::max(longest_text_, text.size());
  }
  requirements_cache_.clear();
}

std::int32_t Dispatch::LongestPrefixList(std::string_view value) const {
  const TrieNode* at = &trie_[0];
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
  // A value longer than every indexed text cannot be equal to one: skips the hash.
  if (value.size() <= longest_text_) {
    if (const auto it = text_lists_.find(value); it != text_lists_.end()) return &it->second;
  }
  const std::int32_t under = prefix_lists_.empty() ? -1 : LongestPrefixList(value);
  return under >= 0 ? &prefix_lists_[static_cast<std::size_t>(under)] : nullptr;
}

std::vector<const Dispatch::List*> Dispatch::AllLists() const {
  std::vector<const List*> out;
  for (const auto& [text, list] : text_lists_) out.push_back(&list);
  for (const List& list : prefix_lists_) out.push_back(&list);
  return out;
}

double Dispatch::worst_cost_ns() const {
  if (field_ == nullptr) return 0;
  return 60 + 0.3 * static_cast<double>(longest_text_) + 10 * static_cast<double>(longest_prefix_);
}

}  // namespace heronway::match
