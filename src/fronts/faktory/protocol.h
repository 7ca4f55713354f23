// The Faktory work protocol, version 2, as text: command lines in, RESP replies out. Holds no state.
#ifndef HERONWAY_FRONTS_FAKTORY_PROTOCOL_H_
#define HERONWAY_FRONTS_FAKTORY_PROTOCOL_H_

#include <json/value.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/reducer.h"

namespace heronway::faktory {

using core::Micros;

inline constexpr std::size_t kMostLine = 64 * 1024;

// What the peer did wrong; `what()` goes behind -ERR.
class Fault : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Command {
  std::string verb;  // in upper case
  std::string_view rest;
};
Command Split(std::string_view line);

// The JSON object that a command carries. Throws Fault.
Json::Value ParseObject(std::string_view text, const char* command);
// A text field; a Fault that names it where it is missing or no text.
std::string Text(const Json::Value& object, const char* field);

// A job as PUSH brings it.
struct Job {
  std::string jid, jobtype, queue;
  int job_class = 0;                                        // -1: the jobtype names none
  std::optional<Micros> deadline;                           // custom.deadline_ms, from when it was sent
  std::uint64_t key = 0;                                    // custom.key
  std::vector<std::pair<std::string, std::string>> custom;  // its texts, for rules
  Micros reserve_for = 0;
  bool reserved = false;     // the client said for how long
  int most_hops = 0;         // `retry` + 1; 0: no limit of the client's
  std::optional<int> retry;  // as it is told: -1 to 1000
  Micros at = 0;             // Unix time before which it must not run; 0: at once
};
// RFC 3339, as `at` has it. Throws Fault.
Micros ParseTime(const std::string& text);
// Checks all fields and throws a Fault that names the first bad or unsupported one.
// `any_class`: rules may give a class to one whose jobtype names none. `stored`: jobs for later can be kept.
Job ParseJob(std::string_view text, const std::vector<std::string>& classes, bool any_class = false,
             bool stored = false);

// What a FAIL says of the failure, in short.
std::string WhyOf(const Json::Value& fail);

// What a client answers to the server's salt and number of rounds.
std::string PasswordHash(std::string_view password, std::string_view salt, int rounds);
bool SameSecret(std::string_view a, std::string_view b);  // takes as long whatever differs
std::string RandomSalt();

std::string Simple(std::string_view text);  // +text
std::string Error(std::string_view text);   // -ERR text
std::string Bulk(std::string_view text);    // $length, text
inline constexpr std::string_view kNull = "$-1\r\n";

}  // namespace heronway::faktory

#endif  // HERONWAY_FRONTS_FAKTORY_PROTOCOL_H_
