// The passes of placing: see the header.
#include "mosspath/scheduler/placer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace mosspath::scheduler {

using jobs::Job;
using jobs::Phase;
using cluster::Machine;
using cluster::Slot;
using cluster::SlotKey;

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

Placer::Placer(const config::Settings& settings, cluster::Picture& picture, const Aims& aims,
               const Takeover& takeover, Records& records, Leased& leased, uint64_t token)
    : settings_(settings),
      picture_(picture),
      aims_(aims),
      takeover_(takeover),
      records_(records),
      leased_(leased),
      token_(token),
      blocks_(settings),
      turns_(settings.teams) {}

void Placer::Forget(const Job& job) {
  std::erase(order_, &job);
  std::erase(turn_order_, &job);
  std::erase(begin_order_, &job);
}

// Urgent work isn't marked: it would wait for the write each time, and hardly ever waits for room.
bool Placer::IsMarked(const Job& job) const {
  return job.spec.rank < wire::Rank::kHigh && job.version > marked_since_;
}

bool Placer::MayStart(const Job& job) const {
  return takeover_.settled() || job.version > token_ || (IsMarked(job) && !job.old_mark);
}

bool Placer::Cleared(Job& job) {
  if (!marks_ || job.spec.rank >= wire::Rank::kHigh || job.mark == Job::Mark::kDurable) return true;
  records_.Mark(job);
  return false;
}

std::vector<Job*> Placer::Order(double now) {
  // Teams whose unfinished jobs all fit into their guarantee don't wait for others.
  std::map<std::string, std::pair<double, double>> whole;
  for (auto& [id, job] : picture_.jobs) {
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
  for (const auto& [id, m] : picture_.machines) pool_cpus += picture_.Usable(m, now) ? m.cpus : 0;
  for (const auto& [id, m] : picture_.lent) pool_cpus += picture_.Usable(m, now) ? m.cpus : 0;
  std::vector<Ranked> ranked;
  turns_.Begin(pool_cpus);
  for (auto& [id, job] : picture_.jobs) {
    const bool startable = !job->pending.empty() && now >= job->not_before && MayStart(*job);
    turns_.Add(*job, startable);
    if (!startable) continue;
    const auto [hopeless, within, start, none] = aims_.Next(*job, now);
    // The nearest aim first, but what holds up many others yields: with too much work, most jobs
    // then still keep their aims. (Aims for starts count tasks, not jobs: there is nothing to
    // gain.) Those that can't keep any come last.
    const double work = (job->spec.tasks - job->done) * job->spec.cpus * ExpectedRun(*job);
    double turn = job->submitted + within;
    if (!start) {
      turn += kYield * work / std::max(1.0, pool_cpus);
    } else if (picture_.types.best_fetch() > 0) {
      turn +=
          job->spec.image_gb / picture_.types.best_fetch();  // what is fetched sooner starts sooner
    }
    // Low work that has waited for a good part of its aim takes its turn among normal work, or
    // steady normal work would starve it. It still preempts nothing.
    wire::Rank rank = job->spec.rank;
    if (rank == wire::Rank::kLow && !hopeless && !none && now - job->submitted > kAged * within) {
      rank = wire::Rank::kNormal;
    }
    int order = static_cast<int>(rank);
    // Low work that nobody has an aim for is for idle times.
    job->idle_only = rank == wire::Rank::kLow && none;
    if (job->idle_only) order = -2;
    if (hopeless) {
      // It may take any time now, so it goes after all that can keep an aim; but long tasks that
      // begin last would hold machines, and the end of the day, for long.
      turn = -ExpectedRun(*job);
      if (rank < wire::Rank::kHigh) order = -1;
    }
    const bool first = guaranteed.contains(job->spec.team);
    job->keeps_aim = !hopeless && !none;
    job->turn = turn;
    job->turn_rank = (first ? 16 : 0) + 2 * order + (hopeless ? 0 : 1);
    ranked.push_back({first, order, hopeless, turn, job.get()});
  }
  turns_.Settle();
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
std::vector<Job*> Placer::BeginOrder(double now) {
  std::vector<Job*> out;
  double pool_cpus = 0;
  for (const auto* machines : {&picture_.machines, &picture_.lent}) {
    for (const auto& [id, m] : *machines) pool_cpus += picture_.Usable(m, now) ? m.cpus : 0;
  }
  begin_cpus_ = begin_share_ * pool_cpus;
  for (const auto& [id, job] : picture_.jobs) {
    if (now - job->first_at < settings_.lease_s) begin_cpus_ -= job->spec.cpus;
  }
  for (Job* job : order_) {
    const bool late = now - job->submitted > kBeginBy * kBeginWithinS;
    if (late && !job->begun && !job->doubted && job->done == 0 && job->placed() == 0) {
      out.push_back(job);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Job* a, const Job* b) { return a->submitted < b->submitted; });
  return out;
}

bool Placer::MayBegin(const Job& job) const { return job.placed() == 0 && begin_cpus_ > 0; }

void Placer::Begun(Job& job, double now) {
  if (job.placed() == 0) return;
  job.first_at = now;
  begin_cpus_ -= job.placed() * job.spec.cpus;
}

std::vector<Job*> Placer::TurnOrder() const {
  std::vector<Job*> out;
  if (!turns_.AnyOwed()) return out;
  for (Job* job : order_) {
    if (turns_.Owed(*job) > 0) out.push_back(job);
  }
  // What can't keep an aim any more comes to its turn too, and some jobs are finished rather than a
  // little done of all. A job that fails everywhere takes no turns while others wait.
  std::stable_sort(out.begin(), out.end(), [](const Job* a, const Job* b) {
    return a->doubted != b->doubted ? b->doubted : a->submitted < b->submitted;
  });
  return out;
}

size_t Placer::Turn(const Job& job) const {
  const double owed = turns_.Owed(job);
  if (owed <= 0) return 0;
  // Whole, since less of it would only hold machines: over what is owed by a gang at most.
  if (job.spec.kind == wire::Kind::kGang) return job.spec.tasks;
  return static_cast<size_t>(std::ceil(owed / std::max(job.spec.cpus, kLeastCpus)));
}

bool Placer::Allowed(const Job& job, const Machine& m, double now) const {
  const wire::JobSpec& spec = job.spec;
  if (m.spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != m.zone) return false;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), m.type) == spec.types->end()) {
    return false;
  }
  if (job.failed_on.empty()) return true;
  const auto failed = job.failed_on.find(m.id);
  return failed == job.failed_on.end() || now - failed->second > settings_.lease_s;
}

