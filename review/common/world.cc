#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <sstream>

namespace review {

namespace {
constexpr const char* kAnyPort = "127.0.0.1:0";
HttpResponse Make(int status, const json& body) { return {status, body.dump()}; }
std::string Parameter(const HttpRequest& request, const std::string& name) {
  const std::string query = "&" + request.query;
  const size_t at = query.find("&" + name + "=");
  if (at == std::string::npos) return {};
  const size_t begin = at + name.size() + 2;
  return query.substr(begin, query.find('&', begin) - begin);
}
std::string JobOf(const std::string& crate) { return crate.substr(0, crate.find('/')); }
int IndexOf(const std::string& crate) { return std::stoi(crate.substr(crate.find('/') + 1)); }
}  // namespace

void Record::Line(const std::string& text) {
  char at[32];
  std::snprintf(at, sizeof at, "%9.3f ", T());
  out_ << at << text << "\n" << std::flush;
}

// ================================================================== state service

Store::Store(World& world, int addresses) : world_(world), sweep_(world.io) {
  for (int i = 0; i < addresses; ++i) {
    servers_.push_back(std::make_unique<HttpServer>(
        world.io, kAnyPort, HttpServer::Options{},
        [this, i](const HttpRequest& r, Responder respond) { Handle(i, r, std::move(respond)); }));
  }
  Sweep();
}

void Store::EndOutage() {
  down = false;
  for (auto& [id, lease] : leases_) lease.ends_at = Now() + lease.life_s;
}

void Store::Sweep() {
  sweep_.After(0.01, [this] { Sweep(); });
  const double now = Now();
  if (!down) {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.ends_at > now) {
        ++it;
        continue;
      }
      const uint64_t lease = it->first;
      it = leases_.erase(it);
      ++revision_;
      std::vector<std::string> keys;
      for (const auto& [key, pair] : pairs_) {
        if (pair.value("berth", uint64_t{0}) == lease) keys.push_back(key);
      }
      for (const auto& key : keys) {
        world_.record.Line("store: lease " + std::to_string(lease) + " ended, " + key + " removed");
        Apply(key, nullptr, 0);
      }
    }
  }
  for (auto& watch : watches_) {
    if (watch->answered || watch->until > now || Refuses(watch->node) || cut.contains(watch->node))
      continue;
    watch->answered = true;
    watch->respond(
        Make(200, {{"epoch", revision_}, {"log", Changes(watch->prefix, watch->since)}}));
  }
  AnswerWatches();
}

std::vector<json> Store::Changes(const std::string& prefix, uint64_t since) const {
  std::vector<json> found;
  for (auto it = changes_.rbegin(); it != changes_.rend(); ++it) {
    if ((*it)["mark"].get<uint64_t>() <= since) break;
    const std::string key = it->contains("put") ? (*it)["put"] : (*it)["delete"];
    if (key.starts_with(prefix)) found.push_back(*it);
  }
  std::reverse(found.begin(), found.end());
  return found;
}

void Store::AnswerWatches() {
  for (auto& watch : watches_) {
    if (watch->answered || Refuses(watch->node) || cut.contains(watch->node)) continue;
    const auto found = Changes(watch->prefix, watch->since);
    if (found.empty()) continue;
    watch->answered = true;
    watch->respond(Make(200, {{"epoch", revision_}, {"log", found}}));
  }
  std::erase_if(watches_, [](const auto& w) { return w->answered; });
}

void Store::Apply(const std::string& key, const json* value, uint64_t lease) {
  if (value == nullptr) {
    if (pairs_.erase(key) == 0) return;
    changes_.push_back({{"delete", key}, {"mark", revision_}});
  } else {
    pairs_[key] = {{"k", key}, {"v", *value}, {"mark", revision_}};
    if (lease != 0) pairs_[key]["berth"] = lease;
    changes_.push_back({{"put", key}, {"v", *value}, {"mark", revision_}});
  }
  while (changes_.size() > 10000) changes_.pop_front();
}

HttpResponse Store::Execute(const json& body) {
  const json changes = body.value("apply", json::array());
  for (const json& change : changes) {
    if (change.contains("put") && value_limit_kb > 0 &&
        change.at("v").dump().size() > value_limit_kb * 1024) {
      ++too_large;
      world_.record.Line("store: 400 value too large: " + change["put"].get<std::string>() + " " +
                         std::to_string(change.at("v").dump().size()) + " bytes");
      return Make(400, {{"error", "value too large"}});
    }
  }
  if (ops_limit > 0 && (static_cast<int>(changes.size()) > ops_limit ||
                        static_cast<int>(body.at("if").size()) > 4 * ops_limit)) {
    ++too_large;
    world_.record.Line("store: 400 too many changes: " + std::to_string(changes.size()));
    return Make(400, {{"error", "too many"}});
  }
  json failed = json::array();
  for (const json& condition : body.at("if")) {
    const auto pair = pairs_.find(condition.at("k").get<std::string>());
    const uint64_t version = pair == pairs_.end() ? 0 : pair->second.at("mark").get<uint64_t>();
    if (version != condition.at("mark").get<uint64_t>()) failed.push_back(condition.at("k"));
  }
  for (const json& change : changes) {
    if (change.contains("berth") && !leases_.contains(change["berth"].get<uint64_t>()))
      return Make(400, {{"error", "no such lease"}});
  }
  if (!failed.empty()) return Make(409, {{"failed", failed}, {"epoch", revision_}});
  if (!changes.empty()) ++revision_;
  for (const json& change : changes) {
    if (change.contains("put")) {
      Apply(change["put"], &change.at("v"), change.value("berth", uint64_t{0}));
    } else {
      Apply(change.at("delete"), nullptr, 0);
    }
  }
  if (on_change) on_change();
  AnswerWatches();
  return Make(200, {{"epoch", revision_}});
}

