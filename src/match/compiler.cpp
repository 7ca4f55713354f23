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

SubstringSearch::SubstringSearch(std::string_view what) : text(what), failure(what.size() + 1) {
  for (std::uint32_t at = 1, fits = 0; at < what.size(); ++at) {
    while (fits > 0 && what[at] != what[fits]) fits = failure[fits];
    if (what[at] == what[fits]) ++fits;
    failure[at + 1] = fits;
  }
}

Program::Program() = default;
Program::~Program() = default;
Program::Program(Program&&) noexcept = default;
Program& Program::operator=(Program&&) noexcept = default;

Bytecode Compiler::Compile(const Node& node) {
  Bytecode code;
  Bytecode* outer = std::exchange(code_, &code);
  const int outer_depth = std::exchange(depth_, 0);
  Emit(node);
  depth_ = outer_depth;
  code_ = outer;
  return code;
}

void Compiler::Append(Opcode opcode, std::uint32_t a, std::uint32_t b, int pushes) {
  code_->push_back({opcode, a, b, 0});
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
  ValueSet& set = program_.sets.back();
  const std::size_t step = list.kind == NodeKind::kMap ? 2 : 1;  // a map as a set: its keys
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
  if (list.kind == NodeKind::kNetwork) add(list);
  for (std::size_t i = 0; i < list.children.size(); i += step) add(*list.children[i]);
  return sets_[&list] = static_cast<std::uint32_t>(program_.sets.size() - 1);
}

std::uint32_t Compiler::Regex(const std::string& text, Opcode opcode) {
  const auto [it, fresh] =
      regexes_.try_emplace({opcode, text}, static_cast<std::uint32_t>(program_.regexes.size()));
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
  ValueMap& held = program_.maps.back();
  for (std::size_t i = 0; i < map.children.size(); i += 2) {
    const Value value = program_.constants[Constant(map.children[i + 1]->value)];
    if (map.type.type == Type::kString) {
      program_.texts.push_back(map.children[i]->text);
      held.texts.emplace(program_.texts.back(), value);
    } else {
      held.numbers.emplace(map.children[i]->value.number, value);
    }
  }
  return maps_[&map] = static_cast<std::uint32_t>(program_.maps.size() - 1);
}

// The operand is on the stack. An expression on an unmodified field joins the group of that field.
void Compiler::EmitRegex(const Node& n, Opcode opcode, const std::string& text) {
  const std::uint32_t regex = Regex(text, opcode);
  program_.group_of.resize(program_.regexes.size(), ~0U);
  const Instruction last = code_->back();
  const NodeKind kind = n.children[0]->kind;
  if (last.opcode != Opcode::kField || (kind != NodeKind::kName && kind != NodeKind::kCall))
    return Append(opcode, regex, 0, 0);
  const auto [it, fresh] = groups_.try_emplace(last.a, static_cast<std::uint32_t>(program_.groups.size()));
  if (fresh) {
    program_.groups.push_back(std::make_unique<RegexGroup>());
    program_.groups.back()->field = last.a;
  }
  RegexGroup& group = *program_.groups[it->second];
  // An expression belongs to one group only: that of the first field it is used on.
  if (program_.group_of[regex] == ~0U) {
    program_.group_of[regex] = it->second;
    group.members.push_back(regex);
    group.patterns.push_back(opcode == Opcode::kFullMatch ? "\\A(?:" + text + ")\\z" : text);
  }
  const auto place = std::find(group.members.begin(), group.members.end(), regex);
  const bool mine = program_.group_of[regex] == it->second && place != group.members.end();
  Append(opcode, regex, mine ? static_cast<std::uint32_t>(place - group.members.begin()) + 1 : 0, 0);
}

void Compiler::Finish() {
  for (auto& group : program_.groups) {
    const std::size_t many = group->patterns.size();
    if (many < RegexGroup::kMinSetSize) continue;
    const auto gather = [&](std::size_t from, std::size_t to) {
      auto set = std::make_unique<RE2::Set>(RegexOptions(8 << 20), RE2::UNANCHORED);
      for (std::size_t i = from; i < to; ++i) set->Add(group->patterns[i], nullptr);
      if (set->Compile()) return group->sets.push_back(std::move(set)), true;
      return false;  // too large for one set: the expressions are run one by one
    };
    bool good = gather(0, many);
    for (std::size_t i = 0; good && i < many && many > RegexGroup::kBlockSize; i += RegexGroup::kBlockSize)
      good = gather(i, std::min(many, i + RegexGroup::kBlockSize));
    if (!good) group->sets.clear();
  }
}

