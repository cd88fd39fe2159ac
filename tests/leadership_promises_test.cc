// Promises of peers not to lead, by rounds.
#include "mosspath/election/leadership_promises.h"

#include <gtest/gtest.h>

namespace mosspath::election {
namespace {

// All promises together are a look at what everybody has told; some of them are none.
TEST(View, PromisesOfAllPeersCountFromTheQuestion) {
  LeadershipPromises vouching(1.0, 2);
  const uint64_t round = vouching.BeginRound(50);
  EXPECT_FALSE(vouching.OnPromise(round, "b"));
  EXPECT_FALSE(vouching.OnPromise(round - 1, "c"));
  EXPECT_EQ(vouching.OnPromise(round, "c"), 50);
}

}  // namespace
}  // namespace mosspath::election
