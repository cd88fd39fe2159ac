// The rule checker of the simulation: planted violations are found.
#include <gtest/gtest.h>

#include <string>

#include "simulation/cluster.h"

namespace mosspath {
namespace {

using simulation::SimulatedController;
using simulation::SimulatedEnvironment;
using simulation::SmallSettings;
using simulation::SmallType;

// The checker itself: planted violations must be caught.
class Planted : public ::testing::Test {
 protected:
  Planted() : world(SmallSettings(), {SmallType()}, 1) {
    world.nodes = {"hut-0"};
    world.on_heartbeat = [](const std::string&, const wire::Heartbeat&,
                            const SimulatedEnvironment::HeartbeatResponder&) {};
    spec_.id = "req-1";
    spec_.team = "tight";
    spec_.tasks = 12;
    spec_.cpus = 1;
    spec_.image = "i";
    spec_.estimated_run_s = 5;
    spec_.zone = "east";
    world.Submit(spec_);
  }
  wire::Command Start(uint32_t index) {
    return {wire::CommandType::kStart, {"req-1", index}, 7, 0};
  }
  bool Caught(const std::string& rule) {
    for (const auto& b : world.rule_checker.breaches()) {
      if (b.starts_with(rule)) return true;
    }
    return false;
  }

  SimulatedEnvironment world;
  wire::JobSpec spec_;
};

TEST_F(Planted, RanTwiceIsCaught) {
  auto& a = world.AddMachine("box", "east", false);
  auto& b = world.AddMachine("box", "east", false);
  a.OnCommands(1, 1, {Start(0)});
  b.OnCommands(1, 1, {Start(0)});
  world.clock.RunUntil(1.5);
  EXPECT_TRUE(Caught("ran_twice"));
}

TEST_F(Planted, WrongPlaceIsCaught) {
  world.AddMachine("box", "west", false).OnCommands(1, 1, {Start(0)});
  world.clock.RunUntil(1.5);
  EXPECT_TRUE(Caught("wrong_place"));
}

TEST_F(Planted, QuotaIsCaught) {
  auto& a = world.AddMachine("box", "east", false);
  auto& b = world.AddMachine("box", "east", false);
  for (uint32_t i = 0; i < 12; ++i) (i % 2 == 0 ? a : b).OnCommands(1, 1, {Start(i)});
  world.clock.RunUntil(1.5);
  EXPECT_TRUE(Caught("quota"));
}

TEST_F(Planted, CancelledButRunningIsCaught) {
  spec_.kind = wire::JobKind::kService;
  world.Submit(spec_);
  auto& a = world.AddMachine("box", "east", false);
  world.rule_checker.OnCancellationConfirmed("req-1", 0);
  world.clock.At(25, [&] { a.OnCommands(1, 3, {Start(0)}); });  // its third session by then
  world.clock.RunUntil(27);
  world.rule_checker.CheckNow(27);
  EXPECT_TRUE(Caught("ran_cancelled"));
}

// Its lease holds, so it goes on with what was cancelled while it hung.
TEST_F(Planted, CancelledOnAMachineThatHungIsCaught) {
  spec_.kind = wire::JobKind::kService;
  world.Submit(spec_);
  auto& a = world.AddMachine("box", "east", false);
  world.clock.At(15, [&] {  // its second session by then
    a.OnCommands(1, 2, {Start(0)});
    a.Hang(4);
  });
  world.clock.At(17, [&] { world.rule_checker.OnCancellationConfirmed("req-1", -4); });
  world.clock.RunUntil(19.5);
  world.rule_checker.CheckNow(19.5);
  EXPECT_TRUE(Caught("ran_cancelled"));
}

TEST_F(Planted, WaitingBesideRoomIsCaught) {
  world.Submit(spec_);
  world.rule_checker.OnAccepted("req-1", 0);
  for (double now = 0; now <= 88; now += 2)
    world.rule_checker.OnMachinesWithRoom("req-1", {"vm-1", "vm-2"}, now);
  EXPECT_FALSE(Caught("waits"));
  // Another machine each time is the holes of a fleet that is full.
  for (double now = 90; now <= 178; now += 2)
    world.rule_checker.OnMachinesWithRoom("req-1", {"vm-3"}, now);
  EXPECT_FALSE(Caught("waits"));
  world.rule_checker.OnMachinesWithRoom("req-1", {"vm-3"}, 182);
  EXPECT_TRUE(Caught("waits"));
}

TEST_F(Planted, AcceptedThoughItCannotRunIsCaught) {
  spec_.cpus = 1'000;
  world.Submit(spec_);
  world.rule_checker.OnAccepted("req-1", 0);
  EXPECT_TRUE(Caught("accepted"));
}

TEST_F(Planted, RefusedThoughItWasAcceptedIsCaught) {
  world.rule_checker.OnAccepted("req-1", 0);
  world.rule_checker.OnRefused("req-1");
  EXPECT_TRUE(Caught("forgotten"));
}

TEST_F(Planted, DoneTooEarlyIsCaught) {
  world.rule_checker.OnCompletionConfirmed("req-1");
  EXPECT_TRUE(Caught("not_done"));
}

}  // namespace
}  // namespace mosspath
