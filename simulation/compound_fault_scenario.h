// The compound fault scenario: the users and machines of the availability scenario, a compound
// fault, and more users who cancel just when it matters. Whether the condition that the compound
// fault is about really came about is counted.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/availability.h"
#include "simulation/compound_faults.h"

namespace mosspath::simulation {

// One simulated day; its compound fault follows from the seed.
class CompoundFaultScenario : public AvailabilityScenario {
 public:
  CompoundFaultScenario(uint64_t seed, const std::vector<Fault>& faults, bool lease_shards);

  // Plays the day; its last two figures are the kind of the compound fault and how often its
  // condition came about.
  Outcome Run();

  static std::vector<Fault> Faults(uint64_t seed);

  // What the scenario itself counts for the conditions of compound faults.
  struct Counts {
    size_t busy_unreachable = 0;  // machines with tasks that a leader couldn't reach as it ended
    size_t busy_cut_off = 0;      // machines with tasks that some controllers reach and some don't
    size_t busy_terminated = 0;   // machines with tasks that a fault terminated
    size_t cancelled = 0;         // jobs that users cancelled at a fault or as they ended
    size_t hung = 0;              // machines with tasks of jobs that are cancelled
  };
  const Counts& counts() const { return counts_; }
  const std::vector<Fault>& faults() const { return faults_; }
  // Invalid submissions that were refused.
  size_t invalid_refused() const { return extra_users_.invalid_refused(); }

 private:
  struct ExtraJob {
    uint64_t number = 0;  // among the scenario's own jobs
    double submits_at = 0;
    uint32_t tasks = 1;
    double run_s = 0;
  };
  // Adds the job with its user, who polls; the user can be changed until the day begins.
  SimulatedUser& AddUser(const ExtraJob& job);
  void AddCancelledJobs();
  void AddJobsThatEndApart();
  // Adds jobs of a team that they bring to its quota, or that are bound to a zone, together or
  // apart.
  void AddConstrainedJobs();

  void ObserveFaults();
  void CountBusyMachinesAround(const Fault& fault);
  void CountBusyUnreachableBefore(const Fault& fault);

  // What users do because of a fault.
  void OnUserFault(const Fault& fault);
  void CancelNow(const Fault& fault);
  void HangMachinesOf(const SimulatedUser& user, double duration_s);
  // The user of a job that ends cancels it, asks about it and submits it again, all within the time
  // in which the leader learns of the end.
  void OnJobEnd(const std::string& id);
  void RequestAfterEnd(SimulatedUsers& users, size_t user);
  void SendUnusualRequests();
  wire::JobSpec MakeInvalidJob(const wire::JobSpec& valid);

  const CompoundFault kind_;
  const std::vector<Fault> faults_;
  SimulatedUsers extra_users_;
  Counts counts_;
  std::map<std::string, size_t> tasks_before_fault_;  // running on each machine
  uint64_t invalid_jobs_ = 0;
  double cancel_at_end_until_ = 0;  // users cancel jobs that end by then
};

}  // namespace mosspath::simulation
