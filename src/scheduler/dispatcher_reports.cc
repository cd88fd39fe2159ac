// What reports and answers of workers tell, and what workers are told.
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

// Keeps an answer to a worker well below the 64 KiB that a line may have.
constexpr size_t kMaxCommands = 400;
// Answers whose commands had no effect, before a machine must show that it hears us.
constexpr int kIgnored = 2;

}  // namespace

// What it was told seems not to have reached it, though its reports arrive: it takes no new work
// until it has shown a token that it can only know from us. A report proves nothing about the way
// back, and one answer may be lost on any day.
void Dispatcher::Doubt(Machine& m) {
  m.ignored = 0;
  if (leased_.holds()) {  // only the leader raises tokens
    m.asked_back = m.draining = true;
    m.resting = false;
    return;
  }
  m.doubted_token = m.token;
}

void Dispatcher::NewSession(Machine& m, uint64_t session, double now) {
  if (session == m.session) return;
  // Its lease ended though it was answered all along.
  if (m.session != 0 && m.confirmed && !m.lost && now - m.last_answered < settings_.lease_s) {
    spdlog::info("picture: machine {} began a session though it was answered", m.id);
    Doubt(m);
  }
  // The lease of the earlier session expired: the worker has killed all that it had, and refuses
  // late commands that were meant for it.
  for (auto it = m.slots.begin(); it != m.slots.end();) {
    auto next = std::next(it);
    if (it->second.state != Slot::State::kIntended) picture_.Gone(m, it, now);
    it = next;
  }
  if (m.session != 0) spdlog::info("picture: machine {} begins session {}", m.id, session);
  m.session = session;
  // A session lasts a lease from its beginning even if nobody ever answers its reports. Learned
  // from an answer to an order, it took starts and outlived what was counted from the last answer:
  // they ran twice.
  m.session_seen = now;
}

Machine& Dispatcher::MachineFor(const wire::Report& r, double now) {
  Machine& m = picture_.machines[r.machine];
  if (m.address.empty()) {
    // One that comes from another controller has a token already, higher than that one's.
    if (m.id.empty()) m.token = token_;
    m.id = r.machine;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    m.block = placer_.BlockOf(m);
    m.first_heard = m.idle_since = now;
    picture_.types.Fit(m);
    hires_.Up(r.machine);
    spdlog::info("picture: machine {} type={} zone={} spot={}", m.id, m.type, m.zone, m.spot);
  }
  m.address = r.address;
  return m;
}

// Whether anything can be made of the report. One machine's raised token may have reached another
// that has its address now; higher than any that we gave, it is a later leader's.
bool Dispatcher::Heeds(const wire::Report& r) const {
  const uint64_t given = records_.newest_revision();
  const auto it = picture_.machines.find(r.machine);
  if (it == picture_.machines.end()) return r.token <= given;
  const Machine& m = it->second;
  return !m.retoken && !m.silenced && r.token <= std::max(m.token, given) &&
         m.Newer(r.session, r.seq);
}

ReportAnswer Dispatcher::OnReport(const wire::Report& r, double now) {
  if (hires_.dead(r.machine)) return {};
  // Another controller's, or not to be spoken to before its token is raised.
  if (picture_.lent.contains(r.machine)) return {};
  if (leased_.holds() && !Commands(r.machine)) return {};
  // A higher token than ours is a later leader's. A late report's answer could never be used, and a
  // late copy tells nothing, not even an address.
  if (!Heeds(r)) return {};
  Machine& m = MachineFor(r, now);
  m.token = std::max(m.token, r.token);
  NewSession(m, r.session, now);
  m.seq = r.seq;
  m.last_answered = now;
  m.lost = false;
  // A report made before our token was seen may be late, or an older leader's answer may still be
  // on its way: nothing is concluded from it, not even that the machine can be told anything. One
  // whose answers were lost kept a takeover waiting for as long as its reports came.
  if (r.token != m.token) {
    if (m.told_at <= 0) m.told_at = now;
    return {true, m.token, {}};
  }
  m.last_heard = now;
  m.told_at = 0;
  m.unlisted = false;
  if (r.notice_s && !m.notice_at) {
    spdlog::info("picture: machine {} will be taken in {}s", m.id, *r.notice_s);
    activity_.Trouble(now, "the cloud takes machine " + m.id + " back");
    picture_.changed = true;
  }
  m.notice_at = r.notice_s ? std::optional(now + *r.notice_s) : std::nullopt;
  if (!m.confirmed) {
    m.confirmed = true;
    picture_.changed = true;
  }
  Reconcile(m, r, /*regular=*/true, now);
  RuleOut(m);
  placer_.Refill(m, now);
  return {true, m.token, CommandsFor(m, now)};
}

