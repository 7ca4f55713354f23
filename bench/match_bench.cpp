// What a match costs, by the number of rules, on usual and on hostile requests, beside the same decision
// written by hand. range(0): rules.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <unordered_map>

#include "src/match/rules.h"

namespace {

using namespace heronway::match;
using Headers = std::vector<std::pair<std::string, std::string>>;

const Headers kUsual = {{"Host", "service.internal"},
                        {"Req-Id", "9b1f03aa5c7e2d41"},
                        {"Req-Deadline-Ms", "480"},
                        {"User-Agent", "AlbumApp/2.1"},
                        {"Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"},
                        {"X-Album", "songkran-2569"}};

// Rules on the first part of the path, each with a second test; the last one always matches.
std::string RulesOf(std::int64_t n) {
  std::string text;
  for (std::int64_t i = 0; i + 1 < n; ++i)
    text += "rule r" + std::to_string(i) + " { when segment(1) == \"class-" + std::to_string(i) +
            "\" and body_bytes < 64KiB class \"c\" key hash(header(\"X-Album\")) }\n";
  return text + "rule last { class \"d\" }\n";
}

void Run(benchmark::State& state, const std::string& text, const Request& request) {
  Rules rules("bench", text, {1e9});
  for (auto _ : state) benchmark::DoNotOptimize(&rules.Match(request));
  state.counters["reckoned_ns"] = rules.worst_cost_ns();
}

void Usual(benchmark::State& state) {
  const std::string path = "/class-" + std::to_string(state.range(0) / 2) + "/7";
  Request r;
  r.path = path;
  r.headers = kUsual;
  r.body_bytes = 212;
  Run(state, RulesOf(state.range(0)), r);
}
BENCHMARK(Usual)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000);

void Hostile(benchmark::State& state) {  // 256 headers and a path of 16 KiB, which no rule names
  Headers headers;
  for (std::size_t i = 0; i < kMaxHeaders; ++i)
    headers.emplace_back("H" + std::to_string(i), std::string(64, 'a'));
  const std::string path(kMaxHeadBytes, 'a');
  Request r;
  r.path = path;
  r.headers = headers;
  Run(state, RulesOf(state.range(0)), r);
}
BENCHMARK(Hostile)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000);

// Rules by the beginning of the path.
std::string PrefixesOf(std::int64_t n) {
  std::string text;
  for (std::int64_t i = 0; i + 1 < n; ++i)
    text += "rule r" + std::to_string(i) + " { when prefix(path, \"/class-" + std::to_string(i) +
            "/\") and body_bytes < 64KiB class \"c\" key hash(header(\"X-Album\")) }\n";
  return text + "rule last { class \"d\" }\n";
}
void UsualPrefixes(benchmark::State& state) {
  const std::string path = "/class-" + std::to_string(state.range(0) / 2) + "/7";
  Request r;
  r.path = path;
  r.headers = kUsual;
  r.body_bytes = 212;
  Run(state, PrefixesOf(state.range(0)), r);
}
BENCHMARK(UsualPrefixes)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000);

// Regular expressions on one header, which none fits: gathered, one pass.
std::string RegexesOf(std::int64_t n) {
  std::string text;
  for (std::int64_t i = 0; i < n; ++i)
    text += "rule r" + std::to_string(i) + " { when matches(header(\"User-Agent\"), \"(Bad|Odd)[a-z]*/" +
            std::to_string(i) + "\\\\.\") class \"c\" }\n";
  return text;
}
void UsualRegexes(benchmark::State& state) {
  Request r;
  r.path = "/album-save/7";
  r.headers = kUsual;
  Run(state, RegexesOf(state.range(0)), r);
}
BENCHMARK(UsualRegexes)->Arg(1)->Arg(3)->Arg(10)->Arg(100);

