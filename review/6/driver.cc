// A gang finds room for all its tasks, but not in one zone, after a cheap machine was taken.
#include "machines.h"

using namespace stand;

namespace {

constexpr size_t kControllers = 3;
constexpr double kBoundS = 90;

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

json Job(const std::string& id, const char* lot, const char* kind, int crates, double vcpus, const char* shore,
         const char* rank = "standard") {
  json job = {{"id", id},           {"lot", lot},         {"house", "auction-desk"}, {"catch", kind},
              {"rank", rank},       {"crates", crates},   {"vcpus", vcpus},  {"cards", 0.0},
              {"mem_gb", 4.0},      {"kit", std::string("img-") + lot}, {"size_gb", 0.3}, {"builds", nullptr},
              {"shore", nullptr},   {"together", shore == nullptr},  {"apart", false},  {"loaners", true},
              {"guess_s", 60.0},    {"tally_s", 0.0},     {"stow_s", 0.0},   {"dawn_s", nullptr}};
  if (shore != nullptr) job["shore"] = shore;
  return job;
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
  cloud.boot_s = 2;  // PROTOCOL: "at times machines are up within a second or two"
  const auto of = [](const std::string& crate, int job) { return crate.starts_with("req-00000" + std::to_string(job) + "/"); };
  judge.run_s = [&](const std::string& crate) {
    return of(crate, 1) || of(crate, 2) ? 4.0 : of(crate, 5) ? 10.0 : 150.0;
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
  const auto on = [&](int job) {
    return std::count_if(judge.on().begin(), judge.on().end(), [&](const auto& c) { return of(c.first, job); });
  };
  // Two machines in landing and one in town. Each gets a task of 4 CPUs that runs for long; when the
  // short tasks have ended, 28 of 32 CPUs are free on each. (The short jobs are urgent ones: the
  // controllers then keep room for others like them for a while, and cordon none of the machines.)
  if (!submit(Job("req-000001", "tally", "array", 2, 28, "landing", "high"))) return 2;
  if (!submit(Job("req-000002", "tally", "array", 1, 28, "town", "high"))) return 2;
  if (!WaitUntil(io, 20, [&] { return on(1) == 2 && on(2) == 1; })) return 2;
  if (!submit(Job("req-000003", "ledger-redo", "array", 2, 4, "landing"))) return 2;
  if (!submit(Job("req-000004", "ledger-redo", "array", 1, 4, "town"))) return 2;
  if (!WaitUntil(io, 8, [&] { return on(3) == 2 && on(4) == 1; })) return 2;
  if (!WaitUntil(io, 8, [&] { return on(1) == 0 && on(2) == 0; })) return 2;
  if (cloud.workers().size() != 3 || cloud.Count("landing") != 2) return 2;
  // One cheap machine of three is taken. Its task is started again on the other one in landing.
  if (arguments.trouble) {
    for (const auto& [id, worker] : cloud.workers()) {
      if (worker->shore() != "landing") continue;
      cloud.TakeBack(id);
      break;
    }
    if (!WaitUntil(io, 20, [&] { return on(3) == 2; })) return 2;
  } else {
    RunFor(io, 14);
  }
  RunFor(io, 0.5);
  for (const auto& [id, worker] : cloud.workers()) {
    record.Line("%s in %s runs %zu tasks of 4 CPUs each", id.c_str(), worker->shore().c_str(), worker->running());
  }
  // A gang of five tasks of 8 CPUs, all in one zone.
  const double submitted = net::Now();
  if (!submit(Job("req-000005", "pricesheet", "group", 5, 8, nullptr))) return 2;
  const auto rented = [&] { return cloud.RentedSince("landing", submitted) + cloud.RentedSince("town", submitted); };
  double next_line = 0;
  bool began = false;
  while (net::Now() - submitted <= kBoundS && !(began = on(5) > 0)) {
    RunFor(io, 0.1);
    if (net::Now() < next_line) continue;
    next_line = net::Now() + 10;
    const auto [status, body] = users.Ask(1, "GET", "/api/jobs/req-000005");
    record.Line("GET req-000005: %d %s; machines: %zu; requests to rent since it was submitted: %d", status,
                body.dump().c_str(), cloud.workers().size(), rented());
  }
  if (!controllers.TakeEnded().empty()) return 2;
  for (const auto& b : judge.broken) record.Line("also: %s", b.c_str());
  const double waited = net::Now() - submitted;
  const bool broken = !began && rented() == 0;
  record.Line("%s: the gang %s after %.0f s; %d requests to rent since it was submitted", broken ? "BROKEN" : "HELD",
              began ? "began" : "hasn't begun", waited, rented());
  return broken ? 1 : 0;
}
