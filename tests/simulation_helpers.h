// What tests that play simulated days share.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace mosspath::test {

// Succeeds if the simulation broke no rule; otherwise lists the breaches, one a line.
inline ::testing::AssertionResult NoBreaches(const simulation::SimulatedEnvironment& world) {
  const std::vector<std::string>& breaches = world.rule_checker.breaches();
  if (breaches.empty()) return ::testing::AssertionSuccess();
  ::testing::AssertionResult failure = ::testing::AssertionFailure();
  for (const std::string& breach : breaches) failure << breach << "\n";
  return failure;
}

}  // namespace mosspath::test
