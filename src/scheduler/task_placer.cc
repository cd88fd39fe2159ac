// The passes of placing: see the header.
#include "mosspath/scheduler/task_placer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace mosspath::scheduler {

using cluster::Allocation;
using cluster::AllocationKey;
using cluster::Machine;
using jobs::Job;
using jobs::TaskPhase;

namespace {

// An attempt is the token followed by a count under that token, so none is ever used again and
// those of later leaders are higher.
constexpr int kAttemptBits = 16;
constexpr uint16_t kMaxAttempts = 0xffff;
constexpr double kCheapLoss = 0.12;  // of its run time, that a task may lose for higher work
constexpr double kAged = 0.4;        // of its aim, after which waiting low work counts as normal
constexpr double kFetchWait = 2;     // of a job's age, that a fetch may take: a young one waits for
                                     // room where its image is
constexpr double kUrgentAhead = 2;   // times as much as other work
constexpr double kLeastCpus = 0.1;   // that a task counts as
constexpr double kPatience = 3;  // how long a job's turn may wait to save a fetch, in such fetches
constexpr double kYield = 45;    // how far a job yields, in multiples of the time it takes the pool
// The users' rule: whatever waits, the largest jobs of each class too begin within this.
constexpr double kBeginWithinS = 240;
constexpr double kBeginBy = 0.5;    // of it, after which a first task goes ahead of all others
constexpr double kPreemptBy = 0.3;  // of an aim for starts, after which lower work is stopped

}  // namespace

TaskPlacer::TaskPlacer(const config::Settings& settings, cluster::ClusterState& picture,
                       const ServiceLevelObjectives& aims, const Failover& takeover,
                       DurableState& records, ShardLeases& leased, uint64_t token)
    : settings_(settings),
      cluster_(picture),
      objectives_(aims),
      failover_(takeover),
      durable_state_(records),
      shard_leases_(leased),
      token_(token),
      shard_map_(settings),
      fair_share_(settings.teams) {}

void TaskPlacer::ForgetJob(const Job& job) {
  std::erase(waiting_jobs_, &job);
  std::erase(owed_jobs_, &job);
  std::erase(overdue_jobs_, &job);
}

// Urgent work isn't marked: it would wait for the write each time, and hardly ever waits for room.
bool TaskPlacer::NeedsStartMarker(const Job& job) const {
  return job.spec.priority < wire::Priority::kHigh && job.version > markers_since_;
}

bool TaskPlacer::IsStartable(const Job& job) const {
  return failover_.recovery_complete() || job.version > token_ ||
         (NeedsStartMarker(job) && !job.inherited_start_marker);
}

bool TaskPlacer::HasDurableStartMarker(Job& job) {
  if (!markers_in_use_ || job.spec.priority >= wire::Priority::kHigh ||
      job.start_marker == Job::StartMarker::kDurable)
    return true;
  durable_state_.RequestStartMarker(job);
  return false;
}

