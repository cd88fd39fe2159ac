#include "simulation/compound_fault_scenario.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace mosspath::simulation {
namespace {

constexpr uint64_t kFirstExtraId = 900'000;
constexpr uint64_t kFirstInvalidId = 2 * kFirstExtraId;
constexpr uint64_t kFirstConstrainedJob = 100;
constexpr size_t kMaxHungMachines = 8;
constexpr double kCancellationSpreadS = 0.2;
constexpr double kJobEndPropagationS = 1.2;
constexpr double kUnusualRequestIntervalS = 2;
// The scenario observes the machines this long before and after a fault.
constexpr double kObservationMarginS = 0.001;

}  // namespace

std::vector<Fault> CompoundFaultScenario::Faults(uint64_t seed) {
  return CompoundFaultSchedule(CompoundFaultOf(seed), seed, SettingsFor(seed, false));
}

// Each seed is a round of its own, so that the seeds sweep the schedule evenly.
std::vector<Fault> BriefContactScenario::Faults(uint64_t seed) {
  return CompoundFaultSchedule(CompoundFault::kBriefContact, seed * kSeededCompoundFaults,
                               SettingsFor(seed, false));
}

CompoundFaultScenario::CompoundFaultScenario(uint64_t seed, const std::vector<Fault>& faults,
                                             bool lease_shards)
    : CompoundFaultScenario(seed, faults, lease_shards, CompoundFaultOf(seed)) {}

CompoundFaultScenario::CompoundFaultScenario(uint64_t seed, const std::vector<Fault>& faults,
                                             bool lease_shards, CompoundFault kind)
    : AvailabilityScenario(seed, faults, lease_shards),
      kind_(kind),
      faults_(faults),
      extra_users_(*this) {
  AddCancelledJobs();
  AddJobsThatEndApart();
  AddConstrainedJobs();
  extra_users_.Begin();
  on_user_fault = [this](const Fault& fault) { OnUserFault(fault); };
  world.on_job_end = [this](const std::string& id) { OnJobEnd(id); };
  ObserveFaults();
}

// ---------------------------------------------------------------------------- jobs

SimulatedUser& CompoundFaultScenario::AddUser(const ExtraJob& job) {
  SimulatedUser user;
  user.polls = true;
  user.submits_at = job.submits_at;
  wire::JobSpec& spec = user.spec;
  spec.id = fmt::format("req-{}", kFirstExtraId + job.number);
  spec.team = "desk";
  spec.job_class = "meeting";
  spec.priority = job.number % 2 == 0 ? wire::Priority::kHigh : wire::Priority::kNormal;
  spec.tasks = job.tasks;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.image = "img-0";
  spec.image_gb = 1;
  spec.estimated_run_s = job.run_s;
  return extra_users_.Add(std::move(user));
}

// Adds jobs of long tasks. The users cancel these jobs at times from 1 s before the first fault to
// 1.5 agent leases after the first fault.
void CompoundFaultScenario::AddCancelledJobs() {
  constexpr uint64_t kJobs = 14;
  const double lease_s = world.settings.agent_lease_s;
  for (uint64_t number = 0; number < kJobs; ++number) {
    const auto tasks = 1 + static_cast<uint32_t>(world.random.Below(6));
    const double latest_s = number % 2 == 0 ? lease_s / 4 : 1.5 * lease_s;
    const double cancels_at = kFirstFaultAt + world.random.Uniform(-1, latest_s);
    const double submits_at = world.random.Uniform(2, kFirstFaultAt - 8);
    SimulatedUser& user = AddUser({number, submits_at, tasks, 2 * world.settings.cancel_within_s});
    user.cancels_after_s = std::max(0.1, cancels_at - submits_at);
  }
}

// Adds jobs of two or three tasks that complete seconds to minutes apart.
void CompoundFaultScenario::AddJobsThatEndApart() {
  constexpr uint64_t kFirst = 14;
  constexpr uint64_t kJobs = 10;
  for (uint64_t number = kFirst; number < kFirst + kJobs; ++number) {
    const auto tasks = 2 + static_cast<uint32_t>(number % 2);
    const double submits_at = world.random.Uniform(2, kFirstFaultAt + 10);
    const wire::JobSpec& spec = AddUser({number, submits_at, tasks, 20}).spec;
    for (uint32_t index = 0; index < tasks; ++index) {
      const double max_run_s = index == 0 ? 8 : 20.0 * index * index + 15;
      world.run_times_s[{spec.id, index}] = world.random.Uniform(1, max_run_s);
    }
  }
}

