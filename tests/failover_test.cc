// Tests how a new leader takes over the machines and tasks of its predecessor.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using FailoverTest = SchedulerTest;

// A third of the machines dies with the leader. The new leader probes all machines, with a bounded
// number of probes in flight, and probes silent machines again at bounded intervals. Meanwhile the
// leader may start tasks of new jobs. It starts tasks of earlier jobs only once no agent lease can
// be valid any more.
TEST_F(FailoverTest, FailoverAfterAThirdOfTheMachinesDied) {
  constexpr size_t kMachines = 900;
  const auto dead = [](const std::string& id) { return id.back() % 3 == 0; };
  wire::Json record = wire::Json::object();
  for (size_t i = 0; i < kMachines; ++i) {
    const std::string id = "vm-" + std::to_string(1000 + i);
    record[id] = id + ":1";
  }
  scheduler_.LoadMachinesPack(0, record, 1);
  scheduler_.AddJob(Job(1, 500, 1, wire::Priority::kNormal), 9, 0);
  size_t failed_probes = 0;
  double recovered_at = -1;
  for (double now = 0; now < 2 * settings_.agent_lease_s && recovered_at < 0; now += 0.1) {
    const auto batches = scheduler_.TakeCommands(now);
    EXPECT_LE(batches.size(), 128u);
    for (const auto& batch : batches) {
      wire::Heartbeat heartbeat = NextHeartbeat(batch.machine.c_str(), 1);
      const bool silent = dead(batch.machine);
      failed_probes += silent ? 1 : 0;
      scheduler_.OnCommandOutcome(
          batch, silent ? CommandOutcome::kUndetermined : CommandOutcome::kExecuted, &heartbeat,
          now);
    }
    scheduler_.Tick(now);
    if (scheduler_.recovery_complete()) recovered_at = now;
    if (recovered_at < 0) {
      EXPECT_EQ(scheduler_.Counts("req-1").running, 0u) << now;
    }
  }
  // The leader does not delete that many silent machines, because a partition is more likely. It
  // waits until the leases of their agents have expired.
  EXPECT_GE(recovered_at, derived_.agent_lease_over_s);
  EXPECT_LE(recovered_at, derived_.agent_lease_over_s + 0.3);
  EXPECT_LE(static_cast<double>(failed_probes),
            kMachines / 2.0 * (recovered_at / derived_.probe_answer_s + 1));
  scheduler_.AddJob(Job(2, 5, 1, wire::Priority::kNormal), 11, recovered_at);
  // No heartbeat has arrived for a whole agent lease, and commands do not renew leases. A machine
  // that sends a heartbeat now still gets tasks at once.
  const auto send_heartbeat = [&](double now) {
    return scheduler_.OnHeartbeat(NextHeartbeat("vm-1001", 2), now);
  };
  send_heartbeat(recovered_at + 0.5);
  scheduler_.Tick(recovered_at + 0.5);
  MakeRecordsDurable(scheduler_);
  EXPECT_FALSE(Starts(send_heartbeat(recovered_at + 1)).empty());
  EXPECT_GT(scheduler_.Counts("req-1").running + scheduler_.Counts("req-2").running, 0u);
}

// Guards against a delay of recovery: in a large cluster a few machines are always gone after a
// failover. A new leader that waited for these machines started no task of earlier jobs for up to
// 17 s. The leader must delete the few machines that send no heartbeat.
TEST_F(FailoverTest, ANewLeaderDeletesTheFewMachinesWithoutHeartbeats) {
  wire::Json record = wire::Json::object();
  for (int i = 0; i < 100; ++i) record["vm-" + std::to_string(100 + i)] = "a";
  scheduler_.LoadMachinesPack(0, record, 1);
  // The job needs more CPUs than all machines have, so no machine is deleted as idle.
  scheduler_.AddJob(Job(1, 5000, 1, wire::Priority::kNormal), 9, 0);
  for (int i = 0; i < 60; ++i) SendHeartbeat("vm-" + std::to_string(100 + i), 1);
  // 40 of 100 machines are silent. A partition is more likely than the loss of that many machines.
  EXPECT_TRUE(scheduler_.PlanScaling(derived_.agents_find_leader_s + 1).scale_in.empty());
  for (int i = 60; i < 98; ++i) SendHeartbeat("vm-" + std::to_string(100 + i), 2);
  // The two silent machines may still send heartbeats.
  EXPECT_TRUE(scheduler_.PlanScaling(derived_.agents_find_leader_s - 0.1).scale_in.empty());
  const auto plan = scheduler_.PlanScaling(derived_.agents_find_leader_s + 0.1);
  EXPECT_EQ(plan.scale_in, (std::vector<std::string>{"vm-198", "vm-199"}));
  EXPECT_FALSE(scheduler_.recovery_complete());
  for (const auto& id : plan.scale_in)
    scheduler_.OnMachineDeleted(id, derived_.agents_find_leader_s + 0.3);
  EXPECT_TRUE(scheduler_.recovery_complete());
}

