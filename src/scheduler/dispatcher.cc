// The picture that the leader keeps: takeover, jobs, slots, machines, records and the passing of
// time.
#include "mosspath/scheduler/dispatcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mosspath::scheduler {

using jobs::Job;
using jobs::Phase;
using cluster::Machine;
using cluster::Slot;
using cluster::SlotKey;

namespace {

constexpr double kNoticeError = 2;  // a notice may be half as long as it says

}  // namespace

// ---------------------------------------------------------------------------- taking over

Dispatcher::Dispatcher(const config::Settings& settings, const config::Derived& derived,
                       uint64_t token, double now)
    : settings_(settings),
      derived_(derived),
      token_(token),
      aims_(settings),
      activity_(settings),
      picture_(settings, derived),
      takeover_(settings, derived, now),
      records_(settings, token),
      hires_(settings, derived),
      strays_(settings),
      health_(settings),
      placer_(settings_, picture_, aims_, takeover_, records_, leased_, token) {
  picture_.begun = now;
}

void Dispatcher::LoadProgress(int pack, const wire::Json& value, uint64_t version) {
  if (value.is_object()) records_.LoadProgress(pack, value, version);
}

void Dispatcher::LoadMachines(int pack, const wire::Json& value, uint64_t version) {
  if (!value.is_object()) return;
  records_.LoadMachines(pack, value, version);
  for (const auto& [id, entry] : value.items()) {
    const auto [address, lease, handed] = ReadMachineEntry(entry);
    if (const Leased::Lease* l = leased_.Find(lease)) {
      // Its holder says what is on it. Never a machine of ours as well: an entry stands in one
      // pack.
      Machine& m = picture_.lent[id];
      m.id = id;
      m.lease = lease;
      m.handed = handed;
      m.block = l->block;
      m.in_record = m.recorded = true;
      m.recorded_address = address;
      m.first_heard = m.last_heard = takeover_.begun();
      continue;
    }
    Machine& m = picture_.machines[id];
    m.in_record = m.recorded = true;
    if (m.inherited) continue;
    m.id = id;
    m.token = token_;
    m.recorded_address = address;
    takeover_.Inherit(m);
    // A holder of the past, whose lease we don't see, acts for as long as its view is fresh.
    if (lease != 0) m.last_answered += derived_.hold_s;
    m.past_lease = lease;
  }
}

void Dispatcher::SetTypes(std::vector<wire::MachineType> types) {
  picture_.types.Set(std::move(types));
  for (auto& [id, m] : picture_.machines) picture_.types.Fit(m);
  for (auto& [id, m] : picture_.lent) picture_.types.Fit(m);
  picture_.changed = true;
}

void Dispatcher::RuleOut(Machine& m) {
  const bool inherited = m.inherited;
  takeover_.RuleOut(m);
  picture_.changed = picture_.changed || inherited;
  if (const uint64_t past = std::exchange(m.past_lease, 0); past != 0 && m.in_record) {
    records_.ForgetLease(m.id, m.recorded_address);
  }
  KnownOrGone(m.id);
}

// ---------------------------------------------------------------------------- jobs

void Dispatcher::AddJob(wire::JobSpec spec, uint64_t version, double submitted) {
  auto& entry = picture_.jobs[spec.id];
  if (entry) return;
  entry = std::make_unique<Job>(std::move(spec), version, submitted);
  Job& job = *entry;
  if (const auto retries = records_.Recall(job); retries && job.done == 0) {
    job.doubted = true;
    job.retries = *retries;
    job.not_before = takeover_.begun() + settings_.lease_s;
  }
  if (job.spec.kind == wire::Kind::kArray && job.spec.rank >= wire::Rank::kHigh) {
    hires_.Urgent(submitted, job.spec.tasks * job.spec.cpus);
  }
  placer_.reserve().Came(job.spec, submitted);
  picture_.changed = wants_plan_ = true;
}

