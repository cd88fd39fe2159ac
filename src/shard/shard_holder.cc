#include "mosspath/shard/shard_holder.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::shard {
namespace {

using Kind = wire::ShardMessage::Kind;

constexpr double kNewsPerReport = 8;  // times in a report interval that machines are told of
constexpr double kHeartbeats = 4;     // frames in a report interval, at least
constexpr double kPatience = 2;       // report intervals that tasks wait for room here
constexpr size_t kMostOutstanding = wire::kMaxShardFrameBytes / 4;  // bytes, before machines wait
constexpr double kIdleStep = 1;    // seconds; smaller changes of times are no news
constexpr double kWorkStep = 0.2;  // of the work that is left; smaller changes are no news

bool Same(const wire::ShardMessage& a, const wire::ShardMessage& b) {
  const auto& x = *a.machine;
  const auto& y = *b.machine;
  if (x.schedulable != y.schedulable || x.idle != y.idle ||
      x.has_on_demand_work != y.has_on_demand_work || x.unresponsive != y.unresponsive ||
      x.used_cpus != y.used_cpus || x.used_gpus != y.used_gpus ||
      x.used_memory_gb != y.used_memory_gb || x.type != y.type || x.address != y.address) {
    return false;
  }
  // An idle machine's time runs on with the clock of whoever was told.
  return x.idle || std::abs(x.remaining_cpu_s - y.remaining_cpu_s) <=
                       kWorkStep * y.remaining_cpu_s + kIdleStep;
}

// As an item tells it: a leader must not take it for a later time that it was handed over.
uint64_t Told(const ShardHolder::ReturnedMachine& back) {
  return back.handover_revision << 1 | back.lost;
}

}  // namespace

ShardHolder::ShardHolder(const config::Settings& settings, const config::DerivedSettings& derived,
                         size_t own_block, uint64_t lease, double now, FindJob find_job)
    : settings_(settings),
      derived_(derived),
      lease_(lease),
      find_job_(std::move(find_job)),
      dispatcher_(settings, derived, lease, now) {
  dispatcher_.HoldShard(own_block);
}

void ShardHolder::OnMachineAssigned(const std::string& machine, const std::string& address,
                                    uint64_t version, uint64_t handed, double now) {
  // What was given back is somebody else's as soon as that is known there, whatever the record says
  // until the machine is handed over again.
  if (const auto back = returned_.find(machine); back != returned_.end()) {
    if (handed <= back->second.handover_revision) return;
    returned_.erase(back);
  }
  handover_revisions_[machine] = handed;
  dispatcher_.AcceptMachine(machine, address, version, now);
}

void ShardHolder::OnLeader(uint64_t token) {
  if (token == leader_token_) return;
  leader_token_ = token;
  channel_ = ReliableChannel();
  claims_sent_ = synced_ = false;
  reported_status_.clear();
  applied_batch_ = 0;
  leader_heard_at_ = -1e18;
  next_frame_at_ = next_status_at_ = -1e18;
}

void ShardHolder::LoadJob(const std::string& job) {
  if (dispatcher_.FindJob(job) != nullptr) return;
  if (auto known = find_job_(job)) {
    dispatcher_.LoadJob(std::move(known->spec), known->version, known->submitted_at);
  }
}

// What runs here and is not known is taken for a job's that is over.
void ShardHolder::LoadJob(const wire::Heartbeat& r) {
  for (const auto& t : r.tasks) LoadJob(t.task.job);
}

scheduler::HeartbeatAnswer ShardHolder::OnHeartbeat(const wire::Heartbeat& r, double now) {
  if (!dispatcher_.Owns(r.machine)) return {};
  LoadJob(r);
  return dispatcher_.OnHeartbeat(r, now);
}

void ShardHolder::OnCommandOutcome(const scheduler::CommandBatch& order,
                                   scheduler::CommandOutcome outcome, const wire::Heartbeat* report,
                                   double now) {
  if (report != nullptr) LoadJob(*report);
  dispatcher_.OnCommandOutcome(order, outcome, report, now);
}

