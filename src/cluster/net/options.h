// The section `cluster` of the options file (docs/operators-cluster.md documents every key). Keys that differ
// from the field names are in src/config/options.cpp.
#ifndef HERONWAY_CLUSTER_NET_OPTIONS_H_
#define HERONWAY_CLUSTER_NET_OPTIONS_H_

#include <map>
#include <string>
#include <vector>

#include "src/cluster/membership/member.h"
#include "src/net/stream.h"

namespace heronway::cluster {

struct Options {
  bool enabled = false;
  std::string fleet;         // messages from other fleets are dropped
  std::string name;          // empty: the scheduler's name
  std::string zone;          // empty: the scheduler's zone
  net::Address listen{};     // UDP and TCP; port 0: any free port
  net::Address advertise{};  // where others reach this member; port 0: the bound port
  std::vector<net::Address> join;
  // By member name: where to reach a member, instead of the address it advertises.
  std::map<std::string, net::Address> address_overrides;
  Micros probe_period = 500'000;  // 50 ms to 10 s
  int copies = 1;                 // of durable jobs, including the local one; 1: no replicas
  net::Address copies_listen{};   // where connections from other members' copies are accepted
  std::map<std::string, net::Address> copies_address_overrides;  // as `address_overrides`
  // From a verdict until another member runs the dead member's jobs; 0: never.
  Micros takeover_delay = 0;
  Micros forget_after = 24 * 3600'000'000LL;  // 10 s to 30 days
};

inline Endpoint ToEndpoint(const net::Address& at) { return {ntohl(at.sin_addr.s_addr), ntohs(at.sin_port)}; }
inline net::Address ToAddress(Endpoint at) {
  net::Address out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(at.ip);
  out.sin_port = htons(at.port);
  return out;
}
// Whether `text` can appear in messages and log lines without quoting: printable ASCII without blanks, quotes
// and backslashes, at most `max_bytes` long.
inline bool IsPlainToken(const std::string& text, std::size_t max_bytes) {
  for (const char c : text) {
    if (c <= ' ' || c >= 127 || c == '"' || c == '\\') return false;
  }
  return text.size() <= max_bytes;
}

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NET_OPTIONS_H_
