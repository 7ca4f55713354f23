// The matching language: what it gives, what it rejects and how it says so, and that it can't be made to
// blow up.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <new>
#include <random>

#include "src/match/checker.h"
#include "src/match/parser.h"
#include "src/match/rules.h"
#include "tests/match/tree_interpreter.h"

namespace {
std::size_t g_allocations = 0;
}  // namespace
#ifdef __SANITIZE_ADDRESS__  // which wants its own operators, and has a hook for this
extern "C" int __sanitizer_install_malloc_and_free_hooks(void (*)(const volatile void*, std::size_t),
                                                         void (*)(const volatile void*));
const int g_hooked = __sanitizer_install_malloc_and_free_hooks(
    [](const volatile void*, std::size_t) { ++g_allocations; }, [](const volatile void*) {});
#else
// Not inlined: else the compiler sees malloc and free through them and takes them for a mismatch.
[[gnu::noinline]] void* operator new(std::size_t n) {
  ++g_allocations;
  if (void* p = std::malloc(n)) return p;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* p) noexcept { std::free(p); }
[[gnu::noinline]] void operator delete(void* p, std::size_t) noexcept { std::free(p); }
#endif

namespace heronway::match {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string FaultOf(const std::string& text, const Limits& limits = {}) {
  try {
    Rules rules("f", text, limits);
  } catch (const RuleError& e) {
    return e.what();
  }
  return "";
}
bool Says(const std::string& text, const std::string& part) {
  const std::string fault = FaultOf(text);
  if (fault.find(part) != fault.npos) return true;
  ADD_FAILURE() << "instead: " << fault;
  return false;
}
// Whether an expression holds of a request.
bool Holds(const std::string& expression, const Request& r = {}) {
  Rules rules("f", "rule r { when " + expression + " }");
  return rules.Match(r).count == 1;
}

TEST(Match, TheAlbumKeyFromAHeader) {
  Rules rules("f", R"(
    set classes = ["album-save", "photo-book"]
    condition from_app = glob(header("User-Agent"), "AlbumApp/*")
    rate member: 5 per 1s burst 10
    rule books  { when segment(1) == "photo-book" class "photo-book" key hex(header("Req-Key")) }
    rule albums { when segment(1) in classes and from_app
                  class "album-save" key hash(header("X-Album")) tenant header("X-Family")
                  rate member by header("X-Member") or_else "none" repeats 1 priority 3 }
    rule others { when repeat refuse "no repeats here" }
    test "an album" { path "/album-save/7" header "user-agent" "AlbumApp/2" header "X-Album" "songkran"
                      header "X-Family" "f1"
                      expect rule albums expect class "album-save" expect tenant "f1" expect rate member }
    test "a book" { path "/photo-book" header "Req-Key" "7F" expect key "7f" }
  )");
  const Headers headers = {{"User-Agent", "AlbumApp/1"}, {"X-Album", "songkran"}};
  Request r;
  r.path = "/album-save/1";
  r.headers = headers;
  const MatchResult v = rules.Match(r);
  ASSERT_EQ(v.count, 1u);
  EXPECT_EQ(rules.NameOf(v.matched[0]), "albums");
  EXPECT_EQ(*v.rate_by, "none");
  EXPECT_EQ(*v.max_retries, 1);
  EXPECT_FALSE(v.tenant);
  r.is_retry = true;
  r.path = "/x";
  EXPECT_EQ(*rules.Match(r).reject_reason, "no repeats here");
  EXPECT_EQ(rules.hits(1), 1u);
}

TEST(Match, ExpressionsGiveWhatTheySay) {
  const Headers headers = {{"A", "Hello, World"}, {"N", "42"}, {"Bad", std::string("\xff\x00z", 3)}};
  Request r;
  r.path = "/a/bb//c";
  r.query = "q=1&w=&z=two";
  r.headers = headers;
  r.body_bytes = 40 * 1024;
  r.deadline = 400'000;
  r.peer = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10, 1, 2, 3};
  for (const char* yes : {"segment(2) == \"bb\"",
                          "not (segment(3) is present)",
                          "segment(4) == \"c\"",
                          "header(\"a\") == \"Hello, World\"",
                          "lower(header(\"A\")) == \"hello, world\"",
                          "split(header(\"A\"), \", \", 2) == \"World\"",
                          "int(header(\"N\")) in 40..42",
                          "int(header(\"N\")) * 2 + 1 == 85",
                          "query(\"z\") == \"two\"",
                          "query(\"w\") is present",
                          "not (query(\"nothing\") is present)",
                          "peer in 10.0.0.0/8",
                          "peer in [192.168.0.0/16, 10.1.2.3]",
                          "not (peer in 10.2.0.0/16)",
                          "body_bytes > 32KiB",
                          "body_bytes in 40KiB..1MiB",
                          "deadline <= 400ms",
                          "contains(header(\"A\"), \"o, W\")",
                          "matches(header(\"A\"), \"^H.*d$\")",
                          "glob(path, \"/a/*\")",
                          "let x = header(\"A\") in prefix(x, \"Hello\") and suffix(x, \"World\")",
                          "let x = 2 in let y = x + 1 in y == 3",
                          "let x = (2 in [1, 2]) in x",
                          "length(header(\"Bad\")) == 3",
                          "matches(header(\"Bad\"), \"z$\")",
                          "header(\"No\") or_else \"d\" == \"d\"",
                          "true and not false or false",
                          "hash(\"a\") == hash(\"a\")",
                          "hex(\"ff\") == hex(\"FF\")"})
    EXPECT_TRUE(Holds(yes, r)) << yes;
  // What is missing makes a test false, whichever way it is put.
  for (const char* no : {"header(\"No\") == \"x\"", "header(\"No\") != \"x\"", "prefix(header(\"No\"), \"\")",
                         "int(header(\"A\")) < 5", "length(header(\"No\")) == 0", "jobtype == \"\""})
    EXPECT_FALSE(Holds(no, r)) << no;
}

