// Tests that jobs are rejected for good if and only if they can never run.
#include "mosspath/admission/runnable.h"

#include <gtest/gtest.h>

namespace mosspath::admission {
namespace {

class RunnableTest : public ::testing::Test {
 protected:
  RunnableTest() {
    wire::MachineType small;
    small.name = "small";
    small.cpus = 8;
    small.memory_gb = 32;
    small.zones = {"a", "b"};
    wire::MachineType large = small;
    large.name = "large";
    large.cpus = 64;
    large.gpus = 4;
    large.zones = {"b"};
    types_ = {small, large};
    teams_ = {{"free", 0, 0, 0, 0}, {"tight", 0, 10, 0, 2}};
    spec_.team = "free";
    spec_.tasks = 9;
    spec_.cpus = 2;
    spec_.memory_gb = 1;
  }
  bool IsRunnable() const { return ReasonNeverRunnable(spec_, teams_, types_).empty(); }
  void MakeService() { spec_.kind = wire::JobKind::kService; }

  std::vector<config::Team> teams_;
  std::vector<wire::MachineType> types_;
  wire::JobSpec spec_;
};

TEST_F(RunnableTest, ATaskMustFitAnAllowedTypeInAnAllowedZone) {
  EXPECT_TRUE(IsRunnable());
  spec_.cpus = 9;
  EXPECT_TRUE(IsRunnable());
  spec_.zone = "a";  // Zone "a" has only small machines.
  EXPECT_FALSE(IsRunnable());
  spec_.cpus = 8;
  EXPECT_TRUE(IsRunnable());
  spec_.zone = "nowhere";
  EXPECT_FALSE(IsRunnable());
  spec_.zone.reset();
  spec_.types = std::vector<std::string>{"no-such-type"};
  EXPECT_FALSE(IsRunnable());
  spec_.types->push_back("small");
  EXPECT_TRUE(IsRunnable());
  spec_.types->clear();
  EXPECT_FALSE(IsRunnable());
  spec_.types.reset();
  spec_.memory_gb = 33;
  EXPECT_FALSE(IsRunnable());
  spec_.memory_gb = 1;
  spec_.team = "no-such-team";
  EXPECT_FALSE(IsRunnable());
}

TEST_F(RunnableTest, AQuotaMustHoldOneTaskOrAllReplicas) {
  spec_.team = "tight";
  EXPECT_TRUE(IsRunnable());  // An array job may run a few tasks at a time.
  spec_.cpus = 11;
  EXPECT_FALSE(IsRunnable());
  spec_.cpus = 2;
  MakeService();
  EXPECT_FALSE(IsRunnable());
  spec_.tasks = 5;
  EXPECT_TRUE(IsRunnable());
  spec_.gpus = 1;
  EXPECT_FALSE(IsRunnable());
}

// At most half of the replicas, rounded up, may be in one zone, and all replicas of a service must
// run at once.
TEST_F(RunnableTest, SpreadReplicasNeedTwoZones) {
  spec_.spread_over_zones = true;
  spec_.zone = "b";
  EXPECT_TRUE(IsRunnable());  // An array job may run a few tasks at a time.
  MakeService();
  EXPECT_FALSE(IsRunnable());
  spec_.zone.reset();
  EXPECT_TRUE(IsRunnable());
  spec_.single_zone = true;
  EXPECT_FALSE(IsRunnable());
  spec_.tasks = 1;
  EXPECT_TRUE(IsRunnable());
  spec_.single_zone = false;
  spec_.tasks = 2;
  spec_.cpus = 9;  // Only one zone has machines for 9 CPUs.
  EXPECT_FALSE(IsRunnable());
}

}  // namespace
}  // namespace mosspath::admission