// Guards against a slow recovery: agents took 4 to 9 s to find a new leader, because their
// heartbeats to the old leader had to time out first. The new leader therefore probes the machines
// and reconciles each machine from its answer.
TEST_F(FailoverTest, ANewLeaderProbesTheMachinesItTookOver) {
  scheduler_.LoadMachinesPack(
      0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "east"}}, 1);
  scheduler_.AddJob(Job(1, 2, 1, wire::Priority::kHigh), 9, 0);
  const auto batches = scheduler_.TakeCommands(0);
  ASSERT_EQ(batches.size(), 2u);  // vm-3 has no address in its record.
  EXPECT_TRUE(scheduler_.TakeCommands(0).empty());
  const auto answer = [&](const CommandBatch& batch, uint64_t agent_epoch, CommandOutcome outcome) {
    wire::Heartbeat heartbeat = NextHeartbeat(batch.machine, agent_epoch);
    heartbeat.tasks = {test::Running({"req-1", 0}, 77)};
    scheduler_.OnCommandOutcome(batch, outcome, &heartbeat, 0.1);
  };
  EXPECT_EQ(batches[0].address, "vm-1:1");
  answer(batches[0], 1, CommandOutcome::kExecuted);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);
  EXPECT_FALSE(scheduler_.recovery_complete());
  // The agent of vm-2 is in a later agent epoch, so the leader probes vm-2 again in that epoch.
  answer(batches[1], 4, CommandOutcome::kRefused);
  const auto again = scheduler_.TakeCommands(settings_.heartbeat_s);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].agent_epoch, 4u);
  // A probe without an answer does not reconcile vm-2.
  scheduler_.OnCommandOutcome(again[0], CommandOutcome::kUndetermined, nullptr, 3);
  for (const auto& batch : scheduler_.TakeCommands(3)) EXPECT_NE(batch.machine, "vm-2");
  SendHeartbeat("vm-2", 4);
  EXPECT_FALSE(scheduler_.recovery_complete());
  SendHeartbeat("vm-3", 4);
  EXPECT_TRUE(scheduler_.recovery_complete());
}

// Guards against needless resignations: with two of three controllers stalled, agents took 10 s to
// find the remaining controller. That controller concluded that it was partitioned from the agents
// and resigned repeatedly, although there was no other candidate.
TEST_F(FailoverTest, ANewLeaderResignsOnlyWhenItsProbesFail) {
  scheduler_.LoadMachinesPack(
      0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "vm-3:1"}}, 1);
  for (const auto& batch : scheduler_.TakeCommands(0)) {
    const wire::Heartbeat heartbeat = NextHeartbeat(batch.machine, 1);
    scheduler_.OnCommandOutcome(batch, CommandOutcome::kExecuted, &heartbeat, 0.1);
  }
  EXPECT_TRUE(scheduler_.recovery_complete());
  EXPECT_FALSE(scheduler_.IsPartitionedFromAgents(8));
  EXPECT_FALSE(scheduler_.IsPartitionedFromAgents(8 + settings_.heartbeat_s));
  // The leader probes the machines again, because their agents have sent it no heartbeat.
  EXPECT_EQ(scheduler_.TakeCommands(8).size(), 3u);

  Scheduler partitioned(settings_, derived_, 20, 0);
  partitioned.LoadMachinesPack(
      0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}, {"vm-3", "vm-3:1"}}, 1);
  for (const double now : {0.0, 1.0, 2.0}) {
    for (const auto& batch : partitioned.TakeCommands(now)) {
      partitioned.OnCommandOutcome(batch, CommandOutcome::kRefused, nullptr,
                                   now + derived_.probe_answer_s);
    }
  }
  // The leader detects the partition at 3 s, and reports it only if it persists.
  EXPECT_FALSE(partitioned.IsPartitionedFromAgents(3));
  EXPECT_TRUE(partitioned.IsPartitionedFromAgents(3.1 + settings_.heartbeat_s / 2));
}

