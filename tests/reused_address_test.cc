// Another machine is up under the address of one that is gone.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// Another machine is up under the address of one that is gone, and takes what was meant for it.
class StrangerTest : public DeafTest {
 protected:
  StrangerTest() {
    Ready("vm-1", 0);
    Report("vm-1", 0.5);
    d_.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0.5);
    d_.Place(0.6);
    auto orders = d_.TakeCommands(0.6);
    EXPECT_EQ(orders.size(), 1u);
    order_ = orders.front();
    told_ = Written("vm-2", 1);
    told_.tasks = {{order_.commands[0].task, order_.commands[0].attempt, wire::TaskState::kRunning,
                    wire::ExitReason::kNone, false}};
  }
  size_t StartsAt(const std::string& id, double now) {
    while (!d_.TakeRecords(100, 48u << 10).empty()) d_.OnRecordsWritten(++written_, now);
    return Only(Report(id, now), wire::CommandType::kStart).size();
  }
  CommandBatch order_;
  wire::Heartbeat told_;
  uint64_t written_ = 12;
};

TEST_F(StrangerTest, WhatItTookIsNotStartedAgainBeforeItHasEnded) {
  d_.OnCommandOutcome(order_, CommandOutcome::kExecuted, &told_, 0.7);
  EXPECT_TRUE(d_.machines().contains("vm-2"));
  Ready("vm-3", 1);
  d_.OnMachineDeleted("vm-1", 1.5);
  EXPECT_EQ(StartsAt("vm-3", 2), 0u);  // it still runs there
  told_.sequence = ++seq_["vm-2"];
  EXPECT_EQ(Only(d_.OnHeartbeat(told_, 3), wire::CommandType::kStop).size(), 1u);
  EXPECT_EQ(StartsAt("vm-3", 3.5), 0u);
  told_.sequence = ++seq_["vm-2"];
  told_.tasks[0].state = wire::TaskState::kExited;
  told_.tasks[0].exit_reason = wire::ExitReason::kStopped;
  d_.OnHeartbeat(told_, 4);
  const size_t at_three = StartsAt("vm-3", 5);
  EXPECT_EQ(at_three + StartsAt("vm-2", 5), 1u);
}

// The answer is lost, and its own report tells.
TEST_F(StrangerTest, ItsReportIsEnough) {
  d_.OnCommandOutcome(order_, CommandOutcome::kUndetermined, nullptr, 0.7);
  EXPECT_TRUE(d_.OnHeartbeat(told_, 1).accepted);
  Ready("vm-3", 1);
  d_.OnMachineDeleted("vm-1", 1.5);
  EXPECT_EQ(StartsAt("vm-3", 2), 0u);
}

// The answer is lost, and the machine that was meant is deleted before the other reports. Started
// anew at once, the task ran twice: it waits until nobody else can have it.
TEST_F(StrangerTest, ItIsSoughtAtTheAddressBeforeItIsStartedAgain) {
  d_.OnCommandOutcome(order_, CommandOutcome::kUndetermined, nullptr, 0.7);
  Ready("vm-3", 1);
  d_.OnMachineDeleted("vm-1", 1.5);
  EXPECT_EQ(StartsAt("vm-3", 2), 0u);
  EXPECT_EQ(d_.Counts("req-1").running, 1u);
  // A list that may not show all that were up when the order left proves nothing.
  const wire::ListedMachine third{"vm-3", "vm-3:1", "box", "a", false, wire::MachineState::kRunning,
                                  9};
  wire::ListedMachine other = third;
  other.id = "vm-2";
  other.address = order_.address;
  d_.OnMachineList({third}, 0.5 + settings_.machine_list_lag_s, 5);
  d_.Tick(5);
  EXPECT_EQ(StartsAt("vm-3", 5.1), 0u);
  // The other is there, and not heard of.
  const double late = 1 + 2 * settings_.machine_list_lag_s;
  d_.OnMachineList({third, other}, late, late);
  d_.Tick(late);
  EXPECT_EQ(StartsAt("vm-3", late + 0.1), 0u);
  // Its report tells that it runs there.
  told_.address = order_.address;
  EXPECT_TRUE(d_.OnHeartbeat(told_, late + 0.2).accepted);
  d_.OnMachineList({third}, late + 5, late + 5);
  d_.Tick(late + 5);
  EXPECT_EQ(StartsAt("vm-3", late + 5.1), 0u);
  told_.sequence = ++seq_["vm-2"];
  told_.tasks[0].state = wire::TaskState::kExited;
  told_.tasks[0].exit_reason = wire::ExitReason::kStopped;
  d_.OnHeartbeat(told_, late + 6);
  EXPECT_EQ(StartsAt("vm-3", late + 7) + StartsAt("vm-2", late + 7), 1u);
}

