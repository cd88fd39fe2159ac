// Stand-ins for the workers and the cloud, and the check of the rules about tasks, as the protocol
// has them.
#pragma once

#include "stand_ins.h"

namespace stand {

struct MachineType {
  std::string name;
  double vcpus = 8, mem_gb = 32, pull_gb_per_s = 1, startup_s = 1, hourly = 1, low_price = 0.3;
  std::vector<std::string> shores = {"a"};
};

struct Timing {
  double report_s = 1.5, lease_s = 12, cancel_s = 42;
};

// What the users have uploaded and been told, and where tasks are; finds broken rules.
class Judge {
 public:
  Judge(Record& record, Timing timing) : record_(record), timing_(timing) {}
  std::map<std::string, json> jobs;               // by id: the descriptions that workers fetch
  std::function<double(const std::string& crate)> run_s = [](const std::string&) { return 5.0; };
  std::function<bool(const std::string& crate)> fails = [](const std::string&) { return false; };
  std::set<std::string> results;                  // crates that have completed; kept for ever
  std::map<std::string, std::string> told;        // what a user was told last: accepted, done, aborted
  std::map<std::string, double> cancelled_at;     // when a user was told so
  std::vector<std::string> broken;
  int started = 0;

  void Broken(const std::string& rule, const std::string& what) {
    broken.push_back(rule + ": " + what);
    record_.Line("BROKEN %s: %s", rule.c_str(), what.c_str());
  }
  void OnStarted(const std::string& rig, const std::string& shore, const std::string& crate) {
    ++started;
    auto& on = on_[crate];
    record_.Line("task %s starts on %s", crate.c_str(), rig.c_str());
    if (!on.empty() && !on.contains(rig)) Broken("ran_twice", crate + " starts on " + rig + " while it is on " + *on.begin());
    on.insert(rig);
    const std::string job = crate.substr(0, crate.find('/'));
    const auto at = cancelled_at.find(job);
    if (at != cancelled_at.end() && net::Now() - at->second > timing_.cancel_s) {
      Broken("ran_cancelled", crate + " starts on " + rig + " after the cancellation");
    }
    (void)shore;
  }
  void OnGone(const std::string& rig, const std::string& crate, const std::string& why) {
    const auto it = on_.find(crate);
    if (it == on_.end() || it->second.erase(rig) == 0) return;
    record_.Line("task %s is off %s (%s)", crate.c_str(), rig.c_str(), why.c_str());
    if (it->second.empty()) on_.erase(it);
  }
  // To be called now and then.
  void Check() {
    for (const auto& [crate, rigs] : on_) {
      const std::string job = crate.substr(0, crate.find('/'));
      const auto at = cancelled_at.find(job);
      if (at == cancelled_at.end() || net::Now() - at->second <= timing_.cancel_s) continue;
      if (reported_.insert(crate).second) {
        Broken("ran_cancelled", crate + " is on " + *rigs.begin() + " " +
               std::to_string(net::Now() - at->second) + " s after the cancellation was told");
      }
    }
  }
  const std::map<std::string, std::set<std::string>>& on() const { return on_; }
  bool AllDone(const std::string& job) const {
    const int n = jobs.at(job).at("crates");
    for (int i = 0; i < n; ++i) {
      if (!results.contains(job + "/" + std::to_string(i))) return false;
    }
    return true;
  }
  void OnTold(const std::string& job, const std::string& stage) {
    std::string& last = told[job];
    if (stage == "done" && !AllDone(job)) Broken("not_done", job + " is called done");
    if (last == "done" && stage != "done") Broken("went_back", job + " was done and is now " + stage);
    if (last == "aborted" && stage != "aborted") Broken("went_back", job + " was aborted and is now " + stage);
    if (stage == "done" || stage == "aborted") last = stage;
    else if (last.empty()) last = "accepted";
    if (stage == "aborted" && !cancelled_at.contains(job)) cancelled_at[job] = net::Now();
  }

