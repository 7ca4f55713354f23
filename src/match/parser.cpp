#include "src/match/parser.h"

#include <set>
#include <utility>

namespace heronway::match {
namespace {

constexpr int kMaxNestingDepth = 64;  // guards the stack against nested brackets

struct ParseAbort {};  // thrown when the rest of an item cannot be parsed

class Parser {
 public:
  Parser(std::string_view text, std::vector<Diagnostic>& diagnostics)
      : tokens_(Lex(text)), diagnostics_(diagnostics) {}

  RuleFile File() {
    while (!Is(TokenKind::kEnd)) {
      in_let_value_ = false;
      try {
        Item();
      } catch (const ParseAbort&) {
        SkipToNextItem();
      }
    }
    return std::move(file_);
  }

 private:
  const Token& Peek(std::size_t ahead = 0) const {
    return tokens_[std::min(position_ + ahead, tokens_.size() - 1)];
  }
  bool Is(TokenKind kind) const { return Peek().kind == kind; }
  bool IsKeyword(const char* word) const { return Is(TokenKind::kName) && Peek().text == word; }
  bool IsSymbol(const char* sign) const { return Is(TokenKind::kSymbol) && Peek().text == sign; }
  Token Advance() {
    Token t = Peek();
    if (position_ + 1 < tokens_.size()) ++position_;
    return t;
  }
  [[noreturn]] void FailExpected(const std::string& what) {
    const Token& t = Peek();
    const std::string found = t.kind == TokenKind::kInvalid ? t.text
                              : t.kind == TokenKind::kEnd   ? "the file ends"
                              : t.kind == TokenKind::kString
                                  ? "there is a string"
                                  : "there is " + (t.text.empty() ? "a number" : t.text);
    diagnostics_.push_back(
        {t.range, t.kind == TokenKind::kInvalid ? t.text : "expected " + what + ", but " + found});
    throw ParseAbort{};
  }
  bool Accept(const char* sign) {
    if (!IsSymbol(sign)) return false;
    Advance();
    return true;
  }
  void Expect(const char* sign) {
    if (!Accept(sign)) FailExpected(sign);
  }
  void ExpectKeyword(const char* word) {
    if (!IsKeyword(word)) FailExpected(word);
    Advance();
  }
  std::string ExpectName(const char* what) {
    if (!Is(TokenKind::kName)) FailExpected(what);
    return Advance().text;
  }
  std::string ExpectString(const char* what) {
    if (!Is(TokenKind::kString)) FailExpected(what);
    return Advance().text;
  }
  std::int64_t ExpectNumber(Type type, const char* what) {
    if (!Is(TokenKind::kNumber) || Peek().type != type) FailExpected(what);
    return Advance().number;
  }

  // Skips to the next item, so that one error does not cause others.
  void SkipToNextItem() {
    static const std::set<std::string> kItemKeywords = {"set", "map", "condition", "rate", "rule", "test"};
    int depth = 0;
    while (!Is(TokenKind::kEnd)) {
      if (IsSymbol("{")) ++depth;
      if (IsSymbol("}") && depth > 0) --depth;
      Advance();
      const bool item = Is(TokenKind::kName) && kItemKeywords.contains(Peek().text) &&
                        (Peek(1).kind == TokenKind::kName || Peek(1).kind == TokenKind::kString) &&
                        (Peek(2).kind == TokenKind::kSymbol &&
                         (Peek(2).text == "{" || Peek(2).text == "=" || Peek(2).text == ":"));
      if (item) return;
    }
  }