TEST(Match, ArithmeticHoldsAtTheEnds) {
  const Headers headers = {{"N", "9223372036854775807"}, {"M", "9223372036854775808"}};
  Request r;
  r.headers = headers;
  EXPECT_TRUE(Holds("int(header(\"N\")) + 1 == 9223372036854775807", r));
  EXPECT_TRUE(Holds("int(header(\"N\")) * 2 > 0", r));
  EXPECT_FALSE(Holds("int(header(\"M\")) is present", r));
  EXPECT_TRUE(Says("rule r { when 9223372036854775808 == 1 }", "f:1:15: the number is too large"));
  EXPECT_TRUE(Says("rule r { when 9223372036854775807h > 1s }", "the number is too large"));
}

TEST(Match, WhatCannotBeReadIsMissingAndWhatIsNotThereIsToo) {
  Request r;
  r.path = "a,b";
  for (const char* missing : {"split(path, \",\", 3)", "int(path)", "int(\"5x\")", "int(\"\")", "hex(\"fg\")",
                              "hex(\"11112222333344445\")", "int(\"9223372036854775808\")"})
    EXPECT_FALSE(Holds(std::string(missing) + " is present", r)) << missing;
  EXPECT_FALSE(Holds("(1 + int(path)) is present", r));  // what is computed of the missing is missing
  EXPECT_TRUE(Holds("split(path, \",\", 2) == \"b\"", r));
  EXPECT_TRUE(Holds("-(0 - 9223372036854775807 - 1) == 9223372036854775807"));
  // Searched in one pass where it is long: found at the end, and where it overlaps itself.
  std::string text;
  for (const std::size_t before : {999, 1000}) {
    text = std::string(before, 'a') + "aabaab";
    r.path = text;
    EXPECT_TRUE(Holds("contains(path, \"aabaab\")", r)) << before;
    EXPECT_FALSE(Holds("contains(path, \"abb\")", r));
  }
  EXPECT_TRUE(Holds("length(split(path, \"ab\", 1) or_else \"\") == 1001", r));
  EXPECT_TRUE(Holds("split(path, \"ab\", 2) == \"a\"", r));
}

