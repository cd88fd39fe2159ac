// Stand-ins for everything that the controllers talk to, as PROTOCOL-mosspath.md describes it: the
// state service, the cloud, workers and users, all on loopback addresses and the real clock, and a
// TCP proxy between controllers. The controllers themselves are processes of the project's own
// program, started with the command of the deploy file. Everything that a rule can see is written
// to the record file and checked as it happens.
#pragma once

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mosspath/net/http_client.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/timer.h"

namespace review {

using mosspath::net::HttpClient;
using mosspath::net::HttpRequest;
using mosspath::net::HttpResponse;
using mosspath::net::HttpResult;
using mosspath::net::HttpServer;
using mosspath::net::Now;
using mosspath::net::Timer;
using nlohmann::json;
using Responder = HttpServer::Responder;

// The facts of the deployment that a case uses.
struct Facts {
  int nodes = 3;
  std::vector<std::string> zones = {"landing"};
  double report_s = 1.5, lease_s = 12, cancel_s = 42;
  double state_rps = 250, state_write_rps = 25, value_kb = 32;
  int txn_ops = 20;
  double cloud_rps = 5, list_lag_s = 3;
  double cores = 1.0, memory_mb = 400, sockets = 1000;
  std::string teams;                       // TOML of [[facts.teams]]
  std::string objectives;                  // TOML of [[facts.objectives]]
  std::string more_state;                  // further lines of [facts.state]
  std::map<std::string, double> cpus_max;  // limits of the teams, for the check
};

struct FlavorSpec {
  std::string name;
  double cpus, mem_gb, local_gb, pull, hourly, low, startup_s;
  std::vector<std::string> zones;
  double cards = 0;
};

class World;

class Record {
 public:
  explicit Record(const std::string& path) : out_(path), begin_(Now()) {}
  void Line(const std::string& text);
  double T() const { return Now() - begin_; }

 private:
  std::ofstream out_;
  double begin_;
};

// ------------------------------------------------------------------ state service
class Store {
 public:
  Store(World& world, int addresses);
  std::string address(int i) const { return "127.0.0.1:" + std::to_string(servers_[i]->port()); }

  bool down = false;          // outage: 503, leases kept
  std::set<int> refused;      // 503 to these nodes alone
  std::set<int> cut;          // no answer to these nodes
  double latency_s = 0;       // of each answer
  double value_limit_kb = 0;  // 0: none
  int ops_limit = 0;          // 0: none
  double late_share = 0;      // share of transactions that are carried out late, unanswered
  double lost_share = 0;      // share of transactions whose answer alone is lost
  std::function<bool(const json&)> hold_transaction;  // true: carried out late by ReleaseHeld
  void ReleaseHeld();
  std::function<void()> on_change;
  void EndOutage();
  uint64_t revision() const { return revision_; }
  const std::map<std::string, json>& pairs() const { return pairs_; }
  size_t too_large = 0;

 private:
  struct Lease {
    double life_s;
    double ends_at;
  };
  struct Watch {
    std::string prefix;
    uint64_t since;
    Responder respond;
    int node;
    double until;
    bool answered = false;
  };
  bool Refuses(int node) const { return down || refused.contains(node); }
  void Handle(int node, const HttpRequest& request, Responder respond);
  void Transaction(int node, const std::string& body, const Responder& respond);
  HttpResponse Execute(const json& body);
  void Apply(const std::string& key, const json* value, uint64_t lease);
  void AnswerWatches();
  void Sweep();
  std::vector<json> Changes(const std::string& prefix, uint64_t since) const;

