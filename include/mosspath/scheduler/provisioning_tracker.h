// Tracks machines that are booting or deleted, and offers for which the cloud has no capacity. The
// scaling planner needs these besides the machines whose agents report. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "mosspath/autoscaler/scaling_planner.h"
#include "mosspath/cluster/cluster_state.h"
#include "mosspath/config/settings.h"

namespace mosspath::scheduler {

// Tracks each machine from its provisioning until its agent reports, and again after its deletion.
// Times are in seconds.
class ProvisioningTracker {
 public:
  ProvisioningTracker(const config::Settings& settings, const config::DerivedSettings& derived);

  // A machine whose agent has not reported yet.
  struct BootingMachine {
    autoscaler::ScaleOutRequest offer;
    double since = 0;  // when the machine was provisioned, or first listed as running
    bool up = false;   // the cloud lists the machine as running
  };
  const std::map<std::string, BootingMachine>& booting() const { return booting_; }

  // All machines in the cluster's state, both those of this controller and delegated ones.
  using MachineMaps = std::vector<cluster::Machines*>;

  // Called when the cloud has provisioned these machines for the offer.
  void OnProvisioned(const std::vector<std::string>& ids, const autoscaler::ScaleOutRequest& offer,
                     const MachineMaps& all_machines, double now);
  // Called when the cloud has no capacity for the offer. The offer is not requested again before
  // `until`.
  void OnRefused(const autoscaler::ScaleOutRequest& offer, double until);
  const std::map<autoscaler::MachineOffer, double>& closed_until() const { return closed_until_; }
  // Called when the machine's agent has sent a heartbeat.
  void OnMachineUp(const std::string& id) { booting_.erase(id); }
  // Called when the machine was deleted. is_deleted returns true from now on, so that late
  // heartbeats are ignored.
  void OnMachineDeleted(const std::string& id, double now);
  bool is_deleted(const std::string& id) const { return deleted_at_.contains(id); }
  // Applies the cloud's list of all machines, which was requested at `requested_at`: marks machines
  // that the list reports as failed or omits, and adds booting machines.
  void OnMachineList(const std::vector<wire::ListedMachine>& listed,
                     const MachineMaps& all_machines, double requested_at, double now);

  // Records an urgent job that needs this many CPUs at once. The planner keeps the same number of
  // CPUs free for the next urgent job.
  void OnUrgentJob(double submitted, double cpus) { urgent_jobs_.push_back({submitted, cpus}); }
  // Returns the CPUs of the largest recent urgent job, and discards urgent jobs that are not
  // recent.
  double LargestBurstCpus(double now, const cluster::MachineTypeCatalog& types);
  // Appends the booting machines to `machines`. Machines that have not come up within their time
  // limit are left out; their ids are appended to `given_up`.
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
  // Seconds that a machine may take to come up.
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
