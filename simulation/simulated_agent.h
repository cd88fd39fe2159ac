// A simulated agent: implements the agent's side of the protocol in simulated time, and the faults
// of its machine.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/cluster/resources.h"
#include "mosspath/wire/messages.h"

namespace mosspath::simulation {

class SimulatedEnvironment;

// A controller's answer to a heartbeat.
struct HeartbeatReply {
  int http_status = 0;
  uint64_t fencing_token = 0;                // valid with status 200
  std::vector<wire::Command> commands = {};  // valid with status 200
  std::string redirect_to = {};  // with status 421: the responsible controller; empty: unknown
};

// Sends heartbeats, trying the controllers in turn until one of them accepts, executes commands,
// and stops all tasks when its lease expires. The object of a terminated agent must be kept, since
// queued events may still refer to it.
class SimulatedAgent {
 public:
  // The environment must outlive the agent.
  SimulatedAgent(SimulatedEnvironment& environment, std::string id, const wire::MachineType& type,
                 std::string zone, bool spot);

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  const std::string& type() const { return type_.name; }
  cluster::Resources resources() const { return cluster::TypeResources(type_); }
  bool spot() const { return spot_; }
  const std::string& address() const { return address_; }
  void set_address(const std::string& address) { address_ = address; }
  bool alive() const { return alive_; }
  // Increases by one with each restart of the machine.
  uint64_t incarnation() const { return incarnation_; }
  // The sequence number of the last heartbeat that was answered with status 200.
  uint64_t acknowledged_sequence() const { return acknowledged_sequence_; }

  // --- Protocol ---

  // Returns a heartbeat with the current state of all attempts and the next sequence number.
  wire::Heartbeat MakeHeartbeat();
  // Executes direct commands and returns HTTP status 200. Returns 409, executing nothing, if the
  // fencing token is outdated or the epoch is not the current one.
  int OnCommands(uint64_t fencing_token, uint64_t agent_epoch,
                 const std::vector<wire::Command>& commands);

  // --- Faults ---

  // Terminates the machine and all its tasks permanently.
  void Terminate();
  // Suspends the machine for the given time. Messages that arrive and tasks that complete
  // during the hang are processed afterwards.
  void Hang(double duration_s);
  bool hung() const;
  // Starts a one-way partition: for the given time, heartbeats are lost and get no answer. Direct
  // commands still reach the machine, and the answers to direct commands still reach the
  // controller.
  void CutOutbound(double duration_s);
  bool outbound_cut() const;
  // Restarts the machine under its name, without tasks and cached images. The agent continues with
  // its next epoch, or starts over with the first epoch, as a new machine does.
  void Restart(bool next_epoch);
  // If true, every task of a batch job that runs on this machine fails.
  bool fails_all_tasks = false;

  // --- State ---

  // Runs the action now, or shortly after the end of the hang.
  void RunUnlessHung(std::function<void()> action);
  // Returns whether the machine existed at the time `then`.
  bool ExistedAt(double then) const;
  // Returns the resources of all tasks that have not exited.
  cluster::Resources used() const;
  size_t running_tasks() const;
  bool RunsJob(const std::string& job) const;

 private:
  struct AttemptId {
    wire::TaskId task;
    uint64_t attempt = 0;
    auto operator<=>(const AttemptId&) const = default;
  };
  struct Attempt {
    wire::TaskState state = wire::TaskState::kFetching;
    wire::ExitReason exit_reason = wire::ExitReason::kNone;
    bool reported_running = false;  // whether the start was reported to the rule checker
    uint64_t timer = 0;             // number of the current timer; earlier timers are ignored
  };
  // One request that sends a heartbeat to a controller.
  struct HeartbeatAttempt {
    uint64_t number = 0;
    double sent_at = 0;
    uint64_t agent_epoch = 0;
    uint64_t sequence = 0;
    std::string controller;
  };

  void HeartbeatLoop();
  void SendHeartbeat();
  void SendHeartbeatSoon();
  void SendDuplicateLater(const wire::Heartbeat& heartbeat);
  void DeliverHeartbeat(const HeartbeatAttempt& attempt, const wire::Heartbeat& heartbeat);
  void OnHeartbeatReply(const HeartbeatAttempt& attempt, const HeartbeatReply& reply);
  void OnHeartbeatAccepted(const HeartbeatAttempt& attempt, const HeartbeatReply& reply);
  bool FollowRedirect(const std::string& controller);
  void TryNextController();
  bool IsCurrent(const HeartbeatAttempt& attempt) const {
    return attempt.number == heartbeat_attempts_;
  }

  void Execute(const std::vector<wire::Command>& commands);
  void Start(const AttemptId& id);
  // Returns the reason for which the attempt can't start; nothing if the attempt can start.
  std::optional<wire::ExitReason> FindRefusal(const AttemptId& id) const;
  void BeginRun(const AttemptId& id);
  void EndRun(const AttemptId& id, bool failed);
  double DrawRunTime(const wire::TaskId& task, const wire::JobSpec& spec);
  // Returns the attempt if it is in the state `state` and `timer` is its current timer; otherwise
  // null.
  Attempt* FindForTimer(const AttemptId& id, uint64_t timer, wire::TaskState state);
  void Exit(const AttemptId& id, wire::ExitReason reason);
  void CheckLease();
  void StopAllTasks();

  SimulatedEnvironment& environment_;
  const std::string id_;
  const wire::MachineType type_;
  const std::string zone_;
  const bool spot_;
  std::string address_;
  bool alive_ = true;
  const double created_at_;
  double terminated_at_ = 0;
  // Simulated times; 0: the fault has not occurred.
  double hung_until_ = 0;
  double outbound_cut_until_ = 0;

  uint64_t agent_epoch_ = 1;
  uint64_t incarnation_ = 0;
  uint64_t fencing_token_ = 0;
  double lease_from_;

  uint64_t sequence_ = 0;
  uint64_t acknowledged_sequence_ = 0;
  size_t controller_index_ = 0;
  bool awaiting_answer_ = false;
  uint64_t heartbeat_attempts_ = 0;
  std::optional<double> last_heartbeat_at_;

  uint64_t timers_ = 0;  // number of timers set for tasks so far
  std::map<AttemptId, Attempt> attempts_;
  std::set<std::string> cached_images_;
};

}  // namespace mosspath::simulation
