// Blocks that other controllers hold: what the leader and a holder make of what the other tells
// (docs/blocks.md).
#include <spdlog/spdlog.h>

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

namespace {

constexpr size_t kLeastHanded = 8;        // machines at a time
constexpr double kMostHanded = 0.125;     // or this share
constexpr double kMostAskedBack = 0.125;  // of the machines that holders have

}  // namespace

bool Dispatcher::Seeks(const wire::TaskId& task) const {
  const uint64_t key = picture_.away.Under(task);
  return key != 0 && search_.Seeks(key);
}

// The machine is known, or has nothing: what was sought on it and the others, and is on none of
// them, waits again.
void Dispatcher::KnownOrGone(const std::string& machine) {
  if (search_.empty()) return;
  for (const uint64_t key : search_.Known(machine)) {
    const auto nowhere = picture_.away.All(key);
    for (const auto& task : nowhere) picture_.ComeBack(task, key);
    if (leased_.leads()) {
      spdlog::info("blocks: all machines of lease {} are known, {} of its tasks wait again", key,
                   nowhere.size());
    }
  }
}

// ---------------------------------------------------------------------------- the leader

void Dispatcher::OpenLease(uint64_t lease, size_t block, bool inherited) {
  leased_.Open(lease, block);
  // Until its holder has told what it has, nobody knows what else may be started.
  if (inherited) takeover_.Await(lease);
}

void Dispatcher::LeaseReady(uint64_t lease, bool ready) {
  Leased::Lease* l = leased_.Find(lease);
  if (l == nullptr || l->ready == ready) return;
  l->ready = ready;
  picture_.changed = true;
}

uint64_t Dispatcher::LeaseOf(const std::string& machine) const {
  const auto it = picture_.lent.find(machine);
  return it == picture_.lent.end() ? 0 : it->second.lease;
}

// A machine that comes back to the leader. Its holder's token is as high as the version of the
// record that assigned it, so nothing is said to it before a later write of that record.
//
// Until it is known, its entry goes on naming the lease that is over: a leader that begins
// meanwhile must know that a holder of the past may still be answering it. Counted from the
// election alone, such a machine was taken for lost while its holder, cut off with it, kept it
// alive: a task ran twice.
Machine& Dispatcher::TakeIn(const Machine& lent, uint64_t past_lease, double last_acted) {
  const std::string address = lent.recorded_address;
  Machine m;
  m.id = lent.id;
  m.recorded_address = address;
  m.token = token_;
  m.retoken = true;
  m.last_answered = last_acted;
  m.first_heard = lent.first_heard;
  m.failed = lent.failed;
  m.unlisted = lent.unlisted;
  m.deleting = lent.deleting;
  m.kept_until = lent.kept_until;
  m.images = lent.images;
  picture_.lent.erase(m.id);
  Machine& ours = picture_.machines[m.id] = std::move(m);
  ours.past_lease = past_lease;
  records_.AssignMachine(ours, address, past_lease);
  return ours;
}

void Dispatcher::CloseLease(uint64_t lease, double last_acted, double now) {
  Leased::Lease* l = leased_.Find(lease);
  if (l == nullptr) return;
  for (const auto& [job, tasks] : l->giving) {  // never sent
    for (const uint32_t index : tasks) picture_.ComeBack({job, index}, lease);
  }
  const bool awaited = takeover_.Awaits(lease);
  std::vector<std::string> ids;
  for (const auto& [id, m] : picture_.lent) {
    if (m.lease == lease) ids.push_back(id);
  }
  for (const auto& id : ids) {
    Machine& m = TakeIn(Machine(picture_.lent.at(id)), lease, last_acted);
    takeover_.Inherit(m, awaited);
    m.last_answered = last_acted;
  }
  for (auto& [id, m] : picture_.machines) {
    if (m.leaving != lease) continue;
    // The record may say already that it is the holder's, who may have spoken to it, and may have
    // started there what it was given.
    m.leaving = 0;
    m.silenced = false;
    m.retoken = true;
    m.recorded_address = m.address;
    m.past_lease = lease;
    records_.AssignMachine(m, m.address, lease);
    if (m.lost) continue;
    takeover_.Inherit(m, /*counted=*/false);
    m.last_answered = std::max(m.last_answered, last_acted);
    ids.push_back(id);
  }
  takeover_.Heard(lease);
  leased_.Close(lease);
  const auto sought = picture_.away.All(lease);
  spdlog::info("blocks: lease {} is over, {} machines are asked for {} tasks", lease, ids.size(),
               sought.size());
  if (!search_.Begin(lease, ids)) {
    for (const auto& task : sought) picture_.ComeBack(task, lease);
  }
  picture_.changed = wants_plan_ = true;
  (void)now;
}

