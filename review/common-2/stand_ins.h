// Stand-ins for the cases of the second review: a key-value store, a cloud, workers and users that
// follow the protocol, and the controllers as separate processes. Everything listens on loopback.
// One thread runs all stand-ins. The HTTP messages go through the project's own HttpServer and
// HttpClient; the JSON is written and read here, without the project's code.
#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "mosspath/net/http_client.h"
#include "mosspath/net/http_server.h"
#include "mosspath/net/timer.h"

namespace stand {

using nlohmann::json;
namespace net = mosspath::net;
using Responder = net::HttpServer::Responder;

inline const char* kAnyPort = "127.0.0.1:0";

inline std::string AddressOf(const net::HttpServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

inline void Answer(const Responder& respond, int status, const json& body) {
  respond({status, body.dump()});
}

inline std::string Parameter(const net::HttpRequest& request, const std::string& name) {
  const std::string query = "&" + request.query;
  const size_t at = query.find("&" + name + "=");
  if (at == std::string::npos) return {};
  const size_t begin = at + name.size() + 2;
  const size_t end = query.find('&', begin);
  return query.substr(begin, end == std::string::npos ? end : end - begin);
}

// ---------------------------------------------------------------------------- the record

// Writes record.txt in the folder of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(net::Now()) {
    if (file_ == nullptr) {
      std::fprintf(stderr, "can't write %s\n", path.c_str());
      std::exit(2);
    }
  }
  ~Record() { std::fclose(file_); }
  double now() const { return net::Now() - start_; }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    std::fprintf(file_, "%8.3f ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  double start_;
};

// ---------------------------------------------------------------------------- the store

// The key-value store. One address for each controller, so that one controller alone can be refused
// or cut off.
class Store {
 public:
  struct Limits {
    double rps = 250;
    double write_rps = 25;
    size_t value_kb = 32;
    size_t txn_ops = 20;
    double latency_s = 0.005;
  };

  Store(asio::io_context& io, size_t controllers, Limits limits)
      : io_(io), limits_(limits), cut_(controllers, false), refused_(controllers, false),
        requests_{limits.rps, limits.rps}, writes_{limits.write_rps, limits.write_rps} {
    for (size_t i = 0; i < controllers; ++i) {
      servers_.push_back(std::make_unique<net::HttpServer>(
          io, kAnyPort, net::HttpServer::Options{},
          [this, i](const net::HttpRequest& request, const Responder& respond) {
            Receive(i, request, respond);
          }));
    }
  }

  std::string address(size_t i) const { return AddressOf(*servers_.at(i)); }
  const std::map<std::string, json>& pairs() const { return pairs_; }
  uint64_t epoch() const { return epoch_; }

  // An outage: every controller gets 503, and no lease runs out.
  void SetDown(bool down) {
    if (down_ && !down) {
      for (auto& [id, lease] : leases_) StartLease(id);
    }
    down_ = down;
    if (!down) AnswerWatches();
  }
  // This controller alone gets 503.
  void SetRefused(size_t i, bool refused) {
    refused_[i] = refused;
    if (!refused) AnswerWatches();
  }
  // The network between this controller and the store is silent: nothing is executed or answered.
  void SetCut(size_t i, bool cut) { cut_[i] = cut; }
  // Called with each transaction before it is looked at; may say that it is not to be executed yet
  // and not answered (returns true), and then execute it later by ExecuteLate.
  std::function<bool(size_t controller, const json& body)> intercept;
  // Executes a transaction whose client has given up.
  int ExecuteLate(const json& body) {
    json answer;
    return Transact(body, answer);
  }
  // The delay of the answer to a request, in seconds.
  std::function<double(size_t controller, const net::HttpRequest&)> latency;

 private:
  struct Bucket {
    double per_s, tokens;
    double last = 0;
    bool Take(double amount) {
      const double now = net::Now();
      if (last > 0) tokens = std::min(per_s, tokens + (now - last) * per_s);
      last = now;
      if (tokens < amount) return false;
      tokens -= amount;
      return true;
    }
  };
  struct Lease {
    double life_s = 0;
    std::unique_ptr<net::Timer> timer;
  };
  struct Watch {
    size_t controller;
    std::string prefix;
    uint64_t since;
    Responder respond;
    std::unique_ptr<net::Timer> timer;
    bool answered = false;
    bool due = false;  // its time was over in an outage; it is answered when the outage is
  };