double Placer::MissingGb(const Job& job, const Machine& m) const {
  if (m.images.Has(job.spec.image)) return 0;
  // A byte that is fetched at half the rate weighs double.
  return job.spec.image_gb *
         (m.fetch_gb_per_s > 0 ? picture_.types.best_fetch() / m.fetch_gb_per_s : 1);
}

size_t Placer::MayPlace(const Job& job) const {
  size_t room = std::min<size_t>(picture_.teams.Room(job, takeover_.settled()), job.pending.size());
  if (job.doubted) room = std::min<size_t>(room, job.placed() == 0 ? 1 : 0);
  return room;
}

bool Placer::Givable(const Job& job) const {
  const wire::JobSpec& s = job.spec;
  return s.kind == wire::Kind::kArray && !s.one_zone && !s.spread && !job.doubted;
}

bool Placer::Put(Job& job, Machine& m, double now) {
  const wire::JobSpec& spec = job.spec;
  const uint32_t index = job.pending.first();
  turns_.Took(job, spec.cpus);
  reserve_.Took(spec, m);
  if (m.lease != 0) {
    leased_.Give(m, job, index);
    m.images.Use(spec.image, spec.image_gb, m.cache_gb);
    picture_.SendAway(job, index, m.lease);
    return true;
  }
  jobs::Task& t = job.tasks[index];
  if (t.attempts == kMaxAttempts) {
    job.not_before = 1e18;  // cannot happen within a leadership's life; never reuse an attempt
    return false;
  }
  ++t.attempts;
  Slot slot;
  slot.since = now;
  slot.expected_s = ExpectedRun(job);
  slot.cpus = spec.cpus;
  slot.gpus = spec.gpus;
  slot.memory_gb = spec.memory_gb;
  slot.team = spec.team;
  slot.image = spec.image;
  m.images.Use(spec.image, spec.image_gb, m.cache_gb);
  m.todo = true;
  picture_.Occupy(m, {{spec.id, index}, (token_ << kAttemptBits) | t.attempts}, std::move(slot));
  return true;
}

