#include "src/match/parser.h"

#include <set>
#include <utility>

namespace heronway::match {
namespace {

constexpr int kDeepest = 64;  // guards the stack against nested brackets

struct Stop {};  // thrown where an item cannot be read on

class Parser {
 public:
  Parser(std::string_view text, std::vector<Fault>& faults) : tokens_(Lex(text)), faults_(faults) {}

  FileText File() {
    while (!Is(Token::kEnd)) {
      in_is_lets_ = false;
      try {
        Item();
      } catch (const Stop&) {
        Recover();
      }
    }
    return std::move(file_);
  }

 private:
  const Lexeme& Peek(std::size_t ahead = 0) const {
    return tokens_[std::min(n_ + ahead, tokens_.size() - 1)];
  }
  bool Is(Token token) const { return Peek().token == token; }
  bool Word(const char* word) const { return Is(Token::kName) && Peek().text == word; }
  bool Sign(const char* sign) const { return Is(Token::kSign) && Peek().text == sign; }
  Lexeme Next() {
    Lexeme t = Peek();
    if (n_ + 1 < tokens_.size()) ++n_;
    return t;
  }
  [[noreturn]] void Expected(const std::string& what) {
    const Lexeme& t = Peek();
    const std::string found = t.token == Token::kBad   ? t.text
                              : t.token == Token::kEnd ? "the file ends"
                              : t.token == Token::kString
                                  ? "there is a string"
                                  : "there is " + (t.text.empty() ? "a number" : t.text);
    faults_.push_back({t.at, t.token == Token::kBad ? t.text : "expected " + what + ", but " + found});
    throw Stop{};
  }
  bool Take(const char* sign) {
    if (!Sign(sign)) return false;
    Next();
    return true;
  }
  void Want(const char* sign) {
    if (!Take(sign)) Expected(sign);
  }
  void WantWord(const char* word) {
    if (!Word(word)) Expected(word);
    Next();
  }
  std::string WantName(const char* what) {
    if (!Is(Token::kName)) Expected(what);
    return Next().text;
  }
  std::string WantString(const char* what) {
    if (!Is(Token::kString)) Expected(what);
    return Next().text;
  }
  std::int64_t WantNumber(Type type, const char* what) {
    if (!Is(Token::kNumber) || Peek().type != type) Expected(what);
    return Next().number;
  }

  // To the next item: guards against faults that only follow from the first.
  void Recover() {
    static const std::set<std::string> kItems = {"set", "map", "condition", "rate", "rule", "test"};
    int depth = 0;
    while (!Is(Token::kEnd)) {
      if (Sign("{")) ++depth;
      if (Sign("}") && depth > 0) --depth;
      Next();
      const bool item = Is(Token::kName) && kItems.contains(Peek().text) &&
                        (Peek(1).token == Token::kName || Peek(1).token == Token::kString) &&
                        (Peek(2).token == Token::kSign &&
                         (Peek(2).text == "{" || Peek(2).text == "=" || Peek(2).text == ":"));
      if (item) return;
    }
  }

  void Item() {
    const Place at = Peek().at;
    file_.items.push_back(at.begin);
    if (Word("set") || Word("map") || Word("condition")) {
      const std::string what = Next().text;
      const std::string name = WantName("a name");
      Want("=");
      auto value = what == "set" ? List() : what == "map" ? Map() : Expr();
      if (!file_.names.emplace(name, std::pair(std::move(value), at)).second)
        faults_.push_back({at, name + " is there already"});
    } else if (Word("rate")) {
      Next();
      RateText rate;
      rate.at = at;
      rate.name = WantName("a name");
      Want(":");
      const auto count = WantNumber(Type::kInt, "a number");
      WantWord("per");
      const auto time = WantNumber(Type::kDuration, "a duration such as 1s");
      if (count <= 0 || time <= 0) faults_.push_back({at, "a rate is over 0"});
      rate.per_s = time > 0 ? static_cast<double>(count) * 1e6 / static_cast<double>(time) : 1;
      rate.burst = static_cast<double>(count);
      if (Word("burst")) {
        Next();
        rate.burst = static_cast<double>(WantNumber(Type::kInt, "a number"));
        if (rate.burst < 1) faults_.push_back({at, "a burst is 1 at least"});
      }
      for (const auto& r : file_.rates) {
        if (r.name == rate.name) faults_.push_back({at, "rate " + rate.name + " is there already"});
      }
      file_.rates.push_back(std::move(rate));
    } else if (Word("rule")) {
      Rule(at);
    } else if (Word("test")) {
      Test(at);
    } else {
      Expected("set, map, condition, rate, rule or test");
    }
  }