TEST(Match, FaultsNameTheirPlaceAndSeveralComeInOnePass) {
  const std::string fault = FaultOf("rule a { when path == 5 }\nrule b { when nothing }\nrule c { class }\n");
  EXPECT_NE(fault.find("f:3:16: expected the class, as a string, but there is }\n    rule c { class }\n      "
                       "             ^"),
            fault.npos)
      << fault;
  const std::string types = FaultOf("rule a { when path == 5 }\nrule b { when nothing }\n");
  EXPECT_NE(types.find("f:1:15: no comparison between string and int"), types.npos) << types;
  EXPECT_NE(types.find("\n    rule a { when path == 5 }\n                  ^~~~~~~~~"), types.npos) << types;
  EXPECT_NE(types.find("f:2:15: nothing is not known"), types.npos) << types;
  EXPECT_TRUE(Says("rule a { when header(\"X\") }", "a rule's condition is bool, but this is option string"));
  EXPECT_TRUE(Says("rule a { key header(\"X\") }", "a key is option key, but this is option string"));
  EXPECT_TRUE(Says("rule a { when path or_else \"x\" == path }", "never missing"));
  EXPECT_TRUE(Says("rule a { when matches(path, \"(\") }", "the regular expression: missing ): ("));
  EXPECT_TRUE(Says("rule a { when path in [\"a\", 5] }", "a list is of one type"));
  EXPECT_TRUE(Says("rule a { when body_bytes > 5s }", "no comparison between bytes and duration"));
  EXPECT_TRUE(Says("rule a { rate fast by path }", "rate fast is not there"));
  EXPECT_TRUE(Says("rule a { mark } rule a { mark }", "rule a is there already"));
  EXPECT_TRUE(Says("rule a { when path == \"x }", "does not end on its line"));
  EXPECT_TRUE(Says("rule a { refuse \"x\" continue }", "cannot continue"));
  EXPECT_TRUE(Says("rule a { when peer in 10.0.0.0/33 }", "0 to 32 bits"));
  EXPECT_TRUE(Says("test \"t\" { path \"/x\" expect rule a }", "test \"t\" expects rule a, but it is none"));
  EXPECT_TRUE(Says(std::string("rule a { \0 }", 12), "byte 0x00 means nothing here"));
  EXPECT_TRUE(Says("rule a { when \xc3\xa9 }", "byte 0xc3 means nothing here"));
}

TEST(Match, ConditionsThatUseEachOtherInACircleAreToldByTheirWay) {
  EXPECT_TRUE(Says("condition a = b\ncondition b = not c\ncondition c = a or a\nrule r { when a }",
                   "a -> b -> c -> a"));
  std::string chain = "condition c0 = true\n";
  for (int i = 1; i < 40; ++i)
    chain += "condition c" + std::to_string(i) + " = c" + std::to_string(i - 1) + " and c" +
             std::to_string(i - 1) + "\n";
  EXPECT_TRUE(Says(chain, "more than 32 deep"));
}

TEST(Match, ConditionsThatDoubleThemselvesAreDecidedOnce) {
  std::string chain = "condition c0 = repeat\n";
  for (int i = 1; i < 30; ++i)
    chain += "condition c" + std::to_string(i) + " = c" + std::to_string(i - 1) + " and c" +
             std::to_string(i - 1) + "\n";
  Rules rules("f", chain + "rule r { when c29 }");  // 2^29 steps if it were written out
  Request r;
  r.is_retry = true;
  EXPECT_EQ(rules.Match(r).count, 1u);
}

