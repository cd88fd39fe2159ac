// Golden JSON of the public interfaces: responses to users, heartbeats of agents and commands to
// agents, requests to the cloud, and the status document. Users, agents and the cloud depend on
// these texts, so they must not change. Every field has a distinct value other than its default, so
// that a missing, swapped or renamed field fails the test.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "mosspath/service/user_api.h"
#include "mosspath/wire/json.h"
#include "mosspath/wire/status_snapshot.h"

namespace mosspath::wire {
namespace {

TEST(GoldenJson, JobAnswers) {
  EXPECT_EQ(JobAnswer("req-1", JobState::kQueued).dump(), R"({"id":"req-1","stage":"queued"})");
  EXPECT_EQ(JobAnswer("req-2", JobState::kRunning).dump(), R"({"id":"req-2","stage":"running"})");
  EXPECT_EQ(JobAnswer("req-3", JobState::kDone).dump(), R"({"id":"req-3","stage":"done"})");
  EXPECT_EQ(JobAnswer("req-4", JobState::kCancelled).dump(), R"({"id":"req-4","stage":"aborted"})");
  EXPECT_EQ(JobAnswer("req-5", JobState::kRunning, 11, 12).dump(),
            R"({"done":11,"id":"req-5","running":12,"stage":"running"})");
  EXPECT_EQ(JobAnswer("req-6", JobState::kQueued, 13, 0).dump(),
            R"({"done":13,"id":"req-6","running":0,"stage":"queued"})");
}

TEST(GoldenJson, ErrorAnswers) {
  EXPECT_EQ(ErrorAnswer("no such job").dump(), R"({"error":"no such job"})");
  const net::HttpResponse plain = service::ErrorResponse(404, "no such job");
  EXPECT_EQ(plain.status, 404);
  EXPECT_EQ(plain.body, R"({"error":"no such job"})");
  EXPECT_EQ(plain.retry_after_s, 0);
  const net::HttpResponse later = service::RetryLaterResponse("can't tell now");
  EXPECT_EQ(later.status, 503);
  EXPECT_EQ(later.body, R"({"error":"can't tell now"})");
  EXPECT_EQ(later.retry_after_s, 1.0);
}

TEST(GoldenJson, Heartbeat) {
  constexpr const char* kText =
      R"({"baton":41,"build":"g8","crates":[)"
      R"({"crate":"req-000412/0","stage":"fetching","try":101},)"
      R"({"crate":"req-000412/1","stage":"gathering","try":102},)"
      R"({"crate":"req-000412/2","stage":"running","try":103},)"
      R"({"crate":"req-000412/3","saved":true,"stage":"saving","try":104},)"
      R"({"cause":"done","crate":"req-000412/4","stage":"ended","try":105}],)"
      R"("endpoint":"10.0.0.1:9001","loaners":true,"rig":"vm-1","shift":21,"shore":"zone-a",)"
      R"("tick":88,"warning_s":30.5})";
  wire::Heartbeat heartbeat;
  heartbeat.machine = "vm-1";
  heartbeat.address = "10.0.0.1:9001";
  heartbeat.type = "g8";
  heartbeat.zone = "zone-a";
  heartbeat.spot = true;
  heartbeat.agent_epoch = 21;
  heartbeat.sequence = 88;
  heartbeat.fencing_token = 41;
  heartbeat.reclaim_notice_s = 30.5;
  heartbeat.tasks = {{{"req-000412", 0}, 101, TaskState::kFetching, ExitReason::kNone, false},
                     {{"req-000412", 1}, 102, TaskState::kWaitingForGang, ExitReason::kNone, false},
                     {{"req-000412", 2}, 103, TaskState::kRunning, ExitReason::kNone, false},
                     {{"req-000412", 3}, 104, TaskState::kCheckpointing, ExitReason::kNone, true},
                     {{"req-000412", 4}, 105, TaskState::kExited, ExitReason::kSucceeded, false}};
  EXPECT_EQ(ToJson(heartbeat).dump(), kText);
  for (const wire::Heartbeat& read : {ParseHeartbeat(ParseObject(kText)), ReadHeartbeat(kText)}) {
    EXPECT_EQ(read.machine, "vm-1");
    EXPECT_EQ(read.address, "10.0.0.1:9001");
    EXPECT_EQ(read.type, "g8");
    EXPECT_EQ(read.zone, "zone-a");
    EXPECT_TRUE(read.spot);
    EXPECT_EQ(read.agent_epoch, 21u);
    EXPECT_EQ(read.sequence, 88u);
    EXPECT_EQ(read.fencing_token, 41u);
    EXPECT_EQ(read.reclaim_notice_s, 30.5);
    ASSERT_EQ(read.tasks.size(), heartbeat.tasks.size());
    for (size_t i = 0; i < read.tasks.size(); ++i) {
      EXPECT_EQ(read.tasks[i].task, heartbeat.tasks[i].task) << i;
      EXPECT_EQ(read.tasks[i].attempt, heartbeat.tasks[i].attempt) << i;
      EXPECT_EQ(read.tasks[i].state, heartbeat.tasks[i].state) << i;
      EXPECT_EQ(read.tasks[i].exit_reason, heartbeat.tasks[i].exit_reason) << i;
      EXPECT_EQ(read.tasks[i].checkpointed, heartbeat.tasks[i].checkpointed) << i;
    }
  }
  heartbeat.reclaim_notice_s.reset();
  heartbeat.tasks.clear();
  EXPECT_EQ(ToJson(heartbeat).dump(),
            R"({"baton":41,"build":"g8","crates":[],"endpoint":"10.0.0.1:9001","loaners":true,)"
            R"("rig":"vm-1","shift":21,"shore":"zone-a","tick":88,"warning_s":null})");
}

TEST(GoldenJson, ExitReasons) {
  const std::vector<std::pair<ExitReason, const char*>> names{
      {ExitReason::kSucceeded, "done"},
      {ExitReason::kStopped, "stopped"},
      {ExitReason::kFailed, "error"},
      {ExitReason::kInsufficientResources, "full"},
      {ExitReason::kOtherAttemptPresent, "in_use"},
      {ExitReason::kUnknownJob, "unknown"},
      {ExitReason::kGangMemberEnded, "peers"},
      {ExitReason::kGangIncomplete, "incomplete"}};
  for (const auto& [why, name] : names) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = heartbeat.address = heartbeat.type = heartbeat.zone = "x";
    heartbeat.tasks = {{{"req-1", 2}, 3, TaskState::kExited, why, false}};
    const Json json = ToJson(heartbeat);
    EXPECT_EQ(
        json.at("crates").at(0).dump(),
        R"({"cause":")" + std::string(name) + R"(","crate":"req-1/2","stage":"ended","try":3})");
    EXPECT_EQ(ParseHeartbeat(json).tasks.at(0).exit_reason, why);
    EXPECT_EQ(ReadHeartbeat(json.dump()).tasks.at(0).exit_reason, why);
  }
}

TEST(GoldenJson, CommandsToAgents) {
  constexpr const char* kCalls = R"([{"call":"run","crate":"req-1/11","try":101},)"
                                 R"({"call":"halt","crate":"req-2/12","leeway_s":4.5,"try":102},)"
                                 R"({"call":"reap","crate":"req-3/13","try":103}])";
  const std::vector<Command> commands{{CommandType::kStart, {"req-1", 11}, 101, 0},
                                      {CommandType::kStop, {"req-2", 12}, 102, 4.5},
                                      {CommandType::kForget, {"req-3", 13}, 103, 0}};
  const std::string answer = R"({"baton":41,"calls":)" + std::string(kCalls) + "}";
  EXPECT_EQ(HeartbeatAnswer(41, commands).dump(), answer);
  EXPECT_EQ(HeartbeatAnswer(41, {}).dump(), R"({"baton":41,"calls":[]})");
  EXPECT_EQ(DirectCommands(41, 21, commands).dump(),
            R"({"baton":41,"calls":)" + std::string(kCalls) + R"(,"shift":21})");
  const auto read = ParseCommands(Json::parse(answer));
  ASSERT_EQ(read.size(), commands.size());
  for (size_t i = 0; i < read.size(); ++i) {
    EXPECT_EQ(read[i].type, commands[i].type) << i;
    EXPECT_EQ(read[i].task, commands[i].task) << i;
    EXPECT_EQ(read[i].attempt, commands[i].attempt) << i;
    EXPECT_EQ(read[i].grace_s, commands[i].grace_s) << i;
  }
  EXPECT_EQ(MisdirectedAnswer("hut-1").dump(), R"({"steward":"hut-1"})");
  EXPECT_EQ(MisdirectedAnswer("").dump(), "{}");
}

TEST(GoldenJson, CloudRequests) {
  EXPECT_EQ(ToJson(RentRequest{"hire-9", "g8", "zone-a", true, 5}).dump(),
            R"({"build":"g8","count":5,"hire":"hire-9","loaners":true,"shore":"zone-a"})");
  EXPECT_EQ(DeleteRequest({"vm-1", "vm-2"}).dump(), R"({"rigs":["vm-1","vm-2"]})");
  EXPECT_EQ(MachineListTarget("vm-7", 500), "/hosts?since=vm-7&most=500");
}

TEST(GoldenJson, CloudAnswers) {
  EXPECT_EQ(ParseRented(Json::parse(R"({"rigs":["vm-1","vm-2"]})")),
            (std::vector<std::string>{"vm-1", "vm-2"}));
  const MachinePage page = ParseMachinePage(Json::parse(
      R"({"rigs":[{"id":"vm-1","endpoint":"10.0.0.1:9001","build":"g8","shore":"zone-a",)"
      R"("loaners":true,"stage":"running","age_s":12.5},)"
      R"({"id":"vm-2","endpoint":null,"build":"c4","shore":"zone-b","loaners":false,)"
      R"("stage":"starting","age_s":1.5},)"
      R"({"id":"vm-3","build":"c2","shore":"zone-c","loaners":false,"stage":"failed",)"
      R"("age_s":2.5}],"truncated":true})"));
  EXPECT_TRUE(page.more);
  ASSERT_EQ(page.machines.size(), 3u);
  EXPECT_EQ(page.machines[0].id, "vm-1");
  EXPECT_EQ(page.machines[0].address, "10.0.0.1:9001");
  EXPECT_EQ(page.machines[0].type, "g8");
  EXPECT_EQ(page.machines[0].zone, "zone-a");
  EXPECT_TRUE(page.machines[0].spot);
  EXPECT_EQ(page.machines[0].state, MachineState::kRunning);
  EXPECT_EQ(page.machines[0].age_s, 12.5);
  EXPECT_EQ(page.machines[1].address, "");
  EXPECT_EQ(page.machines[1].state, MachineState::kBooting);
  EXPECT_EQ(page.machines[2].state, MachineState::kFailed);
}

wire::Status FullStatus() {
  wire::Status s;
  StatusSnapshot& d = s.snapshot;
  d.leader = "hut-1";
  d.token = 41;
  d.recovery_complete = true;
  d.leader_for_s = 12.5;
  d.jobs = {{"req-1", 3, 4}};  // The document omits this list.
  d.queues = {{"train", 1, 2, 3, 4.5, 5.5, 6.5, "no room"}};
  d.teams = {{"vision", 7, 8, 9, kNeverS, kNeverS, 10.5, ""}};
  d.machines = {{"g8", "zone-a", true, 11, 12, 13, 14.5, 15.5}};
  d.progress = {{"finished", "train", 200.5, 1.5, 0.25, 16, 17},
                {"deadline", "serve", 300.5, 2.5, 0.75, 18, 19}};
  d.incidents = {{20.5, "machine vm-1 was lost"}};
  s.snapshot_age_s = 21.5;
  s.served_by = "hut-0";
  s.controllers = {{"hut-0", "zone-a", true, 22.5, "hut-2", {"the cloud"}},
                   {"hut-3", "zone-b", false, kNeverS, "", {}}};
  s.sockets = {{"users", 23, 24, 25, 26}};
  s.admission.budget = 27.5;
  s.admission.live = 28.5;
  s.admission.in_flight = 29.5;
  s.admission.share = 0.5;
  s.admission.plan_token = 30;
  s.admission.plan_version = 31;
  s.admission.groups = {{"vision", "train", 32, 33}};
  return s;
}

TEST(GoldenJson, StatusDocument) {
  EXPECT_EQ(
      StatusJson(FullStatus()).dump(),
      R"({"admission":{"budget_tasks":27.5,"groups":[{"asked":32,"class":"train","refused":33,)"
      R"("team":"vision"}],"live_tasks":28.5,"part":0.5,"plan_token":30,"plan_version":31,)"
      R"("under_way_tasks":29.5},"age_s":21.5,"blocks":[{"holder":"hut-1","machines":[)"
      R"({"booting":13,"cpus":14.5,"draining":12,"spot":true,"type":"g8","up":11,)"
      R"("used_cpus":15.5,"zone":"zone-a"}]}],"controllers":[{"controller":"hut-0",)"
      R"("heard_ago_s":22.5,"heard_by":"hut-2","lacks":["the cloud"],"leads":true,)"
      R"("zone":"zone-a"},{"controller":"hut-3","heard_ago_s":null,"heard_by":null,"lacks":[],)"
      R"("leads":false,"zone":"zone-b"}],"leader":"hut-1","leading_s":12.5,"objectives":[)"
      R"({"aim":0.25,"class":"train","kind":"finished","met":16,"of":17,"within_s":200.5},)"
      R"({"aim":0.75,"class":"serve","kind":"deadline","met":18,"of":19,"times":2.5}],)"
      R"("queues":[{"class":"train","finished_ago_s":5.5,"jobs":1,"oldest_s":6.5,)"
      R"("running_tasks":3,"started_ago_s":4.5,"waiting_tasks":2,"waits_for":"no room"}],)"
      R"("served_by":"hut-0","settled":true,"sockets":[{"limit":24,"party":"users","refused":25,)"
      R"("sent_off":26,"used":23}],"teams":[{"finished_ago_s":null,"jobs":7,"oldest_s":10.5,)"
      R"("running_tasks":9,"started_ago_s":null,"team":"vision","waiting_tasks":8,)"
      R"("waits_for":null}],"token":41,"troubles":[{"ago_s":20.5,"what":"machine vm-1 was lost"}]})");
}

TEST(GoldenJson, StatusDocumentWithoutASnapshot) {
  wire::Status s;
  s.snapshot_age_s = kNeverS;
  EXPECT_EQ(StatusJson(s).dump(),
            R"({"admission":{"budget_tasks":0.0,"groups":[],"live_tasks":0.0,"part":0.0,)"
            R"("plan_token":0,"plan_version":0,"under_way_tasks":0.0},"age_s":null,)"
            R"("blocks":[{"holder":"","machines":[]}],"controllers":[],"leader":"",)"
            R"("leading_s":0.0,"objectives":[],"queues":[],"served_by":"","settled":false,)"
            R"("sockets":[],"teams":[],"token":0,"troubles":[]})");
}

}  // namespace
}  // namespace mosspath::wire
