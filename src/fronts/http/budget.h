// What the HTTP front may hold: descriptors and memory, all worked out from the configured limits. Pure.
#ifndef HERONWAY_FRONTS_HTTP_BUDGET_H_
#define HERONWAY_FRONTS_HTTP_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <string>

namespace heronway::http {

struct Budget {
  // For the program itself: standard streams, the loop, the listener, discovery, and a few to spare.
  static constexpr std::size_t kOwnDescriptors = 16;
  static constexpr std::size_t kMinEgress = 8;
  static constexpr std::size_t kMinSpare = 4;
  // Of what other parts do not use, never lent: they may take so many before egress has given them back.
  static constexpr std::size_t kLendingReserve = 49;

  // Limits: `sockets` descriptors and `memory` bytes of the whole process, of which `others` descriptors
  // belong to its other parts (second front, console, cluster, copies). Throws std::runtime_error where
  // these leave too few to serve anybody.
  static Budget From(std::size_t sockets, std::size_t memory, std::size_t others) {
    const std::size_t least = kOwnDescriptors + others + kMinEgress + kMinSpare + 1;
    if (sockets < least)
      throw std::runtime_error("limits.sockets: " + std::to_string(sockets) +
                               " are too few for the parts that are on: they need " + std::to_string(least));
    const std::size_t left = sockets - kOwnDescriptors - others;
    const std::size_t third = (sockets + 2) / 3;  // requests may have so many, where they are there
    const std::size_t spare = std::max(kMinSpare, std::min(left, third) / 8);
    Budget b;
    b.egress = std::min(sockets / 4, std::max(kMinEgress, left - std::min(left, third + spare)));
    b.egress_borrowable = sockets / 4 - b.egress;
    b.ingress = left - b.egress;
    // Requests never have all of ingress. Who can only be refused, and a target that calls back, must be
    // accepted and read however long the requests wait, or it gets no answer at all.
    b.requests =
        std::min(std::max(b.ingress - b.ingress / 4, third), b.ingress - std::min(spare, b.ingress - 1));
    b.in_service = std::max(b.requests, b.ingress - std::min(kMinSpare, b.ingress - 1));
    b.held_bytes = memory / 4;
    b.incoming_bytes = memory / 8;
    return b;
  }

  // What egress may have beyond its own while other parts leave `unused` of their descriptors.
  std::size_t BorrowableByEgress(std::size_t unused) const {
    return std::min(egress_borrowable, unused - std::min(unused, kLendingReserve));
  }

  std::size_t egress = 0;             // descriptors that are its own
  std::size_t egress_borrowable = 0;  // and that it may have of other parts' at most
  std::size_t ingress = 0;            // descriptors
  std::size_t requests = 0;           // of ingress: clients whose answer is awaited
  std::size_t in_service = 0;  // of ingress: those, and call-backs that wait for a store or another scheduler
  std::size_t held_bytes = 0;  // of requests that are held
  std::size_t incoming_bytes = 0;
};

}  // namespace heronway::http

#endif  // HERONWAY_FRONTS_HTTP_BUDGET_H_
