// Tests late copies of direct commands that were executed and answered before.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "fakes/plain_agent.h"
#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using fakes::PlainAgent;

// How the attempt on vm-1 ends.
enum class End { kFailed, kCancelled, kMoved, kSucceeded, kRefused };
// When the copy of the attempt's start arrives.
enum class CopyArrives { kAtOnce, kTenSecondsLater, kBesideARestartedLeader };

// The task of req-1 is started on vm-1 by a direct command. Its attempt ends there and is
// forgotten. vm-2 has room for another attempt.
class RepeatedStartTest : public SchedulerTest {
 protected:
  RepeatedStartTest() : leader_(&scheduler_) {
    for (const char* id : {"vm-1", "vm-2"}) {
      agents_[id].id = id;
      SendHeartbeatOf(id);
    }
    Step();
    Step();
    // vm-2 is full until the task runs on vm-1.
    scheduler_.AddJob(Job(2, 1, 4, wire::Priority::kHigh), 11, now_);
    Step();
    const std::string full = agents_["vm-1"].attempts.empty() ? "vm-2" : "vm-1";
    first_ = full == "vm-1" ? "vm-2" : "vm-1";
  }

  // Starts the task and returns the batch with its start.
  CommandBatch StartTask() {
    wire::JobSpec spec = Job(1, 1, 1, wire::Priority::kHigh);
    spec.checkpoint_interval_s = 5;
    spec.estimated_run_s = 1000;
    scheduler_.AddJob(spec, 11, now_);
    Step();
    for (const CommandBatch& batch : sent_) {
      for (const auto& command : batch.commands) {
        if (command.type == wire::CommandType::kStart && command.task == kTask) return batch;
      }
    }
    return {};
  }

  void EndTask(End end) {
    PlainAgent& agent = agents_[first_];
    // Room for another attempt.
    scheduler_.RemoveJob("req-2", now_);
    switch (end) {
      case End::kFailed:
        return SetExited(agent, wire::ExitReason::kFailed);
      case End::kRefused:
        return SetExited(agent, wire::ExitReason::kInsufficientResources);
      case End::kSucceeded:
        return SetExited(agent, wire::ExitReason::kSucceeded);
      case End::kCancelled:
        return scheduler_.RemoveJob(kTask.job, now_);
      case End::kMoved:
        reclaimed_ = first_;
        return;
    }
  }

  static void SetExited(PlainAgent& agent, wire::ExitReason reason) {
    for (auto& [key, attempt] : agent.attempts) {
      if (key.first == kTask) attempt = {wire::TaskState::kExited, reason};
    }
  }

  // Lets a second pass: the leader works, its records are written, its commands are executed, and
  // each agent sends a heartbeat.
  void Step() {
    now_ += 1;
    leader_->Tick(now_);
    while (!leader_->TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes).empty()) {
      leader_->OnRecordsWritten(++revision_, now_);
    }
    for (const CommandBatch& batch : leader_->TakeCommands(now_)) {
      sent_.push_back(batch);
      PlainAgent& agent = agents_.at(batch.machine);
      const bool accepted = Deliver(agent, batch);
      const wire::Heartbeat heartbeat = HeartbeatOf(agent);
      leader_->OnCommandOutcome(
          batch, accepted ? CommandOutcome::kExecuted : CommandOutcome::kRefused, &heartbeat, now_);
    }
    for (const auto& [id, agent] : agents_) SendHeartbeatOf(id);
  }

  static bool Deliver(PlainAgent& agent, const CommandBatch& batch) {
    if (batch.fencing_token < agent.token || batch.agent_epoch != agent.epoch) return false;
    agent.token = batch.fencing_token;
    agent.Execute(batch.commands);
    return true;
  }

  wire::Heartbeat HeartbeatOf(PlainAgent& agent) const {
    wire::Heartbeat heartbeat = agent.MakeHeartbeat();
    heartbeat.zone = "a";
    if (agent.id == reclaimed_) heartbeat.reclaim_notice_s = 1;
    return heartbeat;
  }

  void SendHeartbeatOf(const std::string& id) {
    PlainAgent& agent = agents_[id];
    const HeartbeatAnswer answer = leader_->OnHeartbeat(HeartbeatOf(agent), now_);
    if (!answer.accepted || answer.token < agent.token) return;
    agent.token = answer.token;
    agent.Execute(answer.commands);
  }

  bool IsForgotten(const wire::Command& start) {
    return !agents_[first_].attempts.contains({start.task, start.attempt});
  }

  // Replaces the leader by a later one, which has not reached any agent yet.
  void RestartLeader() {
    revision_ += 10;
    restarted_ = std::make_unique<Scheduler>(settings_, derived_, revision_, now_);
    restarted_->SetMachineTypes({type_});
    leader_ = restarted_.get();
  }

  static inline const wire::TaskId kTask{"req-1", 0};

  double now_ = 0;
  uint64_t revision_ = kToken;  // of the store
  Scheduler* leader_;
  std::unique_ptr<Scheduler> restarted_;
  std::map<std::string, PlainAgent> agents_;
  std::vector<CommandBatch> sent_;
  std::string first_;      // the machine on which the task is started first
  std::string reclaimed_;  // the machine that the cloud reclaims
};