  void Rule(Place at) {
    Next();
    RuleText rule;
    rule.at = Peek().at;
    rule.at.begin = at.begin;
    rule.name = WantName("the rule's name");
    for (const auto& r : file_.rules) {
      if (r.name == rule.name) faults_.push_back({rule.at, "rule " + rule.name + " is there already"});
    }
    Want("{");
    while (!Take("}")) {
      const Place place = Peek().at;
      file_.lines.push_back(place.begin);
      const std::string setting = WantName("a setting or }");
      if (!rule.places.emplace(setting, place).second)
        faults_.push_back({place, setting + " is there twice"});
      if (setting == "when") {
        rule.when = Expr();
      } else if (setting == "class") {
        if (Sign("}")) Expected("the class, as a string");
        rule.job_class = Expr();
      } else if (setting == "key") {
        rule.key = Expr();
      } else if (setting == "tenant") {
        rule.tenant = Expr();
      } else if (setting == "priority") {
        rule.priority = WantNumber(Type::kInt, "a whole number");
      } else if (setting == "repeats") {
        rule.max_retries = WantNumber(Type::kInt, "a whole number");
      } else if (setting == "rate") {
        rule.rate = WantName("a rate's name");
        WantWord("by");
        rule.rate_by = Expr();
      } else if (setting == "targets") {
        const std::string by = WantName("zone, kind or label");
        auto& to = by == "zone" ? rule.zone : by == "kind" ? rule.kind : rule.label;
        if (by != "zone" && by != "kind" && by != "label")
          faults_.push_back({place, "targets are by zone, kind or label"});
        to = WantString("its name, as a string");
        rule.places.erase("targets");  // may stand once for each
      } else if (setting == "refuse") {
        rule.reject_reason = WantString("the reason, as a string");
      } else if (setting == "mark") {
        rule.mark = true;
      } else if (setting == "continue") {
        rule.goes_on = true;
      } else {
        faults_.push_back({place, setting +
                                      " is no setting; there are when class key tenant priority repeats rate "
                                      "targets refuse mark continue"});
        throw Stop{};
      }
    }
    file_.rules.push_back(std::move(rule));
  }

  void Test(Place at) {
    Next();
    TestText test;
    test.at = at;
    test.name = WantString("the test's name, as a string");
    Want("{");
    while (!Take("}")) {
      const Place place = Peek().at;
      file_.lines.push_back(place.begin);
      const std::string line = WantName("a line of the request, expect, or }");
      if (line == "expect") {
        const std::string what = WantName("rule, class, refuse, tenant, key or rate");
        static const std::set<std::string> kKnown = {"rule", "class", "refuse", "tenant", "key", "rate"};
        if (!kKnown.contains(what)) faults_.push_back({place, what + " is nothing that a rule gives"});
        const bool name = Is(Token::kName);
        test.expected[what] = {name ? Next().text : WantString("what is expected"), place};
      } else if (line == "header" || line == "custom") {
        std::string name = WantString("a name");
        (line == "header" ? test.headers : test.custom).emplace_back(std::move(name), WantString("a value"));
      } else if (line == "body_bytes") {
        test.body_bytes = Is(Token::kNumber) && Peek().type == Type::kInt
                              ? Next().number
                              : WantNumber(Type::kBytes, "a size");
      } else if (line == "deadline") {
        test.deadline = WantNumber(Type::kDuration, "a duration");
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
          faults_.push_back({place, line + " is no part of a request"});
          throw Stop{};
        }
        *to = WantString("its value, as a string");
      }
    }
    file_.tests.push_back(std::move(test));
  }

  // ---- expressions
  NodePtr Make(Form form, Place at, std::string text = {}) {
    auto node = std::make_unique<Node>();
    node->form = form;
    node->at = at;
    node->text = std::move(text);
    return node;
  }
  NodePtr Two(Form form, NodePtr a, NodePtr b, std::string text = {}) {
    auto node = Make(form, {a->at.begin, b->at.end}, std::move(text));
    node->kids.push_back(std::move(a));
    node->kids.push_back(std::move(b));
    return node;
  }
  struct Deeper {
    explicit Deeper(Parser& p) : parser(p) {
      if (++parser.depth_ <= kDeepest) return;
      parser.faults_.push_back({parser.Peek().at, "nested more than " + std::to_string(kDeepest) + " deep"});
      --parser.depth_;
      throw Stop{};
    }
    ~Deeper() { --parser.depth_; }
    Parser& parser;
  };

