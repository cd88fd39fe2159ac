#include "simulation/world.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "mosspath/jobs/job_index.h"

namespace mosspath::simulation {

using wire::ExitReason;
using wire::TaskState;

namespace {

constexpr double kForgottenS = 75;     // once all troubles are over: the users' rule
constexpr double kSlowestS = 30;       // a message over a slow link
constexpr double kRoomS = 90;          // beside a machine with room: the users' rule
constexpr double kBegunWithinS = 240;  // the largest of a class: the users' rule

}  // namespace

void SimulatedClock::RunUntil(double end) {
  while (!queue_.empty() && queue_.top().when <= end) {
    Event e = queue_.top();
    queue_.pop();
    now_ = std::max(now_, e.when);
    e.f();
  }
  now_ = end;
}

void SimulatedNetwork::Send(const std::string& from, const std::string& to,
                            std::function<void()> deliver) {
  double delay = random_.Uniform(0.001, 0.02);
  if (random_.Below(200) == 0) delay += random_.Uniform(0.2, 3);  // lost and sent again
  for (const auto& host : {from, to}) {
    const auto slow = slow_.find(host);
    if (slow != slow_.end() && slow->second.second > clock_.now())
      delay = std::min(delay * slow->second.first, kSlowestS);
  }
  if (on_sent) on_sent(from);
  const CutState* cut = Find(cuts_, std::minmax(from, to), clock_.now());
  if (cut == nullptr) cut = Find(one_way_, {from, to}, clock_.now());
  if (cut != nullptr) {
    if (!cut->hold) return;
    clock_.At(cut->until + delay, std::move(deliver));
    return;
  }
  clock_.After(delay, std::move(deliver));
}

const SimulatedNetwork::CutState* SimulatedNetwork::Find(const std::map<Ends, CutState>& cuts,
                                                         const Ends& ends, double now) {
  const auto cut = cuts.find(ends);
  return cut != cuts.end() && cut->second.until > now ? &cut->second : nullptr;
}

void SimulatedNetwork::Cut(const std::string& a, const std::string& b, double for_s, bool hold) {
  cuts_[std::minmax(a, b)] = {clock_.now() + for_s, hold};
}

void SimulatedNetwork::CutOneWay(const std::string& from, const std::string& to, double for_s,
                                 bool hold) {
  one_way_[{from, to}] = {clock_.now() + for_s, hold};
}

// ---------------------------------------------------------------------------- rules

void RuleChecker::ToldDone(const std::string& id, double now) {
  Job& job = jobs_[id];
  if (job.completed.size() < job.spec.tasks) Breach("not_done: " + id);
  if (job.cancelled) Breach("went_back: " + id + " was cancelled");
  job.done = true;
  (void)now;
}

void RuleChecker::ToldCancelled(const std::string& id, double now) {
  Job& job = jobs_[id];
  if (job.done) Breach("went_back: " + id + " was done");
  if (!job.cancelled) job.cancelled = now;
  cancellations_.push_back(now);
}

void RuleChecker::Refused(const std::string& id) {
  if (jobs_[id].accepted) Breach("forgotten: " + id + " is refused though it was accepted");
}

bool RuleChecker::CanRun(const wire::JobSpec& s) const {
  size_t zones = 0;
  for (const auto& zone : settings_.zones) {
    if (s.zone && *s.zone != zone) continue;
    zones += std::any_of(types_.begin(), types_.end(), [&](const wire::MachineType& t) {
      const bool allowed =
          !s.types || std::find(s.types->begin(), s.types->end(), t.name) != s.types->end();
      const bool there = std::find(t.zones.begin(), t.zones.end(), zone) != t.zones.end();
      return allowed && there && s.cpus <= t.cpus && s.gpus <= t.gpus && s.memory_gb <= t.memory_gb;
    });
  }
  if (s.kind == wire::JobKind::kArray || !s.spread_over_zones || s.tasks < 2) return zones > 0;
  return zones > 1 && !s.single_zone;
}

bool RuleChecker::TeamHasRoom(const wire::JobSpec& s) const {
  for (const auto& t : settings_.teams) {
    if (t.name != s.team) continue;
    const auto use = use_.find(t.name);
    const auto [cpus, gpus] = use == use_.end() ? std::pair{0.0, 0.0} : use->second;
    return (t.cpus_max <= 0 || cpus + s.cpus <= t.cpus_max + 1e-6) &&
           (t.gpus_max <= 0 || gpus + s.gpus <= t.gpus_max + 1e-6);
  }
  return false;
}

std::vector<RuleChecker::Waiting> RuleChecker::WaitingJobs() const {
  std::vector<Waiting> out;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted || job.done || job.cancelled || job.cancel_asked) continue;
    if (job.completed.size() + job.on.size() >= job.spec.tasks) continue;
    Waiting w{&job.spec, {}, TeamHasRoom(job.spec)};
    for (const auto& [index, where] : job.on) ++w.in_zone[where.second];
    out.push_back(std::move(w));
  }
  return out;
}