  void Receive(size_t i, const net::HttpRequest& request, const Responder& respond) {
    if (cut_[i]) return;
    const double delay = latency ? latency(i, request) : limits_.latency_s;
    const Responder later = [this, i, delay, respond](net::HttpResponse response) {
      After(delay / 2, [this, i, respond, response = std::move(response)] {
        if (!cut_[i]) respond(response);
      });
    };
    After(delay / 2, [this, i, request, later] {
      if (!cut_[i]) Handle(i, request, later);
    });
  }

  void After(double seconds, std::function<void()> f) {
    auto timer = std::make_shared<net::Timer>(io_);
    timer->After(seconds, [timer, f = std::move(f)] { f(); });
  }

  void Handle(size_t i, const net::HttpRequest& request, const Responder& respond) {
    if (down_ || refused_[i]) return Answer(respond, 503, {{"error", "trouble"}});
    if (!requests_.Take(1)) return Answer(respond, 429, {{"error", "too many requests"}});
    const std::string& path = request.path;
    if (path == "/multi") {
      const json body = json::parse(request.body);
      double changes = 0;
      for (const auto& c : body.value("apply", json::array())) changes += c.is_object() ? 1 : 0;
      if (!writes_.Take(changes)) return Answer(respond, 429, {{"error", "too many writes"}});
      if (intercept && intercept(i, body)) return;
      json answer;
      const int status = Transact(body, answer);
      Answer(respond, status, answer);
    } else if (path == "/follow") {
      Follow(i, request, respond);
    } else if (path == "/grants") {
      const uint64_t id = ++last_lease_;
      leases_[id] = {json::parse(request.body).at("life_ms").get<double>() / 1000,
                     std::make_unique<net::Timer>(io_)};
      StartLease(id);
      Answer(respond, 200, {{"berth", id}});
    } else if (path.starts_with("/grants/")) {
      const uint64_t id = std::stoull(path.substr(8));
      if (!leases_.contains(id)) return Answer(respond, 404, json::object());
      if (request.method == "DELETE") {
        EndLease(id);
      } else {
        StartLease(id);
      }
      Answer(respond, 200, json::object());
    } else if (path == "/kv") {
      List(request, respond);
    } else if (path.starts_with("/kv/")) {
      const auto pair = pairs_.find(path.substr(4));
      if (pair == pairs_.end()) return Answer(respond, 404, {{"epoch", epoch_}});
      Answer(respond, 200, pair->second);
    } else {
      Answer(respond, 400, json::object());
    }
  }

  int Transact(const json& body, json& answer) {
    const json changes = body.value("apply", json::array());
    const json conditions = body.value("if", json::array());
    if (changes.size() > limits_.txn_ops || conditions.size() > 4 * limits_.txn_ops) {
      answer = {{"error", "too many"}};
      return 400;
    }
    for (const json& c : changes) {
      if (c.contains("put") && c.at("v").dump().size() > limits_.value_kb * 1024) {
        answer = {{"error", "too large"}};
        return 400;
      }
      if (c.contains("berth") && !leases_.contains(c["berth"].get<uint64_t>())) {
        answer = {{"error", "no such lease"}};
        return 400;
      }
    }
    for (const json& c : conditions) {
      const auto pair = pairs_.find(c.at("k").get<std::string>());
      const uint64_t mark = pair == pairs_.end() ? 0 : pair->second.at("mark").get<uint64_t>();
      if (mark == c.at("mark").get<uint64_t>()) continue;
      answer = {{"failed", {c.at("k")}}, {"epoch", epoch_}};
      return 409;
    }
    if (!changes.empty()) ++epoch_;
    for (const json& c : changes) {
      if (c.contains("put")) {
        Put(c["put"], c.at("v"), c.value("berth", uint64_t{0}));
      } else {
        Delete(c.at("delete"));
      }
    }
    answer = {{"epoch", epoch_}};
    AnswerWatches();
    return 200;
  }