  World& world_;
  uint64_t revision_ = 100;
  uint64_t last_lease_ = 0;
  std::map<std::string, json> pairs_;
  std::deque<json> changes_;
  std::map<uint64_t, Lease> leases_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::vector<json> held_;
  std::vector<std::shared_ptr<Timer>> timers_;
  Timer sweep_;
};

// ------------------------------------------------------------------ jobs, as their users know them
struct JobInfo {
  json spec;
  std::string id;
  int tasks = 0;
  double run_s = 1;
  bool submitted = false;       // a submission was sent
  double accepted_at = -1;      // first 200 or 201 answer
  double cancel_asked_at = -1;  // the user has asked to cancel
  double cancelled_at = -1;     // told "aborted"
  double done_told_at = -1;     // told "done"
  double last_done_at = -1;     // the last task completed
  double last_answer_at = -1;   // a poll was answered
  std::set<int> done;           // tasks with a result
  int starts = 0;
};

// ------------------------------------------------------------------ workers
class Agent {
 public:
  Agent(World& world, std::string id, const FlavorSpec& flavor, std::string zone, bool spot,
        int port = 0);
  ~Agent();
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(port_); }
  unsigned short port() const { return port_; }
  void Hang(double seconds);
  void Stop();  // the machine is gone with all that is on it

  bool mute = false;  // its reports reach no controller
  bool deaf = false;  // answers and direct commands to it are lost
  bool cut = false;   // both
  double warning_s = -1;
  double speed = 1;
  bool sick = false;  // fails every task that it starts
  // Called with a direct command; true: it is held by the caller, who calls Deliver later.
  std::function<bool(const HttpRequest&)> hold_command;
  HttpResponse Deliver(const std::string& body);

  std::string id;
  FlavorSpec flavor;
  std::string zone;
  bool spot;
  uint64_t shift = 1, tick = 0, baton = 0;
  bool gone = false;
  bool hung() const { return hung_; }
  size_t tasks() const { return tasks_.size(); }

  struct Task {
    std::string crate;
    uint64_t attempt = 0;
    std::string stage = "fetching";
    std::string cause;
    bool saved = false;
    bool on = false;  // has its image and has not ended
    double until = 0;
  };
  const std::map<std::pair<std::string, uint64_t>, Task>& all() const { return tasks_; }
  std::vector<std::string> last_reports;  // texts of reports, for copies that arrive late
  bool keep_reports = false;
  uint64_t reports_answered = 0;
  std::string node_of_last_answer;

 private:
  friend class World;
  void Sweep();
  void Answer(const HttpRequest& request, const Responder& respond);
  json MakeReport();
  void SendReport();
  void Plan(double seconds);
  void Changed();
  void OnAnswer(const HttpResult& result, uint64_t shift_sent, double sent_at);
  void Execute(const json& calls);
  void EndTask(Task& task, const std::string& cause, bool saved = false);
  void KillAll(const std::string& why);
  double used(const char* field) const;

  World& world_;
  int node_ = 0;
  bool in_flight_ = false;
  double lease_from_;
  double last_report_at_ = -1e9;
  double next_report_at_ = 0;
  double last_token_report_ = -1e9;
  bool hung_ = false;
  double hung_until_ = 0;
  std::vector<std::function<void()>> waiting_;
  std::map<std::pair<std::string, uint64_t>, Task> tasks_;
  std::map<std::string, double> images_;
  unsigned short port_ = 0;
  Timer sweep_, report_timer_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  std::unique_ptr<HttpServer> server_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// ------------------------------------------------------------------ cloud
class Cloud {
 public:
  explicit Cloud(World& world);
  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  Agent* AddUp(const std::string& flavor, const std::string& zone, bool spot, int port = 0);
  bool down = false;
  size_t max_machines = 6;
  std::optional<int> next_port;
  double boot_factor = 0.1;
  std::map<std::string, std::unique_ptr<Agent>> agents;
  std::vector<std::unique_ptr<Agent>> gone;
  void Take(const std::string& id);
  double list_lag_s = 0;
  std::function<void(const std::vector<std::string>&)> on_delete;
  size_t hires() const { return asked_; }  // requests to rent, whatever the answer

