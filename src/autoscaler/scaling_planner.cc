#include "mosspath/autoscaler/scaling_planner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace mosspath::autoscaler {
namespace {

struct Choice {
  const wire::MachineType* type;
  std::string zone;
  bool spot;
  double price_per_cpu;
};

double Cpus(const wire::MachineType& t) { return std::max(t.cpus, 1e-3); }

bool Allows(const Demand& d, const wire::MachineType& t, const std::string& zone, bool spot) {
  if (spot && !d.spot_allowed) return false;
  if (!d.zone.empty() && d.zone != zone) return false;
  if (!d.types.empty() && std::find(d.types.begin(), d.types.end(), t.name) == d.types.end()) {
    return false;
  }
  return d.cpus <= t.cpus + 1e-6 && d.gpus <= t.gpus + 1e-6 && d.memory_gb <= t.memory_gb + 1e-6;
}

// CPUs that a task takes of a type, counting what its memory and cards make unusable.
double Weight(const Demand& d, const wire::MachineType& t) {
  double share = d.cpus / Cpus(t);
  if (t.memory_gb > 0) share = std::max(share, d.memory_gb / t.memory_gb);
  if (t.gpus > 0) share = std::max(share, d.gpus / t.gpus);
  return share * Cpus(t);
}

}  // namespace