std::set<uint64_t> Dispatcher::PastLeases() const {
  std::set<uint64_t> leases;
  for (const auto& [id, m] : picture_.machines) {
    if (m.past_lease != 0) leases.insert(m.past_lease);
  }
  return leases;
}

void Dispatcher::HolderCeased(uint64_t lease, double now) {
  for (auto& [id, m] : picture_.machines) {
    if (m.past_lease == lease) m.last_answered = std::min(m.last_answered, now);
  }
}

void Dispatcher::RecordsWritten(uint64_t revision, double now) {
  for (const auto& id : records_.Written(revision, picture_)) {
    Machine& m = picture_.machines.at(id);
    if (m.retoken) {
      m.retoken = m.confirmed = false;
      m.token = revision;
      m.ask_after = -1e18;
    }
    if (m.leaving != 0) Hand(m, now);
  }
  if (leased_.leads()) TellKept();
}

// From here on the machine and what it runs are its holder's, whose token for it is the version of
// the record just written, or a later one.
void Dispatcher::Hand(Machine& m, double now) {
  const uint64_t lease = std::exchange(m.leaving, 0);
  Leased::Tasks running;
  for (auto& [key, slot] : m.slots) {
    if (slot.orphan || slot.exited() || slot.state == Slot::State::kIntended) continue;
    if (picture_.Find(key.first.job) != nullptr) running[key.first.job].push_back(key.first.index);
  }
  picture_.AllGone(m, now);
  for (auto& [id, tasks] : running) {
    Job& job = *picture_.Find(id);
    for (const uint32_t index : tasks) {
      if (job.tasks[index].phase == Phase::kPending) picture_.SendAway(job, index, lease);
    }
    std::sort(tasks.begin(), tasks.end());
    for (Item& item : TaskItems(Kind::kHanded, id, tasks)) {
      item.job = std::exchange(item.name, m.id);
      item.count = m.handed;
      leased_.ToHolder(lease, std::move(item));
    }
  }
  Machine lent = m;
  lent.slots.clear();
  lent.silenced = false;
  lent.lease = lease;
  lent.recorded_address = m.address;
  lent.news = {};
  lent.draining = lent.resting = false;
  if (const Leased::Lease* l = leased_.Find(lease)) lent.block = l->block;
  const std::string id = m.id;
  picture_.machines.erase(id);
  picture_.lent[id] = std::move(lent);
  picture_.changed = true;
}

// Machines of blocks whose holders are ready go to them with what they run, some at a time: a
// machine that changes hands starts nothing for a moment.
void Dispatcher::HandOverSome(double now) {
  if (!settled()) return;
  // The leader keeps room for the work that only it places.
  double keep = 0;
  for (const auto& [id, job] : picture_.jobs) {
    if (job->doubted || placer_.Givable(*job)) continue;
    keep += (job->spec.tasks - job->done) * job->spec.cpus;
  }
  double have = 0;
  for (const auto& [id, m] : picture_.machines) have += picture_.Usable(m, now) ? m.cpus : 0;
  size_t left =
      std::max(kLeastHanded,
               static_cast<size_t>(kMostHanded * static_cast<double>(picture_.machines.size())));
  for (auto& [id, m] : picture_.machines) {
    left -= std::min<size_t>(left, m.leaving != 0 ? 1 : 0);
  }
  for (auto& [id, m] : picture_.machines) {
    if (left == 0) return;
    if (m.leaving != 0 || m.retoken || m.inherited || !m.recorded || !picture_.Usable(m, now) ||
        now < m.kept_until) {
      continue;
    }
    const uint64_t lease = leased_.ReadyFor(placer_.blocks().Of(m.id, m.zone));
    if (lease == 0) continue;
    const bool ours = std::any_of(m.slots.begin(), m.slots.end(), [&](const auto& s) {
      const Job* job = picture_.Find(s.first.first.job);
      return s.second.orphan || (job != nullptr && !placer_.Givable(*job));
    });
    if (ours || have - m.cpus < keep) continue;
    have -= m.cpus;
    m.leaving = lease;
    records_.AssignMachine(m, m.address, lease);
    --left;
  }
}

