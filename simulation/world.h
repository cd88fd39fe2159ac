// Stand-ins for everything outside the controllers, in simulated time: a network with delay, cuts
// and held-back messages, the state service, the cloud, workers, and a checker of the rules.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/wire/json.h"
#include "mosspath/wire/messages.h"
#include "mosspath/wire/shard_frame.h"
#include "simulation/decisions.h"

namespace mosspath::simulation {

// Events in the order of their times; equal times in the order they were added.
class SimulatedClock {
 public:
  double now() const { return now_; }
  void At(double when, std::function<void()> f) { queue_.push({when, next_++, std::move(f)}); }
  void After(double delay, std::function<void()> f) { At(now_ + delay, std::move(f)); }
  void RunUntil(double end);

 private:
  struct Event {
    double when;
    uint64_t order;
    std::function<void()> f;
    bool operator<(const Event& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };
  double now_ = 0;
  uint64_t next_ = 0;
  std::priority_queue<Event> queue_;
};

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}
  double Uniform(double a, double b) {
    return a + (b - a) * static_cast<double>(engine_() >> 11) * 0x1.0p-53;
  }
  uint64_t Below(uint64_t n) { return engine_() % n; }

 private:
  std::mt19937_64 engine_;
};

// Hosts are names. A cut holds messages back and delivers them when it ends, or drops them.
class SimulatedNetwork {
 public:
  SimulatedNetwork(SimulatedClock& clock, Random& random) : clock_(clock), random_(random) {}
  void Send(const std::string& from, const std::string& to, std::function<void()> deliver);
  void Cut(const std::string& a, const std::string& b, double for_s, bool hold);
  // Only what goes this way; the other way is as before.
  void CutOneWay(const std::string& from, const std::string& to, double for_s, bool hold);
  // Whether messages pass, one way and the other.
  bool Open(const std::string& a, const std::string& b) const {
    return Find(cuts_, std::minmax(a, b), clock_.now()) == nullptr &&
           Find(one_way_, {a, b}, clock_.now()) == nullptr &&
           Find(one_way_, {b, a}, clock_.now()) == nullptr;
  }
  // Called with the sender once a message has been sent.
  std::function<void(const std::string& from)> on_sent;
  // Messages to and from the host take this many times as long.
  void Slow(const std::string& host, double factor, double for_s) {
    slow_[host] = {factor, clock_.now() + for_s};
  }

 private:
  struct CutState {
    double until = 0;
    bool hold = false;
  };
  SimulatedClock& clock_;
  Random& random_;
  using Ends = std::pair<std::string, std::string>;
  static const CutState* Find(const std::map<Ends, CutState>& cuts, const Ends& ends, double now);
  std::map<Ends, CutState> cuts_;
  std::map<Ends, CutState> one_way_;
  std::map<std::string, std::pair<double, double>> slow_;  // factor, until
};

// Every breach of a rule, in words.
class RuleChecker {
 public:
  RuleChecker(const config::Settings& settings, const std::vector<wire::MachineType>& types)
      : settings_(settings), types_(types) {}

