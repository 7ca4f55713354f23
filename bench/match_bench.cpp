// What a match costs, by the number of rules, on usual and on hostile requests, beside the same decision
// written by hand. range(0): rules.
#include <benchmark/benchmark.h>

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
  state.counters["reckoned_ns"] = rules.worst_cost();
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
  for (std::size_t i = 0; i < kMostHeaders; ++i)
    headers.emplace_back("H" + std::to_string(i), std::string(64, 'a'));
  const std::string path(kMostHead, 'a');
  Request r;
  r.path = path;
  r.headers = headers;
  Run(state, RulesOf(state.range(0)), r);
}
BENCHMARK(Hostile)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000);

void HostileRegex(benchmark::State& state) {  // nested repetition against one letter, 16 KiB of it
  const Headers headers = {{"X", std::string(kMostHead, 'a')}};
  Request r;
  r.path = "/x";
  r.headers = headers;
  Run(state, "rule r { when matches(header(\"X\"), \"(a*)*b$\") class \"c\" }", r);
}
BENCHMARK(HostileRegex);

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

}  // namespace
