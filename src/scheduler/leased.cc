#include "mosspath/scheduler/leased.h"

#include <algorithm>

namespace mosspath::scheduler {
namespace {

constexpr size_t kMostTasksPerItem = 2000;

}  // namespace

Leased::Lease& Leased::Open(uint64_t lease, size_t block) {
  Lease& l = leases_[lease];
  l.block = block;
  return l;
}

Leased::Lease* Leased::Find(uint64_t lease) {
  const auto it = leases_.find(lease);
  return it == leases_.end() ? nullptr : &it->second;
}

const Leased::Lease* Leased::Find(uint64_t lease) const {
  const auto it = leases_.find(lease);
  return it == leases_.end() ? nullptr : &it->second;
}

uint64_t Leased::ReadyFor(size_t block) const {
  for (const auto& [lease, l] : leases_) {
    if (l.ready && l.block == block) return lease;
  }
  return 0;
}

void Leased::Give(cluster::Machine& m, const jobs::Job& job, uint32_t index) {
  Lease* l = Find(m.lease);
  if (l == nullptr) return;
  l->giving[job.spec.id].push_back(index);
  const wire::JobSpec& s = job.spec;
  promised_[m.id].push_back({l->gives + 1, s.cpus, s.gpus, s.memory_gb});
  m.used_cpus += s.cpus;
  m.used_gpus += s.gpus;
  m.used_memory_gb += s.memory_gb;
}

void Leased::GiveAhead(uint64_t lease, const jobs::Job& job, uint32_t index) {
  Lease* l = Find(lease);
  if (l == nullptr) return;
  l->giving[job.spec.id].push_back(index);
  l->ahead[l->gives + 1] += job.spec.cpus;
}

double Leased::AheadRoom(const Lease& l, double share) const {
  double waiting = l.waiting;
  for (const auto& [give, cpus] : l.ahead) waiting += give > l.applied ? cpus : 0;
  return share * l.cpus - waiting;
}

void Leased::News(cluster::Machine& m, const cluster::MachineNews& news, uint64_t applied,
                  double now) {
  m.news = news;
  m.news_at = now;
  m.used_cpus = news.cpus;
  m.used_gpus = news.gpus;
  m.used_memory_gb = news.memory_gb;
  const auto it = promised_.find(m.id);
  if (it == promised_.end()) return;
  std::erase_if(it->second, [&](const Promise& p) { return p.give <= applied; });
  for (const Promise& p : it->second) {
    m.used_cpus += p.cpus;
    m.used_gpus += p.gpus;
    m.used_memory_gb += p.memory_gb;
  }
  if (it->second.empty()) promised_.erase(it);
}

void Leased::ToHolder(uint64_t lease, wire::BlockItem item) {
  if (Lease* l = Find(lease)) l->out.push_back(std::move(item));
}

std::vector<wire::BlockItem> Leased::TakeItems(uint64_t lease) {
  if (holds()) return std::exchange(to_leader_, {});
  Lease* l = Find(lease);
  if (l == nullptr) return {};
  std::vector<wire::BlockItem> items = std::exchange(l->out, {});
  if (l->giving.empty()) return items;
  ++l->gives;
  for (auto& [job, tasks] : l->giving) {
    std::sort(tasks.begin(), tasks.end());
    for (auto& item : TaskItems(wire::BlockItem::Kind::kGive, job, tasks)) {
      item.count = l->gives;
      items.push_back(std::move(item));
    }
  }
  l->giving.clear();
  return items;
}

std::vector<wire::BlockItem> TaskItems(wire::BlockItem::Kind kind, const std::string& job,
                                       const std::vector<uint32_t>& tasks) {
  std::vector<wire::BlockItem> items;
  for (size_t i = 0; i < tasks.size(); i += kMostTasksPerItem) {
    const size_t end = std::min(tasks.size(), i + kMostTasksPerItem);
    wire::BlockItem item;
    item.kind = kind;
    item.name = job;
    item.tasks.assign(tasks.begin() + static_cast<std::ptrdiff_t>(i),
                      tasks.begin() + static_cast<std::ptrdiff_t>(end));
    items.push_back(std::move(item));
  }
  return items;
}

}  // namespace mosspath::scheduler
