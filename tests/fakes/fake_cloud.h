// The cloud as an HTTP server on loopback, for runs of the real program.
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

// Rents out a few machines, each of which is a fake agent that is up at once. Deletions are
// answered but ignored. Speaks the protocol's JSON itself.
class FakeCloud {
 public:
  // `nodes`: addresses of the controllers; the other arguments are its agents'.
  FakeCloud(asio::io_context& io, std::vector<std::string> nodes, double heartbeat_s, double run_s);

  std::string address() const;
  size_t rented() const { return agents_.size(); }
  // Jobs whose tasks run until they are stopped.
  std::set<std::string> long_jobs;
  // How many tasks of the job run on any machine.
  size_t running(const std::string& job) const;

 private:
  using Responder = net::HttpServer::Responder;

  void Handle(const net::HttpRequest& request, const Responder& respond);
  void HandleTypes(const Responder& respond);
  void HandleList(const Responder& respond);
  // A repeated request is answered as the first time.
  void HandleRent(const net::HttpRequest& request, const Responder& respond);

  asio::io_context& io_;
  const std::vector<std::string> nodes_;
  const double heartbeat_s_;
  const double run_s_;
  std::map<std::string, nlohmann::json> rent_answers_;  // by the name of the request
  std::map<std::string, std::unique_ptr<FakeAgent>> agents_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace mosspath::fakes