std::vector<Job*> TaskPlacer::RankJobs(double now) {
  // Teams whose unfinished jobs all fit into their guarantee don't wait for others.
  std::map<std::string, std::pair<double, double>> whole;
  for (auto& [id, job] : cluster_.jobs) {
    const double left = job->spec.tasks - job->done;
    auto& [cpus, gpus] = whole[job->spec.team];
    cpus += left * job->spec.cpus;
    gpus += left * job->spec.gpus;
  }
  std::set<std::string> guaranteed;
  for (const auto& t : settings_.teams) {
    const auto& [cpus, gpus] = whole[t.name];
    if ((t.cpus > 0 || t.gpus > 0) && cpus <= t.cpus && gpus <= t.gpus) guaranteed.insert(t.name);
  }
  struct Ranked {
    bool first;
    int rank;
    bool hopeless;
    double turn;
    Job* job;
  };
  double pool_cpus = 0;
  for (const auto& [id, m] : cluster_.machines)
    pool_cpus += cluster_.IsSchedulable(m, now) ? m.cpus : 0;
  for (const auto& [id, m] : cluster_.delegated_machines)
    pool_cpus += cluster_.IsSchedulable(m, now) ? m.cpus : 0;
  std::vector<Ranked> ranked;
  fair_share_.BeginPass(pool_cpus);
  for (auto& [id, job] : cluster_.jobs) {
    const bool startable = !job->pending.empty() && now >= job->not_before && IsStartable(*job);
    fair_share_.AddJob(*job, startable);
    if (!startable) continue;
    const auto [hopeless, within, start, none] = objectives_.Next(*job, now);
    // The nearest aim first, but what holds up many others yields: with too much work, most jobs
    // then still keep their aims. (Aims for starts count tasks, not jobs: there is nothing to
    // gain.) Those that can't keep any come last.
    const double work = (job->spec.tasks - job->done) * job->spec.cpus * ExpectedRunS(*job);
    double turn = job->submitted_at + within;
    if (!start) {
      turn += kYield * work / std::max(1.0, pool_cpus);
    } else if (cluster_.machine_types.fastest_fetch_gb_per_s() > 0) {
      turn +=
          job->spec.image_gb /
          cluster_.machine_types.fastest_fetch_gb_per_s();  // what is fetched sooner starts sooner
    }
    // Low work that has waited for a good part of its aim takes its turn among normal work, or
    // steady normal work would starve it. It still preempts nothing.
    wire::Priority rank = job->spec.priority;
    if (rank == wire::Priority::kLow && !hopeless && !none &&
        now - job->submitted_at > kAged * within) {
      rank = wire::Priority::kNormal;
    }
    int order = static_cast<int>(rank);
    // Low work that nobody has an aim for is for idle times.
    job->best_effort = rank == wire::Priority::kLow && none;
    if (job->best_effort) order = -2;
    if (hopeless) {
      // It may take any time now, so it goes after all that can keep an aim; but long tasks that
      // begin last would hold machines, and the end of the day, for long.
      turn = -ExpectedRunS(*job);
      if (rank < wire::Priority::kHigh) order = -1;
    }
    const bool first = guaranteed.contains(job->spec.team);
    job->can_meet_objective = !hopeless && !none;
    job->virtual_deadline = turn;
    job->priority_band = (first ? 16 : 0) + 2 * order + (hopeless ? 0 : 1);
    ranked.push_back({first, order, hopeless, turn, job.get()});
  }
  fair_share_.ComputeFloors();
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    if (a.first != b.first) return a.first;
    if (a.rank != b.rank) return a.rank > b.rank;
    if (a.hopeless != b.hopeless) return b.hopeless;
    if (a.turn != b.turn) return a.turn < b.turn;
    return a.job->spec.id < b.job->spec.id;
  });
  std::vector<Job*> out;
  out.reserve(ranked.size());
  for (const Ranked& r : ranked) out.push_back(r.job);
  return out;
}

// Jobs that yield by their size, or that can keep no aim, came last for as long as others came:
// with two to four times the work that machines can do the largest of a class began after 500 s.
// One task each begins, and the order is as before for the rest. What goes to them is bounded, so
// that a flood of jobs does not take the machines from urgent work.
std::vector<Job*> TaskPlacer::RankOverdueFirstTasks(double now) {
  std::vector<Job*> out;
  double pool_cpus = 0;
  for (const auto* machines : {&cluster_.machines, &cluster_.delegated_machines}) {
    for (const auto& [id, m] : *machines) pool_cpus += cluster_.IsSchedulable(m, now) ? m.cpus : 0;
  }
  first_task_cpus_left_ = first_task_share_ * pool_cpus;
  for (const auto& [id, job] : cluster_.jobs) {
    if (now - job->first_placement_at < settings_.agent_lease_s)
      first_task_cpus_left_ -= job->spec.cpus;
  }
  for (Job* job : waiting_jobs_) {
    const bool late = now - job->submitted_at > kBeginBy * kBeginWithinS;
    if (late && !job->has_started && !job->crash_looping && job->done == 0 && job->placed() == 0) {
      out.push_back(job);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Job* a, const Job* b) { return a->submitted_at < b->submitted_at; });
  return out;
}

bool TaskPlacer::MayPlaceFirstTask(const Job& job) const {
  return job.placed() == 0 && first_task_cpus_left_ > 0;
}

void TaskPlacer::OnFirstTaskPlaced(Job& job, double now) {
  if (job.placed() == 0) return;
  job.first_placement_at = now;
  first_task_cpus_left_ -= job.placed() * job.spec.cpus;
}