void RuleChecker::RoomFor(const std::string& id, const std::vector<std::string>& machines,
                          double now) {
  Job& job = jobs_[id];
  std::map<std::string, double> since;
  for (const auto& m : machines) {
    const auto before = job.room_since.find(m);
    since[m] = before == job.room_since.end() ? now : before->second;
    const double waited = now - std::max({since[m], job.last_start, *job.accepted, quiet_from_});
    if (waited <= kRoomS || std::exchange(job.waits, true)) continue;
    Breach(fmt::format("waits: {} for {:.0f} s beside {}, which has room", id, waited, m));
  }
  job.room_since = std::move(since);
}

void RuleChecker::Started(const wire::TaskId& task, const std::string& machine,
                          const std::string& type, const std::string& zone, bool spot, double now) {
  ++starts_;
  auto found = jobs_.find(task.job);
  if (found == jobs_.end()) return Breach("a task of no job: " + wire::TaskName(task));
  Job& job = found->second;
  if (!job.begun) job.begun = now;
  job.last_start = now;
  if (job.cancelled) {
    latest_cancelled_start_s_ = std::max(latest_cancelled_start_s_, now - *job.cancelled);
  }
  const wire::JobSpec& s = job.spec;
  const std::string name = wire::TaskName(task);
  if (auto on = job.on.find(task.index); on != job.on.end()) {
    Breach("ran_twice: " + name + " runs on " + on->second.first + " and starts on " + machine);
  }
  if (s.types && std::find(s.types->begin(), s.types->end(), type) == s.types->end()) {
    Breach("wrong_place: " + name + " on type " + type);
  }
  if ((s.zone && *s.zone != zone) || (spot && !s.spot_allowed)) {
    Breach("wrong_place: " + name + " on " + machine);
  }
  size_t in_zone = 1;
  for (const auto& [index, where] : job.on) {
    if (s.single_zone && where.second != zone) Breach("wrong_place: " + name + " is not together");
    in_zone += where.second == zone ? 1 : 0;
  }
  if (s.spread_over_zones && in_zone > (s.tasks + 1) / 2)
    Breach("wrong_place: " + name + " is not apart");
  if (job.cancelled && now > *job.cancelled + settings_.cancel_within_s) {
    Breach("ran_cancelled: " + name + " starts");
  }
  job.on[task.index] = {machine, zone};
  auto& [cpus, gpus] = use_[s.team];
  cpus += s.cpus;
  gpus += s.gpus;
  for (const auto& t : settings_.teams) {
    if (t.name != s.team) continue;
    if ((t.cpus_max > 0 && cpus > t.cpus_max + 1e-6) ||
        (t.gpus_max > 0 && gpus > t.gpus_max + 1e-6)) {
      Breach("quota: " + t.name + " with " + name);
    }
  }
}

void RuleChecker::Left(const wire::TaskId& task, const std::string& machine) {
  auto found = jobs_.find(task.job);
  if (found == jobs_.end()) return;
  auto on = found->second.on.find(task.index);
  if (on == found->second.on.end() || on->second.first != machine) return;
  found->second.on.erase(on);
  auto& [cpus, gpus] = use_[found->second.spec.team];
  cpus -= found->second.spec.cpus;
  gpus -= found->second.spec.gpus;
}