void Dispatcher::OnAsked(Machine& m, const DirectOrder& order, DirectOutcome outcome,
                         const wire::Report* report, double now) {
  const int in_vain = m.asked_in_vain;
  if (!takeover_.Learned(m, order, outcome, report, now)) {
    wants_plan_ = wants_plan_ || (m.asked_in_vain > in_vain && m.asked_in_vain >= kAskedInVain);
    return;
  }
  MachineFor(*report, now);
  NewSession(m, report->session, now);
  m.seq = report->seq;
  m.last_heard = now;
  m.told_at = 0;
  m.confirmed = true;
  picture_.changed = true;
  Reconcile(m, *report, /*regular=*/false, now);
  RuleOut(m);
}

// An order was executed by another machine than it was meant for, which has its address now. What
// that one says under our token is as good as its answer to an order of its own; it may run what
// was meant for the other, and stands in nobody's record.
void Dispatcher::OnStranger(const wire::Report& r, double now) {
  if (hires_.dead(r.machine) || picture_.lent.contains(r.machine)) return;
  if (leased_.holds() && !Commands(r.machine)) return;
  if (!Heeds(r) || r.token < token_) return;
  Machine& m = MachineFor(r, now);
  if (r.token < m.token) return;
  m.token = r.token;
  NewSession(m, r.session, now);
  m.seq = r.seq;
  m.last_heard = now;
  m.told_at = 0;
  m.confirmed = true;
  picture_.changed = true;
  Reconcile(m, r, /*regular=*/false, now);
  RuleOut(m);
}

std::vector<DirectOrder> Dispatcher::TakeDirect(double now, size_t most) {
  std::vector<DirectOrder> out;
  if (!settled() || takeover_.searching(now) || !search_.empty() || leased_.holds())
    takeover_.Ask(picture_.machines, now, most, out);
  for (auto& [id, m] : picture_.machines) {
    if (out.size() >= most) break;
    if (!m.todo || m.calling || !m.confirmed || m.lost || m.deleting) continue;
    m.todo = false;
    const bool may_start =
        m.recorded && picture_.Usable(m, now) && now - m.last_heard < 1.5 * settings_.report_s;
    std::vector<wire::Command> commands;
    for (auto& [key, slot] : m.slots) {
      m.todo = m.todo || slot.state == Slot::State::kIntended || (slot.stop && !slot.exited());
      if (commands.size() >= kMaxCommands) {
        m.todo = true;
        break;
      }
      if (slot.state == Slot::State::kIntended) {
        if (!may_start) continue;
        slot.state = Slot::State::kSent;
        slot.sent_seq = cluster::kNoReport;
        slot.direct = true;
        slot.direct_at = now;
        slot.sent_token = m.token;
        commands.push_back({wire::Op::kStart, key.first, key.second, 0});
      } else if (slot.stop && !slot.exited() && now - slot.stop_sent > settings_.report_s) {
        slot.stop_sent = now;
        commands.push_back({wire::Op::kStop, key.first, key.second, slot.grace_s});
      }
    }
    if (commands.empty()) continue;
    m.calling = true;
    out.push_back({id, m.address, m.token, m.session, std::move(commands)});
  }
  return out;
}