void CompoundFaultScenario::AddConstrainedJobs() {
  const bool at_quota = kind_ == CompoundFault::kTeamAtQuota;
  if (!at_quota && kind_ != CompoundFault::kPlacementConstraints) return;
  constexpr uint64_t kJobs = 12;
  const auto& zones = world.settings.zones;
  for (uint64_t i = 0; i < kJobs; ++i) {
    const double submits_at = world.random.Uniform(2, kFirstFaultAt - 5);
    wire::JobSpec& spec = AddUser({kFirstConstrainedJob + i, submits_at, 4, 25}).spec;
    if (at_quota) {
      spec.team = "tight";
      continue;
    }
    spec.single_zone = i % 3 == 0;
    spec.spread_over_zones = i % 3 == 1;
    if (i % 3 == 2) spec.zone = zones[i / 3 % zones.size()];
  }
}

// ---------------------------------------------------------------------------- observation

void CompoundFaultScenario::ObserveFaults() {
  for (const Fault& fault : faults_) {
    switch (fault.kind) {
      case Fault::Kind::kPartitionZone:
        if (fault.duration_s > world.settings.agent_lease_s) CountBusyMachinesAround(fault);
        break;
      case Fault::Kind::kTerminateMachines:
      case Fault::Kind::kReclaimSpot:
        CountBusyMachinesAround(fault);
        break;
      case Fault::Kind::kCrash:
      case Fault::Kind::kRestartLeader:
        CountBusyUnreachableBefore(fault);
        break;
      default:
        break;
    }
  }
}

// Counts the running tasks just before the fault, since the fault may end them. Selects the
// affected machines just after the fault, since only the fault determines which machines it
// affects.
void CompoundFaultScenario::CountBusyMachinesAround(const Fault& fault) {
  world.clock.At(fault.at - kObservationMarginS, [this] {
    for (const auto& [id, agent] : world.agents) tasks_before_fault_[id] = agent->running_tasks();
  });
  world.clock.At(fault.at + kObservationMarginS, [this] {
    for (const auto& [id, tasks] : std::exchange(tasks_before_fault_, {})) {
      if (tasks == 0) continue;
      counts_.busy_terminated += world.agents.at(id)->alive() ? 0 : 1;
      const auto reachable = std::count_if(world.nodes.begin(), world.nodes.end(),
                                           [&, machine = id](const auto& node) {
                                             return world.network.PassesBothWays(node, machine);
                                           });
      const bool partially_reachable = reachable > 0 && reachable < std::ssize(world.nodes);
      counts_.busy_cut_off += partially_reachable ? 1 : 0;
    }
  });
}

void CompoundFaultScenario::CountBusyUnreachableBefore(const Fault& fault) {
  world.clock.At(fault.at - kObservationMarginS, [this] {
    const std::string& leader = Leader().name();
    for (const auto& [id, agent] : world.agents) {
      const bool reachable = world.network.PassesBothWays(leader, id);
      counts_.busy_unreachable += !reachable && agent->running_tasks() > 0 ? 1 : 0;
    }
  });
}

// ---------------------------------------------------------------------------- users

void CompoundFaultScenario::OnUserFault(const Fault& fault) {
  if (fault.kind == Fault::Kind::kCancelNow) return CancelNow(fault);
  if (fault.kind == Fault::Kind::kCancelAtEnd) {
    cancel_at_end_until_ = world.clock.now() + fault.duration_s;
    return;
  }
  for (double after_s = 0; after_s < fault.duration_s; after_s += kUnusualRequestIntervalS) {
    world.clock.After(after_s, [this] { SendUnusualRequests(); });
  }
}

