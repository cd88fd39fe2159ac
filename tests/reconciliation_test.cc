// Tests what the scheduler concludes about tasks from heartbeats and outcomes of command batches.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using ReconciliationTest = SchedulerTest;

// Guards against tasks that run twice: the agent answered a command batch while the leader's answer
// to a heartbeat was in flight to the agent. The leader concluded from the command outcome that the
// starts in its heartbeat answer were lost.
TEST_F(ReconciliationTest, CommandOutcomesDoNotDisproveStartsInHeartbeatAnswers) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  scheduler_.Place(1);
  const auto batches = scheduler_.TakeCommands(1);
  ASSERT_EQ(batches.size(), 1u);
  scheduler_.AddJob(Job(2, 1, 1, wire::Priority::kNormal), 12, 0);
  // The answer with this start is in flight to the agent.
  ASSERT_EQ(Starts(SendHeartbeat("vm-1", 1.1)).size(), 1u);
  wire::Heartbeat command_answer;
  command_answer.machine = "vm-1";
  command_answer.agent_epoch = 1;
  command_answer.sequence = ++sequences_["vm-1"];
  command_answer.fencing_token = 10;
  const auto& command = batches[0].commands[0];
  command_answer.tasks = {
      {command.task, command.attempt, wire::TaskState::kFetching, wire::ExitReason::kNone, false}};
  scheduler_.OnCommandOutcome(batches[0], CommandOutcome::kExecuted, &command_answer, 1.2);
  EXPECT_EQ(scheduler_.Counts("req-2").running, 1u);
}

// A delayed command outcome contains a heartbeat that is older than the last heartbeat that the
// leader has received. The outcome must not undo what the newer heartbeat has reported.
TEST_F(ReconciliationTest, ADelayedCommandOutcomeChangesNothing) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  scheduler_.Place(1);
  const auto batches = scheduler_.TakeCommands(1);
  ASSERT_EQ(batches.size(), 1u);
  const wire::Command start = batches[0].commands.at(0);
  wire::Heartbeat delayed = NextHeartbeat("vm-1", 1);
  delayed.tasks = {
      {start.task, start.attempt, wire::TaskState::kFetching, wire::ExitReason::kNone, false}};
  SendHeartbeat("vm-1", 2, {test::Exited(start, wire::ExitReason::kSucceeded)});
  EXPECT_EQ(scheduler_.Counts("req-1").done, 1u);
  EXPECT_EQ(scheduler_.TakeCompletedJobs().size(), 1u);
  for (const auto outcome : {CommandOutcome::kExecuted, CommandOutcome::kRefused}) {
    scheduler_.OnCommandOutcome(batches[0], outcome, &delayed, 2.5);
    EXPECT_EQ(scheduler_.Counts("req-1").done, 1u);
    EXPECT_EQ(scheduler_.machines().at("vm-1").allocations.begin()->second.reported,
              wire::TaskState::kExited);
    EXPECT_TRUE(scheduler_.TakeCommands(2.6).empty());
  }
}

TEST_F(ReconciliationTest, AnUnconfirmedStartEndsOnlyUnderAHigherToken) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  scheduler_.Place(1);
  const auto batches = scheduler_.TakeCommands(1);
  ASSERT_EQ(batches.size(), 1u);
  scheduler_.OnCommandOutcome(batches[0], CommandOutcome::kUndetermined, nullptr, 2);
  SendHeartbeat("vm-1", 2.5);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);  // The agent may still execute the start.
  // To get a higher fencing token, which is a revision of the key-value store, the leader writes a
  // record.
  scheduler_.Tick(2.6);
  ASSERT_FALSE(scheduler_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes).empty());
  scheduler_.OnRecordsWritten(30, 0);
  scheduler_.Tick(3);
  EXPECT_EQ(SendHeartbeat("vm-1", 3.5).token, 30u);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);
  SendHeartbeat("vm-1", 4, {}, 30);
  const auto starts = Starts(SendHeartbeat("vm-1", 4.5, {}, 30));
  // The agent has confirmed the higher token and will reject the first start. The task starts
  // again.
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_NE(starts[0].attempt, batches[0].commands[0].attempt);
}

TEST_F(ReconciliationTest, LateHeartbeatsOfALostMachineAreRejected) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  const auto starts = Starts(SendHeartbeat("vm-1", 1));
  ASSERT_EQ(starts.size(), 1u);
  scheduler_.Tick(1 + derived_.agent_lease_over_s + 0.1);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 0u);
  EXPECT_FALSE(SendHeartbeat("vm-1", 30, {test::Running(starts[0])}).accepted);
}

}  // namespace
}  // namespace mosspath::scheduler
