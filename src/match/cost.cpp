#include "src/match/cost.h"

#include <algorithm>

#include "src/match/regex.h"

namespace heronway::match {
namespace {

constexpr double kHead = static_cast<double>(kMaxHeadBytes);
constexpr double kRegexByte = 2.3;

struct Price {
  double fixed, byte;
};

Price PriceOf(const Program& program, const Step& step) {
  switch (step.code) {
    case Code::kCompare:
    case Code::kPrefix:
    case Code::kSuffix:
      return {8, 0};  // no longer than the shorter, which is nearly always written out
    case Code::kContains:
    case Code::kSplit:
      return {20, program.searches[step.a].text.size() > 1 ? 2.4 : 0.6};
    case Code::kRegex:
    case Code::kWhole:
      return {100, kRegexByte};
    case Code::kLower:
      return {10, 0.15};
    case Code::kHash:
      return {10, 0.15};
    case Code::kInSet: {
      const SetOf& set = program.sets[step.a];
      if (!set.networks.empty()) return {60 * static_cast<double>(set.networks.size()), 0};
      return {30, set.texts.empty() ? 0 : 0.3};
    }
    case Code::kLookup:
      return {30, static_cast<Type>(step.b) == Type::kString ? 0.3 : 0};
    case Code::kHex:
    case Code::kInt:
      return {30, 0.5};
    default:
      return {4, 0};
  }
}

}  // namespace

Cost& Cost::operator+=(const Cost& more) {
  fixed += more.fixed;
  any += more.any;
  for (const auto& [field, price] : more.per_byte) per_byte[field] += price;
  return *this;
}

double Cost::Worst() const {
  double dearest = 0;
  for (const auto& [field, price] : per_byte) dearest = std::max(dearest, price);
  return fixed + kHead * (any + dearest);
}

Cost CostOf(const Program& program, const Steps& steps) {
  Cost out;
  if (steps.empty()) return out;
  out.fixed = 10;
  for (const Step& s : steps) {
    const Price price = PriceOf(program, s);
    out.fixed += price.fixed;
    if (price.byte <= 0) continue;
    if (s.of_field > 0) {
      out.per_byte[s.of_field - 1] += price.byte;
    } else {
      out.any += price.byte;
    }
  }
  return out;
}

Cost CostOfAll(const Program& program) {
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
  for (const Steps& condition : program.conditions) out += CostOf(program, condition);
  for (const auto& group : program.groups) {
    const auto passes = static_cast<double>(group->sets.size());
    out.fixed += 100 * passes;
    if (passes > 0) out.per_byte[group->field] += kRegexByte * passes;
  }
  return out;
}

}  // namespace heronway::match
