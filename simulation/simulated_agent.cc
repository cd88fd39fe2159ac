#include "simulation/simulated_agent.h"

#include <algorithm>
#include <utility>

#include "simulation/simulated_environment.h"

namespace mosspath::simulation {
namespace {

using wire::ExitReason;
using wire::TaskState;

constexpr double kMaxFirstHeartbeatDelayS = 0.5;
// Maximum deviation of an interval between heartbeats from heartbeat_s, as a ratio to heartbeat_s.
constexpr double kHeartbeatSpread = 0.25;
constexpr double kMinHeartbeatGapS = 0.5;
// A heartbeat that is due within this time after another heartbeat is not sent.
constexpr double kJustSentS = 0.499;
constexpr double kMinLeaseCheckS = 0.001;
constexpr double kAnswerTimeoutS = 4;
constexpr double kNextControllerDelayS = 1;
constexpr double kRedirectDelayS = 0.1;
constexpr double kMinDuplicateDelayS = 0.5;
constexpr double kMaxDuplicateDelayLeases = 3;
constexpr double kMaxResumeDelayS = 0.01;  // maximum delay of held actions after a hang
constexpr double kFailedRunS = 0.2;
constexpr double kRunTimeSpread = 0.5;  // maximum relative deviation from the estimate

}  // namespace

SimulatedAgent::SimulatedAgent(SimulatedEnvironment& environment, std::string id,
                               const wire::MachineType& type, std::string zone, bool spot)
    : environment_(environment),
      id_(std::move(id)),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      address_(id_ + ":1"),
      created_at_(environment.clock.now()),
      lease_from_(environment.clock.now()) {
  controller_index_ = environment_.random.Below(environment_.nodes.size());
  environment_.clock.After(environment_.random.Uniform(0, kMaxFirstHeartbeatDelayS),
                           [this] { HeartbeatLoop(); });
  CheckLease();
}

// ---------------------------------------------------------------------------- heartbeats

void SimulatedAgent::HeartbeatLoop() {
  if (!alive_) return;
  const double interval = environment_.settings.heartbeat_s *
                          environment_.random.Uniform(1 - kHeartbeatSpread, 1 + kHeartbeatSpread);
  environment_.clock.After(interval, [this] { HeartbeatLoop(); });
  SendHeartbeat();
}

void SimulatedAgent::SendHeartbeatSoon() {
  const double now = environment_.clock.now();
  const double due = last_heartbeat_at_ ? *last_heartbeat_at_ + kMinHeartbeatGapS : now;
  environment_.clock.After(std::max(0.0, due - now), [this] {
    const bool just_sent =
        last_heartbeat_at_ && environment_.clock.now() - *last_heartbeat_at_ < kJustSentS;
    if (!just_sent) SendHeartbeat();
  });
}

wire::Heartbeat SimulatedAgent::MakeHeartbeat() {
  wire::Heartbeat heartbeat;
  heartbeat.machine = id_;
  heartbeat.address = address_;
  heartbeat.type = type_.name;
  heartbeat.zone = zone_;
  heartbeat.spot = spot_;
  heartbeat.agent_epoch = agent_epoch_;
  heartbeat.sequence = ++sequence_;
  heartbeat.fencing_token = fencing_token_;
  for (const auto& [id, attempt] : attempts_) {
    heartbeat.tasks.push_back({id.task, id.attempt, attempt.state, attempt.exit_reason, false});
  }
  return heartbeat;
}

void SimulatedAgent::SendHeartbeat() {
  if (!alive_ || awaiting_answer_) return;
  if (hung()) return RunUnlessHung([this] { SendHeartbeat(); });
  const double now = environment_.clock.now();
  const wire::Heartbeat heartbeat = MakeHeartbeat();
  const HeartbeatAttempt attempt{++heartbeat_attempts_, now, agent_epoch_, heartbeat.sequence,
                                 environment_.nodes[controller_index_]};
  awaiting_answer_ = true;
  last_heartbeat_at_ = now;
  const bool duplicated =
      now < environment_.duplicate_heartbeats_until || now < environment_.repeated_requests_until;
  if (duplicated) SendDuplicateLater(heartbeat);
  environment_.clock.After(kAnswerTimeoutS, [this, attempt] {
    if (awaiting_answer_ && IsCurrent(attempt)) TryNextController();
  });
  if (outbound_cut()) return;
  environment_.network.Send(id_, attempt.controller,
                            [this, attempt, heartbeat] { DeliverHeartbeat(attempt, heartbeat); });
}

void SimulatedAgent::SendDuplicateLater(const wire::Heartbeat& heartbeat) {
  const double max_delay_s = kMaxDuplicateDelayLeases * environment_.settings.agent_lease_s;
  const double delay = environment_.random.Uniform(kMinDuplicateDelayS, max_delay_s);
  environment_.clock.After(delay, [this, heartbeat] {
    const bool outdated =
        heartbeat.agent_epoch < agent_epoch_ || heartbeat.fencing_token < fencing_token_;
    environment_.observed.outdated_duplicates += outdated ? 1 : 0;
    const size_t receiver = environment_.random.Below(environment_.nodes.size());
    environment_.on_heartbeat(
        environment_.nodes[receiver], heartbeat, [this](const HeartbeatReply& reply) {
          environment_.decisions.OnHeartbeatAnswered(environment_.clock.now(), id_,
                                                     reply.http_status, reply.fencing_token,
                                                     reply.commands, reply.redirect_to);
        });
  });
}

// Runs at the controller.
void SimulatedAgent::DeliverHeartbeat(const HeartbeatAttempt& attempt,
                                      const wire::Heartbeat& heartbeat) {
  environment_.on_heartbeat(
      attempt.controller, heartbeat, [this, attempt](const HeartbeatReply& reply) {
        environment_.decisions.OnHeartbeatAnswered(environment_.clock.now(), id_, reply.http_status,
                                                   reply.fencing_token, reply.commands,
                                                   reply.redirect_to);
        environment_.network.Send(attempt.controller, id_,
                                  [this, attempt, reply] { OnHeartbeatReply(attempt, reply); });
      });
}

void SimulatedAgent::OnHeartbeatReply(const HeartbeatAttempt& attempt,
                                      const HeartbeatReply& reply) {
  // A reply that arrives after the request timed out is dropped.
  if (!alive_ || !awaiting_answer_ || !IsCurrent(attempt)) return;
  if (reply.http_status == 200) return OnHeartbeatAccepted(attempt, reply);
  if (reply.http_status == 421 && FollowRedirect(reply.redirect_to)) return;
  TryNextController();
}

void SimulatedAgent::OnHeartbeatAccepted(const HeartbeatAttempt& attempt,
                                         const HeartbeatReply& reply) {
  awaiting_answer_ = false;
  acknowledged_sequence_ = attempt.sequence;
  if (reply.fencing_token < fencing_token_ || attempt.agent_epoch != agent_epoch_) return;
  lease_from_ = attempt.sent_at;
  const bool new_leader = reply.fencing_token > fencing_token_;
  fencing_token_ = reply.fencing_token;
  Execute(reply.commands);
  if (new_leader) SendHeartbeatSoon();
}

// Sends the next heartbeat to `controller` and returns true. Returns false if that controller is
// unknown or is the controller that has just answered.
bool SimulatedAgent::FollowRedirect(const std::string& controller) {
  const auto& nodes = environment_.nodes;
  const auto found = std::find(nodes.begin(), nodes.end(), controller);
  if (found == nodes.end() || controller == nodes[controller_index_]) return false;
  awaiting_answer_ = false;
  controller_index_ = static_cast<size_t>(found - nodes.begin());
  environment_.clock.After(kRedirectDelayS, [this] { SendHeartbeat(); });
  return true;
}

void SimulatedAgent::TryNextController() {
  if (!alive_) return;
  awaiting_answer_ = false;
  controller_index_ = (controller_index_ + 1) % environment_.nodes.size();
  environment_.clock.After(kNextControllerDelayS, [this] { SendHeartbeat(); });
}

// ---------------------------------------------------------------------------- commands

int SimulatedAgent::OnCommands(uint64_t fencing_token, uint64_t agent_epoch,
                               const std::vector<wire::Command>& commands) {
  const bool outdated = fencing_token < fencing_token_ || agent_epoch != agent_epoch_;
  const int http_status = outdated ? 409 : 200;
  environment_.decisions.OnCommandsReceived(environment_.clock.now(), id_, fencing_token,
                                            agent_epoch, commands, http_status);
  if (outdated) return http_status;
  fencing_token_ = fencing_token;
  if (outbound_cut() && !commands.empty()) ++environment_.observed.outbound_cut_commands;
  Execute(commands);
  return http_status;
}

void SimulatedAgent::Execute(const std::vector<wire::Command>& commands) {
  for (const wire::Command& command : commands) {
    const AttemptId id{command.task, command.attempt};
    const auto found = attempts_.find(id);
    const bool present = found != attempts_.end();
    const bool exited = present && found->second.state == TaskState::kExited;
    switch (command.type) {
      case wire::CommandType::kStart:
        if (!present) Start(id);
        break;
      case wire::CommandType::kStop:
        if (present && !exited) Exit(id, ExitReason::kStopped);
        break;
      case wire::CommandType::kForget:
        if (!exited) break;
        attempts_.erase(found);
        SendHeartbeatSoon();
        break;
    }
  }
}

// ---------------------------------------------------------------------------- tasks

void SimulatedAgent::Start(const AttemptId& id) {
  const std::optional<ExitReason> refusal = FindRefusal(id);
  Attempt& attempt = attempts_[id];
  SendHeartbeatSoon();
  if (refusal) {
    attempt.state = TaskState::kExited;
    attempt.exit_reason = *refusal;
    return;
  }
  const wire::JobSpec& spec = environment_.specs.at(id.task.job);
  const bool cached = cached_images_.contains(spec.image);
  const double fetch_s = cached ? 0.0 : spec.image_gb / type_.fetch_gb_per_s;
  const uint64_t timer = attempt.timer = ++timers_;
  environment_.clock.After(fetch_s, [this, id, timer, image = spec.image] {
    if (FindForTimer(id, timer, TaskState::kFetching) == nullptr) return;
    cached_images_.insert(image);
    BeginRun(id);
  });
}

std::optional<ExitReason> SimulatedAgent::FindRefusal(const AttemptId& id) const {
  const auto spec = environment_.specs.find(id.task.job);
  if (spec == environment_.specs.end()) return ExitReason::kUnknownJob;
  for (const auto& [other, attempt] : attempts_) {
    if (attempt.state == TaskState::kExited) continue;
    if (other.task == id.task) return ExitReason::kOtherAttemptPresent;
  }
  if (!cluster::Fits(cluster::TaskResources(spec->second), resources() - used())) {
    return ExitReason::kInsufficientResources;
  }
  return std::nullopt;
}

void SimulatedAgent::BeginRun(const AttemptId& id) {
  Attempt& attempt = attempts_[id];
  attempt.state = TaskState::kRunning;
  attempt.reported_running = true;
  environment_.rule_checker.OnTaskStarted(id.task, id_, type_.name, zone_, spot_,
                                          environment_.clock.now());
  SendHeartbeatSoon();
  const wire::JobSpec& spec = environment_.specs.at(id.task.job);
  if (spec.kind == wire::JobKind::kService) return;
  const bool fails = fails_all_tasks || environment_.faulty_jobs.contains(spec.id);
  const double run_s = fails ? kFailedRunS : DrawRunTime(id.task, spec);
  const uint64_t timer = attempt.timer = ++timers_;
  environment_.clock.After(run_s, [this, id, timer, fails] {
    RunUnlessHung([this, id, timer, fails] {
      if (FindForTimer(id, timer, TaskState::kRunning) != nullptr) EndRun(id, fails);
    });
  });
}

// Returns the run time of an attempt. If the task has completed in an earlier attempt, the new
// attempt finds the results and ends immediately.
double SimulatedAgent::DrawRunTime(const wire::TaskId& task, const wire::JobSpec& spec) {
  if (environment_.completed_at.contains(task)) return 0;
  const auto fixed = environment_.run_times_s.find(task);
  if (fixed != environment_.run_times_s.end()) return fixed->second;
  return spec.estimated_run_s * environment_.random.Uniform(1 - kRunTimeSpread, 1 + kRunTimeSpread);
}

SimulatedAgent::Attempt* SimulatedAgent::FindForTimer(const AttemptId& id, uint64_t timer,
                                                      TaskState state) {
  const auto found = attempts_.find(id);
  if (!alive_ || found == attempts_.end()) return nullptr;
  const bool current = found->second.timer == timer && found->second.state == state;
  return current ? &found->second : nullptr;
}

void SimulatedAgent::EndRun(const AttemptId& id, bool failed) {
  if (failed) return Exit(id, ExitReason::kFailed);
  environment_.completed_at[id.task] = environment_.clock.now();
  const bool last = environment_.rule_checker.OnTaskCompleted(id.task);
  if (last && environment_.on_job_end) environment_.on_job_end(id.task.job);
  Exit(id, ExitReason::kSucceeded);
}

void SimulatedAgent::Exit(const AttemptId& id, ExitReason reason) {
  Attempt& attempt = attempts_[id];
  if (attempt.reported_running) environment_.rule_checker.OnTaskLeft(id.task, id_);
  attempt.reported_running = false;
  attempt.state = TaskState::kExited;
  attempt.exit_reason = reason;
  SendHeartbeatSoon();
}

void SimulatedAgent::StopAllTasks() {
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.reported_running) environment_.rule_checker.OnTaskLeft(id.task, id_);
  }
  attempts_.clear();
}

