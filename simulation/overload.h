// The simulation of overload: a flood beside what others ask for, and controllers that fail
// meanwhile. The controllers' own gates, plans and queues decide; users retry as the protocol says.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "simulation/users.h"

namespace mosspath::simulation {

// What a day came to.
struct Outcome {
  std::vector<std::string> breaches;
  std::vector<std::pair<std::string, double>> figures;  // name, value
  size_t decisions = 0;                                 // of its controllers, as one number
};

class OverloadScenario : public SimulatedCluster {
 public:
  // What is special about the day follows from the seed; see kShapes.
  enum class Shape {
    kOneFloods,  // jobs of many tasks
    kTinyJobs,   // thousands of one task against a few large ones
    kFloodsAndCancels,
    kManyTeams,
    kOneController,  // the balancer sends all of the flood there
    kFewChanges,     // the state service takes a fraction of its changes
    kServices,       // that never end and hold what they have
    kMistakes,       // jobs that fail on every machine
    kShapes
  };

  OverloadScenario(uint64_t seed, const std::vector<Fault>& faults, bool blocks = false);
  Outcome Run();

  static std::vector<Fault> Faults(uint64_t seed) { return Draw(seed, seed % 5, 15, 90); }

 protected:
  void Check() override;

 private:
  using Group = std::pair<std::string, std::string>;  // team, class

  static config::Settings Of(uint64_t seed, bool blocks);
  void Stream(const Group& group, wire::Priority rank, size_t jobs, uint32_t tasks, double run_s,
              double from, double to);
  const uint64_t seed_;
  const Shape shape_;
  SimulatedUsers users_;
  std::map<std::string, double> cpu_s_;  // that each team asked for
  std::map<std::string, double> tasks_;
  double capacity_ = 0;  // CPU seconds that all machines could do
  double most_live_ = 0;
  std::vector<std::string> breaches_;
};

}  // namespace mosspath::simulation