void Store::Transaction(int node, const std::string& text, const Responder& respond) {
  const json body = json::parse(text);
  if (hold_transaction && hold_transaction(body)) {
    world_.record.Line("store: transaction of node " + std::to_string(node) +
                       " held: " + text.substr(0, 300));
    held_.push_back(body);
    return;
  }
  if (late_share > 0 && world_.Uniform(0, 1) < late_share) {
    const double after = world_.Uniform(2, 12);
    world_.Later(after, [this, body] { (void)Execute(body); });
    return;
  }
  HttpResponse answer = Execute(body);
  if (lost_share > 0 && world_.Uniform(0, 1) < lost_share) return;
  respond(std::move(answer));
}

void Store::ReleaseHeld() {
  for (const json& body : std::exchange(held_, {})) {
    const auto answer = Execute(body);
    world_.record.Line("store: held transaction carried out late: " +
                       std::to_string(answer.status));
  }
}

void Store::Handle(int node, const HttpRequest& request, Responder respond) {
  if (cut.contains(node)) return;
  if (Refuses(node)) return respond(Make(503, {{"error", "trouble"}}));
  const std::string& path = request.path;
  if (latency_s > 0 && path != "/follow") {
    respond = [this, node, respond](HttpResponse answer) {
      world_.Later(latency_s, [this, node, respond, answer] {
        if (!cut.contains(node)) respond(answer);
      });
    };
  }
  if (path == "/multi") return Transaction(node, request.body, respond);
  if (path == "/follow") {
    const std::string prefix = Parameter(request, "under");
    const uint64_t since = std::stoull(Parameter(request, "since"));
    const std::string wait = Parameter(request, "wait_ms");
    const double wait_s = wait.empty() ? 0 : std::stod(wait) / 1000;
    if (!changes_.empty() && changes_.size() >= 10000 &&
        changes_.front()["mark"].get<uint64_t>() > since + 1) {
      return respond(Make(410, json::object()));
    }
    const auto found = Changes(prefix, since);
    if (!found.empty() || wait_s <= 0) {
      return respond(Make(200, {{"epoch", revision_}, {"log", found}}));
    }
    watches_.push_back(
        std::make_shared<Watch>(Watch{prefix, since, respond, node, Now() + wait_s, false}));
    return;
  }
  if (path == "/grants") {
    const double life = json::parse(request.body).at("life_ms").get<double>() / 1000;
    leases_[++last_lease_] = {life, Now() + life};
    return respond(Make(200, {{"berth", last_lease_}}));
  }
  if (path.starts_with("/grants/")) {
    const uint64_t id = std::stoull(path.substr(8));
    const auto it = leases_.find(id);
    if (it == leases_.end()) return respond(Make(404, json::object()));
    it->second.ends_at = request.method == "DELETE" ? 0 : Now() + it->second.life_s;
    return respond(Make(200, json::object()));
  }
  if (path == "/kv") {
    const std::string prefix = Parameter(request, "under"), after = Parameter(request, "since");
    const std::string most_text = Parameter(request, "most");
    const size_t most = most_text.empty() ? 1000 : std::min<size_t>(1000, std::stoul(most_text));
    json items = json::array();
    bool more = false;
    size_t bytes = 0;
    for (auto it = pairs_.upper_bound(after); it != pairs_.end(); ++it) {
      if (!it->first.starts_with(prefix)) continue;
      if (items.size() >= most || bytes > (480u << 10)) {
        more = true;
        break;
      }
      bytes += it->second.dump().size();
      items.push_back(it->second);
    }
    return respond(Make(200, {{"pairs", items}, {"truncated", more}, {"epoch", revision_}}));
  }
  if (path.starts_with("/kv/")) {
    const auto it = pairs_.find(path.substr(4));
    if (it == pairs_.end()) return respond(Make(404, {{"epoch", revision_}}));
    return respond(Make(200, it->second));
  }
  respond(Make(400, json::object()));
}

// ================================================================== workers

Agent::Agent(World& world, std::string name, const FlavorSpec& f, std::string z, bool s, int port)
    : id(std::move(name)),
      flavor(f),
      zone(std::move(z)),
      spot(s),
      world_(world),
      lease_from_(Now()),
      sweep_(world.io),
      report_timer_(world.io) {
  for (int i = 0; i < world.facts.nodes; ++i) {
    clients_.push_back(
        std::make_unique<HttpClient>(world.io, world.public_address[i], HttpClient::Options{}));
  }
  node_ = static_cast<int>(world.Uniform(0, world.facts.nodes - 0.001));
  server_ = std::make_unique<HttpServer>(
      world.io, "127.0.0.1:" + std::to_string(port), HttpServer::Options{},
      [this](const HttpRequest& r, const Responder& respond) { Answer(r, respond); });
  port_ = server_->port();
  Sweep();
  Plan(world.Uniform(0, 0.3));
}

Agent::~Agent() { *alive_ = false; }

double Agent::used(const char* field) const {
  double sum = 0;
  for (const auto& [key, task] : tasks_) {
    if (task.stage == "ended") continue;
    const auto job = world_.jobs.find(JobOf(task.crate));
    if (job != world_.jobs.end()) sum += job->second.spec.at(field).get<double>();
  }
  return sum;
}