void Placer::Place(double now) {
  if (!picture_.changed) return;
  picture_.changed = false;
  order_.clear();
  turn_order_.clear();
  begin_order_.clear();
  std::vector<Machine*> pool;
  for (auto& [id, m] : picture_.machines) {
    if (!picture_.Usable(m, now)) continue;
    // A machine must be in the durable record before anything is started on it. A new one goes to
    // its block at once.
    if (!m.in_record) {
      const uint64_t lease = leased_.ReadyFor(blocks_.Of(m.id, m.zone));
      if (lease != 0 && now >= m.kept_until) {
        m.leaving = lease;
        records_.AssignMachine(m, m.address, lease);
        continue;
      }
      m.in_record = true;
      records_.AddMachine(id, m.address);
    }
    pool.push_back(&m);
  }
  for (auto& [id, m] : picture_.lent) {
    if (picture_.Usable(m, now)) pool.push_back(&m);
  }
  if (pool.empty()) return;
  reserve_.Begin(now, picture_.types);
  for (const Machine* m : pool) {
    if (!m->draining || m->resting) reserve_.Add(*m);
  }
  order_ = Order(now);
  turn_order_ = TurnOrder();
  begin_order_ = BeginOrder(now);
  // Room only shrinks from here on: what found none leaves none for the same or more.
  std::vector<const wire::JobSpec*> full;
  const auto place = [&](Job& job, size_t most) {
    const wire::JobSpec& s = job.spec;
    const bool hopeless = std::any_of(full.begin(), full.end(), [&](const wire::JobSpec* f) {
      return f->spot == s.spot && s.cpus >= f->cpus && s.gpus >= f->gpus &&
             s.memory_gb >= f->memory_gb &&
             (f->rank >= wire::Rank::kHigh || s.rank < wire::Rank::kHigh);
    });
    if (hopeless) return false;
    ++placements_;
    if (PlaceJob(job, pool, most, now)) return true;
    const bool plain = s.kind == wire::Kind::kArray && !s.one_zone && !s.spread && !s.zone &&
                       !s.types && job.failed_on.empty();
    if (plain) full.push_back(&s);
    return false;
  };
  for (Job* job : begin_order_) {
    if (!MayBegin(*job)) continue;
    place(*job, job->spec.kind == wire::Kind::kGang ? job->spec.tasks : 1);
    Begun(*job, now);
  }
  for (Job* job : turn_order_) {
    if (const size_t most = Turn(*job); most > 0) place(*job, most);
  }
  bool aimed_waits = false;
  for (Job* job : order_) {
    // Small tasks for idle times would fill every hole before it is large enough for another's.
    if (job->idle_only && aimed_waits) continue;
    if (!place(*job, job->spec.tasks)) aimed_waits = aimed_waits || job->keeps_aim;
  }
  if (leased_.leads()) PlaceAhead(now);
}

void Placer::PlaceAhead(double now) {
  struct Taker {
    uint64_t lease;
    size_t block;
    double room;
    double urgent;  // room for urgent work
  };
  std::vector<Taker> takers;
  for (const auto& [lease, l] : leased_.leases()) {
    if (!l.ready || l.cpus <= 0) continue;
    takers.push_back({lease, l.block, leased_.AheadRoom(l, ahead_),
                      leased_.AheadRoom(l, kUrgentAhead * ahead_)});
  }
  if (takers.empty()) return;
  const auto any_machine = [&](const Job& job, uint64_t lease) {
    const wire::JobSpec& s = job.spec;
    return std::any_of(picture_.lent.begin(), picture_.lent.end(), [&](const auto& it) {
      const Machine& m = it.second;
      return m.lease == lease && picture_.Usable(m, now) && Allowed(job, m, now) &&
             s.cpus <= m.cpus && s.gpus <= m.gpus && s.memory_gb <= m.memory_gb;
    });
  };
  for (Job* job : order_) {
    if (job->pending.empty() || !Givable(*job)) continue;
    // For idle times only: there is none while work waits ahead.
    if (job->idle_only) continue;
    const bool urgent = job->spec.rank >= wire::Rank::kHigh;
    size_t left = MayPlace(*job);
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
      if (!cleared && !Cleared(*job)) break;
      cleared = true;
      const double cpus = std::max(job->spec.cpus, kLeastCpus);
      for (; left > 0 && room(t) > 0; --left) {
        const uint32_t index = job->pending.first();
        leased_.GiveAhead(t.lease, *job, index);
        picture_.SendAway(*job, index, t.lease);
        t.room -= cpus;
        t.urgent -= cpus;
      }
    }
  }
}

// The block with the most room for it.
size_t Placer::ChooseBlock(const Job& job, const std::vector<Machine*>& pool, double now) const {
  std::vector<double> room(blocks_.size());
  for (const Machine* m : pool) {
    if (m->lease != 0 && !Givable(job)) continue;
    if (!m->draining && Allowed(job, *m, now)) room[m->block] += m->cpus - m->used_cpus;
  }
  return static_cast<size_t>(std::max_element(room.begin(), room.end()) - room.begin());
}

