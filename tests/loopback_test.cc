// End-to-end tests: run the real program on the loopback interface against fakes of the key-value
// store and the cloud. They cover the user API, invalid input, crashed controllers and outages of
// the key-value store. The tests wait for each expected state, up to a generous time limit, and
// check no latencies.
#include "fakes/loopback.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

#include "fakes/http_services.h"

namespace mosspath {
namespace {

using nlohmann::json;

constexpr double kWaitLimitS = 60;

// Returns the program of the controller. To run controllers of several versions beside each other,
// set MOSSPATH_PROGRAM_0, MOSSPATH_PROGRAM_1 or MOSSPATH_PROGRAM_2 to the path of another build.
std::string ProgramOf(int node) {
  const char* other = std::getenv(("MOSSPATH_PROGRAM_" + std::to_string(node)).c_str());
  return other == nullptr ? MOSSPATH_PROGRAM : other;
}

class Loopback : public ::testing::Test {
 protected:
  static constexpr int kNodes = 3;
  static constexpr int kNoNode = -1;

  Loopback()
      : state_(io_, kNodes),
        cloud_(io_, {address_[0].text(), address_[1].text(), address_[2].text()}, 0.3, 0.2) {
    for (int i = 0; i < kNodes; ++i) {
      Start(i);
      clients_.push_back(
          std::make_unique<net::HttpClient>(io_, address_[i].text(), net::HttpClient::Options{}));
    }
    for (int i = 0; i < kNodes; ++i) {
      EXPECT_TRUE(WaitUntil([&] { return Request(i, "GET", "/healthz").first == 200; }));
    }
  }
  ~Loopback() override {
    for (int i = 0; i < kNodes; ++i) Kill(i);
  }

  void Start(int i) {
    const std::string path = ::testing::TempDir() + "mosspath-" + std::to_string(getpid()) + "-" +
                             std::to_string(i) + ".toml";
    std::ofstream out(path);
    out << "label = \"hut-" << i << "\"\ndomain = \"a\"\npublic_addr = \"" << address_[i].text()
        << "\"\nback = \"" << peer_address_[i].text() << "\"\n";
    for (int k = 0; k < kNodes; ++k) {
      if (k == i) continue;
      out << "[[seeds]]\nlabel = \"hut-" << k << "\"\ndomain = \"a\"\naddress = \""
          << peer_address_[k].text() << "\"\n";
    }
    out << "[outside]\ncloud = \"" << cloud_.address() << "\"\nstate = \""
        << state_.address(static_cast<size_t>(i)) << R"("
[facts]
initial_size = 2
zones = ["a"]
clock_error_ms = 5.0
[[facts.teams]]
name = "t"
cpus = 0.0
cpus_max = 20.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "u"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[facts.workers]
report_s = 0.3
lease_s = 6.0
cancel_s = 10.0
[facts.state]
rps = 400.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 8
[facts.cloud]
rps = 20.0
list_lag_s = 0.5
[facts.limits]
cores = 1.0
memory_mb = 200.0
sockets = 500
)";
    out.close();
    std::string program = ProgramOf(i);
    std::string option = "--config";
    std::string file = path;
    char* argv[] = {program.data(), option.data(), file.data(), nullptr};
    std::string level = "LOG_LEVEL=error";
    char* env[] = {level.data(), nullptr};
    ASSERT_EQ(posix_spawn(&pid_[i], program.c_str(), nullptr, nullptr, argv, env), 0);
  }

  void Kill(int i) {
    if (pid_[i] <= 0) return;
    kill(pid_[i], SIGKILL);
    waitpid(pid_[i], nullptr, 0);
    pid_[i] = 0;
  }