// Whoever is there may take it yet, until it has shown a higher token.
TEST_F(StrangerTest, WhoIsAtTheAddressGetsAHigherTokenFirst) {
  d_.OnCommandOutcome(order_, CommandOutcome::kUndetermined, nullptr, 0.7);
  Ready("vm-3", 1);
  told_.tasks.clear();
  told_.address = order_.address;
  EXPECT_TRUE(d_.OnHeartbeat(told_, 1).accepted);
  d_.OnMachineDeleted("vm-1", 1.5);
  const double late = 1 + 2 * settings_.machine_list_lag_s;
  const auto machine = [&](const char* id, const std::string& address) {
    return wire::ListedMachine{id, address, "box", "a", false, wire::MachineState::kRunning, 9};
  };
  d_.OnMachineList({machine("vm-3", "vm-3:1"), machine("vm-2", order_.address)}, late, late);
  d_.Tick(late);
  EXPECT_EQ(StartsAt("vm-3", late + 0.1), 0u);
  d_.Tick(late + 0.2);
  EXPECT_EQ(StartsAt("vm-3", late + 0.2), 0u);
  d_.Tick(late + 0.3);
  const uint64_t raised = d_.machines().at("vm-2").fencing_token;
  EXPECT_GT(raised, order_.fencing_token);
  EXPECT_EQ(StartsAt("vm-3", late + 0.4), 0u);
  wire::Heartbeat shown = Written("vm-2", 1);
  shown.address = order_.address;
  shown.fencing_token = raised;
  EXPECT_TRUE(d_.OnHeartbeat(shown, late + 0.5).accepted);
  d_.Tick(late + 0.6);
  EXPECT_EQ(d_.FindJob("req-1")->pending.size() + d_.Counts("req-1").running, 1u);
  const size_t at_three = StartsAt("vm-3", late + 1);
  wire::Heartbeat again = Written("vm-2", 1);
  again.address = order_.address;
  again.fencing_token = raised;
  EXPECT_EQ(at_three + Only(d_.OnHeartbeat(again, late + 1), wire::CommandType::kStart).size(), 1u);
}

// Nobody else is there, as nearly always: it is started again as soon as a late enough list says
// so.
TEST_F(StrangerTest, NobodyElseIsThere) {
  const double late = 1 + 2 * settings_.machine_list_lag_s;
  d_.OnCommandOutcome(order_, CommandOutcome::kUndetermined, nullptr, 0.7);
  d_.OnMachineList({}, late, late);
  Ready("vm-3", late);
  d_.OnMachineDeleted("vm-1", late + 1);
  EXPECT_EQ(StartsAt("vm-3", late + 2), 1u);
}

// The token that it took was raised for the one that is gone: its reports were refused as those of
// a later leader's machine.
TEST_F(StrangerTest, ATokenRaisedForAnotherIsOurs) {
  d_.OnCommandOutcome(order_, CommandOutcome::kUndetermined, nullptr, 0.7);
  d_.Tick(0.8);
  d_.OnRecordsWritten(20, 0.9);
  d_.Tick(1);
  ASSERT_EQ(d_.machines().at("vm-1").fencing_token, 20u);
  told_.fencing_token = 20;
  told_.tasks.clear();
  EXPECT_TRUE(d_.OnHeartbeat(told_, 1.2).accepted);
  EXPECT_TRUE(Usable("vm-2", 1.2));
  wire::Heartbeat later = Written("vm-2", 1);
  later.fencing_token = 21;
  EXPECT_FALSE(d_.OnHeartbeat(later, 2).accepted);
}

// A successor asks the one that is gone, and the other answers: it stands in no record.
TEST_F(StrangerTest, ASuccessorLearnsOfIt) {
  Scheduler successor(settings_, derived_, 20, 10);
  successor.SetMachineTypes({d_type_});
  successor.LoadMachinesPack(0, wire::Json{{"vm-1", "vm-1:1"}}, 1);
  successor.AddJob(Job(1, 1, 1, wire::Priority::kNormal), 11, 0.5);
  const auto asked = successor.TakeCommands(10);
  ASSERT_EQ(asked.size(), 1u);
  told_.fencing_token = 20;
  successor.OnCommandOutcome(asked[0], CommandOutcome::kExecuted, &told_, 10.1);
  EXPECT_FALSE(successor.recovery_complete());
  successor.OnMachineDeleted("vm-1", 11);
  EXPECT_TRUE(successor.recovery_complete());
  EXPECT_EQ(successor.Counts("req-1").running, 1u);
  EXPECT_EQ(successor.FindJob("req-1")->pending.size(), 0u);
}

}  // namespace
}  // namespace mosspath::scheduler