  void Submitted(const wire::JobSpec& spec, double now) {
    Job& job = jobs_[spec.id];
    job.spec = spec;
    if (!job.asked) job.asked = now;
  }
  // Users were told that it is accepted: from now on they ask about it.
  void Accepted(const std::string& id, double now);
  // A question about it, of that time, was answered so.
  void Answered(const std::string& id, int status, wire::JobState stage, double asked, double now);
  // The user has asked to cancel it.
  void CancelAsked(const std::string& id) { jobs_[id].cancel_asked = true; }
  // Sent by a user although it can never run; nobody is to serve it.
  void SubmittedOdd(const wire::JobSpec& spec) { jobs_[spec.id].spec = spec; }
  // A submission of it was refused for good.
  void Refused(const std::string& id);
  // No trouble lasts beyond that.
  void TroubleUntil(double then) { quiet_from_ = std::max(quiet_from_, then); }
  double quiet_from() const { return quiet_from_; }
  // The day is over: who was served by less than half, or began too late. `capacity_cpus`: of all
  // machines.
  void DayOver(double capacity_cpus);
  // When users were told of cancellations.
  const std::vector<double>& cancellations() const { return cancellations_; }
  void ToldDone(const std::string& id, double now);
  void ToldCancelled(const std::string& id, double now);
  void Started(const wire::TaskId& task, const std::string& machine, const std::string& type,
               const std::string& zone, bool spot, double now);
  void Left(const wire::TaskId& task, const std::string& machine);
  // True if it was the last of its job.
  bool Completed(const wire::TaskId& task) {
    Job& job = jobs_[task.job];
    return job.completed.insert(task.index).second && job.completed.size() == job.spec.tasks;
  }
  // A job with tasks to start: how many of the others are on machines, by zone, and whether one
  // more stays within its team's limit.
  struct Waiting {
    const wire::JobSpec* spec = nullptr;
    std::map<std::string, size_t> in_zone;
    bool team_has_room = true;
  };
  // Accepted jobs with tasks that are neither done nor on a machine.
  std::vector<Waiting> WaitingJobs() const;
  // Which machines that it may use have room for a task of the job, all troubles over.
  void RoomFor(const std::string& id, const std::vector<std::string>& machines, double now);
  void Tick(double now);

  void Breach(const std::string& what) { breaches_.push_back(what); }
  const std::vector<std::string>& breaches() const { return breaches_; }
  size_t starts() const { return starts_; }
  // Of starts after a confirmed cancellation, which were under way: the latest.
  double latest_cancelled_start_s() const { return latest_cancelled_start_s_; }
  // Seconds from a first attempt to the first start, of the largest of each class; from one answer
  // about a job to the next once all troubles are over.
  double latest_begin_s() const { return latest_begin_s_; }
  double longest_unanswered_s() const { return longest_unanswered_s_; }
  size_t done_jobs() const;
  bool IsDone(const std::string& id) const {
    const auto it = jobs_.find(id);
    return it != jobs_.end() && it->second.done;
  }

 private:
  struct Job {
    wire::JobSpec spec;
    std::set<uint32_t> completed;
    std::map<uint32_t, std::pair<std::string, std::string>> on;  // task -> machine, zone
    bool done = false;
    std::optional<double> cancelled;
    std::optional<double> asked;     // first attempt to submit
    std::optional<double> accepted;  // told so
    std::optional<double> begun;     // a task of it started
    double answered = 0;             // a question about it, last
    bool cancel_asked = false;
    bool forgotten = false;
    bool down = false;
    std::optional<wire::JobState> told_over;
    double told_over_at = 0;
    std::map<std::string, double> room_since;  // machines that had room ever since
    bool waits = false;                        // and was told of
    double last_start = 0;
  };

  // Whether all that must run at once of it can, by trying each machine type and zone.
  bool CanRun(const wire::JobSpec& s) const;
  bool TeamHasRoom(const wire::JobSpec& s) const;

  const config::Settings settings_;
  const std::vector<wire::MachineType> types_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, std::pair<double, double>> use_;
  std::vector<std::string> breaches_;
  std::vector<double> cancellations_;
  size_t starts_ = 0;
  double latest_cancelled_start_s_ = 0;
  double quiet_from_ = 0;
  double latest_begin_s_ = 0;
  double longest_unanswered_s_ = 0;
};

class SimulatedKeyValueStore {
 public:
  struct Pair {
    wire::Json value;
    uint64_t version;
    uint64_t grant;
  };
  // Changes that are carried out go into the decisions.
  SimulatedKeyValueStore(SimulatedClock& clock, Decisions& decisions)
      : clock_(clock), decisions_(decisions) {}