void RuleChecker::Tick(double now) {
  for (const auto& [id, job] : jobs_) {
    if (job.cancelled && !job.on.empty() && now > *job.cancelled + settings_.cancel_within_s) {
      Breach("ran_cancelled: " + id + " is still on a machine");
    }
  }
  if (now < quiet_from_ + kForgottenS) return;
  for (auto& [id, job] : jobs_) {
    // A service's replicas are all up again by then, whatever else there is to do.
    const bool service =
        job.spec.kind == wire::JobKind::kService && job.spec.priority > wire::Priority::kHigh;
    if (service && job.accepted && now - *job.accepted > kForgottenS && !job.cancel_asked &&
        !job.down && job.on.size() < job.spec.tasks) {
      job.down = true;
      Breach(fmt::format("down: {} has {} of {} replicas", id, job.on.size(), job.spec.tasks));
    }
    // However others fare, and whatever became of it.
    if (!job.accepted || job.cancel_asked || job.forgotten) continue;
    if (now - std::max({job.answered, *job.accepted, quiet_from_}) <= kForgottenS) continue;
    job.forgotten = true;
    Breach(fmt::format("forgotten: no question about {} is answered for {:.0f} s", id,
                       now - job.answered));
  }
}

void RuleChecker::Accepted(const std::string& id, double now) {
  Job& job = jobs_[id];
  if (!job.accepted && !CanRun(job.spec)) Breach("accepted: " + id + " can never run");
  if (!job.accepted) job.accepted = now;
}

void RuleChecker::Answered(const std::string& id, int status, wire::JobState stage, double asked,
                           double now) {
  if (status != 200 && status != 404) return;
  Job& job = jobs_[id];
  if (job.accepted && now > quiet_from_) {
    const double before = std::max({job.answered, *job.accepted, quiet_from_});
    longest_unanswered_s_ = std::max(longest_unanswered_s_, now - before);
  }
  job.answered = now;
  if (status == 404) {
    if (job.accepted) Breach("forgotten: " + id + " gets 404");
    return;
  }
  if (stage == wire::JobState::kDone && job.completed.size() < job.spec.tasks) {
    Breach("not_done: " + id + " is told done");
  }
  if (stage == wire::JobState::kCancelled && !job.cancel_asked) {
    Breach("went_back: " + id + " is told cancelled");
  }
  const bool over = stage == wire::JobState::kDone || stage == wire::JobState::kCancelled;
  // Another end is never told; and nothing older to who asks once it was told.
  if (job.told_over && (over ? *job.told_over != stage : asked >= job.told_over_at)) {
    Breach("went_back: " + id + " is told otherwise later");
  }
  if (over && !std::exchange(job.told_over, stage)) job.told_over_at = now;
}

void RuleChecker::DayOver(double capacity_cpus) {
  struct Share {
    size_t asked = 0;
    size_t served = 0;
  };
  std::map<std::string, Share> shares;
  std::map<std::string, std::vector<const Job*>> classes;
  for (const auto& [id, job] : jobs_) {
    if (!job.asked || job.cancel_asked) continue;
    classes[job.spec.job_class].push_back(&job);
    const bool service = job.spec.kind == wire::JobKind::kService;
    const bool served = service ? job.begun.has_value() : job.done;
    for (const auto& group : {"class " + job.spec.job_class, "team " + job.spec.team}) {
      ++shares[group].asked;
      shares[group].served += served ? 1 : 0;
    }
  }
  for (auto& [name, jobs] : classes) {
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const Job* a, const Job* b) { return a->spec.tasks > b->spec.tasks; });
    const size_t largest = std::max<size_t>(1, jobs.size() / 10);
    Share& share = shares["the largest of " + name];
    for (size_t i = 0; i < largest; ++i) {
      const Job& job = *jobs[i];
      ++share.asked;
      share.served += job.done || (job.spec.kind == wire::JobKind::kService && job.begun) ? 1 : 0;
      const bool whole = job.spec.kind == wire::JobKind::kGang;
      if (job.begun) latest_begin_s_ = std::max(latest_begin_s_, *job.begun - *job.asked);
      if (whole && job.spec.tasks * job.spec.cpus > capacity_cpus) continue;
      if (!job.begun || *job.begun - *job.asked > kBegunWithinS) {
        Breach(fmt::format("late: {}, of the largest of {}, begins after {:.0f} s", job.spec.id,
                           name, job.begun ? *job.begun - *job.asked : 1e9));
      }
    }
  }
  for (const auto& [group, share] : shares) {
    if (2 * share.served < share.asked) {
      Breach(fmt::format("starved: of {}, {} of {} are served", group, share.served, share.asked));
    }
  }
}

size_t RuleChecker::done_jobs() const {
  return static_cast<size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) { return j.second.done; }));
}

// ---------------------------------------------------------------------------- state service

void SimulatedKeyValueStore::Outage(double for_s) {
  Expire();
  down_until_ = clock_.now() + for_s;
  for (auto& [id, g] : grants_) g.until = down_until_ + g.life;
}