ScalingPlan PlanScaling(const ScalingInput& in, const ScalingTuning& tuning) {
  ScalingPlan plan;
  std::vector<Choice> choices;
  std::map<std::string, const wire::MachineType*> by_name;
  for (const auto& t : in.types) {
    by_name[t.name] = &t;
    for (const auto& z : t.zones) {
      if (t.spot_price > 0) choices.push_back({&t, z, true, t.spot_price / Cpus(t)});
      choices.push_back({&t, z, false, t.price / Cpus(t)});
    }
  }
  std::stable_sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
    return a.price_per_cpu < b.price_per_cpu;
  });

  // Machines and their free room, by offer, and the most that one of them has.
  std::map<MachineOffer, double> free_cpus;
  std::map<MachineOffer, double> free_on_one;
  std::map<std::string, int> per_zone;
  for (const FleetMachine& u : in.machines) {
    auto t = by_name.find(u.type);
    if (t == by_name.end() || !u.schedulable) continue;
    const double free = std::max(0.0, Cpus(*t->second) - u.used_cpus);
    free_cpus[{u.type, u.zone, u.spot}] += free;
    double& most = free_on_one[{u.type, u.zone, u.spot}];
    most = std::max(most, free);
    ++per_zone[u.zone];
  }
  int machines = static_cast<int>(in.machines.size());

  // Demands with the fewest choices first; each takes free room, then new machines.
  std::vector<const Demand*> order;
  for (const Demand& d : in.demand) order.push_back(&d);
  const auto breadth = [&](const Demand* d) {
    return std::count_if(choices.begin(), choices.end(),
                         [&](const Choice& c) { return Allows(*d, *c.type, c.zone, c.spot); });
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](const Demand* a, const Demand* b) { return breadth(a) < breadth(b); });

  // Room that waiting work is to find, by offer, and the least of it that is of use.
  struct Promised {
    double cpus = 0;
    double piece = 1e18;
  };
  std::map<MachineOffer, Promised> promised;
  std::map<MachineOffer, double> wanted;
  for (const Demand* d : order) {
    // Enough room to run the waiting work within the horizon, but not more than all at once.
    double need = -1;
    for (const Choice& c : choices) {
      if (!Allows(*d, *c.type, c.zone, c.spot)) continue;
      const double weight = Weight(*d, *c.type);
      if (need < 0) {
        const double horizon = std::max(1.0, tuning.horizon_boots * c.type->boot_s);
        const double all = d->waiting_tasks * weight;
        const double paced = d->waiting_run_s * weight / horizon;
        need = d->urgent ? all : std::min(all, std::max(paced, weight));
      }
      // Room in pieces that not one task fits into is none: a replica waited for it for ever.
      if (free_on_one[{c.type->name, c.zone, c.spot}] + 1e-6 < weight) continue;
      double& room = free_cpus[{c.type->name, c.zone, c.spot}];
      const double taken = std::min(room, need);
      room -= taken;
      need -= taken;
      if (taken <= 0) continue;
      Promised& p = promised[{c.type->name, c.zone, c.spot}];
      p.cpus += taken;
      p.piece = std::min(p.piece, weight);
    }
    // New machines: the cheapest open offers, spread evenly over zones of the same price.
    for (size_t i = 0; i < choices.size() && need > 1e-6;) {
      size_t end = i;
      while (end < choices.size() &&
             choices[end].price_per_cpu <= choices[i].price_per_cpu * 1.0001)
        ++end;
      std::vector<const Choice*> open;
      for (size_t k = i; k < end; ++k) {
        const Choice& c = choices[k];
        const auto closed = in.closed_until.find({c.type->name, c.zone, c.spot});
        if (closed != in.closed_until.end() && closed->second > in.now) continue;
        // An ordinary machine is no stand-in for a cheap one that is sold out just now.
        if (!c.spot && d->spot_allowed && c.type->spot_price > 0) continue;
        if (Allows(*d, *c.type, c.zone, c.spot)) open.push_back(&c);
      }
      if (!open.empty()) {
        while (need > 1e-6 && machines < tuning.max_machines) {
          const Choice* c = *std::min_element(open.begin(), open.end(), [&](auto* a, auto* b) {
            return per_zone[a->zone] < per_zone[b->zone];
          });
          wanted[{c->type->name, c->zone, c->spot}] += 1;
          ++per_zone[c->zone];
          ++machines;
          need -= Cpus(*c->type);
        }
      }
      i = end;
    }
  }
  for (const auto& [offer, count] : wanted) {
    plan.scale_out.push_back(
        {std::get<0>(offer), std::get<1>(offer), std::get<2>(offer), static_cast<int>(count)});
  }

  // Give back what is not needed: the dearest first, of those the ones that are empty soonest, so
  // that work gathers on the others. Enough room must stay free on machines that take new work;
  // what runs on the others ends by itself. (Room for that too kept twice the machines that were
  // needed when a day's load fell.)
  double free_room = 0;
  double free_ordinary = 0;  // of it
  double used = 0;
  for (const FleetMachine& u : in.machines) {
    const auto t = by_name.find(u.type);
    if (t == by_name.end() || !u.schedulable) continue;
    free_room += std::max(0.0, Cpus(*t->second) - u.used_cpus);
    if (!u.spot) free_ordinary += std::max(0.0, Cpus(*t->second) - u.used_cpus);
    used += u.used_cpus;
  }
  double keep_free = in.burst_cpus + tuning.reserve * used;
  for (const Demand& d : in.demand) {
    const auto c = std::find_if(choices.begin(), choices.end(), [&](const Choice& o) {
      return Allows(d, *o.type, o.zone, o.spot);
    });
    if (c != choices.end()) keep_free += d.waiting_tasks * Weight(d, *c->type);
  }
  // What of a machine's free room waiting work is promised.
  const auto useful = [&](const FleetMachine& u) {
    const auto p = promised.find({u.type, u.zone, u.spot});
    const double room = std::max(0.0, Cpus(*by_name[u.type]) - u.used_cpus);
    return p != promised.end() && room + 1e-6 >= p->second.piece ? room : 0.0;
  };
  std::map<MachineOffer, double> useful_room;
  for (const FleetMachine& u : in.machines) {
    if (by_name.contains(u.type) && u.schedulable)
      useful_room[{u.type, u.zone, u.spot}] += useful(u);
  }
  double cheap_up = 0;
  double ordinary_up = 0;
  std::vector<const FleetMachine*> dear;
  for (const FleetMachine& u : in.machines) {
    const auto t = by_name.find(u.type);
    if (t == by_name.end() || !u.up) continue;
    dear.push_back(&u);
    if (u.schedulable) (u.spot ? cheap_up : ordinary_up) += Cpus(*t->second);
  }
  const bool ordinary_wanted = std::any_of(in.demand.begin(), in.demand.end(),
                                           [](const Demand& d) { return !d.spot_allowed; });
  const bool covered = !ordinary_wanted && cheap_up >= tuning.spot_cover * ordinary_up;
  // Work that it does for its price: a large machine is emptied before it holds but a few tasks.
  const auto density = [&](const FleetMachine* u) {
    const auto* t = by_name[u->type];
    return u->remaining_cpu_s / std::max(1e-9, u->spot ? t->spot_price : t->price);
  };
  std::stable_sort(dear.begin(), dear.end(), [&](const FleetMachine* a, const FleetMachine* b) {
    if (a->spot != b->spot) return !a->spot;
    if (a->draining != b->draining) return a->draining;
    return density(a) < density(b);
  });
  for (const FleetMachine* u : dear) {
    const auto* t = by_name[u->type];
    if (!u->schedulable) {
      if (u->idle) plan.scale_in.push_back(u->id);
      continue;
    }
    // A dear machine is no longer worth its price once cheap ones carry the work.
    const bool dear_and_covered =
        !u->spot && t->spot_price > 0 && covered && !u->has_on_demand_work;
    const double room = std::max(0.0, Cpus(*t) - u->used_cpus);
    if (!dear_and_covered && free_room - room < keep_free) continue;
    if (!u->spot && in.on_demand_cpus > 0 && free_ordinary - room < in.on_demand_cpus) continue;
    // Nor is room taken away that work waits for, and that no other has: with enough on machines
    // that it may not use, all that it may use rested, and nothing was rented either.
    double& useful_left = useful_room[{u->type, u->zone, u->spot}];
    const double use = useful(*u);
    if (use > 0 && useful_left - use < promised[{u->type, u->zone, u->spot}].cpus - 1e-6) continue;
    useful_left -= use;
    if (!u->spot) free_ordinary -= room;
    free_room -= room;
    if (u->idle && (dear_and_covered || u->idle_s >= tuning.keep_idle_boots * t->boot_s)) {
      plan.scale_in.push_back(u->id);
    } else {
      (dear_and_covered ? plan.drain : plan.cordon).push_back(u->id);
    }
  }
  return plan;
}

}  // namespace mosspath::autoscaler