void SimulatedAgent::CheckLease() {
  if (!alive_) return;
  const double lease_s = environment_.settings.agent_lease_s;
  const double now = environment_.clock.now();
  if (now >= lease_from_ + lease_s) {
    StopAllTasks();
    ++agent_epoch_;
    lease_from_ = now;
    SendHeartbeatSoon();
  }
  environment_.clock.At(std::max(lease_from_ + lease_s, now + kMinLeaseCheckS),
                        [this] { CheckLease(); });
}

// ---------------------------------------------------------------------------- faults

void SimulatedAgent::Terminate() {
  if (alive_) terminated_at_ = environment_.clock.now();
  StopAllTasks();
  alive_ = false;
}

void SimulatedAgent::Hang(double duration_s) {
  hung_until_ = std::max(hung_until_, environment_.clock.now() + duration_s);
}

bool SimulatedAgent::hung() const { return hung_until_ > environment_.clock.now(); }

void SimulatedAgent::CutOutbound(double duration_s) {
  outbound_cut_until_ = std::max(outbound_cut_until_, environment_.clock.now() + duration_s);
}

bool SimulatedAgent::outbound_cut() const { return outbound_cut_until_ > environment_.clock.now(); }

void SimulatedAgent::Restart(bool next_epoch) {
  StopAllTasks();
  cached_images_.clear();
  agent_epoch_ = next_epoch ? agent_epoch_ + 1 : 1;
  sequence_ = 0;
  fencing_token_ = 0;
  ++incarnation_;
  lease_from_ = environment_.clock.now();
  hung_until_ = 0;
  // Discards the answer to a heartbeat that was sent before the restart.
  ++heartbeat_attempts_;
  awaiting_answer_ = false;
  SendHeartbeatSoon();
}

// ---------------------------------------------------------------------------- state

void SimulatedAgent::RunUnlessHung(std::function<void()> action) {
  if (!hung()) return action();
  environment_.clock.At(hung_until_ + environment_.random.Uniform(0, kMaxResumeDelayS),
                        [this, action = std::move(action)] { RunUnlessHung(action); });
}

bool SimulatedAgent::ExistedAt(double then) const {
  return then >= created_at_ && (alive_ || then < terminated_at_);
}

cluster::Resources SimulatedAgent::used() const {
  cluster::Resources used;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state == TaskState::kExited) continue;
    used += cluster::TaskResources(environment_.specs.at(id.task.job));
  }
  return used;
}

size_t SimulatedAgent::running_tasks() const {
  return static_cast<size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const auto& entry) { return entry.second.state == TaskState::kRunning; }));
}

bool SimulatedAgent::RunsJob(const std::string& job) const {
  return std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& entry) {
    return entry.first.task.job == job && entry.second.state == TaskState::kRunning;
  });
}

}  // namespace mosspath::simulation