  void Put(const std::string& key, const json& value, uint64_t lease) {
    json pair{{"k", key}, {"v", value}, {"mark", epoch_}};
    if (lease != 0) pair["berth"] = lease;
    pairs_[key] = std::move(pair);
    Log({{"put", key}, {"v", value}, {"mark", epoch_}});
  }
  void Delete(const std::string& key) {
    if (pairs_.erase(key) > 0) Log({{"delete", key}, {"mark", epoch_}});
  }
  void Log(json entry) {
    log_.push_back(std::move(entry));
    if (log_.size() <= 10000) return;
    forgotten_up_to_ = log_.front().at("mark");
    log_.pop_front();
  }

  void StartLease(uint64_t id) {
    Lease& lease = leases_[id];
    lease.timer->After(lease.life_s + 0.02, [this, id] {
      if (down_) return StartLease(id);
      EndLease(id);
    });
  }
  void EndLease(uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, pair] : pairs_) {
      if (pair.value("berth", uint64_t{0}) == id) keys.push_back(key);
    }
    if (!keys.empty()) ++epoch_;
    for (const auto& key : keys) Delete(key);
    asio::post(io_, [this, id] { leases_.erase(id); });
    AnswerWatches();
  }

  void List(const net::HttpRequest& request, const Responder& respond) {
    const std::string prefix = Parameter(request, "under");
    const std::string since = Parameter(request, "since");
    const std::string most = Parameter(request, "most");
    const size_t limit = std::min<size_t>(1000, most.empty() ? 1000 : std::stoul(most));
    json items = json::array();
    size_t bytes = 0;
    bool truncated = false;
    for (auto it = pairs_.upper_bound(since); it != pairs_.end(); ++it) {
      if (!it->first.starts_with(prefix)) continue;
      const size_t size = it->second.dump().size();
      if (items.size() >= limit || bytes + size > (512u << 10)) {
        truncated = true;
        break;
      }
      bytes += size;
      items.push_back(it->second);
    }
    Answer(respond, 200, {{"pairs", items}, {"truncated", truncated}, {"epoch", epoch_}});
  }

  json Changes(const std::string& prefix, uint64_t since) const {
    json changes = json::array();
    for (auto it = log_.rbegin(); it != log_.rend() && it->at("mark").get<uint64_t>() > since; ++it) {
      const std::string key = it->contains("put") ? it->at("put") : it->at("delete");
      if (key.starts_with(prefix)) changes.push_back(*it);
    }
    std::reverse(changes.begin(), changes.end());
    return changes;
  }
  void Follow(size_t i, const net::HttpRequest& request, const Responder& respond) {
    const std::string prefix = Parameter(request, "under");
    const uint64_t since = std::stoull(Parameter(request, "since"));
    const std::string wait = Parameter(request, "wait_ms");
    const int wait_ms = wait.empty() ? 0 : std::stoi(wait);
    if (since < forgotten_up_to_) return Answer(respond, 410, {{"epoch", epoch_}});
    const json changes = Changes(prefix, since);
    if (!changes.empty() || wait_ms == 0) {
      return Answer(respond, 200, {{"epoch", epoch_}, {"log", changes}});
    }
    auto watch = std::make_shared<Watch>(
        Watch{i, prefix, since, respond, std::make_unique<net::Timer>(io_)});
    watch->timer->After(wait_ms / 1000.0, [this, watch] { EndWatch(watch); });
    watches_.push_back(watch);
  }
  void EndWatch(const std::shared_ptr<Watch>& watch) {
    if (watch->answered) return;
    watch->due = true;
    if (down_ || refused_[watch->controller]) return;
    watch->answered = true;
    Answer(watch->respond, 200,
           {{"epoch", epoch_}, {"log", Changes(watch->prefix, watch->since)}});
  }
  void AnswerWatches() {
    for (const auto& watch : std::vector(watches_)) {
      if (watch->due || !Changes(watch->prefix, watch->since).empty()) EndWatch(watch);
    }
    std::erase_if(watches_, [](const auto& watch) { return watch->answered; });
  }

  asio::io_context& io_;
  const Limits limits_;
  std::vector<bool> cut_, refused_;
  bool down_ = false;
  Bucket requests_, writes_;
  uint64_t epoch_ = 0, last_lease_ = 0, forgotten_up_to_ = 0;
  std::map<std::string, json> pairs_;
  std::deque<json> log_;
  std::map<uint64_t, Lease> leases_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
};

