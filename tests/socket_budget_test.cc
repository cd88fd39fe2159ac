// Tests of the limits on the sockets of each class of connections.
#include "mosspath/net/socket_budget.h"

#include <gtest/gtest.h>

namespace mosspath::net {
namespace {

TEST(SocketBudgetTest, EachConnectionClassHasItsOwnLimit) {
  SocketBudget budget(1000);
  size_t agents = 0;
  while (budget.Acquire(ConnectionClass::kUnidentified)) {
    budget.Reclassify(ConnectionClass::kUnidentified, ConnectionClass::kAgent);
    ++agents;
  }
  EXPECT_EQ(agents, budget.limit(ConnectionClass::kAgent));
  EXPECT_EQ(budget.refused(ConnectionClass::kUnidentified), 1u);
  // Agents hold all sockets of the public address. The classes that do not use the public address
  // can still acquire sockets, up to their own limits.
  EXPECT_TRUE(budget.Acquire(ConnectionClass::kOutbound));
  EXPECT_TRUE(budget.Acquire(ConnectionClass::kPeer));
  size_t commands = 0;
  while (budget.Acquire(ConnectionClass::kCommand)) ++commands;
  EXPECT_EQ(commands, budget.limit(ConnectionClass::kCommand));
  EXPECT_LE(budget.limit(ConnectionClass::kAgent) + budget.limit(ConnectionClass::kCommand) +
                budget.limit(ConnectionClass::kPeer) + budget.limit(ConnectionClass::kOutbound),
            1000u);
  // Agents' connections are closed after the response until users have sockets again.
  while (!budget.MayKeepAlive(ConnectionClass::kAgent)) budget.Release(ConnectionClass::kAgent);
  EXPECT_GT(budget.closed_after_answer(ConnectionClass::kAgent), 0u);
  EXPECT_LE(budget.used(ConnectionClass::kAgent) * 10, budget.limit(ConnectionClass::kAgent) * 7);
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(budget.Acquire(ConnectionClass::kUnidentified));
    budget.Reclassify(ConnectionClass::kUnidentified, ConnectionClass::kUser);
    EXPECT_TRUE(budget.MayKeepAlive(ConnectionClass::kUser));
  }
}

}  // namespace
}  // namespace mosspath::net
