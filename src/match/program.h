// The compiled form of expressions: straight code for a small stack machine. There are jumps forward only,
// so a program ends, and its worst cost is the sum of its steps.
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

enum class Code : std::uint8_t {
  kConstant,   // push constants[a]
  kField,      // push field a, looked up once a request
  kCondition,  // push condition a, decided once a request
  kLoad,
  kStore,  // local a
  kNot,
  kCompare,  // a: the comparison, b: the type
  kAdd,
  kSubtract,
  kMultiply,
  kNegate,  // hold at the ends of what 64 bits hold
  kJumpIfFalse,
  kJumpIfTrue,     // to a, and keep the value; else drop it
  kJumpIfPresent,  // likewise
  kPresent,
  kInSet,
  kInRange,  // a: the set; a and b: constants
  kPrefix,
  kSuffix,
  kContains,
  kRegex,
  kWhole,   // a: the constant, the search, or the regular expression; b: of these, its place in its group
            // plus 1, or 0
  kLookup,  // a: the map, b: the type of its keys
  kSplit,
  kLower,
  kLength,
  kInt,
  kHex,
  kHash
};

struct Step {
  Code code;
  std::uint32_t a = 0, b = 0;
  std::uint32_t of_field = 0;  // plus 1: the field that its text comes of; 0: it may be any
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

struct SetOf {
  std::unordered_set<std::string_view> texts;
  std::unordered_set<std::int64_t> numbers;
  // Networks by how many bits of them count; each masked.
  std::map<int, std::set<AddressBytes>> networks;
};

// A text that is searched for. In short texts letter by letter; in long ones an attacker could make that
// begin anew at each letter, so there by Knuth, Morris and Pratt ("Fast Pattern Matching in Strings",
// 1977): each letter is passed once. Measured on 16 KiB of one letter, a byte: memmem 1 to 6 ns by the
// text, the library's Boyer-Moore 5, RE2 7, as its search for a literal's first letter begins anew as well.
struct Search {
  explicit Search(std::string_view what);
  std::size_t In(std::string_view in) const;  // where it is first, or npos
  std::string_view text;
  std::vector<std::uint32_t> back;  // by letters that fit: how many still do where the next one does not
};

struct MapOf {
  std::unordered_map<std::string_view, Value> texts;
  std::unordered_map<std::int64_t, Value> numbers;
};

struct RegexGroup;  // regex.h

using Steps = std::vector<Step>;

struct Program {
  Program();
  ~Program();
  Program(Program&&) noexcept;
  Program& operator=(Program&&) noexcept;
  std::deque<std::string> texts;  // what values point to
  std::vector<Value> constants;
  std::vector<FieldRef> fields;
  std::deque<SetOf> sets;
  std::deque<MapOf> maps;
  std::deque<Search> searches;
  std::vector<std::unique_ptr<re2::RE2>> regexes;
  std::vector<std::unique_ptr<RegexGroup>> groups;
  std::vector<std::uint32_t> group_of;  // by regular expression; those that are in none say ~0
  std::vector<Steps> conditions;
  std::vector<std::string> condition_names;
  int stack = 0, locals = 0;  // the most that any of it needs
  std::size_t scratch = 0;    // bytes that lower() may write in one request
};

class Compiler {
 public:
  explicit Compiler(Program& program) : program_(program) {}
  // A checked expression.
  Steps Compile(const Node& node);
  // Once all is compiled: gathers the regular expressions.
  void Finish();

 private:
  void Emit(const Node& node);
  void EmitForm(const Node& node);
  std::uint32_t OfField(const Node& node);
  void Out(Code code, std::uint32_t a, std::uint32_t b, int pushes);
  std::uint32_t Constant(const Value& value);
  std::uint32_t Field(FieldRef field);
  std::uint32_t Set(const Node& list);
  std::uint32_t SearchFor(const std::string& text);
  std::uint32_t Map(const Node& map);
  std::uint32_t Regex(const std::string& text, Code code);
  void EmitRegex(const Node& n, Code code, const std::string& text);
  std::uint32_t Condition(const std::string& name, const Node& node);
  bool Folded(const Node& node);

  Program& program_;
  Steps* steps_ = nullptr;
  int depth_ = 0;
  bool folding_ = false;
  std::vector<std::pair<const Node*, std::uint32_t>> locals_;
  std::map<const Node*, std::uint32_t> conditions_, sets_, maps_;
  std::map<FieldRef, std::uint32_t> fields_;
  std::map<std::pair<Code, std::string>, std::uint32_t> regexes_;
  std::map<std::string, std::uint32_t> searches_;
  std::map<std::uint32_t, std::uint32_t> groups_;  // by field
};

// What a run needs, made once and used for every request. Not shared between threads.
class Machine {
 public:
  explicit Machine(const Program& program);
  void Begin(const Request& request);
  Value Run(const Steps& steps) { return Run(steps, 0, 0); }
  Value Field(std::uint32_t field);

 private:
  Value Run(const Steps& steps, std::size_t stack, std::size_t locals);
  bool Condition(std::uint32_t which, std::size_t stack, std::size_t locals);
  Value Look(const FieldRef& field) const;
  bool Fits(const Step& step, std::string_view text);

  const Program& program_;
  const Request* request_ = nullptr;
  std::vector<Value> stack_, locals_, fields_;
  std::vector<std::uint8_t> looked_, decided_;     // decided: 0 not yet, 1 false, 2 true
  std::vector<std::vector<std::uint8_t>> fitted_;  // by group and set, likewise
  std::vector<char> scratch_;
  std::size_t scratched_ = 0;
};

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_PROGRAM_H_
