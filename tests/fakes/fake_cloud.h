// A fake cloud: an HTTP server on loopback, for tests that run the real program.
#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_agent.h"
#include "mosspath/net/http_server.h"

namespace mosspath::fakes {

// Rents out a few machines. Each machine is a FakeAgent, which starts without a boot time. A
// deleted machine is gone with its tasks at once. Encodes the protocol's JSON without the project's
// code.
class FakeCloud {
 public:
  // Passes all arguments on to the agents. `nodes`: addresses of the controllers. `heartbeat_s`:
  // interval between heartbeats. `run_s`: run time of a task.
  FakeCloud(asio::io_context& io, std::vector<std::string> nodes, double heartbeat_s, double run_s);

  std::string address() const;
  size_t rented() const { return agents_.size(); }
  // Jobs whose tasks run until they are stopped.
  std::set<std::string> long_jobs;
  // Returns how many tasks of the job run on all machines together.
  size_t running(const std::string& job) const;
  // Sets the contact of all machines. IsCutOff: whether all machines are without contact.
  void SetContact(FakeAgent::Contact contact);
  bool IsCutOff() const;

 private:
  using Responder = net::HttpServer::Responder;

  void Handle(const net::HttpRequest& request, const Responder& respond);
  void HandleTypes(const Responder& respond);
  void HandleList(const Responder& respond);
  // Rents machines. If the request id repeats, returns the answer to the first request with that
  // id.
  void HandleRent(const net::HttpRequest& request, const Responder& respond);

  void HandleDelete(const net::HttpRequest& request, const Responder& respond);

  asio::io_context& io_;
  const std::vector<std::string> nodes_;
  const double heartbeat_s_;
  const double run_s_;
  std::map<std::string, nlohmann::json> rent_answers_;  // by the id of the request
  std::map<std::string, std::unique_ptr<FakeAgent>> agents_;
  // Kept without contact, since their callbacks may be pending.
  std::vector<std::unique_ptr<FakeAgent>> deleted_agents_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace mosspath::fakes
