// Machines that are on their way or gone for good, and offers that are sold out: what the fleet's
// planner must know beside the machines that report. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

class ProvisioningTracker {
 public:
  ProvisioningTracker(const config::Settings& settings, const config::DerivedSettings& derived);

  struct BootingMachine {
    autoscaler::ScaleOutRequest offer;
    double since = 0;  // the rental, or when it was first seen up
    bool up = false;
  };
  const std::map<std::string, BootingMachine>& booting() const { return booting_; }

  using Fleet = std::vector<cluster::Machines*>;  // all that are up

  void OnProvisioned(const std::vector<std::string>& ids, const autoscaler::ScaleOutRequest& offer,
                     const Fleet& fleet, double now);
  void OnRefused(const autoscaler::ScaleOutRequest& offer, double until);
  const std::map<autoscaler::MachineOffer, double>& closed_until() const { return closed_until_; }
  // The machine reports.
  void OnMachineUp(const std::string& id) { booting_.erase(id); }
  // It was deleted: late reports of it are void.
  void OnMachineDeleted(const std::string& id, double now);
  bool is_deleted(const std::string& id) const { return deleted_at_.contains(id); }
  // A whole list of machines, asked for at `asked`: tells which have failed, come up or vanished.
  void OnMachineList(const std::vector<wire::ListedMachine>& listed, const Fleet& fleet,
                     double asked, double now);

  // An urgent job's size: the next should find room at once.
  void OnUrgentJob(double submitted, double cpus) { arrivals_.push_back({submitted, cpus}); }
  // The largest lately.
  double LargestBurstCpus(double now, const cluster::MachineTypeCatalog& types);
  // Machines on their way; those that are given up go to `hopeless`.
  void AppendBootingMachines(double now, const cluster::MachineTypeCatalog& types,
                             std::vector<autoscaler::FleetMachine>& units,
                             std::vector<std::string>& hopeless) const;

 private:
  struct Arrival {
    double at = 0;
    double cpus = 0;
  };

  const double report_s_;
  const double lease_s_;
  const double list_lag_s_;
  const double silent_s_;
  std::map<std::string, BootingMachine> booting_;
  std::map<std::string, double> deleted_at_;  // and when
  std::map<autoscaler::MachineOffer, double> closed_until_;
  std::vector<Arrival> arrivals_;
};

}  // namespace mosspath::scheduler
