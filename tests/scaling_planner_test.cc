// Tests of the scaling planner: which machines it adds, keeps, cordons and deletes.
#include "mosspath/autoscaler/scaling_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using ScalingPlannerTest = SchedulerTest;

// Returns a machine of the type "box" that is up and takes tasks.
autoscaler::FleetMachine SchedulableMachine(const std::string& id, const std::string& zone,
                                            bool spot) {
  autoscaler::FleetMachine machine;
  machine.id = id;
  machine.type = "box";
  machine.zone = zone;
  machine.spot = spot;
  machine.up = machine.schedulable = true;
  return machine;
}

// Free capacity on spot machines is no reason to delete an on-demand machine that is reserved.
TEST_F(ScalingPlannerTest, SpotCapacityDoesNotReplaceReservedOnDemandCapacity) {
  type_.spot_price = 0.3;
  autoscaler::ScalingInput input;
  input.types = {type_};
  for (const bool spot : {false, true, true}) {
    autoscaler::FleetMachine machine =
        SchedulableMachine("vm-" + std::to_string(input.machines.size()), "a", spot);
    machine.idle = true;
    machine.idle_s = 1000;
    input.machines.push_back(machine);
  }
  const auto scale_in = [&] { return autoscaler::PlanScaling(input, {}).scale_in; };
  EXPECT_EQ(scale_in().size(), 3u);
  input.on_demand_cpus = 2;
  const auto with_reservation = scale_in();
  EXPECT_EQ(std::find(with_reservation.begin(), with_reservation.end(), "vm-0"),
            with_reservation.end());
  EXPECT_EQ(with_reservation.size(), 2u);
}

// Guards against a replica that waits for ever (`simulate addition`, seed 45): each on-demand
// machine had one free CPU, too little for the replica. The planner counted these CPUs, and also an
// idle spot machine, which the replica may not use, as capacity for the replica. It therefore
// requested no machine.
TEST_F(ScalingPlannerTest, FragmentedCapacityDoesNotCoverDemand) {
  type_.spot_price = 0.3;
  autoscaler::ScalingInput input;
  input.types = {type_};
  for (const bool spot : {false, false, false, false, true}) {
    autoscaler::FleetMachine machine =
        SchedulableMachine("vm-" + std::to_string(input.machines.size()), "a", spot);
    machine.used_cpus = spot ? 0 : type_.cpus - 1;
    input.machines.push_back(machine);
  }
  autoscaler::Demand demand;
  demand.spot_allowed = false;
  demand.cpus = 2;
  demand.memory_gb = 1;
  demand.waiting_tasks = 1;
  demand.urgent = true;
  input.demand = {demand};
  const auto scale_out = [&] { return autoscaler::PlanScaling(input, {}).scale_out; };
  ASSERT_EQ(scale_out().size(), 1u);
  EXPECT_EQ(scale_out()[0].count, 1);
  EXPECT_FALSE(scale_out()[0].spot);
  input.machines[0].used_cpus -= 1;
  EXPECT_TRUE(scale_out().empty());
}

// Guards against tasks that wait for ever (`simulate meetings`, seed 161): spot machines and the
// other zone had enough free capacity, so the planner drained every machine that the tasks could
// use. The planner still counted the capacity of the draining machines, so it requested no machine.
TEST_F(ScalingPlannerTest, CapacityThatPendingTasksNeedIsNotDrained) {
  type_.spot_price = 0.3;
  type_.zones = {"a", "b"};
  autoscaler::ScalingInput input;
  input.types = {type_};
  const auto add = [&](const std::string& zone, bool spot, double used) {
    autoscaler::FleetMachine machine =
        SchedulableMachine(zone + std::to_string(input.machines.size()), zone, spot);
    machine.used_cpus = used;
    input.machines.push_back(machine);
  };
  for (const double used : {3.5, 2.0, 3.0}) add("a", false, used);
  for (int i = 0; i < 6; ++i) add("b", i % 2 == 0, 0);
  autoscaler::Demand demand;
  demand.spot_allowed = false;
  demand.zone = "a";
  demand.cpus = 1;
  demand.memory_gb = 1;
  demand.waiting_tasks = 3;
  demand.waiting_run_s = 300;
  input.demand = {demand};
  const autoscaler::ScalingPlan plan = autoscaler::PlanScaling(input, {});
  const auto drains = [&](const std::string& id) {
    return std::find(plan.cordon.begin(), plan.cordon.end(), id) != plan.cordon.end() ||
           std::find(plan.drain.begin(), plan.drain.end(), id) != plan.drain.end();
  };
  EXPECT_FALSE(drains("a1"));
  EXPECT_FALSE(drains("a2"));
  EXPECT_TRUE(drains("a0"));  // No pending task fits on a0.
  EXPECT_TRUE(plan.scale_out.empty());
}

}  // namespace
}  // namespace mosspath::scheduler