std::vector<Job*> TaskPlacer::RankOwedJobs() const {
  std::vector<Job*> out;
  if (!fair_share_.has_deficit()) return out;
  for (Job* job : waiting_jobs_) {
    if (fair_share_.DeficitCpus(*job) > 0) out.push_back(job);
  }
  // What can't keep an aim any more comes to its turn too, and some jobs are finished rather than a
  // little done of all. A job that fails everywhere takes no turns while others wait.
  std::stable_sort(out.begin(), out.end(), [](const Job* a, const Job* b) {
    return a->crash_looping != b->crash_looping ? b->crash_looping
                                                : a->submitted_at < b->submitted_at;
  });
  return out;
}

size_t TaskPlacer::OwedTasks(const Job& job) const {
  const double owed = fair_share_.DeficitCpus(job);
  if (owed <= 0) return 0;
  // Whole, since less of it would only hold machines: over what is owed by a gang at most.
  if (job.spec.kind == wire::JobKind::kGang) return job.spec.tasks;
  return static_cast<size_t>(std::ceil(owed / std::max(job.spec.cpus, kLeastCpus)));
}

bool TaskPlacer::IsAllowedOn(const Job& job, const Machine& m, double now) const {
  const wire::JobSpec& spec = job.spec;
  if (m.spot && !spec.spot_allowed) return false;
  if (spec.zone && *spec.zone != m.zone) return false;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), m.type) == spec.types->end()) {
    return false;
  }
  if (job.failed_on.empty()) return true;
  const auto failed = job.failed_on.find(m.id);
  return failed == job.failed_on.end() || now - failed->second > settings_.agent_lease_s;
}

double TaskPlacer::MissingGb(const Job& job, const Machine& m) const {
  if (m.image_cache.Has(job.spec.image)) return 0;
  // A byte that is fetched at half the rate weighs double.
  return job.spec.image_gb *
         (m.fetch_gb_per_s > 0 ? cluster_.machine_types.fastest_fetch_gb_per_s() / m.fetch_gb_per_s
                               : 1);
}

size_t TaskPlacer::PlaceableTasks(const Job& job) const {
  size_t room = std::min<size_t>(cluster_.quota.Headroom(job, failover_.recovery_complete()),
                                 job.pending.size());
  if (job.crash_looping) room = std::min<size_t>(room, job.placed() == 0 ? 1 : 0);
  return room;
}

bool TaskPlacer::IsDelegable(const Job& job) const {
  const wire::JobSpec& s = job.spec;
  return s.kind == wire::JobKind::kArray && !s.single_zone && !s.spread_over_zones &&
         !job.crash_looping;
}

bool TaskPlacer::Bind(Job& job, Machine& m, double now) {
  const wire::JobSpec& spec = job.spec;
  const uint32_t index = job.pending.first();
  fair_share_.OnAllocated(job, spec.cpus);
  reservation_.OnAllocated(spec, m);
  if (m.shard_lease != 0) {
    shard_leases_.Delegate(m, job, index);
    m.image_cache.MarkUsed(spec.image, spec.image_gb, m.cache_gb);
    cluster_.Delegate(job, index, m.shard_lease);
    return true;
  }
  jobs::Task& t = job.tasks[index];
  if (t.attempts == kMaxAttempts) {
    job.not_before = 1e18;  // cannot happen within a leadership's life; never reuse an attempt
    return false;
  }
  ++t.attempts;
  Allocation slot;
  slot.placed_at = now;
  slot.expected_run_s = ExpectedRunS(job);
  slot.cpus = spec.cpus;
  slot.gpus = spec.gpus;
  slot.memory_gb = spec.memory_gb;
  slot.team = spec.team;
  slot.image = spec.image;
  m.image_cache.MarkUsed(spec.image, spec.image_gb, m.cache_gb);
  m.has_pending_commands = true;
  cluster_.Allocate(m, {{spec.id, index}, (token_ << kAttemptBits) | t.attempts}, std::move(slot));
  return true;
}

