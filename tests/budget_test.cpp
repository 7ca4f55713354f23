// Descriptor budget of the HTTP front for all limits and all combinations of enabled parts.
#include "src/fronts/http/budget.h"

#include <gtest/gtest.h>

namespace heronway::http {
namespace {

constexpr std::size_t kMemory = 64 * 1024 * 1024;
constexpr std::size_t kMaxOthers = 127;  // console, second front, cluster and copies

TEST(Budget, RequestsNeverUseEveryConnection) {
  for (std::size_t sockets = 64; sockets <= 4096; ++sockets) {
    for (std::size_t others = 0; others <= kMaxOthers; ++others) {
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

// The limits of the fault rig's members. Guards against requests using every connection (formerly 75 of 75).
TEST(Budget, AThirdOfTheSocketsServesRequestsWithAllPartsEnabled) {
  const Budget b = Budget::From(256, kMemory, 25 + 9 + 18 + 49);
  EXPECT_GE(b.requests, 86u);
  EXPECT_GE(b.ingress - b.requests, 10u);
}

// Reserving a third of the descriptors for requests reduces egress, which once was limited to 43 of 256
// instead of 64 with a single front. Egress borrows unused descriptors of other parts, except for a reserve.
TEST(Budget, EgressBorrowsUnusedDescriptors) {
  constexpr std::size_t kOthers = 25 + 9 + 18 + 49;
  const Budget b = Budget::From(256, kMemory, kOthers);
  EXPECT_EQ(b.BorrowableByEgress(0), 0u);
  EXPECT_EQ(b.BorrowableByEgress(Budget::kLendingReserve), 0u);
  EXPECT_EQ(b.egress + b.BorrowableByEgress(kOthers), 64u);
  for (std::size_t unused = 0; unused <= kOthers; ++unused) {
    EXPECT_LE(b.egress + b.BorrowableByEgress(unused), 64u);
    EXPECT_LE(b.BorrowableByEgress(unused), unused) << "more than is unused";
  }
  EXPECT_EQ(Budget::From(1'024, kMemory, 9).BorrowableByEgress(9), 0u) << "egress owns a full quarter here";
}

TEST(Budget, TooFewSocketsAreReported) {
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
