// The budget of sockets for each class of connections.
#include "mosspath/net/socket_budget.h"

#include <gtest/gtest.h>

namespace mosspath::net {
namespace {

TEST(SocketBudget, EachPartyHasItsOwnAndNobodyElses) {
  SocketBudget b(1000);
  size_t workers = 0;
  while (b.Acquire(ConnectionClass::kUnidentified)) {
    b.Reclassify(ConnectionClass::kUnidentified, ConnectionClass::kAgent);
    ++workers;
  }
  EXPECT_EQ(workers, b.limit(ConnectionClass::kAgent));
  EXPECT_EQ(b.refused(ConnectionClass::kUnidentified), 1u);
  // All on the public address are taken; the others still have theirs.
  EXPECT_TRUE(b.Acquire(ConnectionClass::kOutbound));
  EXPECT_TRUE(b.Acquire(ConnectionClass::kPeer));
  size_t orders = 0;
  while (b.Acquire(ConnectionClass::kCommand)) ++orders;
  EXPECT_EQ(orders, b.limit(ConnectionClass::kCommand));
  EXPECT_LE(b.limit(ConnectionClass::kAgent) + b.limit(ConnectionClass::kCommand) +
                b.limit(ConnectionClass::kPeer) + b.limit(ConnectionClass::kOutbound),
            1000u);
  // Workers that were answered give way until users have room again.
  while (!b.MayKeepAlive(ConnectionClass::kAgent)) b.Release(ConnectionClass::kAgent);
  EXPECT_GT(b.closed_after_answer(ConnectionClass::kAgent), 0u);
  EXPECT_LE(b.used(ConnectionClass::kAgent) * 10, b.limit(ConnectionClass::kAgent) * 7);
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(b.Acquire(ConnectionClass::kUnidentified));
    b.Reclassify(ConnectionClass::kUnidentified, ConnectionClass::kUser);
    EXPECT_TRUE(b.MayKeepAlive(ConnectionClass::kUser));
  }
}

}  // namespace
}  // namespace mosspath::net
