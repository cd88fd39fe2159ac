// Agents whose heartbeats arrive while nothing reaches them, or the other way round.
#include <gtest/gtest.h>

#include <string>

#include "scheduler_fixture.h"

namespace mosspath::scheduler {
namespace {

// Its reports reach nobody, while it takes direct orders and answers them. Each answer made it look
// well, so work was given to it until its lease ended, and died with it.
TEST_F(DeafTest, AMachineThatReachesNobodyTakesNoWork) {
  Ready("vm-1", 0);
  double now = 0.5;
  uint64_t seq = 100;
  double last_start = 0;
  for (int job = 1; now < settings_.agent_lease_s - 0.5; now += 0.5) {
    if (d_.Counts("req-" + std::to_string(job - 1)).running == 0) {
      d_.AddJob(Job(job, 1, 1, wire::Priority::kHigh), 11, now);
      ++job;
    }
    d_.Tick(now);
    for (const CommandBatch& o : d_.TakeCommands(now)) {
      // Each task is done by the time of the answer.
      wire::Heartbeat r = Written("vm-1", 1);
      r.sequence = ++seq;
      for (const auto& c : o.commands) {
        last_start = now;
        r.tasks.push_back(
            {c.task, c.attempt, wire::TaskState::kExited, wire::ExitReason::kSucceeded, false});
      }
      d_.OnCommandOutcome(o, CommandOutcome::kExecuted, &r, now);
    }
  }
  EXPECT_GT(last_start, 0);
  EXPECT_LT(last_start, settings_.agent_lease_s / 2);
  EXPECT_FALSE(Usable("vm-1", now));
  // It is well again with its next report.
  seq_["vm-1"] = seq;
  Report("vm-1", now);
  EXPECT_TRUE(Usable("vm-1", now));
}

// Its reports kept a successor from starting anything of earlier jobs for as long as they came.
TEST_F(DeafTest, ATakeoverDoesNotWaitForIt) {
  wire::Json record = wire::Json::object();
  for (int i = 0; i < 20; ++i) record["vm-" + std::to_string(100 + i)] = "a:1";
  d_.LoadMachinesPack(0, record, 1);
  for (int i = 5; i < 20; ++i) Report("vm-" + std::to_string(100 + i), 1);
  double now = 1;
  uint64_t session = 1;
  while (now < 1 + derived_.agent_lease_over_s) {
    // Its lease ends again and again.
    if (now > static_cast<double>(session) * settings_.agent_lease_s) ++session;
    for (int i = 0; i < 5; ++i) {
      EXPECT_TRUE(Deaf("vm-" + std::to_string(100 + i), now, session, 3).accepted);
    }
    d_.Tick(now);
    EXPECT_FALSE(Returns("vm-100", now)) << now;  // many, and it may hear yet
    now += settings_.heartbeat_s;
  }
  EXPECT_FALSE(d_.recovery_complete());
  for (int i = 0; i < 5; ++i) {
    const std::string id = "vm-" + std::to_string(100 + i);
    EXPECT_TRUE(Returns(id, now + 1));
    d_.OnMachineDeleted(id, now + 1);
  }
  EXPECT_TRUE(d_.recovery_complete());
}

TEST_F(DeafTest, OneOfManyIsGivenUpSooner) {
  wire::Json record = wire::Json::object();
  for (int i = 0; i < 40; ++i) record["vm-" + std::to_string(100 + i)] = "a:1";
  d_.LoadMachinesPack(0, record, 1);
  for (int i = 1; i < 40; ++i) Report("vm-" + std::to_string(100 + i), 1);
  Deaf("vm-100", 1, 1, 3);
  EXPECT_FALSE(Returns("vm-100", derived_.agent_suspect_s));
  Deaf("vm-100", derived_.agent_suspect_s, 1, 3);
  EXPECT_TRUE(Returns("vm-100", derived_.agent_suspect_s + 1.1));
}

// What it is told has no effect, again: no new work until it has shown that it hears.
TEST_F(DeafTest, ItTakesNoWorkUntilItShowsAHigherToken) {
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 4, 1, wire::Priority::kNormal), 11, 0);
  EXPECT_EQ(Only(Report("vm-1", 1), wire::CommandType::kStart).size(), 4u);
  EXPECT_EQ(Only(Report("vm-1", 3), wire::CommandType::kStart).size(),
            4u);  // one answer may be lost
  EXPECT_TRUE(Usable("vm-1", 3));
  Report("vm-1", 5);
  d_.Tick(5);
  d_.OnRecordsWritten(20, 5);
  d_.Tick(5.1);  // under a higher token from here on
  const uint64_t token = d_.machines().at("vm-1").fencing_token;
  EXPECT_GT(token, 10u);
  for (const double now : {7.0, 9.0, 11.0}) {
    const auto a = Report("vm-1", now);
    EXPECT_TRUE(a.accepted);
    EXPECT_EQ(a.token, token);
    EXPECT_TRUE(a.commands.empty());
    EXPECT_FALSE(Usable("vm-1", now));
  }
  EXPECT_EQ(d_.Counts("req-1").running, 0u);  // what waited for it may go elsewhere
  Report("vm-1", 13, {}, token);
  EXPECT_TRUE(Usable("vm-1", 13));
  EXPECT_EQ(Only(Report("vm-1", 14, {}, token), wire::CommandType::kStart).size(), 4u);
}

