#include "mosspath/shard/shard_holder.h"

#include <algorithm>
#include <utility>

namespace mosspath::shard {
namespace {

using Kind = wire::ShardMessage::Kind;

// Status updates to the leader per agent heartbeat interval.
constexpr double kStatusPerHeartbeat = 8;
// Minimum number of frames to the leader per agent heartbeat interval.
constexpr double kFramesPerHeartbeat = 4;
// Delegated tasks that wait for capacity are returned to the leader after this many agent heartbeat
// intervals.
constexpr double kWaitHeartbeats = 2;
// No machine states are queued while more bytes than this are unacknowledged.
constexpr size_t kMaxOutstandingBytes = wire::kMaxShardFrameBytes / 4;

// Returns the `count` of a kMachineReturned message. It contains the handover revision, so that the
// leader does not apply the return to a later handover of the machine.
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
  // A returned machine belongs to the leader as soon as the leader receives the kMachineReturned
  // message, while the machine's record still names this lease. So the record must be ignored until
  // the machine is handed over again, which raises its handover revision.
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
  last_leader_frame_at_.reset();
  next_frame_at_.reset();
  next_status_at_.reset();
}

void ShardHolder::LoadJob(const std::string& job) {
  if (scheduler_.FindJob(job) != nullptr) return;
  if (auto live = find_job_(job)) {
    scheduler_.LoadJob(std::move(live->spec), live->version, live->submitted_at);
  }
}

// Loads the jobs of the heartbeat's tasks. The scheduler treats a task whose job is not found as a
// task of an ended job.
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
  last_leader_frame_at_ = now;
  for (auto& message : channel_.Receive(frame)) OnLeaderMessage(message, now);
  return true;
}

void ShardHolder::OnLeaderMessage(wire::ShardMessage& message, double now) {
  if (message.kind == Kind::kDelegateTasks) {
    LoadJob(message.name);
    applied_batch_ = std::max(applied_batch_, message.count);
  } else if (message.kind == Kind::kHandOverTasks) {
    LoadJob(message.job);
    // The shard holder may have returned the machine before the leader received the confirmation of
    // the write of the machine's record and sent this message. If the scheduler expected the tasks
    // on a returned machine, their reconciliation would never end and would block the recovery of
    // the next leader. But a machine that has been handed over again since its return may run the
    // tasks: when the message of the new handover was treated as a message of the earlier handover,
    // the tasks ran twice.
    // For the scheduler, the `count` is set to 1 for a returned machine and to 0 otherwise.
    const auto returned = returned_.find(message.name);
    const bool is_returned =
        returned != returned_.end() && message.count <= returned->second.handover_revision;
    message.count = is_returned ? 1 : 0;
  }
  scheduler_.OnLeaderMessage(message, now);
}

// Records each machine that the scheduler returns in returned_, and queues the scheduler's messages
// for the leader. A returned machine must be in returned_ before the machine's record is read
// again. Otherwise the shard holder would accept the machine once more under the old token. The
// machine's heartbeats go to the leader, so the shard holder would report the machine as lost, and
// the machine's tasks would run twice.
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
    // While the claims have not been queued, the messages are dropped: they were made for an
    // earlier leader, and the claims contain what the present leader needs of them.
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
  // The leader's token is the revision of its election. Until the watch cache holds every change up
  // to that revision, the claims may be incomplete.
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
  const bool leader_reachable =
      last_leader_frame_at_ && now - *last_leader_frame_at_ < silence_limit_s;
  scheduler_.ReturnExcess(kWaitHeartbeats * settings_.heartbeat_s, leader_reachable, now);
  AcceptReturnedMachines();
}

}  // namespace mosspath::shard