void Dispatcher::RemoveJob(const std::string& id, double now) {
  auto it = picture_.jobs.find(id);
  if (it == picture_.jobs.end()) return;
  records_.Forget(*it->second);
  placer_.Forget(*it->second);
  picture_.ForgetCopies(id);
  // What holders still have of it counts towards its team until they say that it is gone. A holder
  // goes on seeking what may be on machines that it was handed: told that such a task was back, a
  // leader that had not heard of the cancellation started it elsewhere.
  if (!leased_.holds() && picture_.teams.Unlimited(it->second->spec.team)) {
    for (const auto& task : picture_.away.Of(id)) {
      picture_.ComeBack(task, picture_.away.Under(task));
    }
  }
  if (leased_.holds()) {
    std::vector<uint32_t> held;
    for (uint32_t i = 0; i < it->second->spec.tasks; ++i) {
      const auto phase = it->second->tasks[i].phase;
      const bool sought = picture_.away.Under({id, i}) != 0;
      if (phase == Phase::kPlaced || phase == Phase::kPending || sought) held.push_back(i);
    }
    if (!held.empty()) over_[id] = std::move(held);
  }
  picture_.jobs.erase(it);
  for (auto& [mid, m] : picture_.machines) {
    auto slot = m.slots.lower_bound({{id, 0}, 0});
    while (slot != m.slots.end() && slot->first.first.job == id) {
      auto next = std::next(slot);
      slot->second.orphan = true;
      if (slot->second.state == Slot::State::kIntended) {
        picture_.Gone(m, slot, now);
      } else {
        cluster::Stop(m, slot->second, 0);
      }
      slot = next;
    }
  }
  picture_.changed = true;
}

JobCounts Dispatcher::Counts(const std::string& id) const {
  const Job* job = picture_.Find(id);
  if (job == nullptr) return {};
  return {job->done, job->placed()};
}

std::vector<std::string> Dispatcher::TakeCompleted() {
  std::vector<std::string> out;
  for (auto& [id, job] : picture_.jobs) {
    if (!job->complete() || job->finishing) continue;
    job->finishing = true;
    out.push_back(id);
  }
  return out;
}

void Dispatcher::CompletionFailed(const std::string& id) {
  if (Job* job = picture_.Find(id)) job->finishing = false;
}

// ---------------------------------------------------------------------------- machines

void Dispatcher::MachineDeleting(const std::string& id) {
  if (Machine* m = FindAny(id)) m->deleting = true;
}

void Dispatcher::DeletionFailed(const std::string& id) {
  if (Machine* m = FindAny(id)) m->deleting = false;
}

Machine* Dispatcher::FindAny(const std::string& id) {
  if (auto it = picture_.machines.find(id); it != picture_.machines.end()) return &it->second;
  if (auto it = picture_.lent.find(id); it != picture_.lent.end()) return &it->second;
  return nullptr;
}

void Dispatcher::MachineDeleted(const std::string& id, double now) {
  hires_.Deleted(id, now);
  if (auto lent = picture_.lent.find(id); lent != picture_.lent.end()) {
    wire::BlockItem item{.kind = wire::BlockItem::Kind::kDeleted, .name = id};
    leased_.ToHolder(lent->second.lease, std::move(item));
    picture_.lent.erase(lent);
    records_.DropMachine(id);
    picture_.changed = true;
    return;
  }
  auto it = picture_.machines.find(id);
  if (it == picture_.machines.end()) return KnownOrGone(id);
  RuleOut(it->second);
  EndAll(it->second, now);
  picture_.machines.erase(it);
  records_.DropMachine(id);
  picture_.changed = true;
}

// What went straight to it and was not answered may be with another machine that has its address:
// started elsewhere at once, it ran twice.
void Dispatcher::EndAll(Machine& m, double now) {
  for (const auto& [key, slot] : m.slots) {
    const auto& [task, attempt] = key;
    // A holder hears of no lists; docs/blocks.md tells what that leaves.
    if (leased_.holds() || slot.orphan || slot.state != Slot::State::kSent || !slot.direct)
      continue;
    if (picture_.Find(task.job) == nullptr || picture_.HasCopy(task)) continue;
    spdlog::debug("place: {} may be with another machine at {}", wire::TaskName(task), m.address);
    picture_.Withhold(task);
    strays_.Add(task, {m.id, m.address, slot.sent_token, slot.direct_at});
  }
  picture_.AllGone(m, now);
  LookForStrays();
}

void Dispatcher::LookForStrays() {
  if (strays_.empty()) return;
  std::set<std::string> doubted;
  for (const auto& task : strays_.RuledOut(picture_, doubted)) {
    spdlog::debug("place: {} is with no other machine", wire::TaskName(task));
    picture_.Release(task);
  }
  for (const auto& id : doubted) {
    Machine& m = picture_.machines.at(id);
    if (m.confirmed) Doubt(m);
  }
}

// ---------------------------------------------------------------------------- time

