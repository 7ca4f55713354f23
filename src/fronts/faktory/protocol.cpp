#include "src/fronts/faktory/protocol.h"

#include <json/reader.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <sstream>

#include "src/match/value.h"

namespace heronway::faktory {
namespace {

constexpr double kMaxDurationS = 86'400;  // seconds, of reserve_for and deadline_ms
constexpr std::size_t kMaxTextBytes = 128;
constexpr std::size_t kMaxReasonBytes = 500;  // of each part of a failure reason

std::string Hex(const unsigned char* bytes, std::size_t count) {
  static const char kDigits[] = "0123456789abcdef";
  std::string out;
  for (std::size_t i = 0; i < count; ++i) {
    out += kDigits[bytes[i] >> 4];
    out += kDigits[bytes[i] & 15];
  }
  return out;
}

double Number(const Json::Value& value, const std::string& name, double least, double most) {
  if (!value.isNumeric() || !(value.asDouble() >= least && value.asDouble() <= most)) {
    throw ProtocolError(name + " is not a number from " + std::to_string(static_cast<long long>(least)) +
                        " to " + std::to_string(static_cast<long long>(most)));
  }
  return value.asDouble();
}

}  // namespace

Command SplitCommand(std::string_view line) {
  const auto space = std::min(line.find(' '), line.size());
  Command command{std::string(line.substr(0, space)), line.substr(std::min(space + 1, line.size()))};
  std::transform(command.verb.begin(), command.verb.end(), command.verb.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return command;
}

Json::Value ParseObject(std::string_view text, const char* command) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  Json::Value root;
  bool valid = false;
  try {
    valid = reader->parse(text.data(), text.data() + text.size(), &root, nullptr) && root.isObject();
  } catch (const Json::Exception&) {
  }
  if (!valid) throw ProtocolError(std::string(command) + " needs a JSON object");
  return root;
}

std::string RequiredText(const Json::Value& object, const char* field) {
  const Json::Value& value = object[field];
  if (!value.isString() || value.asString().empty() || value.asString().size() > kMaxTextBytes)
    throw ProtocolError(std::string(field) + " is missing or not a text of at most 128 bytes");
  return value.asString();
}

std::vector<std::string> ParseQueues(std::string_view arguments) {
  std::vector<std::string> queues;
  std::istringstream names{std::string(arguments)};
  for (std::string name; names >> name;) {
    if (queues.size() == kMaxFetchQueues)
      throw ProtocolError("FETCH names more than " + std::to_string(kMaxFetchQueues) + " queues");
    queues.push_back(name);
  }
  if (queues.empty()) queues.push_back("default");
  return queues;
}

Micros ParseTimestamp(const std::string& text) {
  std::tm t{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &t);
  Micros micros = 0, offset = 0;
  bool valid = rest != nullptr;
  if (valid && *rest == '.') {
    Micros digit = 100'000;
    for (++rest; std::isdigit(static_cast<unsigned char>(*rest)) != 0; ++rest, digit /= 10)
      micros += digit * (*rest - '0');
  }
  if (valid && (*rest == '+' || *rest == '-')) {
    int hours = 0, minutes = 0, used = 0;
    valid = std::sscanf(rest + 1, "%2d:%2d%n", &hours, &minutes, &used) == 2 && rest[1 + used] == '\0';
    offset = (hours * 3600LL + minutes * 60LL) * 1'000'000 * (*rest == '-' ? -1 : 1);
  } else {
    valid = valid && std::string_view(rest) == "Z";
  }
  if (!valid) throw ProtocolError("at is not a time as 2026-12-01T09:30:00Z");
  return static_cast<Micros>(timegm(&t)) * 1'000'000 + micros - offset;
}

PushedJob ParseJob(std::string_view text, const std::vector<std::string>& classes, bool allow_unknown_class,
                   bool supports_delay) {
  const Json::Value root = ParseObject(text, "PUSH");
  PushedJob job;
  job.jid = RequiredText(root, "jid");
  if (job.jid.size() < 8) throw ProtocolError("jid is shorter than 8 bytes");
  job.jobtype = RequiredText(root, "jobtype");
  const auto job_class = std::find(classes.begin(), classes.end(), job.jobtype);
  if (job_class == classes.end() && !allow_unknown_class)
    throw ProtocolError("jobtype names no class that is served here");
  job.job_class = job_class == classes.end() ? -1 : static_cast<int>(job_class - classes.begin());
  if (allow_unknown_class && root["custom"].isObject()) {
    // The cost limit of rules is computed for this amount of text. Members beyond it are not visible to
    // rules.
    std::size_t bytes = job.jobtype.size() + job.queue.size();
    for (const auto& name : root["custom"].getMemberNames()) {
      if (!root["custom"][name].isString()) continue;
      const std::size_t size = name.size() + root["custom"][name].asString().size();
      if (bytes + size > match::kMaxHeadBytes || job.custom.size() == match::kMaxHeaders) continue;
      bytes += size;
      job.custom.emplace_back(name, root["custom"][name].asString());
    }
  }
  if (!root["args"].isArray()) throw ProtocolError("args is missing or not a list");
  // Without stored jobs, a job is answered within its deadline and cannot wait for a later time.
  if (!root["at"].isNull()) {
    if (!supports_delay) throw ProtocolError("at is not supported: nothing is stored here");
    job.at = ParseTimestamp(RequiredText(root, "at"));
  }
  job.queue = root["queue"].isNull() ? "default" : RequiredText(root, "queue");
  const Json::Value& reserve = root["reserve_for"];
  job.reserve_for =
      static_cast<Micros>((reserve.isNull() ? 1800 : Number(reserve, "reserve_for", 1, kMaxDurationS)) * 1e6);
  job.reserved = !reserve.isNull();
  if (const Json::Value& retry = root["retry"]; !retry.isNull()) {
    job.retry = static_cast<int>(Number(retry, "retry", -1, 1000));
    job.max_hops = std::max(0, *job.retry) + 1;
  }
  const Json::Value& custom = root["custom"];
  if (custom.isNull()) return job;
  if (!custom.isObject()) throw ProtocolError("custom is not an object");
  if (const Json::Value& ms = custom["deadline_ms"]; !ms.isNull())
    job.deadline = static_cast<Micros>(Number(ms, "custom.deadline_ms", 0, kMaxDurationS * 1e3) * 1e3);
  if (const Json::Value& key = custom["key"]; !key.isNull()) {
    const std::string digits = key.isString() ? key.asString() : "";
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), job.key, 16);
    if (error != std::errc() || end != digits.data() + digits.size())
      throw ProtocolError("custom.key is not a hexadecimal number of 64 bits");
  }
  return job;
}