 private:
  struct Host {
    std::string id, flavor, zone;
    bool spot = false;
    double rented_at = 0, up_at = 0, gone_at = 1e18;
    std::string endpoint;
    bool taken = false, failed = false;
  };
  void Handle(const HttpRequest& request, const Responder& respond);
  void Sweep();
  World& world_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, json> hires_;
  size_t asked_ = 0;
  int next_ = 100001;
  Timer sweep_;
  std::unique_ptr<HttpServer> server_;
};

// ------------------------------------------------------------------ a TCP proxy between
// controllers
class Proxy {
 public:
  Proxy(asio::io_context& io, std::string to);
  std::string address() const;
  enum class Mode { kPass, kHold, kReset } mode = Mode::kPass;
  void Set(Mode m);

 private:
  struct Link;
  void Accept();
  asio::io_context& io_;
  asio::ip::tcp::endpoint to_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Link>> links_;
};

// ------------------------------------------------------------------ all of it
class World {
 public:
  World(Facts facts, std::vector<FlavorSpec> flavors, const std::string& record_path,
        std::string program, std::string folder, uint64_t seed);
  ~World();

  void StartNode(int node);
  void KillNode(int node);
  void SignalNode(int node, int signal);
  bool Running(int node) const { return pid_[node] > 0; }
  // Runs the event loop.
  void RunFor(double seconds);
  bool RunUntil(const std::function<bool()>& condition, double limit_s);
  bool AllHealthy(double limit_s);

  struct Reply {
    int status = 0;
    json body;
    double sent_at = 0;
  };
  void Ask(int node, const std::string& method, const std::string& path, const std::string& body,
           double timeout_s, std::function<void(Reply)> done);
  Reply AskNow(int node, const std::string& method, const std::string& path,
               const std::string& body = {}, double timeout_s = 5);
  int Leader();  // by the leader key; -1: none

  // A user who submits the job and repeats it for up to 60 s.
  JobInfo& Submit(json spec, double run_s, int node = -1);
  void Poll(const std::string& id, int node = -1);
  // A user who cancels, and repeats it until answered.
  void Cancel(const std::string& id, int node = -1);
  void KeepPolling(double every_s);
  json Spec(const std::string& id, int tasks);
  void Check(const std::string& id, const Reply& reply);
  int PickNode();

  // --- rules
  void Broken(const std::string& rule, const std::string& what);
  void OnTaskOn(Agent& agent, Agent::Task& task);
  void OnTaskOff(Agent& agent, Agent::Task& task, const std::string& cause);
  std::map<std::string, int> broken;
  void CheckCancelled();
  int running(const std::string& job) const;

  asio::io_context io;
  Facts facts;
  std::vector<FlavorSpec> flavors;
  std::mt19937_64 random;
  double Uniform(double a, double b) { return std::uniform_real_distribution<>(a, b)(random); }
  Record record;
  std::map<std::string, JobInfo> jobs;
  std::map<std::string, std::set<Agent*>> on;  // crate -> machines that it is on
  std::unique_ptr<Store> store;
  std::unique_ptr<Cloud> cloud;
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> proxies;
  std::vector<std::string> public_address;
  std::set<int> cut_from_users, cut_from_agents;
  const FlavorSpec& Flavor(const std::string& name) const;
  bool node_healthy(int n) const { return healthy_[n]; }
  void Later(double seconds, std::function<void()> f);

 private:
  std::string WriteSettings(int node);
  void TrySubmit(const std::string& id, int node, double until);
  void TryCancel(const std::string& id, int node);
  void Probe();
  std::string program_, folder_;
  std::vector<pid_t> pid_;
  std::vector<bool> healthy_;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> reserved_;
  std::vector<std::string> peer_address_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  std::vector<std::shared_ptr<Timer>> later_;
  Timer probe_, poll_, watch_;
  std::map<std::string, double> team_cpus_;
};

}  // namespace review
