// Tests which tasks preemption stops, and on which machines, in small fixed clusters.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "builders.h"
#include "mosspath/scheduler/victim_selection.h"

namespace mosspath::scheduler {
namespace {

using cluster::Machine;

constexpr double kNow = 200;

// Tasks of the low-priority job "low" run on the machines.
class PreemptionVictimsTest : public ::testing::Test {
 protected:
  PreemptionVictimsTest()
      : settings_(test::SchedulerSettings()),
        derived_(settings_),
        state_(settings_, derived_),
        filter_(settings_, reservation_),
        fair_share_(settings_.teams) {
    state_.jobs["low"] = std::make_unique<jobs::Job>(test::MakeJobSpec("low", "t", 100, 1), 1, 0);
    wire::MachineType type = test::BoxType(/*cpus=*/4, /*memory_gb=*/16);
    type.boot_s = 10;
    types_.Set({type});
  }

  Machine& AddMachine(const std::string& id, double cpus) {
    Machine& machine = state_.machines[id];
    machine.id = id;
    machine.type = "box";
    machine.zone = "a";
    machine.cpus = cpus;
    machine.RequireToken(1);
    machine.token_confirmed = true;
    machine.lease_renewed_at = machine.last_contact_at = kNow;
    return machine;
  }

  // Adds a running task. The sooner it started, the more work it loses when it is stopped.
  void AddTask(Machine& machine, double cpus, double running_since) {
    cluster::Allocation allocation;
    allocation.state = cluster::Allocation::State::kReported;
    allocation.running_since = running_since;
    allocation.cpus = cpus;
    machine.used_cpus += cpus;
    machine.allocations[{{"low", task_count_++}, 1}] = allocation;
  }

  void BeginPass(const Machine& on_demand) {
    reservation_.BeginPass(kNow, types_);
    reservation_.AddMachine(on_demand);
  }

  static wire::JobSpec UrgentSpec(double cpus) {
    wire::JobSpec spec = test::MakeJobSpec("urgent", "t", /*tasks=*/1, cpus);
    spec.priority = wire::Priority::kCritical;
    return spec;
  }

  // Returns the tasks that are stopped for one task of a job.
  std::vector<Victim> VictimsFor(const wire::JobSpec& spec) {
    const jobs::Job job(spec, 1, 0);
    PreemptionTargets targets(state_, kNow);
    std::vector<Victim> victims;
    const auto result =
        VictimSelection(targets, filter_, fair_share_, job, kNow).MakeRoom(/*tasks=*/1);
    for (const Victim* victim : result.victims) victims.push_back(*victim);
    return victims;
  }

  config::Settings settings_;
  config::DerivedSettings derived_;
  cluster::ClusterState state_;
  cluster::MachineTypeCatalog types_;
  CapacityReservation reservation_;
  MachineFilter filter_;
  FairShare fair_share_;
  uint32_t task_count_ = 0;
};

TEST_F(PreemptionVictimsTest, NothingIsStoppedOnADrainingMachine) {
  Machine& machine = AddMachine("vm-1", 4);
  AddTask(machine, 4, /*running_since=*/100);
  EXPECT_EQ(VictimsFor(UrgentSpec(2)).size(), 1u);
  machine.draining = true;
  EXPECT_TRUE(VictimsFor(UrgentSpec(2)).empty());
}

TEST_F(PreemptionVictimsTest, ReservedFreeRoomIsNotClaimed) {
  const Machine& on_demand = AddMachine("vm-1", 4);
  Machine& spot = AddMachine("vm-2", 4);
  spot.spot = true;
  AddTask(spot, 4, /*running_since=*/100);
  wire::JobSpec flexible = UrgentSpec(1);
  flexible.spot_allowed = true;
  BeginPass(on_demand);
  EXPECT_TRUE(VictimsFor(flexible).empty());
  reservation_.OnSubmitted(UrgentSpec(4), kNow - 1);
  BeginPass(on_demand);
  const auto victims = VictimsFor(flexible);
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].machine->id, "vm-2");
}

TEST_F(PreemptionVictimsTest, ATaskWhoseStopIsNotNeededRunsOn) {
  Machine& machine = AddMachine("vm-1", 3);
  AddTask(machine, 1, /*running_since=*/199);
  AddTask(machine, 2, /*running_since=*/100);
  const auto victims = VictimsFor(UrgentSpec(2));
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims[0].allocation->cpus, 2);
}

}  // namespace
}  // namespace mosspath::scheduler