void SimulatedKeyValueStore::Expire() {
  if (!up()) return;
  for (auto g = grants_.begin(); g != grants_.end();) {
    if (g->second.until > clock_.now()) {
      ++g;
      continue;
    }
    for (auto p = pairs_.begin(); p != pairs_.end();) {
      if (p->second.grant == g->first) {
        ++revision_;
        p = pairs_.erase(p);
      } else {
        ++p;
      }
    }
    g = grants_.erase(g);
  }
}

uint64_t SimulatedKeyValueStore::Grant(double life_s) {
  Expire();
  grants_[next_grant_] = {life_s, clock_.now() + life_s};
  return next_grant_++;
}

void SimulatedKeyValueStore::End(uint64_t grant) {
  if (auto g = grants_.find(grant); g != grants_.end()) g->second.until = clock_.now();
  Expire();
}

bool SimulatedKeyValueStore::Renew(uint64_t grant) {
  Expire();
  auto g = grants_.find(grant);
  if (g == grants_.end()) return false;
  g->second.until = clock_.now() + g->second.life;
  return true;
}

uint64_t SimulatedKeyValueStore::Commit(
    const std::vector<std::pair<std::string, uint64_t>>& conditions,
    const std::vector<std::pair<std::string, std::optional<wire::Json>>>& changes, uint64_t grant) {
  Expire();
  if (grant != 0 && !grants_.contains(grant)) return 0;
  for (const auto& [key, version] : conditions) {
    if (VersionOf(key) != version) return 0;
  }
  ++revision_;
  for (const auto& [key, value] : changes) {
    decisions_.Written(clock_.now(), key, value, grant);
    if (value) {
      pairs_[key] = {*value, revision_, grant};
    } else {
      pairs_.erase(key);
    }
  }
  return revision_;
}

const std::map<std::string, SimulatedKeyValueStore::Pair>& SimulatedKeyValueStore::pairs() {
  Expire();
  return pairs_;
}

std::shared_ptr<const SimulatedKeyValueStore::View> SimulatedKeyValueStore::Snapshot() {
  Expire();
  if (!snapshot_ || snapshot_->revision != revision_) {
    snapshot_ = std::make_shared<const View>(View{pairs_, revision_});
  }
  return snapshot_;
}

uint64_t SimulatedKeyValueStore::VersionOf(const std::string& key) {
  auto p = pairs_.find(key);
  return p == pairs_.end() ? 0 : p->second.version;
}

// ---------------------------------------------------------------------------- workers

SimulatedAgent::SimulatedAgent(SimulatedEnvironment& world, std::string id,
                               const wire::MachineType& type, std::string zone, bool spot)
    : world_(world),
      id_(std::move(id)),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      address_(id_ + ":1"),
      born_(world.clock.now()),
      lease_from_(world.clock.now()) {
  node_ = world_.random.Below(world_.nodes.size());
  world_.clock.After(world_.random.Uniform(0, 0.5), [this] { ReportLoop(); });
  CheckLease();
}

void SimulatedAgent::ReportLoop() {
  if (!alive_) return;
  world_.clock.After(world_.settings.heartbeat_s * world_.random.Uniform(0.75, 1.25),
                     [this] { ReportLoop(); });
  SendReport();
}

void SimulatedAgent::Changed() {
  const double wait = std::max(0.0, last_report_ + 0.5 - world_.clock.now());
  world_.clock.After(wait, [this] {
    if (world_.clock.now() - last_report_ >= 0.499) SendReport();
  });
}

wire::Heartbeat SimulatedAgent::MakeHeartbeat() {
  wire::Heartbeat r;
  r.machine = id_;
  r.address = address_;
  r.type = type_.name;
  r.zone = zone_;
  r.spot = spot_;
  r.agent_epoch = agent_epoch_;
  r.sequence = ++seq_;
  r.fencing_token = token_;
  for (const auto& [key, t] : tasks_) {
    r.tasks.push_back({key.first, key.second, t.state, t.why, false});
  }
  return r;
}

void SimulatedAgent::CutOutbound(double for_s) {
  outbound_cut_until_ = std::max(outbound_cut_until_, world_.clock.now() + for_s);
}

bool SimulatedAgent::outbound_cut() const { return outbound_cut_until_ > world_.clock.now(); }

bool SimulatedAgent::hung() const { return hung_until_ > world_.clock.now(); }

