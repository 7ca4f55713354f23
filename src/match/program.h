// The bytecode of expressions and the stack-based virtual machine that runs it. Jumps go forward only, so
// every program terminates and its cost is at most the sum of its instructions.
#ifndef HERONWAY_MATCH_PROGRAM_H_
#define HERONWAY_MATCH_PROGRAM_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/match/ast.h"

namespace re2 {
class RE2;
}

namespace heronway::match {

enum class Opcode : std::uint8_t {
  kConstant,   // push constants[a]
  kField,      // push field a, read once per request
  kCondition,  // push condition a, evaluated once per request
  kLoad,
  kStore,  // kLoad, kStore: local variable a
  kNot,
  kCompare,  // a: the operator (== != < <= > >= in this order), b: the type
  kAdd,
  kSubtract,
  kMultiply,
  kNegate,  // arithmetic saturates at the limits of int64
  kJumpIfFalse,
  kJumpIfTrue,     // jump to a and keep the value, or pop it
  kJumpIfPresent,  // likewise
  kPresent,
  kInSet,
  kInRange,  // kInSet: set a; kInRange: constants a and b
  kPrefix,
  kSuffix,
  kContains,
  kPartialMatch,
  kFullMatch,  // kPrefix to kFullMatch: a: constant, search or regular expression; b of a regular
               // expression: its position in its group + 1, or 0
  kLookup,     // a: the map, b: the type of its keys
  kSplit,
  kLower,
  kLength,
  kInt,
  kHex,
  kHash
};

struct Instruction {
  Opcode opcode;
  std::uint32_t a = 0, b = 0;
  std::uint32_t source_field = 0;  // index + 1 of the field that its operand is derived from; 0: unknown
};

struct FieldRef {
  enum class Kind : std::uint8_t {
    kPath,
    kFront,
    kJobtype,
    kQueue,
    kPeer,
    kBodyBytes,
    kDeadline,
    kRepeat,
    kSegment,
    kHeader,
    kQuery,
    kCustom
  };
  Kind kind;
  std::string name;
  std::int64_t number = 0;
  auto operator<=>(const FieldRef&) const = default;
};

struct ValueSet {
  std::unordered_set<std::string_view> texts;
  std::unordered_set<std::int64_t> numbers;
  // Networks by prefix length, each with the host bits cleared.
  std::map<int, std::set<AddressBytes>> networks;
};

// Searches for a constant substring. Short texts use the plain search. On long texts an attacker could make
// that quadratic, so they use Knuth-Morris-Pratt ("Fast Pattern Matching in Strings", 1977), which reads
// each byte once. The alternatives cost, per byte of a 16 KiB text of one repeated letter: memmem 1 to 6 ns
// depending on the text, the library's Boyer-Moore 5 ns, RE2 7 ns (its search for the first letter of a
// literal also restarts at each letter).
struct SubstringSearch {
  explicit SubstringSearch(std::string_view what);
  std::size_t Find(std::string_view in) const;  // offset of the first match, or npos
  std::string_view text;
  std::vector<std::uint32_t> failure;  // KMP failure function, by length of the match
};

struct ValueMap {
  std::unordered_map<std::string_view, Value> texts;
  std::unordered_map<std::int64_t, Value> numbers;
};

struct RegexGroup;  // regex.h

using Bytecode = std::vector<Instruction>;

struct Program {
  Program();
  ~Program();
  Program(Program&&) noexcept;
  Program& operator=(Program&&) noexcept;
  std::deque<std::string> texts;  // storage for the texts of constants, sets and maps
  std::vector<Value> constants;
  std::vector<FieldRef> fields;
  std::deque<ValueSet> sets;
  std::deque<ValueMap> maps;
  std::deque<SubstringSearch> searches;
  std::vector<std::unique_ptr<re2::RE2>> regexes;
  std::vector<std::unique_ptr<RegexGroup>> groups;
  std::vector<std::uint32_t> group_of;  // by regular expression; ~0: in no group
  std::vector<Bytecode> conditions;
  std::vector<std::string> condition_names;
  int stack = 0, locals = 0;  // the most that any expression needs
  std::size_t scratch = 0;    // bytes that lower() may write per request
};

class Compiler {
 public:
  explicit Compiler(Program& program) : program_(program) {}
  // Compiles an expression that has passed the type checker.
  Bytecode Compile(const Node& node);
  // Call after the last Compile(): builds the regular expression sets.
  void Finish();

 private:
  void Emit(const Node& node);
  void EmitForm(const Node& node);
  std::uint32_t SourceField(const Node& node);
  void Append(Opcode opcode, std::uint32_t a, std::uint32_t b, int pushes);
  std::uint32_t Constant(const Value& value);
  std::uint32_t Field(FieldRef field);
  std::uint32_t Set(const Node& list);
  std::uint32_t SearchFor(const std::string& text);
  std::uint32_t Map(const Node& map);
  std::uint32_t Regex(const std::string& text, Opcode opcode);
  void EmitRegex(const Node& n, Opcode opcode, const std::string& text);
  std::uint32_t Condition(const std::string& name, const Node& node);
  bool Folded(const Node& node);

  Program& program_;
  Bytecode* code_ = nullptr;
  int depth_ = 0;
  bool folding_ = false;
  std::vector<std::pair<const Node*, std::uint32_t>> locals_;
  std::map<const Node*, std::uint32_t> conditions_, sets_, maps_;
  std::map<FieldRef, std::uint32_t> fields_;
  std::map<std::pair<Opcode, std::string>, std::uint32_t> regexes_;
  std::map<std::string, std::uint32_t> searches_;
  std::map<std::uint32_t, std::uint32_t> groups_;  // group index by field
};

// Runs bytecode. Its buffers are allocated once and reused for every request. Not thread-safe.
class VirtualMachine {
 public:
  explicit VirtualMachine(const Program& program);
  void Begin(const Request& request);
  Value Run(const Bytecode& code) { return Run(code, 0, 0); }
  Value Field(std::uint32_t field);

 private:
  Value Run(const Bytecode& code, std::size_t stack, std::size_t locals);
  bool Condition(std::uint32_t which, std::size_t stack, std::size_t locals);
  Value LookUpField(const FieldRef& field) const;
  bool MatchesRegex(const Instruction& step, std::string_view text);

  const Program& program_;
  const Request* request_ = nullptr;
  std::vector<Value> stack_, locals_, fields_;
  std::vector<std::uint8_t> field_loaded_, condition_state_;  // condition: 0 not evaluated, 1 false, 2 true
  std::vector<std::vector<std::uint8_t>> set_state_;          // by group and set, same values
  std::vector<char> scratch_;
  std::size_t scratch_used_ = 0;
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_PROGRAM_H_
