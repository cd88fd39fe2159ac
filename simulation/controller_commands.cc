// Heartbeats of agents, direct commands to agents, the leader's records, and scaling of the fleet.
#include <algorithm>
#include <memory>

#include "simulation/controller.h"
#include "simulation/store_keys.h"

namespace mosspath::simulation {
namespace {

constexpr double kWriteTimeoutS = 1;
constexpr double kLateCommandS = 2;  // commands with a longer delay are counted as late
constexpr double kMaxAnswerDelayHeartbeats = 1.2;
constexpr size_t kMaxRecords = 100;  // maximum number of records in one transaction
constexpr size_t kMaxRecordBytes = 48u << 10;

uint64_t CountStarts(const std::vector<wire::Command>& commands) {
  return static_cast<uint64_t>(std::count_if(
      commands.begin(), commands.end(),
      [](const wire::Command& command) { return command.type == wire::CommandType::kStart; }));
}

}  // namespace

// ---------------------------------------------------------------------------- heartbeats

void SimulatedController::OnHeartbeat(const wire::Heartbeat& heartbeat,
                                      const SimulatedEnvironment::HeartbeatResponder& respond) {
  if (!alive_) return;
  if (frozen()) {
    return RunUnlessFrozen([this, heartbeat, respond] { OnHeartbeat(heartbeat, respond); });
  }
  if (holder_ && holder_->dispatcher().Owns(heartbeat.machine)) {
    return AnswerAsHolder(heartbeat, respond);
  }
  const std::string holder = HolderOf(heartbeat.machine);
  if (!holder.empty()) return respond({.http_status = 421, .redirect_to = holder});
  if (leading()) return AnswerAsLeader(heartbeat, respond);
  const std::string& leader = leadership_->leader();
  if (scheduler_ || leader == name_) return respond({.http_status = 503});
  const bool suspected = failure_detector_->IsSuspected(leader, Now());
  respond({.http_status = 421, .redirect_to = suspected ? "" : leader});
}

std::string SimulatedController::HolderOf(const std::string& machine) const {
  if (!settings_.lease_shards) return {};
  const bool leads = shard_leases_ && leading();
  std::string holder = leads ? shard_leases_->HolderOf(machine) : routing_table_.HolderOf(machine);
  if (holder.empty() && !leads && !scheduler_) holder = leadership_->leader();
  return holder == name_ ? std::string() : holder;
}

void SimulatedController::AnswerAsHolder(const wire::Heartbeat& heartbeat,
                                         const SimulatedEnvironment::HeartbeatResponder& respond) {
  if (!MayHold()) return respond({.http_status = 503});
  const scheduler::HeartbeatAnswer answer = holder_->OnHeartbeat(heartbeat, Now());
  if (!answer.accepted) return respond({.http_status = 503});
  holder_starts_ += CountStarts(answer.commands);
  respond({200, answer.token, answer.commands});
  SendCommands();
}

void SimulatedController::AnswerAsLeader(const wire::Heartbeat& heartbeat,
                                         const SimulatedEnvironment::HeartbeatResponder& respond) {
  const scheduler::HeartbeatAnswer answer = scheduler_->OnHeartbeat(heartbeat, Now());
  if (!answer.accepted) return respond({.http_status = 503});
  heartbeats_on_promise_ += leadership_->StoreLeaseHolds(Now()) ? 0 : 1;
  respond({200, answer.token, answer.commands});
  SendCommands();
}

// ---------------------------------------------------------------------------- direct commands

void SimulatedController::SendCommands() {
  if (scheduler_ && leading()) SendCommandsOf(*scheduler_, 0);
  if (holder_ && MayHold()) SendCommandsOf(holder_->dispatcher(), holder_->lease());
}

void SimulatedController::SendCommandsOf(scheduler::Scheduler& source, uint64_t shard_lease) {
  for (const auto& batch : source.TakeCommands(Now())) {
    if (shard_lease != 0) holder_starts_ += CountStarts(batch.commands);
    SendBatch(batch, shard_lease);
  }
}

void SimulatedController::SendBatch(const scheduler::CommandBatch& batch, uint64_t shard_lease) {
  const double sent_at = environment_.clock.now();
  environment_.decisions.OnCommandsSent(sent_at, batch.machine, batch.address, batch.fencing_token,
                                        batch.agent_epoch, batch.commands);
  const OnOutcome on_outcome = MakeOutcomeHandler(batch, shard_lease);
  AfterInAnyProcess(environment_.settings.heartbeat_s, [on_outcome] {
    on_outcome(scheduler::CommandOutcome::kUndetermined, nullptr);
  });
  // The connection leads to the machine that has the address now, which may not be the machine of
  // the batch. Commands that are held on this connection must not reach a machine that takes over
  // the address later, nor a later incarnation of the machine that has the address now.
  SimulatedAgent* const agent = environment_.FindByAddress(batch.address);
  if (agent == nullptr) return;
  const auto incarnation = agent->incarnation();
  const std::function<void()> arrive = [this, agent, incarnation, batch, sent_at, on_outcome] {
    if (!agent->alive() || agent->incarnation() != incarnation) return;
    DeliverBatch(*agent, batch, sent_at, on_outcome);
  };
  environment_.network.Send(name_, agent->id(), [agent, arrive] { agent->RunUnlessHung(arrive); });
}

// Returns a handler that ignores all outcomes but the first. The handler also ignores an outcome
// that arrives after this process has ended, or after the leader's term or the shard lease has
// changed.
SimulatedController::OnOutcome SimulatedController::MakeOutcomeHandler(
    const scheduler::CommandBatch& batch, uint64_t shard_lease) {
  const auto answered = std::make_shared<bool>(false);
  return [this, process = process_, token = token(), shard_lease, answered, batch](
             scheduler::CommandOutcome outcome, const wire::Heartbeat* heartbeat) {
    if (process != process_ || std::exchange(*answered, true)) return;
    if (shard_lease != 0) {
      if (!holder_ || holder_->lease() != shard_lease) return;
      holder_->OnCommandOutcome(batch, outcome, heartbeat, Now());
    } else if (token == leadership_->token() && scheduler_) {
      scheduler_->OnCommandOutcome(batch, outcome, heartbeat, Now());
    }
  };
}

void SimulatedController::DeliverBatch(SimulatedAgent& agent, const scheduler::CommandBatch& batch,
                                       double sent_at, const OnOutcome& on_outcome) {
  const double now = environment_.clock.now();
  environment_.observed.late_commands += now - sent_at > kLateCommandS ? 1 : 0;
  const int http_status = agent.OnCommands(batch.fencing_token, batch.agent_epoch, batch.commands);
  if (http_status == 200) RepeatBatchLater(agent, batch);
  const wire::Heartbeat answer = agent.MakeHeartbeat();
  const auto outcome = http_status == 200 ? scheduler::CommandOutcome::kExecuted
                                          : scheduler::CommandOutcome::kRefused;
  double delay_s = 0;
  if (now < environment_.delayed_answers_until) {
    const double max_delay_s = kMaxAnswerDelayHeartbeats * environment_.settings.heartbeat_s;
    delay_s = environment_.random.Uniform(0, max_delay_s);
  }
  const std::function<void()> arrive = [this, &agent, answer, outcome, on_outcome] {
    const bool outdated = agent.acknowledged_sequence() > answer.sequence;
    environment_.observed.late_answers += outdated ? 1 : 0;
    RunUnlessFrozen([outcome, answer, on_outcome] { on_outcome(outcome, &answer); });
  };
  environment_.clock.After(
      delay_s, [this, &agent, arrive] { environment_.network.Send(agent.id(), name_, arrive); });
}

// The copy arrives on the connection of the original, so it can't reach a later incarnation of the
// machine.
void SimulatedController::RepeatBatchLater(SimulatedAgent& agent,
                                           const scheduler::CommandBatch& batch) {
  environment_.RepeatLater([this, &agent, incarnation = agent.incarnation(), batch] {
    if (!agent.alive() || agent.incarnation() != incarnation) return;
    environment_.observed.repeated_starts += CountStarts(batch.commands) > 0 ? 1 : 0;
    agent.RunUnlessHung([&agent, incarnation, batch] {
      if (!agent.alive() || agent.incarnation() != incarnation) return;
      agent.OnCommands(batch.fencing_token, batch.agent_epoch, batch.commands);
    });
  });
}

// ---------------------------------------------------------------------------- records

void SimulatedController::WriteCompletions() {
  for (const auto& id : scheduler_->TakeCompletedJobs()) {
    const auto records = job_index_->records().PlanEnd({id}, jobs_revision_);
    if (records.empty()) {
      scheduler_->OnCompletionFailed(id);
    } else {
      WriteCompletion(id, records);
    }
  }
}

void SimulatedController::WriteCompletion(const std::string& id,
                                          const std::vector<jobs::RecordChange>& records) {
  const uint64_t leader_token = token();
  const auto answered = std::make_shared<bool>(false);
  const auto finish = [this, id, process = process_, leader_token, answered](uint64_t revision) {
    if (*answered || process != process_ || leader_token != token() || !scheduler_) return;
    *answered = true;
    if (revision == 0) return scheduler_->OnCompletionFailed(id);
    job_index_->OnEnded(id, jobs::JobStatus::kDone);
    scheduler_->RemoveJob(id, Now());
  };
  AfterInAnyProcess(kWriteTimeoutS, [finish] { finish(0); });
  CallStoreForChange<uint64_t>(
      [this, id, records, leader_token] {
        const uint64_t revision =
            CommitEnd(id, jobs::JobStatus::kDone, records, {{kLeaderKey, leader_token}});
        if (revision != 0) environment_.rule_checker.OnCompletionConfirmed(id);
        return revision;
      },
      finish);
}

void SimulatedController::WriteRecords() {
  const auto records = scheduler_->TakeRecords(kMaxRecords, kMaxRecordBytes);
  if (records.empty()) return;
  std::vector<Condition> conditions{{kLeaderKey, token()}};
  std::vector<Change> changes;
  const auto put = [&](const std::string& prefix, const kvstore::PackedMap::PackWrite& write) {
    const std::string key = prefix + std::to_string(write.pack);
    conditions.push_back({key, write.version});
    changes.push_back({key, write.value});
  };
  for (const auto& write : records.machines) put(kMachinesPrefix, write);
  for (const auto& write : records.progress) put(kProgressPrefix, write);
  const OnRevision finish = MakeRecordsHandler();
  AfterInAnyProcess(kWriteTimeoutS, [finish] { finish(0); });
  CallStoreForChange<uint64_t>(
      [this, conditions, changes] { return environment_.store.Commit(conditions, changes); },
      finish);
}

SimulatedController::OnRevision SimulatedController::MakeRecordsHandler() {
  const auto answered = std::make_shared<bool>(false);
  return [this, process = process_, leader_token = token(), answered](uint64_t revision) {
    if (*answered || process != process_ || leader_token != token() || !scheduler_) return;
    *answered = true;
    if (revision == 0) return scheduler_->OnRecordsFailed();
    scheduler_->OnRecordsWritten(revision, Now());
  };
}

// ---------------------------------------------------------------------------- the cloud

void SimulatedController::ListMachinesLoop() {
  if (!alive_) return;
  After(derived_.machine_list_interval_s, [this] { ListMachinesLoop(); });
  if (!leading()) return;
  const uint64_t process = process_;
  environment_.network.Send(name_, kCloudHost, [this, process, token = token(), asked_at = Now()] {
    const auto listed = environment_.ListMachines();
    environment_.network.Send(kCloudHost, name_, [this, process, token, asked_at, listed] {
      if (process != process_) return;
      RunUnlessFrozen([this, token, asked_at, listed] {
        if (token != leadership_->token() || !scheduler_) return;
        scheduler_->OnMachineList(listed, asked_at, Now());
      });
    });
  });
}

void SimulatedController::Scale() {
  const autoscaler::ScalingPlan plan = scheduler_->PlanScaling(Now());
  for (const auto& request : plan.scale_out) {
    for (int i = 0; i < request.count; ++i) {
      const std::string id = environment_.RentMachine(request.type, request.zone, request.spot);
      if (id.empty()) {
        const double retry_at = Now() + environment_.settings.heartbeat_s;
        scheduler_->OnProvisioningRefused(request, retry_at);
      } else {
        scheduler_->OnProvisioned({id}, request, Now());
      }
    }
  }
  for (const auto& id : plan.scale_in) DeleteMachine(id);
}

void SimulatedController::DeleteMachine(const std::string& id) {
  scheduler_->OnMachineDeleting(id);
  environment_.network.Send(name_, kCloudHost, [this, id, process = process_] {
    environment_.DeleteMachine(id);
    environment_.RepeatLater([this, id] { environment_.DeleteMachine(id); });
    environment_.network.Send(kCloudHost, name_, [this, id, process, token = token()] {
      if (process != process_) return;
      RunUnlessFrozen([this, id, token] {
        if (token == leadership_->token() && scheduler_) scheduler_->OnMachineDeleted(id, Now());
      });
    });
  });
}

}  // namespace mosspath::simulation
