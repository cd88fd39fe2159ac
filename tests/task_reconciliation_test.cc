// Tests of the reconciliation of tasks that may be on any of several machines.
#include "mosspath/scheduler/task_reconciliation.h"

#include <gtest/gtest.h>

#include <vector>

namespace mosspath::shard {
namespace {

TEST(TaskReconciliationTest, EndsWithTheLastMachine) {
  scheduler::TaskReconciliation reconciliation;
  EXPECT_FALSE(reconciliation.Begin(1, {}));
  EXPECT_TRUE(reconciliation.Begin(2, {"a", "b"}));
  EXPECT_TRUE(reconciliation.Begin(3, {"b"}));
  EXPECT_EQ(reconciliation.OnMachineReconciled("x"), std::vector<uint64_t>{});
  EXPECT_EQ(reconciliation.OnMachineReconciled("a"), std::vector<uint64_t>{});
  EXPECT_EQ(reconciliation.OnMachineReconciled("b"), (std::vector<uint64_t>{2, 3}));
  EXPECT_TRUE(reconciliation.empty());
}

}  // namespace
}  // namespace mosspath::shard
