// What stands round the expressions: the usual form, maps, the look-up of rules, sets of regular
// expressions, and the rules in service.
#include <gtest/gtest.h>

#include <fstream>
#include <random>

#include "src/match/checker.h"
#include "src/match/format.h"
#include "src/match/parser.h"
#include "src/match/service.h"
#include "tests/match/tree_interpreter.h"

namespace heronway::match {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string FaultOf(const std::function<void()>& load) {
  try {
    load();
  } catch (const RuleError& e) {
    return e.what();
  }
  return "";
}
std::string FaultOf(const std::string& text) {
  return FaultOf([&] { Rules("f", text); });
}
bool Has(const std::string& text, const std::string& part) { return text.find(part) != text.npos; }

// ---- the usual form
TEST(Format, OneFormWithCommentsKeptWhateverTheLayoutWas) {
  const std::string usual = R"(# What it is for.
set s = ["a", "b"]

rule one { when path in s and -1 < 2 - 3 refuse "no" }
rule two {  # a reason
  # for this
  when (prefix(path, "/a") or not repeat) and segment(2) == "x" and header("A") is present
      and body_bytes in 1..5
  rate r by header("B") or_else "nobody"
  continue
}
rate r: 5 per 1s burst 7
test "t" { path "/" expect rule none }
# end
)";
  EXPECT_EQ(Format("f", usual), usual);
  std::string odd;
  bool comment = false;
  for (const char c : usual) {
    comment = c == '#' || (comment && c != '\n');
    odd += c == ' ' && !comment ? "   " : std::string(1, c);
  }
  EXPECT_EQ(Format("f", odd), usual);
  EXPECT_TRUE(Has(FaultOf([] { Format("f", "rule {"); }), "f:1:6"));
}

// ---- maps
TEST(Maps, GiveWhatTheyHoldAndNothingElse) {
  const std::string maps =
      "map m = { \"a\": 5, \"b\": 7 }\nmap n = { 5: \"five\" }\nmap k = { \"y\": \"x\" }\nmap z = { 0: 1 }\n";
  const auto holds = [&](const std::string& expression, std::string_view path) {
    Rules rules("f", maps + "rule r { when " + expression + " }");
    Request r;
    r.path = path;
    return rules.Match(r).count == 1;
  };
  EXPECT_TRUE(holds("lookup(m, segment(1)) == 7", "/b"));
  EXPECT_FALSE(holds("lookup(m, segment(1)) is present", "/c"));
  EXPECT_FALSE(holds("lookup(m, segment(2)) is present", "/a"));
  EXPECT_TRUE(holds("lookup(n, lookup(m, path) or_else 5) == \"five\"", "none"));
  EXPECT_TRUE(holds("path in m", "a"));
  EXPECT_FALSE(holds("path in k", "x"));  // of a map its keys are the set
  EXPECT_FALSE(holds("lookup(z, int(header(\"none\"))) is present", "/"));
  EXPECT_TRUE(Has(FaultOf(maps + "rule r { when lookup(m, 5) == 1 }"), "the map's keys are string"));
  EXPECT_TRUE(Has(FaultOf("map m = { \"a\": 1, \"a\": 2 }"), "this key is there already"));
  EXPECT_TRUE(Has(FaultOf("map m = { \"a\": 1, \"b\": \"c\" }"), "values are of one type"));
  EXPECT_TRUE(Has(FaultOf("rule r { when lookup(q, path) == 1 }"), "no map's name"));
  EXPECT_TRUE(Has(FaultOf("rule r { class path }"), "a class is written out"));
}

// ---- what a file may cost
// The texts of one request share one head: tests of two headers cost no more than the dearer one's.
TEST(Cost, BytesAreReckonedOnceForAllFields) {
  const auto worst = [](const std::string& when) {
    return Rules("f", "rule r { when " + when + " }", {1e9}).worst_cost_ns();
  };
  const double
      one = worst("matches(header(\"A\"), \"x\")"),
      two = worst("matches(header(\"A\"), \"x\") or matches(header(\"B\"), \"y\")"),
      twice = worst("matches(header(\"A\"), \"x\") or matches(lower(header(\"A\")), \"y\")"),
      either = worst(
          "path == \"x\" or matches(header(\"A\"), \"x\") or matches(header(\"B\") or_else path, \"y\")");
  EXPECT_LT(two, 1.1 * one);
  EXPECT_GT(twice, 1.9 * one);
  EXPECT_GT(either, 1.9 * one);
}

