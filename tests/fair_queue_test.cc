// Tests of the fair queue, which orders submissions by team and class.
#include "mosspath/admission/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

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

// Guards against a crash: the removal of the last items freed an idle team behind theirs, which the
// walk over the teams visited next.
TEST(FairQueueTest, ItemsAreRemovedBesideAnIdleTeam) {
  FairQueue<int> queue;
  queue.Push("a", "work", 1, 0);
  queue.Push("b", "work", 1, 1);
  ASSERT_EQ(queue.Pop(), 0);
  ASSERT_EQ(queue.Pop(), 1);
  queue.Push("a", "work", 1, 2);
  queue.Push("b", "work", 1, 3);
  queue.Push("a", "work", 1, 4);
  ASSERT_EQ(queue.Pop(), 2);
  ASSERT_EQ(queue.Pop(), 3);  // "b" is idle, and its start tag is ahead of virtual time
  std::vector<int> taken;
  queue.RemoveIf([](int) { return true; }, [&](int item) { taken.push_back(item); });
  EXPECT_EQ(taken, std::vector<int>{4});
  EXPECT_TRUE(queue.empty());
}

// What RemoveIf removes, and what it leaves, is what a plain list of the items says, in any order
// of calls. `take` may use the queue. Guards against the same crash, and against lost items.
RC_GTEST_PROP(FairQueueTest, HoldsWhatWasPushedAndNotRemoved, ()) {
  FairQueue<int> queue;
  std::multiset<int> expected;
  const int calls = *rc::gen::inRange(1, 60);
  for (int i = 0; i < calls; ++i) {
    const int kind = *rc::gen::inRange(0, 6);
    if (kind <= 2) {
      const std::string team(1, static_cast<char>('a' + *rc::gen::inRange(0, 2)));
      const std::string job_class(1, static_cast<char>('k' + *rc::gen::inRange(0, 2)));
      queue.Push(team, job_class, 1, i);
      expected.insert(i);
    } else if (kind <= 4 && !queue.empty()) {
      RC_ASSERT(expected.erase(queue.Pop()) == 1u);
    } else {
      const int divisor = *rc::gen::inRange(1, 3);
      const auto is_removed = [divisor](int item) { return item % divisor == 0; };
      queue.RemoveIf(is_removed, [&](int item) {
        RC_ASSERT(is_removed(item));
        RC_ASSERT(expected.erase(item) == 1u);
        RC_ASSERT(queue.size() == queue.SizeOf("a") + queue.SizeOf("b"));
      });
      for (const int item : expected) RC_ASSERT(!is_removed(item));
    }
    RC_ASSERT(queue.size() == expected.size());
  }
}

}  // namespace
}  // namespace mosspath::admission