TEST(Match, NestingIsBounded) {
  const std::string deep =
      "rule r { when " + std::string(100'000, '(') + "true" + std::string(100'000, ')') + " }";
  EXPECT_TRUE(Says(deep, "nested more than 64 deep"));
  std::string nots = "rule r { when ";
  for (int i = 0; i < 100'000; ++i) nots += "not ";
  EXPECT_TRUE(Says(nots + "true }", "nested more than 64 deep"));
}

TEST(Match, AFileOverTheBudgetIsRejectedWithTheRuleThatCostsMost) {
  std::string text =
      "rule cheap { when repeat }\nrule costly { when matches(path, \"a\") and matches(path, \"b\") }\n";
  EXPECT_TRUE(Says(text, "rule costly costs most"));
  EXPECT_EQ(FaultOf(text, {200'000}), "");
}

TEST(Match, ThousandsOfRulesOnOneFieldAreOneLookUp) {
  std::string text;
  for (int i = 0; i < 5000; ++i)
    text +=
        "rule r" + std::to_string(i) + " { when segment(1) == \"c" + std::to_string(i) + "\" class \"c\" }\n";
  text += "rule last { class \"d\" }";
  Rules rules("f", text);
  EXPECT_LT(rules.worst_cost_ns(), 10'000);
  Request r;
  r.path = "/c4321/x";
  EXPECT_EQ(rules.NameOf(rules.Match(r).matched[0]), "r4321");
  r.path = "/none";
  EXPECT_EQ(rules.NameOf(rules.Match(r).matched[0]), "last");
}

TEST(Match, TheFirstOfTwoThatMatchDecidesUnlessItContinues) {
  Rules rules("f", R"(rule a { when segment(1) == "x" class "one" mark continue }
                      rule b { when path == "/x" class "two" repeats 2 }
                      rule c { class "three" })");
  Request r;
  r.path = "/x";
  const MatchResult v = rules.Match(r);
  EXPECT_EQ(*v.job_class, "one");
  EXPECT_EQ(*v.max_retries, 2);
  EXPECT_EQ(v.count, 2u);
  EXPECT_TRUE(v.mark);
}

TEST(Match, ASetOfAHundredThousand) {
  std::string text = "set many = [";
  for (int i = 0; i < 100'000; ++i) text += "\"entry-" + std::to_string(i) + "\",\n";
  Rules rules("f", text + "\"end\"]\nrule r { when segment(1) in many }");
  Request r;
  r.path = "/entry-99999";
  EXPECT_EQ(rules.Match(r).count, 1u);
  r.path = "/entry-100000";
  EXPECT_EQ(rules.Match(r).count, 0u);
}

TEST(Match, HostileHeadsStayWithinTheirTimeAndNothingIsAllocated) {
  std::string alternatives = "a{1,5}b";
  for (int i = 0; i < 300; ++i) alternatives += "|x" + std::to_string(i);
  Rules rules("f",
              "rule r { when matches(header(\"X\"), \"(a*)*b\") or matches(header(\"X\"), \"" + alternatives +
                  "\") or lower(header(\"X\")) == \"q\" }",
              {200'000});
  const Headers headers = {{"X", std::string(kMaxHeadBytes, 'a')}};
  Request r;
  r.headers = headers;
  rules.Match(r);  // the expressions' own tables are built by their first use
  const std::size_t before = g_allocations;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 100; ++i) EXPECT_EQ(rules.Match(r).count, 0u);
  EXPECT_EQ(g_allocations, before);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(2));
}

// Once the automata are built: an expression by itself, and many that are gathered.
TEST(Match, SetsOfExpressionsAllocateNothingEither) {
  std::string text = "map m = { \"a\": \"b\" }\n";
  for (int i = 0; i < 40; ++i)
    text += "rule r" + std::to_string(i) + " { when matches(header(\"X\"), \"(a*)*q" + std::to_string(i) +
            "$\") or lookup(m, path) == \"c\" or prefix(path, \"/z" + std::to_string(i) + "\") }\n";
  Rules rules("f", text, {1e9});
  Headers headers = {{"X", std::string(kMaxHeadBytes, 'a')}};
  Request r;
  r.headers = headers;
  for (const char* end : {"", "q37"}) {
    headers[0].second = std::string(1000, 'a') + end;
    rules.Match(r);
    const std::size_t before = g_allocations;
    for (int i = 0; i < 20; ++i) EXPECT_EQ(rules.Match(r).count, *end == 0 ? 0u : 1u);
    EXPECT_EQ(g_allocations, before) << end;
  }
}

TEST(Match, AFileThatIsHalfWrittenIsRejectedWhole) {
  const std::string whole = "rule a { when path == \"/x\" class \"c\" }\nrule b { mark }\n";
  for (std::size_t n = 1; n < whole.size() - 1; ++n) {
    if (whole[n - 1] == '\n') continue;  // a whole item
    const std::string half = whole.substr(0, n);
    if (half.ends_with("}")) continue;
    EXPECT_NE(FaultOf(half), "") << half;
  }
  EXPECT_THROW(ReadRuleFile("/nothing/here"), RuleError);
}

// ---- the compiled form against a plain walk over the tree
struct Maker {
  std::mt19937 random;
  int Below(int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); }
  std::string String(int depth) {
    switch (Below(depth > 0 ? 5 : 3)) {
      case 0:
        return "path";
      case 1:
        return "header(\"A\") or_else \"" + std::string(static_cast<std::size_t>(Below(3)), 'a') + "\"";
      case 2:
        return "\"" + std::string(static_cast<std::size_t>(Below(3)), "ab/"[Below(3)]) + "\"";
      case 3:
        return "(let s = " + String(0) + " in s)";
      default:
        return "(" + String(depth - 1) + ")";
    }
  }
  std::string Int(int depth) {
    switch (Below(depth > 0 ? 5 : 2)) {
      case 0:
        return std::to_string(Below(4));
      case 1:
        return "length(header(\"B\"))";
      case 2:
        return "9223372036854775807";
      case 3:
        return "length(" + String(depth - 1) + ")";
      default:
        return "(" + Int(depth - 1) + " " + std::string(1, "+-*"[Below(3)]) + " " + Int(depth - 1) + ")";
    }
  }
  std::string Bool(int depth) {
    static const char* kCompares[] = {"==", "!=", "<", "<=", ">", ">="};
    switch (Below(depth > 0 ? 10 : 3)) {
      case 0:
        return "repeat";
      case 1:
        return "header(\"B\") is present";
      case 2:
        return "true";
      case 3:
        return "(" + String(depth - 1) + " " + kCompares[Below(6)] + " " + String(depth - 1) + ")";
      case 4:
        return "(" + Int(depth - 1) + " " + kCompares[Below(6)] + " " + Int(depth - 1) + ")";
      case 5:
        return "not " + Bool(depth - 1);
      case 6:
        return "(" + Bool(depth - 1) + (Below(2) == 0 ? " and " : " or ") + Bool(depth - 1) + ")";
      case 7:
        return std::string(Below(2) == 0 ? "prefix(" : "contains(") + String(depth - 1) + ", \"a\")";
      case 8:
        return "(" + Int(depth - 1) + " in " + (Below(2) == 0 ? "1..3)" : "[0, 2, 5])");
      default:
        return "(let b = " + Bool(depth - 1) + " in (b or " + Bool(depth - 1) + "))";
    }
  }
};

TEST(Match, TheCompiledFormIsThePlainWalkOnRandomExpressions) {
  Maker make{std::mt19937(20261201)};
  const Headers some = {{"A", "aab"}}, both = {{"A", "b/"}, {"B", "abab"}};
  int held = 0;
  for (int n = 0; n < 4000; ++n) {
    const std::string expression = make.Bool(5);
    std::vector<Diagnostic> diagnostics;
    RuleFile file = Parse("rule r { when " + expression + " }", diagnostics);
    Check(file, diagnostics);
    ASSERT_TRUE(diagnostics.empty()) << expression << ": " << diagnostics[0].message;
    Rules rules("f", "rule r { when " + expression + " }", {1e9});
    for (int k = 0; k < 4; ++k) {
      Request r;
      r.path = k % 2 == 0 ? "/a" : "ab";
      r.headers = k < 2 ? some : both;
      r.is_retry = k == 3;
      const bool walked = TreeInterpreter(r).Eval(*file.rules[0].when).number != 0;
      ASSERT_EQ(rules.Match(r).count == 1, walked) << expression;
      held += walked ? 1 : 0;
    }
  }
  EXPECT_GT(held, 2000);
  EXPECT_LT(held, 14'000);
}

// What a fuzzer would send, replayed: bytes and halves of rule files are read to a verdict, and never worse.
TEST(Match, OddTextIsReadToAVerdict) {
  std::mt19937 random(7);
  const std::string seed =
      "set s = [\"a\", 10.0.0.0/8]\ncondition c = let x = header(\"A\") in x is present\nrate q: 5 per 1s\n"
      "rule r { when c and path in s or 5..7 targets zone \"a\" rate q by path continue }\n";
  for (int n = 0; n < 3000; ++n) {
    std::string text = seed;
    for (int k = 0; k < 1 + n % 8; ++k) {
      const std::size_t at = random() % text.size();
      if (random() % 3 == 0) text.erase(at, random() % 9);
      if (text.empty()) text = " ";
      text[random() % text.size()] =
          static_cast<char>(random() % 3 == 0 ? random() : "(){}[]\"\\=.,5s/ "[random() % 15]);
    }
    FaultOf(text);
  }
}

}  // namespace
}  // namespace heronway::match