// Guards against needless deletions: a new leader deleted machines whose agents had not found the
// leader yet. Because of the age that the cloud reported for each machine, the leader concluded
// that the machine had failed to boot.
TEST_F(FailoverTest, InheritedMachinesAreNotTakenForFailedBoots) {
  Scheduler fresh(settings_, derived_, 20, 100);
  fresh.SetMachineTypes({});
  fresh.LoadMachinesPack(0, wire::Json{{"vm-1", "a"}, {"vm-2", "a"}, {"vm-3", "a"}, {"vm-4", "a"}},
                         1);
  std::vector<wire::ListedMachine> listed;
  for (const char* id : {"vm-1", "vm-2", "vm-3", "vm-4"}) {
    listed.push_back({id, "a:1", "box", "a", false, wire::MachineState::kRunning, 500});
  }
  fresh.OnMachineList(listed, 100.5, 101);
  EXPECT_TRUE(fresh.PlanScaling(102).scale_in.empty());
  fresh.Tick(112);
  EXPECT_TRUE(fresh.PlanScaling(112).scale_in.empty());
  EXPECT_FALSE(fresh.recovery_complete());
  fresh.Tick(100 + derived_.agent_lease_over_s + 0.1);  // Every lease has expired.
  EXPECT_TRUE(fresh.recovery_complete());
}

TEST_F(FailoverTest, EarlierJobsWaitForRecoveryAndNewOnesDoNot) {
  scheduler_.LoadMachinesPack(0, wire::Json{{"vm-1", "a"}, {"vm-2", "a"}}, 1);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 9, 0);
  scheduler_.AddJob(Job(2, 1, 1, wire::Priority::kLow), 11, 0);
  SendHeartbeat("vm-1", 1);
  const auto starts = Starts(SendHeartbeat("vm-1", 1.5));
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].task.job, "req-2");
  EXPECT_FALSE(scheduler_.recovery_complete());
  SendHeartbeat("vm-2", 2);  // reconciles the last machine
  EXPECT_TRUE(scheduler_.recovery_complete());
  scheduler_.Tick(3);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);
}

// Guards against a delay of unstarted jobs: while a zone was unreachable, a new leader started no
// task of earlier jobs for a whole agent lease, although most pending jobs had never been started.
TEST_F(FailoverTest, JobsWithoutAStartMarkerStartBeforeRecoveryIsComplete) {
  scheduler_.SetMarkersSince(5);
  AddReadyMachine("vm-1", 0);
  // The job is accepted under this leader. Its start marker must be durable before its first start.
  scheduler_.AddJob(Job(1, 2, 1, wire::Priority::kNormal), 11, 0);
  EXPECT_TRUE(Starts(SendHeartbeat("vm-1", 1)).empty());
  auto records = scheduler_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
  ASSERT_FALSE(records.progress.empty());
  scheduler_.OnRecordsFailed();
  EXPECT_TRUE(Starts(SendHeartbeat("vm-1", 2)).empty());
  records = scheduler_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
  scheduler_.OnRecordsWritten(20, 0);
  scheduler_.Place(3);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 3)).size(), 2u);
  // While the leader reloads the records of the key-value store, it has not read which controllers
  // write start markers. The leader must keep writing start markers, or its successor would take a
  // started job for an unstarted one.
  scheduler_.SetMarkersSince(TaskPlacer::kNever);
  scheduler_.AddJob(Job(9, 1, 1, wire::Priority::kNormal), 15, 3);
  scheduler_.Place(3.5);
  EXPECT_TRUE(Starts(SendHeartbeat("vm-1", 4)).empty());
  scheduler_.SetMarkersSince(5);

  Scheduler next(settings_, derived_, 30, 100);
  next.SetMarkersSince(5);
  next.SetMachineTypes({type_});
  for (const auto& write : records.progress) next.LoadProgressPack(write.pack, write.value, 1);
  next.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}, {"vm-9", "vm-9:1"}}, 1);
  // Job 1 has a start marker, so its tasks may run on vm-9, which sends no heartbeat.
  next.AddJob(Job(1, 8, 1, wire::Priority::kNormal), 11, 0);
  // Job 2 is urgent. Urgent jobs get no start markers, so its tasks may have been started.
  next.AddJob(Job(2, 1, 1, wire::Priority::kHigh), 12, 0);
  // Job 3 was accepted before all controllers wrote start markers.
  next.AddJob(Job(3, 1, 1, wire::Priority::kNormal), 4, 0);
  // Job 4 would have a start marker if it had been started.
  next.AddJob(Job(4, 1, 1, wire::Priority::kNormal), 13, 0);
  wire::Heartbeat heartbeat = NextHeartbeat("vm-1", 1);
  heartbeat.fencing_token = 30;
  next.OnHeartbeat(heartbeat, 101);
  next.Place(101);
  next.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes);
  next.OnRecordsWritten(31, 0);
  next.Place(102);
  EXPECT_FALSE(next.recovery_complete());
  EXPECT_EQ(next.Counts("req-4").running, 1u);
  for (const char* id : {"req-1", "req-2", "req-3"}) EXPECT_EQ(next.Counts(id).running, 0u) << id;
}

