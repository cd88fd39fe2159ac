// A job that is bound to one zone meets machines there that fail every task for a while.
#include "machines.h"

using namespace stand;

namespace {

constexpr size_t kControllers = 3;
constexpr double kSickS = 10;
constexpr size_t kSickMachines = 2;
constexpr double kEndS = 112;

// Like bahir-auction-hunt, as a small deployment.
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
[[facts.objectives]]
kind = "finished"
class = "ledger-redo"
within_s = 400.0
share = 0.992
[[facts.objectives]]
kind = "finished"
class = "tally"
within_s = 250.0
share = 0.99
[facts.workers]
report_s = 1.5
lease_s = 12.0
cancel_s = 42.0
[facts.state]
rps = 350.0
write_rps = 35.0
value_kb = 32.0
txn_ops = 20
[facts.cloud]
rps = 6.0
list_lag_s = 3.0
[facts.limits]
cores = 0.16
memory_mb = 98.0
sockets = 1365
)";

json Job(const std::string& id, const char* lot, const char* rank, int crates, double vcpus, const char* shore) {
  return {{"id", id},           {"lot", lot},         {"house", "auction-desk"}, {"catch", "array"},
          {"rank", rank},       {"crates", crates},   {"vcpus", vcpus},  {"cards", 0.0},
          {"mem_gb", 7.8},      {"kit", std::string("img-") + lot}, {"size_gb", 0.3}, {"builds", nullptr},
          {"shore", shore},     {"together", false},  {"apart", false},  {"loaners", true},
          {"guess_s", 60.0},    {"tally_s", 0.0},     {"stow_s", 0.0},   {"dawn_s", nullptr}};
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  Record record(arguments.folder + "/record.txt");
  asio::io_context io;
  const Timing timing{1.5, 12, 42};
  Store store(io, kControllers, {350, 35, 32, 20, 0.005});
  Judge judge(record, timing);
  Controllers controllers(io, record, arguments.program, arguments.temp, {"landing", "landing", "landing"}, kFacts);
  Cloud cloud(io, record, judge, controllers.addresses(),
              {{"shore-box", 32, 256, 0.6, 35, 2.41, 0.76, {"landing", "town"}}}, timing);
  cloud.boot_s = 4;  // PROTOCOL: "at times machines are up within a second or two"
  judge.run_s = [&](const std::string& crate) { return crate.starts_with("req-000001/") ? 150.0 : 5.0; };
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
  // Work in the other zone goes on all the time.
  if (!submit(Job("req-000001", "tally", "standard", 48, 1, "landing"))) return 2;
  if (!WaitUntil(io, 20, [&] { return judge.started > 0; })) return 2;
  // The machines that come up in town until the trouble is over fail every task that they start.
  const double sick_until = net::Now() + kSickS;
  size_t sick = 0;
  cloud.on_up = [&](Worker& worker) {
    if (!arguments.trouble || worker.shore() != "town" || sick == kSickMachines || net::Now() > sick_until) return;
    ++sick;
    worker.set_sick(true);
    record.Line("%s is sick: it fails every task that it starts", worker.id().c_str());
  };
  if (!submit(Job("req-000002", "ledger-redo", "low", 14, 4, "town"))) return 2;
  net::Timer well(io);
  well.After(kSickS, [&] {
    for (auto& [id, worker] : cloud.workers()) worker->set_sick(false);
    record.Line("no machine is sick any more");
  });
  const double end = net::Now() + kEndS - record.now();
  std::string stage;
  double next_poll = 0;
  while (net::Now() < end && stage != "done") {
    RunFor(io, 0.2);
    if (net::Now() < next_poll) continue;
    next_poll = net::Now() + 5;
    const auto [status, body] = users.Ask(1, "GET", "/api/jobs/req-000002");
    stage = status == 200 ? body.value("stage", "") : "";
    record.Line("GET req-000002: %d %s; machines in town: %zu", status, body.dump().c_str(), cloud.Count("town"));
  }
  if (!controllers.TakeEnded().empty()) return 2;
  for (const auto& b : judge.broken) record.Line("also: %s", b.c_str());
  size_t done = 0;
  for (int i = 0; i < 14; ++i) done += judge.results.contains("req-000002/" + std::to_string(i)) ? 1 : 0;
  const double since = net::Now() - sick_until;
  record.Line("%.0f s after the trouble: %zu of 14 tasks completed, %d requests to rent in town since it was over, "
              "%zu machines in town now", since, done, cloud.RentedSince("town", sick_until), cloud.Count("town"));
  const bool broken = done == 0 && stage != "done";
  record.Line("%s: the accepted job %s", broken ? "BROKEN" : "HELD", broken ? "doesn't run" : "ran");
  return broken ? 1 : 0;
}
