#include "mosspath/shard/shard_holder.h"

#include <algorithm>
#include <utility>

namespace mosspath::shard {
namespace {

using Kind = wire::ShardMessage::Kind;

constexpr double kStatusPerHeartbeat = 8;  // status updates to the leader in a heartbeat interval
constexpr double kFramesPerHeartbeat = 4;  // frames in a heartbeat interval, at least
constexpr double kWaitHeartbeats = 2;      // for which delegated tasks wait for room here
// While more than this is unacknowledged, the states of machines wait.
constexpr size_t kMaxOutstandingBytes = wire::kMaxShardFrameBytes / 4;

// The `count` of a kMachineReturned message: the leader must not take an earlier return for that of
// a later handover.
uint64_t EncodeReturn(const ShardHolder::ReturnedMachine& returned) {
  return returned.handover_revision << 1 | (returned.lost ? 1U : 0U);
}

}  // namespace

ShardHolder::ShardHolder(const config::Settings& settings, const config::DerivedSettings& derived,
                         size_t own_shard, uint64_t lease, double now, FindJob find_job)
    : settings_(settings),
      derived_(derived),
      lease_(lease),
      find_job_(std::move(find_job)),
      scheduler_(settings, derived, lease, now) {
  scheduler_.HoldShard(own_shard);
}

void ShardHolder::OnMachineAssigned(const std::string& machine, const std::string& address,
                                    uint64_t version, uint64_t handover_revision, double now) {
  // A machine that was given back belongs to the leader as soon as it knows of that, whatever the
  // record says until the machine is handed over again.
  if (const auto returned = returned_.find(machine); returned != returned_.end()) {
    if (handover_revision <= returned->second.handover_revision) return;
    returned_.erase(returned);
  }
  handover_revisions_[machine] = handover_revision;
  scheduler_.AcceptMachine(machine, address, version, now);
}

void ShardHolder::OnLeader(uint64_t token) {
  if (token == leader_token_) return;
  leader_token_ = token;
  channel_ = ReliableChannel();
  claims_sent_ = false;
  synced_ = false;
  status_filter_.Clear();
  applied_batch_ = 0;
  leader_heard_at_.reset();
  next_frame_at_.reset();
  next_status_at_.reset();
}

void ShardHolder::LoadJob(const std::string& job) {
  if (scheduler_.FindJob(job) != nullptr) return;
  if (auto live = find_job_(job)) {
    scheduler_.LoadJob(std::move(live->spec), live->version, live->submitted_at);
  }
}

// A task whose job is not found is taken for one of a job that is over.
void ShardHolder::LoadJobsOf(const wire::Heartbeat& heartbeat) {
  for (const auto& status : heartbeat.tasks) LoadJob(status.task.job);
}

scheduler::HeartbeatAnswer ShardHolder::OnHeartbeat(const wire::Heartbeat& heartbeat, double now) {
  if (!scheduler_.Owns(heartbeat.machine)) return {};
  LoadJobsOf(heartbeat);
  return scheduler_.OnHeartbeat(heartbeat, now);
}

void ShardHolder::OnCommandOutcome(const scheduler::CommandBatch& batch,
                                   scheduler::CommandOutcome outcome,
                                   const wire::Heartbeat* heartbeat, double now) {
  if (heartbeat != nullptr) LoadJobsOf(*heartbeat);
  scheduler_.OnCommandOutcome(batch, outcome, heartbeat, now);
}

bool ShardHolder::OnFrame(const wire::ShardFrame& frame, double now) {
  const bool from_present_leader = frame.from_leader && frame.leader_token == leader_token_;
  if (!from_present_leader || frame.lease != lease_) return false;
  leader_heard_at_ = now;
  for (auto& message : channel_.Receive(frame)) OnLeaderMessage(message, now);
  return true;
}

void ShardHolder::OnLeaderMessage(wire::ShardMessage& message, double now) {
  if (message.kind == Kind::kDelegateTasks) {
    LoadJob(message.name);
    applied_batch_ = std::max(applied_batch_, message.count);
  } else if (message.kind == Kind::kHandOverTasks) {
    LoadJob(message.job);
    // The machine may have been given back before the leader had read that its record was written:
    // tasks that were looked for on it then kept the next leader from settling. But a machine that
    // was handed over again since may have these tasks: taken for the first handover's, they ran
    // twice. The scheduler gets 1 for a machine that was given back, else 0.
    const auto returned = returned_.find(message.name);
    const bool is_returned =
        returned != returned_.end() && message.count <= returned->second.handover_revision;
    message.count = is_returned ? 1 : 0;
  }
  scheduler_.OnLeaderMessage(message, now);
}

// What was given back must be known here before the record is looked at again: a machine that was
// taken once more under its old token was never heard, counted as lost, and its tasks ran twice.
void ShardHolder::AcceptReturnedMachines() {
  for (auto& message : scheduler_.TakeLeaderMessages()) {
    if (message.kind == Kind::kMachineReturned) {
      const ReturnedMachine returned{.lost = message.count != 0,
                                     .handover_revision = handover_revisions_[message.name]};
      message.count = EncodeReturn(returned);
      returned_[message.name] = returned;
      handover_revisions_.erase(message.name);
      status_filter_.Forget(message.name);
    }
    // Before the claims are sent, messages are for an earlier leader: the claims replace them.
    if (claims_sent_) channel_.Enqueue(message);
  }
}

void ShardHolder::EnqueueClaims() {
  for (const auto& message : scheduler_.AllClaims()) channel_.Enqueue(message);
  for (const auto& [machine, returned] : returned_) {
    channel_.Enqueue(
        {.kind = Kind::kMachineReturned, .name = machine, .count = EncodeReturn(returned)});
  }
  claims_sent_ = true;
}

void ShardHolder::EnqueueStatus(double now) {
  channel_.Enqueue(scheduler_.MakeLoadMessage(applied_batch_));
  for (const auto& [id, machine] : scheduler_.machines()) {
    if (machine.address.empty()) continue;
    const wire::ShardMessage status = scheduler_.MakeMachineStatus(machine, now);
    if (status_filter_.ShouldSend(status)) channel_.Enqueue(status);
  }
  status_filter_.KeepOnly(
      [this](const std::string& machine) { return scheduler_.machines().contains(machine); });
}

void ShardHolder::EnqueueUpdates(uint64_t revision, double now) {
  AcceptReturnedMachines();
  if (!claims_sent_) EnqueueClaims();
  if (!synced_ && scheduler_.AllMachinesKnown()) {
    synced_ = true;
    channel_.Enqueue({.kind = Kind::kSyncComplete, .count = revision});
  }
  const bool is_due = !next_status_at_ || now >= *next_status_at_;
  if (!is_due || channel_.bytes() > kMaxOutstandingBytes) return;
  next_status_at_ = now + settings_.heartbeat_s / kStatusPerHeartbeat;
  EnqueueStatus(now);
}

std::optional<wire::ShardFrame> ShardHolder::NextFrame(uint64_t revision, double now) {
  // A leader that the watch cache has not caught up with would be sent too little.
  if (leader_token_ == 0 || revision < leader_token_) return std::nullopt;
  EnqueueUpdates(revision, now);
  const bool is_due = !next_frame_at_ || now >= *next_frame_at_;
  if (!channel_.has_unsent() && !is_due) return std::nullopt;
  next_frame_at_ = now + settings_.heartbeat_s / kFramesPerHeartbeat;
  return MakeAnswer();
}

wire::ShardFrame ShardHolder::MakeAnswer() {
  wire::ShardFrame frame;
  frame.leader_token = leader_token_;
  frame.lease = lease_;
  frame.receive_window_bytes = wire::kMaxShardFrameBytes;
  channel_.FillFrame(frame);
  channel_.OnFrameSent(frame);
  return frame;
}

void ShardHolder::Tick(double now) {
  scheduler_.Tick(now);
  const double silence_limit_s = settings_.heartbeat_s / 2 + derived_.placement_interval_s;
  const bool leader_is_up = leader_heard_at_ && now - *leader_heard_at_ < silence_limit_s;
  scheduler_.ReturnExcess(kWaitHeartbeats * settings_.heartbeat_s, leader_is_up, now);
  AcceptReturnedMachines();
}

}  // namespace mosspath::shard
