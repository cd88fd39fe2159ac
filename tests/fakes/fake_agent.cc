#include "fakes/fake_agent.h"

#include <algorithm>
#include <utility>

#include "fakes/loopback.h"

namespace mosspath::fakes {
namespace {

using nlohmann::json;

constexpr double kPromptHeartbeatDelayS = 0.05;
constexpr double kHeartbeatTimeoutS = 4.0;
constexpr double kNextNodeDelayS = 0.2;
constexpr int kAgentEpoch = 1;

}  // namespace

FakeAgent::FakeAgent(asio::io_context& io, std::string id, std::vector<std::string> nodes,
                     double heartbeat_s, double run_s, const std::set<std::string>& long_jobs)
    : io_(io),
      id_(std::move(id)),
      nodes_(std::move(nodes)),
      heartbeat_s_(heartbeat_s),
      run_s_(run_s),
      long_jobs_(long_jobs),
      heartbeat_timer_(io) {
  for (const auto& node : nodes_) {
    clients_.push_back(std::make_unique<net::HttpClient>(io, node, net::HttpClient::Options{}));
  }
  server_ = std::make_unique<net::HttpServer>(
      io, kAnyLoopbackPort, net::HttpServer::Options{},
      [this](const net::HttpRequest& request, const net::HttpServer::Responder& respond) {
        OnRequest(request, respond);
      });
  SendHeartbeat();
}

void FakeAgent::OnRequest(const net::HttpRequest& request,
                          const net::HttpServer::Responder& respond) {
  if (contact_ != Contact::kFull) return;
  if (request.path == "/commands") {
    const json body = json::parse(request.body);
    if (body.at("baton").get<uint64_t>() < fencing_token_ || body.at("shift") != kAgentEpoch) {
      return respond({409, MakeHeartbeat().dump()});
    }
    fencing_token_ = body["baton"];
    Execute(body.at("calls"));
  }
  respond({200, MakeHeartbeat().dump()});
}

json FakeAgent::MakeHeartbeat() {
  json tasks = json::array();
  for (const auto& [attempt, entry] : tasks_) tasks.push_back(entry);
  return {{"rig", id_},           {"endpoint", LoopbackAddress(*server_)},
          {"build", "box"},       {"shore", "a"},
          {"loaners", false},     {"shift", kAgentEpoch},
          {"tick", ++sequence_},  {"baton", fencing_token_},
          {"warning_s", nullptr}, {"crates", tasks}};
}

void FakeAgent::SendHeartbeatSoon() {
  heartbeat_timer_.After(kPromptHeartbeatDelayS, [this] { SendHeartbeat(); });
}

void FakeAgent::SendHeartbeat() {
  if (awaiting_answer_) return;
  if (contact_ == Contact::kNone) {
    heartbeat_timer_.After(heartbeat_s_, [this] { SendHeartbeat(); });
    return;
  }
  awaiting_answer_ = true;
  clients_[node_index_]->Send("POST", "/v1/report", MakeHeartbeat().dump(), kHeartbeatTimeoutS,
                              [this](const net::HttpResult& result) {
                                awaiting_answer_ = false;
                                OnHeartbeatAnswered(result);
                              });
}

void FakeAgent::OnHeartbeatAnswered(const net::HttpResult& result) {
  if (result.status != 200) {
    node_index_ = (node_index_ + 1) % nodes_.size();
    heartbeat_timer_.After(kNextNodeDelayS, [this] { SendHeartbeat(); });
    return;
  }
  const json body = json::parse(result.body);
  const uint64_t token = body.at("baton");
  const bool new_leader = token > fencing_token_;
  if (token >= fencing_token_) {
    fencing_token_ = token;
    Execute(body.at("calls"));
  }
  if (contact_ == Contact::kOneAnswer) contact_ = Contact::kNone;
  heartbeat_timer_.After(new_leader ? kPromptHeartbeatDelayS : heartbeat_s_,
                         [this] { SendHeartbeat(); });
}

void FakeAgent::Execute(const json& commands) {
  for (const json& command : commands) {
    const std::string attempt = command.at("crate").get<std::string>() + " " +
                                std::to_string(command.at("try").get<uint64_t>());
    const std::string type = command.at("call");
    if (type == "reap") {
      tasks_.erase(attempt);
    } else if (type == "halt") {
      Stop(attempt);
    } else {
      Start(attempt, command);
    }
  }
  if (!commands.empty()) SendHeartbeatSoon();
}

void FakeAgent::Stop(const std::string& attempt) {
  const auto task = tasks_.find(attempt);
  if (task == tasks_.end()) return;
  task->second["stage"] = "ended";
  task->second["cause"] = "stopped";
}

void FakeAgent::Start(const std::string& attempt, const json& command) {
  if (tasks_.contains(attempt)) return;
  tasks_[attempt] = {{"crate", command["crate"]}, {"try", command["try"]}, {"stage", "running"}};
  const std::string job = attempt.substr(0, attempt.find('/'));
  if (long_jobs_.contains(job)) return;
  run_timers_.push_back(std::make_unique<net::Timer>(io_));
  run_timers_.back()->After(run_s_, [this, attempt] {
    const auto task = tasks_.find(attempt);
    if (task == tasks_.end() || task->second["stage"] != "running") return;
    task->second["stage"] = "ended";
    task->second["cause"] = "done";
    SendHeartbeatSoon();
  });
}

size_t FakeAgent::running(const std::string& job) const {
  return static_cast<size_t>(std::count_if(tasks_.begin(), tasks_.end(), [&](const auto& task) {
    return task.first.starts_with(job + "/") && task.second.at("stage") == "running";
  }));
}

}  // namespace mosspath::fakes
