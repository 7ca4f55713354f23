#include "src/match/checker.h"

#include <re2/re2.h>

#include <algorithm>
#include <set>

#include "src/match/regex.h"

namespace heronway::match {
namespace {

constexpr ValueType kBool{Type::kBool, false}, kString{Type::kString, false},
    kMaybeString{Type::kString, true};

struct Field {
  const char* name;
  ValueType type;
};
constexpr Field kFields[] = {{"path", kString},
                             {"front", kString},
                             {"jobtype", kMaybeString},
                             {"queue", kMaybeString},
                             {"peer", {Type::kAddress, false}},
                             {"body_bytes", {Type::kBytes, false}},
                             {"deadline", {Type::kDuration, false}},
                             {"repeat", kBool}};

// `arguments`: s a string, S a string literal, R a regular expression as a literal, I a whole number literal.
struct Function {
  const char* name;
  const char* arguments;
  ValueType type;
  bool reads_request;  // takes no value: it looks something up in the request
};
constexpr Function kFunctions[] = {
    {"segment", "I", kMaybeString, true},     {"header", "S", kMaybeString, true},
    {"query", "S", kMaybeString, true},       {"custom", "S", kMaybeString, true},
    {"prefix", "sS", kBool, false},           {"suffix", "sS", kBool, false},
    {"contains", "sS", kBool, false},         {"glob", "sS", kBool, false},
    {"matches", "sR", kBool, false},          {"split", "sSI", kMaybeString, false},
    {"lower", "s", kString, false},           {"length", "s", {Type::kInt, false}, false},
    {"int", "s", {Type::kInt, true}, false},  {"hex", "s", {Type::kKey, true}, false},
    {"hash", "s", {Type::kKey, false}, false}};

bool IsNumeric(Type t) { return t == Type::kInt || t == Type::kDuration || t == Type::kBytes; }

class Checker {
 public:
  Checker(RuleFile& file, std::vector<Diagnostic>& diagnostics) : file_(file), diagnostics_(diagnostics) {}

  void File() {
    for (auto& [name, named] : file_.names) {
      if (!named.first) continue;
      if (named.first->kind == NodeKind::kList) {
        List(*named.first);
      } else if (named.first->kind == NodeKind::kMap) {
        Map(*named.first);
      } else {
        Condition(name);
      }
    }
    for (RuleDecl& rule : file_.rules) Rule(rule);
  }

 private:
  void Report(SourceRange at, std::string what) { diagnostics_.push_back({at, std::move(what)}); }
  void ExpectType(const Node& node, ValueType wanted, const char* what) {
    if (node.type.type != wanted.type || (node.type.option && !wanted.option))
      Report(node.range, std::string(what) + " is " + NameOf(wanted) + ", but this is " + NameOf(node.type));
  }

  void Rule(RuleDecl& rule) {
    const auto check = [&](NodePtr& node, ValueType wanted, const char* what) {
      if (!node) return;
      scope_.clear();
      if (Expression(*node)) ExpectType(*node, wanted, what);
    };
    check(rule.when, kBool, "a rule's condition");
    check(rule.job_class, kMaybeString, "a class");
    if (rule.job_class) RequireStaticClass(*rule.job_class);
    check(rule.key, {Type::kKey, true}, "a key");
    check(rule.tenant, kMaybeString, "a tenant");
    check(rule.rate_by, kMaybeString, "what a rate is by");
    const auto check_range = [&](const char* setting, std::int64_t value, std::int64_t most) {
      if (value < 0 || value > most)
        Report(rule.places.at(setting), std::string(setting) + " is 0 to " + std::to_string(most));
    };
    if (rule.priority) check_range("priority", *rule.priority, 15);
    if (rule.max_retries) check_range("repeats", *rule.max_retries, 100);
    if (rule.rate && std::none_of(file_.rates.begin(), file_.rates.end(),
                                  [&](const auto& r) { return r.name == *rule.rate; }))
      Report(rule.places.at("rate"), "rate " + *rule.rate + " is not there");
    if (rule.reject_reason && rule.continues)
      Report(rule.places.at("refuse"), "a rule that refuses ends the search: it cannot continue");
  }

  // Which classes a rule may give must be known at load.
  void RequireStaticClass(const Node& n) {
    if (n.kind == NodeKind::kOrElse)
      return RequireStaticClass(*n.children[0]), RequireStaticClass(*n.children[1]);
    if (n.kind != NodeKind::kLiteral && !(n.kind == NodeKind::kCall && n.text == "lookup"))
      Report(n.range, "a class is written out, or comes out of a map: lookup(...)");
  }