json Agent::MakeReport() {
  json crates = json::array();
  for (const auto& [key, task] : tasks_) {
    json entry = {{"crate", task.crate}, {"try", task.attempt}, {"stage", task.stage}};
    if (task.stage == "ended") {
      entry["cause"] = task.cause;
      if (task.cause == "stopped") entry["saved"] = task.saved;
    }
    crates.push_back(entry);
  }
  json report = {{"rig", id},      {"endpoint", endpoint()}, {"build", flavor.name},
                 {"shore", zone},  {"loaners", spot},        {"shift", shift},
                 {"tick", ++tick}, {"baton", baton},         {"crates", crates}};
  report["warning_s"] = warning_s >= 0 ? json(warning_s) : json(nullptr);
  return report;
}

void Agent::Plan(double seconds) {
  next_report_at_ = Now() + seconds;
  report_timer_.After(seconds, [this] { SendReport(); });
}

void Agent::Changed() {
  if (in_flight_ || hung_) return;
  const double at = std::max(Now(), last_report_at_ + 0.5);
  if (at < next_report_at_) Plan(at - Now());
}

void Agent::SendReport() {
  if (gone || in_flight_) return;
  if (hung_) return Plan(0.05);
  in_flight_ = true;
  const double sent = last_report_at_ = Now();
  const uint64_t shift_sent = shift;
  const int node = node_;
  const std::string text = MakeReport().dump();
  if (keep_reports) last_reports.push_back(text);
  const bool lost = mute || cut || world_.cut_from_agents.contains(node);
  auto alive = alive_;
  auto done = [this, alive, shift_sent, sent, node](const HttpResult& result) {
    if (!*alive || gone) return;
    auto handle = [this, alive, shift_sent, sent, result, node] {
      if (!*alive || gone) return;
      in_flight_ = false;
      HttpResult r = result;
      if (deaf || cut || world_.cut_from_agents.contains(node) || Now() - sent > 4) r.status = 0;
      OnAnswer(r, shift_sent, sent);
    };
    if (hung_) {
      waiting_.push_back(handle);
    } else {
      handle();
    }
  };
  if (lost) {
    // No answer within 4 s.
    world_.Later(4, [done] { done(HttpResult{}); });
    return;
  }
  clients_[node]->Send("POST", "/v1/report", text, 4, done);
}

void Agent::OnAnswer(const HttpResult& result, uint64_t shift_sent, double sent) {
  const double interval = world_.facts.report_s * world_.Uniform(0.75, 1.25);
  if (result.status == 421) {
    const json body = json::parse(result.body, nullptr, false);
    const std::string to = body.is_object() ? body.value("steward", "") : "";
    const int target = to.empty() ? -1 : to.back() - '0';
    if (target < 0 || target == node_) {
      node_ = (node_ + 1) % world_.facts.nodes;
      return Plan(1);
    }
    node_ = target;
    return Plan(world_.Uniform(0, 0.5));
  }
  if (result.status != 200) {
    node_ = (node_ + 1) % world_.facts.nodes;
    return Plan(1);
  }
  const json body = json::parse(result.body, nullptr, false);
  const bool has_token = body.is_object() && body.contains("baton");
  const uint64_t token = has_token ? body["baton"].get<uint64_t>() : 0;
  Plan(interval);
  if (shift_sent != shift || !has_token || token < baton) return;
  const bool raised = token > baton;
  baton = token;
  lease_from_ = std::max(lease_from_, sent);
  ++reports_answered;
  Execute(body.value("calls", json::array()));
  if (raised && Now() - last_token_report_ > world_.facts.lease_s / 2) {
    last_token_report_ = Now();
    Changed();
  }
}

void Agent::Answer(const HttpRequest& request, const Responder& respond) {
  if (gone || deaf || cut) return;
  if (hung_) {
    waiting_.push_back([this, request, respond] { Answer(request, respond); });
    return;
  }
  if (request.path == "/show") return respond(Make(200, MakeReport()));
  if (request.path != "/commands") return respond(Make(404, json::object()));
  if (hold_command && hold_command(request)) return;
  respond(Deliver(request.body));
}

HttpResponse Agent::Deliver(const std::string& text) {
  if (gone) return {0, ""};
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("baton") || !body.contains("shift"))
    return Make(400, json::object());
  if (body["baton"].get<uint64_t>() < baton || body["shift"].get<uint64_t>() != shift)
    return Make(409, MakeReport());
  const uint64_t token = body["baton"].get<uint64_t>();
  const bool raised = token > baton;
  baton = token;
  Execute(body.value("calls", json::array()));
  if (raised && Now() - last_token_report_ > world_.facts.lease_s / 2) {
    last_token_report_ = Now();
    Changed();
  }
  return Make(200, MakeReport());
}

void Agent::EndTask(Task& task, const std::string& cause, bool saved) {
  if (task.on) {
    task.on = false;
    world_.OnTaskOff(*this, task, cause);
  }
  task.stage = "ended";
  task.cause = cause;
  task.saved = saved;
  Changed();
}