double SimulatedAgent::used_cpus() const {
  double cpus = 0;
  for (const auto& [key, t] : tasks_) {
    if (t.state != TaskState::kExited) cpus += world_.specs[key.first.job].cpus;
  }
  return cpus;
}

bool SimulatedAgent::Has(const std::string& job) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& t) {
    return t.first.first.job == job && t.second.state == TaskState::kRunning;
  });
}

void SimulatedAgent::Hang(double for_s) {
  hung_until_ = std::max(hung_until_, world_.clock.now() + for_s);
}

void SimulatedAgent::Running(std::function<void()> f) {
  if (hung_until_ <= world_.clock.now()) return f();
  world_.clock.At(hung_until_ + world_.random.Uniform(0, 0.01),
                  [this, f = std::move(f)] { Running(f); });
}

void SimulatedAgent::SendReport() {
  if (!alive_ || waiting_) return;
  if (hung_until_ > world_.clock.now()) return Running([this] { SendReport(); });
  waiting_ = true;
  const uint64_t turn = ++report_turn_;
  const double sent = world_.clock.now();
  last_report_ = sent;
  const uint64_t session = agent_epoch_;
  const std::string node = world_.nodes[node_];
  const wire::Heartbeat report = MakeHeartbeat();
  if (sent < world_.copies_until) {
    world_.clock.After(
        world_.random.Uniform(0.5, 3 * world_.settings.agent_lease_s), [this, report] {
          world_.old_copies +=
              report.agent_epoch < agent_epoch_ || report.fencing_token < token_ ? 1 : 0;
          world_.on_report(
              world_.nodes[world_.random.Below(world_.nodes.size())], report,
              [this](int status, uint64_t token, const std::vector<wire::Command>& commands,
                     const std::string& to) {
                world_.decisions.Answered(world_.clock.now(), id_, status, token, commands, to);
              });
        });
  }
  const auto next = [this, turn](double pause) {
    if (!alive_ || turn != report_turn_) return;
    waiting_ = false;
    node_ = (node_ + 1) % world_.nodes.size();
    world_.clock.After(pause, [this] { SendReport(); });
  };
  world_.clock.After(4.0, [this, turn, next] {
    if (waiting_ && turn == report_turn_) next(1.0);
  });
  if (outbound_cut()) return;
  const uint64_t seq = report.sequence;
  world_.network.Send(id_, node, [this, node, turn, sent, session, seq, next, r = report] {
    world_.on_report(
        node, r,
        [this, node, turn, sent, session, seq, next](int status, uint64_t token,
                                                     std::vector<wire::Command> commands,
                                                     const std::string& to) {
          world_.decisions.Answered(world_.clock.now(), id_, status, token, commands, to);
          world_.network.Send(node, id_,
                              [this, turn, sent, session, seq, next, status, token, commands, to] {
                                // Answers that come after the worker gave up are dropped.
                                if (!alive_ || turn != report_turn_ || !waiting_) return;
                                if (status == 200) {
                                  waiting_ = false;
                                  heard_seq_ = seq;
                                  if (token < token_ || session != agent_epoch_) return;
                                  lease_from_ = sent;
                                  const bool higher = token > token_;
                                  token_ = token;
                                  Execute(commands);
                                  if (higher) Changed();
                                  return;
                                }
                                if (status == 421) {
                                  auto it = std::find(world_.nodes.begin(), world_.nodes.end(), to);
                                  if (it != world_.nodes.end() && *it != world_.nodes[node_]) {
                                    waiting_ = false;
                                    node_ = static_cast<size_t>(it - world_.nodes.begin());
                                    world_.clock.After(0.1, [this] { SendReport(); });
                                    return;
                                  }
                                }
                                next(1.0);
                              });
        });
  });
}

int SimulatedAgent::OnCommands(uint64_t token, uint64_t session,
                               const std::vector<wire::Command>& commands) {
  const int status = token < token_ || session != agent_epoch_ ? 409 : 200;
  world_.decisions.Reached(world_.clock.now(), id_, token, session, commands, status);
  if (status != 200) return status;
  token_ = token;
  world_.mute_orders += outbound_cut() && !commands.empty() ? 1 : 0;
  Execute(commands);
  return status;
}