  // A condition's type and depth, once; a cycle is a fault that names its way round.
  int Condition(const std::string& name) {
    auto& [node, at] = file_.names.at(name);
    if (const auto known = depth_.find(name); known != depth_.end()) return known->second;
    if (const auto open = std::find(condition_path_.begin(), condition_path_.end(), name);
        open != condition_path_.end()) {
      std::string round;
      for (auto it = open; it != condition_path_.end(); ++it) round += *it + " -> ";
      Report(at, "conditions use each other in a circle: " + round + name);
      return depth_[name] = 0;
    }
    condition_path_.push_back(name);
    const auto outer = std::exchange(scope_, {});
    const int outer_deepest = std::exchange(deepest_condition_, 0);
    if (Expression(*node)) ExpectType(*node, kBool, "a condition");
    const int mine = deepest_condition_ + 1;
    deepest_condition_ = std::max(outer_deepest, mine);
    scope_ = outer;
    condition_path_.pop_back();
    if (mine > kMaxConditionDepth)
      Report(at, "conditions use each other more than " + std::to_string(kMaxConditionDepth) + " deep");
    return depth_[name] = mine;
  }

  bool List(Node& list) {
    if (list.children.empty()) return Report(list.range, "an empty list holds nothing"), false;
    for (auto& child : list.children) {
      if (child->type.type != list.children[0]->type.type)
        return Report(child->range, "a list is of one type: " + NameOf(list.children[0]->type) +
                                        ", but this is " + NameOf(child->type)),
               false;
    }
    list.type = list.children[0]->type;
    return true;
  }

  bool Map(Node& map) {
    if (map.children.empty()) return Report(map.range, "an empty map holds nothing"), false;
    std::set<std::pair<std::int64_t, std::string_view>> keys;
    for (std::size_t i = 0; i < map.children.size(); ++i) {
      const Node& child = *map.children[i];
      if (child.type.type != map.children[i % 2]->type.type)
        return Report(child.range, std::string("a map's ") + (i % 2 == 0 ? "keys" : "values") +
                                       " are of one type: " + NameOf(map.children[i % 2]->type) +
                                       ", but this is " + NameOf(child.type)),
               false;
      if (i % 2 == 0 && !keys.emplace(child.value.number, child.text).second)
        return Report(child.range, "this key is there already"), false;
    }
    map.type = map.children[0]->type;
    return true;
  }

  // False where a fault was found below: what follows from it is not told as well.
  bool Expression(Node& n) {
    switch (n.kind) {
      case NodeKind::kLiteral:
        return true;
      case NodeKind::kNetwork:
      case NodeKind::kList:
      case NodeKind::kMap:
      case NodeKind::kRange:
        return Report(n.range, "this can only stand behind `in`"), false;
      case NodeKind::kName:
        return Name(n);
      case NodeKind::kCall:
        return Call(n);
      case NodeKind::kLet: {
        if (!Expression(*n.children[0])) return false;
        scope_.emplace_back(n.text, n.children[0].get());
        const bool good = Expression(*n.children[1]);
        scope_.pop_back();
        n.type = n.children[1]->type;
        return good;
      }
      case NodeKind::kIn:
        return In(n);
      default:
        break;
    }
    bool good = true;
    for (auto& child : n.children) good = Expression(*child) && good;
    if (!good) return false;
    const ValueType a = n.children[0]->type, b = n.children.size() > 1 ? n.children[1]->type : a;
    n.type = kBool;
    switch (n.kind) {
      case NodeKind::kNot:
      case NodeKind::kAnd:
      case NodeKind::kOr:
        for (auto& child : n.children) {
          if (child->type != kBool)
            return Report(child->range, "not, and, or take bool, but this is " + NameOf(child->type)), false;
        }
        return true;
      case NodeKind::kPresent:
        if (!a.option) return Report(n.range, "this is always present"), false;
        return true;
      case NodeKind::kOrElse:
        if (!a.option) return Report(n.range, "this is never missing: or_else has nothing to do"), false;
        if (a.type != b.type)
          return Report(n.children[1]->range,
                        "or_else gives " + NameOf(ValueType{a.type}) + ", but this is " + NameOf(b)),
                 false;
        n.type = b;
        return true;
      case NodeKind::kNegate:
      case NodeKind::kAdd:
        if (n.text == "*"
                ? !(IsNumeric(a.type) && b.type == Type::kInt) && !(a.type == Type::kInt && IsNumeric(b.type))
                : a.type != b.type || !IsNumeric(a.type))
          return Report(n.range, "no " + (n.text.empty() ? "-" : n.text) + " between " + NameOf(a) + " and " +
                                     NameOf(b)),
                 false;
        n.type = {a.type == Type::kInt ? b.type : a.type, a.option || b.option};
        return true;
      case NodeKind::kCompare:
        if (a.type != b.type)
          return Report(n.range, "no comparison between " + NameOf(a) + " and " + NameOf(b)), false;
        if (a.type == Type::kAddress) return Report(n.range, "addresses are tested with `in`"), false;
        if ((a.type == Type::kBool || a.type == Type::kKey) && n.text != "==" && n.text != "!=")
          return Report(n.range, NameOf(a) + " has no order"), false;
        return true;
      default:
        return true;
    }
  }