void Agent::Execute(const json& calls) {
  for (const json& call : calls) {
    const std::string crate = call.at("crate");
    const uint64_t attempt = call.at("try").get<uint64_t>();
    const std::string what = call.at("call");
    const auto key = std::pair(crate, attempt);
    const auto found = tasks_.find(key);
    if (what == "reap") {
      if (found != tasks_.end() && found->second.stage == "ended") tasks_.erase(found);
      continue;
    }
    if (what == "halt") {
      if (found == tasks_.end() || found->second.stage == "ended") continue;
      Task& task = found->second;
      const double leeway = call.value("leeway_s", 0.0);
      const auto job = world_.jobs.find(JobOf(crate));
      const double tally = job->second.spec.at("tally_s"), stow = job->second.spec.at("stow_s");
      if (task.stage == "saving" && leeway > 0) continue;
      if (task.stage == "running" && tally > 0 && leeway >= stow && leeway > 0) {
        task.stage = "saving";
        task.until = Now() + stow;
        Changed();
      } else {
        EndTask(task, "stopped");
      }
      continue;
    }
    if (what != "run" || found != tasks_.end()) continue;
    world_.record.Line("run " + crate + " try " + std::to_string(attempt) + " on " + id);
    Task task;
    task.crate = crate;
    task.attempt = attempt;
    const auto job = world_.jobs.find(JobOf(crate));
    bool busy = false;
    for (const auto& [other, t] : tasks_) busy = busy || (t.crate == crate && t.stage != "ended");
    if (job == world_.jobs.end() || !job->second.submitted || IndexOf(crate) >= job->second.tasks) {
      task.stage = "ended";
      task.cause = "unknown";
    } else if (busy) {
      task.stage = "ended";
      task.cause = "in_use";
    } else if (used("vcpus") + job->second.spec.at("vcpus").get<double>() > flavor.cpus + 1e-6 ||
               used("cards") + job->second.spec.at("cards").get<double>() > flavor.cards + 1e-6 ||
               used("mem_gb") + job->second.spec.at("mem_gb").get<double>() >
                   flavor.mem_gb + 1e-6) {
      task.stage = "ended";
      task.cause = "full";
    } else {
      const std::string kit = job->second.spec.at("kit");
      const double fetch = job->second.spec.at("size_gb").get<double>() / flavor.pull;
      const auto image = images_.try_emplace(kit, Now() + fetch).first;
      task.until = std::max(Now(), image->second);
    }
    tasks_[key] = task;
    Changed();
  }
}

void Agent::KillAll(const std::string& why) {
  for (auto& [key, task] : tasks_) {
    if (!task.on) continue;
    task.on = false;
    world_.OnTaskOff(*this, task, why);
  }
  tasks_.clear();
}

void Agent::Stop() {
  gone = true;
  KillAll("machine gone");
  server_.reset();
  for (auto& c : clients_) c.reset();
  sweep_.Cancel();
  report_timer_.Cancel();
}

void Agent::Hang(double seconds) {
  hung_ = true;
  hung_until_ = Now() + seconds;
  world_.record.Line(id + " hangs for " + std::to_string(seconds));
}

void Agent::Sweep() {
  if (gone) return;
  sweep_.After(0.02, [this] { Sweep(); });
  const double now = Now();
  // A hanging machine may resume within its lease only, so the lease ends its tasks meanwhile too.
  if (hung_ && now >= hung_until_) {
    hung_ = false;
    world_.record.Line(id + " goes on");
  }
  if (now - lease_from_ > world_.facts.lease_s) {
    world_.record.Line(id + ": lease over, session " + std::to_string(shift + 1));
    KillAll("lease over");
    ++shift;
    lease_from_ = now;
    Changed();
  }
  if (hung_) return;
  for (auto& f : std::exchange(waiting_, {})) f();
  for (auto& [key, task] : tasks_) {
    if (task.stage == "ended" || now < task.until) continue;
    auto& job = world_.jobs.at(JobOf(task.crate));
    if (task.stage == "fetching") {
      task.on = true;
      world_.OnTaskOn(*this, task);
      if (job.done.contains(IndexOf(task.crate))) {
        EndTask(task, "done");
        continue;
      }
      if (sick) {
        EndTask(task, "error");
        continue;
      }
      task.stage = "running";
      const bool daemon = job.spec.at("catch") == "daemon";
      task.until = daemon ? 1e18 : now + job.run_s / speed;
      Changed();
    } else if (task.stage == "running") {
      job.done.insert(IndexOf(task.crate));
      if (static_cast<int>(job.done.size()) == job.tasks) job.last_done_at = now;
      EndTask(task, "done");
    } else if (task.stage == "saving") {
      EndTask(task, "stopped", true);
    }
  }
}

// ================================================================== cloud

Cloud::Cloud(World& world) : list_lag_s(world.facts.list_lag_s), world_(world), sweep_(world.io) {
  server_ = std::make_unique<HttpServer>(
      world.io, kAnyPort, HttpServer::Options{},
      [this](const HttpRequest& r, const Responder& respond) { Handle(r, respond); });
  Sweep();
}

Agent* Cloud::AddUp(const std::string& flavor, const std::string& zone, bool spot, int port) {
  const std::string id = "vm-" + std::to_string(next_++);
  auto agent = std::make_unique<Agent>(world_, id, world_.Flavor(flavor), zone, spot, port);
  hosts_[id] = {id, flavor, zone, spot, Now() - 100, Now() - 90, 1e18, agent->endpoint()};
  Agent* raw = agent.get();
  agents[id] = std::move(agent);
  world_.record.Line("machine " + id + " " + flavor + " " + zone + " up at " + raw->endpoint());
  return raw;
}

void Cloud::Take(const std::string& id) {
  const auto it = agents.find(id);
  hosts_[id].gone_at = Now();
  hosts_[id].taken = true;
  if (it == agents.end()) return;
  it->second->Stop();
  gone.push_back(std::move(it->second));
  agents.erase(it);
  world_.record.Line("machine " + id + " gone");
}