std::string FailureReason(const Json::Value& fail) {
  std::string out;
  for (const char* name : {"errtype", "message"}) {
    if (!fail[name].isString() || fail[name].asString().empty()) continue;
    out += (out.empty() ? "" : ": ") + fail[name].asString().substr(0, kMaxReasonBytes);
  }
  return out.empty() ? "failed" : out;
}

std::string PasswordHash(std::string_view password, std::string_view salt, int rounds) {
  std::string text = std::string(password) + std::string(salt);
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  for (int i = 1; i < rounds; ++i) {
    unsigned char next[SHA256_DIGEST_LENGTH];
    SHA256(digest, sizeof digest, next);
    std::copy(std::begin(next), std::end(next), std::begin(digest));
  }
  return Hex(digest, sizeof digest);
}

bool SecretsEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomSalt() {
  unsigned char bytes[8];
  if (RAND_bytes(bytes, sizeof bytes) != 1) throw std::runtime_error("cannot get random bytes");
  return Hex(bytes, sizeof bytes);
}

std::string Simple(std::string_view text) { return "+" + std::string(text) + "\r\n"; }
std::string Error(std::string_view text) {
  std::string line(text);
  std::replace_if(
      line.begin(), line.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
  return "-ERR " + line + "\r\n";
}
std::string Bulk(std::string_view text) {
  return "$" + std::to_string(text.size()) + "\r\n" + std::string(text) + "\r\n";
}

}  // namespace heronway::faktory
