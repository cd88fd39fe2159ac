// Demand and picture for the fleet planner, and what is done with its plan.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "mosspath/scheduler/dispatcher.h"

namespace mosspath::scheduler {

using jobs::Job;
using jobs::Phase;
using cluster::Machine;
using cluster::Slot;
using cluster::SlotKey;

namespace {

constexpr double kLeastLeft = 0.25;  // of its expected time, that a task is taken to run yet

}  // namespace

double LeftToRun(const Slot& slot, double now) {
  const double ran = slot.running_since > 0 ? now - slot.running_since : 0;
  return std::max(slot.expected_s - ran, kLeastLeft * slot.expected_s);
}

// Frees draining machines sooner: tasks that can save go on elsewhere when there is room for all
// that the machine runs, and when they have longer to run than the move costs.
void Dispatcher::MoveOff(double now) {
  double room = 0;
  for (const auto& [id, m] : picture_.machines) {
    if (picture_.Usable(m, now) && !m.draining) room += m.cpus - m.used_cpus;
  }
  for (const auto& [id, job] : picture_.jobs) {
    if (now >= job->not_before) room -= static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  for (auto& [id, m] : picture_.machines) {
    if (!m.draining || !m.confirmed || m.used_cpus > room) continue;
    bool worth = false;
    const bool movable = std::all_of(m.slots.begin(), m.slots.end(), [&](const auto& s) {
      const auto& [key, slot] = s;
      if (slot.exited()) return true;
      const Job* job = slot.orphan ? nullptr : picture_.Find(key.first.job);
      if (job == nullptr || slot.stop || slot.reported != wire::TaskState::kRunning) return false;
      // Once only: what must be emptied changes all the time, and every move costs its task.
      if (job->tasks[key.first.index].moved) return false;
      if (job->spec.checkpoint_s <= 0 || job->spec.kind == wire::Kind::kGang) return false;
      const double ran = now - slot.running_since;
      if (Settling(*job, ran)) return false;
      const double left = ExpectedRun(*job) - ran;
      worth = worth || left > 2 * (job->spec.save_s + settings_.report_s);
      return true;
    });
    if (!movable || !worth) continue;
    for (auto& [key, slot] : m.slots) {
      if (slot.exited()) continue;
      Job* job = picture_.Find(key.first.job);
      job->tasks[key.first.index].moved = true;
      cluster::Stop(m, slot, job->spec.save_s);
    }
    room -= m.used_cpus;
    spdlog::debug("fleet: moving the tasks of {} elsewhere", id);
  }
}

autoscaler::Plan Dispatcher::PlanFleet(double now) {
  autoscaler::PlannerInput in;
  in.now = now;
  for (const auto& [name, t] : picture_.types.all()) in.types.push_back(t);
  in.closed_until = hires_.closed_until();
  for (auto& [id, job] : picture_.jobs) {
    const wire::JobSpec& s = job->spec;
    const double expected = ExpectedRun(*job);
    if (job->pending.empty() || now < job->not_before) continue;
    // What fails everywhere is no reason to rent, but must be tried.
    if (job->doubted && !picture_.machines.empty()) continue;
    autoscaler::Demand d;
    d.spot_ok = s.spot;
    if (s.types) d.types = *s.types;
    if (s.zone) d.zone = *s.zone;
    d.cpus = s.cpus;
    d.gpus = s.gpus;
    d.memory_gb = s.memory_gb;
    d.urgent = s.rank >= wire::Rank::kHigh || s.kind == wire::Kind::kGang;
    // Tasks that must be together or apart want room in certain zones.
    if (s.one_zone) {
      for (const auto& [zone, n] : job->placed_in) {
        if (n > 0) d.zone = zone;
      }
    }
    auto left = job->doubted ? 1 : static_cast<uint32_t>(job->pending.size());
    const auto ask = [&](uint32_t tasks) {
      d.waiting = tasks;
      d.waiting_s = tasks * expected;
      in.demand.push_back(d);
      left -= tasks;
    };
    if (s.spread && !s.zone) {
      const uint32_t cap = (s.tasks + 1) / 2;
      for (const auto& zone : settings_.zones) {
        const auto in_zone = job->placed_in.find(zone);
        const uint32_t there = in_zone == job->placed_in.end() ? 0 : in_zone->second;
        d.zone = zone;
        ask(std::min(left, cap - std::min(cap, there)));
      }
    } else {
      ask(left);
    }
  }
  // What comes next of work that no cheap machine may take: as much as came in a boot time.
  const Reserve::Size kept = placer_.reserve().Kept(now, picture_.types);
  in.ordinary_cpus = kept.cpus;
  if (kept.cpus > 0) {
    autoscaler::Demand d;
    d.spot_ok = false;
    d.cpus = 1;
    d.memory_gb = kept.memory_gb / kept.cpus;
    d.waiting = kept.cpus;
    d.urgent = true;
    in.demand.push_back(std::move(d));
  }
  std::set<std::string> doomed;
  const std::vector<std::string> late = takeover_.Stragglers(picture_.machines, search_, now);
  for (auto& [id, m] : picture_.machines) {
    if (m.deleting) continue;
    if (m.address.empty()) {  // inherited and not heard of since
      if (now - m.last_answered > derived_.silent_s) doomed.insert(id);
      continue;
    }
    autoscaler::Unit u;
    u.id = id;
    u.type = m.type;
    u.zone = m.zone;
    u.spot = m.spot;
    u.up = true;
    u.usable = picture_.Usable(m, now);
    u.used_cpus = m.used_cpus;
    for (const auto& [key, slot] : m.slots) {
      if (slot.exited()) continue;
      u.work_s += slot.cpus * LeftToRun(slot, now);
    }
    u.idle = std::all_of(m.slots.begin(), m.slots.end(),
                         [&](const auto& s) {
                           return s.second.exited() &&
                                  (s.second.orphan || picture_.Find(s.first.first.job) == nullptr);
                         }) &&
             m.confirmed;
    // On its way to a holder it takes nothing for a moment, which is no reason to return it.
    u.idle = u.idle && m.leaving == 0;
    u.idle_s = u.idle ? now - m.idle_since : 0;
    u.draining = m.draining;
    // Asked of ordinary machines only, and there are thousands of cheap ones.
    u.needed = !m.spot && std::any_of(m.slots.begin(), m.slots.end(), [&](const auto& s) {
      const Job* job = s.second.orphan ? nullptr : picture_.Find(s.first.first.job);
      return job != nullptr && !job->spec.spot;
    });
    const bool silent = now - m.last_heard > derived_.silent_s &&
                        (m.told_at <= 0 || m.DeafFor(now) > derived_.silent_s);
    if (m.lost || (silent && !u.usable)) {
      // Not to be counted on; deleting it rules its tasks out at once.
      u.usable = u.idle = false;
      doomed.insert(id);
    }
    in.units.push_back(std::move(u));
  }
  for (auto& [id, m] : picture_.lent) {
    if (m.deleting || m.type.empty()) continue;
    autoscaler::Unit u;
    u.id = id;
    u.type = m.type;
    u.zone = m.zone;
    u.spot = m.spot;
    u.up = true;
    u.usable = picture_.Usable(m, now);
    u.used_cpus = m.used_cpus;
    u.work_s = m.news.work_s;
    // What was given and is not in its holder's word yet may be on its way there.
    // One that was asked back comes for work that waits: it was returned as soon as it was idle.
    u.idle = m.news.idle && !m.asked_back && m.used_cpus <= m.news.cpus &&
             leased_.ReadyFor(m.block) == m.lease;
    u.idle_s = u.idle ? m.news.idle_s + (now - m.news_at) : 0;
    u.draining = m.draining;
    u.needed = m.news.needed;
    if (m.news.silent && !u.usable) {
      u.usable = u.idle = false;
      if (m.unlisted || m.failed) doomed.insert(id);
    }
    in.units.push_back(std::move(u));
  }
  std::vector<std::string> hopeless;
  hires_.Plan(now, picture_.types, in.units, hopeless);
  in.burst_cpus = hires_.Burst(now, picture_.types);
  autoscaler::Plan plan = MakePlan(in, tuning_.fleet);
  wants_plan_ = false;
  std::map<std::string, uint64_t> before;  // as their holders know
  for (auto& [id, m] : picture_.lent) before[id] = (m.draining ? 1U : 0U) + (m.resting ? 1U : 0U);
  for (auto* machines : {&picture_.machines, &picture_.lent}) {
    for (auto& [id, m] : *machines) m.draining = m.resting = false;
  }
  for (const auto& id : plan.drain) FindAny(id)->draining = true;
  for (const auto& id : plan.rest) {
    Machine* m = FindAny(id);
    m->draining = m->resting = true;
  }
  for (const auto& id : plan.give_back) {
    if (Machine* m = FindAny(id); m != nullptr && m->lease != 0) m->draining = true;
  }
  for (auto& [id, m] : picture_.lent) {
    const uint64_t wish = (m.draining ? 1U : 0U) + (m.resting ? 1U : 0U);
    if (wish == before[id]) continue;
    leased_.ToHolder(m.lease,
                     {.kind = wire::BlockItem::Kind::kDraining, .name = id, .count = wish});
  }
  MoveOff(now);
  // A machine that the cloud no longer runs is deleted at once, which rules its tasks out. One
  // that is silent but may be running is only worth deleting while few are: when many are silent,
  // the network or our own takeover is the likelier cause, and their work would be thrown away.
  size_t known = 0;
  for (auto& [id, m] : picture_.machines) known += m.deleting ? 0 : 1;
  const bool few = doomed.size() <= std::max<size_t>(1, known / 10) &&
                   now - takeover_.begun() > settings_.lease_s &&
                   now - takeover_.listening_since() > derived_.silent_s;
  for (const auto& id : doomed) {
    const Machine& m = *FindAny(id);
    const double silence =
        m.told_at > 0 ? m.DeafFor(now) : now - std::max(m.last_heard, m.last_answered);
    if (m.unlisted || m.failed || few || silence > 4 * settings_.lease_s) {
      plan.give_back.push_back(id);
    }
  }
  for (const auto& id : late) {
    if (std::find(plan.give_back.begin(), plan.give_back.end(), id) == plan.give_back.end()) {
      spdlog::info("takeover: deleting {}, which has not been heard of", id);
      plan.give_back.push_back(id);
    }
  }
  plan.give_back.insert(plan.give_back.end(), hopeless.begin(), hopeless.end());
  return plan;
}

}  // namespace mosspath::scheduler