  // These run at the service; the network is the caller's business.
  bool up() const { return clock_.now() >= down_until_; }
  void Outage(double for_s);
  uint64_t Grant(double life_s);
  bool Renew(uint64_t grant);
  void End(uint64_t grant);
  // 0: a condition failed.
  uint64_t Commit(const std::vector<std::pair<std::string, uint64_t>>& conditions,
                  const std::vector<std::pair<std::string, std::optional<wire::Json>>>& changes,
                  uint64_t grant = 0);
  const std::map<std::string, Pair>& pairs();
  // As it is now; shared by those who look before the next change.
  struct View {
    std::map<std::string, Pair> pairs;
    uint64_t revision = 0;
  };
  std::shared_ptr<const View> Snapshot();
  uint64_t VersionOf(const std::string& key);

 private:
  void Expire();
  struct GrantState {
    double life = 0;
    double until = 0;
  };
  SimulatedClock& clock_;
  Decisions& decisions_;
  uint64_t revision_ = 0;
  uint64_t next_grant_ = 1;
  double down_until_ = 0;
  std::map<uint64_t, GrantState> grants_;
  std::map<std::string, Pair> pairs_;
  std::shared_ptr<const View> snapshot_;
};

class SimulatedEnvironment;

// A worker as the protocol describes it.
class SimulatedAgent {
 public:
  SimulatedAgent(SimulatedEnvironment& world, std::string id, const wire::MachineType& type,
                 std::string zone, bool spot);

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  const std::string& type() const { return type_.name; }
  double cpus() const { return type_.cpus; }
  bool spot() const { return spot_; }
  wire::Heartbeat MakeHeartbeat();  // its report, with the next sequence number
  int OnCommands(uint64_t token, uint64_t session, const std::vector<wire::Command>& commands);
  void Die();
  // It runs nothing and answers nothing until then; what comes for it is done when it goes on.
  void Hang(double for_s);
  // Its reports reach no controller until then, nor any answer to them; direct orders do, and their
  // answers come back.
  void CutOutbound(double for_s);
  bool outbound_cut() const;
  bool hung() const;
  double used_cpus() const;
  bool Has(const std::string& job) const;  // a task of it runs here
  // It comes back under its name with nothing on it, in its next session, or in its first as if it
  // had never been.
  void Restart(bool next_session);
  void Running(std::function<void()> f);
  bool alive() const { return alive_; }
  uint64_t agent_epoch() const { return agent_epoch_; }
  uint64_t heard_seq() const { return heard_seq_; }  // of its last report that was answered 200
  size_t running() const {
    return static_cast<size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) {
      return t.second.state == wire::TaskState::kRunning;
    }));
  }
  const std::string& address() const { return address_; }
  uint64_t incarnation() const { return incarnation_; }  // one more with each rebirth
  void MoveTo(const std::string& address) { address_ = address; }
  bool sick = false;  // fails every task
  // Whether the cloud had it at that time.
  bool Had(double then) const { return then >= born_ && (alive_ || then < died_); }
  uint64_t token() const { return token_; }

 private:
  struct Task {
    wire::TaskState state = wire::TaskState::kFetching;
    wire::ExitReason why = wire::ExitReason::kNone;
    bool on = false;  // counted by the checker
    uint64_t turn = 0;
  };
  using Key = std::pair<wire::TaskId, uint64_t>;

  void ReportLoop();
  void SendReport();
  void Changed();
  void Execute(const std::vector<wire::Command>& commands);
  void Start(const wire::TaskId& task, uint64_t attempt);
  void Begin(const Key& key);
  void Exit(const Key& key, wire::ExitReason why);
  void CheckLease();
  void KillAll();

  SimulatedEnvironment& world_;
  const std::string id_;
  const wire::MachineType type_;
  const std::string zone_;
  const bool spot_;
  std::string address_;
  bool alive_ = true;
  const double born_;
  double died_ = 0;
  double hung_until_ = -1e18;
  double outbound_cut_until_ = -1e18;
  uint64_t agent_epoch_ = 1;
  uint64_t seq_ = 0;
  uint64_t heard_seq_ = 0;
  uint64_t token_ = 0;
  double lease_from_;
  size_t node_ = 0;
  bool waiting_ = false;
  uint64_t report_turn_ = 0;
  uint64_t turns_ = 0;  // of its tasks
  uint64_t incarnation_ = 0;
  double last_report_ = -1e9;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
};