std::uint32_t Compiler::Condition(const std::string& name, const Node& node) {
  if (const auto known = conditions_.find(&node); known != conditions_.end()) return known->second;
  Bytecode code = Compile(node);  // compiles the conditions that it uses first
  program_.conditions.push_back(std::move(code));
  program_.condition_names.push_back(name);
  return conditions_[&node] = static_cast<std::uint32_t>(program_.conditions.size() - 1);
}

// Constant folding: runs comparisons and arithmetic of literals on a virtual machine. Returns true if the
// result was emitted as a constant.
bool Compiler::Folded(const Node& n) {
  const bool folds = n.kind == NodeKind::kAdd || n.kind == NodeKind::kNegate || n.kind == NodeKind::kCompare;
  if (folding_ || !folds || std::any_of(n.children.begin(), n.children.end(), [](const auto& k) {
        return k->kind != NodeKind::kLiteral;
      }))
    return false;
  folding_ = true;
  const Bytecode code = Compile(n);
  folding_ = false;
  VirtualMachine machine(program_);
  const Request none;
  machine.Begin(none);
  Append(Opcode::kConstant, Constant(machine.Run(code)), 0, 1);
  return true;
}

// The index + 1 of the field that a text is derived from; 0 if unknown.
std::uint32_t Compiler::SourceField(const Node& n) {
  if (n.kind == NodeKind::kCall && (n.text == "split" || n.text == "lower"))
    return SourceField(*n.children[0]);
  const bool call = n.kind == NodeKind::kCall &&
                    (n.text == "segment" || n.text == "header" || n.text == "query" || n.text == "custom");
  const bool name = n.kind == NodeKind::kName && n.resolved == nullptr;
  if (!call && !name) return 0;
  Bytecode code;
  Bytecode* outer = std::exchange(code_, &code);
  const int depth = depth_;
  EmitForm(n);
  depth_ = depth;
  code_ = outer;
  return code[0].a + 1;
}

void Compiler::Emit(const Node& n) {
  EmitForm(n);
  if (n.kind != NodeKind::kCall && n.kind != NodeKind::kIn) return;
  const Node& text = n.kind == NodeKind::kCall && n.text == "lookup" ? *n.children[1] : *n.children[0];
  if (Instruction& last = code_->back(); last.opcode != Opcode::kField) last.source_field = SourceField(text);
}