  void Item() {
    const SourceRange at = Peek().range;
    file_.items.push_back(at.begin);
    if (IsKeyword("set") || IsKeyword("map") || IsKeyword("condition")) {
      const std::string what = Advance().text;
      const std::string name = ExpectName("a name");
      Expect("=");
      auto value = what == "set" ? List() : what == "map" ? Map() : Expr();
      if (!file_.names.emplace(name, std::pair(std::move(value), at)).second)
        diagnostics_.push_back({at, name + " is there already"});
    } else if (IsKeyword("rate")) {
      Advance();
      RateDecl rate;
      rate.range = at;
      rate.name = ExpectName("a name");
      Expect(":");
      const auto count = ExpectNumber(Type::kInt, "a number");
      ExpectKeyword("per");
      const auto time = ExpectNumber(Type::kDuration, "a duration such as 1s");
      if (count <= 0 || time <= 0) diagnostics_.push_back({at, "a rate is over 0"});
      rate.per_s = time > 0 ? static_cast<double>(count) * 1e6 / static_cast<double>(time) : 1;
      rate.burst = static_cast<double>(count);
      if (IsKeyword("burst")) {
        Advance();
        rate.burst = static_cast<double>(ExpectNumber(Type::kInt, "a number"));
        if (rate.burst < 1) diagnostics_.push_back({at, "a burst is 1 at least"});
      }
      for (const auto& r : file_.rates) {
        if (r.name == rate.name) diagnostics_.push_back({at, "rate " + rate.name + " is there already"});
      }
      file_.rates.push_back(std::move(rate));
    } else if (IsKeyword("rule")) {
      Rule(at);
    } else if (IsKeyword("test")) {
      Test(at);
    } else {
      FailExpected("set, map, condition, rate, rule or test");
    }
  }

  void Rule(SourceRange at) {
    Advance();
    RuleDecl rule;
    rule.range = Peek().range;
    rule.range.begin = at.begin;
    rule.name = ExpectName("the rule's name");
    for (const auto& r : file_.rules) {
      if (r.name == rule.name)
        diagnostics_.push_back({rule.range, "rule " + rule.name + " is there already"});
    }
    Expect("{");
    while (!Accept("}")) {
      const SourceRange place = Peek().range;
      file_.lines.push_back(place.begin);
      const std::string setting = ExpectName("a setting or }");
      if (!rule.places.emplace(setting, place).second)
        diagnostics_.push_back({place, setting + " is there twice"});
      if (setting == "when") {
        rule.when = Expr();
      } else if (setting == "class") {
        if (IsSymbol("}")) FailExpected("the class, as a string");
        rule.job_class = Expr();
      } else if (setting == "key") {
        rule.key = Expr();
      } else if (setting == "tenant") {
        rule.tenant = Expr();
      } else if (setting == "priority") {
        rule.priority = ExpectNumber(Type::kInt, "a whole number");
      } else if (setting == "repeats") {
        rule.max_retries = ExpectNumber(Type::kInt, "a whole number");
      } else if (setting == "rate") {
        rule.rate = ExpectName("a rate's name");
        ExpectKeyword("by");
        rule.rate_by = Expr();
      } else if (setting == "targets") {
        const std::string by = ExpectName("zone, kind or label");
        auto& to = by == "zone" ? rule.zone : by == "kind" ? rule.kind : rule.label;
        if (by != "zone" && by != "kind" && by != "label")
          diagnostics_.push_back({place, "targets are by zone, kind or label"});
        to = ExpectString("its name, as a string");
        rule.places.erase("targets");  // may stand once for each
      } else if (setting == "refuse") {
        rule.reject_reason = ExpectString("the reason, as a string");
      } else if (setting == "mark") {
        rule.mark = true;
      } else if (setting == "continue") {
        rule.continues = true;
      } else {
        diagnostics_.push_back(
            {place, setting + " is no setting; there are when class key tenant priority repeats rate "
                              "targets refuse mark continue"});
        throw ParseAbort{};
      }
    }
    file_.rules.push_back(std::move(rule));
  }

