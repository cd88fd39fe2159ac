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
  bool spot_ok = true;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  double cpus = 0;                 // of one task
  double gpus = 0;
  double memory_gb = 0;
  double waiting = 0;    // tasks with no place
  double waiting_s = 0;  // their expected run time, summed over tasks
  bool urgent = false;
};

struct Unit {  // a machine that is up, or rented and on its way
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool up = false;
  bool usable = false;  // takes new tasks
  bool idle = false;
  double idle_s = 0;
  double used_cpus = 0;
  double work_s = 0;  // CPU seconds that its tasks are expected to take yet
  bool draining = false;
  bool needed = false;  // runs work that allows no cheap machine
};

struct Wish {
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

struct Plan {
  std::vector<Wish> rent;
  std::vector<std::string> give_back;  // idle, to be deleted now
  std::vector<std::string> drain;      // to take no new tasks
  std::vector<std::string> rest;       // nor these, unless urgent work finds no room elsewhere
};

using Offer = std::tuple<std::string, std::string, bool>;  // type, zone, spot

struct PlannerInput {
  std::vector<wire::MachineType> types;
  std::vector<Demand> demand;
  double burst_cpus = 0;     // the largest urgent job lately: the next should find room at once
  double ordinary_cpus = 0;  // free on ordinary machines, for what may use no other
  std::vector<Unit> units;
  std::map<Offer, double> closed_until;  // offers that had no capacity
  double now = 0;
};

struct PlannerTuning {
  double horizon_boots = 2.0;     // waiting work should be gone within this many boot times
  double keep_idle_boots = 0.02;  // an idle machine is kept for this many boot times
  double reserve = 0.1;           // free room that is kept, as a share of what is used
  double cheap_cover = 2.0;  // ordinary machines go once cheap ones have this many times their CPUs
  int max_machines = 100'000;
};

Plan MakePlan(const PlannerInput& in, const PlannerTuning& tuning);

}  // namespace mosspath::autoscaler