 private:
  Record& record_;
  const Timing timing_;
  std::map<std::string, std::set<std::string>> on_;
  std::set<std::string> reported_;
};

// A worker on a machine.
class Worker {
 public:
  enum class Network { kOpen, kCut, kDeaf, kMute };

  Worker(asio::io_context& io, Record& record, Judge& judge, std::vector<std::string> nodes, std::string id,
         const MachineType& type, std::string shore, bool loaners, Timing timing)
      : io_(io), record_(record), judge_(judge), nodes_(std::move(nodes)), id_(std::move(id)), type_(type),
        shore_(std::move(shore)), loaners_(loaners), timing_(timing), report_timer_(io), lease_timer_(io),
        rng_(std::hash<std::string>{}(id_)) {
    for (const auto& node : nodes_) {
      clients_.push_back(std::make_unique<net::HttpClient>(io, node, net::HttpClient::Options{.max_connections = 1}));
    }
    server_ = std::make_unique<net::HttpServer>(io, kAnyPort, net::HttpServer::Options{},
        [this](const net::HttpRequest& request, const Responder& respond) { OnRequest(request, respond); });
    answered_sent_ = net::Now();
    node_ = rng_() % nodes_.size();
    CheckLease();
    Report();
  }
  ~Worker() { Die(); }