void Cloud::Sweep() {
  sweep_.After(0.05, [this] { Sweep(); });
  for (auto& [id, host] : hosts_) {
    if (host.taken || agents.contains(id) || host.up_at > Now()) continue;
    const int port = next_port.value_or(0);
    next_port.reset();
    agents[id] =
        std::make_unique<Agent>(world_, id, world_.Flavor(host.flavor), host.zone, host.spot, port);
    host.endpoint = agents[id]->endpoint();
    world_.record.Line("machine " + id + " " + host.flavor + " " + host.zone + " up at " +
                       host.endpoint);
  }
}

void Cloud::Handle(const HttpRequest& request, const Responder& respond) {
  if (down) return respond(Make(503, {{"error", "trouble"}}));
  if (request.path == "/flavors") {
    json builds = json::array();
    for (const auto& f : world_.flavors) {
      builds.push_back({{"name", f.name},
                        {"vcpus", f.cpus},
                        {"cards", f.cards},
                        {"mem_gb", f.mem_gb},
                        {"local_gb", f.local_gb},
                        {"pull_gb_per_s", f.pull},
                        {"hourly", f.hourly},
                        {"low_price", f.low},
                        {"startup_s", f.startup_s},
                        {"shores", f.zones}});
    }
    return respond(Make(200, {{"builds", builds}}));
  }
  if (request.path == "/hosts" && request.method == "GET") {
    const std::string since = Parameter(request, "since");
    const double as_of = Now() - list_lag_s;
    json rigs = json::array();
    for (const auto& [id, host] : hosts_) {
      if (id <= since || host.rented_at > as_of || host.gone_at < as_of) continue;
      const bool up = host.up_at <= as_of;
      json rig = {{"id", id},
                  {"build", host.flavor},
                  {"shore", host.zone},
                  {"loaners", host.spot},
                  {"stage", up ? "running" : "starting"},
                  {"age_s", as_of - host.rented_at}};
      if (!host.endpoint.empty()) rig["endpoint"] = host.endpoint;
      rigs.push_back(rig);
    }
    return respond(Make(200, {{"rigs", rigs}, {"truncated", false}}));
  }
  if (request.path == "/hosts") {
    const json body = json::parse(request.body);
    const std::string hire = body.at("hire");
    ++asked_;
    if (hires_.contains(hire)) return respond(Make(200, hires_[hire]));
    size_t live = 0;
    for (const auto& [id, host] : hosts_) live += host.taken ? 0 : 1;
    json names = json::array();
    const int count = body.at("count");
    for (int i = 0; i < count && live < max_machines; ++i, ++live) {
      const std::string id = "vm-" + std::to_string(next_++);
      const FlavorSpec& flavor = world_.Flavor(body.at("build"));
      const double boot = flavor.startup_s * boot_factor * world_.Uniform(0.6, 1.5);
      hosts_[id] = {id, flavor.name, body.at("shore"), body.at("loaners"), Now(), Now() + boot};
      names.push_back(id);
    }
    if (names.empty()) return respond(Make(503, {{"error", "no capacity"}}));
    hires_[hire] = {{"rigs", names}};
    world_.record.Line("hire " + hire + ": " + names.dump());
    return respond(Make(200, hires_[hire]));
  }
  if (request.path == "/hosts/delete") {
    std::vector<std::string> names = json::parse(request.body).at("rigs");
    for (const auto& id : names) {
      if (!hosts_.contains(id) || hosts_[id].taken) continue;
      world_.record.Line("delete " + id);
      Take(id);
    }
    if (on_delete) on_delete(names);
    return respond(Make(200, json::object()));
  }
  respond(Make(400, json::object()));
}

// ================================================================== proxy

struct Proxy::Link : std::enable_shared_from_this<Link> {
  Link(Proxy& p, asio::ip::tcp::socket s) : proxy(p), a(std::move(s)), b(p.io_) {}
  Proxy& proxy;
  asio::ip::tcp::socket a, b;
  std::array<char, 8192> ab{}, ba{};
  std::vector<std::function<void()>> held;
  bool closed = false;
  void Start() {
    auto self = shared_from_this();
    b.async_connect(proxy.to_, [self](const std::error_code& e) {
      if (e) return self->Close();
      self->Pump(self->a, self->b, self->ab);
      self->Pump(self->b, self->a, self->ba);
    });
  }
  void Pump(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
            std::array<char, 8192>& buffer) {
    auto self = shared_from_this();
    from.async_read_some(
        asio::buffer(buffer), [self, &from, &to, &buffer](const std::error_code& e, size_t n) {
          auto forward = [self, e, n, &from, &to, &buffer] {
            if (e) return self->Close();
            asio::async_write(to, asio::buffer(buffer.data(), n),
                              [self, &from, &to, &buffer](const std::error_code& e2, size_t) {
                                if (e2) return self->Close();
                                self->Pump(from, to, buffer);
                              });
          };
          if (self->proxy.mode == Mode::kHold) {
            self->held.push_back(forward);
          } else {
            forward();
          }
        });
  }
  void Close() {
    if (closed) return;
    closed = true;
    std::error_code ignored;
    a.close(ignored);
    b.close(ignored);
  }
};

Proxy::Proxy(asio::io_context& io, std::string to)
    : io_(io),
      to_(mosspath::net::ParseAddress(to)),
      acceptor_(io, mosspath::net::ParseAddress(kAnyPort)) {
  Accept();
}

std::string Proxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void Proxy::Accept() {
  acceptor_.async_accept([this](const std::error_code& e, asio::ip::tcp::socket s) {
    if (e == asio::error::operation_aborted) return;
    if (!e && mode == Mode::kPass) {
      auto link = std::make_shared<Link>(*this, std::move(s));
      links_.push_back(link);
      link->Start();
    } else if (!e && mode == Mode::kHold) {
      // Accepted by the system, but nothing is passed on; given up when the other side closes.
      auto link = std::make_shared<Link>(*this, std::move(s));
      links_.push_back(link);
      link->held.push_back([link] { link->Start(); });
    }
    std::erase_if(links_, [](const auto& l) { return l.expired(); });
    Accept();
  });
}

