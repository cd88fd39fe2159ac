// Reconciliation of tasks that may be on any of several machines.
#include "mosspath/scheduler/task_reconciliation.h"

#include <gtest/gtest.h>

#include <vector>

namespace mosspath::shard {
namespace {

TEST(BlockSearch, EndsWithTheLastMachine) {
  scheduler::TaskReconciliation s;
  EXPECT_FALSE(s.Begin(1, {}));
  EXPECT_TRUE(s.Begin(2, {"a", "b"}));
  EXPECT_TRUE(s.Begin(3, {"b"}));
  EXPECT_EQ(s.OnMachineKnown("x"), std::vector<uint64_t>{});
  EXPECT_EQ(s.OnMachineKnown("a"), std::vector<uint64_t>{});
  EXPECT_EQ(s.OnMachineKnown("b"), (std::vector<uint64_t>{2, 3}));
  EXPECT_TRUE(s.empty());
}

}  // namespace
}  // namespace mosspath::shard
