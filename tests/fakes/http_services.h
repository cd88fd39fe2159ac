// The state service, the cloud and workers as HTTP servers on loopback, for runs of the real
// program. They speak the protocol's JSON themselves and share no message code with the project.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "mosspath/net/http_client.h"
#include "mosspath/net/http_server.h"

namespace mosspath::fakes {

class FakeKeyValueStore {
 public:
  // With so many addresses, so that each client can be refused alone.
  explicit FakeKeyValueStore(asio::io_context& io, size_t addresses = 1);
  std::string address(size_t i = 0) const;
  bool down = false;                         // answers 503, and no grant runs out
  std::set<size_t> refused;                  // who comes by these addresses gets 503
  size_t single_reads = 0;                   // of one key
  std::function<void()> before_single_read;  // called ahead of the next one
  bool lose_changes = false;                 // the answers to changes, which are carried out
  // Writes it as somebody else would.
  uint64_t Put(const std::string& key, const nlohmann::json& value);
  const std::map<std::string, nlohmann::json>& pairs() const { return pairs_; }

 private:
  struct Waiting {
    std::string prefix;
    uint64_t since;
    net::HttpServer::Responder respond;
    std::unique_ptr<net::Timer> timer;
    bool done = false;
    size_t by;
  };
  bool Refuses(size_t by) const { return down || refused.contains(by); }
  void Handle(size_t by, const net::HttpRequest& r, const net::HttpServer::Responder& respond);
  void Multi(const nlohmann::json& body, const net::HttpServer::Responder& respond);
  void Follow(size_t by, const std::string& prefix, uint64_t since, int wait_ms,
              const net::HttpServer::Responder& respond);
  void Wake();
  void Change(const std::string& key, const nlohmann::json* value, uint64_t grant);
  nlohmann::json LogOf(const std::string& prefix, uint64_t since);
  void Arm(uint64_t grant);

  asio::io_context& io_;
  uint64_t revision_ = 0;
  uint64_t next_grant_ = 0;
  std::map<std::string, nlohmann::json> pairs_;  // key -> {k, v, mark, berth}
  std::vector<nlohmann::json> log_;
  struct GrantState {
    double life;
    std::unique_ptr<net::Timer> timer;
  };
  std::map<uint64_t, GrantState> grants_;
  std::vector<std::shared_ptr<Waiting>> waiting_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
};

// A worker that runs every task for a moment and reports on any change.
class FakeAgent {
 public:
  // `long_jobs`: tasks of these run until they are stopped.
  FakeAgent(asio::io_context& io, std::string id, std::vector<std::string> nodes, double report_s,
            double run_s, const std::set<std::string>& long_jobs);
  size_t running(const std::string& job) const;

 private:
  void Report();
  void Soon();
  void Execute(const nlohmann::json& calls);
  nlohmann::json Message();

  asio::io_context& io_;
  const std::string id_;
  const std::vector<std::string> nodes_;
  const double report_s_;
  const double run_s_;
  const std::set<std::string>& long_jobs_;
  size_t node_ = 0;
  uint64_t token_ = 0;
  uint64_t seq_ = 0;
  bool waiting_ = false;
  std::map<std::string, nlohmann::json> tasks_;  // "crate try" -> report entry
  std::vector<std::unique_ptr<net::Timer>> timers_;
  net::Timer report_timer_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  std::unique_ptr<net::HttpServer> server_;
};

class FakeCloud {
 public:
  FakeCloud(asio::io_context& io, std::vector<std::string> nodes, double report_s, double run_s);
  std::string address() const;
  size_t rented() const { return workers_.size(); }
  std::set<std::string> long_jobs;
  // Tasks of the job that are on any machine.
  size_t running(const std::string& job) const;

 private:
  void Handle(const net::HttpRequest& r, const net::HttpServer::Responder& respond);

  asio::io_context& io_;
  const std::vector<std::string> nodes_;
  const double report_s_;
  const double run_s_;
  std::map<std::string, nlohmann::json> hires_;
  std::map<std::string, std::unique_ptr<FakeAgent>> workers_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace mosspath::fakes
