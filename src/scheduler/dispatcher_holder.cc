// A block that this controller holds: what it makes of what the leader tells, and what it tells
// (docs/blocks.md).
#include <algorithm>
#include <utility>

#include "mosspath/scheduler/dispatcher.h"

namespace mosspath::scheduler {

using jobs::Job;
using jobs::Phase;
using cluster::Machine;
using cluster::Slot;
using Item = wire::BlockItem;
using Kind = wire::BlockItem::Kind;

void Dispatcher::KnowJob(wire::JobSpec spec, uint64_t version, double submitted) {
  const std::string id = spec.id;
  if (picture_.jobs.contains(id)) return;
  AddJob(std::move(spec), version, submitted);
  Job& job = *picture_.Find(id);
  job.pending.clear();
  for (auto& task : job.tasks) task.phase = Phase::kAway;
}

void Dispatcher::TakeMachine(const std::string& id, const std::string& address, uint64_t token,
                             double now) {
  if (picture_.machines.contains(id) || hires_.dead(id)) return;
  Machine& m = picture_.machines[id];
  m.id = id;
  m.token = token;
  m.in_record = m.recorded = true;
  m.recorded_address = address;
  m.last_answered = now;
  takeover_.Inherit(m, /*counted=*/false);
}

bool Dispatcher::AllKnown() const {
  return search_.empty() && std::none_of(picture_.machines.begin(), picture_.machines.end(),
                                         [](const auto& m) { return m.second.inherited; });
}

void Dispatcher::FromLeader(const Item& item, double now) {
  switch (item.kind) {
    case Kind::kGive: {
      Job* job = picture_.Find(item.name);
      if (job == nullptr) {
        // Over by now, or not in our view yet: the leader may give it again.
        for (Item& back : TaskItems(Kind::kBack, item.name, item.tasks)) {
          leased_.ToLeader(std::move(back));
        }
        return;
      }
      for (const uint32_t index : item.tasks) {
        if (index >= job->spec.tasks || job->tasks[index].phase != Phase::kAway) continue;
        if (picture_.away.Under({item.name, index}) != 0) continue;
        if (Readopt(*job, index)) continue;
        job->tasks[index].phase = Phase::kPending;
        job->pending.insert(index);
      }
      job->given_at = now;
      break;
    }
    case Kind::kHanded: {
      Job* job = picture_.Find(item.job);
      if (job == nullptr) return;
      const auto m = picture_.machines.find(item.name);
      // What it has was seen already, or it is gone.
      const bool known = item.count != 0 || (m == picture_.machines.end() ? hires_.dead(item.name)
                                                                          : !m->second.inherited);
      const uint64_t key = leased_.NewSearch();
      for (const uint32_t index : item.tasks) {
        if (index >= job->spec.tasks || job->tasks[index].phase != Phase::kAway) continue;
        if (picture_.away.Under({item.job, index}) != 0 || Readopt(*job, index)) continue;
        picture_.SendAway(*job, index, key);
      }
      job->given_at = now;
      search_.Begin(key, {item.name});
      if (known) KnownOrGone(item.name);
      break;
    }
    case Kind::kKept:
      if (Job* job = picture_.Find(item.name)) {
        for (const uint32_t index : item.tasks) {
          if (index >= job->spec.tasks) continue;
          job->tasks[index].durable = true;
          job->unsaved.erase(index);
        }
      }
      return;
    case Kind::kDrop:
      for (const uint32_t index : item.tasks) StopHeld(item.name, index);
      break;
    case Kind::kAskBack:
      if (auto m = picture_.machines.find(item.name); m != picture_.machines.end()) {
        m->second.asked_back = m->second.draining = true;
        m->second.resting = false;
      }
      break;
    case Kind::kDraining:
      if (auto m = picture_.machines.find(item.name);
          m != picture_.machines.end() && !m->second.asked_back) {
        m->second.draining = item.count > 0;
        m->second.resting = item.count > 1;
      }
      break;
    case Kind::kDeleted:
      MachineDeleted(item.name, now);
      break;
    default:
      return;  // a holder's
  }
  picture_.changed = true;
}

// A copy that is being stopped may still run: the task is where it is until that has ended.
bool Dispatcher::Readopt(Job& job, uint32_t index) {
  const wire::TaskId task{job.spec.id, index};
  for (auto& [id, m] : picture_.machines) {
    for (auto it = m.slots.lower_bound({task, 0}); it != m.slots.end() && it->first.first == task;
         ++it) {
      Slot& slot = it->second;
      if (!slot.orphan || slot.exited()) continue;
      slot.orphan = false;
      job.tasks[index].phase = Phase::kPlaced;
      ++job.placed_in[m.zone];
      return true;
    }
  }
  return false;
}

// The leader has it elsewhere, or done.
void Dispatcher::StopHeld(const std::string& id, uint32_t index) {
  Job* job = picture_.Find(id);
  if (job == nullptr || index >= job->spec.tasks) return;
  const wire::TaskId task{id, index};
  for (auto& [mid, m] : picture_.machines) {
    for (auto it = m.slots.lower_bound({task, 0}); it != m.slots.end() && it->first.first == task;
         ++it) {
      Slot& slot = it->second;
      if (slot.orphan || slot.exited()) continue;
      auto& n = job->placed_in[m.zone];
      if (n > 0) --n;
      slot.orphan = true;
      cluster::Stop(m, slot, 0);
    }
  }
  job->pending.erase(index);
  if (job->tasks[index].phase != Phase::kDone) job->tasks[index].phase = Phase::kAway;
}

std::vector<Item> Dispatcher::AllHeld() const {
  std::vector<Item> items;
  const auto add = [&](Kind kind, const std::string& job, const std::vector<uint32_t>& tasks) {
    for (Item& item : TaskItems(kind, job, tasks)) items.push_back(std::move(item));
  };
  for (const auto& [id, job] : picture_.jobs) {
    std::vector<uint32_t> held;
    for (uint32_t i = 0; i < job->spec.tasks; ++i) {
      const Phase phase = job->tasks[i].phase;
      const bool sought = phase == Phase::kAway && picture_.away.Under({id, i}) != 0;
      if (phase == Phase::kPending || phase == Phase::kPlaced || sought) held.push_back(i);
    }
    add(Kind::kClaim, id, held);
    add(Kind::kDone, id, {job->unsaved.begin(), job->unsaved.end()});
  }
  for (const auto& [id, tasks] : over_) add(Kind::kClaim, id, tasks);
  return items;
}

void Dispatcher::GiveBack(double patience_s, bool leader_hears, double now) {
  // Tasks of jobs that are over, once they are off their machines.
  for (auto it = over_.begin(); it != over_.end();) {
    const auto next = std::next(it);
    std::vector<uint32_t> off;
    std::erase_if(it->second, [&](uint32_t index) {
      const wire::TaskId task{it->first, index};
      if (picture_.away.Under(task) != 0) return false;  // on a machine that isn't known yet
      for (const auto& [id, m] : picture_.machines) {
        for (auto s = m.slots.lower_bound({task, 0}); s != m.slots.end() && s->first.first == task;
             ++s) {
          if (!s->second.exited()) return false;
        }
      }
      off.push_back(index);
      return true;
    });
    for (Item& item : TaskItems(Kind::kBack, it->first, off)) leased_.ToLeader(std::move(item));
    if (it->second.empty()) over_.erase(it);
    it = next;
  }
  for (auto it = picture_.machines.begin(); it != picture_.machines.end();) {
    const auto next = std::next(it);
    const Machine& m = it->second;
    const bool empty = m.asked_back && m.slots.empty() && !m.calling && !m.inherited;
    if (m.lost || empty) {
      leased_.ToLeader(
          {.kind = Kind::kGivenBack, .name = it->first, .count = m.lost ? uint64_t{1} : 0});
      picture_.machines.erase(it);
    }
    it = next;
  }
  MoveOff(now);
  // What waits for room too long may find some elsewhere. Without a leader it stays.
  for (auto it = picture_.jobs.begin(); it != picture_.jobs.end();) {
    const auto next = std::next(it);
    Job& job = *it->second;
    if (leader_hears && !job.pending.empty() && (now - job.given_at > patience_s || job.doubted)) {
      const std::vector<uint32_t> waiting = job.pending.ToVector();
      for (Item& item : TaskItems(Kind::kBack, it->first, waiting)) {
        leased_.ToLeader(std::move(item));
      }
      job.pending.clear();
      for (const uint32_t index : waiting) job.tasks[index].phase = Phase::kAway;
    }
    const bool held = !job.pending.empty() || !job.unsaved.empty() ||
                      now - job.given_at < settings_.lease_s ||
                      std::any_of(job.tasks.begin(), job.tasks.end(),
                                  [](const auto& t) { return t.phase == Phase::kPlaced; }) ||
                      !picture_.away.Of(it->first).empty();
    if (!held) {
      placer_.Forget(job);
      picture_.jobs.erase(it);
    }
    it = next;
  }
}

Item Dispatcher::Load(uint64_t applied) const {
  Item item{.kind = Kind::kLoad, .count = applied};
  for (const auto& [id, job] : picture_.jobs) {
    item.seconds += static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  return item;
}

Item Dispatcher::News(const Machine& m, double now) const {
  Item item{.kind = Kind::kMachine, .name = m.id};
  Item::Machine told;
  told.address = m.address;
  told.type = m.type;
  told.zone = m.zone;
  told.spot = m.spot;
  told.usable = picture_.Usable(m, now) && !m.asked_back;
  told.silent = now - m.last_heard > derived_.silent_s;
  told.cpus = m.used_cpus;
  told.gpus = m.used_gpus;
  told.memory_gb = m.used_memory_gb;
  told.idle = m.confirmed;
  for (const auto& [key, slot] : m.slots) {
    const Job* job = slot.orphan ? nullptr : picture_.Find(key.first.job);
    if (!slot.exited() || job != nullptr) told.idle = false;
    if (slot.exited()) continue;
    told.needed = told.needed || (!m.spot && job != nullptr && !job->spec.spot);
    told.work_s += slot.cpus * LeftToRun(slot, now);
  }
  told.idle_s = told.idle ? now - m.idle_since : 0;
  item.machine = std::move(told);
  return item;
}

}  // namespace mosspath::scheduler
