#include "src/match/checker.h"

#include <re2/re2.h>

#include <algorithm>
#include <set>

#include "src/match/regex.h"

namespace heronway::match {
namespace {

constexpr TypeOf kBool{Type::kBool, false}, kString{Type::kString, false}, kMaybeString{Type::kString, true};

struct Field {
  const char* name;
  TypeOf type;
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
  TypeOf type;
  bool of_request;  // takes no value: it looks something up in the request
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

bool Counts(Type t) { return t == Type::kInt || t == Type::kDuration || t == Type::kBytes; }

class Checker {
 public:
  Checker(FileText& file, std::vector<Fault>& faults) : file_(file), faults_(faults) {}

  void File() {
    for (auto& [name, named] : file_.names) {
      if (!named.first) continue;
      if (named.first->form == Form::kList) {
        List(*named.first);
      } else if (named.first->form == Form::kMap) {
        Map(*named.first);
      } else {
        Condition(name);
      }
    }
    for (RuleText& rule : file_.rules) Rule(rule);
  }

 private:
  void Fault(Place at, std::string what) { faults_.push_back({at, std::move(what)}); }
  void Want(const Node& node, TypeOf wanted, const char* what) {
    if (node.type.type != wanted.type || (node.type.option && !wanted.option))
      Fault(node.at, std::string(what) + " is " + NameOf(wanted) + ", but this is " + NameOf(node.type));
  }

  void Rule(RuleText& rule) {
    const auto check = [&](NodePtr& node, TypeOf wanted, const char* what) {
      if (!node) return;
      scope_.clear();
      if (Expression(*node)) Want(*node, wanted, what);
    };
    check(rule.when, kBool, "a rule's condition");
    check(rule.job_class, kMaybeString, "a class");
    if (rule.job_class) WrittenOut(*rule.job_class);
    check(rule.key, {Type::kKey, true}, "a key");
    check(rule.tenant, kMaybeString, "a tenant");
    check(rule.rate_by, kMaybeString, "what a rate is by");
    const auto none = [&](const char* setting, std::int64_t value, std::int64_t most) {
      if (value < 0 || value > most)
        Fault(rule.places.at(setting), std::string(setting) + " is 0 to " + std::to_string(most));
    };
    if (rule.priority) none("priority", *rule.priority, 15);
    if (rule.max_retries) none("repeats", *rule.max_retries, 100);
    if (rule.rate && std::none_of(file_.rates.begin(), file_.rates.end(),
                                  [&](const auto& r) { return r.name == *rule.rate; }))
      Fault(rule.places.at("rate"), "rate " + *rule.rate + " is not there");
    if (rule.reject_reason && rule.goes_on)
      Fault(rule.places.at("refuse"), "a rule that refuses ends the search: it cannot continue");
  }

  // Which classes a rule may give must be known at load.
  void WrittenOut(const Node& n) {
    if (n.form == Form::kOrElse) return WrittenOut(*n.kids[0]), WrittenOut(*n.kids[1]);
    if (n.form != Form::kLiteral && !(n.form == Form::kCall && n.text == "lookup"))
      Fault(n.at, "a class is written out, or comes out of a map: lookup(...)");
  }

  // A condition's type and depth, once; a cycle is a fault that names its way round.
  int Condition(const std::string& name) {
    auto& [node, at] = file_.names.at(name);
    if (const auto known = depth_.find(name); known != depth_.end()) return known->second;
    if (const auto open = std::find(way_.begin(), way_.end(), name); open != way_.end()) {
      std::string round;
      for (auto it = open; it != way_.end(); ++it) round += *it + " -> ";
      Fault(at, "conditions use each other in a circle: " + round + name);
      return depth_[name] = 0;
    }
    way_.push_back(name);
    const auto outer = std::exchange(scope_, {});
    const int outer_deepest = std::exchange(deepest_, 0);
    if (Expression(*node)) Want(*node, kBool, "a condition");
    const int mine = deepest_ + 1;
    deepest_ = std::max(outer_deepest, mine);
    scope_ = outer;
    way_.pop_back();
    if (mine > kMaxConditionDepth)
      Fault(at, "conditions use each other more than " + std::to_string(kMaxConditionDepth) + " deep");
    return depth_[name] = mine;
  }

  bool List(Node& list) {
    if (list.kids.empty()) return Fault(list.at, "an empty list holds nothing"), false;
    for (auto& kid : list.kids) {
      if (kid->type.type != list.kids[0]->type.type)
        return Fault(kid->at, "a list is of one type: " + NameOf(list.kids[0]->type) + ", but this is " +
                                  NameOf(kid->type)),
               false;
    }
    list.type = list.kids[0]->type;
    return true;
  }