void TaskPlacer::Place(double now) {
  if (!cluster_.changed_since_pass) return;
  cluster_.changed_since_pass = false;
  waiting_jobs_.clear();
  owed_jobs_.clear();
  overdue_jobs_.clear();
  std::vector<Machine*> pool;
  for (auto& [id, m] : cluster_.machines) {
    if (!cluster_.IsSchedulable(m, now)) continue;
    // A machine must be in the durable record before anything is started on it. A new one goes to
    // its block at once.
    if (!m.in_record) {
      const uint64_t lease = shard_leases_.ReadyLeaseOf(shard_map_.ShardOf(m.id, m.zone));
      if (lease != 0 && now >= m.handover_not_before) {
        m.handover_lease = lease;
        durable_state_.AssignMachine(m, m.address, lease);
        continue;
      }
      m.in_record = true;
      durable_state_.AddMachine(id, m.address);
    }
    pool.push_back(&m);
  }
  for (auto& [id, m] : cluster_.delegated_machines) {
    if (cluster_.IsSchedulable(m, now)) pool.push_back(&m);
  }
  if (pool.empty()) return;
  reservation_.BeginPass(now, cluster_.machine_types);
  for (const Machine* m : pool) {
    if (!m->draining || m->cordoned) reservation_.AddMachine(*m);
  }
  waiting_jobs_ = RankJobs(now);
  owed_jobs_ = RankOwedJobs();
  overdue_jobs_ = RankOverdueFirstTasks(now);
  // Room only shrinks from here on: what found none leaves none for the same or more.
  std::vector<const wire::JobSpec*> full;
  const auto place = [&](Job& job, size_t most) {
    const wire::JobSpec& s = job.spec;
    const bool hopeless = std::any_of(full.begin(), full.end(), [&](const wire::JobSpec* f) {
      return f->spot_allowed == s.spot_allowed && s.cpus >= f->cpus && s.gpus >= f->gpus &&
             s.memory_gb >= f->memory_gb &&
             (f->priority >= wire::Priority::kHigh || s.priority < wire::Priority::kHigh);
    });
    if (hopeless) return false;
    ++placement_attempts_;
    if (PlaceJob(job, pool, most, now)) return true;
    const bool plain = s.kind == wire::JobKind::kArray && !s.single_zone && !s.spread_over_zones &&
                       !s.zone && !s.types && job.failed_on.empty();
    if (plain) full.push_back(&s);
    return false;
  };
  for (Job* job : overdue_jobs_) {
    if (!MayPlaceFirstTask(*job)) continue;
    place(*job, job->spec.kind == wire::JobKind::kGang ? job->spec.tasks : 1);
    OnFirstTaskPlaced(*job, now);
  }
  for (Job* job : owed_jobs_) {
    if (const size_t most = OwedTasks(*job); most > 0) place(*job, most);
  }
  bool aimed_waits = false;
  for (Job* job : waiting_jobs_) {
    // Small tasks for idle times would fill every hole before it is large enough for another's.
    if (job->best_effort && aimed_waits) continue;
    if (!place(*job, job->spec.tasks)) aimed_waits = aimed_waits || job->can_meet_objective;
  }
  if (shard_leases_.is_leader()) DelegateAhead(now);
}

void TaskPlacer::DelegateAhead(double now) {
  struct Taker {
    uint64_t lease;
    size_t block;
    double room;
    double urgent;  // room for urgent work
  };
  std::vector<Taker> takers;
  for (const auto& [lease, l] : shard_leases_.leases()) {
    if (!l.ready || l.cpus <= 0) continue;
    takers.push_back({lease, l.shard, shard_leases_.RoomAheadCpus(l, delegate_ahead_share_),
                      shard_leases_.RoomAheadCpus(l, kUrgentAhead * delegate_ahead_share_)});
  }
  if (takers.empty()) return;
  const auto any_machine = [&](const Job& job, uint64_t lease) {
    const wire::JobSpec& s = job.spec;
    return std::any_of(cluster_.delegated_machines.begin(), cluster_.delegated_machines.end(),
                       [&](const auto& it) {
                         const Machine& m = it.second;
                         return m.shard_lease == lease && cluster_.IsSchedulable(m, now) &&
                                IsAllowedOn(job, m, now) && s.cpus <= m.cpus && s.gpus <= m.gpus &&
                                s.memory_gb <= m.memory_gb;
                       });
  };
  for (Job* job : waiting_jobs_) {
    if (job->pending.empty() || !IsDelegable(*job)) continue;
    // For idle times only: there is none while work waits ahead.
    if (job->best_effort) continue;
    const bool urgent = job->spec.priority >= wire::Priority::kHigh;
    size_t left = PlaceableTasks(*job);
    if (left == 0) continue;
    const auto room = [&](const Taker& t) { return urgent ? t.urgent : t.room; };
    std::sort(takers.begin(), takers.end(),
              [&](const Taker& a, const Taker& b) { return room(a) > room(b); });
    if (room(takers.front()) <= 0) {
      if (!urgent) break;
      continue;
    }
    bool cleared = false;
    for (Taker& t : takers) {
      if (left == 0 || room(t) <= 0) break;
      if (!any_machine(*job, t.lease)) continue;
      if (!cleared && !HasDurableStartMarker(*job)) break;
      cleared = true;
      const double cpus = std::max(job->spec.cpus, kLeastCpus);
      for (; left > 0 && room(t) > 0; --left) {
        const uint32_t index = job->pending.first();
        shard_leases_.DelegateAhead(t.lease, *job, index);
        cluster_.Delegate(*job, index, t.lease);
        t.room -= cpus;
        t.urgent -= cpus;
      }
    }
  }
}

