// End-to-end tests of crashed controllers, lost leaders and outages of the key-value store (see
// loopback_fixture.h).
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "loopback_fixture.h"

namespace mosspath {
namespace {

using nlohmann::json;

TEST_F(Loopback, JobsRunAndStayDoneThroughACrash) {
  EXPECT_EQ(Request(0, "POST", "/api/jobs", Job("req-000001", 20).dump()).first, 201);
  EXPECT_EQ(Request(1, "POST", "/api/jobs", Job("req-000001", 20).dump()).first, 200);
  EXPECT_TRUE(WaitUntil([&] { return JobStage(0, "req-000001") == "done"; }));
  EXPECT_TRUE(WaitUntil([&] { return JobStage(1, "req-000001") == "done"; }));
  EXPECT_EQ(Request(1, "POST", "/api/jobs/req-000001/cancel").second.value("stage", ""), "done");

  EXPECT_EQ(Request(1, "POST", "/api/jobs", Job("req-000002", 40).dump()).first, 201);
  Kill(0);
  Start(0);
  EXPECT_TRUE(WaitUntil([&] { return JobStage(0, "req-000002") == "done"; }));
  EXPECT_EQ(JobStage(0, "req-000001"), "done");
  EXPECT_EQ(JobStage(1, "req-999999"), "404");
}

// One team fills its whole budget while the controllers crash one after the other. Jobs that
// another team submits meanwhile must be accepted and run to completion. No accepted job may be
// lost.
TEST_F(Loopback, AFloodLeavesBudgetToAnotherTeamThroughCrashes) {
  int accepted_flood_jobs = 0;
  const auto submit_flood_job = [&](int node) {
    const std::string id = "req-001" + std::to_string(100 + accepted_flood_jobs);
    const auto answer = Request(node, "POST", "/api/jobs", Job(id, 99'999).dump());
    accepted_flood_jobs += answer.first == 201 ? 1 : 0;
    return answer;
  };
  // A controller also refuses a job while the jobs that it has just accepted are not visible yet.
  const auto is_refused_for_budget = [](const std::pair<int, json>& answer) {
    return answer.first == 429 &&
           answer.second.value("error", "").find("tasks of") != std::string::npos;
  };
  int submissions = 0;
  int refusals = 0;
  ASSERT_TRUE(WaitUntil([&] {
    refusals += is_refused_for_budget(submit_flood_job(submissions++ % kNodes)) ? 1 : 0;
    return refusals == 3;
  })) << "the budget was never full";
  for (int i = 0; i < kNodes; ++i) {
    Kill(i);
    const int other = (i + 1) % kNodes;
    json job = Job("req-00200" + std::to_string(i), 5);
    job["house"] = "u";
    EXPECT_TRUE(WaitUntil(
        [&] { return Request(other, "POST", "/api/jobs", job.dump()).first / 2 == 100; }));
    EXPECT_NE(submit_flood_job(other).first, 201);
    EXPECT_TRUE(WaitUntil([&] {
      return Request(other, "POST", "/api/jobs", Job("req-001100", 99'999).dump()).first == 200;
    }));
    EXPECT_TRUE(
        WaitUntil([&] { return JobStage(other, "req-00200" + std::to_string(i)) == "done"; }));
    Start(i);
    EXPECT_TRUE(WaitUntil([&] { return Request(i, "GET", "/healthz").first == 200; }));
  }
}

// The leader or all controllers restart within a tenth of a second, also during an election.
// Every controller must continue to report the accepted jobs, and each job must run to completion.
TEST_F(Loopback, NoJobIsLostWhenControllersRestartAtOnce) {
  std::vector<std::string> ids;
  const auto leader = [&] {
    for (int i = 0; i < kNodes; ++i) {
      const json status = Request(i, "GET", "/status.json").second;
      if (!status.is_object() || !status.contains("controllers")) continue;
      for (const auto& controller : status["controllers"]) {
        if (controller.value("leads", false))
          return controller.value("node", std::string("hut-0")).back() - '0';
      }
    }
    return 0;
  };
  for (int round = 0; round < 6; ++round) {
    const std::string id = "req-00500" + std::to_string(round);
    ids.push_back(id);
    EXPECT_TRUE(WaitUntil([&] {
      return Request(round % kNodes, "POST", "/api/jobs", Job(id, 10).dump()).first / 2 == 100;
    }));
    const int first = leader();
    const bool all = round % 2 == 1;
    for (int i = 0; i < kNodes; ++i) {
      if (all || i == first) Kill(i);
    }
    io_.run_for(std::chrono::milliseconds(10 + 15 * round));
    for (int i = 0; i < kNodes; ++i) {
      if (all || i == first) Start(i);
    }
    if (round == 4) {
      // The old leader restarts a second time during the election.
      io_.run_for(std::chrono::milliseconds(60));
      Kill(first);
      Start(first);
    }
    for (const auto& job_id : ids) {
      for (int i = 0; i < kNodes; ++i) {
        std::string stage;
        EXPECT_TRUE(WaitUntil([&] {
          stage = JobStage(i, job_id);
          EXPECT_NE(stage, "404") << job_id << " at " << i;
          return stage == "queued" || stage == "running" || stage == "done";
        })) << job_id
            << " at " << i << ": " << stage;
      }
    }
  }
  for (const auto& id : ids) {
    EXPECT_TRUE(WaitUntil([&] { return JobStage(2, id) == "done"; })) << id;
    for (int i = 0; i < kNodes; ++i)
      EXPECT_TRUE(WaitUntil([&] { return JobStage(i, id) == "done"; }));
  }
}

// The leader is killed again and again. Each time a job runs, another job is cancelled just after
// the kill, and the killed controller comes back.
TEST_F(Loopback, JobsAndCancellationsOutliveLeadersOneAfterTheOther) {
  constexpr int kRounds = 6;
  constexpr size_t kLongTasks = 4;
  std::string leaders;
  for (int round = 0; round < kRounds; ++round) {
    int leader = kNoNode;
    ASSERT_TRUE(WaitUntil([&] { return (leader = LeaderKnownTo(round % kNodes)) != kNoNode; }));
    const int other = (leader + 1) % kNodes;
    const std::string job = "req-00600" + std::to_string(round);
    const std::string cancelled = "req-00700" + std::to_string(round);
    cloud_.long_jobs.insert(cancelled);
    EXPECT_EQ(Request(other, "POST", "/api/jobs", Job(cancelled, kLongTasks).dump()).first, 201);
    EXPECT_TRUE(WaitUntil([&] { return cloud_.running(cancelled) == kLongTasks; }));
    EXPECT_EQ(Request(other, "POST", "/api/jobs", Job(job, 10).dump()).first, 201);
    Kill(leader);
    EXPECT_TRUE(WaitUntil([&] {
      return Request(other, "POST", "/api/jobs/" + cancelled + "/cancel")
                 .second.value("stage", "") == "aborted";
    }));
    int next = kNoNode;
    EXPECT_TRUE(WaitUntil([&] {
      next = LeaderKnownTo(other);
      return next != kNoNode && next != leader;
    }));
    leaders += std::to_string(leader) + ">" + std::to_string(next) + " ";
    EXPECT_TRUE(WaitUntil([&] { return cloud_.running(cancelled) == 0; }));
    EXPECT_TRUE(WaitUntil([&] { return JobStage(other, job) == "done"; }));
    Start(leader);
    EXPECT_TRUE(WaitUntil([&] { return JobStage(leader, job) == "done"; }));
    EXPECT_EQ(JobStage(leader, cancelled), "aborted");
  }
  RecordProperty("leaders", leaders);
}

TEST_F(Loopback, AStoreOutageIsAnsweredAtOnceAndHeals) {
  state_.down = true;
  EXPECT_EQ(Request(0, "POST", "/api/jobs", Job("req-000005", 1).dump()).first, 503);
  EXPECT_EQ(Request(0, "GET", "/api/jobs/req-000005").first, 503);
  state_.down = false;
  EXPECT_TRUE(WaitUntil([&] {
    const int status = Request(0, "POST", "/api/jobs", Job("req-000005", 1).dump()).first;
    return status == 201 || status == 200;
  }));
  EXPECT_TRUE(WaitUntil([&] { return JobStage(1, "req-000005") == "done"; }));
}

// The first compound failure in docs/compound-failures.md: the key-value store refuses only the
// requests of the leader, another controller confirms a cancellation, and then the key-value store
// is down for all controllers. The leader must receive the cancellation from its peer and stop the
// tasks of that job. All other tasks must continue. The fake agents keep their tasks even if no
// heartbeat is answered, so nothing else can stop a task.
TEST_F(Loopback, ALeaderCutFromTheStoreLearnsOfCancellationsInAnOutage) {
  cloud_.long_jobs = {"req-000020", "req-000021"};
  for (const auto& id : cloud_.long_jobs) {
    EXPECT_EQ(Request(0, "POST", "/api/jobs", Job(id, 2).dump()).first, 201);
    EXPECT_TRUE(WaitUntil([&] { return cloud_.running(id) == 2; }));
  }
  int leader = kNoNode;
  EXPECT_TRUE(WaitUntil([&] { return (leader = LeaderKnownTo(0)) != kNoNode; }));
  ASSERT_NE(leader, kNoNode);
  state_.refused = {static_cast<size_t>(leader)};
  const int other = (leader + 1) % kNodes;
  EXPECT_TRUE(WaitUntil([&] {
    return Request(other, "POST", "/api/jobs/req-000020/cancel").second.value("stage", "") ==
           "aborted";
  }));
  // On a slow machine another controller may have been elected meanwhile. The outage must begin
  // while a leader is elected.
  EXPECT_TRUE(WaitUntil([&] { return state_.pairs().contains("mosspath/live/leader"); }));
  state_.down = true;
  EXPECT_TRUE(WaitUntil([&] { return cloud_.running("req-000020") == 0; }));
  EXPECT_EQ(cloud_.running("req-000021"), 2u);
  state_.down = false;
  state_.refused.clear();
  for (int i = 0; i < kNodes; ++i) {
    EXPECT_TRUE(WaitUntil([&] { return JobStage(i, "req-000020") == "aborted"; }));
    EXPECT_TRUE(WaitUntil([&] { return JobStage(i, "req-000021") == "running"; }));
  }
}

TEST_F(Loopback, ACancelledTaskEndsWithTheFirstAnswerOfANewLeader) {
  using Contact = fakes::FakeAgent::Contact;
  constexpr size_t kTasks = 20;
  const std::string job = "req-000030";
  cloud_.long_jobs = {job};
  EXPECT_EQ(Request(0, "POST", "/api/jobs", Job(job, kTasks).dump()).first, 201);
  EXPECT_TRUE(WaitUntil([&] { return cloud_.running(job) == kTasks; }));
  ASSERT_GT(cloud_.rented(), 1u);  // A new leader deletes a single machine that does not answer.
  int leader = kNoNode;
  EXPECT_TRUE(WaitUntil([&] { return (leader = LeaderKnownTo(0)) != kNoNode; }));
  ASSERT_NE(leader, kNoNode);
  cloud_.SetContact(Contact::kNone);
  const int other = (leader + 1) % kNodes;
  EXPECT_EQ(Request(other, "POST", "/api/jobs/" + job + "/cancel").second.value("stage", ""),
            "aborted");
  Kill(leader);
  EXPECT_TRUE(WaitUntil([&] {
    const int next = LeaderKnownTo(other);
    return next != kNoNode && next != leader;
  }));
  EXPECT_EQ(cloud_.running(job), kTasks);
  cloud_.SetContact(Contact::kOneAnswer);
  EXPECT_TRUE(WaitUntil([&] { return cloud_.IsCutOff(); }));
  EXPECT_EQ(cloud_.running(job), 0u);
}

}  // namespace
}  // namespace mosspath
