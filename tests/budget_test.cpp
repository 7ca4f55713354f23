// Descriptors and memory of the HTTP front, over all limits and all parts that may be on.
#include "src/fronts/http/budget.h"

#include <gtest/gtest.h>

namespace heronway::http {
namespace {

constexpr std::size_t kMemory = 64 * 1024 * 1024;
constexpr std::size_t kMostOthers = 127;  // console, second front, cluster and copies

TEST(Budget, RequestsNeverTakeEveryConnection) {
  for (std::size_t sockets = 64; sockets <= 4096; ++sockets) {
    for (std::size_t others = 0; others <= kMostOthers; ++others) {
      if (sockets < Budget::kOwnDescriptors + others + Budget::kMinEgress + Budget::kMinSpare + 1) continue;
      const Budget b = Budget::From(sockets, kMemory, others);
      ASSERT_EQ(Budget::kOwnDescriptors + others + b.egress + b.ingress, sockets);
      ASSERT_GE(b.egress, Budget::kMinEgress);
      ASSERT_GE(b.requests, 1u);
      ASSERT_GE(b.ingress, b.requests + Budget::kMinSpare) << sockets << " with " << others;
      ASSERT_GE(b.in_service, b.requests);
      ASSERT_GE(b.ingress, b.in_service + Budget::kMinSpare) << sockets << " with " << others;
    }
  }
}

// What the fault rig's members have: before, 75 of 75 connections could be requests.
TEST(Budget, WithEveryPartOnAThirdOfTheSocketsServesRequests) {
  const Budget b = Budget::From(256, kMemory, 25 + 9 + 18 + 49);
  EXPECT_GE(b.requests, 86u);
  EXPECT_GE(b.ingress - b.requests, 10u);
}

// The third of requests is kept at the cost of egress: before, that had 43 of 256 for good, where it has 64
// with one front alone. What other parts do not use is lent to it, but for what these may take at once.
TEST(Budget, EgressHasWhatOtherPartsDoNotUse) {
  constexpr std::size_t kOthers = 25 + 9 + 18 + 49;
  const Budget b = Budget::From(256, kMemory, kOthers);
  EXPECT_EQ(b.BorrowableByEgress(0), 0u);
  EXPECT_EQ(b.BorrowableByEgress(Budget::kLendingReserve), 0u);
  EXPECT_EQ(b.egress + b.BorrowableByEgress(kOthers), 64u);
  for (std::size_t unused = 0; unused <= kOthers; ++unused) {
    EXPECT_LE(b.egress + b.BorrowableByEgress(unused), 64u);
    EXPECT_LE(b.BorrowableByEgress(unused), unused) << "no more than there is";
  }
  EXPECT_EQ(Budget::From(1'024, kMemory, 9).BorrowableByEgress(9), 0u) << "it has a quarter of its own there";
}

TEST(Budget, TooFewSocketsAreNamed) {
  EXPECT_THROW(
      {
        try {
          Budget::From(64, kMemory, 76);
        } catch (const std::runtime_error& e) {
          EXPECT_STREQ(e.what(), "limits.sockets: 64 are too few for the parts that are on: they need 105");
          throw;
        }
      },
      std::runtime_error);
}

}  // namespace
}  // namespace heronway::http
