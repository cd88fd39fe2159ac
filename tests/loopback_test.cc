// End-to-end tests of the user API, the subcommands and invalid input (see loopback_fixture.h).
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

#include "loopback_fixture.h"

namespace mosspath {
namespace {

using nlohmann::json;

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
