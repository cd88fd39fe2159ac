#include "fakes/http_services.h"

#include <algorithm>
#include <utility>

namespace mosspath::fakes {
namespace {

using nlohmann::json;

std::string Query(const std::string& query, const std::string& key) {
  const size_t at = ("&" + query).find("&" + key + "=");
  if (at == std::string::npos) return {};
  const size_t begin = at + key.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

std::string Loopback(const net::HttpServer& s) { return "127.0.0.1:" + std::to_string(s.port()); }

}  // namespace

// ---------------------------------------------------------------------------- state service

FakeKeyValueStore::FakeKeyValueStore(asio::io_context& io, size_t addresses) : io_(io) {
  for (size_t i = 0; i < addresses; ++i) {
    servers_.push_back(std::make_unique<net::HttpServer>(
        io, "127.0.0.1:0", net::HttpServer::Options{},
        [this, i](const net::HttpRequest& r, const net::HttpServer::Responder& respond) {
          Handle(i, r, respond);
        }));
  }
}

std::string FakeKeyValueStore::address(size_t i) const { return Loopback(*servers_.at(i)); }

void FakeKeyValueStore::Handle(size_t by, const net::HttpRequest& r,
                               const net::HttpServer::Responder& respond) {
  const auto reply = [&](int status, const json& body) { respond({status, body.dump()}); };
  if (Refuses(by)) return reply(503, {{"error", "trouble"}});
  if (r.path == "/multi") return Multi(json::parse(r.body), respond);
  if (r.path == "/follow") {
    return Follow(by, Query(r.query, "under"), std::stoull(Query(r.query, "since")),
                  std::stoi(Query(r.query, "wait_ms")), respond);
  }
  if (r.path == "/grants") {
    const uint64_t grant = ++next_grant_;
    grants_[grant] = {json::parse(r.body).at("life_ms").get<double>() / 1000,
                      std::make_unique<net::Timer>(io_)};
    Arm(grant);
    return reply(200, {{"berth", grant}});
  }
  if (r.path.starts_with("/grants/")) {
    const uint64_t grant = std::stoull(r.path.substr(8));
    if (!grants_.contains(grant)) return reply(404, json::object());
    Arm(grant);
    return reply(200, json::object());
  }
  if (r.path == "/kv") {
    json items = json::array();
    const std::string prefix = Query(r.query, "under");
    const std::string after = Query(r.query, "since");
    for (const auto& [key, pair] : pairs_) {
      if (key.starts_with(prefix) && key > after) items.push_back(pair);
    }
    return reply(200, {{"pairs", items}, {"truncated", false}, {"epoch", revision_}});
  }
  if (r.path.starts_with("/kv/")) {
    ++single_reads;
    if (const auto first = std::exchange(before_single_read, nullptr)) first();
    auto it = pairs_.find(r.path.substr(4));
    if (it == pairs_.end()) return reply(404, {{"epoch", revision_}});
    return reply(200, it->second);
  }
  reply(404, json::object());
}

void FakeKeyValueStore::Arm(uint64_t grant) {
  GrantState& g = grants_[grant];
  g.timer->After(g.life, [this, grant] {
    if (down) return Arm(grant);
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [key, pair] : pairs_) {
      if (pair.value("berth", uint64_t{0}) == grant) keys.push_back(key);
    }
    for (const auto& key : keys) Change(key, nullptr, 0);
    asio::post(io_, [this, grant] { grants_.erase(grant); });
    Wake();
  });
}

void FakeKeyValueStore::Change(const std::string& key, const json* value, uint64_t grant) {
  if (value == nullptr) {
    pairs_.erase(key);
    log_.push_back({{"delete", key}, {"mark", revision_}});
    return;
  }
  pairs_[key] = {{"k", key}, {"v", *value}, {"mark", revision_}};
  if (grant != 0) pairs_[key]["berth"] = grant;
  log_.push_back({{"put", key}, {"v", *value}, {"mark", revision_}});
}

void FakeKeyValueStore::Multi(const json& body, const net::HttpServer::Responder& respond) {
  const json changes = body.value("apply", json::array());
  for (const json& c : body.at("if")) {
    auto it = pairs_.find(c.at("k").get<std::string>());
    const uint64_t version = it == pairs_.end() ? 0 : it->second.at("mark").get<uint64_t>();
    if (version != c.at("mark").get<uint64_t>()) {
      return respond({409, json{{"failed", {c.at("k")}}, {"epoch", revision_}}.dump()});
    }
  }
  for (const json& c : changes) {
    if (c.contains("berth") && !grants_.contains(c["berth"].get<uint64_t>())) {
      return respond({400, R"({"error":"no such lease"})"});
    }
  }
  ++revision_;
  for (const json& c : changes) {
    if (c.contains("put")) {
      Change(c["put"].get<std::string>(), &c.at("v"), c.value("berth", uint64_t{0}));
    } else {
      Change(c.at("delete").get<std::string>(), nullptr, 0);
    }
  }
  if (!lose_changes) respond({200, json{{"epoch", revision_}}.dump()});
  Wake();
}

uint64_t FakeKeyValueStore::Put(const std::string& key, const json& value) {
  ++revision_;
  Change(key, &value, 0);
  Wake();
  return revision_;
}

json FakeKeyValueStore::LogOf(const std::string& prefix, uint64_t since) {
  json log = json::array();
  for (const json& e : log_) {
    const std::string key = e.contains("put") ? e["put"] : e["delete"];
    if (e["mark"].get<uint64_t>() > since && key.starts_with(prefix)) log.push_back(e);
  }
  return log;
}

void FakeKeyValueStore::Follow(size_t by, const std::string& prefix, uint64_t since, int wait_ms,
                               const net::HttpServer::Responder& respond) {
  json log = LogOf(prefix, since);
  if (!log.empty() || wait_ms == 0) {
    return respond({200, json{{"epoch", revision_}, {"log", log}}.dump()});
  }
  auto w = std::make_shared<Waiting>(
      Waiting{prefix, since, respond, std::make_unique<net::Timer>(io_), false, by});
  w->timer->After(wait_ms / 1000.0, [this, w] {
    if (w->done || Refuses(w->by)) return;
    w->done = true;
    w->respond({200, json{{"epoch", revision_}, {"log", json::array()}}.dump()});
  });
  waiting_.push_back(std::move(w));
}

void FakeKeyValueStore::Wake() {
  for (auto& w : waiting_) {
    json log = LogOf(w->prefix, w->since);
    if (w->done || log.empty() || Refuses(w->by)) continue;
    w->done = true;
    w->timer->Cancel();
    w->respond({200, json{{"epoch", revision_}, {"log", log}}.dump()});
  }
  std::erase_if(waiting_, [](const auto& w) { return w->done; });
}

// ---------------------------------------------------------------------------- worker

FakeAgent::FakeAgent(asio::io_context& io, std::string id, std::vector<std::string> nodes,
                     double report_s, double run_s, const std::set<std::string>& long_jobs)
    : io_(io),
      id_(std::move(id)),
      nodes_(std::move(nodes)),
      report_s_(report_s),
      run_s_(run_s),
      long_jobs_(long_jobs),
      report_timer_(io) {
  for (const auto& n : nodes_) {
    clients_.push_back(std::make_unique<net::HttpClient>(io, n, net::HttpClient::Options{}));
  }
  server_ = std::make_unique<net::HttpServer>(
      io, "127.0.0.1:0", net::HttpServer::Options{},
      [this](const net::HttpRequest& r, const net::HttpServer::Responder& respond) {
        if (r.path == "/commands") {
          const json body = json::parse(r.body);
          if (body.at("baton").get<uint64_t>() < token_ || body.at("shift") != 1) {
            return respond({409, Message().dump()});
          }
          token_ = body["baton"];
          Execute(body.at("calls"));
        }
        respond({200, Message().dump()});
      });
  Report();
}

json FakeAgent::Message() {
  json tasks = json::array();
  for (const auto& [key, t] : tasks_) tasks.push_back(t);
  return {{"rig", id_},           {"endpoint", Loopback(*server_)},
          {"build", "box"},       {"shore", "a"},
          {"loaners", false},     {"shift", 1},
          {"tick", ++seq_},       {"baton", token_},
          {"warning_s", nullptr}, {"crates", tasks}};
}

void FakeAgent::Soon() {
  report_timer_.After(0.05, [this] { Report(); });
}

void FakeAgent::Report() {
  if (waiting_) return;
  waiting_ = true;
  clients_[node_]->Send("POST", "/v1/report", Message().dump(), 4.0, [this](net::HttpResult r) {
    waiting_ = false;
    if (r.status != 200) {
      node_ = (node_ + 1) % nodes_.size();
      report_timer_.After(0.2, [this] { Report(); });
      return;
    }
    const json body = json::parse(r.body);
    const uint64_t token = body.at("baton");
    const bool higher = token > token_;
    if (token >= token_) {
      token_ = token;
      Execute(body.at("calls"));
    }
    report_timer_.After(higher ? 0.05 : report_s_, [this] { Report(); });
  });
}

void FakeAgent::Execute(const json& calls) {
  for (const json& c : calls) {
    const std::string key =
        c.at("crate").get<std::string>() + " " + std::to_string(c.at("try").get<uint64_t>());
    if (c.at("call") == "reap") {
      tasks_.erase(key);
    } else if (c.at("call") == "halt") {
      if (tasks_.contains(key)) {
        tasks_[key]["stage"] = "ended";
        tasks_[key]["cause"] = "stopped";
      }
    } else if (!tasks_.contains(key)) {
      tasks_[key] = {{"crate", c["crate"]}, {"try", c["try"]}, {"stage", "running"}};
      if (long_jobs_.contains(key.substr(0, key.find('/')))) continue;
      timers_.push_back(std::make_unique<net::Timer>(io_));
      timers_.back()->After(run_s_, [this, key] {
        auto it = tasks_.find(key);
        if (it == tasks_.end() || it->second["stage"] != "running") return;
        it->second["stage"] = "ended";
        it->second["cause"] = "done";
        Soon();
      });
    }
  }
  if (!calls.empty()) Soon();
}

size_t FakeAgent::running(const std::string& job) const {
  return static_cast<size_t>(std::count_if(tasks_.begin(), tasks_.end(), [&](const auto& t) {
    return t.first.starts_with(job + "/") && t.second.at("stage") == "running";
  }));
}

size_t FakeCloud::running(const std::string& job) const {
  size_t n = 0;
  for (const auto& [id, w] : workers_) n += w->running(job);
  return n;
}

// ---------------------------------------------------------------------------- cloud

FakeCloud::FakeCloud(asio::io_context& io, std::vector<std::string> nodes, double report_s,
                     double run_s)
    : io_(io), nodes_(std::move(nodes)), report_s_(report_s), run_s_(run_s) {
  server_ = std::make_unique<net::HttpServer>(
      io, "127.0.0.1:0", net::HttpServer::Options{},
      [this](const net::HttpRequest& r, const net::HttpServer::Responder& respond) {
        Handle(r, respond);
      });
}

std::string FakeCloud::address() const { return Loopback(*server_); }

void FakeCloud::Handle(const net::HttpRequest& r, const net::HttpServer::Responder& respond) {
  const auto reply = [&](int status, const json& body) { respond({status, body.dump()}); };
  if (r.path == "/flavors") {
    return reply(200, {{"builds",
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
  if (r.path == "/hosts" && r.method == "GET") {
    json rigs = json::array();
    for (const auto& [id, w] : workers_) {
      rigs.push_back({{"id", id},
                      {"endpoint", "127.0.0.1:1"},
                      {"build", "box"},
                      {"shore", "a"},
                      {"loaners", false},
                      {"stage", "running"},
                      {"age_s", 1.0}});
    }
    return reply(200, {{"rigs", rigs}, {"truncated", false}});
  }
  const json body = json::parse(r.body);
  if (r.path == "/hosts") {
    const std::string hire = body.at("hire");
    if (!hires_.contains(hire)) {
      json rigs = json::array();
      for (int i = 0; i < body.at("count").get<int>() && workers_.size() < 3; ++i) {
        const std::string id = "vm-" + std::to_string(100000 + hires_.size() * 50 + i);
        rigs.push_back(id);
        workers_[id] = std::make_unique<FakeAgent>(io_, id, nodes_, report_s_, run_s_, long_jobs);
      }
      if (rigs.empty()) return reply(503, {{"error", "no capacity"}});
      hires_[hire] = {{"rigs", rigs}};
    }
    return reply(200, hires_[hire]);
  }
  reply(200, json::object());  // deletions are ignored: machines stay as they are
}

}  // namespace mosspath::fakes
