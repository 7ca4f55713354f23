#include <re2/re2.h>
#include <strings.h>

#include <algorithm>
#include <charconv>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "src/match/program.h"
#include "src/match/regex.h"

namespace heronway::match {
namespace {

constexpr std::int64_t kMaxInt = std::numeric_limits<std::int64_t>::max(),
                       kMinInt = std::numeric_limits<std::int64_t>::min();

Value Missing() {
  Value v;
  v.present = false;
  return v;
}
Value Text(std::string_view text) {
  Value v;
  v.text = text;
  return v;
}
Value Number(std::int64_t number) {
  Value v;
  v.number = number;
  return v;
}

std::int64_t Saturate(bool overflow, std::int64_t result, bool negative) {
  return !overflow ? result : negative ? kMinInt : kMaxInt;
}

bool Compare(std::uint32_t which, const auto& a, const auto& b) {
  switch (which) {
    case 0:
      return a == b;
    case 1:
      return a != b;
    case 2:
      return a < b;
    case 3:
      return a <= b;
    case 4:
      return a > b;
    default:
      return a >= b;
  }
}

re2::StringPiece Piece(std::string_view text) { return {text.data(), text.size()}; }

bool InNetworks(const ValueSet& set, const AddressBytes& address) {
  for (const auto& [bits, networks] : set.networks) {
    AddressBytes masked = address;
    for (int i = 0; i < 16; ++i) {
      const int left = std::clamp(bits - 8 * i, 0, 8);
      masked[static_cast<std::size_t>(i)] &= static_cast<std::uint8_t>(0xff << (8 - left));
    }
    if (networks.contains(masked)) return true;
  }
  return false;
}

}  // namespace

std::size_t SubstringSearch::Find(std::string_view in) const {
  constexpr std::size_t kShort = 256;
  if (in.size() <= kShort || text.size() <= 1) return in.find(text);
  std::uint32_t fits = 0;
  for (std::size_t at = 0; at < in.size(); ++at) {
    while (fits > 0 && text[fits] != in[at]) fits = failure[fits];
    if (text[fits] == in[at] && ++fits == text.size()) return at + 1 - fits;
  }
  return in.npos;
}

VirtualMachine::VirtualMachine(const Program& program)
    : program_(program),
      // Conditions nest up to kMaxConditionDepth (32), each with its own stack frame.
      stack_(static_cast<std::size_t>(program.stack + 2) * 34),
      locals_(static_cast<std::size_t>(program.locals + 1) * 34),
      fields_(program.fields.size()),
      field_loaded_(program.fields.size()),
      condition_state_(program.conditions.size()),
      scratch_(program.scratch) {
  for (const auto& group : program.groups) set_state_.emplace_back(group->sets.size());
}

void VirtualMachine::Begin(const Request& request) {
  request_ = &request;
  std::fill(field_loaded_.begin(), field_loaded_.end(), 0);
  std::fill(condition_state_.begin(), condition_state_.end(), 0);
  for (auto& sets : set_state_) std::fill(sets.begin(), sets.end(), 0);
  scratch_used_ = 0;
}

Value VirtualMachine::Field(std::uint32_t field) {
  if (field_loaded_[field] == 0) {
    fields_[field] = LookUpField(program_.fields[field]);
    field_loaded_[field] = 1;
  }
  return fields_[field];
}

Value VirtualMachine::LookUpField(const FieldRef& f) const {
  const Request& r = *request_;
  const auto maybe = [](std::string_view text) { return text.empty() ? Missing() : Text(text); };
  const auto search = [&f](Request::Pairs pairs, bool any_case) {
    for (const auto& [name, value] : pairs) {
      if (name.size() == f.name.size() &&
          (any_case ? strncasecmp(name.data(), f.name.data(), name.size()) == 0 : name == f.name))
        return Text(value);
    }
    return Missing();
  };
  using K = FieldRef::Kind;
  switch (f.kind) {
    case K::kPath:
      return Text(r.path);
    case K::kFront:
      return Text(r.front);
    case K::kJobtype:
      return maybe(r.jobtype);
    case K::kQueue:
      return maybe(r.queue);
    case K::kPeer: {
      Value v;
      v.address = r.peer;
      return v;
    }
    case K::kBodyBytes:
      return Number(r.body_bytes);
    case K::kDeadline:
      return Number(r.deadline);
    case K::kRepeat:
      return Number(r.is_retry ? 1 : 0);
    case K::kSegment: {
      std::string_view rest = r.path;
      if (!rest.empty() && rest.front() == '/') rest.remove_prefix(1);
      for (std::int64_t n = 1;; ++n) {
        const auto end = rest.find('/');
        const auto segment = rest.substr(0, end);
        if (n == f.number) return maybe(segment);
        if (end == rest.npos) return Missing();
        rest.remove_prefix(end + 1);
      }
    }
    case K::kHeader:
      return search(r.headers, true);
    case K::kCustom:
      return search(r.custom, false);
    case K::kQuery: {
      std::string_view rest = r.query;
      while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto eq = std::min(pair.find('='), pair.size());
        if (pair.substr(0, eq) == f.name) return Text(pair.substr(std::min(eq + 1, pair.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
      }
      return Missing();
    }
  }
  return Missing();
}

// Whether the text matches the instruction's regular expression. If the expression belongs to a group, the
// sets that contain it are tried first: if no member of a set matches, neither does this one. A set that
// runs out of memory counts as a possible match.
bool VirtualMachine::MatchesRegex(const Instruction& s, std::string_view text) {
  if (s.b > 0) {
    const std::uint32_t g = program_.group_of[s.a];
    const RegexGroup& group = *program_.groups[g];
    for (const std::size_t set : {std::size_t{0}, 1 + (s.b - 1) / RegexGroup::kBlockSize}) {
      if (set >= group.sets.size()) break;
      std::uint8_t& any = set_state_[g][set];
      if (any == 0) {
        RE2::Set::ErrorInfo error{};
        any =
            group.sets[set]->Match(Piece(text), nullptr, &error) || error.kind != RE2::Set::kNoError ? 2 : 1;
      }
      if (any == 1) return false;
    }
  }
  const RE2& regex = *program_.regexes[s.a];
  return s.opcode == Opcode::kPartialMatch ? RE2::PartialMatch(Piece(text), regex)
                                           : RE2::FullMatch(Piece(text), regex);
}

bool VirtualMachine::Condition(std::uint32_t which, std::size_t stack, std::size_t locals) {
  if (condition_state_[which] == 0)
    condition_state_[which] = Run(program_.conditions[which], stack, locals).number != 0 ? 2 : 1;
  return condition_state_[which] == 2;
}

Value VirtualMachine::Run(const Bytecode& code, std::size_t base, std::size_t locals) {
  std::size_t top = base;  // index of the next free stack slot
  const auto test = [&](bool holds) { stack_[top - 1] = Number(stack_[top - 1].present && holds ? 1 : 0); };
  for (std::size_t at = 0; at < code.size(); ++at) {
    const Instruction& s = code[at];
    switch (s.opcode) {
      case Opcode::kConstant:
        stack_[top++] = program_.constants[s.a];
        break;
      case Opcode::kField:
        stack_[top++] = Field(s.a);
        break;
      case Opcode::kCondition: {
        const bool holds = Condition(s.a, top, locals + static_cast<std::size_t>(program_.locals));
        stack_[top++] = Number(holds ? 1 : 0);
        break;
      }
      case Opcode::kLoad:
        stack_[top++] = locals_[locals + s.a];
        break;
      case Opcode::kStore:
        locals_[locals + s.a] = stack_[--top];
        break;
      case Opcode::kNot:
        stack_[top - 1].number = stack_[top - 1].number == 0 ? 1 : 0;
        break;
      case Opcode::kCompare: {
        const Value b = stack_[--top], a = stack_[top - 1];
        const bool text = static_cast<Type>(s.b) == Type::kString;
        stack_[top - 1] = Number(
            a.present && b.present && (text ? Compare(s.a, a.text, b.text) : Compare(s.a, a.number, b.number))
                ? 1
                : 0);
        break;
      }
      case Opcode::kAdd:
      case Opcode::kSubtract:
      case Opcode::kMultiply: {
        const Value b = stack_[--top];
        Value& a = stack_[top - 1];
        a.present = a.present && b.present;
        std::int64_t r = 0;
        if (s.opcode == Opcode::kAdd) {
          const bool over = __builtin_add_overflow(a.number, b.number, &r);
          r = Saturate(over, r, a.number < 0);
        } else if (s.opcode == Opcode::kSubtract) {
          const bool over = __builtin_sub_overflow(a.number, b.number, &r);
          r = Saturate(over, r, a.number < 0);
        } else {
          const bool over = __builtin_mul_overflow(a.number, b.number, &r);
          r = Saturate(over, r, (a.number < 0) != (b.number < 0));
        }
        a.number = r;
        break;
      }
      case Opcode::kNegate:
        stack_[top - 1].number = stack_[top - 1].number == kMinInt ? kMaxInt : -stack_[top - 1].number;
        break;
      case Opcode::kJumpIfFalse:
      case Opcode::kJumpIfTrue:
        if ((stack_[top - 1].number != 0) == (s.opcode == Opcode::kJumpIfTrue)) {
          at = s.a - 1;
        } else {
          --top;
        }
        break;
      case Opcode::kJumpIfPresent:
        if (stack_[top - 1].present) {
          at = s.a - 1;
        } else {
          --top;
        }
        break;
      case Opcode::kPresent:
        stack_[top - 1] = Number(stack_[top - 1].present ? 1 : 0);
        break;
      case Opcode::kInSet: {
        const ValueSet& set = program_.sets[s.a];
        const Value& v = stack_[top - 1];
        const Type type = static_cast<Type>(s.b);
        test(type == Type::kString    ? set.texts.contains(v.text)
             : type == Type::kAddress ? InNetworks(set, v.address)
                                      : set.numbers.contains(v.number));
        break;
      }
      case Opcode::kInRange:
        test(stack_[top - 1].number >= program_.constants[s.a].number &&
             stack_[top - 1].number <= program_.constants[s.b].number);
        break;
      case Opcode::kPrefix:
        test(stack_[top - 1].text.starts_with(program_.constants[s.a].text));
        break;
      case Opcode::kSuffix:
        test(stack_[top - 1].text.ends_with(program_.constants[s.a].text));
        break;
      case Opcode::kContains:
        test(program_.searches[s.a].Find(stack_[top - 1].text) != std::string_view::npos);
        break;
      case Opcode::kPartialMatch:
      case Opcode::kFullMatch:
        test(stack_[top - 1].present && MatchesRegex(s, stack_[top - 1].text));
        break;
      case Opcode::kLookup: {
        const ValueMap& map = program_.maps[s.a];
        const Value v = stack_[top - 1];
        const auto find = [&v](const auto& held, const auto& key) {
          const auto it = v.present ? held.find(key) : held.end();
          return it != held.end() ? it->second : Missing();
        };
        stack_[top - 1] =
            static_cast<Type>(s.b) == Type::kString ? find(map.texts, v.text) : find(map.numbers, v.number);
        break;
      }
      case Opcode::kSplit: {
        const SubstringSearch& by = program_.searches[s.a];
        std::string_view rest = stack_[top - 1].text;
        bool there = stack_[top - 1].present && !by.text.empty();
        for (std::uint32_t n = 1; there && n < s.b; ++n) {
          const auto end = by.Find(rest);
          there = end != rest.npos;
          if (there) rest.remove_prefix(end + by.text.size());
        }
        stack_[top - 1] = there ? Text(rest.substr(0, by.Find(rest))) : Missing();
        break;
      }
      case Opcode::kLower: {
        Value& v = stack_[top - 1];
        // The buffer is sized at load for the largest request head; a longer text is truncated.
        const std::size_t n = std::min(v.text.size(), scratch_.size() - scratch_used_);
        char* out = scratch_.data() + scratch_used_;
        std::transform(v.text.begin(), v.text.begin() + static_cast<std::ptrdiff_t>(n), out,
                       [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
        scratch_used_ += n;
        v.text = {out, n};
        break;
      }
      case Opcode::kLength:
        stack_[top - 1].number = static_cast<std::int64_t>(stack_[top - 1].text.size());
        break;
      case Opcode::kInt:
      case Opcode::kHex: {
        const std::string_view text = stack_[top - 1].text;
        std::int64_t number = 0;
        std::uint64_t bits = 0;
        const char* end = text.data() + text.size();
        const auto r = s.opcode == Opcode::kInt ? std::from_chars(text.data(), end, number)
                                                : std::from_chars(text.data(), end, bits, 16);
        const bool good = stack_[top - 1].present && !text.empty() && r.ec == std::errc() && r.ptr == end;
        stack_[top - 1] =
            !good ? Missing() : Number(s.opcode == Opcode::kInt ? number : static_cast<std::int64_t>(bits));
        break;
      }
      case Opcode::kHash: {
        Value& v = stack_[top - 1];
        v.number = static_cast<std::int64_t>(XXH64(v.text.data(), v.text.size(), 0));
        v.text = {};
        break;
      }
    }
  }
  return stack_[top - 1];
}

}  // namespace heronway::match
