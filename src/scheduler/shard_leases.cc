#include "mosspath/scheduler/shard_leases.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

constexpr size_t kMostTasksPerItem = 2000;

}  // namespace

ShardLeases::Lease& ShardLeases::Open(uint64_t lease, size_t block) {
  Lease& l = leases_[lease];
  l.shard = block;
  return l;
}

ShardLeases::Lease* ShardLeases::Find(uint64_t lease) {
  const auto it = leases_.find(lease);
  return it == leases_.end() ? nullptr : &it->second;
}

const ShardLeases::Lease* ShardLeases::Find(uint64_t lease) const {
  const auto it = leases_.find(lease);
  return it == leases_.end() ? nullptr : &it->second;
}

uint64_t ShardLeases::ReadyLeaseOf(size_t block) const {
  for (const auto& [lease, l] : leases_) {
    if (l.ready && l.shard == block) return lease;
  }
  return 0;
}

void ShardLeases::Delegate(cluster::Machine& m, const jobs::Job& job, uint32_t index) {
  Lease* l = Find(m.shard_lease);
  if (l == nullptr) return;
  l->unsent_tasks[job.spec.id].push_back(index);
  const wire::JobSpec& s = job.spec;
  unconfirmed_use_[m.id].push_back({l->batches_sent + 1, s.cpus, s.gpus, s.memory_gb});
  m.used_cpus += s.cpus;
  m.used_gpus += s.gpus;
  m.used_memory_gb += s.memory_gb;
}

void ShardLeases::DelegateAhead(uint64_t lease, const jobs::Job& job, uint32_t index) {
  Lease* l = Find(lease);
  if (l == nullptr) return;
  l->unsent_tasks[job.spec.id].push_back(index);
  l->ahead_cpus_by_batch[l->batches_sent + 1] += job.spec.cpus;
}

double ShardLeases::RoomAheadCpus(const Lease& l, double share) const {
  double waiting = l.waiting_cpus;
  for (const auto& [give, cpus] : l.ahead_cpus_by_batch)
    waiting += give > l.applied_batch ? cpus : 0;
  return share * l.cpus - waiting;
}

void ShardLeases::OnMachineStatus(cluster::Machine& m, const cluster::MachineStatusUpdate& news,
                                  uint64_t applied, double now) {
  m.holder_status = news;
  m.holder_status_at = now;
  m.used_cpus = news.used_cpus;
  m.used_gpus = news.used_gpus;
  m.used_memory_gb = news.used_memory_gb;
  const auto it = unconfirmed_use_.find(m.id);
  if (it == unconfirmed_use_.end()) return;
  std::erase_if(it->second, [&](const UnconfirmedUse& p) { return p.batch <= applied; });
  for (const UnconfirmedUse& p : it->second) {
    m.used_cpus += p.cpus;
    m.used_gpus += p.gpus;
    m.used_memory_gb += p.memory_gb;
  }
  if (it->second.empty()) unconfirmed_use_.erase(it);
}

void ShardLeases::SendToHolder(uint64_t lease, wire::ShardMessage item) {
  if (Lease* l = Find(lease)) l->outbox.push_back(std::move(item));
}

std::vector<wire::ShardMessage> ShardLeases::TakeMessages(uint64_t lease) {
  if (is_holder()) return std::exchange(to_leader_, {});
  Lease* l = Find(lease);
  if (l == nullptr) return {};
  std::vector<wire::ShardMessage> items = std::exchange(l->outbox, {});
  if (l->unsent_tasks.empty()) return items;
  ++l->batches_sent;
  for (auto& [job, tasks] : l->unsent_tasks) {
    std::sort(tasks.begin(), tasks.end());
    for (auto& item : TaskMessages(wire::ShardMessage::Kind::kDelegateTasks, job, tasks)) {
      item.count = l->batches_sent;
      items.push_back(std::move(item));
    }
  }
  l->unsent_tasks.clear();
  return items;
}

std::vector<wire::ShardMessage> TaskMessages(wire::ShardMessage::Kind kind, const std::string& job,
                                             const std::vector<uint32_t>& tasks) {
  std::vector<wire::ShardMessage> items;
  for (size_t i = 0; i < tasks.size(); i += kMostTasksPerItem) {
    const size_t end = std::min(tasks.size(), i + kMostTasksPerItem);
    wire::ShardMessage item;
    item.kind = kind;
    item.name = job;
    item.tasks.assign(tasks.begin() + static_cast<std::ptrdiff_t>(i),
                      tasks.begin() + static_cast<std::ptrdiff_t>(end));
    items.push_back(std::move(item));
  }
  return items;
}

}  // namespace mosspath::scheduler
