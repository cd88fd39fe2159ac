#include "mosspath/scheduler/shard_leases.h"

#include <algorithm>
#include <utility>

namespace mosspath::scheduler {

using cluster::Machine;
using wire::ShardMessage;

namespace {

constexpr size_t kMaxTasksPerMessage = 2000;

}  // namespace

ShardLeases::Lease& ShardLeases::Open(uint64_t lease, size_t shard) {
  Lease& opened = leases_[lease];
  opened.shard = shard;
  return opened;
}

ShardLeases::Lease* ShardLeases::Find(uint64_t lease) {
  const auto it = leases_.find(lease);
  return it == leases_.end() ? nullptr : &it->second;
}

const ShardLeases::Lease* ShardLeases::Find(uint64_t lease) const {
  const auto it = leases_.find(lease);
  return it == leases_.end() ? nullptr : &it->second;
}

uint64_t ShardLeases::ReadyLeaseOf(size_t shard) const {
  for (const auto& [id, lease] : leases_) {
    if (lease.ready && lease.shard == shard) return id;
  }
  return kNoLease;
}

void ShardLeases::Delegate(Machine& machine, const jobs::Job& job, uint32_t index) {
  Lease* lease = Find(machine.shard_lease);
  if (lease == nullptr) return;
  lease->unsent_tasks[job.spec.id].push_back(index);
  const wire::JobSpec& spec = job.spec;
  unconfirmed_use_[machine.id].push_back(
      {lease->batches_sent + 1, spec.cpus, spec.gpus, spec.memory_gb});
  machine.used_cpus += spec.cpus;
  machine.used_gpus += spec.gpus;
  machine.used_memory_gb += spec.memory_gb;
}

void ShardLeases::DelegateAhead(uint64_t lease, const jobs::Job& job, uint32_t index) {
  Lease* found = Find(lease);
  if (found == nullptr) return;
  found->unsent_tasks[job.spec.id].push_back(index);
  found->ahead_cpus_by_batch[found->batches_sent + 1] += job.spec.cpus;
}

double ShardLeases::RoomAheadCpus(const Lease& lease, double share) const {
  double waiting_cpus = lease.waiting_cpus;
  for (const auto& [batch, cpus] : lease.ahead_cpus_by_batch) {
    waiting_cpus += batch > lease.applied_batch ? cpus : 0;
  }
  return share * lease.cpus - waiting_cpus;
}

void ShardLeases::OnMachineStatus(Machine& machine, const cluster::MachineStatusUpdate& update,
                                  uint64_t applied_batch, double now) {
  machine.holder_status = update;
  machine.holder_status_at = now;
  machine.used_cpus = update.used_cpus;
  machine.used_gpus = update.used_gpus;
  machine.used_memory_gb = update.used_memory_gb;
  const auto it = unconfirmed_use_.find(machine.id);
  if (it == unconfirmed_use_.end()) return;
  std::erase_if(it->second, [&](const UnconfirmedUse& use) { return use.batch <= applied_batch; });
  for (const UnconfirmedUse& use : it->second) {
    machine.used_cpus += use.cpus;
    machine.used_gpus += use.gpus;
    machine.used_memory_gb += use.memory_gb;
  }
  if (it->second.empty()) unconfirmed_use_.erase(it);
}

void ShardLeases::SendToHolder(uint64_t lease, ShardMessage message) {
  if (Lease* found = Find(lease)) found->outbox.push_back(std::move(message));
}

std::vector<ShardMessage> ShardLeases::TakeMessages(uint64_t lease) {
  if (is_holder()) return std::exchange(to_leader_, {});
  Lease* found = Find(lease);
  if (found == nullptr) return {};
  std::vector<ShardMessage> messages = std::exchange(found->outbox, {});
  if (found->unsent_tasks.empty()) return messages;
  ++found->batches_sent;
  for (auto& [job, tasks] : found->unsent_tasks) {
    std::sort(tasks.begin(), tasks.end());
    for (ShardMessage& message : TaskMessages(ShardMessage::Kind::kDelegateTasks, job, tasks)) {
      message.count = found->batches_sent;
      messages.push_back(std::move(message));
    }
  }
  found->unsent_tasks.clear();
  return messages;
}

std::vector<ShardMessage> TaskMessages(ShardMessage::Kind kind, const std::string& job,
                                       const std::vector<uint32_t>& tasks) {
  std::vector<ShardMessage> messages;
  for (size_t begin = 0; begin < tasks.size(); begin += kMaxTasksPerMessage) {
    const size_t end = std::min(tasks.size(), begin + kMaxTasksPerMessage);
    ShardMessage message;
    message.kind = kind;
    message.name = job;
    message.tasks.assign(tasks.begin() + static_cast<std::ptrdiff_t>(begin),
                         tasks.begin() + static_cast<std::ptrdiff_t>(end));
    messages.push_back(std::move(message));
  }
  return messages;
}

}  // namespace mosspath::scheduler
