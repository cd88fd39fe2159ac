// What the scheduler concludes about tasks from heartbeats and from outcomes of commands.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// An answer to direct commands, made while a report's answer was on its way, was taken as proof
// that the starts in that answer were lost; they ran twice.
TEST_F(DispatcherTest, DirectAnswersDoNotJudgeStartsOfReports) {
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  d_.Place(1);
  const auto orders = d_.TakeCommands(1);
  ASSERT_EQ(orders.size(), 1u);
  d_.AddJob(Job(2, 1, 1, wire::Priority::kNormal), 12, 0);
  ASSERT_EQ(Only(Report("vm-1", 1.1), wire::CommandType::kStart).size(),
            1u);  // on its way to the worker
  wire::Heartbeat direct;
  direct.machine = "vm-1";
  direct.agent_epoch = 1;
  direct.sequence = ++seq_["vm-1"];
  direct.fencing_token = 10;
  const auto& c = orders[0].commands[0];
  direct.tasks = {{c.task, c.attempt, wire::TaskState::kFetching, wire::ExitReason::kNone, false}};
  d_.OnCommandOutcome(orders[0], CommandOutcome::kExecuted, &direct, 1.2);
  EXPECT_EQ(d_.Counts("req-2").running, 1u);
}

// It was made before the report that came first; the start of the report's answer is under way.
TEST_F(DispatcherTest, AnAnswerThatWasHeldUpChangesNothing) {
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  d_.Place(1);
  const auto orders = d_.TakeCommands(1);
  ASSERT_EQ(orders.size(), 1u);
  const wire::Command start = orders[0].commands.at(0);
  wire::Heartbeat held = Written("vm-1", 1);
  held.tasks = {
      {start.task, start.attempt, wire::TaskState::kFetching, wire::ExitReason::kNone, false}};
  Report(
      "vm-1", 2,
      {{start.task, start.attempt, wire::TaskState::kExited, wire::ExitReason::kSucceeded, false}});
  EXPECT_EQ(d_.Counts("req-1").done, 1u);
  EXPECT_EQ(d_.TakeCompletedJobs().size(), 1u);
  for (const auto outcome : {CommandOutcome::kExecuted, CommandOutcome::kRefused}) {
    d_.OnCommandOutcome(orders[0], outcome, &held, 2.5);
    EXPECT_EQ(d_.Counts("req-1").done, 1u);
    EXPECT_EQ(d_.machines().at("vm-1").allocations.begin()->second.reported,
              wire::TaskState::kExited);
    EXPECT_TRUE(d_.TakeCommands(2.6).empty());
  }
}

TEST_F(DispatcherTest, AStartWithoutAnswerIsOverOnlyUnderAHigherToken) {
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  d_.Place(1);
  const auto orders = d_.TakeCommands(1);
  ASSERT_EQ(orders.size(), 1u);
  d_.OnCommandOutcome(orders[0], CommandOutcome::kUndetermined, nullptr, 2);
  Report("vm-1", 2.5);
  EXPECT_EQ(d_.Counts("req-1").running, 1u);  // may still be executed
  d_.Tick(2.6);                               // wants a revision, and a write for one
  ASSERT_FALSE(d_.TakeRecords(100, 48u << 10).empty());
  d_.OnRecordsWritten(30, 0);
  d_.Tick(3);
  EXPECT_EQ(Report("vm-1", 3.5).token, 30u);
  EXPECT_EQ(d_.Counts("req-1").running, 1u);
  Report("vm-1", 4, {}, 30);
  const auto starts = Only(Report("vm-1", 4.5, {}, 30), wire::CommandType::kStart);
  ASSERT_EQ(starts.size(), 1u);  // surely not there: started anew
  EXPECT_NE(starts[0].attempt, orders[0].commands[0].attempt);
}

TEST_F(DispatcherTest, LateReportsOfALostMachineAreVoid) {
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  const auto starts = Only(Report("vm-1", 1), wire::CommandType::kStart);
  ASSERT_EQ(starts.size(), 1u);
  d_.Tick(1 + derived_.agent_lease_over_s + 0.1);
  EXPECT_EQ(d_.Counts("req-1").running, 0u);
  EXPECT_FALSE(Report("vm-1", 30,
                      {{starts[0].task, starts[0].attempt, wire::TaskState::kRunning,
                        wire::ExitReason::kNone, false}})
                   .accepted);
}

}  // namespace
}  // namespace mosspath::scheduler