void Dispatcher::Tick(double now) {
  for (auto it = picture_.machines.begin(); it != picture_.machines.end();) {
    auto& [id, m] = *it;
    const auto next = std::next(it);
    if (!m.lost && now - std::max(m.last_answered, m.session_seen) > derived_.gone_s) {
      // Its worker's lease is over, whoever answered it last.
      spdlog::info("picture: machine {} is lost with {} tasks", id, m.slots.size());
      activity_.Trouble(
          now, "machine " + id + " was lost with " + std::to_string(m.slots.size()) + " tasks");
      m.lost = true;
      m.confirmed = false;
      m.least_session = m.session + 1;
      EndAll(m, now);
      RuleOut(m);
      if (!leased_.holds()) {
        m.in_record = m.recorded = false;
        records_.DropMachine(id);
        if (m.address.empty()) picture_.machines.erase(it);
      }
    }
    it = next;
  }
  for (auto& [id, m] : picture_.machines) {
    // Starts that were meant for a machine that can't take them any more go elsewhere.
    if (picture_.Usable(m, now)) continue;
    for (auto it = m.slots.begin(); it != m.slots.end();) {
      auto next = std::next(it);
      if (it->second.state == Slot::State::kIntended) picture_.Gone(m, it, now);
      it = next;
    }
    if (m.notice_at || m.condemned) {
      for (auto& [key, slot] : m.slots) {
        const Job* job = slot.orphan ? nullptr : picture_.Find(key.first.job);
        if (job == nullptr || slot.stop || slot.exited()) continue;
        const double ran = slot.running_since > 0 ? now - slot.running_since : 0;
        if (health_.BetterElsewhere(m, *job, ran)) cluster::Stop(m, slot, job->spec.save_s);
        if (m.notice_at && job->spec.checkpoint_s > 0) {
          if ((*m.notice_at - now) / kNoticeError < job->spec.save_s + 2 * settings_.report_s) {
            cluster::Stop(m, slot, job->spec.save_s);
          }
        }
      }
    }
  }
  LookForStrays();
  RaiseTokens();
  if (leased_.leads()) HandOverSome(now);
  picture_.changed = true;
  Place(now);
  if (tuning_.preemption) placer_.Preempt(now);
  if (leased_.leads()) AskBackSome(now);
  LogSummary(now);
}

// Why a job's waiting tasks wait, for people.
const char* Dispatcher::WhyWaiting(const Job& job, double now) const {
  if (!placer_.MayStart(job)) return "a new leader is finding out where tasks are";
  if (job.doubted)
    return "its tasks fail on every machine; tried now and then until it is cancelled";
  if (now < job.not_before) return "workers do not know it yet";
  if (picture_.teams.Room(job, settled()) == 0) return "its team is at its limit";
  if (picture_.types.empty()) return "the machine types are not known yet";
  const auto usable = [&](const auto& m) {
    return picture_.Usable(m.second, now) && placer_.Allowed(job, m.second, now);
  };
  const auto& own = picture_.machines;
  const auto& lent = picture_.lent;
  const bool any =
      std::any_of(own.begin(), own.end(), usable) || std::any_of(lent.begin(), lent.end(), usable);
  return any ? "all machines that it may use are busy" : "no machine that it may use is up";
}

