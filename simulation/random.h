// The random number generator of a simulated day.
#pragma once

#include <cstdint>
#include <random>

namespace mosspath::simulation {

// Produces the same sequence for a seed on every platform. All parts of the simulation draw from
// one sequence, so an additional draw changes all later random values of that day.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // Returns a uniformly distributed number in [min, max).
  double Uniform(double min, double max) {
    return min + (max - min) * static_cast<double>(engine_() >> 11) * 0x1.0p-53;
  }

  // Returns an integer in [0, bound). `bound` must not be 0.
  uint64_t Below(uint64_t bound) { return engine_() % bound; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace mosspath::simulation
