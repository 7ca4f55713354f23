// A rule file as read: expressions and rules, with their places. Names are resolved by the checker.
#ifndef HERONWAY_MATCH_AST_H_
#define HERONWAY_MATCH_AST_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/match/lexer.h"

namespace heronway::match {

enum class NodeKind : std::uint8_t {
  kLiteral,  // value, type
  kNetwork,  // value.address, bits: only behind `in`
  kList,     // children are literals: only behind `in`
  kRange,    // children: from, to, both in it: only behind `in`
  kMap,      // children are literals, a key and its value in turn: behind `in`, and in lookup()
  kName,     // a field without arguments, a condition, a set, or a `let`
  kCall,     // text(children...)
  kNot,
  kNegate,
  kAnd,
  kOr,
  kCompare,  // text: == != < <= > >=
  kAdd,      // text: + - *
  kIn,
  kOrElse,
  kPresent,
  kLet  // let text = children[0] in children[1]
};

struct Node {
  NodeKind kind = NodeKind::kLiteral;
  SourceRange range;
  std::string text;
  Value value;     // of a literal; its text points to `text`
  ValueType type;  // literal: as read; else set by the checker
  int bits = 128;
  std::vector<std::unique_ptr<Node>> children;
  const Node* resolved = nullptr;  // a condition's, set's or map's expression, once resolved
};
using NodePtr = std::unique_ptr<Node>;

struct RuleDecl {
  std::string name;
  SourceRange range;
  NodePtr when;       // null: always
  NodePtr job_class;  // a literal, a lookup in a map, or one with `or_else`
  NodePtr key, tenant, rate_by;
  std::optional<std::string> reject_reason, rate, zone, kind, label;
  std::optional<std::int64_t> priority, max_retries;
  bool mark = false, continues = false;
  std::map<std::string, SourceRange> places;  // of each setting
};

struct RateDecl {
  std::string name;
  SourceRange range;
  double per_s = 0, burst = 1;
};

// A sample request and what it must give.
struct TestDecl {
  std::string name;
  SourceRange range;
  std::string front = "http", path, query, jobtype, queue, peer = "127.0.0.1";
  std::vector<std::pair<std::string, std::string>> headers, custom;
  std::int64_t body_bytes = 0, deadline = 0;
  bool is_retry = false;
  std::map<std::string, std::pair<std::string, SourceRange>>
      expected;  // rule, class, refuse, tenant, key, rate
};

struct RuleFile {
  std::map<std::string, std::pair<NodePtr, SourceRange>> names;  // sets, maps and conditions
  std::vector<RateDecl> rates;
  std::vector<RuleDecl> rules;
  std::vector<TestDecl> tests;
  std::vector<std::size_t> items, lines;  // where items, and settings or lines within them, begin
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_AST_H_
