// Which machines to rent and which to return. Pure: demand and picture in, wishes out.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "mosspath/wire/messages.h"

namespace mosspath::autoscaler {

// Tasks alike in where they may run.
struct Demand {
  bool spot_allowed = true;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  double cpus = 0;                 // of one task
  double gpus = 0;
  double memory_gb = 0;
  double waiting_tasks = 0;  // tasks with no place
  double waiting_run_s = 0;  // their expected run time, summed over tasks
  bool urgent = false;
};

struct FleetMachine {  // a machine that is up, or rented and on its way
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool up = false;
  bool schedulable = false;  // takes new tasks
  bool idle = false;
  double idle_s = 0;
  double used_cpus = 0;
  double remaining_cpu_s = 0;  // CPU seconds that its tasks are expected to take yet
  bool draining = false;
  bool has_on_demand_work = false;  // runs work that allows no cheap machine
};

struct ScaleOutRequest {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;  // idle, to be deleted now
  std::vector<std::string> drain;     // to take no new tasks
  std::vector<std::string> cordon;    // nor these, unless urgent work finds no room elsewhere
};

using MachineOffer = std::tuple<std::string, std::string, bool>;  // type, zone, spot

struct ScalingInput {
  std::vector<wire::MachineType> types;
  std::vector<Demand> demand;
  double burst_cpus = 0;      // the largest urgent job lately: the next should find room at once
  double on_demand_cpus = 0;  // free on ordinary machines, for what may use no other
  std::vector<FleetMachine> machines;
  std::map<MachineOffer, double> closed_until;  // offers that had no capacity
  double now = 0;
};

struct ScalingTuning {
  double horizon_boots = 2.0;     // waiting work should be gone within this many boot times
  double keep_idle_boots = 0.02;  // an idle machine is kept for this many boot times
  double reserve = 0.1;           // free room that is kept, as a share of what is used
  double spot_cover = 2.0;  // ordinary machines go once cheap ones have this many times their CPUs
  int max_machines = 100'000;
};

ScalingPlan PlanScaling(const ScalingInput& in, const ScalingTuning& tuning);

}  // namespace mosspath::autoscaler
