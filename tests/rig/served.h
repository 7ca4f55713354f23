// What the rig's stand-in servers share: a served connection, and addresses of their own.
#ifndef HERONWAY_TESTS_RIG_SERVED_H_
#define HERONWAY_TESTS_RIG_SERVED_H_

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/fronts/http/message.h"
#include "src/net/stream.h"

namespace heronway::rig {

std::string OwnHost(int last_part);

// A served connection: reads requests one after another.
struct Served : net::Stream::Owner {
  Served(net::StreamContext& shared, int fd)
      : reader(HTTP_REQUEST, http::kMaxBodyBytes), stream(shared, fd, "rig", *this) {}
  void OnData(std::string_view bytes) override {
    while (!bytes.empty() && stream.open()) {
      std::size_t used = 0;
      const http::ParseState state = reader.Feed(bytes, used);
      bytes.remove_prefix(std::min(used, bytes.size()));
      if (state == http::ParseState::kIncomplete) return;
      if (state != http::ParseState::kComplete) return stream.Close(net::Reason::kBadMessage);
      OnMessage(reader.TakeMessage());
    }
  }
  virtual void OnMessage(http::Message message) = 0;
  void Answer(unsigned status, std::string_view body,
              std::vector<std::pair<std::string, std::string>> headers = {}) {
    if (stream.open()) stream.Write(http::FormatResponse(status, true, headers, body));
  }
  http::MessageParser reader;
  net::Stream stream;
};

// Any port of the rig's own servers; a number that schedulers, who have fixed ones, don't use.
inline net::Address AnyPort() {
  constexpr int kServers = 250;
  return *net::ParseAddress(OwnHost(kServers) + ":0");
}

template <typename List, typename T>
void Drop(net::StreamContext& shared, List& list, T* one) {
  const auto it = std::find_if(list.begin(), list.end(), [one](const auto& p) { return p.get() == one; });
  if (it == list.end()) return;
  shared.loop.DestroyLater(std::move(*it));
  list.erase(it);
}

}  // namespace heronway::rig

#endif  // HERONWAY_TESTS_RIG_SERVED_H_