  void Test(SourceRange at) {
    Advance();
    TestDecl test;
    test.range = at;
    test.name = ExpectString("the test's name, as a string");
    Expect("{");
    while (!Accept("}")) {
      const SourceRange place = Peek().range;
      file_.lines.push_back(place.begin);
      const std::string line = ExpectName("a line of the request, expect, or }");
      if (line == "expect") {
        const std::string what = ExpectName("rule, class, refuse, tenant, key or rate");
        static const std::set<std::string> kExpectable = {"rule", "class", "refuse", "tenant", "key", "rate"};
        if (!kExpectable.contains(what))
          diagnostics_.push_back({place, what + " is nothing that a rule gives"});
        const bool name = Is(TokenKind::kName);
        test.expected[what] = {name ? Advance().text : ExpectString("what is expected"), place};
      } else if (line == "header" || line == "custom") {
        std::string name = ExpectString("a name");
        (line == "header" ? test.headers : test.custom)
            .emplace_back(std::move(name), ExpectString("a value"));
      } else if (line == "body_bytes") {
        test.body_bytes = Is(TokenKind::kNumber) && Peek().type == Type::kInt
                              ? Advance().number
                              : ExpectNumber(Type::kBytes, "a size");
      } else if (line == "deadline") {
        test.deadline = ExpectNumber(Type::kDuration, "a duration");
      } else if (line == "repeat") {
        test.is_retry = true;
      } else {
        std::string* to = line == "path"      ? &test.path
                          : line == "query"   ? &test.query
                          : line == "front"   ? &test.front
                          : line == "jobtype" ? &test.jobtype
                          : line == "queue"   ? &test.queue
                          : line == "peer"    ? &test.peer
                                              : nullptr;
        if (to == nullptr) {
          diagnostics_.push_back({place, line + " is no part of a request"});
          throw ParseAbort{};
        }
        *to = ExpectString("its value, as a string");
      }
    }
    file_.tests.push_back(std::move(test));
  }

  // ---- expressions
  NodePtr Make(NodeKind kind, SourceRange at, std::string text = {}) {
    auto node = std::make_unique<Node>();
    node->kind = kind;
    node->range = at;
    node->text = std::move(text);
    return node;
  }
  NodePtr MakeBinary(NodeKind kind, NodePtr a, NodePtr b, std::string text = {}) {
    auto node = Make(kind, {a->range.begin, b->range.end}, std::move(text));
    node->children.push_back(std::move(a));
    node->children.push_back(std::move(b));
    return node;
  }
  struct DepthGuard {
    explicit DepthGuard(Parser& p) : parser(p) {
      if (++parser.depth_ <= kMaxNestingDepth) return;
      parser.diagnostics_.push_back(
          {parser.Peek().range, "nested more than " + std::to_string(kMaxNestingDepth) + " deep"});
      --parser.depth_;
      throw ParseAbort{};
    }
    ~DepthGuard() { --parser.depth_; }
    Parser& parser;
  };

