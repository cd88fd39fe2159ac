// The availability scenario: users who ask about every accepted job, services and arrays from one
// task to hundreds, and faults of every kind. The rule checker looks for jobs that are forgotten
// once the faults are over, for groups of users who are served by less than half, and for large
// jobs that begin too late.
#pragma once

#include <string>
#include <vector>

#include "simulation/outcome.h"
#include "simulation/users.h"

namespace mosspath::simulation {

// One simulated day. Everything follows from the seed and from the faults.
class AvailabilityScenario : public SimulatedCluster {
 public:
  // What is special about the day; follows from the seed.
  enum class Shape {
    kOrdinary,
    kSlowHeartbeats,  // every 8 s, and no machine is up at the start
    kOverload,        // three times as much work as the machines can do at once
    kTightQuotas,     // teams with quotas, jobs that must be together or apart
    kShapes
  };

  // `lease_shards`: controllers hold shards of the machines.
  AvailabilityScenario(uint64_t seed, const std::vector<Fault>& faults, bool lease_shards);

  // Plays the day to its end; called once.
  Outcome Run();

  // The faults of a seed. Over the seeds, each kind comes about as often.
  static std::vector<Fault> Faults(uint64_t seed);

 protected:
  static config::Settings SettingsFor(uint64_t seed, bool lease_shards);

  SimulatedUsers& users() { return users_; }

 private:
  // Jobs of one class that are submitted over the day.
  struct JobStream {
    std::string job_class;
    wire::Priority priority = wire::Priority::kNormal;
    size_t jobs = 0;
    uint32_t least_tasks = 1;
    uint32_t most_tasks = 1;
    double run_s = 0;  // of each task; 0: services, which never end
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
