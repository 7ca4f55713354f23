// An index of rules by the field that most of them test: one lookup gives the candidates for a request.
//
// A rule is indexed if its condition can only hold where the field equals one of a set of texts or starts
// with one of a set of prefixes; all other rules are candidates for every request. Texts are in a hash
// table, prefixes in a prefix tree (trie). Each lookup yields one list in rule order, built at load.
#ifndef HERONWAY_MATCH_DISPATCH_H_
#define HERONWAY_MATCH_DISPATCH_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/match/ast.h"

namespace heronway::match {

class Dispatch {
 public:
  using List = std::vector<std::uint32_t>;  // rule indices, ascending

  // Takes the checked condition of each rule, null for a rule without one. The conditions must outlive this
  // object.
  void Build(const std::vector<const Node*>& conditions);

  const Node* field() const { return field_; }  // null: no index, every rule is a candidate
  // The candidates besides unindexed() for this field value; null: none. Does not allocate.
  const List* Find(std::string_view value) const;
  const List& unindexed() const { return unindexed_; }
  std::size_t texts() const { return text_lists_.size(); }
  std::size_t prefixes() const { return prefixes_; }
  // Every list that Find() can return.
  std::vector<const List*> AllLists() const;
  double worst_cost_ns() const;  // of one lookup

 private:
  struct TrieNode {  // of the prefix tree; an edge is one byte
    std::map<char, std::uint32_t> next;
    std::int32_t list = -1;  // of `prefix_lists_`
  };
  struct Requirement {  // the field equals one of the texts or starts with one of the prefixes
    const Node* field = nullptr;
    std::vector<std::string> texts, prefixes;
    std::size_t size() const { return texts.size() + prefixes.size(); }
  };
  using Requirements = std::map<std::string, Requirement>;  // by FieldName()
  const Requirements& RequirementsOf(const Node& condition);
  Requirements ComputeRequirements(const Node& condition);
  std::uint32_t Insert(std::string_view prefix);
  bool InheritLists(std::uint32_t node, std::int32_t above, std::size_t& entries);
  std::int32_t LongestPrefixList(std::string_view value) const;

  std::map<const Node*, Requirements> requirements_cache_;  // used by Build() only
  const Node* field_ = nullptr;
  std::unordered_map<std::string_view, List> text_lists_;
  std::vector<std::string> text_storage_;  // what `text_lists_` points to
  std::vector<TrieNode> trie_{1};
  std::vector<List> prefix_lists_;
  List unindexed_;
  std::size_t longest_text_ = 0, longest_prefix_ = 0, prefixes_ = 0;
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_DISPATCH_H_
