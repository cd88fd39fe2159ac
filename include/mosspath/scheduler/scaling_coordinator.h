// Builds the input of the autoscaler's planner from the scheduler's state, and applies the plan
// that the planner returns. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/scheduler/scheduler_state.h"
#include "mosspath/scheduler/task_migration.h"

namespace mosspath::scheduler {

// Plans which machines the leader adds, deletes and drains, and sets the drain state of the
// machines in the scheduler's state.
class ScalingCoordinator {
 public:
  // Both arguments outlive this object.
  ScalingCoordinator(SchedulerState& state, TaskMigration& migration)
      : state_(state), migration_(migration) {}

  // Makes a plan for the present demand, marks the machines that drain, and starts migrations. If
  // the drain level of a delegated machine changes, sends the new level to the machine's holder.
  // The caller adds and deletes machines as the returned plan says. The plan also deletes machines
  // that are unreachable or never came up.
  autoscaler::ScalingPlan Plan(double now);

 private:
  // Machines that are deleted regardless of the demand, by cause.
  struct MachinesToReplace {
    // Machines that are silent for too long, or that the cloud no longer runs. If many machines are
    // unreachable, those that are only silent are kept for longer.
    std::set<std::string> unreachable;
    // The last few machines for which a nearly complete recovery or reconciliation still waits.
    std::vector<std::string> stragglers;
    // Provisioned machines whose agents have not reported within the time limit.
    std::vector<std::string> never_booted;
  };
  // Which new tasks a machine takes. The values are those of ShardMessage::Kind::kSetDraining.
  enum class DrainLevel : uint64_t { kNone = 0, kDraining = 1, kCordoned = 2 };

  // --- The planner's input ---
  autoscaler::ScalingInput MakeInput(double now, MachinesToReplace& to_replace);
  std::vector<autoscaler::Demand> WaitingDemand(double now) const;
  void AppendJobDemand(const jobs::Job& job, std::vector<autoscaler::Demand>& demand) const;
  void AppendReservedDemand(double now, autoscaler::ScalingInput& input);
  void AppendMachines(double now, std::vector<autoscaler::FleetMachine>& machines,
                      std::set<std::string>& unreachable) const;
  void AppendDelegatedMachines(double now, std::vector<autoscaler::FleetMachine>& machines,
                               std::set<std::string>& unreachable) const;
  autoscaler::FleetMachine DescribeMachine(const cluster::Machine& machine, double now) const;
  autoscaler::FleetMachine DescribeOwnMachine(const cluster::Machine& machine, double now) const;
  autoscaler::FleetMachine DescribeDelegatedMachine(const cluster::Machine& machine,
                                                    double now) const;
  bool IsIdle(const cluster::Machine& machine) const;
  bool IsHolderIdle(const cluster::Machine& machine) const;
  bool HasOnDemandWork(const cluster::Machine& machine) const;
  bool IsSilent(const cluster::Machine& machine, double now) const;

  // --- The plan ---
  static DrainLevel DrainLevelOf(const cluster::Machine& machine);
  void ApplyDraining(const autoscaler::ScalingPlan& plan);
  void SendDrainLevels(const std::map<std::string, DrainLevel>& known_to_holders);
  void AppendReplacements(const MachinesToReplace& to_replace, double now,
                          std::vector<std::string>& scale_in) const;
  bool AreFewUnreachable(size_t unreachable, double now) const;
  bool MayDeleteUnreachable(const cluster::Machine& machine, bool few, double now) const;

  SchedulerState& state_;
  TaskMigration& migration_;
};

}  // namespace mosspath::scheduler
