#include "loopback_fixture.h"

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>

namespace mosspath {
namespace {

using nlohmann::json;

constexpr double kWaitLimitS = 60;
constexpr double kRequestTimeoutS = 5;
constexpr double kHeartbeatIntervalS = 0.3;
constexpr double kTaskRunS = 0.2;
constexpr auto kPollInterval = std::chrono::milliseconds(50);

// The settings that all controllers share.
constexpr const char* kFacts = R"([facts]
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

// Returns the program of the controller. To run controllers of several versions beside each other,
// set MOSSPATH_PROGRAM_0, MOSSPATH_PROGRAM_1 or MOSSPATH_PROGRAM_2 to the path of another build.
std::string ProgramOf(int node) {
  const char* other = std::getenv(("MOSSPATH_PROGRAM_" + std::to_string(node)).c_str());
  return other == nullptr ? MOSSPATH_PROGRAM : other;
}

}  // namespace

Loopback::Loopback()
    : state_(io_, kNodes),
      cloud_(io_, {address_[0].text(), address_[1].text(), address_[2].text()}, kHeartbeatIntervalS,
             kTaskRunS) {
  for (int node = 0; node < kNodes; ++node) {
    Start(node);
    clients_.push_back(
        std::make_unique<net::HttpClient>(io_, address_[node].text(), net::HttpClient::Options{}));
  }
  for (int node = 0; node < kNodes; ++node) {
    EXPECT_TRUE(WaitUntil([&] { return Request(node, "GET", "/healthz").first == 200; }));
  }
}

Loopback::~Loopback() {
  for (int node = 0; node < kNodes; ++node) Kill(node);
}

std::string Loopback::WriteSettings(int node) const {
  const std::string path = ::testing::TempDir() + "mosspath-" + std::to_string(getpid()) + "-" +
                           std::to_string(node) + ".toml";
  std::ofstream out(path);
  out << "label = \"hut-" << node << "\"\ndomain = \"a\"\npublic_addr = \"" << address_[node].text()
      << "\"\nback = \"" << peer_address_[node].text() << "\"\n";
  for (int peer = 0; peer < kNodes; ++peer) {
    if (peer == node) continue;
    out << "[[seeds]]\nlabel = \"hut-" << peer << "\"\ndomain = \"a\"\naddress = \""
        << peer_address_[peer].text() << "\"\n";
  }
  out << "[outside]\ncloud = \"" << cloud_.address() << "\"\nstate = \""
      << state_.address(static_cast<size_t>(node)) << "\"\n"
      << kFacts;
  return path;
}

void Loopback::Start(int node) {
  std::string program = ProgramOf(node);
  std::string option = "--config";
  std::string file = WriteSettings(node);
  char* argv[] = {program.data(), option.data(), file.data(), nullptr};
  std::string level = "LOG_LEVEL=error";
  char* env[] = {level.data(), nullptr};
  ASSERT_EQ(posix_spawn(&pid_[node], program.c_str(), nullptr, nullptr, argv, env), 0);
}

void Loopback::Kill(int node) {
  if (pid_[node] <= 0) return;
  kill(pid_[node], SIGKILL);
  waitpid(pid_[node], nullptr, 0);
  pid_[node] = 0;
}

std::pair<int, json> Loopback::Request(int node, const std::string& method, const std::string& path,
                                       const std::string& body) {
  bool done = false;
  net::HttpResult result;
  clients_[static_cast<size_t>(node)]->Send(method, path, body, kRequestTimeoutS,
                                            [&](net::HttpResult response) {
                                              result = std::move(response);
                                              done = true;
                                            });
  while (!done) io_.run_one();
  return {result.status, json::parse(result.body, nullptr, false)};
}

bool Loopback::WaitUntil(const std::function<bool()>& condition) {
  const double deadline = net::Now() + kWaitLimitS;
  while (net::Now() < deadline) {
    if (condition()) return true;
    io_.run_for(kPollInterval);
  }
  return false;
}

json Loopback::Job(const std::string& id, int tasks) {
  return {{"id", id},           {"lot", "work"},     {"house", "t"},   {"catch", "array"},
          {"rank", "standard"}, {"crates", tasks},   {"vcpus", 1.0},   {"cards", 0.0},
          {"mem_gb", 1.0},      {"kit", "img"},      {"size_gb", 1.0}, {"builds", nullptr},
          {"shore", nullptr},   {"together", false}, {"apart", false}, {"loaners", true},
          {"guess_s", 0.2},     {"tally_s", 0.0},    {"stow_s", 0.0},  {"dawn_s", nullptr}};
}

std::string Loopback::JobStage(int node, const std::string& id) {
  const auto [status, body] = Request(node, "GET", "/api/jobs/" + id);
  return status == 200 ? body.value("stage", "") : std::to_string(status);
}

int Loopback::LeaderKnownTo(int node) {
  const json status = Request(node, "GET", "/status.json").second;
  const std::string name = status.is_object() ? status.value("leader", "") : "";
  return name.empty() ? kNoNode : name.back() - '0';
}

}  // namespace mosspath