  NodePtr Expr() {
    const Deeper deeper(*this);
    if (!Word("let")) return Or();
    const Place at = Next().at;
    const std::string name = WantName("a name");
    Want("=");
    const bool outer = std::exchange(in_is_lets_, true);
    auto value = Or();
    in_is_lets_ = outer;
    WantWord("in");
    auto node = Two(Form::kLet, std::move(value), Expr(), name);
    node->at.begin = at.begin;
    return node;
  }
  NodePtr Or() {
    auto a = And();
    while (Word("or")) {
      Next();
      a = Two(Form::kOr, std::move(a), And());
    }
    return a;
  }
  NodePtr And() {
    auto a = Not();
    while (Word("and")) {
      Next();
      a = Two(Form::kAnd, std::move(a), Not());
    }
    return a;
  }
  NodePtr Not() {
    if (!Word("not")) return Relation();
    const Deeper deeper(*this);
    auto node = Make(Form::kNot, Next().at);
    node->kids.push_back(Not());
    node->at.end = node->kids[0]->at.end;
    return node;
  }
  NodePtr Relation() {
    auto a = Sum();
    for (const char* sign : {"==", "!=", "<=", ">=", "<", ">"}) {
      if (Take(sign)) return Two(Form::kCompare, std::move(a), Sum(), sign);
    }
    if (Word("is")) {
      Next();
      WantWord("present");
      auto node = Make(Form::kPresent, a->at);
      node->kids.push_back(std::move(a));
      return node;
    }
    // `let x = a in b`: an `in` behind the value of a let is the let's own, so a membership there wants
    // brackets.
    if (!Word("in") || in_is_lets_) return a;
    Next();
    return Two(Form::kIn, std::move(a), Set());
  }
  NodePtr Set() {
    if (Sign("[")) return List();
    if (Is(Token::kNetwork)) return Primary();
    if (Is(Token::kName)) return Make(Form::kName, Peek().at, Next().text);
    auto from = Primary();
    Want("..");
    return Two(Form::kRange, std::move(from), Primary());
  }
  NodePtr List() {
    auto list = Make(Form::kList, Peek().at);
    Want("[");
    while (!Sign("]")) {
      if (!Is(Token::kString) && !Is(Token::kNumber) && !Is(Token::kNetwork)) Expected("a literal or ]");
      list->kids.push_back(Primary());
      if (!Sign("]")) Want(",");
    }
    list->at.end = Next().at.end;
    return list;
  }
  NodePtr Map() {
    auto map = Make(Form::kMap, Peek().at);
    Want("{");
    while (!Sign("}")) {
      for (const char* sign : {":", ","}) {
        if (!Is(Token::kString) && !Is(Token::kNumber)) Expected("a literal or }");
        map->kids.push_back(Primary());
        if (*sign == ':' || !Sign("}")) Want(sign);
      }
    }
    map->at.end = Next().at.end;
    return map;
  }
  NodePtr Sum() {
    auto a = Term();
    while (Sign("+") || Sign("-")) {
      const std::string sign = Next().text;
      a = Two(Form::kAdd, std::move(a), Term(), sign);
    }
    return a;
  }
  NodePtr Term() {
    auto a = Unary();
    while (Take("*")) a = Two(Form::kAdd, std::move(a), Unary(), "*");
    return a;
  }
  NodePtr Unary() {
    if (!Sign("-")) return Else();
    const Deeper deeper(*this);
    auto node = Make(Form::kNegate, Next().at);
    node->kids.push_back(Unary());
    return node;
  }
  NodePtr Else() {
    auto a = Primary();
    while (Word("or_else")) {
      Next();
      a = Two(Form::kOrElse, std::move(a), Primary());
    }
    return a;
  }
  NodePtr Primary() {
    if (Take("(")) {
      const bool outer = std::exchange(in_is_lets_, false);
      auto inner = Expr();
      in_is_lets_ = outer;
      Want(")");
      return inner;
    }
    const Lexeme& t = Peek();
    if (t.token == Token::kString) {
      auto node = Make(Form::kLiteral, t.at, t.text);
      node->type.type = Type::kString;
      node->value.text = node->text;
      Next();
      return node;
    }
    if (t.token == Token::kNumber) {
      auto node = Make(Form::kLiteral, t.at);
      node->type.type = t.type;
      node->value.number = t.number;
      Next();
      return node;
    }
    if (t.token == Token::kNetwork) {
      auto node = Make(Form::kNetwork, t.at);
      node->type.type = Type::kAddress;
      node->value.address = t.address;
      node->bits = t.bits;
      Next();
      return node;
    }
    if (t.token != Token::kName) Expected("an expression");
    if (t.text == "true" || t.text == "false") {
      auto node = Make(Form::kLiteral, t.at);
      node->type.type = Type::kBool;
      node->value.number = t.text == "true" ? 1 : 0;
      Next();
      return node;
    }
    static const std::set<std::string> kWords = {"and", "or", "not", "in", "is", "let", "or_else", "present"};
    if (kWords.contains(t.text)) Expected("an expression");
    auto node = Make(Form::kName, t.at, t.text);
    Next();
    if (!Take("(")) return node;
    node->form = Form::kCall;
    const bool outer = std::exchange(in_is_lets_, false);
    while (!Sign(")")) {
      node->kids.push_back(Expr());
      if (!Sign(")")) Want(",");
    }
    in_is_lets_ = outer;
    node->at.end = Next().at.end;
    return node;
  }

  std::vector<Lexeme> tokens_;
  std::vector<Fault>& faults_;
  std::size_t n_ = 0;
  int depth_ = 0;
  bool in_is_lets_ = false;
  FileText file_;
};

}  // namespace

FileText Parse(std::string_view text, std::vector<Fault>& faults) { return Parser(text, faults).File(); }

}  // namespace heronway::match