// The block with the most room for it.
size_t TaskPlacer::ChooseShard(const Job& job, const std::vector<Machine*>& pool,
                               double now) const {
  std::vector<double> room(shard_map_.size());
  for (const Machine* m : pool) {
    if (m->shard_lease != 0 && !IsDelegable(job)) continue;
    if (!m->draining && IsAllowedOn(job, *m, now)) room[m->shard] += m->cpus - m->used_cpus;
  }
  return static_cast<size_t>(std::max_element(room.begin(), room.end()) - room.begin());
}

bool TaskPlacer::PlaceJob(Job& job, const std::vector<Machine*>& pool, size_t most, double now) {
  const wire::JobSpec& spec = job.spec;
  size_t room = std::min(most, PlaceableTasks(job));
  if (room == 0) return true;
  // Machines that rest are the last resort of urgent work.
  const bool urgent = spec.priority >= wire::Priority::kHigh;
  const auto fits = [&](const Machine& m, bool draining) {
    return m.draining == draining && m.cordoned == draining &&
           m.Fits(spec.cpus, spec.gpus, spec.memory_gb);
  };
  std::string only_zone;
  if (spec.single_zone) {
    for (const auto& [zone, n] : job.placed_by_zone) {
      if (n > 0) only_zone = zone;
    }
    if (only_zone.empty()) {  // the zone with the most room
      std::map<std::string, double> free;
      for (const Machine* m : pool) {
        if (m->shard_lease != 0) continue;  // of no use to it
        if ((fits(*m, false) || (urgent && fits(*m, true))) && IsAllowedOn(job, *m, now)) {
          free[m->zone] += m->cpus - m->used_cpus;
        }
      }
      double widest = -1;
      for (const auto& [zone, cpus] : free) {
        if (cpus > widest) {
          widest = cpus;
          only_zone = zone;
        }
      }
      if (only_zone.empty()) return false;
    }
  }
  const uint32_t zone_cap = (spec.tasks + 1) / 2;
  const auto zone_full = [&](const Machine& m) {
    return spec.spread_over_zones && job.placed_by_zone[m.zone] >= zone_cap;
  };
  // In the job's block first; what finds no room there overflows to any machine. The cap and the
  // shares are the block's.
  if (!job.home_shard) job.home_shard = ChooseShard(job, pool, now);
  const bool givable = IsDelegable(job);
  struct Scope {
    bool own;
    bool draining;
  };
  for (const auto& [own, draining] :
       {Scope{true, false}, Scope{false, false}, Scope{false, true}}) {
    if (draining && !urgent) break;
    std::vector<Candidate> candidates;
    double scope_gb = 0;
    size_t scope_size = 0;
    for (size_t i = 0; i < pool.size(); ++i) {
      const Machine& m = *pool[i];
      if (m.shard_lease != 0 && !givable) continue;
      // What has room in its own block was taken before, unless it rests.
      if (!draining && own != (m.shard == *job.home_shard)) continue;
      scope_gb += m.image_cache.size_gb();
      ++scope_size;
      ++candidates_scored_;
      if (!fits(m, draining) || !IsAllowedOn(job, m, now) || !reservation_.MayTake(spec, m))
        continue;
      if (!only_zone.empty() && m.zone != only_zone) continue;
      candidates.push_back({i, MissingGb(job, m), m.image_cache.size_gb(), true});
    }
    if (spec.kind == wire::JobKind::kGang) {
      // All that are missing or none: part of a gang would only hold machines while it waits.
      size_t fit = 0;
      for (const Candidate& c : candidates) {
        const Machine& m = *pool[c.machine];
        const auto times = [](double free, double need) { return need > 0 ? free / need : 1e6; };
        fit +=
            static_cast<size_t>(std::min({times(m.cpus - m.used_cpus, spec.cpus),
                                          times(m.gpus - m.used_gpus, spec.gpus),
                                          times(m.memory_gb - m.used_memory_gb, spec.memory_gb)}) +
                                1e-6);
      }
      if (fit < job.pending.size() || room < job.pending.size()) continue;
    }
    if (spec.kind == wire::JobKind::kService) {
      if (!candidates.empty() && !HasDurableStartMarker(job)) return true;
      for (size_t i : BestDistinctMachines(candidates, room, scope_gb, scope_size, policy_)) {
        Machine& m = *pool[i];
        if (room == 0 || !fits(m, draining) || zone_full(m)) continue;
        if (!reservation_.MayTake(spec, m)) continue;
        const double held = m.image_cache.size_gb();
        if (!Bind(job, m, now)) return true;
        scope_gb += m.image_cache.size_gb() - held;
        --room;
      }
      for (Candidate& c : candidates) {
        const Machine& m = *pool[c.machine];
        c = {c.machine, MissingGb(job, m), m.image_cache.size_gb(), fits(m, draining)};
      }
    }
    const bool any = std::any_of(candidates.begin(), candidates.end(),
                                 [](const Candidate& c) { return c.has_room; });
    if (any && !HasDurableStartMarker(job)) return true;
    LocalityPicker picker(candidates, scope_gb, scope_size, policy_);
    while (room > 0) {
      const size_t best = picker.Best();
      if (best == kNoMachine) break;
      Machine& m = *pool[best];
      // A gang is whole or not at all.
      const bool kept = spec.kind != wire::JobKind::kGang && !reservation_.MayTake(spec, m);
      if (zone_full(m) || kept) {
        picker.DropBest();
        continue;
      }
      if (!Bind(job, m, now)) return true;
      --room;
      picker.OnPlaced(m.image_cache.size_gb(), fits(m, draining));
    }
    if (room == 0) return true;
  }
  return false;
}

