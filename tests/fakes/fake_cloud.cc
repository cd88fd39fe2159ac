#include "fakes/fake_cloud.h"

#include <algorithm>
#include <utility>

#include "fakes/loopback.h"

namespace mosspath::fakes {
namespace {

using nlohmann::json;

constexpr size_t kMaxMachines = 3;
constexpr size_t kFirstMachineNumber = 100000;
constexpr size_t kMachineNumbersPerRequest = 50;

void Respond(const net::HttpServer::Responder& respond, int status, const json& body) {
  respond({status, body.dump()});
}

}  // namespace

FakeCloud::FakeCloud(asio::io_context& io, std::vector<std::string> nodes, double heartbeat_s,
                     double run_s)
    : io_(io), nodes_(std::move(nodes)), heartbeat_s_(heartbeat_s), run_s_(run_s) {
  server_ = std::make_unique<net::HttpServer>(
      io, kAnyLoopbackPort, net::HttpServer::Options{},
      [this](const net::HttpRequest& request, const Responder& respond) {
        Handle(request, respond);
      });
}

std::string FakeCloud::address() const { return LoopbackAddress(*server_); }

void FakeCloud::SetContact(FakeAgent::Contact contact) {
  for (auto& [id, agent] : agents_) agent->set_contact(contact);
}

bool FakeCloud::IsCutOff() const {
  return std::all_of(agents_.begin(), agents_.end(), [](const auto& entry) {
    return entry.second->contact() == FakeAgent::Contact::kNone;
  });
}

size_t FakeCloud::running(const std::string& job) const {
  size_t tasks = 0;
  for (const auto& [id, agent] : agents_) tasks += agent->running(job);
  return tasks;
}

void FakeCloud::Handle(const net::HttpRequest& request, const Responder& respond) {
  if (request.path == "/flavors") return HandleTypes(respond);
  if (request.path == "/hosts" && request.method == "GET") return HandleList(respond);
  if (request.path == "/hosts") return HandleRent(request, respond);
  if (request.path == "/hosts/delete") return HandleDelete(request, respond);
  Respond(respond, 200, json::object());
}

void FakeCloud::HandleTypes(const Responder& respond) {
  Respond(respond, 200,
          {{"builds",
            {{{"name", "box"},
              {"vcpus", 8.0},
              {"cards", 0.0},
              {"mem_gb", 32.0},
              {"local_gb", 20.0},
              {"pull_gb_per_s", 1.0},
              {"hourly", 1.0},
              {"low_price", 0.0},
              {"startup_s", 1.0},
              {"shores", {"a"}}}}}});
}

void FakeCloud::HandleList(const Responder& respond) {
  json machines = json::array();
  for (const auto& [id, agent] : agents_) {
    machines.push_back({{"id", id},
                        {"endpoint", "127.0.0.1:1"},
                        {"build", "box"},
                        {"shore", "a"},
                        {"loaners", false},
                        {"stage", "running"},
                        {"age_s", 1.0}});
  }
  Respond(respond, 200, {{"rigs", machines}, {"truncated", false}});
}

void FakeCloud::HandleRent(const net::HttpRequest& request, const Responder& respond) {
  const json body = json::parse(request.body);
  const std::string request_id = body.at("hire");
  if (rent_answers_.contains(request_id)) return Respond(respond, 200, rent_answers_[request_id]);
  json machines = json::array();
  const size_t first_number =
      kFirstMachineNumber + rent_answers_.size() * kMachineNumbersPerRequest;
  const auto count = body.at("count").get<size_t>();
  for (size_t i = 0; i < count && agents_.size() < kMaxMachines; ++i) {
    const std::string id = "vm-" + std::to_string(first_number + i);
    machines.push_back(id);
    agents_[id] = std::make_unique<FakeAgent>(io_, id, nodes_, heartbeat_s_, run_s_, long_jobs);
  }
  if (machines.empty()) return Respond(respond, 503, {{"error", "no capacity"}});
  rent_answers_[request_id] = {{"rigs", machines}};
  Respond(respond, 200, rent_answers_[request_id]);
}

void FakeCloud::HandleDelete(const net::HttpRequest& request, const Responder& respond) {
  const json body = json::parse(request.body);
  for (const json& id : body.at("rigs")) {
    auto deleted = agents_.extract(id.get<std::string>());
    if (deleted.empty()) continue;
    deleted.mapped()->set_contact(FakeAgent::Contact::kNone);
    deleted_agents_.push_back(std::move(deleted.mapped()));
  }
  Respond(respond, 200, json::object());
}

}  // namespace mosspath::fakes