  std::pair<int, json> Request(int node, const std::string& method, const std::string& path,
                               const std::string& body = {}) {
    bool done = false;
    net::HttpResult result;
    clients_[static_cast<size_t>(node)]->Send(method, path, body, 5, [&](net::HttpResult r) {
      result = std::move(r);
      done = true;
    });
    while (!done) io_.run_one();
    return {result.status, json::parse(result.body, nullptr, false)};
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    const double deadline = net::Now() + kWaitLimitS;
    while (net::Now() < deadline) {
      if (condition()) return true;
      io_.run_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  static json Job(const std::string& id, int tasks) {
    return {{"id", id},           {"lot", "work"},     {"house", "t"},   {"catch", "array"},
            {"rank", "standard"}, {"crates", tasks},   {"vcpus", 1.0},   {"cards", 0.0},
            {"mem_gb", 1.0},      {"kit", "img"},      {"size_gb", 1.0}, {"builds", nullptr},
            {"shore", nullptr},   {"together", false}, {"apart", false}, {"loaners", true},
            {"guess_s", 0.2},     {"tally_s", 0.0},    {"stow_s", 0.0},  {"dawn_s", nullptr}};
  }
  std::string JobStage(int node, const std::string& id) {
    const auto [status, body] = Request(node, "GET", "/api/jobs/" + id);
    return status == 200 ? body.value("stage", "") : std::to_string(status);
  }

  // Returns the leader that the node names, or kNoNode.
  int LeaderKnownTo(int node) {
    const json status = Request(node, "GET", "/status.json").second;
    const std::string name = status.is_object() ? status.value("leader", "") : "";
    return name.empty() ? kNoNode : name.back() - '0';
  }

  asio::io_context io_;
  const fakes::ReservedAddress address_[kNodes] = {
      fakes::ReservedAddress(io_), fakes::ReservedAddress(io_), fakes::ReservedAddress(io_)};
  const fakes::ReservedAddress peer_address_[kNodes] = {
      fakes::ReservedAddress(io_), fakes::ReservedAddress(io_), fakes::ReservedAddress(io_)};
  pid_t pid_[kNodes] = {};
  fakes::FakeKeyValueStore state_;
  fakes::FakeCloud cloud_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
};

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

// Users who poll often, also for jobs that have ended or were never submitted, must not use up the
// read requests that the key-value store allows.
TEST_F(Loopback, PollingNeedsNoStoreReads) {
  EXPECT_EQ(Request(0, "POST", "/api/jobs", Job("req-000011", 3).dump()).first, 201);
  for (int node : {0, 1})
    EXPECT_TRUE(WaitUntil([&] { return JobStage(node, "req-000011") == "done"; }));
  const size_t before = state_.single_reads;
  for (int i = 0; i < 30; ++i) {
    for (int node : {0, 1}) {
      EXPECT_EQ(JobStage(node, "req-000011"), "done");
      EXPECT_EQ(JobStage(node, "req-888888"), "404");
    }
  }
  EXPECT_LT(state_.single_reads - before, 20u);
  // The controllers have cached that the job does not exist. A submission of the job must
  // invalidate that cache entry.
  EXPECT_EQ(Request(0, "POST", "/api/jobs", Job("req-888888", 1).dump()).first, 201);
  EXPECT_NE(JobStage(1, "req-888888"), "404");
  EXPECT_TRUE(WaitUntil([&] { return JobStage(1, "req-888888") == "done"; }));
}

TEST_F(Loopback, CancelledStaysCancelled) {
  json job = Job("req-000003", 4);
  job["catch"] = "daemon";
  EXPECT_EQ(Request(0, "POST", "/api/jobs", job.dump()).first, 201);
  EXPECT_EQ(Request(1, "POST", "/api/jobs/req-000003/cancel").second.value("stage", ""), "aborted");
  for (int node : {0, 1}) {
    EXPECT_EQ(JobStage(node, "req-000003"), "aborted");
    EXPECT_EQ(Request(node, "POST", "/api/jobs", job.dump()).second.value("stage", ""), "aborted");
  }
  EXPECT_EQ(Request(0, "POST", "/api/jobs/req-000009/cancel").first, 404);
}

TEST_F(Loopback, BadInputIsRefused) {
  EXPECT_EQ(Request(0, "POST", "/api/jobs", "nonsense").first, 400);
  EXPECT_EQ(Request(0, "POST", "/api/jobs", "[]").first, 400);
  EXPECT_EQ(Request(0, "POST", "/api/jobs", "{\"id\":\"\xff\"}").first, 400);
  EXPECT_EQ(Request(0, "POST", "/api/jobs", std::string(70'000, ' ')).first, 413);
  EXPECT_EQ(Request(0, "DELETE", "/api/jobs").first, 405);
  EXPECT_EQ(Request(0, "GET", "/nowhere").first, 404);
  EXPECT_EQ(Request(0, "GET", "/api/jobs/../../x").first, 404);
  EXPECT_EQ(Request(0, "POST", "/v1/report", "{}").first, 400);
  json job = Job("req-000004", 1);
  job["house"] = "strangers";
  EXPECT_EQ(Request(0, "POST", "/api/jobs", job.dump()).first, 422);
  job = Job("req-000004", 1);
  job["vcpus"] = 9.0;
  EXPECT_EQ(Request(0, "POST", "/api/jobs", job.dump()).first, 422);
  job = Job("req-000004", 21);
  job["catch"] = "daemon";
  EXPECT_EQ(Request(0, "POST", "/api/jobs", job.dump()).first, 422);  // more than the team's limit
  job = Job("req-000004", 0);
  EXPECT_EQ(Request(0, "POST", "/api/jobs", job.dump()).first, 400);
  // Jobs with more tasks than the memory can hold are refused with the retryable status 429.
  for (int i = 100; i < 130; ++i) {
    const auto [status, body] =
        Request(0, "POST", "/api/jobs", Job("req-000" + std::to_string(i), 99'999).dump());
    if (status == 429) {
      EXPECT_NE(body.value("error", "").find("tasks of"), std::string::npos)
          << body;  // the error names the budget and its owner
      break;
    }
    EXPECT_EQ(status, 201);
    EXPECT_NE(i, 129) << "the budget was never full";
    EXPECT_EQ(Request(0, "GET", "/api/jobs/req-000100").first, 200);
  }
  // A cancellation frees budget.
  EXPECT_EQ(Request(0, "POST", "/api/jobs/req-000100/cancel").first, 200);
  EXPECT_TRUE(WaitUntil(
      [&] { return Request(0, "POST", "/api/jobs", Job("req-000004", 1).dump()).first != 429; }));
  // A submission with the id of an accepted job is answered without validation of its
  // specification.
  EXPECT_EQ(Request(0, "POST", "/api/jobs", job.dump()).first, 200);
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

// Runs the program with the arguments. Returns its exit code and its output (stdout and stderr).
std::pair<int, std::string> RunProgram(asio::io_context& io, const std::string& arguments) {
  const std::string out = ::testing::TempDir() + "mosspath-out-" + std::to_string(getpid());
  const std::string line = std::string(MOSSPATH_PROGRAM) + " " + arguments + " >" + out + " 2>&1";
  std::string shell = "/bin/sh", command_flag = "-c", text = line;
  char* argv[] = {shell.data(), command_flag.data(), text.data(), nullptr};
  char* env[] = {nullptr};
  pid_t pid = 0;
  EXPECT_EQ(posix_spawn(&pid, shell.c_str(), nullptr, nullptr, argv, env), 0);
  int status = 0;
  while (waitpid(pid, &status, WNOHANG) == 0) io.run_for(std::chrono::milliseconds(20));
  std::stringstream printed;
  printed << std::ifstream(out).rdbuf();
  return {WEXITSTATUS(status), printed.str()};
}

TEST_F(Loopback, SubcommandsStatusAndSettings) {
  const std::string file = ::testing::TempDir() + "mosspath-job-" + std::to_string(getpid());
  std::ofstream(file) << Job("req-000010", 3).dump();
  EXPECT_EQ(RunProgram(io_, "submit --server " + address_[0].text() + " " + file),
            (std::pair<int, std::string>{0, "req-000010 queued\n"}));
  EXPECT_TRUE(WaitUntil([&] { return JobStage(1, "req-000010") == "done"; }));
  EXPECT_EQ(RunProgram(io_, "get --server " + address_[1].text() + " req-000010").second,
            "req-000010 done\n");
  EXPECT_EQ(RunProgram(io_, "get --server " + address_[1].text() + " req-777777").first, 3);
  EXPECT_EQ(RunProgram(io_, "cancel --json --server " + address_[1].text() + " req-000010").second,
            "{\"id\":\"req-000010\",\"stage\":\"done\"}\n");
  EXPECT_EQ(RunProgram(io_, "get --server 127.0.0.1:1 req-000010").first, 1);
  EXPECT_EQ(RunProgram(io_, "get").first, 2);
  EXPECT_EQ(RunProgram(io_, "--config /nowhere").first, 2);

  // Every controller reports a leader. Without --json, the status is a text page.
  for (const auto& address : address_) {
    EXPECT_TRUE(WaitUntil([&] {
      const auto [code, text] = RunProgram(io_, "status --json --server " + address.text());
      const json j = json::parse(text, nullptr, false);
      return code == 0 && j.is_object() && !j.value("leader", "").empty();
    }));
  }
  EXPECT_NE(RunProgram(io_, "status --server " + address_[0].text()).second.find("Machines"),
            std::string::npos);

  EXPECT_EQ(RunProgram(io_, "settings --server " + peer_address_[0].text() +
                                " set gamma=2.5 preemption=false")
                .first,
            0);
  EXPECT_TRUE(WaitUntil([&] {
    return RunProgram(io_, "settings --server " + peer_address_[1].text() + " get")
               .second.find("gamma = 2.5") != std::string::npos;
  }));
  const auto invalid =
      RunProgram(io_, "settings --server " + peer_address_[1].text() + " set gamma=0.5");
  EXPECT_EQ(invalid.first, 3);
  EXPECT_NE(invalid.second.find("gamma"), std::string::npos);
  net::HttpClient peer_client(io_, peer_address_[0].text(), {});
  int status = 0;
  peer_client.Send("PUT", "/admin/v1/settings", R"({"version":1,"settings":{"gamma":3}})", 5,
                   [&](const net::HttpResult& r) { status = r.status; });
  EXPECT_TRUE(WaitUntil([&] { return status != 0; }));
  EXPECT_EQ(status, 409);
  // The user API does not expose the operator's paths.
  EXPECT_EQ(Request(0, "GET", "/admin/v1/settings").first, 404);
  EXPECT_EQ(Request(0, "GET", "/metrics").first, 404);
}

}  // namespace
}  // namespace mosspath
