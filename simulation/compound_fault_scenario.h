// The compound fault scenario: the users and machines of the availability scenario, a compound
// fault, and more users, who cancel jobs around the time of the faults. The scenario counts how
// often the condition that the compound fault tests occurs.
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

  // Simulates the day. The last two figures of the outcome are the kind of the compound fault and
  // how often its condition occurred.
  Outcome Run();

  static std::vector<Fault> Faults(uint64_t seed);

  // Counts that CountOccurrences() reads. The simulated environment observes the other conditions
  // (SimulatedEnvironment::Observations).
  struct Counts {
    // Machines that ran tasks and were cut off from the leader just before a fault of the leader.
    size_t busy_unreachable = 0;
    // Machines that ran tasks before a fault and that only some controllers could reach after it.
    size_t busy_cut_off = 0;
    size_t busy_terminated = 0;  // machines that ran tasks when a fault terminated the machines
    size_t cancelled = 0;        // jobs that users cancelled at a kCancelNow or kCancelAtEnd fault
    size_t hung = 0;             // machines that a kCancelNow fault hung with tasks running
  };
  const Counts& counts() const { return counts_; }
  const std::vector<Fault>& faults() const { return faults_; }
  // The number of invalid submissions that were refused.
  size_t invalid_refused() const { return extra_users_.invalid_refused(); }

 protected:
  CompoundFaultScenario(uint64_t seed, const std::vector<Fault>& faults, bool lease_shards,
                        CompoundFault kind);

 private:
  struct ExtraJob {
    uint64_t number = 0;  // unique among the extra jobs; part of the job id
    double submits_at = 0;
    uint32_t tasks = 1;
    double run_s = 0;
  };
  // Adds the job with a user who polls the job's status. The returned user may be changed only
  // before the day begins and before the next call.
  SimulatedUser& AddUser(const ExtraJob& job);
  void AddCancelledJobs();
  void AddJobsThatEndApart();
  // Adds jobs that bring their team to its quota, or jobs with zone, single-zone or spread
  // constraints.
  void AddConstrainedJobs();

  void ObserveFaults();
  void CountBusyMachinesAround(const Fault& fault);
  void CountBusyUnreachableBefore(const Fault& fault);

  // Performs the users' part of a fault.
  void OnUserFault(const Fault& fault);
  void CancelNow(const Fault& fault);
  void HangMachinesOf(const SimulatedUser& user, double duration_s);
  // Makes the user of a completed job cancel the job, query its status and submit the job again,
  // all within the time in which the job's end becomes visible to the leader. Some users do not
  // cancel.
  void OnJobEnd(const std::string& id);
  void RequestAfterEnd(SimulatedUsers& users, size_t user);
  void SendUnusualRequests();
  wire::JobSpec MakeInvalidJob(const wire::JobSpec& valid);

  const CompoundFault kind_;
  const std::vector<Fault> faults_;
  SimulatedUsers extra_users_;
  Counts counts_;
  std::map<std::string, size_t> tasks_before_fault_;  // running tasks by machine
  uint64_t invalid_jobs_ = 0;
  double cancel_at_end_until_ = 0;  // users cancel jobs that end before this time
};

// A day with the compound fault kBriefContact, whatever the seed.
class BriefContactScenario : public CompoundFaultScenario {
 public:
  BriefContactScenario(uint64_t seed, const std::vector<Fault>& faults, bool lease_shards)
      : CompoundFaultScenario(seed, faults, lease_shards, CompoundFault::kBriefContact) {}

  static std::vector<Fault> Faults(uint64_t seed);
};

}  // namespace mosspath::simulation