  bool Map(Node& map) {
    if (map.kids.empty()) return Fault(map.at, "an empty map holds nothing"), false;
    std::set<std::pair<std::int64_t, std::string_view>> keys;
    for (std::size_t i = 0; i < map.kids.size(); ++i) {
      const Node& kid = *map.kids[i];
      if (kid.type.type != map.kids[i % 2]->type.type)
        return Fault(kid.at, std::string("a map's ") + (i % 2 == 0 ? "keys" : "values") +
                                 " are of one type: " + NameOf(map.kids[i % 2]->type) + ", but this is " +
                                 NameOf(kid.type)),
               false;
      if (i % 2 == 0 && !keys.emplace(kid.value.number, kid.text).second)
        return Fault(kid.at, "this key is there already"), false;
    }
    map.type = map.kids[0]->type;
    return true;
  }

  // False where a fault was found below: what follows from it is not told as well.
  bool Expression(Node& n) {
    switch (n.form) {
      case Form::kLiteral:
        return true;
      case Form::kNetwork:
      case Form::kList:
      case Form::kMap:
      case Form::kRange:
        return Fault(n.at, "this can only stand behind `in`"), false;
      case Form::kName:
        return Name(n);
      case Form::kCall:
        return Call(n);
      case Form::kLet: {
        if (!Expression(*n.kids[0])) return false;
        scope_.emplace_back(n.text, n.kids[0].get());
        const bool good = Expression(*n.kids[1]);
        scope_.pop_back();
        n.type = n.kids[1]->type;
        return good;
      }
      case Form::kIn:
        return In(n);
      default:
        break;
    }
    bool good = true;
    for (auto& kid : n.kids) good = Expression(*kid) && good;
    if (!good) return false;
    const TypeOf a = n.kids[0]->type, b = n.kids.size() > 1 ? n.kids[1]->type : a;
    n.type = kBool;
    switch (n.form) {
      case Form::kNot:
      case Form::kAnd:
      case Form::kOr:
        for (auto& kid : n.kids) {
          if (kid->type != kBool)
            return Fault(kid->at, "not, and, or take bool, but this is " + NameOf(kid->type)), false;
        }
        return true;
      case Form::kPresent:
        if (!a.option) return Fault(n.at, "this is always present"), false;
        return true;
      case Form::kOrElse:
        if (!a.option) return Fault(n.at, "this is never missing: or_else has nothing to do"), false;
        if (a.type != b.type)
          return Fault(n.kids[1]->at,
                       "or_else gives " + NameOf(TypeOf{a.type}) + ", but this is " + NameOf(b)),
                 false;
        n.type = b;
        return true;
      case Form::kNegate:
      case Form::kAdd:
        if (n.text == "*"
                ? !(Counts(a.type) && b.type == Type::kInt) && !(a.type == Type::kInt && Counts(b.type))
                : a.type != b.type || !Counts(a.type))
          return Fault(n.at, "no " + (n.text.empty() ? "-" : n.text) + " between " + NameOf(a) + " and " +
                                 NameOf(b)),
                 false;
        n.type = {a.type == Type::kInt ? b.type : a.type, a.option || b.option};
        return true;
      case Form::kCompare:
        if (a.type != b.type)
          return Fault(n.at, "no comparison between " + NameOf(a) + " and " + NameOf(b)), false;
        if (a.type == Type::kAddress) return Fault(n.at, "addresses are tested with `in`"), false;
        if ((a.type == Type::kBool || a.type == Type::kKey) && n.text != "==" && n.text != "!=")
          return Fault(n.at, NameOf(a) + " has no order"), false;
        return true;
      default:
        return true;
    }
  }

