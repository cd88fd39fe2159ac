// The simulation of the addition to the rules: users who ask about every accepted job, services and
// arrays from one task to hundreds, and troubles of every kind. What is checked stands in the
// world's checker: nothing is forgotten once the troubles are over, nobody is served by less than
// half, the largest begin in time.
#pragma once

#include <string>
#include <vector>

#include "simulation/overload.h"

namespace mosspath::simulation {

class AvailabilityScenario : public SimulatedCluster {
 public:
  // What is special about the day follows from the seed.
  enum class Shape {
    kOrdinary,
    kSlowReports,  // every 8 s, and nothing is up at the start
    kOverload,     // three times as much work as the machines can do at once
    kTight,        // teams with limits, jobs that must be together or apart
    kShapes
  };

  AvailabilityScenario(uint64_t seed, const std::vector<Fault>& faults, bool blocks);
  Outcome Run();

  // Each kind of fault comes about as often.
  static std::vector<Fault> Faults(uint64_t seed);

 protected:
  static config::Settings Of(uint64_t seed, bool blocks);

  SimulatedUsers& users() { return users_; }

 private:
  static std::vector<wire::MachineType> Types(uint64_t seed);
  void Stream(const std::string& job_class, wire::Priority rank, size_t jobs, uint32_t least,
              uint32_t most, double run_s);

  const uint64_t seed_;
  const Shape shape_;
  SimulatedUsers users_;
};

}  // namespace mosspath::simulation
