// What is refused for good: nothing that could run, and everything that never can.
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
    s_.team = "free";
    s_.tasks = 9;
    s_.cpus = 2;
    s_.memory_gb = 1;
  }
  bool Runs() const { return ReasonNeverRunnable(s_, teams_, types_).empty(); }
  void Service() { s_.kind = wire::JobKind::kService; }

  std::vector<config::Team> teams_;
  std::vector<wire::MachineType> types_;
  wire::JobSpec s_;
};

TEST_F(RunnableTest, ATaskMustFitAnAllowedTypeInAnAllowedZone) {
  EXPECT_TRUE(Runs());
  s_.cpus = 9;
  EXPECT_TRUE(Runs());
  s_.zone = "a";  // where only small ones are
  EXPECT_FALSE(Runs());
  s_.cpus = 8;
  EXPECT_TRUE(Runs());
  s_.zone = "nowhere";
  EXPECT_FALSE(Runs());
  s_.zone.reset();
  s_.types = std::vector<std::string>{"no-such-type"};
  EXPECT_FALSE(Runs());
  s_.types->push_back("small");
  EXPECT_TRUE(Runs());
  s_.types->clear();
  EXPECT_FALSE(Runs());
  s_.types.reset();
  s_.memory_gb = 33;
  EXPECT_FALSE(Runs());
  s_.memory_gb = 1;
  s_.team = "strangers";
  EXPECT_FALSE(Runs());
}

TEST_F(RunnableTest, ALimitHoldsOneTaskOrAllReplicas) {
  s_.team = "tight";
  EXPECT_TRUE(Runs());  // a few at a time
  s_.cpus = 11;
  EXPECT_FALSE(Runs());
  s_.cpus = 2;
  Service();
  EXPECT_FALSE(Runs());
  s_.tasks = 5;
  EXPECT_TRUE(Runs());
  s_.gpus = 1;
  EXPECT_FALSE(Runs());
}

// Half of them, rounded up, may be in one zone; replicas are up all at once, or not served.
TEST_F(RunnableTest, ReplicasThatMustBeApartNeedTwoZones) {
  s_.spread_over_zones = true;
  s_.zone = "b";
  EXPECT_TRUE(Runs());  // an array runs a few at a time
  Service();
  EXPECT_FALSE(Runs());
  s_.zone.reset();
  EXPECT_TRUE(Runs());
  s_.single_zone = true;
  EXPECT_FALSE(Runs());
  s_.tasks = 1;
  EXPECT_TRUE(Runs());
  s_.single_zone = false;
  s_.tasks = 2;
  s_.cpus = 9;  // large ones are in one zone only
  EXPECT_FALSE(Runs());
}

}  // namespace
}  // namespace mosspath::admission