bool Placer::PlaceJob(Job& job, const std::vector<Machine*>& pool, size_t most, double now) {
  const wire::JobSpec& spec = job.spec;
  size_t room = std::min(most, MayPlace(job));
  if (room == 0) return true;
  // Machines that rest are the last resort of urgent work.
  const bool urgent = spec.rank >= wire::Rank::kHigh;
  const auto fits = [&](const Machine& m, bool draining) {
    return m.draining == draining && m.resting == draining &&
           m.Fits(spec.cpus, spec.gpus, spec.memory_gb);
  };
  std::string only_zone;
  if (spec.one_zone) {
    for (const auto& [zone, n] : job.placed_in) {
      if (n > 0) only_zone = zone;
    }
    if (only_zone.empty()) {  // the zone with the most room
      std::map<std::string, double> free;
      for (const Machine* m : pool) {
        if (m->lease != 0) continue;  // of no use to it
        if ((fits(*m, false) || (urgent && fits(*m, true))) && Allowed(job, *m, now)) {
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
    return spec.spread && job.placed_in[m.zone] >= zone_cap;
  };
  // In the job's block first; what finds no room there overflows to any machine. The cap and the
  // shares are the block's.
  if (!job.block) job.block = ChooseBlock(job, pool, now);
  const bool givable = Givable(job);
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
      if (m.lease != 0 && !givable) continue;
      // What has room in its own block was taken before, unless it rests.
      if (!draining && own != (m.block == *job.block)) continue;
      scope_gb += m.images.bytes_gb();
      ++scope_size;
      ++looked_at_;
      if (!fits(m, draining) || !Allowed(job, m, now) || !reserve_.MayTake(spec, m)) continue;
      if (!only_zone.empty() && m.zone != only_zone) continue;
      candidates.push_back({i, MissingGb(job, m), m.images.bytes_gb(), true});
    }
    if (spec.kind == wire::Kind::kGang) {
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
    if (spec.kind == wire::Kind::kService) {
      if (!candidates.empty() && !Cleared(job)) return true;
      for (size_t i : BestDistinct(candidates, room, scope_gb, scope_size, policy_)) {
        Machine& m = *pool[i];
        if (room == 0 || !fits(m, draining) || zone_full(m)) continue;
        if (!reserve_.MayTake(spec, m)) continue;
        const double held = m.images.bytes_gb();
        if (!Put(job, m, now)) return true;
        scope_gb += m.images.bytes_gb() - held;
        --room;
      }
      for (Candidate& c : candidates) {
        const Machine& m = *pool[c.machine];
        c = {c.machine, MissingGb(job, m), m.images.bytes_gb(), fits(m, draining)};
      }
    }
    const bool any = std::any_of(candidates.begin(), candidates.end(),
                                 [](const Candidate& c) { return c.has_room; });
    if (any && !Cleared(job)) return true;
    Picker picker(candidates, scope_gb, scope_size, policy_);
    while (room > 0) {
      const size_t best = picker.Best();
      if (best == kNone) break;
      Machine& m = *pool[best];
      // A gang is whole or not at all.
      const bool kept = spec.kind != wire::Kind::kGang && !reserve_.MayTake(spec, m);
      if (zone_full(m) || kept) {
        picker.Drop();
        continue;
      }
      if (!Put(job, m, now)) return true;
      --room;
      picker.Placed(m.images.bytes_gb(), fits(m, draining));
    }
    if (room == 0) return true;
  }
  return false;
}

// The waiting jobs in their order, as Place would do with no room elsewhere. Of jobs whose turns
// are close the one whose image is here goes first: Layer Locality from the machine's side, since
// with all machines full the jobs are what there is to choose from.
void Placer::Refill(Machine& m, double now) {
  if (order_.empty() || m.draining || !picture_.Usable(m, now)) return;
  const auto takes = [&](Job& job) {
    const wire::JobSpec& s = job.spec;
    return !job.pending.empty() && m.Fits(s.cpus, s.gpus, s.memory_gb) && reserve_.MayTake(s, m) &&
           s.kind == wire::Kind::kArray && !s.one_zone && !s.spread && now >= job.not_before &&
           FetchTime(job, m) <= kFetchWait * (now - job.submitted) && Allowed(job, m, now) &&
           MayPlace(job) > 0 && Cleared(job);
  };
  for (Job* job : begin_order_) {
    if (!MayBegin(*job) || !takes(*job)) continue;
    Put(*job, m, now);
    Begun(*job, now);
  }
  for (Job* job : turn_order_) {
    while (Turn(*job) > 0 && takes(*job)) {
      if (!Put(*job, m, now)) break;
    }
    if (m.used_cpus >= m.cpus) return;
  }
  bool aimed_waits = false;
  for (size_t i = 0; i < order_.size(); ++i) {
    Job* job = order_[i];
    if (job->idle_only && aimed_waits) break;
    aimed_waits = aimed_waits || (job->keeps_aim && !job->pending.empty() && MayPlace(*job) > 0);
    while (takes(*job)) {
      Job* chosen = job;
      double least = job->turn + kPatience * FetchTime(*job, m);
      for (size_t k = i + 1; least > job->turn && k < order_.size(); ++k) {
        Job* other = order_[k];
        if (other->turn_rank != job->turn_rank || other->turn >= least) break;
        if (!takes(*other)) continue;
        const double cost = other->turn + kPatience * FetchTime(*other, m);
        if (cost < least) {
          least = cost;
          chosen = other;
        }
      }
      if (!Put(*chosen, m, now)) break;
    }
    if (m.used_cpus >= m.cpus) break;
  }
}

double Placer::FetchTime(const Job& job, const Machine& m) const {
  if (m.fetch_gb_per_s <= 0 || m.images.Has(job.spec.image)) return 0;
  return job.spec.image_gb / m.fetch_gb_per_s;
}

void Placer::Preempt(double now) {
  struct Victim {
    double loss;
    Machine* machine;
    Slot* slot;
    const Job* job;
  };
  std::vector<Victim> victims;
  bool gathered = false;
  double coming = 0;  // CPUs that stops under way will free
  for (auto& [id, m] : picture_.machines) {
    if (!m.todo) continue;
    for (auto& [key, slot] : m.slots) {
      if (slot.stop && !slot.exited()) coming += slot.cpus;
    }
  }
  for (Job* job : Order(now)) {
    if (job->spec.rank < wire::Rank::kHigh) continue;
    // With all machines full, room comes free all the time; by the next reports most of this work
    // has it, and what was stopped for it would have lost its run in vain.
    // Where reports are slow, that would be too late for what should start before the next.
    const Aims::Aim aim = aims_.Next(*job, now);
    const double start_s = aim.within - ExpectedRun(*job);
    const bool soon = aim.start && start_s <= settings_.report_s;
    const double patience = soon ? kPreemptBy * start_s : settings_.report_s;
    if (now - job->submitted < patience) continue;
    double short_of = static_cast<double>(MayPlace(*job)) * job->spec.cpus;
    const double covered = std::min(short_of, coming);
    coming -= covered;
    short_of -= covered;
    if (short_of <= 0) continue;
    if (!gathered) {
      gathered = true;
      for (auto& [id, m] : picture_.machines) {
        if (!picture_.Usable(m, now)) continue;
        for (auto& [key, slot] : m.slots) {
          if (slot.orphan || slot.stop || slot.exited() || slot.state != Slot::State::kReported) {
            continue;
          }
          const Job* other = picture_.Find(key.first.job);
          if (other == nullptr || other->spec.kind == wire::Kind::kGang) continue;  // one stops all
          const bool saves = other->spec.checkpoint_s > 0;
          const double ran = slot.running_since > 0 ? now - slot.running_since : 0;
          double loss = saves ? std::min(ran, other->spec.save_s) : ran;
          if (saves && Settling(*other, ran)) loss = 2 * other->spec.save_s;
          // Of losses alike, the lower work's weighs less.
          const double weight = 1 + 2 * static_cast<int>(other->spec.rank);
          victims.push_back({loss * slot.cpus * weight, &m, &slot, other});
        }
      }
      std::stable_sort(victims.begin(), victims.end(),
                       [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    }
    for (const Victim& v : victims) {
      if (short_of <= 0) break;
      if (v.slot->stop || v.job->spec.rank >= job->spec.rank) continue;
      // It would only be the next to start again.
      if (!turns_.MayStop(*v.job, v.slot->cpus)) continue;
      if (!Allowed(*job, *v.machine, now)) continue;
      // What can't save loses all it has done: only worth it while that is little.
      const double ran = v.slot->running_since > 0 ? now - v.slot->running_since : 0;
      if (v.job->spec.checkpoint_s <= 0 && job->spec.rank != wire::Rank::kCritical &&
          ran > kCheapLoss * ExpectedRun(*v.job)) {
        continue;
      }
      cluster::Stop(*v.machine, *v.slot, v.job->spec.save_s);
      turns_.Stopped(*v.job, v.slot->cpus);
      short_of -= v.slot->cpus;
      spdlog::debug("place: preempting a task of {} on {} for {}", v.job->spec.id, v.machine->id,
                    job->spec.id);
    }
  }
}

}  // namespace mosspath::scheduler
