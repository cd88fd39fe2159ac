// The overload scenario: a flood of jobs beside what other teams ask for, and controllers that fail
// meanwhile. The controllers' own admission and queues decide; users retry as the protocol says.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "simulation/outcome.h"
#include "simulation/users.h"

namespace mosspath::simulation {

// One simulated day. Everything follows from the seed and from the faults.
class OverloadScenario : public SimulatedCluster {
 public:
  // What is special about the day; follows from the seed.
  enum class Shape {
    kOneFloods,  // with jobs of many tasks
    kTinyJobs,   // thousands of one task against a few large ones
    kFloodsAndCancels,
    kManyTeams,
    kOneController,  // the load balancer sends all of the flood to one
    kFewWrites,      // the store takes a fraction of its changes
    kServices,       // that never end and hold what they have
    kFaultyJobs,     // jobs that fail on every machine
    kShapes
  };

  // `lease_shards`: controllers hold shards of the machines.
  OverloadScenario(uint64_t seed, const std::vector<Fault>& faults, bool lease_shards = false);

  // Plays the day to its end; called once.
  Outcome Run();

  static std::vector<Fault> Faults(uint64_t seed) { return DrawFaults(seed, seed % 5, 15, 90); }

 protected:
  void Check() override;

 private:
  // Jobs of one team and class.
  struct Group {
    std::string team;
    std::string job_class;
    auto operator<=>(const Group&) const = default;
  };
  // Equal jobs that are submitted between two times.
  struct JobStream {
    Group group;
    wire::Priority priority = wire::Priority::kNormal;
    size_t jobs = 0;
    uint32_t tasks = 1;
    double run_s = 0;  // of each task; 0: services, which never end
    double from = 0;
    double to = 0;
  };
  struct Demand {
    double tasks = 0;
    double cpu_s = 0;
  };
  // How a group fared.
  struct Service {
    size_t submitted = 0;
    size_t accepted = 0;
    size_t done = 0;
    size_t gave_up = 0;
    std::vector<double> accepted_after_s;
  };
  using Services = std::map<Group, Service>;
  // What the summary of a day needs beyond the groups.
  struct Totals {
    double least_served = 1;
    double flood_served = 1;
    size_t gave_up_within_means = 0;
    std::vector<double> accepted_within_means_after_s;
  };

  static config::Settings SettingsFor(uint64_t seed, bool lease_shards);
  void AddMachines();
  void AddRegularUsers();
  void AddFlood();
  void AddUsers(const JobStream& stream);
  void AdjustFloodingUsers();
  double LiveTasks();
  Services MeasureServices() const;
  void CheckBudget(double budget);
  Totals CheckServices(const Services& services, double budget);
  void CheckStarvation(const Group& group, const Service& service);
  std::vector<Figure> MakeFigures(const Services& services, const Totals& totals,
                                  double budget) const;

  const uint64_t seed_;
  const Shape shape_;
  SimulatedUsers users_;
  std::map<std::string, Demand> demand_by_team_;
  double capacity_cpu_s_ = 0;  // what all machines could do
  double most_live_tasks_ = 0;
  std::vector<std::string> breaches_;  // of the rules that only this scenario checks
};

}  // namespace mosspath::simulation