void CompoundFaultScenario::CancelNow(const Fault& fault) {
  constexpr size_t kMaxExtraJobs = 12;
  constexpr size_t kMaxOtherJobs = 4;
  const auto runs = [this](const SimulatedUser& user) { return world.RunsJob(user.spec.id); };
  if (fault.hold) {
    for (const SimulatedUser& user : extra_users_.all()) {
      if (!user.accepted_at || user.cancelled || !runs(user)) continue;
      HangMachinesOf(user, fault.duration_s);
    }
  }
  counts_.cancelled += extra_users_.CancelSome(kMaxExtraJobs, kCancellationSpreadS, runs);
  counts_.cancelled +=
      users().CancelSome(kMaxOtherJobs, kCancellationSpreadS, [&](const SimulatedUser& user) {
        return user.spec.kind == wire::JobKind::kArray && runs(user);
      });
}

void CompoundFaultScenario::HangMachinesOf(const SimulatedUser& user, double duration_s) {
  for (const auto& [id, agent] : world.agents) {
    if (counts_.hung >= kMaxHungMachines) return;
    if (agent->hung() || !agent->RunsJob(user.spec.id)) continue;
    agent->Hang(duration_s);
    ++counts_.hung;
  }
}

void CompoundFaultScenario::OnJobEnd(const std::string& id) {
  if (cancel_at_end_until_ <= 0 || world.clock.now() > cancel_at_end_until_) return;
  for (SimulatedUsers* users : {&extra_users_, &this->users()}) {
    for (size_t i = 0; i < users->all().size(); ++i) {
      const SimulatedUser& user = users->all()[i];
      if (user.spec.id == id && !user.cancelled) RequestAfterEnd(*users, i);
    }
  }
}

void CompoundFaultScenario::RequestAfterEnd(SimulatedUsers& users, size_t user) {
  const auto send_soon = [this](std::function<void()> request) {
    world.clock.After(world.random.Uniform(0, kJobEndPropagationS), std::move(request));
  };
  if (world.random.Below(3) != 0) {
    ++counts_.cancelled;
    send_soon([&users, user] { users.Cancel(user); });
  }
  send_soon([&users, user] { users.QueryStatus(user); });
  send_soon([&users, user] { users.SubmitAgain(user); });
}

void CompoundFaultScenario::SendUnusualRequests() {
  const size_t chosen = world.random.Below(extra_users_.all().size());
  if (extra_users_.all()[chosen].accepted_at) extra_users_.SubmitAgain(chosen);
  for (size_t i = 0; i < extra_users_.all().size(); ++i) {
    const SimulatedUser& user = extra_users_.all()[i];
    if (!world.rule_checker.IsDone(user.spec.id) || user.cancelled) continue;
    if (world.random.Below(8) != 0) continue;
    // A completed job must stay done, however often a user cancels it.
    extra_users_.CancelDone(i);
    break;
  }
  extra_users_.SubmitInvalid(MakeInvalidJob(extra_users_.all()[chosen].spec));
}

wire::JobSpec CompoundFaultScenario::MakeInvalidJob(const wire::JobSpec& valid) {
  wire::JobSpec spec = valid;
  spec.id = fmt::format("req-{}", kFirstInvalidId + ++invalid_jobs_);
  switch (invalid_jobs_ % 4) {
    case 0:
      spec.cpus = 1'000;
      break;
    case 1:
      spec.types = std::vector<std::string>{"no-such-type"};
      break;
    case 2:
      spec.zone = "nowhere";
      break;
    case 3:
      spec.kind = wire::JobKind::kService;
      spec.tasks = 2;
      spec.single_zone = true;
      spec.spread_over_zones = true;
      break;
  }
  return spec;
}

// ---------------------------------------------------------------------------- result

Outcome CompoundFaultScenario::Run() {
  Outcome outcome = AvailabilityScenario::Run();
  int on_promise = 0;
  int learned = 0;
  for (const auto& controller : controllers) {
    on_promise += controller->heartbeats_on_promise();
    learned += controller->cancellations_learned();
  }
  const auto occurrences = CountOccurrences(kind_, *this);
  outcome.figures.push_back({"vouched", static_cast<double>(on_promise)});
  outcome.figures.push_back({"learned", static_cast<double>(learned)});
  outcome.figures.push_back({"meeting", static_cast<double>(kind_)});
  outcome.figures.push_back({"reached", static_cast<double>(occurrences)});
  return outcome;
}

}  // namespace mosspath::simulation
