// Tests a machine that has reused the address of another machine, which is gone.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// vm-1 is gone. vm-2 has reused the address of vm-1 and receives the commands for vm-1.
class ReusedAddressTest : public OneWayPartitionTest {
 protected:
  ReusedAddressTest() {
    AddReadyMachine("vm-1", 0);
    SendHeartbeat("vm-1", 0.5);
    scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0.5);
    scheduler_.Place(0.6);
    auto batches = scheduler_.TakeCommands(0.6);
    EXPECT_EQ(batches.size(), 1u);
    command_batch_ = batches.front();
    heartbeat_ = NextHeartbeat("vm-2", 1);
    heartbeat_.tasks = {test::Running(command_batch_.commands[0])};
  }
  // Makes all records durable, and returns the number of starts in the answer to the machine's next
  // heartbeat.
  size_t CountStartsOn(const std::string& id, double now) {
    while (!scheduler_.TakeRecords(test::kMaxBatchPacks, test::kMaxBatchBytes).empty())
      scheduler_.OnRecordsWritten(++revision_, now);
    return Starts(SendHeartbeat(id, now)).size();
  }
  CommandBatch command_batch_;  // the commands for vm-1
  wire::Heartbeat heartbeat_;   // sent by vm-2 after it has executed command_batch_
  uint64_t revision_ = 12;
};

TEST_F(ReusedAddressTest, ATaskItExecutedIsNotRestartedBeforeItHasEnded) {
  scheduler_.OnCommandOutcome(command_batch_, CommandOutcome::kExecuted, &heartbeat_, 0.7);
  EXPECT_TRUE(scheduler_.machines().contains("vm-2"));
  AddReadyMachine("vm-3", 1);
  scheduler_.OnMachineDeleted("vm-1", 1.5);
  EXPECT_EQ(CountStartsOn("vm-3", 2), 0u);  // The task still runs on vm-2.
  heartbeat_.sequence = ++sequences_["vm-2"];
  EXPECT_EQ(Stops(scheduler_.OnHeartbeat(heartbeat_, 3)).size(), 1u);
  EXPECT_EQ(CountStartsOn("vm-3", 3.5), 0u);
  heartbeat_.sequence = ++sequences_["vm-2"];
  test::MarkExited(heartbeat_.tasks[0], wire::ExitReason::kStopped);
  scheduler_.OnHeartbeat(heartbeat_, 4);
  const size_t on_third = CountStartsOn("vm-3", 5);
  EXPECT_EQ(on_third + CountStartsOn("vm-2", 5), 1u);
}

// The outcome of the command batch is lost, and a heartbeat of vm-2 lists the task.
TEST_F(ReusedAddressTest, AHeartbeatThatListsTheTaskPreventsARestart) {
  scheduler_.OnCommandOutcome(command_batch_, CommandOutcome::kUndetermined, nullptr, 0.7);
  EXPECT_TRUE(scheduler_.OnHeartbeat(heartbeat_, 1).accepted);
  AddReadyMachine("vm-3", 1);
  scheduler_.OnMachineDeleted("vm-1", 1.5);
  EXPECT_EQ(CountStartsOn("vm-3", 2), 0u);
}

