// Tests what the scheduler concludes about tasks from heartbeats and outcomes of command batches.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using ReconciliationTest = SchedulerTest;

// Guards against tasks that run twice. The agent's answer to a command batch, made while the answer
// to a heartbeat was in flight, was taken as proof that the starts in the latter were lost.
TEST_F(ReconciliationTest, CommandOutcomesDoNotDisproveStartsInHeartbeatAnswers) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  scheduler_.Place(1);
  const auto batches = scheduler_.TakeCommands(1);
  ASSERT_EQ(batches.size(), 1u);
  scheduler_.AddJob(Job(2, 1, 1, wire::Priority::kNormal), 12, 0);
  ASSERT_EQ(Starts(SendHeartbeat("vm-1", 1.1)).size(),
            1u);  // in flight to the agent
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

// The heartbeat in a command outcome was made before a heartbeat that has arrived already, so it
// must not undo what the newer one has reported.
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
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);  // the start may still be executed
  scheduler_.Tick(2.6);  // a higher token is a store revision, so a record is written
  ASSERT_FALSE(scheduler_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes).empty());
  scheduler_.OnRecordsWritten(30, 0);
  scheduler_.Tick(3);
  EXPECT_EQ(SendHeartbeat("vm-1", 3.5).token, 30u);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);
  SendHeartbeat("vm-1", 4, {}, 30);
  const auto starts = Starts(SendHeartbeat("vm-1", 4.5, {}, 30));
  ASSERT_EQ(starts.size(), 1u);  // the first start is certainly void, so the task starts again
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