TEST_F(DeafTest, OneEffectOfManyCommandsIsEnough) {
  Ready("vm-1", 0);
  d_.AddJob(Job(1, 4, 1, wire::Priority::kNormal), 11, 0);
  for (const double now : {1.0, 3.0, 5.0, 7.0}) {
    const auto starts = Only(Report("vm-1", now), wire::CommandType::kStart);
    if (starts.empty()) continue;
    // One is taken and ends in error at once, the others are lost.
    Report("vm-1", now + 1,
           {{starts[0].task, starts[0].attempt, wire::TaskState::kExited,
             wire::ExitReason::kInsufficientResources, false}});
    d_.Tick(now + 1);
  }
  EXPECT_EQ(d_.machines().at("vm-1").unheeded_token, 0u);
}

// Answered all along, and yet its lease ended.
TEST_F(DeafTest, ASessionThatShouldNotHaveEndedIsEvidence) {
  Ready("vm-1", 0);
  for (double now = 2; now < 22; now += 2) Report("vm-1", now);
  Deaf("vm-1", 22, 2, 10);
  EXPECT_EQ(d_.machines().at("vm-1").unheeded_token, 10u);
}

// Not only its list: a late copy of a report changes nothing at all.
TEST_F(DeafTest, ALateCopyChangesNothing) {
  Ready("vm-1", 0);
  wire::Heartbeat copy = Written("vm-1", 1);
  Report("vm-1", 2);
  const cluster::Machine before = d_.machines().at("vm-1");
  copy.address = "10.0.0.7:1";
  copy.reclaim_notice_s = 5;
  copy.tasks = {{{"req-1", 0}, 77, wire::TaskState::kRunning, wire::ExitReason::kNone, false}};
  EXPECT_FALSE(d_.OnHeartbeat(copy, 30).accepted);
  const cluster::Machine& after = d_.machines().at("vm-1");
  EXPECT_EQ(after.address, before.address);
  EXPECT_EQ(after.last_contact_at, before.last_contact_at);
  EXPECT_EQ(after.lease_renewed_at, before.lease_renewed_at);
  EXPECT_FALSE(after.reclaim_at);
  EXPECT_TRUE(after.allocations.empty());
}

// Copies of what machines that are long gone told an earlier leader make this one neither wait for
// them nor believe that it is cut off.
TEST_F(DeafTest, CopiesForANewLeaderAreNobody) {
  for (int i = 0; i < 4; ++i) Report("vm-" + std::to_string(i), 1);
  for (int i = 10; i < 40; ++i) Deaf("vm-" + std::to_string(i), 1.5, 4, 7);
  for (double now = 3; now < 6; now += 2) {
    for (int i = 0; i < 4; ++i) Report("vm-" + std::to_string(i), now);
    EXPECT_FALSE(d_.IsPartitionedFromAgents(now));
  }
  EXPECT_FALSE(Usable("vm-10", 2));
  EXPECT_TRUE(d_.recovery_complete());
}

}  // namespace
}  // namespace mosspath::scheduler