// Work that only the leader places, and that finds no room, gets machines back from holders.
void Dispatcher::AskBackSome(double now) {
  double need = 0;
  const Job* wants = nullptr;
  for (const auto& [id, job] : picture_.jobs) {
    if (job->pending.empty() || job->doubted || placer_.Givable(*job)) continue;
    if (now < job->not_before || !placer_.MayStart(*job)) continue;
    if (picture_.teams.Room(*job, settled()) == 0) continue;
    need += static_cast<double>(job->pending.size()) * job->spec.cpus;
    if (wants == nullptr || job->submitted < wants->submitted) wants = job.get();
  }
  if (wants == nullptr || now - wants->submitted < settings_.report_s / 2) return;
  std::vector<Machine*> able;
  size_t asked = 0;
  for (auto& [id, m] : picture_.lent) {
    if (m.asked_back) {
      ++asked;
      need -= m.cpus;
    } else if (picture_.Usable(m, now) && placer_.Allowed(*wants, m, now)) {
      able.push_back(&m);
    }
  }
  const auto most = std::max<size_t>(
      1, static_cast<size_t>(kMostAskedBack * static_cast<double>(picture_.lent.size())));
  std::stable_sort(able.begin(), able.end(),
                   [](const Machine* a, const Machine* b) { return a->used_cpus < b->used_cpus; });
  for (Machine* m : able) {
    if (need <= 0 || asked >= most) return;
    m->asked_back = true;
    m->kept_until = now + settings_.lease_s;
    leased_.ToHolder(m->lease, {.kind = Kind::kAskBack, .name = m->id});
    need -= m->cpus;
    ++asked;
  }
}

void Dispatcher::TellKept() {
  for (auto& [lease, l] : leased_.leases()) {
    for (auto it = l.unkept.begin(); it != l.unkept.end();) {
      const auto next = std::next(it);
      const Job* job = picture_.Find(it->first);
      std::vector<uint32_t> kept;
      if (job != nullptr) {
        for (const uint32_t index : it->second) {
          if (job->tasks[index].durable) kept.push_back(index);
        }
        for (const uint32_t index : kept) it->second.erase(index);
        for (Item& item : TaskItems(Kind::kKept, it->first, kept)) l.out.push_back(std::move(item));
      }
      // The holder hears of jobs that are over from the state service.
      if (job == nullptr || it->second.empty()) l.unkept.erase(it);
      it = next;
    }
  }
}

void Dispatcher::FromHolder(uint64_t lease, const Item& item, double now) {
  Leased::Lease* l = leased_.Find(lease);
  if (l == nullptr) return;
  switch (item.kind) {
    case Kind::kClaim:
      return Claim(lease, item, now);
    case Kind::kSynced:
      // All that its machines ran when this leader was elected is told.
      if (item.count >= token_ && takeover_.Heard(lease)) {
        spdlog::info("takeover: settled, every holder has told what it has");
      }
      picture_.changed = true;
      return;
    case Kind::kDone:
      return DoneAt(lease, item, now);
    case Kind::kBack:
      for (const uint32_t index : item.tasks) picture_.ComeBack({item.name, index}, lease);
      return;
    case Kind::kMachine:
      return NewsOf(lease, item, now);
    case Kind::kGivenBack:
      return GivenBack(lease, item, now);
    case Kind::kLoad:
      l->waiting = item.seconds;
      l->applied = item.count;
      l->ahead.erase(l->ahead.begin(), l->ahead.upper_bound(l->applied));
      l->cpus = 0;
      for (auto& [id, m] : picture_.lent) {
        if (m.lease != lease) continue;
        // Told once, it goes on being idle: without this no machine of a block was ever returned.
        if (m.news.idle) m.news.idle_s += now - m.news_at;
        m.news_at = now;
        if (!m.news.silent) m.last_heard = now;
        if (picture_.Usable(m, now)) l->cpus += m.cpus;
      }
      return;
    case Kind::kDoubt:
      if (Job* job = picture_.Find(item.name); job != nullptr && job->done == 0) {
        job->doubted = true;
        job->retries = static_cast<uint32_t>(std::min<uint64_t>(item.count, 1000));
        job->not_before = now + settings_.lease_s;
        records_.Doubt(item.name, job->retries);
      }
      return;
    default:
      return;  // a leader's
  }
}