// ---------------------------------------------------------------------------- controllers

// A loopback port that stays reserved while its controller is down.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io) : socket_(io) {
    socket_.open(asio::ip::tcp::v4());
    socket_.set_option(asio::socket_base::reuse_address(true));
    socket_.bind({asio::ip::address_v4::loopback(), 0});
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(socket_.local_endpoint().port());
  }

 private:
  asio::ip::tcp::socket socket_;
};

// The processes that are running, for the case that the driver itself is ended.
inline volatile pid_t g_running[16] = {};
inline void EndAll(int) {
  for (const pid_t pid : g_running) {
    if (pid > 0) kill(pid, SIGKILL);
  }
  _exit(2);
}

// The controllers, each a process of its own with its own settings file.
class Controllers {
 public:
  // `facts`: the text of the settings from [facts] on. `zones`: the zone of each controller.
  Controllers(asio::io_context& io, Record& record, std::string program, std::string folder,
              std::vector<std::string> zones, std::string facts)
      : record_(record), program_(std::move(program)), folder_(std::move(folder)),
        zones_(std::move(zones)), facts_(std::move(facts)), pids_(zones_.size(), 0) {
    for (const int s : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) std::signal(s, EndAll);
    for (size_t i = 0; i < zones_.size(); ++i) {
      public_.push_back(std::make_unique<ReservedPort>(io));
      back_.push_back(std::make_unique<ReservedPort>(io));
    }
  }
  ~Controllers() {
    for (size_t i = 0; i < pids_.size(); ++i) Kill(i);
  }

  size_t size() const { return zones_.size(); }
  static std::string Name(size_t i) { return "hut-" + std::to_string(i); }
  std::string address(size_t i) const { return public_.at(i)->address(); }
  std::string back(size_t i) const { return back_.at(i)->address(); }
  std::vector<std::string> addresses() const {
    std::vector<std::string> all;
    for (size_t i = 0; i < size(); ++i) all.push_back(address(i));
    return all;
  }

  void Start(size_t i, const std::string& store, const std::string& cloud) {
    const std::string path = folder_ + "/" + Name(i) + ".toml";
    std::ofstream out(path);
    out << "label = \"" << Name(i) << "\"\ndomain = \"" << zones_[i] << "\"\npublic_addr = \""
        << address(i) << "\"\nback = \"" << back(i) << "\"\n";
    for (size_t p = 0; p < size(); ++p) {
      if (p == i) continue;
      out << "[[seeds]]\nlabel = \"" << Name(p) << "\"\ndomain = \"" << zones_[p]
          << "\"\naddress = \"" << back(p) << "\"\n";
    }
    out << "[outside]\ncloud = \"" << cloud << "\"\nstate = \"" << store << "\"\n" << facts_;
    out.close();
    store_[i] = store;
    cloud_[i] = cloud;
    Spawn(i, path);
  }
  void Restart(size_t i) {
    if (pids_[i] > 0) Kill(i);
    Spawn(i, folder_ + "/" + Name(i) + ".toml");
  }
  void Kill(size_t i) {
    if (pids_[i] <= 0) return;
    kill(pids_[i], SIGKILL);
    waitpid(pids_[i], nullptr, 0);
    record_.Line("controller %s killed", Name(i).c_str());
    pids_[i] = 0;
    g_running[i] = 0;
  }
  void Signal(size_t i, int signal) {
    if (pids_[i] > 0) kill(pids_[i], signal);
    record_.Line("signal %d to controller %s", signal, Name(i).c_str());
  }
  bool running(size_t i) const { return pids_[i] > 0; }