  bool Name(Node& n) {
    for (auto it = scope_.rbegin(); it != scope_.rend(); ++it) {
      if (it->first != n.text) continue;
      n.stands_for = it->second;
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
      return Fault(n.at, n.text + " is not known"), false;
    const Form form = named->second.first->form;
    if (form == Form::kList || form == Form::kMap)
      return Fault(n.at, n.text + " is a set or map: it can only stand behind `in`, or in lookup()"), false;
    deepest_ = std::max(deepest_, Condition(n.text));
    n.stands_for = named->second.first.get();
    n.type = kBool;
    return true;
  }

  // lookup(MAP, VALUE): what the map has for the value; missing where it has nothing.
  bool Lookup(Node& n) {
    if (n.kids.size() != 2) return Fault(n.at, "lookup takes a map and a value"), false;
    Node& map = *n.kids[0];
    const auto named = file_.names.find(map.text);
    if (map.form != Form::kName || named == file_.names.end() || !named->second.first ||
        named->second.first->form != Form::kMap)
      return Fault(map.at, "this is no map's name"), false;
    Node& held = *named->second.first;
    if (!Expression(*n.kids[1]) || !Map(held)) return false;
    if (n.kids[1]->type.type != held.type.type)
      return Fault(n.kids[1]->at,
                   "the map's keys are " + NameOf(held.type) + ", but this is " + NameOf(n.kids[1]->type)),
             false;
    map.stands_for = &held;
    n.type = {held.kids[1]->type.type, true};
    return true;
  }

  bool Call(Node& n) {
    if (n.text == "lookup") return Lookup(n);
    const auto f = std::find_if(std::begin(kFunctions), std::end(kFunctions),
                                [&n](const Function& g) { return n.text == g.name; });
    if (f == std::end(kFunctions)) return Fault(n.at, "function " + n.text + " is not known"), false;
    const std::string_view wanted = f->arguments;
    if (n.kids.size() != wanted.size())
      return Fault(n.at, n.text + " takes " + std::to_string(wanted.size()) + " arguments, not " +
                             std::to_string(n.kids.size())),
             false;
    bool option = f->type.option;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
      Node& kid = *n.kids[i];
      if (!Expression(kid)) return false;
      const bool literal = kid.form == Form::kLiteral;
      if (wanted[i] == 'I') {
        if (!literal || kid.type.type != Type::kInt || kid.value.number < 1 || kid.value.number > 1000)
          return Fault(kid.at, "this is a whole number from 1 to 1000, written out"), false;
      } else if (kid.type.type != Type::kString) {
        return Fault(kid.at, n.text + " takes string here, but this is " + NameOf(kid.type)), false;
      } else if (wanted[i] != 's' && !literal) {
        return Fault(kid.at, "this is a string, written out"), false;
      }
      if (wanted[i] == 'R') {
        const RE2 re(kid.text, RegexOptions());
        if (!re.ok()) return Fault(kid.at, "the regular expression: " + re.error()), false;
      }
      option = option || (wanted[i] == 's' && kid.type.option && f->type.type != Type::kBool);
    }
    n.type = {f->type.type, option};
    return true;
  }

  bool In(Node& n) {
    Node& what = *n.kids[0];
    Node* set = n.kids[1].get();
    n.type = kBool;
    if (!Expression(what)) return false;
    if (set->form == Form::kName) {
      const auto named = file_.names.find(set->text);
      if (named == file_.names.end() || !named->second.first ||
          (named->second.first->form != Form::kList && named->second.first->form != Form::kMap))
        return Fault(set->at, "set " + set->text + " is not known"), false;
      set->stands_for = named->second.first.get();
      set = named->second.first.get();
    }
    if (set->form == Form::kList && !List(*set)) return false;
    if (set->form == Form::kMap && !Map(*set)) return false;
    if (set->form == Form::kRange) {
      for (auto& kid : set->kids) {
        if (kid->form != Form::kLiteral || !Counts(kid->type.type))
          return Fault(kid->at, "a range is of numbers, written out"), false;
      }
      if (set->kids[0]->type != set->kids[1]->type) return Fault(set->at, "a range is of one type"), false;
      if (set->kids[0]->value.number > set->kids[1]->value.number)
        return Fault(set->at, "the range ends before it begins"), false;
      set->type = set->kids[0]->type;
    }
    if (set->type.type != what.type.type)
      return Fault(n.at, "no " + NameOf(what.type) + " in what is of " + NameOf(set->type)), false;
    return true;
  }

  FileText& file_;
  std::vector<match::Fault>& faults_;
  std::vector<std::pair<std::string, const Node*>> scope_;
  std::vector<std::string> way_;
  std::map<std::string, int> depth_;
  int deepest_ = 0;
};

}  // namespace

const char* NameOf(Type type) {
  constexpr const char* kNames[] = {"bool", "int", "duration", "bytes", "string", "address", "key"};
  return kNames[static_cast<std::size_t>(type)];
}
std::string NameOf(TypeOf type) { return (type.option ? "option " : "") + std::string(NameOf(type.type)); }

void Check(FileText& file, std::vector<Fault>& faults) { Checker(file, faults).File(); }

}  // namespace heronway::match