void Dispatcher::OnDirect(const DirectOrder& order, DirectOutcome outcome,
                          const wire::Report* report, double now) {
  auto found = picture_.machines.find(order.machine);
  if (found == picture_.machines.end()) {
    if (order.commands.empty()) takeover_.Asked();
    return;
  }
  if (outcome == DirectOutcome::kExecuted && report != nullptr &&
      report->machine != order.machine) {
    OnStranger(*report, now);
  }
  Machine& m = found->second;
  m.calling = false;
  if (order.commands.empty()) {
    takeover_.Asked();
    return OnAsked(m, order, outcome, report, now);
  }
  if (outcome == DirectOutcome::kExecuted &&
      (report == nullptr || report->machine != order.machine || report->session != order.session)) {
    outcome = DirectOutcome::kUnsure;  // contradicts itself: no answer
  }
  for (const wire::Command& c : order.commands) {
    auto it = m.slots.find({c.task, c.attempt});
    if (c.op != wire::Op::kStart || it == m.slots.end()) continue;
    Slot& slot = it->second;
    if (slot.state != Slot::State::kSent) continue;
    switch (outcome) {
      case DirectOutcome::kExecuted:
        slot.sent_seq = report->seq - 1;  // this report tells already
        break;
      case DirectOutcome::kRefused:
        picture_.Gone(m, it, now);
        break;
      case DirectOutcome::kUnsure:
        slot.unsure = m.unsure = true;
        break;
    }
  }
  // Answers to commands don't renew the lease, but are as good as reports otherwise.
  if (outcome != DirectOutcome::kExecuted || !m.Newer(report->session, report->seq) ||
      report->token != m.token) {
    return;
  }
  m.seq = report->seq;
  m.last_heard = now;
  Reconcile(m, *report, /*regular=*/false, now);
}

// A start that got no answer can be executed until the worker sees a higher token. The revision of
// a later write of ours is one, and is lower than the token of any later leader.
void Dispatcher::RaiseTokens() {
  for (auto& [id, m] : picture_.machines) {
    if (!m.unsure && m.doubted_token != m.token) continue;
    m.unsure = std::any_of(m.slots.begin(), m.slots.end(), [](const auto& s) {
      return s.second.unsure && s.second.state == Slot::State::kSent;
    });
    const bool needed = m.doubted_token == m.token ||
                        std::any_of(m.slots.begin(), m.slots.end(), [&](const auto& s) {
                          return s.second.unsure && s.second.state == Slot::State::kSent &&
                                 s.second.sent_token == m.token;
                        });
    if (!needed) continue;
    if (records_.newest_revision() <= m.token) {
      records_.TouchMachine(id);
      continue;
    }
    m.token = records_.newest_revision();
    m.confirmed = false;
    m.told_at = 0;
    spdlog::info("picture: machine {} goes on under token {}: {}", id, m.token,
                 m.doubted_token != 0 ? "what it was told had no effect" : "a start got no answer");
    m.doubted_token = 0;
  }
}

void Dispatcher::Reconcile(Machine& m, const wire::Report& r, bool regular, double now) {
  const uint64_t seen = ++taken_in_;
  bool took = false;     // some of what the last answer told
  bool ignored = false;  // or not
  for (const wire::TaskReport& t : r.tasks) {
    const SlotKey key{t.task, t.attempt};
    auto it = m.slots.find(key);
    if (it == m.slots.end()) {
      Adopt(m, t, now);
      if (it = m.slots.find(key); it != m.slots.end()) it->second.seen = seen;
      continue;
    }
    Slot& slot = it->second;
    slot.seen = seen;
    took = took || slot.state == Slot::State::kSent;
    if (slot.forget_seq != 0 && regular && r.seq > slot.forget_seq) {
      ignored = true;
      slot.forget_seq = 0;
    }
    const bool was_exited = slot.exited();
    if (slot.reported != wire::TaskState::kRunning && t.state == wire::TaskState::kRunning) {
      slot.running_since = now;
      if (Job* job = slot.orphan ? nullptr : picture_.Find(t.task.job)) {
        if (!std::exchange(job->begun, true)) {
          spdlog::debug("jobs: {} of {} with {} tasks begins after {:.1f} s", t.task.job,
                        job->spec.job_class, job->spec.tasks, now - job->submitted);
        }
        activity_.Started(*job, t.task.index, now);
      }
    }
    slot.state = Slot::State::kReported;
    slot.reported = t.state;
    slot.why = t.why;
    if (slot.exited() && !was_exited) OnExited(m, key, slot, now);
  }
  for (auto it = m.slots.begin(); it != m.slots.end();) {
    auto next = std::next(it);
    const Slot& slot = it->second;
    // An answer to direct commands can be made while the answer to a report is still on its way,
    // so it tells nothing about starts that went with that.
    const bool told = slot.state == Slot::State::kReported ||
                      (slot.state == Slot::State::kSent && (regular || slot.direct) &&
                       (r.seq > slot.sent_seq || (slot.unsure && r.token > slot.sent_token)));
    // The worker sends its next report only after the answer to the last one was taken or given
    // up, so a start that is missing here was never taken and never will be.
    if (told && slot.seen != seen) {
      took = took || slot.forget_seq != 0;
      ignored = ignored || (slot.state == Slot::State::kSent && !slot.direct);
      if (slot.state == Slot::State::kSent) {
        spdlog::debug("place: start of {} on {} was lost", wire::TaskName(it->first.first), m.id);
      }
      picture_.Gone(m, it, now);
    }
    it = next;
  }
  if (took) m.ignored = 0;
  if (regular && ignored && !took && ++m.ignored >= kIgnored) Doubt(m);
}

