// Tests of the scaling planner: which machines it adds, keeps, cordons and deletes.
#include "mosspath/autoscaler/scaling_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

class ScalingPlannerTest : public SchedulerTest {
 protected:
  // Adds a machine in the zone, with a durable record.
  void AddMachineInZone(const std::string& id, const std::string& zone, double now) {
    wire::Heartbeat heartbeat = NextHeartbeat(id, 1);
    heartbeat.zone = zone;
    scheduler_.OnHeartbeat(heartbeat, now);
    scheduler_.Tick(now);
    MakeRecordsDurable(scheduler_);
  }
};

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

// Waiting tasks of 8 CPUs, 1 GPU and 64 GB, and machines of 32 CPUs, 4 GPUs and 256 GB.
class WaitingTasksGetAMachineTest : public ::testing::Test {
 protected:
  WaitingTasksGetAMachineTest() {
    wire::MachineType type = test::BoxType(/*cpus=*/32, /*memory_gb=*/256);
    type.gpus = 4;
    type.price = 1;
    type.boot_s = 10;
    type.zones = {"a"};
    input_.types = {type};
    autoscaler::Demand demand;
    demand.cpus = 8;
    demand.gpus = 1;
    demand.memory_gb = 64;
    demand.urgent = true;
    input_.demand = {demand};
  }

  void UseTwoZones() { input_.types[0].zones = {"a", "b"}; }
  void AddMachine(const cluster::Resources& used, const std::string& zone = "a") {
    autoscaler::FleetMachine machine =
        SchedulableMachine("vm-" + std::to_string(input_.machines.size()), zone, false);
    machine.used_cpus = used.cpus;
    machine.used_gpus = used.gpus;
    machine.used_memory_gb = used.memory_gb;
    machine.remaining_cpu_s = used.cpus;
    input_.machines.push_back(machine);
  }
  int RequestedFor(double waiting_tasks) {
    input_.demand[0].waiting_tasks = waiting_tasks;
    int machines = 0;
    for (const auto& request : autoscaler::PlanScaling(input_, {}).scale_out) {
      machines += request.count;
    }
    return machines;
  }

  autoscaler::ScalingInput input_;
};

// Guards against tasks that wait for ever: CPUs beside used-up GPUs counted as room for tasks.
TEST_F(WaitingTasksGetAMachineTest, WhenTheOthersAreFullByGpus) {
  for (int i = 0; i < 3; ++i) AddMachine({.cpus = 16, .gpus = 4, .memory_gb = 128});
  EXPECT_EQ(RequestedFor(1), 1);
  EXPECT_EQ(RequestedFor(5), 2);
}

// Guards against tasks that wait for ever: CPUs beside used-up memory counted as room for tasks.
TEST_F(WaitingTasksGetAMachineTest, WhenTheOthersAreFullByMemory) {
  for (int i = 0; i < 3; ++i) AddMachine({.cpus = 16, .gpus = 2, .memory_gb = 256});
  EXPECT_EQ(RequestedFor(1), 1);
}

// Guards against room that is summed by resource: no machine has all that a task needs.
TEST_F(WaitingTasksGetAMachineTest, WhenGpusAreFreeOnOneMachineAndMemoryOnAnother) {
  AddMachine({.cpus = 8, .gpus = 0, .memory_gb = 256});
  AddMachine({.cpus = 8, .gpus = 4, .memory_gb = 0});
  EXPECT_EQ(RequestedFor(1), 1);
}

// Guards against room that is summed over machines: each machine has room for one task only.
TEST_F(WaitingTasksGetAMachineTest, WhenRoomForHalfATaskIsLeftOnEach) {
  for (int i = 0; i < 6; ++i) AddMachine({.cpus = 20, .gpus = 0, .memory_gb = 0});
  EXPECT_EQ(RequestedFor(6), 0);
  EXPECT_EQ(RequestedFor(8), 1);
}

// Guards against a machine type that is dearer by what a task takes: the room is counted in tasks.
TEST_F(WaitingTasksGetAMachineTest, WhenTheOthersAreOfATypeThatHoldsFewerTasks) {
  input_.types.push_back(input_.types[0]);
  input_.types[1].name = "small-memory";
  input_.types[1].price = 2;
  input_.types[1].memory_gb = 64;
  AddMachine({});
  input_.machines[0].type = "small-memory";
  EXPECT_EQ(RequestedFor(1), 0);
  EXPECT_EQ(RequestedFor(2), 1);
}

// Guards against a gang that waits for ever: the room of all zones together counted for tasks that
// must share a zone.
TEST_F(WaitingTasksGetAMachineTest, WhenTheRoomForOneZoneIsDividedOverTwo) {
  UseTwoZones();
  input_.demand[0].single_zone = true;
  AddMachine({});
  AddMachine({}, "b");
  EXPECT_EQ(RequestedFor(4), 0);
  EXPECT_EQ(RequestedFor(8), 1);
  EXPECT_EQ(RequestedFor(9), 2);
}

// Guards against a gang that waits for ever for the zone with the most room, which is sold out.
TEST_F(WaitingTasksGetAMachineTest, InTheOtherZoneIfTheZoneWithMoreRoomIsSoldOut) {
  UseTwoZones();
  input_.demand[0].single_zone = true;
  input_.demand[0].waiting_tasks = 8;
  for (int i = 0; i < 2; ++i) AddMachine({.cpus = 16, .gpus = 1, .memory_gb = 64});
  AddMachine({.cpus = 24, .gpus = 1, .memory_gb = 64}, "b");
  input_.closed_until[{"box", "a", false}] = input_.now + 1;
  const auto requests = autoscaler::PlanScaling(input_, {}).scale_out;
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].zone, "b");
  EXPECT_EQ(requests[0].count, 2);
}

