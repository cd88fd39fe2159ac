// Two jobs that were submitted with a mistake fail, until their users cancel them. A sound job then
// waits beside the sound machine on which they failed.
#include "machines.h"

using namespace stand;

namespace {

constexpr size_t kControllers = 3;
constexpr double kBoundS = 90;
constexpr double kEndS = 113;

// Like bahir-auction-hunt, as a small deployment, with its guest team.
const char* kFacts = R"([facts]
initial_size = 3
zones = ["landing", "town"]
clock_error_ms = 5.0
[[facts.teams]]
name = "auction-desk"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "lake-survey"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[facts.objectives]]
kind = "finished"
class = "net-probes"
within_s = 400.0
share = 0.995
[facts.workers]
report_s = 1.5
lease_s = 12.0
cancel_s = 42.0
[facts.state]
rps = 250.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 20
[facts.cloud]
rps = 5.0
list_lag_s = 3.0
[facts.limits]
cores = 0.12
memory_mb = 72.0
sockets = 1000
)";

json Job(const std::string& id, const char* lot, const char* house, const char* rank, int crates) {
  return {{"id", id},           {"lot", lot},         {"house", house},  {"catch", "array"},
          {"rank", rank},       {"crates", crates},   {"vcpus", 1.0},    {"cards", 0.0},
          {"mem_gb", 2.3},      {"kit", std::string("img-") + lot}, {"size_gb", 0.3}, {"builds", nullptr},
          {"shore", nullptr},   {"together", false},  {"apart", false},  {"loaners", true},
          {"guess_s", 35.0},    {"tally_s", 0.0},     {"stow_s", 0.0},   {"dawn_s", nullptr}};
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  Record record(arguments.folder + "/record.txt");
  asio::io_context io;
  const Timing timing{1.5, 12, 42};
  Store store(io, kControllers, {250, 25, 32, 20, 0.005});
  Judge judge(record, timing);
  Controllers controllers(io, record, arguments.program, arguments.temp, {"landing", "landing", "landing"}, kFacts);
  Cloud cloud(io, record, judge, controllers.addresses(),
              {{"shore-box", 32, 256, 0.6, 35, 2.41, 0.76, {"landing", "town"}}}, timing);
  cloud.boot_s = 2;  // PROTOCOL: "at times machines are up within a second or two"
  // PROTOCOL: "capacity: not published". The cloud has one machine to give.
  cloud.capacity = [](const std::string&, const std::string& shore, bool loaners) {
    return shore == "landing" && loaners ? 1 : 0;
  };
  judge.run_s = [&](const std::string& crate) { return crate.starts_with("req-000001/") ? 150.0 : 5.0; };
  // The jobs with a mistake: their tasks fail wherever they run.
  judge.fails = [&](const std::string& crate) {
    return arguments.trouble && (crate.starts_with("req-000002/") || crate.starts_with("req-000003/"));
  };
  for (size_t i = 0; i < kControllers; ++i) controllers.Start(i, store.address(i), cloud.address());
  Users users(io, controllers.addresses());
  for (size_t i = 0; i < kControllers; ++i) {
    if (!WaitUntil(io, 20, [&] { return users.Ask(i, "GET", "/healthz").first == 200; })) return 2;
  }
  const auto submit = [&](const json& job) {
    const std::string id = job["id"];
    judge.jobs[id] = job;
    const int status = users.Ask(0, "POST", "/api/jobs", job.dump()).first;
    record.Line("submit %s (%s): %d", id.c_str(), job.dump().c_str(), status);
    return status == 201 || status == 200;
  };
  const auto stage = [&](const std::string& id) {
    const auto [status, body] = users.Ask(1, "GET", "/api/jobs/" + id);
    return status == 200 ? body.value("stage", "") : std::to_string(status);
  };
  // Long work on the one machine; most of the machine is free.
  if (!submit(Job("req-000001", "tally", "auction-desk", "standard", 4))) return 2;
  if (!WaitUntil(io, 20, [&] { return judge.started == 4; })) return 2;
  RunFor(io, 2);
  // Two jobs of which users find out that they can't work, and cancel them.
  if (!submit(Job("req-000002", "net-probes", "lake-survey", "low", 3))) return 2;
  if (!submit(Job("req-000003", "net-probes", "lake-survey", "low", 3))) return 2;
  if (!WaitUntil(io, 20, [&] { return judge.started >= 10; })) return 2;
  RunFor(io, arguments.trouble ? 4 : 8);
  for (const char* id : {"req-000002", "req-000003"}) {
    const auto [status, body] = users.Ask(0, "POST", std::string("/api/jobs/") + id + "/cancel");
    record.Line("cancel %s: %d %s", id, status, body.dump().c_str());
    if (status != 200) return 2;
  }
  RunFor(io, 1);
  // A sound job that fits into what is free.
  const double submitted = net::Now();
  if (!submit(Job("req-000004", "pricesheet", "auction-desk", "high", 8))) return 2;
  const auto started = [&] {
    return std::any_of(judge.on().begin(), judge.on().end(), [](const auto& c) { return c.first.starts_with("req-000004/"); });
  };
  double next_line = 0;
  bool began = false;
  while (record.now() < kEndS && net::Now() - submitted <= kBoundS && !(began = started())) {
    RunFor(io, 0.1);
    if (cloud.workers().size() != 1 || cloud.workers().begin()->second->running() != 4) {
      record.Line("the machine isn't as it was: %zu machines", cloud.workers().size());
      break;
    }
    if (net::Now() < next_line) continue;
    next_line = net::Now() + 10;
    record.Line("GET req-000004: %s; %s is up with 28 of 32 CPUs free", stage("req-000004").c_str(),
                cloud.workers().begin()->first.c_str());
  }
  if (!controllers.TakeEnded().empty()) return 2;
  const double waited = net::Now() - submitted;
  const bool broken = !began && waited > kBoundS;
  record.Line("%s: req-000004 %s after %.0f s", broken ? "BROKEN" : "HELD", began ? "began" : "waited beside a machine that fits and has room", waited);
  return broken ? 1 : 0;
}