// The waiting jobs in their order, as Place would do with no room elsewhere. Of jobs whose turns
// are close the one whose image is here goes first: Layer Locality from the machine's side, since
// with all machines full the jobs are what there is to choose from.
void TaskPlacer::Refill(Machine& m, double now) {
  if (waiting_jobs_.empty() || m.draining || !cluster_.IsSchedulable(m, now)) return;
  const auto takes = [&](Job& job) {
    const wire::JobSpec& s = job.spec;
    return !job.pending.empty() && m.Fits(s.cpus, s.gpus, s.memory_gb) &&
           reservation_.MayTake(s, m) && s.kind == wire::JobKind::kArray && !s.single_zone &&
           !s.spread_over_zones && now >= job.not_before &&
           FetchTimeS(job, m) <= kFetchWait * (now - job.submitted_at) &&
           IsAllowedOn(job, m, now) && PlaceableTasks(job) > 0 && HasDurableStartMarker(job);
  };
  for (Job* job : overdue_jobs_) {
    if (!MayPlaceFirstTask(*job) || !takes(*job)) continue;
    Bind(*job, m, now);
    OnFirstTaskPlaced(*job, now);
  }
  for (Job* job : owed_jobs_) {
    while (OwedTasks(*job) > 0 && takes(*job)) {
      if (!Bind(*job, m, now)) break;
    }
    if (m.used_cpus >= m.cpus) return;
  }
  bool aimed_waits = false;
  for (size_t i = 0; i < waiting_jobs_.size(); ++i) {
    Job* job = waiting_jobs_[i];
    if (job->best_effort && aimed_waits) break;
    aimed_waits = aimed_waits ||
                  (job->can_meet_objective && !job->pending.empty() && PlaceableTasks(*job) > 0);
    while (takes(*job)) {
      Job* chosen = job;
      double least = job->virtual_deadline + kPatience * FetchTimeS(*job, m);
      for (size_t k = i + 1; least > job->virtual_deadline && k < waiting_jobs_.size(); ++k) {
        Job* other = waiting_jobs_[k];
        if (other->priority_band != job->priority_band || other->virtual_deadline >= least) break;
        if (!takes(*other)) continue;
        const double cost = other->virtual_deadline + kPatience * FetchTimeS(*other, m);
        if (cost < least) {
          least = cost;
          chosen = other;
        }
      }
      if (!Bind(*chosen, m, now)) break;
    }
    if (m.used_cpus >= m.cpus) break;
  }
}

