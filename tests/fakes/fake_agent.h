// A fake agent that serves and sends HTTP on loopback, for tests that run the real program.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "mosspath/net/http_client.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/timer.h"

namespace mosspath::fakes {

// Runs every task for a fixed time and sends a heartbeat soon after it executes commands and after
// a task ends. Encodes the protocol's JSON without the project's code.
class FakeAgent {
 public:
  // `nodes`: addresses of the controllers. `heartbeat_s`: interval between heartbeats. Tasks run
  // for `run_s` seconds, or, if their job is in `long_jobs`, until they are stopped. `long_jobs`
  // must outlive the agent.
  FakeAgent(asio::io_context& io, std::string id, std::vector<std::string> nodes,
            double heartbeat_s, double run_s, const std::set<std::string>& long_jobs);

  // How far the network lets the agent and the controllers reach each other.
  enum class Contact {
    kFull,
    kNone,       // no heartbeats are sent, and direct commands get no answer
    kOneAnswer,  // as kNone, but heartbeats are sent until one of them is answered with status 200
  };
  void set_contact(Contact contact) { contact_ = contact; }
  Contact contact() const { return contact_; }

  // Returns how many tasks of the job run on this agent.
  size_t running(const std::string& job) const;

 private:
  void OnRequest(const net::HttpRequest& request, const net::HttpServer::Responder& respond);
  void SendHeartbeat();
  void SendHeartbeatSoon();
  void OnHeartbeatAnswered(const net::HttpResult& result);
  nlohmann::json MakeHeartbeat();
  void Execute(const nlohmann::json& commands);
  void Start(const std::string& attempt, const nlohmann::json& command);
  void Stop(const std::string& attempt);

  asio::io_context& io_;
  const std::string id_;
  const std::vector<std::string> nodes_;
  const double heartbeat_s_;
  const double run_s_;
  const std::set<std::string>& long_jobs_;
  Contact contact_ = Contact::kFull;
  size_t node_index_ = 0;
  uint64_t fencing_token_ = 0;
  uint64_t sequence_ = 0;
  bool awaiting_answer_ = false;
  std::map<std::string, nlohmann::json> tasks_;  // Heartbeat entries by "TASK ATTEMPT".
  std::vector<std::unique_ptr<net::Timer>> run_timers_;
  net::Timer heartbeat_timer_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;  // One client per address in nodes_.
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace mosspath::fakes
