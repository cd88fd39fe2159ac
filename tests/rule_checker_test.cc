// Tests that the simulation's rule checker reports the violations that the tests inject.
#include <gtest/gtest.h>

#include <string>

#include "builders.h"
#include "simulation/cluster.h"

namespace mosspath {
namespace {

using simulation::SimulatedController;
using simulation::SimulatedEnvironment;
using simulation::SmallSettings;
using simulation::SmallType;

// A cluster without controllers, in which the tests inject violations that the checker must report.
class RuleCheckerTest : public ::testing::Test {
 protected:
  RuleCheckerTest() : world(SmallSettings(), {SmallType()}, 1) {
    world.nodes = {"hut-0"};
    world.on_heartbeat = [](const std::string&, const wire::Heartbeat&,
                            const SimulatedEnvironment::HeartbeatResponder&) {};
    spec_ = test::MakeJobSpec("req-1", "tight", /*tasks=*/12);
    spec_.image = "i";
    spec_.estimated_run_s = 5;
    spec_.zone = "east";
    world.Submit(spec_);
  }
  wire::Command Start(uint32_t index) {
    return {wire::CommandType::kStart, {"req-1", index}, 7, 0};
  }
  bool Found(const std::string& rule) {
    for (const auto& breach : world.rule_checker.breaches()) {
      if (breach.starts_with(rule)) return true;
    }
    return false;
  }

  SimulatedEnvironment world;
  wire::JobSpec spec_;
};

TEST_F(RuleCheckerTest, DetectsATaskThatRunsTwice) {
  auto& first = world.AddMachine("box", "east", false);
  auto& second = world.AddMachine("box", "east", false);
  first.OnCommands(1, 1, {Start(0)});
  second.OnCommands(1, 1, {Start(0)});
  world.clock.RunUntil(1.5);
  EXPECT_TRUE(Found("ran_twice"));
}

TEST_F(RuleCheckerTest, DetectsATaskInTheWrongZone) {
  world.AddMachine("box", "west", false).OnCommands(1, 1, {Start(0)});
  world.clock.RunUntil(1.5);
  EXPECT_TRUE(Found("wrong_place"));
}

TEST_F(RuleCheckerTest, DetectsAnExceededQuota) {
  auto& first = world.AddMachine("box", "east", false);
  auto& second = world.AddMachine("box", "east", false);
  for (uint32_t i = 0; i < 12; ++i) (i % 2 == 0 ? first : second).OnCommands(1, 1, {Start(i)});
  world.clock.RunUntil(1.5);
  EXPECT_TRUE(Found("quota"));
}

TEST_F(RuleCheckerTest, DetectsACancelledTaskThatRuns) {
  spec_.kind = wire::JobKind::kService;
  world.Submit(spec_);
  auto& agent = world.AddMachine("box", "east", false);
  world.rule_checker.OnCancellationConfirmed("req-1", 0);
  world.clock.At(25, [&] { agent.OnCommands(1, 3, {Start(0)}); });  // The agent is in epoch 3.
  world.clock.RunUntil(27);
  world.rule_checker.CheckNow(27);
  EXPECT_TRUE(Found("ran_cancelled"));
}

// The agent's lease is still valid after the hang, so the agent continues a task whose job was
// cancelled during the hang.
TEST_F(RuleCheckerTest, DetectsACancelledTaskOnAMachineThatHung) {
  spec_.kind = wire::JobKind::kService;
  world.Submit(spec_);
  auto& agent = world.AddMachine("box", "east", false);
  world.clock.At(15, [&] {  // The agent is in epoch 2.
    agent.OnCommands(1, 2, {Start(0)});
    agent.Hang(4);
  });
  world.clock.At(17, [&] { world.rule_checker.OnCancellationConfirmed("req-1", -4); });
  world.clock.RunUntil(19.5);
  world.rule_checker.CheckNow(19.5);
  EXPECT_TRUE(Found("ran_cancelled"));
}

TEST_F(RuleCheckerTest, DetectsAJobThatWaitsBesideFreeCapacity) {
  world.Submit(spec_);
  world.rule_checker.OnAccepted("req-1", 0);
  for (double now = 0; now <= 88; now += 2)
    world.rule_checker.OnMachinesWithRoom("req-1", {"vm-1", "vm-2"}, now);
  EXPECT_FALSE(Found("waits"));
  // A full cluster has fragmented capacity: there is room on one machine after another. The time
  // limit applies to each machine separately, so this is no breach.
  for (double now = 90; now <= 178; now += 2)
    world.rule_checker.OnMachinesWithRoom("req-1", {"vm-3"}, now);
  EXPECT_FALSE(Found("waits"));
  world.rule_checker.OnMachinesWithRoom("req-1", {"vm-3"}, 182);
  EXPECT_TRUE(Found("waits"));
}

TEST_F(RuleCheckerTest, DetectsAnAcceptedJobThatCannotRun) {
  spec_.cpus = 1'000;
  world.Submit(spec_);
  world.rule_checker.OnAccepted("req-1", 0);
  EXPECT_TRUE(Found("accepted"));
}

TEST_F(RuleCheckerTest, DetectsARefusedJobThatWasAccepted) {
  world.rule_checker.OnAccepted("req-1", 0);
  world.rule_checker.OnRefused("req-1");
  EXPECT_TRUE(Found("forgotten"));
}

TEST_F(RuleCheckerTest, DetectsAJobDoneTooEarly) {
  world.rule_checker.OnCompletionConfirmed("req-1");
  EXPECT_TRUE(Found("not_done"));
}

}  // namespace
}  // namespace mosspath