double TaskPlacer::FetchTimeS(const Job& job, const Machine& m) const {
  if (m.fetch_gb_per_s <= 0 || m.image_cache.Has(job.spec.image)) return 0;
  return job.spec.image_gb / m.fetch_gb_per_s;
}

void TaskPlacer::Preempt(double now) {
  struct Victim {
    double loss;
    Machine* machine;
    Allocation* slot;
    const Job* job;
  };
  std::vector<Victim> victims;
  bool gathered = false;
  double coming = 0;  // CPUs that stops under way will free
  for (auto& [id, m] : cluster_.machines) {
    if (!m.has_pending_commands) continue;
    for (auto& [key, slot] : m.allocations) {
      if (slot.stop_requested && !slot.exited()) coming += slot.cpus;
    }
  }
  for (Job* job : RankJobs(now)) {
    if (job->spec.priority < wire::Priority::kHigh) continue;
    // With all machines full, room comes free all the time; by the next reports most of this work
    // has it, and what was stopped for it would have lost its run in vain.
    // Where reports are slow, that would be too late for what should start before the next.
    const ServiceLevelObjectives::NextObjective aim = objectives_.Next(*job, now);
    const double start_s = aim.within_s - ExpectedRunS(*job);
    const bool soon = aim.for_task_start && start_s <= settings_.heartbeat_s;
    const double patience = soon ? kPreemptBy * start_s : settings_.heartbeat_s;
    if (now - job->submitted_at < patience) continue;
    double short_of = static_cast<double>(PlaceableTasks(*job)) * job->spec.cpus;
    const double covered = std::min(short_of, coming);
    coming -= covered;
    short_of -= covered;
    if (short_of <= 0) continue;
    if (!gathered) {
      gathered = true;
      for (auto& [id, m] : cluster_.machines) {
        if (!cluster_.IsSchedulable(m, now)) continue;
        for (auto& [key, slot] : m.allocations) {
          if (slot.orphaned || slot.stop_requested || slot.exited() ||
              slot.state != Allocation::State::kReported) {
            continue;
          }
          const Job* other = cluster_.FindJob(key.first.job);
          if (other == nullptr || other->spec.kind == wire::JobKind::kGang)
            continue;  // one stops all
          const bool saves = other->spec.checkpoint_interval_s > 0;
          const double ran = slot.running_since > 0 ? now - slot.running_since : 0;
          double loss = saves ? std::min(ran, other->spec.checkpoint_duration_s) : ran;
          if (saves && IsSettling(*other, ran)) loss = 2 * other->spec.checkpoint_duration_s;
          // Of losses alike, the lower work's weighs less.
          const double weight = 1 + 2 * static_cast<int>(other->spec.priority);
          victims.push_back({loss * slot.cpus * weight, &m, &slot, other});
        }
      }
      std::stable_sort(victims.begin(), victims.end(),
                       [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    }
    for (const Victim& v : victims) {
      if (short_of <= 0) break;
      if (v.slot->stop_requested || v.job->spec.priority >= job->spec.priority) continue;
      // It would only be the next to start again.
      if (!fair_share_.MayPreempt(*v.job, v.slot->cpus)) continue;
      if (!IsAllowedOn(*job, *v.machine, now)) continue;
      // What can't save loses all it has done: only worth it while that is little.
      const double ran = v.slot->running_since > 0 ? now - v.slot->running_since : 0;
      if (v.job->spec.checkpoint_interval_s <= 0 &&
          job->spec.priority != wire::Priority::kCritical &&
          ran > kCheapLoss * ExpectedRunS(*v.job)) {
        continue;
      }
      cluster::RequestStop(*v.machine, *v.slot, v.job->spec.checkpoint_duration_s);
      fair_share_.OnPreempted(*v.job, v.slot->cpus);
      short_of -= v.slot->cpus;
      spdlog::debug("place: preempting a task of {} on {} for {}", v.job->spec.id, v.machine->id,
                    job->spec.id);
    }
  }
}

}  // namespace mosspath::scheduler
