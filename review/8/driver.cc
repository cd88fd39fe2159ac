// The store is out while the controllers elect their first leader.
#include "machines.h"

using namespace stand;

namespace {

constexpr size_t kControllers = 3;
constexpr double kBoundS = 90;
constexpr double kOutageS = 6;
constexpr double kSlowS = 0.1;

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

json Job(const std::string& id) {
  return {{"id", id},           {"lot", "pricesheet"}, {"house", "auction-desk"}, {"catch", "array"},
          {"rank", "high"},     {"crates", 8},        {"vcpus", 1.0},    {"cards", 0.0},
          {"mem_gb", 4.0},      {"kit", "img-01"},    {"size_gb", 0.3},  {"builds", nullptr},
          {"shore", nullptr},   {"together", false},  {"apart", false},  {"loaners", true},
          {"guess_s", 5.0},     {"tally_s", 0.0},     {"stow_s", 0.0},   {"dawn_s", nullptr}};
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
  // The store takes 0.1 s for the first transactions (bahir-auction-hunt: latency_ms = 5.0, and 0.05
  // of the requests take up to 25 times as long). The outage begins 0.03 s after a controller has
  // first asked for the leader key.
  bool asked = false, out = false, over = false;
  net::Timer begin(io);
  store.latency = [&](size_t controller, const net::HttpRequest& request) {
    if (request.path != "/multi" || over) return 0.005;
    record.Line("hut-%zu asks the store: %s", controller, request.body.c_str());
    if (!asked) {
      begin.After(0.03, [&] {
        if (!arguments.trouble) return;
        record.Line("the store is out");
        out = true;
        store.SetDown(true);
      });
    }
    asked = true;
    return kSlowS;
  };
  for (size_t i = 0; i < kControllers; ++i) controllers.Start(i, store.address(i), cloud.address());
  Users users(io, controllers.addresses());
  if (!WaitUntil(io, 10, [&] { return asked && (out || !arguments.trouble); })) return 2;
  RunFor(io, kOutageS);
  over = true;
  if (arguments.trouble) {
    store.SetDown(false);
    record.Line("the store serves again");
  }
  for (size_t i = 0; i < kControllers; ++i) {
    if (!WaitUntil(io, 20, [&] { return users.Ask(i, "GET", "/healthz").first == 200; })) return 2;
  }
  RunFor(io, 1);
  const json job = Job("req-000001");
  judge.jobs["req-000001"] = job;
  const double submitted = net::Now();
  const int status = users.Ask(0, "POST", "/api/jobs", job.dump()).first;
  record.Line("submit req-000001 (%s): %d", job.dump().c_str(), status);
  if (status != 201 && status != 200) return 2;
  const auto rented = [&] { return cloud.RentedSince("landing", 0) + cloud.RentedSince("town", 0); };
  double next_line = 0;
  while (net::Now() - submitted <= kBoundS && judge.started == 0) {
    RunFor(io, 0.1);
    if (net::Now() < next_line) continue;
    next_line = net::Now() + 10;
    for (size_t i = 0; i < kControllers; ++i) {
      const auto [answer, told] = users.Ask(i, "GET", "/api/jobs/req-000001");
      record.Line("hut-%zu: healthz %d; GET req-000001: %d %s; requests to rent: %d", i,
                  users.Ask(i, "GET", "/healthz").first, answer, told.dump().c_str(), rented());
    }
  }
  if (!controllers.TakeEnded().empty()) return 2;
  const bool broken = judge.started == 0;
  record.Line("%s: %d tasks started %.0f s after the job was accepted; %d requests to rent", broken ? "BROKEN" : "HELD",
              judge.started, net::Now() - submitted, rented());
  return broken ? 1 : 0;
}