// ---- the look-up of rules
TEST(Dispatch, GivesWhatTryingEveryRuleGives) {
  std::mt19937 random(20261202);
  const auto below = [&random](unsigned n) { return random() % n; };
  const auto text = [&] {
    std::string out = "/";
    for (unsigned n = below(4); n > 0; --n) out += "ab/"[below(3)];
    return out;
  };
  std::function<std::string(int)> test = [&](int depth) -> std::string {
    switch (below(depth > 0 ? 8 : 5)) {
      case 0:
        return "path == \"" + text() + "\"";
      case 1:
        return "prefix(path, \"" + text() + "\")";
      case 2:
        return "path in [\"" + text() + "\", \"" + text() + "\"]";
      case 3:
        return "glob(path, \"" + text() + "*" + (below(2) == 0 ? "a" : "") + "\")";
      case 4:
        return below(2) == 0 ? "repeat" : "\"" + text() + "\" != path";
      case 5:
        return "not (" + test(depth - 1) + ")";
      default:
        return "(" + test(depth - 1) + (below(2) == 0 ? " and " : " or ") + test(depth - 1) + ")";
    }
  };
  int looked_up = 0, matched = 0;
  for (int file = 0; file < 60; ++file) {
    std::string rules_text = "condition c = " + test(2) + "\n";
    for (int i = 0; i < 30; ++i)
      rules_text += "rule r" + std::to_string(i) + " { when " + (below(6) == 0 ? "c and " : "") + test(2) +
                    (below(2) == 0 ? " continue }\n" : " }\n");
    std::vector<Diagnostic> diagnostics;
    RuleFile tree = Parse(rules_text, diagnostics);
    Check(tree, diagnostics);
    ASSERT_TRUE(diagnostics.empty()) << diagnostics[0].message;
    Rules rules("f", rules_text, {1e9});
    looked_up += Has(rules.Explain(), "found by path") ? 1 : 0;
    for (int n = 0; n < 40; ++n) {
      const std::string path = text() + (below(3) == 0 ? text() : "");
      Request r;
      r.path = path;
      r.is_retry = below(2) == 0;
      std::vector<std::uint32_t> walked;
      for (std::uint32_t i = 0; i < tree.rules.size(); ++i) {
        if (TreeInterpreter(r).Eval(*tree.rules[i].when).number == 0) continue;
        walked.push_back(i);
        if (!tree.rules[i].continues) break;
      }
      const MatchResult& v = rules.Match(r);
      ASSERT_EQ(std::vector<std::uint32_t>(v.matched.begin(), v.matched.begin() + static_cast<int>(v.count)),
                std::vector<std::uint32_t>(
                    walked.begin(), walked.begin() + std::min<long>(16, walked.end() - walked.begin())))
          << rules_text << path;
      matched += static_cast<int>(v.count);
    }
  }
  EXPECT_GT(looked_up, 50);
  EXPECT_GT(matched, 2000);
}