// The token is raised without a break in service: no heartbeat has to show it first.
TEST_F(RepeatedStartTest, TheNextTaskStartsDirectlyUnderTheRaisedToken) {
  const CommandBatch first = StartTask();
  EndTask(End::kFailed);
  for (int steps = 0; steps < 6 && !IsForgotten(first.commands[0]); ++steps) Step();
  ASSERT_LT(leader_->machines().at(first_).min_heartbeat_token,
            leader_->machines().at(first_).fencing_token);
  leader_->AddJob(Job(3, 8, 1, wire::Priority::kHigh), 13, now_);
  leader_->Place(now_);
  const auto batches = leader_->TakeCommands(now_);
  const auto next = std::find_if(batches.begin(), batches.end(),
                                 [&](const auto& batch) { return batch.machine == first_; });
  ASSERT_NE(next, batches.end());
  EXPECT_GT(next->fencing_token, first.fencing_token);
  EXPECT_TRUE(Deliver(agents_[first_], *next));
}

// A batch that is on its way under the present token would be refused under a higher one.
TEST_F(RepeatedStartTest, TheTokenIsNotRaisedWhileABatchIsInFlight) {
  const CommandBatch first = StartTask();
  EndTask(End::kFailed);
  leader_->AddJob(Job(3, 8, 1, wire::Priority::kHigh), 13, now_);
  leader_->Place(now_);
  const auto in_flight = leader_->TakeCommands(now_);
  leader_->OnRecordsWritten(++revision_, now_);
  SendHeartbeatOf(first_);
  EXPECT_FALSE(IsForgotten(first.commands[0]));
  for (const auto& batch : in_flight) EXPECT_TRUE(Deliver(agents_[batch.machine], batch));
}

// The raise for a forget command must not stand in for the one after which heartbeats under the
// earlier token are no evidence.
TEST_F(RepeatedStartTest, AnUnansweredStartRaisesTheTokenAlsoAfterARaiseForAForget) {
  const CommandBatch first = StartTask();
  EndTask(End::kFailed);
  leader_->AddJob(Job(3, 8, 1, wire::Priority::kHigh), 13, now_);
  leader_->Place(now_);
  for (const CommandBatch& batch : leader_->TakeCommands(now_)) {
    leader_->OnCommandOutcome(batch, CommandOutcome::kUndetermined, nullptr, now_);
  }
  leader_->OnRecordsWritten(++revision_, now_);
  const HeartbeatAnswer lost = leader_->OnHeartbeat(HeartbeatOf(agents_[first_]), now_);
  ASSERT_GT(lost.token, first.fencing_token);
  for (int tick = 0; tick < 2; ++tick) {
    leader_->Tick(++now_);
    while (!leader_->TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes).empty()) {
      leader_->OnRecordsWritten(++revision_, now_);
    }
  }
  EXPECT_FALSE(leader_->machines().at(first_).token_confirmed);
}