// A task that we didn't start: an earlier leader's, or one whose job is over.
void Dispatcher::Adopt(Machine& m, const wire::TaskReport& t, double now) {
  Job* job = picture_.Find(t.task.job);
  if (job != nullptr && t.task.index >= job->spec.tasks) job = nullptr;
  Slot slot;
  slot.state = Slot::State::kReported;
  slot.reported = t.state;
  slot.why = t.why;
  slot.since = slot.running_since = now;
  slot.adopted = true;
  const SlotKey key{t.task, t.attempt};
  if (job != nullptr) {
    slot.image = job->spec.image;
    slot.team = job->spec.team;
    slot.expected_s = ExpectedRun(*job);
    m.images.Use(job->spec.image, job->spec.image_gb, m.cache_gb);
  }
  if (slot.exited()) {
    slot.orphan = true;
    if (job != nullptr && t.why == wire::Why::kDone) {
      slot.orphan = false;
      if (Seeks(t.task)) picture_.ComeBack(t.task, picture_.away.Under(t.task));
      if (job->tasks[t.task.index].phase == Phase::kPlaced) {
        spdlog::debug("place: {} is done on {} by an earlier attempt", wire::TaskName(t.task),
                      m.id);
      }
      TaskDone(*job, t.task.index);
    }
    m.slots.emplace(key, std::move(slot));
    return;
  }
  if (job != nullptr && job->tasks[t.task.index].phase == Phase::kPlaced) {
    // Only a start that was not sent yet can be given up for it.
    for (auto& [id, other] : picture_.machines) {
      for (auto it = other.slots.lower_bound({t.task, 0});
           it != other.slots.end() && it->first.first == t.task; ++it) {
        if (it->second.state == Slot::State::kIntended) {
          picture_.Gone(other, it, now);
          break;
        }
      }
    }
  }
  if (job != nullptr) {
    if (Seeks(t.task)) {
      picture_.ComeBack(t.task, picture_.away.Under(t.task));
    } else if (leased_.holds() && job->tasks[t.task.index].phase == Phase::kAway) {
      // It is on a machine of this block, so no other controller can have it.
      job->tasks[t.task.index].phase = Phase::kPending;
      job->pending.insert(t.task.index);
      leased_.ToLeader(
          {.kind = wire::BlockItem::Kind::kClaim, .name = t.task.job, .tasks = {t.task.index}});
    }
    slot.cpus = job->spec.cpus;
    slot.gpus = job->spec.gpus;
    slot.memory_gb = job->spec.memory_gb;
  } else {
    picture_.teams.Unknown();
  }
  bool found = false;
  if (job == nullptr || job->tasks[t.task.index].phase != Phase::kPending) {
    slot.orphan = true;
    if (job != nullptr) picture_.AddCopy(t.task, m.id);
    found = job != nullptr;
    cluster::Stop(m, slot, 0);
    spdlog::info("place: stopping {} on {}: {}", wire::TaskName(t.task), m.id,
                 job == nullptr ? "its job is over" : "it is elsewhere or done");
  }
  picture_.Occupy(m, key, std::move(slot));
  if (found) {
    // What was sought is here.
    strays_.Forget(t.task);
    picture_.Release(t.task);
  }
}

