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

#include "src/match/value.h"

namespace heronway::faktory {
namespace {

constexpr double kLongestS = 86'400;
constexpr std::size_t kMostName = 128;
constexpr std::size_t kMostWhy = 500;  // bytes of each part that are kept

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
    throw Fault(name + " is not a number from " + std::to_string(static_cast<long long>(least)) + " to " +
                std::to_string(static_cast<long long>(most)));
  }
  return value.asDouble();
}

}  // namespace

Command Split(std::string_view line) {
  const auto space = std::min(line.find(' '), line.size());
  Command command{std::string(line.substr(0, space)), line.substr(std::min(space + 1, line.size()))};
  std::transform(command.verb.begin(), command.verb.end(), command.verb.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return command;
}

Json::Value ParseObject(std::string_view text, const char* command) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  Json::Value root;
  bool good = false;
  try {
    good = reader->parse(text.data(), text.data() + text.size(), &root, nullptr) && root.isObject();
  } catch (const Json::Exception&) {
  }
  if (!good) throw Fault(std::string(command) + " needs a JSON object");
  return root;
}

std::string Text(const Json::Value& object, const char* field) {
  const Json::Value& value = object[field];
  if (!value.isString() || value.asString().empty() || value.asString().size() > kMostName)
    throw Fault(std::string(field) + " is missing or not a text of at most 128 bytes");
  return value.asString();
}

Micros ParseTime(const std::string& text) {
  std::tm t{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &t);
  Micros micros = 0, offset = 0;
  bool good = rest != nullptr;
  if (good && *rest == '.') {
    Micros digit = 100'000;
    for (++rest; std::isdigit(static_cast<unsigned char>(*rest)) != 0; ++rest, digit /= 10)
      micros += digit * (*rest - '0');
  }
  if (good && (*rest == '+' || *rest == '-')) {
    int hours = 0, minutes = 0, used = 0;
    good = std::sscanf(rest + 1, "%2d:%2d%n", &hours, &minutes, &used) == 2 && rest[1 + used] == '\0';
    offset = (hours * 3600LL + minutes * 60LL) * 1'000'000 * (*rest == '-' ? -1 : 1);
  } else {
    good = good && std::string_view(rest) == "Z";
  }
  if (!good) throw Fault("at is not a time as 2026-12-01T09:30:00Z");
  return static_cast<Micros>(timegm(&t)) * 1'000'000 + micros - offset;
}

Job ParseJob(std::string_view text, const std::vector<std::string>& classes, bool any_class, bool stored) {
  const Json::Value root = ParseObject(text, "PUSH");
  Job job;
  job.jid = Text(root, "jid");
  if (job.jid.size() < 8) throw Fault("jid is shorter than 8 bytes");
  job.jobtype = Text(root, "jobtype");
  const auto found = std::find(classes.begin(), classes.end(), job.jobtype);
  if (found == classes.end() && !any_class) throw Fault("jobtype names no class that is served here");
  job.job_class = found == classes.end() ? -1 : static_cast<int>(found - classes.begin());
  if (any_class && root["custom"].isObject()) {
    // Rules are reckoned for so much of text at most: what is beyond it is missing to them.
    std::size_t bytes = job.jobtype.size() + job.queue.size();
    for (const auto& name : root["custom"].getMemberNames()) {
      if (!root["custom"][name].isString()) continue;
      const std::size_t size = name.size() + root["custom"][name].asString().size();
      if (bytes + size > match::kMostHead || job.custom.size() == match::kMostHeaders) continue;
      bytes += size;
      job.custom.emplace_back(name, root["custom"][name].asString());
    }
  }
  if (!root["args"].isArray()) throw Fault("args is missing or not a list");
  // Where nothing is stored a job is answered within its deadline: it cannot wait for an hour to come.
  if (!root["at"].isNull()) {
    if (!stored) throw Fault("at is not supported: nothing is stored here");
    job.at = ParseTime(Text(root, "at"));
  }
  job.queue = root["queue"].isNull() ? "default" : Text(root, "queue");
  const Json::Value& reserve = root["reserve_for"];
  job.reserve_for =
      static_cast<Micros>((reserve.isNull() ? 1800 : Number(reserve, "reserve_for", 1, kLongestS)) * 1e6);
  job.reserved = !reserve.isNull();
  if (const Json::Value& retry = root["retry"]; !retry.isNull()) {
    job.retry = static_cast<int>(Number(retry, "retry", -1, 1000));
    job.most_hops = std::max(0, *job.retry) + 1;
  }
  const Json::Value& custom = root["custom"];
  if (custom.isNull()) return job;
  if (!custom.isObject()) throw Fault("custom is not an object");
  if (const Json::Value& ms = custom["deadline_ms"]; !ms.isNull())
    job.deadline = static_cast<Micros>(Number(ms, "custom.deadline_ms", 0, kLongestS * 1e3) * 1e3);
  if (const Json::Value& key = custom["key"]; !key.isNull()) {
    const std::string digits = key.isString() ? key.asString() : "";
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), job.key, 16);
    if (error != std::errc() || end != digits.data() + digits.size())
      throw Fault("custom.key is not a hexadecimal number of 64 bits");
  }
  return job;
}

std::string WhyOf(const Json::Value& fail) {
  std::string out;
  for (const char* name : {"errtype", "message"}) {
    if (!fail[name].isString() || fail[name].asString().empty()) continue;
    out += (out.empty() ? "" : ": ") + fail[name].asString().substr(0, kMostWhy);
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

bool SameSecret(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomSalt() {
  unsigned char bytes[8];
  if (RAND_bytes(bytes, sizeof bytes) != 1) throw std::runtime_error("no random bytes can be had");
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
