// Golden paths of the HTTP interfaces. Users, agents, operators, the cloud and controllers of other
// versions depend on these paths, so they must not change.
#include <gtest/gtest.h>

#include "mosspath/service/http_paths.h"
#include "mosspath/service/peer_frame_sender.h"
#include "mosspath/wire/json.h"

namespace mosspath::service {
namespace {

TEST(GoldenPaths, Public) {
  EXPECT_EQ(paths::kAgentHeartbeat, "/v1/report");
  EXPECT_EQ(paths::kHealth, "/healthz");
  EXPECT_EQ(paths::kStatusPage, "/status");
  EXPECT_EQ(paths::kStatusJson, "/status.json");
  EXPECT_EQ(paths::kJobs, "/api/jobs");
  EXPECT_EQ(paths::kCancelSuffix, "/cancel");
}

TEST(GoldenPaths, Operators) {
  EXPECT_EQ(paths::kMetrics, "/metrics");
  EXPECT_EQ(paths::kOperatorSettings, "/admin/v1/settings");
}

TEST(GoldenPaths, BetweenControllers) {
  EXPECT_EQ(paths::kPeerHeartbeat, "/peer/v1/presence");
  EXPECT_EQ(paths::kPeerStatusSnapshot, "/peer/v1/digest");
  EXPECT_EQ(paths::kPeerPromise, "/peer/v1/vouch");
  EXPECT_EQ(paths::kPeerShardFrame, "/peer/v1/block");
  EXPECT_STREQ(kShardFramePath, "/peer/v1/block");
}

TEST(GoldenPaths, CloudAndAgents) {
  EXPECT_EQ(paths::kCloudMachineTypes, "/flavors");
  EXPECT_EQ(paths::kCloudMachines, "/hosts");
  EXPECT_EQ(paths::kCloudDeleteMachines, "/hosts/delete");
  EXPECT_EQ(wire::MachineListTarget("", 500), "/hosts?since=&most=500");
  EXPECT_EQ(paths::kAgentCommands, "/commands");
}

}  // namespace
}  // namespace mosspath::service
