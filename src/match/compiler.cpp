#include <re2/re2.h>

#include <algorithm>

#include "src/match/program.h"
#include "src/match/regex.h"

namespace heronway::match {
namespace {

void Mask(AddressBytes& address, int bits) {
  for (int i = 0; i < 16; ++i) {
    const int left = std::clamp(bits - 8 * i, 0, 8);
    address[static_cast<std::size_t>(i)] &= static_cast<std::uint8_t>(0xff << (8 - left));
  }
}

std::string GlobAsRegex(const std::string& glob) {
  std::string out;
  for (const char c : glob) out += c == '*' ? ".*" : c == '?' ? "." : RE2::QuoteMeta(std::string(1, c));
  return "(?s)" + out;
}

}  // namespace

Search::Search(std::string_view what) : text(what), back(what.size() + 1) {
  for (std::uint32_t at = 1, fits = 0; at < what.size(); ++at) {
    while (fits > 0 && what[at] != what[fits]) fits = back[fits];
    if (what[at] == what[fits]) ++fits;
    back[at + 1] = fits;
  }
}

Program::Program() = default;
Program::~Program() = default;
Program::Program(Program&&) noexcept = default;
Program& Program::operator=(Program&&) noexcept = default;

Steps Compiler::Compile(const Node& node) {
  Steps steps;
  Steps* outer = std::exchange(steps_, &steps);
  const int outer_depth = std::exchange(depth_, 0);
  Emit(node);
  depth_ = outer_depth;
  steps_ = outer;
  return steps;
}

void Compiler::Out(Code code, std::uint32_t a, std::uint32_t b, int pushes) {
  steps_->push_back({code, a, b, 0});
  depth_ += pushes;
  program_.stack = std::max(program_.stack, depth_ + 1);
}

std::uint32_t Compiler::Constant(const Value& value) {
  Value kept = value;
  if (!value.text.empty()) {
    program_.texts.emplace_back(value.text);
    kept.text = program_.texts.back();
  }
  program_.constants.push_back(kept);
  return static_cast<std::uint32_t>(program_.constants.size() - 1);
}

std::uint32_t Compiler::Field(FieldRef field) {
  const auto [it, fresh] = fields_.try_emplace(field, static_cast<std::uint32_t>(program_.fields.size()));
  if (fresh) program_.fields.push_back(std::move(field));
  return it->second;
}

std::uint32_t Compiler::Set(const Node& list) {
  if (const auto known = sets_.find(&list); known != sets_.end()) return known->second;
  program_.sets.emplace_back();
  SetOf& set = program_.sets.back();
  const std::size_t step = list.form == Form::kMap ? 2 : 1;  // of a map, its keys
  const auto add = [&](const Node& n) {
    if (n.type.type == Type::kString) {
      program_.texts.push_back(n.text);
      set.texts.insert(program_.texts.back());
    } else if (n.type.type == Type::kAddress) {
      AddressBytes masked = n.value.address;
      Mask(masked, n.bits);
      set.networks[n.bits].insert(masked);
    } else {
      set.numbers.insert(n.value.number);
    }
  };
  if (list.form == Form::kNetwork) add(list);
  for (std::size_t i = 0; i < list.kids.size(); i += step) add(*list.kids[i]);
  return sets_[&list] = static_cast<std::uint32_t>(program_.sets.size() - 1);
}

std::uint32_t Compiler::Regex(const std::string& text, Code code) {
  const auto [it, fresh] =
      regexes_.try_emplace({code, text}, static_cast<std::uint32_t>(program_.regexes.size()));
  if (fresh) {
    program_.regexes.push_back(std::make_unique<RE2>(text, RegexOptions()));
  }
  return it->second;
}

std::uint32_t Compiler::SearchFor(const std::string& text) {
  const auto [it, fresh] = searches_.try_emplace(text, static_cast<std::uint32_t>(program_.searches.size()));
  if (fresh) {
    program_.texts.push_back(text);
    program_.searches.emplace_back(program_.texts.back());
  }
  return it->second;
}

std::uint32_t Compiler::Map(const Node& map) {
  if (const auto known = maps_.find(&map); known != maps_.end()) return known->second;
  program_.maps.emplace_back();
  MapOf& held = program_.maps.back();
  for (std::size_t i = 0; i < map.kids.size(); i += 2) {
    const Value value = program_.constants[Constant(map.kids[i + 1]->value)];
    if (map.type.type == Type::kString) {
      program_.texts.push_back(map.kids[i]->text);
      held.texts.emplace(program_.texts.back(), value);
    } else {
      held.numbers.emplace(map.kids[i]->value.number, value);
    }
  }
  return maps_[&map] = static_cast<std::uint32_t>(program_.maps.size() - 1);
}

// The value is on the stack. One that is a field as it came is of that field's group.
void Compiler::EmitRegex(const Node& n, Code code, const std::string& text) {
  const std::uint32_t regex = Regex(text, code);
  program_.group_of.resize(program_.regexes.size(), ~0U);
  const Step last = steps_->back();
  const Form form = n.kids[0]->form;
  if (last.code != Code::kField || (form != Form::kName && form != Form::kCall))
    return Out(code, regex, 0, 0);
  const auto [it, fresh] = groups_.try_emplace(last.a, static_cast<std::uint32_t>(program_.groups.size()));
  if (fresh) {
    program_.groups.push_back(std::make_unique<RegexGroup>());
    program_.groups.back()->field = last.a;
  }
  RegexGroup& group = *program_.groups[it->second];
  // One expression is in one group only: that of the field it met first.
  if (program_.group_of[regex] == ~0U) {
    program_.group_of[regex] = it->second;
    group.members.push_back(regex);
    group.patterns.push_back(code == Code::kWhole ? "\\A(?:" + text + ")\\z" : text);
  }
  const auto place = std::find(group.members.begin(), group.members.end(), regex);
  const bool mine = program_.group_of[regex] == it->second && place != group.members.end();
  Out(code, regex, mine ? static_cast<std::uint32_t>(place - group.members.begin()) + 1 : 0, 0);
}

void Compiler::Finish() {
  for (auto& group : program_.groups) {
    const std::size_t many = group->patterns.size();
    if (many < RegexGroup::kSetAt) continue;
    const auto gather = [&](std::size_t from, std::size_t to) {
      auto set = std::make_unique<RE2::Set>(RegexOptions(8 << 20), RE2::UNANCHORED);
      for (std::size_t i = from; i < to; ++i) set->Add(group->patterns[i], nullptr);
      if (set->Compile()) return group->sets.push_back(std::move(set)), true;
      return false;  // too large together: each is tried by itself
    };
    bool good = gather(0, many);
    for (std::size_t i = 0; good && i < many && many > RegexGroup::kBlock; i += RegexGroup::kBlock)
      good = gather(i, std::min(many, i + RegexGroup::kBlock));
    if (!good) group->sets.clear();
  }
}

std::uint32_t Compiler::Condition(const std::string& name, const Node& node) {
  if (const auto known = conditions_.find(&node); known != conditions_.end()) return known->second;
  Steps steps = Compile(node);  // first those that it uses
  program_.conditions.push_back(std::move(steps));
  program_.condition_names.push_back(name);
  return conditions_[&node] = static_cast<std::uint32_t>(program_.conditions.size() - 1);
}

// Comparisons and arithmetic of what is written out are done here, by the machine itself.
bool Compiler::Folded(const Node& n) {
  const bool folds = n.form == Form::kAdd || n.form == Form::kNegate || n.form == Form::kCompare;
  if (folding_ || !folds ||
      std::any_of(n.kids.begin(), n.kids.end(), [](const auto& k) { return k->form != Form::kLiteral; }))
    return false;
  folding_ = true;
  const Steps steps = Compile(n);
  folding_ = false;
  Machine machine(program_);
  const Request none;
  machine.Begin(none);
  Out(Code::kConstant, Constant(machine.Run(steps)), 0, 1);
  return true;
}

// The field, and one more, whose bytes a text is made of; 0 where it may be any.
std::uint32_t Compiler::OfField(const Node& n) {
  if (n.form == Form::kCall && (n.text == "split" || n.text == "lower")) return OfField(*n.kids[0]);
  const bool call = n.form == Form::kCall &&
                    (n.text == "segment" || n.text == "header" || n.text == "query" || n.text == "custom");
  const bool name = n.form == Form::kName && n.stands_for == nullptr;
  if (!call && !name) return 0;
  Steps steps;
  Steps* outer = std::exchange(steps_, &steps);
  const int depth = depth_;
  EmitForm(n);
  depth_ = depth;
  steps_ = outer;
  return steps[0].a + 1;
}

void Compiler::Emit(const Node& n) {
  EmitForm(n);
  if (n.form != Form::kCall && n.form != Form::kIn) return;
  const Node& text = n.form == Form::kCall && n.text == "lookup" ? *n.kids[1] : *n.kids[0];
  if (Step& last = steps_->back(); last.code != Code::kField) last.of_field = OfField(text);
}

void Compiler::EmitForm(const Node& n) {
  const auto kid = [&](std::size_t i) -> const Node& { return *n.kids[i]; };
  if (Folded(n)) return;
  const auto here = [&] { return static_cast<std::uint32_t>(steps_->size()); };
  switch (n.form) {
    case Form::kLiteral:
      return Out(Code::kConstant, Constant(n.value), 0, 1);
    case Form::kName: {
      for (auto it = locals_.rbegin(); it != locals_.rend(); ++it) {
        if (it->first == n.stands_for) return Out(Code::kLoad, it->second, 0, 1);
      }
      if (n.stands_for != nullptr) return Out(Code::kCondition, Condition(n.text, *n.stands_for), 0, 1);
      using K = FieldRef::Kind;
      const K kind = n.text == "path"         ? K::kPath
                     : n.text == "front"      ? K::kFront
                     : n.text == "jobtype"    ? K::kJobtype
                     : n.text == "queue"      ? K::kQueue
                     : n.text == "peer"       ? K::kPeer
                     : n.text == "body_bytes" ? K::kBodyBytes
                     : n.text == "deadline"   ? K::kDeadline
                                              : K::kRepeat;
      return Out(Code::kField, Field({kind, "", 0}), 0, 1);
    }
    case Form::kLet: {
      Emit(kid(0));
      const auto slot = static_cast<std::uint32_t>(locals_.size());
      Out(Code::kStore, slot, 0, -1);
      program_.locals = std::max(program_.locals, static_cast<int>(slot) + 1);
      locals_.emplace_back(n.kids[0].get(), slot);
      Emit(kid(1));
      locals_.pop_back();
      return;
    }
    case Form::kAnd:
    case Form::kOr:
    case Form::kOrElse: {
      Emit(kid(0));
      const std::size_t jump = steps_->size();
      Out(n.form == Form::kAnd  ? Code::kJumpIfFalse
          : n.form == Form::kOr ? Code::kJumpIfTrue
                                : Code::kJumpIfPresent,
          0, 0, -1);
      Emit(kid(1));
      (*steps_)[jump].a = here();
      return;
    }
    case Form::kNot:
      Emit(kid(0));
      return Out(Code::kNot, 0, 0, 0);
    case Form::kPresent:
      Emit(kid(0));
      return Out(Code::kPresent, 0, 0, 0);
    case Form::kIn: {
      Emit(kid(0));
      const Node& set = kid(1).stands_for != nullptr ? *kid(1).stands_for : kid(1);
      if (set.form == Form::kRange)
        return Out(Code::kInRange, Constant(set.kids[0]->value), Constant(set.kids[1]->value), 0);
      return Out(Code::kInSet, Set(set), static_cast<std::uint32_t>(set.type.type), 0);
    }
    case Form::kNegate:
      Emit(kid(0));
      return Out(Code::kNegate, 0, 0, 0);
    case Form::kAdd:
      Emit(kid(0));
      Emit(kid(1));
      return Out(n.text == "+" ? Code::kAdd : n.text == "-" ? Code::kSubtract : Code::kMultiply, 0, 0, -1);
    case Form::kCompare: {
      Emit(kid(0));
      Emit(kid(1));
      const std::uint32_t which = n.text == "=="   ? 0
                                  : n.text == "!=" ? 1
                                  : n.text == "<"  ? 2
                                  : n.text == "<=" ? 3
                                  : n.text == ">"  ? 4
                                                   : 5;
      return Out(Code::kCompare, which, static_cast<std::uint32_t>(kid(0).type.type), -1);
    }
    case Form::kCall: {
      using K = FieldRef::Kind;
      if (n.text == "segment") return Out(Code::kField, Field({K::kSegment, "", kid(0).value.number}), 0, 1);
      if (n.text == "header" || n.text == "query" || n.text == "custom")
        return Out(Code::kField,
                   Field({n.text == "header"  ? K::kHeader
                          : n.text == "query" ? K::kQuery
                                              : K::kCustom,
                          kid(0).text, 0}),
                   0, 1);
      if (n.text == "lookup") {
        Emit(kid(1));
        const Node& map = *kid(0).stands_for;
        return Out(Code::kLookup, Map(map), static_cast<std::uint32_t>(map.type.type), 0);
      }
      Emit(kid(0));
      if (n.text == "matches") return EmitRegex(n, Code::kRegex, kid(1).text);
      if (n.text == "glob") return EmitRegex(n, Code::kWhole, GlobAsRegex(kid(1).text));
      if (n.text == "split")
        return Out(Code::kSplit, SearchFor(kid(1).text), static_cast<std::uint32_t>(kid(2).value.number), 0);
      if (n.text == "prefix") return Out(Code::kPrefix, Constant(kid(1).value), 0, 0);
      if (n.text == "suffix") return Out(Code::kSuffix, Constant(kid(1).value), 0, 0);
      if (n.text == "contains") return Out(Code::kContains, SearchFor(kid(1).text), 0, 0);
      if (n.text == "lower") program_.scratch += kMaxHeadBytes;
      return Out(n.text == "lower"    ? Code::kLower
                 : n.text == "length" ? Code::kLength
                 : n.text == "int"    ? Code::kInt
                 : n.text == "hex"    ? Code::kHex
                                      : Code::kHash,
                 0, 0, 0);
    }
    default:
      return;
  }
}

}  // namespace heronway::match