void SimulatedAgent::Execute(const std::vector<wire::Command>& commands) {
  for (const wire::Command& c : commands) {
    const Key key{c.task, c.attempt};
    auto it = tasks_.find(key);
    switch (c.type) {
      case wire::CommandType::kStart:
        if (it == tasks_.end()) Start(c.task, c.attempt);
        break;
      case wire::CommandType::kStop:
        if (it != tasks_.end() && it->second.state != TaskState::kExited)
          Exit(key, ExitReason::kStopped);
        break;
      case wire::CommandType::kForget:
        if (it != tasks_.end() && it->second.state == TaskState::kExited) {
          tasks_.erase(it);
          Changed();
        }
        break;
    }
  }
}

void SimulatedAgent::Start(const wire::TaskId& task, uint64_t attempt) {
  const Key key{task, attempt};
  Task& t = tasks_[key];
  Changed();
  const auto refuse = [&](ExitReason why) {
    t.state = TaskState::kExited;
    t.why = why;
  };
  auto spec = world_.specs.find(task.job);
  if (spec == world_.specs.end()) return refuse(ExitReason::kUnknownJob);
  double cpus = spec->second.cpus;
  for (const auto& [other, state] : tasks_) {
    if (other == key || state.state == TaskState::kExited) continue;
    if (other.first == task) return refuse(ExitReason::kOtherAttemptPresent);
    cpus += world_.specs[other.first.job].cpus;
  }
  if (cpus > type_.cpus + 1e-6) return refuse(ExitReason::kInsufficientResources);
  const double fetch =
      images_.contains(spec->second.image) ? 0.0 : spec->second.image_gb / type_.fetch_gb_per_s;
  const uint64_t turn = t.turn = ++turns_;
  world_.clock.After(fetch, [this, key, turn, image = spec->second.image] {
    auto it = tasks_.find(key);
    if (!alive_ || it == tasks_.end() || it->second.turn != turn) return;
    if (it->second.state != TaskState::kFetching) return;
    images_.insert(image);
    Begin(key);
  });
}

void SimulatedAgent::Begin(const Key& key) {
  Task& t = tasks_[key];
  t.state = TaskState::kRunning;
  t.on = true;
  world_.rule_checker.Started(key.first, id_, type_.name, zone_, spot_, world_.clock.now());
  Changed();
  const wire::JobSpec& spec = world_.specs[key.first.job];
  if (spec.kind == wire::JobKind::kService) return;
  const bool fails = sick || world_.broken.contains(spec.id);
  const auto set = world_.run_s.find(key.first);
  const double run = fails                                ? 0.2
                     : world_.results.contains(key.first) ? 0.0
                     : set != world_.run_s.end()
                         ? set->second
                         : spec.estimated_run_s * world_.random.Uniform(0.5, 1.5);
  const uint64_t turn = t.turn = ++turns_;
  const std::function<void()> end = [this, key, turn, fails] {
    auto it = tasks_.find(key);
    if (!alive_ || it == tasks_.end() || it->second.turn != turn) return;
    if (it->second.state != TaskState::kRunning) return;
    if (!fails) {
      world_.results[key.first] = true;
      world_.done_at[key.first] = world_.clock.now();
    }
    const bool last = !fails && world_.rule_checker.Completed(key.first);
    if (last && world_.on_job_end) world_.on_job_end(key.first.job);
    Exit(key, fails ? ExitReason::kFailed : ExitReason::kSucceeded);
  };
  world_.clock.After(run, [this, end] { Running(end); });
}

void SimulatedAgent::Exit(const Key& key, ExitReason why) {
  Task& t = tasks_[key];
  if (t.on) world_.rule_checker.Left(key.first, id_);
  t.on = false;
  t.state = TaskState::kExited;
  t.why = why;
  Changed();
}

void SimulatedAgent::KillAll() {
  for (auto& [key, t] : tasks_) {
    if (t.on) world_.rule_checker.Left(key.first, id_);
  }
  tasks_.clear();
}

void SimulatedAgent::CheckLease() {
  if (!alive_) return;
  const double end = lease_from_ + world_.settings.agent_lease_s;
  if (world_.clock.now() >= end) {
    KillAll();
    ++agent_epoch_;
    lease_from_ = world_.clock.now();
    Changed();
  }
  world_.clock.At(std::max(lease_from_ + world_.settings.agent_lease_s, world_.clock.now() + 0.001),
                  [this] { CheckLease(); });
}