void Proxy::Set(Mode m) {
  mode = m;
  for (auto& weak : links_) {
    auto link = weak.lock();
    if (!link) continue;
    if (m == Mode::kReset) {
      link->held.clear();
      link->Close();
    }
    if (m == Mode::kPass) {
      for (auto& f : std::exchange(link->held, {})) f();
    }
  }
}

// ================================================================== world

World::World(Facts f, std::vector<FlavorSpec> fl, const std::string& record_path,
             std::string program, std::string folder, uint64_t seed)
    : facts(std::move(f)),
      flavors(std::move(fl)),
      random(seed),
      record(record_path),
      program_(std::move(program)),
      folder_(std::move(folder)),
      pid_(facts.nodes, 0),
      healthy_(facts.nodes, false),
      probe_(io),
      poll_(io),
      watch_(io) {
  for (int i = 0; i < 2 * facts.nodes; ++i) {
    auto socket = std::make_unique<asio::ip::tcp::socket>(io);
    socket->open(asio::ip::tcp::v4());
    socket->set_option(asio::socket_base::reuse_address(true));
    socket->bind({asio::ip::address_v4::loopback(), 0});
    const std::string text = "127.0.0.1:" + std::to_string(socket->local_endpoint().port());
    (i < facts.nodes ? public_address : peer_address_).push_back(text);
    reserved_.push_back(std::move(socket));
  }
  for (int i = 0; i < facts.nodes; ++i) {
    clients_.push_back(std::make_unique<HttpClient>(
        io, public_address[i], HttpClient::Options{.max_connections = 64, .max_queue = 1000}));
    for (int k = 0; k < facts.nodes; ++k) {
      if (i != k) proxies[{i, k}] = std::make_unique<Proxy>(io, peer_address_[k]);
    }
  }
  store = std::make_unique<Store>(*this, facts.nodes);
  cloud = std::make_unique<Cloud>(*this);
  Probe();
  CheckCancelled();
}

World::~World() {
  for (int i = 0; i < facts.nodes; ++i) KillNode(i);
}

const FlavorSpec& World::Flavor(const std::string& name) const {
  for (const auto& f : flavors) {
    if (f.name == name) return f;
  }
  return flavors.front();
}

void World::Later(double seconds, std::function<void()> f) {
  auto timer = std::make_shared<Timer>(io);
  later_.push_back(timer);
  timer->After(seconds, [f = std::move(f), timer] { f(); });
  if (later_.size() > 2000) later_.erase(later_.begin(), later_.begin() + 1000);
}

std::string World::WriteSettings(int node) {
  const std::string path = folder_ + "/hut-" + std::to_string(node) + ".toml";
  std::ofstream out(path);
  const auto zone = [&](int n) { return facts.zones[n % facts.zones.size()]; };
  out << "label = \"hut-" << node << "\"\ndomain = \"" << zone(node) << "\"\npublic_addr = \""
      << public_address[node] << "\"\nback = \"" << peer_address_[node] << "\"\n";
  for (int k = 0; k < facts.nodes; ++k) {
    if (k == node) continue;
    out << "[[seeds]]\nlabel = \"hut-" << k << "\"\ndomain = \"" << zone(k) << "\"\naddress = \""
        << proxies[{node, k}]->address() << "\"\n";
  }
  out << "[outside]\ncloud = \"" << cloud->address() << "\"\nstate = \"" << store->address(node)
      << "\"\n[facts]\ninitial_size = " << facts.nodes << "\nzones = " << json(facts.zones).dump()
      << "\nclock_error_ms = 250.0\n"
      << facts.teams << facts.objectives;
  out << std::fixed;
  out << "[facts.workers]\nreport_s = " << facts.report_s << "\nlease_s = " << facts.lease_s
      << "\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = " << facts.cancel_s
      << "\n[facts.state]\nrps = " << facts.state_rps << "\nwrite_rps = " << facts.state_write_rps
      << "\nvalue_kb = " << facts.value_kb << "\ntxn_ops = " << facts.txn_ops << "\n"
      << facts.more_state << "[facts.cloud]\nrps = " << facts.cloud_rps
      << "\nlist_lag_s = " << facts.list_lag_s << "\n[facts.limits]\ncores = " << facts.cores
      << "\nmemory_mb = " << facts.memory_mb << "\nsockets = " << static_cast<int>(facts.sockets)
      << "\n";
  return path;
}

void World::StartNode(int node) {
  if (pid_[node] > 0) return;
  std::string program = program_, option = "--config", file = WriteSettings(node);
  char* argv[] = {program.data(), option.data(), file.data(), nullptr};
  std::string level = "LOG_LEVEL=debug";
  char* env[] = {level.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/hut-" + std::to_string(node) + ".log";
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0644);
  pid_t pid = 0;
  if (posix_spawn(&pid, program.c_str(), &actions, nullptr, argv, env) != 0) {
    record.Line("can't start " + program);
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&actions);
  pid_[node] = pid;
  record.Line("controller hut-" + std::to_string(node) + " starts");
}

void World::KillNode(int node) {
  if (pid_[node] <= 0) return;
  kill(pid_[node], SIGCONT);
  kill(pid_[node], SIGKILL);
  waitpid(pid_[node], nullptr, 0);
  pid_[node] = 0;
  healthy_[node] = false;
  record.Line("controller hut-" + std::to_string(node) + " killed");
}