  const std::string& id() const { return id_; }
  std::string endpoint() const { return AddressOf(*server_); }
  const std::string& shore() const { return shore_; }
  bool loaners() const { return loaners_; }
  const MachineType& type() const { return type_; }
  bool hanging() const { return hanging_; }
  void SetNetwork(Network network) {
    network_ = network;
    record_.Line("%s network: %d", id_.c_str(), static_cast<int>(network));
  }
  // A hanging machine executes nothing; what arrives waits.
  void SetHanging(bool hanging) {
    if (hanging == hanging_) return;
    hanging_ = hanging;
    record_.Line("%s %s", id_.c_str(), hanging ? "hangs" : "goes on");
    if (hanging) {
      hang_began_ = net::Now();
      return;
    }
    for (auto& [key, task] : tasks_) task.ends_at += net::Now() - hang_began_;
    CheckLeaseNow();
    auto waiting = std::exchange(waiting_, {});
    for (auto& f : waiting) f();
    Advance();
    ReportSoon();
  }
  void Die() {
    if (dead_) return;
    dead_ = true;
    for (const auto& [key, task] : tasks_) {
      if (task.stage == "running" || task.stage == "saving") judge_.OnGone(id_, key.first, "machine gone");
    }
    report_timer_.Cancel();
    lease_timer_.Cancel();
    clients_.clear();
    server_.reset();
  }
  bool dead() const { return dead_; }
  size_t running() const {
    return static_cast<size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) { return t.second.stage == "running"; }));
  }
  void set_sick(bool sick) { sick_ = sick; }
  // The direct commands that were carried out, and the arrival of a late copy of one of them.
  struct Batch {
    double at = 0;
    json body;
  };
  const std::vector<Batch>& batches() const { return batches_; }
  void RepeatCommands(const Batch& batch) {
    net::HttpRequest request;
    request.method = "POST";
    request.path = "/commands";
    request.body = batch.body.dump();
    record_.Line("%s: a copy of the direct command of %.1f s ago arrives: %s", id_.c_str(), net::Now() - batch.at, request.body.c_str());
    Execute(request, [this](const net::HttpResponse& r) {
      record_.Line("%s: the copy is answered %d %s", id_.c_str(), r.status, r.body.c_str());
    });
  }
  // Delays each direct command by this long before it is looked at (0: none).
  std::function<double()> command_delay;

 private:
  struct Task {
    std::string stage = "fetching", cause;
    double ends_at = 0, fetched_at = 0;
    double vcpus = 0, mem_gb = 0;
    std::string image;
    bool fails = false;
  };
  using Key = std::pair<std::string, uint64_t>;

  json MakeReport() {
    json crates = json::array();
    for (const auto& [key, task] : tasks_) {
      json entry{{"crate", key.first}, {"try", key.second}, {"stage", task.stage}};
      if (task.stage == "ended") entry["cause"] = task.cause;
      crates.push_back(entry);
    }
    return {{"rig", id_}, {"endpoint", endpoint()}, {"build", type_.name}, {"shore", shore_}, {"loaners", loaners_},
            {"shift", shift_}, {"tick", ++tick_}, {"baton", baton_}, {"warning_s", nullptr}, {"crates", crates}};
  }

  void OnRequest(const net::HttpRequest& request, const Responder& respond) {
    if (dead_ || network_ == Network::kCut || network_ == Network::kDeaf) return;
    if (command_delay && request.path == "/commands") {
      const double delay = command_delay();
      if (delay > 0) {
        auto timer = std::make_shared<net::Timer>(io_);
        record_.Line("%s: a direct command is held for %.1f s", id_.c_str(), delay);
        timer->After(delay, [this, timer, request] { if (!dead_) Execute(request, [](net::HttpResponse) {}); });
        return;
      }
    }
    if (hanging_) {
      waiting_.push_back([this, request, respond] { Execute(request, respond); });
      return;
    }
    Execute(request, respond);
  }
  void Execute(const net::HttpRequest& request, const Responder& respond) {
    if (request.path != "/commands") return Answer(respond, 200, MakeReport());
    const json body = json::parse(request.body);
    if (!body.contains("baton") || !body.contains("shift")) return Answer(respond, 400, json::object());
    if (body["baton"].get<uint64_t>() < baton_ || body["shift"].get<uint64_t>() != shift_) {
      return Answer(respond, 409, MakeReport());
    }
    const bool raised = body["baton"].get<uint64_t>() > baton_;
    baton_ = body["baton"];
    Execute(body.at("calls"));
    batches_.push_back({net::Now(), body});
    if (raised) ReportSoon();
    Answer(respond, 200, MakeReport());
  }
  void Execute(const json& calls) {
    for (const json& call : calls) {
      const Key key{call.at("crate").get<std::string>(), call.at("try").get<uint64_t>()};
      const std::string what = call.at("call");
      const auto it = tasks_.find(key);
      if (what == "reap") {
        if (it != tasks_.end() && it->second.stage == "ended") tasks_.erase(it);
      } else if (what == "halt") {
        if (it != tasks_.end() && it->second.stage != "ended") End(it, "stopped");
      } else if (it == tasks_.end()) {
        Start(key);
      }
    }
    Advance();
    if (!calls.empty()) ReportSoon();
  }
  void Start(const Key& key) {
    Task& task = tasks_[key];
    const std::string job_id = key.first.substr(0, key.first.find('/'));
    const auto job = judge_.jobs.find(job_id);
    if (job == judge_.jobs.end()) return Refuse(task, "unknown");
    double vcpus = 0, mem_gb = 0;
    for (const auto& [other, t] : tasks_) {
      if (t.stage == "ended") continue;
      if (other.first == key.first && other.second != key.second) return Refuse(task, "in_use");
      vcpus += t.vcpus;
      mem_gb += t.mem_gb;
    }
    task.vcpus = job->second.at("vcpus");
    task.mem_gb = job->second.at("mem_gb");
    if (vcpus + task.vcpus > type_.vcpus + 1e-6 || mem_gb + task.mem_gb > type_.mem_gb + 1e-6) return Refuse(task, "full");
    task.image = job->second.at("kit");
    const double fetch_s = images_.contains(task.image) ? 0 : job->second.at("size_gb").get<double>() / type_.pull_gb_per_s;
    task.fetched_at = net::Now() + fetch_s;
  }
  static void Refuse(Task& task, const std::string& cause) {
    task.stage = "ended";
    task.cause = cause;
    task.vcpus = task.mem_gb = 0;
  }
  void End(std::map<Key, Task>::iterator it, const std::string& cause) {
    if (it->second.stage == "running") judge_.OnGone(id_, it->first.first, cause);
    if (cause == "done") judge_.results.insert(it->first.first);
    it->second.stage = "ended";
    it->second.cause = cause;
    it->second.vcpus = it->second.mem_gb = 0;
  }
  // Lets tasks begin and end whose time has come.
  void Advance() {
    if (hanging_ || dead_) return;
    const double now = net::Now();
    bool changed = false;
    for (auto it = tasks_.begin(); it != tasks_.end(); ++it) {
      Task& task = it->second;
      if (task.stage == "fetching" && now >= task.fetched_at) {
        images_.insert(task.image);
        task.stage = "running";
        judge_.OnStarted(id_, shore_, it->first.first);
        task.ends_at = judge_.results.contains(it->first.first) ? now : now + (sick_ || judge_.fails(it->first.first) ? 1 : judge_.run_s(it->first.first));
        task.fails = sick_ || judge_.fails(it->first.first);
        changed = true;
      }
      if (task.stage == "running" && now >= task.ends_at) {
        End(it, task.fails ? "error" : "done");
        changed = true;
      }
    }
    if (changed) ReportSoon();
  }

  void CheckLease() {
    lease_timer_.After(0.03, [this] { CheckLease(); });
    if (hanging_) {
      // Its tasks do nothing now, and end before the worker does anything else.
      if (net::Now() - answered_sent_ <= timing_.lease_s) return;
      for (const auto& [key, task] : tasks_) {
        if (task.stage == "running") judge_.OnGone(id_, key.first, "lease over, hanging");
      }
      return;
    }
    CheckLeaseNow();
    Advance();
  }
  void CheckLeaseNow() {
    if (net::Now() - answered_sent_ <= timing_.lease_s) return;
    for (const auto& [key, task] : tasks_) {
      if (task.stage == "running") judge_.OnGone(id_, key.first, "lease over");
    }
    tasks_.clear();
    ++shift_;
    answered_sent_ = net::Now();
    record_.Line("%s: lease over, session %lu begins", id_.c_str(), static_cast<unsigned long>(shift_));
    ReportSoon();
  }

  void ReportSoon() {
    if (in_flight_ || dead_ || waiting_for_next_) return;
    const double wait = std::max(0.0, last_report_ + 0.5 - net::Now());
    report_timer_.After(wait, [this] { Report(); });
  }
  void ReportLater(double seconds) {
    report_timer_.After(seconds, [this] { Report(); });
  }
  void Report() {
    waiting_for_next_ = false;
    if (in_flight_ || dead_) return;
    if (hanging_) return ReportLater(0.1);
    in_flight_ = true;
    last_report_ = net::Now();
    const double sent = last_report_;
    const uint64_t shift = shift_;
    const json report = MakeReport();
    if (network_ == Network::kCut || network_ == Network::kMute) {
      auto timer = std::make_shared<net::Timer>(io_);
      timer->After(4, [this, timer] { OnAnswer({}, 0, 0); });
      return;
    }
    clients_[node_]->Send("POST", "/v1/report", report.dump(), 4, [this, sent, shift](const net::HttpResult& r) {
      if (hanging_) {
        waiting_.push_back([this, r, sent, shift] { OnAnswer(net::Now() - sent > 4 ? net::HttpResult{} : r, sent, shift); });
        return;
      }
      if (network_ == Network::kCut || network_ == Network::kDeaf) {
        auto timer = std::make_shared<net::Timer>(io_);
        timer->After(std::max(0.0, sent + 4 - net::Now()), [this, timer] { OnAnswer({}, 0, 0); });
        return;
      }
      OnAnswer(r, sent, shift);
    });
  }
  void OnAnswer(const net::HttpResult& r, double sent, uint64_t shift) {
    if (dead_) return;
    in_flight_ = false;
    const json body = json::parse(r.body, nullptr, false);
    if (r.status == 200) {
      const bool current = body.is_object() && body.contains("baton") && body["baton"].get<uint64_t>() >= baton_ && shift == shift_;
      bool raised = false;
      if (current) {
        raised = body["baton"].get<uint64_t>() > baton_;
        baton_ = body["baton"];
        answered_sent_ = sent;
        Execute(body.at("calls"));
      }
      const double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(rng_);
      if (raised) return ReportLater(0.5);
      if (current && !body.at("calls").empty()) return ReportSoon();
      return ReportLater(timing_.report_s * jitter);
    }
    if (r.status == 421 && body.is_object() && body.contains("steward")) {
      const std::string name = body["steward"];
      const size_t number = name.empty() ? node_ : static_cast<size_t>(name.back() - '0');
      if (number != node_ && number < nodes_.size()) {
        node_ = number;
        return ReportLater(0.1);
      }
    }
    node_ = (node_ + 1) % nodes_.size();
    waiting_for_next_ = true;
    ReportLater(1);
  }

  asio::io_context& io_;
  Record& record_;
  Judge& judge_;
  const std::vector<std::string> nodes_;
  const std::string id_;
  const MachineType type_;
  const std::string shore_;
  const bool loaners_;
  const Timing timing_;
  Network network_ = Network::kOpen;
  bool hanging_ = false, dead_ = false, in_flight_ = false, sick_ = false, waiting_for_next_ = false;
  double hang_began_ = 0, last_report_ = 0, answered_sent_ = 0;
  uint64_t shift_ = 1, tick_ = 0, baton_ = 0;
  size_t node_ = 0;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::vector<Batch> batches_;
  std::vector<std::function<void()>> waiting_;
  net::Timer report_timer_, lease_timer_;
  std::mt19937 rng_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  std::unique_ptr<net::HttpServer> server_;
};