// A heartbeat that was sent under the old leader arrives after the new leader has probed the
// machine, found that the task no longer ran there and started the task on another machine. If the
// new leader accepted that heartbeat, it would add the ended attempt to the first machine again.
TEST_F(FailoverTest, AHeartbeatDelayedFromAnEarlierLeaderIsRejected) {
  scheduler_.LoadMachinesPack(0, {{"vm-1", "vm-1:1"}, {"vm-2", "vm-2:1"}}, 1);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 9, 0);
  wire::Heartbeat delayed = NextHeartbeat("vm-1", 1);
  delayed.fencing_token = 3;
  delayed.tasks = {test::Running({"req-1", 0}, 77)};
  for (const auto& batch : scheduler_.TakeCommands(0.1)) {
    const wire::Heartbeat heartbeat = NextHeartbeat(batch.machine, 1);
    scheduler_.OnCommandOutcome(batch, CommandOutcome::kExecuted, &heartbeat, 0.2);
  }
  ASSERT_TRUE(scheduler_.recovery_complete());
  scheduler_.Place(0.3);
  SendHeartbeat("vm-2", 0.5);
  ASSERT_EQ(scheduler_.Counts("req-1").running, 1u);
  const double last_contact = scheduler_.machines().at("vm-1").last_contact_at;
  EXPECT_FALSE(scheduler_.OnHeartbeat(delayed, 1).accepted);
  EXPECT_EQ(scheduler_.machines().at("vm-1").last_contact_at, last_contact);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);
  for (const auto& [key, allocation] : scheduler_.machines().at("vm-1").allocations)
    EXPECT_NE(key.second, 77u);
}

// Guards against tasks that run twice: a machine that was probed in a new epoch executed starts.
// The leader considered the started tasks ended one agent lease after the last possible heartbeat
// answer of any leader, while the lease of the new epoch was still valid.
TEST_F(FailoverTest, ANewAgentEpochHasAWholeLeaseWithoutAnyAnswer) {
  scheduler_.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}}, 1);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0);
  const auto answer = [&](uint64_t agent_epoch, double now, std::vector<wire::TaskStatus> tasks) {
    for (const auto& batch : scheduler_.TakeCommands(now)) {
      wire::Heartbeat heartbeat = NextHeartbeat("vm-1", agent_epoch);
      heartbeat.tasks = tasks;
      const bool same = batch.agent_epoch == agent_epoch;
      scheduler_.OnCommandOutcome(
          batch, same ? CommandOutcome::kExecuted : CommandOutcome::kRefused, &heartbeat, now);
    }
  };
  answer(1, 0.5, {});
  MakeRecordsDurable(scheduler_);
  const double later = derived_.agents_try_all_s - 4;
  // The lease of epoch 1 has expired. The agent is in epoch 2 and refuses the commands for epoch 1.
  answer(2, later, {});
  // The leader has probed the machine in epoch 2 and sends it the start.
  answer(2, later + 3, {});
  ASSERT_GE(scheduler_.machines().at("vm-1").agent_epoch, 2u);
  // By this time, a lease that the last possible heartbeat answer of any leader renewed has
  // expired.
  const double expired = derived_.agent_lease_over_s + 0.1;
  scheduler_.Tick(expired);
  EXPECT_FALSE(scheduler_.machines().at("vm-1").lost);
  scheduler_.Tick(later + 3 + derived_.agent_lease_over_s + 0.1);
  EXPECT_TRUE(scheduler_.machines().at("vm-1").lost);
}

}  // namespace
}  // namespace mosspath::scheduler
