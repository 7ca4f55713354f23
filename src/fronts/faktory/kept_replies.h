// Replies whose clients were disconnected before they came, kept for clients that reconnect.
#ifndef HERONWAY_FRONTS_FAKTORY_KEPT_REPLIES_H_
#define HERONWAY_FRONTS_FAKTORY_KEPT_REPLIES_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "pebblenotch/brain.h"

namespace heronway::faktory {

using pebblenotch::Micros;

// Bounded in number. Not thread-safe.
class KeptReplies {
 public:
  static constexpr std::size_t kMax = 16'384;  // about 6 MiB with the longest ids

  // Keeps a reply for the job's client until `deadline`. Where there is no room, the reply with the latest
  // deadline is dropped, so that nobody keeps others out for long.
  void Add(const std::string& jid, std::string line, Micros deadline) {
    Remove(jid);
    by_deadline_.emplace(deadline, jid);
    replies_.emplace(jid, Reply{std::move(line), deadline});
    if (replies_.size() > kMax) Remove(std::string(by_deadline_.rbegin()->second));
  }
  // Removes the reply and returns it; nothing where there is none, or it has expired.
  std::optional<std::string> Take(const std::string& jid, Micros now) {
    DropExpired(now);
    const auto it = replies_.find(jid);
    if (it == replies_.end()) return std::nullopt;
    std::string line = std::move(it->second.line);
    Remove(jid);
    return line;
  }
  std::size_t size() const { return replies_.size(); }

 private:
  struct Reply {
    std::string line;
    Micros deadline;
  };
  void Remove(const std::string& jid) {
    const auto it = replies_.find(jid);
    if (it == replies_.end()) return;
    by_deadline_.erase({it->second.deadline, jid});
    replies_.erase(it);
  }
  void DropExpired(Micros now) {
    while (!by_deadline_.empty() && by_deadline_.begin()->first < now)
      Remove(std::string(by_deadline_.begin()->second));
  }

  std::unordered_map<std::string, Reply> replies_;  // by jid
  std::set<std::pair<Micros, std::string>> by_deadline_;
};

}  // namespace heronway::faktory

#endif  // HERONWAY_FRONTS_FAKTORY_KEPT_REPLIES_H_