void Compiler::EmitForm(const Node& n) {
  const auto child = [&](std::size_t i) -> const Node& { return *n.children[i]; };
  if (Folded(n)) return;
  const auto here = [&] { return static_cast<std::uint32_t>(code_->size()); };
  switch (n.kind) {
    case NodeKind::kLiteral:
      return Append(Opcode::kConstant, Constant(n.value), 0, 1);
    case NodeKind::kName: {
      for (auto it = locals_.rbegin(); it != locals_.rend(); ++it) {
        if (it->first == n.resolved) return Append(Opcode::kLoad, it->second, 0, 1);
      }
      if (n.resolved != nullptr) return Append(Opcode::kCondition, Condition(n.text, *n.resolved), 0, 1);
      using K = FieldRef::Kind;
      const K kind = n.text == "path"         ? K::kPath
                     : n.text == "front"      ? K::kFront
                     : n.text == "jobtype"    ? K::kJobtype
                     : n.text == "queue"      ? K::kQueue
                     : n.text == "peer"       ? K::kPeer
                     : n.text == "body_bytes" ? K::kBodyBytes
                     : n.text == "deadline"   ? K::kDeadline
                                              : K::kRepeat;
      return Append(Opcode::kField, Field({kind, "", 0}), 0, 1);
    }
    case NodeKind::kLet: {
      Emit(child(0));
      const auto slot = static_cast<std::uint32_t>(locals_.size());
      Append(Opcode::kStore, slot, 0, -1);
      program_.locals = std::max(program_.locals, static_cast<int>(slot) + 1);
      locals_.emplace_back(n.children[0].get(), slot);
      Emit(child(1));
      locals_.pop_back();
      return;
    }
    case NodeKind::kAnd:
    case NodeKind::kOr:
    case NodeKind::kOrElse: {
      Emit(child(0));
      const std::size_t jump = code_->size();
      Append(n.kind == NodeKind::kAnd  ? Opcode::kJumpIfFalse
             : n.kind == NodeKind::kOr ? Opcode::kJumpIfTrue
                                       : Opcode::kJumpIfPresent,
             0, 0, -1);
      Emit(child(1));
      (*code_)[jump].a = here();
      return;
    }
    case NodeKind::kNot:
      Emit(child(0));
      return Append(Opcode::kNot, 0, 0, 0);
    case NodeKind::kPresent:
      Emit(child(0));
      return Append(Opcode::kPresent, 0, 0, 0);
    case NodeKind::kIn: {
      Emit(child(0));
      const Node& set = child(1).resolved != nullptr ? *child(1).resolved : child(1);
      if (set.kind == NodeKind::kRange)
        return Append(Opcode::kInRange, Constant(set.children[0]->value), Constant(set.children[1]->value),
                      0);
      return Append(Opcode::kInSet, Set(set), static_cast<std::uint32_t>(set.type.type), 0);
    }
    case NodeKind::kNegate:
      Emit(child(0));
      return Append(Opcode::kNegate, 0, 0, 0);
    case NodeKind::kAdd:
      Emit(child(0));
      Emit(child(1));
      return Append(n.text == "+"   ? Opcode::kAdd
                    : n.text == "-" ? Opcode::kSubtract
                                    : Opcode::kMultiply,
                    0, 0, -1);
    case NodeKind::kCompare: {
      Emit(child(0));
      Emit(child(1));
      const std::uint32_t which = n.text == "=="   ? 0
                                  : n.text == "!=" ? 1
                                  : n.text == "<"  ? 2
                                  : n.text == "<=" ? 3
                                  : n.text == ">"  ? 4
                                                   : 5;
      return Append(Opcode::kCompare, which, static_cast<std::uint32_t>(child(0).type.type), -1);
    }
    case NodeKind::kCall: {
      using K = FieldRef::Kind;
      if (n.text == "segment")
        return Append(Opcode::kField, Field({K::kSegment, "", child(0).value.number}), 0, 1);
      if (n.text == "header" || n.text == "query" || n.text == "custom")
        return Append(Opcode::kField,
                      Field({n.text == "header"  ? K::kHeader
                             : n.text == "query" ? K::kQuery
                                                 : K::kCustom,
                             child(0).text, 0}),
                      0, 1);
      if (n.text == "lookup") {
        Emit(child(1));
        const Node& map = *child(0).resolved;
        return Append(Opcode::kLookup, Map(map), static_cast<std::uint32_t>(map.type.type), 0);
      }
      Emit(child(0));
      if (n.text == "matches") return EmitRegex(n, Opcode::kPartialMatch, child(1).text);
      if (n.text == "glob") return EmitRegex(n, Opcode::kFullMatch, GlobAsRegex(child(1).text));
      if (n.text == "split")
        return Append(Opcode::kSplit, SearchFor(child(1).text),
                      static_cast<std::uint32_t>(child(2).value.number), 0);
      if (n.text == "prefix") return Append(Opcode::kPrefix, Constant(child(1).value), 0, 0);
      if (n.text == "suffix") return Append(Opcode::kSuffix, Constant(child(1).value), 0, 0);
      if (n.text == "contains") return Append(Opcode::kContains, SearchFor(child(1).text), 0, 0);
      if (n.text == "lower") program_.scratch += kMaxHeadBytes;
      return Append(n.text == "lower"    ? Opcode::kLower
                    : n.text == "length" ? Opcode::kLength
                    : n.text == "int"    ? Opcode::kInt
                    : n.text == "hex"    ? Opcode::kHex
                                         : Opcode::kHash,
                    0, 0, 0);
    }
    default:
      return;
  }
}

}  // namespace heronway::match