// The holder has tasks that this leader has not given: an earlier one did, or its machines ran them
// when it got them.
void Dispatcher::Claim(uint64_t lease, const Item& item, double now) {
  Job* job = picture_.Find(item.name);
  std::vector<uint32_t> elsewhere;
  for (const uint32_t index : item.tasks) {
    const wire::TaskId task{item.name, index};
    if (job == nullptr) {
      // Its job is over: this leader's view holds all that was accepted before it was elected. It
      // may still run, and nobody knows what it takes of which team's limit.
      if (picture_.away.Under(task) != 0) continue;
      picture_.away.Add(task, lease, {});
      picture_.teams.Add("", 0, 0);
      picture_.teams.Unknown();
      continue;
    }
    if (index >= job->spec.tasks) continue;
    if (Seeks(task)) picture_.ComeBack(task, picture_.away.Under(task));
    if (job->tasks[index].phase == Phase::kPending) {
      picture_.SendAway(*job, index, lease);
    } else if (picture_.away.Under(task) != lease && !IsLeaving(task, lease)) {
      elsewhere.push_back(index);
    }
  }
  for (Item& drop : TaskItems(Kind::kDrop, item.name, elsewhere)) {
    spdlog::info("blocks: {} tasks of {} are elsewhere or done", drop.tasks.size(), item.name);
    leased_.ToHolder(lease, std::move(drop));
  }
  (void)now;
}

// The task is on a machine that the holder has got already, though we have not been answered yet
// that the record says so. Taken for a copy, it was stopped there and started elsewhere before it
// had ended: it ran twice.
bool Dispatcher::IsLeaving(const wire::TaskId& task, uint64_t lease) const {
  return std::any_of(picture_.machines.begin(), picture_.machines.end(), [&](const auto& it) {
    const Machine& m = it.second;
    if (m.leaving != lease) return false;
    const auto slot = m.slots.lower_bound({task, 0});
    return slot != m.slots.end() && slot->first.first == task;
  });
}

void Dispatcher::DoneAt(uint64_t lease, const Item& item, double now) {
  Job* job = picture_.Find(item.name);
  Leased::Lease* l = leased_.Find(lease);
  for (const uint32_t index : item.tasks) {
    picture_.ComeBack({item.name, index}, lease);
    if (job == nullptr || index >= job->spec.tasks) continue;
    TaskDone(*job, index);
    if (!job->tasks[index].counted) activity_.Started(*job, index, now);
    l->unkept[item.name].insert(index);
  }
  if (job != nullptr) {
    job->failures = 0;
    job->ran_s += item.seconds;
    job->timed += static_cast<uint32_t>(item.count);
  }
  TellKept();
  picture_.changed = true;
}

void Dispatcher::NewsOf(uint64_t lease, const Item& item, double now) {
  const auto it = picture_.lent.find(item.name);
  if (it == picture_.lent.end() || it->second.lease != lease || !item.machine) return;
  Machine& m = it->second;
  const Item::Machine& told = *item.machine;
  if (m.address.empty() || m.type != told.type) {
    m.address = m.recorded_address = told.address;
    m.type = told.type;
    m.zone = told.zone;
    m.spot = told.spot;
    picture_.types.Fit(m);
    hires_.Up(m.id);
  }
  cluster::MachineNews news;
  news.usable = told.usable;
  news.idle = told.idle;
  news.needed = told.needed;
  news.silent = told.silent;
  news.idle_s = told.idle_s;
  news.work_s = told.work_s;
  news.cpus = told.cpus;
  news.gpus = told.gpus;
  news.memory_gb = told.memory_gb;
  const Leased::Lease* l = leased_.Find(lease);
  leased_.News(m, news, l->applied, now);
  if (!news.silent) m.last_heard = now;
  picture_.changed = true;
}

void Dispatcher::GivenBack(uint64_t lease, const Item& item, double now) {
  const auto it = picture_.lent.find(item.name);
  if (it == picture_.lent.end() || it->second.lease != lease) return;
  // A new leader is told of all that was given back, also of what its holder does not know yet that
  // it got again, with tasks.
  if (item.count >> 1 < it->second.handed) return;
  const Machine lent = it->second;
  Machine& m = TakeIn(lent, 0, now);
  // Known to be empty: nobody needs to ask it.
  m.address = lent.recorded_address;
  m.type = lent.type;
  m.zone = lent.zone;
  m.spot = lent.spot;
  m.block = leased_.own();
  m.last_heard = lent.last_heard;
  m.idle_since = now;
  m.lost = (item.count & 1) != 0;
  picture_.types.Fit(m);
  picture_.changed = wants_plan_ = true;
}

}  // namespace mosspath::scheduler