  bool Name(Node& n) {
    for (auto it = scope_.rbegin(); it != scope_.rend(); ++it) {
      if (it->first != n.text) continue;
      n.resolved = it->second;
      n.type = it->second->type;
      return true;
    }
    for (const Field& f : kFields) {
      if (n.text != f.name) continue;
      n.type = f.type;
      return true;
    }
    const auto named = file_.names.find(n.text);
    if (named == file_.names.end() || !named->second.first)
      return Report(n.range, n.text + " is not known"), false;
    const NodeKind kind = named->second.first->kind;
    if (kind == NodeKind::kList || kind == NodeKind::kMap)
      return Report(n.range, n.text + " is a set or map: it can only stand behind `in`, or in lookup()"),
             false;
    deepest_condition_ = std::max(deepest_condition_, Condition(n.text));
    n.resolved = named->second.first.get();
    n.type = kBool;
    return true;
  }

  // lookup(MAP, VALUE): what the map has for the value; missing where it has nothing.
  bool Lookup(Node& n) {
    if (n.children.size() != 2) return Report(n.range, "lookup takes a map and a value"), false;
    Node& map = *n.children[0];
    const auto named = file_.names.find(map.text);
    if (map.kind != NodeKind::kName || named == file_.names.end() || !named->second.first ||
        named->second.first->kind != NodeKind::kMap)
      return Report(map.range, "this is no map's name"), false;
    Node& held = *named->second.first;
    if (!Expression(*n.children[1]) || !Map(held)) return false;
    if (n.children[1]->type.type != held.type.type)
      return Report(n.children[1]->range, "the map's keys are " + NameOf(held.type) + ", but this is " +
                                              NameOf(n.children[1]->type)),
             false;
    map.resolved = &held;
    n.type = {held.children[1]->type.type, true};
    return true;
  }

  bool Call(Node& n) {
    if (n.text == "lookup") return Lookup(n);
    const auto f = std::find_if(std::begin(kFunctions), std::end(kFunctions),
                                [&n](const Function& g) { return n.text == g.name; });
    if (f == std::end(kFunctions)) return Report(n.range, "function " + n.text + " is not known"), false;
    const std::string_view wanted = f->arguments;
    if (n.children.size() != wanted.size())
      return Report(n.range, n.text + " takes " + std::to_string(wanted.size()) + " arguments, not " +
                                 std::to_string(n.children.size())),
             false;
    bool option = f->type.option;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
      Node& child = *n.children[i];
      if (!Expression(child)) return false;
      const bool literal = child.kind == NodeKind::kLiteral;
      if (wanted[i] == 'I') {
        if (!literal || child.type.type != Type::kInt || child.value.number < 1 || child.value.number > 1000)
          return Report(child.range, "this is a whole number from 1 to 1000, written out"), false;
      } else if (child.type.type != Type::kString) {
        return Report(child.range, n.text + " takes string here, but this is " + NameOf(child.type)), false;
      } else if (wanted[i] != 's' && !literal) {
        return Report(child.range, "this is a string, written out"), false;
      }
      if (wanted[i] == 'R') {
        const RE2 re(child.text, RegexOptions());
        if (!re.ok()) return Report(child.range, "the regular expression: " + re.error()), false;
      }
      option = option || (wanted[i] == 's' && child.type.option && f->type.type != Type::kBool);
    }
    n.type = {f->type.type, option};
    return true;
  }

  bool In(Node& n) {
    Node& what = *n.children[0];
    Node* set = n.children[1].get();
    n.type = kBool;
    if (!Expression(what)) return false;
    if (set->kind == NodeKind::kName) {
      const auto named = file_.names.find(set->text);
      if (named == file_.names.end() || !named->second.first ||
          (named->second.first->kind != NodeKind::kList && named->second.first->kind != NodeKind::kMap))
        return Report(set->range, "set " + set->text + " is not known"), false;
      set->resolved = named->second.first.get();
      set = named->second.first.get();
    }
    if (set->kind == NodeKind::kList && !List(*set)) return false;
    if (set->kind == NodeKind::kMap && !Map(*set)) return false;
    if (set->kind == NodeKind::kRange) {
      for (auto& child : set->children) {
        if (child->kind != NodeKind::kLiteral || !IsNumeric(child->type.type))
          return Report(child->range, "a range is of numbers, written out"), false;
      }
      if (set->children[0]->type != set->children[1]->type)
        return Report(set->range, "a range is of one type"), false;
      if (set->children[0]->value.number > set->children[1]->value.number)
        return Report(set->range, "the range ends before it begins"), false;
      set->type = set->children[0]->type;
    }
    if (set->type.type != what.type.type)
      return Report(n.range, "no " + NameOf(what.type) + " in what is of " + NameOf(set->type)), false;
    return true;
  }

  RuleFile& file_;
  std::vector<match::Diagnostic>& diagnostics_;
  std::vector<std::pair<std::string, const Node*>> scope_;
  std::vector<std::string> condition_path_;
  std::map<std::string, int> depth_;
  int deepest_condition_ = 0;
};

}  // namespace

const char* NameOf(Type type) {
  constexpr const char* kNames[] = {"bool", "int", "duration", "bytes", "string", "address", "key"};
  return kNames[static_cast<std::size_t>(type)];
}
std::string NameOf(ValueType type) { return (type.option ? "option " : "") + std::string(NameOf(type.type)); }

void Check(RuleFile& file, std::vector<Diagnostic>& diagnostics) { Checker(file, diagnostics).File(); }

}  // namespace heronway::match
