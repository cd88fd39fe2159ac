// A machine's agent in simulated time, as the protocol describes it, with the faults that can
// befall its machine.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::simulation {

class SimulatedEnvironment;

// What a controller answers to a heartbeat.
struct HeartbeatReply {
  int http_status = 0;
  uint64_t fencing_token = 0;  // these two count with status 200
  std::vector<wire::Command> commands = {};
  std::string redirect_to = {};  // with status 421: the controller to turn to; empty: unknown
};

// Sends heartbeats to one controller after the other until one answers, executes commands, and
// stops all tasks when its lease is over. A terminated agent stays as an object, since events that
// refer to it may still be queued.
class SimulatedAgent {
 public:
  // The environment must outlive the agent.
  SimulatedAgent(SimulatedEnvironment& environment, std::string id, const wire::MachineType& type,
                 std::string zone, bool spot);

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  const std::string& type() const { return type_.name; }
  double cpus() const { return type_.cpus; }
  bool spot() const { return spot_; }
  const std::string& address() const { return address_; }
  void set_address(const std::string& address) { address_ = address; }
  bool alive() const { return alive_; }
  // One more with each restart of the machine.
  uint64_t incarnation() const { return incarnation_; }
  // The sequence number of its last heartbeat that was answered with status 200.
  uint64_t acknowledged_sequence() const { return acknowledged_sequence_; }

  // --- Protocol ---

  // What it reports now, with the next sequence number.
  wire::Heartbeat MakeHeartbeat();
  // Takes direct commands; returns the HTTP status, 409 when the token or the epoch is outdated.
  int OnCommands(uint64_t fencing_token, uint64_t agent_epoch,
                 const std::vector<wire::Command>& commands);

  // --- Faults ---

  // The machine ends for good, with all that runs on it.
  void Terminate();
  // It runs nothing and answers nothing for that long; what arrives meanwhile is done afterwards.
  void Hang(double duration_s);
  bool hung() const;
  // A one-way partition: its heartbeats reach no controller for that long, nor any answer to them.
  // Direct commands reach it, and their answers come back.
  void CutOutbound(double duration_s);
  bool outbound_cut() const;
  // The machine comes back under its name with nothing on it: in its next epoch, or in its first
  // one as if it had never been.
  void Restart(bool next_epoch);
  // Every task that starts here fails.
  bool fails_all_tasks = false;

  // --- State ---

  // Runs the action now, or shortly after the end of the hang.
  void RunUnlessHung(std::function<void()> action);
  // Whether the cloud had the machine at that time.
  bool ExistedAt(double then) const;
  // Of the tasks that have not exited.
  double used_cpus() const;
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
    bool reported_running = false;  // to the rule checker
    uint64_t timer = 0;             // the one that counts; earlier ones do nothing
  };
  // One try to have a heartbeat answered.
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
  // Why the attempt can't start; none if it can.
  std::optional<wire::ExitReason> FindRefusal(const AttemptId& id) const;
  void BeginRun(const AttemptId& id);
  void EndRun(const AttemptId& id, bool failed);
  double DrawRunTime(const wire::TaskId& task, const wire::JobSpec& spec);
  // The attempt if it is still in that state and no later timer was set; else null.
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
  // Times of the day, which begins at 0: with that value the fault has not been.
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

  uint64_t timers_ = 0;  // of its tasks
  std::map<AttemptId, Attempt> attempts_;
  std::set<std::string> cached_images_;
};

}  // namespace mosspath::simulation