void HostileRegexes(benchmark::State& state) {  // 16 KiB in which each letter may begin one
  std::string long_one;
  while (long_one.size() + 5 < kMaxHeadBytes) long_one += "Badz ";
  const Headers headers = {{"User-Agent", long_one}};
  Request r;
  r.path = "/x";
  r.headers = headers;
  Run(state, RegexesOf(state.range(0)), r);
}
BENCHMARK(HostileRegexes)->Arg(1)->Arg(3)->Arg(10)->Arg(100);

// The dearest kind of file that the default budget of 60 us lets through, on 16 KiB of one letter.
void HostileAtTheBudget(benchmark::State& state) {
  const Headers headers = {{"X", std::string(kMaxHeadBytes, 'a')}};
  Request r;
  r.path = "/x";
  r.headers = headers;
  Rules rules("bench",
              "rule r { when matches(header(\"X\"), \"(a*)*(a+b)+c\") or contains(header(\"X\"), \"b\") or "
              "lower(header(\"X\")) == \"q\" class \"c\" "
              "key hash(header(\"X\")) }");
  for (auto _ : state) benchmark::DoNotOptimize(&rules.Match(r));
  state.counters["reckoned_ns"] = rules.worst_cost_ns();
}
BENCHMARK(HostileAtTheBudget);

// Each function by itself on 16 KiB that are as bad for it as can be: what the reckoning at load stands on.
void HostileFunction(benchmark::State& state, const std::string& condition, const std::string& text) {
  const Headers headers = {{"X", text}};
  Request r;
  r.path = "/x";
  r.headers = headers;
  Run(state, "rule r { when " + condition + " class \"c\" }", r);
}
const std::string kOneLetter(kMaxHeadBytes, 'a');
BENCHMARK_CAPTURE(HostileFunction, contains_2, "contains(header(\"X\"), \"ab\")", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, contains_20, "contains(header(\"X\"), \"aaaaaaaaaaaaaaaaaaab\")",
                  kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, split_1000, "split(header(\"X\"), \"a\", 1000) is present", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, split_ab, "split(header(\"X\"), \"ab\", 9) is present", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, lower, "lower(header(\"X\")) == \"q\"", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, hash, "hash(header(\"X\")) == hash(path)", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, glob, "glob(header(\"X\"), \"*a*a*b\")", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, equal, "header(\"X\") == \"q\"", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, in_set, "header(\"X\") in [\"q\", \"r\"]", kOneLetter);
BENCHMARK_CAPTURE(HostileFunction, segment_1000, "segment(1000) is present", kOneLetter);

// The same decision as Usual, as one would write it in C++.
void ByHand(benchmark::State& state) {
  std::unordered_map<std::string, int> classes;
  for (std::int64_t i = 0; i + 1 < state.range(0); ++i)
    classes["class-" + std::to_string(i)] = static_cast<int>(i);
  const std::string path = "/class-" + std::to_string(state.range(0) / 2) + "/7";
  const std::size_t body = 212;
  for (auto _ : state) {
    const auto end = path.find('/', 1);
    const auto it = classes.find(path.substr(1, end - 1));
    std::size_t key = 0;
    if (it != classes.end() && body < 64 * 1024) {
      for (const auto& [name, value] : kUsual) {
        if (name == "X-Album") key = std::hash<std::string>{}(value);
      }
    }
    benchmark::DoNotOptimize(key);
  }
}
BENCHMARK(ByHand)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000);

// Each call by itself, for the 99th percentile; the clock's own cost of about 20 ns is in it.
void UsualP99(benchmark::State& state) {
  Rules rules("bench", RulesOf(state.range(0)), {1e9});
  const std::string path = "/class-" + std::to_string(state.range(0) / 2) + "/7";
  Request r;
  r.path = path;
  r.headers = kUsual;
  std::vector<double> times;
  for (auto _ : state) {
    const auto began = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(&rules.Match(r));
    times.push_back(
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began).count());
  }
  std::sort(times.begin(), times.end());
  state.counters["p50_ns"] = times[times.size() / 2];
  state.counters["p99_ns"] = times[times.size() * 99 / 100];
}
BENCHMARK(UsualP99)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000)->Iterations(200000);

}  // namespace
