#include "src/match/cost.h"

#include <algorithm>

#include "src/match/regex.h"

namespace heronway::match {
namespace {

constexpr double kHeadBytes = static_cast<double>(kMaxHeadBytes);
constexpr double kRegexNsPerByte = 2.3;

struct InstructionCost {
  double fixed, per_byte;
};

InstructionCost CostOfInstruction(const Program& program, const Instruction& step) {
  switch (step.opcode) {
    case Opcode::kCompare:
    case Opcode::kPrefix:
    case Opcode::kSuffix:
      return {8, 0};  // bounded by the shorter text, which is nearly always a literal
    case Opcode::kContains:
    case Opcode::kSplit:
      return {20, program.searches[step.a].text.size() > 1 ? 2.4 : 0.6};
    case Opcode::kPartialMatch:
    case Opcode::kFullMatch:
      return {100, kRegexNsPerByte};
    case Opcode::kLower:
      return {10, 0.15};
    case Opcode::kHash:
      return {10, 0.15};
    case Opcode::kInSet: {
      const ValueSet& set = program.sets[step.a];
      if (!set.networks.empty()) return {60 * static_cast<double>(set.networks.size()), 0};
      return {30, set.texts.empty() ? 0 : 0.3};
    }
    case Opcode::kLookup:
      return {30, static_cast<Type>(step.b) == Type::kString ? 0.3 : 0};
    case Opcode::kHex:
    case Opcode::kInt:
      return {30, 0.5};
    default:
      return {4, 0};
  }
}

}  // namespace

Cost& Cost::operator+=(const Cost& more) {
  fixed += more.fixed;
  any_field += more.any_field;
  for (const auto& [field, cost] : more.per_byte) per_byte[field] += cost;
  return *this;
}

double Cost::WorstCaseNs() const {
  double highest = 0;
  for (const auto& [field, cost] : per_byte) highest = std::max(highest, cost);
  return fixed + kHeadBytes * (any_field + highest);
}

Cost CostOf(const Program& program, const Bytecode& code) {
  Cost out;
  if (code.empty()) return out;
  out.fixed = 10;
  for (const Instruction& s : code) {
    const InstructionCost cost = CostOfInstruction(program, s);
    out.fixed += cost.fixed;
    if (cost.per_byte <= 0) continue;
    if (s.source_field > 0) {
      out.per_byte[s.source_field - 1] += cost.per_byte;
    } else {
      out.any_field += cost.per_byte;
    }
  }
  return out;
}

Cost SharedCost(const Program& program) {
  Cost out;
  for (std::uint32_t i = 0; i < program.fields.size(); ++i) {
    const FieldRef::Kind kind = program.fields[i].kind;
    if (kind == FieldRef::Kind::kHeader || kind == FieldRef::Kind::kCustom) {
      out.fixed += 3.0 * static_cast<double>(kMaxHeaders);
    } else {
      out.fixed += 5;
      const bool walk = kind == FieldRef::Kind::kSegment || kind == FieldRef::Kind::kQuery;
      if (walk) out.per_byte[i] += 0.3;
    }
  }
  for (const Bytecode& condition : program.conditions) out += CostOf(program, condition);
  for (const auto& group : program.groups) {
    const auto passes = static_cast<double>(group->sets.size());
    out.fixed += 100 * passes;
    if (passes > 0) out.per_byte[group->field] += kRegexNsPerByte * passes;
  }
  return out;
}

}  // namespace heronway::match
