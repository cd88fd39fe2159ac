// Tests of the on-demand machine capacity that the scheduler reserves for urgent jobs.
#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

using CapacityReservationTest = SchedulerTest;

// Guards against delayed services: array jobs that may run on spot machines filled all on-demand
// machines. Services that may run only on on-demand machines then waited for a minute.
TEST_F(CapacityReservationTest, CapacityIsReservedForUrgentJobsThatMayNotUseSpotMachines) {
  AddReadyMachine("vm-1", 0);
  AddReadyMachine("vm-2", 0);
  scheduler_.AddJob(Job(1, 2, 1, wire::Priority::kHigh), 11, 1);
  wire::JobSpec flexible = Job(2, 20, 1, wire::Priority::kNormal);
  flexible.spot_allowed = true;
  scheduler_.AddJob(flexible, 12, 1);
  const auto starts = [&](double now) {
    return Starts(SendHeartbeat("vm-1", now)).size() + Starts(SendHeartbeat("vm-2", now)).size();
  };
  // The urgent job uses two of the eight CPUs. The scheduler reserves two more CPUs for the next
  // urgent job.
  EXPECT_EQ(starts(2), 6u);
  EXPECT_EQ(scheduler_.Counts("req-1").running, 2u);
  // The next urgent job uses the reserved CPUs.
  scheduler_.AddJob(Job(3, 2, 1, wire::Priority::kHigh), 13, 3);
  EXPECT_EQ(starts(3.5), 2u);
  EXPECT_EQ(scheduler_.Counts("req-3").running, 2u);
}

TEST_F(CapacityReservationTest, TheReservationLastsForOneMachineBoot) {
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 11, 1);
  wire::JobSpec flexible = Job(2, 20, 1, wire::Priority::kNormal);
  flexible.spot_allowed = true;
  scheduler_.AddJob(flexible, 12, 1);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 2)).size(), 3u);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 1.5 + type_.boot_s)).size(), 1u);
}

TEST_F(CapacityReservationTest, ReservationAndFirstTaskShareCanBeTurnedOff) {
  config::OperatorSettings off;
  off.ordinary_boots = 0;
  off.begin_share = 0;
  scheduler_.Apply(off);
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 11, 1);
  wire::JobSpec flexible = Job(2, 20, 1, wire::Priority::kNormal);
  flexible.spot_allowed = true;
  scheduler_.AddJob(flexible, 12, 1);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 2)).size(), 4u);
  scheduler_.AddJob(Job(3, 40, 1, wire::Priority::kHigh), 13, 3);
  scheduler_.AddJob(Job(4, 2, 1, wire::Priority::kLow), 14, 3);
  SendHeartbeat("vm-1", 200);
  EXPECT_EQ(scheduler_.Counts("req-4").running, 0u);
}

// The scheduler rents machines for the reserved capacity before an urgent job needs that capacity,
// and keeps the machines while the reservation lasts.
TEST_F(CapacityReservationTest, OnDemandMachinesAreKeptForTheNextUrgentJob) {
  type_.spot_price = 0.3;
  scheduler_.SetMachineTypes({type_});
  AddReadyMachine("vm-1", 0);
  scheduler_.AddJob(Job(1, 4, 1, wire::Priority::kHigh), 11, 1);
  EXPECT_EQ(Starts(SendHeartbeat("vm-1", 2)).size(), 4u);
  const auto plan = scheduler_.PlanScaling(2);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_FALSE(plan.scale_out[0].spot);
  EXPECT_EQ(plan.scale_out[0].count, 1);
  AddReadyMachine("vm-2", 3);
  EXPECT_TRUE(scheduler_.PlanScaling(4).scale_in.empty());
  SendHeartbeat("vm-2", 2 * type_.boot_s);
  // No urgent job has arrived recently, so the reservation has ended.
  const auto later = scheduler_.PlanScaling(2 + 2 * type_.boot_s).scale_in;
  EXPECT_NE(std::find(later.begin(), later.end(), "vm-2"), later.end());
}

}  // namespace
}  // namespace mosspath::scheduler
