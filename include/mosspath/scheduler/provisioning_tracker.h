// Machines that are on their way or gone for good, and offers without capacity: what the scaling
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

  // A machine whose agent has not reported yet.
  struct BootingMachine {
    autoscaler::ScaleOutRequest offer;
    double since = 0;  // when it was provisioned, or first listed as running
    bool up = false;   // the cloud lists it as running
  };
  const std::map<std::string, BootingMachine>& booting() const { return booting_; }

  // All machines that are known, whichever controller commands them.
  using MachineMaps = std::vector<cluster::Machines*>;

  // The cloud has provisioned these machines as the offer says.
  void OnProvisioned(const std::vector<std::string>& ids, const autoscaler::ScaleOutRequest& offer,
                     const MachineMaps& all_machines, double now);
  // The cloud has no capacity for the offer, which is not to be asked for before `until`.
  void OnRefused(const autoscaler::ScaleOutRequest& offer, double until);
  const std::map<autoscaler::MachineOffer, double>& closed_until() const { return closed_until_; }
  // The machine's agent reports.
  void OnMachineUp(const std::string& id) { booting_.erase(id); }
  // The machine was deleted: late heartbeats of it are void.
  void OnMachineDeleted(const std::string& id, double now);
  bool is_deleted(const std::string& id) const { return deleted_at_.contains(id); }
  // The cloud's list of all machines, requested at `requested_at`: marks which have failed or
  // vanished, and takes in those that are booting.
  void OnMachineList(const std::vector<wire::ListedMachine>& listed,
                     const MachineMaps& all_machines, double requested_at, double now);

  // An urgent job needs so many CPUs at once: the next one should find as much room.
  void OnUrgentJob(double submitted, double cpus) { urgent_jobs_.push_back({submitted, cpus}); }
  // Returns the CPUs of the largest recent urgent job; forgets those that are not recent.
  double LargestBurstCpus(double now, const cluster::MachineTypeCatalog& types);
  // Appends the machines that are on their way to `machines`, and the ids of those that are given
  // up, as they have not come up in time, to `given_up`.
  void AppendBootingMachines(double now, const cluster::MachineTypeCatalog& types,
                             std::vector<autoscaler::FleetMachine>& machines,
                             std::vector<std::string>& given_up) const;

 private:
  struct UrgentJob {
    double submitted_at = 0;
    double cpus = 0;
  };
  void TakeListedBooting(const wire::ListedMachine& listed, double now);
  void MarkMissing(const std::vector<wire::ListedMachine>& listed, const MachineMaps& all_machines,
                   double requested_at) const;
  // Seconds that a machine may be on its way before it is given up.
  double BootPatienceS(const BootingMachine& machine,
                       const cluster::MachineTypeCatalog& types) const;

  const double heartbeat_s_;
  const double agent_lease_s_;
  const double list_lag_s_;
  const double agent_suspect_s_;
  std::map<std::string, BootingMachine> booting_;
  std::map<std::string, double> deleted_at_;
  std::map<autoscaler::MachineOffer, double> closed_until_;
  std::vector<UrgentJob> urgent_jobs_;
};

}  // namespace mosspath::scheduler
