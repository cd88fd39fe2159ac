// Property tests of the selection of victims, against a plain count of the tasks that fit.
#include "mosspath/scheduler/victim_selection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "builders.h"

namespace mosspath::scheduler {
namespace {

using cluster::Allocation;
using cluster::Machine;
using cluster::Resources;

constexpr double kNow = 200;

// Machines in two zones whose running tasks may all be stopped.
class Cluster {
 public:
  Cluster()
      : settings_(test::SchedulerSettings()),
        derived_(settings_),
        state_(settings_, derived_),
        filter_(settings_, reservation_),
        fair_share_(settings_.teams) {
    state_.jobs["low"] = std::make_unique<jobs::Job>(test::MakeJobSpec("low", "t", 100, 1), 1, 0);
    const auto machines = *rc::gen::inRange(1, 6);
    for (int i = 0; i < machines; ++i) AddMachine("vm-" + std::to_string(i));
    targets_.emplace(state_, kNow);
    targets_->FindVictims();
    RC_ASSERT(targets_->all().size() == static_cast<size_t>(machines));
  }

  const std::vector<PreemptionTarget>& targets() { return targets_->all(); }
  VictimSelection::Result MakeRoom(const jobs::Job& job, size_t tasks) {
    return VictimSelection(*targets_, filter_, fair_share_, job, kNow).MakeRoom(tasks);
  }
  // Returns how many tasks fit in the zone, or in all zones if `zone` is empty, once all victims
  // for which `is_stopped` returns true have ended.
  template <typename Pred>
  double Fitting(const Resources& task, const std::string& zone, Pred is_stopped) {
    double tasks = 0;
    for (const PreemptionTarget& target : targets_->all()) {
      if (!zone.empty() && target.machine->zone != zone) continue;
      tasks += cluster::TasksThatFit(task, FreeWith(target, is_stopped));
    }
    return tasks;
  }
  template <typename Pred>
  static Resources FreeWith(const PreemptionTarget& target, Pred is_stopped) {
    Resources free = target.machine->free();
    for (const Victim& victim : target.victims) {
      if (is_stopped(victim)) free += victim.resources();
    }
    return free;
  }

 private:
  void AddMachine(const std::string& id) {
    Machine& machine = state_.machines[id];
    machine.id = id;
    machine.zone = *rc::gen::element<std::string>("a", "b");
    machine.cpus = *rc::gen::inRange(1, 9);
    machine.gpus = *rc::gen::inRange(0, 3);
    machine.memory_gb = *rc::gen::inRange(1, 17);
    machine.fencing_token = 1;
    machine.token_confirmed = true;
    machine.lease_renewed_at = machine.last_contact_at = kNow;
    const auto tasks = *rc::gen::inRange(0, 6);
    for (int i = 0; i < tasks; ++i) AddTask(machine);
  }
  void AddTask(Machine& machine) {
    Allocation allocation;
    allocation.state = Allocation::State::kReported;
    allocation.running_since = *rc::gen::inRange(1, 190);
    allocation.cpus = *rc::gen::inRange(0, 4);
    allocation.gpus = *rc::gen::inRange(0, 2);
    allocation.memory_gb = *rc::gen::inRange(0, 6);
    const Resources needed{allocation.cpus, allocation.gpus, allocation.memory_gb};
    if (!cluster::Fits(needed, machine.free())) return;
    machine.used_cpus += needed.cpus;
    machine.used_gpus += needed.gpus;
    machine.used_memory_gb += needed.memory_gb;
    machine.allocations[{{"low", task_count_++}, 1}] = allocation;
  }

  config::Settings settings_;
  config::DerivedSettings derived_;
  cluster::ClusterState state_;
  CapacityReservation reservation_;
  MachineFilter filter_;
  FairShare fair_share_;
  std::optional<PreemptionTargets> targets_;
  uint32_t task_count_ = 0;
};

jobs::Job WaitingJob(wire::JobKind kind, bool single_zone, uint32_t tasks) {
  wire::JobSpec spec = test::MakeJobSpec("urgent", "t", tasks, *rc::gen::inRange(1, 5));
  spec.gpus = *rc::gen::inRange(0, 2);
  spec.memory_gb = *rc::gen::inRange(0, 8);
  spec.priority = wire::Priority::kCritical;
  spec.kind = kind;
  spec.single_zone = single_zone;
  return jobs::Job(std::move(spec), 1, 0);
}

bool IsSelected(const Victim& victim) { return victim.selected; }
bool IsAny(const Victim& /*victim*/) { return true; }
bool IsNone(const Victim& /*victim*/) { return false; }

// Guards against stops that make no room, and against waiting tasks that get none although stops
// could make it.
RC_GTEST_PROP(VictimSelectionTest, EachStopMakesRoomAndAllRoomThatStopsCanMakeIsFound, ()) {
  Cluster cluster;
  const uint32_t tasks = *rc::gen::inRange(1, 8);
  const jobs::Job job = WaitingJob(wire::JobKind::kArray, *rc::gen::arbitrary<bool>(), tasks);
  const Resources task = cluster::TaskResources(job.spec);
  const VictimSelection::Result result = cluster.MakeRoom(job, tasks);
  const auto most_fitting = [&](auto is_stopped) {
    if (!job.spec.single_zone) return cluster.Fitting(task, "", is_stopped);
    return std::max(cluster.Fitting(task, "a", is_stopped), cluster.Fitting(task, "b", is_stopped));
  };
  const double wanted = std::min<double>(tasks, most_fitting(IsAny));
  RC_ASSERT(std::min<double>(tasks, most_fitting(IsSelected)) == wanted);
  RC_ASSERT(static_cast<double>(result.tasks) == wanted);
  std::string zone_of_stops;
  for (const PreemptionTarget& target : cluster.targets()) {
    if (std::none_of(target.victims.begin(), target.victims.end(), IsSelected)) continue;
    RC_ASSERT(cluster::TasksThatFit(task, Cluster::FreeWith(target, IsSelected)) >
              cluster::TasksThatFit(task, Cluster::FreeWith(target, IsNone)));
    RC_ASSERT(!job.spec.single_zone || zone_of_stops.empty() ||
              zone_of_stops == target.machine->zone);
    zone_of_stops = target.machine->zone;
  }
}

RC_GTEST_PROP(VictimSelectionTest, AGangGetsRoomForAllItsTasksOrNothingIsStopped, ()) {
  Cluster cluster;
  const uint32_t tasks = *rc::gen::inRange(1, 8);
  const jobs::Job gang = WaitingJob(wire::JobKind::kGang, *rc::gen::arbitrary<bool>(), tasks);
  const Resources task = cluster::TaskResources(gang.spec);
  const VictimSelection::Result result = cluster.MakeRoom(gang, tasks);
  const auto fits_whole = [&](auto is_stopped) {
    if (!gang.spec.single_zone) return cluster.Fitting(task, "", is_stopped) >= tasks;
    return std::max(cluster.Fitting(task, "a", is_stopped),
                    cluster.Fitting(task, "b", is_stopped)) >= tasks;
  };
  RC_ASSERT(fits_whole(IsSelected) == fits_whole(IsAny));
  if (!fits_whole(IsAny)) RC_ASSERT(result.victims.empty());
}

}  // namespace
}  // namespace mosspath::scheduler