wire::Digest Dispatcher::Summary(double now) const {
  wire::Digest d;
  d.token = token_;
  d.settled = settled();
  d.leading_s = now - takeover_.begun();
  struct Group {
    wire::Digest::Queue queue;
    std::map<const char*, size_t> whys;
  };
  std::map<std::string, Group> classes;
  std::map<std::string, Group> teams;
  for (const auto& [name, a] : activity_.classes()) classes[name];
  for (const auto& [name, a] : activity_.teams()) teams[name];
  for (const auto& [id, job] : picture_.jobs) {
    const char* why = job->pending.empty() ? nullptr : WhyWaiting(*job, now);
    for (Group* g : {&classes[job->spec.job_class], &teams[job->spec.team]}) {
      ++g->queue.jobs;
      g->queue.waiting += job->pending.size();
      g->queue.running += job->placed();
      if (why == nullptr) continue;
      g->queue.oldest_s = std::max(g->queue.oldest_s, now - job->submitted);
      g->whys[why] += job->pending.size();
    }
    if (job->done > 0 || job->placed() > 0) d.jobs.push_back({id, job->done, job->placed()});
  }
  const auto tell = [now](std::map<std::string, Group>& groups,
                          const std::map<std::string, Activity::Times>& activity,
                          std::vector<wire::Digest::Queue>& out) {
    for (auto& [name, g] : groups) {
      wire::Digest::Queue& q = g.queue;
      q.job_class = name;
      if (const auto a = activity.find(name); a != activity.end()) {
        q.started_ago_s = std::min(wire::kNever, now - a->second.started);
        q.finished_ago_s = std::min(wire::kNever, now - a->second.finished);
      }
      size_t most = 0;
      for (const auto& [why, n] : g.whys) {
        if (n <= most) continue;
        most = n;
        q.why = why;
      }
      out.push_back(std::move(q));
    }
  };
  tell(classes, activity_.classes(), d.queues);
  tell(teams, activity_.teams(), d.teams);
  std::map<autoscaler::Offer, wire::Digest::Machines> groups;
  const auto group = [&](const std::string& type, const std::string& zone, bool spot) -> auto& {
    auto& g = groups[{type, zone, spot}];
    g.type = type;
    g.zone = zone;
    g.spot = spot;
    return g;
  };
  std::vector<const Machine*> usable;
  for (const auto* machines : {&picture_.machines, &picture_.lent}) {
    for (const auto& [id, m] : *machines) {
      if (picture_.Usable(m, now)) usable.push_back(&m);
    }
  }
  for (const Machine* each : usable) {
    const Machine& m = *each;
    auto& g = group(m.type, m.zone, m.spot);
    ++g.up;
    g.draining += m.draining ? 1 : 0;
    g.cpus += m.cpus;
    g.used_cpus += m.used_cpus;
  }
  for (const auto& [id, b] : hires_.booting())
    ++group(b.offer.type, b.offer.zone, b.offer.spot).booting;
  for (auto& [offer, g] : groups) d.machines.push_back(std::move(g));
  activity_.Tell(now, d);
  return d;
}

void Dispatcher::Apply(const config::OperatorSettings& s) {
  placer_.Apply({s.gamma, s.epsilon}, s.give_ahead);
  placer_.turns().Apply(s.turn_share, s.weights);
  placer_.reserve().Apply(s.ordinary_boots);
  placer_.BeginShare(s.begin_share);
  tuning_.fleet.max_machines = static_cast<int>(s.max_machines);
  tuning_.fleet.horizon_boots = s.horizon_boots;
  tuning_.fleet.keep_idle_boots = s.keep_idle_boots;
  tuning_.fleet.reserve = s.reserve;
  tuning_.preemption = s.preemption;
  picture_.changed = true;
}

void Dispatcher::Finished(const std::string& id, double now) {
  if (const Job* job = picture_.Find(id)) activity_.Finished(*job, now);
}

void Dispatcher::StoodStill(double from, double now) {
  const double gap = now - from;
  takeover_.StoodStill(now);
  for (auto& [id, m] : picture_.machines) {
    // What it was heard before tells as much as then. What it was answered is a promise to it, and
    // counts as it is.
    if (from - m.last_heard < derived_.silent_s) m.last_heard += gap;
    m.asked_in_vain = 0;
    // Whatever ended meanwhile ended at a time that nobody saw, so its run time tells nothing.
    for (auto& [key, slot] : m.slots) slot.adopted = true;
  }
  picture_.changed = true;
}

// One line now and then from which a day's load can be followed.
void Dispatcher::LogSummary(double now) {
  if (!activity_.LogDue(now)) return;
  int up = 0, dear = 0, draining = 0;
  double cpus = 0, used = 0;
  for (const auto* machines : {&picture_.machines, &picture_.lent}) {
    for (const auto& [id, m] : *machines) {
      if (!picture_.Usable(m, now)) continue;
      ++up;
      dear += m.spot ? 0 : 1;
      draining += m.draining ? 1 : 0;
      cpus += m.cpus;
      used += m.used_cpus;
    }
  }
  std::map<std::string, std::pair<size_t, double>> waiting;
  for (const auto& [id, job] : picture_.jobs) {
    auto& [n, c] = waiting[job->spec.job_class];
    n += job->pending.size();
    c += static_cast<double>(job->pending.size()) * job->spec.cpus;
  }
  std::string queues;
  for (const auto& [name, w] : waiting) {
    queues += " " + name + "=" + std::to_string(w.first) + "/" +
              std::to_string(static_cast<int>(w.second));
  }
  spdlog::info("load: machines={} (ordinary {}, draining {}) booting={} cpus={}/{} waiting{}", up,
               dear, draining, hires_.booting().size(), used, cpus, queues);
}

}  // namespace mosspath::scheduler