// In an outage of the store no newer token can be had. What the agent keeps meanwhile is bounded.
TEST_F(RepeatedStartTest, AnAgentThatKeepsManyAttemptsGetsNoTasks) {
  constexpr uint32_t kMostKept = 300;
  StartTask();
  PlainAgent& agent = agents_[first_];
  for (int job = 10; job < 1500; ++job) {
    now_ += 1;
    for (auto& [key, attempt] : agent.attempts) {
      attempt = {wire::TaskState::kExited, wire::ExitReason::kStopped};
    }
    for (const auto& [id, unused] : agents_) SendHeartbeatOf(id);
    leader_->RemoveJob("req-" + std::to_string(job - 1), now_);
    leader_->AddJob(Job(job, 3, 1, wire::Priority::kHigh), 13, now_);
    leader_->Tick(now_);
    for (const CommandBatch& batch : leader_->TakeCommands(now_)) {
      PlainAgent& receiver = agents_.at(batch.machine);
      Deliver(receiver, batch);
      const wire::Heartbeat heartbeat = HeartbeatOf(receiver);
      leader_->OnCommandOutcome(batch, CommandOutcome::kExecuted, &heartbeat, now_);
    }
  }
  EXPECT_GT(agent.attempts.size(), kMostKept / 2);
  EXPECT_LT(agent.attempts.size(), kMostKept);
  // One write is enough for all machines, and makes room again.
  EXPECT_EQ(leader_->TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes).machines.size(), 1u);
  leader_->OnRecordsWritten(++revision_, now_);
  for (int steps = 0; steps < 3; ++steps) SendHeartbeatOf(first_);
  EXPECT_LT(agent.attempts.size(), 10u);
}

// The leader does not know under which token an attempt that it has not started was started:
// another machine may have taken a command for this address.
TEST_F(RepeatedStartTest, AnAttemptOfUnknownOriginIsForgottenUnderAHigherToken) {
  PlainAgent& agent = agents_[first_];
  const CommandBatch misdirected{.machine = first_,
                                 .address = first_ + ":1",
                                 .fencing_token = revision_,
                                 .agent_epoch = agent.epoch,
                                 .commands = {{wire::CommandType::kStart, kTask, 77, 0}}};
  ASSERT_TRUE(Deliver(agent, misdirected));
  for (int steps = 0; steps < 6 && !IsForgotten(misdirected.commands[0]); ++steps) Step();
  ASSERT_TRUE(IsForgotten(misdirected.commands[0]));
  EXPECT_FALSE(Deliver(agent, misdirected));
}

class TaskRanOnTwoMachinesTest
    : public RepeatedStartTest,
      public ::testing::WithParamInterface<std::tuple<End, CopyArrives>> {};

TEST_P(TaskRanOnTwoMachinesTest, AfterACopyOfAnAnsweredStart) {
  const auto [end, copy_arrives] = GetParam();
  const CommandBatch batch = StartTask();
  ASSERT_EQ(batch.machine, first_);
  ASSERT_TRUE(agents_[first_].Has(kTask));
  EndTask(end);
  for (int steps = 0; steps < 6 && !IsForgotten(batch.commands[0]); ++steps) Step();
  ASSERT_TRUE(IsForgotten(batch.commands[0]));
  if (copy_arrives == CopyArrives::kTenSecondsLater) {
    for (int second = 0; second < 10; ++second) Step();
  }
  if (copy_arrives == CopyArrives::kBesideARestartedLeader) RestartLeader();
  EXPECT_FALSE(Deliver(agents_[first_], batch));
  EXPECT_TRUE(IsForgotten(batch.commands[0]));
}

INSTANTIATE_TEST_SUITE_P(
    AllEnds, TaskRanOnTwoMachinesTest,
    ::testing::Combine(::testing::Values(End::kFailed, End::kCancelled, End::kMoved,
                                         End::kSucceeded, End::kRefused),
                       ::testing::Values(CopyArrives::kAtOnce, CopyArrives::kTenSecondsLater,
                                         CopyArrives::kBesideARestartedLeader)));

}  // namespace
}  // namespace mosspath::scheduler
