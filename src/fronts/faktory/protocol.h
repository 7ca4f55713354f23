// Parses commands and formats replies (RESP) of the Faktory work protocol, version 2. Stateless.
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

// The maximum length of a command line.
inline constexpr std::size_t kMaxLineBytes = 64 * 1024;

// The maximum number of queues that a FETCH names.
inline constexpr std::size_t kMaxFetchQueues = 64;

// An error of the peer; `what()` is the text of the -ERR reply.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A command line, split at the first space.
struct Command {
  std::string verb;  // in upper case
  std::string_view arguments;
};
Command SplitCommand(std::string_view line);

// Parses the JSON object that is the argument of `command`. Throws ProtocolError.
Json::Value ParseObject(std::string_view text, const char* command);
// The value of a text field. Throws ProtocolError, naming the field, where it is missing, empty, no string
// or longer than 128 bytes.
std::string RequiredText(const Json::Value& object, const char* field);

// The queues that a FETCH names; "default" where it names none. Throws ProtocolError where there are more
// than kMaxFetchQueues.
std::vector<std::string> ParseQueues(std::string_view arguments);

// The fields of the job in a PUSH.
struct PushedJob {
  std::string jid, jobtype, queue;
  int job_class = 0;               // index; -1: the jobtype is not the name of a class
  std::optional<Micros> deadline;  // custom.deadline_ms in microseconds, relative to the PUSH
  std::uint64_t key = 0;           // custom.key
  std::vector<std::pair<std::string, std::string>> custom;  // the string members of `custom`, for rules
  Micros reserve_for = 0;                                   // time for one run of the job
  bool reserved = false;                                    // the client gave reserve_for
  int max_hops = 0;                                         // `retry` + 1; 0: not limited by the client
  std::optional<int> retry;                                 // as given: -1 to 1000
  Micros at = 0;  // Unix time before which it must not run; 0: immediately
};
// Parses an RFC 3339 time to Unix microseconds. Throws ProtocolError.
Micros ParseTimestamp(const std::string& text);
// Parses and checks the job of a PUSH. Throws a ProtocolError that names the first invalid or unsupported
// field. `allow_unknown_class`: the jobtype need not be a class, as rules may assign one; `custom` strings
// are extracted. `supports_delay`: `at` is accepted, as jobs are stored.
PushedJob ParseJob(std::string_view text, const std::vector<std::string>& classes,
                   bool allow_unknown_class = false, bool supports_delay = false);

// The reason in a FAIL: its errtype and message, each cut to 500 bytes; "failed" where both are missing.
std::string FailureReason(const Json::Value& fail);

// The password hash of HELLO, in hexadecimal: `rounds` times SHA-256 of password and salt.
std::string PasswordHash(std::string_view password, std::string_view salt, int rounds);
bool SecretsEqual(std::string_view a, std::string_view b);  // in constant time for texts of equal length
// Throws std::runtime_error where no random bytes are available.
std::string RandomSalt();

std::string Simple(std::string_view text);  // +text
std::string Error(std::string_view text);   // -ERR text
std::string Bulk(std::string_view text);    // $length, text
inline constexpr std::string_view kNull = "$-1\r\n";

}  // namespace heronway::faktory

#endif  // HERONWAY_FRONTS_FAKTORY_PROTOCOL_H_
