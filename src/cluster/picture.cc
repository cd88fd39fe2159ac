#include "mosspath/cluster/picture.h"

#include <algorithm>
#include <utility>

namespace mosspath::cluster {

using jobs::Job;
using jobs::Phase;

Job* Picture::Find(const std::string& id) {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

const Job* Picture::Find(const std::string& id) const {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

void Picture::Occupy(Machine& m, const SlotKey& key, Slot slot) {
  m.used_cpus += slot.cpus;
  m.used_gpus += slot.gpus;
  m.used_memory_gb += slot.memory_gb;
  teams.Add(slot.team, slot.cpus, slot.gpus);
  if (Job* job = Find(key.first.job); job != nullptr && !slot.orphan) {
    job->tasks[key.first.index].phase = Phase::kPlaced;
    job->pending.erase(key.first.index);
    ++job->placed_in[m.zone];
  }
  m.slots.emplace(key, std::move(slot));
}

void Picture::Vacate(Machine& m, Slot& slot, const wire::TaskId& task) {
  m.used_cpus -= slot.cpus;
  m.used_gpus -= slot.gpus;
  m.used_memory_gb -= slot.memory_gb;
  teams.Remove(slot.team, slot.cpus, slot.gpus);
  slot.cpus = slot.gpus = slot.memory_gb = 0;
  if (slot.orphan) return;
  if (Job* job = Find(task.job)) {
    auto& n = job->placed_in[m.zone];
    if (n > 0) --n;
    jobs::Task& t = job->tasks[task.index];
    if (t.phase == Phase::kPlaced) NowhereElse(*job, task.index);
  }
}

// A start that was meant for a machine that is gone may have been taken by another under its old
// address. Its copy was to be stopped; started anew before it had ended, the task ran twice.
void Picture::NowhereElse(Job& job, uint32_t index) {
  const wire::TaskId task{job.spec.id, index};
  const auto copy = copies_.find(task);
  if (copy != copies_.end()) {
    const auto m = machines.find(copy->second);
    copies_.erase(copy);
    if (m != machines.end()) {
      auto& slots = m->second.slots;
      for (auto it = slots.lower_bound({task, 0}); it != slots.end() && it->first.first == task;
           ++it) {
        if (!it->second.orphan || it->second.exited()) continue;
        it->second.orphan = false;
        job.tasks[index].phase = Phase::kPlaced;
        ++job.placed_in[m->second.zone];
        return;
      }
    }
  }
  if (withheld_.contains(task)) return;
  job.tasks[index].phase = Phase::kPending;
  job.pending.insert(index);
}

void Picture::Withhold(const wire::TaskId& task) {
  const Job* job = Find(task.job);
  if (job == nullptr) return;
  const Size size{job->spec.team, job->spec.cpus, job->spec.gpus};
  if (withheld_.emplace(task, size).second) teams.Add(size.team, size.cpus, size.gpus);
}

void Picture::Release(const wire::TaskId& task) {
  const auto it = withheld_.find(task);
  if (it == withheld_.end()) return;
  teams.Remove(it->second.team, it->second.cpus, it->second.gpus);
  withheld_.erase(it);
  changed = true;
  Job* job = Find(task.job);
  if (job != nullptr && job->tasks[task.index].phase == Phase::kPlaced)
    NowhereElse(*job, task.index);
}

void Picture::ForgetCopies(const std::string& job) {
  auto it = copies_.lower_bound({job, 0});
  while (it != copies_.end() && it->first.job == job) it = copies_.erase(it);
}

void Picture::Gone(Machine& m, std::map<SlotKey, Slot>::iterator it, double now) {
  if (!it->second.exited()) Vacate(m, it->second, it->first.first);
  m.slots.erase(it);
  if (m.slots.empty()) m.idle_since = now;
  changed = true;
}

void Picture::AllGone(Machine& m, double now) {
  while (!m.slots.empty()) Gone(m, m.slots.begin(), now);
}

void Picture::SendAway(Job& job, uint32_t index, uint64_t lease) {
  job.pending.erase(index);
  job.tasks[index].phase = Phase::kAway;
  away.Add({job.spec.id, index}, lease, {job.spec.team, job.spec.cpus, job.spec.gpus});
  teams.Add(job.spec.team, job.spec.cpus, job.spec.gpus);
}

bool Picture::ComeBack(const wire::TaskId& task, uint64_t lease) {
  const auto size = away.Remove(task, lease);
  if (!size) return false;
  teams.Remove(size->team, size->cpus, size->gpus);
  changed = true;
  Job* job = Find(task.job);
  if (job == nullptr || job->tasks[task.index].phase != Phase::kAway) return true;
  NowhereElse(*job, task.index);
  return true;
}

bool Picture::Usable(const Machine& m, double now) const {
  if (m.leaving != 0) return false;
  if (m.lease != 0) {
    return m.news.usable && !m.asked_back && !m.deleting && m.cpus > 0 &&
           now - m.news_at < silent_s_;
  }
  if (m.doubted_token == m.token) return false;
  // Orders don't renew its lease, so what has not found us, or reaches nobody any more although it
  // answers orders, would lose what it is given.
  if (now - std::max(m.last_answered, begun) >= lease_s_ / 2) return false;
  return m.confirmed && !m.lost && !m.deleting && !m.condemned && !m.notice_at && m.cpus > 0 &&
         now - m.last_heard < silent_s_;
}

void Stop(Machine& m, Slot& slot, double grace_s) {
  m.todo = true;
  if (slot.stop && slot.grace_s <= grace_s) return;
  slot.stop = true;
  slot.grace_s = grace_s;
  slot.stop_sent = -1e18;
}

}  // namespace mosspath::cluster
