// Tests of the fair queue, which orders submissions by team and class.
#include "mosspath/admission/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <utility>

namespace mosspath::admission {
namespace {

RC_GTEST_PROP(FairQueueTest, NoTeamWaitsBehindAnothersQueue, ()) {
  FairQueue<std::pair<std::string, int>> queue;
  const int flood = *rc::gen::inRange(1, 300);
  for (int i = 0; i < flood; ++i) queue.Push("flood", "f", 1, {"flood", i});
  const int served = *rc::gen::inRange(0, flood);
  for (int i = 0; i < served; ++i) RC_ASSERT(queue.Pop().second == i);  // first in, first out
  const int others = *rc::gen::inRange(1, 8);
  for (int t = 0; t < others; ++t) {
    queue.Push("t" + std::to_string(t), "c", 1, {"t" + std::to_string(t), 0});
  }
  std::set<std::string> served_teams;
  for (int i = 0; i <= others && !queue.empty(); ++i) served_teams.insert(queue.Pop().first);
  for (int t = 0; t < others; ++t) RC_ASSERT(served_teams.contains("t" + std::to_string(t)));
  size_t remaining = queue.size();
  while (!queue.empty()) {
    queue.Pop();
    --remaining;
  }
  RC_ASSERT(remaining == 0u);
}

TEST(FairQueueTest, ClassesOfATeamShareByWeightAndExpiredEntriesAreRemoved) {
  FairQueue<int> queue;
  for (int i = 0; i < 100; ++i) {
    queue.Push("t", "low", 1, 0);
    queue.Push("t", "high", 4, 1);
  }
  int high = 0;
  for (int i = 0; i < 50; ++i) high += queue.Pop();
  EXPECT_NEAR(high, 40, 2);
  size_t taken = 0;
  queue.RemoveIf([](int priority) { return priority == 1; }, [&](int) { ++taken; });
  EXPECT_EQ(taken, static_cast<size_t>(100 - high));
  EXPECT_EQ(queue.SizeOf("t"), queue.size());
  EXPECT_EQ(queue.Pop(), 0);
}

}  // namespace
}  // namespace mosspath::admission