void World::SignalNode(int node, int signal) {
  if (pid_[node] <= 0) return;
  kill(pid_[node], signal);
  record.Line("controller hut-" + std::to_string(node) +
              (signal == SIGSTOP ? " stands still" : " goes on"));
}

void World::RunFor(double seconds) {
  const double until = Now() + seconds;
  while (Now() < until) io.run_for(std::chrono::milliseconds(5));
}

bool World::RunUntil(const std::function<bool()>& condition, double limit_s) {
  const double until = Now() + limit_s;
  while (Now() < until) {
    if (condition()) return true;
    io.run_for(std::chrono::milliseconds(5));
  }
  return condition();
}

bool World::AllHealthy(double limit_s) {
  return RunUntil(
      [&] { return std::all_of(healthy_.begin(), healthy_.end(), [](bool h) { return h; }); },
      limit_s);
}

void World::Probe() {
  probe_.After(0.5, [this] { Probe(); });
  for (int i = 0; i < facts.nodes; ++i) {
    if (pid_[i] > 0) {
      int status = 0;
      if (waitpid(pid_[i], &status, WNOHANG) == pid_[i]) {
        pid_[i] = 0;
        healthy_[i] = false;
        Broken("crash", "controller hut-" + std::to_string(i) + " ended by itself, status " +
                            std::to_string(status));
      }
    }
    if (pid_[i] <= 0) continue;
    Ask(i, "GET", "/healthz", "", 1, [this, i](Reply r) { healthy_[i] = r.status == 200; });
  }
}

void World::Ask(int node, const std::string& method, const std::string& path,
                const std::string& body, double timeout_s, std::function<void(Reply)> done) {
  const double sent = Now();
  if (cut_from_users.contains(node)) {
    return Later(timeout_s, [done, sent] { done({0, {}, sent}); });
  }
  clients_[node]->Send(method, path, body, timeout_s, [done, sent](const HttpResult& r) {
    done({r.status, json::parse(r.body, nullptr, false), sent});
  });
}

World::Reply World::AskNow(int node, const std::string& method, const std::string& path,
                           const std::string& body, double timeout_s) {
  bool finished = false;
  Reply reply;
  Ask(node, method, path, body, timeout_s, [&](Reply r) {
    reply = std::move(r);
    finished = true;
  });
  while (!finished) io.run_for(std::chrono::milliseconds(5));
  return reply;
}

int World::Leader() {
  const auto& pairs = store->pairs();
  const auto it = pairs.find("mosspath/live/leader");
  if (it == pairs.end()) return -1;
  const std::string name = it->second.at("v").value("node", "");
  return name.empty() ? -1 : name.back() - '0';
}

int World::PickNode() {
  std::vector<int> nodes;
  for (int i = 0; i < facts.nodes; ++i) {
    if (healthy_[i]) nodes.push_back(i);
  }
  if (nodes.empty()) return static_cast<int>(Uniform(0, facts.nodes - 0.001));
  return nodes[static_cast<size_t>(Uniform(0, static_cast<double>(nodes.size()) - 0.001))];
}

json World::Spec(const std::string& id, int tasks) {
  return {{"id", id},         {"lot", "tally"},     {"house", "auction-desk"},
          {"catch", "array"}, {"rank", "standard"}, {"crates", tasks},
          {"vcpus", 1.0},     {"cards", 0.0},       {"mem_gb", 2.3},
          {"kit", "img-1"},   {"size_gb", 0.2},     {"builds", nullptr},
          {"shore", nullptr}, {"together", false},  {"apart", false},
          {"loaners", true},  {"guess_s", 5.0},     {"tally_s", 0.0},
          {"stow_s", 0.0},    {"dawn_s", nullptr}};
}

JobInfo& World::Submit(json spec, double run_s, int node) {
  const std::string id = spec.at("id");
  JobInfo& job = jobs[id];
  job.id = id;
  job.tasks = spec.at("crates");
  job.run_s = run_s;
  job.spec = std::move(spec);
  job.submitted = true;
  TrySubmit(id, node, Now() + 60);
  return job;
}

void World::TrySubmit(const std::string& id, int node, double until) {
  const int to = node >= 0 ? node : PickNode();
  Ask(to, "POST", "/api/jobs", jobs[id].spec.dump(), 5, [this, id, node, to, until](Reply r) {
    record.Line("submit " + id + " at hut-" + std::to_string(to) + ": " + std::to_string(r.status) +
                (r.body.is_object() ? " " + r.body.dump() : ""));
    JobInfo& job = jobs[id];
    if (r.status == 200 || r.status == 201) {
      if (job.accepted_at < 0) job.accepted_at = Now();
      Check(id, r);
      return;
    }
    if (r.status == 400 || r.status == 422) {
      if (job.accepted_at >= 0)
        Broken("forgotten", "repeated submission of " + id + " got " + std::to_string(r.status));
      return;
    }
    if (Now() < until) Later(1.0, [this, id, node, until] { TrySubmit(id, node, until); });
  });
}