class SimulatedEnvironment {
 public:
  SimulatedEnvironment(config::Settings settings, std::vector<wire::MachineType> types,
                       uint64_t seed);

  using ReportAnswer = std::function<void(int status, uint64_t token,
                                          std::vector<wire::Command> commands, std::string to)>;

  void Submit(const wire::JobSpec& spec) {
    specs[spec.id] = spec;
    rule_checker.Submitted(spec, clock.now());
  }
  // Durable without a controller's doing; the revision of the cancellation, 0: it is over.
  void Accept(const wire::JobSpec& spec);
  uint64_t Cancel(const std::string& id);
  SimulatedAgent& AddMachine(const std::string& type, const std::string& zone, bool spot);
  // The name of a machine that will be up after its boot time; empty: no capacity.
  std::string Rent(const std::string& type, const std::string& zone, bool spot);
  void Delete(const std::string& id);
  // A task of the job runs.
  bool Runs(const std::string& job) const;
  // The cloud's list, as it was its usual lag ago.
  std::vector<wire::ListedMachine> List() const;
  // Who is reached there now, if anybody.
  SimulatedAgent* At(const std::string& address);
  // The machine ends, and another is up under its address at once.
  void Replace(const std::string& id);
  // Each report is delivered again later, to any controller.
  double copies_until = -1e18;
  // That share of changes gets no answer from the state service and is carried out 2 to 12 s later,
  // after newer ones, whatever has become of who sent them.
  double late_writes_until = -1e18;
  double late_writes_share = 0;
  size_t late_writes = 0;  // carried out late
  // What a day's meeting is told by.
  size_t old_copies = 0;    // of reports under an earlier session or token
  size_t late_orders = 0;   // executed seconds after they were sent
  size_t mute_orders = 0;   // executed by machines whose reports reach nobody
  size_t late_answers = 0;  // to orders, with a newer report taken in meanwhile
  // Answers to orders are held up for seconds.
  double held_answers_until = -1e18;
  // Called when the last task of a job has completed.
  std::function<void(const std::string& job)> on_job_end;
  std::vector<double> elections;  // when each controller was
  std::string confirmer;          // who last told a user of a cancellation
  std::map<wire::TaskId, double> done_at;
  std::map<wire::TaskId, double> run_s;  // of tasks whose time is not drawn by their job's estimate

  size_t capacity = 8;  // machines that can be up at once
  const config::Settings settings;
  const std::vector<wire::MachineType> types;
  SimulatedClock clock;
  Random random;
  SimulatedNetwork network;
  Decisions decisions;
  SimulatedKeyValueStore store;
  RuleChecker rule_checker;
  std::map<std::string, wire::JobSpec> specs;
  std::set<std::string> broken;  // jobs with a mistake: fail everywhere
  std::map<std::string, std::unique_ptr<SimulatedAgent>> agents;
  std::map<wire::TaskId, bool> results;  // completed tasks keep their results
  std::vector<std::string> nodes;
  // Controllers stand in the zones in turn.
  std::string ZoneOf(const std::string& node) const;
  // How a node takes a report; called at the node.
  std::function<void(const std::string& node, wire::Heartbeat, ReportAnswer)> on_report;
  // How a node takes a leader's question whether it vouches; no answer while it is down.
  std::map<std::string, std::function<std::optional<std::string>(const std::string& question)>>
      on_vouch;
  // How a node takes a frame about a block; its answer, if it takes it.
  std::map<std::string, std::function<std::optional<wire::ShardFrame>(const std::string& frame)>>
      on_frame;
  // How a node takes another's presence; its answer. None while it is down.
  std::map<std::string, std::function<std::optional<std::string>(const std::string& frame)>>
      on_presence;

 private:
  SimulatedAgent& Add(const std::string& id, const std::string& type, const std::string& zone,
                      bool spot);
  std::string NextName();

  uint64_t next_machine_ = 0;
  size_t booting_ = 0;
};

}  // namespace mosspath::simulation