// The cloud. Machines come up after their start-up time.
class Cloud {
 public:
  Cloud(asio::io_context& io, Record& record, Judge& judge, std::vector<std::string> nodes,
        std::vector<MachineType> types, Timing timing)
      : io_(io), record_(record), judge_(judge), nodes_(std::move(nodes)), types_(std::move(types)), timing_(timing) {
    server_ = std::make_unique<net::HttpServer>(io, kAnyPort, net::HttpServer::Options{},
        [this](const net::HttpRequest& request, const Responder& respond) {
          auto timer = std::make_shared<net::Timer>(io_);
          timer->After(latency_s, [this, timer, request, respond] { Handle(request, respond); });
        });
  }
  std::string address() const { return AddressOf(*server_); }
  double latency_s = 0.05;
  // The time in which a rented machine comes up; below 0: the start-up time of its type.
  double boot_s = -1;
  // Called with each machine that comes up.
  std::function<void(Worker&)> on_up;
  // Machines in the zone that haven't failed, and the requests to rent there since that moment.
  size_t Count(const std::string& shore) const {
    return static_cast<size_t>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& m) {
      return m.second.shore == shore && m.second.stage != "failed";
    }));
  }
  int RentedSince(const std::string& shore, double since) const {
    return static_cast<int>(std::count_if(requests_.begin(), requests_.end(), [&](const auto& r) {
      return r.first >= since && r.second == shore;
    }));
  }
  // How many machines of the type, zone and kind there may be at once.
  std::function<int(const std::string& type, const std::string& shore, bool loaners)> capacity =
      [](const std::string&, const std::string&, bool) { return 4; };
  std::map<std::string, std::unique_ptr<Worker>>& workers() { return workers_; }
  std::string AddMachine(const std::string& type, const std::string& shore, bool loaners, double startup_s) {
    char id[32];
    std::snprintf(id, sizeof id, "vm-%06d", ++last_machine_);
    machines_[id] = {type, shore, loaners, net::Now(), "starting", ""};
    auto timer = std::make_shared<net::Timer>(io_);
    timer->After(startup_s, [this, timer, name = std::string(id)] { BringUp(name); });
    return id;
  }
  // The cloud takes the machine back with no notice.
  void TakeBack(const std::string& id) {
    record_.Line("%s is taken", id.c_str());
    machines_.erase(id);
    workers_.at(id)->Die();
    buried_.push_back(std::move(workers_.at(id)));
    workers_.erase(id);
  }
  // The machine stops with all that is on it.
  void Kill(const std::string& id) {
    record_.Line("%s dies", id.c_str());
    workers_.at(id)->Die();
    machines_.at(id).stage = "failed";
  }

 private:
  struct Machine {
    std::string type, shore;
    bool loaners = false;
    double rented_at = 0;
    std::string stage, endpoint;
  };
  const MachineType& TypeOf(const std::string& name) const {
    return *std::find_if(types_.begin(), types_.end(), [&](const auto& t) { return t.name == name; });
  }
  void BringUp(const std::string& id) {
    const auto it = machines_.find(id);
    if (it == machines_.end()) return;
    it->second.stage = "running";
    workers_[id] = std::make_unique<Worker>(io_, record_, judge_, nodes_, id, TypeOf(it->second.type), it->second.shore,
                                            it->second.loaners, timing_);
    it->second.endpoint = workers_[id]->endpoint();
    if (on_up) on_up(*workers_[id]);
    record_.Line("%s is up (%s, %s, %s)", id.c_str(), it->second.type.c_str(), it->second.shore.c_str(),
                 it->second.loaners ? "loaner" : "ordinary");
  }
  void Handle(const net::HttpRequest& request, const Responder& respond) {
    if (request.path == "/flavors") {
      json list = json::array();
      for (const auto& t : types_) {
        list.push_back({{"name", t.name}, {"vcpus", t.vcpus}, {"cards", 0.0}, {"mem_gb", t.mem_gb}, {"local_gb", 60.0},
                        {"pull_gb_per_s", t.pull_gb_per_s}, {"hourly", t.hourly}, {"low_price", t.low_price},
                        {"startup_s", t.startup_s}, {"shores", t.shores}});
      }
      return Answer(respond, 200, {{"builds", list}});
    }
    if (request.path == "/hosts/delete") {
      const json body = json::parse(request.body);
      for (const auto& id : body.at("rigs")) {
        record_.Line("delete %s", id.get<std::string>().c_str());
        machines_.erase(id.get<std::string>());
        const auto it = workers_.find(id.get<std::string>());
        if (it == workers_.end()) continue;
        it->second->Die();
        buried_.push_back(std::move(it->second));
        workers_.erase(it);
      }
      return Answer(respond, 200, json::object());
    }
    if (request.method == "GET") {
      json list = json::array();
      for (const auto& [id, m] : machines_) {
        list.push_back({{"id", id}, {"endpoint", m.endpoint.empty() ? "127.0.0.1:9" : m.endpoint}, {"build", m.type},
                        {"shore", m.shore}, {"loaners", m.loaners}, {"stage", m.stage}, {"age_s", net::Now() - m.rented_at}});
      }
      return Answer(respond, 200, {{"rigs", list}, {"truncated", false}});
    }
    const json body = json::parse(request.body);
    const std::string hire = body.at("hire");
    if (rented_.contains(hire)) return Answer(respond, 200, rented_[hire]);
    requests_.emplace_back(net::Now(), body.at("shore").get<std::string>());
    json rigs = json::array();
    const std::string type = body.at("build"), shore = body.at("shore");
    const bool loaners = body.at("loaners");
    for (int i = 0; i < body.at("count").get<int>(); ++i) {
      const auto present = std::count_if(machines_.begin(), machines_.end(), [&](const auto& m) {
        return m.second.type == type && m.second.shore == shore && m.second.loaners == loaners && m.second.stage != "failed";
      });
      if (present >= capacity(type, shore, loaners)) break;
      rigs.push_back(AddMachine(type, shore, loaners, boot_s < 0 ? TypeOf(type).startup_s : boot_s));
    }
    record_.Line("rent %s: %s -> %zu", hire.c_str(), request.body.c_str(), rigs.size());
    if (rigs.empty()) return Answer(respond, 503, {{"error", "no capacity"}});
    rented_[hire] = {{"rigs", rigs}};
    Answer(respond, 200, rented_[hire]);
  }

  asio::io_context& io_;
  Record& record_;
  Judge& judge_;
  const std::vector<std::string> nodes_;
  const std::vector<MachineType> types_;
  const Timing timing_;
  int last_machine_ = 0;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Worker>> buried_;
  std::map<std::string, json> rented_;
  std::vector<std::pair<double, std::string>> requests_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace stand
