// The command line's `match ...`: checks, tries, explains and times a rule file. Gives the exit status.
#ifndef HERONWAY_MATCH_RULE_COMMANDS_H_
#define HERONWAY_MATCH_RULE_COMMANDS_H_

#include <string>

namespace heronway::match {

int CheckFile(const std::string& path, double budget_ns);
// `request`: a JSON file: front, path, query, jobtype, queue, peer (IPv4), body_bytes, deadline_ms, repeat,
// and the objects headers and custom. Faults name the key.
int EvalFile(const std::string& path, const std::string& request, double budget_ns);
// Prints the file in its usual form; `write`: puts it in the file's place; `check`: only tells, by the
// status.
int FormatFile(const std::string& path, bool write, bool check);
int ExplainFile(const std::string& path, double budget_ns);
int BenchFile(const std::string& path, double budget_ns);

}  // namespace heronway::match

#endif  // HERONWAY_MATCH_RULE_COMMANDS_H_
