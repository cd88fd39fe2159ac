// The overload scenario: one team submits a flood of jobs beside the regular jobs of other teams,
// while controllers fail. The controllers handle the load by their admission and their queues;
// users retry as the API protocol prescribes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "simulation/outcome.h"
#include "simulation/users.h"

namespace mosspath::simulation {

// One simulated day. The seed and the faults determine the whole run. Times are in simulated
// seconds.
class OverloadScenario : public SimulatedCluster {
 public:
  // The variant of the day, derived from the seed.
  enum class Shape {
    kOneTeamFloods,     // one team floods with jobs of many tasks
    kTinyJobs,          // the flood has 500 jobs of one task and 3 of 2000 tasks
    kFloodsAndCancels,  // users of the flood cancel half of its jobs
    kManyTeams,         // 200 more teams with one small job each
    kOneController,     // the load balancer sends the whole flood to one controller
    kFewWrites,         // each controller may write only one batch of acceptances a second
    kServices,          // the flood includes services, which never end and keep their machines
    kFaultyJobs,        // a third of the flood's jobs fail on every machine
    kShapes
  };

  // With `lease_shards`, controllers hold leases on shards of the machines.
  OverloadScenario(uint64_t seed, const std::vector<Fault>& faults, bool lease_shards = false);

  // Simulates the whole day. Must be called only once.
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
  // Equal jobs, submitted at random times from `from` to `to`.
  struct JobStream {
    Group group;
    wire::Priority priority = wire::Priority::kNormal;
    size_t jobs = 0;
    uint32_t tasks = 1;
    double run_s = 0;  // of each task; 0 for services, which never end
    double from = 0;
    double to = 0;
  };
  // The total work that a team submits over the day.
  struct Demand {
    double tasks = 0;
    double cpu_s = 0;
  };
  // Counts of a group's jobs and the acceptance times of these jobs.
  struct GroupResult {
    size_t submitted = 0;
    size_t accepted = 0;
    size_t done = 0;
    size_t gave_up = 0;
    std::vector<double> accepted_after_s;
  };
  using GroupResults = std::map<Group, GroupResult>;
  // Values of the day's summary over several groups.
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
  GroupResults MeasureGroups() const;
  void CheckBudget(double budget);
  Totals CheckGroups(const GroupResults& results, double budget);
  void CheckStarvation(const Group& group, const GroupResult& result);
  std::vector<Figure> MakeFigures(const GroupResults& results, const Totals& totals,
                                  double budget) const;

  const uint64_t seed_;
  const Shape shape_;
  SimulatedUsers users_;
  std::map<std::string, Demand> demand_by_team_;
  double capacity_cpu_s_ = 0;  // CPU seconds of all machines over the day
  double most_live_tasks_ = 0;
  std::vector<std::string> breaches_;  // breaches of the rules that only this scenario checks
};

}  // namespace mosspath::simulation