  // Looks for controllers that have ended by themselves, and writes them to the record.
  std::vector<size_t> TakeEnded() {
    std::vector<size_t> ended;
    for (size_t i = 0; i < pids_.size(); ++i) {
      int status = 0;
      if (pids_[i] <= 0 || waitpid(pids_[i], &status, WNOHANG) != pids_[i]) continue;
      pids_[i] = 0;
    g_running[i] = 0;
      if (WIFSIGNALED(status)) {
        record_.Line("controller %s ENDED BY ITSELF: signal %d (%s)", Name(i).c_str(),
                     WTERMSIG(status), strsignal(WTERMSIG(status)));
      } else {
        record_.Line("controller %s ENDED BY ITSELF: exit code %d", Name(i).c_str(),
                     WEXITSTATUS(status));
      }
      ended.push_back(i);
    }
    return ended;
  }

 private:
  void Spawn(size_t i, std::string path) {
    std::string program = program_;
    std::string option = "--config";
    char* argv[] = {program.data(), option.data(), path.data(), nullptr};
    const char* wanted = std::getenv("LOG_LEVEL");
    std::string level = std::string("LOG_LEVEL=") + (wanted != nullptr ? wanted : "info");
    char* env[] = {level.data(), nullptr};
    const std::string log = folder_ + "/" + Name(i) + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0);
    if (posix_spawn(&pids_[i], program.c_str(), &actions, nullptr, argv, env) != 0) {
      record_.Line("can't start %s", program.c_str());
      pids_[i] = 0;
      std::exit(2);
    }
    posix_spawn_file_actions_destroy(&actions);
    g_running[i] = pids_[i];
    record_.Line("controller %s started", Name(i).c_str());
  }

  Record& record_;
  const std::string program_, folder_;
  const std::vector<std::string> zones_;
  const std::string facts_;
  std::vector<std::unique_ptr<ReservedPort>> public_, back_;
  std::vector<pid_t> pids_;
  std::map<size_t, std::string> store_, cloud_;
};

// ---------------------------------------------------------------------------- users

// Sends users' requests. `done` gets the status (0: none) and the body.
class Users {
 public:
  Users(asio::io_context& io, const std::vector<std::string>& controllers) : io_(io) {
    for (const auto& address : controllers) {
      clients_.push_back(std::make_unique<net::HttpClient>(
          io, address, net::HttpClient::Options{.max_connections = 400, .max_queue = 4096}));
    }
  }
  using Done = std::function<void(int status, const json& body)>;
  void Send(size_t controller, const std::string& method, const std::string& path,
            const std::string& body, Done done, double timeout_s = 5) {
    clients_.at(controller)->Send(method, path, body, timeout_s,
                                  [done = std::move(done)](const net::HttpResult& r) {
                                    done(r.status, json::parse(r.body, nullptr, false));
                                  });
  }
  // Sends and waits.
  std::pair<int, json> Ask(size_t controller, const std::string& method, const std::string& path,
                           const std::string& body = {}, double timeout_s = 5) {
    bool answered = false;
    std::pair<int, json> result;
    Send(controller, method, path, body,
         [&](int status, const json& answer) {
           result = {status, answer};
           answered = true;
         },
         timeout_s);
    while (!answered) io_.run_one();
    return result;
  }

 private:
  asio::io_context& io_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
};

// ---------------------------------------------------------------------------- helpers

inline void RunFor(asio::io_context& io, double seconds) {
  io.run_for(std::chrono::microseconds(static_cast<int64_t>(seconds * 1e6)));
  if (io.stopped()) io.restart();
}
inline bool WaitUntil(asio::io_context& io, double seconds, const std::function<bool()>& condition) {
  const double end = net::Now() + seconds;
  while (net::Now() < end) {
    if (condition()) return true;
    RunFor(io, 0.02);
  }
  return condition();
}

// What a script passes on: FOLDER (of the case), PROGRAM, TEMP, and TROUBLE in the environment.
struct Arguments {
  std::string folder, program, temp;
  bool trouble = true;
  Arguments(int argc, char** argv) {
    if (argc != 4) {
      std::fprintf(stderr, "usage: case FOLDER PROGRAM TEMP\n");
      std::exit(2);
    }
    folder = argv[1];
    program = argv[2];
    temp = argv[3];
    const char* value = std::getenv("TROUBLE");
    trouble = value == nullptr || std::string(value) != "0";
  }
};

}  // namespace stand
