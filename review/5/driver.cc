// Submissions are repeated after their jobs are over; then users submit new jobs.
#include "stand_ins.h"

using namespace stand;

namespace {

constexpr size_t kControllers = 3;
constexpr int kSweeps = 5;
constexpr int kSweepTasks = 98000;     // PROTOCOL: "number of tasks, at most 100,000"
constexpr int kRepeats = 20;           // at each controller
constexpr int kNewJobs = 12;
constexpr double kUserGivesUpS = 60;   // PROTOCOL: "for up to 60 s in total"

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
kind = "wait"
class = "pricesheet"
within_s = 3.0
share = 0.88
[[facts.objectives]]
kind = "finished"
class = "ledger-redo"
within_s = 400.0
share = 0.97
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

std::string Id(int number) {
  char id[32];
  std::snprintf(id, sizeof id, "req-%06d", number);
  return id;
}

json Job(int number, const std::string& lot, const std::string& rank, int crates) {
  return {{"id", Id(number)},   {"lot", lot},         {"house", "auction-desk"}, {"catch", "array"},
          {"rank", rank},       {"crates", crates},   {"vcpus", 1.0},    {"cards", 0.0},
          {"mem_gb", 2.3},      {"kit", "img-01"},    {"size_gb", 0.6},  {"builds", nullptr},
          {"shore", nullptr},   {"together", false},  {"apart", false},  {"loaners", true},
          {"guess_s", 35.0},    {"tally_s", 0.0},     {"stow_s", 0.0},   {"dawn_s", nullptr}};
}

// A user who submits one job as the protocol says: any answer other than 200, 201, 400 and 422 is
// retried after 1 s or Retry-After (1 s is assumed here: the earliest allowed), at the next
// controller, for 60 s.
struct Submitter {
  asio::io_context& io;
  Users& users;
  Record& record;
  json job;
  size_t controller;
  double first_at = 0;
  int tries = 0;
  int last_status = 0;
  bool accepted = false;
  bool over = false;
  net::Timer timer;

  Submitter(asio::io_context& i, Users& u, Record& r, json j, size_t c)
      : io(i), users(u), record(r), job(std::move(j)), controller(c), timer(i) {}
  void Try() {
    if (first_at == 0) first_at = net::Now();
    ++tries;
    users.Send(controller, "POST", "/api/jobs", job.dump(), [this](int status, const json& body) {
      last_status = status;
      const std::string id = job["id"];
      if (tries <= 3 || status == 200 || status == 201) {
        record.Line("submit %s (%s, %d tasks) at hut-%zu: %d %s", id.c_str(),
                    job["lot"].get<std::string>().c_str(), job["crates"].get<int>(), controller, status,
                    body.is_discarded() ? "" : body.dump().c_str());
      }
      accepted = status == 200 || status == 201;
      if (accepted || status == 400 || status == 422 || net::Now() - first_at > kUserGivesUpS) {
        over = true;
        if (!accepted) record.Line("the user of %s gives up after %d tries, last status %d", id.c_str(), tries, status);
        return;
      }
      controller = (controller + 1) % kControllers;
      timer.After(1.0, [this] { Try(); });
    });
  }
};

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  Record record(arguments.folder + "/record.txt");
  asio::io_context io;
  Store store(io, kControllers, {350, 35, 32, 20, 0.005});
  // The cloud has no machine to give, and none is needed to accept a job.
  net::HttpServer cloud(io, kAnyPort, {}, [](const net::HttpRequest& request, const Responder& respond) {
    if (request.path == "/flavors") {
      return Answer(respond, 200,
                    {{"builds", {{{"name", "shore-box"}, {"vcpus", 32.0}, {"cards", 0.0}, {"mem_gb", 256.0},
                                  {"local_gb", 60.0}, {"pull_gb_per_s", 0.6}, {"hourly", 2.41},
                                  {"low_price", 0.76}, {"startup_s", 35.0}, {"shores", {"landing", "town"}}}}}});
    }
    if (request.method == "GET") return Answer(respond, 200, {{"rigs", json::array()}, {"truncated", false}});
    if (request.path == "/hosts/delete") return Answer(respond, 200, json::object());
    Answer(respond, 503, {{"error", "no capacity"}});
  });
  Controllers controllers(io, record, arguments.program, arguments.temp,
                          {"landing", "landing", "landing"}, kFacts);
  for (size_t i = 0; i < kControllers; ++i) controllers.Start(i, store.address(i), AddressOf(cloud));
  Users users(io, controllers.addresses());
  for (size_t i = 0; i < kControllers; ++i) {
    const bool up = WaitUntil(io, 20, [&] { return users.Ask(i, "GET", "/healthz").first == 200; });
    record.Line("%s healthy: %s", Controllers::Name(i).c_str(), up ? "yes" : "no");
    if (!up) return 2;
  }
  RunFor(io, 2);

  // Large sweeps are submitted and called off.
  for (int n = 1; n <= kSweeps; ++n) {
    const json job = Job(n, "basin-sweep", "low", kSweepTasks);
    const auto [status, answer] = users.Ask(0, "POST", "/api/jobs", job.dump());
    record.Line("submit %s (%d tasks) at hut-0: %d", Id(n).c_str(), kSweepTasks, status);
    if (status != 201) return 2;
    const auto [cancelled, body] = users.Ask(0, "POST", "/api/jobs/" + Id(n) + "/cancel");
    record.Line("cancel %s at hut-0: %d %s", Id(n).c_str(), cancelled, body.dump().c_str());
    if (cancelled != 200) return 2;
    RunFor(io, 0.2);
  }
  // The submissions are repeated after the jobs are over, at all controllers.
  if (arguments.trouble) {
    for (size_t i = 0; i < kControllers; ++i) {
      for (int k = 0; k < kRepeats; ++k) {
        const int n = 1 + k % kSweeps;
        const json job = Job(n, "basin-sweep", "low", kSweepTasks);
        const auto [again, body] = users.Ask(i, "POST", "/api/jobs", job.dump());
        record.Line("submit %s again at hut-%zu: %d %s", Id(n).c_str(), i, again, body.dump().c_str());
        RunFor(io, 0.4);
      }
    }
  }
  RunFor(io, 5);
  for (size_t i = 0; i < kControllers; ++i) {
    const json status = users.Ask(i, "GET", "/status.json").second;
    record.Line("status of hut-%zu: admission %s", i,
                status.is_object() ? status.value("admission", json()).dump().c_str() : "?");
  }
  // No job is live now. New ones come.
  std::vector<std::unique_ptr<Submitter>> submitters;
  for (int n = 0; n < kNewJobs; ++n) {
    const bool urgent = n % 2 == 0;
    submitters.push_back(std::make_unique<Submitter>(
        io, users, record, Job(1000 + n, urgent ? "pricesheet" : "tally", urgent ? "high" : "standard", urgent ? 40 : 36),
        static_cast<size_t>(n) % kControllers));
    submitters.back()->Try();
  }
  WaitUntil(io, kUserGivesUpS + 10, [&] {
    return std::all_of(submitters.begin(), submitters.end(), [](const auto& s) { return s->over; });
  });
  int accepted = 0;
  for (const auto& s : submitters) accepted += s->accepted ? 1 : 0;
  if (!controllers.TakeEnded().empty()) return 2;
  const bool broken = 2 * accepted < kNewJobs;
  record.Line("%s: %d of %d new jobs were accepted within 60 s", broken ? "BROKEN" : "HELD", accepted, kNewJobs);
  return broken ? 1 : 0;
}
