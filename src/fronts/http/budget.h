// Descriptor and memory limits of the HTTP front, computed from the configured limits of the process. Pure
// functions.
#ifndef HERONWAY_FRONTS_HTTP_BUDGET_H_
#define HERONWAY_FRONTS_HTTP_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <string>

namespace heronway::http {

struct Budget {
  // Reserved for the program itself: standard streams, event loop, listener, discovery and a small margin.
  static constexpr std::size_t kOwnDescriptors = 16;
  static constexpr std::size_t kMinEgress = 8;
  static constexpr std::size_t kMinSpare = 4;
  // Unused descriptors of other parts that egress never borrows: these parts may need that many before egress
  // has closed its borrowed connections.
  static constexpr std::size_t kLendingReserve = 49;

  // Divides the limits of the process: `sockets` descriptors, of which `others` belong to other parts of the
  // program (second front, console, cluster, copies), and `memory` bytes. Throws std::runtime_error if too
  // few descriptors remain to serve a request.
  static Budget From(std::size_t sockets, std::size_t memory, std::size_t others) {
    const std::size_t least = kOwnDescriptors + others + kMinEgress + kMinSpare + 1;
    if (sockets < least)
      throw std::runtime_error("limits.sockets: " + std::to_string(sockets) +
                               " are too few for the parts that are on: they need " + std::to_string(least));
    const std::size_t left = sockets - kOwnDescriptors - others;
    const std::size_t third = (sockets + 2) / 3;  // guaranteed to requests where available
    const std::size_t spare = std::max(kMinSpare, std::min(left, third) / 8);
    Budget b;
    b.egress = std::min(sockets / 4, std::max(kMinEgress, left - std::min(left, third + spare)));
    b.egress_borrowable = sockets / 4 - b.egress;
    b.ingress = left - b.egress;
    // Requests never take all ingress connections: clients that will be shed and targets that send callbacks
    // must still be accepted and read while requests wait, or they would get no answer at all.
    b.requests =
        std::min(std::max(b.ingress - b.ingress / 4, third), b.ingress - std::min(spare, b.ingress - 1));
    b.in_service = std::max(b.requests, b.ingress - std::min(kMinSpare, b.ingress - 1));
    b.held_bytes = memory / 4;
    b.incoming_bytes = memory / 8;
    return b;
  }

  // Descriptors that egress may borrow while other parts of the program leave `unused` of theirs.
  std::size_t BorrowableByEgress(std::size_t unused) const {
    return std::min(egress_borrowable, unused - std::min(unused, kLendingReserve));
  }

  std::size_t egress = 0;             // descriptors owned by egress
  std::size_t egress_borrowable = 0;  // upper bound of descriptors borrowed from other parts
  std::size_t ingress = 0;            // descriptors
  std::size_t requests = 0;           // part of ingress: clients with an unanswered request
  // Part of ingress: `requests`, plus callbacks that wait for the store or for another scheduler.
  std::size_t in_service = 0;
  std::size_t held_bytes = 0;      // bytes of held requests
  std::size_t incoming_bytes = 0;  // bytes of messages that are not yet complete
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_BUDGET_H_