// Checks an answer 200 about the job, or 404.
void World::Check(const std::string& id, const Reply& r) {
  JobInfo& job = jobs[id];
  if (r.status == 404) {
    if (job.accepted_at >= 0 && job.accepted_at < r.sent_at) Broken("forgotten", id + " got 404");
    return;
  }
  if (r.status != 200 && r.status != 201) return;
  job.last_answer_at = Now();
  if (!job.submitted) return Broken("invented", id);
  const std::string stage = r.body.is_object() ? r.body.value("stage", "") : "";
  const bool was_done = job.done_told_at >= 0 && job.done_told_at < r.sent_at;
  const bool was_cancelled = job.cancelled_at >= 0 && job.cancelled_at < r.sent_at;
  if (was_done && stage != "done") Broken("went_back", id + " done, then " + stage);
  if (was_cancelled && stage != "aborted") Broken("went_back", id + " aborted, then " + stage);
  if (stage == "done") {
    if (static_cast<int>(job.done.size()) != job.tasks) Broken("not_done", id);
    if (job.done_told_at < 0) {
      job.done_told_at = Now();
      record.Line(id + " told done");
    }
  }
  if (stage == "aborted") {
    if (job.cancel_asked_at < 0) Broken("went_back", id + " aborted, not cancelled by its user");
    if (job.cancelled_at < 0) {
      job.cancelled_at = Now();
      record.Line(id + " told aborted");
    }
  }
}

void World::Poll(const std::string& id, int node) {
  const int to = node >= 0 ? node : PickNode();
  Ask(to, "GET", "/api/jobs/" + id, "", 2, [this, id](Reply r) { Check(id, r); });
}

void World::KeepPolling(double every_s) {
  poll_.After(every_s, [this, every_s] { KeepPolling(every_s); });
  for (auto& [id, job] : jobs) {
    if (job.accepted_at >= 0) Poll(id);
  }
}

void World::Cancel(const std::string& id, int node) {
  JobInfo& job = jobs[id];
  if (job.cancel_asked_at < 0) job.cancel_asked_at = Now();
  TryCancel(id, node);
}

void World::TryCancel(const std::string& id, int node) {
  const int to = node >= 0 ? node : PickNode();
  Ask(to, "POST", "/api/jobs/" + id + "/cancel", "", 5, [this, id, node, to](Reply r) {
    record.Line("cancel " + id + " at hut-" + std::to_string(to) + ": " + std::to_string(r.status) +
                (r.body.is_object() ? " " + r.body.dump() : ""));
    if (r.status == 200) return Check(id, r);
    if (r.status == 404) return Check(id, r);
    Later(1.0, [this, id, node] { TryCancel(id, node); });
  });
}

void World::Broken(const std::string& rule, const std::string& what) {
  if (++broken[rule] <= 20) record.Line("BROKEN " + rule + ": " + what);
}

int World::running(const std::string& job) const {
  int count = 0;
  for (const auto& [crate, machines] : on) {
    if (JobOf(crate) == job && !machines.empty()) ++count;
  }
  return count;
}

void World::OnTaskOn(Agent& agent, Agent::Task& task) {
  JobInfo& job = jobs[JobOf(task.crate)];
  ++job.starts;
  auto& machines = on[task.crate];
  record.Line("on " + task.crate + " try " + std::to_string(task.attempt) + " " + agent.id);
  if (!machines.empty()) {
    Broken("ran_twice",
           task.crate + " starts on " + agent.id + " while on " + (*machines.begin())->id);
  }
  machines.insert(&agent);
  if (job.cancelled_at >= 0 && Now() - job.cancelled_at > facts.cancel_s)
    Broken("ran_cancelled", task.crate + " starts");
  const json& spec = job.spec;
  if (!spec.at("shore").is_null() && spec.at("shore") != agent.zone)
    Broken("wrong_place", task.crate + " zone " + agent.zone);
  if (!spec.at("loaners").get<bool>() && agent.spot) Broken("wrong_place", task.crate + " spot");
  if (!spec.at("builds").is_null()) {
    const auto& builds = spec.at("builds");
    if (std::find(builds.begin(), builds.end(), agent.flavor.name) == builds.end())
      Broken("wrong_place", task.crate + " type");
  }
  int here = 0;
  bool elsewhere = false;
  for (const auto& [crate, where] : on) {
    if (JobOf(crate) != job.id) continue;
    for (Agent* a : where) {
      if (a->zone == agent.zone)
        ++here;
      else
        elsewhere = true;
    }
  }
  if (spec.at("together").get<bool>() && elsewhere)
    Broken("wrong_place", task.crate + " not together");
  if (spec.at("apart").get<bool>() && here > (job.tasks + 1) / 2)
    Broken("wrong_place", task.crate + " not apart");
  const std::string team = spec.at("house");
  double& cpus = team_cpus_[team];
  cpus += spec.at("vcpus").get<double>();
  const auto limit = facts.cpus_max.find(team);
  if (limit != facts.cpus_max.end() && cpus > limit->second + 1e-6)
    Broken("quota", team + " uses " + std::to_string(cpus));
}

void World::OnTaskOff(Agent& agent, Agent::Task& task, const std::string& cause) {
  JobInfo& job = jobs[JobOf(task.crate)];
  on[task.crate].erase(&agent);
  team_cpus_[job.spec.at("house")] -= job.spec.at("vcpus").get<double>();
  record.Line("off " + task.crate + " try " + std::to_string(task.attempt) + " " + agent.id + " " +
              cause);
}

void World::CheckCancelled() {
  watch_.After(0.1, [this] { CheckCancelled(); });
  const double now = Now();
  for (const auto& [crate, machines] : on) {
    if (machines.empty()) continue;
    const JobInfo& job = jobs[JobOf(crate)];
    if (job.cancelled_at >= 0 && now - job.cancelled_at > facts.cancel_s) {
      Broken("ran_cancelled", crate + " on " + (*machines.begin())->id + " " +
                                  std::to_string(now - job.cancelled_at) + " s after");
    }
  }
}

}  // namespace review