  NodePtr Expr() {
    const DepthGuard guard(*this);
    if (!IsKeyword("let")) return Or();
    const SourceRange at = Advance().range;
    const std::string name = ExpectName("a name");
    Expect("=");
    const bool outer = std::exchange(in_let_value_, true);
    auto value = Or();
    in_let_value_ = outer;
    ExpectKeyword("in");
    auto node = MakeBinary(NodeKind::kLet, std::move(value), Expr(), name);
    node->range.begin = at.begin;
    return node;
  }
  NodePtr Or() {
    auto a = And();
    while (IsKeyword("or")) {
      Advance();
      a = MakeBinary(NodeKind::kOr, std::move(a), And());
    }
    return a;
  }
  NodePtr And() {
    auto a = Not();
    while (IsKeyword("and")) {
      Advance();
      a = MakeBinary(NodeKind::kAnd, std::move(a), Not());
    }
    return a;
  }
  NodePtr Not() {
    if (!IsKeyword("not")) return Relation();
    const DepthGuard guard(*this);
    auto node = Make(NodeKind::kNot, Advance().range);
    node->children.push_back(Not());
    node->range.end = node->children[0]->range.end;
    return node;
  }
  NodePtr Relation() {
    auto a = Sum();
    for (const char* sign : {"==", "!=", "<=", ">=", "<", ">"}) {
      if (Accept(sign)) return MakeBinary(NodeKind::kCompare, std::move(a), Sum(), sign);
    }
    if (IsKeyword("is")) {
      Advance();
      ExpectKeyword("present");
      auto node = Make(NodeKind::kPresent, a->range);
      node->children.push_back(std::move(a));
      return node;
    }
    // `let x = a in b`: an `in` after the value of a let belongs to the let, so a membership test there
    // needs parentheses.
    if (!IsKeyword("in") || in_let_value_) return a;
    Advance();
    return MakeBinary(NodeKind::kIn, std::move(a), Set());
  }
  NodePtr Set() {
    if (IsSymbol("[")) return List();
    if (Is(TokenKind::kNetwork)) return Primary();
    if (Is(TokenKind::kName)) return Make(NodeKind::kName, Peek().range, Advance().text);
    auto from = Primary();
    Expect("..");
    return MakeBinary(NodeKind::kRange, std::move(from), Primary());
  }
  NodePtr List() {
    auto list = Make(NodeKind::kList, Peek().range);
    Expect("[");
    while (!IsSymbol("]")) {
      if (!Is(TokenKind::kString) && !Is(TokenKind::kNumber) && !Is(TokenKind::kNetwork))
        FailExpected("a literal or ]");
      list->children.push_back(Primary());
      if (!IsSymbol("]")) Expect(",");
    }
    list->range.end = Advance().range.end;
    return list;
  }
  NodePtr Map() {
    auto map = Make(NodeKind::kMap, Peek().range);
    Expect("{");
    while (!IsSymbol("}")) {
      for (const char* sign : {":", ","}) {
        if (!Is(TokenKind::kString) && !Is(TokenKind::kNumber)) FailExpected("a literal or }");
        map->children.push_back(Primary());
        if (*sign == ':' || !IsSymbol("}")) Expect(sign);
      }
    }
    map->range.end = Advance().range.end;
    return map;
  }
  NodePtr Sum() {
    auto a = Term();
    while (IsSymbol("+") || IsSymbol("-")) {
      const std::string sign = Advance().text;
      a = MakeBinary(NodeKind::kAdd, std::move(a), Term(), sign);
    }
    return a;
  }
  NodePtr Term() {
    auto a = Unary();
    while (Accept("*")) a = MakeBinary(NodeKind::kAdd, std::move(a), Unary(), "*");
    return a;
  }
  NodePtr Unary() {
    if (!IsSymbol("-")) return OrElse();
    const DepthGuard guard(*this);
    auto node = Make(NodeKind::kNegate, Advance().range);
    node->children.push_back(Unary());
    return node;
  }
  NodePtr OrElse() {
    auto a = Primary();
    while (IsKeyword("or_else")) {
      Advance();
      a = MakeBinary(NodeKind::kOrElse, std::move(a), Primary());
    }
    return a;
  }
  NodePtr Primary() {
    if (Accept("(")) {
      const bool outer = std::exchange(in_let_value_, false);
      auto inner = Expr();
      in_let_value_ = outer;
      Expect(")");
      return inner;
    }
    const Token& t = Peek();
    if (t.kind == TokenKind::kString) {
      auto node = Make(NodeKind::kLiteral, t.range, t.text);
      node->type.type = Type::kString;
      node->value.text = node->text;
      Advance();
      return node;
    }
    if (t.kind == TokenKind::kNumber) {
      auto node = Make(NodeKind::kLiteral, t.range);
      node->type.type = t.type;
      node->value.number = t.number;
      Advance();
      return node;
    }
    if (t.kind == TokenKind::kNetwork) {
      auto node = Make(NodeKind::kNetwork, t.range);
      node->type.type = Type::kAddress;
      node->value.address = t.address;
      node->bits = t.bits;
      Advance();
      return node;
    }
    if (t.kind != TokenKind::kName) FailExpected("an expression");
    if (t.text == "true" || t.text == "false") {
      auto node = Make(NodeKind::kLiteral, t.range);
      node->type.type = Type::kBool;
      node->value.number = t.text == "true" ? 1 : 0;
      Advance();
      return node;
    }
    static const std::set<std::string> kReserved = {"and", "or",  "not",     "in",
                                                    "is",  "let", "or_else", "present"};
    if (kReserved.contains(t.text)) FailExpected("an expression");
    auto node = Make(NodeKind::kName, t.range, t.text);
    Advance();
    if (!Accept("(")) return node;
    node->kind = NodeKind::kCall;
    const bool outer = std::exchange(in_let_value_, false);
    while (!IsSymbol(")")) {
      node->children.push_back(Expr());
      if (!IsSymbol(")")) Expect(",");
    }
    in_let_value_ = outer;
    node->range.end = Advance().range.end;
    return node;
  }

  std::vector<Token> tokens_;
  std::vector<Diagnostic>& diagnostics_;
  std::size_t position_ = 0;
  int depth_ = 0;
  bool in_let_value_ = false;
  RuleFile file_;
};

}  // namespace

RuleFile Parse(std::string_view text, std::vector<Diagnostic>& diagnostics) {
  return Parser(text, diagnostics).File();
}

}  // namespace heronway::match
