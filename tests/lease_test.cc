// Tests of the failure detector between controllers, and of the backoff that delays repeated
// resignations of a leader.
#include <gtest/gtest.h>

#include "mosspath/election/failure_detector.h"
#include "mosspath/election/resignation_backoff.h"

namespace mosspath::election {
namespace {

config::Settings Settings() {
  config::Settings settings;
  settings.name = "hut-0";
  settings.zone = "a";
  settings.peers = {{"hut-1", "a", "x:1"}, {"hut-2", "b", "x:2"}};
  settings.heartbeat_s = 2;
  return settings;
}

wire::PeerHeartbeat HeartbeatFrom(const char* node, double state_ago_s, double other_ago_s) {
  wire::PeerHeartbeat heartbeat;
  heartbeat.node = node;
  heartbeat.state_ago_s = state_ago_s;
  heartbeat.cloud_ago_s = heartbeat.workers_ago_s = wire::kNeverS;
  heartbeat.peers = {{std::string(node) == "hut-1" ? "hut-2" : "hut-1", other_ago_s},
                     {"hut-0", 0.1}};
  return heartbeat;
}

TEST(PeerLivenessTest, ReportsLastContactAndUnreachableServicesOfEachController) {
  FailureDetector detector(Settings());
  EXPECT_FALSE(detector.IsSuspected("hut-1", 100));  // hut-1 has sent no heartbeat yet.
  detector.OnHeartbeat(HeartbeatFrom("hut-1", 0.1, 0.1), 100);
  detector.OnHeartbeat(HeartbeatFrom("hut-2", 30, 0.2), 100);
  detector.OnHeartbeat(HeartbeatFrom("hut-9", 0, 0), 100);  // not a controller of this cluster
  const wire::PeerHeartbeat own{"hut-0", true, 0.1, 0.1, 0.1, detector.PeerContacts(100)};
  auto states = detector.ControllerStates(own, 100);
  ASSERT_EQ(states.size(), 3u);
  EXPECT_TRUE(states[0].unreachable.empty());
  EXPECT_TRUE(states[1].unreachable.empty());
  EXPECT_EQ(states[2].unreachable, std::vector<std::string>{"state service"});
  EXPECT_DOUBLE_EQ(detector.state_contact().value(), 99.9);
  // This controller no longer receives heartbeats of hut-1, but hut-2 still does.
  detector.OnHeartbeat(HeartbeatFrom("hut-2", 0.1, 0.5), 110);
  EXPECT_TRUE(detector.IsSuspected("hut-1", 110));
  EXPECT_FALSE(detector.IsSuspected("hut-2", 110));
  states = detector.ControllerStates(own, 110);
  EXPECT_EQ(states[1].heard_by, "hut-2");
  EXPECT_DOUBLE_EQ(states[1].heard_ago_s, 0.5);
  EXPECT_EQ(states[1].unreachable, std::vector<std::string>{"word from it here"});
}

TEST(PeerLivenessTest, AProcessStallRaisesNoSuspicion) {
  FailureDetector detector(Settings());
  detector.OnHeartbeat(HeartbeatFrom("hut-1", 0.1, 0.1), 100);
  detector.OnHeartbeat(HeartbeatFrom("hut-2", 0.1, 0.1), 90);
  detector.OnProcessStall(100.2, 130);
  EXPECT_FALSE(detector.IsSuspected("hut-1", 130.1));
  EXPECT_TRUE(detector.IsSuspected("hut-2", 130.1));  // hut-2 was silent before.
}

// A controller that can't reach the key-value store and its peers may still be reachable for agents
// and users. The load balancer must then route users to the other controllers.
TEST(PeerLivenessTest, AnIsolatedControllerRedirectsUsers) {
  FailureDetector detector(Settings());
  constexpr double kContactTimeoutS = 5;
  EXPECT_TRUE(detector.ShouldServeUsers(100, kContactTimeoutS, 104));
  // The key-value store is down for all controllers, according to the heartbeats of the peers.
  detector.OnHeartbeat(HeartbeatFrom("hut-1", 0.1, 0.1), 100);
  detector.OnHeartbeat(HeartbeatFrom("hut-2", 0.1, 0.1), 100);
  detector.OnHeartbeat(HeartbeatFrom("hut-1", 10, 0.1), 110);
  EXPECT_TRUE(detector.ShouldServeUsers(100, kContactTimeoutS, 110));
  // Only this controller is cut off from the key-value store.
  detector.OnHeartbeat(HeartbeatFrom("hut-1", 0.1, 0.1), 110.2);
  EXPECT_FALSE(detector.ShouldServeUsers(100, kContactTimeoutS, 110.2));
  // This controller reaches the key-value store again at 111. It then loses contact with the
  // key-value store and with both peers. It is not isolated before heartbeats of the peers are
  // overdue.
  detector.OnHeartbeat(HeartbeatFrom("hut-2", 0.1, 0.1), 111);
  EXPECT_TRUE(detector.ShouldServeUsers(111, kContactTimeoutS, 112));
  EXPECT_FALSE(detector.IsIsolated(112));
  EXPECT_TRUE(detector.IsIsolated(120));
  EXPECT_FALSE(detector.ShouldServeUsers(111, kContactTimeoutS, 120));
  // A controller that reaches the key-value store serves users, also without contact to its peers.
  EXPECT_TRUE(detector.ShouldServeUsers(120, kContactTimeoutS, 121));
  // Without the key-value store, a controller serves users if a peer that it reaches can't reach
  // the key-value store either.
  detector.OnHeartbeat(HeartbeatFrom("hut-1", 30, 0.1), 125);
  EXPECT_TRUE(detector.ShouldServeUsers(113, kContactTimeoutS, 125));
}

// Without a backoff, two controllers that can reach no agent pass the leadership back and forth.
TEST(LeaderTenureTest, RepeatedResignationsBackOff) {
  ResignationBackoff backoff(3, 26);
  EXPECT_TRUE(backoff.MayResign(1000));
  double now = 1000;
  double term_s = 0;
  for (int i = 0; i < 8; ++i) {
    backoff.OnResigned(now);
    backoff.OnElected(now + 0.1);
    double until = now + 0.1;
    while (!backoff.MayResign(until)) until += 0.1;
    EXPECT_GE(until - now + 0.2, term_s);
    term_s = until - now;
    now = until;
  }
  EXPECT_GT(term_s, 25);
  EXPECT_TRUE(backoff.MayResign(now + 4 * 26 + 1));
}

}  // namespace
}  // namespace mosspath::election
