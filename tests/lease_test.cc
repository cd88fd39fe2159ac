#include <gtest/gtest.h>

#include "mosspath/election/failure_detector.h"
#include "mosspath/election/resignation_backoff.h"

namespace mosspath::election {
namespace {

config::Settings Settings() {
  config::Settings s;
  s.name = "hut-0";
  s.zone = "a";
  s.peers = {{"hut-1", "a", "x:1"}, {"hut-2", "b", "x:2"}};
  s.heartbeat_s = 2;
  return s;
}

wire::PeerHeartbeat Says(const char* node, double state_ago_s, double other_ago_s) {
  wire::PeerHeartbeat p;
  p.node = node;
  p.state_ago_s = state_ago_s;
  p.cloud_ago_s = p.workers_ago_s = wire::kNeverS;
  p.peers = {{std::string(node) == "hut-1" ? "hut-2" : "hut-1", other_ago_s}, {"hut-0", 0.1}};
  return p;
}

TEST(Liveness, SaysWhoWasHeardWhenByWhomAndWhatItLacks) {
  FailureDetector l(Settings());
  EXPECT_FALSE(l.IsSuspected("hut-1", 100));  // never heard: proves nothing
  l.OnHeartbeat(Says("hut-1", 0.1, 0.1), 100);
  l.OnHeartbeat(Says("hut-2", 30, 0.2), 100);
  l.OnHeartbeat(Says("hut-9", 0, 0), 100);  // nobody of ours
  const wire::PeerHeartbeat own{"hut-0", true, 0.1, 0.1, 0.1, l.PeerContacts(100)};
  auto states = l.ControllerStates(own, 100);
  ASSERT_EQ(states.size(), 3u);
  EXPECT_TRUE(states[0].unreachable.empty());
  EXPECT_TRUE(states[1].unreachable.empty());
  EXPECT_EQ(states[2].unreachable, std::vector<std::string>{"state service"});
  EXPECT_DOUBLE_EQ(l.state_contact().value(), 99.9);
  // hut-1 falls silent here, but hut-2 still hears it.
  l.OnHeartbeat(Says("hut-2", 0.1, 0.5), 110);
  EXPECT_TRUE(l.IsSuspected("hut-1", 110));
  EXPECT_FALSE(l.IsSuspected("hut-2", 110));
  states = l.ControllerStates(own, 110);
  EXPECT_EQ(states[1].heard_by, "hut-2");
  EXPECT_DOUBLE_EQ(states[1].heard_ago_s, 0.5);
  EXPECT_EQ(states[1].unreachable, std::vector<std::string>{"word from it here"});
}

TEST(Liveness, ItsOwnPauseMakesNobodySilent) {
  FailureDetector l(Settings());
  l.OnHeartbeat(Says("hut-1", 0.1, 0.1), 100);
  l.OnHeartbeat(Says("hut-2", 0.1, 0.1), 90);
  l.OnProcessStall(100.2, 130);
  EXPECT_FALSE(l.IsSuspected("hut-1", 130.1));
  EXPECT_TRUE(l.IsSuspected("hut-2", 130.1));  // was silent before
}

// One that has lost the state service and the other controllers, but not its workers and users.
TEST(Liveness, UsersAreSentToWhoCanServeThem) {
  FailureDetector l(Settings());
  constexpr double kPatience = 5;
  EXPECT_TRUE(l.ShouldServeUsers(100, kPatience, 104));
  // An outage that all have, as far as is known.
  l.OnHeartbeat(Says("hut-1", 0.1, 0.1), 100);
  l.OnHeartbeat(Says("hut-2", 0.1, 0.1), 100);
  l.OnHeartbeat(Says("hut-1", 10, 0.1), 110);
  EXPECT_TRUE(l.ShouldServeUsers(100, kPatience, 110));
  // Refused alone.
  l.OnHeartbeat(Says("hut-1", 0.1, 0.1), 110.2);
  EXPECT_FALSE(l.ShouldServeUsers(100, kPatience, 110.2));
  // Back, and then cut off from all at once: not before the others would be heard of.
  l.OnHeartbeat(Says("hut-2", 0.1, 0.1), 111);
  EXPECT_TRUE(l.ShouldServeUsers(111, kPatience, 112));
  EXPECT_FALSE(l.IsIsolated(112));
  EXPECT_TRUE(l.IsIsolated(120));
  EXPECT_FALSE(l.ShouldServeUsers(111, kPatience, 120));
  // The state service answers: nothing else is needed.
  EXPECT_TRUE(l.ShouldServeUsers(120, kPatience, 121));
  // Or one of the others is there, with the same outage.
  l.OnHeartbeat(Says("hut-1", 30, 0.1), 125);
  EXPECT_TRUE(l.ShouldServeUsers(113, kPatience, 125));
}

// Two controllers that could reach no worker passed the leadership to each other all the time.
TEST(Reluctance, LeadersThatCanDoNothingStayEverLonger) {
  ResignationBackoff r(3, 26);
  EXPECT_TRUE(r.MayResign(1000));
  double now = 1000;
  double stay = 0;
  for (int i = 0; i < 8; ++i) {
    r.OnResigned(now);
    r.OnElected(now + 0.1);
    double until = now + 0.1;
    while (!r.MayResign(until)) until += 0.1;
    EXPECT_GE(until - now + 0.2, stay);
    stay = until - now;
    now = until;
  }
  EXPECT_GT(stay, 25);
  EXPECT_TRUE(r.MayResign(now + 4 * 26 + 1));
}

}  // namespace
}  // namespace mosspath::election
