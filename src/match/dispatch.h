// Which rules a request may match at all, by one look-up of the field that most rules test.
//
// A rule whose condition cannot hold unless a field equals one of some texts, or begins with one of some,
// is found under these; the others are tried always. Equal texts are a hash table, prefixes a trie, in
// which common beginnings stand once. What a look-up gives is one list in the rules' order, made at load.
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
  using List = std::vector<std::uint32_t>;  // places of rules, ascending

  // By rule its checked condition, null where it has none. The conditions must outlive this.
  void Build(const std::vector<const Node*>& conditions);

  const Node* field() const { return field_; }  // null: every rule is tried
  // The rules to try besides `others` where the field has this value. No allocation. Null: none.
  const List* Find(std::string_view value) const;
  const List& others() const { return others_; }
  std::size_t texts() const { return equal_.size(); }
  std::size_t prefixes() const { return prefixes_; }
  // Every list that a look-up may give.
  std::vector<const List*> Lists() const;
  double worst_cost_ns() const;  // of a look-up, nanoseconds

 private:
  struct Part {  // of the trie: one byte further
    std::map<char, std::uint32_t> next;
    std::int32_t list = -1;  // of `under_`
  };
  struct Need {  // one of these texts, or the beginning with one of these
    const Node* field = nullptr;
    std::vector<std::string> texts, prefixes;
    std::size_t size() const { return texts.size() + prefixes.size(); }
  };
  using Needs = std::map<std::string, Need>;  // by the field as it is written
  const Needs& NeedsOf(const Node& condition);
  Needs Find(const Node& condition);
  std::uint32_t Insert(std::string_view prefix);
  bool Inherit(std::uint32_t part, std::int32_t above, std::size_t& entries);
  std::int32_t DeepestUnder(std::string_view value) const;

  std::map<const Node*, Needs> known_;  // while it is built
  const Node* field_ = nullptr;
  std::unordered_map<std::string_view, List> equal_;
  std::vector<std::string> kept_;  // what `equal_` points to
  std::vector<Part> trie_{1};
  std::vector<List> under_;
  List others_;
  std::size_t longest_text_ = 0, longest_prefix_ = 0, prefixes_ = 0;
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_DISPATCH_H_
