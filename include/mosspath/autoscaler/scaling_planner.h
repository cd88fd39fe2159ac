// The autoscaler's planner: decides which machines to add, delete, drain or cordon, from the
// waiting demand and the present machines. Pure.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "mosspath/cluster/resources.h"
#include "mosspath/wire/messages.h"

namespace mosspath::autoscaler {

// What can be rented: machines of a type in a zone, as spot machines or on demand.
struct MachineOffer {
  std::string type;
  std::string zone;
  bool spot = false;

  auto operator<=>(const MachineOffer&) const = default;
};

// Waiting tasks with the same resources and placement constraints.
struct Demand {
  bool spot_allowed = true;
  std::vector<std::string> types;  // empty: any type
  std::string zone;                // empty: any zone
  // All tasks must run in one zone, which is not chosen yet. Only if `zone` is empty.
  bool single_zone = false;
  double cpus = 0;  // CPUs of one task
  double gpus = 0;
  double memory_gb = 0;
  double waiting_tasks = 0;  // tasks that are not placed
  double waiting_run_s = 0;  // expected run time of the waiting tasks, summed
  bool urgent = false;

  // Returns the resources of one task.
  cluster::Resources task() const { return {cpus, gpus, memory_gb}; }
};

// A machine that is up, or provisioned and still booting.
struct FleetMachine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool up = false;
  bool schedulable = false;  // the machine takes new tasks
  bool idle = false;
  double idle_s = 0;
  double used_cpus = 0;
  double used_gpus = 0;
  double used_memory_gb = 0;
  double remaining_cpu_s = 0;  // CPU seconds that the machine's tasks are still expected to need
  bool draining = false;
  bool has_on_demand_work = false;  // the machine runs work that may not use spot machines

  cluster::Resources used() const { return {used_cpus, used_gpus, used_memory_gb}; }
};

struct ScaleOutRequest {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

// How the plan meets the demand, in tasks. Reserved capacity counts as waiting tasks.
struct DemandSummary {
  double waiting = 0;    // all waiting tasks
  double needed = 0;     // waiting tasks for which machines are needed within the horizon
  double with_room = 0;  // needed tasks to which free capacity of the present machines is allotted
};

struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;  // idle machines, to be deleted now
  std::vector<std::string> drain;     // machines that are to take no new tasks
  std::vector<std::string> cordon;    // machines that take only urgent tasks that fit nowhere else
  DemandSummary demand;
};

struct ScalingInput {
  std::vector<wire::MachineType> types;
  std::vector<Demand> demand;
  // CPUs of the largest recent urgent job. The same number of CPUs is kept free, so that the next
  // urgent job starts at once.
  double burst_cpus = 0;
  // CPUs to keep free on on-demand machines, for urgent work that may not use spot machines.
  double on_demand_cpus = 0;
  std::vector<FleetMachine> machines;
  // Offers for which the cloud had no capacity, with the time until which no machines of the offer
  // are requested.
  std::map<MachineOffer, double> closed_until;
  double now = 0;
};

struct ScalingTuning {
  double horizon_boots = 2.0;     // waiting work should be finished within this many boot times
  double keep_idle_boots = 0.02;  // an idle machine is kept for this many boot times
  double reserve = 0.1;           // free CPUs to keep, as a fraction of the used CPUs
  // On-demand machines may be removed in favor of spot machines if the spot machines have at least
  // this many times the CPUs, GPUs and memory of the on-demand machines.
  double spot_cover = 2.0;
  int max_machines = 100'000;
};

// Returns the changes that fit the machines to the demand. Free capacity is allotted to the waiting
// demand first, and new machines are requested for the rest of the demand.
ScalingPlan PlanScaling(const ScalingInput& in, const ScalingTuning& tuning);

}  // namespace mosspath::autoscaler
