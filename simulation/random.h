// The source of all random draws of a simulated day.
#pragma once

#include <cstdint>
#include <random>

namespace mosspath::simulation {

// Draws the same sequence for a seed on every platform. The order of the draws is part of what a
// seed stands for: an additional draw changes the whole day.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // A number in [least, most), evenly distributed.
  double Uniform(double least, double most) {
    return least + (most - least) * static_cast<double>(engine_() >> 11) * 0x1.0p-53;
  }

  // An integer in [0, bound); `bound` must not be 0.
  uint64_t Below(uint64_t bound) { return engine_() % bound; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace mosspath::simulation
