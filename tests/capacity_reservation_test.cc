// Capacity that is kept free on ordinary machines for urgent work.
#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// Services that may run on ordinary machines alone waited for a minute while arrays, which had
// cheap machines too, filled whatever room there was on ordinary ones.
TEST_F(DispatcherTest, RoomIsKeptForUrgentWorkThatMayUseNoCheapMachine) {
  Ready("vm-1", 0);
  Ready("vm-2", 0);
  d_.AddJob(Job(1, 2, 1, wire::Priority::kHigh), 11, 1);
  wire::JobSpec flexible = Job(2, 20, 1, wire::Priority::kNormal);
  flexible.spot_allowed = true;
  d_.AddJob(flexible, 12, 1);
  const auto starts = [&](double now) {
    return Only(Report("vm-1", now), wire::CommandType::kStart).size() +
           Only(Report("vm-2", now), wire::CommandType::kStart).size();
  };
  // Of eight CPUs two for the urgent one, and two for the next of its kind.
  EXPECT_EQ(starts(2), 6u);
  EXPECT_EQ(d_.Counts("req-1").running, 2u);
  // It comes, and finds them.
  d_.AddJob(Job(3, 2, 1, wire::Priority::kHigh), 13, 3);
  EXPECT_EQ(starts(3.5), 2u);
  EXPECT_EQ(d_.Counts("req-3").running, 2u);
}

TEST_F(DispatcherTest, RoomIsKeptOnlyForAsLongAsAMachineTakesToBoot) {
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 11, 1);
  wire::JobSpec flexible = Job(2, 20, 1, wire::Priority::kNormal);
  flexible.spot_allowed = true;
  d_.AddJob(flexible, 12, 1);
  EXPECT_EQ(Only(Report("vm-1", 2), wire::CommandType::kStart).size(), 3u);
  EXPECT_EQ(Only(Report("vm-1", 1.5 + d_type_.boot_s), wire::CommandType::kStart).size(), 1u);
}

TEST_F(DispatcherTest, BothCanBeTurnedOff) {
  config::OperatorSettings off;
  off.ordinary_boots = 0;
  off.begin_share = 0;
  d_.Apply(off);
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 1, 1, wire::Priority::kHigh), 11, 1);
  wire::JobSpec flexible = Job(2, 20, 1, wire::Priority::kNormal);
  flexible.spot_allowed = true;
  d_.AddJob(flexible, 12, 1);
  EXPECT_EQ(Only(Report("vm-1", 2), wire::CommandType::kStart).size(), 4u);
  d_.AddJob(Job(3, 40, 1, wire::Priority::kHigh), 13, 3);
  d_.AddJob(Job(4, 2, 1, wire::Priority::kLow), 14, 3);
  Report("vm-1", 200);
  EXPECT_EQ(d_.Counts("req-4").running, 0u);
}

// What is kept is rented ahead of what it is for, and not returned.
TEST_F(DispatcherTest, OrdinaryMachinesStandReadyForTheNextUrgentWork) {
  d_type_.spot_price = 0.3;
  d_.SetMachineTypes({d_type_});
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 4, 1, wire::Priority::kHigh), 11, 1);
  EXPECT_EQ(Only(Report("vm-1", 2), wire::CommandType::kStart).size(), 4u);
  const auto plan = d_.PlanScaling(2);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_FALSE(plan.scale_out[0].spot);
  EXPECT_EQ(plan.scale_out[0].count, 1);
  Ready("vm-2", 3);
  EXPECT_TRUE(d_.PlanScaling(4).scale_in.empty());
  Report("vm-2", 2 * d_type_.boot_s);
  const auto later = d_.PlanScaling(2 + 2 * d_type_.boot_s).scale_in;  // none came lately
  EXPECT_NE(std::find(later.begin(), later.end(), "vm-2"), later.end());
}

}  // namespace
}  // namespace mosspath::scheduler
