// Tests of one-way partitions: agents whose heartbeats reach the leader but which receive nothing,
// and agents that receive commands but whose heartbeats are lost.
#include <gtest/gtest.h>

#include <string>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// Guards against tasks that end with an agent lease: a machine's heartbeats were lost, but the
// machine executed direct commands and answered them. Because of these answers, the leader treated
// the machine as healthy and placed tasks on it, until the agent's lease expired and ended all
// tasks on the machine.
TEST_F(OneWayPartitionTest, AMachineWhoseHeartbeatsAreLostTakesNoTasks) {
  AddReadyMachine("vm-1", 0);
  double now = 0.5;
  uint64_t sequence = 100;
  double last_start = 0;
  for (int job = 1; now < settings_.agent_lease_s - 0.5; now += 0.5) {
    if (scheduler_.Counts("req-" + std::to_string(job - 1)).running == 0) {
      scheduler_.AddJob(Job(job, 1, 1, wire::Priority::kHigh), 11, now);
      ++job;
    }
    scheduler_.Tick(now);
    for (const CommandBatch& batch : scheduler_.TakeCommands(now)) {
      // The answer reports that each started task has succeeded.
      wire::Heartbeat heartbeat = NextHeartbeat("vm-1", 1);
      heartbeat.sequence = ++sequence;
      for (const auto& command : batch.commands) {
        last_start = now;
        heartbeat.tasks.push_back(test::Exited(command, wire::ExitReason::kSucceeded));
      }
      scheduler_.OnCommandOutcome(batch, CommandOutcome::kExecuted, &heartbeat, now);
    }
  }
  EXPECT_GT(last_start, 0);
  EXPECT_LT(last_start, settings_.agent_lease_s / 2);
  EXPECT_FALSE(IsSchedulable("vm-1", now));
  // The machine's next heartbeat makes it schedulable again.
  sequences_["vm-1"] = sequence;
  SendHeartbeat("vm-1", now);
  EXPECT_TRUE(IsSchedulable("vm-1", now));
}

// Guards against a blocked recovery: a machine's heartbeats reached the new leader, but the
// leader's answers did not reach the machine. As long as such heartbeats arrived, the leader
// started no task of earlier jobs.
TEST_F(OneWayPartitionTest, FailoverDoesNotWaitForIt) {
  wire::Json record = wire::Json::object();
  for (int i = 0; i < 20; ++i) record["vm-" + std::to_string(100 + i)] = "a:1";
  scheduler_.LoadMachinesPack(0, record, 1);
  for (int i = 5; i < 20; ++i) SendHeartbeat("vm-" + std::to_string(100 + i), 1);
  double now = 1;
  uint64_t agent_epoch = 1;
  while (now < 1 + derived_.agent_lease_over_s) {
    // The agents' leases expire repeatedly, because no answer renews them.
    if (now > static_cast<double>(agent_epoch) * settings_.agent_lease_s) ++agent_epoch;
    for (int i = 0; i < 5; ++i) {
      EXPECT_TRUE(
          SendHeartbeatUnderToken("vm-" + std::to_string(100 + i), now, agent_epoch, 3).accepted);
    }
    scheduler_.Tick(now);
    // 5 of 20 machines are too many to delete. The machines may also be reachable again soon.
    EXPECT_FALSE(IsScaledIn("vm-100", now)) << now;
    now += settings_.heartbeat_s;
  }
  EXPECT_FALSE(scheduler_.recovery_complete());
  for (int i = 0; i < 5; ++i) {
    const std::string id = "vm-" + std::to_string(100 + i);
    EXPECT_TRUE(IsScaledIn(id, now + 1));
    scheduler_.OnMachineDeleted(id, now + 1);
  }
  EXPECT_TRUE(scheduler_.recovery_complete());
}

TEST_F(OneWayPartitionTest, ASingleUnreachableMachineIsDeletedSooner) {
  wire::Json record = wire::Json::object();
  for (int i = 0; i < 40; ++i) record["vm-" + std::to_string(100 + i)] = "a:1";
  scheduler_.LoadMachinesPack(0, record, 1);
  for (int i = 1; i < 40; ++i) SendHeartbeat("vm-" + std::to_string(100 + i), 1);
  SendHeartbeatUnderToken("vm-100", 1, 1, 3);
  EXPECT_FALSE(IsScaledIn("vm-100", derived_.agent_suspect_s));
  SendHeartbeatUnderToken("vm-100", derived_.agent_suspect_s, 1, 3);
  EXPECT_TRUE(IsScaledIn("vm-100", derived_.agent_suspect_s + 1.1));
}