// With the requested machines some zone has room for all tasks that must share one, and nothing is
// requested if a zone had that room before.
RC_GTEST_FIXTURE_PROP(WaitingTasksGetAMachineTest, InOneZoneWhateverTheOthersHave, ()) {
  constexpr int kTasksPerMachine = 4;
  UseTwoZones();
  input_.demand[0].single_zone = true;
  std::map<std::string, int> room = {{"a", 0}, {"b", 0}};
  const int machines = *rc::gen::inRange(0, 8);
  for (int i = 0; i < machines; ++i) {
    const int used = *rc::gen::inRange(0, kTasksPerMachine + 1);
    const std::string zone = *rc::gen::element<std::string>("a", "b");
    AddMachine({.cpus = 8.0 * used, .gpus = 1.0 * used, .memory_gb = 64.0 * used}, zone);
    room[zone] += kTasksPerMachine - used;
  }
  const int waiting = *rc::gen::inRange(1, 20);
  input_.demand[0].waiting_tasks = waiting;
  const int most_room = std::max(room["a"], room["b"]);
  const auto requests = autoscaler::PlanScaling(input_, {}).scale_out;
  if (most_room >= waiting) {
    RC_ASSERT(requests.empty());
    return;
  }
  RC_ASSERT(requests.size() == 1u);
  const int with_requested = room[requests[0].zone] + kTasksPerMachine * requests[0].count;
  RC_ASSERT(with_requested >= waiting);
  RC_ASSERT(with_requested - kTasksPerMachine < waiting);
}

// Guards against the return of the only free machine: CPUs beside used-up GPUs counted as reserve.
TEST_F(WaitingTasksGetAMachineTest, TheReserveIsNotOnMachinesThatAreFullByGpus) {
  for (int i = 0; i < 3; ++i) AddMachine({.cpus = 16, .gpus = 4, .memory_gb = 128});
  AddMachine({});
  input_.machines[3].idle = true;
  input_.machines[3].idle_s = 1000;
  input_.demand.clear();
  input_.burst_cpus = 8;
  const autoscaler::ScalingPlan plan = autoscaler::PlanScaling(input_, {});
  EXPECT_TRUE(plan.scale_in.empty());
  EXPECT_EQ(std::count(plan.cordon.begin(), plan.cordon.end(), "vm-3"), 0);
}

// Guards against draining the only machine with GPUs in favor of spot machines that have none.
TEST_F(WaitingTasksGetAMachineTest, GpusAreNotReplacedBySpotMachinesWithoutGpus) {
  input_.types[0].spot_price = 0.3;
  input_.types.push_back(input_.types[0]);
  input_.types[1].name = "no-gpus";
  input_.types[1].gpus = 0;
  AddMachine({.cpus = 8, .gpus = 1, .memory_gb = 64});
  for (int i = 1; i < 4; ++i) {
    AddMachine({.cpus = 32, .gpus = 0, .memory_gb = 0});
    input_.machines.back().type = "no-gpus";
    input_.machines.back().spot = true;
  }
  input_.demand.clear();
  EXPECT_TRUE(autoscaler::PlanScaling(input_, {.reserve = 1}).drain.empty());
}

// Guards against tasks that wait for ever, with the leader's own figures of its machines.
TEST_F(ScalingPlannerTest, AServiceWaitingForMemoryOrGpusGetsAMachine) {
  type_.gpus = 2;
  scheduler_.SetMachineTypes({type_});
  AddReadyMachine("vm-1", 0);
  for (const bool by_memory : {true, false}) {
    wire::JobSpec spec = Job(by_memory ? 1 : 2, 3, 1, wire::Priority::kCritical);
    spec.kind = wire::JobKind::kService;
    spec.spot_allowed = true;  // Otherwise capacity is reserved, too.
    spec.memory_gb = by_memory ? type_.memory_gb / 2 : 0;
    spec.gpus = by_memory ? 0 : 1;
    scheduler_.AddJob(spec, 11, 1);
    ASSERT_EQ(Starts(SendHeartbeat("vm-1", 2)).size(), 2u);
    const auto requests = scheduler_.PlanScaling(3).scale_out;
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_EQ(requests[0].count, 1);
    scheduler_.RemoveJob(spec.id, 3);
  }
}

// Guards against a gang that waits for ever (room in two zones together), with the leader's own
// figures, until the requested machine has booted.
TEST_F(ScalingPlannerTest, AGangForOneZoneGetsAMachineThere) {
  for (const char* zone : {"a", "b"}) AddMachineInZone(zone, zone, 0);
  wire::JobSpec gang = Job(1, 6, 1, wire::Priority::kNormal);
  gang.kind = wire::JobKind::kGang;
  gang.single_zone = true;
  scheduler_.AddJob(gang, 11, 1);
  scheduler_.Place(2);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 0u);
  const auto requests = scheduler_.PlanScaling(3).scale_out;
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].count, 1);
  AddMachineInZone("vm-new", requests[0].zone, 4);
  scheduler_.Place(5);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 6u);
}

}  // namespace
}  // namespace mosspath::scheduler