bool ShardHolder::OnFrame(const wire::ShardFrame& frame, double now) {
  if (!frame.from_leader || frame.lease != lease_ || frame.leader_token != leader_token_)
    return false;
  leader_heard_at_ = now;
  for (auto& item : channel_.Receive(frame)) {
    if (item.kind == Kind::kDelegateTasks) {
      LoadJob(item.name);
      applied_batch_ = std::max(applied_batch_, item.count);
    } else if (item.kind == Kind::kHandOverTasks) {
      LoadJob(item.job);
      // Known and given back before the leader had heard that the record was written: sought for
      // ever, it kept the next leader from settling. But one that was handed over again since has
      // these tasks: taken for the first time's, they ran twice.
      const auto back = returned_.find(item.name);
      item.count = back != returned_.end() && item.count <= back->second.handover_revision ? 1 : 0;
    }
    dispatcher_.OnLeaderMessage(item, now);
  }
  return true;
}

// What was given back must be known here before the record is looked at again: taken once more
// under the token that it had, a machine was never heard, counted as lost, and its tasks ran twice.
void ShardHolder::AcceptReturnedMachines() {
  for (auto& item : dispatcher_.TakeLeaderMessages()) {
    if (item.kind == Kind::kMachineReturned) {
      const ReturnedMachine back{item.count, handover_revisions_[item.name]};
      item.count = Told(back);
      returned_[item.name] = back;
      handover_revisions_.erase(item.name);
      reported_status_.erase(item.name);
    }
    // Whatever was to be told to an earlier leader is part of what is held now.
    if (claims_sent_) channel_.Enqueue(item);
  }
}

void ShardHolder::CollectUpdates(uint64_t revision, double now) {
  AcceptReturnedMachines();
  if (!claims_sent_) {
    for (const auto& item : dispatcher_.AllClaims()) channel_.Enqueue(item);
    for (const auto& [id, back] : returned_) {
      channel_.Enqueue({.kind = Kind::kMachineReturned, .name = id, .count = Told(back)});
    }
    claims_sent_ = true;
  }
  if (!synced_ && dispatcher_.AllMachinesKnown()) {
    synced_ = true;
    channel_.Enqueue({.kind = Kind::kSyncComplete, .count = revision});
  }
  if (now < next_status_at_ || channel_.bytes() > kMostOutstanding) return;
  next_status_at_ = now + settings_.heartbeat_s / kNewsPerReport;
  channel_.Enqueue(dispatcher_.MakeLoadMessage(applied_batch_));
  for (const auto& [id, m] : dispatcher_.machines()) {
    if (m.address.empty()) continue;
    wire::ShardMessage news = dispatcher_.MakeMachineStatus(m, now);
    auto it = reported_status_.find(id);
    if (it != reported_status_.end() && Same(it->second, news)) continue;
    channel_.Enqueue(news);
    reported_status_[id] = std::move(news);
  }
  std::erase_if(reported_status_,
                [&](const auto& t) { return !dispatcher_.machines().contains(t.first); });
}

std::optional<wire::ShardFrame> ShardHolder::NextFrame(uint64_t revision, double now) {
  // A leader that the mirror has not caught up with would be told too little.
  if (leader_token_ == 0 || revision < leader_token_) return std::nullopt;
  CollectUpdates(revision, now);
  if (!channel_.has_unsent() && now < next_frame_at_) return std::nullopt;
  next_frame_at_ = now + settings_.heartbeat_s / kHeartbeats;
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
  dispatcher_.Tick(now);
  const bool hears =
      now - leader_heard_at_ < settings_.heartbeat_s / 2 + derived_.placement_interval_s;
  dispatcher_.ReturnExcess(kPatience * settings_.heartbeat_s, hears, now);
  AcceptReturnedMachines();
}

}  // namespace mosspath::shard
