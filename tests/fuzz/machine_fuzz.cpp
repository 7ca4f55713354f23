// A rule file and a request of any bytes: the compiled rules give what a plain walk over their tree gives.
// Input: the file, a NUL, then the request: a line of path and query, and lines `name: value`; those that
// begin with ! are Faktory's custom fields, those with @ the other fields.
#include <cstdio>
#include <cstdlib>

#include "src/match/checker.h"
#include "src/match/parser.h"
#include "src/match/rules.h"
#include "tests/match/tree_interpreter.h"

namespace {

using namespace heronway::match;

struct Sample {
  std::vector<std::pair<std::string, std::string>> headers, custom;
  std::string path, query, jobtype, queue;
  Request request;

  explicit Sample(std::string_view text) {
    const auto line = [&text] {
      const auto end = std::min(text.find('\n'), text.size());
      const std::string out(text.substr(0, end));
      text.remove_prefix(std::min(end + 1, text.size()));
      return out;
    };
    path = line();
    if (const auto mark = path.find('?'); mark != path.npos) {
      query = path.substr(mark + 1);
      path.resize(mark);
    }
    while (!text.empty()) {
      const std::string one = line();
      const auto colon = std::min(one.find(": "), one.size());
      const std::string name = one.substr(0, colon), value = one.substr(std::min(colon + 2, one.size()));
      if (name == "@jobtype") {
        jobtype = value;
      } else if (name == "@queue") {
        queue = value;
      } else if (name == "@bytes") {
        request.body_bytes = std::atoll(value.c_str());
      } else if (name == "@deadline") {
        request.deadline = std::atoll(value.c_str());
      } else if (name == "@repeat") {
        request.is_retry = true;
      } else if (name == "@peer") {
        for (std::size_t i = 0; i < 16 && i < value.size(); ++i)
          request.peer[15 - i] = static_cast<std::uint8_t>(value[i]);
      } else if (name.starts_with("!")) {
        custom.emplace_back(name.substr(1), value);
      } else {
        headers.emplace_back(name, value);
      }
    }
    request.front = "http";
    request.path = path;
    request.query = query;
    request.jobtype = jobtype;
    request.queue = queue;
    request.headers = headers;
    request.custom = custom;
  }
};

// The rules that decide, by the walk.
std::vector<std::uint32_t> Walked(const RuleFile& file, const Request& request) {
  std::vector<std::uint32_t> out;
  for (std::uint32_t i = 0; i < file.rules.size(); ++i) {
    const RuleDecl& rule = file.rules[i];
    if (rule.when && TreeInterpreter(request).Eval(*rule.when).number == 0) continue;
    out.push_back(i);
    if (!rule.continues) break;
  }
  return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size > 4096) return 0;
  const std::string_view all(reinterpret_cast<const char*>(data), size);
  const auto nul = std::min(all.find('\0'), all.size());
  const std::string text(all.substr(0, nul));
  const Sample sample(all.substr(std::min(nul + 1, all.size())));
  std::vector<Diagnostic> diagnostics;
  RuleFile file = Parse(text, diagnostics);
  if (diagnostics.empty()) Check(file, diagnostics);
  if (!diagnostics.empty()) return 0;
  std::unique_ptr<Rules> rules;
  try {
    rules = std::make_unique<Rules>("fuzz", text, Limits{1e9});
  } catch (const RuleError&) {
    return 0;  // over a bound, or its own tests fail
  }
  for (int twice = 0; twice < 2; ++twice) {  // the second time on a machine that was used
    const MatchResult& v = rules->Match(sample.request);
    const auto walked = Walked(file, sample.request);
    bool same = v.count == std::min(walked.size(), MatchResult::kMaxRecordedRules);
    for (std::size_t i = 0; same && i + 1 < v.count; ++i) same = v.matched[i] == walked[i];
    if (same && v.count > 0) same = v.matched[v.count - 1] == walked.back();
    if (same && v.key) {  // it is the first key that any of them has
      for (const std::uint32_t i : walked) {
        if (!file.rules[i].key) continue;
        const Value key = TreeInterpreter(sample.request).Eval(*file.rules[i].key);
        if (!key.present) continue;
        same = static_cast<std::uint64_t>(key.number) == *v.key;
        break;
      }
    }
    if (!same) {
      std::fprintf(stderr, "the compiled rules and the walk differ\n");
      std::abort();
    }
  }
  return 0;
}
