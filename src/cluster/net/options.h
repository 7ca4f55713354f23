// The section `cluster` of the operators' file (docs/operators-cluster.md has every key).
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
  std::string fleet;         // members of other fleets are not heard
  std::string name;          // empty: the scheduler's
  std::string zone;          // empty: the scheduler's
  net::Address listen{};     // datagrams and exchanges; port 0: any
  net::Address advertise{};  // where others reach it; port 0: as bound
  std::vector<net::Address> join;
  std::map<std::string, net::Address>
      address_overrides;          // by member: the way there, before what that one advertises
  Micros probe_period = 500'000;  // 50 ms to 10 s
  int copies = 1;                 // of what is durable here, one's own included; 1: none else
  net::Address copies_listen{};   // connections for copies
  std::map<std::string, net::Address> copies_address_overrides;  // as `reach`
  Micros takeover_delay = 0;  // from a verdict until the dead member's jobs are run by another; 0: never
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
// A text that may stand in a message and in a log line as it is.
inline bool IsPlainToken(const std::string& text, std::size_t most) {
  for (const char c : text) {
    if (c <= ' ' || c >= 127 || c == '"' || c == '\\') return false;
  }
  return text.size() <= most;
}

}  // namespace heronway::cluster

#endif  // HERONWAY_CLUSTER_NET_OPTIONS_H_
