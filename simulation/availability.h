// The availability scenario: users who poll the status of every accepted job, services and arrays
// from one task to hundreds, and faults of every kind. The rule checker reports three failures:
// status queries of accepted jobs stay unanswered after the faults, fewer than half of the jobs of
// a team or class are served, or large jobs start too late.
#pragma once

#include <string>
#include <vector>

#include "simulation/outcome.h"
#include "simulation/users.h"

namespace mosspath::simulation {

// One simulated day. The seed and the faults determine the whole run. Times are in simulated
// seconds.
class AvailabilityScenario : public SimulatedCluster {
 public:
  // The variant of the day, derived from the seed.
  enum class Shape {
    kOrdinary,
    kSlowHeartbeats,  // heartbeats every 8 s; no machine is up at the start
    kOverload,        // three times as many array jobs, more than the machines can run at once
    kTightQuotas,     // team quotas, and jobs with single-zone or spread constraints
    kShapes
  };

  // With `lease_shards`, controllers hold leases on shards of the machines.
  AvailabilityScenario(uint64_t seed, const std::vector<Fault>& faults, bool lease_shards);

  // Simulates the whole day. Must be called only once.
  Outcome Run();

  // Returns the faults of a seed. Over many seeds, all kinds of faults occur about equally
  // often.
  static std::vector<Fault> Faults(uint64_t seed);

 protected:
  static config::Settings SettingsFor(uint64_t seed, bool lease_shards);

  SimulatedUsers& users() { return users_; }

 private:
  // Jobs of one class whose submissions are spread over the day.
  struct JobStream {
    std::string job_class;
    wire::Priority priority = wire::Priority::kNormal;
    size_t jobs = 0;
    uint32_t min_tasks = 1;
    uint32_t max_tasks = 1;
    double run_s = 0;  // of each task; 0 for services, which run until cancelled
  };

  static std::vector<wire::MachineType> TypesFor(uint64_t seed);
  void AddMachines();
  void AddUsers(const JobStream& stream);
  SimulatedUser MakeUser(const JobStream& stream, size_t number);
  std::vector<Figure> MakeFigures() const;

  const uint64_t seed_;
  const Shape shape_;
  SimulatedUsers users_;
};

}  // namespace mosspath::simulation
