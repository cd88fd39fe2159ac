// The result of a simulated day.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mosspath::simulation {

// A named metric: one column of the CSV file and of the summary.
struct Figure {
  std::string name;
  double value = 0;
};

struct Outcome {
  std::vector<std::string> breaches;  // violated rules; empty if the day passed
  std::vector<Figure> figures;
  size_t decisions = 0;  // the hash of all controllers' decisions (decisions.h)
};

}  // namespace mosspath::simulation
