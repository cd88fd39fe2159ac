// A burst of submissions of two teams meets a controller that has lost the key-value store.
#include "stand_ins.h"

using namespace stand;

namespace {

constexpr size_t kControllers = 3;

// Like opptak-arkiv, as a small deployment.
const char* kFacts = R"([facts]
initial_size = 3
zones = ["oslo-sal", "tromsoe-sal"]
clock_error_ms = 250.0
[[facts.teams]]
name = "arkivvakta"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "tekstkontroll"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "baandgruppa"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[facts.objectives]]
kind = "wait"
class = "soeketjeneste"
within_s = 8.0
share = 0.93
[facts.workers]
report_s = 8.0
lease_s = 36.0
cancel_s = 56.0
[facts.state]
rps = 200.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 24
[facts.cloud]
rps = 8.0
list_lag_s = 5.0
[facts.limits]
cores = 0.24
memory_mb = 104.0
sockets = 3500
)";

json Job(int number, const std::string& team) {
  char id[32];
  std::snprintf(id, sizeof id, "req-%06d", number);
  return {{"id", id},           {"lot", "arkivrens"}, {"house", team},   {"catch", "array"},
          {"rank", "standard"}, {"crates", 60},       {"vcpus", 4.0},    {"cards", 0.0},
          {"mem_gb", 24.0},     {"kit", "img-07"},    {"size_gb", 1.2},  {"builds", nullptr},
          {"shore", nullptr},   {"together", false},  {"apart", false},  {"loaners", true},
          {"guess_s", 40.0},    {"tally_s", 0.0},     {"stow_s", 0.0},   {"dawn_s", 120.0}};
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  Record record(arguments.folder + "/record.txt");
  asio::io_context io;
  Store store(io, kControllers, {200, 50, 8, 24, 0.004});
  // The cloud has no machine to give, and none is needed here.
  net::HttpServer cloud(io, kAnyPort, {}, [](const net::HttpRequest& request, const Responder& respond) {
    if (request.path == "/flavors") {
      json types = json::array();
      for (const auto& [name, cpus] : {std::pair{"seksten-kjerne", 16.0}, {"sekstifire-kjerne", 64.0}}) {
        types.push_back({{"name", name}, {"vcpus", cpus}, {"cards", 0.0}, {"mem_gb", 8 * cpus},
                         {"local_gb", 80.0}, {"pull_gb_per_s", 0.3}, {"hourly", 1.05},
                         {"low_price", 0.43}, {"startup_s", 30.0},
                         {"shores", {"oslo-sal", "tromsoe-sal"}}});
      }
      return Answer(respond, 200, {{"builds", types}});
    }
    if (request.method == "GET") return Answer(respond, 200, {{"rigs", json::array()}, {"truncated", false}});
    if (request.path == "/hosts/delete") return Answer(respond, 200, json::object());
    Answer(respond, 503, {{"error", "no capacity"}});
  });
  Controllers controllers(io, record, arguments.program, arguments.temp,
                          {"tromsoe-sal", "oslo-sal", "tromsoe-sal"}, kFacts);
  for (size_t i = 0; i < kControllers; ++i) {
    controllers.Start(i, store.address(i), AddressOf(cloud));
  }
  Users users(io, controllers.addresses());
  for (size_t i = 0; i < kControllers; ++i) {
    const bool up = WaitUntil(io, 20, [&] { return users.Ask(i, "GET", "/healthz").first == 200; });
    record.Line("%s healthy: %s", Controllers::Name(i).c_str(), up ? "yes" : "no");
    if (!up) return 2;
  }
  RunFor(io, 3);
  if (!controllers.TakeEnded().empty()) return 2;

  if (arguments.trouble) {
    store.SetCut(0, true);
    record.Line("hut-0 loses the state service, and only that");
  }
  // What comes at the start comes at once.
  std::map<int, int> answers;
  int number = 0, outstanding = 0;
  for (const auto& [team, count] : {std::pair{"arkivvakta", 2}, {"tekstkontroll", 12}, {"arkivvakta", 60}}) {
    for (int i = 0; i < count; ++i) {
      const json job = Job(++number, team);
      ++outstanding;
      users.Send(0, "POST", "/api/jobs", job.dump(), [&, id = job["id"], team = std::string(team)](int status, const json&) {
        record.Line("submit %s of %s at hut-0: %d", id.get<std::string>().c_str(), team.c_str(), status);
        ++answers[status];
        --outstanding;
      });
    }
  }
  record.Line("%d submissions sent to hut-0", number);
  users.Send(0, "GET", "/healthz", "", [&](int status, const json&) { record.Line("GET /healthz at hut-0: %d", status); });
  std::vector<size_t> ended;
  WaitUntil(io, 10, [&] {
    for (const size_t i : controllers.TakeEnded()) ended.push_back(i);
    return outstanding == 0 && !ended.empty();
  });
  for (const auto& [status, count] : answers) record.Line("answers with status %d: %d", status, count);
  store.SetCut(0, false);
  RunFor(io, 2);
  for (const size_t i : controllers.TakeEnded()) ended.push_back(i);
  if (ended.empty()) {
    record.Line("HELD: no controller ended by itself");
    return 0;
  }
  record.Line("BROKEN: %zu controllers ended by themselves", ended.size());
  return 1;
}
