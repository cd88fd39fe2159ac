// What a simulated day came to.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mosspath::simulation {

// One column of the CSV file and of the summary.
struct Figure {
  std::string name;
  double value = 0;
};

struct Outcome {
  std::vector<std::string> breaches;  // of rules; empty on a good day
  std::vector<Figure> figures;
  size_t decisions = 0;  // of all controllers, folded into one number
};

}  // namespace mosspath::simulation