void SimulatedAgent::Restart(bool next_session) {
  KillAll();
  images_.clear();
  agent_epoch_ = next_session ? agent_epoch_ + 1 : 1;
  seq_ = token_ = 0;
  ++incarnation_;
  lease_from_ = world_.clock.now();
  hung_until_ = -1e18;
  ++report_turn_;  // whatever was under way is nobody's
  waiting_ = false;
  Changed();
}

void SimulatedAgent::Die() {
  if (alive_) died_ = world_.clock.now();
  KillAll();
  alive_ = false;
}

// ---------------------------------------------------------------------------- world

SimulatedEnvironment::SimulatedEnvironment(config::Settings s, std::vector<wire::MachineType> t,
                                           uint64_t seed)
    : settings(std::move(s)),
      types(std::move(t)),
      random(seed),
      network(clock, random),
      store(clock, decisions),
      rule_checker(settings, types) {}

std::string SimulatedEnvironment::ZoneOf(const std::string& node) const {
  const auto it = std::find(nodes.begin(), nodes.end(), node);
  return settings.zones[static_cast<size_t>(it - nodes.begin()) % settings.zones.size()];
}

void SimulatedEnvironment::Accept(const wire::JobSpec& spec) {
  Submit(spec);
  store.Commit({}, {{"job/" + spec.id, jobs::JobRecords::EncodeEntry(spec, 0)}});
}

uint64_t SimulatedEnvironment::Cancel(const std::string& id) {
  const uint64_t version = store.VersionOf("job/" + id);
  if (version == 0) return 0;
  return store.Commit({{"job/" + id, version}},
                      {{"job/" + id, std::nullopt},
                       {"final/" + id, jobs::EncodeFinalRecord(jobs::JobStatus::kCancelled)}});
}

std::string SimulatedEnvironment::NextName() {
  const std::string number = std::to_string(next_machine_++);
  return "vm-" + std::string(6 - std::min<size_t>(6, number.size()), '0') + number;
}

SimulatedAgent& SimulatedEnvironment::Add(const std::string& id, const std::string& type,
                                          const std::string& zone, bool spot) {
  auto t = std::find_if(types.begin(), types.end(), [&](const auto& x) { return x.name == type; });
  auto& worker = agents[id];
  worker = std::make_unique<SimulatedAgent>(*this, id, *t, zone, spot);
  return *worker;
}

SimulatedAgent& SimulatedEnvironment::AddMachine(const std::string& type, const std::string& zone,
                                                 bool spot) {
  return Add(NextName(), type, zone, spot);
}

std::string SimulatedEnvironment::Rent(const std::string& type, const std::string& zone,
                                       bool spot) {
  const auto up = static_cast<size_t>(
      std::count_if(agents.begin(), agents.end(), [](const auto& w) { return w.second->alive(); }));
  const std::string id = up + booting_ < capacity ? NextName() : "";
  decisions.Rented(clock.now(), type, zone, spot, id);
  if (id.empty()) return id;
  ++booting_;
  clock.After(types.front().boot_s * random.Uniform(0.6, 1.5), [this, id, type, zone, spot] {
    --booting_;
    Add(id, type, zone, spot);
  });
  return id;
}

std::vector<wire::ListedMachine> SimulatedEnvironment::List() const {
  std::vector<wire::ListedMachine> out;
  const double then = std::max(0.0, clock.now() - settings.machine_list_lag_s);
  for (const auto& [id, w] : agents) {
    if (!w->Had(then)) continue;
    out.push_back({id, w->address(), w->type(), w->zone(), w->spot(), wire::MachineState::kRunning,
                   clock.now()});
  }
  return out;
}

bool SimulatedEnvironment::Runs(const std::string& job) const {
  return std::any_of(agents.begin(), agents.end(),
                     [&](const auto& w) { return w.second->alive() && w.second->Has(job); });
}

SimulatedAgent* SimulatedEnvironment::At(const std::string& address) {
  for (auto& [id, w] : agents) {
    if (w->alive() && w->address() == address) return w.get();
  }
  return nullptr;
}

void SimulatedEnvironment::Replace(const std::string& id) {
  SimulatedAgent& old = *agents.at(id);
  if (!old.alive()) return;
  old.Die();
  AddMachine(types.front().name, old.zone(), false).MoveTo(old.address());
}

void SimulatedEnvironment::Delete(const std::string& id) {
  decisions.Returned(clock.now(), id);
  // Kept as a dead object: events that refer to it may still be queued.
  if (auto it = agents.find(id); it != agents.end()) it->second->Die();
}

}  // namespace mosspath::simulation