// The outcome of the command batch is lost, and vm-1 is deleted before vm-2 sends a heartbeat. A
// task that was restarted at once also ran on vm-2. The task must wait until no other machine with
// the address of vm-1 can run it.
TEST_F(ReusedAddressTest, TheAddressIsReconciledBeforeTheTaskIsRestarted) {
  scheduler_.OnCommandOutcome(command_batch_, CommandOutcome::kUndetermined, nullptr, 0.7);
  AddReadyMachine("vm-3", 1);
  scheduler_.OnMachineDeleted("vm-1", 1.5);
  EXPECT_EQ(CountStartsOn("vm-3", 2), 0u);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 1u);
  // This list may lack machines that were up when the commands were sent. Another machine with
  // the address may therefore exist, even if the list contains none.
  const wire::ListedMachine third{"vm-3", "vm-3:1", "box", "a", false, wire::MachineState::kRunning,
                                  9};
  wire::ListedMachine other = third;
  other.id = "vm-2";
  other.address = command_batch_.address;
  scheduler_.OnMachineList({third}, 0.5 + settings_.machine_list_lag_s, 5);
  scheduler_.Tick(5);
  EXPECT_EQ(CountStartsOn("vm-3", 5.1), 0u);
  // The list contains vm-2, which has sent no heartbeat.
  const double late = 1 + 2 * settings_.machine_list_lag_s;
  scheduler_.OnMachineList({third, other}, late, late);
  scheduler_.Tick(late);
  EXPECT_EQ(CountStartsOn("vm-3", late + 0.1), 0u);
  // The heartbeat of vm-2 lists the task as running on vm-2.
  heartbeat_.address = command_batch_.address;
  EXPECT_TRUE(scheduler_.OnHeartbeat(heartbeat_, late + 0.2).accepted);
  scheduler_.OnMachineList({third}, late + 5, late + 5);
  scheduler_.Tick(late + 5);
  EXPECT_EQ(CountStartsOn("vm-3", late + 5.1), 0u);
  heartbeat_.sequence = ++sequences_["vm-2"];
  test::MarkExited(heartbeat_.tasks[0], wire::ExitReason::kStopped);
  scheduler_.OnHeartbeat(heartbeat_, late + 6);
  EXPECT_EQ(CountStartsOn("vm-3", late + 7) + CountStartsOn("vm-2", late + 7), 1u);
}

// The machine that has reused the address may still execute the command until it has confirmed a
// higher token.
TEST_F(ReusedAddressTest, TheMachineAtTheAddressGetsAHigherTokenFirst) {
  scheduler_.OnCommandOutcome(command_batch_, CommandOutcome::kUndetermined, nullptr, 0.7);
  AddReadyMachine("vm-3", 1);
  heartbeat_.tasks.clear();
  heartbeat_.address = command_batch_.address;
  EXPECT_TRUE(scheduler_.OnHeartbeat(heartbeat_, 1).accepted);
  scheduler_.OnMachineDeleted("vm-1", 1.5);
  const double late = 1 + 2 * settings_.machine_list_lag_s;
  const auto machine = [&](const char* id, const std::string& address) {
    return wire::ListedMachine{id, address, "box", "a", false, wire::MachineState::kRunning, 9};
  };
  scheduler_.OnMachineList({machine("vm-3", "vm-3:1"), machine("vm-2", command_batch_.address)},
                           late, late);
  scheduler_.Tick(late);
  EXPECT_EQ(CountStartsOn("vm-3", late + 0.1), 0u);
  scheduler_.Tick(late + 0.2);
  EXPECT_EQ(CountStartsOn("vm-3", late + 0.2), 0u);
  scheduler_.Tick(late + 0.3);
  const uint64_t raised = scheduler_.machines().at("vm-2").fencing_token;
  EXPECT_GT(raised, command_batch_.fencing_token);
  EXPECT_EQ(CountStartsOn("vm-3", late + 0.4), 0u);
  wire::Heartbeat confirming = NextHeartbeat("vm-2", 1);
  confirming.address = command_batch_.address;
  confirming.fencing_token = raised;
  EXPECT_TRUE(scheduler_.OnHeartbeat(confirming, late + 0.5).accepted);
  scheduler_.Tick(late + 0.6);
  EXPECT_EQ(scheduler_.FindJob("req-1")->pending.size() + scheduler_.Counts("req-1").running, 1u);
  const size_t on_third = CountStartsOn("vm-3", late + 1);
  wire::Heartbeat again = NextHeartbeat("vm-2", 1);
  again.address = command_batch_.address;
  again.fencing_token = raised;
  EXPECT_EQ(on_third + Starts(scheduler_.OnHeartbeat(again, late + 1)).size(), 1u);
}