TEST(Dispatch, PrefixesOfPrefixesCostOneWalk) {
  std::string text, prefix = "/";
  for (int i = 0; i < 5000; ++i) {
    text += "rule r" + std::to_string(i) + " { when prefix(path, \"/p" + std::to_string(i) + "/\") mark }\n";
  }
  Rules rules("f", text);
  EXPECT_LT(rules.worst_cost_ns(), 10'000);
  Request r;
  r.path = "/p4321/x";
  EXPECT_EQ(rules.NameOf(rules.Match(r).matched[0]), "r4321");
  // A chain of thousands is still read, within its bound.
  text.clear();
  for (int i = 0; i < 3000; ++i, prefix += "a")
    text += "rule r" + std::to_string(i) + " { when prefix(path, \"" + prefix + "\") continue }\n";
  Rules chain("f", text, {1e9});
  r.path = "/aab";
  EXPECT_EQ(chain.Match(r).count, 3u);
}

// ---- sets of regular expressions
TEST(RegexSets, OneThatNoneFitsIsPassedOverOnceAndOneThatFitsIsFound) {
  std::string text;
  for (int i = 0; i < 40; ++i)
    text += "rule r" + std::to_string(i) + " { when matches(header(\"X\"), \"(a*)*q" + std::to_string(i) +
            "$\") }\n";
  Rules rules("f", text, {1e9});
  Headers headers = {{"X", "aaaaq37"}};
  Request r;
  r.headers = headers;
  EXPECT_EQ(rules.NameOf(rules.Match(r).matched[0]), "r37");
  headers[0].second = std::string(kMaxHeadBytes, 'a');
  EXPECT_EQ(rules.Match(r).count, 0u);
}

TEST(RegexSets, TheSameTextWholeAndInPartAreTwoExpressions) {
  std::string text =
      "rule w { when glob(header(\"X\"), \"a\") }\nrule p { when matches(header(\"X\"), \"(?s)a\") }\n";
  for (int i = 0; i < 4; ++i)
    text +=
        "rule r" + std::to_string(i) + " { when matches(header(\"X\"), \"z" + std::to_string(i) + "\") }\n";
  Rules rules("f", text, {1e9});
  const Headers headers = {{"X", "bab"}};
  Request r;
  r.headers = headers;
  EXPECT_EQ(rules.NameOf(rules.Match(r).matched[0]), "p");
  // What may be another text is not judged by this field's set.
  Rules other("f", text + "rule o { when matches(header(\"N\") or_else header(\"X\"), \"q\") }", {1e9});
  const Headers both = {{"X", "none"}, {"N", "q"}};
  r.headers = both;
  EXPECT_EQ(other.Match(r).count, 1u);
}

// ---- in service
const Service::Site kSite = {{"preview", "save"}, {"a", "b"}, {"m"}};
Service Served(const std::string& text) { return Service("f", text, {}, kSite, 1); }

TEST(Service, ClassesFromAMapAreCheckedAtLoad) {
  Service s =
      Served("map c = { \"thumb\": \"preview\", \"put\": \"save\" }\nrule r { class lookup(c, segment(1)) }");
  Request r;
  r.path = "/put/1";
  EXPECT_EQ(s.Evaluate(0, r).job_class, 1);
  r.path = "/other";
  EXPECT_EQ(s.Evaluate(0, r).job_class, -1);
  EXPECT_TRUE(
      Has(FaultOf([] { Served("map c = { \"thumb\": \"nothing\" }\nrule r { class lookup(c, path) }"); }),
          "f:1:20: class nothing is none of the site's"));
}

TEST(Service, GroupsOfTargetsKeepTheirBitsOverNewRules) {
  Service s = Served(
      "rule r { when path == \"/x\" targets zone \"b\" targets label \"gpu\" continue }\n"
      "rule t { targets zone \"a\" targets kind \"m\" priority 3 tenant header(\"T\") }");
  const Headers headers = {{"T", "us"}};
  Request r;
  r.path = "/x";
  r.headers = headers;
  const auto j = s.Evaluate(0, r);
  EXPECT_EQ(j.required_groups, s.GroupsOf("b", "m", {"gpu"}));  // what the first says of the zone stays
  EXPECT_NE(j.required_groups & s.GroupsOf("b", "m", {}), j.required_groups);
  EXPECT_EQ(j.priority, 3);
  EXPECT_EQ(j.tenant, "us");
  EXPECT_FALSE(s.Replace("f", "rule t { targets zone \"b\" }"));
  EXPECT_EQ(s.Evaluate(0, r).required_groups & j.required_groups, s.Evaluate(0, r).required_groups);
  EXPECT_TRUE(s.Replace("f", "rule t { targets label \"ssd\" }"));
  EXPECT_TRUE(
      Has(FaultOf([&] { s.Replace("f", "rule t { targets zone \"c\" }"); }), "zone c is none of the site's"));
  std::string many;
  for (int i = 0; i < 65; ++i)
    many += "rule r" + std::to_string(i) + " { targets label \"l" + std::to_string(i) + "\" continue }\n";
  EXPECT_TRUE(Has(FaultOf([&] { s.Replace("f", many); }), "more than 64"));
  EXPECT_EQ(s.Evaluate(0, r).required_groups,
            s.GroupsOf("a", "m", {"ssd"}) & ~s.GroupsOf("a", "m", {}));  // as before
}

// A key or rate from a header is the client's to choose: it can take no more than its own places.
TEST(Service, ARateByAHeaderThatAnAttackerChoosesHoldsForTheOthers) {
  Service s = Served("rate r: 1 per 1h\nrule k { key hash(header(\"K\")) rate r by header(\"K\") }");
  Headers headers = {{"K", "abc"}};
  Request r;
  r.headers = headers;
  const auto first = s.Evaluate(1, r);
  EXPECT_EQ(first.key, 0x44bc2cf5ad770999ULL);  // XXH64 of "abc", seed 0, as published
  EXPECT_EQ(first.exceeded_rate, nullptr);
  EXPECT_NE(s.Evaluate(2, r).exceeded_rate, nullptr);
  for (int i = 0; i < 2000; ++i) {
    headers[0].second = "crafted" + std::to_string(i);
    s.Evaluate(3, r);
  }
  headers[0].second = "abc";
  EXPECT_NE(s.Evaluate(4, r).exceeded_rate, nullptr);
}

// ---- what the operators read
TEST(Pages, EveryExampleLoadsAsItStandsAndTheShippedFileIsInItsUsualForm) {
  std::ifstream page(HERONWAY_SOURCE "/docs/operators-match.md");
  std::string line, block;
  int examples = 0;
  bool within = false;
  while (std::getline(page, line)) {
    if (within && line == "```") {
      EXPECT_EQ(FaultOf(block), "") << block;
      EXPECT_EQ(FaultOf([&] { Format("f", block); }), "") << block;
      block.clear();
      within = false;
      ++examples;
    } else if (within) {
      block += line + "\n";
    } else {
      within = line == "```hr";
    }
  }
  EXPECT_EQ(examples, 12);
  const std::string shipped = ReadRuleFile(HERONWAY_SOURCE "/deploy/rules.example.hr");
  EXPECT_EQ(FaultOf(shipped), "");
  EXPECT_EQ(Format("f", shipped), shipped);
}

}  // namespace
}  // namespace heronway::match
