// Tests that an answer to a heartbeat, which renews the agent's lease, also stops the tasks of
// cancelled jobs on the agent's machine.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

class CancelledTaskRunsOnTest : public SchedulerTest {
 protected:
  // Raises the token of the machine, which runs the task of `running` and executes no command of
  // three answers in a row.
  void RaiseToken(const std::string& machine, const wire::Command& running, double now) {
    scheduler_.AddJob(Job(2, 1, 1, wire::Priority::kHigh), 12, now);
    for (int answers = 0; answers < 3; ++answers) {
      SendHeartbeat(machine, now, {test::Running(running)});
    }
    scheduler_.Tick(now);
    scheduler_.OnRecordsWritten(kRaisedToken, now);
    scheduler_.Tick(now);
    ASSERT_EQ(scheduler_.machines().at(machine).fencing_token, kRaisedToken);
  }

  static void ExpectOnlyStop(const HeartbeatAnswer& answer, const wire::TaskId& task,
                             uint64_t attempt) {
    EXPECT_TRUE(answer.accepted);
    ASSERT_EQ(answer.commands.size(), 1u);
    EXPECT_EQ(answer.commands[0].type, wire::CommandType::kStop);
    EXPECT_EQ(answer.commands[0].task, task);
    EXPECT_EQ(answer.commands[0].attempt, attempt);
    EXPECT_EQ(answer.commands[0].grace_s, 0);
  }

  static constexpr uint64_t kEarlierToken = kToken - 1;
  static constexpr uint64_t kRaisedToken = kToken + 10;
};

TEST_F(CancelledTaskRunsOnTest, AfterTheFirstAnswerOfANewLeader) {
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 5, 0);
  const std::vector<wire::TaskStatus> listed = {test::Running({"req-1", 0}, 77),
                                                test::Running({"req-2", 0}, 78)};
  ExpectOnlyStop(SendHeartbeat("vm-1", 1, listed, kEarlierToken), {"req-2", 0}, 78);
}

TEST_F(CancelledTaskRunsOnTest, AfterAnAnswerUnderARaisedToken) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 11, 0);
  const wire::Command start = Starts(SendHeartbeat("vm-1", 1)).at(0);
  SendHeartbeat("vm-1", 2, {test::Running(start)});
  RaiseToken("vm-1", start, 3);
  scheduler_.RemoveJob("req-1", 4);
  ExpectOnlyStop(SendHeartbeat("vm-1", 5, {test::Running(start)}), start.task, start.attempt);
}

TEST_F(CancelledTaskRunsOnTest, AfterAnAnswerFullOfForgets) {
  constexpr uint32_t kExitedTasks = 1000;
  std::vector<wire::TaskStatus> listed;
  for (uint32_t index = 0; index < kExitedTasks; ++index) {
    listed.push_back(test::Running({"req-1", index}, 77));
    test::MarkExited(listed.back(), wire::ExitReason::kFailed);
  }
  listed.push_back(test::Running({"req-2", 0}, 78));
  const auto stops = Stops(SendHeartbeat("vm-1", 1, listed));
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].task, (wire::TaskId{"req-2", 0}));
}

}  // namespace
}  // namespace mosspath::scheduler