// A token that was raised for a forget command holds nothing back until the machine has shown it.
TEST_F(ReusedAddressTest, ATokenThatTheMachineHasNotShownRulesNothingOut) {
  scheduler_.OnCommandOutcome(command_batch_, CommandOutcome::kUndetermined, nullptr, 0.7);
  AddReadyMachine("vm-3", 1);
  scheduler_.OnRecordsWritten(20, 1);
  heartbeat_.address = command_batch_.address;
  heartbeat_.tasks = {
      test::Exited({.task = {"req-9", 0}, .attempt = 5}, wire::ExitReason::kFailed)};
  ASSERT_GT(scheduler_.OnHeartbeat(heartbeat_, 1).token, command_batch_.fencing_token);
  scheduler_.OnMachineDeleted("vm-1", 1.5);
  const double late = 1 + 2 * settings_.machine_list_lag_s;
  const auto machine = [&](const char* id, const std::string& address) {
    return wire::ListedMachine{id, address, "box", "a", false, wire::MachineState::kRunning, 9};
  };
  scheduler_.OnMachineList({machine("vm-3", "vm-3:1"), machine("vm-2", command_batch_.address)},
                           late, late);
  scheduler_.Tick(late);
  const size_t on_third = CountStartsOn("vm-3", late + 0.1);
  EXPECT_EQ(on_third + CountStartsOn("vm-2", late + 0.1), 0u);
}

// The usual case: no other machine has reused the address of vm-1. The task is restarted as soon as
// a machine list contains no machine with that address, if the list was requested late enough.
TEST_F(ReusedAddressTest, NoOtherMachineHasTheAddress) {
  const double late = 1 + 2 * settings_.machine_list_lag_s;
  scheduler_.OnCommandOutcome(command_batch_, CommandOutcome::kUndetermined, nullptr, 0.7);
  scheduler_.OnMachineList({}, late, late);
  AddReadyMachine("vm-3", late);
  scheduler_.OnMachineDeleted("vm-1", late + 1);
  EXPECT_EQ(CountStartsOn("vm-3", late + 2), 1u);
}

// vm-2 confirms a fencing token that the leader raised for vm-1. Guards against a needless
// rejection: the leader rejected such heartbeats, because it treated the token as that of a later
// leader.
TEST_F(ReusedAddressTest, ATokenRaisedForAnotherMachineIsAccepted) {
  scheduler_.OnCommandOutcome(command_batch_, CommandOutcome::kUndetermined, nullptr, 0.7);
  scheduler_.Tick(0.8);
  scheduler_.OnRecordsWritten(20, 0.9);
  scheduler_.Tick(1);
  ASSERT_EQ(scheduler_.machines().at("vm-1").fencing_token, 20u);
  heartbeat_.fencing_token = 20;
  heartbeat_.tasks.clear();
  EXPECT_TRUE(scheduler_.OnHeartbeat(heartbeat_, 1.2).accepted);
  EXPECT_TRUE(IsSchedulable("vm-2", 1.2));
  wire::Heartbeat later = NextHeartbeat("vm-2", 1);
  later.fencing_token = 21;
  EXPECT_FALSE(scheduler_.OnHeartbeat(later, 2).accepted);
}

// A new leader probes vm-1, and the answer comes from vm-2, which is in no machine record.
TEST_F(ReusedAddressTest, ANewLeaderFindsTheTaskOnTheOtherMachine) {
  Scheduler next(settings_, derived_, 20, 10);
  next.SetMachineTypes({type_});
  next.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}}, 1);
  next.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0.5);
  const auto probes = next.TakeCommands(10);
  ASSERT_EQ(probes.size(), 1u);
  heartbeat_.fencing_token = 20;
  next.OnCommandOutcome(probes[0], CommandOutcome::kExecuted, &heartbeat_, 10.1);
  EXPECT_FALSE(next.recovery_complete());
  next.OnMachineDeleted("vm-1", 11);
  EXPECT_TRUE(next.recovery_complete());
  EXPECT_EQ(next.Counts("req-1").running, 1u);
  EXPECT_EQ(next.FindJob("req-1")->pending.size(), 0u);
}

}  // namespace
}  // namespace mosspath::scheduler