void Dispatcher::OnExited(Machine& m, const SlotKey& key, Slot& slot, double now) {
  const auto& [task, attempt] = key;
  Job* job = slot.orphan ? nullptr : picture_.Find(task.job);
  picture_.changed = true;
  if (job != nullptr && slot.why == wire::Why::kDone) {
    picture_.Vacate(m, slot, task);
    TaskDone(*job, task.index);
    if (slot.running_since > 0 && !slot.adopted) {
      Judge(m, *job, health_.Timed(m, *job, now - slot.running_since), now);
    }
    if (health_.Succeeded(m, *job) && !leased_.holds()) records_.NoDoubt(job->spec.id);
  } else {
    picture_.Vacate(m, slot, task);
    if (job != nullptr && slot.why == wire::Why::kError) {
      Judge(m, *job, health_.Failed(m, *job, picture_.machines, now), now);
    }
    if (job != nullptr && slot.why == wire::Why::kUnknown) {
      job->not_before = std::max(job->not_before, now + settings_.report_s);
    }
    if (slot.why != wire::Why::kStopped && slot.why != wire::Why::kDone &&
        slot.why != wire::Why::kPeers) {
      spdlog::info("place: {} ended on {} why={}", wire::TaskName(task), m.id,
                   static_cast<int>(slot.why));
    }
  }
  const bool empty =
      std::all_of(m.slots.begin(), m.slots.end(), [](const auto& s) { return s.second.exited(); });
  if (empty) m.idle_since = now;
}

void Dispatcher::TaskDone(Job& job, uint32_t index) {
  if (!job.MarkDone(index)) return;
  if (!leased_.holds()) return records_.TaskDone(job, index);
  // The leader writes what is done.
  leased_.ToLeader({.kind = wire::BlockItem::Kind::kDone, .name = job.spec.id, .tasks = {index}});
}

// What people and successors are told of a verdict.
void Dispatcher::Judge(const Machine& m, const Job& job, Health::Verdict verdict, double now) {
  switch (verdict) {
    case Health::Verdict::kNone:
      return;
    case Health::Verdict::kMachineSlow:
      activity_.Trouble(now, "machine " + m.id + " is far too slow and is put aside");
      spdlog::info("fleet: machine {} is put aside: {:.1f} times slower than others", m.id,
                   m.slowness);
      return;
    case Health::Verdict::kMachineFaulty:
      activity_.Trouble(now, "machine " + m.id + " fails its tasks and is put aside");
      spdlog::info("fleet: machine {} is put aside: it fails what does well elsewhere", m.id);
      return;
    case Health::Verdict::kJobDoubted:
      spdlog::info("jobs: {} fails everywhere, its tasks are held back", job.spec.id);
      activity_.Trouble(now, job.spec.id + " fails on every machine");
      [[fallthrough]];
    case Health::Verdict::kJobStillDoubted:
      if (leased_.holds()) {
        leased_.ToLeader({.kind = wire::BlockItem::Kind::kDoubt,
                          .name = job.spec.id,
                          .count = std::max<uint32_t>(1, job.retries)});
        return;
      }
      records_.Doubt(job.spec.id, job.retries);
      return;
  }
}

std::vector<wire::Command> Dispatcher::CommandsFor(Machine& m, double now) {
  std::vector<wire::Command> out;
  const bool may_start = m.recorded && picture_.Usable(m, now);
  for (auto& [key, slot] : m.slots) {
    if (out.size() >= kMaxCommands) break;
    const auto& [task, attempt] = key;
    if (slot.exited()) {
      const Job* job = slot.orphan ? nullptr : picture_.Find(task.job);
      const bool keep =
          job != nullptr && slot.why == wire::Why::kDone && !job->tasks[task.index].durable;
      if (keep) continue;
      slot.forget_seq = m.seq;
      out.push_back({wire::Op::kForget, task, attempt, 0});
    } else if (slot.stop && slot.state != Slot::State::kIntended) {
      slot.stop_sent = now;
      out.push_back({wire::Op::kStop, task, attempt, slot.grace_s});
    }
  }
  for (auto& [key, slot] : m.slots) {
    if (out.size() >= kMaxCommands) break;
    if (slot.state != Slot::State::kIntended || !may_start) continue;
    slot.state = Slot::State::kSent;
    slot.sent_seq = m.seq;
    slot.sent_token = m.token;
    out.push_back({wire::Op::kStart, key.first, key.second, 0});
  }
  return out;
}

}  // namespace mosspath::scheduler