// Two consecutive heartbeat answers to a machine have no effect. The machine gets no new tasks
// until it has confirmed a higher fencing token.
TEST_F(OneWayPartitionTest, ItTakesNoTasksUntilItConfirmsAHigherToken) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 4, 1, wire::Priority::kNormal), 11, 0);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 1)).size(), 4u);
  // The leader tolerates a single lost answer.
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 3)).size(), 4u);
  EXPECT_TRUE(IsSchedulable("vm-1", 3));
  SendHeartbeat("vm-1", 5);
  scheduler_.Tick(5);
  scheduler_.OnRecordsWritten(20, 5);
  scheduler_.Tick(5.1);  // Raises the fencing token.
  const uint64_t token = scheduler_.machines().at("vm-1").fencing_token;
  EXPECT_GT(token, 10u);
  for (const double now : {7.0, 9.0, 11.0}) {
    const auto answer = SendHeartbeat("vm-1", now);
    EXPECT_TRUE(answer.accepted);
    EXPECT_EQ(answer.token, token);
    EXPECT_TRUE(answer.commands.empty());
    EXPECT_FALSE(IsSchedulable("vm-1", now));
  }
  EXPECT_EQ(scheduler_.Counts("req-1").running, 0u);  // The tasks may now start on other machines.
  SendHeartbeat("vm-1", 13, {}, token);
  EXPECT_TRUE(IsSchedulable("vm-1", 13));
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 14, {}, token)).size(), 4u);
}

TEST_F(OneWayPartitionTest, OneExecutedCommandProvesDelivery) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 4, 1, wire::Priority::kNormal), 11, 0);
  for (const double now : {1.0, 3.0, 5.0, 7.0}) {
    const auto starts = Starts(SendHeartbeat("vm-1", now));
    if (starts.empty()) continue;
    // The agent executes one command, and its task fails at once. The other commands are lost.
    SendHeartbeat("vm-1", now + 1,
                  {test::Exited(starts[0], wire::ExitReason::kInsufficientResources)});
    scheduler_.Tick(now + 1);
  }
  EXPECT_EQ(scheduler_.machines().at("vm-1").ignored_answers_token, 0u);
}

// The leader has answered each heartbeat, but the agent reports a new epoch. The agent's lease must
// have expired, so the answers did not arrive.
TEST_F(OneWayPartitionTest, AnUnexpectedAgentEpochMeansThatAnswersAreLost) {
  AddReadyMachine("vm-1", 0);
  for (double now = 2; now < 22; now += 2) SendHeartbeat("vm-1", now);
  SendHeartbeatUnderToken("vm-1", 22, 2, 10);
  EXPECT_EQ(scheduler_.machines().at("vm-1").ignored_answers_token, 10u);
}

// A late duplicate of a heartbeat has no effect on the machine's tasks, address, contact times and
// reclaim notice.
TEST_F(OneWayPartitionTest, ADuplicateHeartbeatChangesNothing) {
  AddReadyMachine("vm-1", 0);
  wire::Heartbeat copy = NextHeartbeat("vm-1", 1);
  SendHeartbeat("vm-1", 2);
  const cluster::Machine before = scheduler_.machines().at("vm-1");
  copy.address = "10.0.0.7:1";
  copy.reclaim_notice_s = 5;
  copy.tasks = {test::Running({"req-1", 0}, 77)};
  EXPECT_FALSE(scheduler_.OnHeartbeat(copy, 30).accepted);
  const cluster::Machine& after = scheduler_.machines().at("vm-1");
  EXPECT_EQ(after.address, before.address);
  EXPECT_EQ(after.last_contact_at, before.last_contact_at);
  EXPECT_EQ(after.lease_renewed_at, before.lease_renewed_at);
  EXPECT_FALSE(after.reclaim_at);
  EXPECT_TRUE(after.allocations.empty());
}

// Late duplicates of heartbeats to an earlier leader, from machines that are long gone, neither
// delay the new leader's recovery nor make it conclude that it is partitioned.
TEST_F(OneWayPartitionTest, DuplicateHeartbeatsForANewLeaderAddNoMachine) {
  for (int i = 0; i < 4; ++i) SendHeartbeat("vm-" + std::to_string(i), 1);
  for (int i = 10; i < 40; ++i) SendHeartbeatUnderToken("vm-" + std::to_string(i), 1.5, 4, 7);
  for (double now = 3; now < 6; now += 2) {
    for (int i = 0; i < 4; ++i) SendHeartbeat("vm-" + std::to_string(i), now);
    EXPECT_FALSE(scheduler_.IsPartitionedFromAgents(now));
  }
  EXPECT_FALSE(IsSchedulable("vm-10", 2));
  EXPECT_TRUE(scheduler_.recovery_complete());
}

}  // namespace
}  // namespace mosspath::scheduler
